//! Timers of a state machine.
//!
//! Reads no clock: the caller passes the time, a process from its monotonic clock and a replay from
//! virtual time.

use std::{collections::BTreeSet, time::Duration};

/// Pending timers, each with the key that is returned when it is due.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use portfield::timer::Timers;
///
/// let mut timers = Timers::default();
/// timers.schedule(Duration::from_secs(2), "probe");
/// assert_eq!(timers.next_due(), Some(Duration::from_secs(2)));
/// assert_eq!(timers.pop_due(Duration::from_secs(1)), None);
/// assert_eq!(timers.pop_due(Duration::from_secs(2)), Some("probe"));
/// ```
#[derive(Debug, Clone)]
pub struct Timers<K> {
    pending: BTreeSet<(Duration, K)>,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Self { pending: BTreeSet::new() }
    }
}

impl<K: Ord + Clone> Timers<K> {
    /// Schedules `key` for the time `at`.
    pub fn schedule(&mut self, at: Duration, key: K) {
        self.pending.insert((at, key));
    }

    /// Returns the time of the earliest timer.
    pub fn next_due(&self) -> Option<Duration> {
        self.pending.first().map(|(at, _)| *at)
    }

    /// Removes the earliest timer and returns its key, if it is due at `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<K> {
        if now < self.next_due()? {
            return None;
        }
        self.pending.pop_first().map(|(_, key)| key)
    }
}
