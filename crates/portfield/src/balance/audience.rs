//! Whom a host tells what it did, so that nobody's traffic grows with the number of hosts.
//!
//! Few hosts tell each other everything. Where there are more, a host tells those of its own data
//! centre; one of them sums the data centre up for two hosts of each other one, and those pass
//! the sum on to their neighbours.

use std::time::Duration;

use crate::wire;

/// Time between two digests with few hosts; fresher ones gained callers
/// nothing.
const PERIOD: Duration = Duration::from_millis(50);
/// Time that each further listener adds: a host sends and receives some 250 digests a second.
const PERIOD_PER_LISTENER: Duration = Duration::from_millis(4);
/// Silence after which a host is told only now and then.
const SILENT: Duration = Duration::from_secs(5);
/// How many digests a silent host is left out of, for each that it is sent.
const SILENT_EVERY: u64 = 20;
/// The same for a host of another data centre: enough to know that it is there.
const FAR_EVERY: u64 = 10;
/// Silence after which a host no longer counts: above [`FAR_EVERY`] of the longest periods.
const GONE: Duration = Duration::from_secs(10);
/// Periods of silence after which another host sums the data centre up: three lost in a row.
const LEADER_PERIODS: u32 = 4;

/// Another host, as far as this one hears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listener {
    /// Hash of its address.
    pub host: u64,
    /// Hash of its data centre's name, where it said so.
    pub data_centre: Option<u32>,
    /// When it was last heard; zero for never.
    pub heard: Duration,
}

/// The other hosts at one moment.
///
/// # Examples
///
/// ```
/// use portfield::balance::{Audience, Listener};
/// use std::time::Duration;
///
/// let now = Duration::from_secs(30);
/// let listener = |host: u64| Listener {
///     host,
///     data_centre: Some((host % 3) as u32),
///     heard: now,
/// };
/// let few: Vec<_> = (1..9).map(listener).collect();
/// assert!(few.iter().all(|it| Audience::new(now, 0, 12, &few).is_told(it, 1)));
/// let many: Vec<_> = (1..60).map(listener).collect();
/// let audience = Audience::new(now, 0, 12, &many);
/// assert!(audience.is_told(&many[2], 1), "its own data centre");
/// assert!(!audience.is_told(&many[0], 1), "another one");
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Audience {
    now: Duration,
    data_centre: u32,
    is_large: bool,
    period: Duration,
    /// The least hash of the other hosts of this data centre that are heard.
    first: Option<u64>,
}

impl Listener {
    /// Returns whether it has not been heard for so long that its next word is news.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.heard.is_zero() || self.heard + SILENT < now
    }
}

impl Audience {
    /// Looks at the other hosts; `data_centre` is this host's, and up to `direct` others tell each
    /// other everything.
    pub fn new(now: Duration, data_centre: u32, direct: usize, others: &[Listener]) -> Self {
        let is_there = |it: &&Listener| !it.heard.is_zero() && now < it.heard + GONE;
        let is_large = direct < others.iter().filter(is_there).count();
        let is_near = |it: &&Listener| it.data_centre.is_none_or(|it| it == data_centre);
        let n_told = if is_large { others.iter().filter(is_near).count() } else { others.len() };
        let period = PERIOD.max(PERIOD_PER_LISTENER * n_told as u32);
        let fresh = period * LEADER_PERIODS;
        let first = others
            .iter()
            .filter(|it| it.data_centre == Some(data_centre) && now < it.heard + fresh)
            .map(|it| it.host)
            .min();
        Self { now, data_centre, is_large, period, first }
    }

    /// Returns the time between two digests.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Returns whether a host gets this host's digest with that number.
    pub fn is_told(&self, it: &Listener, sequence: u64) -> bool {
        if it.heard + SILENT < self.now {
            return sequence.is_multiple_of(SILENT_EVERY);
        }
        !self.is_large || !self.is_far(it.data_centre) || sequence.is_multiple_of(FAR_EVERY)
    }

    /// Returns whether what a digest tells counts: of few hosts, and of those of this data centre,
    /// their own words; of others their data centre's sum.
    ///
    /// **NOTE:** The sum of this data centre never counts beside its hosts' own words: with one that
    /// came astray a workspace was believed to have had three times what it had.
    pub fn counts(&self, digest: &wire::Digest) -> bool {
        let is_far = self.is_far(Some(digest.data_centre));
        if 0 < digest.n_summed {
            return self.is_large && is_far;
        }
        !self.is_large || !is_far
    }

    /// Returns whether a sum is passed on to a host: one that said that it is a neighbour, and is
    /// there. A host that has just started knows that of nobody.
    pub fn is_passed(&self, it: &Listener) -> bool {
        it.data_centre == Some(self.data_centre) && !it.is_silent(self.now)
    }

    /// Returns whether this host is the one that sums its data centre up.
    pub fn leads(&self, own: u64) -> bool {
        self.is_large && self.first.is_none_or(|it| own < it)
    }

    /// Returns whether a host stands in another data centre and is there.
    pub fn is_delegate(&self, it: &Listener) -> bool {
        self.is_far(it.data_centre) && !it.heard.is_zero() && self.now < it.heard + GONE
    }

    fn is_far(&self, data_centre: Option<u32>) -> bool {
        data_centre.is_some_and(|it| it != self.data_centre)
    }
}
