//! The other hosts that this one knows, and the digests that it forwards between them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    first_read::ReaderRank,
    peer_state::peer_timeout,
    topology::{GossipConfig, GossipTopology, Peer, digest_period},
};
use crate::{
    fast_map::FastMap,
    wire::{Digest, KnownHost},
};

/// One summary in this many also goes to a random host of each other data centre, in case its
/// leader has changed or cannot be reached.
const RANDOM_HOST_EVERY: u64 = 10;
/// Time without a summary from another data centre's leader after which this host's summaries go to
/// a random host there, at least, and in periods of that data centre.
const LEADER_SILENT_AFTER: (Duration, u32) = (Duration::from_millis(500), 3);
/// Time without a summary after which the hosts that it covered no longer count; the same as for a
/// single host.
const LEADER_DEAD_AFTER: Duration = Duration::from_secs(10);

/// Time without a digest from any host of a data centre after which it counts as unreachable, at
/// least, and in periods of that data centre: too long for random loss, and short enough for both
/// sides to learn of each other's changes within three seconds.
const CENTRE_SILENT_AFTER: (Duration, u32) = (Duration::from_millis(800), 4);
/// Time without a digest after which a data centre counts as shut down: no host is left there to
/// inform.
const CENTRE_DEAD_AFTER: Duration = Duration::from_secs(60);

/// Time from this host's start after which a host that was never heard counts as dead.
const UNHEARD_DEAD_AFTER: Duration = Duration::from_secs(10);
/// Hosts that an introduction names at most, of some 30 bytes each.
const MAX_INTRODUCED: usize = 256;

/// Hosts of each other data centre that it names.
const MAX_REMOTE_INTRODUCED: usize = 8;

/// How a digest arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// From the host that wrote it, or from a host that was sent it as a random recipient.
    Direct,
    /// From the leader of this data centre.
    Relayed,
}

/// A host that a message may be sent to.
#[derive(Debug, Clone, Copy)]
pub(super) struct Contact {
    pub address: SocketAddr,
    /// Hash of the address.
    pub host: u64,
    /// Incarnation of its process if it was heard so lately that it counts as running; zero for a leader of
    /// another data centre, whose summaries name none.
    pub heard: Option<u64>,
}

/// The leader of another data centre.
#[derive(Debug, Clone, Copy)]
struct Leader {
    address: SocketAddr,
    /// Number of hosts that its summary covers.
    n_hosts: usize,
    last_heard: Duration,
}

impl Leader {
    /// Returns whether it has been silent for longer than a limit, which is a time or a number of
    /// its periods, whichever is longer.
    fn is_silent(&self, now: Duration, limit: (Duration, u32)) -> bool {
        self.last_heard + limit.0.max(digest_period(self.n_hosts) * limit.1) < now
    }
}

/// Answer to a host that knows none of its data centre.
#[derive(Debug, Clone, PartialEq)]
pub enum Introduction {
    /// Tell it of these hosts.
    Hosts(Vec<KnownHost>),
    /// Pass its digest on to the leader of this host's data centre, which knows hosts of the
    /// others.
    AskLeader(SocketAddr),
    /// None of them is known.
    Unknown,
}

/// The table of other hosts and the topology that follows from it.
///
/// # Examples
///
/// ```
/// use portfield::{
///     gossip::{GossipConfig, PeerTable},
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
    /// Sorted, so that recipients have the same order in every run of a process.
    hosts: BTreeMap<SocketAddr, Peer>,
    topology: GossipTopology,
    /// Digests that go out with the next one, by the hash of their host or data centre.
    forwards: BTreeMap<u64, Digest>,
    /// Leaders of the other data centres.
    leaders: FastMap<u32, Leader>,
    /// When hosts that were never heard were first found to be silent.
    unheard_since: BTreeMap<SocketAddr, Duration>,
    /// Hosts heard for the first time, or again after a silence.
    n_appeared: u64,
    /// How often [`hosts_in`](Self::hosts_in) changed.
    n_changes: u64,
}

impl PeerTable {
    /// Builds the table of a host that knows only the seed addresses.
    pub fn new(config: GossipConfig, seeds: impl Iterator<Item = SocketAddr>) -> Self {
        let hosts: BTreeMap<_, _> = seeds.map(|it| (it, unheard_host(it))).collect();
        let topology = GossipTopology::new(Duration::ZERO, config, &[], 0);
        Self {
            config,
            hosts,
            topology,
            forwards: BTreeMap::new(),
            leaders: FastMap::default(),
            unheard_since: BTreeMap::new(),
            n_appeared: 0,
            n_changes: 0,
        }
    }

    /// Recomputes the topology from the table and returns it.
    pub fn refresh_topology(&mut self, now: Duration) -> GossipTopology {
        let hosts: Vec<Peer> = self.hosts.values().copied().collect();
        // Summaries count whether or not they are merged: otherwise a host that loses some peers
        // for a moment would ignore the summaries which show that these are alive.
        let leaders = self.leaders.values().filter(|it| now < it.last_heard + LEADER_DEAD_AFTER);
        let n_remote = leaders.map(|it| it.n_hosts).sum();
        self.topology = GossipTopology::new(now, self.config, &hosts, n_remote);
        self.topology
    }

    /// Returns the topology, as of the last refresh.
    pub fn topology(&self) -> GossipTopology {
        self.topology
    }

    /// Returns the number of other hosts known, alive or not, one by one or in the summary of a data
    /// centre.
    pub fn n_known(&self) -> usize {
        let n_in =
            |centre: u32| self.hosts.values().filter(|it| it.data_centre == Some(centre)).count();
        let n_unnamed = |(centre, it): (&u32, &Leader)| it.n_hosts.saturating_sub(n_in(*centre));
        self.hosts.len() + self.leaders.iter().map(n_unnamed).sum::<usize>()
    }

    /// Returns this host's place among those that may read the fleet's state from the store.
    pub fn reader_rank(&self, now: Duration) -> ReaderRank {
        let is_starting = now < UNHEARD_DEAD_AFTER;
        let may_be_alive =
            |it: &&Peer| it.is_alive(now) || (is_starting && it.last_heard.is_zero());
        let n_before = self.hosts_before().filter(may_be_alive).count();
        let since = if is_starting { Duration::ZERO } else { UNHEARD_DEAD_AFTER };
        ReaderRank { n_before, n_known: self.n_known(), since }
    }

    /// Returns whether another host of this data centre is known.
    pub fn knows_local_host(&self) -> bool {
        self.hosts.values().any(|it| it.data_centre == Some(self.config.data_centre))
    }

    /// Returns whether some data centre that was heard within the last minute is silent: it is
    /// unreachable or shut down.
    pub fn has_unreachable_centre(&self, now: Duration) -> bool {
        let mut heard: FastMap<u32, Leader> = self.leaders.clone();
        for (address, it) in &self.hosts {
            let Some(centre) = it.data_centre else { continue };
            let new = Leader { address: *address, n_hosts: 1, last_heard: it.last_heard };
            let last = heard.entry(centre).or_insert(new);
            last.last_heard = last.last_heard.max(it.last_heard);
        }
        heard.remove(&self.config.data_centre);
        let is_unreachable = |it: &Leader| {
            !it.last_heard.is_zero()
                && it.is_silent(now, CENTRE_SILENT_AFTER)
                && now < it.last_heard + CENTRE_DEAD_AFTER
        };
        heard.values().any(is_unreachable)
    }

    /// Forgets the hosts of this data centre that were not heard for a time; returns their hashes. The
    /// silence of a host that was never heard counts from the first call that finds it.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::gossip::{GossipConfig, PeerTable, host_hash};
    /// use std::time::Duration;
    ///
    /// let config = GossipConfig { host: 1, data_centre: 1, direct_limit: 12 };
    /// let mut peers = PeerTable::new(config, std::iter::empty());
    /// let address = "10.1.0.1:7400".parse()?;
    /// peers.add_host(address, Some(1));
    /// let minute = Duration::from_secs(60);
    /// assert!(peers.forget_dead(minute, minute * 2).is_empty());
    /// assert_eq!(peers.forget_dead(minute * 3, minute * 2), [host_hash(address)]);
    /// assert_eq!(peers.n_known(), 0);
    /// # Ok::<_, std::net::AddrParseError>(())
    /// ```
    pub fn forget_dead(&mut self, now: Duration, after: Duration) -> Vec<u64> {
        let data_centre = Some(self.config.data_centre);
        let local_hosts = self.hosts.iter().filter(|it| it.1.data_centre == data_centre);
        let unheard = local_hosts.filter(|it| it.1.last_heard.is_zero());
        self.unheard_since = unheard
            .map(|it| (*it.0, self.unheard_since.get(it.0).copied().unwrap_or(now)))
            .collect();
        let unheard_since = &self.unheard_since;
        let is_dead = |address: &SocketAddr, it: &mut Peer| {
            let since = unheard_since.get(address).copied().unwrap_or(it.last_heard);
            it.data_centre == data_centre && since + after <= now
        };
        let res: Vec<u64> = self.hosts.extract_if(.., is_dead).map(|it| it.1.host).collect();
        self.n_changes += res.len() as u64;
        res
    }

    /// Returns whether this host is among the first `n` of its data centre by hash, counting all
    /// known hosts, alive or not.
    pub fn is_among_first(&self, n: usize) -> bool {
        self.hosts_before().count() < n
    }

    /// Returns the known hosts of this data centre with lower hashes, alive or not.
    fn hosts_before(&self) -> impl Iterator<Item = &Peer> {
        let is_local = |it: &&Peer| it.data_centre == Some(self.config.data_centre);
        self.hosts.values().filter(is_local).filter(|it| it.host < self.config.host)
    }

    /// Returns the address hashes of the known hosts of a data centre, alive or not, including this
    /// host if it is there.
    pub fn hosts_in(&self, data_centre: u32) -> Vec<u64> {
        let is_in = |it: &&Peer| it.data_centre == Some(data_centre);
        let own = (self.config.data_centre == data_centre).then_some(self.config.host);
        self.hosts.values().filter(is_in).map(|it| it.host).chain(own).collect()
    }

    /// Returns a number that grows whenever a host of a data centre becomes known or is forgotten.
    pub fn n_changes(&self) -> u64 {
        self.n_changes
    }

    /// Returns the data centre of this host.
    pub(super) fn own_data_centre(&self) -> u32 {
        self.config.data_centre
    }

    /// Returns the data centres with another known host.
    pub(super) fn data_centres(&self) -> Vec<u32> {
        let known = self.hosts.values().filter_map(|it| it.data_centre);
        let mut res: Vec<u32> = known.chain(self.leaders.keys().copied()).collect();
        res.sort_unstable();
        res.dedup();
        res
    }

    /// Returns the known hosts of a data centre, with its leader.
    pub(super) fn contacts_in(&self, now: Duration, data_centre: u32) -> Vec<Contact> {
        let period = self.topology.period();
        let hosts = self.hosts.iter().filter(|it| it.1.data_centre == Some(data_centre));
        let hosts = hosts.map(|(address, it)| Contact {
            address: *address,
            host: it.host,
            heard: is_recent(now, it.last_heard, period).then_some(it.incarnation),
        });
        let leader =
            self.leaders.get(&data_centre).filter(|it| !self.hosts.contains_key(&it.address));
        let leader = leader.map(|it| Contact {
            address: it.address,
            host: host_hash(it.address),
            heard: is_recent(now, it.last_heard, digest_period(it.n_hosts)).then_some(0),
        });
        hosts.chain(leader).collect()
    }

    /// Returns a hash of the hosts that count as running and of their incarnations: it changes when a host starts,
    /// restarts, falls silent or is heard again.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::{
    ///     gossip::{GossipConfig, PeerTable},
    ///     wire::Digest,
    /// };
    /// use std::{net::SocketAddr, time::Duration};
    ///
    /// let config = GossipConfig { host: 1, data_centre: 1, direct_limit: 12 };
    /// let mut peers = PeerTable::new(config, std::iter::empty());
    /// let (now, address): (_, SocketAddr) = (Duration::from_secs(1), "10.1.0.1:7400".parse()?);
    /// let mut hash_after = |incarnation: u64| {
    ///     let digest = Digest { host: 2, data_centre: 1, incarnation, ..Digest::default() };
    ///     peers.record_digest(now, address, &digest);
    ///     peers.running_hash(now)
    /// };
    /// let first = hash_after(7);
    /// assert_eq!(hash_after(7), first);
    /// assert_ne!(hash_after(8), first, "restarted");
    /// assert_eq!(peers.running_hash(now * 60), 0, "no host is heard");
    /// # Ok::<_, std::net::AddrParseError>(())
    /// ```
    pub fn running_hash(&self, now: Duration) -> u64 {
        let mut centres = self.data_centres();
        centres.retain(|it| *it != self.config.data_centre);
        centres.push(self.config.data_centre);
        let contacts = centres.into_iter().flat_map(|it| self.contacts_in(now, it));
        let hash = |it: Contact| Some(xxh3_64_with_seed(&it.host.to_le_bytes(), it.heard?));
        contacts.filter_map(hash).fold(0, |all, it| all ^ it)
    }

    /// Adds a host, and its data centre if given; an address already in the table keeps its data
    /// centre.
    pub fn add_host(&mut self, address: SocketAddr, data_centre: Option<u32>) {
        let it = self.hosts.entry(address).or_insert_with(|| unheard_host(address));
        if it.host == self.config.host {
            self.hosts.remove(&address);
            return;
        }
        if it.data_centre.is_none() && data_centre.is_some() {
            it.data_centre = data_centre;
            self.n_changes += 1;
        }
    }

    /// Records the sender of a digest: a host, or the leader of another data centre. `from` is the
    /// sender's address, `now` the time of arrival.
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
            let leader = Leader { address, n_hosts, last_heard: now };
            self.leaders.insert(digest.data_centre, leader);
            return;
        }
        let it = Peer {
            host: digest.host,
            data_centre: Some(digest.data_centre),
            incarnation: digest.incarnation,
            last_heard: now,
        };
        let before = self.hosts.insert(address, it);
        if before.is_none_or(|it| it.is_silent(now)) {
            self.n_appeared += 1;
        }
        if before.and_then(|it| it.data_centre) != Some(digest.data_centre) {
            self.n_changes += 1;
        }
    }

    /// Returns how many hosts appeared, or reappeared after a silence, since the last call.
    pub fn take_n_appeared(&mut self) -> u64 {
        std::mem::take(&mut self.n_appeared)
    }

    /// Queues a digest for this data centre's hosts if this host leads it and the digest is to be
    /// merged. Otherwise returns the address of the leader to which a summary that reached the
    /// wrong host is to be sent.
    ///
    /// A relayed digest is not forwarded again: two leaders at a time would send it back and forth.
    pub fn forward(&mut self, digest: Digest, delivery: Delivery) -> Option<(SocketAddr, Digest)> {
        let is_own = digest.host == self.config.host;
        if delivery == Delivery::Relayed || is_own || !self.topology.accepts(&digest) {
            return None;
        }
        let was_forwarded = digest.passed_on;
        let digest = Digest { passed_on: false, ..digest };
        if self.topology.is_leader() {
            // Only a host's latest digest is kept.
            self.forwards.insert(digest.host, digest);
            return None;
        }
        let leader = self.leader_address().filter(|_| was_forwarded)?;
        Some((leader, digest))
    }

    /// Drops the queued digests: after a suspension of this process they are outdated.
    pub fn clear_forwards(&mut self) {
        self.forwards.clear();
    }

    /// Takes the queued digests.
    pub fn take_forwards(&mut self) -> Vec<Digest> {
        std::mem::take(&mut self.forwards).into_values().collect()
    }

    /// Returns the addresses to which this host's digest with this sequence number is sent.
    pub fn recipients(&self, sequence: u64) -> Vec<SocketAddr> {
        let is_recipient = |it: &(&SocketAddr, &Peer)| self.topology.is_recipient(it.1, sequence);
        self.hosts.iter().filter(is_recipient).map(|it| *it.0).collect()
    }

    /// Returns the address of this data centre's leader; `None` if that is this host or is not
    /// known.
    fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.topology.leader()?;
        self.hosts.iter().find(|it| it.1.host == leader).map(|it| *it.0)
    }

    /// Returns the addresses to which this data centre's summary with this sequence number is sent:
    /// the leader of each other data centre and, occasionally or while that leader is silent, a
    /// random host there, which forwards it.
    pub fn summary_recipients(&self, now: Duration, sequence: u64) -> Vec<SocketAddr> {
        let mut by_centre: BTreeMap<u32, Vec<SocketAddr>> = BTreeMap::new();
        for (address, it) in self.hosts.iter().filter(|it| self.topology.is_remote(it.1)) {
            by_centre.entry(it.data_centre.unwrap_or_default()).or_default().push(*address);
        }
        let is_random = sequence.is_multiple_of(RANDOM_HOST_EVERY);
        let live_leaders =
            self.leaders.values().filter(|it| now < it.last_heard + LEADER_DEAD_AFTER);
        let mut res: Vec<SocketAddr> = live_leaders.map(|it| it.address).collect();
        for (data_centre, mut addresses) in by_centre {
            let leader = self.leaders.get(&data_centre);
            if is_random || leader.is_none_or(|it| it.is_silent(now, LEADER_SILENT_AFTER)) {
                addresses.sort_unstable();
                let idx = xxh3_64(&sequence.to_le_bytes()) as usize % addresses.len();
                res.push(addresses[idx]);
            }
        }
        res.sort_unstable();
        res.dedup();
        res
    }

    /// Returns the answer to a digest whose sender knows no host of its data centre.
    pub fn introduction(&self, digest: &Digest) -> Introduction {
        let mut hosts = self.known_hosts(digest, digest.data_centre, MAX_INTRODUCED);
        if hosts.is_empty() {
            let leader = self.leader_address().filter(|_| !digest.passed_on);
            return leader.map_or(Introduction::Unknown, Introduction::AskLeader);
        }
        let mut others = self.data_centres();
        others.retain(|it| *it != digest.data_centre);
        let remote = |it| self.known_hosts(digest, it, MAX_REMOTE_INTRODUCED);
        hosts.extend(others.into_iter().flat_map(remote));
        Introduction::Hosts(hosts)
    }

    /// Returns up to `n` hosts of a data centre, its leader first, without the sender of a digest.
    fn known_hosts(&self, digest: &Digest, data_centre: u32, n: usize) -> Vec<KnownHost> {
        let hosts = self.hosts.iter().filter(|it| it.1.data_centre == Some(data_centre));
        let leader = self.leaders.get(&data_centre).map(|it| it.address);
        let addresses = leader.into_iter().chain(hosts.map(|it| *it.0));
        let others = addresses.filter(|it| host_hash(*it) != digest.host).take(n);
        others.map(|it| KnownHost { address: it.to_string(), data_centre }).collect()
    }
}

/// Returns whether a host or leader was heard so lately that it counts as running; it sends a digest in each
/// period.
fn is_recent(now: Duration, last_heard: Duration, period: Duration) -> bool {
    !last_heard.is_zero() && now < last_heard + peer_timeout(period)
}

/// Returns the entry of a host that has not been heard.
fn unheard_host(address: SocketAddr) -> Peer {
    Peer { host: host_hash(address), data_centre: None, incarnation: 0, last_heard: Duration::ZERO }
}

/// Returns the hash of a host's address, which identifies it in digests.
///
/// # Examples
///
/// ```
/// use portfield::gossip::host_hash;
///
/// let address = "10.1.0.1:7400".parse()?;
/// assert_eq!(host_hash(address), host_hash(address));
/// # Ok::<_, std::net::AddrParseError>(())
/// ```
pub fn host_hash(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
