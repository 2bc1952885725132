//! Exponentially decaying sum of recent work.

use std::time::Duration;

/// Time after which work counts a third (1/e): long enough that one request is not taken for a
/// flood, short enough that a flood counts before its callers give up.
const TIME_CONSTANT: Duration = Duration::from_millis(1000);

/// A sum that decays exponentially with [`TIME_CONSTANT`].
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

    /// Returns the decayed sum; at a steady rate this is the work added in [`TIME_CONSTANT`].
    pub(crate) fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated);
        self.sum * (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
