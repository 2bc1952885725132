//! The operator's orders that a data centre gets nothing, through changes and a store that goes back.

use std::time::Duration;

use portfield::catalog::{
    EVACUATION_GRACE, EvacuationChange, EvacuationRow, Evacuations, MissingRows, StoreVersion,
};

const SECOND: Duration = Duration::from_secs(1);
/// A store that has just come back from a copy of itself.
const COPY: MissingRows = MissingRows::MayReturn { restored_at: SECOND };

fn order(data_centre: &str, row: u64) -> EvacuationRow {
    EvacuationRow { data_centre: data_centre.to_owned(), row_version: row, is_lifted: false }
}

fn lift(data_centre: &str, row: u64) -> EvacuationRow {
    EvacuationRow { is_lifted: true, ..order(data_centre, row) }
}

fn told(changes: Vec<EvacuationChange>) -> Vec<String> {
    let sign = |it: &EvacuationChange| if it.is_lifted { "-" } else { "+" };
    changes.iter().map(|it| format!("{}{}", sign(it), it.data_centre)).collect()
}

fn in_force(it: &Evacuations) -> Vec<&str> {
    it.data_centres().collect()
}

#[test]
fn one_order_is_taken_back_while_another_stands() {
    let mut it = Evacuations::default();
    assert_eq!(told(it.apply(5, [order("north", 5)])), ["+north"]);
    assert_eq!(told(it.apply(6, [order("south", 6), order("north", 6)])), ["+south"]);
    assert_eq!(told(it.apply(8, [lift("north", 8)])), ["-north"]);
    assert_eq!(in_force(&it), ["south"]);
    assert_eq!(it.apply(7, [lift("south", 7)]), [], "an older version changes nothing");
    assert_eq!(told(it.replace(9, [order("east", 9)], MissingRows::Deleted)), ["-south", "+east"]);
}

#[test]
fn a_fleet_without_orders_tells_no_version() {
    let mut it = Evacuations::default();
    it.replace(500, [], MissingRows::Deleted);
    it.apply(501, []);
    assert_eq!(it.version(), StoreVersion::default());
}

/// The copy is of before an order: it stands until the operator has written it again, and no longer than that takes.
#[test]
fn an_order_that_the_store_lost_stands_until_it_is_written_again() {
    let mut it = Evacuations::default();
    it.apply(530, [order("north", 530)]);
    it.replace(StoreVersion::new(1, 512), [], COPY);
    assert_eq!(in_force(&it), ["north"]);
    it.apply(StoreVersion::new(1, 520), [order("north", 520)]);
    assert_eq!(it.expire(SECOND + EVACUATION_GRACE), []);
    assert_eq!(in_force(&it), ["north"]);
    it.replace(StoreVersion::new(2, 512), [], COPY);
    assert_eq!(told(it.expire(SECOND + EVACUATION_GRACE)), ["-north"], "nobody wrote it again");
}

/// The copy is of before an order was taken back: its row is the one that was there before.
#[test]
fn an_order_that_was_taken_back_does_not_come_back_with_a_copy() {
    let mut it = Evacuations::default();
    it.apply(480, [order("north", 480)]);
    it.apply(530, [lift("north", 530)]);
    let version = |number| StoreVersion::new(1, number);
    assert_eq!(it.replace(version(500), [order("north", 480)], COPY), []);
    assert_eq!(in_force(&it), Vec::<&str>::new());
    // The operator takes it back once more, and later orders it anew.
    it.apply(version(504), [lift("north", 504)]);
    assert_eq!(told(it.apply(version(530), [order("north", 530)])), ["+north"]);
}

/// A number alone is no order: the store gives out the same ones again.
#[test]
fn a_later_era_goes_before_a_higher_number() {
    let mut it = Evacuations::default();
    it.apply(530, [order("north", 530)]);
    assert_eq!(told(it.apply(StoreVersion::new(1, 505), [lift("north", 505)])), ["-north"]);
    assert_eq!(it.apply(531, [order("north", 531)]), [], "an answer of the store before");
}

#[test]
fn another_host_s_orders_are_taken_with_what_is_known_of_them() {
    let mut first = Evacuations::default();
    first.apply(480, [order("north", 480), order("south", 480)]);
    first.apply(490, [lift("north", 490)]);
    first.replace(StoreVersion::new(1, 470), [], COPY);
    let mut second = Evacuations::default();
    second.apply(3, [order("east", 3)]);
    let list = first.snapshot(SECOND);
    assert_eq!(told(second.merge(SECOND, first.version(), list.clone())), ["-east", "+south"]);
    assert_eq!(second.merge(SECOND, first.version(), list), []);
    // It keeps what the store has lost no longer than the first does, and knows what is over.
    assert_eq!(told(second.expire(SECOND + EVACUATION_GRACE)), ["-south"]);
    let version = StoreVersion::new(2, 481);
    assert_eq!(second.replace(version, [order("north", 480)], COPY), []);
}
