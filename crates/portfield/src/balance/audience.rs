//! Whom a host tells what it did, so that nobody's traffic grows with the number of hosts.
//!
//! Few hosts tell each other everything. Where there are more, each data centre has a speaker: the
//! hosts tell it and the next in line what they did, it tells all of them at once, and it tells the
//! speakers of the other data centres the sum. Nothing is agreed on: the speaker is the host of least
//! hash among those heard of late, two at a time do no harm, and the next in line takes over once it
//! no longer hears the first.
//!
//! The load that this answers: data centres of dozens of hosts with an eighth of a core each, which spend more on
//! knowing than on requests when each tells its whole data centre.

use std::time::Duration;

use super::balancer::WHOLE_EVERY;
use crate::{digest_scope::DigestScope, wire};

/// Time between two digests with few hosts; fresher ones gained callers
/// nothing.
const PERIOD: Duration = Duration::from_millis(50);
/// Time that each host of a data centre adds where one speaks for it: that one takes and sends some 500
/// datagrams a second each way, a sixth of the smallest host's processor.
const PERIOD_PER_HOST: Duration = Duration::from_millis(2);
/// Silence after which a host is told only now and then.
const SILENT: Duration = Duration::from_secs(5);
/// How many digests a silent host is left out of, for each that it is sent.
const SILENT_EVERY: u64 = 20;
/// Silence after which a host no longer counts: above [`SILENT_EVERY`] of the longest periods.
const GONE: Duration = Duration::from_secs(10);
/// Time from a host's start in which it goes by how many others it knows of, some of them gone.
const STARTING: Duration = Duration::from_secs(2);
/// Periods of silence after which the next host speaks for the data centre: three lost in a row.
const SPEAKER_PERIODS: u32 = 4;
/// Periods in which no host of the data centre is heard, after which this one looks for them all: the
/// next in line has had time to take over.
const LOST_PERIODS: u32 = 8;
/// The same, after which it is alone and speaks for itself.
const ALONE_PERIODS: u32 = 16;
/// How many digests a host that looks for the others leaves them out of, for each that it sends.
const SEARCH_EVERY: u64 = 4;

/// This host among the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Hash of its address.
    pub host: u64,
    /// Hash of its data centre's name.
    pub data_centre: u32,
    /// Up to so many other hosts tell each other everything.
    pub direct: usize,
}

/// Another host, as far as this one hears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listener {
    /// Hash of its address.
    pub host: u64,
    /// Hash of its data centre's name, where that is known.
    pub data_centre: Option<u32>,
    /// When it was last heard, itself or through the speaker; zero for never.
    pub heard: Duration,
}

/// The other hosts at one moment.
///
/// # Examples
///
/// ```
/// use portfield::balance::{Audience, Listener, Place};
/// use std::time::Duration;
///
/// let now = Duration::from_secs(30);
/// let place = Place { host: 30, data_centre: 0, direct: 12 };
/// let listener = |host: u64| Listener {
///     host,
///     data_centre: Some((host % 3) as u32),
///     heard: now,
/// };
/// let few: Vec<_> = (1..9).map(listener).collect();
/// assert!(few.iter().all(|it| Audience::new(now, place, &few, 0).is_told(it, 1)));
/// let many: Vec<_> = (1..60).map(listener).collect();
/// let audience = Audience::new(now, place, &many, 0);
/// let told = many.iter().filter(|it| audience.is_told(it, 1)).map(|it| it.host);
/// assert_eq!(told.collect::<Vec<_>>(), [3, 6], "the speaker, and the next in line");
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Audience {
    now: Duration,
    place: Place,
    is_large: bool,
    period: Duration,
    /// The speaker of this data centre and the next in line, as far as they are known.
    first: Option<u64>,
    second: Option<u64>,
    /// When a host of this data centre was last heard; zero for never.
    newest: Duration,
}

impl Listener {
    /// Returns whether it has not been heard for so long that its next word is news.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.heard.is_zero() || self.heard + SILENT < now
    }

    /// Returns whether it was heard, and so late that it counts.
    pub fn is_there(&self, now: Duration) -> bool {
        !self.heard.is_zero() && now < self.heard + GONE
    }
}

impl Audience {
    /// Looks at the other hosts; `n_far` is how many hosts the sums of other data centres speak for.
    pub fn new(now: Duration, place: Place, others: &[Listener], n_far: usize) -> Self {
        let near = |it: &&Listener| it.data_centre == Some(place.data_centre);
        let n_there = others.iter().filter(|it| it.is_there(now)).count();
        let n_near = others.iter().filter(near).filter(|it| it.is_there(now)).count();
        // A host that has just started has heard nobody: it goes by those that it knows of.
        let has_started = now < STARTING && place.direct < others.len();
        let is_large = place.direct < n_there.max(n_near + n_far) || has_started;
        let period = PERIOD.max(PERIOD_PER_HOST * n_near as u32);
        let newest = others.iter().filter(near).map(|it| it.heard).max().unwrap_or_default();
        // Once no word comes at all, those heard last stay in line until others are found.
        let is_fresh =
            |it: &&Listener| !it.heard.is_zero() && newest <= it.heard + period * SPEAKER_PERIODS;
        let mut line: Vec<u64> =
            others.iter().filter(near).filter(is_fresh).map(|it| it.host).collect();
        line.push(place.host);
        line.sort_unstable();
        let (first, second) = (line.first().copied(), line.get(1).copied());
        Self { now, place, is_large, period, first, second, newest }
    }

    /// Returns whether there are so many hosts that data centres have speakers.
    pub fn is_large(&self) -> bool {
        self.is_large
    }

    /// Returns how much this host's digest of that number tells of what changes seldom.
    ///
    /// In a large data centre everybody hears its speaker, and only that one tells all of it.
    pub fn telling(&self, sequence: u64) -> DigestScope {
        let tells_all = !self.is_large() || self.speaks();
        if tells_all && sequence.is_multiple_of(WHOLE_EVERY) {
            return DigestScope::Full;
        }
        DigestScope::Changes
    }

    /// Returns the time between two digests.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Returns whether a host gets this host's digest with that number.
    pub fn is_told(&self, it: &Listener, sequence: u64) -> bool {
        let now_and_then = sequence.is_multiple_of(SILENT_EVERY);
        if !self.is_large {
            return self.now <= it.heard + SILENT || now_and_then;
        }
        let Some(data_centre) = it.data_centre else {
            return now_and_then || self.is_search(sequence);
        };
        if data_centre != self.place.data_centre {
            return false;
        }
        if self.speaks() && !it.is_silent(self.now) {
            return true;
        }
        let is_in_line = Some(it.host) == self.first || Some(it.host) == self.second;
        is_in_line || self.is_search(sequence) || (self.speaks() && now_and_then)
    }

    /// Returns whether what a digest tells counts: of few hosts, and of those of this data centre,
    /// their own words; of others their data centre's sum.
    ///
    /// **NOTE:** The sum of this data centre never counts beside its hosts' own words: with one that
    /// came astray a workspace was believed to have had three times what it had.
    pub fn counts(&self, digest: &wire::Digest) -> bool {
        let is_far = digest.data_centre != self.place.data_centre;
        if 0 < digest.n_summed {
            return self.is_large && is_far;
        }
        !self.is_large || !is_far
    }

    /// Returns whether this host speaks for its data centre: tells its hosts what they all did, and
    /// the other data centres the sum.
    pub fn speaks(&self) -> bool {
        let is_alone = self.newest + self.period * ALONE_PERIODS <= self.now;
        self.is_large && (self.first == Some(self.place.host) || is_alone)
    }

    /// Returns the hash of the host that speaks for this data centre, `None` where this one does or
    /// each tells all.
    pub fn speaker(&self) -> Option<u64> {
        self.first.filter(|_| self.is_large && !self.speaks())
    }

    /// Returns whether a host that stands in another data centre may be sent this one's sum.
    pub fn is_far(&self, it: &Listener) -> bool {
        it.data_centre.is_some_and(|it| it != self.place.data_centre)
    }

    /// Returns whether the digest with that number goes to all hosts that may be near: none of this
    /// data centre is heard.
    fn is_search(&self, sequence: u64) -> bool {
        let is_lost = self.newest + self.period * LOST_PERIODS <= self.now || self.newest.is_zero();
        is_lost && sequence.is_multiple_of(SEARCH_EVERY)
    }
}
