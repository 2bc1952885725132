//! Backoff that an upstream asked of this host.
//!
//! A full upstream rejects requests faster than it runs them, so it looks idle and attracts more.
//! The backoff it asks for applies to this host alone; others may go on sending.
//!
//! When the backoff ends the upstream may still be full, and all held back requests would arrive at
//! once. So a single request is sent as a probe, and more only once that was accepted.

use std::time::Duration;

use crate::ids::RunId;

/// Longest backoff: an absurd value must not exclude an upstream for ever.
const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Time after its end for which a backoff is kept if no probe was sent.
const UNTRIED_EXPIRY: Duration = Duration::from_secs(60);

/// One upstream's backoff.
#[derive(Debug, Clone, Default)]
pub(crate) struct Backoff {
    /// End of the backoff; `None` if there is none, or a request was accepted after it.
    until: Option<Duration>,
    /// When the upstream last asked for a backoff.
    asked_at: Duration,
    /// The request sent as a probe after the end, until its outcome is known.
    probe: Option<RunId>,
    /// The end was reported.
    is_reported: bool,
}

impl Backoff {
    /// Starts a backoff; an earlier one is not shortened.
    pub(crate) fn begin(&mut self, now: Duration, time: Duration) {
        if time.is_zero() {
            return;
        }
        self.asked_at = now;
        let end = now + time.min(MAX_BACKOFF);
        if self.until.is_some_and(|it| end <= it) {
            return;
        }
        self.until = Some(end);
        self.is_reported = false;
    }

    /// Returns this backoff for an incarnation of the upstream that started at a time: `None` if it
    /// was asked for before.
    pub(crate) fn for_incarnation(&self, started: Duration) -> Option<Self> {
        let is_its_own = self.until.is_some() && started <= self.asked_at;
        is_its_own.then(|| Self { probe: None, ..self.clone() })
    }

    /// Returns the end of the backoff in effect.
    pub(crate) fn until(&self, now: Duration) -> Option<Duration> {
        self.until.filter(|it| now < *it)
    }

    /// Returns whether no request may be placed there now.
    pub(crate) fn is_closed(&self, now: Duration) -> bool {
        self.until(now).is_some() || self.probe.is_some()
    }

    /// Returns when requests may be placed there again, as far as that is known.
    pub(crate) fn opens_at(&self, now: Duration) -> Duration {
        self.until(now).unwrap_or(Duration::ZERO)
    }

    /// Records that a request is sent; the first one after the end is the probe.
    pub(crate) fn record_sent(&mut self, now: Duration, run: RunId) {
        if self.until.is_some_and(|it| it <= now) {
            self.probe.get_or_insert(run);
        }
    }

    /// Records that the upstream accepted a request.
    pub(crate) fn record_accepted(&mut self, run: RunId) {
        if self.probe == Some(run) {
            *self = Self::default();
        }
    }

    /// Records that a request ended, with any outcome.
    pub(crate) fn record_ended(&mut self, run: RunId) {
        if self.probe == Some(run) {
            self.probe = None;
        }
    }

    /// Returns whether a backoff is recorded, in effect or ended.
    pub(crate) fn is_recorded(&self) -> bool {
        self.until.is_some()
    }

    /// Returns whether the backoff ended since the last call.
    pub(crate) fn take_expired(&mut self, now: Duration) -> bool {
        let is_expired = self.until.is_some_and(|it| it <= now);
        is_expired && !std::mem::replace(&mut self.is_reported, true)
    }

    /// Drops a backoff that ended long ago without a probe.
    pub(crate) fn expire(&mut self, now: Duration) {
        if self.probe.is_none() && self.until.is_some_and(|it| it + UNTRIED_EXPIRY <= now) {
            *self = Self::default();
        }
    }
}
