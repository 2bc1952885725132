//! Self-reports of upstreams in responses: that they drain, and how long they want no requests.

mod fleet;

use std::{
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, request, wait_until};
use portfield_platform_standins::{StoreFault, UpstreamFault};

#[test]
fn upstream_draining_by_response_gets_no_requests_while_the_store_is_down() {
    let mut fleet = Fleet::new(2, 2);
    let host = fleet.start_host();
    fleet.store.set_fault(StoreFault::Hang);
    fleet.plain_upstreams[0].set_draining(true);
    fleet.engines[0].set_draining(true);
    for route in ["order", "draft", "check", "digest"] {
        let mut n_draining = 0;
        for n in 0..40 {
            let response = host.send(&request(route, &format!("{route}-{n}")));
            assert_eq!(response.status, 200);
            n_draining += u32::from(response.header("server-leaving").is_some());
        }
        assert!(
            n_draining <= 1,
            "{n_draining} of 40 requests on {route} went to the draining upstream"
        );
    }
}

#[test]
fn faulty_response_still_reports_draining() {
    for fault in [
        UpstreamFault::InternalError,
        UpstreamFault::Shed,
        UpstreamFault::MissingSignature,
        UpstreamFault::WrongAttemptId,
        UpstreamFault::TruncateBody,
        UpstreamFault::ExtraResponse,
        UpstreamFault::CloseDelimited,
    ] {
        let mut fleet = Fleet::new(2, 0);
        let host = fleet.start_host();
        fleet.store.set_fault(StoreFault::Hang);
        let upstream = &fleet.plain_upstreams[0];
        upstream.set_draining(true);
        upstream.set_fault(fault);
        let mut n = 0;
        let mut send = || {
            n += 1;
            host.send(&request("check", &format!("r{n}")))
        };
        wait_until("the host knows that the upstream drains", || {
            send();
            !host.log_entries("upstream draining").is_empty()
        });
        let n_before = upstream.requests().len();
        (0..20).for_each(|_| assert_eq!(send().text(), "from plain-1"));
        assert_eq!((n_before, upstream.requests().len()), (1, 1), "{fault:?}");
    }
}

#[test]
fn draining_report_reaches_the_other_hosts() {
    let mut fleet = Fleet::new(2, 0);
    let hosts = [fleet.start_host(), fleet.start_host(), fleet.start_host()];
    for host in &hosts {
        wait_until("the host knows its peers", || host.metric("portfield_hosts") == 3.0);
    }
    fleet.store.set_fault(StoreFault::Hang);
    fleet.plain_upstreams[0].set_draining(true);
    let mut n = 0;
    wait_until("a response reports draining", || {
        n += 1;
        hosts[0].send(&request("order", &format!("r{n}"))).header("server-leaving").is_some()
    });
    for host in &hosts {
        wait_until("the host knows that the upstream drains", || {
            host.metric("portfield_draining_unlisted") == 1.0
        });
    }
    let n_before = fleet.plain_upstreams[0].requests().len();
    for (n, host) in hosts.iter().cycle().take(60).enumerate() {
        assert_eq!(host.send(&request("order", &format!("later-{n}"))).text(), "from plain-1");
    }
    assert_eq!((n_before, fleet.plain_upstreams[0].requests().len()), (1, 1));
    let sources = |host: &Host| -> Vec<String> {
        let lines = host.log_entries("upstream draining");
        lines.iter().map(|it| it["source"].as_str().unwrap().to_owned()).collect()
    };
    assert_eq!(sources(&hosts[0]), ["answer"]);
    assert_eq!(
        (sources(&hosts[1]), sources(&hosts[2])),
        (vec!["host".into()], vec!["host".into()])
    );
}

/// The address of a former upstream is reused before the list is updated.
#[test]
fn report_of_a_replacement_upstream_applies_to_itself_only() {
    let mut fleet = Fleet::new(2, 0);
    fleet.store.put("servers", "former", &fleet.plain_upstreams[0].entry("desk", "ready"));
    let host = fleet.start_host();
    fleet.store.set_fault(StoreFault::Hang);
    let mut n = 0;
    let mut send = || {
        n += 1;
        host.send_admitted(&request("order", &format!("r{n}")))
    };
    let n_to_former = || {
        let received = fleet.plain_upstreams[0].requests();
        received.iter().filter(|it| it.header("expect-replica") == Some("former")).count()
    };
    wait_until("the other upstream has answered at the address", || {
        assert_eq!(send().status, 200);
        0 < n_to_former()
    });
    (0..40).for_each(|_| assert_eq!(send().status, 200));
    assert_eq!(n_to_former(), 1, "the former upstream got another request");
    assert_eq!(host.log_entries("upstream replaced").len(), 1);
    assert!(host.log_entries("upstream draining").is_empty());
    fleet.plain_upstreams[0].set_draining(true);
    wait_until("the host knows that the upstream drains", || {
        send();
        !host.log_entries("upstream draining").is_empty()
    });
    assert_eq!(host.log_entries("upstream draining")[0]["upstream"], "plain-0");
}

#[test]
fn upstream_with_a_reused_address_is_tried_once() {
    let mut fleet = Fleet::new(1, 0);
    fleet.store.put("servers", "former", &fleet.plain_upstreams[0].entry("desk", "ready"));
    fleet.store.remove("servers", "plain-0");
    let host = fleet.start_host();
    fleet.store.set_fault(StoreFault::Hang);
    (0..10).for_each(|n| assert_eq!(host.send(&request("order", &format!("r{n}"))).status, 503));
    assert_eq!((fleet.plain_upstreams[0].requests().len(), fleet.n_executed()), (1, 0));
}

/// A 421 response reports the state of the upstream that sent it.
#[test]
fn misdirected_response_reports_draining_of_its_sender() {
    let mut fleet = Fleet::new(2, 0);
    fleet.store.put("servers", "former", &fleet.plain_upstreams[0].entry("desk", "ready"));
    let host = fleet.start_host();
    fleet.store.set_fault(StoreFault::Hang);
    fleet.plain_upstreams[0].set_draining(true);
    let mut n = 0;
    wait_until("the host knows the state of both upstreams", || {
        n += 1;
        host.send(&request("order", &format!("r{n}")));
        host.metric("portfield_draining_unlisted") == 2.0
    });
    wait_until("the drain is logged", || !host.log_entries("upstream draining").is_empty());
    assert_eq!(host.log_entries("upstream draining")[0]["upstream"], "plain-0");
    let n_executed = fleet.plain_upstreams[0].n_executed();
    assert_eq!(
        fleet.plain_upstreams[0].requests().len(),
        1 + n_executed,
        "the upstream got more than one request addressed to it"
    );
    assert!(n_executed <= 1, "{n_executed}");
}

#[test]
fn service_with_all_upstreams_draining_fails_fast() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    fleet.store.set_fault(StoreFault::Hang);
    fleet.plain_upstreams[0].set_draining(true);
    assert_eq!(host.send(&request("order", "r1")).status, 200);
    let sent_at = Instant::now();
    let refused = host.send(&request("order", "r2"));
    assert!(sent_at.elapsed() < Duration::from_millis(500), "{:?}", sent_at.elapsed());
    assert_eq!((refused.status, fleet.n_executed()), (503, 1));
    let retry: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..=1.2).contains(&retry), "not within the deadline: {retry} s");
}

#[test]
fn upstream_gets_no_requests_until_its_retry_after_has_passed() {
    const BACKOFF: Duration = Duration::from_millis(1200);
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.start_host();
    for (upstream, backoff) in fleet.plain_upstreams.iter().zip(["1.2", "0.3"]) {
        upstream.set_retry_after(Some(backoff));
        upstream.set_fault(UpstreamFault::Shed);
    }
    let upstream = &fleet.plain_upstreams[0];
    let mut n = 0;
    let mut send = |route: &str| {
        n += 1;
        host.send(&request(route, &format!("{route}-{n}")))
    };
    wait_until("the upstream has shed a request", || {
        send("order");
        !upstream.requests().is_empty()
    });
    let backoff_start = Instant::now();
    while backoff_start.elapsed() < BACKOFF - Duration::from_millis(100) {
        assert_eq!((send("order").status, send("check").status), (503, 503));
        thread::sleep(Duration::from_millis(5));
    }
    let n_requests = upstream.requests().len();
    assert_eq!(n_requests, 1, "a request was sent before the backoff was over");
    fleet.plain_upstreams.iter().for_each(|it| it.set_fault(UpstreamFault::None));
    wait_until("the upstream gets requests again", || send("order").text() == "from plain-0");
}

/// The host learns of the upstream's restart only after the response that asked for the backoff.
#[test]
fn what_an_upstream_asked_for_holds_when_its_start_becomes_known_later() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.start_host();
    fleet.store.set_fault(StoreFault::Hang);
    wait_until("the loss of the store is logged", || {
        !host.log_entries("store unavailable").is_empty()
    });
    let upstream = &fleet.plain_upstreams[0];
    let mut entry = upstream.entry("desk", "ready");
    entry["born"] = serde_json::json!(5);
    fleet.store.put("servers", "plain-0", &entry);
    upstream.set_retry_after(Some("6"));
    upstream.set_fault(UpstreamFault::Shed);
    let mut n = 0;
    let mut send = || {
        n += 1;
        host.send(&request("order", &format!("r{n}")))
    };
    wait_until("the upstream has shed a request", || {
        send();
        !upstream.requests().is_empty()
    });
    upstream.set_retry_after(None);
    upstream.set_fault(UpstreamFault::None);
    fleet.store.set_fault(StoreFault::None);
    wait_until("the host knows of the restart", || {
        host.log_entries("upstream changed").iter().filter(|it| it["upstream"] == "plain-0").count()
            == 2
    });
    (0..20).for_each(|_| assert_eq!(send().status, 200));
    assert_eq!(upstream.requests().len(), 1, "a request was sent before the backoff was over");
}
