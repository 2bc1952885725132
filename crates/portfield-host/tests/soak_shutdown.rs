//! Randomized soak test of stops and crashes: hosts are stopped in series that overlap while callers keep their connections, and
//! upstreams whose responses have no length crash within them.
//!
//! CI runs the seeds of [`SEEDS`]. To run others: `SOAK_SEED=7 SOAK_COUNT=50 cargo test -p portfield-host --test
//! soak_shutdown -- --nocapture`.

mod fleet;

use std::{
    collections::HashMap,
    env,
    io::{self, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, Response, config, connect, read_response, request};
use futures_lite::future;
use portfield_platform_standins::{FakeUpstream, HeldBody, UpstreamFault};
use serde_json::json;

const SEEDS: [u64; 3] = [1, 2, 3];
const N_HOSTS: usize = 2;
const N_UPSTREAMS: usize = 4;
const N_CALLERS: usize = 24;
/// Time in which faults are injected, and pause between two of them.
const DURATION: Duration = Duration::from_secs(7);
const FAULT_INTERVAL: Duration = Duration::from_millis(180);
/// Longest pause within a response: what a host accepts up to a second after SIGTERM, whatever its deadline, is over by the
/// end of its grace period of three seconds.
const MAX_HOLD_MS: u64 = 1_000;
/// Longest deadline of a request, longer than a grace period.
const MAX_DEADLINE_MS: u64 = 6_000;
/// Longest time that a caller leaves its connection idle: longer than a grace period.
const MAX_IDLE_MS: u64 = 3_500;
/// Part of the requests before which a caller does so.
const IDLE_PART: f64 = 0.25;
/// Least part of the requests that is served.
const MIN_SERVED: f64 = 0.25;

/// Request, and the response that its caller got.
struct Outcome {
    id: String,
    route: &'static str,
    response: Option<Response>,
}

type Addresses = Arc<Mutex<Vec<std::net::SocketAddr>>>;

struct Soak {
    fleet: Fleet,
    hosts: Vec<Host>,
    addresses: Addresses,
    upstreams: Vec<FakeUpstream>,
    /// Upstreams that have crashed or left.
    past: Vec<FakeUpstream>,
    stopping: Vec<JoinHandle<Option<i32>>>,
    seed: u64,
    rng: fastrand::Rng,
    n_started: usize,
}

impl Soak {
    fn start(seed: u64) -> Self {
        let fleet = Fleet::new(0, 1);
        let mut config = config(2);
        for route in [0, 1] {
            config["routes"][route]["timeout_ms"] = json!(MAX_DEADLINE_MS);
        }
        fleet.store.put("op", "config", &config);
        let mut res = Self {
            fleet,
            hosts: Vec::new(),
            addresses: Arc::default(),
            upstreams: Vec::new(),
            past: Vec::new(),
            stopping: Vec::new(),
            seed,
            rng: fastrand::Rng::with_seed(seed),
            n_started: 0,
        };
        for _ in 0..N_UPSTREAMS {
            let it = res.start_upstream();
            res.upstreams.push(it);
        }
        res.hosts = (0..N_HOSTS).map(|_| res.fleet.start_host()).collect();
        *res.addresses.lock().unwrap() = res.hosts.iter().map(|it| it.listen).collect();
        res
    }

    /// Starts an upstream whose responses have a length, or none and a pause in the middle.
    fn start_upstream(&mut self) -> FakeUpstream {
        self.n_started += 1;
        // Unique among soaks that run side by side, which may use each other's ports.
        let id = format!("plain-{}-{}", self.seed, self.n_started);
        let latency = Duration::from_millis(self.rng.u64(2..200));
        let res = future::block_on(FakeUpstream::start(&self.fleet.rt, &id, latency)).unwrap();
        if self.rng.f64() < 0.75 {
            res.set_fault(UpstreamFault::HoldRest(HeldBody {
                status: 200,
                n_first: self.rng.usize(0..500),
                n_rest: 500,
                max_hold: Duration::from_millis(self.rng.u64(0..MAX_HOLD_MS)),
            }));
        }
        self.fleet.store.put("servers", &id, &res.entry("desk", "ready"));
        res
    }

    fn inject_fault(&mut self) {
        let (host, upstream) = (self.rng.usize(..N_HOSTS), self.rng.usize(..N_UPSTREAMS));
        match self.rng.u32(..10) {
            0..2 => self.stop(host),
            2..6 => self.replace(upstream, End::Crash),
            6..9 => self.replace(upstream, End::Drain),
            _ => {
                self.hosts[host].signal("-STOP");
                thread::sleep(Duration::from_millis(self.rng.u64(10..700)));
                self.hosts[host].signal("-CONT");
            }
        }
    }

    /// Starts another host, and stops this one; its callers keep their connections.
    fn stop(&mut self, idx: usize) {
        let new = self.fleet.start_host();
        self.addresses.lock().unwrap()[idx] = new.listen;
        let mut old = std::mem::replace(&mut self.hosts[idx], new);
        // A stream that is cut off at the end of the grace period, and keeps the host running until then.
        let stream = connect(old.listen);
        if let Some(mut it) = stream.as_ref() {
            let text = request("draft", &format!("long-{}", self.stopping.len()));
            let text = text.replace("30,24", "30,1200").replace("1200\r", "4500\r");
            it.write_all(text.as_bytes()).unwrap();
            thread::sleep(Duration::from_millis(30));
        }
        old.signal("-TERM");
        self.stopping.push(thread::spawn(move || {
            let _stream = stream;
            old.wait_for_exit()
        }));
    }

    fn replace(&mut self, idx: usize, end: End) {
        let new = self.start_upstream();
        let old = std::mem::replace(&mut self.upstreams[idx], new);
        match end {
            End::Crash => {
                old.crash();
                self.fleet.store.remove("servers", &old.id);
            }
            End::Drain => self.fleet.store.put("servers", &old.id, &old.entry("desk", "draining")),
        }
        self.past.push(old);
    }
}

/// How an upstream is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Crash,
    /// It lives on, and ends its responses.
    Drain,
}

/// Sends requests on kept connections until `stop` is set.
fn run_caller(addresses: &Addresses, caller: usize, seed: u64, stop: &AtomicBool) -> Vec<Outcome> {
    let mut rng = fastrand::Rng::with_seed(seed << 8 | caller as u64);
    let mut connection: Option<TcpStream> = None;
    let mut res = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let address = addresses.lock().unwrap()[rng.usize(..N_HOSTS)];
        if connection.is_some() && rng.f64() < IDLE_PART {
            thread::sleep(Duration::from_millis(rng.u64(0..MAX_IDLE_MS)));
        }
        let Some(mut stream) = connection.take().or_else(|| connect(address)) else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        let id = format!("c{seed}-{caller}-{}", res.len());
        let route = if rng.bool() { "order" } else { "check" };
        let deadline = rng.u64(600..MAX_DEADLINE_MS).to_string();
        let sent = stream.write_all(request(route, &id).replace("1200", &deadline).as_bytes());
        let response = sent.ok().and_then(|()| read_response(&mut stream));
        let is_kept = |it: &Response| it.is_complete && it.header("connection").is_none();
        connection = response.as_ref().is_some_and(is_kept).then_some(stream);
        res.push(Outcome { id, route, response });
        thread::sleep(Duration::from_millis(rng.u64(1..30)));
    }
    res
}

/// Describes the guarantees that were violated.
fn find_violations(upstreams: &[FakeUpstream], outcomes: &[Outcome]) -> Vec<String> {
    let mut runs: HashMap<String, Vec<&FakeUpstream>> = HashMap::new();
    for it in upstreams {
        for received in it.requests().into_iter().filter(|it| it.is_executed) {
            let id = received.header("attempt-id").unwrap_or_default().to_owned();
            runs.entry(id).or_default().push(it);
        }
    }
    let mut res = Vec::new();
    for Outcome { id, route, response } in outcomes {
        let runs = runs.get(id).map_or(&[][..], Vec::as_slice);
        let names: Vec<&str> = runs.iter().map(|it| it.id.as_str()).collect();
        if *route == "order" && 1 < runs.len() {
            res.push(format!("order {id} ran at {names:?}"));
        }
        let Some(response) = response.as_ref().filter(|it| it.is_complete) else {
            if *route == "order" && runs.iter().any(|it| !it.has_crashed()) {
                res.push(format!("order {id} ran at {names:?}, and its caller got no response"));
            }
            continue;
        };
        if response.status == 503 && *route == "order" && !runs.is_empty() {
            res.push(format!("order {id} was refused and ran at {names:?}"));
        }
        let is_whole = runs.iter().any(|it| response.body.len() == body_length(it));
        if response.status == 200 && !is_whole {
            res.push(format!("{route} {id} got {} bytes from {names:?}", response.body.len()));
        }
    }
    res
}

/// Returns the length of an upstream's responses.
fn body_length(upstream: &FakeUpstream) -> usize {
    match upstream.fault() {
        UpstreamFault::HoldRest(it) => it.n_first + it.n_rest,
        _ => format!("from {}", upstream.id).len(),
    }
}

/// Guards against responses that a crash cut and that look whole, and against requests that a stopping host lost.
#[test]
fn no_response_is_cut_and_no_request_lost() {
    let read = |name: &str| env::var(name).ok().map(|it| it.parse().unwrap());
    let seeds = match read("SOAK_SEED") {
        Some(first) => (first..first + read("SOAK_COUNT").unwrap_or(1)).collect(),
        None => SEEDS.to_vec(),
    };
    let failed: Vec<u64> = seeds.into_iter().filter(|it| !run(*it)).collect();
    assert!(failed.is_empty(), "seeds {failed:?}");
}

/// Runs a seed, prints its violations and returns whether there were none.
fn run(seed: u64) -> bool {
    let mut soak = Soak::start(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..N_CALLERS)
        .map(|n| {
            let (addresses, stop) = (soak.addresses.clone(), stop.clone());
            thread::spawn(move || run_caller(&addresses, n, seed, &stop))
        })
        .collect();
    let start = Instant::now();
    while start.elapsed() < DURATION {
        thread::sleep(FAULT_INTERVAL);
        soak.inject_fault();
    }
    stop.store(true, Ordering::Relaxed);
    let outcomes: Vec<Outcome> = callers.into_iter().flat_map(|it| it.join().unwrap()).collect();
    for it in soak.stopping {
        assert_eq!(it.join().unwrap(), Some(0), "seed {seed}: exit code of a stopped host");
    }
    let upstreams = [soak.upstreams, soak.past].concat();
    let violations = find_violations(&upstreams, &outcomes);
    let status = |it: &Outcome| it.response.as_ref().map_or(0, |it| it.status);
    let n_served = outcomes.iter().filter(|it| status(it) == 200).count();
    let n_refused = outcomes.iter().filter(|it| status(it) == 503).count();
    let mut text =
        format!("seed {seed}: {} requests, {n_served} served, {n_refused} refused", outcomes.len());
    violations.iter().for_each(|it| text.push_str(&format!("\n  {it}")));
    // The harness captures `print!` until the end of the test.
    let _ = writeln!(io::stderr(), "{text}");
    violations.is_empty() && MIN_SERVED * outcomes.len() as f64 <= n_served as f64
}
