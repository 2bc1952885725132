//! Soak test: injects random faults into a fleet of real processes for a bounded time, and counts
//! violated guarantees.
//!
//! Not run in CI; run it by hand:
//! `SOAK_SECONDS=120 SOAK_SEED=7 cargo test --release -p portfield-standins
//! --test soak -- --ignored --nocapture` after `cargo build --release --workspace --bins`.

mod fleet;

use std::{
    collections::{BTreeMap, HashMap},
    env,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::fleet::{
    Fleet, FleetOptions, Response, expected_events, generation_body, get, order_body, order_runs,
    request, send_request, update_settings, wait_until,
};

/// Number of concurrent callers.
const N_CALLERS: usize = 12;
/// Interval between faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);

/// Results of all callers.
#[derive(Default)]
struct Observations {
    /// Number of requests by result, and of injected faults by number.
    counts: Mutex<BTreeMap<String, u64>>,
    violations: Mutex<Vec<String>>,
    /// Orders without a key that were reported as not run.
    not_run: Mutex<Vec<String>>,
}

impl Observations {
    fn count(&self, what: &str) {
        *self.counts.lock().unwrap().entry(what.to_owned()).or_default() += 1;
    }

    fn record_violation(&self, text: String) {
        self.violations.lock().unwrap().push(text);
    }
}

/// Returns the number in an environment variable, or the default if it is absent or invalid.
fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// Sends a request unless nothing listens at the address, where a load balancer would send none.
fn send_if_listening(address: SocketAddr, bytes: &str) -> Option<Response> {
    TcpStream::connect(address).ok()?;
    Some(send_request(address, bytes))
}

/// Sends a generation and checks that the response has only its own events.
fn check_generation(
    observed: &Observations,
    address: SocketAddr,
    name: &str,
    rng: &mut fastrand::Rng,
) {
    let cost = rng.u32(2..60);
    let Some(res) = send_if_listening(
        address,
        &request("large", "/scribe/run", &generation_body(name, cost), ""),
    ) else {
        return;
    };
    match res.status {
        200 if res.is_complete && res.body == expected_events(name, cost) => {
            observed.count("streams complete");
        }
        200 if expected_events(name, cost).starts_with(&res.body) => {
            observed.count("streams incomplete");
        }
        200 => observed.record_violation(format!("{name} got a foreign response: {res:?}")),
        // The router stopped after the check that it listens.
        0 => observed.count("streams without response"),
        _ if res.outcome() == "not-run" => observed.count("streams refused"),
        _ => observed.count("streams of unknown outcome"),
    }
}

/// Sends an order, with a key or without, and checks that the response is its own.
fn check_order(
    observed: &Observations,
    addresses: &[SocketAddr],
    name: &str,
    rng: &mut fastrand::Rng,
) {
    let key = format!("idempotency-key: {name}\r\n");
    let headers = if rng.bool() { key.as_str() } else { "" };
    // A request with a key may be repeated at any router, one without a key may not.
    let n_tries = if headers.is_empty() { 1 } else { 3 };
    for _ in 0..n_tries {
        let address = addresses[rng.usize(..addresses.len())];
        let bytes = request("small", "/ledger/order", &order_body(name), headers);
        let Some(res) = send_if_listening(address, &bytes) else { continue };
        let is_own = res.is_complete && res.json() == json!({ "echo": name });
        match res.status {
            200 if is_own => observed.count("orders complete"),
            200 if !res.is_complete => observed.count("orders incomplete"),
            200 => observed.record_violation(format!("{name} got a foreign response: {res:?}")),
            0 => observed.count("orders without response"),
            409 => observed.count("orders refused for their key"),
            _ if res.outcome() == "not-run" => {
                observed.count("orders refused");
                if n_tries == 1 {
                    observed.not_run.lock().unwrap().push(name.to_owned());
                }
            }
            _ => observed.count("orders of unknown outcome"),
        }
        if res.status == 200 {
            return;
        }
    }
}

/// Kills a scheduler and starts it again at its address.
fn restart_scheduler(fleet: &mut Fleet, idx: usize) {
    let (ip, centre) = (fleet.hosts[idx].ip.clone(), fleet.hosts[idx].data_centre.clone());
    let old = fleet.hosts[idx].scheduler.address;
    fleet.hosts[idx].scheduler.kill();
    fleet.hosts[idx].scheduler = fleet.restart_scheduler(&ip, &centre, old);
}

/// Shuts a router down while it serves, and starts it again at its address.
fn restart_router(fleet: &mut Fleet, idx: usize, observed: &Observations) {
    let host = &mut fleet.hosts[idx];
    host.router.signal("-TERM");
    if host.router.wait_for_exit() != Some(0) {
        observed.record_violation("a router did not exit with 0 on SIGTERM".to_owned());
    }
    let (ip, centre) = (host.ip.clone(), host.data_centre.clone());
    let (scheduler, old) = (host.scheduler.address, host.router.address);
    fleet.hosts[idx].router = fleet.restart_router(&ip, &centre, scheduler, old);
}

/// Injects a random fault, or changes the share of `large`.
fn inject_fault(
    fleet: &mut Fleet,
    rng: &mut fastrand::Rng,
    observed: &Observations,
    share: &mut u32,
) {
    let idx = rng.usize(..fleet.hosts.len());
    let fault = rng.usize(..9);
    match fault {
        0 => restart_scheduler(fleet, idx),
        1 => {
            fleet.hosts[idx].scheduler.signal("-STOP");
            thread::sleep(Duration::from_millis(rng.u64(500..3000)));
            fleet.hosts[idx].scheduler.signal("-CONT");
        }
        2 => {
            let (from, to) = if rng.bool() { (0, 1) } else { (1, 0) };
            let both = rng.bool();
            fleet.set_link(from, to, true);
            fleet.set_link(to, from, both);
            thread::sleep(Duration::from_millis(rng.u64(500..3000)));
            fleet.set_link(0, 1, false);
            fleet.set_link(1, 0, false);
        }
        3 => {
            fleet.set_platform_faults(&json!({ "down": true }));
            // The scheduler restarts while the platform is down.
            restart_scheduler(fleet, idx);
            thread::sleep(Duration::from_millis(rng.u64(500..2000)));
            fleet.set_platform_faults(&json!({}));
        }
        4 => fleet.set_platform_faults(&json!({ "lose_answers": 2, "lose_requests": 1 })),
        5 => update_settings(
            &fleet.engines[rng.usize(..fleet.engines.len())],
            &json!({ "fault": "break-stream", "times": 3 }),
        ),
        6 => {
            let all = ["close-unread", "close-unrun", "close-run", "close-head", "decline"];
            let fault = all[rng.usize(..all.len())];
            update_settings(
                &fleet.plain_services[rng.usize(..fleet.plain_services.len())],
                &json!({ "fault": fault, "times": 2 }),
            );
        }
        7 => restart_router(fleet, idx, observed),
        _ => {
            *share += 1;
            fleet.set_platform_faults(&json!({}));
            let intent = fleet.intent.replace("share = 4", &format!("share = {share}"));
            fleet.apply(&intent);
        }
    }
    observed.count(&format!("fault {fault}"));
}

#[test]
#[ignore = "takes a minute; run by hand"]
fn mixed_faults_violate_no_guarantee() {
    let (secs, seed) = (env_number("SOAK_SECONDS", 60), env_number("SOAK_SEED", 1));
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::start(FleetOptions {
        n_hosts: vec![2, 2],
        n_engines: vec![2, 1],
        n_plain: vec![1, 1],
        router_settings: "stall_timeout_ms = 2000\nanswer_timeout_ms = 2000",
        ..FleetOptions::default()
    });
    let observed = Observations::default();
    let is_finished = AtomicBool::new(false);
    let addresses: Vec<_> = fleet.hosts.iter().map(|it| it.router.address).collect();
    thread::scope(|scope| {
        for caller in 0..N_CALLERS {
            let (observed, is_finished, addresses) = (&observed, &is_finished, &addresses);
            let mut rng = fastrand::Rng::with_seed(seed + 1 + caller as u64);
            scope.spawn(move || {
                for n in 0.. {
                    if is_finished.load(Ordering::Relaxed) {
                        return;
                    }
                    let name = format!("c{caller}-{n}");
                    if rng.u32(..3) == 0 {
                        check_order(observed, addresses, &name, &mut rng);
                    } else {
                        let address = addresses[rng.usize(..addresses.len())];
                        check_generation(observed, address, &name, &mut rng);
                    }
                }
            });
        }
        let ends_at = Instant::now() + Duration::from_secs(secs);
        let (mut share, mut last) = (4, vec![0; fleet.hosts.len() * 2]);
        while Instant::now() < ends_at {
            inject_fault(&mut fleet, &mut rng, &observed, &mut share);
            thread::sleep(FAULT_INTERVAL);
            // A restarted process has revision 0 at first; from any other it must not go back.
            let now = fleet.revisions();
            for (idx, (last, now)) in last.iter().zip(&now).enumerate() {
                if now < last && *now != 0 {
                    observed.record_violation(format!(
                        "process {idx} went back from revision {last} to {now}"
                    ));
                }
            }
            last = now;
        }
        fleet.set_platform_faults(&json!({}));
        is_finished.store(true, Ordering::Relaxed);
    });
    let mut runs_by_order: HashMap<String, u64> = HashMap::new();
    for it in fleet.plain_services.iter().flat_map(order_runs) {
        *runs_by_order.entry(it.0).or_default() += it.1;
    }
    for (name, n) in runs_by_order.iter().filter(|it| 1 < *it.1) {
        observed.record_violation(format!("order {name} was executed {n} times"));
    }
    for name in observed.not_run.lock().unwrap().iter().filter(|it| runs_by_order.contains_key(*it))
    {
        observed.record_violation(format!("order {name} was executed but reported as not run"));
    }
    wait_until("all slots are free", || fleet.shards().iter().all(|(_, it)| it["used"] == 0));
    for (idx, it) in fleet.engines.iter().enumerate() {
        let max_running = get(it.address, "/runs").json()["most_running"].clone();
        observed
            .count(&format!("most concurrent requests on engine {idx} (4 slots): {max_running}"));
    }
    writeln!(std::io::stdout(), "{:#?}", observed.counts.lock().unwrap()).unwrap();
    let violations = observed.violations.lock().unwrap();
    assert!(violations.is_empty(), "{violations:#?}");
}
