//! Signals in the head of an upstream's response: that it drains, asks this host to back off, or
//! replaced the upstream that was addressed.

use std::sync::{Arc, PoisonError};

use http::StatusCode;
use portfield::{catalog::Upstream, gossip::GossipTopology};
use portfield_net::clock;
use portfield_platform::{response::ResponseHead, retry_after::RetryAfter};
use portfield_wire::Digest;

use crate::{call::Call, state::Host};

/// Number of upstreams in one digest up to which each gets its own log line.
const MAX_LOG_LINES: usize = 16;

/// Handles the signals in the head of a response, whatever happens to the response itself.
///
/// A response to another request still came over this upstream's connection, so its signals count.
pub(crate) fn handle_response_head(
    host: &Host,
    call: &Call,
    asked: &Arc<Upstream>,
    status: StatusCode,
    head: &ResponseHead,
) {
    if let Some(other) = head.replacement_of(&asked.entry.id) {
        record_replaced(host, call, asked, other);
    }
    if !head.is_draining && head.retry_after.is_none() {
        return;
    }
    let Some(upstream) = responding_upstream(host, asked, head) else {
        log::info!(
            request = call.id, asked = asked.entry.id, upstream = head.responder_id;
            "signal of an unlisted upstream ignored"
        );
        return;
    };
    if head.is_draining {
        host.metrics.count("answers_draining");
        record_draining(host, call, &upstream, status);
    }
    if let Some(it) = &head.retry_after {
        host.metrics.count("backoffs_asked");
        record_backoff(host, call, &upstream, status, it);
    }
}

/// Adds the upstreams that announced draining in a response to this host's digest.
pub(crate) fn fill_digest(host: &Host, topology: &GossipTopology, digest: &mut Digest) {
    // Checked under a read lock first: every request reads the list, and usually no upstream
    // drains.
    if host.with_list(|it| it.directory.draining_unlisted().next().is_none()) {
        return;
    }
    let mut list = host.upstream_list.write().unwrap_or_else(PoisonError::into_inner);
    digest.draining = list.directory.draining_for_digest(topology.digest_scope(digest.sequence));
}

/// Adds the same upstreams to the summary of this host's data centre.
pub(crate) fn fill_summary(host: &Host, digest: &mut Digest) {
    digest.draining = host.with_list(|it| it.directory.draining_for_summary());
}

/// Merges the draining upstreams that another host reports.
pub(crate) fn merge_digest(host: &Host, digest: &Digest) {
    let is_new = |it: &u32| !host.with_list(|list| list.directory.is_marked_draining(*it));
    let newly_draining: Vec<u32> = digest.draining.iter().copied().filter(is_new).collect();
    if newly_draining.is_empty() {
        return;
    }
    host.update_list(|it| {
        for number in &newly_draining {
            it.directory.mark_draining(*number);
        }
    });
    if MAX_LOG_LINES < newly_draining.len() {
        log::info!(n = newly_draining.len(), source = "host", host = digest.address; "upstreams draining");
        return;
    }
    for number in newly_draining {
        log::info!(upstream = upstream_id(host, number), number, source = "host", host = digest.address; "upstream draining");
    }
}

/// Returns the upstream that responded: the addressed one, or the one that it names if that has the
/// same address.
fn responding_upstream(
    host: &Host,
    asked: &Arc<Upstream>,
    head: &ResponseHead,
) -> Option<Arc<Upstream>> {
    let Some(other) = head.replacement_of(&asked.entry.id) else {
        return Some(asked.clone());
    };
    let is_other =
        |it: &&Arc<Upstream>| it.entry.id == other && it.entry.address == asked.entry.address;
    host.with_list(|it| it.directory.all().find(is_other).cloned())
}

/// Backs off from an upstream for the time that it asked for.
fn record_backoff(
    host: &Host,
    call: &Call,
    upstream: &Upstream,
    status: StatusCode,
    asked: &RetryAfter,
) {
    let (now, number) = (clock::now(), upstream.wire_id());
    let end = {
        let mut balancer = host.balancer();
        if let Some(time) = asked.delay {
            balancer.start_backoff(now, number, time);
        }
        balancer.backoff_until(now, number)
    };
    log::info!(
        request = call.id, upstream = upstream.entry.id, status = status.as_u16(), sent = asked.raw,
        backoff_ms = asked.delay.map(|it| it.as_millis().min(u128::from(u64::MAX)) as u64),
        left_ms = end.map(|it| (it - now).as_millis() as u64); "upstream asked for backoff"
    );
}

/// Logs the upstreams whose backoff has expired.
pub(crate) fn log_expired_backoffs(host: &Host) {
    let over = host.balancer().take_expired_backoffs(clock::now());
    for number in over {
        log::info!(upstream = upstream_id(host, number), number; "backoff from upstream ended");
    }
}

/// Returns the id of a listed upstream.
fn upstream_id(host: &Host, number: u32) -> Option<String> {
    let is_it = |it: &&Arc<Upstream>| it.wire_id() == number;
    host.with_list(|it| it.directory.all().find(is_it).map(|it| it.entry.id.clone()))
}

/// Stops sending to an upstream that another one replaced, until its list entry changes.
fn record_replaced(host: &Host, call: &Call, asked: &Upstream, other: &str) {
    if !mark_draining(host, asked) {
        return;
    }
    log::info!(
        request = call.id, upstream = asked.entry.id, other, address:% = asked.entry.address,
        list:% = host.with_list(|it| it.directory.version()),
        store_age_ms = host.store_age_ms(); "upstream replaced"
    );
}

fn record_draining(host: &Host, call: &Call, upstream: &Upstream, status: StatusCode) {
    if !mark_draining(host, upstream) {
        return;
    }
    log::info!(
        request = call.id, upstream = upstream.entry.id, source = "answer",
        status = status.as_u16(), entry_state:? = upstream.entry.state,
        list:% = host.with_list(|it| it.directory.version()),
        store_age_ms = host.store_age_ms(); "upstream draining"
    );
}

/// Marks an upstream as draining; returns whether it was not marked before.
///
/// The lists by service are rebuilt only on a change: a draining upstream says so in every
/// response.
fn mark_draining(host: &Host, upstream: &Upstream) -> bool {
    let number = upstream.wire_id();
    let is_known = host.with_list(|it| it.directory.is_marked_draining(number));
    !is_known && host.update_list(|it| it.directory.mark_draining(number))
}
