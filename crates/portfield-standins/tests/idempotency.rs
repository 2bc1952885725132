//! Requests with an idempotency key are executed at most once.

mod fleet;

use std::{io::Write, net::TcpStream, thread};

use serde_json::json;

use crate::fleet::{
    Fleet, FleetOptions, Response, get, order_body, order_runs, update_settings, wait_until,
};

const KEY_HEADER: &str = "idempotency-key: k1\r\n";

/// Sends an order with the same key to a host's router.
fn send_order(fleet: &Fleet, host: usize, name: &str) -> Response {
    fleet.send(host, "small", "/ledger/order", &order_body(name), KEY_HEADER)
}

#[test]
fn repeated_request_gets_the_stored_response() {
    let fleet = Fleet::start(FleetOptions::default());
    let first = send_order(&fleet, 0, "lintel");
    let again = send_order(&fleet, 1, "lintel");
    assert_eq!((first.status, &first.body), (200, &again.body));
    assert_eq!(again.header("x-portfield-replayed"), "true");
    assert_eq!(order_runs(&fleet.plain_services[0])["lintel"], 1);
    let other = send_order(&fleet, 0, "sill");
    assert_eq!((other.status, other.outcome()), (422, "not-run"));
    // Keys are scoped to a workspace.
    let large = fleet.send(0, "large", "/ledger/order", &order_body("step"), KEY_HEADER);
    assert_eq!((large.status, large.header("x-portfield-replayed")), (200, ""));
}

#[test]
fn concurrent_requests_with_one_key_are_executed_once() {
    let fleet = Fleet::start(FleetOptions::default());
    for round in 0..5 {
        let name = format!("race-{round}");
        let key = format!("idempotency-key: {name}\r\n");
        let responses: Vec<_> = thread::scope(|scope| {
            let calls = (0..8).map(|idx| {
                let (fleet, name, key) = (&fleet, &name, &key);
                scope.spawn(move || {
                    fleet.send(idx % 2, "small", "/ledger/order", &order_body(name), key)
                })
            });
            let calls: Vec<_> = calls.collect();
            calls.into_iter().map(|it| it.join().unwrap()).collect()
        });
        assert_eq!(order_runs(&fleet.plain_services[0])[&name], 1);
        assert!(responses.iter().any(|it| it.status == 200));
        assert!(responses.iter().all(|it| [200, 409].contains(&it.status)), "{responses:?}");
    }
}

#[test]
fn lost_store_messages_do_not_repeat_a_keyed_request() {
    let fleet = Fleet::start(FleetOptions::default());
    fleet.set_platform_faults(&json!({ "lose_answers": 1 }));
    let res = send_order(&fleet, 0, "slab");
    assert_eq!(res.status, 200, "{res:?}");
    fleet.set_platform_faults(&json!({ "lose_requests": 1 }));
    let key = "idempotency-key: k2\r\n";
    let res = fleet.send(0, "small", "/ledger/order", &order_body("kerb"), key);
    assert_eq!(res.status, 200, "{res:?}");
    let all = order_runs(&fleet.plain_services[0]);
    assert_eq!((all["slab"], all["kerb"]), (1, 1));
}

#[test]
fn keyed_request_is_refused_while_the_store_is_down() {
    let fleet = Fleet::start(FleetOptions::default());
    fleet.set_platform_faults(&json!({ "down": true }));
    let res = send_order(&fleet, 0, "quoin");
    assert_eq!((res.status, res.outcome()), (503, "not-run"), "{res:?}");
    assert!(!res.header("retry-after").is_empty());
    assert!(!order_runs(&fleet.plain_services[0]).contains_key("quoin"));
    // Requests without a key need no store.
    let res = fleet.send(0, "small", "/ledger/order", &order_body("plinth"), "");
    assert_eq!(res.status, 200, "{res:?}");
}

#[test]
fn keyed_request_of_unknown_outcome_is_not_executed_again() {
    let fleet = Fleet::start(FleetOptions::default());
    update_settings(&fleet.plain_services[0], &json!({ "fault": "close-run", "times": 1 }));
    let first = send_order(&fleet, 0, "coping");
    assert_eq!((first.status, first.outcome()), (502, "unknown"));
    let again = send_order(&fleet, 1, "coping");
    assert_eq!((again.status, again.outcome()), (409, "unknown"));
    assert_eq!(order_runs(&fleet.plain_services[0])["coping"], 1);
}

#[test]
fn key_of_a_request_not_executed_is_released() {
    let fleet = Fleet::start(FleetOptions::default());
    update_settings(&fleet.plain_services[0], &json!({ "fault": "decline" }));
    let first = send_order(&fleet, 0, "ashlar");
    assert_eq!(first.outcome(), "not-run", "{first:?}");
    update_settings(&fleet.plain_services[0], &json!({}));
    wait_until("the order runs", || send_order(&fleet, 1, "ashlar").status == 200);
    assert_eq!(order_runs(&fleet.plain_services[0])["ashlar"], 1);
}

/// The router is killed while the order is executed, after it claimed the key in the store.
#[test]
fn key_stays_claimed_when_its_router_is_killed() {
    let mut fleet = Fleet::start(FleetOptions::default());
    update_settings(&fleet.plain_services[0], &json!({ "fault": "hang", "times": 1 }));
    let address = fleet.hosts[0].router.address;
    let call = fleet::request("small", "/ledger/order", &order_body("arch"), KEY_HEADER);
    let waiting = thread::spawn(move || fleet::send_request(address, &call));
    wait_until("the order runs", || order_runs(&fleet.plain_services[0]).contains_key("arch"));
    fleet.hosts[0].router.kill();
    assert_eq!(waiting.join().unwrap().status, 0);
    let again = send_order(&fleet, 1, "arch");
    assert_eq!((again.status, again.outcome()), (409, "unknown"));
    assert_eq!(order_runs(&fleet.plain_services[0])["arch"], 1);
}

/// A request that was withdrawn from the queue was never executed, so its key is free for a repeat.
#[test]
fn key_of_a_caller_that_disconnects_in_the_queue_is_released() {
    let fleet = Fleet::start(FleetOptions {
        slots: 1,
        router_settings: "answer_timeout_ms = 1500",
        ..FleetOptions::default()
    });
    update_settings(&fleet.plain_services[0], &json!({ "fault": "hang", "times": 1 }));
    let address = fleet.hosts[0].router.address;
    let first = fleet::request("small", "/ledger/order", &order_body("first"), "");
    let running = thread::spawn(move || fleet::send_request(address, &first));
    wait_until("the first order runs", || {
        order_runs(&fleet.plain_services[0]).contains_key("first")
    });
    let mut stream = TcpStream::connect(address).unwrap();
    let call = fleet::request("small", "/ledger/order", &order_body("second"), KEY_HEADER);
    stream.write_all(call.as_bytes()).unwrap();
    let status = || get(fleet.hosts[0].router.addresses[1].1, "/status").json();
    wait_until("the second order is queued", || status()["waiting"] == 1);
    drop(stream);
    wait_until("the second order leaves the queue", || status()["waiting"] == 0);
    assert_eq!(running.join().unwrap().outcome(), "unknown");
    wait_until("the repeat runs", || send_order(&fleet, 1, "second").status == 200);
    assert_eq!(order_runs(&fleet.plain_services[0])["second"], 1);
}
