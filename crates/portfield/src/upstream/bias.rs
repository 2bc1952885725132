//! Recent underestimate of the time to the first event, caused by queues that this host does not
//! see.

use std::time::Duration;

/// Weight of a new observation.
const SMOOTHING: f64 = 0.1;
/// Largest error taken into account, in milliseconds, in either direction: beyond that the engine
/// is failing.
const MAX_ERROR: f64 = 2000.0;
/// Time without an observation after which the error counts half. It decays so that a state in
/// which every request is refused, and none is observed, ends by itself.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Exponentially decaying average of (observed - estimated) time to the first event.
///
/// Digests are as old as their period, some are lost, and a host that is cut off gets none. Engines
/// are then busier than it believes, all of them to about the same degree.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Bias {
    mean: f64,
    updated: Duration,
}

impl Bias {
    /// Records one first event; `error` is in milliseconds.
    pub(crate) fn observe(&mut self, now: Duration, error: f64) {
        let mean = self.decayed(now);
        self.mean = mean + SMOOTHING * (error.clamp(-MAX_ERROR, MAX_ERROR) - mean);
        self.updated = now;
    }

    /// Returns the current underestimate in milliseconds; zero if estimates are too high.
    pub(crate) fn shortfall(&self, now: Duration) -> f64 {
        self.decayed(now).max(0.0)
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated);
        self.mean * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
