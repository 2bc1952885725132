//! A soak: all faults mixed on real processes for a bounded time, every promise counted.
//!
//! Not in CI. `SOAK_SECONDS=120 SOAK_SEED=7 cargo test --release -p portfield-standins
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
    Answer, Fleet, Shape, events, generation, get, order, orders, request, send, switch, until,
};

/// Callers at once.
const N_CALLERS: usize = 12;
/// Time between two faults.
const FAULT_PERIOD: Duration = Duration::from_millis(700);

/// What callers saw.
#[derive(Default)]
struct Seen {
    counts: Mutex<BTreeMap<String, u64>>,
    violations: Mutex<Vec<String>>,
    /// Orders that were said not to have run.
    not_run: Mutex<Vec<String>>,
}

impl Seen {
    fn count(&self, what: &str) {
        *self.counts.lock().unwrap().entry(what.to_owned()).or_default() += 1;
    }

    fn violate(&self, text: String) {
        self.violations.lock().unwrap().push(text);
    }
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// Sends to a router, unless nothing listens there: the balancer would not send then.
fn call(address: SocketAddr, bytes: &str) -> Option<Answer> {
    TcpStream::connect(address).ok()?;
    Some(send(address, bytes))
}

fn generate(seen: &Seen, address: SocketAddr, name: &str, rng: &mut fastrand::Rng) {
    let cost = rng.u32(2..60);
    let Some(res) = call(address, &request("large", "/scribe/run", &generation(name, cost), ""))
    else {
        return;
    };
    match res.status {
        200 if res.whole && res.body == events(name, cost) => seen.count("streams whole"),
        200 if events(name, cost).starts_with(&res.body) => seen.count("streams visibly broken"),
        200 => seen.violate(format!("{name} got another's answer: {res:?}")),
        // The router stopped between the look and the call.
        0 => seen.count("streams not taken"),
        _ if res.outcome() == "not-run" => seen.count("streams refused"),
        _ => seen.count("streams unknown"),
    }
}

fn place_order(seen: &Seen, addresses: &[SocketAddr], name: &str, rng: &mut fastrand::Rng) {
    let key = format!("idempotency-key: {name}\r\n");
    let headers = if rng.bool() { key.as_str() } else { "" };
    // With a key a caller may ask again anywhere; without one it must not.
    let n_tries = if headers.is_empty() { 1 } else { 3 };
    for _ in 0..n_tries {
        let address = addresses[rng.usize(..addresses.len())];
        let bytes = request("small", "/ledger/order", &order(name), headers);
        let Some(res) = call(address, &bytes) else { continue };
        let is_own = res.whole && res.json() == json!({ "echo": name });
        match res.status {
            200 if is_own => seen.count("orders whole"),
            200 if !res.whole => seen.count("orders visibly broken"),
            200 => seen.violate(format!("{name} got another's answer: {res:?}")),
            0 => seen.count("orders not taken"),
            409 => seen.count("orders known already"),
            _ if res.outcome() == "not-run" => {
                seen.count("orders refused");
                if n_tries == 1 {
                    seen.not_run.lock().unwrap().push(name.to_owned());
                }
            }
            _ => seen.count("orders unknown"),
        }
        if res.status == 200 {
            return;
        }
    }
}

fn restart_scheduler(fleet: &mut Fleet, idx: usize) {
    let (ip, centre) = (fleet.hosts[idx].ip.clone(), fleet.hosts[idx].centre.clone());
    let old = fleet.hosts[idx].scheduler.address;
    fleet.hosts[idx].scheduler.kill();
    fleet.hosts[idx].scheduler = fleet.restart_scheduler(&ip, &centre, old);
}

/// Stops a router as planned while it serves, and starts it again at its address.
fn restart_router(fleet: &mut Fleet, idx: usize, seen: &Seen) {
    let host = &mut fleet.hosts[idx];
    host.router.signal("-TERM");
    if host.router.exit_code() != Some(0) {
        seen.violate("a planned stop ended badly".to_owned());
    }
    let (ip, centre) = (host.ip.clone(), host.centre.clone());
    let (scheduler, old) = (host.scheduler.address, host.router.address);
    fleet.hosts[idx].router = fleet.restart_router(&ip, &centre, scheduler, old);
}

fn break_something(fleet: &mut Fleet, rng: &mut fastrand::Rng, seen: &Seen, share: &mut u32) {
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
            fleet.link(from, to, true);
            fleet.link(to, from, both);
            thread::sleep(Duration::from_millis(rng.u64(500..3000)));
            fleet.link(0, 1, false);
            fleet.link(1, 0, false);
        }
        3 => {
            fleet.platform_faults(&json!({ "down": true }));
            // A second fault while the platform is down.
            restart_scheduler(fleet, idx);
            thread::sleep(Duration::from_millis(rng.u64(500..2000)));
            fleet.platform_faults(&json!({}));
        }
        4 => fleet.platform_faults(&json!({ "lose_answers": 2, "lose_requests": 1 })),
        5 => switch(
            &fleet.engines[rng.usize(..fleet.engines.len())],
            &json!({ "fault": "break-stream", "times": 3 }),
        ),
        6 => {
            let all = ["close-unread", "close-unrun", "close-run", "close-head", "decline"];
            let fault = all[rng.usize(..all.len())];
            switch(
                &fleet.plains[rng.usize(..fleet.plains.len())],
                &json!({ "fault": fault, "times": 2 }),
            );
        }
        7 => restart_router(fleet, idx, seen),
        _ => {
            *share += 1;
            fleet.platform_faults(&json!({}));
            let intent = fleet.intent.replace("share = 4", &format!("share = {share}"));
            fleet.apply(&intent);
        }
    }
    seen.count(&format!("fault {fault}"));
}

#[test]
#[ignore = "takes a minute; run by hand"]
fn no_promise_is_broken_under_all_faults_mixed() {
    let (secs, seed) = (number("SOAK_SECONDS", 60), number("SOAK_SEED", 1));
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::start(Shape {
        hosts: vec![2, 2],
        engines: vec![2, 1],
        plains: vec![1, 1],
        router: "stall_timeout_ms = 2000\nanswer_timeout_ms = 2000",
        ..Shape::default()
    });
    let seen = Seen::default();
    let over = AtomicBool::new(false);
    let addresses: Vec<_> = fleet.hosts.iter().map(|it| it.router.address).collect();
    thread::scope(|scope| {
        for caller in 0..N_CALLERS {
            let (seen, over, addresses) = (&seen, &over, &addresses);
            let mut rng = fastrand::Rng::with_seed(seed + 1 + caller as u64);
            scope.spawn(move || {
                for n in 0.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let name = format!("c{caller}-{n}");
                    if rng.u32(..3) == 0 {
                        place_order(seen, addresses, &name, &mut rng);
                    } else {
                        let address = addresses[rng.usize(..addresses.len())];
                        generate(seen, address, &name, &mut rng);
                    }
                }
            });
        }
        let end = Instant::now() + Duration::from_secs(secs);
        let (mut share, mut last) = (4, vec![0; fleet.hosts.len() * 2]);
        while Instant::now() < end {
            break_something(&mut fleet, &mut rng, &seen, &mut share);
            thread::sleep(FAULT_PERIOD);
            // A restarted process begins at none; one that has a revision must not lose it.
            let now = fleet.revisions();
            for (idx, (last, now)) in last.iter().zip(&now).enumerate() {
                if now < last && *now != 0 {
                    seen.violate(format!("process {idx} fell from revision {last} to {now}"));
                }
            }
            last = now;
        }
        fleet.platform_faults(&json!({}));
        over.store(true, Ordering::Relaxed);
    });
    let mut ran: HashMap<String, u64> = HashMap::new();
    for it in fleet.plains.iter().flat_map(orders) {
        *ran.entry(it.0).or_default() += it.1;
    }
    for (name, n) in ran.iter().filter(|it| 1 < *it.1) {
        seen.violate(format!("order {name} ran {n} times"));
    }
    for name in seen.not_run.lock().unwrap().iter().filter(|it| ran.contains_key(*it)) {
        seen.violate(format!("order {name} was said not to have run"));
    }
    until("every slot is free again", || fleet.shards().iter().all(|(_, it)| it["used"] == 0));
    for (idx, it) in fleet.engines.iter().enumerate() {
        let most = get(it.address, "/runs").json()["most_running"].clone();
        seen.count(&format!("most at once on engine {idx} (4 slots): {most}"));
    }
    writeln!(std::io::stdout(), "{:#?}", seen.counts.lock().unwrap()).unwrap();
    let violations = seen.violations.lock().unwrap();
    assert!(violations.is_empty(), "{violations:#?}");
}
