//! When a host that lacks the fleet's state reads it from the store itself, rather than from another
//! host.
//!
//! The load this answers: all hosts start at once, or all lose the store's history, while the list
//! of upstreams has megabytes. If each of them read it, the bytes would grow with the number of
//! hosts times the number of upstreams. So the first hosts of a data centre by hash read at once
//! and the others wait for them, each the longer the more hosts come before it.

use std::time::Duration;

use super::store_watchers::{ALL_WATCH_LIMIT, WATCHERS_PER_CENTRE};

/// Time in which hosts that start together hear of each other.
const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Time that the hosts of one rank have to read the state and to tell the others; a list of 10,000
/// upstreams takes about a second on an eighth of a core.
const STEP: Duration = Duration::from_secs(2);
/// Steps after which a host reads in any case, and further steps over which such hosts spread: the
/// ones before it may be cut off from the store, or from this host.
const LAST_STEPS: (f64, f64) = (8.0, 8.0);

/// Whether another host was heard that has the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerCopy {
    /// One was heard: the state will come from there.
    Heard,
    /// None was heard.
    None,
}

/// A host's place among those that may read the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderRank {
    /// Hosts of this data centre with lower hashes that are alive, as far as is known.
    pub n_before: usize,
    /// Known hosts in all data centres.
    pub n_known: usize,
    /// Since when the place is known: hosts that were never heard count until then.
    pub since: Duration,
}

impl ReaderRank {
    /// Returns when a host that has waited for others since `wait_start` is to read the state from
    /// the store; `draw` is a uniform random number from 0 to 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::gossip::{PeerCopy, ReaderRank};
    /// use std::time::Duration;
    ///
    /// let due = |n_before, n_known, copy| {
    ///     let rank = ReaderRank { n_before, n_known, since: Duration::ZERO };
    ///     rank.read_due(Duration::ZERO, copy, 0.5).as_millis()
    /// };
    /// assert_eq!(due(4, 9, PeerCopy::Heard), 250, "every host of a small fleet reads");
    /// assert_eq!(due(1, 60, PeerCopy::None), 250);
    /// assert_eq!(due(3, 60, PeerCopy::None), 2_250);
    /// assert_eq!(due(3, 60, PeerCopy::Heard), 24_250);
    /// ```
    pub fn read_due(self, wait_start: Duration, copy: PeerCopy, draw: f64) -> Duration {
        let start = wait_start.max(self.since) + SETTLE_TIME;
        if self.n_known < ALL_WATCH_LIMIT {
            return start;
        }
        let n_steps = (self.n_before / WATCHERS_PER_CENTRE) as f64;
        let (last, spread) = LAST_STEPS;
        let is_last = last <= n_steps || copy == PeerCopy::Heard;
        start + STEP.mul_f64(if is_last { last + draw * spread } else { n_steps })
    }
}
