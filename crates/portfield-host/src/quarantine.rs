//! Quarantine of requests and prompt parts that crash upstreams: what this host observes, and what it
//! refuses.

use std::{sync::Arc, time::Duration};

use portfield::{
    catalog::Upstream,
    gossip::GossipTopology,
    quarantine::{
        CopyId, CrashedUpstream, Fingerprint, QuarantineEntry, RequestKeys, SuspectKey,
        SuspectKind, Verdict,
    },
};
use portfield_net::clock;
use portfield_wire::{Digest, RunningSuspect, Suspect};

use crate::{call::Call, state::Host};

/// Maximum number of request fingerprints in a log line.
const MAX_LOGGED: usize = 20;

/// How it was noticed that an upstream ended.
///
/// A missing list entry is no evidence: the entries of a partitioned data centre expire too, while
/// its upstreams keep running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndEvidence {
    /// Its address refuses connections.
    Refused,
    /// Another upstream responds at its address.
    Replaced,
    /// Its list entry belongs to another incarnation.
    Reborn,
}

/// Origin of a quarantine entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuarantineSource {
    /// This host observed the last of the crashes that led to it.
    Own,
    /// Another host's digest.
    Host,
    /// The store, read after this host's start or while a data centre is unreachable.
    Store,
}

/// Registers a running copy of a request, and of the parts of its prompt, until dropped.
#[derive(Debug)]
pub(crate) struct CopyGuard {
    host: Arc<Host>,
    keys: Arc<RequestKeys>,
    id: CopyId,
}

impl CopyGuard {
    /// Registers a copy; if it is a suspect, tells the other hosts at once.
    pub(crate) fn start(host: &Arc<Host>, call: &Call) -> Self {
        let id = host.running_copies().start(clock::now(), call.keys.all());
        if is_suspect(host, call) {
            host.digest_due.notify(1);
        }
        Self { host: host.clone(), keys: call.keys.clone(), id }
    }
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        self.host.running_copies().end(self.keys.all(), self.id);
    }
}

/// Returns whether upstreams crashed under a request that may run, or under parts of its prompt.
pub(crate) fn is_suspect(host: &Host, call: &Call) -> bool {
    host.quarantine().verdict(clock::now(), &call.keys) == Verdict::Trial
}

/// Returns whether a request, or a part of its prompt, is quarantined.
pub(crate) fn is_refused(host: &Host, call: &Call) -> bool {
    matches!(host.quarantine().verdict(clock::now(), &call.keys), Verdict::Refused(_))
}

/// Returns whether a request is suspected of crashing upstreams and another copy of it, or another
/// request with the suspected part, runs. `own` is the copy that is to be sent, `None` if it has not
/// started.
pub(crate) fn is_held_back(host: &Host, call: &Call, own: Option<&CopyGuard>) -> bool {
    let (now, quarantine) = (clock::now(), host.quarantine());
    if quarantine.verdict(now, &call.keys) != Verdict::Trial {
        return false;
    }
    let (copies, own) = (host.running_copies(), own.map(|it| it.id));
    quarantine.keys_on_trial(&call.keys).any(|it| copies.is_held_back(now, it, own))
}

/// Records that an attempt of a request broke; returns whether to check that its upstream is still
/// alive.
pub(crate) fn record_broken_attempt(host: &Host, call: &Call, upstream: &Upstream) -> bool {
    // A draining upstream may end with requests still running, and a host that was suspended may
    // not know that it drains.
    if !host.has_fresh_state() || !host.with_list(|it| it.directory.get_ready(upstream).is_some()) {
        return false;
    }
    let keys = &call.keys;
    let has_ended =
        host.broken_attempts().record_break(clock::now(), keys.clone(), upstream.wire_id());
    if has_ended {
        add_suspects(host, std::slice::from_ref(keys), upstream);
    }
    !has_ended
}

/// Records that an upstream ended.
pub(crate) fn record_upstream_end(host: &Host, upstream: &Upstream, how: EndEvidence) {
    let runs = host.broken_attempts().record_crash(clock::now(), upstream.wire_id());
    if runs.is_empty() {
        return;
    }
    let text = |keys: &[SuspectKey]| {
        let logged = keys.iter().take(MAX_LOGGED).map(SuspectKey::fingerprint_hex);
        logged.collect::<Vec<_>>().join(" ")
    };
    let requests: Vec<SuspectKey> = runs.iter().map(|it| it.request).collect();
    let mut parts: Vec<SuspectKey> = runs.iter().flat_map(|it| it.parts.iter().copied()).collect();
    parts.sort_unstable();
    parts.dedup();
    log::warn!(
        upstream = upstream.entry.id, software = upstream.entry.software_version, how:?,
        n = runs.len(), fingerprints = text(&requests), parts = text(&parts); "upstream ended"
    );
    host.metrics.count("upstreams_ended");
    add_suspects(host, &runs, upstream);
}

/// Records that an upstream crashed under some requests.
fn add_suspects(host: &Host, runs: &[Arc<RequestKeys>], upstream: &Upstream) {
    let changes = Changes::of(host, runs.iter().flat_map(|it| it.all()));
    let crashed = CrashedUpstream { id: upstream.wire_id(), version: version(upstream) };
    let runs = runs.iter().map(|it| &**it);
    let entries = host.quarantine().record_crashed_runs(clock::now(), runs, crashed);
    if changes.log(host, QuarantineSource::Own) {
        host.digest_due.notify(1);
    }
    entries.iter().for_each(|it| record_quarantine(host, it, QuarantineSource::Own));
}

/// Returns the hash of an upstream's software version in crash histories.
fn version(upstream: &Upstream) -> u32 {
    upstream.version_hash() as u32
}

/// Records that a request got a complete response from an upstream that goes on, which clears it and
/// the parts of its prompt of suspicion.
pub(crate) fn record_success(host: &Host, id: &str, keys: &RequestKeys, upstream: &Upstream) {
    let (now, version) = (clock::now(), version(upstream));
    let mut cleared: Vec<SuspectKey> = Vec::new();
    {
        let mut quarantine = host.quarantine();
        if quarantine.record_success(now, keys.request) {
            cleared.push(keys.request);
        }
        for &it in &keys.parts {
            if quarantine.record_part_success(now, it, version) {
                cleared.push(it);
            }
        }
    }
    for it in cleared {
        let fingerprint = it.fingerprint_hex();
        match it.kind {
            SuspectKind::Request => {
                log::info!(request = id, fingerprint; "request cleared of suspicion");
            }
            SuspectKind::Part => {
                log::info!(request = id, part = fingerprint; "prompt part cleared of suspicion");
            }
        }
    }
}

/// Lifts the quarantine of a request or part; returns whether it was suspected at all.
pub(crate) fn lift(host: &Host, fingerprint: Fingerprint) -> bool {
    let lifted = host.quarantine().lift(clock::now(), fingerprint);
    let Some(key) = lifted else { return false };
    log::warn!(fingerprint = key.fingerprint_hex(); "quarantine lifted");
    host.persist_quarantine(key);
    true
}

/// Merges suspects reported by another host or the store.
pub(crate) fn merge_suspects(host: &Host, suspects: &[Suspect], source: QuarantineSource) {
    if suspects.is_empty() {
        return;
    }
    let changes = Changes::of(host, suspects.iter().map(SuspectKey::from));
    let entries = host.quarantine().merge(clock::now(), suspects);
    // The leader relays other hosts' digests and tells them to other data centres.
    if changes.log(host, source) && host.topology().is_leader() {
        host.digest_due.notify(1);
    }
    entries.iter().for_each(|it| record_quarantine(host, it, source));
}

/// Records which suspects another host is running.
pub(crate) fn record_running(host: &Host, digest: &Digest) {
    let requests = digest.running.iter().map(SuspectKey::from).collect();
    host.running_copies().record_report(clock::now(), digest.host, requests);
}

/// Adds this host's suspects to its own digest.
pub(crate) fn fill_digest(host: &Host, topology: &GossipTopology, digest: &mut Digest) {
    let now = clock::now();
    let mut quarantine = host.quarantine();
    digest.suspects = quarantine.suspects_for_digest(now, topology, digest.sequence);
    let copies = host.running_copies();
    let running = quarantine.suspects(|it| copies.is_running(now, it));
    digest.running = running.into_iter().map(RunningSuspect::from).collect();
}

/// Adds the suspects known in this data centre to its summary.
pub(crate) fn fill_summary(host: &Host, digest: &mut Digest) {
    digest.suspects = host.quarantine().suspects_for_summary(clock::now());
}

/// Returns the next whole number of seconds after `time`, as reported to callers.
pub(crate) fn whole_seconds(time: Duration) -> Duration {
    Duration::from_secs(time.as_secs() + 1)
}

/// Numbers of crashes known of some suspects, compared before and after an update.
struct Changes(Vec<(SuspectKey, usize)>);

impl Changes {
    fn of(host: &Host, keys: impl Iterator<Item = SuspectKey>) -> Self {
        let quarantine = host.quarantine();
        Self(keys.map(|it| (it, quarantine.n_crashes(it))).collect())
    }

    /// Logs the suspects of which more crashes are known by now; returns whether there are any.
    fn log(mut self, host: &Host, source: QuarantineSource) -> bool {
        self.0.sort_unstable();
        self.0.dedup_by_key(|it| it.0);
        let mut has_news = false;
        for (key, before) in self.0 {
            let n_ends = host.quarantine().n_crashes(key);
            if before < n_ends {
                has_news = true;
                let fingerprint = key.fingerprint_hex();
                match key.kind {
                    SuspectKind::Request => {
                        log::info!(fingerprint, n_ends, source:?; "request suspected");
                    }
                    SuspectKind::Part => {
                        log::info!(part = fingerprint, n_ends, source:?; "prompt part suspected");
                    }
                }
            }
        }
        has_news
    }
}

fn record_quarantine(host: &Host, it: &QuarantineEntry, source: QuarantineSource) {
    let (fingerprint, owner) = (it.key.fingerprint_hex(), it.key.owner);
    let (n_ends, left_s) = (it.n_crashes, it.remaining.as_secs());
    match it.key.kind {
        SuspectKind::Request => {
            log::warn!(
                fingerprint, workspace_hash = owner, n_ends, left_s, source:?; "request quarantined"
            );
            host.metrics.count("requests_quarantined");
        }
        SuspectKind::Part => {
            log::warn!(
                part = fingerprint, service_hash = owner, n_ends, left_s, source:?;
                "prompt part quarantined"
            );
            host.metrics.count("parts_quarantined");
        }
    }
    if it.is_local {
        host.persist_quarantine(it.key);
    }
}
