//! Overload detection and load shedding of this host, from how late its timers fire.

use std::{collections::HashMap, time::Duration};

use super::shares::max_min_share;
use crate::decaying_sum::DecayingSum;

/// Weight of a new observation; at one per 25 ms it averages over about a tenth of a second.
const SMOOTHING: f64 = 0.25;
/// Lateness in milliseconds above which the host is overloaded: far above that of a sound host,
/// below what callers of a stream notice.
const OVERLOAD_LATENESS: f64 = 15.0;
/// Lateness in milliseconds below which the host is calm.
const CALM_LATENESS: f64 = 5.0;
/// Time for which it has to be calm before overload ends: callers that left need some seconds to
/// come back.
const RECOVERY_TIME: Duration = Duration::from_millis(1500);
/// Fraction of the peak load under overload below which a calm host has headroom for callers again.
const RECOVERY_LOAD: f64 = 0.5;
/// Time after which the overload of a calm host ends at any load: its usual load may be above that
/// fraction of the peak.
const MAX_OVERLOAD: Duration = Duration::from_secs(10);
/// Lateness in milliseconds at which requests begin to be refused, and at which nearly all are: a
/// request refused at once is served by another host.
const SHED_RANGE: (f64, f64) = (5.0, 30.0);
/// Lateness in milliseconds from which on events are gathered, and at which as many as possible are:
/// below the one at which requests are refused, since gathering costs callers less.
const GATHER_RANGE: (f64, f64) = (2.0, 6.0);
/// Largest fraction of requests refused.
const MAX_SHED: f64 = 0.95;
/// Period of the platform's readiness probe.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Failed probes in a row after which the platform opens new connections elsewhere.
const MAX_FAILED_PROBES: u32 = 2;
/// Shortest and longest time after which a refused caller retries, when another host, or this one
/// soon, has capacity. Retries are spread because a flood is refused all at once.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Detects overload of this host and decides which requests to shed.
///
/// # Examples
///
/// ```
/// use portfield::balance::LoadShedder;
/// use std::time::Duration;
///
/// let mut shedder = LoadShedder::default();
/// for n in 0..100 {
///     shedder.observe(Duration::from_millis(n * 125), Duration::from_millis(100));
/// }
/// assert!(shedder.is_overloaded());
/// let now = Duration::from_secs(13);
/// (0..100).for_each(|_| drop(shedder.shed(now, 1, 10.0, 0.5)));
/// assert!(shedder.shed(now, 1, 10.0, 0.5).is_some(), "sends nearly all requests");
/// assert!(shedder.shed(now, 2, 10.0, 0.5).is_none(), "sends few requests");
/// ```
#[derive(Debug, Clone, Default)]
pub struct LoadShedder {
    /// Moving average of the timers' lateness, in milliseconds.
    lateness: f64,
    /// When overload began; `None` without overload.
    overloaded_since: Option<Duration>,
    /// Work admitted recently, in messages.
    admitted: DecayingSum,
    /// Work refused recently, in messages.
    refused: DecayingSum,
    /// Most work admitted during overload by a flood, in messages; zero if there is none.
    peak_admitted: f64,
    /// Failed readiness probes in a row.
    n_failed_probes: u32,
    /// When the host was last not calm.
    last_late: Duration,
    /// Work that each workspace offered to this host recently, in messages.
    offered: HashMap<u32, DecayingSum>,
}

/// Why a request was shed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Overload {
    /// Work that its workspace offered to this host recently, in messages.
    pub offered: f64,
    /// The most that a workspace gets of this host's capacity, in messages.
    pub limit: f64,
    /// Average lateness, in milliseconds.
    pub lateness: f64,
}

/// How a request was answered, as far as it concerns load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// Answered in any way other than [`Self::Refused`].
    Served,
    /// Refused because this host is overloaded.
    Refused,
}

impl LoadShedder {
    /// Records how late a timer fired.
    pub fn observe(&mut self, now: Duration, lateness: Duration) {
        let lateness = lateness.as_secs_f64() * 1000.0;
        self.lateness += SMOOTHING * (lateness - self.lateness);
        if CALM_LATENESS < self.lateness {
            self.last_late = now;
        }
        if OVERLOAD_LATENESS < self.lateness {
            self.overloaded_since.get_or_insert(now);
        } else if self.last_late + RECOVERY_TIME < now && self.has_headroom(now) {
            self.overloaded_since = None;
            self.peak_admitted = 0.0;
        }
        let admitted = self.admitted.value(now);
        // A host that was late only for a moment refuses less than it admits, and is not flooded.
        if self.is_overloaded() && (0.0 < self.peak_admitted || admitted < self.refused.value(now))
        {
            self.peak_admitted = self.peak_admitted.max(admitted);
        }
    }

    /// Returns whether little is left of the flood that caused the overload.
    ///
    /// A calm host may be one that its open connections just fill. New callers would overload it
    /// again at once, and the platform needs two probes to send them elsewhere.
    fn has_headroom(&self, now: Duration) -> bool {
        let is_too_long = self.overloaded_since.is_none_or(|it| it + MAX_OVERLOAD < now);
        is_too_long
            || self.admitted.value(now) <= self.peak_admitted * RECOVERY_LOAD
            || self.peak_admitted == 0.0
    }

    /// Returns whether this host is overloaded, so that callers are better served elsewhere.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded_since.is_some()
    }

    /// Records the result of a readiness probe by the platform.
    pub fn record_probe(&mut self, is_ready: bool) {
        self.n_failed_probes = if is_ready { 0 } else { self.n_failed_probes + 1 };
    }

    /// Returns whether the connection is to be closed after an answer to shed load.
    ///
    /// A served request shows that this host can serve its connection; closing those too would cost
    /// it its callers while it is out of rotation. A connection on which requests are refused only
    /// brings the flood back: refusals are the fastest answers, and callers reuse the most recent
    /// connection first.
    pub fn closes_connection(&self, answer: AnswerKind) -> bool {
        answer == AnswerKind::Refused
    }

    /// Returns the time after which a caller refused by overload is to retry; `random` is uniform
    /// in 0..1.
    ///
    /// It retries on a new connection, which during a flood the platform then opens elsewhere.
    pub fn retry_after(&self, random: f64) -> Duration {
        let spread = RETRY_BOUNDS.0 + (RETRY_BOUNDS.1 - RETRY_BOUNDS.0).mul_f64(random);
        if !self.is_overloaded() {
            return spread;
        }
        PROBE_PERIOD * MAX_FAILED_PROBES.saturating_sub(self.n_failed_probes) + spread
    }

    /// Returns the average lateness, in milliseconds.
    pub fn lateness(&self) -> f64 {
        self.lateness
    }

    /// Returns the load of this host by its lateness, as a fraction of what it can bear.
    pub fn load(&self) -> f64 {
        self.lateness / OVERLOAD_LATENESS
    }

    /// Returns the workspace that offered most work recently.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::LoadShedder;
    /// use std::time::Duration;
    ///
    /// let mut shedder = LoadShedder::default();
    /// let now = Duration::from_secs(1);
    /// assert_eq!(shedder.largest_workspace(now), None);
    /// assert!(shedder.shed(now, 1, 2.0, 0.5).is_none());
    /// assert!(shedder.shed(now, 2, 40.0, 0.5).is_none());
    /// assert_eq!(shedder.largest_workspace(now), Some(2));
    /// ```
    pub fn largest_workspace(&self, now: Duration) -> Option<u32> {
        let offered = |it: &DecayingSum| it.value(now);
        let largest = self.offered.iter().max_by(|a, b| offered(a.1).total_cmp(&offered(b.1)));
        largest.map(|it| *it.0)
    }

    /// Returns how short of processor time this host is, from 0 to 1, by its lateness.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::LoadShedder;
    /// use std::time::Duration;
    ///
    /// let mut shedder = LoadShedder::default();
    /// assert_eq!(shedder.shortage(), 0.0);
    /// (0..40).for_each(|n| shedder.observe(Duration::from_millis(n * 45), Duration::from_millis(20)));
    /// assert_eq!(shedder.shortage(), 1.0);
    /// ```
    pub fn shortage(&self) -> f64 {
        let (from, to) = GATHER_RANGE;
        ((self.lateness - from) / (to - from)).clamp(0.0, 1.0)
    }

    /// Records a new request; returns why it is to be refused, or `None` to admit it. This host's
    /// capacity is divided by max-min fairness, so that a flood of one workspace costs no other
    /// capacity.
    ///
    /// `work` is the request's cost to this host, in messages to forward; `random` is uniform in
    /// 0..1.
    pub fn shed(
        &mut self,
        now: Duration,
        workspace: u32,
        work: f64,
        random: f64,
    ) -> Option<Overload> {
        let flow = self.offered.entry(workspace).or_default();
        flow.add(now, work);
        let offered = flow.value(now);
        let overload = self.check_share(now, offered, random);
        let flow = if overload.is_some() { &mut self.refused } else { &mut self.admitted };
        flow.add(now, work);
        overload
    }

    /// Returns why a request is refused, or `None` to admit it; `offered` is the work that its
    /// workspace recently offered, in messages.
    fn check_share(&self, now: Duration, offered: f64, random: f64) -> Option<Overload> {
        let shed_ratio = (self.lateness - SHED_RANGE.0) / (SHED_RANGE.1 - SHED_RANGE.0);
        if shed_ratio <= 0.0 {
            return None;
        }
        let demands: Vec<f64> = self.offered.values().map(|it| it.value(now)).collect();
        let capacity = demands.iter().sum::<f64>() * (1.0 - shed_ratio.min(MAX_SHED));
        let limit = max_min_share(demands, capacity)?;
        (random < 1.0 - limit / offered).then_some(Overload {
            offered,
            limit,
            lateness: self.lateness,
        })
    }
}
