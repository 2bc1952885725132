//! Weighted virtual counters: lifts, merges and clamping.

use portfield::{
    schedule::{Counters, ShardKey, UNITS_PER_TOKEN},
    wire::{Lift, Usage, UsageSet},
};

/// Shard of another owner.
const REMOTE: ShardKey = ShardKey { service: 1, data_centre: 1, part: 0 };

/// Returns a usage set of [`REMOTE`] with workspace, served and reserved tokens and waiting tickets.
fn usage_set(incarnation: u64, sequence: u64, usage: &[(u32, u64, u64, u32)]) -> UsageSet {
    let usage = usage.iter().map(|&(workspace, served, reserved, waiting)| Usage {
        workspace,
        served: served * UNITS_PER_TOKEN,
        reserved: reserved * UNITS_PER_TOKEN,
        waiting,
    });
    UsageSet { shard: Some(REMOTE.into()), incarnation, sequence, usage: usage.collect() }
}

fn counters_with_lifts() -> Counters {
    let mut it = Counters::default();
    it.enable_lifts();
    it
}

/// A new owner that lifted workspaces before it knew what they had been served starved them: their
/// past service counted twice. Found by the replay of `host-dies`.
#[test]
fn new_owner_lifts_no_workspace_before_it_is_synced() {
    let mut it = Counters::default();
    it.record_served(1, 500 * UNITS_PER_TOKEN, 0);
    it.set_waiting(1, 1);
    it.set_waiting(2, 1);
    it.merge(REMOTE, &usage_set(1, 1, &[(2, 480, 0, 0)]));
    assert_eq!(it.total(2), 480 * UNITS_PER_TOKEN);
}

#[test]
fn idle_workspace_gets_no_credit() {
    let mut it = counters_with_lifts();
    it.set_waiting(1, 1);
    it.record_served(1, 500 * UNITS_PER_TOKEN, 0);
    it.set_waiting(2, 1);
    assert_eq!(it.total(2), 500 * UNITS_PER_TOKEN);
}

/// The lift of a returning workspace included reservations, which are estimates. Where they were too
/// high, the workspace starved until the others caught up. Found by the replay of `flood`.
#[test]
fn lift_excludes_reservations() {
    let mut it = counters_with_lifts();
    it.set_waiting(1, 1);
    it.reserve(1, 6800 * UNITS_PER_TOKEN);
    it.set_waiting(2, 1);
    it.release(1, 6800 * UNITS_PER_TOKEN);
    assert_eq!(it.total(2), it.total(1));
}

/// An owner lifted a workspace that waits at another owner before it had heard of its latest service
/// there, which then counted twice. Found by the replay of `flood`.
#[test]
fn workspace_that_waits_at_another_owner_is_not_lifted() {
    let mut it = counters_with_lifts();
    it.set_waiting(1, 1);
    it.record_served(1, 500 * UNITS_PER_TOKEN, 0);
    it.merge(REMOTE, &usage_set(1, 1, &[(2, 0, 0, 1)]));
    assert_eq!(it.lifts_since(0), []);
    it.merge(REMOTE, &usage_set(1, 2, &[(2, 480, 0, 1)]));
    assert_eq!(it.total(2), 480 * UNITS_PER_TOKEN);
}

#[test]
fn merge_is_idempotent_and_commutative() {
    let frames = [
        usage_set(1, 1, &[(1, 10, 5, 1)]),
        usage_set(1, 2, &[(1, 20, 0, 0), (2, 7, 3, 2)]),
        usage_set(2, 1, &[(1, 4, 4, 1)]),
    ];
    let totals = |idx: &[usize]| {
        let mut it = Counters::default();
        idx.iter().for_each(|idx| {
            it.merge(REMOTE, &frames[*idx]);
        });
        (it.total(1), it.total(2))
    };
    // The reservations of the earlier incarnation end with it; the cost it served is kept.
    let expected = (28 * UNITS_PER_TOKEN, 7 * UNITS_PER_TOKEN);
    assert_eq!(totals(&[0, 1, 2]), expected);
    assert_eq!(totals(&[0, 1, 1, 2, 2, 0]), expected);
    assert_eq!(totals(&[1, 2, 0, 1]), expected);
}

#[test]
fn expired_owner_loses_only_its_reservations() {
    let mut it = Counters::default();
    it.merge(REMOTE, &usage_set(1, 1, &[(1, 10, 5, 1)]));
    it.expire_owner(REMOTE);
    assert_eq!(it.total(1), 10 * UNITS_PER_TOKEN);
    assert_eq!(it.active().count(), 0);
}

#[test]
fn lag_after_a_partition_is_clamped() {
    let mut it = Counters::default();
    it.set_waiting(1, 1);
    it.set_waiting(2, 1);
    it.merge(REMOTE, &usage_set(1, 1, &[(1, 1_000_000, 0, 1)]));
    it.clamp_lag(1000 * UNITS_PER_TOKEN);
    assert_eq!(it.total(1) - it.total(2), 1000 * UNITS_PER_TOKEN);
}

#[test]
fn lifts_merge_by_maximum() {
    let mut it = Counters::default();
    it.merge_lifts(&[Lift { workspace: 1, value: 9 }, Lift { workspace: 1, value: 4 }]);
    assert_eq!(it.total(1), 9);
}

/// An owner that its peers considered gone continues under a later incarnation; the cost it served
/// before must not count twice. Found by the replay of `one-way-cut`.
#[test]
fn change_of_incarnation_counts_nothing_twice() {
    let mut it = Counters::default();
    it.record_served(1, 30 * UNITS_PER_TOKEN, 0);
    let before = it.usage_since(0);
    it.close_incarnation(REMOTE, 1);
    it.record_served(1, 5 * UNITS_PER_TOKEN, 0);
    assert_eq!(it.total(1), 35 * UNITS_PER_TOKEN);
    let mut peer = Counters::default();
    peer.merge(REMOTE, &UsageSet { usage: before, ..usage_set(1, 1, &[]) });
    peer.merge(REMOTE, &UsageSet { usage: it.usage_since(0), ..usage_set(2, 1, &[]) });
    assert_eq!(peer.total(1), 35 * UNITS_PER_TOKEN);
}
