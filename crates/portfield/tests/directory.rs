//! The list of upstreams through changes, outages of the store, and returns.

use std::time::Duration;

use portfield::catalog::{Change, Directory, Entry, RETURN_GRACE, Source, State};

const SECOND: Duration = Duration::from_secs(1);

fn entry(id: &str, state: State) -> Entry {
    Entry {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "north".to_owned(),
        slots: 6,
        state,
    }
}

fn ready(it: &Directory) -> Vec<String> {
    it.ready().map(|it| it.entry.id.clone()).collect()
}

fn two() -> Directory {
    let mut res = Directory::default();
    let list = vec![entry("a", State::Ready), entry("b", State::Ready)];
    res.replace(5, list, Source::Current);
    res
}

#[test]
fn who_drains_takes_no_new_requests() {
    let mut it = two();
    it.apply(6, [Change::Set(entry("a", State::Draining))], Source::Current);
    assert_eq!(ready(&it), ["b"]);
    assert_eq!(it.all().count(), 2);
}

#[test]
fn who_is_gone_is_gone_at_once_while_the_store_answers() {
    let mut it = two();
    it.apply(6, [Change::Gone("a".to_owned())], Source::Current);
    assert_eq!(ready(&it), ["b"]);
    it.replace(7, vec![entry("a", State::Ready)], Source::Current);
    assert_eq!(ready(&it), ["a"]);
}

#[test]
fn an_older_version_changes_nothing() {
    let mut it = two();
    it.apply(4, [Change::Gone("a".to_owned())], Source::Current);
    it.replace(3, Vec::new(), Source::Current);
    assert_eq!(ready(&it), ["a", "b"]);
}

#[test]
fn who_lapsed_in_an_outage_may_come_back() {
    let mut it = two();
    let source = Source::AfterOutage { returned: SECOND };
    it.replace(6, vec![entry("b", State::Ready)], source);
    assert_eq!(ready(&it), ["a", "b"]);
    it.apply(7, [Change::Set(entry("a", State::Ready))], source);
    assert!(it.expire(SECOND + RETURN_GRACE).is_empty());
    assert_eq!(ready(&it), ["a", "b"]);
}

/// A host that was cut off took the store's answer for the end of an outage; an upstream that left
/// 1.9 s later was kept for two seconds more, over the time in which one that leaves may be used.
#[test]
fn who_leaves_after_an_outage_is_not_held_beyond_the_return() {
    let mut it = two();
    let source = Source::AfterOutage { returned: SECOND };
    it.apply(6, [Change::Gone("a".to_owned())], source);
    assert_eq!(it.expire(SECOND + RETURN_GRACE), ["a"]);
    assert_eq!(ready(&it), ["b"]);
}

/// A host that takes the list from another drops a held entry when that host does.
#[test]
fn a_hold_can_be_handed_on() {
    let mut it = two();
    let source = Source::AfterOutage { returned: SECOND };
    it.apply(6, [Change::Gone("a".to_owned())], source);
    assert_eq!(it.held_until("a"), Some(SECOND + RETURN_GRACE));
    assert_eq!(it.held_until("b"), None);
    let mut other = two();
    other.hold("a", SECOND + RETURN_GRACE);
    assert_eq!(other.expire(SECOND + RETURN_GRACE), ["a"]);
}
