//! Upstreams that come back cold: how many requests reach one in a second, and how many are served there.
//!
//! The load: a data centre's upstreams return together and stay cold for three seconds; each may get `MOST` requests
//! in any second, from all hosts together. Ways that were weighed: an equal part for every host; what others sent, as
//! told by digests; a few hosts of the data centre, which is what the code does.

use std::time::Duration;

use portfield::balance::{
    Balancer, Candidate, Placement, PlacementRequest, RunId, Stage, cold_quota, host_hash,
};

const MOST: f64 = 14.15;
const COLD: Duration = Duration::from_secs(3);
const N_UPSTREAMS: u32 = 47;
/// Requests a second for each of the upstreams, more than they take: callers press.
const DEMAND: f64 = 20.0;

#[derive(Debug, Clone, Copy)]
struct Fleet {
    n_hosts: usize,
    n_centres: usize,
}

/// What a host knows of the others.
#[derive(Debug, Clone, Copy, PartialEq)]
enum View {
    Whole,
    /// One host in ten is new, and half of the hosts have not heard of those.
    Behind,
    /// One host in ten ends and starts anew: it forgets what it sent.
    Restarts,
}

/// How a host's part is found.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// The code's: few hosts.
    Few,
    /// Each host an equal part.
    Even,
    /// Each host all that is left by what the others said, which is so old.
    Told(Duration),
}

/// Most requests that reached one upstream in a second, and how many one got a second on average.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Got {
    most: usize,
    mean: f64,
}

fn job() -> PlacementRequest {
    PlacementRequest {
        workspace: 1,
        service: 1,
        prompt: None,
        objective: Duration::from_secs(1),
        waited: Duration::ZERO,
        stage: Stage::New,
        engine: None,
    }
}

/// Plays the return of a data centre's upstreams.
fn play(fleet: Fleet, view: View, way: Way, seed: u64) -> Got {
    let mut rng = fastrand::Rng::with_seed(seed);
    let address = |it: usize| ([10, it as u8, (it >> 8) as u8, 1], 80).into();
    let hashes: Vec<u64> = (0..fleet.n_hosts).map(|it| host_hash(address(it))).collect();
    let here: Vec<usize> = (0..fleet.n_hosts).step_by(fleet.n_centres).collect();
    let start = Duration::from_secs(9);
    let new_host = |idx: usize| {
        let is_new = |it: usize| {
            view == View::Behind && it.is_multiple_of(10) && it != idx && !idx.is_multiple_of(2)
        };
        let known = here.iter().filter(|it| !is_new(**it)).map(|it| hashes[*it]);
        let known: Vec<u64> = known.collect();
        let mut res = Balancer::new(Duration::from_secs(4));
        for upstream in 0..N_UPSTREAMS {
            let quota = match way {
                Way::Few => cold_quota(MOST, &known, hashes[idx], upstream),
                Way::Even => (MOST / fleet.n_hosts as f64) as u32,
                Way::Told(_) => u32::MAX,
            };
            res.mark_cold(upstream, start + COLD, quota);
        }
        res
    };
    let mut hosts: Vec<Balancer> = (0..fleet.n_hosts).map(new_host).collect();
    let mut sent: Vec<Vec<(Duration, usize)>> = vec![Vec::new(); N_UPSTREAMS as usize];
    let n_requests = (DEMAND * f64::from(N_UPSTREAMS) * COLD.as_secs_f64()) as u32;
    let mut runs: Vec<(usize, RunId)> = Vec::new();
    for n in 0..n_requests {
        let now = start + COLD.mul_f64(f64::from(n) / f64::from(n_requests));
        let idx = rng.usize(..fleet.n_hosts);
        if view == View::Restarts && n.is_multiple_of(100) && idx.is_multiple_of(10) {
            // For its first seconds a host sends cold upstreams nothing.
            hosts[idx] = Balancer::new(Duration::from_secs(4));
            (0..N_UPSTREAMS).for_each(|it| hosts[idx].mark_cold(it, start + COLD, 0));
            runs.retain(|it| it.0 != idx);
        }
        let is_left = |upstream: &u32| {
            let Way::Told(age) = way else { return true };
            let list = &sent[*upstream as usize];
            let recent = list.iter().rev().take_while(|it| now < it.0 + Duration::from_secs(1));
            let known = recent.filter(|it| it.1 == idx || it.0 + age <= now).count();
            (known as f64) < MOST - 1.0
        };
        let candidate = |upstream| Candidate { upstream, slots: 1000, is_local: true };
        let candidates: Vec<_> = (0..N_UPSTREAMS).filter(is_left).map(candidate).collect();
        if let Placement::Send(placed) = hosts[idx].place(now, &job(), &candidates) {
            runs.push((idx, hosts[idx].record_start(now, &job(), &placed)));
            sent[placed.upstream as usize].push((now, idx));
        }
    }
    let in_second = |list: &Vec<(Duration, usize)>| {
        let n = |from: Duration| {
            list.iter().filter(|it| from <= it.0 && it.0 < from + Duration::from_secs(1)).count()
        };
        list.iter().map(|it| n(it.0)).max().unwrap_or(0)
    };
    let n: usize = sent.iter().map(Vec::len).sum();
    let mean = n as f64 / f64::from(N_UPSTREAMS) / COLD.as_secs_f64();
    Got { most: sent.iter().map(in_second).max().unwrap_or(0), mean }
}

const FLEETS: [Fleet; 3] = [
    Fleet { n_hosts: 9, n_centres: 3 },
    Fleet { n_hosts: 64, n_centres: 3 },
    Fleet { n_hosts: 295, n_centres: 5 },
];

#[test]
fn a_cold_upstream_gets_no_more_than_it_takes_whatever_hosts_know_of_each_other() {
    for fleet in FLEETS {
        for view in [View::Whole, View::Behind, View::Restarts] {
            for seed in 0..3 {
                let got = play(fleet, view, Way::Few, seed);
                assert!(got.most as f64 <= MOST, "{fleet:?} {view:?} {got:?}");
            }
        }
    }
}

/// The way that stands serves cold upstreams in every fleet. An equal part for each host serves them nothing from 15
/// hosts on; told by digests, 64 hosts whose words are 130 ms old send 18 a second where 14 are allowed, and behind a
/// cut each side sends all of it.
#[test]
fn the_other_ways_serve_nothing_or_send_too_much() {
    let few = FLEETS.map(|it| play(it, View::Whole, Way::Few, 1));
    let even = FLEETS.map(|it| play(it, View::Whole, Way::Even, 1));
    let told = FLEETS.map(|it| play(it, View::Whole, Way::Told(Duration::from_millis(130)), 1));
    let cut = FLEETS.map(|it| play(it, View::Whole, Way::Told(COLD), 1));
    assert!(even[1..].iter().all(|it| it.mean == 0.0), "{even:?}");
    assert!(told[1..].iter().all(|it| MOST < it.most as f64), "{told:?}");
    assert!(cut[1..].iter().all(|it| MOST < it.most as f64), "{cut:?}");
    assert!(few.iter().all(|it| 0.5 < it.mean), "{few:?}");
}
