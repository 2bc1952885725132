//! Finds out, without a request, when an upstream that could not be reached can be again.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use portfield::catalog::Upstream;
use portfield_net::clock;

use crate::state::{Host, number};

/// Time before the first try; on a link that loses packets the next one mostly succeeds.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest time between two tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Upstreams that are being tried.
#[derive(Debug, Default)]
pub(crate) struct Trying {
    upstreams: Mutex<HashSet<u32>>,
}

impl Trying {
    fn begin(&self, upstream: u32) -> bool {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner).insert(upstream)
    }

    fn end(&self, upstream: u32) {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner).remove(&upstream);
    }
}

/// Starts to try an upstream, unless it is being tried, until it is reached or gone.
pub(crate) fn start(host: &Arc<Host>, upstream: &Arc<Upstream>) {
    let id = number(upstream);
    if !host.trying.begin(id) {
        return;
    }
    log::info!(upstream = upstream.entry.id; "upstream unreachable");
    let (task, upstream) = (host.clone(), upstream.clone());
    host.rt.spawn(async move {
        let lost = clock::now();
        let mut pause = FIRST_PAUSE;
        let is_listed =
            || task.with_list(|it| it.directory.all().any(|it| it.entry.id == upstream.entry.id));
        while is_listed() {
            clock::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
            if let Ok(it) = task.pool.open(upstream.entry.address).await {
                task.pool.put(id, it, None);
                task.balancer().reachable(id);
                let lost_ms = (clock::now() - lost).as_millis() as u64;
                log::info!(upstream = upstream.entry.id, lost_ms; "upstream reachable");
                break;
            }
        }
        task.trying.end(id);
    });
}
