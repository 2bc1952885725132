//! Quarantine of requests that crash upstreams: what this host observes, and what it refuses.

use std::{sync::Arc, time::Duration};

use portfield::{
    catalog::Upstream,
    gossip::GossipTopology,
    quarantine::{CopyId, Fingerprint, QuarantineEntry, RequestKey},
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

/// Registers a running copy of a request until dropped.
#[derive(Debug)]
pub(crate) struct CopyGuard {
    host: Arc<Host>,
    request: RequestKey,
    id: CopyId,
}

impl CopyGuard {
    /// Registers a copy; if it is a suspect, tells the other hosts at once.
    pub(crate) fn start(host: &Arc<Host>, call: &Call) -> Self {
        let (now, request) = (clock::now(), call.quarantine_key());
        let id = host.running_copies().start(now, request);
        if is_suspect(host, call) {
            host.digest_due.notify(1);
        }
        Self { host: host.clone(), request, id }
    }
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        self.host.running_copies().end(self.request, self.id);
    }
}

/// Returns whether an upstream crashed under a request that may run.
pub(crate) fn is_suspect(host: &Host, call: &Call) -> bool {
    host.quarantine().is_suspect(clock::now(), call.quarantine_key())
}

/// Returns whether a request is suspected of crashing upstreams and another copy of it runs. `own`
/// is the copy that is to be sent, `None` if it has not started.
pub(crate) fn is_held_back(host: &Host, call: &Call, own: Option<&CopyGuard>) -> bool {
    let (now, request) = (clock::now(), call.quarantine_key());
    host.quarantine().is_suspect(now, request)
        && host.running_copies().is_held_back(now, request, own.map(|it| it.id))
}

/// Records that an attempt of a request broke; returns whether to check that its upstream is still
/// alive.
pub(crate) fn record_broken_attempt(host: &Host, call: &Call, upstream: &Upstream) -> bool {
    // A draining upstream may end with requests still running, and a host that was suspended may
    // not know that it drains.
    if !host.has_fresh_state() || !host.with_list(|it| it.directory.get_ready(upstream).is_some()) {
        return false;
    }
    let has_ended = host.broken_attempts().record_break(
        clock::now(),
        call.quarantine_key(),
        upstream.wire_id(),
    );
    if has_ended {
        add_suspects(host, &[call.quarantine_key()], upstream);
    }
    !has_ended
}

/// Records that an upstream ended.
pub(crate) fn record_upstream_end(host: &Host, upstream: &Upstream, how: EndEvidence) {
    let requests = host.broken_attempts().record_crash(clock::now(), upstream.wire_id());
    if requests.is_empty() {
        return;
    }
    let logged = requests.iter().take(MAX_LOGGED).map(|it| it.fingerprint_hex());
    let fingerprints = logged.collect::<Vec<_>>().join(" ");
    log::warn!(
        upstream = upstream.entry.id, how:?, n = requests.len(), fingerprints; "upstream ended"
    );
    host.metrics.count("upstreams_ended");
    add_suspects(host, &requests, upstream);
}

/// Records that an upstream crashed under some requests.
fn add_suspects(host: &Host, requests: &[RequestKey], upstream: &Upstream) {
    let changes = Changes::of(host, requests.iter().copied());
    let entries = host.quarantine().record_crash(clock::now(), requests, upstream.wire_id());
    if changes.log(host, QuarantineSource::Own) {
        host.digest_due.notify(1);
    }
    entries.iter().for_each(|it| record_quarantine(host, it, QuarantineSource::Own));
}

/// Records that a request got a complete response, which clears it of suspicion.
pub(crate) fn record_success(host: &Host, call: &Call) {
    if host.quarantine().record_success(clock::now(), call.quarantine_key()) {
        log::info!(
            request = call.id, fingerprint = call.quarantine_key().fingerprint_hex();
            "request cleared of suspicion"
        );
    }
}

/// Lifts the quarantine of a request; returns whether it was suspected at all.
pub(crate) fn lift(host: &Host, fingerprint: Fingerprint) -> bool {
    let lifted = host.quarantine().lift(clock::now(), fingerprint);
    let Some(request) = lifted else { return false };
    log::warn!(fingerprint = request.fingerprint_hex(); "quarantine lifted");
    host.persist_quarantine(request);
    true
}

/// Merges suspects reported by another host or the store.
pub(crate) fn merge_suspects(host: &Host, suspects: &[Suspect], source: QuarantineSource) {
    if suspects.is_empty() {
        return;
    }
    let key = |it: &Suspect| RequestKey { workspace: it.workspace, fingerprint: it.fingerprint };
    let changes = Changes::of(host, suspects.iter().map(key));
    let entries = host.quarantine().merge(clock::now(), suspects);
    // The leader relays other hosts' digests and tells them to other data centres.
    if changes.log(host, source) && host.topology().is_leader() {
        host.digest_due.notify(1);
    }
    entries.iter().for_each(|it| record_quarantine(host, it, source));
}

/// Records which suspects another host is running.
pub(crate) fn record_running(host: &Host, digest: &Digest) {
    let key =
        |it: &RunningSuspect| RequestKey { workspace: it.workspace, fingerprint: it.fingerprint };
    let requests = digest.running.iter().map(key).collect();
    host.running_copies().record_report(clock::now(), digest.host, requests);
}

/// Adds this host's suspects to its own digest.
pub(crate) fn fill_digest(host: &Host, topology: &GossipTopology, digest: &mut Digest) {
    let now = clock::now();
    let mut quarantine = host.quarantine();
    digest.suspects = quarantine.suspects_for_digest(now, topology, digest.sequence);
    let copies = host.running_copies();
    let running = quarantine.suspects(|it| copies.is_running(now, it));
    let to_wire =
        |it: RequestKey| RunningSuspect { fingerprint: it.fingerprint, workspace: it.workspace };
    digest.running = running.into_iter().map(to_wire).collect();
}

/// Adds the suspects known in this data centre to its summary.
pub(crate) fn fill_summary(host: &Host, digest: &mut Digest) {
    digest.suspects = host.quarantine().suspects_for_summary(clock::now());
}

/// Returns the next whole number of seconds after `time`, as reported to callers.
pub(crate) fn whole_seconds(time: Duration) -> Duration {
    Duration::from_secs(time.as_secs() + 1)
}

/// Numbers of crashes known of some requests, compared before and after an update.
struct Changes(Vec<(RequestKey, usize)>);

impl Changes {
    fn of(host: &Host, requests: impl Iterator<Item = RequestKey>) -> Self {
        let quarantine = host.quarantine();
        Self(requests.map(|it| (it, quarantine.n_crashes(it))).collect())
    }

    /// Logs the requests of which more crashes are known by now; returns whether there are any.
    fn log(self, host: &Host, source: QuarantineSource) -> bool {
        let mut has_news = false;
        for (request, before) in self.0 {
            let n_ends = host.quarantine().n_crashes(request);
            if before < n_ends {
                has_news = true;
                let fingerprint = request.fingerprint_hex();
                log::info!(fingerprint, n_ends, source:?; "request suspected");
            }
        }
        has_news
    }
}

fn record_quarantine(host: &Host, it: &QuarantineEntry, source: QuarantineSource) {
    log::warn!(
        fingerprint = it.request.fingerprint_hex(), workspace_hash = it.request.workspace,
        n_ends = it.n_crashes, left_s = it.remaining.as_secs(), source:?; "request quarantined"
    );
    host.metrics.count("requests_quarantined");
    if it.is_local {
        host.persist_quarantine(it.request);
    }
}
