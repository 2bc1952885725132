//! Whether reports of other hosts cover a time in which one host did not reach the store.

use std::time::Duration;

use portfield::gossip::StoreAvailability;

const SECOND: Duration = Duration::from_secs(1);
const MAX_GAP: Duration = Duration::from_millis(3200);

fn reported_at(seconds: impl IntoIterator<Item = u32>) -> StoreAvailability {
    let mut res = StoreAvailability::new(MAX_GAP);
    seconds.into_iter().for_each(|it| res.record(SECOND * it));
    res
}

#[test]
fn reports_of_other_hosts_cover_a_partition_of_one_host() {
    assert!(reported_at(1..=20).is_continuous(SECOND * 8, SECOND * 21));
    assert!(
        reported_at((1..=20).chain([5, 7])).is_continuous(SECOND * 8, SECOND * 21),
        "old reports that arrive late"
    );
}

#[test]
fn an_outage_for_all_hosts_is_not_covered() {
    assert!(!reported_at(1..=10).is_continuous(SECOND * 10, SECOND * 18), "no answer since");
    assert!(
        !reported_at((1..=10).chain(17..=18)).is_continuous(SECOND * 10, SECOND * 18),
        "the store is back"
    );
}

/// A data centre that was cut off hears the other hosts again before it reaches the store.
#[test]
fn reports_after_a_partition_do_not_cover_it() {
    let mut it = reported_at(1..=10);
    it.record(SECOND * 19);
    assert!(!it.is_continuous(SECOND * 10, SECOND * 19));
    (20..=30).for_each(|n| it.record(SECOND * n));
    assert!(!it.is_continuous(SECOND * 10, SECOND * 30));
    assert!(it.is_continuous(SECOND * 19, SECOND * 30), "a later partition of this host alone");
}

#[test]
fn a_host_without_reports_covers_nothing() {
    assert!(!StoreAvailability::new(MAX_GAP).is_continuous(SECOND, SECOND * 2));
    assert!(
        !reported_at([9]).is_continuous(SECOND * 5, SECOND * 10),
        "the first report is too late"
    );
    assert!(
        reported_at([9]).is_continuous(SECOND * 6, SECOND * 10),
        "the first report is within the gap"
    );
}
