//! Whether other hosts reached the store while this one could not.

use std::time::Duration;

/// When other hosts last heard from the store, as reported in their digests.
///
/// The case to handle: the store rejects one host and serves the others. Its next answer to that
/// host is then no older than what the others know, so an upstream missing from it is really gone.
///
/// # Examples
///
/// ```
/// use portfield::gossip::StoreAvailability;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut it = StoreAvailability::new(second * 3);
/// (1..=9).for_each(|n| it.record(second * n));
/// assert!(it.is_continuous(second * 2, second * 10));
/// // Nobody reached the store from 9 to 14 s.
/// it.record(second * 14);
/// assert!(!it.is_continuous(second * 2, second * 15));
/// ```
#[derive(Debug, Clone)]
pub struct StoreAvailability {
    /// Longest time between two answers of the store that is no outage.
    max_gap: Duration,
    /// Start of the period without an outage.
    since: Duration,
    /// Time of the last answer.
    last_heard: Duration,
}

impl StoreAvailability {
    /// Builds the state of a host without reports; `max_gap` is the longest time between answers
    /// that is no outage.
    pub fn new(max_gap: Duration) -> Self {
        Self { max_gap, since: Duration::MAX, last_heard: Duration::ZERO }
    }

    /// Records that some host heard from the store; a time before the last one is ignored.
    pub fn record(&mut self, at: Duration) {
        if at <= self.last_heard {
            return;
        }
        if self.since == Duration::MAX || self.last_heard + self.max_gap < at {
            self.since = at;
        }
        self.last_heard = at;
    }

    /// Returns whether there was no outage between `from`, when this host last heard from the
    /// store, and `now`.
    pub fn is_continuous(&self, from: Duration, now: Duration) -> bool {
        self.since <= from + self.max_gap && now <= self.last_heard + self.max_gap
    }
}
