//! The only place that reads clocks.

use std::{
    sync::OnceLock,
    time::{Duration, Instant, SystemTime},
};

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the time since this process first asked.
pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Returns a number that is larger in each later life of a process: milliseconds since 1970.
pub fn life() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

/// Waits.
pub async fn sleep(time: Duration) {
    async_io::Timer::after(time).await;
}

/// Returns a timer that fires once after a time and can be set anew; cheaper than [`timeout`]
/// where many short waits share one limit.
pub fn alarm(time: Duration) -> async_io::Timer {
    async_io::Timer::after(time)
}

/// Runs a future until an alarm fires; `None` if it did not end before.
pub async fn before<T>(alarm: &mut async_io::Timer, f: impl Future<Output = T>) -> Option<T> {
    let late = async {
        alarm.await;
        None
    };
    futures_lite::future::or(async { Some(f.await) }, late).await
}

/// Runs a future for at most a time; `None` if it did not end.
pub async fn timeout<T>(time: Duration, f: impl Future<Output = T>) -> Option<T> {
    let late = async {
        sleep(time).await;
        None
    };
    futures_lite::future::or(async { Some(f.await) }, late).await
}
