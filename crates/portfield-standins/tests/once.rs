//! At most once: requests with an idempotency key.

mod fleet;

use std::{io::Write, net::TcpStream, thread};

use serde_json::json;

use crate::fleet::{Answer, Fleet, Shape, get, order, orders, switch, until};

const KEY: &str = "idempotency-key: k1\r\n";

fn buy(fleet: &Fleet, host: usize, name: &str) -> Answer {
    fleet.call(host, "small", "/ledger/order", &order(name), KEY)
}

#[test]
fn a_repeat_gets_the_kept_answer() {
    let fleet = Fleet::start(Shape::default());
    let first = buy(&fleet, 0, "lintel");
    let again = buy(&fleet, 1, "lintel");
    assert_eq!((first.status, &first.body), (200, &again.body));
    assert_eq!(again.header("x-portfield-replayed"), "true");
    assert_eq!(orders(&fleet.plains[0])["lintel"], 1);
    let other = buy(&fleet, 0, "sill");
    assert_eq!((other.status, other.outcome()), (422, "not-run"));
    // Another workspace's key of the same name is another key.
    let large = fleet.call(0, "large", "/ledger/order", &order("step"), KEY);
    assert_eq!((large.status, large.header("x-portfield-replayed")), (200, ""));
}

#[test]
fn a_key_at_two_routers_at_once_runs_once() {
    let fleet = Fleet::start(Shape::default());
    for round in 0..5 {
        let name = format!("race-{round}");
        let key = format!("idempotency-key: {name}\r\n");
        let answers: Vec<_> = thread::scope(|scope| {
            let calls = (0..8).map(|idx| {
                let (fleet, name, key) = (&fleet, &name, &key);
                scope
                    .spawn(move || fleet.call(idx % 2, "small", "/ledger/order", &order(name), key))
            });
            let calls: Vec<_> = calls.collect();
            calls.into_iter().map(|it| it.join().unwrap()).collect()
        });
        assert_eq!(orders(&fleet.plains[0])[&name], 1);
        assert!(answers.iter().any(|it| it.status == 200));
        assert!(answers.iter().all(|it| [200, 409].contains(&it.status)), "{answers:?}");
    }
}

#[test]
fn a_lost_answer_of_the_store_runs_the_request_once() {
    let fleet = Fleet::start(Shape::default());
    fleet.platform_faults(&json!({ "lose_answers": 1 }));
    let res = buy(&fleet, 0, "slab");
    assert_eq!(res.status, 200, "{res:?}");
    fleet.platform_faults(&json!({ "lose_requests": 1 }));
    let key = "idempotency-key: k2\r\n";
    let res = fleet.call(0, "small", "/ledger/order", &order("kerb"), key);
    assert_eq!(res.status, 200, "{res:?}");
    let all = orders(&fleet.plains[0]);
    assert_eq!((all["slab"], all["kerb"]), (1, 1));
}

#[test]
fn without_the_store_a_keyed_request_is_refused_as_not_run() {
    let fleet = Fleet::start(Shape::default());
    fleet.platform_faults(&json!({ "down": true }));
    let res = buy(&fleet, 0, "quoin");
    assert_eq!((res.status, res.outcome()), (503, "not-run"), "{res:?}");
    assert!(!res.header("retry-after").is_empty());
    assert!(!orders(&fleet.plains[0]).contains_key("quoin"));
    // Everything else goes on.
    let res = fleet.call(0, "small", "/ledger/order", &order("plinth"), "");
    assert_eq!(res.status, 200, "{res:?}");
}

#[test]
fn a_request_that_may_have_run_is_not_run_again_under_its_key() {
    let fleet = Fleet::start(Shape::default());
    switch(&fleet.plains[0], &json!({ "fault": "close-run", "times": 1 }));
    let first = buy(&fleet, 0, "coping");
    assert_eq!((first.status, first.outcome()), (502, "unknown"));
    let again = buy(&fleet, 1, "coping");
    assert_eq!((again.status, again.outcome()), (409, "unknown"));
    assert_eq!(orders(&fleet.plains[0])["coping"], 1);
}

#[test]
fn a_request_that_did_not_run_gives_its_key_back() {
    let fleet = Fleet::start(Shape::default());
    switch(&fleet.plains[0], &json!({ "fault": "decline" }));
    let first = buy(&fleet, 0, "ashlar");
    assert_eq!(first.outcome(), "not-run", "{first:?}");
    switch(&fleet.plains[0], &json!({}));
    until("the order runs", || buy(&fleet, 1, "ashlar").status == 200);
    assert_eq!(orders(&fleet.plains[0])["ashlar"], 1);
}

/// The router dies between the claim and the answer, while the order runs.
#[test]
fn a_router_that_dies_leaves_the_key_taken() {
    let mut fleet = Fleet::start(Shape::default());
    switch(&fleet.plains[0], &json!({ "fault": "hang", "times": 1 }));
    let address = fleet.hosts[0].router.address;
    let call = fleet::request("small", "/ledger/order", &order("arch"), KEY);
    let waiting = thread::spawn(move || fleet::send(address, &call));
    until("it runs", || orders(&fleet.plains[0]).contains_key("arch"));
    fleet.hosts[0].router.kill();
    assert_eq!(waiting.join().unwrap().status, 0);
    let again = buy(&fleet, 1, "arch");
    assert_eq!((again.status, again.outcome()), (409, "unknown"));
    assert_eq!(orders(&fleet.plains[0])["arch"], 1);
}

/// A caller that hangs up while its keyed request waits: nothing ran, so the key is free.
#[test]
fn a_caller_that_hangs_up_before_the_grant_gives_the_key_back() {
    let fleet =
        Fleet::start(Shape { slots: 1, router: "answer_timeout_ms = 1500", ..Shape::default() });
    switch(&fleet.plains[0], &json!({ "fault": "hang", "times": 1 }));
    let address = fleet.hosts[0].router.address;
    let first = fleet::request("small", "/ledger/order", &order("first"), "");
    let running = thread::spawn(move || fleet::send(address, &first));
    until("it runs", || orders(&fleet.plains[0]).contains_key("first"));
    let mut stream = TcpStream::connect(address).unwrap();
    let call = fleet::request("small", "/ledger/order", &order("second"), KEY);
    stream.write_all(call.as_bytes()).unwrap();
    let status = || get(fleet.hosts[0].router.others[1].1, "/status").json();
    until("it waits", || status()["waiting"] == 1);
    drop(stream);
    until("it is withdrawn", || status()["waiting"] == 0);
    assert_eq!(running.join().unwrap().outcome(), "unknown");
    until("the repeat runs", || buy(&fleet, 1, "second").status == 200);
    assert_eq!(orders(&fleet.plains[0])["second"], 1);
}
