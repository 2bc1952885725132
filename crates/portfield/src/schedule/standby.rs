//! What an owner sends ahead to its successor.

use std::collections::BTreeMap;

use super::shard_key::ShardKey;
use crate::{
    ids::{Incarnation, WorkspaceId},
    wire,
};

/// Another owner's counters, kept for the case that this host succeeds it.
#[derive(Debug, Default)]
pub(super) struct Standby {
    /// Counters of each ownership.
    pub(super) sets: BTreeMap<(ShardKey, Incarnation), wire::UsageSet>,
    /// Lifts of each workspace.
    pub(super) lifts: BTreeMap<WorkspaceId, u64>,
}

impl Standby {
    /// Returns the latest ownership of a shard that is known.
    pub(super) fn latest_incarnation(&self, shard: ShardKey) -> Option<Incarnation> {
        let all = (shard, 0)..=(shard, Incarnation::MAX);
        self.sets.range(all).next_back().map(|((_, it), _)| *it)
    }

    /// Takes in what the owner sent ahead.
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
