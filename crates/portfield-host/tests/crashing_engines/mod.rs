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

/// Engines of a fleet with a fault that crashes them; crashed ones are replaced until dropped.
pub struct CrashingEngines {
    all: Arc<Mutex<Vec<FakeUpstream>>>,
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
        let (rt, store) = (fleet.rt.clone(), fleet.store.clone());
        let (list, stopped) = (all.clone(), is_stopped.clone());
        let restarter = thread::spawn(move || {
            let mut n_restarted = 0;
            while !stopped.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(10));
                n_restarted += restart_crashed(&rt, &store, &list, n_restarted, fault);
            }
        });
        Self { all, is_stopped, restarter: Some(restarter) }
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
    fault: UpstreamFault,
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
        let it = future::block_on(FakeUpstream::start(rt, &id, ENGINE_LATENCY)).unwrap();
        it.set_fault(fault);
        store.put("servers", &id, &it.entry("model", "ready"));
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
