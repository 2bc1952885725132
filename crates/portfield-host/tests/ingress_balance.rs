//! A busy host sends its callers to the other hosts of its data centre.

mod fleet;

use std::{
    io::Write,
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, connect, read_response, request, wait_until};

/// Settings of a host whose share any load exceeds, and of one with processor time left.
const BUSY: &str = "ingress_balance = \"on\"\ncpu_share = 0.0001";
const IDLE: &str = "ingress_balance = \"on\"\ncpu_share = 100.0";
/// Lateness of timers, in milliseconds, that counts as a load at which a host leaves rotation.
const MIN_LATE_MS: f64 = 12.0;
/// Time that a host may spend out of rotation at once, and an allowance for a shared machine.
const MAX_OUT: Duration = Duration::from_millis(4400 + 3000);

/// Starts a busy host and three others that have room.
fn start(fleet: &mut Fleet) -> (Host, Vec<Host>) {
    let others: Vec<Host> = (0..3).map(|_| fleet.spawn_host(IDLE)).collect();
    let busy = fleet.spawn_host(BUSY);
    others.iter().for_each(|it| wait_until("the host is ready", || it.is_ready()));
    let route = if fleet.engines.is_empty() { "check" } else { "draft" };
    wait_until("the busy host serves", || busy.send(&request(route, "r0")).status == 200);
    (busy, others)
}

/// Guards against a host that keeps its callers until it must refuse them, and against one that stays
/// out of rotation.
#[test]
fn a_busy_host_leaves_rotation_while_others_have_room_and_returns() {
    let mut fleet = Fleet::new(1, 0);
    let (busy, others) = start(&mut fleet);
    // A host without callers has nobody to move.
    let _caller = connect(busy.listen).unwrap();
    wait_until("it leaves rotation", || !busy.log_entries("rotation changed").is_empty());
    let left = Instant::now();
    assert_eq!(busy.log_entries("rotation changed")[0]["rotation"], "Out");
    assert!(!busy.is_ready());
    let response = busy.send(&request("check", "r1"));
    let is_late = response.text().contains("this host is overloaded");
    assert!(is_late || response.status == 200, "it serves what still arrives");
    wait_until("it returns", || busy.is_ready());
    assert!(left.elapsed() < MAX_OUT, "it was out of rotation for {:?}", left.elapsed());
    assert!(2.0 <= busy.metric("portfield_rotation_changes"));
    for entry in others.iter().flat_map(|it| it.log_entries("rotation changed")) {
        // The machine is shared: a host whose timers are late leaves too, others do not.
        let is_late = MIN_LATE_MS <= entry["late_ms"].as_f64().unwrap();
        assert!(is_late || entry["rotation"] == "In", "a host with room left rotation: {entry}");
    }
}

/// Guards against a connection that is closed without notice, under a request or in the middle of a
/// response: its last response is whole and has the header.
#[test]
fn connections_of_a_busy_host_are_closed_after_a_response_with_the_header() {
    let mut fleet = Fleet::new(0, 1);
    let (busy, _others) = start(&mut fleet);
    let (mut n_closed, mut n) = (0, 0);
    let start = Instant::now();
    while n_closed == 0 {
        // Other hosts have no room while the machine makes their timers late.
        assert!(start.elapsed() < Duration::from_secs(40), "no connection was closed");
        // Each is kept open until the host closes it, so that there are some to close.
        let mut callers: Vec<_> = (0..12).map(|_| connect(busy.listen).unwrap()).collect();
        for _ in 0..10 {
            let mut open = Vec::new();
            for mut caller in callers {
                n += 1;
                let text = request("draft", &format!("r{n}"));
                let text = text.replace("token-count: 30,24", "token-count: 30,6");
                caller.write_all(text.as_bytes()).unwrap();
                let response = read_response(&mut caller).expect("closed under a request");
                assert!(response.is_complete);
                let is_closed = response.header("connection") == Some("close");
                if response.text().contains("this host is overloaded") {
                    // The machine is shared: timers were late. Such a refusal closes the connection too.
                    assert!(is_closed && response.status == 503);
                    continue;
                }
                assert_eq!(response.status, 200, "{}", response.text());
                assert_eq!(response.event_ids(), [1, 2]);
                if is_closed {
                    n_closed += 1;
                    assert!(read_response(&mut caller).is_none(), "open after the header");
                } else {
                    open.push(caller);
                }
            }
            callers = open;
        }
    }
    assert!(n_closed <= 24, "{n_closed} connections closed");
    assert!(1.0 <= busy.metric("portfield_callers_moved"));
    wait_until("it is logged", || !busy.log_entries("callers moved").is_empty());
}

/// Guards against a change at hosts that do not ask for this.
#[test]
fn a_host_without_the_setting_stays_in_rotation() {
    let mut fleet = Fleet::new(1, 0);
    let others: Vec<Host> = (0..3).map(|_| fleet.spawn_host(IDLE)).collect();
    let busy = fleet.spawn_host("cpu_share = 0.0001");
    others.iter().for_each(|it| wait_until("the host is ready", || it.is_ready()));
    wait_until("the host is ready", || busy.is_ready());
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        let response = busy.send(&request("check", "r1"));
        if !response.text().contains("this host is overloaded") {
            assert_eq!((response.status, response.header("connection")), (200, None));
        }
    }
    assert!(busy.log_entries("rotation changed").is_empty());
    assert_eq!(busy.metric("portfield_callers_moved"), 0.0);
    assert_eq!(busy.metric("portfield_busy"), 0.0);
}
