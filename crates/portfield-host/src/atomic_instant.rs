//! A point in time that tasks share without a lock.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use portfield_net::clock;

/// The time at which something last happened, if ever, in whole milliseconds.
#[derive(Debug, Default)]
pub(crate) struct AtomicInstant {
    /// Milliseconds since process start, at least one; zero for never.
    millis: AtomicU64,
}

impl AtomicInstant {
    /// Sets the time to now.
    pub(crate) fn set_now(&self) {
        let now = clock::now().as_millis() as u64;
        self.millis.store(now.max(1), Ordering::Relaxed);
    }

    /// Returns the time elapsed since then, `None` if it was never set.
    pub(crate) fn elapsed(&self) -> Option<Duration> {
        match self.millis.load(Ordering::Relaxed) {
            0 => None,
            it => Some(clock::now().saturating_sub(Duration::from_millis(it))),
        }
    }
}
