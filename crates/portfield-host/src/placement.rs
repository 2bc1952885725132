//! Updates of the upstream list, and the choice of an upstream for a request.

use std::{
    collections::HashSet,
    sync::{Arc, PoisonError},
    time::Duration,
};

use portfield::{
    balance::{Assignment, Candidate, EngineRoom, Placement, Refusal},
    catalog::{Regions, Restart, Upstream},
};
use portfield_net::clock;

use crate::{
    call::Call,
    quarantine::{self, EndEvidence},
    state::Host,
    upstream_list::{ListChanges, ReadyUpstreams, UpstreamList},
};

/// Which of the candidate upstreams a request may be placed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementMode {
    /// Any of them; the balancer picks the best one.
    Any,
    /// Only the least loaded one: the request is suspected of crashing its upstream.
    Isolated,
}

/// Why a request was placed on no upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementRefusal {
    pub reason: Refusal,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
    /// Estimated time to the first event, on which the refusal is based.
    pub estimate: Duration,
    /// Recent usage of the workspace, as a multiple of its fair share.
    pub share_ratio: f64,
    /// Room at the engines.
    pub room: EngineRoom,
    /// When this host expects room for the retry, if it has booked it.
    pub invited: Option<Duration>,
}

/// The upstream that a request was placed on.
#[derive(Debug)]
pub(crate) struct Placed {
    pub assignment: Assignment,
    pub upstream: Arc<Upstream>,
    /// Where the upstream is to fetch cached parts of the prompt from.
    pub source: Option<Arc<Upstream>>,
}

/// Minimum time between two checks which upstreams are no longer listed: each goes through all.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);

impl Host {
    /// Updates the upstream list or the evacuations with `f`, and everything that is derived from
    /// them.
    pub(crate) fn update_list<T>(&self, f: impl FnOnce(&mut UpstreamList) -> T) -> T {
        let own_data_centre = self.settings().data_centre.clone();
        let mut list = self.upstream_list.write().unwrap_or_else(PoisonError::into_inner);
        let res = f(&mut list);
        let ListChanges { cold, restarts, n_touched } =
            list.apply_changes(clock::now(), &own_data_centre);
        drop(list);
        restarts.iter().for_each(|it| self.inherit_backoff(it));
        if 0 < n_touched {
            self.forget_unlisted();
        }
        self.update_cold(&cold);
        for it in &restarts {
            quarantine::record_upstream_end(self, &it.earlier, EndEvidence::Reborn);
        }
        res
    }

    /// Forgets what is known of upstreams that are no longer listed, if that was not done recently.
    fn forget_unlisted(&self) {
        if self.unlisted_forgotten.elapsed().is_some_and(|it| it < FORGET_INTERVAL) {
            return;
        }
        self.unlisted_forgotten.set_now();
        let ids: HashSet<u32> =
            self.with_list(|list| list.directory.all().map(|it| it.wire_id()).collect());
        self.balancer().retain_upstreams(clock::now(), |id| ids.contains(&id));
    }

    /// Applies a backoff that was recorded for the earlier incarnation before this host knew of the
    /// restart.
    fn inherit_backoff(&self, Restart { earlier, current }: &Restart) {
        let Some(started_ms) = current.entry.started_ms else { return };
        let age = Duration::from_millis(clock::unix_millis().saturating_sub(started_ms));
        let started = clock::now().saturating_sub(age);
        self.balancer().inherit_backoff(earlier.wire_id(), current.wire_id(), started);
    }

    /// Reads the upstream list with `f`.
    pub(crate) fn with_list<T>(&self, f: impl FnOnce(&UpstreamList) -> T) -> T {
        f(&self.upstream_list.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether a request that was placed on an upstream may still be sent to it.
    pub(crate) fn may_send_to(&self, upstream: &Upstream) -> bool {
        let backs_off = self.balancer().backoff_until(clock::now(), upstream.wire_id()).is_some();
        !backs_off && self.with_list(|it| it.accepts_requests(upstream))
    }

    /// Returns the upstreams of the request's service in the regions that both its route and its
    /// workspace allow; for a stream that has begun, those at the version that began it.
    pub(crate) fn candidates(&self, call: &Call) -> Arc<ReadyUpstreams> {
        let ready = self.candidates_in_regions(call);
        match call.origin {
            Some(it) if ready.has_other_version(it.version) => {
                Arc::new(ready.at_version(it.version))
            }
            _ => ready,
        }
    }

    fn candidates_in_regions(&self, call: &Call) -> Arc<ReadyUpstreams> {
        let ready = self.with_list(|it| it.ready.get(&call.service).cloned()).unwrap_or_default();
        let workspace = call.workspace.as_ref().map(|it| &it.regions);
        let region_rules = || std::iter::once(&call.route.regions).chain(workspace);
        if region_rules().all(Regions::is_any) {
            return ready;
        }
        let settings = self.settings();
        // A data centre without a configured region belongs to no region.
        let region = |name: &str| settings.regions.get(name).map_or("", String::as_str);
        Arc::new(
            ready.in_data_centres(|it| region_rules().all(|regions| regions.allows(region(it)))),
        )
    }

    /// Picks an upstream for a request, preferring those that are not in `tried`.
    ///
    /// # Errors
    ///
    /// Why no upstream takes the request.
    pub(crate) fn place(
        &self,
        call: &Call,
        tried: &[u32],
        mode: PlacementMode,
    ) -> Result<Placed, PlacementRefusal> {
        let request = &call.placement;
        let ready = self.candidates(call);
        let untried = || ready.candidates.iter().filter(|it| !tried.contains(&it.upstream));
        // With every candidate tried, the same upstream may be tried again.
        let mut balancer = self.balancer();
        let now = clock::now();
        let subset: Vec<Candidate>;
        let candidates = if tried.is_empty() || untried().next().is_none() {
            &ready.candidates
        } else {
            subset = untried().copied().collect();
            &subset
        };
        let res = match mode {
            PlacementMode::Any => balancer.place(now, request, candidates),
            PlacementMode::Isolated => {
                let least_loaded = balancer.least_busy(now, candidates);
                balancer.place(now, request, least_loaded.as_slice())
            }
        };
        drop(balancer);
        let assignment = match res {
            Placement::Send(it) => it,
            Placement::Refuse { reason, retry_after, estimate, share_ratio, room, invited } => {
                return Err(PlacementRefusal {
                    reason,
                    retry_after,
                    estimate,
                    share_ratio,
                    room,
                    invited,
                });
            }
        };
        let chosen = ready.get(assignment.upstream).cloned();
        chosen.map(|upstream| place_at(upstream, assignment, &ready)).ok_or(PlacementRefusal {
            reason: Refusal::NoUpstream,
            retry_after: assignment.estimate,
            estimate: assignment.estimate,
            share_ratio: assignment.share_ratio,
            room: EngineRoom::default(),
            invited: None,
        })
    }
}

/// Returns a placement with the source of its fetch, which must run the same software version: engines
/// do not check whether they can read what another version wrote.
fn place_at(upstream: Arc<Upstream>, assignment: Assignment, ready: &ReadyUpstreams) -> Placed {
    let source = assignment.fetch.and_then(|it| ready.get(it.source));
    let source = source.filter(|it| it.version_hash() == upstream.version_hash()).cloned();
    let assignment = if source.is_some() { assignment } else { assignment.without_fetch() };
    Placed { assignment, upstream, source }
}
