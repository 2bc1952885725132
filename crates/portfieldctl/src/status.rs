//! The `status` command: state of the fleet, problems first.

use std::fmt::Write;

use portfield_net::{
    http1::Client,
    platform::{Host, PlatformClient},
};
use serde_json::Value;

/// Lists problems, the configuration revision, hosts and shards.
pub(crate) async fn show(platform: &PlatformClient) -> eyre::Result<String> {
    let hosts = platform.read_hosts().await?;
    let mut problems = Vec::new();
    let mut rows = Vec::new();
    let mut shards = Vec::new();
    let mut newest = 0;
    for host in &hosts {
        let [router, scheduler] = [host.router_admin, host.scheduler_admin].map(Client::direct);
        let router = router.get::<Value>("/status").await.unwrap_or_default();
        let scheduler = scheduler.get::<Value>("/status").await.unwrap_or_default();
        find_problems(host, &router, &scheduler, &mut problems);
        newest = newest.max(get_u64(&router, "revision")).max(get_u64(&scheduler, "revision"));
        shards.extend(scheduler["shards"].as_array().cloned().unwrap_or_default());
        rows.push((host, router, scheduler));
    }
    for (host, router, scheduler) in &rows {
        let behind = [router, scheduler].map(|it| get_u64(it, "revision") < newest);
        if behind.contains(&true) {
            problems.push(format!("{}: revision {newest} is not in force", host.scheduler.ip()));
        }
    }
    let mut res = String::new();
    for it in &problems {
        writeln!(res, "! {it}")?;
    }
    writeln!(res, "revision {newest}, {} hosts, {} wrong\n", hosts.len(), problems.len())?;
    writeln!(
        res,
        "{:16} {:18} {:>7} {:>7} {:>9} {:>8} {:>8}",
        "host", "data centre", "waiting", "running", "answered", "not run", "unknown"
    )?;
    for (host, it, _) in &rows {
        writeln!(
            res,
            "{:16} {:18} {:>7} {:>7} {:>9} {:>8} {:>8}",
            host.scheduler.ip(),
            host.data_centre,
            get_u64(it, "waiting"),
            get_u64(it, "running"),
            get_u64(it, "answered"),
            get_u64(it, "not_run"),
            get_u64(it, "unknown"),
        )?;
    }
    writeln!(res, "\n{:14} {:>6} {:>6} {:>9}", "shard", "slots", "used", "backlog")?;
    for it in &shards {
        let backlog = it["backlog"].as_array().map_or(0, Vec::len);
        let name = it["shard"].as_str().unwrap_or_default();
        writeln!(
            res,
            "{name:14} {:>6} {:>6} {backlog:>9}",
            get_u64(it, "slots"),
            get_u64(it, "used")
        )?;
    }
    Ok(res)
}

fn find_problems(host: &Host, router: &Value, scheduler: &Value, problems: &mut Vec<String>) {
    let name = host.scheduler.ip();
    if router.is_null() {
        problems.push(format!("{name}: the router does not answer"));
    } else if router["ready"] != true {
        problems.push(format!("{name}: the router is not ready"));
    }
    if scheduler.is_null() {
        problems.push(format!("{name}: the scheduler does not answer"));
    }
    for it in scheduler["members"].as_array().into_iter().flatten() {
        if it["state"] == "dead" || it["state"] == "suspect" {
            problems.push(format!("{name}: sees {} as {}", it["host"], it["state"]));
        }
    }
}

fn get_u64(value: &Value, key: &str) -> u64 {
    value[key].as_u64().unwrap_or(0)
}
