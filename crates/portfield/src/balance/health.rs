//! Upstreams that fail, by what became of the requests sent to them.

use std::time::Duration;

/// Time for which an upstream that could not be reached is left alone at first, unless it is found
/// to be reachable again before: a request that tries in vain loses half of its objective.
const INITIAL_BLOCK: Duration = Duration::from_millis(1000);
/// Longest such time.
const MAX_BLOCK: Duration = Duration::from_secs(4);
/// Time in which a failure comes to count half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// What is known of one upstream's failures.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    successes: f64,
    failures: f64,
    updated: Duration,
    n_unreachable: u32,
    blocked_until: Duration,
}

impl Health {
    /// Returns whether the upstream is to be left alone.
    pub(crate) fn is_blocked(&self, now: Duration) -> bool {
        now < self.blocked_until
    }

    /// Returns when it is tried again.
    pub(crate) fn blocked_until(&self) -> Duration {
        self.blocked_until
    }

    /// Returns the part of its requests that failed of late; none seen counts as none failed.
    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        let factor = self.decay_factor(now);
        // One imagined success keeps a single failure from ruling an upstream out.
        self.failures * factor / (self.failures * factor + self.successes * factor + 1.0)
    }

    /// Notes a request that the upstream answered.
    pub(crate) fn record_success(&mut self, now: Duration) {
        self.decay(now);
        self.successes += 1.0;
        self.record_reachable();
    }

    /// Notes a request that broke, was answered with an error, or was turned away.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.decay(now);
        self.failures += 1.0;
    }

    /// Notes that the upstream could not be reached; it is left alone for a growing time.
    pub(crate) fn record_unreachable(&mut self, now: Duration) {
        self.record_failure(now);
        let block = INITIAL_BLOCK * 2_u32.saturating_pow(self.n_unreachable.min(8));
        self.n_unreachable += 1;
        self.blocked_until = now + block.min(MAX_BLOCK);
    }

    /// Notes that a connection could be opened.
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
