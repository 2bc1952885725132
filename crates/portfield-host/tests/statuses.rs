//! Statuses that state that a request has not run: 408, 421, 429 and 503. No request that may have run
//! gets one of them, on any path through this host.

mod fleet;

use std::{
    io::Write,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use async_net::TcpListener;
use fleet::{Fleet, Host, Response, connect, read_response, request, wait_until};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use portfield_platform_standins::UpstreamFault;
use serde_json::json;

/// Statuses that state that a request has not run and will not.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Routes whose requests may run once at most.
const ONCE: [&str; 2] = ["order", "draft"];
/// Faults of an upstream that has run the request, or may have.
const FAULTS: [UpstreamFault; 6] = [
    UpstreamFault::NoResponse,
    UpstreamFault::Hang,
    UpstreamFault::WrongAttemptId,
    UpstreamFault::MissingSignature,
    UpstreamFault::InternalError,
    UpstreamFault::TruncateBody,
];

/// An upstream that answers each request with the same text and counts them.
#[derive(Debug, Clone)]
struct Scripted {
    address: SocketAddr,
    n_received: Arc<AtomicUsize>,
}

impl Scripted {
    /// Starts it; `response` contains `ID` where the attempt id belongs.
    fn start(fleet: &Fleet, service: &str, response: &'static str) -> Self {
        let listener = futures_lite::future::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let res = Self { address: listener.local_addr().unwrap(), n_received: Arc::default() };
        let (counter, rt) = (res.n_received.clone(), fleet.rt.clone());
        fleet.rt.spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let counter = counter.clone();
                rt.spawn(async move {
                    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
                    while !received.ends_with(b"body") {
                        match stream.read(&mut buffer).await {
                            Ok(0) | Err(_) => return,
                            Ok(n) => received.extend_from_slice(&buffer[..n]),
                        }
                    }
                    counter.fetch_add(1, Ordering::Relaxed);
                    let text = String::from_utf8_lossy(&received).to_lowercase();
                    let id = text.lines().find_map(|it| it.strip_prefix("attempt-id: "));
                    let response = response.replace("ID", id.unwrap_or_default());
                    let _ = stream.write_all(response.as_bytes()).await;
                });
            }
        });
        let entry = json!({ "service": service, "addr": res.address.to_string(), "zone": "north",
            "version": "v1", "slots": 50, "state": "ready", "cold_remaining_ms": 0, "seq": 1 });
        fleet.store.put("servers", &format!("scripted-{}", res.address.port()), &entry);
        res
    }

    fn n_received(&self) -> usize {
        self.n_received.load(Ordering::Relaxed)
    }
}

/// Checks that a response does not state that the request has not run.
#[track_caller]
fn assert_may_have_run(response: &Response, case: &str) {
    assert!(!NOT_RUN.contains(&response.status), "{case}: {}", response.status);
    assert!(!response.text().contains("not-run"), "{case}: {}", response.text());
}

fn set_fault(fleet: &Fleet, fault: UpstreamFault) {
    fleet.plain_upstreams.iter().chain(&fleet.engines).for_each(|it| it.set_fault(fault));
}

/// Guards against a status that invites a second run (forward.rs, exchange.rs, relay.rs), and against a
/// second run by this host.
#[test]
fn request_that_may_have_run_is_not_said_not_to_have_run() {
    for route in ONCE {
        for fault in FAULTS {
            let mut fleet = Fleet::new(2, 2);
            let host = fleet.start_host();
            set_fault(&fleet, fault);
            let response = host.send(&request(route, "r1"));
            // Engines do not know an error status: their streams are complete.
            let case = format!("{route}, {fault:?}");
            assert_may_have_run(&response, &case);
            assert_eq!(fleet.n_executed(), 1, "{case}");
        }
    }
}

/// Guards against an upstream's own 408, 429 or 503 that does not state that the request has not run,
/// and is passed on as if it did (forward.rs).
#[test]
fn unmarked_status_of_an_upstream_is_not_passed_on() {
    for (service, route) in [("desk", "order"), ("model", "draft"), ("desk", "check")] {
        for text in [
            "HTTP/1.1 408 No\r\nattempt-id: ID\r\ncontent-length: 2\r\n\r\nno",
            "HTTP/1.1 429 No\r\nattempt-id: ID\r\nretry-after: 0.1\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 503 No\r\nattempt-id: ID\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 503 No\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        ] {
            let mut fleet = Fleet::new(0, 0);
            let upstream = Scripted::start(&fleet, service, text);
            let host = fleet.start_host();
            let response = host.send(&request(route, "r1"));
            let case = format!("{route}, {}", &text[..15]);
            assert_may_have_run(&response, &case);
            assert_eq!(response.status, 502, "{case}");
            if route != "check" {
                assert_eq!(upstream.n_received(), 1, "{case}");
            }
        }
    }
}

/// Guards against a marked refusal that is turned into another status or run elsewhere twice: it did not
/// run, and the caller is told so.
#[test]
fn marked_refusal_of_an_upstream_is_told_as_not_run() {
    for text in [
        "HTTP/1.1 503 No\r\nnot-executed: 1\r\nattempt-id: ID\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 429 No\r\nnot-executed: 1\r\nattempt-id: ID\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 421 No\r\nnot-executed: 1\r\nattempt-id: ID\r\ncontent-length: 0\r\n\r\n",
    ] {
        for (service, route) in [("desk", "order"), ("model", "draft")] {
            let mut fleet = Fleet::new(0, 0);
            Scripted::start(&fleet, service, text);
            let host = fleet.start_host();
            let response = host.send(&request(route, "r1"));
            assert_eq!(response.status, 503, "{route}, {text}");
            assert!(response.header("retry-after").is_some());
            assert!(response.text().contains("not-run"), "{}", response.text());
        }
    }
}

/// Guards against the refusal of a later attempt that hides an earlier one (exchange.rs): the first
/// upstream may have run the request, and then no other takes it, no retry is allowed or none is left.
#[test]
fn refusal_after_an_attempt_that_may_have_run_is_not_told_as_not_run() {
    for settings in ["", "retry_ratio = 0.0\nretry_extra = 0.0"] {
        for (n_upstreams, second) in
            [(1, None), (2, Some(UpstreamFault::Shed)), (2, Some(UpstreamFault::NoResponse))]
        {
            let mut fleet = Fleet::new(n_upstreams, 0);
            let host = fleet.spawn_host(settings);
            wait_until("the host is ready", || host.is_ready());
            set_fault(&fleet, UpstreamFault::NoResponse);
            if let Some(it) = second {
                fleet.plain_upstreams[1].set_fault(it);
            }
            let case = format!("{settings:?}, {n_upstreams} upstreams, {second:?}");
            let response = host.send(&request("check", "r1"));
            // The upstream that sheds may have been asked first, and alone.
            if fleet.n_executed() == 0 {
                assert_eq!(response.status, 503, "{case}");
            } else {
                assert_may_have_run(&response, &case);
            }
        }
    }
}

/// Guards against a request whose attempt, or whose deadline, ends while this process does not run: the
/// host refuses what it has not sent (call.rs), but must not say so of what it has.
#[test]
fn suspension_of_the_host_does_not_turn_a_run_into_a_refusal() {
    for route in ONCE {
        let mut fleet = Fleet::new(1, 1);
        let host = fleet.start_host();
        set_fault(&fleet, UpstreamFault::Hang);
        let mut caller = connect(host.listen).unwrap();
        let text = request(route, "r1").replace("deadline-ms: 1200", "deadline-ms: 5000");
        caller.write_all(text.as_bytes()).unwrap();
        wait_until("the request runs", || fleet.n_executed() == 1);
        host.signal("-STOP");
        thread::sleep(Duration::from_millis(1700));
        host.signal("-CONT");
        // Or the response ends without a head: the caller knows nothing.
        if let Some(response) = read_response(&mut caller) {
            assert_may_have_run(&response, route);
        }
        assert_eq!(fleet.n_executed(), 1, "{route}");
    }
}

/// Guards against a run of a request that was refused before it was sent: for want of a configuration, of
/// an upstream, or of its body (call.rs, exchange.rs). Those for want of processor time or memory are
/// tested in requests.rs and slow_readers.rs.
#[test]
fn refused_request_does_not_run() {
    let check = |fleet: &Fleet, host: &Host, text: &str, status: u16| {
        let response = host.send(text);
        assert_eq!(response.status, status, "{}", response.text());
        assert!(response.text().contains("not-run"), "{}", response.text());
        thread::sleep(Duration::from_millis(100));
        assert_eq!(fleet.n_executed(), 0);
    };
    for route in ONCE {
        let mut fleet = Fleet::new(1, 1);
        fleet.store.remove("op", "config");
        let host = fleet.spawn_host("");
        check(&fleet, &host, &request(route, "r1"), 503);
        drop(host);
        let mut fleet = Fleet::new(1, 1);
        let host = fleet.start_host();
        let unsent = request(route, "r1").replace("1200", "150");
        let unsent = unsent.trim_end_matches("dy");
        check(&fleet, &host, unsent, 408);
        // The service of the other route has an upstream.
        let mut fleet = if route == "order" { Fleet::new(0, 1) } else { Fleet::new(1, 0) };
        let host = fleet.start_host();
        check(&fleet, &host, &request(route, "r1"), 503);
    }
}
