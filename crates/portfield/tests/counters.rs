//! Weighted virtual counters: lifts, merges, clamps.

use portfield::{
    schedule::{Counters, ShardKey, UNITS_PER_TOKEN},
    wire::{Lift, Usage, UsageSet},
};

const NORTH: ShardKey = ShardKey { service: 1, data_centre: 1, part: 0 };

fn set(incarnation: u64, sequence: u64, usage: &[(u32, u64, u64, u32)]) -> UsageSet {
    let usage = usage.iter().map(|&(workspace, served, reserved, waiting)| Usage {
        workspace,
        served: served * UNITS_PER_TOKEN,
        reserved: reserved * UNITS_PER_TOKEN,
        waiting,
    });
    UsageSet { shard: Some(NORTH.into()), incarnation, sequence, usage: usage.collect() }
}

fn complete() -> Counters {
    let mut it = Counters::default();
    it.enable_lifts();
    it
}

/// Found by the replay of `host-dies`: a new owner lifted workspaces before it had heard
/// what they were served, and they starved.
#[test]
fn new_owner_lifts_nobody_before_it_knows() {
    let mut it = Counters::default();
    it.record_served(1, 500 * UNITS_PER_TOKEN, 0);
    it.set_waiting(1, 1);
    it.set_waiting(2, 1);
    it.merge(NORTH, &set(1, 1, &[(2, 480, 0, 0)]));
    assert_eq!(it.total(2), 480 * UNITS_PER_TOKEN);
}

#[test]
fn idle_workspace_banks_nothing() {
    let mut it = complete();
    it.set_waiting(1, 1);
    it.record_served(1, 500 * UNITS_PER_TOKEN, 0);
    it.set_waiting(2, 1);
    assert_eq!(it.total(2), 500 * UNITS_PER_TOKEN);
}

/// Found by the replay of `flood`: a workspace that came back was lifted over estimates
/// that turned out too high, and starved until the others caught up.
#[test]
fn lift_leaves_reservations_out() {
    let mut it = complete();
    it.set_waiting(1, 1);
    it.reserve(1, 6800 * UNITS_PER_TOKEN);
    it.set_waiting(2, 1);
    it.release(1, 6800 * UNITS_PER_TOKEN);
    assert_eq!(it.total(2), it.total(1));
}

/// Found by the replay of `flood`: an owner lifted a workspace that waits elsewhere over
/// service that it had not heard of yet.
#[test]
fn only_the_owner_where_it_waits_lifts() {
    let mut it = complete();
    it.set_waiting(1, 1);
    it.record_served(1, 500 * UNITS_PER_TOKEN, 0);
    it.merge(NORTH, &set(1, 1, &[(2, 0, 0, 1)]));
    assert_eq!(it.lifts_since(0), []);
    it.merge(NORTH, &set(1, 2, &[(2, 480, 0, 1)]));
    assert_eq!(it.total(2), 480 * UNITS_PER_TOKEN);
}

#[test]
fn merge_is_idempotent_and_ignores_the_order() {
    let frames = [
        set(1, 1, &[(1, 10, 5, 1)]),
        set(1, 2, &[(1, 20, 0, 0), (2, 7, 3, 2)]),
        set(2, 1, &[(1, 4, 4, 1)]),
    ];
    let order = |idx: &[usize]| {
        let mut it = Counters::default();
        idx.iter().for_each(|idx| {
            it.merge(NORTH, &frames[*idx]);
        });
        (it.total(1), it.total(2))
    };
    // The earlier life's reservations end with it, what it served stays.
    let wanted = (28 * UNITS_PER_TOKEN, 7 * UNITS_PER_TOKEN);
    assert_eq!(order(&[0, 1, 2]), wanted);
    assert_eq!(order(&[0, 1, 1, 2, 2, 0]), wanted);
    assert_eq!(order(&[1, 2, 0, 1]), wanted);
}

#[test]
fn silent_owner_keeps_what_it_served() {
    let mut it = Counters::default();
    it.merge(NORTH, &set(1, 1, &[(1, 10, 5, 1)]));
    it.expire_owner(NORTH);
    assert_eq!(it.total(1), 10 * UNITS_PER_TOKEN);
    assert_eq!(it.active().count(), 0);
}

#[test]
fn catch_up_after_a_cut_is_clamped() {
    let mut it = Counters::default();
    it.set_waiting(1, 1);
    it.set_waiting(2, 1);
    it.merge(NORTH, &set(1, 1, &[(1, 1_000_000, 0, 1)]));
    it.clamp_lag(1000 * UNITS_PER_TOKEN);
    assert_eq!(it.total(1) - it.total(2), 1000 * UNITS_PER_TOKEN);
}

#[test]
fn lifts_merge_by_maximum() {
    let mut it = Counters::default();
    it.merge_lifts(&[Lift { workspace: 1, value: 9 }, Lift { workspace: 1, value: 4 }]);
    assert_eq!(it.total(1), 9);
}

/// Found by the replay `one-way-cut`: an owner that peers had given up goes on under a later
/// number, and nothing is counted twice.
#[test]
fn sealing_keeps_what_was_served() {
    let mut it = Counters::default();
    it.record_served(1, 30 * UNITS_PER_TOKEN, 0);
    let before = it.usage_since(0);
    it.close_incarnation(NORTH, 1);
    it.record_served(1, 5 * UNITS_PER_TOKEN, 0);
    assert_eq!(it.total(1), 35 * UNITS_PER_TOKEN);
    let mut peer = Counters::default();
    peer.merge(NORTH, &UsageSet { usage: before, ..set(1, 1, &[]) });
    peer.merge(NORTH, &UsageSet { usage: it.usage_since(0), ..set(2, 1, &[]) });
    assert_eq!(peer.total(1), 35 * UNITS_PER_TOKEN);
}
