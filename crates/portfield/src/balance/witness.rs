//! Whether other hosts heard the store while this one could not.

use std::time::Duration;

/// When the other hosts heard the store, as far as their words tell.
///
/// The load that this answers: the store turns one host away and serves the others. What it says to that host when it
/// answers again is then no older than what the others know, and an upstream that is missing is gone.
///
/// # Examples
///
/// ```
/// use portfield::balance::StoreAvailability;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut it = StoreAvailability::new(second * 3);
/// (1..=9).for_each(|n| it.record(second * n));
/// assert!(it.is_continuous(second * 2, second * 10));
/// // Nobody heard it from 9 to 14.
/// it.record(second * 14);
/// assert!(!it.is_continuous(second * 2, second * 15));
/// ```
#[derive(Debug, Clone)]
pub struct StoreAvailability {
    /// Longest time between two words of the store that is no outage.
    gap: Duration,
    /// Since when it was heard without such a time.
    since: Duration,
    /// When it was last heard.
    last: Duration,
}

impl StoreAvailability {
    /// Builds what a host knows that has heard of nobody; `gap` is the longest time without a word that is no outage.
    pub fn new(gap: Duration) -> Self {
        Self { gap, since: Duration::MAX, last: Duration::ZERO }
    }

    /// Notes that some host heard the store at a time; an earlier one than the last is no news.
    pub fn record(&mut self, at: Duration) {
        if at <= self.last {
            return;
        }
        if self.since == Duration::MAX || self.last + self.gap < at {
            self.since = at;
        }
        self.last = at;
    }

    /// Returns whether there was no outage between a time at which this host heard the store and now.
    pub fn is_continuous(&self, from: Duration, now: Duration) -> bool {
        self.since <= from + self.gap && now <= self.last + self.gap
    }
}
