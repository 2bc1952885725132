//! Placement on engines whose loads hosts hear of late (`spread_placement`), at a quarter of the
//! size of the deployment that it answers.

mod engine_simulation;
mod event_queue;

use std::time::Duration;

use engine_simulation::{Demand, Disruption, Fleet, Outcomes, simulate};
use portfield::{
    balance::{
        Assignment, Balancer, BalancerOptions, Candidate, Completion, Placement, PlacementRequest,
        Switch,
    },
    catalog::EngineSpec,
    upstream::{Prompt, PromptPart},
};

/// A workspace that asks for more than all slots, and one that stays within its share.
const FLOOD: u32 = 1;
const SMALL: u32 = 2;
const SEEDS: [u64; 3] = [11, 12, 13];

/// Engines that are short of slots: a stream takes about a second.
fn fleet(spread_placement: Switch, disruption: Disruption) -> Fleet {
    Fleet {
        n_hosts: 16,
        n_engines: 35,
        tokens_per_ms: 48.0,
        duration: Duration::from_secs(8),
        slots: 12,
        event_time: Duration::from_millis(30),
        options: BalancerOptions { spread_placement, ..BalancerOptions::default() },
        disruption,
        ..Fleet::default()
    }
}

fn streams(workspace: u32, rate: f64) -> Demand {
    Demand {
        workspace,
        route: 1,
        rate,
        shared_parts: (40, 80),
        own_tokens: 700,
        output_tokens: 150,
        objective: Duration::from_millis(800),
        deadline: Duration::from_secs(10),
        ..Demand::default()
    }
}

/// Returns the outcomes of both workspaces over all seeds.
fn outcomes(spread: Switch, disruption: Disruption, flood_rate: f64) -> [Outcomes; 2] {
    let demands = [streams(FLOOD, flood_rate), streams(SMALL, 60.0)];
    let mut res = [Outcomes::default(); 2];
    for seed in SEEDS {
        let it = simulate(fleet(spread, disruption), &demands, seed);
        for (sum, workspace) in res.iter_mut().zip([FLOOD, SMALL]) {
            let of = it[&workspace];
            sum.asked += of.asked;
            sum.in_time += of.in_time;
            sum.late += of.late;
            sum.refused += of.refused;
        }
    }
    res
}

const LATE: Disruption = Disruption::DigestsLate(Duration::from_millis(80));

/// Guards against hosts that all take the same few free slots: a workspace beyond its share then
/// fills them several times over, and requests within their shares wait behind it.
#[test]
fn free_slots_that_all_hosts_see_are_not_taken_several_times() {
    let [flood_off, small_off] = outcomes(Switch::Off, LATE, 1_000.0);
    let [flood_on, small_on] = outcomes(Switch::On, LATE, 1_000.0);
    assert!(small_off.in_time_ratio() < small_on.in_time_ratio());
    assert!(0.8 <= small_on.in_time_ratio(), "four of five requests within a share are in time");
    assert!(flood_on.late < flood_off.late);
    assert!(flood_off.in_time <= flood_on.in_time, "slots stay in use");
}

/// Guards against slots that stay free although nobody else asks for them.
#[test]
fn a_load_below_the_slots_is_served_as_without_spreading() {
    let [flood_off, small_off] = outcomes(Switch::Off, LATE, 100.0);
    let [flood_on, small_on] = outcomes(Switch::On, LATE, 100.0);
    assert_eq!((flood_on.refused, small_on.refused), (0, 0));
    assert!(flood_off.in_time <= flood_on.in_time && small_off.in_time <= small_on.in_time);
}

/// Guards against hosts that trust their knowledge more when half of the digests are lost.
#[test]
fn lost_digests_do_not_make_hosts_flood_engines() {
    let lost = Disruption::DigestsLost(0.5);
    let [_, small_off] = outcomes(Switch::Off, lost, 1_000.0);
    let [_, small_on] = outcomes(Switch::On, lost, 1_000.0);
    assert!(small_off.in_time_ratio() <= small_on.in_time_ratio());
}

/// Guards against estimates that follow the first requests to end: they are the shortest ones, and
/// a host that has just started expected no wait for slots that long streams keep for a second.
#[test]
fn short_requests_that_end_first_do_not_hide_the_wait_for_a_slot() {
    let ms = Duration::from_millis;
    let mut balancer = Balancer::new(Duration::from_secs(4));
    let spread_placement = Switch::On;
    balancer.set_options(BalancerOptions { spread_placement, ..BalancerOptions::default() });
    let candidates = [Candidate { upstream: 1, slots: 12, is_local: true }];
    let send = |it: &mut Balancer, now: Duration, n: u64| {
        let request = request(n);
        let Placement::Send(placed) = it.place(now, &request, &candidates) else { return None };
        Some((it.record_start(now, &request, &placed), placed))
    };
    for n in 0..12 {
        let (short, _) = send(&mut balancer, ms(1000), n).expect("an idle engine");
        balancer.record_first_event(ms(1050), short);
        balancer.record_end(ms(1060), short, Completion::Done);
    }
    let mut last: Option<Assignment> = None;
    for n in 20..40 {
        let Some((run, placed)) = send(&mut balancer, ms(1100), n) else { break };
        balancer.record_first_event(ms(1100), run);
        last = Some(placed);
    }
    let at_once = last.expect("placed").estimate;
    // After a second of long streams, those that still run count.
    let later = match balancer.place(ms(2100), &request(50), &candidates) {
        Placement::Send(it) => it.estimate,
        Placement::Refuse { estimate, .. } => estimate,
    };
    assert!(at_once + ms(200) <= later, "{at_once:?} {later:?}");
}

fn request(own: u64) -> PlacementRequest {
    let parts = vec![PromptPart { id: 1, tokens: 80 }, PromptPart { id: 1_000 + own, tokens: 100 }];
    PlacementRequest {
        workspace: 1,
        service: 1,
        prompt: Some(Prompt { input_tokens: 180, parts, ..Prompt::default() }),
        objective: Duration::from_millis(800),
        engine: Some(EngineSpec {
            slots: 12,
            kv_capacity: 400_000,
            event_tokens: 10,
            ..EngineSpec::default()
        }),
        ..PlacementRequest::default()
    }
}
