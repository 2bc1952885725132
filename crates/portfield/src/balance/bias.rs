//! What estimates fell short of lately: the queues that this host does not see.

use std::time::Duration;

/// Weight of one more observation.
const SMOOTHING: f64 = 0.1;
/// Largest error taken in, in milliseconds, either way: beyond that an engine is ill.
const MAX_ERROR: f64 = 2000.0;
/// Time without an observation in which the error comes to count half: refusing everybody
/// must end by itself.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// An average of (time to the first event less its estimate) that fades.
///
/// Digests are as old as their period, some are lost, and a host that is cut off hears none: then
/// engines are busier than it believes, all about alike.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Bias {
    mean: f64,
    updated: Duration,
}

impl Bias {
    /// Takes one first event into account; `error` is in milliseconds.
    pub(crate) fn observe(&mut self, now: Duration, error: f64) {
        let mean = self.decayed(now);
        self.mean = mean + SMOOTHING * (error.clamp(-MAX_ERROR, MAX_ERROR) - mean);
        self.updated = now;
    }

    /// Returns by how much estimates fall short, in milliseconds; zero where they do not.
    pub(crate) fn shortfall(&self, now: Duration) -> f64 {
        self.decayed(now).max(0.0)
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated);
        self.mean * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
