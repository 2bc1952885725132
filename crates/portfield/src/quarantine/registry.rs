//! Crash histories of all requests, shared by the fleet.

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
use crate::{digest_scope::DigestScope, gossip::GossipTopology, wire};

/// Requests per digest, of some 50 bytes each. A crash of an engine breaks some twenty requests at
/// nine hosts.
const MAX_PER_DIGEST: usize = 24;
/// Requests remembered per workspace, so that a workspace with many lethal requests only evicts its
/// own.
const MAX_PER_WORKSPACE: usize = 64;
/// Upstreams remembered whose crashes are attributed to quarantined requests.
const MAX_ATTRIBUTED: usize = 256;
/// Time between two removals of expired histories.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);
/// Time of the process start on the internal clock, so that events before the start have a time
/// too.
const START_OFFSET: Duration = Duration::from_secs(3600);

/// A quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The request.
    pub request: RequestKey,
    /// Upstreams that crashed while running it, as far as remembered.
    pub n_crashes: usize,
    /// Time until it may run again.
    pub remaining: Duration,
    /// Whether this host saw one of the crashes itself.
    pub is_local: bool,
}

/// Requests that crash upstreams, as known to all hosts together.
///
/// One request among thousands may crash each upstream that runs it, while its caller sends it
/// again and again, to any host. Each crash breaks all requests at that upstream. Each host records
/// which of its own requests an upstream was running when it crashed, and reports them to the
/// others; crashes of different upstreams add up, even if three hosts saw one each. Two rules clear
/// the innocent requests: a success removes earlier crashes, and a crash attributed to a
/// quarantined request does not count against others.
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
    /// Upstreams whose crashes are attributed to a quarantined request, newest last; they do not
    /// count against other requests.
    attributed: VecDeque<u32>,
    pruned_at: Duration,
    /// Offset of the rotation among suspects, if they do not all fit into a digest.
    rotation: usize,
}

impl Quarantine {
    /// Returns the quarantine entry of a request, `None` if it may run.
    pub fn entry(&self, now: Duration, request: RequestKey) -> Option<QuarantineEntry> {
        entry(request, self.history(request)?, now + START_OFFSET)
    }

    /// Returns whether one more crash quarantines a request that may run; other requests at its
    /// upstream are at risk.
    pub fn is_one_crash_away(&self, now: Duration, request: RequestKey) -> bool {
        self.history(request).is_some_and(|it| {
            CRASH_THRESHOLD <= it.n_crashes() + 1 && it.remaining(now + START_OFFSET).is_none()
        })
    }

    /// Records that an upstream crashed while running `requests` of this host; returns those that
    /// are quarantined as a result.
    pub fn record_crash(
        &mut self,
        now: Duration,
        requests: &[RequestKey],
        upstream: u32,
    ) -> Vec<QuarantineEntry> {
        let now = now + START_OFFSET;
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

    /// Records that a request was answered completely; returns whether that removed any crashes.
    pub fn record_success(&mut self, now: Duration, request: RequestKey) -> bool {
        let histories = self.histories.get_mut(&request.workspace);
        let Some(history) = histories.and_then(|it| it.get_mut(&request.fingerprint)) else {
            return false;
        };
        let is_news = history.record_success(now + START_OFFSET);
        if is_news {
            history.mark_local();
        }
        is_news
    }

    /// Lifts the quarantine of a request and removes its crashes; returns the request if there were
    /// any.
    pub fn lift(&mut self, now: Duration, fingerprint: Fingerprint) -> Option<RequestKey> {
        let request =
            all(&self.histories).map(|it| it.0).find(|it| it.fingerprint == fingerprint)?;
        self.record_success(now, request).then_some(request)
    }

    /// Merges reports from another host or the store; returns the requests that are quarantined as
    /// a result.
    pub fn merge(&mut self, now: Duration, suspects: &[wire::Suspect]) -> Vec<QuarantineEntry> {
        let now = now + START_OFFSET;
        let attributed = self.attributed.clone();
        let request = |it: &wire::Suspect| RequestKey {
            workspace: it.workspace,
            fingerprint: it.fingerprint,
        };
        let res = suspects.iter().filter_map(|it| {
            self.update(now, request(it), |history| {
                if history.merge(now, it, &attributed) {
                    history.mark_remote();
                }
            })
        });
        let res: Vec<QuarantineEntry> = res.collect();
        let requests: Vec<RequestKey> = suspects.iter().map(request).collect();
        self.attribute_crashes(&requests);
        res
    }

    /// Returns the suspects to send in this host's digest with the given sequence number.
    pub fn suspects_for_digest(
        &mut self,
        now: Duration,
        topology: &GossipTopology,
        sequence: u64,
    ) -> Vec<wire::Suspect> {
        let scope = match topology.digest_scope(sequence) {
            DigestScope::Changes => Scope::Local,
            DigestScope::Full => Scope::Full,
        };
        self.collect_suspects(now + START_OFFSET, scope)
    }

    /// Returns the suspects to send in the summary of this host's data centre.
    pub fn suspects_for_summary(&mut self, now: Duration) -> Vec<wire::Suspect> {
        self.collect_suspects(now + START_OFFSET, Scope::Summary)
    }

    /// Returns all quarantined requests.
    pub fn entries(&self, now: Duration) -> Vec<QuarantineEntry> {
        let now = now + START_OFFSET;
        all(&self.histories).filter_map(|(request, it)| entry(request, it, now)).collect()
    }

    /// Encodes a request with its crashes for the store.
    pub fn suspect(&self, now: Duration, request: RequestKey) -> Option<wire::Suspect> {
        Some(self.history(request)?.to_wire(now + START_OFFSET, request))
    }

    /// Returns the number of crashes that count against a request.
    pub fn n_crashes(&self, request: RequestKey) -> usize {
        self.history(request).map_or(0, CrashHistory::n_crashes)
    }

    /// Returns whether an upstream crashed under a request that may run.
    pub fn is_suspect(&self, now: Duration, request: RequestKey) -> bool {
        0 < self.n_crashes(request) && self.entry(now, request).is_none()
    }

    /// Returns the requests under which upstreams crashed, those with most crashes first, as many
    /// as a digest carries.
    pub fn suspects(&self, f: impl Fn(RequestKey) -> bool) -> Vec<RequestKey> {
        let suspects = all(&self.histories).filter(|it| 0 < it.1.n_crashes() && f(it.0));
        let mut res: Vec<_> = suspects.map(|it| (Reverse(it.1.n_crashes()), it.0)).collect();
        res.sort();
        res.into_iter().take(MAX_PER_DIGEST).map(|it| it.1).collect()
    }

    /// Returns the number of requests with crashes.
    pub fn n_suspects(&self) -> usize {
        all(&self.histories).filter(|it| 0 < it.1.n_crashes()).count()
    }

    fn history(&self, request: RequestKey) -> Option<&CrashHistory> {
        self.histories.get(&request.workspace)?.get(&request.fingerprint)
    }

    fn collect_suspects(&mut self, now: Duration, scope: Scope) -> Vec<wire::Suspect> {
        self.prune(now);
        let mut suspects: Vec<(RequestKey, &mut CrashHistory)> = all_mut(&mut self.histories)
            .filter(|(_, it)| {
                let is_full = scope != Scope::Local;
                0 < it.n_sends_left(scope) || is_full && it.remaining(now).is_some()
            })
            .collect();
        if MAX_PER_DIGEST < suspects.len() {
            // Suspects sent least often go first, of these the ones with most crashes; the others
            // rotate. When all changed suspects ranked alike, however often they had been sent, one
            // of 300 that became known together was not sent for three seconds.
            self.rotation = (self.rotation + MAX_PER_DIGEST) % suspects.len();
            suspects.rotate_left(self.rotation);
            suspects.sort_by_key(|it| Reverse((it.1.n_sends_left(scope), it.1.n_crashes())));
        }
        let send = |(request, history): (RequestKey, &mut CrashHistory)| {
            history.mark_sent(scope);
            history.to_wire(now, request)
        };
        suspects.into_iter().take(MAX_PER_DIGEST).map(send).collect()
    }

    /// Updates the history of a request; returns its entry if it is quarantined as a result.
    fn update(
        &mut self,
        now: Duration,
        request: RequestKey,
        f: impl FnOnce(&mut CrashHistory),
    ) -> Option<QuarantineEntry> {
        let history = self.history_mut(now, request);
        let was_quarantined = history.remaining(now).is_some();
        f(history);
        entry(request, history, now).filter(|_| !was_quarantined)
    }

    /// Attributes the crashes of those of `requests` that are over the threshold to them, and
    /// removes these crashes from all other requests.
    ///
    /// **NOTE:** Call only after all requests at the upstream have been recorded: of two
    /// requests with the same crashes, neither clears the other.
    fn attribute_crashes(&mut self, requests: &[RequestKey]) {
        let over_threshold =
            requests.iter().filter_map(|it| self.history(*it)).filter(|it| it.is_over_threshold());
        let new: Vec<u32> = over_threshold
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

    /// Returns the history of a request, created if missing; evicts another one if its workspace
    /// has too many.
    fn history_mut(&mut self, now: Duration, request: RequestKey) -> &mut CrashHistory {
        let histories = self.histories.entry(request.workspace).or_default();
        if !histories.contains_key(&request.fingerprint) && MAX_PER_WORKSPACE <= histories.len() {
            let evicted = histories
                .iter()
                .min_by_key(|it| {
                    (it.1.remaining(now).is_some(), it.1.n_crashes(), it.1.last_crash())
                })
                .map(|it| *it.0);
            if let Some(it) = evicted {
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

/// Crash histories by workspace and fingerprint.
///
/// Ordered, so that the digests of a process depend only on what it has recorded.
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
