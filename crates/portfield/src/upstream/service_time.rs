//! Mean time that a request occupies a slot of a service's upstreams.

use std::time::Duration;

/// Time constant with which past requests are forgotten: some hundred requests at two dozen per
/// second, and short enough to follow a change of the mix of requests.
const MEMORY: Duration = Duration::from_secs(4);
/// Mean time assumed before any request has ended, in milliseconds: a stream of some 30 events.
const INITIAL_TIME: f64 = 1000.0;
/// Weight of the initial value, in requests.
const INITIAL_WEIGHT: f64 = 2.0;

/// Mean time of a service's requests, from those that ended and those that still run.
///
/// The mean over ended requests alone is far too low after a start: short requests end first. A host
/// that goes by it expects no wait for a slot while all slots are taken by long streams. So this divides
/// the time that all requests have run by the number of those that ended, which holds for any mix.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceTime {
    running: f64,
    /// Time that requests have run, in milliseconds.
    exposure: f64,
    /// Requests that ended.
    ended: f64,
    updated: Duration,
}

impl ServiceTime {
    /// Records the start of a request.
    pub(crate) fn record_start(&mut self, now: Duration) {
        self.advance(now);
        self.running += 1.0;
    }

    /// Records that a request ended by itself.
    pub(crate) fn record_done(&mut self, now: Duration) {
        self.record_stop(now);
        self.ended += 1.0;
    }

    /// Records that a request was cut short: the time that it ran counts, its end does not.
    pub(crate) fn record_stop(&mut self, now: Duration) {
        self.advance(now);
        self.running = (self.running - 1.0).max(0.0);
    }

    /// Returns the mean time of a request, in milliseconds.
    pub(crate) fn mean(&self, now: Duration) -> f64 {
        let mut it = *self;
        it.advance(now);
        (it.exposure + INITIAL_TIME * INITIAL_WEIGHT) / (it.ended + INITIAL_WEIGHT)
    }

    fn advance(&mut self, now: Duration) {
        let time = now.saturating_sub(self.updated).as_secs_f64();
        let kept = (-time / MEMORY.as_secs_f64()).exp();
        // The time that the running requests ran since then, decayed over the interval.
        let grown = self.running * MEMORY.as_secs_f64() * 1000.0 * (1.0 - kept);
        self.exposure = self.exposure * kept + grown;
        self.ended *= kept;
        self.updated = self.updated.max(now);
    }
}
