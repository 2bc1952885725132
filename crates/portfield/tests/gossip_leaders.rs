//! Gossip of a large fleet in virtual time: every host soon hears of every other one, despite
//! starts, deaths, partitions and lost datagrams, and the traffic per host does not grow.

mod gossip_simulation;

use std::time::Duration;

use gossip_simulation::{Host, Simulation};
use portfield::{
    gossip::host_hash,
    quarantine::{CrashedUpstream, RequestKeys, SuspectKey},
};

/// Allowed age of a host's last digest: two periods of 118 ms at 59 hosts, and a lost one.
const AGE: Duration = Duration::from_millis(400);

/// An idle host among 295 handled some 700 datagrams per second, a number that grew with its data
/// centre; now it handles 17 of its own and 9 of the leader.
#[test]
fn every_host_hears_all_others_with_few_datagrams() {
    for n_each in [20, 59] {
        let mut sim = Simulation::new(5, n_each, None);
        sim.run(Duration::from_secs(5));
        sim.check_all_heard(AGE);
        let before: Vec<u64> = sim.hosts.iter().map(|it| it.n_sent + it.n_received).collect();
        sim.run(Duration::from_secs(4));
        let mut rates: Vec<u64> = sim
            .hosts
            .iter()
            .zip(before)
            .map(|(it, before)| (it.n_sent + it.n_received - before) / 4)
            .collect();
        rates.sort_unstable();
        let (median, max) = (rates[rates.len() / 2], rates[rates.len() - 1]);
        assert!(median <= 62, "{n_each} hosts: {median} datagrams a second");
        assert!(max <= 1_100, "{n_each} hosts: {max} datagrams a second at a leader");
        assert!((0..5).all(|it| sim.leaders(it).len() == 1));
    }
}

#[test]
fn hosts_with_three_seeds_discover_all_others() {
    let mut sim = Simulation::new(3, 20, Some(3));
    sim.run(Duration::from_secs(8));
    sim.check_all_heard(AGE);
}

#[test]
fn the_standby_replaces_a_dead_leader() {
    let mut sim = Simulation::new(3, 25, None);
    sim.run(Duration::from_secs(5));
    let leader = sim.leaders(1)[0];
    sim.hosts[leader].is_alive = false;
    sim.run(Duration::from_millis(800));
    sim.check_local_heard(AGE);
    // A dead host counts for 1.5 s.
    sim.run(Duration::from_millis(1_200));
    sim.check_all_heard(AGE);
    assert_ne!(sim.leaders(1), [leader]);
}

#[test]
fn a_data_centre_recovers_from_the_death_of_leader_and_standby() {
    let mut sim = Simulation::new(3, 25, None);
    sim.run(Duration::from_secs(5));
    for _ in 0..2 {
        let mut by_hash: Vec<usize> = (0..sim.hosts.len())
            .filter(|it| sim.hosts[*it].is_alive && sim.hosts[*it].data_centre == 0)
            .collect();
        by_hash.sort_by_key(|it| host_hash(sim.hosts[*it].address));
        sim.hosts[by_hash[0]].is_alive = false;
    }
    sim.run(Duration::from_millis(2_000));
    sim.check_all_heard(AGE);
}

#[test]
fn a_returning_leader_is_heard_soon() {
    let mut sim = Simulation::new(3, 25, None);
    sim.run(Duration::from_secs(5));
    let leader = sim.leaders(2)[0];
    sim.hosts[leader].is_alive = false;
    sim.run(Duration::from_secs(12));
    sim.check_all_heard(AGE);
    sim.restart(leader);
    sim.run(Duration::from_millis(1_200));
    sim.check_all_heard(AGE);
    assert_eq!(sim.leaders(2), [leader]);
}

#[test]
fn every_host_hears_all_others_with_ten_percent_loss() {
    let mut sim = Simulation::new(5, 40, None);
    sim.loss = 10;
    sim.run(Duration::from_secs(6));
    sim.check_all_heard(AGE * 2);
}

#[test]
fn hosts_started_at_once_discover_each_other() {
    let mut sim = Simulation::new(5, 59, None);
    sim.run(Duration::from_secs(3));
    sim.check_all_heard(AGE);
}

/// A host that for a moment counted one host too few took the fleet for a small one, ignored the
/// summaries and stayed in that state: 14 hosts, one of them restarted.
#[test]
fn hosts_at_the_mesh_limit_recover_from_restarts() {
    let mut sim = Simulation::new(2, 7, None);
    sim.run(Duration::from_secs(5));
    sim.check_all_heard(AGE);
    for i in [3, 8] {
        sim.hosts[i].is_alive = false;
        sim.run(Duration::from_secs(13));
        sim.restart(i);
        sim.run(Duration::from_secs(4));
        sim.check_all_heard(AGE);
    }
}

/// A request that crashed an upstream at each of three hosts, in three data centres.
fn with_suspect(n_each: u32, loss: u32) -> (Simulation, SuspectKey) {
    let mut sim = Simulation::new(5, n_each, None);
    sim.loss = loss;
    sim.run(Duration::from_secs(5));
    let request = SuspectKey::request(7, 0xfeed);
    for (i, upstream) in [(1, 100), (7, 101), (8, 102)] {
        let host = &mut sim.hosts[i];
        let uptime = sim.now - host.started;
        assert_eq!(host.quarantine.record_crash(uptime, &[request], upstream), []);
    }
    (sim, request)
}

impl Simulation {
    /// Returns the number of hosts that would send a request.
    fn n_sending(&self, request: SuspectKey) -> usize {
        let sends = |it: &&Host| {
            let uptime = self.now.saturating_sub(it.started);
            it.is_alive && it.quarantine.entry(uptime, request).is_none()
        };
        self.hosts.iter().filter(sends).count()
    }
}

/// Every host has to refuse a part within half a second of the third crash, of three hosts' in three data centres, while
/// each crash accuses twenty parts more, of which a distant host saw one succeed.
#[test]
fn a_crashing_part_is_refused_by_all_hosts_within_half_a_second() {
    for (n_each, loss) in [(2, 0), (12, 10), (60, 0), (60, 10)] {
        let mut sim = Simulation::new(5, n_each, None);
        sim.loss = loss;
        sim.run(Duration::from_secs(5));
        let part = |id| SuspectKey::part(3, id);
        let uptime = sim.now - sim.hosts[9].started;
        sim.hosts[9].quarantine.record_part_success(uptime, part(0xa), 1);
        for (n, i) in (0..).zip([1, 7, 8]) {
            let run = |m: u64| RequestKeys {
                request: SuspectKey::request(7 + n, u64::from(n) * 100 + m),
                parts: vec![part(0xa), part(if m == 0 { 0xdead } else { u64::from(n) * 50 + m })],
            };
            let runs: Vec<RequestKeys> = (0..20).map(run).collect();
            let host = &mut sim.hosts[i];
            let upstream = CrashedUpstream { id: 100 + n, version: 1 };
            host.quarantine.record_crashed_runs(sim.now - host.started, &runs, upstream);
        }
        sim.run(Duration::from_millis(500));
        let case = format!("{n_each} hosts a data centre, {loss} % lost");
        assert_eq!(sim.n_sending(part(0xdead)), 0, "{case}");
        assert_eq!(sim.n_sending(part(0xa)), sim.hosts.len(), "{case}");
    }
}

/// Every host has to know of three crashes within three seconds of the last one.
#[test]
fn crashes_seen_by_three_hosts_add_up_at_every_host() {
    for (n_each, loss) in [(2, 0), (2, 10), (12, 10), (60, 0), (60, 10)] {
        let (mut sim, request) = with_suspect(n_each, loss);
        sim.run(Duration::from_millis(1500));
        assert_eq!(sim.n_sending(request), 0, "{n_each} hosts a data centre, {loss} % lost");
    }
}

#[test]
fn restarted_hosts_learn_quarantined_requests() {
    let (mut sim, request) = with_suspect(60, 10);
    sim.run(Duration::from_secs(10));
    (0..30).for_each(|i| sim.restart(i * 7));
    assert_eq!(sim.n_sending(request), 30);
    sim.run(Duration::from_secs(4));
    assert_eq!(sim.n_sending(request), 0);
}

/// About fifteen requests of other callers run at each crashing engine, sent by as many hosts.
#[test]
fn many_suspects_do_not_delay_the_quarantine_of_one() {
    let (mut sim, request) = with_suspect(60, 10);
    for n in 0..1500 {
        let host = &mut sim.hosts[n % 300];
        let other = SuspectKey::request(n as u32 % 40, n as u64);
        host.quarantine.record_crash(sim.now - host.started, &[other], 200 + n as u32 % 100);
    }
    sim.run(Duration::from_secs(3));
    assert_eq!(sim.n_sending(request), 0);
}

impl Simulation {
    /// Resumes suspended hosts with the state that they had.
    fn resume(&mut self, hosts: &[usize]) {
        for i in hosts {
            let host = &mut self.hosts[*i];
            host.peers.clear_forwards();
            host.next_digest = self.now;
            host.is_alive = true;
        }
    }

    /// Returns the hosts of a data centre in the order in which they become leader.
    fn by_hash(&self, data_centre: u32) -> Vec<usize> {
        let is_local = |it: &usize| self.hosts[*it].data_centre == data_centre;
        let mut res: Vec<usize> = (0..self.hosts.len()).filter(is_local).collect();
        res.sort_by_key(|it| host_hash(self.hosts[*it].address));
        res
    }
}

/// Two hosts, one of them the leader, and all hosts of a data centre.
#[test]
fn suspended_hosts_are_heard_again() {
    for n_suspended in [2, 25] {
        let mut sim = Simulation::new(3, 25, None);
        sim.run(Duration::from_secs(5));
        let suspended: Vec<usize> = sim.by_hash(1).into_iter().take(n_suspended).collect();
        suspended.iter().for_each(|i| sim.hosts[*i].is_alive = false);
        sim.run(Duration::from_secs(9));
        sim.resume(&suspended);
        sim.run(Duration::from_millis(1_500));
        sim.check_all_heard(AGE);
        assert_eq!(sim.leaders(1), [sim.by_hash(1)[0]]);
    }
}

/// Evidence against a request ages while the host that reports it is suspended.
#[test]
fn a_quarantine_ages_while_its_host_is_suspended() {
    let (mut sim, request) = with_suspect(25, 0);
    sim.run(Duration::from_secs(3));
    let suspended = sim.by_hash(1);
    suspended.iter().for_each(|i| sim.hosts[*i].is_alive = false);
    sim.run(Duration::from_secs(60));
    sim.resume(&suspended);
    let new = sim.by_hash(2)[3];
    sim.restart(new);
    sim.run(Duration::from_secs(3));
    let left = |sim: &Simulation, i: usize| {
        let host = &sim.hosts[i];
        host.quarantine.entry(sim.now - host.started, request).unwrap().remaining
    };
    let (suspended_left, new_left) = (left(&sim, suspended[0]), left(&sim, new));
    assert!(suspended_left < Duration::from_secs(60), "{suspended_left:?}");
    assert!(
        suspended_left.abs_diff(new_left) < Duration::from_millis(50),
        "{suspended_left:?} {new_left:?}"
    );
}

/// Evidence from both sides of a partition adds up in the store, which a host reads while a data
/// centre is unreachable.
#[test]
fn a_silent_data_centre_is_unreachable_and_a_silent_host_is_not() {
    for n_each in [3, 20] {
        let mut sim = Simulation::new(3, n_each, None);
        sim.run(Duration::from_secs(5));
        let is_unreachable = |sim: &Simulation, i: usize| {
            let host = &sim.hosts[i];
            host.peers.has_unreachable_centre(sim.now - host.started)
        };
        let local = sim.by_hash(0)[0];
        assert!(!is_unreachable(&sim, local));
        let remote = sim.by_hash(1);
        remote[1..].iter().for_each(|i| sim.hosts[*i].is_alive = false);
        sim.run(Duration::from_secs(3));
        assert!(!is_unreachable(&sim, local), "one of {n_each} is alive");
        sim.hosts[remote[0]].is_alive = false;
        sim.run(Duration::from_secs(2));
        assert!(is_unreachable(&sim, local), "none of {n_each} is alive");
        assert!(is_unreachable(&sim, sim.by_hash(2)[1]));
        sim.run(Duration::from_secs(62));
        assert!(!is_unreachable(&sim, local), "it counts as shut down");
    }
}

#[test]
fn the_first_hosts_are_few_in_each_data_centre() {
    for (n_each, expected) in [(3, 9), (20, 12)] {
        let sim = Simulation::new(3, n_each, None);
        let n = sim.hosts.iter().filter(|it| it.peers.is_among_first(4)).count();
        assert_eq!(n, expected, "{n_each} hosts a data centre");
    }
}

/// One host alone reads the operator's order from the store; users require five seconds, and expect
/// far less.
#[test]
fn an_order_read_by_one_host_reaches_all_within_a_second() {
    for (n_centres, n_each) in [(3, 3), (3, 21), (5, 59)] {
        for (loss, max_ms) in [(0, 700), (10, 1000)] {
            let mut sim = Simulation::new(n_centres, n_each, None);
            sim.run(Duration::from_secs(6));
            sim.loss = loss;
            sim.hosts[7].orders_version = 1;
            let start = sim.now;
            while sim.hosts.iter().any(|it| it.orders_version == 0) {
                sim.run(Duration::from_millis(10));
                let time = sim.now - start;
                let text = format!("{n_centres} data centres of {n_each} hosts, {loss} % lost");
                assert!(time <= Duration::from_millis(max_ms), "{text}");
            }
        }
    }
}

/// One host alone gets the answer that reports the drain.
#[test]
fn a_self_reported_drain_reaches_all_within_a_second() {
    for (n_centres, n_each) in [(3, 3), (3, 21), (5, 59)] {
        for (loss, max_ms) in [(0, 700), (10, 1000)] {
            let mut sim = Simulation::new(n_centres, n_each, None);
            sim.run(Duration::from_secs(6));
            sim.loss = loss;
            sim.hosts[7].drains.insert(9);
            let start = sim.now;
            while sim.hosts.iter().any(|it| !it.drains.contains(9)) {
                sim.run(Duration::from_millis(10));
                let time = sim.now - start;
                let text = format!("{n_centres} data centres of {n_each} hosts, {loss} % lost");
                assert!(time <= Duration::from_millis(max_ms), "{text}");
            }
        }
    }
}

/// The host that got the report may be dead by then.
#[test]
fn a_host_started_later_learns_of_draining_upstreams() {
    for n_each in [3, 21] {
        let mut sim = Simulation::new(3, n_each, None);
        sim.run(Duration::from_secs(5));
        sim.hosts[7].drains.insert(9);
        sim.run(Duration::from_secs(2));
        sim.hosts[7].is_alive = false;
        sim.restart(5);
        sim.run(Duration::from_secs(4));
        assert!(sim.hosts[5].drains.contains(9), "{n_each} hosts a data centre");
    }
}
