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

use super::balancer::FULL_DIGEST_EVERY;
use crate::{digest_scope::DigestScope, wire};

/// Time between two digests with few hosts; fresher ones gained callers
/// nothing.
const PERIOD: Duration = Duration::from_millis(50);
/// Time that each host of a data centre adds where one speaks for it: that one takes and sends some 500
/// datagrams a second each way, a sixth of the smallest host's processor.
const PERIOD_PER_HOST: Duration = Duration::from_millis(2);
/// Silence after which a host is told only now and then.
const SILENT_AFTER: Duration = Duration::from_secs(5);
/// How many digests a silent host is left out of, for each that it is sent.
const SILENT_EVERY: u64 = 20;
/// Silence after which a host no longer counts: above [`SILENT_EVERY`] of the longest periods.
const DEAD_AFTER: Duration = Duration::from_secs(10);
/// Time from a host's start in which it goes by how many others it knows of, some of them gone.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Periods of silence after which the next host speaks for the data centre: three lost in a row.
const LEADER_PERIODS: u32 = 4;
/// Periods in which no host of the data centre is heard, after which this one looks for them all: the
/// next in line has had time to take over.
const ISOLATED_PERIODS: u32 = 8;
/// The same, after which it is alone and speaks for itself.
const ALONE_PERIODS: u32 = 16;
/// How many digests a host that looks for the others leaves them out of, for each that it sends.
const DISCOVERY_EVERY: u64 = 4;

/// This host among the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipConfig {
    /// Hash of its address.
    pub host: u64,
    /// Hash of its data centre's name.
    pub data_centre: u32,
    /// Up to so many other hosts tell each other everything.
    pub direct_limit: usize,
}

/// Another host, as far as this one hears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemoteHost {
    /// Hash of its address.
    pub host: u64,
    /// Hash of its data centre's name, where that is known.
    pub data_centre: Option<u32>,
    /// When it was last heard, itself or through the speaker; zero for never.
    pub last_heard: Duration,
}

/// The other hosts at one moment.
///
/// # Examples
///
/// ```
/// use portfield::balance::{GossipTopology, RemoteHost, GossipConfig};
/// use std::time::Duration;
///
/// let now = Duration::from_secs(30);
/// let config = GossipConfig { host: 30, data_centre: 0, direct_limit: 12 };
/// let remote = |host: u64| RemoteHost {
///     host,
///     data_centre: Some((host % 3) as u32),
///     last_heard: now,
/// };
/// let few: Vec<_> = (1..9).map(remote).collect();
/// assert!(few.iter().all(|it| GossipTopology::new(now, config, &few, 0).is_recipient(it, 1)));
/// let many: Vec<_> = (1..60).map(remote).collect();
/// let topology = GossipTopology::new(now, config, &many, 0);
/// let told = many.iter().filter(|it| topology.is_recipient(it, 1)).map(|it| it.host);
/// assert_eq!(told.collect::<Vec<_>>(), [3, 6], "the leader and its standby");
/// ```
#[derive(Debug, Clone, Copy)]
pub struct GossipTopology {
    now: Duration,
    config: GossipConfig,
    is_hierarchical: bool,
    period: Duration,
    /// The speaker of this data centre and the next in line, as far as they are known.
    leader: Option<u64>,
    standby: Option<u64>,
    /// When a host of this data centre was last heard; zero for never.
    last_local: Duration,
}

impl RemoteHost {
    /// Returns whether it has not been heard for so long that its next word is news.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.last_heard.is_zero() || self.last_heard + SILENT_AFTER < now
    }

    /// Returns whether it was heard, and so late that it counts.
    pub fn is_alive(&self, now: Duration) -> bool {
        !self.last_heard.is_zero() && now < self.last_heard + DEAD_AFTER
    }
}

impl GossipTopology {
    /// Looks at the other hosts; `n_far` is how many hosts the sums of other data centres speak for.
    pub fn new(now: Duration, config: GossipConfig, peers: &[RemoteHost], n_remote: usize) -> Self {
        let is_local = |it: &&RemoteHost| it.data_centre == Some(config.data_centre);
        let n_alive = peers.iter().filter(|it| it.is_alive(now)).count();
        let n_local = peers.iter().filter(is_local).filter(|it| it.is_alive(now)).count();
        // A host that has just started has heard nobody: it goes by those that it knows of.
        let is_starting = now < STARTUP_TIME && config.direct_limit < peers.len();
        let is_hierarchical = config.direct_limit < n_alive.max(n_local + n_remote) || is_starting;
        let period = PERIOD.max(PERIOD_PER_HOST * n_local as u32);
        let last_local =
            peers.iter().filter(is_local).map(|it| it.last_heard).max().unwrap_or_default();
        // Once no word comes at all, those heard last stay in line until others are found.
        let is_fresh = |it: &&RemoteHost| {
            !it.last_heard.is_zero() && last_local <= it.last_heard + period * LEADER_PERIODS
        };
        let mut by_hash: Vec<u64> =
            peers.iter().filter(is_local).filter(is_fresh).map(|it| it.host).collect();
        by_hash.push(config.host);
        by_hash.sort_unstable();
        let (leader, standby) = (by_hash.first().copied(), by_hash.get(1).copied());
        Self { now, config, is_hierarchical, period, leader, standby, last_local }
    }

    /// Returns whether there are so many hosts that data centres have speakers.
    pub fn is_hierarchical(&self) -> bool {
        self.is_hierarchical
    }

    /// Returns how much this host's digest of that number tells of what changes seldom.
    ///
    /// In a large data centre everybody hears its speaker, and only that one tells all of it.
    pub fn detail(&self, sequence: u64) -> DigestScope {
        let tells_all = !self.is_hierarchical() || self.is_leader();
        if tells_all && sequence.is_multiple_of(FULL_DIGEST_EVERY) {
            return DigestScope::Full;
        }
        DigestScope::Changes
    }

    /// Returns the time between two digests.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Returns whether a host gets this host's digest with that number.
    pub fn is_recipient(&self, it: &RemoteHost, sequence: u64) -> bool {
        let is_occasional = sequence.is_multiple_of(SILENT_EVERY);
        if !self.is_hierarchical {
            return self.now <= it.last_heard + SILENT_AFTER || is_occasional;
        }
        let Some(data_centre) = it.data_centre else {
            return is_occasional || self.is_discovery(sequence);
        };
        if data_centre != self.config.data_centre {
            return false;
        }
        if self.is_leader() && !it.is_silent(self.now) {
            return true;
        }
        let is_leading = Some(it.host) == self.leader || Some(it.host) == self.standby;
        is_leading || self.is_discovery(sequence) || (self.is_leader() && is_occasional)
    }

    /// Returns whether what a digest tells counts: of few hosts, and of those of this data centre,
    /// their own words; of others their data centre's sum.
    ///
    /// **NOTE:** The sum of this data centre never counts beside its hosts' own words: with one that
    /// came astray a workspace was believed to have had three times what it had.
    pub fn accepts(&self, digest: &wire::Digest) -> bool {
        let is_remote = digest.data_centre != self.config.data_centre;
        if 0 < digest.n_summed {
            return self.is_hierarchical && is_remote;
        }
        !self.is_hierarchical || !is_remote
    }

    /// Returns whether this host speaks for its data centre: tells its hosts what they all did, and
    /// the other data centres the sum.
    pub fn is_leader(&self) -> bool {
        let is_alone = self.last_local + self.period * ALONE_PERIODS <= self.now;
        self.is_hierarchical && (self.leader == Some(self.config.host) || is_alone)
    }

    /// Returns the hash of the host that speaks for this data centre, `None` where this one does or
    /// each tells all.
    pub fn leader(&self) -> Option<u64> {
        self.leader.filter(|_| self.is_hierarchical && !self.is_leader())
    }

    /// Returns whether a host that stands in another data centre may be sent this one's sum.
    pub fn is_remote(&self, it: &RemoteHost) -> bool {
        it.data_centre.is_some_and(|it| it != self.config.data_centre)
    }

    /// Returns whether the digest with that number goes to all hosts that may be near: none of this
    /// data centre is heard.
    fn is_discovery(&self, sequence: u64) -> bool {
        let is_isolated = self.last_local + self.period * ISOLATED_PERIODS <= self.now
            || self.last_local.is_zero();
        is_isolated && sequence.is_multiple_of(DISCOVERY_EVERY)
    }
}
