//! Which requests a host accepts after it was told to stop, and when it cuts off what still runs.
//!
//! The platform ends the process after a grace period. A request that is cut off by then may have run;
//! one that is refused runs at another host.

use std::time::Duration;

/// Time after shutdown began in which requests are accepted whatever their deadline: the platform stops
/// sending callers after two failed readiness checks, one second apart.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2600);
/// That time is at most this part of the grace period.
const ACCEPT_PART: u32 = 3;
/// Margin before the end of the grace period at which requests still running are cut off: time to close
/// connections and write the last log lines.
const MAX_MARGIN: Duration = Duration::from_millis(700);
/// That margin is at most this part of the grace period.
const MARGIN_PART: u32 = 4;

/// Times of a shutdown.
///
/// # Examples
///
/// ```
/// use portfield::shutdown::ShutdownPlan;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let plan = ShutdownPlan::new(second * 100, second * 8);
/// // The platform still sends callers here.
/// assert!(plan.accepts(second * 101, second * 113));
/// // Later, only what is over in time.
/// assert!(plan.accepts(second * 105, second * 106));
/// assert!(!plan.accepts(second * 105, second * 117));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    accept_until: Duration,
    cutoff: Duration,
}

impl ShutdownPlan {
    /// Plans a shutdown that began at `began` and may take `grace`.
    pub fn new(began: Duration, grace: Duration) -> Self {
        Self {
            accept_until: began + MAX_ACCEPT_TIME.min(grace / ACCEPT_PART),
            cutoff: began + grace - MAX_MARGIN.min(grace / MARGIN_PART),
        }
    }

    /// Returns whether a request with this deadline may be accepted, or sent to an upstream for the first
    /// time.
    pub fn accepts(&self, now: Duration, deadline: Duration) -> bool {
        now <= self.accept_until || deadline <= self.cutoff
    }

    /// Returns until when requests are accepted whatever their deadline.
    pub fn accept_until(&self) -> Duration {
        self.accept_until
    }

    /// Returns when requests still running are cut off.
    pub fn cutoff(&self) -> Duration {
        self.cutoff
    }
}
