//! Counters that an owner replicates to its successor.

use std::collections::BTreeMap;

use super::shard_key::ShardKey;
use crate::{
    ids::{Incarnation, WorkspaceId},
    wire,
};

/// Counters of another host's shard, kept in case this host becomes its owner.
#[derive(Debug, Default)]
pub(super) struct Standby {
    /// Counters of each incarnation of each owner.
    pub(super) sets: BTreeMap<(ShardKey, Incarnation), wire::UsageSet>,
    /// Lift of each workspace.
    pub(super) lifts: BTreeMap<WorkspaceId, u64>,
}

impl Standby {
    /// Returns the latest known incarnation of a shard's owner.
    pub(super) fn latest_incarnation(&self, shard: ShardKey) -> Option<Incarnation> {
        let all = (shard, 0)..=(shard, Incarnation::MAX);
        self.sets.range(all).next_back().map(|((_, it), _)| *it)
    }

    /// Merges a frame that the owner sent to its successor.
    pub(super) fn merge(&mut self, frame: &wire::PeerShard) {
        for set in &frame.sets {
            let Some(shard) = set.shard.as_ref().map(ShardKey::from) else { continue };
            let old = self.sets.entry((shard, set.incarnation)).or_default();
            let mut usage: BTreeMap<_, _> =
                old.usage.iter().map(|it| (it.workspace, *it)).collect();
            usage.extend(set.usage.iter().map(|it| (it.workspace, *it)));
            *old = wire::UsageSet { usage: usage.into_values().collect(), ..set.clone() };
        }
        for it in &frame.lifts {
            let old = self.lifts.entry(it.workspace).or_default();
            *old = it.value.max(*old);
        }
    }
}
