//! Routes that led to other services lately.

use std::{collections::HashMap, time::Duration};

use crate::{
    catalog::{Catalog, Route, WeightedService},
    fast_map::FastMap,
};

/// Time for which a move is remembered: longer than any stream is resumed.
const RETENTION: Duration = Duration::from_secs(1200);

/// When routes last changed the services that they lead to.
///
/// A stream that began before such a change began at another service, whatever versions the present one
/// has had.
///
/// # Examples
///
/// ```
/// use portfield::streams::RouteMoves;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut moves = RouteMoves::default();
/// moves.record(second * 10, 7);
/// assert!(moves.has_moved(second * 20, 7, second * 12));
/// assert!(!moves.has_moved(second * 30, 7, second * 12));
/// ```
#[derive(Debug, Default)]
pub struct RouteMoves {
    /// Times of the last changes, by the hash of the route's name.
    moved: FastMap<u32, Duration>,
}

impl RouteMoves {
    /// Records that a route leads to other services from now on.
    pub fn record(&mut self, now: Duration, route: u32) {
        self.moved.retain(|_, it| now < *it + RETENTION);
        self.moved.insert(route, now);
    }

    /// Returns whether a route led to other services within the last `window`.
    pub fn has_moved(&self, now: Duration, route: u32, window: Duration) -> bool {
        self.moved.get(&route).is_some_and(|it| now <= *it + window)
    }
}

/// Returns the routes of a configuration that led to other services in the one before.
pub fn moved_routes<'a>(
    before: &Catalog,
    after: &'a Catalog,
) -> impl Iterator<Item = &'a Route> + use<'a> {
    let services: HashMap<String, Vec<String>> =
        before.routes().map(|it| (it.name.clone(), service_names(&it.services))).collect();
    let has_moved = move |it: &&Route| {
        services.get(&it.name).is_some_and(|before| *before != service_names(&it.services))
    };
    after.routes().map(|it| &**it).filter(has_moved)
}

fn service_names(services: &[WeightedService]) -> Vec<String> {
    services.iter().map(|it| it.service.clone()).collect()
}
