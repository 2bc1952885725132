//! Requests that end upstreams: what this host sees of them, and what it refuses.

use std::time::Duration;

use portfield::{
    balance::Audience,
    catalog::Upstream,
    quarantine::{Fingerprint, Request, Verdict},
};
use portfield_net::clock;
use portfield_wire::{Digest, Suspect};

use crate::{call::Call, state::Host};

/// Most requests that a log line names.
const MAX_LOGGED: usize = 20;

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
    let has_ended = host.broken_runs().note(clock::now(), call.quarantine_key(), upstream.number());
    if has_ended {
        add_suspects(host, &[call.quarantine_key()], upstream);
    }
    !has_ended
}

/// Notes that an upstream ended.
pub(crate) fn record_upstream_end(host: &Host, upstream: &Upstream, how: EndEvidence) {
    let requests = host.broken_runs().ended(clock::now(), upstream.number());
    if requests.is_empty() {
        return;
    }
    let logged = requests.iter().take(MAX_LOGGED).map(|it| it.fingerprint_text());
    let fingerprints = logged.collect::<Vec<_>>().join(" ");
    log::warn!(
        upstream = upstream.entry.id, how:?, n = requests.len(), fingerprints; "upstream ended"
    );
    host.metrics.count("upstreams_ended");
    add_suspects(host, &requests, upstream);
}

/// Notes that an upstream ended under requests.
fn add_suspects(host: &Host, requests: &[Request], upstream: &Upstream) {
    let verdicts = host.quarantine().ended(clock::now(), requests, upstream.number());
    verdicts.iter().for_each(|it| record_verdict(host, it, VerdictSource::Own));
}

/// Notes that a request was answered whole: it does not end upstreams.
pub(crate) fn record_success(host: &Host, call: &Call) {
    if host.quarantine().clear(clock::now(), call.quarantine_key()) {
        log::info!(
            request = call.id, fingerprint = call.quarantine_key().fingerprint_text();
            "nothing against the request any more"
        );
    }
}

/// Drops what is held against a request; returns whether anything was.
pub(crate) fn lift(host: &Host, fingerprint: Fingerprint) -> bool {
    let lifted = host.quarantine().lift(clock::now(), fingerprint);
    let Some(request) = lifted else { return false };
    log::warn!(fingerprint = request.fingerprint_text(); "quarantine lifted");
    host.persist_verdict(request);
    true
}

/// Takes what another host or the store tells.
pub(crate) fn merge_suspects(host: &Host, suspects: &[Suspect], source: VerdictSource) {
    if suspects.is_empty() {
        return;
    }
    let verdicts = host.quarantine().take(clock::now(), suspects);
    verdicts.iter().for_each(|it| record_verdict(host, it, source));
}

/// Adds what this host knows to its own digest.
pub(crate) fn fill_digest(host: &Host, audience: &Audience, digest: &mut Digest) {
    digest.suspects = host.quarantine().report(clock::now(), audience, digest.sequence);
}

/// Adds what the hosts of this data centre know to their sum.
pub(crate) fn fill_summary(host: &Host, digest: &mut Digest) {
    digest.suspects = host.quarantine().summarize(clock::now());
}

/// Returns a time as callers are told it, in whole seconds.
pub(crate) fn whole_seconds(time: Duration) -> Duration {
    Duration::from_secs(time.as_secs() + 1)
}

fn record_verdict(host: &Host, it: &Verdict, source: VerdictSource) {
    log::warn!(
        fingerprint = it.request.fingerprint_text(), workspace_hash = it.request.workspace,
        n_ends = it.n_ends, left_s = it.left.as_secs(), source:?; "request quarantined"
    );
    host.metrics.count("requests_quarantined");
    if it.is_own {
        host.persist_verdict(it.request);
    }
}
