//! Whether this host itself keeps up, by how late its own timers fire.

use std::{collections::HashMap, time::Duration};

use super::{flow::Flow, shares::max_min};

/// Weight of one more observation; with one each 25 ms it remembers about a tenth of a second.
const SMOOTH: f64 = 0.25;
/// Lateness above which callers are sent elsewhere, as a part of the time that an event may take through
/// this host before its stream counts as late. A sound host is late by less than one millisecond.
const BUSY: f64 = 0.2;
/// The same, below which it takes callers again.
const CALM: f64 = 1.0 / 15.0;
/// Time for which it has to be that calm: callers that left need some seconds to come back.
const CALM_TIME: Duration = Duration::from_millis(1500);
/// The same, above which requests are refused, and at which nearly all are: a request that is refused at
/// once may be served elsewhere, one that is late here earns a tenth. Of an average lateness of two
/// fifths of that time, one event in ten comes too late.
const REFUSING: (f64, f64) = (1.0 / 15.0, 0.4);
/// That time, where nothing says what it is.
const EVENT_DELAY: Duration = Duration::from_millis(75);
/// Largest part of the requests that is refused.
const MOST: f64 = 0.95;

/// The host's own load.
///
/// # Examples
///
/// ```
/// use portfield::balance::Governor;
/// use std::time::Duration;
///
/// let mut governor = Governor::default();
/// for n in 0..100 {
///     governor.observe(Duration::from_millis(n * 125), Duration::from_millis(100));
/// }
/// assert!(governor.is_busy());
/// let now = Duration::from_secs(13);
/// (0..100).for_each(|_| drop(governor.refuses(now, 1, 10.0, 0.5)));
/// assert!(governor.refuses(now, 1, 10.0, 0.5).is_some(), "who sends nearly all");
/// assert!(governor.refuses(now, 2, 10.0, 0.5).is_none(), "who sends little");
/// ```
#[derive(Debug, Clone)]
pub struct Governor {
    /// Time that an event may take through this host, in milliseconds.
    delay: f64,
    /// Average lateness, in milliseconds.
    late: f64,
    is_busy: bool,
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
    pub level: f64,
    /// Average lateness, in milliseconds.
    pub late: f64,
}

impl Default for Governor {
    fn default() -> Self {
        Self::new(EVENT_DELAY)
    }
}

impl Governor {
    /// Builds a governor; `delay` is the time that an event may take through this host before its
    /// stream counts as late.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay: delay.as_secs_f64() * 1000.0,
            late: 0.0,
            is_busy: false,
            last_late: Duration::ZERO,
            offered: HashMap::new(),
        }
    }

    /// Notes by how much a timer fired late.
    pub fn observe(&mut self, now: Duration, late: Duration) {
        let late = late.as_secs_f64() * 1000.0;
        self.late += SMOOTH * (late - self.late);
        if CALM * self.delay < self.late {
            self.last_late = now;
        }
        if BUSY * self.delay < self.late {
            self.is_busy = true;
        } else if self.last_late + CALM_TIME < now {
            self.is_busy = false;
        }
    }

    /// Returns whether callers are better served elsewhere.
    pub fn is_busy(&self) -> bool {
        self.is_busy
    }

    /// Returns the average lateness, in milliseconds.
    pub fn late(&self) -> f64 {
        self.late
    }

    /// Notes a new request and returns why it is refused, `None` if it is not: what this host can
    /// do is shared out by max-min, so that one workspace's flood takes from no other.
    ///
    /// `work` is what the request costs this host, in messages to pass on; `draw` is uniform
    /// from zero to one.
    pub fn refuses(
        &mut self,
        now: Duration,
        workspace: u32,
        work: f64,
        draw: f64,
    ) -> Option<Overload> {
        let own = self.offered.entry(workspace).or_default();
        own.add(now, work);
        let own = own.sum(now);
        let (from, to) = (REFUSING.0 * self.delay, REFUSING.1 * self.delay);
        let part = (self.late - from) / (to - from);
        if part <= 0.0 {
            return None;
        }
        let offered: Vec<f64> = self.offered.values().map(|it| it.sum(now)).collect();
        let left = offered.iter().sum::<f64>() * (1.0 - part.min(MOST));
        let level = max_min(offered, left)?;
        (draw < 1.0 - level / own).then_some(Overload { offered: own, level, late: self.late })
    }
}
