//! Waits, while time goes by that timers do not count.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures_lite::future;
use portfield_net::clock;

const LONG: Duration = Duration::from_secs(3600);

/// Time that one test lets go by goes by for all: one at a time.
static CLOCK: Mutex<()> = Mutex::new(());

fn own_clock() -> MutexGuard<'static, ()> {
    CLOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A host that was suspended went on waiting for what was left of each wait before.
#[test]
fn whoever_waits_looks_at_the_clock_again_after_time_asleep() {
    let _clock = own_clock();
    assert!(clock::counts_suspend());
    let start = Instant::now();
    let asleep = async {
        future::yield_now().await;
        clock::advance(LONG);
        clock::wake_waiters();
    };
    let waits = future::zip(
        future::zip(clock::sleep(LONG), clock::timeout(LONG, future::pending::<()>())),
        async {
            let mut alarm = clock::deadline(LONG);
            clock::timeout_at(&mut alarm, future::pending::<()>()).await
        },
    );
    let (((), late), before) = future::block_on(future::zip(waits, asleep)).0;
    assert_eq!((late, before), (None, None));
    assert!(start.elapsed() < Duration::from_secs(60));
}

#[test]
fn a_wait_goes_on_that_is_not_over_after_time_asleep() {
    let _clock = own_clock();
    let wait = clock::timeout(LONG, async {
        future::yield_now().await;
        clock::advance(LONG / 4);
        clock::wake_waiters();
        clock::sleep(Duration::from_millis(5)).await;
        7
    });
    assert_eq!(future::block_on(wait), Some(7));
}

#[test]
fn an_alarm_bounds_many_waits_and_stays_over() {
    let _clock = own_clock();
    let mut alarm = clock::deadline(Duration::from_millis(20));
    future::block_on(async {
        assert_eq!(clock::timeout_at(&mut alarm, async { 7 }).await, Some(7));
        assert_eq!(clock::timeout_at(&mut alarm, future::pending::<()>()).await, None);
        assert_eq!(clock::timeout_at(&mut alarm, future::pending::<()>()).await, None);
    });
}
