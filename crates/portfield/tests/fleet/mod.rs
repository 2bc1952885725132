//! Hosts that only tell and hear, in virtual time: datagrams take a while, and some are lost.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use portfield::{
    balance::{Balancer, Delivery, GossipConfig, PeerTable, host_hash},
    catalog::DrainMarks,
    quarantine::Quarantine,
    wire::Digest,
};

pub const STEP: Duration = Duration::from_millis(1);
/// One way between two hosts.
pub const DELAY: Duration = Duration::from_millis(1);
pub const SEED: u64 = 7;
/// Time for which a host fetches from another one what that knows and it does not.
pub const FETCH: Duration = Duration::from_millis(30);
/// Most other hosts that each tell every other one.
pub const DIRECT: usize = 12;

/// A host that only tells and hears.
pub struct Host {
    pub address: SocketAddr,
    pub data_centre: u32,
    pub others: PeerTable,
    pub balancer: Balancer,
    pub quarantine: Quarantine,
    pub drains: DrainMarks,
    pub started: Duration,
    pub next: Duration,
    pub sequence: u64,
    pub incarnation: u64,
    pub is_alive: bool,
    /// When each other host's own word was last heard, itself or through the speaker.
    pub heard: HashMap<u64, Duration>,
    /// When the sum of each other data centre was last heard, and for how many it spoke.
    pub sums: HashMap<u32, (Duration, u32)>,
    /// Version of the operator's orders that it knows.
    pub orders: u64,
    /// The version that it fetches, and when it has it.
    pub fetching: Option<(u64, Duration)>,
    pub n_sent: u64,
    pub n_received: u64,
}

pub struct World {
    pub now: Duration,
    pub hosts: Vec<Host>,
    pub under_way: Vec<(Duration, SocketAddr, SocketAddr, Digest)>,
    /// Of a hundred datagrams so many are lost.
    pub loss: u32,
    pub rng: fastrand::Rng,
}

impl World {
    /// Builds a fleet that starts now; each host knows all others by the store, or only `n_seeds`.
    pub fn new(n_centres: u32, n_each: u32, n_seeds: Option<usize>) -> Self {
        let mut res = Self {
            now: Duration::from_millis(1),
            hosts: Vec::new(),
            under_way: Vec::new(),
            loss: 0,
            rng: fastrand::Rng::with_seed(SEED),
        };
        (0..n_centres * n_each).for_each(|it| res.add(it % n_centres, it));
        res.meet(n_seeds);
        res
    }

    pub fn add(&mut self, data_centre: u32, number: u32) {
        let address = SocketAddr::from(([10, data_centre as u8, 0, 0], 7000 + number as u16));
        let place = GossipConfig { host: host_hash(address), data_centre, direct_limit: DIRECT };
        let jitter = Duration::from_millis(self.rng.u64(0..300));
        self.hosts.push(Host {
            address,
            data_centre,
            others: PeerTable::new(place, std::iter::empty()),
            balancer: Balancer::new(Duration::from_secs(4)),
            quarantine: Quarantine::default(),
            drains: DrainMarks::default(),
            started: self.now + jitter,
            next: self.now + jitter,
            sequence: 0,
            incarnation: 1,
            is_alive: true,
            heard: HashMap::new(),
            sums: HashMap::new(),
            orders: 0,
            fetching: None,
            n_sent: 0,
            n_received: 0,
        });
    }

    /// Lets each host know of the others.
    pub fn meet(&mut self, n_seeds: Option<usize>) {
        let all: Vec<_> = self.hosts.iter().map(|it| (it.address, it.data_centre)).collect();
        for host in &mut self.hosts {
            match n_seeds {
                None => all.iter().for_each(|it| host.others.add_host(it.0, Some(it.1))),
                Some(n) => all.iter().take(n).for_each(|it| host.others.add_host(it.0, None)),
            }
        }
    }

    /// Starts a dead host anew at the same address.
    pub fn revive(&mut self, i: usize) {
        let known: Vec<_> = self.hosts.iter().map(|it| (it.address, it.data_centre)).collect();
        let now = self.now;
        let host = &mut self.hosts[i];
        let place = GossipConfig {
            host: host_hash(host.address),
            data_centre: host.data_centre,
            direct_limit: DIRECT,
        };
        host.others = PeerTable::new(place, std::iter::empty());
        known.iter().for_each(|it| host.others.add_host(it.0, Some(it.1)));
        host.balancer = Balancer::new(Duration::from_secs(4));
        host.quarantine = Quarantine::default();
        host.drains = DrainMarks::default();
        (host.started, host.next, host.sequence) = (now, now, 0);
        host.incarnation += 1;
        host.is_alive = true;
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for i in 0..self.hosts.len() {
                let host = &mut self.hosts[i];
                if let Some((orders, _)) = host.fetching.take_if(|it| it.1 <= self.now) {
                    host.orders = orders;
                }
                if self.hosts[i].is_alive && self.hosts[i].next <= self.now {
                    self.tell(i);
                }
            }
        }
    }

    pub fn tell(&mut self, i: usize) {
        let now = self.now;
        let host = &mut self.hosts[i];
        let own = now - host.started;
        let audience = host.others.refresh_topology(own);
        host.sequence += 1;
        let mut digest = Digest {
            host: host_hash(host.address),
            incarnation: host.incarnation,
            sequence: host.sequence,
            data_centre: host.data_centre,
            address: host.address.to_string(),
            seeks_hosts: !host.others.knows_local_host(),
            orders_version: host.orders,
            ..Digest::default()
        };
        host.balancer.fill_digest(own, &mut digest);
        digest.suspects = host.quarantine.suspects_for_digest(own, &audience, host.sequence);
        digest.draining =
            host.drains.take_for_digest(audience.digest_scope(host.sequence), |_| true);
        let mut out = Vec::new();
        if audience.is_leader() {
            let mut sum = Digest {
                host: u64::from(host.data_centre),
                passed_on: true,
                seeks_hosts: false,
                ..digest.clone()
            };
            host.balancer.fill_summary(own, &mut sum);
            sum.suspects = host.quarantine.suspects_for_summary(own);
            sum.draining = host.drains.for_summary(|_| true);
            let told = host.others.summary_recipients(own, host.sequence);
            out.extend(told.into_iter().map(|it| (it, sum.clone())));
        }
        digest.relayed = host.others.take_forwards();
        out.extend(
            host.others.recipients(host.sequence).into_iter().map(|it| (it, digest.clone())),
        );
        host.next = now + audience.period();
        self.send(i, out);
    }

    pub fn send(&mut self, i: usize, out: Vec<(SocketAddr, Digest)>) {
        let from = self.hosts[i].address;
        self.hosts[i].n_sent += out.len() as u64;
        for (to, digest) in out {
            if self.loss <= self.rng.u32(0..100) {
                self.under_way.push((self.now + DELAY, from, to, digest));
            }
        }
    }

    pub fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.under_way).into_iter().partition(|it| it.0 <= now);
        self.under_way = later;
        for (_, from, to, digest) in due {
            let to = self.hosts.iter().position(|it| it.address == to && it.is_alive);
            if let Some(i) = to.filter(|i| self.hosts[*i].started <= now) {
                self.take(i, from, digest);
            }
        }
    }

    /// Does what a host does with a datagram.
    pub fn take(&mut self, i: usize, from: SocketAddr, mut digest: Digest) {
        let host = &mut self.hosts[i];
        host.n_received += 1;
        let now = self.now - host.started;
        let audience = host.others.topology();
        let mut out = Vec::new();
        if digest.seeks_hosts && audience.is_hierarchical() {
            out.push((from, Digest { hosts: host.others.known_hosts(), ..Digest::default() }));
        }
        if !digest.hosts.is_empty() {
            let hosts = digest.hosts.iter();
            hosts.for_each(|it| {
                host.others.add_host(it.address.parse().unwrap(), Some(it.data_centre));
            });
            return;
        }
        let relayed =
            std::mem::take(&mut digest.relayed).into_iter().map(|it| (it, Delivery::Relayed));
        for (it, way) in std::iter::once((digest, Delivery::Direct)).chain(relayed) {
            if it.host == host_hash(host.address) {
                continue;
            }
            host.others.record_digest(now, from, &it);
            host.quarantine.merge(now, &it.suspects);
            it.draining.iter().for_each(|it| {
                host.drains.insert(*it);
            });
            if host.orders < it.orders_version && host.fetching.is_none() {
                host.fetching = Some((it.orders_version, self.now + FETCH));
            }
            if it.n_summed == 0 {
                host.heard.insert(it.host, self.now);
            } else {
                host.sums.insert(it.data_centre, (self.now, it.n_summed));
            }
            if audience.accepts(&it) {
                host.balancer.merge_digest(now, &it);
            }
            out.extend(host.others.forward(it, way));
        }
        self.send(i, out);
    }

    /// Returns the hosts that live and speak for a data centre.
    pub fn speakers(&self, data_centre: u32) -> Vec<usize> {
        let speaks = |it: &&usize| self.hosts[**it].others.topology().is_leader();
        let there =
            |it: &usize| self.hosts[*it].is_alive && self.hosts[*it].data_centre == data_centre;
        let all: Vec<usize> = (0..self.hosts.len()).filter(there).collect();
        all.iter().filter(speaks).copied().collect()
    }

    /// Checks that each living host has heard lately of all of its data centre that live.
    #[track_caller]
    pub fn check_near_known(&self, age: Duration) {
        for (host, other) in self.pairs().filter(|it| it.0.data_centre == it.1.data_centre) {
            let at = host.heard.get(&host_hash(other.address));
            let is_known = at.is_some_and(|it| self.now <= *it + age);
            assert!(is_known, "{} of {}: {at:?}", host.address, other.address);
        }
    }

    /// Checks that each living host has heard lately of all that live, and of none that does not.
    #[track_caller]
    pub fn check_all_known(&self, age: Duration) {
        self.check_near_known(age);
        for (host, other) in self.pairs().filter(|it| it.0.data_centre != it.1.data_centre) {
            let n = self.n_alive(other.data_centre);
            let sum = host.sums.get(&other.data_centre);
            let is_known = sum.is_some_and(|it| self.now <= it.0 + age && it.1 == n);
            assert!(is_known, "{} of {n} in {}: {sum:?}", host.address, other.data_centre);
        }
    }

    /// Returns all pairs of living hosts.
    pub fn pairs(&self) -> impl Iterator<Item = (&Host, &Host)> {
        let alive = || self.hosts.iter().filter(|it| it.is_alive);
        let others = move |host: &Host| {
            let address = host.address;
            alive().filter(move |it| it.address != address)
        };
        alive().flat_map(move |host| others(host).map(move |it| (host, it)))
    }

    pub fn n_alive(&self, data_centre: u32) -> u32 {
        let alive = |it: &&Host| it.is_alive && it.data_centre == data_centre;
        self.hosts.iter().filter(alive).count() as u32
    }
}
