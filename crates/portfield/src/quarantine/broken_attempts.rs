//! Runs that broke, until it is known whether their upstreams ended with them.

use std::{collections::VecDeque, time::Duration};

use super::fingerprint::Fingerprint;

/// Time after a run broke in which its upstream may be found to have ended.
///
/// Mostly a connection is refused within milliseconds. An upstream that is back before anybody looked is known
/// by its new entry, which it writes some seconds after its end.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(5);
/// Most runs remembered: some ten engines that end together with all that runs on them. Beyond it the oldest
/// are forgotten, and their upstreams' ends count against nobody.
const MAX_ATTEMPTS: usize = 1024;
/// Most ended upstreams remembered, for runs of theirs that are seen to break later.
const MAX_CRASHED: usize = 256;

/// A request as hosts tell each other of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// Who asks: hash of the workspace's name.
    pub workspace: u32,
    /// What is asked for.
    pub fingerprint: Fingerprint,
}

impl RequestKey {
    /// Returns its fingerprint as logs and pages have it.
    pub fn fingerprint_hex(&self) -> String {
        format!("{:016x}", self.fingerprint)
    }
}

#[derive(Debug, Clone, Copy)]
struct BrokenAttempt {
    request: RequestKey,
    upstream: u32,
    at: Duration,
}

/// Runs that broke of late, and upstreams that ended of late.
///
/// A run breaks with its upstream or with its connection only, and the host that sees it cannot tell which:
/// it has to look. Either may be known first.
///
/// # Examples
///
/// ```
/// use portfield::quarantine::{BrokenAttempts, RequestKey};
/// use std::time::Duration;
///
/// let request = RequestKey { workspace: 7, fingerprint: 1 };
/// let mut attempts = BrokenAttempts::default();
/// assert!(!attempts.record_break(Duration::ZERO, request, 3));
/// assert_eq!(attempts.record_crash(Duration::from_millis(2), 3), [request]);
/// assert!(attempts.record_break(Duration::from_millis(4), request, 3), "its upstream is known to have ended");
/// ```
#[derive(Debug, Default)]
pub struct BrokenAttempts {
    attempts: VecDeque<BrokenAttempt>,
    crashed: VecDeque<(u32, Duration)>,
}

impl BrokenAttempts {
    /// Notes that a run of a request at an upstream broke; returns whether the upstream is known to have
    /// ended.
    pub fn record_break(&mut self, now: Duration, request: RequestKey, upstream: u32) -> bool {
        self.prune(now);
        if self.crashed.iter().any(|it| it.0 == upstream) {
            return true;
        }
        self.attempts.push_back(BrokenAttempt { request, upstream, at: now });
        if MAX_ATTEMPTS < self.attempts.len() {
            self.attempts.pop_front();
        }
        false
    }

    /// Notes that an upstream ended; returns the requests whose runs broke there before, each once.
    pub fn record_crash(&mut self, now: Duration, upstream: u32) -> Vec<RequestKey> {
        self.prune(now);
        if !self.crashed.iter().any(|it| it.0 == upstream) {
            self.crashed.push_back((upstream, now));
        }
        if MAX_CRASHED < self.crashed.len() {
            self.crashed.pop_front();
        }
        let mut res: Vec<RequestKey> = Vec::new();
        for it in self.attempts.iter().filter(|it| it.upstream == upstream) {
            if !res.contains(&it.request) {
                res.push(it.request);
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
