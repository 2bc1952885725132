//! The list of upstreams through changes, outages of the store, and returns.

mod entries;

use std::time::Duration;

use entries::entry;
use portfield::catalog::{
    Delta, Directory, EntryChange, MissingRows, REGISTRATION_GRACE, State, StoreVersion,
    UpstreamEntry,
};

const SECOND: Duration = Duration::from_secs(1);

fn ready(it: &Directory) -> Vec<String> {
    it.ready().map(|it| it.entry.id.clone()).collect()
}

fn two() -> Directory {
    let mut res = Directory::default();
    let list = [entry("a", State::Ready), entry("b", State::Ready)];
    res.replace(5, list.map(EntryChange::Set), MissingRows::Deleted);
    res
}

#[test]
fn who_drains_takes_no_new_requests() {
    let mut it = two();
    it.apply(6, [EntryChange::Set(entry("a", State::Draining))], MissingRows::Deleted);
    assert_eq!(ready(&it), ["b"]);
    assert_eq!(it.all().count(), 2);
}

#[test]
fn who_is_gone_is_gone_at_once_while_the_store_answers() {
    let mut it = two();
    it.apply(6, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    assert_eq!(ready(&it), ["b"]);
    it.replace(7, [EntryChange::Set(entry("a", State::Ready))], MissingRows::Deleted);
    assert_eq!(ready(&it), ["a"]);
}

#[test]
fn an_older_version_changes_nothing() {
    let mut it = two();
    it.apply(4, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    it.replace(3, [], MissingRows::Deleted);
    assert_eq!(ready(&it), ["a", "b"]);
}

#[test]
fn who_lapsed_in_an_outage_may_come_back() {
    let mut it = two();
    let source = MissingRows::MayReturn { restored_at: SECOND };
    it.replace(6, [EntryChange::Set(entry("b", State::Ready))], source);
    assert_eq!(ready(&it), ["a", "b"]);
    it.apply(7, [EntryChange::Set(entry("a", State::Ready))], source);
    assert!(it.expire(SECOND + REGISTRATION_GRACE).is_empty());
    assert_eq!(ready(&it), ["a", "b"]);
}

/// A host that was cut off took the store's answer for the end of an outage; an upstream that left
/// 1.9 s later was kept for two seconds more, over the time in which one that leaves may be used.
#[test]
fn who_leaves_after_an_outage_is_not_held_beyond_the_return() {
    let mut it = two();
    let source = MissingRows::MayReturn { restored_at: SECOND };
    it.apply(6, [EntryChange::Removed("a".to_owned())], source);
    assert_eq!(it.expire(SECOND + REGISTRATION_GRACE), ["a"]);
    assert_eq!(ready(&it), ["b"]);
}

/// A host that takes the list from another drops a held entry when that host does.
#[test]
fn a_hold_can_be_handed_on() {
    let mut it = two();
    let source = MissingRows::MayReturn { restored_at: SECOND };
    it.apply(6, [EntryChange::Removed("a".to_owned())], source);
    assert_eq!(it.expires_at("a"), Some(SECOND + REGISTRATION_GRACE));
    assert_eq!(it.expires_at("b"), None);
    let mut other = two();
    other.set_expiry("a", SECOND + REGISTRATION_GRACE);
    assert_eq!(other.expire(SECOND + REGISTRATION_GRACE), ["a"]);
}

fn born(id: &str, born: u64) -> UpstreamEntry {
    UpstreamEntry { started_ms: Some(born), ..entry(id, State::Ready) }
}

/// Everything that hosts know of an upstream stands under its hash.
#[test]
fn who_starts_anew_under_the_same_id_has_another_hash() {
    let mut it = two();
    let hash = |it: &Directory| it.all().find(|it| it.entry.id == "a").unwrap().hash;
    let without = hash(&it);
    it.apply(6, [EntryChange::Set(born("a", 1_000))], MissingRows::Deleted);
    let first = hash(&it);
    it.apply(7, [EntryChange::Set(born("a", 2_000))], MissingRows::Deleted);
    let second = hash(&it);
    assert!(without != first && first != second);
    it.apply(
        8,
        [EntryChange::Set(UpstreamEntry { state: State::Draining, ..born("a", 2_000) })],
        MissingRows::Deleted,
    );
    assert_eq!(hash(&it), second, "it is the same one that leaves");
}

#[test]
fn a_row_of_another_writer_names_no_upstream_and_the_others_hold() {
    let mut it = two();
    for source in [MissingRows::Deleted, MissingRows::MayReturn { restored_at: SECOND }] {
        let changed = it.apply(6, [EntryChange::Invalid("a".to_owned())], source);
        assert_eq!(ready(&it), ["b"], "{source:?}");
        assert_eq!((changed.len(), changed[0].state), (1, None));
        let list =
            [EntryChange::Invalid("b".to_owned()), EntryChange::Set(entry("a", State::Ready))];
        it.replace(7, list, source);
        assert_eq!(ready(&it), ["a"], "{source:?}");
        it = two();
    }
}

#[test]
fn a_host_that_knows_an_older_list_is_told_what_changed() {
    let mut it = two();
    assert_eq!(it.changes_since(4), None, "what came before is not known");
    assert_eq!(it.changes_since(5).unwrap(), Delta { set: Vec::new(), removed: Vec::new() });
    it.apply(6, [EntryChange::Set(entry("c", State::Ready))], MissingRows::Deleted);
    it.apply(8, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    it.apply(9, [EntryChange::Set(entry("b", State::Draining))], MissingRows::Deleted);
    let difference = |version| {
        let it = it.changes_since(version).unwrap();
        (it.set.join(" "), it.removed.join(" "))
    };
    assert_eq!(difference(5), ("b c".to_owned(), "a".to_owned()));
    assert_eq!(difference(7), ("b".to_owned(), "a".to_owned()));
    assert_eq!(difference(8), ("b".to_owned(), String::new()));
    assert_eq!(difference(9), (String::new(), String::new()));
}

/// Two hosts: one hears of every change of a random series from the store, the other fetches from it
/// now and then. They know the same in the end, whatever came in between.
#[test]
fn who_fetches_what_changed_knows_the_same_as_who_heard_all() {
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..200 {
        let (mut first, mut second) = (two(), two());
        for version in 6..40 {
            let id = ["a", "b", "c", "d"][rng.usize(..4)];
            let change = match rng.u8(..4) {
                0 => EntryChange::Removed(id.to_owned()),
                1 => EntryChange::Invalid(id.to_owned()),
                n => EntryChange::Set(born(id, u64::from(n) + rng.u64(..2))),
            };
            first.apply(version, [change], MissingRows::Deleted);
            if rng.u8(..4) == 0 {
                fetch(&first, &mut second);
            }
        }
        fetch(&first, &mut second);
        let list = |it: &Directory| it.all().cloned().collect::<Vec<_>>();
        assert_eq!(list(&first), list(&second));
    }
}

/// An entry that may only have lapsed goes from host to host with the time until which it is kept. A host
/// that had heard of it from a third one kept it for good, and sent requests to an upstream that had
/// left three seconds before.
#[test]
fn what_is_held_is_let_go_of_by_who_heard_of_it_from_others() {
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..200 {
        let mut hosts = [two(), two(), two()];
        for version in 6..30 {
            let id = ["a", "b", "c"][rng.usize(..3)];
            let change = match rng.u8(..3) {
                0 => EntryChange::Set(entry(id, State::Ready)),
                _ => EntryChange::Removed(id.to_owned()),
            };
            let source = match rng.u8(..2) {
                0 => MissingRows::Deleted,
                _ => MissingRows::MayReturn { restored_at: SECOND },
            };
            hosts[0].apply(version, [change], source);
            for i in 1..3 {
                if rng.u8(..3) == 0 {
                    let (before, after) = hosts.split_at_mut(i);
                    fetch(&before[i - 1], &mut after[0]);
                }
            }
        }
        for i in 1..3 {
            let (before, after) = hosts.split_at_mut(i);
            fetch(&before[i - 1], &mut after[0]);
        }
        let late = SECOND + REGISTRATION_GRACE;
        hosts.iter_mut().for_each(|it| drop(it.expire(late)));
        let list = |it: &Directory| it.all().cloned().collect::<Vec<_>>();
        assert_eq!(list(&hosts[0]), list(&hosts[1]));
        assert_eq!(list(&hosts[0]), list(&hosts[2]));
    }
}

fn fetch(from: &Directory, to: &mut Directory) {
    let mut difference = from.changes_since(to.version()).expect("both began with the same list");
    difference.set.retain(|it| from.expires_at(it).is_none() || to.accepts_unlisted(it));
    let entry = |id: &String| from.all().find(|it| it.entry.id == *id).unwrap().entry.clone();
    let set = difference.set.iter().map(|it| EntryChange::Set(entry(it)));
    let gone = difference.removed.iter().cloned().map(EntryChange::Removed);
    let changes: Vec<_> = set.chain(gone).collect();
    to.apply(from.version(), changes, MissingRows::Deleted);
    for id in &difference.set {
        if let Some(until) = from.expires_at(id) {
            to.set_expiry(id, until);
        }
    }
}

/// Craigmhor trouble-1, seed 669162740845: the store turned one host away, and served the others.
#[test]
fn who_is_gone_for_a_host_does_not_come_back_from_one_that_could_not_follow_the_store() {
    let (mut here, mut cut) = (two(), two());
    here.apply(6, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    let source = MissingRows::MayReturn { restored_at: SECOND };
    let missed = [EntryChange::Removed("a".to_owned()), EntryChange::Set(entry("c", State::Ready))];
    cut.apply(7, missed, source);
    fetch(&cut, &mut here);
    assert_eq!(ready(&here), ["b", "c"]);
    let mut new = Directory::default();
    assert!(
        new.accepts_unlisted("a"),
        "a host that has just started knows of nothing that is gone"
    );
    new.replace(5, [EntryChange::Set(entry("b", State::Ready))], MissingRows::Deleted);
    assert!(!new.accepts_unlisted("a"));
}

/// A store that has just come back from a copy of itself.
const COPY: MissingRows = MissingRows::MayReturn { restored_at: SECOND };

/// Takes the list of a store that went back, each entry with the version of its row.
fn go_back(it: &mut Directory, version: StoreVersion, list: &[(UpstreamEntry, u64)]) {
    let list = list.iter().map(|(entry, row)| (EntryChange::Set(entry.clone()), *row));
    let told = it.reconcile_restored(list);
    it.replace(version, told, COPY);
}

#[test]
fn a_number_that_the_store_gives_out_again_is_of_a_later_change() {
    let mut it = two();
    it.apply(530, [EntryChange::Set(entry("c", State::Ready))], MissingRows::Deleted);
    let later = StoreVersion::new(1, 512);
    it.apply(later, [EntryChange::Removed("c".to_owned())], MissingRows::Deleted);
    assert_eq!(ready(&it), ["a", "b"]);
    it.apply(535, [EntryChange::Set(entry("c", State::Ready))], MissingRows::Deleted);
    assert_eq!((ready(&it).len(), it.version()), (2, later), "an answer of the store before");
    assert_eq!(
        it.changes_since(530).unwrap().removed,
        ["c"],
        "told to hosts that know the store before"
    );
}

/// What the copy has lost may be written again, as after an outage.
#[test]
fn who_is_missing_in_a_copy_is_kept_until_it_is_written_again() {
    let mut it = two();
    go_back(&mut it, StoreVersion::new(1, 3), &[(entry("b", State::Ready), 2)]);
    assert_eq!(ready(&it), ["a", "b"]);
    it.apply(StoreVersion::new(1, 6), [EntryChange::Set(entry("a", State::Ready))], COPY);
    assert!(it.expire(SECOND + REGISTRATION_GRACE).is_empty());
    go_back(&mut it, StoreVersion::new(2, 3), &[(entry("b", State::Ready), 2)]);
    assert_eq!(it.expire(SECOND + REGISTRATION_GRACE), ["a"]);
}

/// The copy shows an upstream that left as ready: with its old row it stays gone, with a later one it is back.
#[test]
fn who_left_does_not_come_back_with_a_copy() {
    let mut it = two();
    it.set_row_version("a", 4);
    it.apply(530, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    let list = |row| [(entry("a", State::Ready), row), (entry("b", State::Ready), 2)];
    go_back(&mut it, StoreVersion::new(1, 500), &list(4));
    assert_eq!(ready(&it), ["b"]);
    go_back(&mut it, StoreVersion::new(2, 500), &list(505));
    assert_eq!(ready(&it), ["a", "b"]);
}

#[test]
fn who_was_about_to_leave_still_is_in_a_copy() {
    let mut it = two();
    it.apply(530, [EntryChange::Set(entry("a", State::Draining))], MissingRows::Deleted);
    let list = [(entry("a", State::Ready), 4), (entry("b", State::Ready), 2)];
    go_back(&mut it, StoreVersion::new(1, 500), &list);
    assert_eq!(ready(&it), ["b"]);
    // One that started anew under its id is another one.
    go_back(&mut it, StoreVersion::new(2, 500), &[(born("a", 7), 4)]);
    assert_eq!(ready(&it), ["a", "b"]);
}

/// That it becomes less cold is told to other hosts, and changes nothing else.
#[test]
fn how_cold_an_upstream_is_is_no_change_of_its_state() {
    let mut it = two();
    let cold = |millis| UpstreamEntry {
        cold_remaining: Duration::from_millis(millis),
        ..entry("a", State::Ready)
    };
    assert_eq!(it.apply(6, [EntryChange::Set(cold(3000))], MissingRows::Deleted), []);
    assert_eq!(it.apply(7, [EntryChange::Set(cold(1800))], MissingRows::Deleted), []);
    assert_eq!(it.changes_since(6).unwrap().set, ["a"]);
    assert_eq!(it.all().next().unwrap().entry.cold_remaining, Duration::from_millis(1800));
}

/// The marks of the later one were lost with it, and it was sent requests after it had said that it drains.
#[test]
fn an_earlier_incarnation_in_a_copy_does_not_take_the_place_of_a_later_one() {
    let mut it = two();
    it.apply(6, [EntryChange::Set(born("a", 2_000))], MissingRows::Deleted);
    let number = it.all().find(|it| it.entry.id == "a").unwrap().wire_id();
    it.mark_draining(number);
    for (era, earlier) in [(1, born("a", 1_000)), (2, entry("a", State::Ready))] {
        let list = [(earlier, 3), (entry("b", State::Ready), 2)];
        go_back(&mut it, StoreVersion::new(era, 4), &list);
        assert_eq!(ready(&it), ["b"], "era {era}");
        it.apply(StoreVersion::new(era, 9), [EntryChange::Set(born("a", 2_000))], COPY);
        assert_eq!(ready(&it), ["b"], "it writes its entry again");
    }
    it.apply(StoreVersion::new(2, 11), [EntryChange::Set(born("a", 500))], MissingRows::Deleted);
    assert_eq!(ready(&it), ["a", "b"], "a later change is of a new one, whatever its clock says");
}
