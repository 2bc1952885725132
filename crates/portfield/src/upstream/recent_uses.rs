//! This host's recent uses of cached prompt prefixes, for hosts that have just started.
//!
//! The case to handle: digests announce each use of a prefix a few times only, so a host that has
//! just started takes every prefix for uncached and has it prefilled again, although engines kept
//! all of them. A full digest therefore repeats some recent uses, with their age. The other hosts of
//! a data centre together name most of what its engines keep within a few full digests.

use std::collections::VecDeque;

use super::table::UpstreamTable;
use crate::wire;

/// Uses that are kept, the most recent ones.
const MAX_USES: usize = 64;
/// Uses that a full digest, one of eight, repeats: with 12 of them, some 17 bytes each, digests grew
/// by more than a tenth together with the rest of what fetches add.
const USES_PER_DIGEST: usize = 8;

/// A use of an engine's cached prefixes.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RecentUse {
    upstream: u32,
    parts: Vec<u32>,
    /// Memory of the engine, in tokens.
    memory: u64,
}

/// The most recent uses, and which of them are repeated next.
#[derive(Debug, Default)]
pub(crate) struct RecentUses {
    uses: VecDeque<RecentUse>,
}

impl RecentUses {
    /// Records a use after its first event.
    pub(crate) fn record(&mut self, upstream: u32, parts: Vec<u32>, memory: u64) {
        let new = RecentUse { upstream, parts, memory };
        self.uses.retain(|it| *it != new);
        self.uses.push_front(new);
        self.uses.truncate(MAX_USES);
    }

    /// Returns the uses that the next full digest repeats; each call continues after the last one.
    pub(crate) fn next(&mut self, upstreams: &UpstreamTable) -> Vec<wire::PrefixUse> {
        let n = self.uses.len().min(USES_PER_DIGEST);
        let entry = |it: &RecentUse| {
            let last = it.parts.last()?;
            let age = upstreams.get(it.upstream)?.cache.age(*last, it.memory)?;
            // An age of zero stands for a use just now.
            let age = (age as u32).max(1);
            Some(wire::PrefixUse {
                upstream: it.upstream,
                parts: it.parts.clone(),
                age,
                ..Default::default()
            })
        };
        let res = self.uses.iter().take(n).filter_map(entry).collect();
        self.uses.rotate_left(n);
        res
    }
}
