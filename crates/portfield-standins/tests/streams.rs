//! Streams: resumed where they broke, cancelled when nobody reads.

mod fleet;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use serde_json::json;

use crate::fleet::{Fleet, Shape, events, generation, get, switch, until};

#[test]
fn a_broken_stream_goes_on_after_the_last_event() {
    let fleet = Fleet::start(Shape::default());
    switch(&fleet.engines[0], &json!({ "fault": "break-stream", "times": 4 }));
    let res = fleet.call(0, "small", "/scribe/run", &generation("mended", 30), "");
    assert!(res.whole, "{res:?}");
    assert_eq!(res.body, events("mended", 30));
    let status = get(fleet.hosts[0].router.others[1].1, "/status").json();
    assert_eq!(status["resumed"], 4);
}

#[test]
fn a_caller_that_hangs_up_cancels_upstream() {
    let fleet = Fleet::start(Shape::default());
    let mut stream = TcpStream::connect(fleet.hosts[0].router.address).unwrap();
    let call = fleet::request("small", "/scribe/run", &generation("left", 100_000), "");
    stream.write_all(call.as_bytes()).unwrap();
    let mut bytes = [0; 2048];
    assert!(0 < stream.read(&mut bytes).unwrap());
    let runs = || get(fleet.engines[0].address, "/runs").json();
    until("it runs", || runs()["running"] == 1);
    drop(stream);
    until("it is cancelled", || runs()["running"] == 0);
    // An engine gives up an unread stream after 5 s by itself: this must come earlier.
    assert_eq!(runs()["cancelled"], 1);
    assert!(runs()["tokens"].as_u64().unwrap() < 300);
    let status = || get(fleet.hosts[0].router.others[1].1, "/status").json();
    until("the slot is free", || status()["running"] == 0);
    assert_eq!(status()["hung_up"], 1);
}

#[test]
fn a_caller_that_hangs_up_while_it_waits_never_runs() {
    let fleet = Fleet::start(Shape { slots: 1, ..Shape::default() });
    let address = fleet.hosts[0].router.address;
    let long = fleet::request("large", "/scribe/run", &generation("long", 300), "");
    let running = thread::spawn(move || fleet::send(address, &long));
    let runs = || get(fleet.engines[0].address, "/runs").json();
    until("it runs", || runs()["running"] == 1);
    let mut stream = TcpStream::connect(address).unwrap();
    let call = fleet::request("small", "/scribe/run", &generation("gone", 5), "");
    stream.write_all(call.as_bytes()).unwrap();
    let status = || get(fleet.hosts[0].router.others[1].1, "/status").json();
    until("it waits", || status()["waiting"] == 1);
    drop(stream);
    until("it is withdrawn", || status()["waiting"] == 0);
    assert!(running.join().unwrap().whole);
    assert_eq!(runs()["runs"].as_object().unwrap().len(), 1);
}

/// An engine that dies in the middle of an answer: the caller can tell.
#[test]
fn a_stream_that_cannot_go_on_ends_visibly_broken() {
    let mut fleet = Fleet::start(Shape { router: "stall_timeout_ms = 300", ..Shape::default() });
    let address = fleet.hosts[0].router.address;
    let call = fleet::request("small", "/scribe/run", &generation("dead", 500), "");
    let waiting = thread::spawn(move || fleet::send(address, &call));
    until("it runs", || get(fleet.engines[0].address, "/runs").json()["tokens"].as_u64() > Some(5));
    fleet.engines[0].kill();
    let res = waiting.join().unwrap();
    assert!(!res.whole);
    assert!(events("dead", 500).starts_with(&res.body), "{res:?}");
}

#[test]
fn events_pass_as_they_come() {
    let fleet = Fleet::start(Shape::default());
    let mut stream = TcpStream::connect(fleet.hosts[0].router.address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let call = fleet::request("small", "/scribe/run", &generation("flow", 60), "");
    stream.write_all(call.as_bytes()).unwrap();
    let mut bytes = [0; 4096];
    let mut seen = String::new();
    while !seen.contains("flow 1\n") {
        let n = stream.read(&mut bytes).unwrap();
        assert!(0 < n);
        seen.push_str(&String::from_utf8_lossy(&bytes[..n]));
    }
    assert!(!seen.contains("flow 60\n"), "the first event came with the last");
}

/// The router dies in the middle of a stream; the caller goes on at another with its token.
#[test]
fn a_stream_goes_on_at_another_router() {
    let mut fleet = Fleet::start(Shape::default());
    let mut stream = TcpStream::connect(fleet.hosts[0].router.address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let call = fleet::request("small", "/scribe/run", &generation("moved", 150), "");
    stream.write_all(call.as_bytes()).unwrap();
    let mut seen = String::new();
    let mut bytes = [0; 4096];
    while !seen.contains("moved 20\n") {
        let n = stream.read(&mut bytes).unwrap();
        assert!(0 < n);
        seen.push_str(&String::from_utf8_lossy(&bytes[..n]));
    }
    let token = seen.lines().find_map(|it| it.strip_prefix("x-portfield-resume: ")).unwrap();
    fleet.hosts[0].router.kill();
    let headers = format!("x-portfield-resume: {token}\r\nlast-event-id: 20\r\n");
    // Nobody else may read it, with this token or another.
    let other = fleet.call(1, "large", "/scribe/run", "", &headers);
    assert_eq!(other.status, 403, "{other:?}");
    let forged = format!("x-portfield-resume: {}x\r\n", token);
    assert_eq!(fleet.call(1, "small", "/scribe/run", "", &forged).status, 403);
    let rest = fleet.call(1, "small", "/scribe/run", "", &headers);
    assert!(rest.whole, "{rest:?}");
    assert_eq!(events("moved", 20) + &rest.body, events("moved", 150));
}
