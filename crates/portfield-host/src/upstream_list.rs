//! The list of known upstreams, indexed for placement.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use portfield::{
    balance::Candidate,
    catalog::{Directory, Evacuations, Restart, TouchedUpstreams, Upstream, VersionHash},
    streams::VersionHistory,
};

use crate::state::hash_name;

/// Number of changed upstreams above which all lists are rebuilt: a change of one moves the
/// upstreams after it.
const MAX_PATCHED: usize = 64;

/// Upstreams and the encoded entries they were decoded from, by id.
#[derive(Debug, Default)]
pub(crate) struct UpstreamList {
    pub directory: Directory,
    pub entries: HashMap<String, Bytes>,
    /// Evacuated data centres.
    pub evacuations: Evacuations,
    /// Upstreams that take requests, by service; kept up to date because every request reads it.
    pub ready: HashMap<String, Arc<ReadyUpstreams>>,
    /// Software versions of all upstreams in `ready`, by the hash of the upstream.
    accepting: HashMap<u64, VersionHash>,
    /// Cold times reported by upstreams, by hash; only non-zero ones.
    reported_cold: HashMap<u64, Duration>,
    /// Software versions that were listed lately.
    pub versions: VersionHistory,
    /// The reported cold times are to be applied again.
    is_cold_reset: bool,
    /// What `ready` was last built from, besides the directory.
    built_from: BuildInputs,
}

/// What decides which upstreams take requests, besides their entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct BuildInputs {
    own_data_centre: String,
    evacuated: Vec<String>,
}

/// The upstreams of a service that take new requests; both vectors are sorted by wire id.
#[derive(Debug, Default, Clone)]
pub(crate) struct ReadyUpstreams {
    pub upstreams: Vec<Arc<Upstream>>,
    pub candidates: Vec<Candidate>,
    /// Their software versions, with the number of upstreams at each.
    versions: Vec<(VersionHash, usize)>,
}

/// What an update of the list changed.
#[derive(Debug)]
pub(crate) struct ListChanges {
    /// Upstreams whose reported cold time has changed.
    pub cold: Vec<Arc<Upstream>>,
    pub restarts: Vec<Restart>,
    /// Number of entries that were added, changed or removed.
    pub n_touched: usize,
}

impl ReadyUpstreams {
    /// Returns the upstreams in the data centres that `is_allowed` accepts.
    pub(crate) fn in_data_centres(&self, is_allowed: impl Fn(&str) -> bool) -> Self {
        self.filter(|it| is_allowed(&it.entry.data_centre))
    }

    /// Returns the upstreams at a software version.
    pub(crate) fn at_version(&self, version: VersionHash) -> Self {
        self.filter(|it| it.version_hash() == version)
    }

    /// Returns whether some upstream has another software version.
    pub(crate) fn has_other_version(&self, version: VersionHash) -> bool {
        self.versions.iter().any(|it| it.0 != version)
    }

    fn filter(&self, is_kept: impl Fn(&Upstream) -> bool) -> Self {
        let all = self.upstreams.iter().zip(&self.candidates);
        let some = all.filter(|it| is_kept(it.0));
        let mut res = Self::default();
        some.for_each(|(it, candidate)| res.push(it.clone(), *candidate));
        res
    }

    /// Adds an upstream that sorts after all others.
    fn push(&mut self, upstream: Arc<Upstream>, candidate: Candidate) {
        self.count_version(&upstream);
        self.upstreams.push(upstream);
        self.candidates.push(candidate);
    }

    fn count_version(&mut self, upstream: &Upstream) {
        let version = upstream.version_hash();
        match self.versions.iter_mut().find(|it| it.0 == version) {
            Some(it) => it.1 += 1,
            None => self.versions.push((version, 1)),
        }
    }

    /// Returns the upstream with a wire id.
    pub(crate) fn get(&self, wire_id: u32) -> Option<&Arc<Upstream>> {
        self.upstreams.get(self.position(wire_id).ok()?)
    }

    fn position(&self, wire_id: u32) -> Result<usize, usize> {
        self.candidates.binary_search_by_key(&wire_id, |it| it.upstream)
    }

    fn remove(&mut self, wire_id: u32) {
        if let Ok(idx) = self.position(wire_id) {
            let version = self.upstreams.remove(idx).version_hash();
            self.candidates.remove(idx);
            if let Some(it) = self.versions.iter_mut().find(|it| it.0 == version) {
                it.1 -= 1;
            }
            self.versions.retain(|it| 0 < it.1);
        }
    }

    fn insert(&mut self, upstream: Arc<Upstream>, own_data_centre: &str) {
        let candidate = candidate(&upstream, own_data_centre);
        let (Ok(idx) | Err(idx)) = self.position(candidate.upstream);
        self.count_version(&upstream);
        self.upstreams.insert(idx, upstream);
        self.candidates.insert(idx, candidate);
    }
}

impl UpstreamList {
    /// Returns whether an upstream may be sent new requests, and its entry still names the software version
    /// with which it was chosen.
    pub(crate) fn accepts_requests(&self, upstream: &Upstream) -> bool {
        self.accepting.get(&upstream.hash) == Some(&upstream.version_hash())
    }

    /// Returns the number of listed upstreams by service and software version.
    pub(crate) fn n_by_version(&self) -> BTreeMap<(String, String), usize> {
        let mut res = BTreeMap::new();
        for it in self.directory.all() {
            let key = (it.entry.service.clone(), it.entry.software_version.clone());
            *res.entry(key).or_default() += 1;
        }
        res
    }

    /// Forgets the reported cold times, so that all of them are applied again under a new
    /// configuration.
    pub(crate) fn reset_cold(&mut self) {
        self.reported_cold.clear();
        self.is_cold_reset = true;
    }

    /// Returns the software versions of the upstreams that take requests, by the hash of their service's name.
    pub(crate) fn versions_of(&self, service: u32) -> impl Iterator<Item = VersionHash> {
        let group = self.ready.iter().find(|it| hash_name(it.0) == service);
        group.into_iter().flat_map(|it| &it.1.versions).map(|it| it.0)
    }

    /// Brings what is derived from the directory and the evacuations up to date; upstreams in
    /// `own_data_centre` are marked as near.
    pub(crate) fn apply_changes(&mut self, now: Duration, own_data_centre: &str) -> ListChanges {
        let TouchedUpstreams { touched, restarts } = self.directory.take_touched();
        let inputs = BuildInputs {
            own_data_centre: own_data_centre.to_owned(),
            evacuated: self.evacuations.data_centres().map(str::to_owned).collect(),
        };
        for it in &touched {
            let service = hash_name(&it.entry.service);
            self.versions.record_listed(now, service, it.version_hash());
        }
        if self.built_from != inputs {
            self.record_ready(now);
        }
        if self.built_from != inputs || MAX_PATCHED < touched.len() {
            self.built_from = inputs;
            self.rebuild_ready();
        } else {
            touched.iter().for_each(|it| self.patch_ready(it));
        }
        for it in &touched {
            let current = self.directory.get(&it.entry.id);
            if current.is_none() {
                self.entries.remove(&it.entry.id);
            }
            if current.is_none_or(|current| current.hash != it.hash) {
                self.reported_cold.remove(&it.hash);
            }
        }
        let n_touched = touched.len();
        ListChanges { cold: self.take_cold_changes(touched), restarts, n_touched }
    }

    /// Returns the upstreams whose reported cold time has changed since the last call, among those
    /// that were touched or, after a reset, among all.
    fn take_cold_changes(&mut self, touched: Vec<Arc<Upstream>>) -> Vec<Arc<Upstream>> {
        let is_listed = |it: &&Arc<Upstream>| {
            self.directory.get(&it.entry.id).is_some_and(|current| Arc::ptr_eq(current, it))
        };
        let checked: Vec<Arc<Upstream>> = if std::mem::take(&mut self.is_cold_reset) {
            self.directory.all().cloned().collect()
        } else {
            touched.into_iter().filter(|it| is_listed(&it)).collect()
        };
        let mut res = Vec::new();
        for it in checked {
            let cold = it.entry.cold_remaining;
            let last_reported = if cold.is_zero() {
                self.reported_cold.remove(&it.hash)
            } else {
                self.reported_cold.insert(it.hash, cold)
            };
            if last_reported.unwrap_or_default() != cold {
                res.push(it);
            }
        }
        res
    }

    /// Records the versions of all upstreams that have taken requests until now.
    fn record_ready(&mut self, now: Duration) {
        for (service, it) in &self.ready {
            for (version, _) in &it.versions {
                self.versions.record_listed(now, hash_name(service), *version);
            }
        }
    }

    fn is_open(&self, upstream: &Upstream) -> bool {
        !self.evacuations.contains(&upstream.entry.data_centre)
    }

    /// Brings one upstream in the lists by service up to date.
    fn patch_ready(&mut self, touched: &Arc<Upstream>) {
        self.accepting.remove(&touched.hash);
        if let Some(it) = self.ready.get_mut(&touched.entry.service) {
            Arc::make_mut(it).remove(touched.wire_id());
        }
        let current = self.directory.get_ready(touched).filter(|it| self.is_open(it));
        let Some(current) = current.cloned() else { return };
        self.accepting.insert(current.hash, current.version_hash());
        let group = Arc::make_mut(self.ready.entry(current.entry.service.clone()).or_default());
        group.remove(current.wire_id());
        group.insert(current, &self.built_from.own_data_centre);
    }

    /// Rebuilds the lists by service.
    fn rebuild_ready(&mut self) {
        let mut ready: HashMap<String, ReadyUpstreams> = HashMap::new();
        let mut open: Vec<_> = self.directory.ready().filter(|it| self.is_open(it)).collect();
        open.sort_by_key(|it| it.wire_id());
        self.accepting = open.iter().map(|it| (it.hash, it.version_hash())).collect();
        for it in open {
            if !ready.contains_key(&it.entry.service) {
                ready.insert(it.entry.service.clone(), ReadyUpstreams::default());
            }
            if let Some(group) = ready.get_mut(&it.entry.service) {
                group.push(it.clone(), candidate(it, &self.built_from.own_data_centre));
            }
        }
        self.ready = ready.into_iter().map(|(service, it)| (service, Arc::new(it))).collect();
    }
}

fn candidate(upstream: &Upstream, own_data_centre: &str) -> Candidate {
    Candidate {
        upstream: upstream.wire_id(),
        slots: upstream.entry.slots,
        is_local: upstream.entry.data_centre == own_data_centre,
    }
}
