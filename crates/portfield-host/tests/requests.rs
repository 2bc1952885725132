//! Forwarding of requests, as callers and upstreams see it, with and without upstream faults.

mod fleet;

use std::{
    io::{ErrorKind, Read, Write},
    net::{TcpListener, TcpStream},
    process::Command,
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, config, connect, read_response, request, send_request, wait_until};
use portfield_platform::request::RESERVED_HEADERS;
use portfield_platform_standins::UpstreamFault;
use serde_json::json;

#[test]
fn forwards_request_without_caller_credentials() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let response = host.send(&request("order", "r1"));
    assert_eq!((response.status, response.text().as_str()), (200, "from plain-0"));
    assert_eq!(response.header("replica-signature"), Some("plain-0"));
    assert_eq!(response.header("attempt-id"), Some("r1"));
    let received = &fleet.plain_upstreams[0].requests()[0];
    assert_eq!(received.request_line, "POST /order/one?q=1 HTTP/1.1");
    assert_eq!(received.body, b"body");
    assert_eq!(received.header("host"), Some("x.example"));
    assert_eq!(received.header("tenant"), Some("a"));
    assert_eq!(received.header("expect-replica"), Some("plain-0"));
    assert_eq!(received.header("authorization"), None);
    let remaining_ms: u64 = received.header("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=1200).contains(&remaining_ms), "{remaining_ms}");
}

/// Guards against callers who set headers for KV leases and copies themselves: engines rejected such requests.
#[test]
fn reserved_headers_of_callers_are_dropped() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.start_host();
    for (n, name) in RESERVED_HEADERS.iter().enumerate() {
        let forged = format!("{name}: 10.0.0.1:80/f\r\ndeadline-ms:");
        let text = request("digest", &format!("r{n}")).replace("deadline-ms:", &forged);
        assert_eq!(host.send(&text).status, 200, "{name}");
        let received = fleet.engines[0].requests();
        assert!(
            received[n].header(name.as_str()).is_none_or(|it| !it.contains("10.0.0.1")),
            "{name}"
        );
    }
}

#[test]
fn malformed_requests_get_specific_errors() {
    let mut fleet = Fleet::new(1, 1);
    let host = fleet.start_host();
    let good = request("check", "r1");
    for (from, to, status, text) in [
        ("/check/", "/nowhere/", 404, "path"),
        ("key-a", "key-x", 401, "authorization"),
        ("deadline-ms: 1200", "deadline-ms: soon", 400, "Deadline-Ms"),
        ("tenant: forged", "token-count: many", 400, "Token-Count"),
        ("deadline-ms: 1200", "deadline-ms: 1e300", 400, "Deadline-Ms"),
    ] {
        let response = host.send(&good.replace(from, to));
        assert_eq!(response.status, status, "{to}");
        assert!(response.text().contains(text), "{}", response.text());
        assert_eq!(response.header("replica-signature"), None);
    }
    let oversized = good.replace("content-length: 4", "content-length: 2000");
    let response = host.send(&oversized.replace("body", &"b".repeat(2000)));
    assert_eq!(response.status, 413);
    assert_eq!(fleet.n_executed(), 0);
    let unauthenticated =
        good.replace("/check/", "/public/").replace("authorization: Token key-a\r\n", "");
    assert_eq!(host.send(&unauthenticated).status, 200);
    assert_eq!(fleet.plain_upstreams[0].requests()[0].header("tenant"), None);
}

#[test]
fn host_without_configuration_rejects_requests_and_is_not_ready() {
    let mut fleet = Fleet::new(1, 0);
    fleet.store.remove("op", "config");
    let host = fleet.spawn_host("");
    assert!(!host.is_ready());
    let response = host.send(&request("check", "r1"));
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}

#[test]
fn unsafe_request_that_may_have_executed_is_not_retried() {
    for (fault, status, n_executed) in [
        (UpstreamFault::Shed, 503, 0),
        (UpstreamFault::NoResponse, 502, 1),
        (UpstreamFault::TruncateBody, 502, 1),
        (UpstreamFault::WrongAttemptId, 502, 1),
        (UpstreamFault::MissingSignature, 502, 1),
        (UpstreamFault::InternalError, 500, 1),
    ] {
        let mut fleet = Fleet::new(2, 0);
        let host = fleet.start_host();
        fleet.plain_upstreams.iter().for_each(|it| it.set_fault(fault));
        let response = host.send(&request("order", "r1"));
        assert_eq!(response.status, status, "{fault:?}");
        assert_eq!(fleet.n_executed(), n_executed, "{fault:?}");
        assert!(response.is_complete);
    }
}

#[test]
fn safe_request_is_retried_on_another_upstream() {
    for fault in [
        UpstreamFault::Shed,
        UpstreamFault::NoResponse,
        UpstreamFault::Hang,
        UpstreamFault::TruncateBody,
        UpstreamFault::WrongAttemptId,
        UpstreamFault::InternalError,
    ] {
        let mut fleet = Fleet::new(2, 0);
        let host = fleet.start_host();
        fleet.plain_upstreams[0].set_fault(fault);
        for n in 0..4 {
            let response = host.send(&request("check", &format!("r{n}")));
            assert_eq!(response.status, 200, "{fault:?}");
            assert_eq!(response.text(), "from plain-1", "{fault:?}");
        }
    }
}

#[test]
fn close_delimited_response_is_forwarded_completely() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    fleet.plain_upstreams[0].set_fault(UpstreamFault::CloseDelimited);
    let response = host.send(&request("order", "r1"));
    assert_eq!((response.status, response.text().as_str()), (200, "from plain-0"));
}

#[test]
fn unsolicited_response_is_discarded() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    fleet.plain_upstreams[0].set_fault(UpstreamFault::ExtraResponse);
    for n in 0..5 {
        let id = format!("r{n}");
        let response = host.send(&request("check", &id));
        assert_eq!(response.header("attempt-id"), Some(id.as_str()));
    }
}

#[test]
fn upstream_connections_are_reused_and_replaced_when_closed() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    for n in 0..5 {
        assert_eq!(host.send(&request("order", &format!("r{n}"))).status, 200);
    }
    assert_eq!(fleet.plain_upstreams[0].n_connections(), 1);
    fleet.plain_upstreams[0].set_fault(UpstreamFault::CloseKeepAlive);
    assert_eq!(host.send(&request("check", "r9")).status, 200);
}

#[test]
fn request_is_not_executed_by_another_incarnation_at_the_address() {
    let mut fleet = Fleet::new(1, 0);
    let mut entry = fleet.plain_upstreams[0].entry("desk", "ready");
    fleet.store.remove("servers", "plain-0");
    entry["addr"] = fleet.plain_upstreams[0].address().to_string().into();
    fleet.store.put("servers", "gone-0", &entry);
    let host = fleet.start_host();
    let response = host.send(&request("order", "r1"));
    assert_eq!((response.status, fleet.n_executed()), (503, 0));
}

#[test]
fn stream_is_forwarded_completely_and_logged() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.start_host();
    let response = host.send(&request("draft", "r1"));
    assert_eq!(response.event_ids(), (1..=8).collect::<Vec<_>>());
    assert!(response.is_complete);
    let placed = host.log_entries("placed");
    assert_eq!(placed[0]["request"], "r1");
    assert_eq!(placed[0]["unread"], 30);
    wait_until("the end of the stream is logged", || !host.log_entries("answered").is_empty());
    assert_eq!(host.log_entries("answered")[0]["events"], 8);
}

#[test]
fn broken_stream_is_not_terminated_as_complete() {
    for fault in [UpstreamFault::TruncateBody, UpstreamFault::StallStream] {
        let mut fleet = Fleet::new(0, 2);
        let host = fleet.start_host();
        fleet.engines.iter().for_each(|it| it.set_fault(fault));
        let response = host.send(&request("draft", "r1"));
        assert!(!response.is_complete, "{fault:?}");
        assert_eq!(response.event_ids(), [1, 2, 3], "{fault:?}");
        assert_eq!(fleet.n_executed(), 1, "{fault:?}");
    }
}

#[test]
fn resumable_stream_continues_on_another_upstream_without_gaps() {
    for fault in [UpstreamFault::TruncateBody, UpstreamFault::StallStream] {
        let mut fleet = Fleet::new(0, 2);
        let host = fleet.start_host();
        fleet.engines.iter().for_each(|it| it.set_fault(fault));
        let engines: Vec<_> = fleet.engines.clone();
        let recovery = thread::spawn(move || {
            // The engine that the stream moves to has no fault.
            wait_until("an engine executes the stream", || {
                engines.iter().any(|it| it.n_executed() == 1)
            });
            for it in engines.iter().filter(|it| it.n_executed() == 0) {
                it.set_fault(UpstreamFault::None);
            }
        });
        let response = host.send(&request("digest", "r1"));
        recovery.join().unwrap();
        assert!(response.is_complete, "{fault:?}");
        assert_eq!(response.event_ids(), (1..=8).collect::<Vec<_>>(), "{fault:?}");
        let requests = fleet.engines.iter().flat_map(|it| it.requests());
        let last = requests.filter_map(|it| it.header("last-event-id").map(str::to_owned));
        assert_eq!(last.collect::<Vec<_>>(), ["3"], "{fault:?}");
    }
}

#[test]
fn stalled_stream_is_kept_when_no_other_upstream_can_resume_it() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.start_host();
    // Longer than three token gaps of the route (100 ms), after which the stream would be moved.
    fleet.engines[0].set_fault(UpstreamFault::PauseStream(Duration::from_millis(700)));
    let response = host.send(&request("digest", "r1"));
    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=8).collect::<Vec<_>>());
    assert_eq!(fleet.n_executed(), 1);
}

#[test]
fn caller_disconnect_cancels_the_upstream_request() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.start_host();
    let mut stream = TcpStream::connect(host.listen).unwrap();
    let long_stream = request("draft", "r1").replace("30,24", "30,2400");
    stream.write_all(long_stream.as_bytes()).unwrap();
    wait_until("the engine executes the stream", || fleet.n_executed() == 1);
    drop(stream);
    let disconnected_at = Instant::now();
    wait_until("the engine sees the disconnect", || fleet.engines[0].n_abandoned() == 1);
    assert!(disconnected_at.elapsed() < Duration::from_millis(500));
    wait_until("the failure is logged", || !host.log_entries("not finished").is_empty());
}

#[test]
fn route_timeout_returns_504() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    fleet.plain_upstreams[0].set_fault(UpstreamFault::Hang);
    let sent = Instant::now();
    let long_deadline = request("order", "r1").replace("deadline-ms: 1200", "deadline-ms: 9000");
    assert_eq!(host.send(&long_deadline).status, 504);
    let time = sent.elapsed();
    assert!(Duration::from_millis(1400) < time && time < Duration::from_millis(2000), "{time:?}");
}

#[test]
fn keep_alive_requests_are_answered_in_order() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let mut stream = TcpStream::connect(host.listen).unwrap();
    for id in ["r1", "r2", "r3"] {
        stream.write_all(request("order", id).as_bytes()).unwrap();
        let response = read_response(&mut stream).unwrap();
        assert_eq!(response.header("attempt-id"), Some(id));
    }
    assert!(send_request(host.listen, b"GARBAGE\r\n\r\n").is_none_or(|it| it.status == 400));
}

/// Guards against a body that never arrives: it blocked its request, and the shutdown of the host, forever.
#[test]
fn missing_body_is_answered_at_the_deadline() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let mut stream = connect(host.listen).unwrap();
    let text = request("order", "r1").replace("1200", "200");
    stream.write_all(text.trim_end_matches("dy").as_bytes()).unwrap();
    let response = read_response(&mut stream).unwrap();
    assert_eq!(response.status, 408);
    assert!(response.text().contains("not-run"), "{}", response.text());
    assert_eq!(fleet.n_executed(), 0);
    wait_until("no request is active", || host.metric("portfield_active") == 0.0);
}

/// Guards against delivery of a request by the kernel after its caller disconnected and the host closed the
/// connection: once, it reached an engine 1.7 s later, when a broken link recovered.
#[test]
fn undelivered_request_is_reset_when_the_caller_disconnects() {
    const SIZE: usize = 64 << 20;
    let mut fleet = Fleet::new(0, 0);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let entry = json!({ "service": "desk", "addr": address, "zone": "north", "version": "v1",
        "slots": 4, "state": "ready", "cold_remaining_ms": 0, "seq": 1 });
    fleet.store.put("servers", "slow", &entry);
    let mut config = config(1);
    config["limits"]["max_body_bytes"] = json!(2 * SIZE);
    config["routes"][1]["timeout_ms"] = json!(30_000);
    fleet.store.put("op", "config", &config);
    let host = fleet.start_host();
    let text = request("order", "r1").replace("deadline-ms: 1200", "deadline-ms: 30000");
    let text = text.replace("content-length: 4", &format!("content-length: {SIZE}"));
    listener.set_nonblocking(true).unwrap();
    let mut sent = None;
    wait_until("the host connects to the upstream", || {
        let mut caller = connect(host.listen).unwrap();
        // Under load, a host that takes over 1.5 s to read the body counts as suspended and refuses the request.
        let _ = caller.write_all(text.trim_end_matches("body").as_bytes());
        let _ = caller.write_all(&vec![b'x'; SIZE]);
        caller.set_nonblocking(true).unwrap();
        let (mut accepted, mut is_answered) = (None, false);
        wait_until("the request is forwarded or answered", || {
            accepted = listener.accept().ok().map(|it| it.0);
            is_answered = !matches!(caller.peek(&mut [0; 1]), Err(err) if err.kind() == ErrorKind::WouldBlock);
            accepted.is_some() || is_answered
        });
        sent = accepted.map(|it| (caller, it));
        sent.is_some()
    });
    let (caller, mut upstream) = sent.unwrap();
    upstream.set_nonblocking(false).unwrap();
    upstream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    upstream.read_exact(&mut [0; 1]).unwrap();
    drop(caller);
    wait_until("the host abandons the request", || !host.log_entries("not finished").is_empty());
    let mut rest = Vec::new();
    let end = upstream.read_to_end(&mut rest);
    assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

/// Guards against execution of a request that waited in a host's socket until its caller disconnected: nobody
/// reads the response. A host out of file descriptors forwarded five such requests ten seconds late; here the
/// process is suspended.
#[test]
fn request_of_a_disconnected_caller_is_not_forwarded() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let send = |id: &str| {
        let mut caller = connect(host.listen).unwrap();
        caller.write_all(request("check", id).as_bytes()).unwrap();
        caller
    };
    // Opens the upstream connection beforehand: during a connect, the host might notice the disconnect.
    assert_eq!(host.send(&request("check", "r1")).status, 200);
    host.signal("-STOP");
    drop(send("left"));
    let mut stays = send("stays");
    host.signal("-CONT");
    assert_eq!(read_response(&mut stays).unwrap().status, 200);
    let received = fleet.plain_upstreams[0].requests();
    let ids: Vec<_> = received.iter().filter_map(|it| it.header("attempt-id")).collect();
    assert!(ids.contains(&"stays") && !ids.contains(&"left"), "{ids:?}");
}

/// Lowers the kernel's descriptor limit of the host process. `descriptors.rs` of portfield-net tests that the
/// process survives the limit.
#[test]
fn host_without_descriptors_is_not_ready() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let set_descriptor_limit = |n: u32| {
        let (pid, n) = (format!("--pid={}", host.pid()), format!("--nofile={n}:4096"));
        assert!(Command::new("prlimit").args([&pid, &n]).status().unwrap().success());
    };
    // A readiness check needs a descriptor too, so its connection is opened before the limit is set.
    let mut readiness_connection = connect(host.ready).unwrap();
    let mut readiness_status = || {
        readiness_connection.write_all(b"GET /api/readyz HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        read_response(&mut readiness_connection).unwrap().status
    };
    assert_eq!(readiness_status(), 200);
    set_descriptor_limit(8);
    let waiting: Vec<_> = (0..3).map(|_| connect(host.listen).unwrap()).collect();
    wait_until("the host is not ready", || readiness_status() == 503);
    set_descriptor_limit(4096);
    wait_until("the host is ready again", || readiness_status() == 200);
    drop(waiting);
    assert_eq!(host.send(&request("check", "r1")).status, 200);
}

/// Guards against overload refusals that leave no trace: when a host refused thousands of requests a second, the log
/// didn't show whose they were, or whether callers reconnected or kept their connections.
#[test]
fn overload_refusals_are_logged_once_per_second() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.spawn_host("active_limit = 1");
    wait_until("the host is ready", || host.is_ready());
    let start_stream = |id: &str| {
        let mut caller = connect(host.listen).unwrap();
        caller.write_all(request("draft", id).as_bytes()).unwrap();
        caller
    };
    // Streams run long enough that the third one finds two running, one more than the limit.
    let mut callers: Vec<_> = (0..6).map(|it| start_stream(&format!("s{it}"))).collect();
    let statuses: Vec<_> = callers.iter_mut().map(|it| read_response(it).unwrap().status).collect();
    let n_refused = statuses.iter().filter(|it| **it == 503).count();
    assert!(0 < n_refused, "{statuses:?}");
    wait_until("the refusals are logged", || {
        !host.log_entries("short of processor time").is_empty()
    });
    let lines = host.log_entries("short of processor time");
    let sum = |name: &str| lines.iter().map(|it| it[name].as_u64().unwrap()).sum::<u64>();
    assert_eq!(sum("refused"), n_refused as u64, "{lines:?}");
    assert_eq!(sum("refused_of_it"), n_refused as u64);
    assert_eq!(lines[0]["workspace"], "a");
}
