//! Planned stops and leaving upstreams.

mod fleet;

use std::thread;

use serde_json::json;

use crate::fleet::{Fleet, Shape, events, generation, get, switch, until};

fn running(fleet: &Fleet) -> u64 {
    let all = fleet.engines.iter().map(|it| get(it.address, "/runs").json());
    all.map(|it| it["running"].as_u64().unwrap()).sum()
}

/// Sends `n` generations to a host and returns the threads that read them.
fn load(fleet: &Fleet, host: usize, n: usize, cost: u32) -> Vec<thread::JoinHandle<()>> {
    let address = fleet.hosts[host].router.address;
    let calls = (0..n).map(|idx| {
        thread::spawn(move || {
            let echo = format!("kept-{host}-{idx}");
            let call = fleet::request("large", "/scribe/run", &generation(&echo, cost), "");
            let res = fleet::send(address, &call);
            assert!(res.whole, "{echo}: {res:?}");
            assert_eq!(res.body, events(&echo, cost));
        })
    });
    calls.collect()
}

#[test]
fn a_planned_stop_of_a_router_cuts_nothing() {
    let mut fleet = Fleet::start(Shape { slots: 2, ..Shape::default() });
    let calls = load(&fleet, 0, 8, 60);
    until("all are in", || {
        let it = get(fleet.hosts[0].router.others[1].1, "/status").json();
        it["waiting"].as_u64().unwrap() + it["running"].as_u64().unwrap() == 8
    });
    fleet.hosts[0].router.signal("-TERM");
    until("not ready", || get(fleet.hosts[0].router.others[1].1, "/ready").status == 503);
    calls.into_iter().for_each(|it| it.join().unwrap());
    assert_eq!(fleet.hosts[0].router.exit_code(), Some(0));
}

#[test]
fn a_planned_stop_of_an_owner_cuts_and_loses_nothing() {
    let mut fleet = Fleet::start(Shape { slots: 2, ..Shape::default() });
    let owner = fleet.owner_of("3/");
    let calls = load(&fleet, 1 - owner, 10, 60);
    until("they run", || running(&fleet) == 2);
    fleet.hosts[owner].scheduler.signal("-TERM");
    until("handed over", || {
        let owners = fleet.shards();
        !owners.is_empty() && owners.iter().all(|it| it.0 == 1 - owner)
    });
    assert_eq!(fleet.hosts[owner].scheduler.exit_code(), Some(0));
    calls.into_iter().for_each(|it| it.join().unwrap());
    assert!(get(fleet.engines[0].address, "/runs").json()["most_running"].as_u64() <= Some(2));
}

#[test]
fn a_killed_owner_loses_nothing() {
    let mut fleet = Fleet::start(Shape { slots: 2, ..Shape::default() });
    let owner = fleet.owner_of("3/");
    let calls = load(&fleet, 1 - owner, 10, 60);
    until("they run", || running(&fleet) == 2);
    fleet.hosts[owner].scheduler.kill();
    calls.into_iter().for_each(|it| it.join().unwrap());
    assert!(get(fleet.engines[0].address, "/runs").json()["most_running"].as_u64() <= Some(2));
}

/// A scheduler that is stopped for longer than the others wait, and goes on.
#[test]
fn a_paused_owner_that_wakes_up_does_no_harm() {
    let fleet = Fleet::start(Shape { slots: 2, ..Shape::default() });
    let owner = fleet.owner_of("3/");
    let calls = load(&fleet, 1 - owner, 12, 60);
    until("they run", || running(&fleet) == 2);
    fleet.hosts[owner].scheduler.signal("-STOP");
    until("another owns", || {
        let it = get(fleet.hosts[1 - owner].scheduler.others[1].1, "/status").json();
        it["shards"].as_array().is_some_and(|it| !it.is_empty())
    });
    fleet.hosts[owner].scheduler.signal("-CONT");
    calls.into_iter().for_each(|it| it.join().unwrap());
    assert!(get(fleet.engines[0].address, "/runs").json()["most_running"].as_u64() <= Some(2));
}

#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let fleet = Fleet::start(Shape { engines: vec![2], slots: 2, ..Shape::default() });
    let n_runs = |idx: usize| {
        get(fleet.engines[idx].address, "/runs").json()["runs"].as_object().unwrap().len()
    };
    // By configuration, for the first engine.
    let address = fleet.engines[0].address.to_string();
    let (ok, text) = fleet.ctl(&["drain", &address]);
    assert!(ok, "{text}");
    let id = text.lines().find_map(|it| it.strip_prefix("plan ")).unwrap();
    assert!(fleet.ctl(&["confirm", id.split(' ').next().unwrap()]).0);
    until("in force", || fleet.revisions().iter().all(|it| *it == 2));
    let before = n_runs(0);
    load(&fleet, 0, 6, 5).into_iter().for_each(|it| it.join().unwrap());
    assert_eq!((n_runs(0), n_runs(1)), (before, 6));
    // By its own word, for the second: nothing is left that could run it.
    switch(&fleet.engines[1], &json!({ "leaving": true }));
    until("known", || {
        let wait = "x-portfield-wait-ms: 300\r\n";
        let res = fleet.call(0, "small", "/scribe/run", &generation("late", 5), wait);
        res.status == 503 && res.outcome() == "not-run"
    });
}
