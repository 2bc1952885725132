//! Which engine a request's upstream fetches cached prompt parts from.

use std::time::Duration;

use portfield::{
    balance::{
        Assignment, Balancer, BalancerOptions, CacheFetch, Candidate, Completion, Placement,
        PlacementRequest, Switch,
    },
    catalog::{EngineSpec, TransferSpec},
    upstream::{Prompt, PromptPart},
};

const WINDOW: Duration = Duration::from_secs(4);
const MEMORY: u64 = 400_000;
const SHARED: u32 = 5_400;
const OWN: u32 = 600;

fn at(millis: u64) -> Duration {
    Duration::from_millis(1_000 + millis)
}

fn balancer() -> Balancer {
    let mut res = Balancer::new(WINDOW);
    res.set_options(BalancerOptions { cache_transfer: Switch::On, ..BalancerOptions::default() });
    res
}

/// Returns a request with the shared part `shared` and a part of its own.
fn request(shared: u64, own: u64) -> PlacementRequest {
    let parts = vec![
        PromptPart { id: shared, tokens: SHARED },
        PromptPart { id: own << 32 | shared, tokens: OWN },
    ];
    PlacementRequest {
        workspace: 1,
        service: 1,
        prompt: Some(Prompt {
            input_tokens: SHARED + OWN,
            max_output_tokens: 100,
            parts,
            ..Prompt::default()
        }),
        objective: Duration::from_secs(9),
        engine: Some(EngineSpec {
            slots: 16,
            kv_capacity: MEMORY,
            event_tokens: 10,
            transfer: Some(TransferSpec { token_bytes: 18_432.0, link_mbps: 180_000.0 }),
        }),
        ..PlacementRequest::default()
    }
}

fn engines(ids: impl IntoIterator<Item = u32>) -> Vec<Candidate> {
    let candidate = |upstream| Candidate { upstream, slots: 16, is_local: true };
    ids.into_iter().map(candidate).collect()
}

fn place(it: &mut Balancer, now: Duration, shared: u64, candidates: &[Candidate]) -> Assignment {
    match it.place(now, &request(shared, now.as_nanos() as u64), candidates) {
        Placement::Send(it) => it,
        Placement::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

/// Lets an engine prefill a shared part for a request of this host.
fn cache_at(it: &mut Balancer, now: Duration, shared: u64, upstream: u32) {
    let placed = place(it, now, shared, &engines([upstream]));
    let run = it.record_start(now, &request(shared, 1), &placed);
    it.record_first_event(now + Duration::from_millis(200), run);
    it.record_end(now + Duration::from_millis(300), run, Completion::Done);
}

/// Sends an engine so much that requests for the parts it caches are placed elsewhere.
fn occupy(it: &mut Balancer, now: Duration, upstream: u32) {
    let placed = place(it, now, 900 + u64::from(upstream), &engines([upstream]));
    let long = Assignment { uncached_tokens: 100_000, fetch: None, ..placed };
    it.record_start(now, &request(900 + u64::from(upstream), 1), &long);
}

/// A host whose request for part 7 is sent to an engine other than 1, which caches that part.
fn host_with_busy_holder() -> Balancer {
    let mut res = balancer();
    cache_at(&mut res, at(0), 7, 1);
    occupy(&mut res, at(400), 1);
    res
}

/// Guards against a part that is prefilled again although a known engine caches it: 33.7 of 199
/// million tokens on Ferreyra trouble-1.
#[test]
fn a_part_cached_elsewhere_is_fetched() {
    let mut it = host_with_busy_holder();
    let placed = place(&mut it, at(500), 7, &engines(1..=9));
    assert_ne!(placed.upstream, 1);
    let Some(CacheFetch { source, tokens, .. }) = placed.fetch else { panic!("{placed:?}") };
    assert_eq!((source, tokens), (1, SHARED));
    assert_eq!(place(&mut it, at(500), 7, &engines([1])).fetch, None, "it is cached there");
}

/// Guards against any change for deployments without the switch, or without transfers.
#[test]
fn nothing_is_fetched_unless_enabled() {
    let mut it = host_with_busy_holder();
    let request = request(7, 5);
    let engine = request.engine.map(|it| EngineSpec { transfer: None, ..it });
    let without = PlacementRequest { engine, ..request };
    let Placement::Send(placed) = it.place(at(500), &without, &engines(1..=9)) else { panic!() };
    assert_eq!(placed.fetch, None);
    it.set_options(BalancerOptions::default());
    assert_eq!(place(&mut it, at(500), 7, &engines(1..=9)).fetch, None);
}
