//! Waits while the machine is suspended, which timers do not count.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures_lite::future;
use portfield_net::clock;

const LONG: Duration = Duration::from_secs(3600);

/// Serializes the tests: advancing the clock affects the whole process.
static CLOCK_LOCK: Mutex<()> = Mutex::new(());

fn lock_clock() -> MutexGuard<'static, ()> {
    CLOCK_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Guards against waits that run for their remaining time again after the machine was suspended:
/// their timers do not count the time suspended.
#[test]
fn waits_that_expired_during_suspend_end_on_resume() {
    let _clock = lock_clock();
    assert!(clock::counts_suspend());
    let start = Instant::now();
    let suspend = async {
        future::yield_now().await;
        clock::advance(LONG);
        clock::wake_waiters();
    };
    let waits = future::zip(
        future::zip(clock::sleep(LONG), clock::timeout(LONG, future::pending::<()>())),
        async {
            let mut deadline = clock::deadline(LONG);
            clock::timeout_at(&mut deadline, future::pending::<()>()).await
        },
    );
    let (((), timed_out), expired) = future::block_on(future::zip(waits, suspend)).0;
    assert_eq!((timed_out, expired), (None, None));
    assert!(start.elapsed() < Duration::from_secs(60));
}

#[test]
fn unexpired_wait_continues_after_suspend() {
    let _clock = lock_clock();
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
fn deadline_covers_several_waits_and_stays_expired() {
    let _clock = lock_clock();
    let mut deadline = clock::deadline(Duration::from_millis(20));
    future::block_on(async {
        assert_eq!(clock::timeout_at(&mut deadline, async { 7 }).await, Some(7));
        assert_eq!(clock::timeout_at(&mut deadline, future::pending::<()>()).await, None);
        assert_eq!(clock::timeout_at(&mut deadline, future::pending::<()>()).await, None);
    });
}
