//! How a fleet that starts at once gets the list of upstreams, in virtual time: the reads of the
//! store do not grow with the hosts of a data centre, and no host serves many others at a time.

mod gossip_simulation;

use std::time::Duration;

use gossip_simulation::Simulation;

/// Rows of its data centre that a host reads at its start.
const N_FIRST_ROWS: usize = 16;
/// Hosts per data centre that also read the rows of the others.
const N_LEADING: usize = 4;
/// Time in which a host on an eighth of a core gets a list of 10,000 upstreams.
const TRANSFER_TIME: Duration = Duration::from_millis(800);

/// Starts a fleet with a list in the store; each host knows the first hosts of its data centre.
fn start(n_centres: u32, n_each: u32) -> Simulation {
    let mut sim = Simulation::new(n_centres, n_each, Some(0));
    sim.add_first_rows(N_FIRST_ROWS, N_LEADING);
    (sim.list.version, sim.list.transfer_time) = (1, TRANSFER_TIME);
    sim
}

/// Runs until every live host has the list; returns the time that it took.
fn time_until_all_know(sim: &mut Simulation) -> Duration {
    let start = sim.now;
    while sim.hosts.iter().any(|it| it.is_alive && it.list_version == 0) {
        sim.run(Duration::from_millis(50));
        assert!(sim.now - start < Duration::from_secs(40), "some host never gets the list");
    }
    sim.now - start
}

#[test]
fn reads_of_the_store_do_not_grow_with_the_fleet() {
    for n_each in [100, 200, 400] {
        let mut sim = start(2, n_each);
        let time = time_until_all_know(&mut sim);
        let n_reads = sim.list.n_reads;
        assert!(n_reads <= 4, "{n_each} hosts a data centre: {n_reads} reads of the store");
        assert!(time <= Duration::from_secs(12), "{n_each} hosts a data centre: {time:?}");
        assert!(sim.list.max_serving <= 8, "one host served {} others", sim.list.max_serving);
    }
}

/// The first hosts of a data centre may be those that are gone.
#[test]
fn a_fleet_gets_the_list_when_its_first_hosts_are_dead() {
    let mut sim = start(2, 200);
    let mut by_hash: Vec<usize> = (0..sim.hosts.len()).collect();
    by_hash.sort_by_key(|it| portfield::gossip::host_hash(sim.hosts[*it].address));
    by_hash[..24].iter().for_each(|it| sim.hosts[*it].is_alive = false);
    let time = time_until_all_know(&mut sim);
    assert!(time <= Duration::from_secs(30), "{time:?}");
    assert!(sim.list.n_reads <= 24, "{} reads of the store", sim.list.n_reads);
}

#[test]
fn a_restarted_host_gets_the_list_from_its_peers() {
    let mut sim = start(2, 100);
    time_until_all_know(&mut sim);
    sim.run(Duration::from_secs(2));
    let n_reads = sim.list.n_reads;
    let restarted: Vec<usize> = (0..sim.hosts.len()).step_by(5).collect();
    restarted.iter().for_each(|i| sim.hosts[*i].is_alive = false);
    sim.run(Duration::from_secs(2));
    restarted.iter().for_each(|i| sim.restart(*i));
    let time = time_until_all_know(&mut sim);
    assert!(time <= Duration::from_secs(6), "{time:?}");
    assert!(sim.list.n_reads <= n_reads + 4, "{} reads of the store", sim.list.n_reads);
}

/// All hosts lose power at once: their rows are in the store, and nobody has the list.
#[test]
fn a_fleet_that_restarts_whole_gets_the_list_again() {
    for n_each in [20, 60, 200] {
        let mut sim = start(5, n_each);
        time_until_all_know(&mut sim);
        sim.run(Duration::from_secs(3));
        sim.restart_all(N_FIRST_ROWS, N_LEADING);
        let time = time_until_all_know(&mut sim);
        assert!(time <= Duration::from_secs(12), "{n_each} hosts a data centre: {time:?}");
        assert!(sim.list.n_reads <= 20, "{} reads of the store", sim.list.n_reads);
    }
}
