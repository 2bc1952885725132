//! Checks whether an upstream is alive after it closed a connection; all checks of an upstream that
//! overlap share one connection.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, PoisonError, Weak},
    time::Duration,
};

use async_lock::OnceCell;
use portfield::{
    catalog::Upstream,
    upstream::{ConnectEvidence, ListEvidence, Liveness, LivenessCheck},
};
use portfield_net::clock;

use crate::{attempt, pool::Connection, probe, state::Host};

/// How long a connection must stay open to show that an upstream is alive: a process that is killed
/// closes its sockets one by one.
pub(crate) const OPEN_TIME: Duration = Duration::from_millis(100);
/// The same where a caller waits for a plain response, whose latency target may be 100 ms.
pub(crate) const PLAIN_OPEN_TIME: Duration = Duration::from_millis(60);

/// Connection of the checks of one upstream, opened by the first of them.
#[derive(Debug, Default)]
struct SharedConnection {
    opened: OnceCell<io::Result<Connection>>,
}

impl SharedConnection {
    /// Returns whether a check that begins now may use it.
    fn is_usable(&self) -> bool {
        match self.opened.get() {
            None => true,
            Some(Ok(it)) => !it.sender.is_closed(),
            Some(Err(_)) => false,
        }
    }
}

/// Connections of the running checks, by the hash of the upstream's incarnation.
#[derive(Debug, Default)]
pub(crate) struct LivenessChecks {
    connections: Mutex<HashMap<u64, Weak<SharedConnection>>>,
}

impl LivenessChecks {
    /// Returns the connection of the running checks of an upstream, or one that is still to be opened.
    fn join(&self, upstream: &Upstream) -> Arc<SharedConnection> {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let running = connections.get(&upstream.hash).and_then(Weak::upgrade);
        if let Some(it) = running.filter(|it| it.is_usable()) {
            return it;
        }
        connections.retain(|_, it| 0 < it.strong_count());
        let res = Arc::<SharedConnection>::default();
        connections.insert(upstream.hash, Arc::downgrade(&res));
        res
    }
}

/// Checks whether an upstream is alive after it closed the connection of a request, which arrived at
/// `since`.
pub(crate) async fn check_response_end(
    host: &Arc<Host>,
    upstream: &Arc<Upstream>,
    since: Duration,
    open_time: Duration,
) -> Liveness {
    let mut res = check(host, upstream, open_time).await;
    if res != Liveness::Ended {
        res = res.with_list(list_evidence(host, upstream, since).await);
    }
    host.metrics.count(&format!("liveness_checks{{result=\"{}\"}}", res.as_str()));
    if res == Liveness::Ended && host.with_list(|it| it.directory.get_ready(upstream).is_some()) {
        host.balancer().record_unreachable(clock::now(), upstream.wire_id());
        probe::start_reconnect(host, upstream, &io::ErrorKind::ConnectionRefused.into());
    }
    res
}

/// Checks whether an upstream is alive, without sending a request; a connection opened by the check
/// goes to the pool.
pub(crate) async fn check(
    host: &Arc<Host>,
    upstream: &Arc<Upstream>,
    open_time: Duration,
) -> Liveness {
    let mut check = LivenessCheck::default();
    loop {
        let shared = host.liveness_checks.join(upstream);
        let evidence = observe(host, upstream, &shared, open_time).await;
        if evidence == ConnectEvidence::StayedOpen {
            keep(host, upstream, shared);
        }
        if let Some(it) = check.record(evidence) {
            return it;
        }
    }
}

/// Opens the connection unless another check has, and observes it for a while.
async fn observe(
    host: &Arc<Host>,
    upstream: &Upstream,
    shared: &SharedConnection,
    open_time: Duration,
) -> ConnectEvidence {
    let open = || async {
        host.metrics.count("liveness_connections");
        host.pool.connect(upstream.entry.address).await
    };
    match shared.opened.get_or_init(open).await {
        Ok(it) => {
            clock::sleep(open_time).await;
            let is_closed = it.sender.is_closed();
            if is_closed { ConnectEvidence::Closed } else { ConnectEvidence::StayedOpen }
        }
        Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => ConnectEvidence::Refused,
        Err(err) => {
            log::debug!(upstream = upstream.entry.id, err:%; "upstream check failed");
            if attempt::is_fd_limit(err) {
                // Closes pooled connections, so that the next attempt finds a descriptor.
                host.handle_accept_failure(err);
            }
            ConnectEvidence::NoAnswer
        }
    }
}

/// Puts the connection into the pool once no other check needs it.
fn keep(host: &Host, upstream: &Upstream, shared: Arc<SharedConnection>) {
    let opened = Arc::into_inner(shared).and_then(|it| it.opened.into_inner());
    if let Some(Ok(it)) = opened
        && host.may_send_to(upstream)
    {
        host.pool.put(upstream.wire_id(), it, None);
    }
}

/// Returns what the list shows of an upstream that closed the connection of a request.
///
/// While this host was suspended, the upstream may have ended and another one may have taken its
/// address, which then accepts connections in its place.
async fn list_evidence(host: &Host, upstream: &Upstream, since: Duration) -> ListEvidence {
    let was_suspended = host.resumed_at().is_some_and(|it| since <= it);
    if was_suspended {
        host.wait_for_fresh_state().await;
    }
    let is_replaced = host.with_list(|list| {
        let current = list.directory.get(&upstream.entry.id);
        let is_restarted = current.is_some_and(|it| it.hash != upstream.hash);
        let address = upstream.entry.address;
        let is_shared = || {
            let mut others = list.directory.all().filter(|it| it.hash != upstream.hash);
            others.any(|it| it.entry.address == address)
        };
        is_restarted || (was_suspended && (current.is_none() || is_shared()))
    });
    if is_replaced { ListEvidence::Replaced } else { ListEvidence::NotReplaced }
}
