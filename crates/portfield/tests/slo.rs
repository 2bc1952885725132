//! Burn rates over several windows.

use std::time::Duration;

use portfield::{
    fleet::{Kind, Service},
    slo::{Alert, Sample, SlidingWindows, burn_alert},
};

fn service() -> Service {
    Service {
        id: 2,
        name: "scribe".to_owned(),
        kind: Kind::Engine,
        repeatable: true,
        first_token: 780,
        token_gap: 43,
        wait_limit: 1000,
        shard_size: 16,
    }
}

fn sample(first: u64) -> Sample {
    Sample { first_byte: Some(Duration::from_millis(first)), token_gap: Duration::ZERO }
}

#[test]
fn old_minutes_leave_the_windows() {
    let mut it = SlidingWindows::default();
    let minutes = |n: u64| Duration::from_secs(60 * n);
    it.record(minutes(0), 1, &service(), sample(900));
    it.record(minutes(20), 1, &service(), sample(100));
    let (key, totals) = it.totals(minutes(20)).next().unwrap();
    assert_eq!(key, (1, 2));
    assert_eq!(totals.map(|it| (it.total, it.late)), [(1, 0), (2, 1), (2, 1), (2, 1)]);
    let (_, totals) = it.totals(minutes(370)).next().unwrap();
    assert_eq!(totals.map(|it| it.total), [0, 0, 0, 1]);
}

#[test]
fn an_alert_needs_a_long_and_a_short_window() {
    let mut it = SlidingWindows::default();
    let failed = Sample { first_byte: None, token_gap: Duration::ZERO };
    (0..100).for_each(|_| it.record(Duration::ZERO, 1, &service(), failed));
    let at = |secs| burn_alert(&it.totals(Duration::from_secs(secs)).next().unwrap().1);
    assert_eq!(at(60), Alert::Fast);
    assert_eq!(at(10 * 60), Alert::Slow);
    assert_eq!(at(45 * 60), Alert::None);
}
