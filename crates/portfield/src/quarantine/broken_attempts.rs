//! Broken attempts, kept until it is known whether their upstreams crashed.

use std::{collections::VecDeque, time::Duration};

/// Time after an attempt broke within which a crash of its upstream counts as the cause.
///
/// Usually the next connection is refused within milliseconds. An upstream that restarts before any
/// host probes it is recognized by its new entry, which it writes a few seconds after the crash.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(5);
/// Broken attempts remembered, enough for about ten engines that crash together with all their
/// requests. Beyond it the oldest are dropped, and no crash is recorded for their requests.
const MAX_BROKEN: usize = 1024;
/// Crashed upstreams remembered, for attempts that are seen to break after the crash.
const MAX_CRASHED: usize = 256;

#[derive(Debug)]
struct BrokenAttempt<T> {
    request: T,
    upstream: u32,
    at: Duration,
}

/// Recently broken attempts and recently crashed upstreams.
///
/// An attempt breaks because its upstream crashed or only because its connection did. The host
/// cannot tell which without probing the upstream, and may learn of the crash before or after the
/// broken attempt. `T` tells requests apart.
///
/// # Examples
///
/// ```
/// use portfield::quarantine::{BrokenAttempts, SuspectKey};
/// use std::time::Duration;
///
/// let request = SuspectKey::request(7, 1);
/// let mut attempts = BrokenAttempts::default();
/// assert!(!attempts.record_break(Duration::ZERO, request, 3));
/// assert_eq!(attempts.record_crash(Duration::from_millis(2), 3), [request]);
/// let later = Duration::from_millis(4);
/// assert!(attempts.record_break(later, request, 3), "its upstream is known to have crashed");
/// ```
#[derive(Debug)]
pub struct BrokenAttempts<T> {
    attempts: VecDeque<BrokenAttempt<T>>,
    crashed: VecDeque<(u32, Duration)>,
}

impl<T> Default for BrokenAttempts<T> {
    fn default() -> Self {
        Self { attempts: VecDeque::new(), crashed: VecDeque::new() }
    }
}

impl<T: Clone + PartialEq> BrokenAttempts<T> {
    /// Records a broken attempt of a request at an upstream; returns whether the upstream is known
    /// to have crashed.
    pub fn record_break(&mut self, now: Duration, request: T, upstream: u32) -> bool {
        self.prune(now);
        if self.crashed.iter().any(|it| it.0 == upstream) {
            return true;
        }
        self.attempts.push_back(BrokenAttempt { request, upstream, at: now });
        if MAX_BROKEN < self.attempts.len() {
            self.attempts.pop_front();
        }
        false
    }

    /// Records that an upstream crashed; returns the requests whose attempts had broken there, each
    /// once.
    pub fn record_crash(&mut self, now: Duration, upstream: u32) -> Vec<T> {
        self.prune(now);
        if !self.crashed.iter().any(|it| it.0 == upstream) {
            self.crashed.push_back((upstream, now));
        }
        if MAX_CRASHED < self.crashed.len() {
            self.crashed.pop_front();
        }
        let mut res: Vec<T> = Vec::new();
        for it in self.attempts.iter().filter(|it| it.upstream == upstream) {
            if !res.contains(&it.request) {
                res.push(it.request.clone());
            }
        }
        self.attempts.retain(|it| it.upstream != upstream);
        res
    }

    fn prune(&mut self, now: Duration) {
        self.attempts.retain(|it| now < it.at + CONFIRMATION_WINDOW);
        self.crashed.retain(|it| now < it.1 + CONFIRMATION_WINDOW);
    }
}
