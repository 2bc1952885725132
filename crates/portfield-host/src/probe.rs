//! Finds out, without a request, when an upstream that could not be reached can be again.

use std::{io, sync::Arc, time::Duration};

use portfield::catalog::Upstream;
use portfield_net::clock;

use crate::{
    quarantine::{self, EndEvidence},
    state::Host,
};

/// Time before the first try; on a link that loses packets the next one mostly succeeds.
const INITIAL_PAUSE: Duration = Duration::from_millis(60);
/// Longest time between two tries.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Time for which a new connection has to stay open, where a run broke, to show that its upstream goes on.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);

/// Starts to try an upstream that could not be reached, unless it is being tried, until it is reached or
/// gone; `err` is what the last try said.
pub(crate) fn start_reconnect(host: &Arc<Host>, upstream: &Arc<Upstream>, err: &io::Error) {
    if !host.probes.begin(upstream.number()) {
        return;
    }
    note_unreachable(host, upstream, err);
    let (task, upstream) = (host.clone(), upstream.clone());
    let first = err.kind().into();
    host.rt.spawn(async move {
        probe_until_reachable(&task, &upstream, &first).await;
        task.probes.end(upstream.number());
    });
}

/// Starts to look whether an upstream at which a run broke is still there, unless it is being tried.
///
/// A run breaks with its connection or with its upstream; the one costs its callers one answer, the other all
/// that ran there. A connection that can be opened takes the place of the broken one.
pub(crate) fn verify_alive(host: &Arc<Host>, upstream: &Arc<Upstream>) {
    if !host.probes.begin(upstream.number()) {
        return;
    }
    let (task, upstream) = (host.clone(), upstream.clone());
    host.rt.spawn(async move {
        verify_with_retry(&task, &upstream).await;
        task.probes.end(upstream.number());
    });
}

/// Looks at an upstream, and once more where the new connection has ended too: one that ends may close its
/// connections before it stops to listen.
async fn verify_with_retry(host: &Host, upstream: &Upstream) {
    for _ in 0..2 {
        match host.pool.connect(upstream.entry.address).await {
            Ok(it) => {
                clock::sleep(MIN_OPEN_TIME).await;
                if !it.sender.is_closed() {
                    host.pool.put(upstream.number(), it, None);
                    return;
                }
            }
            Err(err) if is_refused(&err) => {
                note_unreachable(host, upstream, &err);
                return probe_until_reachable(host, upstream, &err).await;
            }
            Err(err) => {
                log::debug!(upstream = upstream.entry.id, err:%; "upstream not looked at");
                return;
            }
        }
    }
}

/// Notes that no connection could be opened, and that the upstream ended where its address says so.
fn note_unreachable(host: &Host, upstream: &Upstream, err: &io::Error) {
    log::info!(upstream = upstream.entry.id, err:%; "upstream unreachable");
    if is_refused(err) {
        quarantine::record_upstream_end(host, upstream, EndEvidence::Refused);
    }
}

/// Returns whether nothing listens at an address any more.
fn is_refused(err: &io::Error) -> bool {
    err.kind() == io::ErrorKind::ConnectionRefused
}

/// Tries an upstream until it is reached or gone.
///
/// One at whose address nothing listened meanwhile may have started anew, before its entry says so.
async fn probe_until_reachable(host: &Host, upstream: &Upstream, first: &io::Error) {
    let lost = clock::now();
    let mut has_ended = is_refused(first);
    let mut pause = INITIAL_PAUSE;
    // One that started again under its id is another one.
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
            host.pool.put(upstream.number(), it, None);
            if has_ended {
                host.presume_cold(upstream);
            }
            host.balancer().reachable(upstream.number());
            let lost_ms = (clock::now() - lost).as_millis() as u64;
            log::info!(upstream = upstream.entry.id, lost_ms; "upstream reachable");
            return;
        }
    }
}
