//! Engine speeds: what hosts learn of them, what they tell each other, and what placement makes of
//! them.

mod event_queue;
mod speed_simulation;

use std::time::Duration;

use portfield::{
    balance::{
        Assignment, Balancer, BalancerOptions, Candidate, Completion, Placement, PlacementRequest,
        Switch,
    },
    catalog::EngineSpec,
    upstream::{GapMeter, Prompt, PromptPart},
    wire::{self, Digest},
};
use speed_simulation::{Fleet, simulate};

const OBJECTIVE: Duration = Duration::from_millis(300);
const SERVICE: u32 = 1;
/// Time that slow engines take, as a multiple of the service's.
const SLOW: f64 = 2.5;
const N_ENGINES: u32 = 8;
const GAP: Duration = Duration::from_millis(26);

fn at(millis: u64) -> Duration {
    Duration::from_millis(1_000 + millis)
}

fn host(engine_speed: Switch) -> Balancer {
    let mut res = Balancer::new(Duration::from_secs(4));
    res.set_options(BalancerOptions { engine_speed, ..BalancerOptions::default() });
    res
}

fn request(id: u64) -> PlacementRequest {
    PlacementRequest {
        workspace: 1,
        service: SERVICE,
        prompt: Some(Prompt {
            input_tokens: 6_000,
            max_output_tokens: 300,
            parts: vec![PromptPart { id, tokens: 6_000 }],
            ..Prompt::default()
        }),
        objective: Duration::from_secs(3),
        engine: Some(EngineSpec {
            slots: 16,
            kv_capacity: 400_000,
            event_tokens: 10,
            ..EngineSpec::default()
        }),
        ..PlacementRequest::default()
    }
}

fn engine(upstream: u32) -> Candidate {
    Candidate { upstream, slots: 16, is_local: true }
}

fn engines() -> Vec<Candidate> {
    (1..=N_ENGINES).map(engine).collect()
}

fn assigned(it: Placement) -> Assignment {
    match it {
        Placement::Send(it) => it,
        Placement::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

/// Runs one request at an engine that takes `slowness` times as long as one of 92 tokens per
/// millisecond; the first event comes at `now`.
fn run(it: &mut Balancer, now: Duration, upstream: u32, slowness: f64) {
    let time = Duration::from_millis(26 + 65).mul_f64(slowness);
    let request = request(now.as_nanos() as u64 ^ u64::from(upstream) << 48);
    let placed = assigned(it.place(now - time, &request, &[engine(upstream)]));
    let run = it.record_start(now - time, &request, &placed);
    it.record_first_event(now, run);
    it.record_gap(now, run, GAP.mul_f64(slowness));
    it.record_end(now, run, Completion::Done);
}

/// Runs a request at each engine every 100 ms, from and to a time in milliseconds.
fn run_everywhere(it: &mut Balancer, from: u64, to: u64, slowness: impl Fn(u32) -> f64) {
    for millis in (from..to).step_by(100) {
        for upstream in 1..=N_ENGINES {
            run(
                it,
                at(millis) + Duration::from_millis(u64::from(upstream)),
                upstream,
                slowness(upstream),
            );
        }
    }
}

fn slow_first(upstream: u32) -> f64 {
    if upstream == 1 { SLOW } else { 1.0 }
}

fn digest_of(it: &mut Balancer, now: Duration, id: u64, sequence: u64) -> Digest {
    let mut res =
        Digest { host: id, incarnation: id, sequence, data_centre: 1, ..Digest::default() };
    it.fill_digest(now, &mut res);
    res
}

fn summary_of(it: &mut Balancer, now: Duration, sequence: u64) -> Digest {
    let mut res =
        Digest { host: 1, incarnation: 10, sequence, data_centre: 1, ..Digest::default() };
    it.fill_summary(now, &mut res);
    res
}

/// A slow period was taken for a property of all engines of the service, and outlasted by far.
#[test]
fn a_slow_period_fades_as_fast_as_it_came() {
    let mut it = host(Switch::On);
    run_everywhere(&mut it, 0, 5_000, |_| 1.0);
    run_everywhere(&mut it, 5_000, 5_600, slow_first);
    let slow = it.engine_speed(at(5_600), 1);
    assert!(slow.prefill < 0.7 && slow.decode < 0.7, "{slow:?}");
    assert_eq!(it.slow_engines(at(5_600)), [1]);
    let other = it.engine_speed(at(5_600), 2);
    assert!((0.9..1.1).contains(&other.prefill), "{other:?}");
    run_everywhere(&mut it, 5_600, 6_200, |_| 1.0);
    let recovered = it.engine_speed(at(6_200), 1);
    assert!(0.8 < recovered.prefill && 0.8 < recovered.decode, "{recovered:?}");
}

/// Without requests at an engine that is avoided, nothing would show that it has recovered.
#[test]
fn a_slow_period_fades_without_observations() {
    let mut it = host(Switch::On);
    run_everywhere(&mut it, 0, 5_000, |_| 1.0);
    run_everywhere(&mut it, 5_000, 5_600, slow_first);
    let later = it.engine_speed(at(6_800), 1);
    assert!(0.8 < later.prefill && 0.8 < later.decode, "{later:?}");
}

/// An engine that differs for good was rediscovered after each pause.
#[test]
fn a_lasting_difference_stays_for_seconds_and_fades_in_minutes() {
    let mut it = host(Switch::On);
    run_everywhere(&mut it, 0, 30_000, slow_first);
    let known = it.engine_speed(at(30_000), 1);
    assert!(known.prefill < 0.5 && known.decode < 0.5, "{known:?}");
    let paused = it.engine_speed(at(35_000), 1);
    assert!(paused.prefill < 0.55, "{paused:?}");
    let unseen = it.engine_speed(at(300_000), 1);
    assert!(0.95 < unseen.prefill && 0.95 < unseen.decode, "{unseen:?}");
}

/// One stalled prompt, or one part that an engine had evicted, is no sign of its speed.
#[test]
fn one_outlier_does_not_make_an_engine_slow() {
    let mut it = host(Switch::On);
    run_everywhere(&mut it, 0, 5_000, |_| 1.0);
    run(&mut it, at(5_000), 1, 8.0);
    assert!(it.slow_engines(at(5_000)).is_empty(), "{:?}", it.engine_speed(at(5_000), 1));
    let mut fresh = host(Switch::On);
    for upstream in 2..=N_ENGINES {
        run(&mut fresh, at(0), upstream, 1.0);
    }
    run(&mut fresh, at(10), 1, 8.0);
    assert!(fresh.slow_engines(at(10)).is_empty(), "{:?}", fresh.engine_speed(at(10), 1));
}

/// Prefill and decode are slowed by different causes: the time to the first event must not follow
/// from the gaps.
#[test]
fn prefill_and_decode_speed_are_kept_apart() {
    let mut it = host(Switch::On);
    run_everywhere(&mut it, 0, 5_000, |_| 1.0);
    for millis in (5_000..7_000).step_by(100) {
        let placed = assigned(it.place(at(millis), &request(millis), &[engine(1)]));
        let run = it.record_start(at(millis), &request(millis), &placed);
        let first = at(millis + 91);
        it.record_first_event(first, run);
        it.record_gap(first, run, GAP.mul_f64(SLOW));
        it.record_end(first, run, Completion::Done);
    }
    let speed = it.engine_speed(at(7_000), 1);
    assert!(speed.decode < 0.7 && 0.85 < speed.prefill, "{speed:?}");
}

/// Slowness of one engine that the latency model or the bias learned too made all engines of the
/// service look slow, and requests were refused while engines were idle.
#[test]
fn a_slow_engine_does_not_raise_the_estimates_of_the_others() {
    let estimate = |slowness: fn(u32) -> f64| {
        let mut it = host(Switch::On);
        run_everywhere(&mut it, 0, 20_000, slowness);
        let placed = assigned(it.place(at(20_000), &request(1), &[engine(2)]));
        placed.estimate.as_secs_f64() * 1000.0
    };
    let (even, uneven) = (estimate(|_| 1.0), estimate(slow_first));
    assert!((uneven - even).abs() < 0.1 * even, "{even} {uneven}");
}

/// An engine whose speed is known is estimated by it, queued tokens included.
#[test]
fn estimates_use_the_speed_of_the_engine() {
    let mut it = host(Switch::On);
    run_everywhere(&mut it, 0, 30_000, slow_first);
    let now = at(30_000);
    let estimate = |it: &mut Balancer, upstream: u32| {
        let placed = assigned(it.place(now, &request(1), &[engine(upstream)]));
        it.record_start(now, &request(1), &placed);
        let queued = assigned(it.place(now, &request(2), &[engine(upstream)]));
        assert_eq!(queued.queued_tokens, 6_000);
        queued.estimate.as_secs_f64() - queued.bias.as_secs_f64()
    };
    let ratio = estimate(&mut it, 1) / estimate(&mut it, 2);
    assert!((2.0..2.7).contains(&ratio), "{ratio}");
}

/// If all engines are as slow as each other, none is slow: the latency model has to learn it, or
/// estimates would depend on how often an engine was seen.
#[test]
fn a_service_that_is_slow_as_a_whole_has_no_slow_engine() {
    let mut it = host(Switch::On);
    run_everywhere(&mut it, 0, 5_000, |_| 1.0);
    run_everywhere(&mut it, 5_000, 15_000, |_| 2.0);
    assert!(it.slow_engines(at(15_000)).is_empty());
    let speed = it.engine_speed(at(15_000), 1);
    assert!((0.85..1.15).contains(&speed.prefill), "{speed:?}");
}

/// A host that sends little saw a slow period after it had ended.
#[test]
fn hosts_learn_speeds_from_each_other_and_count_each_report_once() {
    let (mut one, mut two) = (host(Switch::On), host(Switch::On));
    run_everywhere(&mut one, 0, 5_000, |_| 1.0);
    run_everywhere(&mut one, 5_000, 5_600, slow_first);
    let first = digest_of(&mut one, at(5_600), 1, 1);
    let load = first.loads.iter().find(|it| it.upstream == 1).unwrap();
    assert!((300..600).contains(&load.read_speed), "{load:?}");
    assert!((300..600).contains(&load.decode_speed), "{load:?}");
    two.merge_digest(at(5_605), &first);
    let once = two.engine_speed(at(5_605), 1).prefill;
    assert!(once < 0.85, "{once}");
    two.merge_digest(at(5_605), &first);
    two.merge_digest(at(5_605), &digest_of(&mut one, at(5_605), 1, 2));
    two.merge_digest(at(5_605), &digest_of(&mut one, at(5_605), 1, 3));
    assert_eq!(two.engine_speed(at(5_605), 1).prefill, once);
    let fourth = digest_of(&mut one, at(5_610), 1, 4);
    assert!(fourth.loads.iter().all(|it| (it.read_speed, it.decode_speed) == (0, 0)));
}

/// The same speed observed again is news, though the reported number is the same.
#[test]
fn a_steady_speed_is_counted_again_with_each_observation() {
    let mut it = host(Switch::On);
    let load = wire::UpstreamLoad { upstream: 1, read_speed: 400, ..Default::default() };
    for sequence in 1..=40 {
        let digest =
            Digest { host: 9, incarnation: 1, sequence, loads: vec![load], ..Default::default() };
        it.merge_digest(at(sequence * 50), &digest);
    }
    let speed = it.engine_speed(at(2_000), 1).prefill;
    assert!(speed < 0.55, "{speed}");
}

/// With its digests lost, a host must not avoid an engine for what it last heard of it.
#[test]
fn speeds_fade_when_digests_are_lost() {
    let (mut one, mut two) = (host(Switch::On), host(Switch::On));
    run_everywhere(&mut one, 0, 2_000, |_| 1.0);
    for sequence in 1..=52 {
        let millis = 2_000 + sequence * 50;
        run(&mut one, at(millis), 1, if sequence <= 40 { 1.0 } else { SLOW });
        two.merge_digest(at(millis), &digest_of(&mut one, at(millis), 1, sequence));
    }
    let heard = two.engine_speed(at(4_600), 1).prefill;
    assert!(heard < 0.6, "{heard}");
    let later = two.engine_speed(at(5_200), 1).prefill;
    assert!(0.75 < later, "{later}");
    let unseen = two.engine_speed(at(200_000), 1).prefill;
    assert!(0.95 < unseen, "{unseen}");
}

/// Data centres that summarize all that they know tell each other their own reports as news, and a
/// slow period would never end.
#[test]
fn speeds_travel_through_a_summary_and_do_not_come_back() {
    let (mut member, mut leader, mut remote) =
        (host(Switch::On), host(Switch::On), host(Switch::On));
    summary_of(&mut leader, at(0), 1);
    run_everywhere(&mut member, 0, 2_000, |_| 1.0);
    run_everywhere(&mut member, 2_000, 2_600, slow_first);
    leader.merge_digest(at(2_600), &digest_of(&mut member, at(2_600), 11, 1));
    let summary = summary_of(&mut leader, at(2_600), 2);
    let load = summary.loads.iter().find(|it| it.upstream == 1).unwrap();
    assert!((300..600).contains(&load.read_speed), "{load:?}");
    let summary = Digest { n_summed: 2, ..summary };
    remote.merge_digest(at(2_610), &summary);
    assert!(remote.engine_speed(at(2_610), 1).prefill < 0.85);
    let mut own =
        Digest { host: 2, incarnation: 20, sequence: 1, data_centre: 2, ..Default::default() };
    remote.fill_summary(at(2_615), &mut own);
    assert!(own.loads.iter().all(|it| (it.read_speed, it.decode_speed) == (0, 0)), "{own:?}");
}

/// The switch is off by default, and earlier deployments must not lose anything by it.
#[test]
fn with_the_switch_off_nothing_changes() {
    let (mut plain, mut informed) = (Balancer::new(Duration::from_secs(4)), host(Switch::Off));
    for sequence in 1..=400_u64 {
        let now = at(sequence * 25);
        let (read_speed, decode_speed) = (300 + sequence as u32, 200);
        let loads = [(0, 0), (read_speed, decode_speed)].map(|(read_speed, decode_speed)| {
            vec![wire::UpstreamLoad { upstream: 1, read_speed, decode_speed, ..Default::default() }]
        });
        let mut results = Vec::new();
        for (it, loads) in [&mut plain, &mut informed].into_iter().zip(loads) {
            it.merge_digest(
                now,
                &Digest { host: 9, incarnation: 1, sequence, loads, ..Default::default() },
            );
            let placed = it.place(now, &request(sequence), &engines());
            let assignment = assigned(placed);
            let run = it.record_start(now, &request(sequence), &assignment);
            it.record_first_event(now + Duration::from_millis(90 + sequence % 7 * 30), run);
            it.record_gap(now, run, GAP * (1 + sequence as u32 % 3));
            it.record_end(now + Duration::from_millis(400), run, Completion::Done);
            let mut digest = digest_of(it, now, 1, sequence);
            digest.loads.sort_by_key(|it| it.upstream);
            results.push((placed, digest));
        }
        assert_eq!(results[0], results[1]);
    }
    assert_eq!(informed.engine_speed(at(10_000), 1).prefill, 1.0);
}

/// A balancer whose switch is turned off on a reload must not keep avoiding engines.
#[test]
fn turning_the_switch_off_forgets_the_speeds() {
    let mut it = host(Switch::On);
    run_everywhere(&mut it, 0, 5_000, slow_first);
    assert_eq!(it.slow_engines(at(5_000)), [1]);
    it.set_options(BalancerOptions::default());
    assert!(it.slow_engines(at(5_000)).is_empty());
}

/// One call of the balancer per event cost a busy host its processor time, and a stream that its
/// caller reads slowly made the engine look slow.
#[test]
fn gaps_are_reported_once_per_second_and_only_while_the_relay_waits() {
    let mut meter = GapMeter::new(Some(GAP));
    let mut reports = Vec::new();
    let mut now = at(0);
    for n in 0..400 {
        let gap = if n / 40 % 2 == 0 { GAP } else { GAP.mul_f64(SLOW) };
        if let Some(it) = meter.record(now, now + gap, 1) {
            reports.push((now + gap, it));
        }
        now += gap;
    }
    let is_second_apart = |it: &[(Duration, Duration)]| it[0].0 + Duration::from_secs(1) <= it[1].0;
    assert!(reports.windows(2).all(is_second_apart), "{reports:?}");
    assert!(8 < reports.len(), "{reports:?}");
    assert!(
        reports.iter().any(|it| it.1 == GAP) && reports.iter().any(|it| it.1 == GAP.mul_f64(SLOW))
    );
    let mut held_up = GapMeter::default();
    let second = Duration::from_secs(1);
    let reports = (1..50).filter_map(|it| held_up.record(second * it - GAP / 10, second * it, 1));
    assert_eq!(reports.count(), 0);
}

fn fleet(engine_speed: Switch, slowness: fn(u32, Duration) -> f64) -> Fleet {
    Fleet {
        n_hosts: 12,
        n_engines: 20,
        rate: 120.0,
        duration: Duration::from_secs(40),
        engine_speed,
        slowness,
        loses_digests: |_| false,
    }
}

/// Engine 0 is slow for 600 ms in each four seconds.
fn periods_of_one(engine: u32, at: Duration) -> f64 {
    let phase = at.as_millis() % 4_000;
    if engine == 0 && (2_000..2_600).contains(&phase) { SLOW } else { 1.0 }
}

/// 15 % of all engines at a time, each for 600 ms in four seconds.
fn periods_of_all(engine: u32, at: Duration) -> f64 {
    let phase = (at.as_millis() as u64 + u64::from(engine) * 1_370) % 4_000;
    if phase < 600 { SLOW } else { 1.0 }
}

fn slow_for_good(engine: u32, _: Duration) -> f64 {
    if engine == 0 { SLOW } else { 1.0 }
}

fn slow_for_ten_seconds(engine: u32, at: Duration) -> f64 {
    if engine == 0 && (10..20).contains(&at.as_secs()) { SLOW } else { 1.0 }
}

#[test]
fn placement_avoids_an_engine_in_its_slow_periods_and_returns() {
    let record = simulate(fleet(Switch::On, periods_of_one), OBJECTIVE, 7);
    let is_in = |from: u128, to: u128| {
        move |it: Duration| 4 <= it.as_secs() && (from..to).contains(&(it.as_millis() % 4_000))
    };
    let before = record.part_sent_to(0, is_in(0, 2_000));
    let slow = record.part_sent_to(0, is_in(2_300, 2_700));
    let after = record.part_sent_to(0, is_in(3_300, 4_000));
    assert!(slow < before / 2.0, "{before} {slow}");
    assert!(before / 2.0 < after, "{before} {after}");
}

#[test]
fn an_engine_that_is_slow_for_good_gets_few_requests_but_some() {
    let record = simulate(fleet(Switch::On, slow_for_good), OBJECTIVE, 7);
    let part = record.part_sent_to(0, |it| 5 <= it.as_secs());
    assert!(0.0005 < part && part < 0.02, "{part}");
}

#[test]
fn an_engine_that_has_recovered_is_used_again() {
    let record = simulate(fleet(Switch::On, slow_for_ten_seconds), OBJECTIVE, 7);
    let slow = record.part_sent_to(0, |it| (12..20).contains(&it.as_secs()));
    let after = record.part_sent_to(0, |it| 30 <= it.as_secs());
    assert!(slow < 0.02, "{slow}");
    assert!(0.03 < after, "{after}");
}

/// Part of the engines slow for good, all others for 600 ms in four seconds.
fn mixed(engine: u32, at: Duration) -> f64 {
    if engine % 10 == 3 { SLOW } else { periods_of_all(engine, at) }
}

/// At moderate load, where an engine's queue does not show its speed, requests sent to slow engines
/// were late.
#[test]
fn more_requests_are_in_time_with_engine_speeds() {
    let objective = Duration::from_millis(180);
    for slowness in [periods_of_all, mixed, slow_for_good] {
        let n_late = [Switch::Off, Switch::On].map(|it| {
            let run = |seed| {
                let fleet = Fleet { rate: 60.0, ..fleet(it, slowness) };
                let record = simulate(fleet, objective, seed);
                record.sent.len() + record.n_refused - record.n_within(objective)
            };
            (1..=4).map(run).sum::<usize>()
        });
        assert!(n_late[1] < n_late[0], "{n_late:?}");
    }
}

/// Noise that is taken for slowness costs requests where all engines are equal.
#[test]
fn equal_engines_lose_nothing() {
    for (rate, objective) in [(60.0, 180), (120.0, 220), (180.0, 260)] {
        let objective = Duration::from_millis(objective);
        let [off, on] = [Switch::Off, Switch::On].map(|it| {
            let run = |seed| {
                let fleet = Fleet { rate, ..fleet(it, |_, _| 1.0) };
                simulate(fleet, objective, seed).n_within(objective)
            };
            (1..=2).map(run).sum::<usize>()
        });
        assert!(off * 995 / 1000 < on, "{off} {on}");
    }
}

/// With all digests lost for half of the time, each host knows its own observations only.
#[test]
fn lost_digests_cost_no_more_than_without_speeds() {
    let objective = Duration::from_millis(180);
    let [off, on] = [Switch::Off, Switch::On].map(|it| {
        let loses_digests = |at: Duration| 5 <= at.as_secs() % 10;
        let fleet = Fleet { loses_digests, rate: 60.0, ..fleet(it, mixed) };
        simulate(fleet, objective, 9).n_within(objective)
    });
    assert!(off < on, "{off} {on}");
}

/// The numbers of each digest must not grow by more than a tenth.
#[test]
fn speeds_add_less_than_a_tenth_to_digests() {
    let bytes = |it| simulate(fleet(it, periods_of_all), OBJECTIVE, 7).digest_bytes;
    let (off, on) = (bytes(Switch::Off), bytes(Switch::On));
    assert!(on * 10 < off * 11, "{off} {on}");
}
