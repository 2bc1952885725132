//! Responses with neither a length nor chunks: whole if their upstream lives on, broken if it was killed.

mod fleet;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use fleet::{
    Fleet, Host, Response, config, connect, read_response, request, send_request, wait_until,
};
use portfield_platform_standins::{FakeUpstream, HeldBody, UpstreamFault};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// Body whose first half is sent before the upstream is killed.
const SMALL: HeldBody =
    HeldBody { status: 200, n_first: 400, n_rest: 400, max_hold: Duration::MAX };
/// Bodies of which the first half has no byte, or more than the host reads before it passes any of it on.
const EMPTY: HeldBody = HeldBody { n_first: 0, ..SMALL };
const LARGE: HeldBody = HeldBody { n_first: 300 << 10, ..SMALL };
const NOT_FOUND: HeldBody = HeldBody { status: 404, ..SMALL };
const ERROR: HeldBody = HeldBody { status: 500, ..SMALL };

/// Time for which a host is stopped: longer than any delay of a busy one.
const SUSPENSION: Duration = Duration::from_millis(2500);

/// How an upstream is listed when its response ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listing {
    Ready,
    Draining,
    /// Its entry was removed.
    Removed,
}

const LISTINGS: [Listing; 3] = [Listing::Ready, Listing::Draining, Listing::Removed];

/// Sends a request from a thread of its own; it reads the response to its end.
fn send_in_thread(address: SocketAddr, text: String) -> JoinHandle<Option<Response>> {
    thread::spawn(move || send_request(address, text.as_bytes()))
}

/// Writes or removes an upstream's entry and waits until the host knows.
fn list(fleet: &Fleet, host: &Host, id: &str, entry: Option<&Value>) {
    let before = host.metric("portfield_list_version");
    match entry {
        Some(it) => fleet.store.put("servers", id, it),
        None => fleet.store.remove("servers", id),
    }
    wait_until("the host knows the list", || before < host.metric("portfield_list_version"));
}

fn set_listing(fleet: &Fleet, host: &Host, upstream: &FakeUpstream, listing: Listing) {
    match listing {
        Listing::Ready => {}
        Listing::Draining => {
            let entry = upstream.entry("desk", "draining");
            list(fleet, host, &upstream.id, Some(&entry));
        }
        Listing::Removed => list(fleet, host, &upstream.id, None),
    }
}

/// How a response ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Its upstream is killed after the first half.
    Killed,
    /// Its upstream sends the rest, closes the connection and goes on.
    Whole,
}

/// Sends a request to a single upstream, and returns what its caller gets.
fn respond(route: &str, body: HeldBody, listing: Listing, end: End) -> Option<Response> {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let upstream = fleet.plain_upstreams[0].clone();
    upstream.set_fault(UpstreamFault::HoldRest(body));
    let sent = send_in_thread(host.listen, request(route, "r1"));
    wait_until("the upstream holds the response", || upstream.n_held() == 1);
    set_listing(&fleet, &host, &upstream, listing);
    match end {
        End::Killed => upstream.crash(),
        End::Whole => upstream.release(),
    }
    sent.join().unwrap()
}

fn is_whole(response: &Response, body: HeldBody) -> bool {
    response.is_complete && response.body.len() == body.n_first + body.n_rest
}

/// A killed upstream's connection ends in order: its caller got the first half of a body as a whole response.
/// An upstream that drains, or is no longer listed, ends its connection in order as well, and lives on.
#[test]
fn a_response_is_whole_exactly_if_its_upstream_lives_on() {
    let counts = LISTINGS.map(|listing| thread::spawn(move || count_wrong(listing)));
    let counts = counts.map(|it| it.join().unwrap());
    let n_cut: usize = counts.iter().map(|it| it.0).sum();
    let n_lost: usize = counts.iter().map(|it| it.1).sum();
    assert_eq!((n_cut, n_lost), (0, 0), "cut responses that looked whole, whole ones that did not");
}

/// Returns how many responses of killed upstreams looked whole, and how many of living ones did not.
fn count_wrong(listing: Listing) -> (usize, usize) {
    let mut res = (0, 0);
    for (route, body) in [
        ("order", SMALL),
        ("check", SMALL),
        ("order", EMPTY),
        ("order", LARGE),
        ("order", NOT_FOUND),
    ] {
        let killed = respond(route, body, listing, End::Killed);
        let looks_whole = |it: &Response| it.is_complete && it.status == body.status;
        res.0 += usize::from(killed.as_ref().is_some_and(looks_whole));
        // It may have run.
        assert!(killed.as_ref().is_none_or(|it| it.status != 503), "{body:?} {listing:?}");
        let whole = respond(route, body, listing, End::Whole);
        let is_right = |it: &Response| it.status == body.status && is_whole(it, body);
        res.1 += usize::from(!whole.as_ref().is_some_and(is_right));
    }
    res
}

/// A safe request whose upstream was killed within its response runs at another one, also if that response was an
/// error.
#[test]
fn a_safe_request_cut_by_a_crash_is_answered_by_another_upstream() {
    for body in [SMALL, ERROR] {
        let mut fleet = Fleet::new(2, 0);
        let host = fleet.start_host();
        let (first, second) = (fleet.plain_upstreams[0].clone(), fleet.plain_upstreams[1].clone());
        first.set_fault(UpstreamFault::HoldRest(body));
        second.set_fault(UpstreamFault::Shed);
        let sent = send_in_thread(host.listen, request("check", "r1"));
        wait_until("the upstream holds the response", || first.n_held() == 1);
        second.set_fault(UpstreamFault::None);
        first.crash();
        let response = sent.join().unwrap().unwrap();
        assert_eq!((response.status, response.text().as_str()), (200, "from plain-1"), "{body:?}");
    }
}

/// A draining upstream was not checked: its stream, cut between two events, passed for a complete one.
#[test]
fn a_stream_cut_by_the_crash_of_a_draining_upstream_is_not_complete() {
    for end in [End::Killed, End::Whole] {
        let mut fleet = Fleet::new(0, 1);
        let host = fleet.start_host();
        let engine = fleet.engines[0].clone();
        engine.set_fault(UpstreamFault::HoldRest(SMALL));
        let sent = send_in_thread(host.listen, request("draft", "r1").replace("1200", "4500"));
        wait_until("the engine holds the stream", || engine.n_held() == 1);
        list(&fleet, &host, &engine.id, Some(&engine.entry("model", "draining")));
        match end {
            End::Killed => engine.crash(),
            End::Whole => engine.release(),
        }
        let response = sent.join().unwrap();
        let is_complete = response.as_ref().is_some_and(|it| it.is_complete);
        assert_eq!(is_complete, end == End::Whole, "{response:?}");
        if end == End::Whole {
            assert_eq!(response.unwrap().event_ids(), (1..=8).collect::<Vec<u32>>());
        }
    }
}

/// An upstream that restarted under its id accepts connections again, but its earlier process was killed.
#[test]
fn a_response_cut_by_a_restart_is_not_whole() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let upstream = fleet.plain_upstreams[0].clone();
    upstream.set_fault(UpstreamFault::HoldRest(HeldBody { n_rest: 0, ..SMALL }));
    let sent = send_in_thread(host.listen, request("order", "r1"));
    wait_until("the upstream holds the response", || upstream.n_held() == 1);
    let mut entry = upstream.entry("desk", "ready");
    entry["born"] = json!(1_764_720_000_000_u64);
    list(&fleet, &host, &upstream.id, Some(&entry));
    upstream.release();
    let response = sent.join().unwrap().unwrap();
    assert_eq!(response.status, 502, "{}", response.text());
}

/// While a host was suspended, another upstream may have taken the address of one that was killed.
#[test]
fn a_response_cut_while_its_host_was_suspended_is_not_whole() {
    let mut fleet = Fleet::new(1, 0);
    let mut config = config(2);
    config["routes"][1]["timeout_ms"] = json!(9000);
    fleet.store.put("op", "config", &config);
    let host = fleet.start_host();
    let upstream = fleet.plain_upstreams[0].clone();
    upstream.set_fault(UpstreamFault::HoldRest(SMALL));
    let text = request("order", "r1").replace("1200", "9000");
    let sent = send_in_thread(host.listen, text);
    wait_until("the upstream holds the response", || upstream.n_held() == 1);
    host.signal("-STOP");
    upstream.crash();
    let mut successor = None;
    wait_until("the address is free", || {
        successor = TcpListener::bind(upstream.address()).ok();
        successor.is_some()
    });
    fleet.store.put("servers", "plain-9", &upstream.entry("desk", "ready"));
    thread::sleep(SUSPENSION);
    host.signal("-CONT");
    let response = sent.join().unwrap().unwrap();
    assert_eq!(response.status, 502, "{}", response.text());
    drop(successor);
}

/// Responses that end together must not cost a connection each to find out whether their upstream is alive.
#[test]
fn responses_that_end_together_share_a_check() {
    const N: u32 = 4;
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let upstream = fleet.plain_upstreams[0].clone();
    upstream.set_fault(UpstreamFault::HoldRest(SMALL));
    let sent: Vec<_> =
        (0..N).map(|n| send_in_thread(host.listen, request("order", &format!("r{n}")))).collect();
    wait_until("the upstream holds the responses", || upstream.n_held() == N);
    let n_before = upstream.n_connections();
    upstream.release();
    for it in sent {
        let response = it.join().unwrap().unwrap();
        assert!(response.status == 200 && is_whole(&response, SMALL), "{}", response.text());
    }
    assert_eq!(upstream.n_connections() - n_before, 1);
}

/// Responses with a length need no check.
#[test]
fn responses_with_a_length_open_no_connection() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    for n in 0..5 {
        assert_eq!(host.send_admitted(&request("order", &format!("r{n}"))).status, 200);
    }
    assert_eq!(host.metric("portfield_liveness_connections"), 0.0);
    assert_eq!(fleet.plain_upstreams[0].n_connections(), 1);
}

/// Serves one request, then accepts nothing more; its queue of new connections is full by the end of its response.
fn serve_one_and_stall(listener: Socket) -> (SocketAddr, JoinHandle<Vec<TcpStream>>) {
    listener.listen(1).unwrap();
    let listener = TcpListener::from(listener);
    let address = listener.local_addr().unwrap();
    let served = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\nbody") {
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        // The kernel accepts one connection more than the length of the queue.
        let queued: Vec<TcpStream> = (0..2).map(|_| TcpStream::connect(address).unwrap()).collect();
        let text = "HTTP/1.1 200 OK\r\nattempt-id: r1\r\nreplica-signature: s\r\nconnection: close\r\n\r\nwhole";
        stream.write_all(text.as_bytes()).unwrap();
        drop(stream);
        // Keeps the listening socket open.
        thread::sleep(Duration::from_millis(1500));
        queued
    });
    (address, served)
}

/// An upstream under load that lets new connections wait is alive: its responses are whole.
#[test]
fn a_response_of_an_upstream_that_accepts_no_connection_in_time_is_whole() {
    let mut fleet = Fleet::new(1, 0);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let (address, served) = serve_one_and_stall(socket);
    let entry = fleet.plain_upstreams[0].entry_at(address, "desk", "ready");
    fleet.store.put("servers", "plain-0", &entry);
    let host = fleet.start_host();
    let mut stream = connect(host.listen).unwrap();
    let sent = Instant::now();
    stream.write_all(request("order", "r1").replace("1200", "1500").as_bytes()).unwrap();
    let response = read_response(&mut stream).unwrap();
    assert_eq!((response.status, response.text().as_str()), (200, "whole"));
    assert!(sent.elapsed() < Duration::from_millis(1500), "{:?}", sent.elapsed());
    served.join().unwrap();
}
