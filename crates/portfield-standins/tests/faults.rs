//! Network partitions, outages of the platform and schedulers, and overload.

mod fleet;

use std::{thread, time::Duration};

use serde_json::json;

use crate::fleet::{Fleet, FleetOptions, expected_events, generation_body, get, wait_until};

/// Returns whether a generation sent to a host gets a complete response of its own.
fn is_served(fleet: &Fleet, host: usize, echo: &str) -> bool {
    let res = fleet.send(host, "small", "/scribe/run", &generation_body(echo, 4), "");
    res.status == 200 && res.is_complete && res.body == expected_events(echo, 4)
}

fn two_data_centres() -> Fleet {
    Fleet::start(FleetOptions {
        n_hosts: vec![2, 2],
        n_engines: vec![1, 1],
        n_plain: vec![1, 0],
        ..FleetOptions::default()
    })
}

#[test]
fn partitioned_data_centres_keep_serving() {
    let fleet = two_data_centres();
    fleet.set_link(0, 1, true);
    fleet.set_link(1, 0, true);
    fleet.set_platform_faults(&json!({ "down": true }));
    for round in 0..5 {
        for host in 0..4 {
            assert!(is_served(&fleet, host, &format!("cut-{round}-{host}")));
        }
        thread::sleep(Duration::from_millis(500));
    }
    fleet.set_link(0, 1, false);
    fleet.set_link(1, 0, false);
    fleet.set_platform_faults(&json!({}));
    let (is_ok, _) = fleet.portfieldctl(&["status"]);
    assert!(is_ok);
    wait_until("no host reported wrong after the partition", || {
        fleet.portfieldctl(&["status"]).1.contains("0 wrong")
    });
}

/// All engines are in the other data centre, which lends slots of them.
#[test]
fn data_centre_without_engines_borrows_slots() {
    let fleet = Fleet::start(FleetOptions {
        n_hosts: vec![1, 1],
        n_engines: vec![2, 0],
        n_plain: vec![1, 0],
        ..FleetOptions::default()
    });
    thread::scope(|scope| {
        for idx in 0..12 {
            let fleet = &fleet;
            scope.spawn(move || assert!(is_served(fleet, 1, &format!("far-{idx}"))));
        }
    });
    wait_until("all slots are returned", || fleet.shards().iter().all(|(_, it)| it["used"] == 0));
}

#[test]
fn overload_refuses_only_the_workspace_that_causes_it() {
    let fleet = Fleet::start(FleetOptions { slots: 1, queue_limit: 3, ..FleetOptions::default() });
    let address = fleet.hosts[0].router.address;
    let threads: Vec<_> = (0..12)
        .map(|idx| {
            let body = generation_body(&format!("flood-{idx}"), 40);
            let call = fleet::request("large", "/scribe/run", &body, "");
            thread::spawn(move || fleet::send_request(address, &call))
        })
        .collect();
    wait_until("requests are refused", || {
        let it = get(fleet.hosts[0].router.addresses[1].1, "/status").json();
        0 < it["not_run"].as_u64().unwrap()
    });
    assert!(is_served(&fleet, 0, "calm"));
    let responses: Vec<_> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    let refused: Vec<_> = responses.iter().filter(|it| it.status == 429).collect();
    assert!(!refused.is_empty());
    for it in refused {
        assert_eq!(it.outcome(), "not-run");
        assert!(!it.header("retry-after").is_empty(), "{it:?}");
    }
    assert!(responses.iter().all(|it| it.status == 429 || it.is_complete));
}

#[test]
fn queued_request_is_refused_at_its_wait_limit() {
    let fleet = Fleet::start(FleetOptions { slots: 1, ..FleetOptions::default() });
    let address = fleet.hosts[0].router.address;
    let long = fleet::request("large", "/scribe/run", &generation_body("long", 400), "");
    let running = thread::spawn(move || fleet::send_request(address, &long));
    wait_until("the first generation runs", || {
        get(fleet.engines[0].address, "/runs").json()["running"] == 1
    });
    let wait = "x-portfield-wait-ms: 200\r\n";
    let res = fleet.send(0, "small", "/scribe/run", &generation_body("late", 4), wait);
    assert_eq!((res.status, res.outcome()), (503, "not-run"), "{res:?}");
    assert!(!running.is_finished());
    assert!(running.join().unwrap().is_complete);
}

/// Both schedulers of a data centre lose their state while requests are running and queued.
#[test]
fn requests_survive_a_restart_of_all_schedulers() {
    let mut fleet = Fleet::start(FleetOptions { slots: 2, ..FleetOptions::default() });
    let address = fleet.hosts[0].router.address;
    let calls: Vec<_> = (0..6)
        .map(|idx| {
            thread::spawn(move || {
                let echo = format!("both-{idx}");
                let call = fleet::request("large", "/scribe/run", &generation_body(&echo, 60), "");
                let res = fleet::send_request(address, &call);
                assert_eq!(res.body, expected_events(&echo, 60));
            })
        })
        .collect();
    wait_until("two generations run", || {
        get(fleet.engines[0].address, "/runs").json()["running"] == 2
    });
    for idx in 0..2 {
        let old = fleet.hosts[idx].scheduler.address;
        fleet.hosts[idx].scheduler.kill();
        let (ip, centre) = (fleet.hosts[idx].ip.clone(), fleet.hosts[idx].data_centre.clone());
        // At the same address, as a service manager restarts it.
        fleet.hosts[idx].scheduler = fleet.restart_scheduler(&ip, &centre, old);
    }
    calls.into_iter().for_each(|it| it.join().unwrap());
    assert!(get(fleet.engines[0].address, "/runs").json()["most_running"].as_u64() <= Some(2));
}
