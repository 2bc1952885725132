//! Crash history of one request, and whether it suffices for quarantine.

use std::{collections::VecDeque, time::Duration};

use super::broken_attempts::RequestKey;
use crate::{digest_scope::DIGESTS_PER_UPDATE, wire};

/// Upstreams that must crash while running a request before it is quarantined.
///
/// A crash breaks all requests at the upstream, which are then sent again. While upstreams crash
/// one after another, an innocent request is now and then involved in two crashes, but hardly ever
/// in three (`tests/quarantine.rs` counts this).
pub const CRASH_THRESHOLD: usize = 3;
/// Crashes remembered per request, the latest ones.
const MAX_CRASHES: usize = 6;
/// Time after its latest crash for which a request with [`CRASH_THRESHOLD`] crashes is quarantined.
/// Each further crash doubles it, up to 16 minutes.
///
/// Afterwards the request may run again, and a single further crash quarantines it: the software of
/// the upstreams may have been replaced, and an innocent request is not refused for long. A failed
/// trial costs all requests at one upstream.
const BASE_QUARANTINE: Duration = Duration::from_secs(120);
/// Time after its latest crash for which a request is remembered: twice the longest quarantine.
pub const RETENTION: Duration = Duration::from_secs(1920);
/// Time for which a success of a request is remembered: longer than reports of earlier crashes take
/// to arrive from other hosts.
const SUCCESS_RETENTION: Duration = Duration::from_secs(10);

/// Digest that suspects are collected for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    /// This host's own digest, with changes seen by this host.
    Local,
    /// This host's own digest, with all quarantined requests as well, for hosts that have just
    /// started or were unreachable.
    Full,
    /// The summary of this host's data centre, with changes seen by any host there and all
    /// quarantined requests.
    Summary,
}

/// Crash of an upstream while it ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Crash {
    /// Wire id of the incarnation that crashed.
    upstream: u32,
    at: Duration,
}

/// Crashes of upstreams that ran a request.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashHistory {
    /// The latest crashes, at most [`MAX_CRASHES`], each of a different upstream.
    crashes: Vec<Crash>,
    /// When it last succeeded.
    last_success: Option<Duration>,
    /// Digests of this host that still have to carry it as a change.
    n_own_digests: u32,
    /// Summaries of the data centre that still have to carry it as a change.
    n_summaries: u32,
    /// Whether this host saw one of the crashes itself.
    is_local: bool,
}

impl CrashHistory {
    /// Adds a crash; returns whether it is new.
    ///
    /// A crash reported by several hosts counts once, at the earliest reported time.
    pub(super) fn add_crash(&mut self, upstream: u32, at: Duration) -> bool {
        if self.last_success.is_some_and(|it| at <= it) {
            return false;
        }
        if let Some(it) = self.crashes.iter_mut().find(|it| it.upstream == upstream) {
            it.at = it.at.min(at);
            return false;
        }
        let crash = Crash { upstream, at };
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.push(crash);
            return true;
        }
        let Some(oldest) = self.crashes.iter_mut().min_by_key(|it| it.at) else { return false };
        let is_newer = oldest.at < at;
        if is_newer {
            *oldest = crash;
        }
        is_newer
    }

    /// Removes a crash that is attributed to another request, unless this request is over the
    /// threshold itself.
    pub(super) fn drop_crash(&mut self, upstream: u32) {
        if !self.is_over_threshold() {
            self.crashes.retain(|it| it.upstream != upstream);
        }
    }

    /// Returns the upstreams that crashed while running it.
    pub(super) fn upstreams(&self) -> impl Iterator<Item = u32> {
        self.crashes.iter().map(|it| it.upstream)
    }

    /// Records a success at `at`, which removes earlier crashes; returns whether any were removed.
    pub(super) fn record_success(&mut self, at: Duration) -> bool {
        if self.last_success.is_some_and(|it| at <= it) {
            return false;
        }
        self.last_success = Some(at);
        let n_before = self.crashes.len();
        self.crashes.retain(|it| at < it.at);
        self.crashes.len() < n_before
    }

    /// Records that this host saw a change of it.
    pub(super) fn mark_local(&mut self) {
        self.n_own_digests = DIGESTS_PER_UPDATE;
        self.n_summaries = DIGESTS_PER_UPDATE;
        self.is_local = true;
    }

    /// Records that another host reported a change of it.
    pub(super) fn mark_remote(&mut self) {
        self.n_summaries = DIGESTS_PER_UPDATE;
    }

    /// Returns how many digests of a scope still have to carry it as a change.
    pub(super) fn n_sends_left(&self, scope: Scope) -> u32 {
        match scope {
            Scope::Local | Scope::Full => self.n_own_digests,
            Scope::Summary => self.n_summaries,
        }
    }

    /// Records that a digest of a scope carries it.
    pub(super) fn mark_sent(&mut self, scope: Scope) {
        let n_sends = match scope {
            Scope::Local | Scope::Full => &mut self.n_own_digests,
            Scope::Summary => &mut self.n_summaries,
        };
        *n_sends = n_sends.saturating_sub(1);
    }

    /// Returns whether this host saw one of the crashes itself.
    pub(super) fn is_local(&self) -> bool {
        self.is_local
    }

    /// Returns the number of crashes.
    pub(super) fn n_crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the time of the latest crash.
    pub(super) fn last_crash(&self) -> Duration {
        self.crashes.iter().map(|it| it.at).max().unwrap_or_default()
    }

    /// Returns the time left in quarantine, `None` if it may run.
    pub(super) fn remaining(&self, now: Duration) -> Option<Duration> {
        if !self.is_over_threshold() {
            return None;
        }
        let n_more = self.crashes.len() - CRASH_THRESHOLD;
        let end = self.last_crash() + BASE_QUARANTINE * (1 << n_more);
        (now < end).then(|| end - now)
    }

    /// Returns whether it has at least [`CRASH_THRESHOLD`] crashes.
    pub(super) fn is_over_threshold(&self) -> bool {
        CRASH_THRESHOLD <= self.crashes.len()
    }

    /// Returns whether it no longer has to be remembered.
    pub(super) fn is_expired(&self, now: Duration) -> bool {
        let is_crash_expired = self.crashes.is_empty() || self.last_crash() + RETENTION <= now;
        is_crash_expired && self.last_success.is_none_or(|it| it + SUCCESS_RETENTION <= now)
    }

    /// Encodes it for messages to other hosts and for the store.
    pub(super) fn to_wire(&self, now: Duration, request: RequestKey) -> wire::Suspect {
        let age =
            |at: Duration| now.saturating_sub(at).as_millis().min(u128::from(u32::MAX)) as u32;
        let crash = |it: &Crash| wire::UpstreamEnd { upstream: it.upstream, age: age(it.at) };
        wire::Suspect {
            fingerprint: request.fingerprint,
            workspace: request.workspace,
            ends: self.crashes.iter().map(crash).collect(),
            cleared: self.last_success.map(age),
        }
    }

    /// Merges a report from another host or the store; returns whether anything was new.
    ///
    /// Skips crashes in `attributed`, unless the request is over the threshold already or by the
    /// report: two requests may have crashed the same upstreams.
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
