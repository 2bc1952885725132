//! A sum of what came of late.

use std::time::Duration;

/// Time in which what came comes to count a third: long enough that one request is no flood, short
/// enough that a flood counts before its callers have given up.
const TIME_CONSTANT: Duration = Duration::from_millis(1000);

/// A sum that fades.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated: Duration,
}

impl DecayingSum {
    /// Adds to the sum.
    pub(crate) fn add(&mut self, now: Duration, work: f64) {
        self.sum = self.value(now) + work;
        self.updated = now;
    }

    /// Returns what is left of the sum; of a steady flow, what comes in [`FLOW_TIME`].
    pub(crate) fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated);
        self.sum * (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
