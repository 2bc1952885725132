//! Requests that reach upstreams while they are cold, when hosts start again or are added.

mod fleet;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use fleet::{Fleet, Host, config, request, send_request, wait_until};
use portfield_platform_standins::FakeUpstream;
use serde_json::json;

/// Settings with which a cold upstream that takes 6.1 requests a second may get [`MAX_RATE`].
const SETTINGS: &str = "cold_overrun = 1.5\ncold_slack = 5";
const MAX_RATE: f64 = 6.1 * 1.5 + 5.0;
const COLD_TIME: Duration = Duration::from_secs(3);
const N_CALLERS: usize = 4;

/// Callers that send requests to hosts, each the next one after its response.
struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    fn new() -> Self {
        Self { stop: Arc::default(), threads: Vec::new() }
    }

    /// Starts the callers of a host.
    fn add(&mut self, host: &Host) {
        for caller in 0..N_CALLERS {
            let (stop, listen) = (self.stop.clone(), host.listen);
            self.threads.push(thread::spawn(move || keep_asking(listen, caller, &stop)));
        }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|it| it.join().unwrap());
    }
}

fn keep_asking(listen: SocketAddr, caller: usize, stop: &AtomicBool) {
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let text = request("check", &format!("{}-{caller}-{n}", listen.port()));
        send_request(listen, text.as_bytes());
        thread::sleep(Duration::from_millis(20));
    }
}

/// Starts plain upstreams of a service whose upstreams are cold after their start, and hosts.
fn start(n_upstreams: usize, n_hosts: usize) -> (Fleet, Vec<Host>) {
    let mut fleet = Fleet::new(n_upstreams, 0);
    let mut cold = config(2);
    cold["services"][0]["cold_start_s"] = json!(COLD_TIME.as_secs());
    cold["services"][0]["cold_per_s"] = json!(6.1);
    fleet.store.put("op", "config", &cold);
    let hosts: Vec<Host> = (0..n_hosts).map(|_| fleet.spawn_host(SETTINGS)).collect();
    wait_until("the hosts are ready", || hosts.iter().all(Host::is_ready));
    wait_until("the hosts know each other", || {
        hosts.iter().all(|it| it.metric("portfield_hosts") == n_hosts as f64)
    });
    // A host sends nothing to cold upstreams before it could know the others.
    thread::sleep(Duration::from_secs(1));
    (fleet, hosts)
}

/// Reports upstreams as cold from now on, and starts the callers once the hosts know.
fn turn_cold(fleet: &Fleet, hosts: &[Host]) -> Callers {
    for it in &fleet.plain_upstreams {
        let mut entry = it.entry("desk", "ready");
        entry["cold_remaining_ms"] = json!(COLD_TIME.as_millis() as u64);
        fleet.store.put("servers", &it.id, &entry);
    }
    wait_until("the hosts know that the upstreams are cold", || {
        hosts.iter().all(|it| it.log_entries("upstream cold").len() == fleet.plain_upstreams.len())
    });
    let mut res = Callers::new();
    hosts.iter().for_each(|it| res.add(it));
    res
}

/// Returns the times at which requests reached an upstream, without those that may have come when it was warm
/// again: hosts learn that it is cold a moment before the first one.
fn arrivals(upstream: &FakeUpstream) -> Vec<Duration> {
    let mut res: Vec<Duration> = upstream.requests().iter().map(|it| it.received_at).collect();
    res.sort();
    let end = res.first().map_or(Duration::ZERO, |it| *it + COLD_TIME * 5 / 6);
    res.retain(|it| *it < end);
    res
}

/// Returns the most arrivals within a second.
fn most_in_a_second(arrivals: &[Duration]) -> usize {
    let second = Duration::from_secs(1);
    let in_second = |from: &Duration| {
        arrivals.iter().filter(|it| *from <= **it && **it <= *from + second).count()
    };
    arrivals.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against processes that send a cold upstream their whole quota anew after they were killed and started again.
#[test]
fn hosts_that_start_again_keep_to_the_rate_of_a_cold_upstream() {
    let (mut fleet, hosts) = start(1, 3);
    let cold = fleet.plain_upstreams[0].clone();
    let mut callers = turn_cold(&fleet, &hosts);
    wait_until("a request reaches the cold upstream", || 0 < cold.n_executed());
    thread::sleep(Duration::from_millis(150));
    let n_before = cold.n_executed();
    let hosts: Vec<Host> = hosts.into_iter().map(|it| fleet.restart_host(it, SETTINGS)).collect();
    hosts.iter().for_each(|it| callers.add(it));
    wait_until("the hosts are ready again", || hosts.iter().all(Host::is_ready));
    wait_until("requests reach the cold upstream again", || n_before + 6 <= cold.n_executed());
    callers.stop();
    let most = most_in_a_second(&arrivals(&cold));
    assert!(most as f64 <= MAX_RATE, "{most} requests in a second");
}

/// Guards against chosen hosts that go on sending to cold upstreams although added hosts have taken their place.
#[test]
fn hosts_that_are_added_keep_to_the_rate_of_cold_upstreams() {
    let (mut fleet, hosts) = start(12, 3);
    let mut callers = turn_cold(&fleet, &hosts);
    thread::sleep(Duration::from_millis(300));
    let added: Vec<Host> = (0..4).map(|_| fleet.spawn_host(SETTINGS)).collect();
    added.iter().for_each(|it| callers.add(it));
    thread::sleep(COLD_TIME);
    callers.stop();
    let most: Vec<usize> =
        fleet.plain_upstreams.iter().map(|it| most_in_a_second(&arrivals(it))).collect();
    assert!(most.iter().all(|it| *it as f64 <= MAX_RATE), "requests in a second: {most:?}");
    let n_sent = |it: &Host| {
        let placed = it.log_entries("placed");
        placed.iter().filter(|it| it["upstream"].as_str().is_some()).count()
    };
    assert!(added.iter().map(n_sent).sum::<usize>() > 0, "the added hosts serve");
}
