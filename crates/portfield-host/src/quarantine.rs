//! Quarantine of requests that crash upstreams: what this host observes, and what it refuses.

use std::time::Duration;

use portfield::{
    catalog::Upstream,
    gossip::GossipTopology,
    quarantine::{Fingerprint, QuarantineEntry, RequestKey},
};
use portfield_net::clock;
use portfield_wire::{Digest, Suspect};

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
    let entries = host.quarantine().record_crash(clock::now(), requests, upstream.wire_id());
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
    let entries = host.quarantine().merge(clock::now(), suspects);
    entries.iter().for_each(|it| record_quarantine(host, it, source));
}

/// Adds this host's suspects to its own digest.
pub(crate) fn fill_digest(host: &Host, topology: &GossipTopology, digest: &mut Digest) {
    digest.suspects =
        host.quarantine().suspects_for_digest(clock::now(), topology, digest.sequence);
}

/// Adds the suspects known in this data centre to its summary.
pub(crate) fn fill_summary(host: &Host, digest: &mut Digest) {
    digest.suspects = host.quarantine().suspects_for_summary(clock::now());
}

/// Returns the next whole number of seconds after `time`, as reported to callers.
pub(crate) fn whole_seconds(time: Duration) -> Duration {
    Duration::from_secs(time.as_secs() + 1)
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
