//! Simulation in virtual time of hosts that only exchange digests; datagrams are delayed, and some
//! are lost.

#![allow(dead_code)]

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use portfield::{
    balance::Balancer,
    catalog::DrainMarks,
    gossip::{
        Delivery, FetchSize, GossipConfig, Introduction, ListAnswer, ListSender, PeerCopy,
        PeerTable, asks_now, host_hash,
    },
    quarantine::Quarantine,
    wire::{Digest, KnownHost},
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
    /// Version of the list of upstreams that it knows, zero if it has none.
    pub list_version: u64,
    pub list_fetch: Option<ListFetch>,
    /// Host that it is to ask for the list, and when.
    pub list_ask: Option<(usize, Duration)>,
    /// Whether it heard another host that has the list.
    pub peer_copy: PeerCopy,
    /// Draws the host's part of random waits.
    pub draw: f64,
    /// Other hosts to which it is sending its list.
    pub n_serving: u32,
    /// Indices of the hosts that it sent its list to.
    pub list_sender: ListSender<usize>,
    pub n_sent: u64,
    pub n_received: u64,
}

/// Transfer of the list of upstreams to a host.
#[derive(Clone, Copy)]
pub struct ListFetch {
    /// Index of the host that sends it; `None` for the store.
    pub from: Option<usize>,
    pub version: u64,
    pub ends: Duration,
}

/// The list of upstreams in the store, which hosts read or fetch from each other.
#[derive(Default)]
pub struct SimulatedList {
    /// Version in the store, zero if there is no list.
    pub version: u64,
    /// Time to read it from the store or to fetch it from another host.
    pub transfer_time: Duration,
    /// Reads of the store.
    pub n_reads: u32,
    /// Largest number of other hosts that a host sent its list to at a time.
    pub max_serving: u32,
}

/// A datagram on its way.
struct Datagram {
    arrives: Duration,
    from: SocketAddr,
    to: SocketAddr,
    digest: Rc<Digest>,
}

/// Returns the table of a host that knows no other one.
fn empty_table(address: SocketAddr, data_centre: u32) -> PeerTable {
    let config = GossipConfig { host: host_hash(address), data_centre, direct_limit: DIRECT_LIMIT };
    PeerTable::new(config, std::iter::empty())
}

/// Simulated hosts and the datagrams between them.
pub struct Simulation {
    pub now: Duration,
    pub hosts: Vec<Host>,
    /// Indices of the hosts by address.
    by_address: HashMap<SocketAddr, usize>,
    /// Datagrams on their way, in the order of their arrival.
    in_flight: VecDeque<Datagram>,
    pub list: SimulatedList,
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
            by_address: HashMap::new(),
            in_flight: VecDeque::new(),
            list: SimulatedList::default(),
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
        let jitter = Duration::from_millis(self.rng.u64(0..300));
        let draw = self.rng.f64();
        self.by_address.insert(address, self.hosts.len());
        self.hosts.push(Host {
            address,
            data_centre,
            peers: empty_table(address, data_centre),
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
            list_version: 0,
            list_fetch: None,
            list_ask: None,
            draw,
            peer_copy: PeerCopy::None,
            n_serving: 0,
            list_sender: ListSender::default(),
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

    /// Adds to each host's table what it reads in the store at its start: the `n_first` hosts of its
    /// data centre with the lowest hashes and, if it is one of the first `n_leading`, those of the
    /// other data centres.
    pub fn add_first_rows(&mut self, n_first: usize, n_leading: usize) {
        let mut rows: HashMap<u32, Vec<SocketAddr>> = HashMap::new();
        self.hosts.iter().for_each(|it| rows.entry(it.data_centre).or_default().push(it.address));
        for row in rows.values_mut() {
            row.sort_by_key(|it| host_hash(*it));
            row.truncate(n_first);
        }
        for host in &mut self.hosts {
            let own = host.data_centre;
            rows[&own].iter().for_each(|it| host.peers.add_host(*it, Some(own)));
            if host.peers.is_among_first(n_leading) {
                let all = rows.iter().flat_map(|it| it.1.iter().map(|address| (*it.0, *address)));
                all.for_each(|(centre, it)| host.peers.add_host(it, Some(centre)));
            }
        }
    }

    /// Restarts all hosts at once; each knows what it reads in the store, see
    /// [`Self::add_first_rows`].
    pub fn restart_all(&mut self, n_first: usize, n_leading: usize) {
        for i in 0..self.hosts.len() {
            self.restart(i);
            let host = &mut self.hosts[i];
            host.peers = empty_table(host.address, host.data_centre);
            let jitter = Duration::from_millis(self.rng.u64(0..300));
            (host.started, host.next_digest) = (self.now + jitter, self.now + jitter);
        }
        self.in_flight.clear();
        self.add_first_rows(n_first, n_leading);
    }

    /// Restarts a dead host at the same address.
    pub fn restart(&mut self, i: usize) {
        let known: Vec<_> = self.hosts.iter().map(|it| (it.address, it.data_centre)).collect();
        let now = self.now;
        let host = &mut self.hosts[i];
        host.peers = empty_table(host.address, host.data_centre);
        known.iter().for_each(|it| host.peers.add_host(it.0, Some(it.1)));
        host.balancer = Balancer::new(Duration::from_secs(4));
        host.quarantine = Quarantine::default();
        host.drains = DrainMarks::default();
        (host.list_version, host.list_fetch, host.peer_copy) = (0, None, PeerCopy::None);
        host.list_sender = ListSender::default();
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
                    self.read_list_if_due(i);
                    self.send_digests(i);
                }
                if let Some((from, _)) = self.hosts[i].list_ask.take_if(|it| it.1 <= self.now) {
                    self.fetch_list(i, from);
                }
                self.end_list_fetch(i);
            }
        }
    }

    /// Starts to read the list from the store if a host lacks it and its turn has come.
    fn read_list_if_due(&mut self, i: usize) {
        let (now, version) = (self.now, self.list.version);
        let host = &mut self.hosts[i];
        if version == 0 || host.list_version != 0 || host.list_fetch.is_some() {
            return;
        }
        let uptime = now - host.started;
        let rank = host.peers.reader_rank(uptime);
        if rank.read_due(Duration::ZERO, host.peer_copy, host.draw) <= uptime {
            let ends = now + self.list.transfer_time;
            host.list_fetch = Some(ListFetch { from: None, version, ends });
            self.list.n_reads += 1;
        }
    }

    /// Starts to fetch the list from another host, or from one that it refers to.
    fn fetch_list(&mut self, i: usize, mut from: usize) {
        for _ in 0..6 {
            let holder = &mut self.hosts[from];
            if !holder.is_alive || holder.list_version == 0 || self.hosts[i].list_fetch.is_some() {
                return;
            }
            match self.hosts[from].list_sender.answer(self.now, i) {
                ListAnswer::Send => return self.begin_transfer(i, from),
                ListAnswer::Ask(holders) => match self.rng.choice(holders) {
                    Some(it) => from = it,
                    None => return,
                },
            }
        }
    }

    fn begin_transfer(&mut self, i: usize, from: usize) {
        let (version, ends) = (self.hosts[from].list_version, self.now + self.list.transfer_time);
        self.hosts[i].list_fetch = Some(ListFetch { from: Some(from), version, ends });
        self.hosts[from].n_serving += 1;
        self.list.max_serving = self.list.max_serving.max(self.hosts[from].n_serving);
    }

    fn end_list_fetch(&mut self, i: usize) {
        let now = self.now;
        let Some(fetch) = self.hosts[i].list_fetch.take_if(|it| it.ends <= now) else { return };
        self.hosts[i].list_version = self.hosts[i].list_version.max(fetch.version);
        if let Some(from) = fetch.from {
            self.hosts[from].n_serving -= 1;
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
            list_version: host.list_version,
            ..Digest::default()
        };
        host.balancer.fill_digest(uptime, &mut digest);
        digest.suspects = host.quarantine.suspects_for_digest(uptime, &topology, host.sequence);
        digest.draining =
            host.drains.take_for_digest(topology.digest_scope(host.sequence), |_| true);
        host.balancer.set_digest_period(topology.period());
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
            let summary = Rc::new(summary);
            outgoing.extend(recipients.into_iter().map(|it| (it, summary.clone())));
        }
        digest.relayed = host.peers.take_forwards();
        let digest = Rc::new(digest);
        outgoing.extend(
            host.peers.recipients(host.sequence).into_iter().map(|it| (it, digest.clone())),
        );
        host.next_digest = now + topology.period();
        self.send(i, outgoing);
    }

    /// Sends digests from a host; some are lost.
    pub fn send(&mut self, i: usize, outgoing: Vec<(SocketAddr, Rc<Digest>)>) {
        let from = self.hosts[i].address;
        self.hosts[i].n_sent += outgoing.len() as u64;
        for (to, digest) in outgoing {
            if self.loss <= self.rng.u32(0..100) {
                let arrives = self.now + ONE_WAY_DELAY;
                self.in_flight.push_back(Datagram { arrives, from, to, digest });
            }
        }
    }

    /// Delivers the datagrams that are due.
    pub fn deliver(&mut self) {
        while let Some(it) = self.in_flight.pop_front_if(|it| it.arrives <= self.now) {
            let to = self.by_address.get(&it.to).copied();
            if let Some(i) = to.filter(|i| self.is_running(*i)) {
                self.receive(i, it.from, &it.digest);
            }
        }
    }

    fn is_running(&self, i: usize) -> bool {
        self.hosts[i].is_alive && self.hosts[i].started <= self.now
    }

    /// Processes a datagram as a host does.
    pub fn receive(&mut self, i: usize, from: SocketAddr, digest: &Digest) {
        let host = &mut self.hosts[i];
        host.n_received += 1;
        let now = self.now - host.started;
        let topology = host.peers.topology();
        let mut outgoing = Vec::new();
        if digest.seeks_hosts && topology.is_hierarchical() {
            let to = digest.address.parse().unwrap();
            match host.peers.introduction(digest) {
                Introduction::Hosts(hosts) => {
                    outgoing.push((to, Rc::new(Digest { hosts, ..Digest::default() })));
                }
                Introduction::AskLeader(leader) => {
                    let digest = Digest { passed_on: true, ..digest.clone() };
                    outgoing.push((leader, Rc::new(digest)));
                }
                Introduction::Unknown => {}
            }
        }
        if !digest.hosts.is_empty() {
            let add = |it: &KnownHost| {
                host.peers.add_host(it.address.parse().unwrap(), Some(it.data_centre));
            };
            digest.hosts.iter().for_each(add);
            return;
        }
        let (mut holders, mut n_lacking) = (Vec::new(), 0);
        let relayed = digest.relayed.iter().map(|it| (it, Delivery::Relayed));
        for (it, delivery) in std::iter::once((digest, Delivery::Direct)).chain(relayed) {
            if host.list_version < it.list_version {
                holders.push(it.address.clone());
                host.peer_copy = PeerCopy::Heard;
            } else {
                n_lacking += 1;
            }
            if it.host == host_hash(host.address) {
                continue;
            }
            host.peers.record_digest(now, from, it);
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
            if topology.accepts(it) {
                host.balancer.merge_digest(now, it);
            }
            let own = Digest { relayed: Vec::new(), ..it.clone() };
            outgoing.extend(host.peers.forward(own, delivery).map(|it| (it.0, Rc::new(it.1))));
        }
        self.send(i, outgoing);
        let n_holders = holders.len();
        let asks = asks_now(n_holders, n_lacking, FetchSize::WholeList, self.rng.f64());
        if asks && let Some(address) = self.rng.choice(holders) {
            let from = self.by_address[&address.parse().unwrap()];
            let at = self.now + topology.period().mul_f64(self.rng.f64());
            self.hosts[i].list_ask.get_or_insert((from, at));
        }
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
