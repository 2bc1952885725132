//! Health of an upstream, from the outcomes of requests sent to it.

use std::time::Duration;

/// Time for which an unreachable upstream is blocked at first, unless it proves reachable earlier:
/// a request that tries it in vain loses half of its objective.
const INITIAL_BLOCK: Duration = Duration::from_millis(1000);
/// Longest time for which it is blocked.
const MAX_BLOCK: Duration = Duration::from_secs(4);
/// Time after which an outcome counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Decaying counts of an upstream's successes and failures.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    successes: f64,
    failures: f64,
    updated: Duration,
    n_unreachable: u32,
    blocked_until: Duration,
}

impl Health {
    /// Returns whether no request may be sent to the upstream.
    pub(crate) fn is_blocked(&self, now: Duration) -> bool {
        now < self.blocked_until
    }

    /// Returns when the upstream is tried again.
    pub(crate) fn blocked_until(&self) -> Duration {
        self.blocked_until
    }

    /// Returns the recent fraction of failed requests; zero if none was seen.
    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        let factor = self.decay_factor(now);
        // One assumed success keeps a single failure from ruling the upstream out.
        self.failures * factor / (self.failures * factor + self.successes * factor + 1.0)
    }

    /// Records a request that the upstream answered.
    pub(crate) fn record_success(&mut self, now: Duration) {
        self.decay(now);
        self.successes += 1.0;
        self.record_reachable();
    }

    /// Records a request that broke, was rejected, or was answered with an error.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.decay(now);
        self.failures += 1.0;
    }

    /// Records that no connection could be opened; the block grows with each failure.
    pub(crate) fn record_unreachable(&mut self, now: Duration) {
        self.record_failure(now);
        let block = INITIAL_BLOCK * 2_u32.saturating_pow(self.n_unreachable.min(8));
        self.n_unreachable += 1;
        self.blocked_until = now + block.min(MAX_BLOCK);
    }

    /// Records that a connection could be opened.
    pub(crate) fn record_reachable(&mut self) {
        self.n_unreachable = 0;
        self.blocked_until = Duration::ZERO;
    }

    fn decay_factor(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated);
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn decay(&mut self, now: Duration) {
        let factor = self.decay_factor(now);
        self.successes *= factor;
        self.failures *= factor;
        self.updated = now;
    }
}
