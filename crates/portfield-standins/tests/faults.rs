//! Cuts, outages and floods.

mod fleet;

use std::{thread, time::Duration};

use serde_json::json;

use crate::fleet::{Fleet, Shape, events, generation, get, until};

fn answered(fleet: &Fleet, host: usize, echo: &str) -> bool {
    let res = fleet.call(host, "small", "/scribe/run", &generation(echo, 4), "");
    res.status == 200 && res.whole && res.body == events(echo, 4)
}

fn two_centres() -> Fleet {
    Fleet::start(Shape {
        hosts: vec![2, 2],
        engines: vec![1, 1],
        plains: vec![1, 0],
        ..Shape::default()
    })
}

#[test]
fn data_centres_that_are_cut_off_go_on_serving() {
    let fleet = two_centres();
    fleet.link(0, 1, true);
    fleet.link(1, 0, true);
    fleet.platform_faults(&json!({ "down": true }));
    for round in 0..5 {
        for host in 0..4 {
            assert!(answered(&fleet, host, &format!("cut-{round}-{host}")));
        }
        thread::sleep(Duration::from_millis(500));
    }
    fleet.link(0, 1, false);
    fleet.link(1, 0, false);
    fleet.platform_faults(&json!({}));
    let (ok, _) = fleet.ctl(&["status"]);
    assert!(ok);
    until("all alive again", || fleet.ctl(&["status"]).1.contains("0 wrong"));
}

/// The only engines stand in the other data centre: slots are lent across.
#[test]
fn a_data_centre_without_engines_borrows_slots() {
    let fleet = Fleet::start(Shape {
        hosts: vec![1, 1],
        engines: vec![2, 0],
        plains: vec![1, 0],
        ..Shape::default()
    });
    thread::scope(|scope| {
        for idx in 0..12 {
            let fleet = &fleet;
            scope.spawn(move || assert!(answered(fleet, 1, &format!("far-{idx}"))));
        }
    });
    until("every slot is back", || fleet.shards().iter().all(|(_, it)| it["used"] == 0));
}

#[test]
fn who_floods_is_refused_and_nobody_else_is() {
    let fleet = Fleet::start(Shape { slots: 1, queue: 3, ..Shape::default() });
    let address = fleet.hosts[0].router.address;
    let flood: Vec<_> = (0..12)
        .map(|idx| {
            let body = generation(&format!("flood-{idx}"), 40);
            let call = fleet::request("large", "/scribe/run", &body, "");
            thread::spawn(move || fleet::send(address, &call))
        })
        .collect();
    until("it floods", || {
        let it = get(fleet.hosts[0].router.others[1].1, "/status").json();
        0 < it["not_run"].as_u64().unwrap()
    });
    assert!(answered(&fleet, 0, "calm"));
    let answers: Vec<_> = flood.into_iter().map(|it| it.join().unwrap()).collect();
    let refused: Vec<_> = answers.iter().filter(|it| it.status == 429).collect();
    assert!(!refused.is_empty());
    for it in refused {
        assert_eq!(it.outcome(), "not-run");
        assert!(!it.header("retry-after").is_empty(), "{it:?}");
    }
    assert!(answers.iter().all(|it| it.status == 429 || it.whole));
}

#[test]
fn a_request_given_up_on_is_answered_at_its_deadline() {
    let fleet = Fleet::start(Shape { slots: 1, ..Shape::default() });
    let address = fleet.hosts[0].router.address;
    let long = fleet::request("large", "/scribe/run", &generation("long", 400), "");
    let running = thread::spawn(move || fleet::send(address, &long));
    until("it runs", || get(fleet.engines[0].address, "/runs").json()["running"] == 1);
    let wait = "x-portfield-wait-ms: 200\r\n";
    let res = fleet.call(0, "small", "/scribe/run", &generation("late", 4), wait);
    assert_eq!((res.status, res.outcome()), (503, "not-run"), "{res:?}");
    assert!(!running.is_finished());
    assert!(running.join().unwrap().whole);
}

/// Both schedulers of a data centre restart with nothing while requests run and wait.
#[test]
fn all_schedulers_at_once_may_restart() {
    let mut fleet = Fleet::start(Shape { slots: 2, ..Shape::default() });
    let address = fleet.hosts[0].router.address;
    let calls: Vec<_> = (0..6)
        .map(|idx| {
            thread::spawn(move || {
                let echo = format!("both-{idx}");
                let call = fleet::request("large", "/scribe/run", &generation(&echo, 60), "");
                let res = fleet::send(address, &call);
                assert_eq!(res.body, events(&echo, 60));
            })
        })
        .collect();
    until("they run", || get(fleet.engines[0].address, "/runs").json()["running"] == 2);
    for idx in 0..2 {
        let old = fleet.hosts[idx].scheduler.address;
        fleet.hosts[idx].scheduler.kill();
        let (ip, centre) = (fleet.hosts[idx].ip.clone(), fleet.hosts[idx].centre.clone());
        // At its old address, as a service manager would start it.
        fleet.hosts[idx].scheduler = fleet.restart_scheduler(&ip, &centre, old);
    }
    calls.into_iter().for_each(|it| it.join().unwrap());
    assert!(get(fleet.engines[0].address, "/runs").json()["most_running"].as_u64() <= Some(2));
}
