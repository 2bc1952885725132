//! Suspended hosts: when they may use their cached state again.

use std::time::Duration;

use portfield::suspend::{CachedState, SuspendDetector};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A detector that ticks every 25 ms until its process is suspended; the process resumes at `at`.
fn resumed(at: Duration) -> SuspendDetector {
    let mut res = SuspendDetector::default();
    (0..40).for_each(|n| assert_eq!(res.tick(ms(n * 25)), None));
    assert!(res.is_state_usable(ms(1000)));
    assert_eq!(res.tick(at), Some(at - ms(975)));
    res
}

#[test]
fn after_a_suspension_state_is_unusable_until_all_of_it_is_confirmed() {
    let mut it = resumed(ms(8000));
    assert!(!it.is_state_usable(ms(8000)));
    it.confirm_from_store(ms(8010), CachedState::Config);
    assert!(!it.is_state_usable(ms(8020)), "the list may be stale");
    it.confirm_from_peer(CachedState::Upstreams);
    assert!(it.is_state_usable(ms(8030)));
    assert_eq!(it.tick(ms(8040)), None, "reported once");
}

/// The answer to a long poll arrives during the suspension and waits in the socket buffer.
#[test]
fn an_answer_to_a_call_from_before_the_suspension_confirms_nothing() {
    let mut it = resumed(ms(8000));
    it.confirm_from_store(ms(900), CachedState::Config);
    it.confirm_from_store(ms(900), CachedState::Upstreams);
    assert!(!it.is_state_usable(ms(8020)));
}

#[test]
fn an_isolated_host_uses_its_state_after_a_timeout() {
    let it = resumed(ms(8000));
    assert!(!it.is_state_usable(ms(10_900)));
    assert!(it.is_state_usable(ms(11_000)));
}

#[test]
fn late_ticks_and_backward_clock_steps_are_not_suspensions() {
    let mut it = SuspendDetector::default();
    for at in [0, 700, 1400, 200, 200, 1500, 2900] {
        assert_eq!(it.tick(ms(at)), None, "{at}");
    }
    assert!(it.is_state_usable(ms(2900)));
}

#[test]
fn a_second_suspension_resets_the_confirmations() {
    let mut it = resumed(ms(8000));
    it.confirm_from_peer(CachedState::Config);
    assert_eq!(it.tick(ms(12_000)), Some(ms(4000)));
    it.confirm_from_peer(CachedState::Upstreams);
    assert!(!it.is_state_usable(ms(12_010)));
}
