//! Backoffs that upstreams ask for: how long they hold, what follows, and what callers are told.

use std::time::Duration;

use portfield::{
    balance::{
        Assignment, Balancer, Candidate, Completion, Placement, PlacementRequest, Refusal, Stage,
    },
    catalog::EngineSpec,
    ids::RunId,
    upstream::{Prompt, PromptPart},
};

const SECOND: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which a backoff is checked: requests sent before it have arrived by then.
const SLACK: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Duration {
    Duration::from_millis(10_000 + millis)
}

fn plain_request() -> PlacementRequest {
    PlacementRequest {
        workspace: 1,
        service: 1,
        prompt: None,
        objective: Duration::from_millis(300),
        waited: Duration::ZERO,
        stage: Stage::New,
        engine: None,
        ..PlacementRequest::default()
    }
}

fn engine_request(shared: u64) -> PlacementRequest {
    let parts =
        vec![PromptPart { id: shared, tokens: 5_000 }, PromptPart { id: !shared, tokens: 400 }];
    PlacementRequest {
        prompt: Some(Prompt {
            input_tokens: 5_400,
            max_output_tokens: 100,
            parts,
            ..Prompt::default()
        }),
        engine: Some(EngineSpec {
            slots: 16,
            kv_capacity: 500_000,
            event_tokens: 3,
            ..EngineSpec::default()
        }),
        objective: SECOND,
        ..plain_request()
    }
}

fn upstreams(n: u32) -> Vec<Candidate> {
    (1..=n).map(|it| Candidate { upstream: it, slots: 16, is_local: true }).collect()
}

fn assigned(it: Placement) -> Assignment {
    match it {
        Placement::Send(it) => it,
        Placement::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

/// Sends a request; returns its upstream and run, or `None` if it is refused.
fn send(
    it: &mut Balancer,
    now: Duration,
    request: &PlacementRequest,
    n: u32,
) -> Option<(u32, RunId)> {
    match it.place(now, request, &upstreams(n)) {
        Placement::Send(placed) => Some((placed.upstream, it.record_start(now, request, &placed))),
        Placement::Refuse { .. } => None,
    }
}

#[test]
fn no_request_is_sent_during_a_backoff() {
    for request in [plain_request(), engine_request(7)] {
        let mut it = Balancer::new(WINDOW);
        it.start_backoff(at(0), 1, SECOND * 3);
        for n in 0..60 {
            let (upstream, run) = send(&mut it, at(n * 50), &request, 2).unwrap();
            assert_eq!(upstream, 2, "after {} ms", n * 50);
            it.record_end(at(n * 50 + 30), run, Completion::Done);
        }
        assert_eq!(it.backoff_until(at(2_999), 1), Some(at(3_000)));
        assert_eq!(it.backoff_until(at(3_000), 1), None);
        assert!(send(&mut it, at(3_000), &request, 1).is_some());
    }
}

#[test]
fn a_backoff_is_not_shortened_by_later_events() {
    let mut it = Balancer::new(WINDOW);
    let (_, late) = send(&mut it, at(0), &plain_request(), 1).unwrap();
    it.start_backoff(at(0), 1, SECOND * 3);
    it.start_backoff(at(100), 1, SECOND);
    it.start_backoff(at(150), 1, Duration::ZERO);
    it.record_end(at(200), late, Completion::Done);
    it.record_reachable(1);
    it.mark_warm(1);
    it.retain_upstreams(at(200), |_| false);
    assert_eq!(it.backoff_until(at(300), 1), Some(at(3_000)));
    it.start_backoff(at(2_000), 1, SECOND * 3);
    assert_eq!(it.backoff_until(at(3_500), 1), Some(at(5_000)), "the later one ends later");
}

#[test]
fn a_replacement_of_the_upstream_has_no_backoff() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, SECOND * 3);
    let replacement = [Candidate { upstream: 9, slots: 16, is_local: true }];
    assigned(it.place(at(1), &plain_request(), &replacement));
}

#[test]
fn an_absurd_backoff_is_bounded() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, Duration::ZERO);
    assert_eq!(it.backoff_until(at(0), 1), None);
    it.start_backoff(at(0), 1, Duration::MAX);
    assert_eq!(it.backoff_until(at(1), 1), Some(at(600_000)));
}

#[test]
fn a_refusal_names_the_end_of_the_first_backoff() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, SECOND * 5);
    it.start_backoff(at(0), 2, SECOND * 3);
    let request = engine_request(7);
    let refused = it.place(at(500), &request, &upstreams(2));
    let Placement::Refuse { reason, retry_after, .. } = refused else { panic!("{refused:?}") };
    assert_eq!((reason, retry_after), (Refusal::Backoff, Duration::from_millis(2_500)));
    let started = PlacementRequest { stage: Stage::Streaming, ..engine_request(7) };
    assert!(matches!(it.place(at(500), &started, &upstreams(2)), Placement::Refuse { .. }));
    assert_eq!(it.least_busy(at(500), &upstreams(2)), None);
    assert_eq!(
        it.share_snapshot(at(500), request.workspace).asked,
        2.0 * request.token_cost(),
        "a refused request counts as asked"
    );
}

#[test]
fn unreachable_upstreams_and_backoffs_are_different_refusals() {
    let mut it = Balancer::new(WINDOW);
    while let Some((_, run)) = send(&mut it, at(0), &plain_request(), 2) {
        it.record_end(at(0), run, Completion::Unreachable);
    }
    let reason = |it: &mut Balancer| match it.place(at(1), &plain_request(), &upstreams(2)) {
        Placement::Refuse { reason, .. } => Some(reason),
        Placement::Send(_) => None,
    };
    assert_eq!(reason(&mut it), Some(Refusal::NoUpstream));
    it.start_backoff(at(1), 1, SECOND * 3);
    assert_eq!(reason(&mut it), Some(Refusal::Backoff));
}

#[test]
fn a_single_probe_is_sent_after_a_backoff() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, SECOND);
    let (_, first) = send(&mut it, at(1_000), &plain_request(), 1).unwrap();
    assert_eq!(
        send(&mut it, at(1_001), &plain_request(), 1),
        None,
        "until the outcome of the probe is known"
    );
    it.record_end(at(1_010), first, Completion::Rejected);
    let (_, second) = send(&mut it, at(1_020), &plain_request(), 1).unwrap();
    assert_eq!(send(&mut it, at(1_021), &plain_request(), 1), None);
    it.record_first_event(at(1_030), second);
    assert!(send(&mut it, at(1_031), &plain_request(), 1).is_some());
    assert!(send(&mut it, at(1_032), &plain_request(), 1).is_some(), "the probe was accepted");
}

#[test]
fn a_cancelled_or_rejected_probe_does_not_block_the_upstream() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, SECOND);
    let (_, first) = send(&mut it, at(1_000), &plain_request(), 1).unwrap();
    it.record_end(at(1_010), first, Completion::Cancelled);
    let (_, second) = send(&mut it, at(1_020), &plain_request(), 1).unwrap();
    it.start_backoff(at(1_030), 1, SECOND);
    it.record_end(at(1_030), second, Completion::BackoffRequested);
    assert_eq!(send(&mut it, at(2_029), &plain_request(), 1), None);
    assert!(send(&mut it, at(2_030), &plain_request(), 1).is_some());
}

/// A request rejected once kept its upstream from light load for twenty seconds.
#[test]
fn a_backoff_does_not_count_as_a_failure() {
    let mut it = Balancer::new(WINDOW);
    let (preferred, run) = send(&mut it, at(0), &engine_request(7), 2).unwrap();
    it.record_first_event(at(100), run);
    it.record_end(at(300), run, Completion::Done);
    let (again, rejected) = send(&mut it, at(400), &engine_request(7), 2).unwrap();
    it.start_backoff(at(401), again, SECOND);
    it.record_end(at(401), rejected, Completion::BackoffRequested);
    let (other, run) = send(&mut it, at(402), &engine_request(8), 2).unwrap();
    it.record_end(at(500), run, Completion::Done);
    assert_eq!((again == preferred, other == preferred), (true, false));
    assert_eq!(
        assigned(it.place(at(1_500), &engine_request(7), &upstreams(2))).upstream,
        preferred
    );
}

#[test]
fn the_end_of_a_backoff_is_reported_once() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, SECOND);
    assert_eq!(it.n_backing_off(at(500)), 1);
    assert!(it.take_expired_backoffs(at(500)).is_empty());
    assert_eq!(it.take_expired_backoffs(at(1_050)), [1]);
    assert!(it.take_expired_backoffs(at(1_150)).is_empty());
    assert_eq!(it.n_backing_off(at(1_150)), 0);
}

/// Results of one simulation.
#[derive(Debug, Default)]
struct Stats {
    n_rejected: usize,
    n_served: usize,
    /// Most requests from one host that reached an upstream during one backoff.
    max_during_backoff: usize,
}

/// Simulates hosts under load, and upstreams of which some reject most requests and ask for a
/// backoff.
fn simulate(seed: u64) -> Stats {
    const N_HOSTS: usize = 9;
    const N_UPSTREAMS: u32 = 9;
    const TIME: Duration = Duration::from_millis(150);
    let asked = SECOND * 3;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut hosts: Vec<Balancer> = (0..N_HOSTS).map(|_| Balancer::new(WINDOW)).collect();
    hosts.iter_mut().zip(seed..).for_each(|(it, seed)| it.set_seed(seed));
    let mut running: Vec<(Duration, usize, RunId)> = Vec::new();
    let mut windows: Vec<(Duration, usize, u32, usize)> = Vec::new();
    let mut stats = Stats::default();
    for n in 0..12_000 {
        let now = at(n * 5 / 2);
        running.retain(|(end, host, run)| {
            let is_over = *end <= now;
            if is_over {
                hosts[*host].record_end(*end, *run, Completion::Done);
            }
            !is_over
        });
        let host = rng.usize(..N_HOSTS);
        for _ in 0..3 {
            let Some((upstream, run)) = send(&mut hosts[host], now, &plain_request(), N_UPSTREAMS)
            else {
                break;
            };
            for it in &mut windows {
                let is_within = it.0 + SLACK < now && now < it.0 + asked;
                it.3 += usize::from(is_within && (it.1, it.2) == (host, upstream));
            }
            if 3 < upstream || rng.u32(..3) == 0 {
                running.push((now + TIME, host, run));
                stats.n_served += 1;
                break;
            }
            hosts[host].start_backoff(now, upstream, asked);
            hosts[host].record_end(now, run, Completion::BackoffRequested);
            windows.push((now, host, upstream, 0));
            stats.n_rejected += 1;
        }
    }
    stats.max_during_backoff = windows.iter().map(|it| it.3).max().unwrap_or(0);
    stats
}

#[test]
fn hosts_under_load_respect_backoffs() {
    for seed in 0..20 {
        let stats = simulate(seed);
        assert_eq!(stats.max_during_backoff, 0, "{stats:?}");
        assert!(11_000 < stats.n_served, "{stats:?}");
    }
}

/// An upstream that starts again answers under its id before its new entry is known.
#[test]
fn a_backoff_asked_for_since_the_restart_applies_to_the_current_incarnation() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, SECOND * 3);
    it.inherit_backoff(1, 2, at(500));
    assert_eq!(it.backoff_until(at(600), 2), None, "the earlier incarnation asked for it");
    it.start_backoff(at(1_000), 1, SECOND * 3);
    it.inherit_backoff(1, 2, at(500));
    assert_eq!(it.backoff_until(at(1_100), 2), Some(at(4_000)));
    it.inherit_backoff(1, 2, at(500));
    assert!(assigned(it.place(at(4_001), &plain_request(), &[upstreams(2)[1]])).upstream == 2);
}
