//! Quarantine of poison requests, which crash every upstream that executes them.
//!
//! Guards against an outage in which one request crashed nine of nine engines within seconds, broke all streams on
//! them, and crashed the engines again that had restarted; one such request crashed nineteen. It crashed an engine
//! after 0.2 to 0.7 s. Its caller got a 502 or a broken stream, and retried under a new attempt ID at another host,
//! which sent it to the next engine: hosts counted attempts within one exchange only, and neither remembered nor
//! shared which requests were running on a crashed upstream.
//!
//! The request was identified at fourteen crashed engines: each time one with the same workspace, route and token
//! counts was running, as the first try of a new attempt, from eight of nine hosts. No other request was running
//! on more than one of them.

mod crashing_engines;
mod fleet;

use std::{
    thread,
    time::{Duration, Instant},
};

use crashing_engines::{CrashingEngines, start_hosts};
use fleet::{Fleet, Host, Response, request, send_request, wait_until};
use portfield_platform_standins::{StoreFault, UpstreamFault};
use serde_json::Value;

/// Body of a poison request.
const POISON_BODY: &str = "!!!!";
/// Number of crashes after which a request is quarantined.
const CRASH_THRESHOLD: usize = 3;
/// Further executions that other hosts may have started by then.
const MAX_IN_FLIGHT: usize = 2;
/// Number of callers of other requests, each with one request at a time.
const N_CALLERS: usize = 6;
/// Time between two attempts of the poison request's caller.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Returns a request that crashes the engine that executes it.
fn poison_request(route: &str, id: &str) -> String {
    request(route, id).replace("\r\n\r\nbody", &format!("\r\n\r\n{POISON_BODY}"))
}

/// Makes the engines crash on poison requests.
fn crash_on_poison(fleet: &Fleet) -> CrashingEngines {
    CrashingEngines::new(fleet, UpstreamFault::CrashOn(POISON_BODY))
}

/// Returns the number of poison requests executed.
fn count_poison_executed(engines: &CrashingEngines) -> usize {
    engines.n_executed(|it| it.body == POISON_BODY.as_bytes())
}

/// Sends a poison request `n` times, each time to the next host.
fn resend_poison(hosts: &[Host], route: &str, n: usize) -> Vec<Response> {
    let send = |n: usize| {
        thread::sleep(RETRY_DELAY);
        hosts[n % hosts.len()].send(&poison_request(route, &format!("lethal-{n}")))
    };
    (0..n).map(send).collect()
}

#[test]
fn crashing_request_is_refused_by_all_hosts_after_three_crashes() {
    let mut fleet = Fleet::new(0, 6);
    let hosts = start_hosts(&mut fleet, 3);
    let engines = crash_on_poison(&fleet);
    let responses = resend_poison(&hosts, "draft", 24);
    let (n_poison_executed, n_crashed) = (count_poison_executed(&engines), engines.n_crashed());
    assert!(
        n_poison_executed <= CRASH_THRESHOLD + MAX_IN_FLIGHT,
        "executed {n_poison_executed} times, {n_crashed} engines crashed"
    );
    let last = responses.last().unwrap();
    assert_eq!(last.status, 503);
    assert!(last.text().contains("ended"), "{}", last.text());
    let retry_after: f64 = last.header("retry-after").unwrap().parse().unwrap();
    assert!(30.0 <= retry_after, "Retry-After is {retry_after} s");
    for (n, host) in hosts.iter().enumerate() {
        let response = host.send(&request("draft", &format!("innocent-{n}")));
        assert_eq!(
            (response.status, response.is_complete),
            (200, true),
            "another request was not served"
        );
    }
}

#[test]
fn crashing_request_is_not_retried_after_three_crashes() {
    let mut fleet = Fleet::new(0, 6);
    let hosts = start_hosts(&mut fleet, 3);
    let engines = crash_on_poison(&fleet);
    resend_poison(&hosts, "digest", 12);
    let n_poison_executed = count_poison_executed(&engines);
    assert!(
        n_poison_executed <= CRASH_THRESHOLD + MAX_IN_FLIGHT,
        "executed {n_poison_executed} times"
    );
}

#[test]
fn quarantine_survives_a_kill_of_all_hosts() {
    let mut fleet = Fleet::new(0, 6);
    let first = start_hosts(&mut fleet, 3);
    let engines = crash_on_poison(&fleet);
    resend_poison(&first, "draft", 12);
    drop(first);
    let hosts = start_hosts(&mut fleet, 3);
    let before = count_poison_executed(&engines);
    let responses = resend_poison(&hosts, "draft", 9);
    assert_eq!(count_poison_executed(&engines), before, "executed again");
    assert!(responses.iter().all(|it| it.status == 503));
}

/// Callers of other requests lose those running on a crashing engine, and no more.
#[test]
fn crashing_request_interrupts_few_other_requests() {
    let mut fleet = Fleet::new(0, 6);
    let hosts = start_hosts(&mut fleet, 3);
    let engines = crash_on_poison(&fleet);
    let end = Instant::now() + Duration::from_secs(4);
    let served = thread::scope(|scope| {
        let send_others = |n: usize| {
            let host = &hosts[n % hosts.len()];
            let mut served = (0, 0);
            while Instant::now() < end {
                served.1 += 1;
                let response = host.send(&request("draft", &format!("i-{n}-{}", served.1)));
                served.0 += usize::from(response.status == 200 && response.is_complete);
            }
            served
        };
        let callers: Vec<_> = (0..N_CALLERS).map(|n| scope.spawn(move || send_others(n))).collect();
        resend_poison(&hosts, "draft", 24);
        callers.into_iter().map(|it| it.join().unwrap()).collect::<Vec<_>>()
    });
    let (n_served, n_sent) = served.iter().fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    let (n_interrupted, n_crashed) = (engines.n_interrupted() as usize, engines.n_crashed());
    let max_interrupted = N_CALLERS * (CRASH_THRESHOLD + MAX_IN_FLIGHT);
    assert!(
        n_interrupted <= max_interrupted,
        "{n_interrupted} other requests interrupted, {n_crashed} engines crashed"
    );
    assert!(n_sent - n_served <= max_interrupted, "{n_served} of {n_sent} other requests served");
}

/// Many callers send a poison request at once while hosts are killed and replaced and the store is down. After the
/// third crash, and the time until all hosts know of it, no upstream gets the request.
#[test]
fn quarantine_holds_while_hosts_are_killed_and_the_store_is_down() {
    let mut fleet = Fleet::new(0, 8);
    let mut hosts = start_hosts(&mut fleet, 4);
    let engines = crash_on_poison(&fleet);
    fleet.store.set_fault(StoreFault::Unavailable);
    thread::scope(|scope| {
        for n in 0..3 {
            let hosts = &hosts;
            scope.spawn(move || {
                for m in 0..12 {
                    thread::sleep(RETRY_DELAY / 4);
                    hosts[(n + m) % 4].send(&poison_request("draft", &format!("lethal-{n}-{m}")));
                }
            });
        }
    });
    let has_quarantined = |it: &Host| 1.0 <= it.metric("portfield_quarantine_refused");
    wait_until("all hosts have quarantined the request", || hosts.iter().all(has_quarantined));
    let n_poison_executed = count_poison_executed(&engines);
    // Three callers at a time, each with requests in flight before the first three crashes.
    assert!(n_poison_executed <= CRASH_THRESHOLD * 3, "executed {n_poison_executed} times");
    fleet.store.set_fault(StoreFault::None);
    for n in 0..4 {
        // Three of four hosts run at any time and share the quarantine with the new one.
        drop(hosts.remove(0));
        hosts.push(fleet.start_host());
        resend_poison(&hosts, "draft", 4);
        assert_eq!(
            count_poison_executed(&engines),
            n_poison_executed,
            "executed again after {n} hosts were killed"
        );
    }
}

/// Guards against several upstreams that crash at once under copies of one request: after the first crash, a second
/// copy is refused at every host while one runs, and runs once that has ended.
#[test]
fn copies_of_a_suspect_run_one_at_a_time() {
    let mut fleet = Fleet::new(0, 6);
    let hosts = start_hosts(&mut fleet, 2);
    let engines = crash_on_poison(&fleet);
    hosts[0].send(&poison_request("draft", "first"));
    wait_until("both hosts suspect the request", || {
        hosts.iter().all(|it| it.metric("portfield_quarantine_suspects") == 1.0)
    });
    for it in &fleet.engines {
        it.set_fault(UpstreamFault::Hang);
    }
    let n_before = count_poison_executed(&engines);
    thread::scope(|scope| {
        let running = scope.spawn(|| hosts[0].send(&poison_request("draft", "running")));
        wait_until("a copy runs", || count_poison_executed(&engines) == n_before + 1);
        wait_until("the other host knows of it", || {
            hosts[1].metric("portfield_quarantine_running_elsewhere") == 1.0
        });
        for it in &hosts {
            let second = poison_request("draft", "second");
            let response = it.send(&second.replace("deadline-ms: 1200", "deadline-ms: 300"));
            assert_eq!(response.status, 503, "{}", response.text());
            assert!(response.header("retry-after").is_some());
        }
        assert_eq!(count_poison_executed(&engines), n_before + 1, "two copies ran at once");
        let other = request("draft", "other").replace("deadline-ms: 1200", "deadline-ms: 300");
        hosts[1].send(&other);
        running.join().unwrap();
    });
    let n_received = fleet.n_executed();
    assert_eq!(n_received, n_before + 2, "another request was held back");
    for it in &fleet.engines {
        it.set_fault(UpstreamFault::None);
    }
    wait_until("the request is served", || {
        hosts[1].send(&poison_request("draft", "again")).status == 200
    });
}

#[test]
fn operator_can_lift_a_quarantine() {
    let mut fleet = Fleet::new(0, 6);
    let hosts = start_hosts(&mut fleet, 2);
    let engines = crash_on_poison(&fleet);
    resend_poison(&hosts, "draft", 8);
    wait_until("both hosts refuse the request", || {
        hosts.iter().all(|it| !quarantined_requests(it).is_empty())
    });
    let before = count_poison_executed(&engines);
    let entries = quarantined_requests(&hosts[0]);
    assert_eq!(
        (entries[0]["workspace"].as_str(), entries[0]["n_ends"].as_u64()),
        (Some("a"), Some(3))
    );
    let path = format!("/quarantine/{}", entries[0]["fingerprint"].as_str().unwrap());
    assert_eq!(admin_request(&hosts[0], "DELETE", "/quarantine/soon").status, 400);
    assert_eq!(admin_request(&hosts[0], "DELETE", "/quarantine/12").status, 404);
    assert_eq!(admin_request(&hosts[0], "DELETE", &path).status, 200);
    wait_until("the other host knows of the lift", || quarantined_requests(&hosts[1]).is_empty());
    hosts[1].send(&poison_request("draft", "again"));
    assert_eq!(count_poison_executed(&engines), before + 1);
}

/// Returns the entries of a host's quarantine page.
fn quarantined_requests(host: &Host) -> Vec<Value> {
    serde_json::from_str(&admin_request(host, "GET", "/quarantine").text()).unwrap()
}

/// Sends an admin request to a host's metrics address.
fn admin_request(host: &Host, method: &str, path: &str) -> Response {
    let text = format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    send_request(host.metrics, text.as_bytes()).unwrap()
}
