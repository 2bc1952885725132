//! Whether this host itself keeps up, by how late its own timers fire.

use std::{collections::HashMap, time::Duration};

use super::{flow::Flow, shares::max_min};

/// Weight of one more observation; with one each 25 ms it remembers about a tenth of a second.
const SMOOTH: f64 = 0.25;
/// Lateness above which callers are sent elsewhere: far above that of a sound host, below what callers of a stream
/// notice.
const BUSY: f64 = 15.0;
/// Lateness below which it takes callers again.
const CALM: f64 = 5.0;
/// Time for which it has to be that calm: callers that left need some seconds to come back.
const CALM_TIME: Duration = Duration::from_millis(1500);
/// Part of the most that it bore while it was behind, below which a calm host has room for callers again.
const ROOM: f64 = 0.5;
/// Time after which a calm host takes callers again whatever it bears: its usual load may be more than that part.
const LONGEST_BUSY: Duration = Duration::from_secs(10);
/// Lateness above which requests are refused, and the one at which nearly all are: a request that is refused at once
/// is served elsewhere.
const REFUSING: (f64, f64) = (5.0, 30.0);
/// Largest part of the requests that is refused.
const MOST: f64 = 0.95;
/// Time between two questions of the platform whether callers may be sent here.
const QUESTION_PERIOD: Duration = Duration::from_secs(1);
/// Questions in a row that are answered with no, after which it opens new connections elsewhere.
const N_QUESTIONS: u32 = 2;
/// Shortest and longest time after which a caller comes back that is refused, where another host, or this one soon, has
/// time for it. They are spread, for those of one flood are refused together.
const RETRY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

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
    busy_since: Option<Duration>,
    /// Work that was admitted of late, in messages.
    admitted: Flow,
    /// Work that was refused of late, in messages.
    refused: Flow,
    /// The most that was admitted while this host is busy with a flood, in messages; zero where there is none.
    most_admitted: f64,
    /// Questions in a row of the platform that were answered with no.
    n_not_ready: u32,
    /// When it was last late.
    last_late: Duration,
    /// Work that each workspace offered to this host of late.
    offered: HashMap<u32, Flow>,
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
    pub fn observe(&mut self, now: Duration, late: Duration) {
        let late = late.as_secs_f64() * 1000.0;
        self.lateness += SMOOTH * (late - self.lateness);
        if CALM < self.lateness {
            self.last_late = now;
        }
        if BUSY < self.lateness {
            self.busy_since.get_or_insert(now);
        } else if self.last_late + CALM_TIME < now && self.has_room(now) {
            self.busy_since = None;
            self.most_admitted = 0.0;
        }
        let admitted = self.admitted.sum(now);
        // Who was late for a moment refuses less than it admits, and has room at its usual load.
        if self.is_overloaded() && (0.0 < self.most_admitted || admitted < self.refused.sum(now)) {
            self.most_admitted = self.most_admitted.max(admitted);
        }
    }

    /// Returns whether little is left of the flood under which this host fell behind.
    ///
    /// A calm host may be one that its open connections just fill: with callers sent there again it falls behind at
    /// once, and the platform needs two questions to send them elsewhere again.
    fn has_room(&self, now: Duration) -> bool {
        let is_long = self.busy_since.is_none_or(|it| it + LONGEST_BUSY < now);
        is_long || self.admitted.sum(now) <= self.most_admitted * ROOM || self.most_admitted == 0.0
    }

    /// Returns whether callers are better served elsewhere.
    pub fn is_overloaded(&self) -> bool {
        self.busy_since.is_some()
    }

    /// Notes that the platform asked whether callers may be sent here, and what it was told.
    pub fn record_probe(&mut self, is_ready: bool) {
        self.n_not_ready = if is_ready { 0 } else { self.n_not_ready + 1 };
    }

    /// Returns whether the connection is closed after an answer, for this host's load.
    ///
    /// What was served says that this host can bear its connection; with those closed too, it loses its callers while it
    /// is out of rotation. A connection on which it refuses only brings the flood back: nothing is answered sooner than
    /// a refusal, and callers use the connection first that was answered last.
    pub fn closes_connection(&self, answered: AnswerKind) -> bool {
        answered == AnswerKind::Refused
    }

    /// Returns when a caller that is refused for want of processor time is to come back; `draw` is uniform from zero
    /// to one.
    ///
    /// It comes on a new connection. Where many are refused, that is when the platform opens them elsewhere.
    pub fn retry_after(&self, draw: f64) -> Duration {
        let spread = RETRY.0 + (RETRY.1 - RETRY.0).mul_f64(draw);
        if !self.is_overloaded() {
            return spread;
        }
        QUESTION_PERIOD * N_QUESTIONS.saturating_sub(self.n_not_ready) + spread
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
        draw: f64,
    ) -> Option<Overload> {
        let own = self.offered.entry(workspace).or_default();
        own.add(now, work);
        let own = own.sum(now);
        let refused = self.share_out(now, own, draw);
        let flow = if refused.is_some() { &mut self.refused } else { &mut self.admitted };
        flow.add(now, work);
        refused
    }

    /// Returns why a request is refused whose workspace offered `own` of late.
    fn share_out(&self, now: Duration, own: f64, draw: f64) -> Option<Overload> {
        let part = (self.lateness - REFUSING.0) / (REFUSING.1 - REFUSING.0);
        if part <= 0.0 {
            return None;
        }
        let offered: Vec<f64> = self.offered.values().map(|it| it.sum(now)).collect();
        let left = offered.iter().sum::<f64>() * (1.0 - part.min(MOST));
        let level = max_min(offered, left)?;
        (draw < 1.0 - level / own).then_some(Overload {
            offered: own,
            limit: level,
            lateness: self.lateness,
        })
    }
}
