//! Configuration: in force everywhere, never reverting, whatever operators and the store do.

mod fleet;

use std::thread;

use serde_json::json;

use crate::fleet::{Fleet, Shape, get, until};

#[test]
fn of_two_racing_operators_one_is_refused() {
    let fleet = Fleet::start(Shape::default());
    let plans = [
        fleet.plan(&fleet.intent.replace("share = 4", "share = 5")),
        fleet.plan(&fleet.intent.replace("share = 4", "share = 6")),
    ];
    let results: Vec<_> = thread::scope(|scope| {
        let both = plans.iter().map(|id| scope.spawn(|| fleet.ctl(&["confirm", id])));
        let both: Vec<_> = both.collect();
        both.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let refused = results.iter().find(|it| !it.0).expect("one is refused");
    assert!(refused.1.contains("workspace large"), "{}", refused.1);
    assert_eq!(results.iter().filter(|it| it.0).count(), 1);
    until("in force", || fleet.revisions().iter().all(|it| *it == 2));
}

#[test]
fn a_plan_says_what_a_workspace_loses() {
    let fleet = Fleet::start(Shape::default());
    let file = fleet.dir.join("more.toml");
    std::fs::write(&file, fleet.intent.replace("share = 4", "share = 9")).unwrap();
    let (ok, text) = fleet.ctl(&["plan", file.to_str().unwrap()]);
    assert!(ok && text.contains("small loses: 20.00 % -> 10.00 %"), "{text}");
    std::fs::write(&file, fleet.intent.replace("share = 4", "share = 0")).unwrap();
    let (ok, text) = fleet.ctl(&["plan", file.to_str().unwrap()]);
    assert!(!ok && text.contains("workspace[0].share"), "{text}");
}

#[test]
fn a_lost_answer_to_a_confirmation_is_resolved() {
    let fleet = Fleet::start(Shape::default());
    let id = fleet.plan(&fleet.intent.replace("share = 4", "share = 5"));
    fleet.platform_faults(&json!({ "lose_answers": 1 }));
    let (ok, text) = fleet.ctl(&["confirm", &id]);
    assert!(ok && text.contains("revision 2"), "{text}");
    // Confirming once more is the same, not another revision.
    let (ok, text) = fleet.ctl(&["confirm", &id]);
    assert!(ok && text.contains("revision 2"), "{text}");
    until("in force", || fleet.revisions().iter().all(|it| *it == 2));
}

#[test]
fn a_process_that_starts_while_the_store_is_down_asks_a_peer() {
    let mut fleet = Fleet::start(Shape::default());
    fleet.apply(&fleet.intent.replace("share = 4", "share = 5"));
    until("in force", || fleet.revisions().iter().all(|it| *it == 2));
    fleet.platform_faults(&json!({ "down": true }));
    fleet.hosts[0].scheduler.kill();
    fleet.hosts[0].router.kill();
    let seed = fleet.hosts[1].scheduler.address;
    let (ip, centre) = (fleet.hosts[0].ip.clone(), fleet.hosts[0].centre.clone());
    let scheduler = fleet.start_scheduler(&ip, &centre, &format!("seeds = ['{seed}']"));
    let router = fleet.start_router(&ip, &centre, scheduler.address, "");
    fleet.hosts[0].scheduler = scheduler;
    fleet.hosts[0].router = router;
    until("in force", || fleet.revisions().iter().all(|it| *it == 2));
    until("serves", || {
        fleet.call(0, "small", "/scribe/run", &fleet::generation("cold", 3), "").status == 200
    });
}

/// The revision at every process, looked at all the while, only ever rises.
#[test]
fn no_revision_ever_falls() {
    let fleet = Fleet::start(Shape {
        hosts: vec![1, 1],
        engines: vec![1, 0],
        plains: vec![1, 0],
        ..Shape::default()
    });
    let mut last = fleet.revisions();
    for share in 5..10u64 {
        if share == 7 {
            fleet.link(0, 1, true);
            fleet.link(1, 0, true);
        }
        if share == 9 {
            fleet.link(0, 1, false);
            fleet.link(1, 0, false);
        }
        fleet.apply(&fleet.intent.replace("share = 4", &format!("share = {share}")));
        until("in force", || {
            let now = fleet.revisions();
            assert!(now.iter().zip(&last).all(|(now, last)| last <= now), "{last:?} {now:?}");
            last = now;
            last.iter().all(|it| *it == share - 3)
        });
    }
}

#[test]
fn explain_and_status_tell_what_happened() {
    let fleet = Fleet::start(Shape::default());
    let res = fleet.call(0, "small", "/scribe/run", &fleet::generation("why", 3), "");
    let (ok, text) = fleet.ctl(&["explain", res.header("x-portfield-request-id")]);
    assert!(ok, "{text}");
    for it in
        ["accepted: workspace small", "waits for a grant", "granted", "queued at", "charged 4"]
    {
        assert!(text.contains(it), "{it} is missing: {text}");
    }
    let (ok, text) = fleet.ctl(&["status"]);
    assert!(ok && text.contains("2 hosts, 0 wrong"), "{text}");
    let ready = get(fleet.hosts[0].scheduler.others[1].1, "/ready");
    assert_eq!(ready.json()["revision"], 1);
}
