//! Whether this host itself keeps up, by how late its own timers fire.

use std::{collections::HashMap, time::Duration};

use super::{decaying_sum::DecayingSum, shares::max_min_share};

/// Weight of one more observation; with one each 25 ms it remembers about a tenth of a second.
const SMOOTHING: f64 = 0.25;
/// Lateness above which callers are sent elsewhere: far above that of a sound host, below what callers of a stream
/// notice.
const OVERLOAD_LATENESS: f64 = 15.0;
/// Lateness below which it takes callers again.
const CALM_LATENESS: f64 = 5.0;
/// Time for which it has to be that calm: callers that left need some seconds to come back.
const RECOVERY_TIME: Duration = Duration::from_millis(1500);
/// Part of the most that it bore while it was behind, below which a calm host has room for callers again.
const RECOVERY_LOAD: f64 = 0.5;
/// Time after which a calm host takes callers again whatever it bears: its usual load may be more than that part.
const MAX_OVERLOAD: Duration = Duration::from_secs(10);
/// Lateness above which requests are refused, and the one at which nearly all are: a request that is refused at once
/// is served elsewhere.
const SHED_RANGE: (f64, f64) = (5.0, 30.0);
/// Largest part of the requests that is refused.
const MAX_SHED: f64 = 0.95;
/// Time between two questions of the platform whether callers may be sent here.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Questions in a row that are answered with no, after which it opens new connections elsewhere.
const MAX_FAILED_PROBES: u32 = 2;
/// Shortest and longest time after which a caller comes back that is refused, where another host, or this one soon, has
/// time for it. They are spread, for those of one flood are refused together.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// The host's own load.
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
/// assert!(shedder.shed(now, 1, 10.0, 0.5).is_some(), "who sends nearly all");
/// assert!(shedder.shed(now, 2, 10.0, 0.5).is_none(), "who sends little");
/// ```
#[derive(Debug, Clone, Default)]
pub struct LoadShedder {
    /// Average lateness, in milliseconds.
    lateness: f64,
    /// Since when callers are better served elsewhere, if they are.
    overloaded_since: Option<Duration>,
    /// Work that was admitted of late, in messages.
    admitted: DecayingSum,
    /// Work that was refused of late, in messages.
    refused: DecayingSum,
    /// The most that was admitted while this host is busy with a flood, in messages; zero where there is none.
    peak_admitted: f64,
    /// Questions in a row of the platform that were answered with no.
    n_failed_probes: u32,
    /// When it was last late.
    last_late: Duration,
    /// Work that each workspace offered to this host of late.
    offered: HashMap<u32, DecayingSum>,
}

/// What a refusal of the governor comes from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Overload {
    /// Work that the workspace offered to this host of late, in messages.
    pub offered: f64,
    /// The most that a workspace gets of what this host can do, in messages.
    pub limit: f64,
    /// Average lateness, in milliseconds.
    pub lateness: f64,
}

/// How a request was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// In whatever way, but for the host's own load.
    Served,
    /// This host has no processor time for it.
    Refused,
}

impl LoadShedder {
    /// Notes by how much a timer fired late.
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
        // Who was late for a moment refuses less than it admits, and has room at its usual load.
        if self.is_overloaded() && (0.0 < self.peak_admitted || admitted < self.refused.value(now))
        {
            self.peak_admitted = self.peak_admitted.max(admitted);
        }
    }

    /// Returns whether little is left of the flood under which this host fell behind.
    ///
    /// A calm host may be one that its open connections just fill: with callers sent there again it falls behind at
    /// once, and the platform needs two questions to send them elsewhere again.
    fn has_headroom(&self, now: Duration) -> bool {
        let is_too_long = self.overloaded_since.is_none_or(|it| it + MAX_OVERLOAD < now);
        is_too_long
            || self.admitted.value(now) <= self.peak_admitted * RECOVERY_LOAD
            || self.peak_admitted == 0.0
    }

    /// Returns whether callers are better served elsewhere.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded_since.is_some()
    }

    /// Notes that the platform asked whether callers may be sent here, and what it was told.
    pub fn record_probe(&mut self, is_ready: bool) {
        self.n_failed_probes = if is_ready { 0 } else { self.n_failed_probes + 1 };
    }

    /// Returns whether the connection is closed after an answer, for this host's load.
    ///
    /// What was served says that this host can bear its connection; with those closed too, it loses its callers while it
    /// is out of rotation. A connection on which it refuses only brings the flood back: nothing is answered sooner than
    /// a refusal, and callers use the connection first that was answered last.
    pub fn closes_connection(&self, answer: AnswerKind) -> bool {
        answer == AnswerKind::Refused
    }

    /// Returns when a caller that is refused for want of processor time is to come back; `draw` is uniform from zero
    /// to one.
    ///
    /// It comes on a new connection. Where many are refused, that is when the platform opens them elsewhere.
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

    /// Notes a new request and returns why it is refused, `None` if it is not: what this host can
    /// do is shared out by max-min, so that one workspace's flood takes from no other.
    ///
    /// `work` is what the request costs this host, in messages to pass on; `draw` is uniform
    /// from zero to one.
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

    /// Returns why a request is refused whose workspace offered `own` of late.
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
