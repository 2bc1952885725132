//! Who tells whom where there are many hosts, in virtual time: every host hears of every other one
//! soon, through starts, deaths, cuts and lost datagrams, and what it costs does not grow.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use portfield::{
    balance::{Balancer, Others, Place, Way, host_hash},
    quarantine::{Quarantine, Request},
    wire::Digest,
};

const STEP: Duration = Duration::from_millis(1);
/// One way between two hosts.
const DELAY: Duration = Duration::from_millis(1);
const SEED: u64 = 7;
/// Most other hosts that each tell every other one.
const DIRECT: usize = 12;

/// A host that only tells and hears.
struct Host {
    address: SocketAddr,
    data_centre: u32,
    others: Others,
    balancer: Balancer,
    quarantine: Quarantine,
    started: Duration,
    next: Duration,
    sequence: u64,
    incarnation: u64,
    is_alive: bool,
    /// When each other host's own word was last heard, itself or through the speaker.
    heard: HashMap<u64, Duration>,
    /// When the sum of each other data centre was last heard, and for how many it spoke.
    sums: HashMap<u32, (Duration, u32)>,
    n_sent: u64,
    n_received: u64,
}

struct World {
    now: Duration,
    hosts: Vec<Host>,
    under_way: Vec<(Duration, SocketAddr, SocketAddr, Digest)>,
    /// Of a hundred datagrams so many are lost.
    loss: u32,
    rng: fastrand::Rng,
}

impl World {
    /// Builds a fleet that starts now; each host knows all others by the store, or only `n_seeds`.
    fn new(n_centres: u32, n_each: u32, n_seeds: Option<usize>) -> Self {
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

    fn add(&mut self, data_centre: u32, number: u32) {
        let address = SocketAddr::from(([10, data_centre as u8, 0, 0], 7000 + number as u16));
        let place = Place { host: host_hash(address), data_centre, direct: DIRECT };
        let jitter = Duration::from_millis(self.rng.u64(0..300));
        self.hosts.push(Host {
            address,
            data_centre,
            others: Others::new(place, std::iter::empty()),
            balancer: Balancer::new(Duration::from_secs(4)),
            quarantine: Quarantine::default(),
            started: self.now + jitter,
            next: self.now + jitter,
            sequence: 0,
            incarnation: 1,
            is_alive: true,
            heard: HashMap::new(),
            sums: HashMap::new(),
            n_sent: 0,
            n_received: 0,
        });
    }

    /// Lets each host know of the others.
    fn meet(&mut self, n_seeds: Option<usize>) {
        let all: Vec<_> = self.hosts.iter().map(|it| (it.address, it.data_centre)).collect();
        for host in &mut self.hosts {
            match n_seeds {
                None => all.iter().for_each(|it| host.others.learn(it.0, Some(it.1))),
                Some(n) => all.iter().take(n).for_each(|it| host.others.learn(it.0, None)),
            }
        }
    }

    /// Starts a dead host anew at the same address.
    fn revive(&mut self, i: usize) {
        let known: Vec<_> = self.hosts.iter().map(|it| (it.address, it.data_centre)).collect();
        let now = self.now;
        let host = &mut self.hosts[i];
        let place =
            Place { host: host_hash(host.address), data_centre: host.data_centre, direct: DIRECT };
        host.others = Others::new(place, std::iter::empty());
        known.iter().for_each(|it| host.others.learn(it.0, Some(it.1)));
        host.balancer = Balancer::new(Duration::from_secs(4));
        host.quarantine = Quarantine::default();
        (host.started, host.next, host.sequence) = (now, now, 0);
        host.incarnation += 1;
        host.is_alive = true;
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for i in 0..self.hosts.len() {
                if self.hosts[i].is_alive && self.hosts[i].next <= self.now {
                    self.tell(i);
                }
            }
        }
    }

    fn tell(&mut self, i: usize) {
        let now = self.now;
        let host = &mut self.hosts[i];
        let own = now - host.started;
        let audience = host.others.look(own);
        host.sequence += 1;
        let mut digest = Digest {
            host: host_hash(host.address),
            incarnation: host.incarnation,
            sequence: host.sequence,
            data_centre: host.data_centre,
            address: host.address.to_string(),
            seeks_hosts: !host.others.knows_near(),
            ..Digest::default()
        };
        host.balancer.report(own, &mut digest);
        digest.suspects = host.quarantine.report(own, &audience, host.sequence);
        let mut out = Vec::new();
        if audience.speaks() {
            let mut sum = Digest {
                host: u64::from(host.data_centre),
                passed_on: true,
                seeks_hosts: false,
                ..digest.clone()
            };
            host.balancer.summarize(own, &mut sum);
            sum.suspects = host.quarantine.summarize(own);
            let told = host.others.told_sum(own, host.sequence);
            out.extend(told.into_iter().map(|it| (it, sum.clone())));
        }
        digest.relayed = host.others.take_passing();
        out.extend(host.others.told(host.sequence).into_iter().map(|it| (it, digest.clone())));
        host.next = now + audience.period();
        self.send(i, out);
    }

    fn send(&mut self, i: usize, out: Vec<(SocketAddr, Digest)>) {
        let from = self.hosts[i].address;
        self.hosts[i].n_sent += out.len() as u64;
        for (to, digest) in out {
            if self.loss <= self.rng.u32(0..100) {
                self.under_way.push((self.now + DELAY, from, to, digest));
            }
        }
    }

    fn deliver(&mut self) {
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
    fn take(&mut self, i: usize, from: SocketAddr, mut digest: Digest) {
        let host = &mut self.hosts[i];
        host.n_received += 1;
        let now = self.now - host.started;
        let audience = host.others.audience();
        let mut out = Vec::new();
        if digest.seeks_hosts && audience.is_large() {
            out.push((from, Digest { hosts: host.others.known(), ..Digest::default() }));
        }
        if !digest.hosts.is_empty() {
            let hosts = digest.hosts.iter();
            hosts.for_each(|it| {
                host.others.learn(it.address.parse().unwrap(), Some(it.data_centre));
            });
            return;
        }
        let relayed = std::mem::take(&mut digest.relayed).into_iter().map(|it| (it, Way::Relayed));
        for (it, way) in std::iter::once((digest, Way::Direct)).chain(relayed) {
            if it.host == host_hash(host.address) {
                continue;
            }
            host.others.hear(now, from, &it);
            host.quarantine.take(now, &it.suspects);
            if it.n_summed == 0 {
                host.heard.insert(it.host, self.now);
            } else {
                host.sums.insert(it.data_centre, (self.now, it.n_summed));
            }
            if audience.counts(&it) {
                host.balancer.merge(now, &it);
            }
            out.extend(host.others.pass_on(it, way));
        }
        self.send(i, out);
    }

    /// Returns the hosts that live and speak for a data centre.
    fn speakers(&self, data_centre: u32) -> Vec<usize> {
        let speaks = |it: &&usize| self.hosts[**it].others.audience().speaks();
        let there =
            |it: &usize| self.hosts[*it].is_alive && self.hosts[*it].data_centre == data_centre;
        let all: Vec<usize> = (0..self.hosts.len()).filter(there).collect();
        all.iter().filter(speaks).copied().collect()
    }

    /// Checks that each living host has heard lately of all of its data centre that live.
    #[track_caller]
    fn check_near_known(&self, age: Duration) {
        for (host, other) in self.pairs().filter(|it| it.0.data_centre == it.1.data_centre) {
            let at = host.heard.get(&host_hash(other.address));
            let is_known = at.is_some_and(|it| self.now <= *it + age);
            assert!(is_known, "{} of {}: {at:?}", host.address, other.address);
        }
    }

    /// Checks that each living host has heard lately of all that live, and of none that does not.
    #[track_caller]
    fn check_all_known(&self, age: Duration) {
        self.check_near_known(age);
        for (host, other) in self.pairs().filter(|it| it.0.data_centre != it.1.data_centre) {
            let n = self.n_alive(other.data_centre);
            let sum = host.sums.get(&other.data_centre);
            let is_known = sum.is_some_and(|it| self.now <= it.0 + age && it.1 == n);
            assert!(is_known, "{} of {n} in {}: {sum:?}", host.address, other.data_centre);
        }
    }

    /// Returns all pairs of living hosts.
    fn pairs(&self) -> impl Iterator<Item = (&Host, &Host)> {
        let alive = || self.hosts.iter().filter(|it| it.is_alive);
        let others = move |host: &Host| {
            let address = host.address;
            alive().filter(move |it| it.address != address)
        };
        alive().flat_map(move |host| others(host).map(move |it| (host, it)))
    }

    fn n_alive(&self, data_centre: u32) -> u32 {
        let alive = |it: &&Host| it.is_alive && it.data_centre == data_centre;
        self.hosts.iter().filter(alive).count() as u32
    }
}

/// Age of the last word of a host: two periods of 118 ms at 59 hosts, and one lost.
const AGE: Duration = Duration::from_millis(400);

/// An idle host at 295 handled some 700 datagrams a second, a number that grew with the hosts of its
/// data centre; now it handles 17 of its own and 9 of the speaker.
#[test]
fn all_hear_of_all_and_few_datagrams_are_sent() {
    for n_each in [20, 59] {
        let mut world = World::new(5, n_each, None);
        world.run(Duration::from_secs(5));
        world.check_all_known(AGE);
        let before: Vec<u64> = world.hosts.iter().map(|it| it.n_sent + it.n_received).collect();
        world.run(Duration::from_secs(4));
        let mut rates: Vec<u64> = world
            .hosts
            .iter()
            .zip(before)
            .map(|(it, before)| (it.n_sent + it.n_received - before) / 4)
            .collect();
        rates.sort_unstable();
        let (middle, most) = (rates[rates.len() / 2], rates[rates.len() - 1]);
        assert!(middle <= 62, "{n_each} hosts: {middle} datagrams a second");
        assert!(most <= 1_100, "{n_each} hosts: {most} datagrams a second at a speaker");
        assert!((0..5).all(|it| world.speakers(it).len() == 1));
    }
}

#[test]
fn hosts_that_know_three_seeds_only_find_all_others() {
    let mut world = World::new(3, 20, Some(3));
    world.run(Duration::from_secs(8));
    world.check_all_known(AGE);
}

#[test]
fn the_next_in_line_speaks_once_the_speaker_is_dead() {
    let mut world = World::new(3, 25, None);
    world.run(Duration::from_secs(5));
    let first = world.speakers(1)[0];
    world.hosts[first].is_alive = false;
    world.run(Duration::from_millis(800));
    world.check_near_known(AGE);
    // The dead one counts for 1.5 s.
    world.run(Duration::from_millis(1_200));
    world.check_all_known(AGE);
    assert_ne!(world.speakers(1), [first]);
}

#[test]
fn a_data_centre_whose_first_two_die_at_once_finds_itself_again() {
    let mut world = World::new(3, 25, None);
    world.run(Duration::from_secs(5));
    for _ in 0..2 {
        let mut line: Vec<usize> = (0..world.hosts.len())
            .filter(|it| world.hosts[*it].is_alive && world.hosts[*it].data_centre == 0)
            .collect();
        line.sort_by_key(|it| host_hash(world.hosts[*it].address));
        world.hosts[line[0]].is_alive = false;
    }
    world.run(Duration::from_millis(2_000));
    world.check_all_known(AGE);
}

#[test]
fn a_host_that_comes_back_is_heard_soon_though_it_is_the_first_in_line() {
    let mut world = World::new(3, 25, None);
    world.run(Duration::from_secs(5));
    let first = world.speakers(2)[0];
    world.hosts[first].is_alive = false;
    world.run(Duration::from_secs(12));
    world.check_all_known(AGE);
    world.revive(first);
    world.run(Duration::from_millis(1_200));
    world.check_all_known(AGE);
    assert_eq!(world.speakers(2), [first]);
}

#[test]
fn all_hear_of_all_while_a_tenth_of_the_datagrams_is_lost() {
    let mut world = World::new(5, 40, None);
    world.loss = 10;
    world.run(Duration::from_secs(6));
    world.check_all_known(AGE * 2);
}

#[test]
fn all_that_start_anew_at_once_find_each_other() {
    let mut world = World::new(5, 59, None);
    world.run(Duration::from_secs(3));
    world.check_all_known(AGE);
}

/// A host that for a moment counted one host too few took the others for few, ignored the sums, and
/// stayed so: 14 hosts, of which one was stopped and started.
#[test]
fn hosts_at_the_border_between_few_and_many_know_all_again() {
    let mut world = World::new(2, 7, None);
    world.run(Duration::from_secs(5));
    world.check_all_known(AGE);
    for i in [3, 8] {
        world.hosts[i].is_alive = false;
        world.run(Duration::from_secs(13));
        world.revive(i);
        world.run(Duration::from_secs(4));
        world.check_all_known(AGE);
    }
}

/// A request whose runs ended upstreams at three hosts, one each, in three data centres.
fn with_suspect(n_each: u32, loss: u32) -> (World, Request) {
    let mut world = World::new(5, n_each, None);
    world.loss = loss;
    world.run(Duration::from_secs(5));
    let request = Request { workspace: 7, fingerprint: 0xfeed };
    for (i, upstream) in [(1, 100), (7, 101), (8, 102)] {
        let host = &mut world.hosts[i];
        let own = world.now - host.started;
        assert_eq!(host.quarantine.ended(own, &[request], upstream), []);
    }
    (world, request)
}

impl World {
    /// Returns how many hosts would send a request.
    fn n_sending(&self, request: Request) -> usize {
        let sends = |it: &&Host| {
            let own = self.now.saturating_sub(it.started);
            it.is_alive && it.quarantine.verdict(own, request).is_none()
        };
        self.hosts.iter().filter(sends).count()
    }
}

/// Within three seconds of the last of three ends every host has to know of them.
#[test]
fn what_three_hosts_saw_adds_up_at_all() {
    for (n_each, loss) in [(2, 0), (2, 10), (12, 10), (60, 0), (60, 10)] {
        let (mut world, request) = with_suspect(n_each, loss);
        world.run(Duration::from_millis(1500));
        assert_eq!(world.n_sending(request), 0, "{n_each} hosts a data centre, {loss} % lost");
    }
}

#[test]
fn hosts_that_start_anew_learn_which_requests_are_refused() {
    let (mut world, request) = with_suspect(60, 10);
    world.run(Duration::from_secs(10));
    (0..30).for_each(|i| world.revive(i * 7));
    assert_eq!(world.n_sending(request), 30);
    world.run(Duration::from_secs(4));
    assert_eq!(world.n_sending(request), 0);
}

/// Some fifteen requests of others run at an engine that ends, at as many hosts.
#[test]
fn evidence_of_many_requests_does_not_hold_up_that_of_one() {
    let (mut world, request) = with_suspect(60, 10);
    for n in 0..1500 {
        let host = &mut world.hosts[n % 300];
        let other = Request { workspace: n as u32 % 40, fingerprint: n as u64 };
        host.quarantine.ended(world.now - host.started, &[other], 200 + n as u32 % 100);
    }
    world.run(Duration::from_secs(3));
    assert_eq!(world.n_sending(request), 0);
}

impl World {
    /// Lets hosts go on that stood still: they know what they knew.
    fn go_on(&mut self, hosts: &[usize]) {
        for i in hosts {
            let host = &mut self.hosts[*i];
            host.others.drop_passing();
            host.next = self.now;
            host.is_alive = true;
        }
    }

    /// Returns the hosts of a data centre in the order in which they speak for it.
    fn line(&self, data_centre: u32) -> Vec<usize> {
        let there = |it: &usize| self.hosts[*it].data_centre == data_centre;
        let mut res: Vec<usize> = (0..self.hosts.len()).filter(there).collect();
        res.sort_by_key(|it| host_hash(self.hosts[*it].address));
        res
    }
}

/// Two hosts, of which one spoke, and all of a data centre.
#[test]
fn hosts_that_stood_still_are_heard_again_though_nothing_says_that_they_are_new() {
    for n_still in [2, 25] {
        let mut world = World::new(3, 25, None);
        world.run(Duration::from_secs(5));
        let still: Vec<usize> = world.line(1).into_iter().take(n_still).collect();
        still.iter().for_each(|i| world.hosts[*i].is_alive = false);
        world.run(Duration::from_secs(9));
        world.go_on(&still);
        world.run(Duration::from_millis(1_500));
        world.check_all_known(AGE);
        assert_eq!(world.speakers(1), [world.line(1)[0]]);
    }
}

/// What is held against a request gets older while who tells it stands still.
#[test]
fn a_verdict_told_by_a_host_that_stood_still_is_as_old_as_it_is() {
    let (mut world, request) = with_suspect(25, 0);
    world.run(Duration::from_secs(3));
    let still = world.line(1);
    still.iter().for_each(|i| world.hosts[*i].is_alive = false);
    world.run(Duration::from_secs(60));
    world.go_on(&still);
    let new = world.line(2)[3];
    world.revive(new);
    world.run(Duration::from_secs(3));
    let left = |world: &World, i: usize| {
        let host = &world.hosts[i];
        host.quarantine.verdict(world.now - host.started, request).unwrap().left
    };
    let (here, there) = (left(&world, still[0]), left(&world, new));
    assert!(here < Duration::from_secs(60), "{here:?}");
    assert!(here.abs_diff(there) < Duration::from_millis(50), "{here:?} {there:?}");
}

/// Evidence of the two sides of a cut adds up by the store, which a host reads while it misses a data centre.
#[test]
fn a_data_centre_that_falls_silent_is_missed_and_a_host_that_does_is_not() {
    for n_each in [3, 20] {
        let mut world = World::new(3, n_each, None);
        world.run(Duration::from_secs(5));
        let misses = |world: &World, i: usize| {
            let host = &world.hosts[i];
            host.others.misses_centre(world.now - host.started)
        };
        let near = world.line(0)[0];
        assert!(!misses(&world, near));
        let there = world.line(1);
        there[1..].iter().for_each(|i| world.hosts[*i].is_alive = false);
        world.run(Duration::from_secs(3));
        assert!(!misses(&world, near), "one of {n_each} is there");
        world.hosts[there[0]].is_alive = false;
        world.run(Duration::from_secs(2));
        assert!(misses(&world, near), "none of {n_each} is there");
        assert!(misses(&world, world.line(2)[1]));
        world.run(Duration::from_secs(62));
        assert!(!misses(&world, near), "it has ended");
    }
}

#[test]
fn the_first_hosts_of_each_data_centre_are_few_and_all_of_a_small_one() {
    for (n_each, expected) in [(3, 9), (20, 12)] {
        let world = World::new(3, n_each, None);
        let n = world.hosts.iter().filter(|it| it.others.is_among_first(4)).count();
        assert_eq!(n, expected, "{n_each} hosts a data centre");
    }
}
