//! What one other host, or the sum of a data centre, says that it did, and how much of that is new.
//!
//! Digests tell totals, so that a lost or repeated one changes nothing. When a total grew is known
//! only to who heard it before and after, hence three rules:
//!
//! - What a host did before this one heard it is no growth, unless it has only just started.
//! - What its workspaces used while it was silent isn't either.
//! - A sum of several hosts adds up what each did since the host that sums up first heard it, never
//!   their totals: these would come along whole whenever it hears one more of them.

use std::time::Duration;

use super::fast_map::FastMap;
use crate::wire;

/// Time after which another host's last word no longer counts.
///
/// Its requests end with it, or its words are lost; ten digests in a row are not lost by chance.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Digests from a host's start within which all that it did counts as done just now: a second or
/// two, of the four over which shares are kept. Without them what a host did before its first word
/// is lost after each of its starts.
const NEW_PEER_DIGESTS: u64 = 20;

/// What another host last said.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    pub data_centre: u32,
    /// Hosts that it speaks for, where it sums up a data centre.
    pub n_summed: u32,
    /// When it was last heard.
    pub last_heard: Duration,
    /// What it has at each upstream that it named last.
    pub loads: Vec<wire::UpstreamLoad>,
    observed: ObservedTotals,
    incarnation: u64,
    sequence: u64,
    /// Tokens that it brought into the memory of each upstream, as it last told.
    read: FastMap<u32, u64>,
    usage: FastMap<u32, wire::WorkspaceUsage>,
    /// A total that it tells for the first time has grown from zero since this host heard it.
    starts_at_zero: bool,
    /// It had been silent for [`PEER_TIMEOUT`] before its last word.
    was_silent: bool,
}

/// What a host did since it was first heard, through all its lives: it only grows.
#[derive(Debug, Default)]
struct ObservedTotals {
    /// Tokens brought into the memory of each upstream.
    read: FastMap<u32, u64>,
    usage: FastMap<u32, wire::WorkspaceUsage>,
}

impl PeerState {
    /// Returns whether a digest is newer than the last one taken.
    pub(crate) fn is_newer(&self, digest: &wire::Digest) -> bool {
        self.incarnation != digest.incarnation || self.sequence < digest.sequence
    }

    /// Begins to take a newer digest.
    pub(crate) fn begin_digest(&mut self, now: Duration, digest: &wire::Digest) {
        let was_silent = self.last_heard + PEER_TIMEOUT < now;
        if self.incarnation != digest.incarnation {
            // Requests of its earlier life ended with it, and its totals.
            *self = Self { observed: std::mem::take(&mut self.observed), ..Self::default() };
            self.starts_at_zero = digest.n_summed == 0 && digest.sequence <= NEW_PEER_DIGESTS;
        } else if 0 < digest.n_summed {
            self.starts_at_zero = true;
        }
        self.incarnation = digest.incarnation;
        self.sequence = digest.sequence;
        self.was_silent = was_silent;
        self.last_heard = now;
        self.data_centre = digest.data_centre;
        self.n_summed = digest.n_summed;
    }

    /// Takes what it has at an upstream; returns the tokens that it read there since its last word.
    pub(crate) fn record_load(&mut self, it: &wire::UpstreamLoad) -> u64 {
        self.loads.push(*it);
        let before = self.read.insert(it.upstream, it.read);
        // An upstream is left out while nothing goes on there: its total may be an old one.
        let grown = it.read.saturating_sub(before.unwrap_or(self.baseline(it.read)));
        if self.n_summed == 0 && 0 < grown {
            *self.observed.read.entry(it.upstream).or_default() += grown;
        }
        grown
    }

    /// Takes a workspace's totals; returns what was asked and taken since its last word, nothing if
    /// that was long ago: it says nothing of the last seconds.
    pub(crate) fn record_usage(&mut self, it: &wire::WorkspaceUsage) -> wire::WorkspaceUsage {
        let before = self.usage.insert(it.workspace, *it);
        let before = if self.was_silent && before.is_some() { Some(*it) } else { before };
        let (asked, taken) = before.map_or_else(
            || (self.baseline(it.asked), self.baseline(it.taken)),
            |it| (it.asked, it.taken),
        );
        let grown = wire::WorkspaceUsage {
            workspace: it.workspace,
            asked: it.asked.saturating_sub(asked),
            taken: it.taken.saturating_sub(taken),
        };
        let observed = self.observed.usage.entry(it.workspace).or_default();
        observed.workspace = it.workspace;
        observed.asked += grown.asked;
        observed.taken += grown.taken;
        grown
    }

    /// Returns what it has at upstreams, and what it read there since it was first heard; an upstream
    /// may come twice.
    pub(crate) fn observed_loads(&self) -> impl Iterator<Item = wire::UpstreamLoad> {
        let read = |(&upstream, &read): (&u32, &u64)| wire::UpstreamLoad {
            upstream,
            read,
            ..Default::default()
        };
        let now = self.loads.iter().map(|it| wire::UpstreamLoad { read: 0, ..*it });
        self.observed.read.iter().map(read).chain(now)
    }

    /// Returns what its workspaces asked and took since it was first heard.
    pub(crate) fn observed_usage(&self) -> impl Iterator<Item = &wire::WorkspaceUsage> {
        self.observed.usage.values()
    }

    /// Returns what a total counts as having been that is told for the first time.
    fn baseline(&self, total: u64) -> u64 {
        if self.starts_at_zero { 0 } else { total }
    }
}
