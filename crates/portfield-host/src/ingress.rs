//! Per-second counts of callers' connections and requests, and of requests refused for lack of
//! processor time.
//!
//! Each refusal is logged, but the log rate limit drops most lines of a host that refuses thousands
//! per second. One summary line per second shows whether callers keep or reopen connections, and
//! which workspaces send the requests.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use crate::metrics::count;

/// Counts since the last call of [`IngressStats::take`].
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Counts {
    /// Connections accepted.
    pub n_accepted: u64,
    /// Connections closed.
    pub n_closed: u64,
    /// Connections closed by their callers without a `connection: close` from this host.
    pub n_caller_closed: u64,
    /// Connections closed by this host to move their callers to another one.
    pub n_moved: u64,
    /// Requests read.
    pub n_requests: u64,
    /// Requests refused for lack of processor time, by workspace.
    refused: BTreeMap<String, u64>,
}

impl Counts {
    /// Returns how many requests were refused for lack of processor time.
    pub(crate) fn n_refused(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Returns the workspace with the most refused requests, and their number.
    pub(crate) fn most_refused(&self) -> (&str, u64) {
        let max = self.refused.iter().max_by_key(|it| *it.1);
        max.map_or(("", 0), |(name, n)| (name, *n))
    }
}

/// Counters of callers' connections and requests.
#[derive(Debug, Default)]
pub(crate) struct IngressStats {
    counts: Mutex<Counts>,
    n_open: AtomicUsize,
}

impl IngressStats {
    /// Counts a new connection.
    pub(crate) fn record_accepted(&self) {
        self.n_open.fetch_add(1, Ordering::Relaxed);
        self.counts().n_accepted += 1;
    }

    /// Counts a closed connection.
    pub(crate) fn record_closed(&self) {
        self.n_open.fetch_sub(1, Ordering::Relaxed);
        self.counts().n_closed += 1;
    }

    /// Returns the number of open connections.
    pub(crate) fn n_open(&self) -> usize {
        self.n_open.load(Ordering::Relaxed)
    }

    /// Counts a connection that this host closes to move its caller to another one.
    pub(crate) fn record_moved(&self) {
        self.counts().n_moved += 1;
    }

    /// Counts a connection that its caller closed without a `connection: close` from this host.
    pub(crate) fn record_caller_close(&self) {
        self.counts().n_caller_closed += 1;
    }

    /// Counts a request.
    pub(crate) fn record_request(&self) {
        self.counts().n_requests += 1;
    }

    /// Counts a request refused for lack of processor time.
    pub(crate) fn record_refused(&self, workspace: &str) {
        count(&mut self.counts().refused, workspace);
    }

    /// Returns the counts since the last call and resets them.
    pub(crate) fn take(&self) -> Counts {
        std::mem::take(&mut self.counts())
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
