//! Updates of the upstream list, and the choice of an upstream for a request.

use std::{
    collections::HashSet,
    sync::{Arc, PoisonError},
    time::Duration,
};

use portfield::{
    balance::{Assignment, Candidate, Placement, Refusal},
    catalog::{Regions, Upstream},
};
use portfield_net::clock;

use crate::{
    call::Call,
    quarantine::{self, EndEvidence},
    state::Host,
    upstream_list::{ReadyUpstreams, UpstreamList},
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
}

impl Host {
    /// Updates the upstream list or the evacuations with `f`, and everything that is derived from
    /// them.
    pub(crate) fn update_list<T>(&self, f: impl FnOnce(&mut UpstreamList) -> T) -> T {
        let own_data_centre = self.settings().data_centre.clone();
        let mut list = self.upstream_list.write().unwrap_or_else(PoisonError::into_inner);
        let before: Vec<Arc<Upstream>> = list.directory.ready().cloned().collect();
        let res = f(&mut list);
        list.rebuild_ready(&own_data_centre);
        let cold = list.take_cold_changes();
        let ids: HashSet<u32> = list.directory.all().map(|it| it.wire_id()).collect();
        let is_restarted = |it: &&Arc<Upstream>| list.directory.is_restarted(it);
        let restarted: Vec<Arc<Upstream>> = before.iter().filter(is_restarted).cloned().collect();
        drop(list);
        self.balancer().retain_upstreams(|id| ids.contains(&id));
        self.update_cold(&cold);
        restarted
            .iter()
            .for_each(|it| quarantine::record_upstream_end(self, it, EndEvidence::Reborn));
        res
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
    /// workspace allow.
    fn candidates(&self, call: &Call) -> Arc<ReadyUpstreams> {
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
    ) -> Result<(Assignment, Arc<Upstream>), PlacementRefusal> {
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
            Placement::Refuse { reason, retry_after, estimate, share_ratio } => {
                return Err(PlacementRefusal { reason, retry_after, estimate, share_ratio });
            }
        };
        let chosen = ready.upstreams.iter().find(|it| it.wire_id() == assignment.upstream);
        chosen.map(|it| (assignment, it.clone())).ok_or(PlacementRefusal {
            reason: Refusal::NoUpstream,
            retry_after: assignment.estimate,
            estimate: assignment.estimate,
            share_ratio: assignment.share_ratio,
        })
    }
}
