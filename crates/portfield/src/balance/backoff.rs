//! Upstreams that asked this host to send them nothing for a while.
//!
//! The load that this answers: an upstream that is full turns requests away faster than it runs them, so that it looks idle
//! and draws more. What it asks for is asked of this host alone: others may go on sending.
//!
//! When the time is over the upstream may still be full, and all that was held back would come at once. So one request goes
//! there, and more only once that one was taken.

use std::time::Duration;

use super::balancer::RunId;

/// Longest time granted: a value that nobody can mean takes no upstream away for ever.
const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Time after its end for which one is remembered that no request has tried.
const UNTRIED_EXPIRY: Duration = Duration::from_secs(60);

/// What one upstream asked for.
#[derive(Debug, Clone, Default)]
pub(crate) struct Backoff {
    /// When the time is over; `None` where there is none, or a request was taken since.
    until: Option<Duration>,
    /// The one request that was sent since the time was over, while it is not known to be taken.
    probe: Option<RunId>,
    /// That the time is over was told.
    is_reported: bool,
}

impl Backoff {
    /// Notes that the upstream asks for so much time; what it asked for before is not shortened.
    pub(crate) fn begin(&mut self, now: Duration, time: Duration) {
        let end = now + time.min(MAX_BACKOFF);
        if time.is_zero() || self.until.is_some_and(|it| end <= it) {
            return;
        }
        self.until = Some(end);
        self.is_reported = false;
    }

    /// Returns when the time is over that runs at this moment.
    pub(crate) fn until(&self, now: Duration) -> Option<Duration> {
        self.until.filter(|it| now < *it)
    }

    /// Returns whether nothing is to be placed there now.
    pub(crate) fn is_closed(&self, now: Duration) -> bool {
        self.until(now).is_some() || self.probe.is_some()
    }

    /// Returns when something may be placed there, as far as that is known.
    pub(crate) fn opens_at(&self, now: Duration) -> Duration {
        self.until(now).unwrap_or(Duration::ZERO)
    }

    /// Notes that a request is sent.
    pub(crate) fn record_sent(&mut self, now: Duration, run: RunId) {
        if self.until.is_some_and(|it| it <= now) {
            self.probe.get_or_insert(run);
        }
    }

    /// Notes that the upstream took a request.
    pub(crate) fn record_accepted(&mut self, run: RunId) {
        if self.probe == Some(run) {
            *self = Self::default();
        }
    }

    /// Notes that a request ended, whatever became of it.
    pub(crate) fn record_ended(&mut self, run: RunId) {
        if self.probe == Some(run) {
            self.probe = None;
        }
    }

    /// Returns whether something is known of the upstream.
    pub(crate) fn is_recorded(&self) -> bool {
        self.until.is_some()
    }

    /// Returns whether its time is over since the last call.
    pub(crate) fn take_expired(&mut self, now: Duration) -> bool {
        let is_expired = self.until.is_some_and(|it| it <= now);
        is_expired && !std::mem::replace(&mut self.is_reported, true)
    }

    /// Forgets what no request has tried for long.
    pub(crate) fn expire(&mut self, now: Duration) {
        if self.probe.is_none() && self.until.is_some_and(|it| it + UNTRIED_EXPIRY <= now) {
            *self = Self::default();
        }
    }
}
