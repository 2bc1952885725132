//! Copies of a request that run at the same time, and which of them are held back while the request
//! is suspected of crashing upstreams.

use std::{collections::BTreeMap, time::Duration};

use super::key::SuspectKey;

/// Identifies a running copy within its host, in the order of the starts.
pub type CopyId = u64;

/// Time after its start for which a copy holds others back. Requests that crash their upstream do
/// so 0.2 to 0.7 s after they were sent.
const PROBATION: Duration = Duration::from_secs(2);
/// Time for which the report of another host holds, which it repeats in each digest.
const REPORT_VALIDITY: Duration = Duration::from_secs(1);

/// Copies of a host's requests that are running, and the suspects that other hosts are running.
///
/// The caller of a request that crashes upstreams often sends several copies at once, to different
/// hosts. Without a limit, as many upstreams crash as copies start before the third crash is known
/// everywhere. So a request under which an upstream has crashed runs one copy at a time: a new copy
/// waits while another runs, and of copies that run already the earliest one at the host with
/// the lowest hash goes on. A host announces a copy some time before it starts it; two hosts both run
/// theirs only if they hear of each other's after that time.
///
/// # Examples
///
/// ```
/// use portfield::quarantine::{SuspectKey, RunningCopies};
/// use std::time::Duration;
///
/// let request = SuspectKey::request(7, 1);
/// let now = Duration::from_secs(1);
/// let mut copies = RunningCopies::new(30);
/// let first = copies.start(now, [request]);
/// assert!(copies.is_held_back(now, request, None), "another copy runs");
/// assert!(!copies.is_held_back(now, request, Some(first)));
/// copies.end([request], first);
/// assert!(!copies.is_held_back(now, request, None));
/// copies.record_report(now, 20, vec![request]);
/// assert!(copies.is_held_back(now, request, None), "another host runs it");
/// ```
#[derive(Debug)]
pub struct RunningCopies {
    /// Hash of this host.
    host: u64,
    last_id: CopyId,
    /// Start times of this host's copies, by request.
    local: BTreeMap<(SuspectKey, CopyId), Duration>,
    /// Suspects that other hosts run, by the host's hash.
    reports: BTreeMap<u64, Report>,
}

/// Suspects that another host is running.
#[derive(Debug)]
struct Report {
    heard: Duration,
    requests: Vec<SuspectKey>,
}

impl RunningCopies {
    /// Creates the state of a host with the given hash.
    pub fn new(host: u64) -> Self {
        Self { host, last_id: 0, local: BTreeMap::new(), reports: BTreeMap::new() }
    }

    /// Records that a copy of a request starts at this host; `keys` are those of the request and of the
    /// parts of its prompt.
    pub fn start(&mut self, now: Duration, keys: impl IntoIterator<Item = SuspectKey>) -> CopyId {
        self.last_id += 1;
        self.local.extend(keys.into_iter().map(|it| ((it, self.last_id), now)));
        self.last_id
    }

    /// Records that a copy ended at this host.
    pub fn end(&mut self, keys: impl IntoIterator<Item = SuspectKey>, id: CopyId) {
        for it in keys {
            self.local.remove(&(it, id));
        }
    }

    /// Records which suspects another host is running; replaces its earlier report.
    pub fn record_report(&mut self, now: Duration, host: u64, requests: Vec<SuspectKey>) {
        if requests.is_empty() {
            self.reports.remove(&host);
            return;
        }
        self.reports.retain(|_, it| now < it.heard + REPORT_VALIDITY);
        self.reports.insert(host, Report { heard: now, requests });
    }

    /// Returns whether a suspect must not be sent now because another copy of it runs. `own` is the
    /// copy that is to be sent, `None` if it has not started.
    pub fn is_held_back(&self, now: Duration, request: SuspectKey, own: Option<CopyId>) -> bool {
        let is_blocking = |id: CopyId| own.is_none_or(|own| id < own);
        let has_local = self.recent(now, request).any(is_blocking);
        let has_remote = self.reports.iter().any(|(&host, it)| {
            now < it.heard + REPORT_VALIDITY
                && it.requests.contains(&request)
                && (own.is_none() || host < self.host)
        });
        has_local || has_remote
    }

    /// Returns whether a copy of a request started recently at this host and still runs.
    pub fn is_running(&self, now: Duration, request: SuspectKey) -> bool {
        self.recent(now, request).next().is_some()
    }

    /// Returns the number of suspects that other hosts are running.
    pub fn n_reported(&self, now: Duration) -> usize {
        let recent = self.reports.values().filter(|it| now < it.heard + REPORT_VALIDITY);
        recent.map(|it| it.requests.len()).sum()
    }

    fn recent(&self, now: Duration, request: SuspectKey) -> impl Iterator<Item = CopyId> {
        let copies = self.local.range((request, 0)..=(request, CopyId::MAX));
        copies.filter(move |(_, started)| now < **started + PROBATION).map(|(key, _)| key.1)
    }
}
