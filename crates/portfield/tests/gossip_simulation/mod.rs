//! Simulation of hosts that only exchange digests, in virtual time. Datagrams are delayed, and some
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
/// One-way delay between two hosts.
pub const DELAY: Duration = Duration::from_millis(1);
pub const SEED: u64 = 7;
/// Time that a host takes to fetch newer state from another one.
pub const FETCH_TIME: Duration = Duration::from_millis(30);
/// Largest number of other hosts for which all hosts send digests to all others.
pub const DIRECT_LIMIT: usize = 12;

/// A host that only exchanges digests.
pub struct Host {
    pub address: SocketAddr,
    pub data_centre: u32,
    pub peers: PeerTable,
    pub balancer: Balancer,
    pub quarantine: Quarantine,
    pub drain_marks: DrainMarks,
    pub started_at: Duration,
    /// When its next digest is due.
    pub next_digest: Duration,
    pub sequence: u64,
    pub incarnation: u64,
    pub is_alive: bool,
    /// When a digest of each other host last arrived, direct or forwarded by the leader.
    pub heard_at: HashMap<u64, Duration>,
    /// When the summary of each other data centre last arrived, and how many hosts it covered.
    pub summaries: HashMap<u32, (Duration, u32)>,
    /// Version of the evacuation orders that it knows.
    pub orders_version: u64,
    /// Version of the orders being fetched, and when it arrives.
    pub fetching: Option<(u64, Duration)>,
    pub n_sent: u64,
    pub n_received: u64,
}

/// Simulated hosts and the datagrams between them.
pub struct GossipSimulation {
    pub now: Duration,
    pub hosts: Vec<Host>,
    /// Datagrams on their way: arrival time, sender, receiver, digest.
    pub in_flight: Vec<(Duration, SocketAddr, SocketAddr, Digest)>,
    /// Percentage of datagrams that are lost.
    pub loss_percent: u32,
    pub rng: fastrand::Rng,
}

impl GossipSimulation {
    /// Creates a fleet that starts now. Each host knows all others, as if from the store, or only the
    /// first `n_seeds`.
    pub fn new(n_centres: u32, n_each: u32, n_seeds: Option<usize>) -> Self {
        let mut res = Self {
            now: Duration::from_millis(1),
            hosts: Vec::new(),
            in_flight: Vec::new(),
            loss_percent: 0,
            rng: fastrand::Rng::with_seed(SEED),
        };
        (0..n_centres * n_each).for_each(|it| res.add_host(it % n_centres, it));
        res.introduce_hosts(n_seeds);
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
            drain_marks: DrainMarks::default(),
            started_at: self.now + jitter,
            next_digest: self.now + jitter,
            sequence: 0,
            incarnation: 1,
            is_alive: true,
            heard_at: HashMap::new(),
            summaries: HashMap::new(),
            orders_version: 0,
            fetching: None,
            n_sent: 0,
            n_received: 0,
        });
    }

    /// Adds to each host's peers all hosts, or the first `n_seeds` without their data centres.
    pub fn introduce_hosts(&mut self, n_seeds: Option<usize>) {
        let all: Vec<_> = self.hosts.iter().map(|it| (it.address, it.data_centre)).collect();
        for host in &mut self.hosts {
            match n_seeds {
                None => all.iter().for_each(|it| host.peers.add_host(it.0, Some(it.1))),
                Some(n) => all.iter().take(n).for_each(|it| host.peers.add_host(it.0, None)),
            }
        }
    }

    /// Restarts a dead host at the same address.
    pub fn restart_host(&mut self, i: usize) {
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
        host.drain_marks = DrainMarks::default();
        (host.started_at, host.next_digest, host.sequence) = (now, now, 0);
        host.incarnation += 1;
        host.is_alive = true;
    }

    /// Advances the virtual time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for i in 0..self.hosts.len() {
                let host = &mut self.hosts[i];
                if let Some((orders, _)) = host.fetching.take_if(|it| it.1 <= self.now) {
                    host.orders_version = orders;
                }
                if self.hosts[i].is_alive && self.hosts[i].next_digest <= self.now {
                    self.send_digest(i);
                }
            }
        }
    }

    /// Sends a host's digest, and its data centre's summary if it is the leader.
    pub fn send_digest(&mut self, i: usize) {
        let now = self.now;
        let host = &mut self.hosts[i];
        let host_now = now - host.started_at;
        let topology = host.peers.refresh_topology(host_now);
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
        host.balancer.fill_digest(host_now, &mut digest);
        digest.suspects = host.quarantine.suspects_for_digest(host_now, &topology, host.sequence);
        digest.draining =
            host.drain_marks.take_for_digest(topology.digest_scope(host.sequence), |_| true);
        let mut out = Vec::new();
        if topology.is_leader() {
            let mut summary = Digest {
                host: u64::from(host.data_centre),
                passed_on: true,
                seeks_hosts: false,
                ..digest.clone()
            };
            host.balancer.fill_summary(host_now, &mut summary);
            summary.suspects = host.quarantine.suspects_for_summary(host_now);
            summary.draining = host.drain_marks.for_summary(|_| true);
            let recipients = host.peers.summary_recipients(host_now, host.sequence);
            out.extend(recipients.into_iter().map(|it| (it, summary.clone())));
        }
        digest.relayed = host.peers.take_forwards();
        out.extend(host.peers.recipients(host.sequence).into_iter().map(|it| (it, digest.clone())));
        host.next_digest = now + topology.period();
        self.send(i, out);
    }

    /// Sends digests from a host; some are lost.
    pub fn send(&mut self, i: usize, out: Vec<(SocketAddr, Digest)>) {
        let from = self.hosts[i].address;
        self.hosts[i].n_sent += out.len() as u64;
        for (to, digest) in out {
            if self.loss_percent <= self.rng.u32(0..100) {
                self.in_flight.push((self.now + DELAY, from, to, digest));
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
            if let Some(i) = to.filter(|i| self.hosts[*i].started_at <= now) {
                self.receive(i, from, digest);
            }
        }
    }

    /// Handles a datagram that arrived at a host.
    pub fn receive(&mut self, i: usize, from: SocketAddr, mut digest: Digest) {
        let host = &mut self.hosts[i];
        host.n_received += 1;
        let now = self.now - host.started_at;
        let topology = host.peers.topology();
        let mut out = Vec::new();
        if digest.seeks_hosts && topology.is_hierarchical() {
            out.push((from, Digest { hosts: host.peers.known_hosts(), ..Digest::default() }));
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
                host.drain_marks.insert(*it);
            });
            if host.orders_version < it.orders_version && host.fetching.is_none() {
                host.fetching = Some((it.orders_version, self.now + FETCH_TIME));
            }
            if it.n_summed == 0 {
                host.heard_at.insert(it.host, self.now);
            } else {
                host.summaries.insert(it.data_centre, (self.now, it.n_summed));
            }
            if topology.accepts(&it) {
                host.balancer.merge_digest(now, &it);
            }
            out.extend(host.peers.forward(it, delivery));
        }
        self.send(i, out);
    }

    /// Returns the live hosts of a data centre that act as its leader.
    pub fn leaders(&self, data_centre: u32) -> Vec<usize> {
        let is_leader = |it: &&usize| self.hosts[**it].peers.topology().is_leader();
        let is_member =
            |it: &usize| self.hosts[*it].is_alive && self.hosts[*it].data_centre == data_centre;
        let all: Vec<usize> = (0..self.hosts.len()).filter(is_member).collect();
        all.iter().filter(is_leader).copied().collect()
    }

    /// Asserts that each live host has a digest no older than `age` of each other live host of its
    /// data centre.
    #[track_caller]
    pub fn check_local_known(&self, age: Duration) {
        for (host, other) in self.pairs().filter(|it| it.0.data_centre == it.1.data_centre) {
            let at = host.heard_at.get(&host_hash(other.address));
            let is_known = at.is_some_and(|it| self.now <= *it + age);
            assert!(is_known, "{}: last digest of {} at {at:?}", host.address, other.address);
        }
    }

    /// Asserts in addition that each live host has a summary no older than `age` of each other data
    /// centre, which covers exactly its live hosts.
    #[track_caller]
    pub fn check_all_known(&self, age: Duration) {
        self.check_local_known(age);
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

    /// Returns all pairs of different live hosts.
    pub fn pairs(&self) -> impl Iterator<Item = (&Host, &Host)> {
        let alive = || self.hosts.iter().filter(|it| it.is_alive);
        let others = move |host: &Host| {
            let address = host.address;
            alive().filter(move |it| it.address != address)
        };
        alive().flat_map(move |host| others(host).map(move |it| (host, it)))
    }

    /// Returns the number of live hosts in a data centre.
    pub fn n_alive(&self, data_centre: u32) -> u32 {
        let alive = |it: &&Host| it.is_alive && it.data_centre == data_centre;
        self.hosts.iter().filter(alive).count() as u32
    }
}
