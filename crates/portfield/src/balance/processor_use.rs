//! Processor time that this host uses, measured against its share.

use std::time::Duration;

/// Weight of time in the average of the processor time: a burst of some requests is no load to act
/// on, and a host is refusing requests two seconds after a large caller came.
const AVERAGE_TIME: Duration = Duration::from_secs(1);

/// Load from which on events are gathered, and at which as many as possible are.
const GATHER_RANGE: (f64, f64) = (0.4, 0.7);

/// Measures the processor time of this process against its share.
///
/// # Examples
///
/// ```
/// use portfield::balance::ProcessorUse;
/// use std::time::Duration;
///
/// let mut processor = ProcessorUse::default();
/// for n in 0..400 {
///     let now = Duration::from_millis(n * 25);
///     processor.observe(now, now / 20, 0.1);
/// }
/// assert!((0.49..0.51).contains(&processor.load()), "half of a tenth of a core");
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessorUse {
    last: Option<(Duration, Duration)>,
    load: f64,
}

impl ProcessorUse {
    /// Records the processor time used since the start; `share` is in cores, zero if unknown.
    pub fn observe(&mut self, now: Duration, used: Duration, share: f64) {
        let Some((then, before)) = self.last.replace((now, used)) else { return };
        let elapsed = now.saturating_sub(then).as_secs_f64();
        if share <= 0.0 || elapsed <= 0.0 {
            return;
        }
        let load = used.saturating_sub(before).as_secs_f64() / elapsed / share;
        let weight = 1.0 - (-elapsed / AVERAGE_TIME.as_secs_f64()).exp();
        self.load += weight * (load - self.load);
    }

    /// Returns how short of processor time this host is, from 0 to 1, by the part in use.
    pub fn shortage(&self) -> f64 {
        let (from, to) = GATHER_RANGE;
        ((self.load - from) / (to - from)).clamp(0.0, 1.0)
    }

    /// Returns the processor time in use, as a fraction of the share; zero if that is unknown.
    pub fn load(&self) -> f64 {
        self.load
    }
}
