//! The requests that something is known against, over the whole fleet.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    broken_attempts::RequestKey,
    crash_history::{CRASH_THRESHOLD, CrashHistory, Scope},
    fingerprint::Fingerprint,
};
use crate::{balance::GossipTopology, digest_scope::DigestScope, wire};

/// Requests told in one digest, of some 50 bytes each: what runs at an engine breaks with it, some twenty
/// requests at nine hosts.
const MAX_PER_DIGEST: usize = 24;
/// Requests of one workspace that are remembered. One that sends many lethal ones pushes out its own only.
const MAX_PER_WORKSPACE: usize = 64;
/// Upstreams remembered that lethal requests ended.
const MAX_ATTRIBUTED: usize = 256;
/// Time between two looks for what is past.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);
/// The time of a process's start: what happened before it has a time too.
const EPOCH: Duration = Duration::from_secs(3600);

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The request.
    pub request: RequestKey,
    /// Upstreams that ended under it, the last ones.
    pub n_crashes: usize,
    /// Time until it is tried again.
    pub remaining: Duration,
    /// This host saw one of the ends itself.
    pub is_local: bool,
}

/// What the hosts know together of requests that end upstreams.
///
/// The load that this answers: one request among thousands ends each upstream that runs it, and its caller
/// sends it again and again, to any host. Each end breaks all that runs there. Each host notes under which
/// requests of its own an upstream ended and tells the others; ends of different upstreams add up, also
/// where three hosts saw one each. Two things speak for the others that ran there: a request that once ended well
/// since has nothing against it, and an upstream that a lethal request ended speaks against no other.
///
/// # Examples
///
/// ```
/// use portfield::quarantine::{Quarantine, RequestKey};
/// use std::time::Duration;
///
/// let request = RequestKey { workspace: 7, fingerprint: 1 };
/// let mut here = Quarantine::default();
/// let now = Duration::from_secs(1);
/// assert!(here.record_crash(now, &[request], 10).is_empty());
/// assert!(here.record_crash(now, &[request], 11).is_empty());
/// assert_eq!(here.record_crash(now, &[request], 12).len(), 1);
/// assert!(here.entry(now, request).is_some());
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    histories: Histories,
    /// Upstreams that a lethal request ended, newest last: they speak against no other one.
    attributed: VecDeque<u32>,
    pruned_at: Duration,
    /// Turns of those that are told in every whole digest.
    rotation: usize,
}

impl Quarantine {
    /// Returns why a request is refused, `None` where it may be sent.
    pub fn entry(&self, now: Duration, request: RequestKey) -> Option<QuarantineEntry> {
        entry(request, self.history(request)?, now + EPOCH)
    }

    /// Returns whether one more end under a request makes the verdict: what runs beside it is at risk.
    pub fn is_one_crash_away(&self, now: Duration, request: RequestKey) -> bool {
        self.history(request).is_some_and(|it| {
            CRASH_THRESHOLD <= it.n_crashes() + 1 && it.remaining(now + EPOCH).is_none()
        })
    }

    /// Notes that an upstream ended while this host's runs of some requests were there; returns those that are
    /// refused from now on.
    pub fn record_crash(
        &mut self,
        now: Duration,
        requests: &[RequestKey],
        upstream: u32,
    ) -> Vec<QuarantineEntry> {
        let now = now + EPOCH;
        let is_attributed = self.attributed.contains(&upstream);
        let res = requests.iter().filter_map(|it| {
            self.update(now, *it, |history| {
                if (history.is_over_threshold() || !is_attributed)
                    && history.add_crash(upstream, now)
                {
                    history.mark_local();
                }
            })
        });
        let res: Vec<QuarantineEntry> = res.collect();
        self.attribute_crashes(requests);
        res
    }

    /// Notes that a request was answered whole; returns whether anything was held against it.
    pub fn record_success(&mut self, now: Duration, request: RequestKey) -> bool {
        let histories = self.histories.get_mut(&request.workspace);
        let Some(history) = histories.and_then(|it| it.get_mut(&request.fingerprint)) else {
            return false;
        };
        let is_news = history.record_success(now + EPOCH);
        if is_news {
            history.mark_local();
        }
        is_news
    }

    /// Drops what is held against a request; returns it if anything was.
    pub fn lift(&mut self, now: Duration, fingerprint: Fingerprint) -> Option<RequestKey> {
        let request =
            all(&self.histories).map(|it| it.0).find(|it| it.fingerprint == fingerprint)?;
        self.record_success(now, request).then_some(request)
    }

    /// Takes what another host, or the store, tells; returns the requests that are refused from now on.
    pub fn merge(&mut self, now: Duration, told: &[wire::Suspect]) -> Vec<QuarantineEntry> {
        let now = now + EPOCH;
        let attributed = self.attributed.clone();
        let request = |it: &wire::Suspect| RequestKey {
            workspace: it.workspace,
            fingerprint: it.fingerprint,
        };
        let res = told.iter().filter_map(|it| {
            self.update(now, request(it), |history| {
                if history.merge(now, it, &attributed) {
                    history.mark_remote();
                }
            })
        });
        let res: Vec<QuarantineEntry> = res.collect();
        let requests: Vec<RequestKey> = told.iter().map(request).collect();
        self.attribute_crashes(&requests);
        res
    }

    /// Returns what this host's own digest of that number tells.
    pub fn suspects_for_digest(
        &mut self,
        now: Duration,
        audience: &GossipTopology,
        sequence: u64,
    ) -> Vec<wire::Suspect> {
        let scope = match audience.detail(sequence) {
            DigestScope::Changes => Scope::Local,
            DigestScope::Full => Scope::Full,
        };
        self.collect_suspects(now + EPOCH, scope)
    }

    /// Returns what the sum of this host's data centre tells.
    pub fn suspects_for_summary(&mut self, now: Duration) -> Vec<wire::Suspect> {
        self.collect_suspects(now + EPOCH, Scope::Summary)
    }

    /// Returns the requests that are refused.
    pub fn entries(&self, now: Duration) -> Vec<QuarantineEntry> {
        let now = now + EPOCH;
        all(&self.histories).filter_map(|(request, it)| entry(request, it, now)).collect()
    }

    /// Returns a request as it is told, for the store.
    pub fn suspect(&self, now: Duration, request: RequestKey) -> Option<wire::Suspect> {
        Some(self.history(request)?.to_wire(now + EPOCH, request))
    }

    /// Returns how many requests something is known against.
    pub fn n_suspects(&self) -> usize {
        all(&self.histories).filter(|it| 0 < it.1.n_crashes()).count()
    }

    fn history(&self, request: RequestKey) -> Option<&CrashHistory> {
        self.histories.get(&request.workspace)?.get(&request.fingerprint)
    }

    fn collect_suspects(&mut self, now: Duration, scope: Scope) -> Vec<wire::Suspect> {
        self.prune(now);
        let mut told: Vec<(RequestKey, &mut CrashHistory)> = all_mut(&mut self.histories)
            .filter(|(_, it)| {
                let is_whole = scope != Scope::Local;
                0 < it.n_sends_left(scope) || is_whole && it.remaining(now).is_some()
            })
            .collect();
        if MAX_PER_DIGEST < told.len() {
            // What was told least goes first, of that what is known most of; the others have their rotation. With all
            // that is new alike, one of 300 that became new together was not told at all for three seconds.
            self.rotation = (self.rotation + MAX_PER_DIGEST) % told.len();
            told.rotate_left(self.rotation);
            told.sort_by_key(|it| Reverse((it.1.n_sends_left(scope), it.1.n_crashes())));
        }
        let tell = |(request, history): (RequestKey, &mut CrashHistory)| {
            history.mark_sent(scope);
            history.to_wire(now, request)
        };
        told.into_iter().take(MAX_PER_DIGEST).map(tell).collect()
    }

    /// Changes what is known of a request; returns the verdict if it is refused from now on.
    fn update(
        &mut self,
        now: Duration,
        request: RequestKey,
        f: impl FnOnce(&mut CrashHistory),
    ) -> Option<QuarantineEntry> {
        let history = self.history_mut(now, request);
        let was_refused = history.remaining(now).is_some();
        f(history);
        entry(request, history, now).filter(|_| !was_refused)
    }

    /// Takes ends that are attributed by those of some requests that are lethal back from all others.
    ///
    /// **NOTE:** After all that ran there has been noted: of two with the same ends neither explains the other's.
    fn attribute_crashes(&mut self, requests: &[RequestKey]) {
        let lethal =
            requests.iter().filter_map(|it| self.history(*it)).filter(|it| it.is_over_threshold());
        let new: Vec<u32> = lethal
            .flat_map(CrashHistory::upstreams)
            .filter(|it| !self.attributed.contains(it))
            .collect();
        if new.is_empty() {
            return;
        }
        for (_, history) in all_mut(&mut self.histories) {
            new.iter().for_each(|it| history.drop_crash(*it));
        }
        self.attributed.extend(new);
        let n_old = self.attributed.len().saturating_sub(MAX_ATTRIBUTED);
        self.attributed.drain(..n_old);
    }

    /// Returns a request's history, new if there is none; of too many of its workspace one is forgotten.
    fn history_mut(&mut self, now: Duration, request: RequestKey) -> &mut CrashHistory {
        let histories = self.histories.entry(request.workspace).or_default();
        if !histories.contains_key(&request.fingerprint) && MAX_PER_WORKSPACE <= histories.len() {
            let least = histories
                .iter()
                .min_by_key(|it| {
                    (it.1.remaining(now).is_some(), it.1.n_crashes(), it.1.last_crash())
                })
                .map(|it| *it.0);
            if let Some(it) = least {
                histories.remove(&it);
            }
        }
        histories.entry(request.fingerprint).or_default()
    }

    fn prune(&mut self, now: Duration) {
        if now < self.pruned_at + PRUNE_PERIOD {
            return;
        }
        self.pruned_at = now;
        for histories in self.histories.values_mut() {
            histories.retain(|_, it| !it.is_expired(now));
        }
        self.histories.retain(|_, it| !it.is_empty());
    }
}

fn entry(request: RequestKey, history: &CrashHistory, now: Duration) -> Option<QuarantineEntry> {
    let remaining = history.remaining(now)?;
    Some(QuarantineEntry {
        request,
        n_crashes: history.n_crashes(),
        remaining,
        is_local: history.is_local(),
    })
}

/// By workspace, then by fingerprint.
///
/// In order, so that what is told is the same in each life of a process that has heard the same.
type Histories = BTreeMap<u32, BTreeMap<Fingerprint, CrashHistory>>;

fn all(histories: &Histories) -> impl Iterator<Item = (RequestKey, &CrashHistory)> {
    histories.iter().flat_map(|(&workspace, it)| {
        it.iter().map(move |(&fingerprint, it)| (RequestKey { workspace, fingerprint }, it))
    })
}

fn all_mut(histories: &mut Histories) -> impl Iterator<Item = (RequestKey, &mut CrashHistory)> {
    histories.iter_mut().flat_map(|(&workspace, it)| {
        it.iter_mut().map(move |(&fingerprint, it)| (RequestKey { workspace, fingerprint }, it))
    })
}
