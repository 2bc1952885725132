//! Simulation in virtual time of hosts that only exchange digests; datagrams are delayed, and some
//! are lost.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use portfield::{
    balance::{Balancer, Delivery, GossipConfig, PeerTable, host_hash},
    catalog::DrainMarks,
    quarantine::Quarantine,
    wire::Digest,
};

/// Step of the virtual time.
pub const STEP: Duration = Duration::from_millis(1);
/// Delay of a datagram.
pub const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
pub const SEED: u64 = 7;
/// Time that a host takes to fetch from another one what it lacks.
pub const FETCH_TIME: Duration = Duration::from_millis(30);
/// Largest number of other hosts in a full mesh.
pub const DIRECT_LIMIT: usize = 12;

/// A host that only exchanges digests.
pub struct Host {
    pub address: SocketAddr,
    pub data_centre: u32,
    pub peers: PeerTable,
    pub balancer: Balancer,
    pub quarantine: Quarantine,
    pub drains: DrainMarks,
    pub started: Duration,
    /// When its next digest is due.
    pub next_digest: Duration,
    pub sequence: u64,
    pub incarnation: u64,
    pub is_alive: bool,
    /// Time of each other host's last digest, direct or relayed, by the hash of the host.
    pub last_heard: HashMap<u64, Duration>,
    /// Time of each other data centre's last summary, and number of hosts that it covers.
    pub summaries: HashMap<u32, (Duration, u32)>,
    /// Version of the operator's evacuation orders that it knows.
    pub orders_version: u64,
    /// Version that it is fetching, and when the fetch completes.
    pub fetching: Option<(u64, Duration)>,
    pub n_sent: u64,
    pub n_received: u64,
}

/// Simulated hosts and the datagrams between them.
pub struct Simulation {
    pub now: Duration,
    pub hosts: Vec<Host>,
    /// Datagrams on their way: arrival time, sender, receiver, digest.
    pub in_flight: Vec<(Duration, SocketAddr, SocketAddr, Digest)>,
    /// Percentage of datagrams that are lost.
    pub loss: u32,
    pub rng: fastrand::Rng,
}

impl Simulation {
    /// Builds a fleet that starts now; each host knows all others, as from the store, or only the
    /// first `n_seeds` of them.
    pub fn new(n_centres: u32, n_each: u32, n_seeds: Option<usize>) -> Self {
        let mut res = Self {
            now: Duration::from_millis(1),
            hosts: Vec::new(),
            in_flight: Vec::new(),
            loss: 0,
            rng: fastrand::Rng::with_seed(SEED),
        };
        (0..n_centres * n_each).for_each(|it| res.add_host(it % n_centres, it));
        res.add_peers(n_seeds);
        res
    }

    /// Adds a host with a random start delay.
    pub fn add_host(&mut self, data_centre: u32, number: u32) {
        let address = SocketAddr::from(([10, data_centre as u8, 0, 0], 7000 + number as u16));
        let config =
            GossipConfig { host: host_hash(address), data_centre, direct_limit: DIRECT_LIMIT };
        let jitter = Duration::from_millis(self.rng.u64(0..300));
        self.hosts.push(Host {
            address,
            data_centre,
            peers: PeerTable::new(config, std::iter::empty()),
            balancer: Balancer::new(Duration::from_secs(4)),
            quarantine: Quarantine::default(),
            drains: DrainMarks::default(),
            started: self.now + jitter,
            next_digest: self.now + jitter,
            sequence: 0,
            incarnation: 1,
            is_alive: true,
            last_heard: HashMap::new(),
            summaries: HashMap::new(),
            orders_version: 0,
            fetching: None,
            n_sent: 0,
            n_received: 0,
        });
    }

    /// Adds the other hosts to each host's table.
    pub fn add_peers(&mut self, n_seeds: Option<usize>) {
        let all: Vec<_> = self.hosts.iter().map(|it| (it.address, it.data_centre)).collect();
        for host in &mut self.hosts {
            match n_seeds {
                None => all.iter().for_each(|it| host.peers.add_host(it.0, Some(it.1))),
                Some(n) => all.iter().take(n).for_each(|it| host.peers.add_host(it.0, None)),
            }
        }
    }

    /// Restarts a dead host at the same address.
    pub fn restart(&mut self, i: usize) {
        let known: Vec<_> = self.hosts.iter().map(|it| (it.address, it.data_centre)).collect();
        let now = self.now;
        let host = &mut self.hosts[i];
        let config = GossipConfig {
            host: host_hash(host.address),
            data_centre: host.data_centre,
            direct_limit: DIRECT_LIMIT,
        };
        host.peers = PeerTable::new(config, std::iter::empty());
        known.iter().for_each(|it| host.peers.add_host(it.0, Some(it.1)));
        host.balancer = Balancer::new(Duration::from_secs(4));
        host.quarantine = Quarantine::default();
        host.drains = DrainMarks::default();
        (host.started, host.next_digest, host.sequence) = (now, now, 0);
        host.incarnation += 1;
        host.is_alive = true;
    }

    /// Advances the virtual time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for i in 0..self.hosts.len() {
                let host = &mut self.hosts[i];
                if let Some((orders_version, _)) = host.fetching.take_if(|it| it.1 <= self.now) {
                    host.orders_version = orders_version;
                }
                if self.hosts[i].is_alive && self.hosts[i].next_digest <= self.now {
                    self.send_digests(i);
                }
            }
        }
    }

    /// Sends a host's digest, and its data centre's summary if it is the leader.
    pub fn send_digests(&mut self, i: usize) {
        let now = self.now;
        let host = &mut self.hosts[i];
        let uptime = now - host.started;
        let topology = host.peers.refresh_topology(uptime);
        host.sequence += 1;
        let mut digest = Digest {
            host: host_hash(host.address),
            incarnation: host.incarnation,
            sequence: host.sequence,
            data_centre: host.data_centre,
            address: host.address.to_string(),
            seeks_hosts: !host.peers.knows_local_host(),
            orders_version: host.orders_version,
            ..Digest::default()
        };
        host.balancer.fill_digest(uptime, &mut digest);
        digest.suspects = host.quarantine.suspects_for_digest(uptime, &topology, host.sequence);
        digest.draining =
            host.drains.take_for_digest(topology.digest_scope(host.sequence), |_| true);
        let mut outgoing = Vec::new();
        if topology.is_leader() {
            let mut summary = Digest {
                host: u64::from(host.data_centre),
                passed_on: true,
                seeks_hosts: false,
                ..digest.clone()
            };
            host.balancer.fill_summary(uptime, &mut summary);
            summary.suspects = host.quarantine.suspects_for_summary(uptime);
            summary.draining = host.drains.for_summary(|_| true);
            let recipients = host.peers.summary_recipients(uptime, host.sequence);
            outgoing.extend(recipients.into_iter().map(|it| (it, summary.clone())));
        }
        digest.relayed = host.peers.take_forwards();
        outgoing.extend(
            host.peers.recipients(host.sequence).into_iter().map(|it| (it, digest.clone())),
        );
        host.next_digest = now + topology.period();
        self.send(i, outgoing);
    }

    /// Sends digests from a host; some are lost.
    pub fn send(&mut self, i: usize, outgoing: Vec<(SocketAddr, Digest)>) {
        let from = self.hosts[i].address;
        self.hosts[i].n_sent += outgoing.len() as u64;
        for (to, digest) in outgoing {
            if self.loss <= self.rng.u32(0..100) {
                self.in_flight.push((self.now + ONE_WAY_DELAY, from, to, digest));
            }
        }
    }

    /// Delivers the datagrams that are due.
    pub fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|it| it.0 <= now);
        self.in_flight = later;
        for (_, from, to, digest) in due {
            let to = self.hosts.iter().position(|it| it.address == to && it.is_alive);
            if let Some(i) = to.filter(|i| self.hosts[*i].started <= now) {
                self.receive(i, from, digest);
            }
        }
    }

    /// Processes a datagram as a host does.
    pub fn receive(&mut self, i: usize, from: SocketAddr, mut digest: Digest) {
        let host = &mut self.hosts[i];
        host.n_received += 1;
        let now = self.now - host.started;
        let topology = host.peers.topology();
        let mut outgoing = Vec::new();
        if digest.seeks_hosts && topology.is_hierarchical() {
            outgoing.push((from, Digest { hosts: host.peers.known_hosts(), ..Digest::default() }));
        }
        if !digest.hosts.is_empty() {
            let hosts = digest.hosts.iter();
            hosts.for_each(|it| {
                host.peers.add_host(it.address.parse().unwrap(), Some(it.data_centre));
            });
            return;
        }
        let relayed =
            std::mem::take(&mut digest.relayed).into_iter().map(|it| (it, Delivery::Relayed));
        for (it, delivery) in std::iter::once((digest, Delivery::Direct)).chain(relayed) {
            if it.host == host_hash(host.address) {
                continue;
            }
            host.peers.record_digest(now, from, &it);
            host.quarantine.merge(now, &it.suspects);
            it.draining.iter().for_each(|it| {
                host.drains.insert(*it);
            });
            if host.orders_version < it.orders_version && host.fetching.is_none() {
                host.fetching = Some((it.orders_version, self.now + FETCH_TIME));
            }
            if it.n_summed == 0 {
                host.last_heard.insert(it.host, self.now);
            } else {
                host.summaries.insert(it.data_centre, (self.now, it.n_summed));
            }
            if topology.accepts(&it) {
                host.balancer.merge_digest(now, &it);
            }
            outgoing.extend(host.peers.forward(it, delivery));
        }
        self.send(i, outgoing);
    }

    /// Returns the live hosts that lead a data centre.
    pub fn leaders(&self, data_centre: u32) -> Vec<usize> {
        let is_leader = |it: &&usize| self.hosts[**it].peers.topology().is_leader();
        let is_local =
            |it: &usize| self.hosts[*it].is_alive && self.hosts[*it].data_centre == data_centre;
        let all: Vec<usize> = (0..self.hosts.len()).filter(is_local).collect();
        all.iter().filter(is_leader).copied().collect()
    }

    /// Checks that each live host has recently heard all live hosts of its data centre.
    #[track_caller]
    pub fn check_local_heard(&self, age: Duration) {
        for (host, other) in self.pairs().filter(|it| it.0.data_centre == it.1.data_centre) {
            let at = host.last_heard.get(&host_hash(other.address));
            let is_known = at.is_some_and(|it| self.now <= *it + age);
            assert!(is_known, "{}: last digest of {} at {at:?}", host.address, other.address);
        }
    }

    /// Checks that each live host has recently heard all live hosts and counts no dead ones.
    #[track_caller]
    pub fn check_all_heard(&self, age: Duration) {
        self.check_local_heard(age);
        for (host, other) in self.pairs().filter(|it| it.0.data_centre != it.1.data_centre) {
            let n = self.n_alive(other.data_centre);
            let summary = host.summaries.get(&other.data_centre);
            let is_known = summary.is_some_and(|it| self.now <= it.0 + age && it.1 == n);
            assert!(
                is_known,
                "{}: summary of data centre {} with {n} live hosts is {summary:?}",
                host.address, other.data_centre
            );
        }
    }

    /// Returns all pairs of live hosts.
    pub fn pairs(&self) -> impl Iterator<Item = (&Host, &Host)> {
        let alive = || self.hosts.iter().filter(|it| it.is_alive);
        let peers_of = move |host: &Host| {
            let address = host.address;
            alive().filter(move |it| it.address != address)
        };
        alive().flat_map(move |host| peers_of(host).map(move |it| (host, it)))
    }

    /// Returns the number of live hosts in a data centre.
    pub fn n_alive(&self, data_centre: u32) -> u32 {
        let alive = |it: &&Host| it.is_alive && it.data_centre == data_centre;
        self.hosts.iter().filter(alive).count() as u32
    }
}
