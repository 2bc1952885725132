//! Which hosts a digest is sent to, so that traffic per host does not grow with the fleet.
//!
//! A small fleet is a full mesh: every host sends its digest to every other host. In a larger fleet
//! each data centre has a leader. Its hosts send their digests to the leader and to its standby;
//! the leader sends all of them back to its data centre, and a summary to the leaders of the other
//! data centres. There is no election: the leader is the host with the lowest hash among those
//! heard recently, the standby is the next one and takes over when it no longer hears the leader,
//! and two leaders at a time are harmless.
//!
//! The hierarchy is there for data centres of dozens of hosts with an eighth of a core each, which
//! in a full mesh spend more processor time on digests than on requests.

use std::time::Duration;

use crate::{
    digest_scope::{DigestScope, FULL_DIGEST_EVERY},
    wire,
};

/// Time between two digests in a small fleet; a shorter period did not improve what callers get.
const PERIOD: Duration = Duration::from_millis(50);
/// Period per host of a data centre, which applies once it exceeds [`PERIOD`]. A leader then
/// receives and sends about 500 datagrams per second each way, a sixth of the smallest host's
/// processor time.
const PERIOD_PER_HOST: Duration = Duration::from_millis(2);
/// Time without a digest after which a host is sent only an occasional one.
const SILENT_AFTER: Duration = Duration::from_secs(5);
/// A silent host gets one digest in this many.
const SILENT_EVERY: u64 = 20;
/// Time without a digest after which a host no longer counts; longer than [`SILENT_EVERY`] of the
/// longest periods.
const DEAD_AFTER: Duration = Duration::from_secs(10);
/// Time from this host's start in which the hierarchy depends on the hosts it knows of, dead ones
/// included.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Periods without a digest after which the next host becomes leader; three digests in a row may be
/// lost.
const LEADER_PERIODS: u32 = 4;
/// Periods without a digest from this data centre after which this host searches for its hosts: the
/// standby has had time to take over.
const ISOLATED_PERIODS: u32 = 8;
/// Periods without a digest from this data centre after which this host is alone and is its own
/// leader.
const ALONE_PERIODS: u32 = 16;
/// A host that searches for its data centre sends a discovery digest once in this many.
const DISCOVERY_EVERY: u64 = 4;

/// Returns the time between two digests of a host, by the number of hosts in its data centre.
pub(super) fn digest_period(n_hosts: usize) -> Duration {
    PERIOD.max(PERIOD_PER_HOST * n_hosts as u32)
}

/// This host's place in the gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipConfig {
    /// Hash of this host's address.
    pub host: u64,
    /// Hash of the name of this host's data centre.
    pub data_centre: u32,
    /// Largest number of other hosts in a full mesh.
    pub direct_limit: usize,
}

/// Another host, as known to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Hash of the host's address.
    pub host: u64,
    /// Hash of the name of its data centre, `None` while unknown.
    pub data_centre: Option<u32>,
    /// Incarnation of its process, zero until it is heard.
    pub incarnation: u64,
    /// Time of its last digest, direct or relayed by the leader; zero if there was none.
    pub last_heard: Duration,
}

/// Who sends digests to whom, as seen by this host at one moment.
///
/// # Examples
///
/// ```
/// use portfield::gossip::{GossipConfig, GossipTopology, Peer};
/// use std::time::Duration;
///
/// let now = Duration::from_secs(30);
/// let config = GossipConfig { host: 30, data_centre: 0, direct_limit: 12 };
/// let peer = |host: u64| Peer {
///     host,
///     data_centre: Some((host % 3) as u32),
///     incarnation: 1,
///     last_heard: now,
/// };
/// let few: Vec<_> = (1..9).map(peer).collect();
/// assert!(few.iter().all(|it| GossipTopology::new(now, config, &few, 0).is_recipient(it, 1)));
/// let many: Vec<_> = (1..60).map(peer).collect();
/// let topology = GossipTopology::new(now, config, &many, 0);
/// let recipients = many.iter().filter(|it| topology.is_recipient(it, 1)).map(|it| it.host);
/// assert_eq!(recipients.collect::<Vec<_>>(), [3, 6], "the leader and its standby");
/// ```
#[derive(Debug, Clone, Copy)]
pub struct GossipTopology {
    now: Duration,
    config: GossipConfig,
    is_hierarchical: bool,
    period: Duration,
    /// Hashes of this data centre's leader and of its standby.
    leader: Option<u64>,
    standby: Option<u64>,
    /// Time of the last digest from this data centre; zero if there was none.
    last_local: Duration,
}

impl Peer {
    /// Returns whether the host has been silent so long that its next digest counts as a new
    /// appearance.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.last_heard.is_zero() || self.last_heard + SILENT_AFTER < now
    }

    /// Returns whether the host was heard recently enough to count.
    pub fn is_alive(&self, now: Duration) -> bool {
        !self.last_heard.is_zero() && now < self.last_heard + DEAD_AFTER
    }
}

impl GossipTopology {
    /// Builds the topology from the other known hosts; `n_remote` is the number of hosts that the
    /// summaries of other data centres cover.
    pub fn new(now: Duration, config: GossipConfig, peers: &[Peer], n_remote: usize) -> Self {
        let is_local = |it: &&Peer| it.data_centre == Some(config.data_centre);
        let n_alive = peers.iter().filter(|it| it.is_alive(now)).count();
        let n_local = peers.iter().filter(is_local).filter(|it| it.is_alive(now)).count();
        // A host that has just started has heard nobody yet, so it counts the hosts it knows of.
        let is_starting = now < STARTUP_TIME && config.direct_limit < peers.len();
        let is_hierarchical = config.direct_limit < n_alive.max(n_local + n_remote) || is_starting;
        let period = digest_period(n_local);
        let last_local =
            peers.iter().filter(is_local).map(|it| it.last_heard).max().unwrap_or_default();
        // If digests stop altogether, the hosts heard last stay candidates until others are found.
        let is_fresh = |it: &&Peer| {
            !it.last_heard.is_zero() && last_local <= it.last_heard + period * LEADER_PERIODS
        };
        let mut by_hash: Vec<u64> =
            peers.iter().filter(is_local).filter(is_fresh).map(|it| it.host).collect();
        by_hash.push(config.host);
        by_hash.sort_unstable();
        let (leader, standby) = (by_hash.first().copied(), by_hash.get(1).copied());
        Self { now, config, is_hierarchical, period, leader, standby, last_local }
    }

    /// Returns whether the fleet is so large that data centres have leaders.
    pub fn is_hierarchical(&self) -> bool {
        self.is_hierarchical
    }

    /// Returns how much detail the digest with this sequence number has on slowly changing state.
    ///
    /// In a hierarchy every host hears its leader, so only the leader sends all of it.
    pub fn digest_scope(&self, sequence: u64) -> DigestScope {
        let sends_all = !self.is_hierarchical() || self.is_leader();
        if sends_all && sequence.is_multiple_of(FULL_DIGEST_EVERY) {
            return DigestScope::Full;
        }
        DigestScope::Changes
    }

    /// Returns the time between two digests.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Returns whether a host is sent this host's digest with this sequence number.
    pub fn is_recipient(&self, it: &Peer, sequence: u64) -> bool {
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

    /// Returns whether a digest is to be merged: digests of single hosts in a small fleet or from
    /// this data centre, summaries from other data centres in a hierarchy.
    ///
    /// **NOTE:** A summary of this host's own data centre must not be merged as well as its hosts'
    /// digests: one that was misdelivered tripled the usage attributed to a workspace.
    pub fn accepts(&self, digest: &wire::Digest) -> bool {
        let is_remote = digest.data_centre != self.config.data_centre;
        if 0 < digest.n_summed {
            return self.is_hierarchical && is_remote;
        }
        !self.is_hierarchical || !is_remote
    }

    /// Returns whether this host leads its data centre: it relays its hosts' digests to all of
    /// them, and sends their summary to the other data centres.
    pub fn is_leader(&self) -> bool {
        let is_alone = self.last_local + self.period * ALONE_PERIODS <= self.now;
        self.is_hierarchical && (self.leader == Some(self.config.host) || is_alone)
    }

    /// Returns the hash of this data centre's leader; `None` if that is this host or the fleet is a
    /// full mesh.
    pub fn leader(&self) -> Option<u64> {
        self.leader.filter(|_| self.is_hierarchical && !self.is_leader())
    }

    /// Returns whether a host is known to be in another data centre.
    pub fn is_remote(&self, it: &Peer) -> bool {
        it.data_centre.is_some_and(|it| it != self.config.data_centre)
    }

    /// Returns whether the digest with this sequence number also goes to every host that may be in
    /// this data centre, because none of it is heard.
    fn is_discovery(&self, sequence: u64) -> bool {
        let is_isolated = self.last_local + self.period * ISOLATED_PERIODS <= self.now
            || self.last_local.is_zero();
        is_isolated && sequence.is_multiple_of(DISCOVERY_EVERY)
    }
}
