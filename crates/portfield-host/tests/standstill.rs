//! A host whose process stands still for seconds, while the fleet goes on.
//!
//! Callers' requests and the others' words wait in its sockets. What it knew is as old as the time that it stood
//! still: it may neither use a key that was revoked nor an upstream that left meanwhile.

mod fleet;

use std::{
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use fleet::{Answer, Fleet, Host, config, connect, read_answer, request, until};
use portfield_platform_standins::StoreFault;
use std::io::Write;

/// Time for which the host stands still; above that for which what it knows may be used.
const STILL: Duration = Duration::from_millis(2500);

/// Sends a request whose answer is read later.
fn send(host: &Host, text: &str) -> TcpStream {
    let mut stream = connect(host.listen).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Stops a host, lets something happen and requests come, and returns their answers after it goes on.
fn stand_still(host: &Host, requests: &[String], meanwhile: impl FnOnce()) -> Vec<Answer> {
    host.signal("-STOP");
    meanwhile();
    let mut streams: Vec<_> = requests.iter().map(|it| send(host, it)).collect();
    thread::sleep(STILL);
    host.signal("-CONT");
    streams.iter_mut().map(|it| read_answer(it).unwrap()).collect()
}

/// A configuration in which workspace b has lost its key.
fn without_b(version: u64) -> serde_json::Value {
    let mut res = config(version);
    res["tenants"].as_array_mut().unwrap().remove(1);
    res
}

#[test]
fn a_key_that_was_revoked_while_a_host_stood_still_is_not_used() {
    let mut fleet = Fleet::new(2, 0);
    let (host, _other) = (fleet.host(), fleet.host());
    let text = |n: u32| request("order", &format!("r{n}")).replace("key-a", "key-b");
    assert_eq!(host.send(&text(0)).status, 200);
    let n_executed = fleet.n_executed();
    let requests: Vec<String> = (1..6).map(text).collect();
    let store = fleet.store.clone();
    let answers = stand_still(&host, &requests, || store.put("op", "config", &without_b(5)));
    for it in answers {
        assert!([401, 503].contains(&it.status), "{} {}", it.status, it.text());
    }
    assert_eq!(fleet.n_executed(), n_executed);
    until("it serves again", || host.send(&request("order", "again")).status == 200);
}

#[test]
fn an_upstream_that_left_while_a_host_stood_still_gets_nothing() {
    let mut fleet = Fleet::new(2, 0);
    fleet.store.remove("servers", "plain-1");
    let (host, _other) = (fleet.host(), fleet.host());
    assert_eq!(host.send(&request("order", "r0")).status, 200);
    let n_executed = fleet.plains[0].n_executed();
    let requests: Vec<String> = (1..6).map(|n| request("order", &format!("r{n}"))).collect();
    let (store, new) = (fleet.store.clone(), fleet.plains[1].entry("desk", "ready"));
    let answers = stand_still(&host, &requests, || {
        store.remove("servers", "plain-0");
        store.put("servers", "plain-1", &new);
    });
    assert_eq!(fleet.plains[0].n_executed(), n_executed, "sent to one that has left");
    assert!(answers.iter().all(|it| [200, 503].contains(&it.status)));
    until("it serves again", || host.send(&request("order", "again")).status == 200);
}

/// Cut off from all after it went on, it serves by what it knows, as any host that is cut off.
#[test]
fn a_host_that_hears_nobody_after_it_stood_still_serves_after_some_seconds() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    let store = fleet.store.clone();
    let requests = [request("order", "r1")];
    let answers = stand_still(&host, &requests, || store.set_fault(StoreFault::Hang));
    assert_eq!(answers[0].status, 503);
    let away: f64 = answers[0].header("retry-after").unwrap().parse().unwrap();
    assert!(away < 1.0, "told to come back after {away} s");
    assert!(!host.is_ready());
    let woke = Instant::now();
    until("it is ready", || host.is_ready());
    assert!(woke.elapsed() < Duration::from_secs(4));
    assert_eq!(host.send(&request("order", "r2")).status, 200);
    assert_eq!(host.logged("host was suspended").len(), 1);
}
