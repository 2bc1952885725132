//! Gaps between the events of one stream.

use std::time::Duration;

/// Gaps over which a mean is compared with the expected one: a pair, since one gap alone is often
/// late for other reasons.
const N_COMPARED: u64 = 2;
/// Factor from which on such a mean shows that the engine's speed has changed: some engines turn 2.5
/// times slower.
const CHANGE_FACTOR: f64 = 1.5;
/// Gaps over which a mean is reported if the speed has not changed: most of a stream of 30 events, so
/// that the report of a usual speed does not take the place of one of a change.
const N_REPORTED: u64 = 24;
/// Shortest time between two reports of a stream.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after an event from which on the wait for the next one is not the engine's alone: the caller
/// or this host has held the stream up.
const MAX_READ_DELAY: Duration = Duration::from_millis(5);

/// Sum of gaps.
#[derive(Debug, Clone, Copy, Default)]
struct Gaps {
    n: u64,
    total: Duration,
}

impl Gaps {
    fn add(&mut self, n: u64, total: Duration) {
        self.n += n;
        self.total += total;
    }

    fn mean(self) -> Duration {
        self.total.div_f64(self.n.max(1) as f64)
    }
}

/// Measures the gaps between a stream's events, and reports a mean once per second at most: at once
/// if the engine's speed has changed, otherwise after some gaps.
///
/// # Examples
///
/// ```
/// use portfield::upstream::GapMeter;
/// use std::time::Duration;
///
/// let at = |millis| Duration::from_millis(millis);
/// let mut meter = GapMeter::new(Some(at(30)));
/// assert_eq!(meter.record(at(0), at(20), 1), None, "the first event");
/// assert_eq!(meter.record(at(20), at(95), 1), None, "one gap alone");
/// assert_eq!(meter.record(at(95), at(170), 1), Some(at(75)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct GapMeter {
    /// Mean gap of the service, or the one reported last.
    expected: Option<Duration>,
    /// When the last events arrived.
    last: Option<Duration>,
    compared: Gaps,
    gathered: Gaps,
    reported: Option<Duration>,
}

impl GapMeter {
    /// Builds the meter of one stream; `expected` is the mean gap of its service, if that is known.
    pub fn new(expected: Option<Duration>) -> Self {
        Self { expected, ..Self::default() }
    }

    /// Records that `n_events` arrived, for which the relay waited since `waiting`; returns the mean
    /// gap if it is to be reported.
    pub fn record(
        &mut self,
        waiting: Duration,
        arrived: Duration,
        n_events: u64,
    ) -> Option<Duration> {
        let last = self.last.replace(arrived)?;
        if last + MAX_READ_DELAY < waiting || n_events == 0 {
            return None;
        }
        self.compared.add(n_events, arrived.saturating_sub(last));
        if self.compared.n < N_COMPARED {
            return None;
        }
        let compared = std::mem::take(&mut self.compared);
        self.gathered.add(compared.n, compared.total);
        if self.has_reported(arrived) {
            // What is reported later is to show the speed of that moment.
            self.gathered = compared;
            return None;
        }
        if self.has_changed(compared.mean()) {
            return Some(self.report(arrived, compared));
        }
        (N_REPORTED <= self.gathered.n).then(|| self.report(arrived, self.gathered))
    }

    fn report(&mut self, now: Duration, gaps: Gaps) -> Duration {
        let mean = gaps.mean();
        self.gathered = Gaps::default();
        self.expected = Some(mean);
        self.reported = Some(now);
        mean
    }

    /// Returns whether the last report is so recent that there must be no other.
    fn has_reported(&self, now: Duration) -> bool {
        self.reported.is_some_and(|it| now < it + REPORT_INTERVAL)
    }

    fn has_changed(&self, mean: Duration) -> bool {
        let Some(expected) = self.expected else { return false };
        expected.mul_f64(CHANGE_FACTOR) < mean || mean.mul_f64(CHANGE_FACTOR) < expected
    }
}
