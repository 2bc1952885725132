//! Which hosts of a data centre take new connections, in virtual time.

mod ingress_simulation;

use std::time::Duration;

use ingress_simulation::{Network, SOUND, Simulation};
use portfield::balance::{ConnectionUse, IngressBalance, LocalHosts, OwnLoad, Rotation};

const N_HOSTS: usize = 25;
/// Longest part of the time that a host may be out of rotation.
const MAX_OUT: f64 = 0.125;
/// Length of a run in seconds, that of a day with load.
const SECONDS: u64 = 40;

/// Returns a data centre in which two callers fill their hosts and many small ones are spread evenly.
fn with_hot_callers(network: Network, seed: u64) -> Simulation {
    let mut res = Simulation::new(N_HOSTS, network, seed);
    for caller in 100..160 {
        res.add_caller(caller, 3, 0.04);
    }
    res.add_caller(1, 60, 3.0);
    res.add_caller(2, 40, 2.0);
    res
}

fn assert_few_changes(simulation: &Simulation, seconds: u64) {
    for (n, it) in simulation.hosts.iter().enumerate() {
        let out = it.n_out_steps as f64 / (seconds as f64 * 40.0);
        assert!(out < MAX_OUT, "host {n} was out for {out} of the time");
        assert!(u64::from(it.n_changes) <= 2 + seconds / 8, "host {n}: {} changes", it.n_changes);
    }
}

/// What is refused in a run if no caller is moved.
fn refused_unmoved(simulation: &Simulation) -> f64 {
    simulation.loads().iter().map(|it| (it - 1.0).max(0.0)).sum::<f64>() * SECONDS as f64 * 40.0
}

/// Guards against hot hosts: a few large callers filled two or three hosts, which refused most of
/// their requests while the others were idle.
///
/// How far the load spreads depends on the number of hosts that the platform assigns a caller's
/// connections to: with two, callers come back to the same hosts once these are ready.
#[test]
fn load_of_hot_callers_spreads() {
    for (fan, at_first, settled) in [(2, 0.65, 0.5), (3, 0.4, 0.15), (N_HOSTS, 0.25, 0.01)] {
        for seed in 0..8 {
            let mut simulation = with_hot_callers(SOUND, seed);
            let unmoved = refused_unmoved(&simulation);
            assert!(1500.0 < unmoved, "seed {seed}: {unmoved}");
            simulation.fan = fan;
            for max in [at_first, settled] {
                let report = simulation.run(SECONDS);
                let case = format!("{fan} hosts a caller, seed {seed}, {report:?}");
                assert!(report.refused < unmoved * max, "{case}, unmoved {unmoved}");
                assert!(N_HOSTS.div_ceil(2) <= report.min_ready, "{case}");
                assert!(report.n_closed < 150, "{case}");
            }
            assert_few_changes(&simulation, 2 * SECONDS);
        }
    }
}

/// Guards against hosts that act on loads of the past: digests half a second late, of which a third
/// are lost.
#[test]
fn late_and_lost_digests_cause_no_oscillation() {
    for seed in 0..8 {
        let mut simulation = with_hot_callers(Network { delay: (10, 24), loss: 0.3 }, seed);
        let report = simulation.run(SECONDS);
        assert!(N_HOSTS.div_ceil(2) <= report.min_ready, "seed {seed}: {report:?}");
        assert_few_changes(&simulation, SECONDS);
        assert!(report.n_closed < 200, "seed {seed}: {report:?}");
    }
}

/// Guards against hosts that leave rotation when nobody can take over: it would move refusals around
/// and cost each caller a connection.
#[test]
fn nobody_leaves_rotation_while_all_hosts_are_busy() {
    let mut simulation = Simulation::new(N_HOSTS, SOUND, 1);
    for caller in 0..50 {
        simulation.add_caller(caller, 10, 0.6);
    }
    let report = simulation.run(SECONDS);
    let n_busy = simulation.loads().iter().filter(|it| 0.8 < **it).count();
    assert!(N_HOSTS / 2 < n_busy, "{n_busy} hosts are busy");
    assert_eq!((report.min_ready, report.n_closed), (N_HOSTS, 0), "{report:?}");
}

/// Guards against callers sent back and forth when a host dies right after it took them over.
#[test]
fn a_host_that_dies_after_callers_moved_there_costs_no_other_its_callers() {
    for seed in 0..8 {
        let mut simulation = with_hot_callers(SOUND, seed);
        let before = simulation.loads();
        simulation.run(4);
        let after = simulation.loads();
        let gain = |it: &usize| after[*it] - before[*it];
        let taker = (0..N_HOSTS).max_by(|a, b| gain(a).total_cmp(&gain(b))).unwrap();
        simulation.kill(taker);
        let report = simulation.run(SECONDS);
        assert!(N_HOSTS.div_ceil(2) <= report.min_ready, "seed {seed}: {report:?}");
        assert_few_changes(&simulation, SECONDS + 4);
        assert!(report.n_closed < 200, "seed {seed}: {report:?}");
    }
}

/// Guards against decisions of hosts that do not hear the others: either side of a cut could take the
/// other for one with room.
#[test]
fn a_host_that_is_cut_off_stays_in_rotation() {
    let mut simulation = with_hot_callers(SOUND, 3);
    let loads = simulation.loads();
    let hottest = (0..N_HOSTS).max_by(|a, b| loads[*a].total_cmp(&loads[*b])).unwrap();
    simulation.hosts[hottest].side = 1;
    simulation.run(SECONDS);
    assert_eq!(simulation.hosts[hottest].n_changes, 0);

    // Most of the data centre beyond the cut: too few are heard to have room.
    let mut simulation = with_hot_callers(SOUND, 3);
    for n in 0..N_HOSTS {
        simulation.hosts[n].side = u32::from(n % 3 != 0);
    }
    let report = simulation.run(SECONDS);
    assert!(N_HOSTS.div_ceil(2) <= report.min_ready, "{report:?}");
}

/// Guards against the unready half of a data centre: hosts that decide alone, on views that differ,
/// must not leave together.
#[test]
fn fewer_than_half_of_the_hosts_leave_together() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(N_HOSTS, Network { delay: (0, 24), loss: 0.2 }, seed);
        // Many callers, each enough for a host; the others are idle.
        for caller in 0..8 {
            simulation.add_caller(caller, 20, 1.6);
        }
        let report = simulation.run(SECONDS);
        assert!(N_HOSTS.div_ceil(2) <= report.min_ready, "seed {seed}: {report:?}");
    }
}

const PERIOD: Duration = Duration::from_millis(50);

/// Returns the state of a busy host with seven others that told a load.
fn busy_host(now: Duration, told: u32) -> IngressBalance {
    let mut res = IngressBalance::new(1);
    (2..9).for_each(|host| res.record_peer(now, host, told));
    res
}

fn own(load: f64) -> OwnLoad {
    OwnLoad { load, n_connections: 40, largest_workspace: Some(7) }
}

/// Guards against decisions on what hosts told long ago, and on hosts that tell nothing.
#[test]
fn stale_and_missing_loads_are_no_room() {
    let hosts = LocalHosts { n_known: 8, digest_period: PERIOD };
    let now = Duration::from_secs(10);
    for (age, told, rotation) in
        [(100, 200, Rotation::Out), (900, 200, Rotation::In), (100, 0, Rotation::In)]
    {
        let mut it = busy_host(now - Duration::from_millis(age), told);
        it.update(now, own(0.9), hosts);
        assert_eq!(it.rotation(), rotation, "{age} ms old, told {told}");
    }
}

/// Guards against a host that stays out of rotation when the others have filled up.
#[test]
fn a_host_returns_when_the_others_have_no_room_left() {
    let hosts = LocalHosts { n_known: 8, digest_period: PERIOD };
    let now = Duration::from_secs(10);
    let mut it = busy_host(now, 200);
    it.update(now, own(0.9), hosts);
    assert_eq!(it.rotation(), Rotation::Out);
    let now = now + PERIOD;
    (2..9).for_each(|host| it.record_peer(now, host, 700));
    it.update(now, own(0.9), hosts);
    assert_eq!(it.rotation(), Rotation::In);
}

/// Guards against closed connections of callers that are not the cause, and against more closed
/// connections than the excess calls for.
#[test]
fn only_the_largest_workspace_loses_connections_and_few_per_second() {
    let hosts = LocalHosts { n_known: 8, digest_period: PERIOD };
    let mut it = busy_host(Duration::from_secs(10), 200);
    let (mut n_closed, mut n_closed_small) = (0, 0);
    for step in 0..40 {
        let now = Duration::from_secs(10) + Duration::from_millis(25) * step;
        (2..9).for_each(|host| it.record_peer(now, host, 200));
        it.update(now, own(0.9), hosts);
        for _ in 0..10 {
            n_closed += u32::from(it.connection_use(7) == ConnectionUse::Close);
            n_closed_small += u32::from(it.connection_use(8) == ConnectionUse::Close);
        }
    }
    assert_eq!(n_closed_small, 0);
    assert!((1..=4).contains(&n_closed), "{n_closed} connections closed in a second");
    it.update(Duration::from_secs(12), own(0.5), hosts);
    assert_eq!(it.connection_use(7), ConnectionUse::Keep);
}
