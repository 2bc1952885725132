//! A request that ends every upstream that runs it.
//!
//! What users saw: one engine after the other ended, nine of nine within some seconds, each with the streams of
//! all who were served there; those that came back ended again. Under one request nineteen engines ended.
//!
//! The order of events: a request is sent to an engine and ends it 0.2 to 0.7 s later. Its caller has a 502,
//! or a broken stream, and asks again under another attempt's id, at another host. That host has not heard
//! of it and sends it to the next engine.
//!
//! The cause: nothing outlived an attempt. Each host counted tries within one exchange; none told the
//! others, or remembered itself, which requests had run where an upstream ended.
//!
//! The evidence: at fourteen engines that ended, one request was running each time, the same by workspace, route
//! and tokens, as the first try of another attempt each time, at eight hosts of nine; no other request was
//! at more than one of them.

mod fleet;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use fleet::{Answer, Fleet, Host, exchange, request, until};
use futures_lite::future;
use portfield_net::rt::Runtime;
use portfield_platform_standins::{FakeStore, FakeUpstream, StoreFault, UpstreamFault};
use serde_json::Value;

/// What the body of a lethal request holds.
const LETHAL: &str = "!!!!";
/// Ends by which a request is known to be lethal.
const ENDS: usize = 3;
/// Runs more that may be on their way by then, at other hosts.
const ON_THEIR_WAY: usize = 2;
/// Callers of other requests, each with one at a time.
const CALLERS: usize = 6;
/// Time after which an engine that ended is back.
const BACK: Duration = Duration::from_millis(300);
/// Time that an engine takes for an event.
const PACE: Duration = Duration::from_millis(10);
/// Time between two attempts of the lethal request's caller.
const PAUSE: Duration = Duration::from_millis(120);

/// A request whose run ends its engine.
fn lethal(route: &str, id: &str) -> String {
    request(route, id).replace("\r\n\r\nbody", &format!("\r\n\r\n{LETHAL}"))
}

/// Engines that end on lethal requests, and come back as new ones.
struct Engines {
    all: Arc<Mutex<Vec<FakeUpstream>>>,
    is_over: Arc<AtomicBool>,
    keeper: Option<JoinHandle<()>>,
}

impl Engines {
    fn new(fleet: &Fleet) -> Self {
        for it in &fleet.engines {
            it.set_fault(UpstreamFault::CrashOn(LETHAL));
        }
        let all = Arc::new(Mutex::new(fleet.engines.clone()));
        let is_over = Arc::new(AtomicBool::new(false));
        let (rt, store) = (fleet.rt.clone(), fleet.store.clone());
        let (list, over) = (all.clone(), is_over.clone());
        let keeper = thread::spawn(move || {
            let mut n_back = 0;
            while !over.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(10));
                n_back += bring_back(&rt, &store, &list, n_back);
            }
        });
        Self { all, is_over, keeper: Some(keeper) }
    }

    fn n_ended(&self) -> usize {
        self.all.lock().unwrap().iter().filter(|it| it.has_crashed()).count()
    }

    /// Returns how many lethal requests ran.
    fn n_lethal(&self) -> usize {
        let all = self.all.lock().unwrap();
        let seen = all.iter().flat_map(FakeUpstream::requests);
        seen.filter(|it| it.is_executed && it.body == LETHAL.as_bytes()).count()
    }

    /// Returns how many other requests were cut by them.
    fn n_bystanders(&self) -> u32 {
        self.all.lock().unwrap().iter().map(FakeUpstream::n_interrupted).sum()
    }
}

impl Drop for Engines {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        let _ = self.keeper.take().map(JoinHandle::join);
    }
}

/// Starts a new engine for each that has ended since the last look; returns how many.
fn bring_back(
    rt: &Runtime,
    store: &FakeStore,
    all: &Mutex<Vec<FakeUpstream>>,
    n_back: usize,
) -> usize {
    let mut ended: Vec<FakeUpstream> = all.lock().unwrap().clone();
    ended.retain(FakeUpstream::has_crashed);
    let n_new = ended.len().saturating_sub(n_back);
    if n_new == 0 {
        return 0;
    }
    thread::sleep(BACK);
    for it in &ended {
        store.remove("servers", &it.id);
    }
    for n in 0..n_new {
        let id = format!("engine-again-{}", n_back + n);
        let it = future::block_on(FakeUpstream::start(rt, &id, PACE)).unwrap();
        it.set_fault(UpstreamFault::CrashOn(LETHAL));
        store.put("servers", &id, &it.entry("model", "ready"));
        all.lock().unwrap().push(it);
    }
    n_new
}

/// Sends the lethal request again and again, each time to the next host, for a while.
fn insist(hosts: &[Host], route: &str, n: usize) -> Vec<Answer> {
    let send = |n: usize| {
        thread::sleep(PAUSE);
        hosts[n % hosts.len()].send(&lethal(route, &format!("lethal-{n}")))
    };
    (0..n).map(send).collect()
}

/// Starts hosts that hear each other.
fn hosts(fleet: &mut Fleet, n: usize) -> Vec<Host> {
    let res: Vec<Host> = (0..n).map(|_| fleet.host()).collect();
    let hear = |it: &Host| it.metric("portfield_hosts") as usize == n;
    until("all hosts hear each other", || res.iter().all(hear));
    res
}

#[test]
fn a_request_that_ends_its_upstreams_is_refused_at_every_host_after_the_third() {
    let mut fleet = Fleet::new(0, 6);
    let hosts = hosts(&mut fleet, 3);
    let engines = Engines::new(&fleet);
    let answers = insist(&hosts, "draft", 24);
    let (n_lethal, n_ended) = (engines.n_lethal(), engines.n_ended());
    assert!(n_lethal <= ENDS + ON_THEIR_WAY, "it ran {n_lethal} times, {n_ended} engines ended");
    let last = answers.last().unwrap();
    assert_eq!(last.status, 503);
    assert!(last.text().contains("ended"), "{}", last.text());
    let away: f64 = last.header("retry-after").unwrap().parse().unwrap();
    assert!(30.0 <= away, "told to come back after {away} s");
    for (n, host) in hosts.iter().enumerate() {
        let answer = host.send(&request("draft", &format!("innocent-{n}")));
        assert_eq!((answer.status, answer.is_whole), (200, true), "others are served");
    }
}

#[test]
fn a_request_that_ends_its_upstreams_is_not_repeated_by_a_host_beyond_the_third() {
    let mut fleet = Fleet::new(0, 6);
    let hosts = hosts(&mut fleet, 3);
    let engines = Engines::new(&fleet);
    insist(&hosts, "digest", 12);
    let n_lethal = engines.n_lethal();
    assert!(n_lethal <= ENDS + ON_THEIR_WAY, "it ran {n_lethal} times");
}

#[test]
fn a_request_that_ends_its_upstreams_stays_refused_when_all_hosts_are_killed() {
    let mut fleet = Fleet::new(0, 6);
    let first = hosts(&mut fleet, 3);
    let engines = Engines::new(&fleet);
    insist(&first, "draft", 12);
    drop(first);
    let hosts = hosts(&mut fleet, 3);
    let before = engines.n_lethal();
    let answers = insist(&hosts, "draft", 9);
    assert_eq!(engines.n_lethal(), before, "it ran again");
    assert!(answers.iter().all(|it| it.status == 503));
}

/// Callers of other requests lose what runs on an engine that ends, and no more than that.
#[test]
fn a_request_that_ends_its_upstreams_takes_few_others_with_it() {
    let mut fleet = Fleet::new(0, 6);
    let hosts = hosts(&mut fleet, 3);
    let engines = Engines::new(&fleet);
    let end = Instant::now() + Duration::from_secs(4);
    let served = thread::scope(|scope| {
        let innocent = |n: usize| {
            let host = &hosts[n % hosts.len()];
            let mut served = (0, 0);
            while Instant::now() < end {
                served.1 += 1;
                let answer = host.send(&request("draft", &format!("i-{n}-{}", served.1)));
                served.0 += usize::from(answer.status == 200 && answer.is_whole);
            }
            served
        };
        let callers: Vec<_> = (0..CALLERS).map(|n| scope.spawn(move || innocent(n))).collect();
        insist(&hosts, "draft", 24);
        callers.into_iter().map(|it| it.join().unwrap()).collect::<Vec<_>>()
    });
    let (n_served, n_sent) = served.iter().fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    let (n_cut, n_ended) = (engines.n_bystanders() as usize, engines.n_ended());
    let most = CALLERS * (ENDS + ON_THEIR_WAY);
    assert!(n_cut <= most, "{n_cut} others were cut, {n_ended} engines ended");
    assert!(n_sent - n_served <= most, "{n_served} of {n_sent} others were served");
}

/// Many callers send it at once, hosts are killed and start anew, the store is down: after the third end and the time
/// in which hosts hear of it, no upstream gets it any more.
#[test]
fn a_request_that_ends_its_upstreams_is_refused_while_hosts_are_killed_and_the_store_is_down() {
    let mut fleet = Fleet::new(0, 8);
    let mut hosts = hosts(&mut fleet, 4);
    let engines = Engines::new(&fleet);
    fleet.store.set_fault(StoreFault::Unavailable);
    thread::scope(|scope| {
        for n in 0..3 {
            let hosts = &hosts;
            scope.spawn(move || {
                for m in 0..12 {
                    thread::sleep(PAUSE / 4);
                    hosts[(n + m) % 4].send(&lethal("draft", &format!("lethal-{n}-{m}")));
                }
            });
        }
    });
    let known = |it: &Host| 1.0 <= it.metric("portfield_quarantine_refused");
    until("all hosts know of it", || hosts.iter().all(known));
    let n_lethal = engines.n_lethal();
    // Three at a time, each on its way before the first three have ended.
    assert!(n_lethal <= ENDS * 3, "it ran {n_lethal} times");
    fleet.store.set_fault(StoreFault::None);
    for n in 0..4 {
        // Of four hosts three are there at any time, and tell the new one.
        drop(hosts.remove(0));
        hosts.push(fleet.host());
        insist(&hosts, "draft", 4);
        assert_eq!(engines.n_lethal(), n_lethal, "after {n} hosts were killed");
    }
}

#[test]
fn an_operator_lets_a_request_run_again() {
    let mut fleet = Fleet::new(0, 6);
    let hosts = hosts(&mut fleet, 2);
    let engines = Engines::new(&fleet);
    insist(&hosts, "draft", 8);
    until("both refuse it", || hosts.iter().all(|it| !refused(it).is_empty()));
    let before = engines.n_lethal();
    let page = refused(&hosts[0]);
    assert_eq!((page[0]["workspace"].as_str(), page[0]["n_ends"].as_u64()), (Some("a"), Some(3)));
    let path = format!("/quarantine/{}", page[0]["fingerprint"].as_str().unwrap());
    assert_eq!(operate(&hosts[0], "DELETE", "/quarantine/soon").status, 400);
    assert_eq!(operate(&hosts[0], "DELETE", "/quarantine/12").status, 404);
    assert_eq!(operate(&hosts[0], "DELETE", &path).status, 200);
    until("the other host hears of it", || refused(&hosts[1]).is_empty());
    hosts[1].send(&lethal("draft", "again"));
    assert_eq!(engines.n_lethal(), before + 1);
}

/// Returns what a host's page of refused requests shows.
fn refused(host: &Host) -> Vec<Value> {
    serde_json::from_str(&operate(host, "GET", "/quarantine").text()).unwrap()
}

/// Sends a request to a host's metrics address.
fn operate(host: &Host, method: &str, path: &str) -> Answer {
    let text = format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    exchange(host.metrics, text.as_bytes()).unwrap()
}
