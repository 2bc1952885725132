//! Detection of upstreams that are cold after a start, and limits on what this host sends to them.

use std::{
    collections::HashSet,
    sync::{Arc, PoisonError},
    time::Duration,
};

use portfield::{
    catalog::{ColdStart, Upstream},
    upstream::{ColdQuota, Membership, cold_quota},
};
use portfield_net::clock;

use crate::state::{Host, hash_name};

/// Number of upstreams turning cold together up to which each gets its own log line: a whole data
/// centre may return at once.
const MAX_LOG_LINES: usize = 16;

/// What the quotas of cold upstreams depend on, besides the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaBasis {
    membership: Membership,
    /// Changes of which hosts are known.
    n_changes: u64,
}

/// Whether upstreams of a service need to warm up after a start.
enum WarmupPolicy {
    Cold(ColdStart),
    /// They take as many requests as they have slots from the start.
    Warm,
    /// No configuration is known yet.
    Unknown,
}

impl Host {
    /// Applies the cold times that upstreams report in their entries.
    pub(crate) fn update_cold(&self, reported: &[Arc<Upstream>]) {
        let (warm, cold): (Vec<_>, Vec<_>) =
            reported.iter().partition(|it| it.entry.cold_remaining.is_zero());
        warm.iter().for_each(|it| self.balancer().mark_warm(it.wire_id()));
        let n_cold = cold
            .iter()
            .filter(|it| self.mark_cold(it, Some(it.entry.cold_remaining), cold.len()))
            .count();
        if MAX_LOG_LINES < n_cold {
            log::info!(n = n_cold; "upstreams cold");
        }
    }

    /// Treats an upstream that may have restarted as cold until its entry says otherwise.
    pub(crate) fn presume_cold(&self, upstream: &Upstream) {
        self.mark_cold(upstream, None, 1);
    }

    /// Treats the upstreams of a formerly evacuated data centre as cold.
    pub(crate) fn presume_cold_in(&self, data_centre: &str) {
        let is_there = |it: &&Arc<Upstream>| it.entry.data_centre == data_centre;
        let all: Vec<_> =
            self.with_list(|it| it.directory.ready().filter(is_there).cloned().collect());
        let n_cold = all.iter().filter(|it| self.mark_cold(it, None, all.len())).count();
        if MAX_LOG_LINES < n_cold {
            log::info!(n = n_cold, data_centre; "upstreams cold");
        }
    }

    /// Marks an upstream as cold for the reported time, or else for that of its service; returns
    /// `false` if its service needs no warm-up or is unknown. `n_together` upstreams turn cold at
    /// once.
    fn mark_cold(
        &self,
        upstream: &Upstream,
        reported: Option<Duration>,
        n_together: usize,
    ) -> bool {
        let (time, quota) = match (self.warmup_policy(&upstream.entry.service), reported) {
            (WarmupPolicy::Cold(it), reported) => {
                (reported.unwrap_or(it.duration), self.cold_quota_for(upstream, it))
            }
            (WarmupPolicy::Unknown, Some(reported)) => (reported, ColdQuota::default()),
            (WarmupPolicy::Unknown, None) => return false,
            (WarmupPolicy::Warm, _) => {
                self.balancer().mark_warm(upstream.wire_id());
                return false;
            }
        };
        if n_together <= MAX_LOG_LINES {
            let id = &upstream.entry.id;
            let cold_ms = time.as_millis() as u64;
            log::info!(upstream = id, cold_ms, quota = quota.rate; "upstream cold");
        }
        self.balancer().mark_cold(upstream.wire_id(), clock::now() + time, quota);
        true
    }

    fn warmup_policy(&self, service: &str) -> WarmupPolicy {
        let Some(active_config) = self.active_config() else { return WarmupPolicy::Unknown };
        let cold_start = active_config.catalog.service(service).and_then(|it| it.cold_start);
        cold_start.map_or(WarmupPolicy::Warm, WarmupPolicy::Cold)
    }

    /// Computes the quotas of cold upstreams anew if other hosts are known than before: those that come before this
    /// one send in its place.
    pub(crate) fn refresh_cold_quotas(&self) {
        let Some(basis) = self.take_new_basis() else { return };
        let cold: HashSet<u32> = self.balancer().cold_upstreams(clock::now()).into_iter().collect();
        if cold.is_empty() {
            return;
        }
        let is_cold = |it: &&Arc<Upstream>| cold.contains(&it.wire_id());
        let upstreams: Vec<_> =
            self.with_list(|it| it.directory.all().filter(is_cold).cloned().collect());
        let mut n_open = 0;
        for it in upstreams {
            let WarmupPolicy::Cold(cold_start) = self.warmup_policy(&it.entry.service) else {
                continue;
            };
            let quota = self.cold_quota_for(&it, cold_start);
            n_open += usize::from(0 < quota.rate);
            self.balancer().set_cold_quota(it.wire_id(), quota);
        }
        let hosts = self.peers().hosts_in(self.own_data_centre()).len();
        let membership = basis.membership;
        log::info!(n = cold.len(), n_open, hosts, membership:?; "cold quotas changed");
    }

    /// Returns what quotas are to be computed from, if that has changed since the last call.
    fn take_new_basis(&self) -> Option<QuotaBasis> {
        let n_changes = self.peers().n_changes();
        let basis = QuotaBasis { membership: self.membership(), n_changes };
        let mut last = self.quota_basis.lock().unwrap_or_else(PoisonError::into_inner);
        (last.replace(basis) != Some(basis)).then_some(basis)
    }

    /// Returns what this host may send to a cold upstream.
    fn cold_quota_for(&self, upstream: &Upstream, cold_start: ColdStart) -> ColdQuota {
        let settings = self.settings();
        let rate_limit = cold_start.max_rate * settings.cold_overrun + settings.cold_slack;
        let hosts = self.peers().hosts_in(hash_name(&upstream.entry.data_centre));
        let rate = cold_quota(rate_limit, &hosts, self.own_hash(), upstream.wire_id());
        ColdQuota::new(rate, self.membership(), self.topology().period())
    }
}
