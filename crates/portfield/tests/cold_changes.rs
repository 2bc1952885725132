//! Requests that reach cold upstreams while hosts are killed, restarted and added, in virtual time.
//!
//! Each host has more callers than the upstreams may be sent requests, and each process counts time from its own
//! start, as on a real host.

use std::{collections::BTreeSet, time::Duration};

use portfield::{
    balance::{Balancer, Candidate, Placement, PlacementRequest, Stage},
    upstream::{ColdQuota, Membership, cold_quota},
};

/// Requests that a cold upstream may get in any second, as in docs/incidents/cold-rate-after-restart.md.
const MAX_RATE: f64 = 14.15;
const COLD: Duration = Duration::from_secs(3);
const N_UPSTREAMS: u32 = 12;
const TICK: Duration = Duration::from_millis(5);
/// Time from the start of a process until it takes requests, at the least.
const START_TIME: Duration = Duration::from_millis(300);
/// Time between two digests, and from the start of a host until the others hear of it.
const DIGEST_PERIOD: Duration = Duration::from_millis(50);
const LEARN_TIME: Duration = Duration::from_millis(250);
/// Time from a kill until the process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(50);

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What happens to a host.
#[derive(Debug, Clone, Copy)]
enum Change {
    /// Its process is killed, and started again.
    Restart,
    /// It is lost for good.
    Loss,
    /// It is added; hosts are numbered in the order in which they are.
    Join,
}

/// A change of the host with a number, at a time since the upstreams turned cold.
type Step = (Duration, usize, Change);

/// A process of a host.
struct Process {
    balancer: Balancer,
    started: Duration,
    membership: Membership,
    /// Numbers of the hosts that it knows.
    known: BTreeSet<usize>,
}

struct Fleet {
    /// Running processes by the number of their host.
    processes: Vec<Option<Process>>,
    /// When hosts were added, with their numbers: the others hear of them [`LEARN_TIME`] later.
    joined: Vec<(Duration, usize)>,
    /// Times at which requests were sent to each upstream.
    sent: Vec<Vec<Duration>>,
}

/// Returns the hash of a host by its number.
fn host_hash(n: usize) -> u64 {
    (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn request() -> PlacementRequest {
    PlacementRequest {
        workspace: 1,
        service: 1,
        objective: Duration::from_secs(1),
        stage: Stage::New,
        ..PlacementRequest::default()
    }
}

impl Fleet {
    /// Starts hosts long before the upstreams turn cold.
    fn new(n_hosts: usize) -> Self {
        let sent = vec![Vec::new(); N_UPSTREAMS as usize];
        let mut res = Self { processes: Vec::new(), joined: Vec::new(), sent };
        res.processes.resize_with(n_hosts, || None);
        (0..n_hosts).for_each(|it| res.start(it, Duration::ZERO, Membership::New));
        res
    }

    /// Starts a process of a host, which reads the table of all hosts.
    fn start(&mut self, host: usize, started: Duration, membership: Membership) {
        let known = (0..self.processes.len()).collect();
        let balancer = Balancer::new(COLD);
        self.processes[host] = Some(Process { balancer, started, membership, known });
        self.mark_cold(host);
    }

    /// Tells a process what it may send to the cold upstreams, by the hosts that it knows.
    fn mark_cold(&mut self, host: usize) {
        let Some(process) = &mut self.processes[host] else { return };
        let known: Vec<u64> = process.known.iter().copied().map(host_hash).collect();
        let until = START + COLD - process.started;
        for upstream in 0..N_UPSTREAMS {
            let rate = cold_quota(MAX_RATE, &known, host_hash(host), upstream);
            let quota = ColdQuota::new(rate, process.membership, DIGEST_PERIOD);
            process.balancer.mark_cold(upstream, until, quota);
        }
    }

    fn change(&mut self, now: Duration, host: usize, change: Change) {
        match change {
            Change::Restart => self.start(host, now + RESTART_DELAY, Membership::Returned),
            Change::Loss => self.processes[host] = None,
            Change::Join => {
                assert_eq!(host, self.processes.len(), "hosts are added in their order");
                self.processes.push(None);
                self.joined.push((now, host));
                self.start(host, now, Membership::New);
            }
        }
    }

    /// Has all processes hear of the hosts that were added some time ago.
    fn learn(&mut self, now: Duration) {
        let is_due = |it: &mut (Duration, usize)| it.0 + LEARN_TIME <= now;
        let due: Vec<_> = self.joined.extract_if(.., is_due).map(|it| it.1).collect();
        if due.is_empty() {
            return;
        }
        for host in 0..self.processes.len() {
            if let Some(it) = &mut self.processes[host] {
                it.known.extend(&due);
            }
            self.mark_cold(host);
        }
    }

    /// Has every process send what it may to every upstream.
    fn send(&mut self, now: Duration) {
        for process in self.processes.iter_mut().flatten() {
            let own_now = now.saturating_sub(process.started);
            if own_now < START_TIME {
                continue;
            }
            for upstream in 0..N_UPSTREAMS {
                let candidates = [Candidate { upstream, slots: 1000, is_local: true }];
                let placement = process.balancer.place(own_now, &request(), &candidates);
                if let Placement::Send(it) = placement {
                    process.balancer.record_start(own_now, &request(), &it);
                    self.sent[upstream as usize].push(now);
                }
            }
        }
    }
}

/// When the upstreams turn cold.
const START: Duration = Duration::from_secs(20);

/// Most requests that reached an upstream in a second, and the fewest that one got in all.
#[derive(Debug, Clone, Copy)]
struct Stats {
    peak: usize,
    least: usize,
}

fn simulate(n_hosts: usize, steps: &[Step]) -> Stats {
    let mut fleet = Fleet::new(n_hosts);
    let mut now = START;
    let mut steps: Vec<Step> = steps.to_vec();
    steps.sort_by_key(|it| it.0);
    while now < START + COLD {
        while steps.first().is_some_and(|it| START + it.0 <= now) {
            let (_, host, change) = steps.remove(0);
            fleet.change(now, host, change);
        }
        fleet.learn(now);
        fleet.send(now);
        now += TICK;
    }
    let second = Duration::from_secs(1);
    let in_second = |times: &[Duration], from: Duration| {
        times.iter().filter(|it| from <= **it && **it <= from + second).count()
    };
    let most = |times: &Vec<Duration>| times.iter().map(|it| in_second(times, *it)).max();
    Stats {
        peak: fleet.sent.iter().filter_map(most).max().unwrap_or(0),
        least: fleet.sent.iter().map(Vec::len).min().unwrap_or(0),
    }
}

/// Returns the same change of hosts at a time.
fn changes(at: u64, hosts: impl IntoIterator<Item = usize>, change: Change) -> Vec<Step> {
    hosts.into_iter().map(|it| (millis(at), it, change)).collect()
}

/// Returns restarts of hosts at a time.
fn restarts(at: u64, hosts: impl IntoIterator<Item = usize>) -> Vec<Step> {
    changes(at, hosts, Change::Restart)
}

/// Guards against processes that send a cold upstream their whole quota anew after each start, and against ones that
/// send it nothing for most of the time that it is cold.
#[test]
fn hosts_that_start_again_keep_to_the_rate_of_cold_upstreams() {
    for n_hosts in [3, 9, 64] {
        let undisturbed = simulate(n_hosts, &[]);
        assert!(undisturbed.peak as f64 <= MAX_RATE, "{undisturbed:?}");
        assert!(27 <= undisturbed.least, "9 a second: {undisturbed:?}");
        let all = || 0..n_hosts;
        let series: [Vec<Step>; 6] = [
            restarts(150, all()),
            restarts(150, 0..n_hosts * 2 / 3),
            [restarts(100, all()), restarts(600, all())].concat(),
            [restarts(700, all()), restarts(1_050, all()), restarts(1_400, all())].concat(),
            all().flat_map(|it| restarts(40 * it as u64, [it])).collect(),
            all().flat_map(|it| restarts(500 + 150 * it as u64, [it])).collect(),
        ];
        for (n, steps) in series.iter().enumerate() {
            let stats = simulate(n_hosts, steps);
            assert!(stats.peak as f64 <= MAX_RATE, "{n_hosts} hosts, series {n}: {stats:?}");
            // A restart takes 0.35 s of the 3 s, and three of them a third.
            assert!(18 <= stats.least, "{n_hosts} hosts, series {n}: {stats:?}");
        }
    }
}

/// Guards against a chosen host that goes on sending although another one has taken its place, and against cold
/// upstreams that get nothing after each change of the hosts.
#[test]
fn hosts_that_are_added_keep_to_the_rate_of_cold_upstreams() {
    for n_hosts in [1, 3, 6, 20] {
        let joins = |at: u64, n: std::ops::Range<usize>| {
            changes(at, n.map(|it| n_hosts + it), Change::Join)
        };
        let one_by_one = |gap: u64| -> Vec<Step> {
            (0..8).flat_map(|n| joins(50 + gap * n as u64, n..n + 1)).collect()
        };
        let series: [Vec<Step>; 7] = [
            joins(0, 0..4),
            joins(400, 0..4),
            joins(400, 0..20),
            one_by_one(100),
            one_by_one(300),
            // In place of others, and beside restarts.
            [changes(300, 0..n_hosts / 3, Change::Loss), joins(400, 0..n_hosts / 3)].concat(),
            [joins(300, 0..4), restarts(700, 0..n_hosts), restarts(1_200, 0..n_hosts)].concat(),
        ];
        let undisturbed = simulate(n_hosts, &[]);
        for (n, steps) in series.iter().enumerate() {
            let stats = simulate(n_hosts, steps);
            assert!(stats.peak as f64 <= MAX_RATE, "{n_hosts} hosts, series {n}: {stats:?}");
            // A host that is lost takes its part with it.
            let share = if steps.iter().any(|it| matches!(it.2, Change::Loss)) { 3 } else { 2 };
            assert!(
                undisturbed.least / share <= stats.least,
                "{n_hosts} hosts, series {n}: {stats:?}"
            );
        }
    }
}
