//! What a caller and an upstream see of a request, with and without faults of the upstream.

mod fleet;

use std::{
    io::{ErrorKind, Read, Write},
    net::{TcpListener, TcpStream},
    process::Command,
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, config, connect, exchange, read_answer, request, until};
use portfield_platform::request::RESERVED_HEADERS;
use portfield_platform_standins::UpstreamFault;
use serde_json::json;

#[test]
fn a_request_reaches_its_upstream_as_it_was_sent() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    let answer = host.send(&request("order", "r1"));
    assert_eq!((answer.status, answer.text().as_str()), (200, "from plain-0"));
    assert_eq!(answer.header("replica-signature"), Some("plain-0"));
    assert_eq!(answer.header("attempt-id"), Some("r1"));
    let seen = &fleet.plains[0].requests()[0];
    assert_eq!(seen.request_line, "POST /order/one?q=1 HTTP/1.1");
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.header("host"), Some("x.example"));
    assert_eq!(seen.header("tenant"), Some("a"));
    assert_eq!(seen.header("expect-replica"), Some("plain-0"));
    assert_eq!(seen.header("authorization"), None);
    let left: u64 = seen.header("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=1200).contains(&left), "{left}");
}

/// A caller's own lease or copy of memory made engines turn the request away.
#[test]
fn leases_and_copies_of_memory_are_never_a_caller_s_to_name() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.host();
    for (n, name) in RESERVED_HEADERS.iter().enumerate() {
        let forged = format!("{name}: 10.0.0.1:80/f\r\ndeadline-ms:");
        let text = request("digest", &format!("r{n}")).replace("deadline-ms:", &forged);
        assert_eq!(host.send(&text).status, 200, "{name}");
        let seen = fleet.engines[0].requests();
        assert!(seen[n].header(name.as_str()).is_none_or(|it| !it.contains("10.0.0.1")), "{name}");
    }
}

#[test]
fn bad_requests_are_told_what_is_wrong() {
    let mut fleet = Fleet::new(1, 1);
    let host = fleet.host();
    let good = request("check", "r1");
    for (from, to, status, text) in [
        ("/check/", "/nowhere/", 404, "path"),
        ("key-a", "key-x", 401, "authorization"),
        ("deadline-ms: 1200", "deadline-ms: soon", 400, "Deadline-Ms"),
        ("tenant: forged", "token-count: many", 400, "Token-Count"),
        ("deadline-ms: 1200", "deadline-ms: 1e300", 400, "Deadline-Ms"),
    ] {
        let answer = host.send(&good.replace(from, to));
        assert_eq!(answer.status, status, "{to}");
        assert!(answer.text().contains(text), "{}", answer.text());
        assert_eq!(answer.header("replica-signature"), None);
    }
    let long = good.replace("content-length: 4", "content-length: 2000");
    let answer = host.send(&long.replace("body", &"b".repeat(2000)));
    assert_eq!(answer.status, 413);
    assert_eq!(fleet.n_executed(), 0);
    let open = good.replace("/check/", "/public/").replace("authorization: Token key-a\r\n", "");
    assert_eq!(host.send(&open).status, 200);
    assert_eq!(fleet.plains[0].requests()[0].header("tenant"), None);
}

#[test]
fn a_host_without_configuration_refuses_and_is_not_ready() {
    let mut fleet = Fleet::new(1, 0);
    fleet.store.remove("op", "config");
    let host = fleet.start("");
    assert!(!host.is_ready());
    let answer = host.send(&request("check", "r1"));
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[test]
fn a_refusal_is_true_and_what_may_have_run_is_not_repeated() {
    for (fault, status, n_executed) in [
        (UpstreamFault::Shed, 503, 0),
        (UpstreamFault::NoResponse, 502, 1),
        (UpstreamFault::TruncateBody, 502, 1),
        (UpstreamFault::WrongAttemptId, 502, 1),
        (UpstreamFault::MissingSignature, 502, 1),
        (UpstreamFault::InternalError, 500, 1),
    ] {
        let mut fleet = Fleet::new(2, 0);
        let host = fleet.host();
        fleet.plains.iter().for_each(|it| it.set_fault(fault));
        let answer = host.send(&request("order", "r1"));
        assert_eq!(answer.status, status, "{fault:?}");
        assert_eq!(fleet.n_executed(), n_executed, "{fault:?}");
        assert!(answer.is_whole);
    }
}

#[test]
fn a_safe_request_is_repeated_elsewhere() {
    for fault in [
        UpstreamFault::Shed,
        UpstreamFault::NoResponse,
        UpstreamFault::Hang,
        UpstreamFault::TruncateBody,
        UpstreamFault::WrongAttemptId,
        UpstreamFault::InternalError,
    ] {
        let mut fleet = Fleet::new(2, 0);
        let host = fleet.host();
        fleet.plains[0].set_fault(fault);
        for n in 0..4 {
            let answer = host.send(&request("check", &format!("r{n}")));
            assert_eq!(answer.status, 200, "{fault:?}");
            assert_eq!(answer.text(), "from plain-1", "{fault:?}");
        }
    }
}

#[test]
fn an_unframed_answer_is_passed_on_whole() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    fleet.plains[0].set_fault(UpstreamFault::CloseDelimited);
    let answer = host.send(&request("order", "r1"));
    assert_eq!((answer.status, answer.text().as_str()), (200, "from plain-0"));
}

#[test]
fn an_answer_that_nobody_asked_for_reaches_nobody() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    fleet.plains[0].set_fault(UpstreamFault::ExtraResponse);
    for n in 0..5 {
        let id = format!("r{n}");
        let answer = host.send(&request("check", &id));
        assert_eq!(answer.header("attempt-id"), Some(id.as_str()));
    }
}

#[test]
fn connections_to_upstreams_are_kept_and_lost_ones_harm_nobody() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    for n in 0..5 {
        assert_eq!(host.send(&request("order", &format!("r{n}"))).status, 200);
    }
    assert_eq!(fleet.plains[0].n_connections(), 1);
    fleet.plains[0].set_fault(UpstreamFault::CloseKeepAlive);
    assert_eq!(host.send(&request("check", "r9")).status, 200);
}

#[test]
fn another_incarnation_at_the_address_does_not_run_the_request() {
    let mut fleet = Fleet::new(1, 0);
    let mut entry = fleet.plains[0].entry("desk", "ready");
    fleet.store.remove("servers", "plain-0");
    entry["addr"] = fleet.plains[0].address().to_string().into();
    fleet.store.put("servers", "gone-0", &entry);
    let host = fleet.host();
    let answer = host.send(&request("order", "r1"));
    assert_eq!((answer.status, fleet.n_executed()), (503, 0));
}

#[test]
fn a_stream_is_passed_on_event_by_event() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.host();
    let answer = host.send(&request("draft", "r1"));
    assert_eq!(answer.events(), (1..=8).collect::<Vec<_>>());
    assert!(answer.is_whole);
    let placed = host.logged("placed");
    assert_eq!(placed[0]["request"], "r1");
    assert_eq!(placed[0]["unread"], 30);
    until("the end is logged", || !host.logged("answered").is_empty());
    assert_eq!(host.logged("answered")[0]["events"], 8);
}

#[test]
fn a_broken_stream_never_looks_whole() {
    for fault in [UpstreamFault::TruncateBody, UpstreamFault::StallStream] {
        let mut fleet = Fleet::new(0, 2);
        let host = fleet.host();
        fleet.engines.iter().for_each(|it| it.set_fault(fault));
        let answer = host.send(&request("draft", "r1"));
        assert!(!answer.is_whole, "{fault:?}");
        assert_eq!(answer.events(), [1, 2, 3], "{fault:?}");
        assert_eq!(fleet.n_executed(), 1, "{fault:?}");
    }
}

#[test]
fn a_resumable_stream_goes_on_elsewhere_with_nothing_missing() {
    for fault in [UpstreamFault::TruncateBody, UpstreamFault::StallStream] {
        let mut fleet = Fleet::new(0, 2);
        let host = fleet.host();
        fleet.engines.iter().for_each(|it| it.set_fault(fault));
        let addresses: Vec<_> = fleet.engines.clone();
        let watch = thread::spawn(move || {
            // The second engine asked is well.
            until("a stream begins", || addresses.iter().any(|it| it.n_executed() == 1));
            for it in addresses.iter().filter(|it| it.n_executed() == 0) {
                it.set_fault(UpstreamFault::None);
            }
        });
        let answer = host.send(&request("digest", "r1"));
        watch.join().unwrap();
        assert!(answer.is_whole, "{fault:?}");
        assert_eq!(answer.events(), (1..=8).collect::<Vec<_>>(), "{fault:?}");
        let again = fleet.engines.iter().flat_map(|it| it.requests());
        let last = again.filter_map(|it| it.header("last-event-id").map(str::to_owned));
        assert_eq!(last.collect::<Vec<_>>(), ["3"], "{fault:?}");
    }
}

#[test]
fn a_stream_that_pauses_is_not_cut_where_no_other_upstream_would_go_on() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.host();
    // Longer than three of the route's pauses of 100 ms, after which it would be moved.
    fleet.engines[0].set_fault(UpstreamFault::PauseStream(Duration::from_millis(700)));
    let answer = host.send(&request("digest", "r1"));
    assert!(answer.is_whole);
    assert_eq!(answer.events(), (1..=8).collect::<Vec<_>>());
    assert_eq!(fleet.n_executed(), 1);
}

#[test]
fn who_leaves_takes_the_upstream_work_along() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.host();
    let mut stream = TcpStream::connect(host.listen).unwrap();
    let long = request("draft", "r1").replace("30,24", "30,2400");
    stream.write_all(long.as_bytes()).unwrap();
    until("the stream begins", || fleet.n_executed() == 1);
    drop(stream);
    let left = Instant::now();
    until("the engine is left", || fleet.engines[0].n_abandoned() == 1);
    assert!(left.elapsed() < Duration::from_millis(500));
    until("it is logged", || !host.logged("not finished").is_empty());
}

#[test]
fn a_route_s_time_is_kept_with_a_final_answer() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    fleet.plains[0].set_fault(UpstreamFault::Hang);
    let sent = Instant::now();
    let patient = request("order", "r1").replace("deadline-ms: 1200", "deadline-ms: 9000");
    assert_eq!(host.send(&patient).status, 504);
    let time = sent.elapsed();
    assert!(Duration::from_millis(1400) < time && time < Duration::from_millis(2000), "{time:?}");
}

#[test]
fn two_requests_on_one_connection_are_answered_in_order() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    let mut stream = TcpStream::connect(host.listen).unwrap();
    for id in ["r1", "r2", "r3"] {
        stream.write_all(request("order", id).as_bytes()).unwrap();
        let answer = read_answer(&mut stream).unwrap();
        assert_eq!(answer.header("attempt-id"), Some(id));
    }
    assert!(exchange(host.listen, b"GARBAGE\r\n\r\n").is_none_or(|it| it.status == 400));
}

/// A body that never came held its request, and the end of the process, for ever.
#[test]
fn a_body_that_does_not_come_is_answered_when_its_time_is_up() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    let mut stream = connect(host.listen).unwrap();
    let text = request("order", "r1").replace("1200", "200");
    stream.write_all(text.trim_end_matches("dy").as_bytes()).unwrap();
    let answer = read_answer(&mut stream).unwrap();
    assert_eq!(answer.status, 408);
    assert!(answer.text().contains("not-run"), "{}", answer.text());
    assert_eq!(fleet.n_executed(), 0);
    until("nothing is held", || host.metric("portfield_active") == 0.0);
}

/// The kernel went on delivering a request after its caller had left and the host had closed: it
/// reached an engine 1.7 s later, when a cut link had healed.
#[test]
fn what_was_not_delivered_when_the_caller_left_never_is() {
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
    let host = fleet.host();
    let text = request("order", "r1").replace("deadline-ms: 1200", "deadline-ms: 30000");
    let text = text.replace("content-length: 4", &format!("content-length: {SIZE}"));
    listener.set_nonblocking(true).unwrap();
    let mut sent = None;
    until("the request is on its way", || {
        let mut caller = connect(host.listen).unwrap();
        // A host that takes over 1.5 s to read so much, beside load, has stood still, and refuses truly.
        let _ = caller.write_all(text.trim_end_matches("body").as_bytes());
        let _ = caller.write_all(&vec![b'x'; SIZE]);
        caller.set_nonblocking(true).unwrap();
        let (mut accepted, mut is_answered) = (None, false);
        until("it is sent on or answered", || {
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
    until("the host gives up", || !host.logged("not finished").is_empty());
    let mut rest = Vec::new();
    let end = upstream.read_to_end(&mut rest);
    assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

/// A request that waited in a host's socket, here since the process stood still, while its caller gave up
/// and closed: nobody would read the answer. A host without a descriptor left ran five such requests ten
/// seconds after.
#[test]
fn what_is_read_after_its_caller_has_left_is_not_sent_on() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    let send = |id: &str| {
        let mut caller = connect(host.listen).unwrap();
        caller.write_all(request("check", id).as_bytes()).unwrap();
        caller
    };
    // The connection is kept from here: opening one takes time in which the end might be seen.
    assert_eq!(host.send(&request("check", "r1")).status, 200);
    host.signal("-STOP");
    drop(send("left"));
    let mut stays = send("stays");
    host.signal("-CONT");
    assert_eq!(read_answer(&mut stays).unwrap().status, 200);
    let seen = fleet.plains[0].requests();
    let ids: Vec<_> = seen.iter().filter_map(|it| it.header("attempt-id")).collect();
    assert!(ids.contains(&"stays") && !ids.contains(&"left"), "{ids:?}");
}

/// The test counts on the kernel's limit for one process, which it sets for the host's own. That the
/// process itself outlives the limit is shown by `descriptors.rs` of portfield-net.
#[test]
fn a_host_that_cannot_accept_is_not_ready_until_it_can() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    let limit = |n: u32| {
        let (pid, n) = (format!("--pid={}", host.pid()), format!("--nofile={n}:4096"));
        assert!(Command::new("prlimit").args([&pid, &n]).status().unwrap().success());
    };
    // The answer to a question for readiness needs a descriptor too: its connection is there before.
    let mut question = connect(host.ready).unwrap();
    let mut ask = || {
        question.write_all(b"GET /api/readyz HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        read_answer(&mut question).unwrap().status
    };
    assert_eq!(ask(), 200);
    limit(8);
    let waiting: Vec<_> = (0..3).map(|_| connect(host.listen).unwrap()).collect();
    until("it is not ready", || ask() == 503);
    limit(4096);
    until("it is ready again", || ask() == 200);
    drop(waiting);
    assert_eq!(host.send(&request("check", "r1")).status, 200);
}

/// Of a host that refused thousands a second, most refusals had no line: nothing told whose requests they were, or
/// whether callers came anew or stayed on their connections.
#[test]
fn a_second_in_which_a_host_refuses_for_itself_is_told_in_one_line() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.start("active_limit = 1");
    until("the host is ready", || host.is_ready());
    let begun = |id: &str| {
        let mut caller = connect(host.listen).unwrap();
        caller.write_all(request("draft", id).as_bytes()).unwrap();
        caller
    };
    // Streams that take a while: the third finds two more than may run at once.
    let mut callers: Vec<_> = (0..6).map(|it| begun(&format!("s{it}"))).collect();
    let statuses: Vec<_> = callers.iter_mut().map(|it| read_answer(it).unwrap().status).collect();
    let n_refused = statuses.iter().filter(|it| **it == 503).count();
    assert!(0 < n_refused, "{statuses:?}");
    until("the second is told", || !host.logged("short of processor time").is_empty());
    let lines = host.logged("short of processor time");
    let sum = |name: &str| lines.iter().map(|it| it[name].as_u64().unwrap()).sum::<u64>();
    assert_eq!(sum("refused"), n_refused as u64, "{lines:?}");
    assert_eq!(sum("refused_of_it"), n_refused as u64);
    assert_eq!(lines[0]["workspace"], "a");
}
