//! Which requests a stopping host accepts, for grace periods of any length.

use std::time::Duration;

use portfield::shutdown::ShutdownPlan;
use quickcheck::quickcheck;

const BEGAN: Duration = Duration::from_secs(50);

fn plan(grace_ms: u64) -> ShutdownPlan {
    ShutdownPlan::new(BEGAN, Duration::from_millis(grace_ms))
}

/// Guards against a request that is accepted after its callers were sent elsewhere, and cut off before its deadline.
#[test]
fn late_requests_are_accepted_only_if_they_are_over_in_time() {
    fn holds(grace_ms: u64, after_ms: u64, left_ms: u64) -> bool {
        let grace_ms = 500 + grace_ms % 600_000;
        let plan = plan(grace_ms);
        let now = BEGAN + Duration::from_millis(after_ms % grace_ms);
        let deadline = now + Duration::from_millis(left_ms % 20_000);
        let is_late = plan.accept_until() < now;
        let is_over = deadline <= plan.cutoff();
        plan.accepts(now, deadline) == (!is_late || is_over)
            && plan.accept_until() < plan.cutoff()
            && plan.cutoff() < BEGAN + Duration::from_millis(grace_ms)
    }
    quickcheck(holds as fn(u64, u64, u64) -> bool);
}

/// Guards against a host that refuses callers while the platform still sends them, two seconds after SIGTERM and more.
#[test]
fn requests_are_accepted_while_the_platform_sends_callers() {
    for grace_ms in [8_000, 20_000, 60_000] {
        let plan = plan(grace_ms);
        assert!(BEGAN + Duration::from_millis(2_500) < plan.accept_until(), "{grace_ms}");
        assert!(plan.accept_until() < BEGAN + Duration::from_secs(3), "{grace_ms}");
    }
}

/// A short grace period must leave time for what was accepted, and for closing connections.
#[test]
fn times_shrink_with_the_grace_period() {
    let plan = plan(2_000);
    assert_eq!(plan.accept_until() - BEGAN, Duration::from_millis(2_000) / 3);
    assert_eq!(plan.cutoff() - BEGAN, Duration::from_millis(1_500));
}
