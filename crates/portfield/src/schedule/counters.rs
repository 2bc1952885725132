//! Weighted virtual service counters, merged across owners.
//!
//! The order of service is that of virtual token counters (Sheng et al., *Fairness in
//! Serving Large Language Models*, OSDI 2024). The floor for a workspace that was idle is that of
//! start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996).
//!
//! A workspace's counter is the sum of three parts: the cost served by all owners (grow-only,
//! merged by maximum), the cost reserved by all owners for running requests (a gauge, the latest
//! value replaces earlier ones) and the workspace's lift (merged by maximum). All are in virtual
//! units: cost divided by share.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::shard_key::ShardKey;
use crate::{
    ids::{Incarnation, WorkspaceId},
    wire,
};

/// Cost divided by share, times [`UNITS_PER_TOKEN`].
pub type VirtualCost = u64;

/// Virtual units in one token of a workspace with share 1.
pub const UNITS_PER_TOKEN: u64 = 1 << 16;

/// Converts a cost in tokens to virtual units.
///
/// # Examples
///
/// ```
/// use portfield::schedule::{UNITS_PER_TOKEN, virtual_cost};
///
/// assert_eq!(virtual_cost(10, 2), 5 * UNITS_PER_TOKEN);
/// ```
pub fn virtual_cost(cost: u32, share: u32) -> VirtualCost {
    u64::from(cost) * UNITS_PER_TOKEN / u64::from(share.max(1))
}

/// Counter of one workspace, with its parts.
#[derive(Debug, Clone, Copy, Default)]
struct WorkspaceCounter {
    /// Cost served by this owner.
    served: VirtualCost,
    /// Cost reserved by this owner.
    reserved: VirtualCost,
    lift: VirtualCost,
    /// The counter: cost served and reserved by all owners, and the lift.
    total: VirtualCost,
    /// Cost reserved by all owners.
    pending: VirtualCost,
    /// Tickets waiting at this owner.
    waiting: u32,
    /// Number of other owners with waiting tickets.
    waiting_owners: u32,
    /// Version of the last change to this owner's usage.
    usage_version: u64,
    /// Version of the last change to the lift.
    lift_version: u64,
}

impl WorkspaceCounter {
    fn is_active(&self) -> bool {
        0 < self.waiting || 0 < self.waiting_owners
    }

    /// Returns the counter without reservations.
    fn settled(&self) -> VirtualCost {
        self.total - self.pending
    }
}

/// Usage last reported by one incarnation of an owner.
#[derive(Debug, Clone, Default)]
struct RemoteUsage {
    /// Sequence number of the latest report merged.
    sequence: u64,
    usage: BTreeMap<WorkspaceId, wire::Usage>,
}

/// Counters of the workspaces of one service, as known to one owner.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    workspaces: HashMap<WorkspaceId, WorkspaceCounter>,
    remote: BTreeMap<(ShardKey, Incarnation), RemoteUsage>,
    /// Workspaces with tickets at this owner, ordered by counter.
    local: BTreeSet<(VirtualCost, WorkspaceId)>,
    /// Workspaces with tickets at any owner, ordered by counter.
    active: BTreeSet<(VirtualCost, WorkspaceId)>,
    /// The same workspaces, ordered by counter without reservations; the lowest is the floor for a
    /// workspace that was idle.
    settled: BTreeSet<(VirtualCost, WorkspaceId)>,
    /// Highest counter, without reservations, of a workspace at the time it got a grant; the floor
    /// while no workspace is active.
    virtual_time: VirtualCost,
    /// Number of changes to usage and lifts so far.
    version: u64,
    /// Whether the other owners' counters are known, so that lifts can be computed.
    lifts_enabled: bool,
}

impl Counters {
    /// Starts lifting workspaces that become active; called once the other owners' counters are
    /// known.
    ///
    /// **NOTE:** A lift is never taken back. If a new owner lifted a workspace before it knew the
    /// cost served to it so far, that cost would count twice: in the lift and again once it is
    /// reported.
    pub fn enable_lifts(&mut self) {
        self.lifts_enabled = true;
    }

    /// Returns a workspace's counter.
    pub fn total(&self, id: WorkspaceId) -> VirtualCost {
        self.workspaces.get(&id).map_or(0, |it| it.total)
    }

    /// Returns the workspace with the lowest counter among those with tickets at this owner.
    pub fn least_served_local(&self) -> Option<(VirtualCost, WorkspaceId)> {
        self.local.first().copied()
    }

    /// Returns the workspaces with tickets at any owner, lowest counter first.
    pub fn active(&self) -> impl Iterator<Item = (VirtualCost, WorkspaceId)> + '_ {
        self.active.iter().copied()
    }

    /// Returns whether a workspace has tickets at this owner.
    pub fn has_local_tickets(&self, id: WorkspaceId) -> bool {
        self.workspaces.get(&id).is_some_and(|it| 0 < it.waiting)
    }

    /// Returns the version of the last change, for [`Counters::usage_since`].
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sets the number of a workspace's tickets that wait at this owner.
    pub fn set_waiting(&mut self, id: WorkspaceId, waiting: u32) {
        self.update_with_lift(id, |it| it.waiting = waiting);
        self.mark_changed(id);
    }

    /// Reserves the estimated cost of a request that was granted a slot.
    pub fn reserve(&mut self, id: WorkspaceId, amount: VirtualCost) {
        let settled = self.workspaces.get(&id).map_or(0, WorkspaceCounter::settled);
        self.virtual_time = self.virtual_time.max(settled);
        self.update(id, |it| {
            it.reserved += amount;
            it.pending += amount;
            it.total += amount;
        });
        self.mark_changed(id);
    }

    /// Releases the rest of a reservation.
    pub fn release(&mut self, id: WorkspaceId, amount: VirtualCost) {
        self.update(id, |it| {
            it.reserved -= amount;
            it.pending -= amount;
            it.total -= amount;
        });
        self.mark_changed(id);
    }

    /// Records cost served; it replaces up to `reserved` of the reservation.
    pub fn record_served(&mut self, id: WorkspaceId, amount: VirtualCost, reserved: VirtualCost) {
        let covered = amount.min(reserved);
        self.update(id, |it| {
            it.served += amount;
            it.reserved -= covered;
            it.pending -= covered;
            it.total += amount - covered;
        });
        self.mark_changed(id);
    }

    /// Lifts workspaces that are more than `limit` behind the highest counter of an active one.
    ///
    /// After a network partition a workspace may lag so far that serving it until it has caught up
    /// would starve the others.
    pub fn clamp_lag(&mut self, limit: VirtualCost) {
        let Some((highest, _)) = self.active.last().copied() else { return };
        let floor = highest.saturating_sub(limit);
        while let Some((total, id)) = self.active.first().copied() {
            if floor <= total {
                return;
            }
            self.lift_to(id, floor);
        }
    }

    /// Merges a report of an owner's usage; returns false if it is outdated.
    pub fn merge(&mut self, shard: ShardKey, set: &wire::UsageSet) -> bool {
        self.expire_before(shard, set.incarnation);
        let latest = self.latest_incarnation(shard);
        let known = self.remote.entry((shard, set.incarnation)).or_default();
        if set.sequence <= known.sequence {
            return false;
        }
        known.sequence = set.sequence;
        let is_latest = latest.is_none_or(|it| it <= set.incarnation);
        for it in &set.usage {
            let mut usage = *it;
            if !is_latest {
                usage.reserved = 0;
                usage.waiting = 0;
            }
            self.apply_usage(shard, set.incarnation, usage);
        }
        true
    }

    /// Merges lifts reported by other owners.
    pub fn merge_lifts(&mut self, lifts: &[wire::Lift]) {
        for it in lifts {
            self.raise_lift(it.workspace, it.value);
        }
    }

    /// Drops the reservations and waiting tickets of an owner that is gone; served cost is kept.
    pub fn expire_owner(&mut self, shard: ShardKey) {
        self.expire_before(shard, Incarnation::MAX);
    }

    /// Returns this owner's usage of the workspaces that changed after `version`.
    pub fn usage_since(&self, version: u64) -> Vec<wire::Usage> {
        let changed = self.workspaces.iter().filter(|(_, it)| version < it.usage_version);
        let mut res: Vec<_> = changed
            .map(|(id, it)| wire::Usage {
                workspace: *id,
                served: it.served,
                reserved: it.reserved,
                waiting: it.waiting,
            })
            .collect();
        res.sort_unstable_by_key(|it| it.workspace);
        res
    }

    /// Returns the lifts that changed after `version`.
    pub fn lifts_since(&self, version: u64) -> Vec<wire::Lift> {
        let changed = self.workspaces.iter().filter(|(_, it)| version < it.lift_version);
        let mut res: Vec<_> =
            changed.map(|(id, it)| wire::Lift { workspace: *id, value: it.lift }).collect();
        res.sort_unstable_by_key(|it| it.workspace);
        res
    }

    /// Returns the usage known of all other owners and earlier incarnations, for a new owner.
    pub fn remote_usage_sets(&self) -> Vec<wire::UsageSet> {
        let sets = self.remote.iter().map(|((shard, incarnation), it)| wire::UsageSet {
            shard: Some((*shard).into()),
            incarnation: *incarnation,
            sequence: it.sequence,
            usage: it.usage.values().copied().collect(),
        });
        sets.collect()
    }

    /// Closes an incarnation of this owner: cost served so far is kept as that of another owner,
    /// and this owner's served cost restarts at zero.
    pub fn close_incarnation(&mut self, shard: ShardKey, incarnation: Incarnation) {
        let mut closed = RemoteUsage { sequence: u64::MAX, usage: BTreeMap::new() };
        for (id, it) in self.workspaces.iter_mut().filter(|(_, it)| 0 < it.served) {
            let served = std::mem::take(&mut it.served);
            closed.usage.insert(*id, wire::Usage { workspace: *id, served, ..Default::default() });
        }
        self.remote.insert((shard, incarnation), closed);
        let all: Vec<_> = self.workspaces.keys().copied().collect();
        all.into_iter().for_each(|it| self.mark_changed(it));
    }

    fn latest_incarnation(&self, shard: ShardKey) -> Option<Incarnation> {
        let all = (shard, 0)..=(shard, Incarnation::MAX);
        self.remote.range(all).next_back().map(|((_, it), _)| *it)
    }

    fn expire_before(&mut self, shard: ShardKey, incarnation: Incarnation) {
        let earlier = (shard, 0)..(shard, incarnation);
        let expired: Vec<_> = self
            .remote
            .range(earlier)
            .flat_map(|((_, inc), known)| known.usage.values().map(|it| (*inc, *it)))
            .filter(|(_, it)| 0 < it.reserved || 0 < it.waiting)
            .collect();
        for (inc, mut usage) in expired {
            usage.reserved = 0;
            usage.waiting = 0;
            self.apply_usage(shard, inc, usage);
        }
    }

    fn apply_usage(&mut self, shard: ShardKey, incarnation: Incarnation, usage: wire::Usage) {
        let id = usage.workspace;
        let known = self.remote.entry((shard, incarnation)).or_default();
        let old = known.usage.get(&id).copied().unwrap_or_default();
        let new = wire::Usage { served: usage.served.max(old.served), ..usage };
        known.usage.insert(id, new);
        self.update(id, |it| {
            it.total += new.served + new.reserved;
            it.total -= old.served + old.reserved;
            it.pending += new.reserved;
            it.pending -= old.reserved;
        });
        match (0 < old.waiting, 0 < new.waiting) {
            // NOTE: only the owner at which a workspace waits lifts it. Another owner learns of
            // its service late, and a lift that ignores some of it is never taken back.
            (false, true) => self.update(id, |it| it.waiting_owners += 1),
            (true, false) => self.update(id, |it| it.waiting_owners -= 1),
            _ => (),
        }
    }

    /// Updates a counter and lifts the workspace to the floor if it becomes active, so that it gets
    /// no credit for the time it was idle.
    ///
    /// **NOTE:** The floor excludes reservations, which are estimates. A lift that included one
    /// that was too high would remain after its release, and starve the workspace.
    fn update_with_lift(&mut self, id: WorkspaceId, f: impl FnOnce(&mut WorkspaceCounter)) {
        let was_active = self.workspaces.get(&id).is_some_and(WorkspaceCounter::is_active);
        let floor = self.settled.first().map_or(self.virtual_time, |it| it.0);
        self.update(id, f);
        let counter = self.workspaces[&id];
        if self.lifts_enabled && !was_active && counter.is_active() && counter.settled() < floor {
            self.raise_lift(id, counter.lift + (floor - counter.settled()));
        }
    }

    fn lift_to(&mut self, id: WorkspaceId, floor: VirtualCost) {
        let counter = self.workspaces[&id];
        self.raise_lift(id, counter.lift + (floor - counter.total));
    }

    fn raise_lift(&mut self, id: WorkspaceId, value: VirtualCost) {
        let old = self.workspaces.get(&id).map_or(0, |it| it.lift);
        if value <= old {
            return;
        }
        self.version += 1;
        let version = self.version;
        self.update(id, |it| {
            it.lift = value;
            it.total += value - old;
            it.lift_version = version;
        });
    }

    fn mark_changed(&mut self, id: WorkspaceId) {
        self.version += 1;
        let version = self.version;
        self.update(id, |it| it.usage_version = version);
    }

    /// Updates a workspace's counter and its position in the orders.
    fn update(&mut self, id: WorkspaceId, f: impl FnOnce(&mut WorkspaceCounter)) {
        let counter = self.workspaces.entry(id).or_default();
        let old = *counter;
        f(counter);
        let new = *counter;
        if (old.total, old.waiting) != (new.total, new.waiting) {
            let (was, is) = ((old.total, 0 < old.waiting), (new.total, 0 < new.waiting));
            update_order(&mut self.local, id, was, is);
        }
        if (old.total, old.is_active()) != (new.total, new.is_active()) {
            let (was, is) = ((old.total, old.is_active()), (new.total, new.is_active()));
            update_order(&mut self.active, id, was, is);
        }
        if (old.settled(), old.is_active()) != (new.settled(), new.is_active()) {
            let (was, is) = ((old.settled(), old.is_active()), (new.settled(), new.is_active()));
            update_order(&mut self.settled, id, was, is);
        }
    }
}

/// Moves a workspace in an order from its old key to its new one; the flags say whether it was and
/// is a member.
fn update_order(
    set: &mut BTreeSet<(VirtualCost, WorkspaceId)>,
    id: WorkspaceId,
    (old, was_in): (VirtualCost, bool),
    (new, is_in): (VirtualCost, bool),
) {
    if was_in {
        set.remove(&(old, id));
    }
    if is_in {
        set.insert((new, id));
    }
}
