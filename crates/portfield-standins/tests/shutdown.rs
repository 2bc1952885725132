//! Shutdown, crash and suspension of routers and schedulers, and leaving upstreams.

mod fleet;

use std::thread;

use serde_json::json;

use crate::fleet::{
    Fleet, FleetOptions, expected_events, generation_body, get, update_settings, wait_until,
};

/// Returns the number of requests in execution at all engines.
fn n_running(fleet: &Fleet) -> u64 {
    let all = fleet.engines.iter().map(|it| get(it.address, "/runs").json());
    all.map(|it| it["running"].as_u64().unwrap()).sum()
}

/// Sends `n` generations of `cost` tokens to a host; returns the threads that check the responses.
fn spawn_generations(
    fleet: &Fleet,
    host: usize,
    n: usize,
    cost: u32,
) -> Vec<thread::JoinHandle<()>> {
    let address = fleet.hosts[host].router.address;
    let calls = (0..n).map(|idx| {
        thread::spawn(move || {
            let echo = format!("kept-{host}-{idx}");
            let call = fleet::request("large", "/scribe/run", &generation_body(&echo, cost), "");
            let res = fleet::send_request(address, &call);
            assert!(res.is_complete, "{echo}: {res:?}");
            assert_eq!(res.body, expected_events(&echo, cost));
        })
    });
    calls.collect()
}

#[test]
fn router_shutdown_completes_running_and_queued_requests() {
    let mut fleet = Fleet::start(FleetOptions { slots: 2, ..FleetOptions::default() });
    let calls = spawn_generations(&fleet, 0, 8, 60);
    wait_until("all requests are queued or running", || {
        let it = get(fleet.hosts[0].router.addresses[1].1, "/status").json();
        it["waiting"].as_u64().unwrap() + it["running"].as_u64().unwrap() == 8
    });
    fleet.hosts[0].router.signal("-TERM");
    wait_until("the router is not ready", || {
        get(fleet.hosts[0].router.addresses[1].1, "/ready").status == 503
    });
    calls.into_iter().for_each(|it| it.join().unwrap());
    assert_eq!(fleet.hosts[0].router.wait_for_exit(), Some(0));
}

#[test]
fn shard_owner_shutdown_loses_no_requests() {
    let mut fleet = Fleet::start(FleetOptions { slots: 2, ..FleetOptions::default() });
    let owner = fleet.shard_owner("3/");
    let calls = spawn_generations(&fleet, 1 - owner, 10, 60);
    wait_until("two generations run", || n_running(&fleet) == 2);
    fleet.hosts[owner].scheduler.signal("-TERM");
    wait_until("the other scheduler owns all shards", || {
        let owners = fleet.shards();
        !owners.is_empty() && owners.iter().all(|it| it.0 == 1 - owner)
    });
    assert_eq!(fleet.hosts[owner].scheduler.wait_for_exit(), Some(0));
    calls.into_iter().for_each(|it| it.join().unwrap());
    assert!(get(fleet.engines[0].address, "/runs").json()["most_running"].as_u64() <= Some(2));
}

#[test]
fn killed_shard_owner_loses_no_requests() {
    let mut fleet = Fleet::start(FleetOptions { slots: 2, ..FleetOptions::default() });
    let owner = fleet.shard_owner("3/");
    let calls = spawn_generations(&fleet, 1 - owner, 10, 60);
    wait_until("two generations run", || n_running(&fleet) == 2);
    fleet.hosts[owner].scheduler.kill();
    calls.into_iter().for_each(|it| it.join().unwrap());
    assert!(get(fleet.engines[0].address, "/runs").json()["most_running"].as_u64() <= Some(2));
}

/// A shard's owner is suspended until another scheduler takes the shard over, and then resumes.
#[test]
fn resumed_shard_owner_does_not_exceed_the_slots() {
    let fleet = Fleet::start(FleetOptions { slots: 2, ..FleetOptions::default() });
    let owner = fleet.shard_owner("3/");
    let calls = spawn_generations(&fleet, 1 - owner, 12, 60);
    wait_until("two generations run", || n_running(&fleet) == 2);
    fleet.hosts[owner].scheduler.signal("-STOP");
    wait_until("the other scheduler owns a shard", || {
        let it = get(fleet.hosts[1 - owner].scheduler.addresses[1].1, "/status").json();
        it["shards"].as_array().is_some_and(|it| !it.is_empty())
    });
    fleet.hosts[owner].scheduler.signal("-CONT");
    calls.into_iter().for_each(|it| it.join().unwrap());
    assert!(get(fleet.engines[0].address, "/runs").json()["most_running"].as_u64() <= Some(2));
}

#[test]
fn leaving_upstream_gets_no_requests() {
    let fleet =
        Fleet::start(FleetOptions { n_engines: vec![2], slots: 2, ..FleetOptions::default() });
    let n_runs = |idx: usize| {
        get(fleet.engines[idx].address, "/runs").json()["runs"].as_object().unwrap().len()
    };
    // The first engine is drained by configuration.
    let address = fleet.engines[0].address.to_string();
    let (is_ok, text) = fleet.portfieldctl(&["drain", &address]);
    assert!(is_ok, "{text}");
    let id = text.lines().find_map(|it| it.strip_prefix("plan ")).unwrap();
    assert!(fleet.portfieldctl(&["confirm", id.split(' ').next().unwrap()]).0);
    wait_until("new revision in force everywhere", || fleet.revisions().iter().all(|it| *it == 2));
    let before = n_runs(0);
    spawn_generations(&fleet, 0, 6, 5).into_iter().for_each(|it| it.join().unwrap());
    assert_eq!((n_runs(0), n_runs(1)), (before, 6));
    // The second reports in its health response that it is leaving, so no engine is left.
    update_settings(&fleet.engines[1], &json!({ "leaving": true }));
    wait_until("the router knows that the engine leaves", || {
        let wait = "x-portfield-wait-ms: 300\r\n";
        let res = fleet.send(0, "small", "/scribe/run", &generation_body("late", 5), wait);
        res.status == 503 && res.outcome() == "not-run"
    });
}
