//! Placement among thousands of upstreams: it costs as much as among hundreds, keeps shared parts at
//! few engines, and finds an idle engine wherever it is.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use portfield::{
    balance::{Balancer, Candidate, Placement, PlacementRequest, Stage},
    catalog::EngineSpec,
    upstream::{Prompt, PromptPart},
};

const NOW: Duration = Duration::from_secs(10);
const ENGINE: EngineSpec =
    EngineSpec { slots: 4, kv_capacity: 400_000, event_tokens: 8, transfer: None };

/// Returns this many candidates with ids that are spread evenly, sorted by id.
fn candidates(n: u32) -> Vec<Candidate> {
    let step = u32::MAX / n;
    (0..n).map(|it| Candidate { upstream: it * step, slots: 4, is_local: it % 5 == 0 }).collect()
}

/// Returns a request of a shared part and one of its own, which an engine reads in 60 ms.
fn request(shared: u64, own: u64) -> PlacementRequest {
    let parts = vec![
        PromptPart { id: shared, tokens: 10_000 },
        PromptPart { id: own << 32 | 1, tokens: 3_000 },
    ];
    PlacementRequest {
        workspace: 1,
        service: 1,
        prompt: Some(Prompt {
            input_tokens: 13_000,
            max_output_tokens: 100,
            parts,
            ..Prompt::default()
        }),
        objective: Duration::from_secs(1),
        waited: Duration::ZERO,
        stage: Stage::New,
        engine: Some(ENGINE),
        ..PlacementRequest::default()
    }
}

fn place(it: &mut Balancer, request: &PlacementRequest, candidates: &[Candidate]) -> Option<u32> {
    match it.place(NOW, request, candidates) {
        Placement::Send(placed) => {
            it.record_start(NOW, request, &placed);
            Some(placed.upstream)
        }
        Placement::Refuse { .. } => None,
    }
}

/// Hosts that know nothing of each other's requests send a part to the same engine.
#[test]
fn hosts_agree_on_the_engine_of_a_shared_part() {
    for n in [60, 500, 520, 10_000] {
        let candidates = candidates(n);
        for part in 1..50 {
            let chosen: HashSet<_> = (0..20)
                .map(|host| {
                    let mut balancer = Balancer::new(Duration::from_secs(4));
                    balancer.set_seed(host);
                    place(&mut balancer, &request(part, host), &candidates)
                })
                .collect();
            assert_eq!(chosen.len(), 1, "part {part} of {n} upstreams");
        }
    }
}

/// The engines of parts are spread over all upstreams.
#[test]
fn parts_are_spread_evenly_over_many_upstreams() {
    let candidates = candidates(2_000);
    let mut n_parts: HashMap<u32, u32> = HashMap::new();
    for part in 1..=20_000 {
        let mut balancer = Balancer::new(Duration::from_secs(4));
        let upstream = place(&mut balancer, &request(part, 1), &candidates).unwrap();
        *n_parts.entry(upstream).or_default() += 1;
    }
    let most = n_parts.values().max().copied().unwrap();
    assert!(1_950 < n_parts.len(), "{} upstreams have a part", n_parts.len());
    assert!(most <= 30, "ten parts on average, {most} at one upstream");
}

/// A change of the list moves few parts.
#[test]
fn few_parts_move_when_upstreams_leave() {
    let all = candidates(10_000);
    let left: Vec<Candidate> =
        all.iter().enumerate().filter(|it| it.0 % 50 != 7).map(|it| *it.1).collect();
    let home = |part, candidates: &[Candidate]| {
        let mut balancer = Balancer::new(Duration::from_secs(4));
        place(&mut balancer, &request(part, 1), candidates).unwrap()
    };
    let n_moved = (1..=2_000).filter(|it| home(*it, &all) != home(*it, &left)).count();
    assert!(n_moved <= 100, "{n_moved} of 2000 parts moved when 2 % of the upstreams left");
}

/// A part that is asked for more often than the engines of the first window can serve goes to those
/// of the next one.
#[test]
fn a_popular_part_spreads_over_many_engines() {
    let candidates = candidates(10_000);
    let mut balancer = Balancer::new(Duration::from_secs(4));
    let used: Vec<u32> =
        (0..2_000).filter_map(|own| place(&mut balancer, &request(7, own), &candidates)).collect();
    assert_eq!(used.len(), 2_000, "requests that were placed");
    let n_engines = used.into_iter().collect::<HashSet<_>>().len();
    assert!((100..=512).contains(&n_engines), "{n_engines} engines");
}

/// The time of a decision does not grow with the number of upstreams: beyond the largest window,
/// twice the upstreams cost no more.
#[test]
fn a_decision_scores_few_of_many_upstreams() {
    let time = |n: u32| {
        let candidates = candidates(n);
        let mut balancer = Balancer::new(Duration::from_secs(4));
        let start = std::time::Instant::now();
        for part in 0..2_000 {
            place(&mut balancer, &request(part, 1), &candidates);
        }
        start.elapsed() / 2_000
    };
    let least = |n| (0..3).map(|_| time(n)).min().unwrap();
    let (few, many) = (least(512), least(20_000));
    assert!(many < few, "{few:?} at 512 upstreams, {many:?} at 20,000");
}
