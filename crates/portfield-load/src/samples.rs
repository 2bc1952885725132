//! Samples of slots in use and control traffic, polled from schedulers and routers during a run.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use portfield::fleet::{Fleet, Kind};
use portfield_net::{clock, http1::Client, platform::Host};
use serde_json::Value;

/// Time between two polls of all hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Samples of a run.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    /// Engine slots, summed over the polls at which requests waited for the service.
    pub slots: u64,
    /// Engine slots in use, summed over the same polls.
    pub used_slots: u64,
    /// Bytes of control traffic by process, at the first and the latest poll.
    pub control_bytes: HashMap<String, (u64, u64)>,
    pub first_poll: Option<Duration>,
    pub last_poll: Duration,
    pub n_hosts: usize,
}

impl Samples {
    /// Returns the control traffic per host in bytes per second.
    pub(crate) fn control_rate(&self) -> f64 {
        let bytes: u64 = self.control_bytes.values().map(|(first, last)| last - first).sum();
        let time = self.last_poll.saturating_sub(self.first_poll.unwrap_or_default()).as_secs_f64();
        bytes as f64 / time.max(0.001) / self.n_hosts.max(1) as f64
    }
}

/// Polls the status of all hosts until the future is dropped.
pub(crate) async fn poll_hosts(hosts: Vec<Host>, fleet: Arc<Fleet>, samples: Arc<Mutex<Samples>>) {
    loop {
        let mut shards = Vec::new();
        for host in &hosts {
            for address in [host.scheduler_admin, host.router_admin] {
                let Ok(it) = Client::direct(address).get::<Value>("/status").await else {
                    continue;
                };
                record_bytes(&samples, address.to_string(), &it);
                shards.extend(it["shards"].as_array().cloned().unwrap_or_default());
            }
        }
        record_slots(&samples, &fleet, &shards);
        record_time(&samples, hosts.len());
        clock::sleep(POLL_INTERVAL).await;
    }
}

fn record_time(samples: &Mutex<Samples>, n_hosts: usize) {
    let mut it = samples.lock().unwrap_or_else(PoisonError::into_inner);
    it.last_poll = clock::now();
    it.n_hosts = n_hosts;
}

fn record_bytes(samples: &Mutex<Samples>, process: String, status: &Value) {
    let [sent, received] =
        ["control_sent", "control_received"].map(|it| status[it].as_u64().unwrap_or(0));
    let mut it = samples.lock().unwrap_or_else(PoisonError::into_inner);
    it.first_poll.get_or_insert_with(clock::now);
    let total = sent + received;
    it.control_bytes.entry(process).or_insert((total, total)).1 = total;
}

fn record_slots(samples: &Mutex<Samples>, fleet: &Fleet, shards: &[Value]) {
    for service in fleet.services.iter().filter(|it| it.kind == Kind::Engine) {
        let is_own = |it: &&Value| it["service"].as_u64() == Some(u64::from(service.id));
        let own: Vec<_> = shards.iter().filter(is_own).collect();
        let has_waiting =
            own.iter().any(|it| it["backlog"].as_array().is_some_and(|it| !it.is_empty()));
        if !has_waiting {
            continue;
        }
        let sum = |key: &str| own.iter().filter_map(|it| it[key].as_u64()).sum::<u64>();
        let mut it = samples.lock().unwrap_or_else(PoisonError::into_inner);
        it.slots += sum("slots");
        it.used_slots += sum("used");
    }
}
