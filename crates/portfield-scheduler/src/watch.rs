//! Polling of the host list, the configuration and the upstreams.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use portfield::{
    ids::UpstreamId,
    schedule::{Event, Health, ShardStatus},
};
use portfield_net::{
    clock, fleet_store, http1::Client, platform::PlatformClient, rpc, rt::Runtime,
};
use serde::Deserialize;

use crate::{app::App, settings::Settings};

/// Timeout for a response of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the health report of an upstream.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(800);
/// Period of the metrics.
const METRICS_PERIOD: Duration = Duration::from_secs(5);

/// Health report of an upstream.
#[derive(Debug, Deserialize)]
struct HealthReport {
    running: u32,
    #[serde(default)]
    leaving: bool,
}

/// Starts the tasks that poll, report metrics and join the membership.
pub(crate) fn start(rt: &Runtime, app: &Arc<App>, settings: &Settings) {
    let platform = PlatformClient::new(settings.platform, PLATFORM_TIMEOUT);
    rt.spawn(watch_hosts(app.clone(), platform.clone(), settings.list_period));
    rt.spawn(watch_fleet(app.clone(), platform, settings.config_period));
    rt.spawn(watch_upstreams(app.clone(), settings.report_period));
    rt.spawn(report_metrics(app.clone()));
    rt.spawn(join_members(app.clone(), settings.seeds.clone()));
}

async fn watch_hosts(app: Arc<App>, platform: PlatformClient, period: Duration) {
    let mut etag = String::new();
    loop {
        if let Ok(Some((hosts, new_etag))) = platform.read_hosts_if_changed(&etag).await {
            etag = new_etag;
            let entries = hosts.iter().map(|it| it.list_entry()).collect();
            app.handle_event(Event::HostList(entries));
        }
        clock::sleep(period).await;
    }
}

async fn watch_fleet(app: Arc<App>, platform: PlatformClient, period: Duration) {
    loop {
        let above = app.read(|it| it.fleet().revision);
        match fleet_store::read_fleet(&platform, above).await {
            Ok(Some(fleet)) => app.update_fleet(fleet),
            Ok(None) => (),
            Err(err) => log::debug!(err:%; "reading the configuration failed"),
        }
        clock::sleep(period).await;
    }
}

async fn watch_upstreams(app: Arc<App>, period: Duration) {
    loop {
        for (id, address) in app.read(|it| it.watched_upstreams()) {
            app.rt.spawn(poll_health(app.clone(), id, address));
        }
        clock::sleep(period).await;
    }
}

async fn poll_health(app: Arc<App>, id: UpstreamId, address: SocketAddr) {
    let client = Client { timeout: HEALTH_TIMEOUT, ..Client::direct(address) };
    let health = match client.get::<HealthReport>("/health").await {
        Ok(it) => Health::Up { running: it.running, leaving: it.leaving },
        Err(_) => Health::Down,
    };
    app.handle_event(Event::UpstreamHealth(id, health));
}

async fn report_metrics(app: Arc<App>) {
    loop {
        clock::sleep(METRICS_PERIOD).await;
        let all = app.read(|it| it.status());
        let sum = |f: fn(&ShardStatus) -> u64| all.iter().map(f).sum();
        app.metrics.gauge("shards", all.len() as u64);
        app.metrics.gauge("slots", sum(|it| u64::from(it.slots)));
        app.metrics.gauge("slots_used", sum(|it| u64::from(it.used)));
        let waiting = |it: &ShardStatus| it.backlog.iter().map(|it| u64::from(it.waiting)).sum();
        app.metrics.gauge("waiting", sum(waiting));
        let (sent, received) = rpc::control_traffic();
        app.metrics.gauge("control_bytes", sent + received);
    }
}

/// Probes the seeds until another member is known, in case the platform is down.
async fn join_members(app: Arc<App>, seeds: Vec<SocketAddr>) {
    while !seeds.is_empty() && app.read(|it| it.view().iter().count()) < 2 {
        for it in &seeds {
            app.probe_seed(*it).await;
        }
        clock::sleep(Duration::from_millis(500)).await;
    }
}
