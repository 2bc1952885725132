//! Crash histories of all suspects, shared by the fleet.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    crash_history::{Attribution, CRASH_THRESHOLD, Crash, CrashHistory, CrashedRun, Scope},
    fingerprint::Fingerprint,
    key::{RequestKeys, SuspectKey, SuspectKind},
    recent_successes::RecentSuccesses,
};
use crate::{digest_scope::DigestScope, gossip::GossipTopology, wire};

/// Suspects per digest, of some 50 bytes each. A crash of an engine breaks some twenty requests at
/// nine hosts.
const MAX_PER_DIGEST: usize = 24;
/// Requests remembered per workspace, so that a workspace with many lethal requests only evicts its
/// own.
const MAX_PER_WORKSPACE: usize = 64;
/// Prompt parts remembered per service. Parts that requests succeed with are not among them.
const MAX_PER_SERVICE: usize = 512;
/// Upstreams remembered whose crashes are attributed to quarantined suspects.
const MAX_ATTRIBUTED: usize = 256;
/// Time between two removals of expired histories.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);
/// Time of the process start on the internal clock, so that events before the start have a time
/// too.
const START_OFFSET: Duration = Duration::from_secs(3600);

/// A quarantined request or prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The request or part.
    pub key: SuspectKey,
    /// Upstreams that crashed while running it, as far as remembered.
    pub n_crashes: usize,
    /// Time until it may run again.
    pub remaining: Duration,
    /// Whether this host saw one of the crashes itself.
    pub is_local: bool,
}

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may, as any other request.
    Allowed,
    /// It may if no other request with the same suspect runs.
    Trial,
    /// It is quarantined, as a whole or for a part of its prompt.
    Refused(QuarantineEntry),
}

/// An upstream that crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashedUpstream {
    /// Wire id of the incarnation.
    pub id: u32,
    /// Hash of its software version.
    pub version: u32,
}

/// Requests and prompt parts that crash upstreams, as known to all hosts together.
///
/// One request among thousands may crash each upstream that runs it, while its caller sends it
/// again and again, to any host. Each crash breaks all requests at that upstream. Each host records
/// which of its own requests an upstream was running when it crashed, and reports them to the
/// others; crashes of different upstreams add up, even if three hosts saw one each. Two rules clear
/// the innocent requests: a success removes earlier crashes, and a crash attributed to a
/// quarantined request does not count against others.
///
/// Requests that differ otherwise may crash upstreams by a part that their prompts have in common. So
/// each crash also counts against the parts of the requests that it broke, unless a request with the
/// part succeeded shortly before at any host. Where two parts account for the same crashes, a
/// request that has only one of them runs on trial, and decides.
///
/// # Examples
///
/// ```
/// use portfield::quarantine::{Quarantine, SuspectKey};
/// use std::time::Duration;
///
/// let request = SuspectKey::request(7, 1);
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
    /// Crashes attributed to a quarantined suspect, newest last; they do not count against others.
    attributed: VecDeque<Attribution>,
    recent: RecentSuccesses,
    pruned_at: Duration,
    /// Offset of the rotation among suspects, if they do not all fit into a digest.
    rotation: usize,
}

impl Quarantine {
    /// Returns the quarantine entry of a suspect, `None` if it may run.
    pub fn entry(&self, now: Duration, key: SuspectKey) -> Option<QuarantineEntry> {
        entry(key, self.history(key)?, now + START_OFFSET)
    }

    /// Returns whether a request may be sent to an upstream.
    pub fn verdict(&self, now: Duration, keys: &RequestKeys) -> Verdict {
        if self.histories.is_empty() {
            return Verdict::Allowed;
        }
        if let Some(it) = self.entry(now, keys.request) {
            return Verdict::Refused(it);
        }
        let mut entries = keys.parts.iter().filter_map(|it| self.entry(now, *it));
        if let Some(it) = entries.find(|it| self.is_to_blame(it.key, keys)) {
            return Verdict::Refused(it);
        }
        if self.keys_on_trial(keys).next().is_some() { Verdict::Trial } else { Verdict::Allowed }
    }

    /// Returns the suspects of a request of which only one copy may run at a time.
    pub fn keys_on_trial(&self, keys: &RequestKeys) -> impl Iterator<Item = SuspectKey> {
        keys.all().filter(|it| self.history(*it).is_some_and(CrashHistory::is_on_trial))
    }

    /// Returns whether a quarantined part of a request is the likely cause of its crashes.
    ///
    /// It is not while another part that the request does not have accounts for them as well.
    fn is_to_blame(&self, part: SuspectKey, keys: &RequestKeys) -> bool {
        let Some(history) = self.history(part) else { return false };
        let is_alternative = |(key, other): (SuspectKey, &CrashHistory)| {
            !keys.parts.contains(&key) && other.is_over_threshold() && other.covers(history)
        };
        history.concerns(keys.request.owner) && !of_owner(&self.histories, part).any(is_alternative)
    }

    /// Returns whether one more crash quarantines a suspect that may run.
    pub fn is_one_crash_away(&self, now: Duration, key: SuspectKey) -> bool {
        self.history(key).is_some_and(|it| {
            CRASH_THRESHOLD <= it.n_crashes() + 1 && it.remaining(now + START_OFFSET).is_none()
        })
    }

    /// Returns whether other requests at the upstream of a request are at risk: one more crash
    /// quarantines it, or it runs for a part on trial.
    pub fn needs_isolation(&self, now: Duration, keys: &RequestKeys) -> bool {
        self.is_one_crash_away(now, keys.request) || self.keys_on_trial(keys).any(|it| it.is_part())
    }

    /// Records that an upstream crashed while running requests of this host; returns the suspects
    /// that are quarantined as a result.
    pub fn record_crashed_runs<'a>(
        &mut self,
        now: Duration,
        runs: impl IntoIterator<Item = &'a RequestKeys> + Clone,
        upstream: CrashedUpstream,
    ) -> Vec<QuarantineEntry> {
        let requests: Vec<SuspectKey> = runs.clone().into_iter().map(|it| it.request).collect();
        let mut res = self.record_crash(now, &requests, upstream.id);
        let now = now + START_OFFSET;
        let mut parts = Vec::new();
        for keys in runs {
            let run = CrashedRun::new(keys, upstream.version);
            let crash = Crash { upstream: upstream.id, at: now, run };
            let suspects = keys.parts.iter().copied();
            let suspects = suspects
                .filter(|it| self.recent.before(now, *it, upstream.version).is_none())
                .collect::<Vec<_>>();
            res.extend(suspects.iter().filter_map(|it| self.add_local_crash(*it, crash)));
            parts.extend(suspects);
        }
        self.attribute_crashes(&parts);
        res
    }

    /// Records that an upstream crashed while running `requests` of this host; returns those that
    /// are quarantined as a result.
    pub fn record_crash(
        &mut self,
        now: Duration,
        requests: &[SuspectKey],
        upstream: u32,
    ) -> Vec<QuarantineEntry> {
        let crash = Crash { upstream, at: now + START_OFFSET, run: CrashedRun::default() };
        let res = requests.iter().filter_map(|it| self.add_local_crash(*it, crash));
        let res: Vec<QuarantineEntry> = res.collect();
        self.attribute_crashes(requests);
        res
    }

    /// Adds a crash that this host saw; returns the suspect if it is quarantined as a result.
    fn add_local_crash(&mut self, key: SuspectKey, crash: Crash) -> Option<QuarantineEntry> {
        let is_explained = self.attributed.iter().any(|it| it.explains(&crash, key.kind));
        self.update(crash.at, key, |history| {
            if (history.is_over_threshold() || !is_explained) && history.add_crash(crash) {
                history.mark_local();
            }
        })
    }

    /// Records that a request was answered completely; returns whether that removed any crashes.
    pub fn record_success(&mut self, now: Duration, request: SuspectKey) -> bool {
        self.update_known(request, |it| it.record_success(0, now + START_OFFSET))
    }

    /// Records that a request with a part was answered completely by an upstream with this software
    /// version; returns whether that removed any crashes.
    pub fn record_part_success(&mut self, now: Duration, part: SuspectKey, version: u32) -> bool {
        let now = now + START_OFFSET;
        self.recent.record(now, part, version);
        self.update_known(part, |it| it.record_success(version, now))
    }

    /// Lifts the quarantine of a request or part and removes its crashes; returns its key if there
    /// were any.
    pub fn lift(&mut self, now: Duration, fingerprint: Fingerprint) -> Option<SuspectKey> {
        let key = all(&self.histories).map(|it| it.0).find(|it| it.fingerprint == fingerprint)?;
        self.update_known(key, |it| it.lift(now + START_OFFSET)).then_some(key)
    }

    /// Updates a history if there is one, and tells other hosts if `f` returns that it changed;
    /// returns whether it did.
    fn update_known(&mut self, key: SuspectKey, f: impl FnOnce(&mut CrashHistory) -> bool) -> bool {
        let histories = self.histories.get_mut(&(key.kind, key.owner));
        let Some(history) = histories.and_then(|it| it.get_mut(&key.fingerprint)) else {
            return false;
        };
        let is_news = f(history);
        if is_news {
            history.mark_local();
        }
        is_news
    }

    /// Merges reports from another host or the store; returns the suspects that are quarantined as
    /// a result.
    pub fn merge(&mut self, now: Duration, suspects: &[wire::Suspect]) -> Vec<QuarantineEntry> {
        let now = now + START_OFFSET;
        let attributed = self.attributed.clone();
        let res = suspects.iter().filter_map(|it| {
            let key = SuspectKey::from(it);
            let res = self.update(now, key, |history| {
                if history.merge(now, it, &attributed) {
                    history.mark_remote();
                }
            });
            let is_cleared = self.clear_by_own_successes(now, it);
            res.filter(|_| !is_cleared)
        });
        let res: Vec<QuarantineEntry> = res.collect();
        let keys: Vec<SuspectKey> = suspects.iter().map(SuspectKey::from).collect();
        self.attribute_crashes(&keys);
        res
    }

    /// Clears a reported part where a success at this host speaks against its crashes, and tells
    /// the other hosts; returns whether it did.
    fn clear_by_own_successes(&mut self, now: Duration, suspect: &wire::Suspect) -> bool {
        let part = SuspectKey::from(suspect);
        let ends = suspect.ends.iter().filter(|_| part.is_part());
        let successes: Vec<(u32, Duration)> = ends
            .filter_map(|it| {
                let at = now.saturating_sub(Duration::from_millis(u64::from(it.age)));
                Some((it.version, self.recent.before(at, part, it.version)?))
            })
            .collect();
        self.update_known(part, |history| {
            for &(version, at) in &successes {
                history.record_success(version, at);
            }
            !successes.is_empty()
        })
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

    /// Returns all quarantined requests and parts.
    pub fn entries(&self, now: Duration) -> Vec<QuarantineEntry> {
        let now = now + START_OFFSET;
        all(&self.histories).filter_map(|(key, it)| entry(key, it, now)).collect()
    }

    /// Encodes a suspect with its crashes for the store.
    pub fn suspect(&self, now: Duration, key: SuspectKey) -> Option<wire::Suspect> {
        Some(self.history(key)?.to_wire(now + START_OFFSET, key))
    }

    /// Returns the number of crashes that count against a suspect.
    pub fn n_crashes(&self, key: SuspectKey) -> usize {
        self.history(key).map_or(0, CrashHistory::n_crashes)
    }

    /// Returns whether an upstream crashed under a request that may run.
    pub fn is_suspect(&self, now: Duration, request: SuspectKey) -> bool {
        0 < self.n_crashes(request) && self.entry(now, request).is_none()
    }

    /// Returns the suspects that run one at a time, those with most crashes first, as many as a
    /// digest carries.
    pub fn suspects(&self, f: impl Fn(SuspectKey) -> bool) -> Vec<SuspectKey> {
        let suspects = all(&self.histories).filter(|it| it.1.is_on_trial() && f(it.0));
        let mut res: Vec<_> = suspects.map(|it| (Reverse(it.1.n_crashes()), it.0)).collect();
        res.sort();
        res.into_iter().take(MAX_PER_DIGEST).map(|it| it.1).collect()
    }

    /// Returns the number of requests with crashes.
    pub fn n_suspects(&self) -> usize {
        self.n_with_crashes(SuspectKind::Request)
    }

    /// Returns the number of prompt parts with crashes.
    pub fn n_suspect_parts(&self) -> usize {
        self.n_with_crashes(SuspectKind::Part)
    }

    /// Returns the number of parts whose latest success was forgotten for want of space.
    pub fn n_successes_evicted(&self) -> u64 {
        self.recent.n_evicted()
    }

    fn n_with_crashes(&self, kind: SuspectKind) -> usize {
        let suspects = all(&self.histories);
        suspects.filter(|it| it.0.kind == kind && 0 < it.1.n_crashes()).count()
    }

    fn history(&self, key: SuspectKey) -> Option<&CrashHistory> {
        self.histories.get(&(key.kind, key.owner))?.get(&key.fingerprint)
    }

    fn collect_suspects(&mut self, now: Duration, scope: Scope) -> Vec<wire::Suspect> {
        self.prune(now);
        let mut suspects: Vec<(SuspectKey, &mut CrashHistory)> = all_mut(&mut self.histories)
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
        let send = |(key, history): (SuspectKey, &mut CrashHistory)| {
            history.mark_sent(scope);
            history.to_wire(now, key)
        };
        suspects.into_iter().take(MAX_PER_DIGEST).map(send).collect()
    }

    /// Updates the history of a suspect; returns its entry if it is quarantined as a result.
    fn update(
        &mut self,
        now: Duration,
        key: SuspectKey,
        f: impl FnOnce(&mut CrashHistory),
    ) -> Option<QuarantineEntry> {
        let history = self.history_mut(now, key);
        let was_quarantined = history.remaining(now).is_some();
        f(history);
        entry(key, history, now).filter(|_| !was_quarantined)
    }

    /// Attributes the crashes of those of `keys` that are over the threshold to them, and removes
    /// these crashes from all other suspects.
    ///
    /// **NOTE:** Call only after all suspects of a kind at the upstream have been recorded: of two
    /// with the same crashes, neither clears the other.
    fn attribute_crashes(&mut self, keys: &[SuspectKey]) {
        let mut new = Vec::new();
        for &cause in keys {
            let Some(history) = self.history(cause).filter(|it| it.is_over_threshold()) else {
                continue;
            };
            let attributions = history.upstreams().map(|upstream| Attribution { upstream, cause });
            new.extend(attributions.filter(|it| !self.attributed.contains(it)));
        }
        if new.is_empty() {
            return;
        }
        for (_, history) in all_mut(&mut self.histories) {
            new.iter().for_each(|it| history.drop_crash(it.upstream, it.cause));
        }
        self.attributed.extend(new);
        let n_old = self.attributed.len().saturating_sub(MAX_ATTRIBUTED);
        self.attributed.drain(..n_old);
    }

    /// Returns the history of a suspect, created if missing; evicts another one if its workspace or
    /// service has too many.
    fn history_mut(&mut self, now: Duration, key: SuspectKey) -> &mut CrashHistory {
        let histories = self.histories.entry((key.kind, key.owner)).or_default();
        let max = if key.is_part() { MAX_PER_SERVICE } else { MAX_PER_WORKSPACE };
        if !histories.contains_key(&key.fingerprint) && max <= histories.len() {
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
        histories.entry(key.fingerprint).or_insert_with(|| CrashHistory::new(key.kind))
    }

    fn prune(&mut self, now: Duration) {
        if now < self.pruned_at + PRUNE_PERIOD {
            return;
        }
        self.pruned_at = now;
        self.recent.prune(now);
        for histories in self.histories.values_mut() {
            histories.retain(|_, it| !it.is_expired(now));
        }
        self.histories.retain(|_, it| !it.is_empty());
    }
}

fn entry(key: SuspectKey, history: &CrashHistory, now: Duration) -> Option<QuarantineEntry> {
    let remaining = history.remaining(now)?;
    Some(QuarantineEntry {
        key,
        n_crashes: history.n_crashes(),
        remaining,
        is_local: history.is_local(),
    })
}

/// Crash histories by fingerprint, of each workspace's requests and each service's parts.
///
/// Ordered, so that the digests of a process depend only on what it has recorded.
type Histories = BTreeMap<(SuspectKind, u32), BTreeMap<Fingerprint, CrashHistory>>;

fn all(histories: &Histories) -> impl Iterator<Item = (SuspectKey, &CrashHistory)> {
    histories.iter().flat_map(|(&(kind, owner), it)| {
        it.iter().map(move |(&fingerprint, it)| (SuspectKey { kind, owner, fingerprint }, it))
    })
}

fn all_mut(histories: &mut Histories) -> impl Iterator<Item = (SuspectKey, &mut CrashHistory)> {
    histories.iter_mut().flat_map(|(&(kind, owner), it)| {
        it.iter_mut().map(move |(&fingerprint, it)| (SuspectKey { kind, owner, fingerprint }, it))
    })
}

/// Returns the histories of the suspects with the same kind and owner as `key`.
fn of_owner(
    histories: &Histories,
    key: SuspectKey,
) -> impl Iterator<Item = (SuspectKey, &CrashHistory)> {
    let all = histories.get(&(key.kind, key.owner)).into_iter().flatten();
    all.map(move |(&fingerprint, it)| (SuspectKey { fingerprint, ..key }, it))
}
