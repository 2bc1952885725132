//! Looks at the schedulers while a trace runs: slots in use and control traffic.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use portfield::fleet::{Fleet, Kind};
use portfield_net::{clock, http1::Client, platform::Host};
use serde_json::Value;

/// Time between two looks.
const PERIOD: Duration = Duration::from_millis(250);

/// What was seen so far.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    /// Slots of engines and those in use, summed over looks at which something waited.
    pub slots: u64,
    pub used: u64,
    /// Control bytes by process, first and last.
    pub bytes: HashMap<String, (u64, u64)>,
    pub first: Option<Duration>,
    pub last: Duration,
    pub n_hosts: usize,
}

impl Samples {
    /// Returns control bytes a second for each host.
    pub(crate) fn control(&self) -> f64 {
        let bytes: u64 = self.bytes.values().map(|(first, last)| last - first).sum();
        let time = self.last.saturating_sub(self.first.unwrap_or_default()).as_secs_f64();
        bytes as f64 / time.max(0.001) / self.n_hosts.max(1) as f64
    }
}

/// Looks until it is dropped.
pub(crate) async fn watch(hosts: Vec<Host>, fleet: Arc<Fleet>, samples: Arc<Mutex<Samples>>) {
    loop {
        let mut shards = Vec::new();
        for host in &hosts {
            for address in [host.scheduler_admin, host.router_admin] {
                let Ok(it) = Client::direct(address).get::<Value>("/status").await else {
                    continue;
                };
                note_bytes(&samples, address.to_string(), &it);
                shards.extend(it["shards"].as_array().cloned().unwrap_or_default());
            }
        }
        note_slots(&samples, &fleet, &shards);
        note_time(&samples, hosts.len());
        clock::sleep(PERIOD).await;
    }
}

fn note_time(samples: &Mutex<Samples>, n_hosts: usize) {
    let mut it = samples.lock().unwrap_or_else(PoisonError::into_inner);
    it.last = clock::now();
    it.n_hosts = n_hosts;
}

fn note_bytes(samples: &Mutex<Samples>, process: String, status: &Value) {
    let [sent, received] =
        ["control_sent", "control_received"].map(|it| status[it].as_u64().unwrap_or(0));
    let mut it = samples.lock().unwrap_or_else(PoisonError::into_inner);
    it.first.get_or_insert_with(clock::now);
    let total = sent + received;
    it.bytes.entry(process).or_insert((total, total)).1 = total;
}

fn note_slots(samples: &Mutex<Samples>, fleet: &Fleet, shards: &[Value]) {
    for service in fleet.services.iter().filter(|it| it.kind == Kind::Engine) {
        let own = |it: &&Value| it["service"].as_u64() == Some(u64::from(service.id));
        let own: Vec<_> = shards.iter().filter(own).collect();
        let waits = own.iter().any(|it| it["backlog"].as_array().is_some_and(|it| !it.is_empty()));
        if !waits {
            continue;
        }
        let sum = |key: &str| own.iter().filter_map(|it| it[key].as_u64()).sum::<u64>();
        let mut it = samples.lock().unwrap_or_else(PoisonError::into_inner);
        it.slots += sum("slots");
        it.used += sum("used");
    }
}
