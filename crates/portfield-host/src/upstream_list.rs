//! The list of known upstreams, indexed for placement.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use portfield::{
    balance::Candidate,
    catalog::{Directory, Evacuations, Upstream},
};

/// Upstreams and the encoded entries they were decoded from, by id.
#[derive(Debug, Default)]
pub(crate) struct UpstreamList {
    pub directory: Directory,
    pub entries: HashMap<String, Bytes>,
    /// Evacuated data centres.
    pub evacuations: Evacuations,
    /// Upstreams that take requests, by service; rebuilt on each change because every request reads
    /// it.
    pub ready: HashMap<String, Arc<ReadyUpstreams>>,
    /// Hashes of all upstreams in `ready`.
    accepting: HashSet<u64>,
    /// Cold times reported by upstreams, by hash; only non-zero ones.
    reported_cold: HashMap<u64, Duration>,
}

/// The upstreams of a service that take new requests; both vectors have the same order.
#[derive(Debug, Default)]
pub(crate) struct ReadyUpstreams {
    pub upstreams: Vec<Arc<Upstream>>,
    pub candidates: Vec<Candidate>,
}

impl ReadyUpstreams {
    /// Returns the upstreams in the data centres that `is_allowed` accepts.
    pub(crate) fn in_data_centres(&self, is_allowed: impl Fn(&str) -> bool) -> Self {
        let all = self.upstreams.iter().zip(&self.candidates);
        let some = all.filter(|it| is_allowed(&it.0.entry.data_centre));
        let (upstreams, candidates) = some.map(|(it, candidate)| (it.clone(), *candidate)).unzip();
        Self { upstreams, candidates }
    }
}

impl UpstreamList {
    /// Returns whether an upstream may be sent new requests.
    pub(crate) fn accepts_requests(&self, upstream: &Upstream) -> bool {
        self.accepting.contains(&upstream.hash)
    }

    /// Forgets the reported cold times, so that all of them are applied again under a new
    /// configuration.
    pub(crate) fn reset_cold(&mut self) {
        self.reported_cold.clear();
    }

    /// Returns the upstreams whose reported cold time has changed since the last call.
    pub(crate) fn take_cold_changes(&mut self) -> Vec<Arc<Upstream>> {
        let last_reported =
            |it: &Arc<Upstream>| self.reported_cold.get(&it.hash).copied().unwrap_or_default();
        let has_changed = |it: &&Arc<Upstream>| it.entry.cold_remaining != last_reported(it);
        let res: Vec<_> = self.directory.all().filter(has_changed).cloned().collect();
        let cold = self.directory.all().filter(|it| !it.entry.cold_remaining.is_zero());
        self.reported_cold = cold.map(|it| (it.hash, it.entry.cold_remaining)).collect();
        res
    }

    /// Rebuilds the lists by service; upstreams in `own_data_centre` are marked as near.
    pub(crate) fn rebuild_ready(&mut self, own_data_centre: &str) {
        let mut ready: HashMap<String, ReadyUpstreams> = HashMap::new();
        let is_open = |it: &&Arc<Upstream>| !self.evacuations.contains(&it.entry.data_centre);
        self.accepting = self.directory.ready().filter(is_open).map(|it| it.hash).collect();
        for it in self.directory.ready().filter(is_open) {
            let group = ready.entry(it.entry.service.clone()).or_default();
            group.upstreams.push(it.clone());
            group.candidates.push(Candidate {
                upstream: it.wire_id(),
                slots: it.entry.slots,
                is_local: it.entry.data_centre == own_data_centre,
            });
        }
        self.ready = ready.into_iter().map(|(service, it)| (service, Arc::new(it))).collect();
    }
}
