//! Hedged requests, as callers and upstreams see them.

mod fleet;

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, Response, config, request, wait_until};
use futures_lite::future;
use portfield_platform_standins::{FakeUpstream, UpstreamFault};
use serde_json::{Value, json};

/// Requests after which the 95th percentile of a service is known.
const N_WARMUP: usize = 40;
/// Time after which a safe request is sent again without a hedge: 0.4 of its 1,200 ms.
const RETRIED_AFTER_MS: u64 = 480;

/// Starts a host with hedged requests that has seen enough of its plain upstreams.
fn start(fleet: &mut Fleet, settings: &str) -> Host {
    let host = fleet.spawn_host(&format!("engine_speed = 'on'\n{settings}"));
    wait_until("the host is ready", || host.is_ready());
    for n in 0..N_WARMUP {
        assert_eq!(send(&host, &request("check", &format!("w{n}"))).status, 200);
    }
    host
}

/// Sends a request, again if the host refuses it for lack of processor time: the machine that runs the
/// tests may be busy.
fn send(host: &Host, text: &str) -> Response {
    let mut res = None;
    wait_until("the host accepts a request", || {
        res = Some(host.send(text)).filter(|it| !it.text().contains("this host is overloaded"));
        res.is_some()
    });
    res.unwrap()
}

/// Returns how many times the upstreams executed an attempt. Counted by its ID, since a hedge of an earlier request may
/// reach its upstream after that request was answered.
fn n_runs(fleet: &Fleet, id: &str) -> usize {
    fleet.plain_upstreams.iter().map(|it| it.n_executed_of(id)).sum()
}

/// Returns the number of hedges sent so far: a twentieth of the requests before are slow enough.
fn n_hedges(host: &Host) -> f64 {
    host.metric("portfield_hedges_sent")
}

/// A request at a slow upstream was late although another upstream was idle.
#[test]
fn the_faster_upstream_answers_and_the_slower_request_is_cancelled() {
    let mut fleet = Fleet::new(2, 0);
    let host = start(&mut fleet, "");
    let slow = fleet.plain_upstreams[0].clone();
    let (won, n_abandoned) = (host.metric("portfield_hedges_won"), slow.n_abandoned());
    slow.set_fault(UpstreamFault::Hang);
    wait_until("a hedge wins", || {
        assert_eq!(send(&host, &request("check", "r1")).status, 200);
        won < host.metric("portfield_hedges_won")
    });
    wait_until("the slow upstream sees the cancellation", || n_abandoned < slow.n_abandoned());
    let is_it = |it: &Value| it["request"] == "r1" && it["taken"] == "hedge";
    wait_until("the hedge is logged", || host.log_entries("hedged").iter().any(is_it));
    let logged = host.log_entries("hedged").into_iter().find(is_it).unwrap();
    assert_eq!((&logged["upstream"], &logged["hedge"]), (&json!("plain-0"), &json!("plain-1")));
    assert!(logged["total_ms"].as_u64().unwrap() < RETRIED_AFTER_MS, "{logged}");
}

/// An error of one upstream must not hide the answer of the other.
#[test]
fn an_error_of_the_hedge_does_not_end_the_first_request() {
    for fault in [UpstreamFault::InternalError, UpstreamFault::NoResponse, UpstreamFault::Shed] {
        let mut fleet = Fleet::new(1, 0);
        let host = start(&mut fleet, "");
        let time = Duration::from_millis(200);
        let slow = future::block_on(FakeUpstream::start(&fleet.rt, "slow", time)).unwrap();
        fleet.store.put("servers", &slow.id, &slow.entry("desk", "ready"));
        wait_until("the host knows the slow upstream", || {
            send(&host, &request("check", "r0"));
            0 < slow.n_executed()
        });
        fleet.plain_upstreams[0].set_fault(fault);
        let before = n_hedges(&host);
        wait_until("a request is hedged", || {
            let response = send(&host, &request("check", "r1"));
            assert_eq!(
                (response.status, response.text().as_str()),
                (200, "from slow"),
                "{fault:?}"
            );
            if fault == UpstreamFault::Shed {
                // A refusal for capacity stops hedges for a second.
                thread::sleep(Duration::from_millis(1_050));
            }
            before < n_hedges(&host)
        });
    }
}

/// Both fail: the request ends with an error, and does not run a third time.
#[test]
fn attempts_of_a_hedged_request_are_counted() {
    let mut fleet = Fleet::new(3, 0);
    let host = start(&mut fleet, "");
    let hedges = n_hedges(&host);
    fleet.plain_upstreams.iter().for_each(|it| it.set_fault(UpstreamFault::Hang));
    let sent = Instant::now();
    assert_eq!(send(&host, &request("check", "r1")).status, 504);
    assert!(sent.elapsed() < Duration::from_secs(2), "{:?}", sent.elapsed());
    assert_eq!(n_hedges(&host), hedges + 1.0);
    assert_eq!(n_runs(&fleet, "r1"), 2, "max_attempts is 2");
}

/// A request that may run once only must never be at two upstreams.
#[test]
fn unsafe_requests_and_single_attempts_are_never_hedged() {
    let mut fleet = Fleet::new(2, 0);
    let mut single = config(2);
    single["routes"][4]["max_attempts"] = json!(1);
    fleet.store.put("op", "config", &single);
    let host = start(&mut fleet, "");
    for it in &fleet.plain_upstreams {
        it.set_fault(UpstreamFault::Hang);
    }
    let hedges = n_hedges(&host);
    for (route, id) in [("order", "r1"), ("public", "r2")] {
        assert_eq!(send(&host, &request(route, id)).status, 504, "{route}");
        assert_eq!(n_runs(&fleet, id), 1, "{route}");
    }
    assert_eq!(n_hedges(&host), hedges);
}

/// Hedges for every slow request would double the load of upstreams that are slow because they are
/// overloaded.
#[test]
fn the_retry_budget_bounds_hedges() {
    let mut fleet = Fleet::new(2, 0);
    let host = start(&mut fleet, "retry_ratio = 0.0\nretry_extra = 0.0");
    fleet.plain_upstreams[0].set_fault(UpstreamFault::Hang);
    let listen = host.listen;
    let callers: Vec<_> = (0..8)
        .map(|n| {
            thread::spawn(move || {
                fleet::send_request(listen, request("check", &format!("r{n}")).as_bytes())
            })
        })
        .collect();
    callers.into_iter().for_each(|it| drop(it.join()));
    assert!(n_hedges(&host) <= 1.0, "a budget of nothing still allows one retry per window");
    let spent = host.metric("portfield_hedges_not_allowed{reason=\"budget spent\"}");
    let no_slot = host.metric("portfield_hedges_not_allowed{reason=\"no free slot\"}");
    assert!(0.0 < spent + no_slot);
}

/// An upstream that said that it drains gets no hedge.
#[test]
fn nothing_is_sent_to_an_upstream_that_drains() {
    let mut fleet = Fleet::new(2, 0);
    let host = start(&mut fleet, "");
    fleet.plain_upstreams[1].set_draining(true);
    wait_until("the host knows that the upstream drains", || {
        send(&host, &request("check", "d"));
        !host.log_entries("upstream draining").is_empty()
    });
    let hedges = n_hedges(&host);
    fleet.plain_upstreams[0].set_fault(UpstreamFault::Hang);
    assert_ne!(send(&host, &request("check", "r1")).status, 200);
    assert_eq!(fleet.plain_upstreams[1].n_executed_of("r1"), 0);
    assert_eq!(n_hedges(&host), hedges);
}

/// After a caller has left, neither of the two requests goes on, and none is sent.
#[test]
fn both_requests_end_when_the_caller_leaves() {
    let mut fleet = Fleet::new(2, 0);
    let host = start(&mut fleet, "");
    fleet.plain_upstreams.iter().for_each(|it| it.set_fault(UpstreamFault::Hang));
    let mut caller = TcpStream::connect(host.listen).unwrap();
    caller.write_all(request("check", "r1").as_bytes()).unwrap();
    wait_until("both upstreams run it", || {
        fleet.plain_upstreams.iter().all(|it| it.n_executed_of("r1") == 1)
    });
    drop(caller);
    wait_until("both upstreams see the disconnect", || {
        fleet.plain_upstreams.iter().all(|it| it.n_abandoned_of("r1") == 1)
    });
    assert_eq!(n_runs(&fleet, "r1"), 2, "none is sent after the caller has left");
}

/// The switch is off by default: a request waits as long as before.
#[test]
fn nothing_is_hedged_with_the_switch_off() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.start_host();
    for n in 0..N_WARMUP {
        assert_eq!(send(&host, &request("check", &format!("w{n}"))).status, 200);
    }
    fleet.plain_upstreams[0].set_fault(UpstreamFault::Hang);
    for n in 0..6 {
        assert_eq!(send(&host, &request("check", &format!("r{n}"))).status, 200);
    }
    assert_eq!(n_hedges(&host), 0.0);
}
