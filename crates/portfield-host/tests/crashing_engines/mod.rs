//! Test fixture: engines that certain requests crash, and that are replaced by new ones.

#![allow(dead_code)]

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use futures_lite::future;
use portfield_net::rt::Runtime;
use portfield_platform_standins::{FakeStore, FakeUpstream, ReceivedRequest, UpstreamFault};

use crate::fleet::{Fleet, Host, wait_until};

/// Time after which a crashed engine restarts.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time between two events of an engine's stream.
const ENGINE_LATENCY: Duration = Duration::from_millis(10);

/// What engines that start from now on do, and are.
#[derive(Debug, Clone)]
struct Release {
    fault: UpstreamFault,
    software_version: String,
}

impl Release {
    /// Starts an engine and lists it.
    fn start(&self, rt: &Runtime, store: &FakeStore, id: &str) -> FakeUpstream {
        let res = future::block_on(FakeUpstream::start(rt, id, ENGINE_LATENCY)).unwrap();
        res.set_fault(self.fault);
        res.set_software_version(&self.software_version);
        store.put("servers", id, &res.entry("model", "ready"));
        res
    }
}

/// Engines of a fleet with a fault that crashes them; crashed ones are replaced until dropped.
pub struct CrashingEngines {
    all: Arc<Mutex<Vec<FakeUpstream>>>,
    release: Arc<Mutex<Release>>,
    is_stopped: Arc<AtomicBool>,
    restarter: Option<JoinHandle<()>>,
}

impl CrashingEngines {
    pub fn new(fleet: &Fleet, fault: UpstreamFault) -> Self {
        for it in &fleet.engines {
            it.set_fault(fault);
        }
        let all = Arc::new(Mutex::new(fleet.engines.clone()));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let release = Release { fault, software_version: fleet.engines[0].software_version() };
        let release = Arc::new(Mutex::new(release));
        let (rt, store) = (fleet.rt.clone(), fleet.store.clone());
        let (list, stopped, current) = (all.clone(), is_stopped.clone(), release.clone());
        let restarter = thread::spawn(move || {
            let mut n_restarted = 0;
            while !stopped.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(10));
                n_restarted += restart_crashed(&rt, &store, &list, n_restarted, &current);
            }
        });
        Self { all, release, is_stopped, restarter: Some(restarter) }
    }

    /// Replaces all engines by as many with another software version and fault; the old ones end what they run.
    pub fn release(&self, fleet: &Fleet, software_version: &str, fault: UpstreamFault) {
        let new = Release { fault, software_version: software_version.to_owned() };
        *self.release.lock().unwrap() = new.clone();
        let mut all = self.all.lock().unwrap();
        all.iter().for_each(|it| fleet.store.remove("servers", &it.id));
        for n in 0..fleet.engines.len() {
            all.push(new.start(&fleet.rt, &fleet.store, &format!("{software_version}-{n}")));
        }
    }

    /// Crashes the `n`th of the engines that run, for a reason of its own.
    pub fn crash(&self, n: usize) {
        let all = self.all.lock().unwrap();
        let running: Vec<_> = all.iter().filter(|it| !it.has_crashed()).collect();
        running[n % running.len()].crash();
    }

    /// Returns when executed requests that `f` selects arrived at engines with a fault, in order.
    pub fn arrivals_at_faulty(&self, f: impl Fn(&ReceivedRequest) -> bool) -> Vec<Duration> {
        let all = self.all.lock().unwrap();
        let faulty = all.iter().filter(|it| it.fault() != UpstreamFault::None);
        let executed = faulty.flat_map(FakeUpstream::requests).filter(|it| it.is_executed && f(it));
        let mut res: Vec<Duration> = executed.map(|it| it.received_at).collect();
        res.sort();
        res
    }

    /// Returns the number of engines that have crashed.
    pub fn n_crashed(&self) -> usize {
        self.all.lock().unwrap().iter().filter(|it| it.has_crashed()).count()
    }

    /// Returns the number of executed requests that `f` selects.
    pub fn n_executed(&self, f: impl Fn(&ReceivedRequest) -> bool) -> usize {
        let all = self.all.lock().unwrap();
        let received = all.iter().flat_map(FakeUpstream::requests);
        received.filter(|it| it.is_executed && f(it)).count()
    }

    /// Returns the number of other requests interrupted by crashes.
    pub fn n_interrupted(&self) -> u32 {
        self.all.lock().unwrap().iter().map(FakeUpstream::n_interrupted).sum()
    }
}

impl Drop for CrashingEngines {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        let _ = self.restarter.take().map(JoinHandle::join);
    }
}

/// Starts a new engine for each one crashed beyond the `n_restarted` already replaced; returns their number.
fn restart_crashed(
    rt: &Runtime,
    store: &FakeStore,
    all: &Mutex<Vec<FakeUpstream>>,
    n_restarted: usize,
    release: &Mutex<Release>,
) -> usize {
    let mut crashed: Vec<FakeUpstream> = all.lock().unwrap().clone();
    crashed.retain(FakeUpstream::has_crashed);
    let n_new = crashed.len().saturating_sub(n_restarted);
    if n_new == 0 {
        return 0;
    }
    thread::sleep(RESTART_DELAY);
    for it in &crashed {
        store.remove("servers", &it.id);
    }
    for n in 0..n_new {
        let id = format!("engine-again-{}", n_restarted + n);
        let it = release.lock().unwrap().start(rt, store, &id);
        all.lock().unwrap().push(it);
    }
    n_new
}

/// Starts hosts and waits until they know each other.
pub fn start_hosts(fleet: &mut Fleet, n: usize) -> Vec<Host> {
    let res: Vec<Host> = (0..n).map(|_| fleet.start_host()).collect();
    let has_all_peers = |it: &Host| it.metric("portfield_hosts") as usize == n;
    wait_until("all hosts know each other", || res.iter().all(has_all_peers));
    res
}
