//! Requests that end upstreams: what this host sees of them, and what it refuses.

use std::time::Duration;

use portfield::{
    balance::GossipTopology,
    catalog::Upstream,
    quarantine::{Fingerprint, QuarantineEntry, RequestKey},
};
use portfield_net::clock;
use portfield_wire::{Digest, Suspect};

use crate::{call::Call, state::Host};

/// Most requests that a log line names.
const MAX_NAMED: usize = 20;

/// What shows that an upstream has ended.
///
/// That its entry is gone shows nothing: those of a data centre that is cut off go too, and the upstreams there
/// go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndEvidence {
    /// Nothing listens at its address.
    Refused,
    /// Another one answers there.
    Replaced,
    /// Another incarnation has its entry.
    Reborn,
}

/// Where a verdict comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VerdictSource {
    /// This host saw the last end that it takes.
    Own,
    /// Another host's digest.
    Host,
    /// The store: after this host's start, or while it misses a data centre.
    Store,
}

/// Notes that a run of a request broke; returns whether it is to be found out that its upstream is still there.
pub(crate) fn record_broken_run(host: &Host, call: &Call, upstream: &Upstream) -> bool {
    // One that leaves ends with whatever still runs there, and a host that stood still may not know that it does.
    if !host.has_fresh_state()
        || !host.with_list(|it| it.directory.ready().any(|it| it.hash == upstream.hash))
    {
        return false;
    }
    let is_ended =
        host.broken_runs().record_break(clock::now(), call.request(), upstream.wire_id());
    if is_ended {
        add_suspects(host, &[call.request()], upstream);
    }
    !is_ended
}

/// Notes that an upstream ended.
pub(crate) fn record_upstream_end(host: &Host, upstream: &Upstream, how: EndEvidence) {
    let requests = host.broken_runs().record_crash(clock::now(), upstream.wire_id());
    if requests.is_empty() {
        return;
    }
    let named = requests.iter().take(MAX_NAMED).map(|it| it.fingerprint_hex());
    let fingerprints = named.collect::<Vec<_>>().join(" ");
    log::warn!(
        upstream = upstream.entry.id, how:?, n = requests.len(), fingerprints; "upstream ended"
    );
    host.metrics.count("upstreams_ended");
    add_suspects(host, &requests, upstream);
}

/// Notes that an upstream ended under requests.
fn add_suspects(host: &Host, requests: &[RequestKey], upstream: &Upstream) {
    let verdicts = host.quarantine().record_crash(clock::now(), requests, upstream.wire_id());
    verdicts.iter().for_each(|it| record_verdict(host, it, VerdictSource::Own));
}

/// Notes that a request was answered whole: it does not end upstreams.
pub(crate) fn record_success(host: &Host, call: &Call) {
    if host.quarantine().record_success(clock::now(), call.request()) {
        log::info!(
            request = call.id, fingerprint = call.request().fingerprint_hex();
            "nothing against the request any more"
        );
    }
}

/// Drops what is held against a request; returns whether anything was.
pub(crate) fn lift(host: &Host, fingerprint: Fingerprint) -> bool {
    let lifted = host.quarantine().lift(clock::now(), fingerprint);
    let Some(request) = lifted else { return false };
    log::warn!(fingerprint = request.fingerprint_hex(); "quarantine lifted");
    host.persist_verdict(request);
    true
}

/// Takes what another host or the store tells.
pub(crate) fn merge_suspects(host: &Host, suspects: &[Suspect], source: VerdictSource) {
    if suspects.is_empty() {
        return;
    }
    let verdicts = host.quarantine().merge(clock::now(), suspects);
    verdicts.iter().for_each(|it| record_verdict(host, it, source));
}

/// Adds what this host knows to its own digest.
pub(crate) fn fill_digest(host: &Host, audience: &GossipTopology, digest: &mut Digest) {
    digest.suspects =
        host.quarantine().suspects_for_digest(clock::now(), audience, digest.sequence);
}

/// Adds what the hosts of this data centre know to their sum.
pub(crate) fn fill_summary(host: &Host, digest: &mut Digest) {
    digest.suspects = host.quarantine().suspects_for_summary(clock::now());
}

/// Returns a time as callers are told it, in whole seconds.
pub(crate) fn whole_seconds(time: Duration) -> Duration {
    Duration::from_secs(time.as_secs() + 1)
}

fn record_verdict(host: &Host, it: &QuarantineEntry, source: VerdictSource) {
    log::warn!(
        fingerprint = it.request.fingerprint_hex(), workspace_hash = it.request.workspace,
        n_ends = it.n_crashes, left_s = it.remaining.as_secs(), source:?; "request quarantined"
    );
    host.metrics.count("requests_quarantined");
    if it.is_local {
        host.persist_verdict(it.request);
    }
}
