//! Clock readings, waits and timeouts of all programs.
//!
//! No other module reads a clock, so that all agree on time suspended. Exceptions are the measuring tools, the stand-in
//! relay and tests.
//!
//! A machine may be suspended for seconds. The three clocks treat this time differently:
//!
//! - `CLOCK_BOOTTIME` includes it. [`now`] reads this clock, so all ages, deadlines and time windows do too.
//! - The monotonic clock excludes it. The timers of `async-io` run on this clock and fire late by the time suspended.
//!   So a wait here checks [`now`] again when its timer fires and when [`wake_waiters`] is called.
//! - The wall clock includes it, but may be set. It serves for comparisons between processes that share no other
//!   clock, to the second ([`unix_millis`]).

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
/// Notifies all pending waits to check the clock again.
static WAKE: Event = Event::new();
/// Total time added by [`advance`], in milliseconds.
static ADVANCED_MS: AtomicU64 = AtomicU64::new(0);

/// First reading of the clock in this process; [`now`] counts from it.
#[derive(Debug, Clone, Copy)]
enum Origin {
    Boottime(Timespec),
    /// Fallback if the system has no clock that includes time suspended.
    Monotonic(Instant),
}

/// Returns the time since the first call in this process, including time suspended.
///
/// A call takes about 30 ns, as long as a reading of the monotonic clock (release build, one core).
pub fn now() -> Duration {
    let elapsed = match origin() {
        Origin::Boottime(origin) => elapsed_since(origin),
        Origin::Monotonic(origin) => origin.elapsed(),
    };
    elapsed + Duration::from_millis(ADVANCED_MS.load(Ordering::Relaxed))
}

/// Returns whether [`now`] includes time suspended. If not, a host that resumes takes its outdated data for fresh.
pub fn counts_suspend() -> bool {
    matches!(origin(), Origin::Boottime(_))
}

/// Returns the wall-clock time in milliseconds since 1970, 0 if the clock is set to before that.
///
/// Serves as the incarnation number of a process, which must grow with each restart.
pub fn unix_millis() -> u64 {
    let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    unix_time.map_or(0, |it| it.as_millis() as u64)
}

/// Returns the processor time that this process has used.
///
/// # Examples
///
/// ```
/// use portfield_net::clock;
///
/// let before = clock::processor_time();
/// assert!((0..100_000_u64).map(std::hint::black_box).sum::<u64>() > 0);
/// assert!(before < clock::processor_time());
/// ```
pub fn processor_time() -> Duration {
    let it = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(it.tv_sec.unsigned_abs(), it.tv_nsec as u32)
}

/// Makes all pending waits check the clock again, after the machine was suspended.
pub fn wake_waiters() {
    WAKE.notify(usize::MAX);
}

/// Advances [`now`] but not the timers, as if the machine had been suspended. For tests.
pub fn advance(time: Duration) {
    ADVANCED_MS.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
}

/// Waits for a duration, which includes time suspended.
pub async fn sleep(time: Duration) {
    Deadline::new(time).wait().await;
}

/// Returns a deadline after the given time from now.
///
/// Cheaper than [`timeout`] where many short waits share one limit.
pub fn deadline(time: Duration) -> Deadline {
    Deadline::new(time)
}

/// A point in time that several waits can share, see [`timeout_at`].
#[derive(Debug)]
pub struct Deadline {
    at: Duration,
    timer: async_io::Timer,
    /// The timer is set to the time left and has not fired since.
    is_armed: bool,
    wake: Pin<Box<EventListener>>,
}

impl Deadline {
    fn new(time: Duration) -> Self {
        let at = now().saturating_add(time);
        let wake = Box::pin(WAKE.listen());
        Self { at, timer: async_io::Timer::after(time), is_armed: true, wake }
    }

    /// Moves the deadline to the given time from now, later or earlier.
    ///
    /// A later deadline leaves the timer alone: it fires too early once, and is set again then. So a
    /// timeout that restarts with each of many reads costs nothing as long as the reads are in time.
    ///
    /// # Examples
    ///
    /// ```
    /// use futures_lite::future;
    /// use portfield_net::clock;
    /// use std::time::Duration;
    ///
    /// let mut deadline = clock::deadline(Duration::from_millis(5));
    /// let started = clock::now();
    /// deadline.restart(Duration::from_millis(30));
    /// let never = future::pending::<()>();
    /// assert!(future::block_on(clock::timeout_at(&mut deadline, never)).is_none());
    /// assert!(Duration::from_millis(30) <= clock::now() - started);
    /// ```
    pub fn restart(&mut self, time: Duration) {
        let at = now().saturating_add(time);
        self.is_armed &= self.at <= at;
        self.at = at;
    }

    /// Waits until [`now`] reaches the deadline.
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

/// Runs a future until a deadline; returns `None` if the deadline came first.
pub async fn timeout_at<T>(deadline: &mut Deadline, f: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        deadline.wait().await;
        None
    };
    future::or(async { Some(f.await) }, expired).await
}

/// Runs a future for at most the given time; returns `None` if it did not complete.
pub async fn timeout<T>(time: Duration, f: impl Future<Output = T>) -> Option<T> {
    timeout_at(&mut deadline(time), f).await
}

fn origin() -> Origin {
    *ORIGIN.get_or_init(|| match clock_gettime_dynamic(DynamicClockId::Boottime) {
        Ok(it) => Origin::Boottime(it),
        Err(_) => Origin::Monotonic(Instant::now()),
    })
}

/// Returns the time since a reading of `CLOCK_BOOTTIME`.
fn elapsed_since(origin: Timespec) -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let nanos = (now.tv_sec - origin.tv_sec) * 1_000_000_000 + (now.tv_nsec - origin.tv_nsec);
    // If the clock went back, no time has passed.
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(0))
}
