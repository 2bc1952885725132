//! Outcomes reported to callers, compared with what upstreams executed.

mod fleet;

use std::{thread, time::Duration};

use serde_json::json;

use crate::fleet::{
    Fleet, FleetOptions, expected_events, generation_body, order_body, order_runs, update_settings,
};

/// Breaks an exchange with a service whose requests must not be repeated at every possible point.
#[test]
fn outcome_matches_the_execution_wherever_an_exchange_breaks() {
    let fleet = Fleet::start(FleetOptions {
        router_settings: "answer_timeout_ms = 500",
        ..FleetOptions::default()
    });
    let cases = [
        ("none", 200, ""),
        ("close-unread", 502, "unknown"),
        ("close-unrun", 502, "unknown"),
        ("close-run", 502, "unknown"),
        ("close-head", 502, "unknown"),
        ("hang", 502, "unknown"),
        ("interim", 200, ""),
        ("extra-bytes", 200, ""),
        ("decline", 200, ""),
    ];
    for (fault, status, outcome) in cases {
        update_settings(&fleet.plain_services[0], &json!({ "fault": fault, "times": 1 }));
        let res = fleet.send(0, "small", "/ledger/order", &order_body(fault), "");
        assert_eq!((res.status, res.outcome()), (status, outcome), "{fault}: {res:?}");
        let n_runs = order_runs(&fleet.plain_services[0]).get(fault).copied().unwrap_or(0);
        assert!(n_runs <= 1, "{fault}: executed {n_runs} times");
        if status == 200 {
            assert!(res.is_complete && res.json() == json!({ "echo": fault }), "{res:?}");
            assert_eq!(n_runs, 1, "{fault}");
        }
        // After a failure, the shard's owner grants no slot of the upstream for at least 500 ms.
        thread::sleep(Duration::from_millis(600));
    }
}

/// A health or runs request once consumed the fault set for an order, so that on a busy machine the
/// order got 200 instead of 502.
#[test]
fn monitoring_requests_do_not_consume_a_fault() {
    let fleet = Fleet::start(FleetOptions {
        router_settings: "answer_timeout_ms = 500",
        ..FleetOptions::default()
    });
    update_settings(&fleet.plain_services[0], &json!({ "fault": "close-unread", "times": 1 }));
    assert!(order_runs(&fleet.plain_services[0]).is_empty());
    let res = fleet.send(0, "small", "/ledger/order", &order_body("kept"), "");
    assert_eq!((res.status, res.outcome()), (502, "unknown"), "{res:?}");
}

#[test]
fn truncated_response_is_not_forwarded_as_complete() {
    let fleet = Fleet::start(FleetOptions::default());
    update_settings(&fleet.plain_services[0], &json!({ "fault": "close-body", "times": 1 }));
    let res = fleet.send(0, "small", "/ledger/order", &order_body("cut"), "");
    assert!(!res.is_complete, "{res:?}");
}

#[test]
fn request_to_a_dead_upstream_is_reported_as_not_run() {
    let mut fleet = Fleet::start(FleetOptions::default());
    fleet.plain_services[0].kill();
    let res = fleet.send(
        0,
        "small",
        "/ledger/order",
        &order_body("gone"),
        "x-portfield-wait-ms: 700\r\n",
    );
    assert_eq!(res.outcome(), "not-run", "{res:?}");
    assert!(res.status == 502 || res.status == 503, "{res:?}");
    assert!(!res.header("retry-after").is_empty(), "{res:?}");
}

#[test]
fn repeatable_request_is_retried() {
    let fleet = Fleet::start(FleetOptions { n_engines: vec![2], ..FleetOptions::default() });
    for it in &fleet.engines {
        update_settings(it, &json!({ "fault": "close-head", "times": 1 }));
    }
    let res = fleet.send(0, "small", "/scribe/run", &generation_body("again", 5), "");
    assert_eq!(
        (res.status, res.body.as_str()),
        (200, expected_events("again", 5).as_str()),
        "{res:?}"
    );
}

#[test]
fn concurrent_callers_get_their_own_responses() {
    let fleet = Fleet::start(FleetOptions { n_engines: vec![2], ..FleetOptions::default() });
    thread::scope(|scope| {
        for idx in 0..40 {
            let fleet = &fleet;
            scope.spawn(move || {
                let echo = format!("caller-{idx}");
                let res =
                    fleet.send(idx % 2, "large", "/scribe/run", &generation_body(&echo, 8), "");
                assert!(res.is_complete, "{res:?}");
                assert_eq!(res.body, expected_events(&echo, 8));
            });
        }
    });
}
