//! Which upstreams this host takes for cold, and how much it may send them.

use std::{sync::Arc, time::Duration};

use portfield::{
    balance::cold_quota,
    catalog::{Upstream, Warming},
};
use portfield_net::clock;

use crate::state::{Host, hash_name};

/// Time from its start for which a host that could not read the table of hosts leaves cold upstreams alone: by then it
/// has heard of the others, else it would send as if it were alone.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// Upstreams that become cold together up to which each has a log line: a data centre may come back at once.
const MAX_LOG_LINES: usize = 16;

/// Whether the upstreams of a service are cold after their start.
enum WarmupPolicy {
    Cold(Warming),
    /// They may take all that they have slots for.
    Warm,
    /// No configuration is known that says so.
    Unknown,
}

impl Host {
    /// Takes what upstreams say of themselves.
    pub(crate) fn update_cold(&self, reported: &[Arc<Upstream>]) {
        let (warm, cold): (Vec<_>, Vec<_>) =
            reported.iter().partition(|it| it.entry.cold.is_zero());
        warm.iter().for_each(|it| self.balancer().warm(it.number()));
        let n_cold =
            cold.iter().filter(|it| self.mark_cold(it, Some(it.entry.cold), cold.len())).count();
        if MAX_LOG_LINES < n_cold {
            log::info!(n = n_cold; "upstreams cold");
        }
    }

    /// Takes an upstream that may have started anew for cold, until it is known not to be.
    pub(crate) fn presume_cold(&self, upstream: &Upstream) {
        self.mark_cold(upstream, None, 1);
    }

    /// Takes the upstreams of a data centre for cold that was to get nothing.
    pub(crate) fn presume_cold_in(&self, data_centre: &str) {
        let is_there = |it: &&Arc<Upstream>| it.entry.data_centre == data_centre;
        let all: Vec<_> =
            self.with_list(|it| it.directory.ready().filter(is_there).cloned().collect());
        let n_cold = all.iter().filter(|it| self.mark_cold(it, None, all.len())).count();
        if MAX_LOG_LINES < n_cold {
            log::info!(n = n_cold, data_centre; "upstreams cold");
        }
    }

    /// Takes an upstream for cold, for as long as it says or its service names, if its service knows of that; returns
    /// whether it does. `n_together` are taken for cold at this moment.
    fn mark_cold(
        &self,
        upstream: &Upstream,
        reported: Option<Duration>,
        n_together: usize,
    ) -> bool {
        let (time, quota) = match (self.warmup_policy(&upstream.entry.service), reported) {
            (WarmupPolicy::Cold(it), reported) => {
                (reported.unwrap_or(it.time), self.cold_quota_for(upstream, it))
            }
            (WarmupPolicy::Unknown, Some(reported)) => (reported, 0),
            (WarmupPolicy::Unknown, None) => return false,
            (WarmupPolicy::Warm, _) => {
                self.balancer().warm(upstream.number());
                return false;
            }
        };
        if n_together <= MAX_LOG_LINES {
            let id = &upstream.entry.id;
            log::info!(upstream = id, cold_ms = time.as_millis() as u64, quota; "upstream cold");
        }
        self.balancer().cold(upstream.number(), clock::now() + time, quota);
        true
    }

    fn warmup_policy(&self, service: &str) -> WarmupPolicy {
        let Some(active_config) = self.active_config() else { return WarmupPolicy::Unknown };
        let warming = active_config.catalog.service(service).and_then(|it| it.warming);
        warming.map_or(WarmupPolicy::Warm, WarmupPolicy::Cold)
    }

    /// Returns how many requests a second this host may send to a cold upstream.
    fn cold_quota_for(&self, upstream: &Upstream, warming: Warming) -> u32 {
        if !self.has_loaded_hosts() && clock::now() < DISCOVERY_TIME {
            return 0;
        }
        let settings = self.settings();
        let rate_limit = warming.rate * settings.cold_overrun + settings.cold_slack;
        let hosts = self.peers().known_in(hash_name(&upstream.entry.data_centre));
        cold_quota(rate_limit, &hosts, self.own_hash(), upstream.number())
    }
}
