//! Which upstreams this host takes for cold, and how much it may send them.

use std::{sync::Arc, time::Duration};

use portfield::{balance::cold_quota, catalog::Upstream};
use portfield_net::clock;

use crate::{
    listed::number,
    state::{Host, hash},
};

/// Time from its start for which a host that could not read the table of hosts leaves cold upstreams alone: by then it
/// has heard of the others, else it would send as if it were alone.
const STARTING: Duration = Duration::from_secs(3);

impl Host {
    /// Takes what upstreams say of themselves.
    pub(crate) fn note_cold(&self, told: &[Arc<Upstream>]) {
        for it in told {
            if it.entry.cold.is_zero() {
                self.balancer().warm(number(it));
            } else {
                self.begin_cold(it, it.entry.cold);
            }
        }
    }

    /// Takes an upstream that may have started anew for cold, until it is known not to be.
    pub(crate) fn presume_cold(&self, upstream: &Upstream) {
        let service =
            self.in_force().and_then(|it| it.catalog.service(&upstream.entry.service).cloned());
        if let Some(warming) = service.and_then(|it| it.warming) {
            self.begin_cold(upstream, warming.time);
        }
    }

    /// Takes the upstreams of a data centre for cold that was to get nothing.
    pub(crate) fn presume_cold_in(&self, data_centre: &str) {
        let is_there = |it: &&Arc<Upstream>| it.entry.data_centre == data_centre;
        let all: Vec<_> =
            self.with_list(|it| it.directory.ready().filter(is_there).cloned().collect());
        all.iter().for_each(|it| self.presume_cold(it));
    }

    fn begin_cold(&self, upstream: &Upstream, time: Duration) {
        let quota = self.quota(upstream);
        let id = &upstream.entry.id;
        log::info!(upstream = id, cold_ms = time.as_millis() as u64, quota; "upstream cold");
        self.balancer().cold(number(upstream), clock::now() + time, quota);
    }

    /// Returns how many requests a second this host may send to a cold upstream.
    fn quota(&self, upstream: &Upstream) -> u32 {
        if !self.has_met() && clock::now() < STARTING {
            return 0;
        }
        let service =
            self.in_force().and_then(|it| it.catalog.service(&upstream.entry.service).cloned());
        let Some(warming) = service.and_then(|it| it.warming) else { return 0 };
        let settings = self.settings();
        let most = warming.rate * settings.cold_overrun + settings.cold_slack;
        let hosts = self.others().known_in(hash(&upstream.entry.data_centre));
        cold_quota(most, &hosts, self.own_hash(), number(upstream))
    }
}
