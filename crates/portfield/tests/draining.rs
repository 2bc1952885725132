//! Upstreams that report that they are draining: how long the mark lasts, and how much of it is
//! sent.

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

fn set(started_ms: u64, state: State) -> EntryChange {
    EntryChange::Set(UpstreamEntry { started_ms: Some(started_ms), ..entry("a", state) })
}

/// A directory with one upstream whose entry says `ready` and that reported that it is draining.
fn self_reported() -> Directory {
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
fn a_self_reported_drain_overrides_the_entry() {
    let mut it = self_reported();
    assert_eq!((n_ready(&it), it.all().count(), it.draining_unlisted().count()), (0, 1, 1));
    it.apply(6, [set(1, State::Ready)], MissingRows::Deleted);
    it.replace(7, [set(1, State::Ready)], MissingRows::Deleted);
    assert_eq!(n_ready(&it), 0, "the same entry, read late");
    it.apply(8, [set(1, State::Draining)], MissingRows::Deleted);
    assert_eq!((n_ready(&it), it.draining_unlisted().count()), (0, 0), "its entry says so too");
}

#[test]
fn a_drain_mark_outlives_an_entry_that_lapses_and_returns() {
    let mut it = self_reported();
    let missing = MissingRows::MayReturn { restored_at: SECOND };
    it.apply(6, [EntryChange::Removed("a".to_owned())], missing);
    assert_eq!(it.expire(SECOND + REGISTRATION_GRACE), ["a"]);
    it.apply(7, [set(1, State::Ready)], MissingRows::Deleted);
    assert_eq!(n_ready(&it), 0);
    it.apply(8, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    it.replace(9, [set(1, State::Ready)], MissingRows::Deleted);
    assert_eq!(n_ready(&it), 0);
}

#[test]
fn a_restarted_upstream_is_not_draining() {
    let mut it = self_reported();
    it.apply(6, [set(2, State::Ready)], MissingRows::Deleted);
    assert_eq!((n_ready(&it), it.draining_unlisted().count()), (1, 0));
}

#[test]
fn drain_marks_and_digests_are_bounded() {
    let mut marks = DrainMarks::default();
    (0..5_000).for_each(|it| {
        marks.insert(it);
    });
    let n_marked = (0..5_000).filter(|it| marks.contains(*it)).count();
    assert_eq!(n_marked, 1024);
    assert!(marks.contains(4_999) && !marks.contains(0), "the oldest marks are dropped");
    assert_eq!(marks.take_for_digest(DigestScope::Full, |_| true).len(), 64);
    assert_eq!(marks.for_summary(|_| true).len(), 64);
    let n_reported: usize =
        (0..100).map(|_| marks.take_for_digest(DigestScope::Changes, |_| true).len()).sum();
    assert!(n_reported <= 3 * 1024, "{n_reported}");
}
