//! Which software versions the upstreams of a service have, and had for as long as a stream can last.

use std::{sync::PoisonError, time::Duration};

use portfield::{catalog::VersionHash, streams::VersionSpread};
use portfield_net::clock;

use crate::state::Host;

/// A service as the streams of a route see it, by the hashes of both names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct RoutedService {
    pub route: u32,
    pub service: u32,
}

impl Host {
    /// Observes whether the list of upstreams is current: no upstream can be known elsewhere for long that is
    /// not known here.
    pub(crate) fn observe_list(&self) {
        let now = clock::now();
        let has_store_contact = self.store_age() < self.settings().store_timeouts.stale_after
            || self.peers_reached_store(now);
        // While the store is down, no upstream can register.
        let hears_all =
            1 < self.balancer().n_hosts(now) && !self.peers().has_unreachable_centre(now);
        let is_current = self.has_fresh_state() && (has_store_contact || hears_all);
        let mut list = self.upstream_list.write().unwrap_or_else(PoisonError::into_inner);
        let is_current = is_current && !list.directory.is_empty();
        list.versions.observe(now, is_current);
    }

    /// Returns at how many software versions streams of a route began in the last `window`, as far as its service is
    /// concerned, counting `version` too if given. A route that led to another service in that time counts as
    /// having several.
    fn version_spread(
        &self,
        it: RoutedService,
        version: Option<VersionHash>,
        window: Duration,
    ) -> VersionSpread {
        let RoutedService { route, service } = it;
        if self.route_moves().has_moved(clock::now(), route, window) {
            return VersionSpread::Several;
        }
        self.with_list(|it| {
            let versions = it.versions_of(service).chain(version);
            it.versions.spread(clock::now(), service, versions, window)
        })
    }

    /// Returns the only software version at which streams of a route began in the last `window`; `None` if there may
    /// have been several.
    pub(crate) fn only_version(
        &self,
        service: RoutedService,
        window: Duration,
    ) -> Option<VersionHash> {
        match self.version_spread(service, None, window) {
            VersionSpread::One(it) => Some(it),
            VersionSpread::OneSeen | VersionSpread::Several => None,
        }
    }

    /// Returns whether streams of a route may have begun elsewhere than at a version of its service in the last
    /// `window`, as far as this host has seen.
    pub(crate) fn has_seen_other(
        &self,
        it: RoutedService,
        version: VersionHash,
        window: Duration,
    ) -> bool {
        self.version_spread(it, Some(version), window) == VersionSpread::Several
    }

    /// Returns the name of a software version of a service, empty if none of its upstreams that take requests
    /// has it.
    pub(crate) fn software_name(&self, service: &str, version: VersionHash) -> String {
        self.with_list(|it| {
            let mut upstreams = it.ready.get(service).into_iter().flat_map(|it| &it.upstreams);
            let found = upstreams.find(|it| it.version_hash() == version);
            found.map_or(String::new(), |it| it.entry.software_version.clone())
        })
    }
}
