//! Upstreams that say of themselves that they drain: how long that holds, and how much is told of it.

mod entries;

use std::time::Duration;

use entries::entry;
use portfield::{
    catalog::{
        Directory, DrainMarks, EntryChange, MissingRows, REGISTRATION_GRACE, State, UpstreamEntry,
    },
    digest_scope::DigestScope,
};

const SECOND: Duration = Duration::from_secs(1);

fn set(born: u64, state: State) -> EntryChange {
    EntryChange::Set(UpstreamEntry { started_ms: Some(born), ..entry("a", state) })
}

/// A list with one upstream that its entry calls ready, and that said that it drains.
fn told() -> Directory {
    let mut res = Directory::default();
    res.replace(5, [set(1, State::Ready)], MissingRows::Deleted);
    let number = res.all().next().unwrap().wire_id();
    assert!(res.mark_draining(number));
    assert!(!res.mark_draining(number));
    res
}

fn n_ready(it: &Directory) -> usize {
    it.ready().count()
}

#[test]
fn who_says_that_it_drains_takes_nothing_whatever_its_entry_says() {
    let mut it = told();
    assert_eq!((n_ready(&it), it.all().count(), it.draining_unlisted().count()), (0, 1, 1));
    it.apply(6, [set(1, State::Ready)], MissingRows::Deleted);
    it.replace(7, [set(1, State::Ready)], MissingRows::Deleted);
    assert_eq!(n_ready(&it), 0, "the same entry, read late");
    it.apply(8, [set(1, State::Draining)], MissingRows::Deleted);
    assert_eq!((n_ready(&it), it.draining_unlisted().count()), (0, 0), "its entry says so too");
}

#[test]
fn its_word_outlasts_an_entry_that_lapses_and_comes_back() {
    let mut it = told();
    let source = MissingRows::MayReturn { restored_at: SECOND };
    it.apply(6, [EntryChange::Removed("a".to_owned())], source);
    assert_eq!(it.expire(SECOND + REGISTRATION_GRACE), ["a"]);
    it.apply(7, [set(1, State::Ready)], MissingRows::Deleted);
    assert_eq!(n_ready(&it), 0);
    it.apply(8, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    it.replace(9, [set(1, State::Ready)], MissingRows::Deleted);
    assert_eq!(n_ready(&it), 0);
}

#[test]
fn who_starts_anew_under_the_same_id_takes_requests() {
    let mut it = told();
    it.apply(6, [set(2, State::Ready)], MissingRows::Deleted);
    assert_eq!((n_ready(&it), it.draining_unlisted().count()), (1, 0));
}

#[test]
fn what_is_remembered_and_told_is_bounded() {
    let mut marks = DrainMarks::default();
    (0..5_000).for_each(|it| {
        marks.insert(it);
    });
    let n_kept = (0..5_000).filter(|it| marks.contains(*it)).count();
    assert_eq!(n_kept, 1024);
    assert!(marks.contains(4_999) && !marks.contains(0), "the first ones are forgotten");
    assert_eq!(marks.take_for_digest(DigestScope::Full, |_| true).len(), 64);
    assert_eq!(marks.for_summary(|_| true).len(), 64);
    let n_told: usize =
        (0..100).map(|_| marks.take_for_digest(DigestScope::Changes, |_| true).len()).sum();
    assert!(n_told <= 3 * 1024, "{n_told}");
}
