//! Weighted virtual service counters, merged across owners.
//!
//! The order of service is that of virtual token counters (Sheng et al., *Fairness in
//! Serving Large Language Models*, OSDI 2024), the floor for a workspace that comes back
//! that of start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996).
//!
//! A workspace's counter is the sum over all owners of what it was served (grow-only,
//! merged by maximum), of what is reserved for requests that run (a gauge, the last word
//! counts) and of its lift (merged by maximum). All are in virtual units: cost over share.

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

/// Turns a cost in tokens into virtual units.
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

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    /// Served and reserved here.
    served: VirtualCost,
    reserved: VirtualCost,
    lift: VirtualCost,
    /// Sum over all owners, reservations and lift included.
    total: VirtualCost,
    /// Reservations of all owners.
    pending: VirtualCost,
    /// Tickets waiting here, and owners elsewhere that have some.
    waiting: u32,
    elsewhere: u32,
    /// Versions of the last change to the counters here and to the lift.
    changed: u64,
    lifted: u64,
}

impl Entry {
    fn is_active(&self) -> bool {
        0 < self.waiting || 0 < self.elsewhere
    }

    /// Returns the counter without what is only reserved.
    fn settled(&self) -> VirtualCost {
        self.total - self.pending
    }
}

#[derive(Debug, Clone, Default)]
struct Seen {
    sequence: u64,
    usage: BTreeMap<WorkspaceId, wire::Usage>,
}

/// The counters of every workspace of one service, as one owner knows them.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    entries: HashMap<WorkspaceId, Entry>,
    seen: BTreeMap<(ShardKey, Incarnation), Seen>,
    /// Workspaces with tickets here, by counter.
    local: BTreeSet<(VirtualCost, WorkspaceId)>,
    /// Workspaces with tickets anywhere, by counter.
    active: BTreeSet<(VirtualCost, WorkspaceId)>,
    /// The same by settled counter: the least is the floor for who comes back.
    settled: BTreeSet<(VirtualCost, WorkspaceId)>,
    /// Settled counter of the workspace served last.
    clock: VirtualCost,
    version: u64,
    /// Whether the other owners' counters are known, so that a lift would be true.
    complete: bool,
}

impl Counters {
    /// Notes that what other owners counted is known: from now on workspaces are lifted.
    ///
    /// **NOTE:** A new owner that lifted before would lift over what it doesn't know yet, and
    /// the lift would stay.
    pub fn enable_lifts(&mut self) {
        self.complete = true;
    }

    /// Returns a workspace's counter.
    pub fn total(&self, id: WorkspaceId) -> VirtualCost {
        self.entries.get(&id).map_or(0, |it| it.total)
    }

    /// Returns the local workspace to serve next, with its counter.
    pub fn least_served_local(&self) -> Option<(VirtualCost, WorkspaceId)> {
        self.local.first().copied()
    }

    /// Returns the workspaces with tickets anywhere, the least served first.
    pub fn active(&self) -> impl Iterator<Item = (VirtualCost, WorkspaceId)> + '_ {
        self.active.iter().copied()
    }

    /// Returns whether a workspace has tickets here.
    pub fn has_local_tickets(&self, id: WorkspaceId) -> bool {
        self.entries.get(&id).is_some_and(|it| 0 < it.waiting)
    }

    /// Returns the version of the last change, for [`Counters::usage_since`].
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sets how many tickets of a workspace wait here.
    pub fn set_waiting(&mut self, id: WorkspaceId, waiting: u32) {
        self.enter(id, |it| it.waiting = waiting);
        self.touch(id);
    }

    /// Reserves the estimate of a request that was granted.
    pub fn reserve(&mut self, id: WorkspaceId, amount: VirtualCost) {
        let settled = self.entries.get(&id).map_or(0, Entry::settled);
        self.clock = self.clock.max(settled);
        self.change(id, |it| {
            it.reserved += amount;
            it.pending += amount;
            it.total += amount;
        });
        self.touch(id);
    }

    /// Takes back what is left of a reservation.
    pub fn release(&mut self, id: WorkspaceId, amount: VirtualCost) {
        self.change(id, |it| {
            it.reserved -= amount;
            it.pending -= amount;
            it.total -= amount;
        });
        self.touch(id);
    }

    /// Counts service, out of the reservation as far as `reserved` goes.
    pub fn record_served(&mut self, id: WorkspaceId, amount: VirtualCost, reserved: VirtualCost) {
        let covered = amount.min(reserved);
        self.change(id, |it| {
            it.served += amount;
            it.reserved -= covered;
            it.pending -= covered;
            it.total += amount - covered;
        });
        self.touch(id);
    }

    /// Lifts whoever is so far behind the best served that catching up would starve the
    /// others for longer than `limit`; happens after a cut heals.
    pub fn clamp_lag(&mut self, limit: VirtualCost) {
        let Some((most, _)) = self.active.last().copied() else { return };
        let floor = most.saturating_sub(limit);
        while let Some((total, id)) = self.active.first().copied() {
            if floor <= total {
                return;
            }
            self.lift_to(id, floor);
        }
    }

    /// Takes in another owner's counters; returns whether they were news.
    pub fn merge(&mut self, shard: ShardKey, set: &wire::UsageSet) -> bool {
        self.retire_before(shard, set.incarnation);
        let newest = self.newest(shard);
        let seen = self.seen.entry((shard, set.incarnation)).or_default();
        if set.sequence <= seen.sequence {
            return false;
        }
        seen.sequence = set.sequence;
        let is_live = newest.is_none_or(|it| it <= set.incarnation);
        for it in &set.usage {
            let mut fresh = *it;
            if !is_live {
                fresh.reserved = 0;
                fresh.waiting = 0;
            }
            self.apply(shard, set.incarnation, fresh);
        }
        true
    }

    /// Takes in lifts.
    pub fn merge_lifts(&mut self, lifts: &[wire::Lift]) {
        for it in lifts {
            self.raise_lift(it.workspace, it.value);
        }
    }

    /// Forgets the reservations and tickets of an owner that is silent; what it served stays.
    pub fn expire_owner(&mut self, shard: ShardKey) {
        self.retire_before(shard, Incarnation::MAX);
    }

    /// Returns the counters here that changed after `version`.
    pub fn usage_since(&self, version: u64) -> Vec<wire::Usage> {
        let fresh = self.entries.iter().filter(|(_, it)| version < it.changed);
        let mut res: Vec<_> = fresh
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
        let fresh = self.entries.iter().filter(|(_, it)| version < it.lifted);
        let mut res: Vec<_> =
            fresh.map(|(id, it)| wire::Lift { workspace: *id, value: it.lift }).collect();
        res.sort_unstable_by_key(|it| it.workspace);
        res
    }

    /// Returns what is known of all other owners, for an owner that starts with nothing.
    pub fn remote_usage_sets(&self) -> Vec<wire::UsageSet> {
        let sets = self.seen.iter().map(|((shard, incarnation), it)| wire::UsageSet {
            shard: Some((*shard).into()),
            incarnation: *incarnation,
            sequence: it.sequence,
            usage: it.usage.values().copied().collect(),
        });
        sets.collect()
    }

    /// Ends one incarnation of the counters here: what it served stays as another owner's
    /// would, and counting starts anew.
    pub fn close_incarnation(&mut self, shard: ShardKey, incarnation: Incarnation) {
        let mut sealed = Seen { sequence: u64::MAX, usage: BTreeMap::new() };
        for (id, it) in self.entries.iter_mut().filter(|(_, it)| 0 < it.served) {
            let served = std::mem::take(&mut it.served);
            sealed.usage.insert(*id, wire::Usage { workspace: *id, served, ..Default::default() });
        }
        self.seen.insert((shard, incarnation), sealed);
        let all: Vec<_> = self.entries.keys().copied().collect();
        all.into_iter().for_each(|it| self.touch(it));
    }

    fn newest(&self, shard: ShardKey) -> Option<Incarnation> {
        let all = (shard, 0)..=(shard, Incarnation::MAX);
        self.seen.range(all).next_back().map(|((_, it), _)| *it)
    }

    fn retire_before(&mut self, shard: ShardKey, incarnation: Incarnation) {
        let old = (shard, 0)..(shard, incarnation);
        let stale: Vec<_> = self
            .seen
            .range(old)
            .flat_map(|((_, inc), seen)| seen.usage.values().map(|it| (*inc, *it)))
            .filter(|(_, it)| 0 < it.reserved || 0 < it.waiting)
            .collect();
        for (inc, mut usage) in stale {
            usage.reserved = 0;
            usage.waiting = 0;
            self.apply(shard, inc, usage);
        }
    }

    fn apply(&mut self, shard: ShardKey, incarnation: Incarnation, fresh: wire::Usage) {
        let id = fresh.workspace;
        let seen = self.seen.entry((shard, incarnation)).or_default();
        let old = seen.usage.get(&id).copied().unwrap_or_default();
        let fresh = wire::Usage { served: fresh.served.max(old.served), ..fresh };
        seen.usage.insert(id, fresh);
        self.change(id, |it| {
            it.total += fresh.served + fresh.reserved;
            it.total -= old.served + old.reserved;
            it.pending += fresh.reserved;
            it.pending -= old.reserved;
        });
        match (0 < old.waiting, 0 < fresh.waiting) {
            // NOTE: only the owner where it waits lifts it. Here its service is known late,
            // and a lift over what is not known yet would stay.
            (false, true) => self.change(id, |it| it.elsewhere += 1),
            (true, false) => self.change(id, |it| it.elsewhere -= 1),
            _ => (),
        }
    }

    /// Applies a change after which a workspace may newly be active: whoever was idle
    /// starts at the floor and banks nothing.
    ///
    /// **NOTE:** The floor leaves reservations out. They are estimates: a lift over one that
    /// was too high would stay after it is taken back, and starve the workspace meanwhile.
    fn enter(&mut self, id: WorkspaceId, f: impl FnOnce(&mut Entry)) {
        let was_active = self.entries.get(&id).is_some_and(Entry::is_active);
        let floor = self.settled.first().map_or(self.clock, |it| it.0);
        self.change(id, f);
        let entry = self.entries[&id];
        if self.complete && !was_active && entry.is_active() && entry.settled() < floor {
            self.raise_lift(id, entry.lift + (floor - entry.settled()));
        }
    }

    fn lift_to(&mut self, id: WorkspaceId, floor: VirtualCost) {
        let entry = self.entries[&id];
        self.raise_lift(id, entry.lift + (floor - entry.total));
    }

    fn raise_lift(&mut self, id: WorkspaceId, value: VirtualCost) {
        let old = self.entries.get(&id).map_or(0, |it| it.lift);
        if value <= old {
            return;
        }
        self.version += 1;
        let version = self.version;
        self.change(id, |it| {
            it.lift = value;
            it.total += value - old;
            it.lifted = version;
        });
    }

    fn touch(&mut self, id: WorkspaceId) {
        self.version += 1;
        let version = self.version;
        self.change(id, |it| it.changed = version);
    }

    /// Changes an entry and keeps both orders current.
    fn change(&mut self, id: WorkspaceId, f: impl FnOnce(&mut Entry)) {
        let entry = self.entries.entry(id).or_default();
        let old = *entry;
        f(entry);
        let new = *entry;
        if (old.total, old.waiting) != (new.total, new.waiting) {
            let (was, is) = ((old.total, 0 < old.waiting), (new.total, 0 < new.waiting));
            move_key(&mut self.local, id, was, is);
        }
        if (old.total, old.is_active()) != (new.total, new.is_active()) {
            let (was, is) = ((old.total, old.is_active()), (new.total, new.is_active()));
            move_key(&mut self.active, id, was, is);
        }
        if (old.settled(), old.is_active()) != (new.settled(), new.is_active()) {
            let (was, is) = ((old.settled(), old.is_active()), (new.settled(), new.is_active()));
            move_key(&mut self.settled, id, was, is);
        }
    }
}

fn move_key(
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
