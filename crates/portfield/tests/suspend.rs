//! Hosts that stood still: what they trust, and what the others take from them.

use std::time::Duration;

use portfield::suspend::{CachedState, SuspendDetector};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A host that looks each 25 ms and then stands still until `at`.
fn woken(at: Duration) -> SuspendDetector {
    let mut res = SuspendDetector::default();
    (0..40).for_each(|n| assert_eq!(res.tick(ms(n * 25)), None));
    assert!(res.is_state_usable(ms(1000)));
    assert_eq!(res.tick(at), Some(at - ms(975)));
    res
}

#[test]
fn who_stood_still_trusts_nothing_until_it_has_heard_all() {
    let mut it = woken(ms(8000));
    assert!(!it.is_state_usable(ms(8000)));
    it.confirm_from_store(ms(8010), CachedState::Config);
    assert!(!it.is_state_usable(ms(8020)), "the list may be old");
    it.confirm_from_peer(CachedState::Upstreams);
    assert!(it.is_state_usable(ms(8030)));
    assert_eq!(it.tick(ms(8040)), None, "noted once");
}

/// The answer to a held call comes while the host stands still, and lies in its socket until it wakes.
#[test]
fn an_answer_to_a_call_from_before_says_nothing_of_the_time_since() {
    let mut it = woken(ms(8000));
    it.confirm_from_store(ms(900), CachedState::Config);
    it.confirm_from_store(ms(900), CachedState::Upstreams);
    assert!(!it.is_state_usable(ms(8020)));
}

#[test]
fn who_hears_nobody_serves_after_a_while() {
    let it = woken(ms(8000));
    assert!(!it.is_state_usable(ms(10_900)));
    assert!(it.is_state_usable(ms(11_000)));
}

#[test]
fn lateness_of_a_busy_host_and_a_clock_that_steps_back_are_no_standstill() {
    let mut it = SuspendDetector::default();
    for at in [0, 700, 1400, 200, 200, 1500, 2900] {
        assert_eq!(it.tick(ms(at)), None, "{at}");
    }
    assert!(it.is_state_usable(ms(2900)));
}

#[test]
fn who_stands_still_again_begins_anew() {
    let mut it = woken(ms(8000));
    it.confirm_from_peer(CachedState::Config);
    assert_eq!(it.tick(ms(12_000)), Some(ms(4000)));
    it.confirm_from_peer(CachedState::Upstreams);
    assert!(!it.is_state_usable(ms(12_010)));
}
