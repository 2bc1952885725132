//! Which requests ran at upstreams that ended.

use std::sync::Arc;

use portfield::catalog::Upstream;
use portfield_net::clock;

use crate::{
    call::Call,
    reach,
    state::{Host, number},
};

/// Most requests that a log line names.
const MAX_NAMED: usize = 20;

/// What shows that an upstream has ended.
///
/// That its entry is gone shows nothing: those of a data centre that is cut off go too, and the upstreams there
/// go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// Nothing listens at its address.
    Refused,
    /// Another one answers there.
    Replaced,
    /// Another incarnation has its entry.
    Reborn,
}

/// Notes that a run of a request broke, and looks whether its upstream is still there.
pub(crate) fn broke(host: &Arc<Host>, call: &Call, upstream: &Arc<Upstream>) {
    // One that leaves ends with whatever still runs there.
    if !host.with_list(|it| it.directory.ready().any(|it| it.hash == upstream.hash)) {
        return;
    }
    let is_ended = host.breaks().note(clock::now(), call.request(), number(upstream));
    if !is_ended {
        reach::look(host, upstream);
    }
}

/// Notes that an upstream ended.
pub(crate) fn ended(host: &Host, upstream: &Upstream, how: End) {
    let requests = host.breaks().ended(clock::now(), number(upstream));
    if requests.is_empty() {
        return;
    }
    let named = requests.iter().take(MAX_NAMED).map(|it| format!("{:016x}", it.fingerprint));
    let fingerprints = named.collect::<Vec<_>>().join(" ");
    log::warn!(
        upstream = upstream.entry.id, how:?, n = requests.len(), fingerprints; "upstream ended"
    );
    host.metrics.count("upstreams_ended");
}
