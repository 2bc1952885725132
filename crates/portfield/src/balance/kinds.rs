//! Kinds of requests: those of one route.
//!
//! The load this answers: engines are busy for most of the objective. A large prompt needs more of
//! its objective for itself, so it may wait less than a small one, and while small ones are sent up
//! to the wait that they allow, hardly any large one is. And within the share of a workspace, a
//! burst of one kind uses what the others ask for.

use std::time::Duration;

use super::{
    Balancer,
    placement::PlacementRequest,
    shares::{ShareStatus, Usage, max_min_share},
};
use crate::{decaying_sum::DecayingSum, fast_map::FastMap};

/// Part of a kind's prompts that are no larger than what is taken for its large ones. The largest
/// tenth counts as a kind of its own, and this is its middle.
const LARGE_QUANTILE: f64 = 0.95;
/// Step of the quantile's estimate for each request, as a part of the mean size: some forty requests
/// settle it.
const QUANTILE_STEP: f64 = 0.1;
/// Weight of a new observation in the mean size.
const SMOOTHING: f64 = 0.05;
/// Largest factor by which a kind that had more than its share counts as having used more of its
/// workspace's share. A host sees only its own requests, so the usage over all hosts must go on to
/// count. Kinds that had less are not moved below their workspace's usage: the gap between
/// workspaces grew by it (lowest fairness 0.49 in place of 0.56).
const MAX_KIND_FACTOR: f64 = 1.5;

/// Sizes of a kind's prompts, by the tokens that no other request shares.
#[derive(Debug, Clone, Copy, Default)]
struct Sizes {
    mean: f64,
    /// Estimate of the [`LARGE_QUANTILE`].
    large: f64,
}

impl Sizes {
    fn observe(&mut self, tokens: f64) {
        if self.mean == 0.0 {
            self.mean = tokens;
        }
        self.mean += SMOOTHING * (tokens - self.mean);
        let part = if self.large < tokens { LARGE_QUANTILE } else { LARGE_QUANTILE - 1.0 };
        self.large = (self.large + part * QUANTILE_STEP * self.mean).max(0.0);
    }
}

/// Tokens that requests of a workspace's kind at this host asked for and were granted of late.
#[derive(Debug, Clone, Copy, Default)]
struct KindUsage {
    route: u32,
    asked: DecayingSum,
    taken: DecayingSum,
}

/// What this host's requests of each kind ask for.
#[derive(Debug, Default)]
pub(super) struct Kinds {
    /// By service and route.
    sizes: FastMap<(u32, u32), Sizes>,
    /// By workspace.
    usage: FastMap<u32, Vec<KindUsage>>,
}

impl Kinds {
    /// Records a request.
    pub(super) fn observe(&mut self, request: &PlacementRequest) {
        let sizes = self.sizes.entry((request.service, request.route)).or_default();
        sizes.observe(f64::from(request.own_tokens()));
    }

    /// Records the tokens that a request asked for and was granted.
    pub(super) fn record_usage(&mut self, now: Duration, request: &PlacementRequest, usage: Usage) {
        let kinds = self.usage.entry(request.workspace).or_default();
        let known = kinds.iter().position(|it| it.route == request.route);
        let i = known.unwrap_or_else(|| {
            kinds.push(KindUsage { route: request.route, ..KindUsage::default() });
            kinds.len() - 1
        });
        kinds[i].asked.add(now, usage.asked);
        kinds[i].taken.add(now, usage.taken);
    }

    /// Returns a workspace's share status for the request's kind: a kind that had more than its
    /// max-min share of what the workspace was granted at this host counts as having used more.
    pub(super) fn status(
        &self,
        now: Duration,
        request: &PlacementRequest,
        status: ShareStatus,
    ) -> ShareStatus {
        let ShareStatus::Served(ratio) = status else { return status };
        let Some(kinds) = self.usage.get(&request.workspace) else { return status };
        let Some(own) = kinds.iter().find(|it| it.route == request.route) else { return status };
        let asked = kinds.iter().map(|it| it.asked.value(now)).collect();
        let taken = kinds.iter().map(|it| it.taken.value(now)).sum();
        let Some(share) = max_min_share(asked, taken) else { return status };
        let factor = own.taken.value(now) / share.max(1.0);
        ShareStatus::Served(ratio * factor.clamp(1.0, MAX_KIND_FACTOR))
    }

    /// Returns the tokens by which a large prompt of the request's kind is larger than the request's.
    pub(super) fn reserved_tokens(&self, request: &PlacementRequest) -> f64 {
        let sizes = self.sizes.get(&(request.service, request.route)).copied().unwrap_or_default();
        (sizes.large - f64::from(request.own_tokens())).max(0.0)
    }
}

impl Balancer {
    /// Records that a request was granted `taken` tokens, for the shares of its workspace's kinds.
    pub(super) fn record_kind_usage(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        taken: f64,
    ) {
        if self.options.capacity_shares.is_on() && request.engine.is_some() {
            let usage = Usage { asked: request.token_cost(), taken };
            self.kinds.record_usage(now, request, usage);
        }
    }
}
