//! Which upstreams this host takes for cold, and how much it may send them.

use std::{sync::Arc, time::Duration};

use portfield::{
    balance::cold_quota,
    catalog::{ColdStart, Upstream},
};
use portfield_net::clock;

use crate::state::{Host, hash};

/// Time from its start for which a host that could not read the table of hosts leaves cold upstreams alone: by then it
/// has heard of the others, else it would send as if it were alone.
const STARTING: Duration = Duration::from_secs(3);
/// Upstreams that become cold together up to which each has a log line: a data centre may come back at once.
const MAX_LINES: usize = 16;

/// Whether the upstreams of a service are cold after their start.
enum Start {
    Cold(ColdStart),
    /// They may take all that they have slots for.
    Warm,
    /// No configuration is known that says so.
    Unknown,
}

impl Host {
    /// Takes what upstreams say of themselves.
    pub(crate) fn note_cold(&self, told: &[Arc<Upstream>]) {
        let (warm, cold): (Vec<_>, Vec<_>) =
            told.iter().partition(|it| it.entry.cold_remaining.is_zero());
        warm.iter().for_each(|it| self.balancer().warm(it.wire_id()));
        let n_cold = cold
            .iter()
            .filter(|it| self.begin_cold(it, Some(it.entry.cold_remaining), cold.len()))
            .count();
        if MAX_LINES < n_cold {
            log::info!(n = n_cold; "upstreams cold");
        }
    }

    /// Takes an upstream that may have started anew for cold, until it is known not to be.
    pub(crate) fn presume_cold(&self, upstream: &Upstream) {
        self.begin_cold(upstream, None, 1);
    }

    /// Takes the upstreams of a data centre for cold that was to get nothing.
    pub(crate) fn presume_cold_in(&self, data_centre: &str) {
        let is_there = |it: &&Arc<Upstream>| it.entry.data_centre == data_centre;
        let all: Vec<_> =
            self.with_list(|it| it.directory.ready().filter(is_there).cloned().collect());
        let n_cold = all.iter().filter(|it| self.begin_cold(it, None, all.len())).count();
        if MAX_LINES < n_cold {
            log::info!(n = n_cold, data_centre; "upstreams cold");
        }
    }

    /// Takes an upstream for cold, for as long as it says or its service names, if its service knows of that; returns
    /// whether it does. `n_together` are taken for cold at this moment.
    fn begin_cold(&self, upstream: &Upstream, told: Option<Duration>, n_together: usize) -> bool {
        let (time, quota) = match (self.start_of(&upstream.entry.service), told) {
            (Start::Cold(it), told) => (told.unwrap_or(it.duration), self.quota(upstream, it)),
            (Start::Unknown, Some(told)) => (told, 0),
            (Start::Unknown, None) => return false,
            (Start::Warm, _) => {
                self.balancer().warm(upstream.wire_id());
                return false;
            }
        };
        if n_together <= MAX_LINES {
            let id = &upstream.entry.id;
            log::info!(upstream = id, cold_ms = time.as_millis() as u64, quota; "upstream cold");
        }
        self.balancer().cold(upstream.wire_id(), clock::now() + time, quota);
        true
    }

    fn start_of(&self, service: &str) -> Start {
        let Some(in_force) = self.in_force() else { return Start::Unknown };
        let warming = in_force.catalog.service(service).and_then(|it| it.cold_start);
        warming.map_or(Start::Warm, Start::Cold)
    }

    /// Returns how many requests a second this host may send to a cold upstream.
    fn quota(&self, upstream: &Upstream, warming: ColdStart) -> u32 {
        if !self.has_met() && clock::now() < STARTING {
            return 0;
        }
        let settings = self.settings();
        let most = warming.max_rate * settings.cold_overrun + settings.cold_slack;
        let hosts = self.others().known_in(hash(&upstream.entry.data_centre));
        cold_quota(most, &hosts, self.own_hash(), upstream.wire_id())
    }
}
