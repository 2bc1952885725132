//! The other hosts, as far as this one knows and hears them, and what it passes on between them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    fast_map::FastMap,
    topology::{GossipConfig, GossipTopology, RemoteHost},
};
use crate::wire::{Digest, KnownHost};

/// Each so many digests a data centre's sum also goes to a host there drawn by lot: its speaker may
/// have changed, or the way to it may be cut.
const RANDOM_HOST_EVERY: u64 = 10;
/// Silence of another data centre's speaker after which its sums are sent to a host drawn by lot: some
/// four of the periods at 60 hosts a data centre.
const LEADER_SILENT_AFTER: Duration = Duration::from_millis(500);
/// The same, after which the hosts that it spoke for no longer count: the time that a host's own word
/// counts for.
const LEADER_DEAD_AFTER: Duration = Duration::from_secs(10);

/// Silence of all hosts of a data centre after which it counts as cut off: several digests in a row are not lost by
/// chance, and what either side learns is to reach the other within three seconds.
const CENTRE_SILENT_AFTER: Duration = Duration::from_millis(800);
/// The same, after which it counts as ended: nobody is there who would learn anything.
const CENTRE_DEAD_AFTER: Duration = Duration::from_secs(60);

/// How a digest came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// From whoever says it, or from a host that it was sent to by lot.
    Direct,
    /// From the speaker of this data centre.
    Relayed,
}

/// The host that speaks for another data centre.
#[derive(Debug, Clone, Copy)]
struct Leader {
    address: SocketAddr,
    /// Hosts that it speaks for.
    n_hosts: usize,
    heard: Duration,
}

/// The other hosts.
///
/// # Examples
///
/// ```
/// use portfield::{
///     balance::{PeerTable, GossipConfig},
///     wire::Digest,
/// };
/// use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
///
/// let seed: SocketAddr = "10.1.0.1:7400".parse()?;
/// let config = GossipConfig { host: 1, data_centre: 1, direct_limit: 12 };
/// let mut peers = PeerTable::new(config, [seed].into_iter());
/// let now = Duration::from_secs(1);
/// peers.record_digest(now, seed, &Digest { host: 2, data_centre: 1, ..Digest::default() });
/// peers.refresh_topology(now);
/// assert_eq!(peers.recipients(1), [seed]);
/// # Ok::<_, std::net::AddrParseError>(())
/// ```
#[derive(Debug)]
pub struct PeerTable {
    config: GossipConfig,
    /// In order, so that who is told first is the same in each life of a process.
    hosts: BTreeMap<SocketAddr, RemoteHost>,
    topology: GossipTopology,
    /// What others said that the next digest passes on, by host or data centre.
    forwards: BTreeMap<u64, Digest>,
    /// Who speaks for the other data centres.
    leaders: FastMap<u32, Leader>,
    /// Hosts that were heard for the first time, or again after a silence.
    n_appeared: u64,
}

impl PeerTable {
    /// Builds the state of a host that has heard nobody.
    pub fn new(config: GossipConfig, seeds: impl Iterator<Item = SocketAddr>) -> Self {
        let hosts: BTreeMap<_, _> = seeds.map(|it| (it, unheard_host(it))).collect();
        let topology = GossipTopology::new(Duration::ZERO, config, &[], 0);
        Self {
            config,
            hosts,
            topology,
            forwards: BTreeMap::new(),
            leaders: FastMap::default(),
            n_appeared: 0,
        }
    }

    /// Looks anew at whom to tell.
    pub fn refresh_topology(&mut self, now: Duration) -> GossipTopology {
        let hosts: Vec<RemoteHost> = self.hosts.values().copied().collect();
        // Sums count whether or not they are used: a host that has lost sight of some others for a
        // moment would else ignore the sums that tell it that they are there.
        let leaders = self.leaders.values().filter(|it| now < it.heard + LEADER_DEAD_AFTER);
        let n_remote = leaders.map(|it| it.n_hosts).sum();
        self.topology = GossipTopology::new(now, self.config, &hosts, n_remote);
        self.topology
    }

    /// Returns whom to tell, as of the last look.
    pub fn topology(&self) -> GossipTopology {
        self.topology
    }

    /// Returns how many hosts are known, whether they are there or not.
    pub fn n_known(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether another host of this data centre is known.
    pub fn knows_local_host(&self) -> bool {
        self.hosts.values().any(|it| it.data_centre == Some(self.config.data_centre))
    }

    /// Returns whether all hosts of some data centre that was heard within the last minute are silent: it is cut off, or
    /// ended.
    pub fn has_unreachable_centre(&self, now: Duration) -> bool {
        let mut heard: FastMap<u32, Duration> = FastMap::default();
        let hosts = self.hosts.values().filter_map(|it| Some((it.data_centre?, it.last_heard)));
        let leaders = self.leaders.iter().map(|(centre, it)| (*centre, it.heard));
        for (centre, at) in hosts.chain(leaders).filter(|it| it.0 != self.config.data_centre) {
            let last = heard.entry(centre).or_default();
            *last = (*last).max(at);
        }
        let is_unreachable = |at: &Duration| {
            !at.is_zero() && *at + CENTRE_SILENT_AFTER < now && now < *at + CENTRE_DEAD_AFTER
        };
        heard.values().any(is_unreachable)
    }

    /// Returns whether this host is one of the first `n` of its data centre by hash, of those that are known, there
    /// or not.
    pub fn is_among_first(&self, n: usize) -> bool {
        let is_local = |it: &&RemoteHost| it.data_centre == Some(self.config.data_centre);
        let local_hosts = self.hosts.values().filter(is_local);
        local_hosts.filter(|it| it.host < self.config.host).count() < n
    }

    /// Returns the hosts of a data centre that are known, there or not, this one included if it stands there; by hash
    /// of their addresses.
    pub fn hosts_in(&self, data_centre: u32) -> Vec<u64> {
        let is_in = |it: &&RemoteHost| it.data_centre == Some(data_centre);
        let own = (self.config.data_centre == data_centre).then_some(self.config.host);
        self.hosts.values().filter(is_in).map(|it| it.host).chain(own).collect()
    }

    /// Learns that there is a host, and where it stands if that is told.
    pub fn add_host(&mut self, address: SocketAddr, data_centre: Option<u32>) {
        let it = self.hosts.entry(address).or_insert_with(|| unheard_host(address));
        if it.host == self.config.host {
            self.hosts.remove(&address);
            return;
        }
        it.data_centre = it.data_centre.or(data_centre);
    }

    /// Notes who said a digest: a host, or the speaker of another data centre. `from` is where it came
    /// from, `now` the time.
    pub fn record_digest(&mut self, now: Duration, from: SocketAddr, digest: &Digest) {
        if digest.host == self.config.host {
            return;
        }
        let address = digest.address.parse().unwrap_or(from);
        if 0 < digest.n_summed {
            if digest.data_centre == self.config.data_centre {
                return;
            }
            let n_hosts = digest.n_summed as usize;
            let leader = Leader { address, n_hosts, heard: now };
            self.leaders.insert(digest.data_centre, leader);
            return;
        }
        let it = RemoteHost {
            host: digest.host,
            data_centre: Some(digest.data_centre),
            last_heard: now,
        };
        let before = self.hosts.insert(address, it);
        if before.is_none_or(|it| it.is_silent(now)) {
            self.n_appeared += 1;
        }
    }

    /// Returns how many hosts were heard for the first time, or again after a silence, since the
    /// last call.
    pub fn take_n_appeared(&mut self) -> u64 {
        std::mem::take(&mut self.n_appeared)
    }

    /// Keeps a digest for the hosts of this data centre, where this host speaks for it and the digest
    /// counts there; else returns the host that another data centre's sum is to be handed to.
    ///
    /// What comes from another speaker has been passed on already: two that speak at once would else
    /// send it back and forth.
    pub fn forward(&mut self, digest: Digest, delivery: Delivery) -> Option<(SocketAddr, Digest)> {
        let is_own = digest.host == self.config.host;
        if delivery == Delivery::Relayed || is_own || !self.topology.accepts(&digest) {
            return None;
        }
        let was_forwarded = digest.passed_on;
        let digest = Digest { passed_on: false, ..digest };
        if self.topology.is_leader() {
            // A host's last word counts.
            self.forwards.insert(digest.host, digest);
            return None;
        }
        let leader = self.leader_address().filter(|_| was_forwarded)?;
        Some((leader, digest))
    }

    /// Drops what is to be passed on: while this host stood still it has become old.
    pub fn clear_forwards(&mut self) {
        self.forwards.clear();
    }

    /// Takes what is to be passed on.
    pub fn take_forwards(&mut self) -> Vec<Digest> {
        std::mem::take(&mut self.forwards).into_values().collect()
    }

    /// Returns who gets this host's digest with that number.
    pub fn recipients(&self, sequence: u64) -> Vec<SocketAddr> {
        let is_recipient =
            |it: &(&SocketAddr, &RemoteHost)| self.topology.is_recipient(it.1, sequence);
        self.hosts.iter().filter(is_recipient).map(|it| *it.0).collect()
    }

    /// Returns where the host listens that speaks for this data centre, `None` where this one does.
    fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.topology.leader()?;
        self.hosts.iter().find(|it| it.1.host == leader).map(|it| *it.0)
    }

    /// Returns who gets this data centre's sum with that number: the speaker of each other one, and
    /// now and then, or while that is silent, a host drawn by lot, who hands it to its speaker.
    pub fn summary_recipients(&self, now: Duration, sequence: u64) -> Vec<SocketAddr> {
        let mut by_centre: BTreeMap<u32, Vec<SocketAddr>> = BTreeMap::new();
        for (address, it) in self.hosts.iter().filter(|it| self.topology.is_remote(it.1)) {
            by_centre.entry(it.data_centre.unwrap_or_default()).or_default().push(*address);
        }
        let is_random = sequence.is_multiple_of(RANDOM_HOST_EVERY);
        let live_leaders = self.leaders.values().filter(|it| now < it.heard + LEADER_DEAD_AFTER);
        let mut res: Vec<SocketAddr> = live_leaders.map(|it| it.address).collect();
        for (data_centre, mut addresses) in by_centre {
            let leader = self.leaders.get(&data_centre);
            if is_random || leader.is_none_or(|it| it.heard + LEADER_SILENT_AFTER < now) {
                addresses.sort_unstable();
                let idx = xxh3_64(&sequence.to_le_bytes()) as usize % addresses.len();
                res.push(addresses[idx]);
            }
        }
        res.sort_unstable();
        res.dedup();
        res
    }

    /// Returns the hosts whose place is known, for one that knows none of its data centre.
    pub fn known_hosts(&self) -> Vec<KnownHost> {
        let known = |(address, it): (&SocketAddr, &RemoteHost)| {
            let data_centre = it.data_centre?;
            Some(KnownHost { address: address.to_string(), data_centre })
        };
        self.hosts.iter().filter_map(known).collect()
    }
}

/// Returns a host that was not heard yet.
fn unheard_host(address: SocketAddr) -> RemoteHost {
    RemoteHost { host: host_hash(address), data_centre: None, last_heard: Duration::ZERO }
}

/// Returns the hash that names a host among the others.
///
/// # Examples
///
/// ```
/// use portfield::balance::host_hash;
///
/// let address = "10.1.0.1:7400".parse()?;
/// assert_eq!(host_hash(address), host_hash(address));
/// # Ok::<_, std::net::AddrParseError>(())
/// ```
pub fn host_hash(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
