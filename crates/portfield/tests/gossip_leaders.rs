//! Who tells whom where there are many hosts, in virtual time: every host hears of every other one
//! soon, through starts, deaths, cuts and lost datagrams, and what it costs does not grow.

mod fleet;

use std::time::Duration;

use fleet::{Host, World};
use portfield::{balance::host_hash, quarantine::RequestKey};

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
fn with_suspect(n_each: u32, loss: u32) -> (World, RequestKey) {
    let mut world = World::new(5, n_each, None);
    world.loss = loss;
    world.run(Duration::from_secs(5));
    let request = RequestKey { workspace: 7, fingerprint: 0xfeed };
    for (i, upstream) in [(1, 100), (7, 101), (8, 102)] {
        let host = &mut world.hosts[i];
        let own = world.now - host.started;
        assert_eq!(host.quarantine.record_crash(own, &[request], upstream), []);
    }
    (world, request)
}

impl World {
    /// Returns how many hosts would send a request.
    fn n_sending(&self, request: RequestKey) -> usize {
        let sends = |it: &&Host| {
            let own = self.now.saturating_sub(it.started);
            it.is_alive && it.quarantine.entry(own, request).is_none()
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
        let other = RequestKey { workspace: n as u32 % 40, fingerprint: n as u64 };
        host.quarantine.record_crash(world.now - host.started, &[other], 200 + n as u32 % 100);
    }
    world.run(Duration::from_secs(3));
    assert_eq!(world.n_sending(request), 0);
}

impl World {
    /// Lets hosts go on that stood still: they know what they knew.
    fn go_on(&mut self, hosts: &[usize]) {
        for i in hosts {
            let host = &mut self.hosts[*i];
            host.others.clear_forwards();
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
        host.quarantine.entry(world.now - host.started, request).unwrap().remaining
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
            host.others.has_unreachable_centre(world.now - host.started)
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

/// One host alone hears the operator's order from the store; the users give five seconds, and count on far less.
#[test]
fn an_order_that_one_host_reads_is_known_to_all_within_a_second() {
    for (n_centres, n_each) in [(3, 3), (3, 21), (5, 59)] {
        for (loss, most) in [(0, 700), (10, 1000)] {
            let mut world = World::new(n_centres, n_each, None);
            world.run(Duration::from_secs(6));
            world.loss = loss;
            world.hosts[7].orders = 1;
            let start = world.now;
            while world.hosts.iter().any(|it| it.orders == 0) {
                world.run(Duration::from_millis(10));
                let time = world.now - start;
                let text = format!("{n_centres} data centres of {n_each} hosts, {loss} % lost");
                assert!(time <= Duration::from_millis(most), "{text}");
            }
        }
    }
}

/// One host alone gets the answer that says so.
#[test]
fn an_upstream_that_drains_by_its_own_word_is_known_to_all_within_a_second() {
    for (n_centres, n_each) in [(3, 3), (3, 21), (5, 59)] {
        for (loss, most) in [(0, 700), (10, 1000)] {
            let mut world = World::new(n_centres, n_each, None);
            world.run(Duration::from_secs(6));
            world.loss = loss;
            world.hosts[7].drains.insert(9);
            let start = world.now;
            while world.hosts.iter().any(|it| !it.drains.contains(9)) {
                world.run(Duration::from_millis(10));
                let time = world.now - start;
                let text = format!("{n_centres} data centres of {n_each} hosts, {loss} % lost");
                assert!(time <= Duration::from_millis(most), "{text}");
            }
        }
    }
}

/// The host that heard it may be gone by then.
#[test]
fn a_host_that_starts_later_hears_which_upstreams_drain() {
    for n_each in [3, 21] {
        let mut world = World::new(3, n_each, None);
        world.run(Duration::from_secs(5));
        world.hosts[7].drains.insert(9);
        world.run(Duration::from_secs(2));
        world.hosts[7].is_alive = false;
        world.revive(5);
        world.run(Duration::from_secs(4));
        assert!(world.hosts[5].drains.contains(9), "{n_each} hosts a data centre");
    }
}
