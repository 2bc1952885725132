//! Whether other hosts heard the store while one could not.

use std::time::Duration;

use portfield::balance::StoreAvailability;

const SECOND: Duration = Duration::from_secs(1);
const GAP: Duration = Duration::from_millis(3200);

fn heard(seconds: impl IntoIterator<Item = u32>) -> StoreAvailability {
    let mut res = StoreAvailability::new(GAP);
    seconds.into_iter().for_each(|it| res.record(SECOND * it));
    res
}

#[test]
fn others_that_heard_the_store_all_the_while_tell_that_only_the_way_to_it_was_cut() {
    assert!(heard(1..=20).is_continuous(SECOND * 8, SECOND * 21));
    assert!(
        heard((1..=20).chain([5, 7])).is_continuous(SECOND * 8, SECOND * 21),
        "old words, late"
    );
}

#[test]
fn an_outage_for_all_is_one_for_each() {
    assert!(!heard(1..=10).is_continuous(SECOND * 10, SECOND * 18), "nobody has heard it since");
    assert!(!heard((1..=10).chain(17..=18)).is_continuous(SECOND * 10, SECOND * 18), "it is back");
}

/// A data centre that was cut off hears the others again before it hears the store.
#[test]
fn words_of_after_the_cut_say_nothing_of_the_time_of_the_cut() {
    let mut it = heard(1..=10);
    it.record(SECOND * 19);
    assert!(!it.is_continuous(SECOND * 10, SECOND * 19));
    (20..=30).for_each(|n| it.record(SECOND * n));
    assert!(!it.is_continuous(SECOND * 10, SECOND * 30));
    assert!(it.is_continuous(SECOND * 19, SECOND * 30), "a later cut of this host alone");
}

#[test]
fn who_has_heard_of_nobody_knows_nothing() {
    assert!(!StoreAvailability::new(GAP).is_continuous(SECOND, SECOND * 2));
    assert!(
        !heard([9]).is_continuous(SECOND * 5, SECOND * 10),
        "the others began to hear it later"
    );
    assert!(heard([9]).is_continuous(SECOND * 6, SECOND * 10), "less than an outage later");
}
