//! Hedged requests: when a request to a plain upstream is sent to a second one.

use std::time::Duration;

use portfield::{
    balance::{
        Balancer, BalancerOptions, Candidate, Completion, HedgeRefusal, Placement,
        PlacementRequest, Switch,
    },
    wire::{Digest, UpstreamLoad},
};

const SERVICE: u32 = 1;
const LEFT: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Duration {
    Duration::from_millis(1_000 + millis)
}

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn balancer(engine_speed: Switch) -> Balancer {
    let mut res = Balancer::new(Duration::from_secs(4));
    res.set_options(BalancerOptions { engine_speed, ..BalancerOptions::default() });
    res
}

fn request() -> PlacementRequest {
    PlacementRequest { service: SERVICE, objective: millis(300), ..PlacementRequest::default() }
}

fn candidate(upstream: u32) -> Candidate {
    Candidate { upstream, slots: 2, is_local: true }
}

/// Runs a request at an upstream that ends at `now` after a time.
fn run(it: &mut Balancer, now: Duration, time: Duration, completion: Completion) {
    let Placement::Send(placed) = it.place(now - time, &request(), &[candidate(1)]) else {
        panic!("not placed");
    };
    let run = it.record_start(now - time, &request(), &placed);
    it.record_end(now, run, completion);
}

/// A balancer that saw 100 requests of 1 to 100 ms, in a mixed order, in the last second.
fn experienced() -> Balancer {
    let mut res = balancer(Switch::On);
    for n in 0..100 {
        run(&mut res, at(n * 10), millis(1 + n * 37 % 100), Completion::Done);
    }
    res
}

/// With the mean, half of all requests would be sent twice.
#[test]
fn a_hedge_waits_for_the_95th_percentile() {
    assert_eq!(experienced().hedge_delay(at(1_000), SERVICE), Some(millis(96)));
}

#[test]
fn nothing_is_hedged_while_few_times_are_known() {
    let mut it = balancer(Switch::On);
    for n in 0..19 {
        run(&mut it, at(n), millis(10), Completion::Done);
        assert_eq!(it.hedge_delay(at(n), SERVICE), None);
    }
    run(&mut it, at(20), millis(10), Completion::Done);
    assert_eq!(it.hedge_delay(at(20), SERVICE), Some(millis(10)));
    assert_eq!(it.hedge_delay(at(20), 2), None, "another service");
    assert_eq!(it.hedge_delay(at(31_000), SERVICE), None, "times of half a minute ago");
}

/// The switch is off by default.
#[test]
fn nothing_is_hedged_with_the_switch_off() {
    let mut it = balancer(Switch::Off);
    for n in 0..50 {
        run(&mut it, at(n), millis(10), Completion::Done);
    }
    assert_eq!(it.hedge_delay(at(50), SERVICE), None);
}

/// A slow request that is cancelled because its hedge won never ends. Left out, it would lower the
/// percentile until every request is hedged.
#[test]
fn cancelled_requests_do_not_lower_the_percentile() {
    let mut it = experienced();
    for n in 0..100 {
        let is_slow = n % 20 == 0;
        let (time, completion) = if is_slow {
            (millis(97), Completion::Cancelled)
        } else {
            (millis(1 + n * 37 % 95), Completion::Done)
        };
        run(&mut it, at(1_000 + n * 10), time, completion);
    }
    let delay = it.hedge_delay(at(2_000), SERVICE).unwrap();
    assert!(millis(90) <= delay, "{delay:?}");
    for n in 0..30 {
        run(&mut it, at(2_000 + n), millis(3), Completion::Cancelled);
    }
    assert_eq!(it.hedge_delay(at(2_050), SERVICE), Some(delay), "callers that leave early");
}

/// In an overload, hedges take the slots that other requests wait for.
#[test]
fn nothing_is_hedged_after_a_refusal_for_capacity() {
    for completion in [Completion::Rejected, Completion::BackoffRequested] {
        let mut it = experienced();
        assert!(it.place_hedge(at(1_000), &request(), LEFT, &[candidate(2)]).is_ok());
        run(&mut it, at(1_010), millis(10), completion);
        let refused =
            |it: &mut Balancer, now| it.place_hedge(now, &request(), LEFT, &[candidate(2)]);
        assert_eq!(refused(&mut it, at(1_020)), Err(HedgeRefusal::Overloaded));
        assert_eq!(refused(&mut it, at(2_009)), Err(HedgeRefusal::Overloaded));
        assert!(refused(&mut it, at(2_010)).is_ok());
    }
    let mut it = experienced();
    while let Placement::Send(placed) = it.place(at(1_000), &request(), &[candidate(1)]) {
        it.record_start(at(1_000), &request(), &placed);
    }
    let res = it.place_hedge(at(1_900), &request(), LEFT, &[candidate(2)]);
    assert_eq!(res, Err(HedgeRefusal::Overloaded), "refused by this host");
}

/// A hedge that waits for a slot is no faster, and delays what comes after it; other hosts' requests
/// count too.
#[test]
fn a_hedge_needs_a_free_slot() {
    let mut it = experienced();
    let load = |upstream, running| UpstreamLoad { upstream, running, ..UpstreamLoad::default() };
    let loads = vec![load(2, 2), load(3, 1)];
    it.merge_digest(
        at(1_000),
        &Digest { host: 9, incarnation: 1, sequence: 1, loads, ..Digest::default() },
    );
    let res = it.place_hedge(at(1_001), &request(), LEFT, &[candidate(2)]);
    assert_eq!(res, Err(HedgeRefusal::NoFreeSlot));
    let res = it.place_hedge(at(1_001), &request(), LEFT, &[candidate(2), candidate(3)]);
    assert_eq!(res.map(|it| it.upstream), Ok(3));
    assert_eq!(it.place_hedge(at(1_001), &request(), LEFT, &[]), Err(HedgeRefusal::NoFreeSlot));
}

/// Failing to find a second upstream is no sign of overload for the requests that follow.
#[test]
fn a_hedge_without_a_slot_does_not_count_as_refusal() {
    let mut it = experienced();
    assert!(it.place_hedge(at(1_000), &request(), LEFT, &[]).is_err());
    assert!(it.place_hedge(at(1_001), &request(), LEFT, &[candidate(2)]).is_ok());
}

#[test]
fn a_hedge_needs_time() {
    let mut it = experienced();
    let res = it.place_hedge(at(1_000), &request(), millis(5), &[candidate(2)]);
    assert_eq!(res, Err(HedgeRefusal::NoTime));
}

/// An upstream that cannot be reached, or asked for a backoff, gets no hedge.
#[test]
fn a_hedge_keeps_to_backoffs() {
    let mut it = experienced();
    it.start_backoff(at(1_000), 2, Duration::from_secs(3));
    let res = it.place_hedge(at(1_001), &request(), LEFT, &[candidate(2)]);
    assert_eq!(res, Err(HedgeRefusal::NoFreeSlot));
}
