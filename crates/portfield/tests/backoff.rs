//! Upstreams that ask a host to be left alone: for how long, what happens then, and what callers hear.

use std::time::Duration;

use portfield::{
    balance::{
        Assignment, Balancer, Candidate, Completion, Placement, PlacementRequest, Prompt,
        PromptPart, Refusal, RunId, Stage,
    },
    catalog::EngineSpec,
};

const SECOND: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(4);
/// From when on it counts: what had been sent before arrives by then.
const SLACK: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Duration {
    Duration::from_millis(10_000 + millis)
}

fn plain() -> PlacementRequest {
    PlacementRequest {
        workspace: 1,
        service: 1,
        prompt: None,
        objective: Duration::from_millis(300),
        waited: Duration::ZERO,
        stage: Stage::New,
        engine: None,
    }
}

fn prompt(shared: u64) -> PlacementRequest {
    let parts =
        vec![PromptPart { id: shared, tokens: 5_000 }, PromptPart { id: !shared, tokens: 400 }];
    PlacementRequest {
        prompt: Some(Prompt { input_tokens: 5_400, max_output_tokens: 100, parts }),
        engine: Some(EngineSpec { slots: 16, kv_capacity: 500_000, event_tokens: 3 }),
        objective: SECOND,
        ..plain()
    }
}

fn upstreams(n: u32) -> Vec<Candidate> {
    (1..=n).map(|it| Candidate { upstream: it, slots: 16, is_local: true }).collect()
}

fn sent(it: Placement) -> Assignment {
    match it {
        Placement::Send(it) => it,
        Placement::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

/// Sends a request; returns where, if anywhere.
fn send(it: &mut Balancer, now: Duration, job: &PlacementRequest, n: u32) -> Option<(u32, RunId)> {
    match it.place(now, job, &upstreams(n)) {
        Placement::Send(placed) => Some((placed.upstream, it.record_start(now, job, &placed))),
        Placement::Refuse { .. } => None,
    }
}

#[test]
fn nothing_goes_to_who_asked_until_the_time_is_over() {
    for job in [plain(), prompt(7)] {
        let mut it = Balancer::new(WINDOW);
        it.start_backoff(at(0), 1, SECOND * 3);
        for n in 0..60 {
            let (upstream, run) = send(&mut it, at(n * 50), &job, 2).unwrap();
            assert_eq!(upstream, 2, "after {} ms", n * 50);
            it.record_end(at(n * 50 + 30), run, Completion::Done);
        }
        assert_eq!(it.backoff_until(at(2_999), 1), Some(at(3_000)));
        assert_eq!(it.backoff_until(at(3_000), 1), None);
        assert!(send(&mut it, at(3_000), &job, 1).is_some());
    }
}

#[test]
fn the_time_is_not_shortened_by_what_comes_later() {
    let mut it = Balancer::new(WINDOW);
    let (_, late) = send(&mut it, at(0), &plain(), 1).unwrap();
    it.start_backoff(at(0), 1, SECOND * 3);
    it.start_backoff(at(100), 1, SECOND);
    it.start_backoff(at(150), 1, Duration::ZERO);
    it.record_end(at(200), late, Completion::Done);
    it.record_reachable(1);
    it.mark_warm(1);
    it.retain_upstreams(|_| false);
    assert_eq!(it.backoff_until(at(300), 1), Some(at(3_000)));
    it.start_backoff(at(2_000), 1, SECOND * 3);
    assert_eq!(it.backoff_until(at(3_500), 1), Some(at(5_000)), "a later one is longer");
}

#[test]
fn another_incarnation_is_asked() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, SECOND * 3);
    let anew = [Candidate { upstream: 9, slots: 16, is_local: true }];
    sent(it.place(at(1), &plain(), &anew));
}

#[test]
fn a_time_that_nobody_can_mean_is_bounded() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, Duration::ZERO);
    assert_eq!(it.backoff_until(at(0), 1), None);
    it.start_backoff(at(0), 1, Duration::MAX);
    assert_eq!(it.backoff_until(at(1), 1), Some(at(600_000)));
}

#[test]
fn where_all_asked_callers_hear_at_once_when_the_first_time_is_over() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, SECOND * 5);
    it.start_backoff(at(0), 2, SECOND * 3);
    let job = prompt(7);
    let refused = it.place(at(500), &job, &upstreams(2));
    let Placement::Refuse { reason, retry_after: retry, .. } = refused else {
        panic!("{refused:?}")
    };
    assert_eq!((reason, retry), (Refusal::Backoff, Duration::from_millis(2_500)));
    let begun = PlacementRequest { stage: Stage::Streaming, ..prompt(7) };
    assert!(matches!(it.place(at(500), &begun, &upstreams(2)), Placement::Refuse { .. }));
    assert_eq!(it.least_busy(at(500), &upstreams(2)), None);
    assert_eq!(
        it.share_snapshot(at(500), job.workspace).asked,
        2.0 * job.token_cost(),
        "it counts as asked"
    );
}

#[test]
fn who_could_not_be_reached_either_is_told_apart_from_who_asked() {
    let mut it = Balancer::new(WINDOW);
    while let Some((_, run)) = send(&mut it, at(0), &plain(), 2) {
        it.record_end(at(0), run, Completion::Unreachable);
    }
    let reason = |it: &mut Balancer| match it.place(at(1), &plain(), &upstreams(2)) {
        Placement::Refuse { reason, .. } => Some(reason),
        Placement::Send(_) => None,
    };
    assert_eq!(reason(&mut it), Some(Refusal::NoUpstream));
    it.start_backoff(at(1), 1, SECOND * 3);
    assert_eq!(reason(&mut it), Some(Refusal::Backoff));
}

#[test]
fn when_the_time_is_over_one_request_goes_first() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, SECOND);
    let (_, first) = send(&mut it, at(1_000), &plain(), 1).unwrap();
    assert_eq!(send(&mut it, at(1_001), &plain(), 1), None, "until it is known what became of it");
    it.record_end(at(1_010), first, Completion::Rejected);
    let (_, second) = send(&mut it, at(1_020), &plain(), 1).unwrap();
    assert_eq!(send(&mut it, at(1_021), &plain(), 1), None);
    it.record_first_event(at(1_030), second);
    assert!(send(&mut it, at(1_031), &plain(), 1).is_some());
    assert!(send(&mut it, at(1_032), &plain(), 1).is_some(), "it was taken");
}

#[test]
fn a_first_request_whose_caller_leaves_or_that_is_turned_away_again_holds_up_nothing() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, SECOND);
    let (_, first) = send(&mut it, at(1_000), &plain(), 1).unwrap();
    it.record_end(at(1_010), first, Completion::Cancelled);
    let (_, second) = send(&mut it, at(1_020), &plain(), 1).unwrap();
    it.start_backoff(at(1_030), 1, SECOND);
    it.record_end(at(1_030), second, Completion::BackoffRequested);
    assert_eq!(send(&mut it, at(2_029), &plain(), 1), None);
    assert!(send(&mut it, at(2_030), &plain(), 1).is_some());
}

/// A request that was turned away once kept its upstream from all light load for twenty seconds.
#[test]
fn who_asked_counts_as_sound_once_the_time_is_over() {
    let mut it = Balancer::new(WINDOW);
    let (home, run) = send(&mut it, at(0), &prompt(7), 2).unwrap();
    it.record_first_event(at(100), run);
    it.record_end(at(300), run, Completion::Done);
    let (again, turned) = send(&mut it, at(400), &prompt(7), 2).unwrap();
    it.start_backoff(at(401), again, SECOND);
    it.record_end(at(401), turned, Completion::BackoffRequested);
    let (other, run) = send(&mut it, at(402), &prompt(8), 2).unwrap();
    it.record_end(at(500), run, Completion::Done);
    assert_eq!((again == home, other == home), (true, false));
    assert_eq!(sent(it.place(at(1_500), &prompt(7), &upstreams(2))).upstream, home);
}

#[test]
fn that_a_time_is_over_is_told_once() {
    let mut it = Balancer::new(WINDOW);
    it.start_backoff(at(0), 1, SECOND);
    assert_eq!(it.n_backing_off(at(500)), 1);
    assert!(it.take_expired_backoffs(at(500)).is_empty());
    assert_eq!(it.take_expired_backoffs(at(1_050)), [1]);
    assert!(it.take_expired_backoffs(at(1_150)).is_empty());
    assert_eq!(it.n_backing_off(at(1_150)), 0);
}

/// What one play gave.
#[derive(Debug, Default)]
struct Got {
    n_turned: usize,
    n_served: usize,
    /// Most requests that reached an upstream from one host in a time that it had asked it for.
    most: usize,
}

/// Plays hosts whose callers press, and upstreams of which some turn away most of what comes, and ask for time.
fn play(seed: u64) -> Got {
    const N_HOSTS: usize = 9;
    const N_UPSTREAMS: u32 = 9;
    const TIME: Duration = Duration::from_millis(150);
    let asked = SECOND * 3;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut hosts: Vec<Balancer> = (0..N_HOSTS).map(|_| Balancer::new(WINDOW)).collect();
    hosts.iter_mut().zip(seed..).for_each(|(it, seed)| it.set_seed(seed));
    let mut running: Vec<(Duration, usize, RunId)> = Vec::new();
    let mut windows: Vec<(Duration, usize, u32, usize)> = Vec::new();
    let mut got = Got::default();
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
            let Some((upstream, run)) = send(&mut hosts[host], now, &plain(), N_UPSTREAMS) else {
                break;
            };
            for it in &mut windows {
                let is_within = it.0 + SLACK < now && now < it.0 + asked;
                it.3 += usize::from(is_within && (it.1, it.2) == (host, upstream));
            }
            if 3 < upstream || rng.u32(..3) == 0 {
                running.push((now + TIME, host, run));
                got.n_served += 1;
                break;
            }
            hosts[host].start_backoff(now, upstream, asked);
            hosts[host].record_end(now, run, Completion::BackoffRequested);
            windows.push((now, host, upstream, 0));
            got.n_turned += 1;
        }
    }
    got.most = windows.iter().map(|it| it.3).max().unwrap_or(0);
    got
}

#[test]
fn hosts_whose_callers_press_leave_those_alone_that_asked_for_it() {
    for seed in 0..20 {
        let got = play(seed);
        assert_eq!(got.most, 0, "{got:?}");
        assert!(11_000 < got.n_served, "{got:?}");
    }
}
