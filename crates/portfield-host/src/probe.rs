//! Checks, without sending a request, whether an upstream is alive or reachable again.

use std::{io, sync::Arc, time::Duration};

use portfield::{catalog::Upstream, upstream::Liveness};
use portfield_net::clock;

use crate::{
    liveness::{self, OPEN_TIME},
    quarantine::{self, EndEvidence},
    state::Host,
};

/// Pause before the first attempt; on a link that loses packets, the next connection mostly
/// succeeds.
const INITIAL_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause between two attempts.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Starts connection attempts to an unreachable upstream, until it is reachable or no longer
/// listed. `err` is the error of the last attempt. Does nothing if the upstream is being probed
/// already.
pub(crate) fn start_reconnect(host: &Arc<Host>, upstream: &Arc<Upstream>, err: &io::Error) {
    if !host.probes.begin(upstream.wire_id()) {
        return;
    }
    record_unreachable(host, upstream, err);
    let (task, upstream) = (host.clone(), upstream.clone());
    let first = err.kind().into();
    host.rt.spawn(async move {
        probe_until_reachable(&task, &upstream, &first).await;
        task.probes.end(upstream.wire_id());
    });
}

/// Starts to check whether an upstream is alive after an attempt broke there, unless it is being
/// probed already.
///
/// An attempt breaks with its connection, which affects one request, or with its upstream, which
/// affects all requests there. A connection opened by the check replaces the broken one in the
/// pool.
pub(crate) fn verify_alive(host: &Arc<Host>, upstream: &Arc<Upstream>) {
    if !host.probes.begin(upstream.wire_id()) {
        return;
    }
    let (task, upstream) = (host.clone(), upstream.clone());
    host.rt.spawn(async move {
        verify_with_retry(&task, &upstream).await;
        task.probes.end(upstream.wire_id());
    });
}

/// Checks an upstream, and probes it until it is reachable again if it ended.
async fn verify_with_retry(host: &Arc<Host>, upstream: &Arc<Upstream>) {
    if liveness::check(host, upstream, OPEN_TIME).await == Liveness::Ended {
        let err = io::ErrorKind::ConnectionRefused.into();
        record_unreachable(host, upstream, &err);
        probe_until_reachable(host, upstream, &err).await;
    }
}

/// Records that no connection could be opened; a refused connection shows that the upstream ended.
fn record_unreachable(host: &Host, upstream: &Upstream, err: &io::Error) {
    log::info!(upstream = upstream.entry.id, err:%; "upstream unreachable");
    if is_refused(err) {
        quarantine::record_upstream_end(host, upstream, EndEvidence::Refused);
    }
}

/// Returns whether the address refuses connections.
fn is_refused(err: &io::Error) -> bool {
    err.kind() == io::ErrorKind::ConnectionRefused
}

/// Attempts to connect to an upstream until it is reachable or no longer listed.
///
/// If its address refused connections meanwhile, it may have restarted before its list entry shows
/// that, and is then treated as cold.
async fn probe_until_reachable(host: &Host, upstream: &Upstream, first: &io::Error) {
    let lost = clock::now();
    let mut has_ended = is_refused(first);
    let mut pause = INITIAL_PAUSE;
    // A restarted upstream with the same id has another hash.
    let is_listed = || host.with_list(|it| it.directory.all().any(|it| it.hash == upstream.hash));
    loop {
        clock::sleep(pause).await;
        if !is_listed() {
            return;
        }
        pause = (pause * 2).min(MAX_PAUSE);
        let opened = host.pool.connect(upstream.entry.address).await;
        has_ended |= opened.as_ref().is_err_and(is_refused);
        if let Ok(it) = opened {
            host.pool.put(upstream.wire_id(), it, None);
            if has_ended {
                host.presume_cold(upstream);
            }
            host.balancer().record_reachable(upstream.wire_id());
            let lost_ms = (clock::now() - lost).as_millis() as u64;
            log::info!(upstream = upstream.entry.id, lost_ms; "upstream reachable");
            return;
        }
    }
}
