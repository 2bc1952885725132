//! Suspended hosts: when they may use their cached state again.

use std::time::Duration;

use portfield::suspend::{CachedState, PeerVersion, SuspendDetector};

/// Time between two digests.
const PERIOD: Duration = Duration::from_millis(50);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A detector that ticks every 25 ms until its process is suspended; the process resumes at `at`.
fn resumed(at: Duration) -> SuspendDetector {
    let mut res = SuspendDetector::default();
    (0..40).for_each(|n| assert_eq!(res.tick(ms(n * 25)), None));
    assert!(res.is_state_usable(ms(1000), PERIOD));
    assert_eq!(res.tick(at), Some(at - ms(975)));
    res
}

#[test]
fn after_a_suspension_state_is_unusable_until_all_of_it_is_confirmed() {
    let mut it = resumed(ms(8000));
    assert!(!it.is_state_usable(ms(8000), PERIOD));
    it.confirm_from_store(ms(8010), CachedState::Config);
    assert!(!it.is_state_usable(ms(8020), PERIOD), "the list may be stale");
    it.record_peer(ms(0), CachedState::Upstreams, PeerVersion::Current);
    assert!(it.is_state_usable(ms(8030), PERIOD));
    assert_eq!(it.tick(ms(8040)), None, "reported once");
}

/// The answer to a long poll arrives during the suspension and waits in the socket buffer.
#[test]
fn an_answer_to_a_call_from_before_the_suspension_confirms_nothing() {
    let mut it = resumed(ms(8000));
    it.confirm_from_store(ms(900), CachedState::Config);
    it.confirm_from_store(ms(900), CachedState::Upstreams);
    assert!(!it.is_state_usable(ms(8020), PERIOD));
}

#[test]
fn an_isolated_host_uses_its_state_after_a_timeout() {
    let it = resumed(ms(8000));
    assert!(!it.is_state_usable(ms(10_900), PERIOD));
    assert!(it.is_state_usable(ms(11_000), PERIOD));
}

#[test]
fn late_ticks_and_backward_clock_steps_are_not_suspensions() {
    let mut it = SuspendDetector::default();
    for at in [0, 700, 1400, 200, 200, 1500, 2900] {
        assert_eq!(it.tick(ms(at)), None, "{at}");
    }
    assert!(it.is_state_usable(ms(2900), PERIOD));
}

#[test]
fn a_second_suspension_resets_the_confirmations() {
    let mut it = resumed(ms(8000));
    it.record_peer(ms(0), CachedState::Config, PeerVersion::Current);
    assert_eq!(it.tick(ms(12_000)), Some(ms(4000)));
    it.record_peer(ms(0), CachedState::Upstreams, PeerVersion::Current);
    assert!(!it.is_state_usable(ms(12_010), PERIOD));
}

fn record_both(it: &mut SuspendDetector, at: Duration, version: PeerVersion) {
    it.record_peer(at, CachedState::Config, version);
    it.record_peer(at, CachedState::Upstreams, version);
}

/// Guards against a host that refuses everything for seconds after a suspension while the store is down, though all
/// others serve by the same versions.
#[test]
fn agreement_of_hosts_without_the_store_makes_state_usable() {
    let mut it = resumed(ms(8000));
    record_both(&mut it, ms(8020), PeerVersion::Agreed);
    assert!(!it.is_state_usable(ms(8219), PERIOD), "another host may know more");
    record_both(&mut it, ms(8070), PeerVersion::Agreed);
    assert!(it.is_state_usable(ms(8220), PERIOD));
}

/// A host that is cut off from the store alone must not make another one use an outdated version.
#[test]
fn a_newer_version_ends_the_agreement() {
    let mut it = resumed(ms(8000));
    record_both(&mut it, ms(8020), PeerVersion::Agreed);
    it.record_peer(ms(8100), CachedState::Config, PeerVersion::Newer);
    assert!(!it.is_state_usable(ms(8220), PERIOD));
    record_both(&mut it, ms(8300), PeerVersion::Agreed);
    assert!(!it.is_state_usable(ms(8499), PERIOD), "counted anew from the newer version on");
    assert!(it.is_state_usable(ms(8500), PERIOD));
}

#[test]
fn one_state_agreed_and_the_other_current_are_usable() {
    let mut it = resumed(ms(8000));
    it.record_peer(ms(8020), CachedState::Config, PeerVersion::Agreed);
    it.confirm_from_store(ms(8030), CachedState::Upstreams);
    assert!(!it.is_state_usable(ms(8219), PERIOD));
    assert!(it.is_state_usable(ms(8220), PERIOD));
}
