//! When something last happened.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use portfield_net::clock;

/// When something last happened, if it did, shared by tasks; to the millisecond.
#[derive(Debug, Default)]
pub(crate) struct AtomicInstant {
    /// Milliseconds since the start, at least one; zero for never.
    millis: AtomicU64,
}

impl AtomicInstant {
    /// Notes that it happens now.
    pub(crate) fn set_now(&self) {
        let now = clock::now().as_millis() as u64;
        self.millis.store(now.max(1), Ordering::Relaxed);
    }

    /// Returns how long ago it happened, `None` if it never did.
    pub(crate) fn elapsed(&self) -> Option<Duration> {
        match self.millis.load(Ordering::Relaxed) {
            0 => None,
            it => Some(clock::now().saturating_sub(Duration::from_millis(it))),
        }
    }
}
