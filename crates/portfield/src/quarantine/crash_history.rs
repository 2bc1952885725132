//! What is known against one request, and whether it is enough.

use std::{collections::VecDeque, time::Duration};

use super::broken_attempts::RequestKey;
use crate::{digest_scope::DIGESTS_PER_UPDATE, wire};

/// Upstreams that have to end under a request before it is refused.
///
/// All that runs at an upstream breaks with it, and is sent again: an innocent request is under two ends now and
/// then while one upstream after the other ends, under three hardly ever (`tests/quarantine.rs` counts it).
pub const CRASH_THRESHOLD: usize = 3;
/// Ends remembered of a request, the last ones.
const MAX_CRASHES: usize = 6;
/// Time after its last end for which a request is refused that ended [`CRASH_THRESHOLD`] upstreams; with each one more
/// it doubles, up to 16 minutes.
///
/// Then it is tried again, and one more end suffices: the upstreams' software may have been replaced by then, and
/// an innocent one is not turned away for long. A try that fails costs all that runs on one upstream.
const BASE_QUARANTINE: Duration = Duration::from_secs(120);
/// Time after its last end after which nothing is known against a request any more: twice the longest time for
/// which it is refused.
pub const RETENTION: Duration = Duration::from_secs(1920);
/// Time for which it is remembered that a request ended well: longer than what other hosts say of its ends is
/// on its way.
const SUCCESS_RETENTION: Duration = Duration::from_secs(10);

/// Which digest something is suspect in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    /// This host's own: what it saw itself.
    Local,
    /// This host's own, with all requests that are refused: hosts that have just started, or could not be reached,
    /// learn of them.
    Full,
    /// The sum of its data centre: what any host there saw, and all requests that are refused.
    Summary,
}

/// An upstream that ended while the request ran there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Crash {
    /// Number of its incarnation.
    upstream: u32,
    at: Duration,
}

/// What is known of a request that ran at an upstream that ended.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashHistory {
    /// The last ends, of different upstreams, at most [`MAX_CRASHES`].
    crashes: Vec<Crash>,
    /// When it last ended well.
    last_success: Option<Duration>,
    /// This host's own digests in which it is still to be suspect.
    n_own_digests: u32,
    /// The same of sums of its data centre.
    n_summaries: u32,
    /// This host saw one of the ends itself.
    is_local: bool,
}

impl CrashHistory {
    /// Notes an end; returns whether it was news.
    ///
    /// Two hosts that saw the same one tell it as one, at the time of the earlier.
    pub(super) fn add_crash(&mut self, upstream: u32, at: Duration) -> bool {
        if self.last_success.is_some_and(|it| at <= it) {
            return false;
        }
        if let Some(it) = self.crashes.iter_mut().find(|it| it.upstream == upstream) {
            it.at = it.at.min(at);
            return false;
        }
        let end = Crash { upstream, at };
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.push(end);
            return true;
        }
        let Some(oldest) = self.crashes.iter_mut().min_by_key(|it| it.at) else { return false };
        let is_newer = oldest.at < at;
        if is_newer {
            *oldest = end;
        }
        is_newer
    }

    /// Takes back an end that another request explains; one that is refused itself keeps it.
    pub(super) fn drop_crash(&mut self, upstream: u32) {
        if !self.is_over_threshold() {
            self.crashes.retain(|it| it.upstream != upstream);
        }
    }

    /// Returns the upstreams that ended under it.
    pub(super) fn upstreams(&self) -> impl Iterator<Item = u32> {
        self.crashes.iter().map(|it| it.upstream)
    }

    /// Notes that the request ended well at that time; returns whether that was news.
    pub(super) fn record_success(&mut self, at: Duration) -> bool {
        if self.last_success.is_some_and(|it| at <= it) {
            return false;
        }
        self.last_success = Some(at);
        let n_before = self.crashes.len();
        self.crashes.retain(|it| at < it.at);
        self.crashes.len() < n_before
    }

    /// Notes that this host saw something new of it.
    pub(super) fn mark_local(&mut self) {
        self.n_own_digests = DIGESTS_PER_UPDATE;
        self.n_summaries = DIGESTS_PER_UPDATE;
        self.is_local = true;
    }

    /// Notes that this host heard something new of it.
    pub(super) fn mark_remote(&mut self) {
        self.n_summaries = DIGESTS_PER_UPDATE;
    }

    /// Returns in how many digests of that kind it is still to be suspect as news.
    pub(super) fn n_sends_left(&self, scope: Scope) -> u32 {
        match scope {
            Scope::Local | Scope::Full => self.n_own_digests,
            Scope::Summary => self.n_summaries,
        }
    }

    /// Notes that it is suspect.
    pub(super) fn mark_sent(&mut self, scope: Scope) {
        let left = match scope {
            Scope::Local | Scope::Full => &mut self.n_own_digests,
            Scope::Summary => &mut self.n_summaries,
        };
        *left = left.saturating_sub(1);
    }

    /// Returns whether this host saw one of the ends itself.
    pub(super) fn is_local(&self) -> bool {
        self.is_local
    }

    /// Returns how many upstreams ended under it.
    pub(super) fn n_crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Returns when the last one ended.
    pub(super) fn last_crash(&self) -> Duration {
        self.crashes.iter().map(|it| it.at).max().unwrap_or_default()
    }

    /// Returns for how long it is still refused, `None` where it may run.
    pub(super) fn remaining(&self, now: Duration) -> Option<Duration> {
        if !self.is_over_threshold() {
            return None;
        }
        let n_more = self.crashes.len() - CRASH_THRESHOLD;
        let until = self.last_crash() + BASE_QUARANTINE * (1 << n_more);
        (now < until).then(|| until - now)
    }

    /// Returns whether as many upstreams ended under it as make a request lethal.
    pub(super) fn is_over_threshold(&self) -> bool {
        CRASH_THRESHOLD <= self.crashes.len()
    }

    /// Returns whether nothing is known of it that still matters.
    pub(super) fn is_expired(&self, now: Duration) -> bool {
        let is_forgotten = self.crashes.is_empty() || self.last_crash() + RETENTION <= now;
        is_forgotten && self.last_success.is_none_or(|it| it + SUCCESS_RETENTION <= now)
    }

    /// Returns it as hosts tell each other.
    pub(super) fn to_wire(&self, now: Duration, request: RequestKey) -> wire::Suspect {
        let age =
            |at: Duration| now.saturating_sub(at).as_millis().min(u128::from(u32::MAX)) as u32;
        let end = |it: &Crash| wire::UpstreamEnd { upstream: it.upstream, age: age(it.at) };
        wire::Suspect {
            fingerprint: request.fingerprint,
            workspace: request.workspace,
            ends: self.crashes.iter().map(end).collect(),
            cleared: self.last_success.map(age),
        }
    }

    /// Takes what another host, or the store, tells of it, but for the upstreams that another request ended;
    /// returns whether it was news.
    ///
    /// A request that is lethal by what is suspect counts as such: two may have ended the same upstreams.
    pub(super) fn merge(
        &mut self,
        now: Duration,
        suspect: &wire::Suspect,
        attributed: &VecDeque<u32>,
    ) -> bool {
        let at = |age: u32| now.saturating_sub(Duration::from_millis(u64::from(age)));
        let mut is_news = suspect.cleared.is_some_and(|it| self.record_success(at(it)));
        let is_over_threshold = self.is_over_threshold() || CRASH_THRESHOLD <= suspect.ends.len();
        for it in
            suspect.ends.iter().filter(|it| is_over_threshold || !attributed.contains(&it.upstream))
        {
            is_news |= self.add_crash(it.upstream, at(it.age));
        }
        is_news
    }
}
