//! Limits of a single host: retries, load shedding and calls to the store.

use std::time::Duration;

use portfield::{
    balance::{LoadShedder, RetryBudget},
    gossip::{StoreWatchers, WatcherStatus},
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(1_000 + millis)
}

#[test]
fn retries_stay_within_the_fleet_budget_without_coordination() {
    let (ratio, extra, n_hosts) = (0.2, 50.0, 9);
    let window = Duration::from_secs(10);
    let mut budgets = vec![RetryBudget::new(ratio, extra, window); n_hosts];
    let mut n_retries = 0;
    for step in 0..900_u64 {
        let now = Duration::from_millis(step * 10);
        let it = &mut budgets[(step % n_hosts as u64) as usize];
        it.deposit(now);
        n_retries += usize::from(it.withdraw(now, n_hosts));
    }
    assert!(0 < n_retries && n_retries as f64 <= ratio * 900.0 + extra, "{n_retries}");
}

/// A caller of a busy workspace sent everything to one host, which ran out of processor time while
/// the others were idle.
#[test]
fn a_late_host_sheds_load_until_it_is_calm() {
    let mut it = LoadShedder::default();
    let step = |it: &mut LoadShedder, n: u64, late: u64| {
        it.observe(at(n * 25), Duration::from_millis(late));
    };
    (0..40).for_each(|n| step(&mut it, n, 1));
    assert!(!it.is_overloaded() && it.shed(at(1_000), 1, 1.0, 0.0).is_none());
    (40..60).for_each(|n| step(&mut it, n, 18));
    let mut is_shed = |draw| it.shed(at(1_500), 1, 1.0, draw).is_some();
    assert!(is_shed(0.2) && !is_shed(0.9));
    assert!(it.is_overloaded());
    (60..100).for_each(|n| step(&mut it, n, 0));
    assert!(it.is_overloaded(), "one calm second is too short");
    (100..150).for_each(|n| step(&mut it, n, 0));
    assert!(!it.is_overloaded());
}

/// A host that is late for a moment, as when it reads a large configuration, bears the same load as
/// before.
#[test]
fn a_briefly_late_host_recovers_at_its_usual_load() {
    let mut it = LoadShedder::default();
    // Sixty requests per second, and timers that are late for a fifth of a second.
    for n in 0..200_u64 {
        let now = n * 25;
        it.observe(at(now), Duration::from_millis(if (40..48).contains(&n) { 40 } else { 1 }));
        if n == 50 {
            assert!(it.is_overloaded());
        }
        let draw = (n * 37 % 100) as f64 / 100.0;
        for _ in 0..1 + n % 2 {
            let _ = it.shed(at(now), 1, 10.0, draw);
        }
    }
    assert!(!it.is_overloaded(), "after three and a half calm seconds");
}

/// An overloaded host refused requests of all workspaces alike, and a workspace whose callers all
/// used that host got under half of what it asked for (grown Craigmhor, scale-1).
#[test]
fn a_flood_of_one_workspace_costs_no_other_workspace() {
    let mut it = LoadShedder::default();
    (0..40).for_each(|n| it.observe(at(n * 25), Duration::from_millis(18)));
    let mut n_refused = [0; 2];
    for n in 0..1_000 {
        let workspace = u32::from(n % 10 == 0);
        let draw = f64::from(n % 97) / 97.0;
        let refused = it.shed(at(1_000 + n as u64), workspace, 10.0, draw).is_some();
        n_refused[workspace as usize] += u32::from(refused);
    }
    assert!(400 < n_refused[0], "{n_refused:?}");
    assert!(n_refused[1] <= 2, "{n_refused:?}");
}

#[test]
fn a_single_late_timer_is_no_overload() {
    let mut it = LoadShedder::default();
    it.observe(at(0), Duration::from_millis(50));
    assert!(!it.is_overloaded());
}

/// Calls to the store were the largest cost of the grown deployments.
#[test]
fn few_hosts_watch_the_store_and_others_replace_rejected_ones() {
    let status = |host: u64, store_age: u64, heard: u64| WatcherStatus {
        host,
        data_centre: (host % 3) as u32,
        store_age: Duration::from_millis(store_age),
        last_heard: at(heard),
    };
    let watchers = |silent: &[u64], now: u64| -> Vec<u64> {
        let is_watcher = |me: &u64| {
            let mut it = StoreWatchers::default();
            for host in (0..60).filter(|it| it != me) {
                let age = if silent.contains(&host) { 3_000 } else { 900 };
                it.record(status(host, age, now));
            }
            it.is_watcher(at(now + 100), *me, (*me % 3) as u32, 59)
        };
        (0..60).filter(is_watcher).collect()
    };
    assert_eq!(watchers(&[], 0), [0, 1, 2, 3, 4, 5]);
    assert_eq!(watchers(&[0, 4], 0), [0, 1, 2, 3, 4, 5, 6, 7]);
    let mut alone = StoreWatchers::default();
    (0..60).for_each(|host| alone.record(status(host, 100, 0)));
    assert!(
        alone.is_watcher(at(5_000), 61, 1, 0),
        "a host that hears nobody watches the store itself"
    );
}

/// While the store was down for all, every host called it twice a second for each table: 295 hosts
/// made 1,200 calls per second.
#[test]
fn few_hosts_call_a_store_that_is_down() {
    let n_watchers = |age: u64| {
        let is_watcher = |me: &u64| {
            let mut it = StoreWatchers::default();
            for host in (0..295).filter(|it| it != me) {
                let store_age = Duration::from_millis(age);
                it.record(WatcherStatus {
                    host,
                    data_centre: (host % 5) as u32,
                    store_age,
                    last_heard: at(0),
                });
            }
            it.is_watcher(at(0), *me, (*me % 5) as u32, 294)
        };
        (0..295).filter(is_watcher).count()
    };
    assert_eq!(n_watchers(900), 10);
    assert_eq!(n_watchers(1_800), 15, "one more of each data centre");
    assert_eq!(n_watchers(3_500), 30);
    assert_eq!(n_watchers(20_000), 65);
}
