//! Quarantine of prompt parts: requests that differ in everything else crash each engine that answers them.

mod crashing_engines;
mod fleet;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use crashing_engines::{CrashingEngines, start_hosts};
use fleet::{Fleet, Host, Response, request_with_body};
use portfield_platform_standins::{FakeUpstream, ReceivedRequest, UpstreamFault};

/// Prompt part that crashes engines.
const BAD_PART: &str = "dead";
/// Number of crashes after which its requests are refused, and executions that other hosts may have started by then.
const MAX_EXECUTED: usize = 3 + 2;
/// Time between two of its requests.
const INTERVAL: Duration = Duration::from_millis(120);
/// Number of callers of sound requests, each with one request at a time.
const N_CALLERS: usize = 4;
/// Least part of sound requests that is served once the bad part is known.
const MIN_SERVED: f64 = 0.95;
/// Text of a refusal for want of processor time, which says nothing about the quarantine.
const OVERLOADED: &str = "this host is overloaded";

/// Returns a request with these prompt parts, and a last one of its own.
fn request_with_parts(route: &str, id: &str, parts: &str) -> String {
    let text = request_with_body(route, id, id);
    text.replace("aa:20,bb:10", &format!("{parts},{id}:5"))
}

/// Returns the `n`th request with the bad part; each has another body, and every second one another workspace.
fn bad_request(route: &str, n: usize) -> String {
    let text = request_with_parts(route, &format!("bad{n}"), &format!("aa:20,{BAD_PART}:10"));
    if n.is_multiple_of(2) { text } else { text.replace("key-a", "key-b") }
}

/// Sends `n` requests with the bad part, from the `first` on, each to the next host.
fn send_bad(hosts: &[Host], route: &str, first: usize, n: usize) -> Vec<Response> {
    let send = |n: usize| {
        thread::sleep(INTERVAL);
        hosts[n % hosts.len()].send(&bad_request(route, n))
    };
    (first..first + n).map(send).collect()
}

fn is_bad(it: &ReceivedRequest) -> bool {
    it.has_shared_part(BAD_PART)
}

/// Returns whether a host refuses requests for a part of their prompts.
fn has_quarantined(host: &Host) -> bool {
    1.0 <= host.metric("portfield_quarantine_refused")
}

/// Sends sound requests with the first part of the bad ones until stopped; returns how many of them were served, and
/// how many were sent.
fn send_sound(hosts: &[Host], caller: usize, is_stopped: &AtomicBool) -> (usize, usize) {
    let (mut n_served, mut n_sent) = (0, 0);
    for n in 0.. {
        if is_stopped.load(Ordering::Relaxed) {
            break;
        }
        let text = request_with_parts("draft", &format!("5{caller}{n}"), "aa:20,bb:10");
        let response = hosts[(caller + n) % hosts.len()].send(&text);
        if response.text().contains(OVERLOADED) {
            continue;
        }
        n_sent += 1;
        n_served += usize::from(response.status == 200 && response.is_complete);
    }
    (n_served, n_sent)
}

/// Guards against an outage in which each request with one part crashed an engine, 19 in 14 s: no two were alike, so
/// that none was counted more than twice.
#[test]
fn requests_that_share_a_crashing_part_are_refused_and_sound_ones_served() {
    let mut fleet = Fleet::new(0, 8);
    let hosts = start_hosts(&mut fleet, 3);
    let engines = CrashingEngines::new(&fleet, UpstreamFault::CrashOnPart(BAD_PART));
    let is_stopped = AtomicBool::new(false);
    let (responses, served) = thread::scope(|scope| {
        let (hosts, is_stopped) = (&hosts, &is_stopped);
        let start = || -> Vec<_> {
            let run = |n| scope.spawn(move || send_sound(hosts, n, is_stopped));
            (0..N_CALLERS).map(run).collect()
        };
        let before = start();
        send_bad(hosts, "draft", 0, 24);
        is_stopped.store(true, Ordering::Relaxed);
        for it in before {
            it.join().unwrap();
        }
        is_stopped.store(false, Ordering::Relaxed);
        let after = start();
        let responses = send_bad(hosts, "draft", 24, 12);
        is_stopped.store(true, Ordering::Relaxed);
        (responses, after.into_iter().map(|it| it.join().unwrap()).collect::<Vec<_>>())
    });
    let (n_executed, n_crashed) = (engines.n_executed(is_bad), engines.n_crashed());
    assert!(n_executed <= MAX_EXECUTED, "executed {n_executed} times, {n_crashed} engines crashed");
    assert!(responses.iter().all(|it| it.status == 503), "a request with the part was not refused");
    let refusal = responses.iter().find(|it| !it.text().contains(OVERLOADED)).unwrap();
    assert!(refusal.text().contains(BAD_PART), "{}", refusal.text());
    let retry_after: f64 = refusal.header("retry-after").unwrap().parse().unwrap();
    assert!(30.0 <= retry_after, "Retry-After is {retry_after} s");
    let (n_served, n_sent) = served.iter().fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    assert!(20 < n_sent, "{n_sent} sound requests sent");
    assert!(MIN_SERVED * n_sent as f64 <= n_served as f64, "{n_served} of {n_sent} sound requests");
}

/// A part that is refused stays refused when all hosts start anew.
#[test]
fn a_quarantined_part_survives_a_kill_of_all_hosts() {
    let mut fleet = Fleet::new(0, 8);
    let first = start_hosts(&mut fleet, 3);
    let engines = CrashingEngines::new(&fleet, UpstreamFault::CrashOnPart(BAD_PART));
    send_bad(&first, "draft", 0, 12);
    drop(first);
    let hosts = start_hosts(&mut fleet, 3);
    let before = engines.n_executed(is_bad);
    send_bad(&hosts, "draft", 12, 6);
    assert_eq!(engines.n_executed(is_bad), before, "executed again");
}

/// A crash that ends a response between two events, where only the end of the connection delimits it, must neither pass
/// for its end nor clear the part.
#[test]
fn a_crash_between_events_is_not_the_end_of_a_stream() {
    let mut fleet = Fleet::new(0, 8);
    let hosts = start_hosts(&mut fleet, 2);
    let engines = CrashingEngines::new(&fleet, UpstreamFault::CrashBetweenEvents(BAD_PART));
    let responses = send_bad(&hosts, "draft", 0, 16);
    let cut = responses.iter().find(|it| it.status == 200 && it.is_complete);
    assert!(cut.is_none(), "complete after events {:?}", cut.unwrap().event_ids());
    let n_executed = engines.n_executed(is_bad);
    assert!(n_executed <= MAX_EXECUTED, "executed {n_executed} times");
    assert!(hosts.iter().all(has_quarantined));
}

/// The end of the connection inside an event is no end of a stream, though its engine goes on: a resumable stream goes on
/// elsewhere, another one is visibly cut.
#[test]
fn a_connection_that_ends_inside_an_event_breaks_the_stream() {
    let mut fleet = Fleet::new(0, 2);
    let host = fleet.start_host();
    fleet.engines[0].set_fault(UpstreamFault::CloseInsideEvent);
    for n in 0..12 {
        // Requests with another first part mostly go to another engine.
        let text = request_with_parts("digest", &format!("f{n}"), &format!("a{n}:20"));
        let response = host.send_admitted(&text);
        assert_eq!((response.status, response.is_complete), (200, true), "{}", response.text());
        assert_eq!(response.event_ids(), (1..=8).collect::<Vec<u32>>());
    }
    assert!(0 < fleet.engines[0].n_executed(), "no stream of the engine was tried");
    fleet.engines[1].set_fault(UpstreamFault::CloseInsideEvent);
    let response = host.send_admitted(&request_with_parts("draft", "d", "aa:20"));
    assert_eq!((response.status, response.is_complete), (200, false), "{}", response.text());
}

/// Streams with neither a length nor chunks are complete where their engine goes on.
#[test]
fn close_delimited_streams_are_passed_on_whole() {
    let mut fleet = Fleet::new(0, 2);
    let host = fleet.start_host();
    fleet.engines.iter().for_each(|it| it.set_fault(UpstreamFault::CloseDelimited));
    for n in 0..6 {
        let route = if n % 2 == 0 { "draft" } else { "digest" };
        let response = host.send_admitted(&request_with_parts(route, &format!("f{n}"), "aa:20"));
        assert_eq!((response.status, response.is_complete), (200, true), "{}", response.text());
        assert_eq!(response.event_ids(), (1..=8).collect::<Vec<u32>>());
    }
    let n_executed: usize = fleet.engines.iter().map(FakeUpstream::n_executed).sum();
    assert_eq!(n_executed, 6, "each request runs once");
}
