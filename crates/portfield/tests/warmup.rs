//! Upstreams that come back cold: requests that reach one per second, and requests served there.
//!
//! A data centre's upstreams come back together and stay cold for three seconds; each may get
//! `MAX_RATE` requests in any second, from all hosts together. The alternatives compared are an
//! equal part for every host, the remainder according to other hosts' digests, and a few hosts of
//! the data centre, which is what the code does.

use std::time::Duration;

use portfield::{
    balance::{Balancer, Candidate, Placement, PlacementRequest, Stage},
    gossip::host_hash,
    ids::RunId,
    upstream::{ColdQuota, Membership, cold_quota},
};

const MAX_RATE: f64 = 14.15;
const COLD: Duration = Duration::from_secs(3);
const N_UPSTREAMS: u32 = 47;
/// Requests per second and upstream, more than an upstream takes.
const DEMAND: f64 = 20.0;

#[derive(Debug, Clone, Copy)]
struct Fleet {
    n_hosts: usize,
    n_centres: usize,
}

/// What a host knows of the other hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
enum View {
    Complete,
    /// One host in ten is new, and half of the hosts do not know of those.
    Outdated,
    /// One host in ten is restarted and forgets what it sent.
    Restarts,
}

/// How the quota of a host is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Quota {
    /// Equal parts for a few hosts, as in the code.
    FewHosts,
    /// Equal parts for all hosts.
    AllHosts,
    /// For each host all that is left according to digests of that age.
    Gossip(Duration),
}

/// Largest number of requests that reached one upstream within a second, and mean requests per
/// second and upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Stats {
    peak: usize,
    mean: f64,
}

fn request() -> PlacementRequest {
    PlacementRequest {
        workspace: 1,
        service: 1,
        prompt: None,
        objective: Duration::from_secs(1),
        waited: Duration::ZERO,
        stage: Stage::New,
        engine: None,
        ..PlacementRequest::default()
    }
}

/// Simulates the return of a data centre's upstreams.
fn simulate(fleet: Fleet, view: View, quota_kind: Quota, seed: u64) -> Stats {
    let mut rng = fastrand::Rng::with_seed(seed);
    let address = |it: usize| ([10, it as u8, (it >> 8) as u8, 1], 80).into();
    let hashes: Vec<u64> = (0..fleet.n_hosts).map(|it| host_hash(address(it))).collect();
    let local_hosts: Vec<usize> = (0..fleet.n_hosts).step_by(fleet.n_centres).collect();
    let start = Duration::from_secs(9);
    let quota = |idx: usize, upstream: u32| {
        let is_new = |it: usize| {
            view == View::Outdated && it.is_multiple_of(10) && it != idx && !idx.is_multiple_of(2)
        };
        let known = local_hosts.iter().filter(|it| !is_new(**it)).map(|it| hashes[*it]);
        let known: Vec<u64> = known.collect();
        let rate = match quota_kind {
            Quota::FewHosts => cold_quota(MAX_RATE, &known, hashes[idx], upstream),
            Quota::AllHosts => (MAX_RATE / fleet.n_hosts as f64) as u32,
            Quota::Gossip(_) => u32::MAX,
        };
        ColdQuota::new(rate, Membership::Returned, Duration::from_millis(50))
    };
    let new_host = |idx: usize| {
        let mut res = Balancer::new(Duration::from_secs(4));
        for upstream in 0..N_UPSTREAMS {
            res.mark_cold(upstream, start + COLD, quota(idx, upstream));
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
            hosts[idx] = new_host(idx);
            for it in 0..N_UPSTREAMS {
                // The times of a process count from its start.
                let quota = quota(idx, it);
                let quota = ColdQuota { from: now + quota.from, ..quota };
                hosts[idx].mark_cold(it, start + COLD, quota);
            }
            runs.retain(|it| it.0 != idx);
        }
        let has_quota_left = |upstream: &u32| {
            let Quota::Gossip(age) = quota_kind else { return true };
            let list = &sent[*upstream as usize];
            let recent = list.iter().rev().take_while(|it| now < it.0 + Duration::from_secs(1));
            let known = recent.filter(|it| it.1 == idx || it.0 + age <= now).count();
            (known as f64) < MAX_RATE - 1.0
        };
        let candidate = |upstream| Candidate { upstream, slots: 1000, is_local: true };
        let candidates: Vec<_> = (0..N_UPSTREAMS).filter(has_quota_left).map(candidate).collect();
        if let Placement::Send(placed) = hosts[idx].place(now, &request(), &candidates) {
            runs.push((idx, hosts[idx].record_start(now, &request(), &placed)));
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
    Stats { peak: sent.iter().map(in_second).max().unwrap_or(0), mean }
}

const FLEETS: [Fleet; 3] = [
    Fleet { n_hosts: 9, n_centres: 3 },
    Fleet { n_hosts: 64, n_centres: 3 },
    Fleet { n_hosts: 295, n_centres: 5 },
];

#[test]
fn a_cold_upstream_is_not_overloaded_with_any_membership_view() {
    for fleet in FLEETS {
        for view in [View::Complete, View::Outdated, View::Restarts] {
            for seed in 0..3 {
                let stats = simulate(fleet, view, Quota::FewHosts, seed);
                assert!(stats.peak as f64 <= MAX_RATE, "{fleet:?} {view:?} {stats:?}");
            }
        }
    }
}

/// The quota for a few hosts serves cold upstreams in every fleet. With equal parts for all hosts,
/// nothing is served from 15 hosts on. With digests that are 130 ms old, 64 hosts send 18 requests
/// per second where 14 are allowed, and in a partition each side sends all of them.
#[test]
fn alternative_quotas_starve_or_overload_cold_upstreams() {
    let few_hosts = FLEETS.map(|it| simulate(it, View::Complete, Quota::FewHosts, 1));
    let all_hosts = FLEETS.map(|it| simulate(it, View::Complete, Quota::AllHosts, 1));
    let gossip =
        FLEETS.map(|it| simulate(it, View::Complete, Quota::Gossip(Duration::from_millis(130)), 1));
    let partition = FLEETS.map(|it| simulate(it, View::Complete, Quota::Gossip(COLD), 1));
    assert!(all_hosts[1..].iter().all(|it| it.mean == 0.0), "{all_hosts:?}");
    assert!(gossip[1..].iter().all(|it| MAX_RATE < it.peak as f64), "{gossip:?}");
    assert!(partition[1..].iter().all(|it| MAX_RATE < it.peak as f64), "{partition:?}");
    assert!(few_hosts.iter().all(|it| 0.5 < it.mean), "{few_hosts:?}");
}
