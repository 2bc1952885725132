//! The directory of upstreams through changes, outages of the store and restores from a backup.

mod entries;

use std::time::Duration;

use entries::entry;
use portfield::catalog::{
    Delta, Directory, EntryChange, MissingRows, REGISTRATION_GRACE, State, StoreVersion,
    UpstreamEntry,
};

const SECOND: Duration = Duration::from_secs(1);

fn ready_ids(it: &Directory) -> Vec<String> {
    it.ready().map(|it| it.entry.id.clone()).collect()
}

fn two_ready() -> Directory {
    let mut res = Directory::default();
    let list = [entry("a", State::Ready), entry("b", State::Ready)];
    res.replace(5, list.map(EntryChange::Set), MissingRows::Deleted);
    res
}

#[test]
fn a_draining_upstream_takes_no_new_requests() {
    let mut it = two_ready();
    it.apply(6, [EntryChange::Set(entry("a", State::Draining))], MissingRows::Deleted);
    assert_eq!(ready_ids(&it), ["b"]);
    assert_eq!(it.all().count(), 2);
}

#[test]
fn a_deleted_entry_is_removed_at_once_while_the_store_answers() {
    let mut it = two_ready();
    it.apply(6, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    assert_eq!(ready_ids(&it), ["b"]);
    it.replace(7, [EntryChange::Set(entry("a", State::Ready))], MissingRows::Deleted);
    assert_eq!(ready_ids(&it), ["a"]);
}

#[test]
fn an_older_version_is_ignored() {
    let mut it = two_ready();
    it.apply(4, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    it.replace(3, [], MissingRows::Deleted);
    assert_eq!(ready_ids(&it), ["a", "b"]);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_may_return() {
    let mut it = two_ready();
    let missing = MissingRows::MayReturn { restored_at: SECOND };
    it.replace(6, [EntryChange::Set(entry("b", State::Ready))], missing);
    assert_eq!(ready_ids(&it), ["a", "b"]);
    it.apply(7, [EntryChange::Set(entry("a", State::Ready))], missing);
    assert!(it.expire(SECOND + REGISTRATION_GRACE).is_empty());
    assert_eq!(ready_ids(&it), ["a", "b"]);
}

/// A host that was cut off took the next answer of the store for the end of an outage. An upstream
/// that left 1.9 s later was then kept for two more seconds, beyond the two seconds in which a
/// leaving upstream may still be used.
#[test]
fn an_upstream_that_leaves_after_an_outage_is_kept_only_for_the_grace_period() {
    let mut it = two_ready();
    let missing = MissingRows::MayReturn { restored_at: SECOND };
    it.apply(6, [EntryChange::Removed("a".to_owned())], missing);
    assert_eq!(it.expire(SECOND + REGISTRATION_GRACE), ["a"]);
    assert_eq!(ready_ids(&it), ["b"]);
}

/// A host that fetches the list from another removes an expiring entry when that host does.
#[test]
fn an_expiry_can_be_copied_to_another_host() {
    let mut it = two_ready();
    let missing = MissingRows::MayReturn { restored_at: SECOND };
    it.apply(6, [EntryChange::Removed("a".to_owned())], missing);
    assert_eq!(it.expires_at("a"), Some(SECOND + REGISTRATION_GRACE));
    assert_eq!(it.expires_at("b"), None);
    let mut other = two_ready();
    other.set_expiry("a", SECOND + REGISTRATION_GRACE);
    assert_eq!(other.expire(SECOND + REGISTRATION_GRACE), ["a"]);
}

fn started_at(id: &str, started_ms: u64) -> UpstreamEntry {
    UpstreamEntry { started_ms: Some(started_ms), ..entry(id, State::Ready) }
}

/// State that hosts keep of an upstream is stored under its hash, and must not apply to its next
/// incarnation.
#[test]
fn a_restarted_upstream_has_another_hash() {
    let mut it = two_ready();
    let hash = |it: &Directory| it.all().find(|it| it.entry.id == "a").unwrap().hash;
    let unknown = hash(&it);
    it.apply(6, [EntryChange::Set(started_at("a", 1_000))], MissingRows::Deleted);
    let first = hash(&it);
    it.apply(7, [EntryChange::Set(started_at("a", 2_000))], MissingRows::Deleted);
    let second = hash(&it);
    assert!(unknown != first && first != second);
    it.apply(
        8,
        [EntryChange::Set(UpstreamEntry { state: State::Draining, ..started_at("a", 2_000) })],
        MissingRows::Deleted,
    );
    assert_eq!(hash(&it), second, "the same incarnation is draining");
}

#[test]
fn an_invalid_row_removes_only_its_own_upstream() {
    let mut it = two_ready();
    for missing in [MissingRows::Deleted, MissingRows::MayReturn { restored_at: SECOND }] {
        let changed = it.apply(6, [EntryChange::Invalid("a".to_owned())], missing);
        assert_eq!(ready_ids(&it), ["b"], "{missing:?}");
        assert_eq!((changed.len(), changed[0].state), (1, None));
        let list =
            [EntryChange::Invalid("b".to_owned()), EntryChange::Set(entry("a", State::Ready))];
        it.replace(7, list, missing);
        assert_eq!(ready_ids(&it), ["a"], "{missing:?}");
        it = two_ready();
    }
}

#[test]
fn changes_since_an_older_version_are_complete() {
    let mut it = two_ready();
    assert_eq!(it.changes_since(4), None, "earlier changes are not known");
    assert_eq!(it.changes_since(5).unwrap(), Delta { set: Vec::new(), removed: Vec::new() });
    it.apply(6, [EntryChange::Set(entry("c", State::Ready))], MissingRows::Deleted);
    it.apply(8, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    it.apply(9, [EntryChange::Set(entry("b", State::Draining))], MissingRows::Deleted);
    let delta = |version| {
        let it = it.changes_since(version).unwrap();
        (it.set.join(" "), it.removed.join(" "))
    };
    assert_eq!(delta(5), ("b c".to_owned(), "a".to_owned()));
    assert_eq!(delta(7), ("b".to_owned(), "a".to_owned()));
    assert_eq!(delta(8), ("b".to_owned(), String::new()));
    assert_eq!(delta(9), (String::new(), String::new()));
}

/// One host receives every change of a random series from the store, another fetches changes from
/// it now and then; both must end with the same list.
#[test]
fn incremental_fetches_converge_with_the_store() {
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..200 {
        let (mut first, mut second) = (two_ready(), two_ready());
        for version in 6..40 {
            let id = ["a", "b", "c", "d"][rng.usize(..4)];
            let change = match rng.u8(..4) {
                0 => EntryChange::Removed(id.to_owned()),
                1 => EntryChange::Invalid(id.to_owned()),
                n => EntryChange::Set(started_at(id, u64::from(n) + rng.u64(..2))),
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

/// An entry that may only have lapsed is passed on with its expiry. A host that got it from a third
/// host once kept it forever, and sent requests to an upstream that had left three seconds before.
#[test]
fn expiries_reach_hosts_that_fetch_from_other_hosts() {
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..200 {
        let mut hosts = [two_ready(), two_ready(), two_ready()];
        for version in 6..30 {
            let id = ["a", "b", "c"][rng.usize(..3)];
            let change = match rng.u8(..3) {
                0 => EntryChange::Set(entry(id, State::Ready)),
                _ => EntryChange::Removed(id.to_owned()),
            };
            let missing = match rng.u8(..2) {
                0 => MissingRows::Deleted,
                _ => MissingRows::MayReturn { restored_at: SECOND },
            };
            hosts[0].apply(version, [change], missing);
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
        let deadline = SECOND + REGISTRATION_GRACE;
        hosts.iter_mut().for_each(|it| drop(it.expire(deadline)));
        let list = |it: &Directory| it.all().cloned().collect::<Vec<_>>();
        assert_eq!(list(&hosts[0]), list(&hosts[1]));
        assert_eq!(list(&hosts[0]), list(&hosts[2]));
    }
}

fn fetch(from: &Directory, to: &mut Directory) {
    let mut delta = from.changes_since(to.version()).expect("both began with the same list");
    delta.set.retain(|it| from.expires_at(it).is_none() || to.accepts_unlisted(it));
    let entry = |id: &String| from.all().find(|it| it.entry.id == *id).unwrap().entry.clone();
    let set = delta.set.iter().map(|it| EntryChange::Set(entry(it)));
    let removed = delta.removed.iter().cloned().map(EntryChange::Removed);
    let changes: Vec<_> = set.chain(removed).collect();
    to.apply(from.version(), changes, MissingRows::Deleted);
    for id in &delta.set {
        if let Some(until) = from.expires_at(id) {
            to.set_expiry(id, until);
        }
    }
}

/// Found by the Craigmhor trouble-1 simulation, seed 669162740845: the store refused one host and
/// served the others, which then got a removed entry back from that host.
#[test]
fn a_removed_entry_does_not_return_from_a_host_that_lost_the_store() {
    let (mut here, mut cut) = (two_ready(), two_ready());
    here.apply(6, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    let missing = MissingRows::MayReturn { restored_at: SECOND };
    let missed = [EntryChange::Removed("a".to_owned()), EntryChange::Set(entry("c", State::Ready))];
    cut.apply(7, missed, missing);
    fetch(&cut, &mut here);
    assert_eq!(ready_ids(&here), ["b", "c"]);
    let mut new = Directory::default();
    assert!(new.accepts_unlisted("a"), "a host that has just started has removed nothing");
    new.replace(5, [EntryChange::Set(entry("b", State::Ready))], MissingRows::Deleted);
    assert!(!new.accepts_unlisted("a"));
}

/// A store that has just been restored from a backup.
const RESTORED: MissingRows = MissingRows::MayReturn { restored_at: SECOND };

/// Applies the list of a restored store, each entry with the version of its row.
fn restore(it: &mut Directory, version: StoreVersion, list: &[(UpstreamEntry, u64)]) {
    let list = list.iter().map(|(entry, row)| (EntryChange::Set(entry.clone()), *row));
    let reconciled = it.reconcile_restored(list);
    it.replace(version, reconciled, RESTORED);
}

#[test]
fn a_version_number_reused_after_a_restore_is_newer() {
    let mut it = two_ready();
    it.apply(530, [EntryChange::Set(entry("c", State::Ready))], MissingRows::Deleted);
    let later = StoreVersion::new(1, 512);
    it.apply(later, [EntryChange::Removed("c".to_owned())], MissingRows::Deleted);
    assert_eq!(ready_ids(&it), ["a", "b"]);
    it.apply(535, [EntryChange::Set(entry("c", State::Ready))], MissingRows::Deleted);
    assert_eq!(
        (ready_ids(&it).len(), it.version()),
        (2, later),
        "an answer from before the restore"
    );
    assert_eq!(
        it.changes_since(530).unwrap().removed,
        ["c"],
        "hosts with a version from before the restore learn of it"
    );
}

/// Upstreams may write entries again that the restore has lost, as after an outage.
#[test]
fn an_entry_missing_from_a_backup_is_kept_until_it_is_rewritten() {
    let mut it = two_ready();
    restore(&mut it, StoreVersion::new(1, 3), &[(entry("b", State::Ready), 2)]);
    assert_eq!(ready_ids(&it), ["a", "b"]);
    it.apply(StoreVersion::new(1, 6), [EntryChange::Set(entry("a", State::Ready))], RESTORED);
    assert!(it.expire(SECOND + REGISTRATION_GRACE).is_empty());
    restore(&mut it, StoreVersion::new(2, 3), &[(entry("b", State::Ready), 2)]);
    assert_eq!(it.expire(SECOND + REGISTRATION_GRACE), ["a"]);
}

/// The backup lists an upstream as ready that has left. It stays removed if its row is the old one,
/// and returns with a later row.
#[test]
fn a_removed_upstream_does_not_return_from_a_backup() {
    let mut it = two_ready();
    it.set_row_version("a", 4);
    it.apply(530, [EntryChange::Removed("a".to_owned())], MissingRows::Deleted);
    let list = |row| [(entry("a", State::Ready), row), (entry("b", State::Ready), 2)];
    restore(&mut it, StoreVersion::new(1, 500), &list(4));
    assert_eq!(ready_ids(&it), ["b"]);
    restore(&mut it, StoreVersion::new(2, 500), &list(505));
    assert_eq!(ready_ids(&it), ["a", "b"]);
}

#[test]
fn a_draining_upstream_stays_draining_after_a_restore() {
    let mut it = two_ready();
    it.apply(530, [EntryChange::Set(entry("a", State::Draining))], MissingRows::Deleted);
    let list = [(entry("a", State::Ready), 4), (entry("b", State::Ready), 2)];
    restore(&mut it, StoreVersion::new(1, 500), &list);
    assert_eq!(ready_ids(&it), ["b"]);
    // A restarted upstream with the same id is another incarnation.
    restore(&mut it, StoreVersion::new(2, 500), &[(started_at("a", 7), 4)]);
    assert_eq!(ready_ids(&it), ["a", "b"]);
}

/// A shorter cold time is passed on to other hosts, but not reported as a change of the upstream.
#[test]
fn a_change_of_cold_time_is_not_a_state_change() {
    let mut it = two_ready();
    let cold = |millis| UpstreamEntry {
        cold_remaining: Duration::from_millis(millis),
        ..entry("a", State::Ready)
    };
    assert_eq!(it.apply(6, [EntryChange::Set(cold(3000))], MissingRows::Deleted), []);
    assert_eq!(it.apply(7, [EntryChange::Set(cold(1800))], MissingRows::Deleted), []);
    assert_eq!(it.changes_since(6).unwrap().set, ["a"]);
    assert_eq!(it.all().next().unwrap().entry.cold_remaining, Duration::from_millis(1800));
}

/// The older incarnation once replaced the newer one, whose drain mark was lost, so that it was
/// sent requests after it had reported that it was draining.
#[test]
fn an_older_incarnation_in_a_backup_does_not_replace_a_newer_one() {
    let mut it = two_ready();
    it.apply(6, [EntryChange::Set(started_at("a", 2_000))], MissingRows::Deleted);
    let number = it.all().find(|it| it.entry.id == "a").unwrap().wire_id();
    it.mark_draining(number);
    for (era, earlier) in [(1, started_at("a", 1_000)), (2, entry("a", State::Ready))] {
        let list = [(earlier, 3), (entry("b", State::Ready), 2)];
        restore(&mut it, StoreVersion::new(era, 4), &list);
        assert_eq!(ready_ids(&it), ["b"], "era {era}");
        it.apply(StoreVersion::new(era, 9), [EntryChange::Set(started_at("a", 2_000))], RESTORED);
        assert_eq!(ready_ids(&it), ["b"], "the upstream rewrote its entry");
    }
    it.apply(
        StoreVersion::new(2, 11),
        [EntryChange::Set(started_at("a", 500))],
        MissingRows::Deleted,
    );
    assert_eq!(
        ready_ids(&it),
        ["a", "b"],
        "a later change is a new incarnation, whatever its clock says"
    );
}
