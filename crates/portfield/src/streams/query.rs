//! What a host learns from the others that it asks where a stream began.

use std::time::Duration;

use super::StreamOrigin;
use crate::catalog::VersionHash;

/// Time for which a host waits for the answers of others before it refuses to resume a stream.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// The same if the service had a single version, so that the others most likely know nothing else. It
/// covers a version that appeared at another host a moment ago.
const MAX_CONFIRMATION: Duration = Duration::from_millis(50);
/// Shortest time before a stream counts as unknown: hosts of other data centres pass the question on.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Shortest and longest time until the outcome is read again.
const MIN_CHECK: Duration = Duration::from_millis(1);
const MAX_CHECK: Duration = Duration::from_millis(50);

/// Answer of another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginAnswer {
    /// The stream began here.
    Origin(StreamOrigin),
    /// Several streams with different origins have its key.
    Conflicting,
    /// The stream is not known there, but its service had this version only.
    OnlyVersion(VersionHash),
    /// Nothing is known.
    Unknown,
}

/// What the answers say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryOutcome {
    /// Further answers may come.
    Pending,
    /// The stream began here.
    Origin(StreamOrigin),
    /// The service had this version only.
    OnlyVersion(VersionHash),
    /// It is not known where the stream began.
    Unknown,
}

/// A question to other hosts: where a stream began.
///
/// # Examples
///
/// ```
/// use portfield::streams::{OriginAnswer, OriginQuery, QueryOutcome, StreamOrigin};
/// use std::time::Duration;
///
/// let millis = Duration::from_millis;
/// let mut query = OriginQuery::new(millis(0), vec![21, 22], None);
/// query.record(21, OriginAnswer::Unknown);
/// assert_eq!(query.outcome(millis(1)), QueryOutcome::Pending);
/// let origin = StreamOrigin { service: 1, version: 10 };
/// assert_eq!(query.n_unanswered(), 1);
/// query.record(22, OriginAnswer::Origin(origin));
/// assert_eq!(query.outcome(millis(2)), QueryOutcome::Origin(origin));
/// ```
#[derive(Debug, Clone)]
pub struct OriginQuery {
    asked_at: Duration,
    /// Hosts that were asked and have not answered.
    unanswered: Vec<u64>,
    /// The only version of the service, as far as this host knows.
    own: Option<VersionHash>,
    /// The same, as another host knows it.
    reported: Option<VersionHash>,
    origin: Option<StreamOrigin>,
    is_conflicting: bool,
}

impl OriginQuery {
    /// Asks hosts, by the hashes of their addresses; `own` is the only version of the service, as far as this
    /// host knows.
    pub fn new(now: Duration, asked: Vec<u64>, own: Option<VersionHash>) -> Self {
        Self {
            asked_at: now,
            unanswered: asked,
            own,
            reported: None,
            origin: None,
            is_conflicting: false,
        }
    }

    /// Records the answer of a host, which may be one that was asked by another one.
    pub fn record(&mut self, from: u64, answer: OriginAnswer) {
        self.unanswered.retain(|it| *it != from);
        match answer {
            OriginAnswer::Origin(it) => {
                self.is_conflicting |= self.origin.is_some_and(|origin| origin != it);
                self.origin = Some(it);
            }
            OriginAnswer::Conflicting => self.is_conflicting = true,
            OriginAnswer::OnlyVersion(it) => {
                self.is_conflicting |= self.reported.is_some_and(|version| version != it);
                self.reported = Some(it);
            }
            OriginAnswer::Unknown => {}
        }
    }

    /// Returns what the answers say by now.
    pub fn outcome(&self, now: Duration) -> QueryOutcome {
        if self.is_conflicting {
            return QueryOutcome::Unknown;
        }
        if let Some(it) = self.origin {
            return QueryOutcome::Origin(it);
        }
        if now < self.asked_at + self.wait_time() {
            return QueryOutcome::Pending;
        }
        match (self.own, self.reported) {
            (Some(own), Some(reported)) if own != reported => QueryOutcome::Unknown,
            (Some(it), _) | (None, Some(it)) => QueryOutcome::OnlyVersion(it),
            (None, None) => QueryOutcome::Unknown,
        }
    }

    /// Returns how many hosts that were asked have not answered.
    pub fn n_unanswered(&self) -> usize {
        self.unanswered.len()
    }

    /// Returns the time after which the outcome is to be read again, if no answer arrives before.
    pub fn next_check(&self, now: Duration) -> Duration {
        (self.asked_at + self.wait_time()).saturating_sub(now).clamp(MIN_CHECK, MAX_CHECK)
    }

    fn wait_time(&self) -> Duration {
        match (self.own, self.unanswered.is_empty()) {
            (Some(_), true) => Duration::ZERO,
            (Some(_), false) => MAX_CONFIRMATION,
            (None, true) => MIN_WAIT,
            (None, false) => MAX_WAIT,
        }
    }
}
