//! What a scheduler looks at by itself: the host list, the configuration, its upstreams.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use portfield::{
    ids::UpstreamId,
    schedule::{Event, Health, ShardStatus},
};
use portfield_net::{
    clock, fleet_store, http1::Client, platform::PlatformClient, rpc, rt::Runtime,
};
use serde::Deserialize;

use crate::{settings::Settings, shell::Shell};

/// Time in which the platform answers.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which an upstream reports its load.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between two sets of metrics.
const METRICS_PERIOD: Duration = Duration::from_secs(5);

/// What an upstream says of itself.
#[derive(Debug, Deserialize)]
struct Report {
    running: u32,
    #[serde(default)]
    leaving: bool,
}

/// Starts all watches.
pub(crate) fn start(rt: &Runtime, shell: &Arc<Shell>, settings: &Settings) {
    let platform = PlatformClient::new(settings.platform, PLATFORM_TIMEOUT);
    rt.spawn(watch_hosts(shell.clone(), platform.clone(), settings.list_period));
    rt.spawn(watch_fleet(shell.clone(), platform, settings.config_period));
    rt.spawn(watch_upstreams(shell.clone(), settings.report_period));
    rt.spawn(send_metrics(shell.clone()));
    rt.spawn(join(shell.clone(), settings.seeds.clone()));
}

async fn watch_hosts(shell: Arc<Shell>, platform: PlatformClient, period: Duration) {
    let mut tag = String::new();
    loop {
        if let Ok(Some((hosts, fresh))) = platform.read_hosts_if_changed(&tag).await {
            tag = fresh;
            let entries = hosts.iter().map(|it| it.list_entry()).collect();
            shell.feed(Event::HostList(entries));
        }
        clock::sleep(period).await;
    }
}

async fn watch_fleet(shell: Arc<Shell>, platform: PlatformClient, period: Duration) {
    loop {
        let above = shell.read(|it| it.fleet().revision);
        match fleet_store::read_fleet(&platform, above).await {
            Ok(Some(fleet)) => shell.adopt(fleet),
            Ok(None) => (),
            Err(err) => log::debug!(err:%; "platform"),
        }
        clock::sleep(period).await;
    }
}

async fn watch_upstreams(shell: Arc<Shell>, period: Duration) {
    loop {
        for (id, address) in shell.read(|it| it.watched_upstreams()) {
            shell.rt.spawn(report(shell.clone(), id, address));
        }
        clock::sleep(period).await;
    }
}

async fn report(shell: Arc<Shell>, id: UpstreamId, address: SocketAddr) {
    let target = Client { timeout: REPORT_TIMEOUT, ..Client::direct(address) };
    let health = match target.get::<Report>("/health").await {
        Ok(it) => Health::Up { running: it.running, leaving: it.leaving },
        Err(_) => Health::Down,
    };
    shell.feed(Event::UpstreamHealth(id, health));
}

async fn send_metrics(shell: Arc<Shell>) {
    loop {
        clock::sleep(METRICS_PERIOD).await;
        let all = shell.read(|it| it.status());
        let sum = |f: fn(&ShardStatus) -> u64| all.iter().map(f).sum();
        shell.metrics.gauge("shards", all.len() as u64);
        shell.metrics.gauge("slots", sum(|it| u64::from(it.slots)));
        shell.metrics.gauge("slots_used", sum(|it| u64::from(it.used)));
        let waiting = |it: &ShardStatus| it.backlog.iter().map(|it| u64::from(it.waiting)).sum();
        shell.metrics.gauge("waiting", sum(waiting));
        let (sent, received) = rpc::control_traffic();
        shell.metrics.gauge("control_bytes", sent + received);
    }
}

/// Asks the seeds for the members until some are known, in case the platform is down.
async fn join(shell: Arc<Shell>, seeds: Vec<SocketAddr>) {
    while !seeds.is_empty() && shell.read(|it| it.view().iter().count()) < 2 {
        for it in &seeds {
            shell.probe_seed(*it).await;
        }
        clock::sleep(Duration::from_millis(500)).await;
    }
}
