//! What upstreams say of themselves in answers: that they drain, and for how long they want nothing.

mod fleet;

use std::{
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, request, until};
use portfield_platform_standins::{StoreFault, UpstreamFault};

#[test]
fn who_says_in_an_answer_that_it_drains_gets_nothing_more_while_the_store_is_away() {
    let mut fleet = Fleet::new(2, 2);
    let host = fleet.host();
    fleet.store.set_fault(StoreFault::Hang);
    fleet.plains[0].set_draining(true);
    fleet.engines[0].set_draining(true);
    for route in ["order", "draft", "check", "digest"] {
        let mut n_told = 0;
        for n in 0..40 {
            let answer = host.send(&request(route, &format!("{route}-{n}")));
            assert_eq!(answer.status, 200);
            n_told += u32::from(answer.header("server-leaving").is_some());
        }
        assert!(n_told <= 1, "{n_told} of 40 on {route} went to the one that drains");
    }
}

#[test]
fn whatever_else_is_wrong_with_an_answer_it_tells_that_its_upstream_drains() {
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
        let host = fleet.host();
        fleet.store.set_fault(StoreFault::Hang);
        let upstream = &fleet.plains[0];
        upstream.set_draining(true);
        upstream.set_fault(fault);
        let mut n = 0;
        let mut send = || {
            n += 1;
            host.send(&request("check", &format!("r{n}")))
        };
        until("the host knows", || {
            send();
            !host.logged("upstream draining").is_empty()
        });
        let n_seen = upstream.requests().len();
        (0..20).for_each(|_| assert_eq!(send().text(), "from plain-1"));
        assert_eq!((n_seen, upstream.requests().len()), (1, 1), "{fault:?}");
    }
}

#[test]
fn hosts_that_got_no_such_answer_hear_it_from_those_that_did() {
    let mut fleet = Fleet::new(2, 0);
    let hosts = [fleet.host(), fleet.host(), fleet.host()];
    for host in &hosts {
        until("it knows the others", || host.metric("portfield_hosts") == 3.0);
    }
    fleet.store.set_fault(StoreFault::Hang);
    fleet.plains[0].set_draining(true);
    let mut n = 0;
    until("one is told", || {
        n += 1;
        hosts[0].send(&request("order", &format!("r{n}"))).header("server-leaving").is_some()
    });
    for host in &hosts {
        until("it knows", || host.metric("portfield_draining_unlisted") == 1.0);
    }
    let n_seen = fleet.plains[0].requests().len();
    for (n, host) in hosts.iter().cycle().take(60).enumerate() {
        assert_eq!(host.send(&request("order", &format!("later-{n}"))).text(), "from plain-1");
    }
    assert_eq!((n_seen, fleet.plains[0].requests().len()), (1, 1));
    let sources = |host: &Host| -> Vec<String> {
        let lines = host.logged("upstream draining");
        lines.iter().map(|it| it["source"].as_str().unwrap().to_owned()).collect()
    };
    assert_eq!(sources(&hosts[0]), ["answer"]);
    assert_eq!(
        (sources(&hosts[1]), sources(&hosts[2])),
        (vec!["host".into()], vec!["host".into()])
    );
}

/// The address is used again before the list tells so.
#[test]
fn who_answers_in_place_of_another_says_it_of_itself_only() {
    let mut fleet = Fleet::new(2, 0);
    fleet.store.put("servers", "former", &fleet.plains[0].entry("desk", "ready"));
    let host = fleet.host();
    fleet.store.set_fault(StoreFault::Hang);
    let mut n = 0;
    let mut send = || {
        n += 1;
        host.send(&request("order", &format!("r{n}")))
    };
    let n_to_former = || {
        let seen = fleet.plains[0].requests();
        seen.iter().filter(|it| it.header("expect-replica") == Some("former")).count()
    };
    until("another one has answered in its place", || {
        assert_eq!(send().status, 200);
        0 < n_to_former()
    });
    (0..40).for_each(|_| assert_eq!(send().status, 200));
    assert_eq!(n_to_former(), 1, "it is asked no more");
    assert_eq!(host.logged("upstream replaced").len(), 1);
    assert!(host.logged("upstream draining").is_empty());
    fleet.plains[0].set_draining(true);
    until("the host knows", || {
        send();
        !host.logged("upstream draining").is_empty()
    });
    assert_eq!(host.logged("upstream draining")[0]["upstream"], "plain-0");
}

#[test]
fn an_upstream_whose_address_another_one_has_is_asked_once() {
    let mut fleet = Fleet::new(1, 0);
    fleet.store.put("servers", "former", &fleet.plains[0].entry("desk", "ready"));
    fleet.store.remove("servers", "plain-0");
    let host = fleet.host();
    fleet.store.set_fault(StoreFault::Hang);
    (0..10).for_each(|n| assert_eq!(host.send(&request("order", &format!("r{n}"))).status, 503));
    assert_eq!((fleet.plains[0].requests().len(), fleet.n_executed()), (1, 0));
}

/// Whoever is asked by mistake tells of itself all the same.
#[test]
fn who_turns_away_what_was_meant_for_another_may_say_that_it_drains() {
    let mut fleet = Fleet::new(2, 0);
    fleet.store.put("servers", "former", &fleet.plains[0].entry("desk", "ready"));
    let host = fleet.host();
    fleet.store.set_fault(StoreFault::Hang);
    fleet.plains[0].set_draining(true);
    let mut n = 0;
    until("the host knows of both", || {
        n += 1;
        host.send(&request("order", &format!("r{n}")));
        host.metric("portfield_draining_unlisted") == 2.0
    });
    until("it is logged", || !host.logged("upstream draining").is_empty());
    assert_eq!(host.logged("upstream draining")[0]["upstream"], "plain-0");
    let n_executed = fleet.plains[0].n_executed();
    assert_eq!(fleet.plains[0].requests().len(), 1 + n_executed, "asked once for itself at most");
    assert!(n_executed <= 1, "{n_executed}");
}

#[test]
fn all_of_a_service_that_drain_are_asked_nothing_and_callers_hear_it_at_once() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    fleet.store.set_fault(StoreFault::Hang);
    fleet.plains[0].set_draining(true);
    assert_eq!(host.send(&request("order", "r1")).status, 200);
    let asked = Instant::now();
    let refused = host.send(&request("order", "r2"));
    assert!(asked.elapsed() < Duration::from_millis(500), "{:?}", asked.elapsed());
    assert_eq!((refused.status, fleet.n_executed()), (503, 1));
    let retry: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..=1.2).contains(&retry), "within what the caller has left: {retry}");
}

#[test]
fn who_asks_to_be_left_alone_gets_nothing_until_the_time_is_over() {
    const BACKOFF: Duration = Duration::from_millis(1200);
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.host();
    for (upstream, backoff) in fleet.plains.iter().zip(["1.2", "0.3"]) {
        upstream.set_retry_after(Some(backoff));
        upstream.set_fault(UpstreamFault::Shed);
    }
    let upstream = &fleet.plains[0];
    let mut n = 0;
    let mut send = |route: &str| {
        n += 1;
        host.send(&request(route, &format!("{route}-{n}")))
    };
    until("it has asked", || {
        send("order");
        !upstream.requests().is_empty()
    });
    let asked = Instant::now();
    while asked.elapsed() < BACKOFF - Duration::from_millis(100) {
        assert_eq!((send("order").status, send("check").status), (503, 503));
        thread::sleep(Duration::from_millis(5));
    }
    let n_seen = upstream.requests().len();
    assert_eq!(n_seen, 1, "it was asked again before the time was over");
    fleet.plains.iter().for_each(|it| it.set_fault(UpstreamFault::None));
    until("it takes its part again", || send("order").text() == "from plain-0");
}

/// The host learns of the upstream's start only after its answer.
#[test]
fn what_an_upstream_asked_for_holds_when_its_start_becomes_known_later() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.host();
    fleet.store.set_fault(StoreFault::Hang);
    until("the store is lost", || !host.logged("store unavailable").is_empty());
    let upstream = &fleet.plains[0];
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
    until("it has asked", || {
        send();
        !upstream.requests().is_empty()
    });
    upstream.set_retry_after(None);
    upstream.set_fault(UpstreamFault::None);
    fleet.store.set_fault(StoreFault::None);
    until("its start is known", || {
        host.logged("upstream changed").iter().filter(|it| it["upstream"] == "plain-0").count() == 2
    });
    (0..20).for_each(|_| assert_eq!(send().status, 200));
    assert_eq!(upstream.requests().len(), 1, "it is asked again before the time is over");
}
