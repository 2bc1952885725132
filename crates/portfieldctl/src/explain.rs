//! The `explain` command: decisions of the router and the schedulers on one request.

use std::{collections::BTreeSet, fmt::Write};

use eyre::{OptionExt, bail};
use portfield_net::{http1::Client, platform::PlatformClient};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct Record {
    at_ms: u64,
    ticket: u64,
    text: String,
}

#[derive(Debug, Deserialize)]
struct Decision {
    at_ms: u64,
    text: String,
}

/// Lists the decisions on a request: first the router's, then those of each scheduler.
pub(crate) async fn show(platform: &PlatformClient, id: &str) -> eyre::Result<String> {
    let ip = id.split('-').next().unwrap_or_default();
    let hosts = platform.read_hosts().await?;
    let host = hosts.iter().find(|it| it.router.ip().to_string() == ip);
    let host = host.ok_or_eyre("no host has the address at the start of the request id")?;
    let target = Client::direct(host.router_admin);
    let records: Vec<Record> = target.get(&format!("/records?{id}")).await?;
    if records.is_empty() {
        bail!("the router at {ip} has no records of request {id}");
    }
    let mut res = format!("router {ip}\n");
    for it in &records {
        writeln!(res, "  {:>9} ms  {}", it.at_ms, it.text)?;
    }
    let tickets: BTreeSet<_> = records.iter().map(|it| it.ticket).filter(|it| *it != 0).collect();
    let peers = hosts.iter().filter(|it| it.data_centre == host.data_centre);
    for peer in peers {
        let target = Client::direct(peer.scheduler_admin);
        for ticket in &tickets {
            let path = format!("/decisions?host={ip}&ticket={ticket}");
            let Ok(decisions) = target.get::<Vec<Decision>>(&path).await else { continue };
            if decisions.is_empty() {
                continue;
            }
            writeln!(res, "scheduler {}", peer.scheduler.ip())?;
            for it in &decisions {
                writeln!(res, "  {:>9} ms  {}", it.at_ms, it.text)?;
            }
        }
    }
    Ok(res)
}
