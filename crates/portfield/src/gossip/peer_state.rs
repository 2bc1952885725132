//! What a peer, a single host or the summary of a data centre, last reported, and how much of it is
//! new.
//!
//! Digests hold running totals, so that a lost or repeated digest does no harm. Growth between two
//! totals is known only to a host that has seen both, which leads to three rules:
//!
//! - What a host did before it was first heard is not growth, unless it has only just started.
//! - What its workspaces used while it was silent is not growth either.
//! - A summary adds up what each host did since the summarizing host first heard it, never the
//!   hosts' totals: these would count in full each time the summarizing host hears another of them.

use std::time::Duration;

use super::topology::digest_period;
use crate::{fast_map::FastMap, wire};

/// Shortest time without a digest after which a peer's load no longer counts.
///
/// Either its requests ended with it or its digests are lost; ten in a row are not lost by chance.
const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same time in periods between two digests, which are long in a large data centre.
const PEER_TIMEOUT_PERIODS: u32 = 6;
/// Number of digests from a host's start within which its totals count as growth: a second or two
/// of the four over which shares are computed. Without it, what a host did before its first digest
/// arrived would be lost after each of its starts.
const NEW_PEER_DIGESTS: u64 = 20;

/// Returns the time without a digest after which a peer's load no longer counts, if it sends one in
/// each period.
pub(crate) fn peer_timeout(period: Duration) -> Duration {
    MIN_PEER_TIMEOUT.max(period * PEER_TIMEOUT_PERIODS)
}

/// A peer's last digest and its totals.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    pub data_centre: u32,
    /// Number of hosts covered, for a summary; zero for a single host.
    pub n_summed: u32,
    /// Time of the last digest.
    pub last_heard: Duration,
    /// Its requests at each upstream that its last digest named.
    pub loads: Vec<wire::UpstreamLoad>,
    observed: ObservedTotals,
    incarnation: u64,
    sequence: u64,
    /// Tokens that its requests brought into each upstream's memory, as last reported.
    read: FastMap<u32, u64>,
    usage: FastMap<u32, wire::WorkspaceUsage>,
    /// A total that is reported for the first time has grown from zero since the peer was first
    /// heard.
    starts_at_zero: bool,
    /// It was silent for longer than its timeout before its last digest.
    was_silent: bool,
}

/// What a host did since it was first heard, across its restarts; it only grows.
#[derive(Debug, Default)]
struct ObservedTotals {
    usage: FastMap<u32, wire::WorkspaceUsage>,
}

impl PeerState {
    /// Returns whether its load still counts; `period` is the time between two digests of a host of
    /// this data centre.
    pub(crate) fn is_alive(&self, now: Duration, period: Duration) -> bool {
        now < self.last_heard + self.timeout(period)
    }

    fn timeout(&self, period: Duration) -> Duration {
        // The leader of another data centre sends a summary as often as its hosts send digests.
        let is_summary = 0 < self.n_summed;
        peer_timeout(if is_summary { digest_period(self.n_summed as usize) } else { period })
    }

    /// Returns whether a digest is newer than the last one recorded.
    pub(crate) fn is_newer(&self, digest: &wire::Digest) -> bool {
        self.incarnation != digest.incarnation || self.sequence < digest.sequence
    }

    /// Starts recording a newer digest.
    /// `period` is the time between two digests of a host of this data centre.
    pub(crate) fn begin_digest(&mut self, now: Duration, digest: &wire::Digest, period: Duration) {
        let was_silent = self.last_heard + self.timeout(period) < now;
        if self.incarnation != digest.incarnation {
            // After a restart the requests of the earlier process are gone, and its totals start
            // anew.
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

    /// Records the load at an upstream; returns the tokens read there since the last digest.
    pub(crate) fn record_load(&mut self, it: &wire::UpstreamLoad) -> u64 {
        self.loads.push(*it);
        let before = self.read.insert(it.upstream, it.read);
        // An idle upstream is left out of digests, so its total may be from long before. A summary
        // may have named it before this host heard the leader.
        let baseline = if self.n_summed == 0 { self.baseline(it.read) } else { it.read };
        it.read.saturating_sub(before.unwrap_or(baseline))
    }

    /// Records a workspace's totals; returns the growth since the last digest, zero if that was
    /// long ago: such growth does not belong to the last few seconds.
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

    /// Returns what its workspaces asked for and were granted since it was first heard.
    pub(crate) fn observed_usage(&self) -> impl Iterator<Item = &wire::WorkspaceUsage> {
        self.observed.usage.values()
    }

    /// Returns the previous value to assume for a total that is reported for the first time.
    fn baseline(&self, total: u64) -> u64 {
        if self.starts_at_zero { 0 } else { total }
    }
}
