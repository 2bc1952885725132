//! Crash history of one suspect, and whether it suffices for quarantine.

use std::{collections::VecDeque, time::Duration};

use super::key::{RequestKeys, SuspectKey, SuspectKind};
use crate::{digest_scope::DIGESTS_PER_UPDATE, wire};

/// Upstreams that must crash while running a suspect before it is quarantined.
///
/// A crash breaks all requests at the upstream, which are then sent again. While upstreams crash
/// one after another, an innocent request is now and then involved in two crashes, but hardly ever
/// in three (`tests/quarantine.rs` counts this).
pub const CRASH_THRESHOLD: usize = 3;
/// Different requests that a part must have crashed upstreams in: a request that does so by itself is
/// quarantined as a whole, and says nothing about the parts of its prompt.
const MIN_REQUESTS: usize = 2;
/// Crashes from which on requests with a part run one at a time.
pub(super) const TRIAL_THRESHOLD: usize = 2;
/// Time after a success of a request with a part for which crashes do not count against the part. Parts
/// in use succeed at some host within seconds; one that crashes its upstreams never does.
pub(super) const SUCCESS_VALIDITY: Duration = Duration::from_secs(10);
/// Crashes remembered per suspect, the latest ones.
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
/// Time for which a success is remembered after it no longer speaks against new crashes: longer than
/// reports of earlier crashes take to arrive from other hosts.
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

/// A run that the crash of its upstream broke, as far as it matters for a part of its prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CrashedRun {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Low 32 bits of the request's fingerprint.
    pub request: u32,
    /// Hash of the upstream's software version.
    pub version: u32,
}

impl CrashedRun {
    /// Returns the run of a request at an upstream with this software version.
    pub(super) fn new(keys: &RequestKeys, version: u32) -> Self {
        let SuspectKey { owner, fingerprint, .. } = keys.request;
        Self { workspace: owner, request: fingerprint as u32, version }
    }

    fn is_of(self, request: SuspectKey) -> bool {
        !request.is_part()
            && request.owner == self.workspace
            && request.fingerprint as u32 == self.request
    }
}

/// Crash of an upstream while it ran the suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    /// Wire id of the incarnation that crashed.
    pub upstream: u32,
    pub at: Duration,
    /// One of the requests with the part; the default for a suspect that is a request.
    pub run: CrashedRun,
}

impl Crash {
    /// Returns whether `cause` explains the crash, so that it does not count against `other`. A
    /// quarantined request does not clear the parts of its own prompt.
    pub(super) fn is_explained(&self, cause: SuspectKey, other: SuspectKind) -> bool {
        match other {
            SuspectKind::Request => true,
            SuspectKind::Part => !self.run.is_of(cause),
        }
    }
}

/// Success of a request, or of one with the part.
#[derive(Debug, Clone, Copy)]
struct Success {
    /// Hash of the upstream's software version; zero for a suspect that is a request.
    version: u32,
    at: Duration,
}

/// Crashes of upstreams that ran a suspect.
#[derive(Debug, Clone)]
pub(super) struct CrashHistory {
    kind: SuspectKind,
    /// The latest crashes, at most [`MAX_CRASHES`], each of a different upstream.
    crashes: Vec<Crash>,
    /// The latest success at each software version.
    successes: Vec<Success>,
    /// Digests of this host that still have to carry it as a change.
    n_own_digests: u32,
    /// Summaries of the data centre that still have to carry it as a change.
    n_summaries: u32,
    /// Whether this host saw one of the crashes itself.
    is_local: bool,
}

impl CrashHistory {
    pub(super) fn new(kind: SuspectKind) -> Self {
        Self {
            kind,
            crashes: Vec::new(),
            successes: Vec::new(),
            n_own_digests: 0,
            n_summaries: 0,
            is_local: false,
        }
    }

    /// Adds a crash; returns whether it is new.
    ///
    /// A crash reported by several hosts counts once, at the earliest reported time.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        let Crash { upstream, at, run } = crash;
        if self.successes.iter().any(|it| it.version == run.version && at <= self.valid_until(it)) {
            return false;
        }
        if let Some(it) = self.crashes.iter_mut().find(|it| it.upstream == upstream) {
            it.at = it.at.min(at);
            it.run = it.run.min(run);
            return false;
        }
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

    /// Removes a crash that is attributed to another suspect, unless this one is over the threshold
    /// itself.
    pub(super) fn drop_crash(&mut self, upstream: u32, cause: SuspectKey) {
        if !self.is_over_threshold() {
            let kind = self.kind;
            self.crashes.retain(|it| it.upstream != upstream || !it.is_explained(cause, kind));
        }
    }

    /// Returns the upstreams that crashed while running it.
    pub(super) fn upstreams(&self) -> impl Iterator<Item = u32> {
        self.crashes.iter().map(|it| it.upstream)
    }

    /// Returns whether it accounts for all crashes of another suspect.
    pub(super) fn covers(&self, other: &Self) -> bool {
        other.upstreams().all(|it| self.crashes.iter().any(|own| own.upstream == it))
    }

    /// Returns whether the crashes count against requests of a workspace: one that sent a request
    /// under which an upstream crashed, or any as soon as two did. A workspace alone cannot have a
    /// part refused to others.
    pub(super) fn concerns(&self, workspace: u32) -> bool {
        let mut workspaces = self.crashes.iter().map(|it| it.run.workspace);
        let first = workspaces.next();
        first == Some(workspace) || workspaces.any(|it| it == workspace || Some(it) != first)
    }

    /// Records a success at `at`, which removes the crashes that it speaks against; returns whether
    /// any were removed.
    pub(super) fn record_success(&mut self, version: u32, at: Duration) -> bool {
        if !self.add_success(version, at) {
            return false;
        }
        let until = at + self.success_validity();
        let n_before = self.crashes.len();
        self.crashes.retain(|it| it.run.version != version || until < it.at);
        self.crashes.len() < n_before
    }

    /// Removes all crashes, on an operator's order; returns whether there were any.
    pub(super) fn lift(&mut self, at: Duration) -> bool {
        // The crashes after it count.
        let at = at.saturating_sub(self.success_validity());
        let versions: Vec<u32> = self.crashes.iter().map(|it| it.run.version).collect();
        let mut has_any = false;
        for it in versions {
            has_any |= self.record_success(it, at);
        }
        has_any
    }

    fn add_success(&mut self, version: u32, at: Duration) -> bool {
        match self.successes.iter_mut().find(|it| it.version == version) {
            Some(it) if at <= it.at => return false,
            Some(it) => it.at = at,
            None => self.successes.push(Success { version, at }),
        }
        true
    }

    fn valid_until(&self, success: &Success) -> Duration {
        success.at + self.success_validity()
    }

    /// Returns how long after a success no crash counts.
    fn success_validity(&self) -> Duration {
        match self.kind {
            SuspectKind::Request => Duration::ZERO,
            SuspectKind::Part => SUCCESS_VALIDITY,
        }
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

    /// Returns whether it has at least [`CRASH_THRESHOLD`] crashes; a part also has to have them
    /// under [`MIN_REQUESTS`] requests.
    pub(super) fn is_over_threshold(&self) -> bool {
        if self.crashes.len() < CRASH_THRESHOLD {
            return false;
        }
        let request = |it: &Crash| (it.run.workspace, it.run.request);
        let is_first = |it: &usize| {
            self.crashes[..*it].iter().all(|other| request(other) != request(&self.crashes[*it]))
        };
        let n_requests = (0..self.crashes.len()).filter(is_first).count();
        self.kind == SuspectKind::Request || MIN_REQUESTS <= n_requests
    }

    /// Returns whether it is so suspicious that its requests run one at a time.
    pub(super) fn is_on_trial(&self) -> bool {
        let threshold = match self.kind {
            SuspectKind::Request => 1,
            SuspectKind::Part => TRIAL_THRESHOLD,
        };
        threshold <= self.crashes.len()
    }

    /// Returns whether it no longer has to be remembered.
    pub(super) fn is_expired(&self, now: Duration) -> bool {
        let is_crash_expired = self.crashes.is_empty() || self.last_crash() + RETENTION <= now;
        let is_old = |it: &Success| self.valid_until(it) + SUCCESS_RETENTION <= now;
        is_crash_expired && self.successes.iter().all(is_old)
    }

    /// Encodes it for messages to other hosts and for the store.
    pub(super) fn to_wire(&self, now: Duration, key: SuspectKey) -> wire::Suspect {
        let age =
            |at: Duration| now.saturating_sub(at).as_millis().min(u128::from(u32::MAX)) as u32;
        let crash = |it: &Crash| wire::UpstreamEnd {
            upstream: it.upstream,
            age: age(it.at),
            workspace: it.run.workspace,
            request: it.run.request,
            version: it.run.version,
        };
        let mut res = wire::Suspect {
            fingerprint: key.fingerprint,
            workspace: key.owner,
            ends: self.crashes.iter().map(crash).collect(),
            cleared: None,
            part: key.is_part(),
            successes: Vec::new(),
        };
        let successes = self.successes.iter();
        match self.kind {
            SuspectKind::Request => res.cleared = successes.map(|it| age(it.at)).next(),
            SuspectKind::Part => {
                let success =
                    |it: &Success| wire::PartSuccess { version: it.version, age: age(it.at) };
                res.successes = successes.map(success).collect();
            }
        }
        res
    }

    /// Merges a report from another host or the store; returns whether anything was new.
    ///
    /// Skips crashes that are attributed to another suspect, unless this one is over the threshold
    /// already or by the report: two suspects may have crashed the same upstreams.
    pub(super) fn merge(
        &mut self,
        now: Duration,
        suspect: &wire::Suspect,
        attributed: &VecDeque<Attribution>,
    ) -> bool {
        let at = |age: u32| now.saturating_sub(Duration::from_millis(u64::from(age)));
        let cleared = suspect.cleared.map(|age| (0, age));
        let successes = suspect.successes.iter().map(|it| (it.version, it.age));
        let mut is_news = false;
        for (version, age) in cleared.into_iter().chain(successes) {
            is_news |= self.record_success(version, at(age));
        }
        let is_over_threshold = self.is_over_threshold() || CRASH_THRESHOLD <= suspect.ends.len();
        for it in &suspect.ends {
            let run =
                CrashedRun { workspace: it.workspace, request: it.request, version: it.version };
            let crash = Crash { upstream: it.upstream, at: at(it.age), run };
            let is_explained = attributed.iter().any(|it| it.explains(&crash, self.kind));
            if is_over_threshold || !is_explained {
                is_news |= self.add_crash(crash);
            }
        }
        is_news
    }
}

/// A crash whose cause is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Attribution {
    /// Wire id of the upstream.
    pub upstream: u32,
    pub cause: SuspectKey,
}

impl Attribution {
    /// Returns whether a crash does not count against suspects of a kind.
    pub(super) fn explains(&self, crash: &Crash, kind: SuspectKind) -> bool {
        self.upstream == crash.upstream && crash.is_explained(self.cause, kind)
    }
}
