//! What callers send to this host, and what it refuses for want of processor time, second by second.
//!
//! A refusal has a log line of its own, but a host that refuses thousands a second leaves most of them out. One line a
//! second tells whether connections stay or come anew, and whose requests they carry.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use crate::metrics::count;

/// Counts since the last look.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Counts {
    /// Connections accepted.
    pub n_accepted: u64,
    /// Connections that ended.
    pub n_closed: u64,
    /// Of them, those that their callers closed, and were not told to.
    pub n_caller_closed: u64,
    /// Requests read.
    pub n_requests: u64,
    /// Requests refused for want of processor time, by workspace.
    refused: BTreeMap<String, u64>,
}

impl Counts {
    /// Returns how many requests were refused for want of processor time.
    pub(crate) fn n_refused(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Returns the workspace of which most was refused, and how much.
    pub(crate) fn most_refused(&self) -> (&str, u64) {
        let most = self.refused.iter().max_by_key(|it| *it.1);
        most.map_or(("", 0), |(name, n)| (name, *n))
    }
}

/// Counts of callers' connections and requests.
#[derive(Debug, Default)]
pub(crate) struct IngressStats {
    counts: Mutex<Counts>,
}

impl IngressStats {
    /// Notes a new connection.
    pub(crate) fn record_accepted(&self) {
        self.counts().n_accepted += 1;
    }

    /// Notes the end of a connection.
    pub(crate) fn record_closed(&self) {
        self.counts().n_closed += 1;
    }

    /// Notes that a caller closed its connection, and was not told to.
    pub(crate) fn record_caller_close(&self) {
        self.counts().n_caller_closed += 1;
    }

    /// Notes a request.
    pub(crate) fn record_request(&self) {
        self.counts().n_requests += 1;
    }

    /// Notes a request of a workspace that is refused for want of processor time.
    pub(crate) fn record_refused(&self, workspace: &str) {
        count(&mut self.counts().refused, workspace);
    }

    /// Returns what came since the last call.
    pub(crate) fn take(&self) -> Counts {
        std::mem::take(&mut self.counts())
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
