//! The only place that reads clocks.
//!
//! A machine may be suspended for seconds. Three clocks tell of it what they do:
//!
//! - `CLOCK_BOOTTIME` counts that time: [`now`] reads it, and with it all ages, deadlines and windows.
//! - The steady clock does not, and the timers of `async-io` run on it: they come late by the time asleep. Nothing
//!   here that waits takes the end of a timer for the moment waited for; it looks at [`now`] again, also when
//!   [`wake_waiters`] says that time went by unseen.
//! - The time of day counts it, and may be set: it is used where processes that do not share a clock compare, by
//!   the second ([`unix_millis`]).

use std::{
    pin::Pin,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use event_listener::{Event, EventListener};
use futures_lite::future;
use rustix::time::{ClockId, DynamicClockId, Timespec, clock_gettime, clock_gettime_dynamic};

static ORIGIN: OnceLock<Origin> = OnceLock::new();
/// Tells all that wait that time went by unseen.
static WAKE: Event = Event::new();
/// Milliseconds that [`advance`] added.
static ADVANCED_MS: AtomicU64 = AtomicU64::new(0);

/// When this process first asked.
#[derive(Debug, Clone, Copy)]
enum Origin {
    Boottime(Timespec),
    /// The system has no clock that counts the time asleep.
    Monotonic(Instant),
}

/// Returns the time since this process first asked, that asleep included.
///
/// Some 30 ns a call, as the steady clock's (release build, one core).
pub fn now() -> Duration {
    let elapsed = match origin() {
        Origin::Boottime(origin) => elapsed_since(origin),
        Origin::Monotonic(origin) => origin.elapsed(),
    };
    elapsed + Duration::from_millis(ADVANCED_MS.load(Ordering::Relaxed))
}

/// Returns whether [`now`] counts the time that the machine is suspended; without it a host that wakes believes
/// that all it knows is as fresh as before.
pub fn counts_suspend() -> bool {
    matches!(origin(), Origin::Boottime(_))
}

/// Returns a number that is larger in each later start of a process: milliseconds since 1970.
pub fn unix_millis() -> u64 {
    let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    unix_time.map_or(0, |it| it.as_millis() as u64)
}

/// Has everybody who waits look at the clock again: time went by that their timers did not count.
pub fn wake_waiters() {
    WAKE.notify(usize::MAX);
}

/// Lets time go by as while the machine is suspended: [`now`] counts it, timers do not. For tests.
pub fn advance(time: Duration) {
    ADVANCED_MS.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
}

/// Waits.
pub async fn sleep(time: Duration) {
    Deadline::new(time).wait().await;
}

/// Returns an alarm that ends after a time; cheaper than [`timeout`] where many short waits share one limit.
pub fn deadline(time: Duration) -> Deadline {
    Deadline::new(time)
}

/// A moment that can be waited for several times.
#[derive(Debug)]
pub struct Deadline {
    at: Duration,
    timer: async_io::Timer,
    /// The timer is to ring at the end, as far as it counts.
    is_armed: bool,
    wake: Pin<Box<EventListener>>,
}

impl Deadline {
    fn new(time: Duration) -> Self {
        let at = now().saturating_add(time);
        let wake = Box::pin(WAKE.listen());
        Self { at, timer: async_io::Timer::after(time), is_armed: true, wake }
    }

    /// Waits for the moment, by the clock that counts the time asleep.
    async fn wait(&mut self) {
        loop {
            let left = self.at.saturating_sub(now());
            if left.is_zero() {
                return;
            }
            if !self.is_armed {
                self.timer.set_after(left);
                self.is_armed = true;
            }
            let timer_fired = async {
                (&mut self.timer).await;
                false
            };
            let woken = async {
                self.wake.as_mut().await;
                true
            };
            if future::or(timer_fired, woken).await {
                self.wake = Box::pin(WAKE.listen());
            }
            self.is_armed = false;
        }
    }
}

/// Runs a future until an alarm ends; `None` if it did not end before.
pub async fn timeout_at<T>(deadline: &mut Deadline, f: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        deadline.wait().await;
        None
    };
    future::or(async { Some(f.await) }, expired).await
}

/// Runs a future for at most a time; `None` if it did not end.
pub async fn timeout<T>(time: Duration, f: impl Future<Output = T>) -> Option<T> {
    timeout_at(&mut deadline(time), f).await
}

fn origin() -> Origin {
    *ORIGIN.get_or_init(|| match clock_gettime_dynamic(DynamicClockId::Boottime) {
        Ok(it) => Origin::Boottime(it),
        Err(_) => Origin::Monotonic(Instant::now()),
    })
}

/// Returns the time since a reading of the clock that counts the time asleep.
fn elapsed_since(origin: Timespec) -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let nanos = (now.tv_sec - origin.tv_sec) * 1_000_000_000 + (now.tv_nsec - origin.tv_nsec);
    // A clock that reads less than before ends nothing.
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(0))
}
