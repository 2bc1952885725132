//! Which engine a request's upstream fetches cached prompt parts from.

use std::{collections::HashMap, time::Duration};

use portfield::{
    balance::{
        Assignment, Balancer, BalancerOptions, CacheFetch, Candidate, Completion, FetchOutcome,
        FetchReport, Placement, PlacementRequest, SourceKnowledge, Switch,
    },
    catalog::{EngineSpec, TransferSpec},
    upstream::{ColdQuota, Prompt, PromptPart},
    wire::{self, Digest},
};
use prost::Message;

const WINDOW: Duration = Duration::from_secs(4);
const MEMORY: u64 = 400_000;
const SHARED: u32 = 5_400;
const OWN: u32 = 600;
/// Time to transfer the shared part: 5,400 tokens of 18,432 bytes at 180,000 Mbit/s.
const TRANSFER_TIME: Duration = Duration::from_micros(4_424);

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
    let long = Assignment { uncached_tokens: 40_000, fetch: None, ..placed };
    it.record_start(now, &request(900 + u64::from(upstream), 1), &long);
}

/// A host whose request for part 7 is sent to an engine other than 1, which caches that part.
fn host_with_busy_holder() -> Balancer {
    let mut res = balancer();
    cache_at(&mut res, at(0), 7, 1);
    occupy(&mut res, at(400), 1);
    res
}

fn digest_of(it: &mut Balancer, now: Duration, sequence: u64) -> Digest {
    let mut res = Digest { host: 1, incarnation: 2, sequence, ..Digest::default() };
    it.fill_digest(now, &mut res);
    res
}

/// Merges the digest of another host that announces a use of part 7 at engine 1.
fn announce(it: &mut Balancer, now: Duration, sequence: u64) {
    let parts = digest_of(&mut host_with_busy_holder(), now, 1).prefixes[0].parts.clone();
    let prefixes = vec![wire::PrefixUse { upstream: 1, parts, ..Default::default() }];
    let digest = Digest { host: 9, incarnation: 9, sequence, prefixes, ..Digest::default() };
    it.merge_digest(now, &digest);
}

/// Returns which engine is named if part 7 is requested at an engine that lacks it.
fn named(it: &mut Balancer, now: Duration) -> Option<(u32, SourceKnowledge)> {
    let fetch = place(it, now, 7, &engines(1..=9)).fetch?;
    Some((fetch.source, fetch.knowledge))
}

/// Starts a request that fetches part 7 from engine 1, with its first event after `time`.
fn fetch(it: &mut Balancer, now: Duration, time: Duration) -> Option<FetchReport> {
    let placed = place(it, now, 7, &engines(1..=9));
    assert_eq!(placed.fetch.map(|it| it.source), Some(1));
    let run = it.record_start(now, &request(7, 2), &placed);
    let report = it.record_first_event(now + time, run);
    it.record_end(now + time, run, Completion::Done);
    report
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

/// Guards against fetches that all go to the first holder of a popular part: they wait for one
/// another at its link, although others cache the part as well. Two hosts hear of each other's
/// fetches 50 ms late.
#[test]
fn fetches_of_a_popular_part_are_shared_among_its_holders() {
    let holders = 1..=4;
    let mut hosts = [balancer(), balancer()];
    for it in &mut hosts {
        holders.clone().for_each(|id| cache_at(it, at(0), 7, id));
        holders.clone().for_each(|id| occupy(it, at(400), id));
        // Announcements of the uses above are over.
        (1..=3).for_each(|sequence| drop(digest_of(it, at(410), sequence)));
        // The holders are not equally certain to have the part still.
        let read = |id: u32| wire::UpstreamLoad {
            upstream: id,
            read: u64::from(id) * 30_000,
            ..Default::default()
        };
        let loads = holders.clone().map(read).collect();
        let digest = Digest { host: 9, incarnation: 9, sequence: 1, loads, ..Digest::default() };
        it.merge_digest(at(450), &digest);
    }
    let mut running = Vec::new();
    let mut n_fetches: HashMap<u32, u32> = HashMap::new();
    // When the link of each holder has done all transfers.
    let mut links: HashMap<u32, Duration> = HashMap::new();
    let mut longest = Duration::ZERO;
    for n in 0..400_u32 {
        let now = at(500 + u64::from(n) * 2);
        if n % 25 == 0 {
            let digests = [0, 1].map(|id| {
                let sequence = u64::from(n) + 4;
                Digest { host: id as u64 + 5, ..digest_of(&mut hosts[id], now, sequence) }
            });
            hosts[0].merge_digest(now, &digests[1]);
            hosts[1].merge_digest(now, &digests[0]);
        }
        let host = n as usize % 2;
        // Each time another engine that lacks the part, and is idle.
        let candidates = engines(holders.clone().chain([100 + n]));
        let placed = place(&mut hosts[host], now, 7, &candidates);
        let Some(fetch) = placed.fetch else { panic!("not fetched: {placed:?}") };
        *n_fetches.entry(fetch.source).or_default() += 1;
        let free_at = links.entry(fetch.source).or_insert(now);
        *free_at = (*free_at).max(now) + TRANSFER_TIME;
        longest = longest.max(*free_at - now);
        let run = hosts[host].record_start(now, &request(7, u64::from(n)), &placed);
        running.push((now + Duration::from_millis(80), host, run));
        while let Some((at, host, run)) = running.first().copied().filter(|it| it.0 <= now) {
            hosts[host].record_first_event(at, run);
            hosts[host].record_end(at, run, Completion::Done);
            running.remove(0);
        }
    }
    let most = n_fetches.values().max().copied().unwrap_or_default();
    assert!(most <= 200, "of 400: {n_fetches:?}");
    // Prefill takes 136 ms; 972 ms if all used one holder, 369 ms if hosts counted only their own.
    assert!(longest < Duration::from_millis(120), "{longest:?}");
}

/// Guards against a source that has ended, drains, is under evacuation or in a region that the
/// request may not use: none of them is among the candidates, or it is blocked.
#[test]
fn an_upstream_that_may_not_be_used_is_not_named() {
    let mut it = host_with_busy_holder();
    assert_eq!(named(&mut it, at(500)), Some((1, SourceKnowledge::Cached)));
    let fetch = place(&mut it, at(500), 7, &engines(2..=9)).fetch;
    assert_ne!(fetch.map(|it| it.source), Some(1), "it is not a candidate");
    let placed = place(&mut it, at(500), 7, &engines([1]));
    let run = it.record_start(at(500), &request(7, 3), &placed);
    it.record_end(at(500), run, Completion::Unreachable);
    assert_ne!(named(&mut it, at(501)).map(|it| it.0), Some(1), "it is unreachable");
}

/// Guards against work for an engine that is cold or asked for a backoff.
#[test]
fn an_upstream_that_is_cold_or_backs_off_is_not_named() {
    let mut it = host_with_busy_holder();
    it.mark_cold(1, at(800), ColdQuota { rate: 5, from: at(0) });
    assert_ne!(named(&mut it, at(500)).map(|it| it.0), Some(1));
    assert_eq!(named(&mut it, at(900)), Some((1, SourceKnowledge::Cached)));
    it.start_backoff(at(900), 1, Duration::from_millis(500));
    assert_ne!(named(&mut it, at(1_000)).map(|it| it.0), Some(1));
}

/// Guards against a source that has evicted the part: the tokens read there since its last use fill
/// its memory. The part counts as prefilled then, also before it is certainly evicted.
#[test]
fn an_upstream_that_has_evicted_the_part_is_no_source() {
    let mut it = host_with_busy_holder();
    let mut n_doubtful = 0;
    for sequence in 1..=40 {
        let now = at(500 + sequence);
        let read =
            wire::UpstreamLoad { upstream: 1, read: sequence * MEMORY / 40, ..Default::default() };
        let digest =
            Digest { host: 9, incarnation: 9, sequence, loads: vec![read], ..Digest::default() };
        it.merge_digest(now, &digest);
        let Some(fetch) = place(&mut it, now, 7, &engines(1..=9)).fetch else { continue };
        if fetch.knowledge == SourceKnowledge::Cached {
            assert!(sequence < 28, "evicted after 0.7 of the memory");
            n_doubtful += u32::from(fetch.expected == 0);
        } else {
            assert!(17 <= sequence, "{sequence}");
        }
    }
    assert!(2 < n_doubtful, "{n_doubtful}");
}

/// Guards against a host that heard no digest and has the part prefilled again, although the engine
/// at which all hosts prefer to cache it does so.
#[test]
fn a_host_that_knows_no_holder_names_the_home() {
    let home = place(&mut balancer(), at(0), 7, &engines(1..=9)).upstream;
    let mut it = balancer();
    assert_eq!(named(&mut it, at(0)), None, "it is sent to the home itself");
    occupy(&mut it, at(0), home);
    let placed = place(&mut it, at(10), 7, &engines(1..=9));
    let Some(fetch) = placed.fetch else { panic!("{placed:?}") };
    assert_eq!((fetch.source, fetch.knowledge), (home, SourceKnowledge::Home));
    assert_eq!((fetch.expected, placed.uncached_tokens), (0, SHARED + OWN), "it may bring nothing");
}

/// Guards against a host that relies on a part that was sent to an engine and is not prefilled yet.
#[test]
fn an_unread_part_is_not_expected_to_be_fetched() {
    let (mut one, mut two) = (balancer(), balancer());
    let placed = place(&mut one, at(0), 7, &engines([1]));
    let run = one.record_start(at(0), &request(7, 1), &placed);
    two.merge_digest(at(10), &digest_of(&mut one, at(10), 1));
    occupy(&mut two, at(10), 1);
    let placed = place(&mut two, at(20), 7, &engines(1..=9));
    let Some(fetch) = placed.fetch else { panic!("{placed:?}") };
    assert_eq!((fetch.knowledge, fetch.expected), (SourceKnowledge::Announced, 0));
    assert_eq!(placed.uncached_tokens, SHARED + OWN);
    one.record_first_event(at(200), run);
    two.merge_digest(at(210), &digest_of(&mut one, at(210), 2));
    let placed = place(&mut two, at(220), 7, &engines(1..=9));
    let Some(fetch) = placed.fetch else { panic!("{placed:?}") };
    assert_eq!((fetch.knowledge, fetch.expected), (SourceKnowledge::Cached, SHARED));
    assert_eq!(placed.uncached_tokens, OWN);
}

/// Guards against a host that goes on to fetch from an engine that does not have the part: its record
/// is corrected by a first event as late as after a full prefill, and it gets a pause.
#[test]
fn a_source_that_brought_nothing_is_not_tried_again_at_once() {
    let mut it = host_with_busy_holder();
    let placed = place(&mut it, at(500), 7, &engines(1..=9));
    let without = placed.estimate_without_fetch();
    let report = fetch(&mut it, at(500), without).unwrap();
    assert_eq!((report.outcome, report.tokens()), (FetchOutcome::Nothing, 0));
    let only = engines([1, 30]);
    let again = place(&mut it, at(900), 7, &only);
    assert_eq!((again.upstream, again.fetch), (30, None), "neither as a holder nor as the home");
    let at_source = place(&mut it, at(900), 7, &engines([1]));
    assert_eq!(at_source.uncached_tokens, SHARED + OWN, "the record is corrected");
    // The engine has the part again.
    announce(&mut it, at(910), 1);
    assert_eq!(place(&mut it, at(950), 7, &only).fetch, None, "not at once");
    let later = at(950) + without + Duration::from_secs(1);
    assert_eq!(place(&mut it, later, 7, &only).fetch.map(|it| it.source), Some(1));
}

/// Guards against a correction by an event that came in time, or that waited for other requests.
#[test]
fn a_fetch_that_brought_the_part_or_an_unclear_one_corrects_nothing() {
    let mut it = host_with_busy_holder();
    let placed = place(&mut it, at(500), 7, &engines(1..=9));
    let report = fetch(&mut it, at(500), placed.estimate).unwrap();
    assert_eq!((report.outcome, report.tokens()), (FetchOutcome::Brought, SHARED));
    let mut it = host_with_busy_holder();
    let report = fetch(&mut it, at(500), placed.estimate_without_fetch() * 3).unwrap();
    assert_eq!((report.outcome, report.tokens()), (FetchOutcome::Unclear, SHARED));
    let placed = place(&mut it, at(900), 7, &engines([1]));
    assert_eq!(placed.uncached_tokens, OWN, "still known to be cached there");
}

/// Guards against a learned prefill speed that fetches falsify: those that bring the part make
/// engines look fast if its tokens count as read, those that bring nothing make them look slow.
#[test]
fn fetches_do_not_change_the_learned_prefill_speed() {
    for outcome in [FetchOutcome::Brought, FetchOutcome::Nothing] {
        let mut it = host_with_busy_holder();
        let before = place(&mut it, at(500), 800, &engines([40])).estimate;
        for n in 0..60_u32 {
            // After the pause of a source that brought nothing.
            let now = at(500 + u64::from(n) * 1_500);
            announce(&mut it, now, u64::from(n) + 1);
            let placed = place(&mut it, now, 7, &engines([1, 100 + n]));
            assert_eq!(placed.fetch.map(|it| it.expected), Some(SHARED));
            let time = match outcome {
                FetchOutcome::Brought => placed.estimate - Duration::from_millis(20),
                _ => placed.estimate_without_fetch(),
            };
            let run = it.record_start(now, &request(7, 2), &placed);
            let report = it.record_first_event(now + time, run);
            assert_eq!(report.map(|it| it.outcome), Some(outcome));
            it.record_end(now + time, run, Completion::Done);
        }
        let after = place(&mut it, at(500), 800, &engines([40])).estimate;
        assert_eq!(before, after, "{outcome:?}");
    }
}

/// Guards against a source that is not named when the request is sent, and still counts as busy with
/// the fetch, while its tokens do not count as pending.
#[test]
fn a_cancelled_fetch_counts_as_prefill() {
    let mut it = host_with_busy_holder();
    let placed = place(&mut it, at(500), 7, &engines(1..=9));
    let run = it.record_start(at(500), &request(7, 2), &placed);
    let load = |it: &mut Balancer, sequence: u64, upstream: u32| {
        let loads = digest_of(it, at(500), sequence).loads;
        let load = loads.iter().find(|it| it.upstream == upstream).copied().unwrap();
        (load.pending, load.fetching)
    };
    assert_eq!(load(&mut it, 1, placed.upstream), (OWN, 0));
    assert_eq!(load(&mut it, 2, 1).1, SHARED);
    it.cancel_fetch(run);
    assert_eq!(load(&mut it, 3, placed.upstream), (SHARED + OWN, 0));
    assert_eq!(load(&mut it, 4, 1).1, 0);
    it.record_end(at(600), run, Completion::Cancelled);
    assert_eq!(place(&mut it, at(600), 8, &engines([placed.upstream])).queued_tokens, 0);
}

/// Guards against traffic between data centres for a part that is cached near as well.
#[test]
fn a_source_of_the_same_data_centre_is_preferred() {
    let mut it = balancer();
    [1, 2].into_iter().for_each(|id| cache_at(&mut it, at(0), 7, id));
    [1, 2].into_iter().for_each(|id| occupy(&mut it, at(400), id));
    for n in 0..20 {
        let mut candidates = engines([1, 2, 50 + n]);
        candidates[0].is_local = false;
        assert_eq!(place(&mut it, at(500), 7, &candidates).fetch.map(|it| it.source), Some(2));
    }
}

/// Guards against a host that has just started, heard none of the announcements, and has parts
/// prefilled again that engines keep. What it hears has its age: it is not taken for a new use.
#[test]
fn a_full_digest_repeats_recent_uses_with_their_age() {
    let mut it = balancer();
    for shared in 0..100 {
        cache_at(&mut it, at(shared * 400), 50 + shared, 1 + shared as u32);
    }
    let now = at(50_000);
    let mut started = balancer();
    let mut n_full = 0;
    for sequence in 1..=64 {
        let digest = digest_of(&mut it, now, sequence);
        n_full += u32::from(digest.prefixes.iter().any(|it| 0 < it.age));
        assert!(digest.prefixes.len() <= 8 || sequence <= 3, "{}", digest.prefixes.len());
        if 3 < sequence {
            started.merge_digest(now, &digest);
        }
    }
    assert_eq!(n_full, 8, "one of eight digests");
    let uncached = |it: &mut Balancer, n: u64| {
        place(it, now, 50 + n, &engines([1 + n as u32])).uncached_tokens
    };
    assert!((36..100).all(|n| uncached(&mut started, n) == OWN), "the 64 most recent ones");
    assert_eq!(uncached(&mut started, 0), SHARED + OWN);
    // A use that is nearly evicted stays so when it is heard again.
    let read = wire::UpstreamLoad { upstream: 100, read: MEMORY, ..Default::default() };
    let digest =
        |sequence, loads| Digest { host: 9, incarnation: 9, sequence, loads, ..Digest::default() };
    started.merge_digest(now, &digest(1, vec![read]));
    assert_eq!(uncached(&mut started, 99), SHARED + OWN, "evicted");
    started.merge_digest(now, &digest_of(&mut it, now, 72));
    assert_eq!(uncached(&mut started, 99), SHARED + OWN, "still evicted");
}

/// Guards against digests that grow by more than a tenth with what fetches add to them. The load is
/// that of a host of Ferreyra: 19 requests per second for 300 parts, a digest each 236 ms.
#[test]
fn digests_grow_by_less_than_a_tenth() {
    let n_bytes = |switch: Switch| {
        let mut it = balancer();
        it.set_options(BalancerOptions { cache_transfer: switch, ..BalancerOptions::default() });
        let mut sequence = 0;
        let mut rng = fastrand::Rng::with_seed(7);
        let (mut running, mut n_bytes, mut n_fetches) = (Vec::new(), 0, 0);
        for n in 0..1_200_u32 {
            let now = at(u64::from(n) * 52);
            running.retain(|(first, run)| {
                if now < *first + Duration::from_millis(400) {
                    return true;
                }
                it.record_first_event(*first, *run);
                it.record_end(now, *run, Completion::Done);
                false
            });
            let shared = rng.u64(0..300);
            let workspace = PlacementRequest { workspace: rng.u32(0..30), ..request(shared, 1) };
            if n % 10 == 0 {
                // Other hosts keep changing engines busy.
                let busy: Vec<u32> = (1..140).filter(|_| rng.f64() < 0.2).collect();
                let load =
                    |upstream| wire::UpstreamLoad { upstream, running: 100, ..Default::default() };
                let loads = busy.into_iter().map(load).collect();
                let sequence = u64::from(n) + 1;
                it.merge_digest(
                    now,
                    &Digest { host: 9, incarnation: 9, sequence, loads, ..Digest::default() },
                );
            }
            if let Placement::Send(placed) = it.place(now, &workspace, &engines(1..140)) {
                n_fetches += u32::from(placed.fetch.is_some());
                let run = it.record_start(now, &workspace, &placed);
                running.push((now + Duration::from_millis(150), run));
            }
            if n % 9 == 0 || n % 9 == 5 {
                sequence += 1;
                n_bytes += digest_of(&mut it, now, sequence).encoded_len();
            }
        }
        (n_bytes, n_fetches)
    };
    let (off, on) = (n_bytes(Switch::Off), n_bytes(Switch::On));
    assert!(100 < on.1 && off.1 == 0, "fetches: {} and {}", on.1, off.1);

    assert!(on.0 * 10 <= off.0 * 11, "{on:?} instead of {off:?}");
}
