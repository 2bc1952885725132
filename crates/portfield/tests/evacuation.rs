//! Evacuations through changes and restores of the store.

use std::time::Duration;

use portfield::catalog::{
    EVACUATION_GRACE, EvacuationChange, EvacuationRow, Evacuations, MissingRows, StoreVersion,
};

const SECOND: Duration = Duration::from_secs(1);
/// A store that has just been restored from a backup.
const RESTORED: MissingRows = MissingRows::MayReturn { restored_at: SECOND };

fn active(data_centre: &str, row: u64) -> EvacuationRow {
    EvacuationRow { data_centre: data_centre.to_owned(), row_version: row, is_lifted: false }
}

fn lifted(data_centre: &str, row: u64) -> EvacuationRow {
    EvacuationRow { is_lifted: true, ..active(data_centre, row) }
}

fn describe(changes: Vec<EvacuationChange>) -> Vec<String> {
    let sign = |it: &EvacuationChange| if it.is_lifted { "-" } else { "+" };
    changes.iter().map(|it| format!("{}{}", sign(it), it.data_centre)).collect()
}

fn active_centres(it: &Evacuations) -> Vec<&str> {
    it.data_centres().collect()
}

#[test]
fn lifting_one_evacuation_leaves_the_others_active() {
    let mut it = Evacuations::default();
    assert_eq!(describe(it.apply(5, [active("north", 5)])), ["+north"]);
    assert_eq!(describe(it.apply(6, [active("south", 6), active("north", 6)])), ["+south"]);
    assert_eq!(describe(it.apply(8, [lifted("north", 8)])), ["-north"]);
    assert_eq!(active_centres(&it), ["south"]);
    assert_eq!(it.apply(7, [lifted("south", 7)]), [], "an older version is ignored");
    assert_eq!(
        describe(it.replace(9, [active("east", 9)], MissingRows::Deleted)),
        ["-south", "+east"]
    );
}

#[test]
fn without_evacuations_the_version_stays_zero() {
    let mut it = Evacuations::default();
    it.replace(500, [], MissingRows::Deleted);
    it.apply(501, []);
    assert_eq!(it.version(), StoreVersion::default());
}

/// The backup was made before the evacuation was ordered. It stays active until the operator has
/// written it again, but no longer than the grace period.
#[test]
fn an_evacuation_lost_by_the_store_stays_active_until_it_is_rewritten() {
    let mut it = Evacuations::default();
    it.apply(530, [active("north", 530)]);
    it.replace(StoreVersion::new(1, 512), [], RESTORED);
    assert_eq!(active_centres(&it), ["north"]);
    it.apply(StoreVersion::new(1, 520), [active("north", 520)]);
    assert_eq!(it.expire(SECOND + EVACUATION_GRACE), []);
    assert_eq!(active_centres(&it), ["north"]);
    it.replace(StoreVersion::new(2, 512), [], RESTORED);
    assert_eq!(
        describe(it.expire(SECOND + EVACUATION_GRACE)),
        ["-north"],
        "it was not written again"
    );
}

/// The backup was made before the evacuation was lifted, and contains its old row.
#[test]
fn a_lifted_evacuation_does_not_return_from_a_backup() {
    let mut it = Evacuations::default();
    it.apply(480, [active("north", 480)]);
    it.apply(530, [lifted("north", 530)]);
    let version = |number| StoreVersion::new(1, number);
    assert_eq!(it.replace(version(500), [active("north", 480)], RESTORED), []);
    assert_eq!(active_centres(&it), Vec::<&str>::new());
    // The operator lifts it again, and later orders a new one.
    it.apply(version(504), [lifted("north", 504)]);
    assert_eq!(describe(it.apply(version(530), [active("north", 530)])), ["+north"]);
}

/// The store reuses version numbers after a restore.
#[test]
fn a_later_era_outranks_a_higher_number() {
    let mut it = Evacuations::default();
    it.apply(530, [active("north", 530)]);
    assert_eq!(describe(it.apply(StoreVersion::new(1, 505), [lifted("north", 505)])), ["-north"]);
    assert_eq!(it.apply(531, [active("north", 531)]), [], "an answer from before the restore");
}

#[test]
fn merging_a_snapshot_keeps_expiries_and_lifted_rows() {
    let mut first = Evacuations::default();
    first.apply(480, [active("north", 480), active("south", 480)]);
    first.apply(490, [lifted("north", 490)]);
    first.replace(StoreVersion::new(1, 470), [], RESTORED);
    let mut second = Evacuations::default();
    second.apply(3, [active("east", 3)]);
    let snapshot = first.snapshot(SECOND);
    assert_eq!(
        describe(second.merge(SECOND, first.version(), snapshot.clone())),
        ["-east", "+south"]
    );
    assert_eq!(second.merge(SECOND, first.version(), snapshot), []);
    // It keeps a lost evacuation no longer than the first host does, and knows the lifted one.
    assert_eq!(describe(second.expire(SECOND + EVACUATION_GRACE)), ["-south"]);
    let version = StoreVersion::new(2, 481);
    assert_eq!(second.replace(version, [active("north", 480)], RESTORED), []);
}
