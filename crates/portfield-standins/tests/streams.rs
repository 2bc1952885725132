//! Streams: resumed after a break, cancelled when the caller disconnects.

mod fleet;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use serde_json::json;

use crate::fleet::{
    Fleet, FleetOptions, expected_events, generation_body, get, update_settings, wait_until,
};

#[test]
fn broken_stream_resumes_after_the_last_event() {
    let fleet = Fleet::start(FleetOptions::default());
    update_settings(&fleet.engines[0], &json!({ "fault": "break-stream", "times": 4 }));
    let res = fleet.send(0, "small", "/scribe/run", &generation_body("mended", 30), "");
    assert!(res.is_complete, "{res:?}");
    assert_eq!(res.body, expected_events("mended", 30));
    let status = get(fleet.hosts[0].router.addresses[1].1, "/status").json();
    assert_eq!(status["resumed"], 4);
}

#[test]
fn disconnected_caller_cancels_the_generation() {
    let fleet = Fleet::start(FleetOptions::default());
    let mut stream = TcpStream::connect(fleet.hosts[0].router.address).unwrap();
    let call = fleet::request("small", "/scribe/run", &generation_body("left", 100_000), "");
    stream.write_all(call.as_bytes()).unwrap();
    let mut bytes = [0; 2048];
    assert!(0 < stream.read(&mut bytes).unwrap());
    let runs = || get(fleet.engines[0].address, "/runs").json();
    wait_until("the generation runs", || runs()["running"] == 1);
    drop(stream);
    wait_until("the generation is cancelled", || runs()["running"] == 0);
    // The engine itself cancels a stream after 5 s without a reader. With fewer than 300 tokens,
    // at 10 ms each, it was the router that cancelled it.
    assert_eq!(runs()["cancelled"], 1);
    assert!(runs()["tokens"].as_u64().unwrap() < 300);
    let status = || get(fleet.hosts[0].router.addresses[1].1, "/status").json();
    wait_until("the router counts no running request", || status()["running"] == 0);
    assert_eq!(status()["hung_up"], 1);
}

#[test]
fn queued_request_of_a_disconnected_caller_is_not_executed() {
    let fleet = Fleet::start(FleetOptions { slots: 1, ..FleetOptions::default() });
    let address = fleet.hosts[0].router.address;
    let long = fleet::request("large", "/scribe/run", &generation_body("long", 300), "");
    let running = thread::spawn(move || fleet::send_request(address, &long));
    let runs = || get(fleet.engines[0].address, "/runs").json();
    wait_until("the generation runs", || runs()["running"] == 1);
    let mut stream = TcpStream::connect(address).unwrap();
    let call = fleet::request("small", "/scribe/run", &generation_body("gone", 5), "");
    stream.write_all(call.as_bytes()).unwrap();
    let status = || get(fleet.hosts[0].router.addresses[1].1, "/status").json();
    wait_until("the request is queued", || status()["waiting"] == 1);
    drop(stream);
    wait_until("the request leaves the queue", || status()["waiting"] == 0);
    assert!(running.join().unwrap().is_complete);
    assert_eq!(runs()["runs"].as_object().unwrap().len(), 1);
}

/// An engine is killed during a response: the caller can tell that the stream is incomplete.
#[test]
fn stream_of_a_dead_engine_ends_incomplete() {
    let mut fleet = Fleet::start(FleetOptions {
        router_settings: "stall_timeout_ms = 300",
        ..FleetOptions::default()
    });
    let address = fleet.hosts[0].router.address;
    let call = fleet::request("small", "/scribe/run", &generation_body("dead", 500), "");
    let waiting = thread::spawn(move || fleet::send_request(address, &call));
    wait_until("the stream has sent events", || {
        get(fleet.engines[0].address, "/runs").json()["tokens"].as_u64() > Some(5)
    });
    fleet.engines[0].kill();
    let res = waiting.join().unwrap();
    assert!(!res.is_complete);
    assert!(expected_events("dead", 500).starts_with(&res.body), "{res:?}");
}

#[test]
fn events_are_forwarded_as_they_arrive() {
    let fleet = Fleet::start(FleetOptions::default());
    let mut stream = TcpStream::connect(fleet.hosts[0].router.address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let call = fleet::request("small", "/scribe/run", &generation_body("flow", 60), "");
    stream.write_all(call.as_bytes()).unwrap();
    let mut bytes = [0; 4096];
    let mut seen = String::new();
    while !seen.contains("flow 1\n") {
        let n = stream.read(&mut bytes).unwrap();
        assert!(0 < n);
        seen.push_str(&String::from_utf8_lossy(&bytes[..n]));
    }
    assert!(!seen.contains("flow 60\n"), "the first event arrived together with the last");
}

/// The router is killed during a stream; the caller resumes it at another with its resume token.
#[test]
fn stream_resumes_at_another_router() {
    let mut fleet = Fleet::start(FleetOptions::default());
    let mut stream = TcpStream::connect(fleet.hosts[0].router.address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let call = fleet::request("small", "/scribe/run", &generation_body("moved", 150), "");
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
    // Another workspace's request and a forged token are refused.
    let other = fleet.send(1, "large", "/scribe/run", "", &headers);
    assert_eq!(other.status, 403, "{other:?}");
    let forged = format!("x-portfield-resume: {}x\r\n", token);
    assert_eq!(fleet.send(1, "small", "/scribe/run", "", &forged).status, 403);
    let rest = fleet.send(1, "small", "/scribe/run", "", &headers);
    assert!(rest.is_complete, "{rest:?}");
    assert_eq!(expected_events("moved", 20) + &rest.body, expected_events("moved", 150));
}
