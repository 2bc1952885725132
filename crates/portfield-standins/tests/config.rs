//! Configuration changes: they reach every process and are never reverted, under concurrent
//! operators and store faults.

mod fleet;

use std::thread;

use serde_json::json;

use crate::fleet::{Fleet, FleetOptions, get, wait_until};

#[test]
fn only_one_of_two_conflicting_plans_is_confirmed() {
    let fleet = Fleet::start(FleetOptions::default());
    let plans = [
        fleet.plan(&fleet.intent.replace("share = 4", "share = 5")),
        fleet.plan(&fleet.intent.replace("share = 4", "share = 6")),
    ];
    let results: Vec<_> = thread::scope(|scope| {
        let both = plans.iter().map(|id| scope.spawn(|| fleet.portfieldctl(&["confirm", id])));
        let both: Vec<_> = both.collect();
        both.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let refused = results.iter().find(|it| !it.0).expect("no confirmation was refused");
    assert!(refused.1.contains("workspace large"), "{}", refused.1);
    assert_eq!(results.iter().filter(|it| it.0).count(), 1);
    wait_until("new revision in force everywhere", || fleet.revisions().iter().all(|it| *it == 2));
}

#[test]
fn plan_shows_a_reduced_share_and_rejects_a_zero_share() {
    let fleet = Fleet::start(FleetOptions::default());
    let file = fleet.dir.join("more.toml");
    std::fs::write(&file, fleet.intent.replace("share = 4", "share = 9")).unwrap();
    let (is_ok, text) = fleet.portfieldctl(&["plan", file.to_str().unwrap()]);
    assert!(is_ok && text.contains("small loses: 20.00 % -> 10.00 %"), "{text}");
    std::fs::write(&file, fleet.intent.replace("share = 4", "share = 0")).unwrap();
    let (is_ok, text) = fleet.portfieldctl(&["plan", file.to_str().unwrap()]);
    assert!(!is_ok && text.contains("workspace[0].share"), "{text}");
}

#[test]
fn confirmation_succeeds_when_the_store_response_is_lost() {
    let fleet = Fleet::start(FleetOptions::default());
    let id = fleet.plan(&fleet.intent.replace("share = 4", "share = 5"));
    fleet.set_platform_faults(&json!({ "lose_answers": 1 }));
    let (is_ok, text) = fleet.portfieldctl(&["confirm", &id]);
    assert!(is_ok && text.contains("revision 2"), "{text}");
    // Repeating the confirmation creates no further revision.
    let (is_ok, text) = fleet.portfieldctl(&["confirm", &id]);
    assert!(is_ok && text.contains("revision 2"), "{text}");
    wait_until("new revision in force everywhere", || fleet.revisions().iter().all(|it| *it == 2));
}

#[test]
fn processes_started_while_the_store_is_down_get_the_configuration_from_a_peer() {
    let mut fleet = Fleet::start(FleetOptions::default());
    fleet.apply(&fleet.intent.replace("share = 4", "share = 5"));
    wait_until("new revision in force everywhere", || fleet.revisions().iter().all(|it| *it == 2));
    fleet.set_platform_faults(&json!({ "down": true }));
    fleet.hosts[0].scheduler.kill();
    fleet.hosts[0].router.kill();
    let seed = fleet.hosts[1].scheduler.address;
    let (ip, centre) = (fleet.hosts[0].ip.clone(), fleet.hosts[0].data_centre.clone());
    let scheduler = fleet.start_scheduler(&ip, &centre, &format!("seeds = ['{seed}']"));
    let router = fleet.start_router(&ip, &centre, scheduler.address, "");
    fleet.hosts[0].scheduler = scheduler;
    fleet.hosts[0].router = router;
    wait_until("new revision in force everywhere", || fleet.revisions().iter().all(|it| *it == 2));
    wait_until("the restarted host serves a request", || {
        fleet.send(0, "small", "/scribe/run", &fleet::generation_body("cold", 3), "").status == 200
    });
}

/// Polls the revision of every process during changes, some of them in a partition.
#[test]
fn revisions_never_decrease() {
    let fleet = Fleet::start(FleetOptions {
        n_hosts: vec![1, 1],
        n_engines: vec![1, 0],
        n_plain: vec![1, 0],
        ..FleetOptions::default()
    });
    let mut last = fleet.revisions();
    for share in 5..10u64 {
        if share == 7 {
            fleet.set_link(0, 1, true);
            fleet.set_link(1, 0, true);
        }
        if share == 9 {
            fleet.set_link(0, 1, false);
            fleet.set_link(1, 0, false);
        }
        fleet.apply(&fleet.intent.replace("share = 4", &format!("share = {share}")));
        wait_until("new revision in force everywhere", || {
            let now = fleet.revisions();
            assert!(now.iter().zip(&last).all(|(now, last)| last <= now), "{last:?} {now:?}");
            last = now;
            last.iter().all(|it| *it == share - 3)
        });
    }
}

#[test]
fn explain_shows_a_request_and_status_shows_the_hosts() {
    let fleet = Fleet::start(FleetOptions::default());
    let res = fleet.send(0, "small", "/scribe/run", &fleet::generation_body("why", 3), "");
    let (is_ok, text) = fleet.portfieldctl(&["explain", res.header("x-portfield-request-id")]);
    assert!(is_ok, "{text}");
    for it in
        ["accepted: workspace small", "waits for a grant", "granted", "queued at", "charged 4"]
    {
        assert!(text.contains(it), "{it} is missing: {text}");
    }
    let (is_ok, text) = fleet.portfieldctl(&["status"]);
    assert!(is_ok && text.contains("2 hosts, 0 wrong"), "{text}");
    let ready = get(fleet.hosts[0].scheduler.addresses[1].1, "/ready");
    assert_eq!(ready.json()["revision"], 1);
}
