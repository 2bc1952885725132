//! Times at which refused callers are told to come back.

use std::time::Duration;

use portfield::{
    balance::{Balancer, BalancerOptions, Candidate, Placement, PlacementRequest, Refusal, Switch},
    catalog::EngineSpec,
    upstream::{Prompt, PromptPart},
    wire::{Digest, UpstreamLoad, WorkspaceUsage},
};

const SLOTS: u32 = 16;
const N_ENGINES: u32 = 20;
/// Tokens per millisecond that hosts assume before they have seen a first event.
const SPEED: f64 = 40.0;
const OBJECTIVE: Duration = Duration::from_millis(800);
const PATIENCE: Duration = Duration::from_secs(9);
const NOW: Duration = Duration::from_secs(5);
/// Tokens of the refused prompts that no other request shares.
const OWN_TOKENS: u32 = 4_000;

fn candidates() -> Vec<Candidate> {
    (1..=N_ENGINES).map(|it| Candidate { upstream: it, slots: SLOTS, is_local: true }).collect()
}

fn request() -> PlacementRequest {
    request_with(9)
}

/// Returns a request with a prompt of one part.
fn request_with(id: u64) -> PlacementRequest {
    PlacementRequest {
        workspace: 1,
        service: 1,
        route: 1,
        prompt: Some(Prompt {
            input_tokens: OWN_TOKENS,
            max_output_tokens: 100,
            parts: vec![PromptPart { id, tokens: OWN_TOKENS }],
            ..Prompt::default()
        }),
        objective: OBJECTIVE,
        patience: PATIENCE,
        engine: Some(EngineSpec {
            slots: SLOTS,
            kv_capacity: 400_000,
            event_tokens: 5,
            ..EngineSpec::default()
        }),
        ..PlacementRequest::default()
    }
}

/// A digest of host `host` that tells of a workspace 1 far beyond its share.
fn digest(host: u64, sequence: u64, pending: u32) -> Digest {
    let load = |upstream| UpstreamLoad { upstream, running: 4, pending, ..UpstreamLoad::default() };
    let usage = 1_000_000 * sequence;
    Digest {
        host,
        incarnation: 1,
        sequence,
        loads: if host == 2 { (1..=N_ENGINES).map(load).collect() } else { Vec::new() },
        usage: vec![
            WorkspaceUsage { workspace: 1, asked: usage, taken: usage },
            WorkspaceUsage { workspace: 2, asked: usage, taken: usage / 10 },
        ],
        ..Digest::default()
    }
}

/// A host of `n_hosts` whose engines had room until now, when each has 14,000 tokens to read.
fn host_in_a_burst(seed: u64, n_hosts: u64) -> Balancer {
    let mut res = Balancer::new(Duration::from_secs(4));
    res.set_seed(seed);
    res.set_options(BalancerOptions { capacity_shares: Switch::On, ..BalancerOptions::default() });
    for it in 2..=n_hosts {
        res.merge_digest(NOW - Duration::from_millis(100), &digest(it, 1, 0));
    }
    assert!(matches!(
        res.place(NOW - Duration::from_millis(50), &request(), &candidates()),
        Placement::Send(_)
    ));
    res.merge_digest(NOW, &digest(2, 2, 14_000));
    res
}

/// Refuses `n` requests; returns the times for which their callers were invited.
fn invite(host: &mut Balancer, now: Duration, n: usize) -> Vec<Duration> {
    let refuse = |_| match host.place(now, &request(), &candidates()) {
        Placement::Refuse { reason: Refusal::Share, retry_after, invited, .. } => {
            assert!(invited.is_none_or(|it| it == retry_after));
            assert!(invited.is_some() || PATIENCE / 3 < retry_after, "{retry_after:?}");
            invited
        }
        it => panic!("not refused by share: {it:?}"),
    };
    (0..n).filter_map(refuse).collect()
}

/// Each of a hundred hosts told its callers the time at which the queues would be short, 100 ms for
/// nearly all of them: all came at once, and nearly all were refused again.
#[test]
fn a_hundred_hosts_spread_their_invitations() {
    let n_hosts = 100;
    let mut invited: Vec<Duration> =
        (1..=n_hosts).flat_map(|it| invite(&mut host_in_a_burst(it, n_hosts), NOW, 20)).collect();
    invited.sort_unstable();
    assert!(20 <= invited.len(), "{}", invited.len());
    // No more work than the engines read until then, in any half second.
    let capacity = SPEED * 500.0 * f64::from(N_ENGINES);
    for start in &invited {
        let end = *start + Duration::from_millis(500);
        let n = invited.iter().filter(|it| (*start..end).contains(it)).count();
        assert!(n as f64 * f64::from(OWN_TOKENS) <= capacity, "{n} from {start:?}");
    }
    assert!(invited.iter().all(|it| *it <= PATIENCE / 3));
}

/// Callers for which there is no room in time came back all the same, and were refused again: 0.02
/// of the score.
#[test]
fn a_caller_is_told_the_estimate_if_there_is_no_room_in_time() {
    let mut host = host_in_a_burst(1, 4);
    let n = invite(&mut host, NOW, 400).len();
    assert!(0 < n && n < 200, "{n}");
    assert_eq!(invite(&mut host, NOW, 20).len(), 0);
    // What was booked lies in the past by then.
    let later = NOW + Duration::from_secs(2);
    host.merge_digest(later, &digest(2, 3, 14_000));
    assert!(!invite(&mut host, later, 20).is_empty());
}

/// A host whose digests are lost hears of no other, and would book the room of all of them. Its
/// bookings stay within its part, and so does the error that it leaves behind if it ends.
#[test]
fn a_host_that_is_cut_off_books_only_its_part() {
    let n_invited = |n_hosts| {
        let mut host = host_in_a_burst(1, n_hosts);
        let first = invite(&mut host, NOW, 1).len();
        for it in 1..=4 {
            host.merge_digest(NOW + Duration::from_secs(it), &digest(2, 2 + it, 14_000));
        }
        let later = NOW + Duration::from_secs(4);
        assert_eq!(host.n_hosts(later), 2);
        first + invite(&mut host, later, 1_000).len()
    };
    let (of_two, of_twenty) = (n_invited(2), n_invited(20));
    assert!(0 < of_twenty && of_twenty * 8 <= of_two, "{of_twenty} of {of_two}");
}

/// All hosts start anew: none knows yet how many there are, and each would book all that is free.
#[test]
fn a_host_that_has_just_started_books_nothing() {
    let mut host = Balancer::new(Duration::from_secs(4));
    host.set_options(BalancerOptions { capacity_shares: Switch::On, ..BalancerOptions::default() });
    // Nothing is refused on the speed assumed for engines that have not been observed yet.
    for id in 100..100 + u64::from(N_ENGINES) * 3 {
        let it = host.place(NOW, &request_with(id), &candidates());
        let Placement::Send(assignment) = it else { panic!("{it:?}") };
        host.record_start(NOW, &request_with(id), &assignment);
    }
    host.record_refusal(NOW, 2, 1e6);
    let mut now = NOW + Duration::from_millis(150);
    for _ in 0..20 {
        let it = host.place(now, &request(), &candidates());
        let Placement::Refuse { invited, retry_after, .. } = it else { panic!("{it:?}") };
        assert_eq!(invited, None);
        assert!(retry_after <= Duration::from_secs(2), "{retry_after:?}");
    }
    now += Duration::from_secs(1);
    assert!(!invite(&mut host, now, 20).is_empty(), "alone for good");
}

/// A caller that was invited found the same short queue as new callers of its workspace, and was
/// refused a second time, after which it does not return.
#[test]
fn a_returning_caller_goes_before_new_ones_of_its_workspace() {
    // Full by their unread tokens, but for one engine with little to read.
    let mut host = host_in_a_burst(1, 4);
    let mut busy = digest(2, 3, 40_000);
    busy.loads[4].pending = 1_400;
    host.merge_digest(NOW, &busy);
    let mut place =
        |earlier| host.place(NOW, &PlacementRequest { earlier, ..request() }, &candidates());
    let it = place(Duration::ZERO);
    assert!(matches!(it, Placement::Refuse { reason: Refusal::Share, .. }), "{it:?}");
    let it = place(Duration::from_millis(600));
    assert!(matches!(it, Placement::Send(_)), "{it:?}");
    // Not where it would delay others.
    busy.sequence = 4;
    busy.loads[4].pending = 8_000;
    host.merge_digest(NOW, &busy);
    let it = host.place(
        NOW,
        &PlacementRequest { earlier: Duration::from_millis(600), ..request() },
        &candidates(),
    );
    let Placement::Refuse { invited, .. } = it else { panic!("{it:?}") };
    assert_eq!(invited, None, "callers retry once");
}

/// With the switch off, callers are told the same time as before.
#[test]
fn nothing_is_booked_with_the_switch_off() {
    let mut host = host_in_a_burst(1, 4);
    host.set_options(BalancerOptions::default());
    let it = host.place(NOW, &request(), &candidates());
    let Placement::Refuse { invited, retry_after, .. } = it else { panic!("{it:?}") };
    assert_eq!(invited, None);
    assert!(retry_after <= Duration::from_secs(2), "{retry_after:?}");
}
