//! Requests that other hosts have sent to an engine and this host has not heard of yet.
//!
//! The case to handle: 59 hosts start 1,600 streams per second on 140 engines of 12 slots, and hear of
//! each other's starts some 100 ms late. At the peak of the load few engines have a free slot. Each of
//! them looks free to all hosts until the next digests, gets several times the requests that it has
//! slots for, and their callers wait for one to two seconds that no host expected, while at other engines
//! a slot is about to become free.
//!
//! So the number of unseen requests at each engine is drawn at random per request, from a range that
//! follows from the rate of starts and the age of digests. Engines whose known loads differ by less than
//! that share the requests. Far below the slots, and at a low rate, it decides nothing.

use std::time::Duration;

use super::{
    Balancer,
    placement::{Candidate, PlacementRequest},
    scoring::{hash_rank, unit_interval},
};

/// Time between two computations of the rate of starts: it changes little within two digests.
const REFRESH_PERIOD: Duration = Duration::from_millis(100);
/// Age of a load that another host reports, in digest periods: half of one until it is sent, one at the
/// leader, and one more for the hosts of other data centres.
const DIGEST_AGE_PERIODS: f64 = 2.0;
/// Largest number of unseen requests at an engine, as a multiple of the mean over all engines: those that
/// look best get several times as many as the others.
const MAX_RATIO: f64 = 4.0;

/// Estimate of the requests unseen at each engine of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UnseenLoad {
    /// Mean number per engine.
    mean: f64,
    computed_at: Option<Duration>,
}

impl UnseenLoad {
    /// Returns whether the estimate is to be computed again.
    pub(super) fn is_stale(&self, now: Duration) -> bool {
        self.computed_at.is_none_or(|it| it + REFRESH_PERIOD <= now)
    }

    /// Computes the estimate from the running requests of all `n_engines` engines, the mean time of a
    /// request in milliseconds and the period of digests.
    pub(super) fn compute(
        now: Duration,
        running: f64,
        n_engines: usize,
        mean_time: f64,
        digest_period: Duration,
    ) -> Self {
        // Little's law: starts per millisecond.
        let rate = running / mean_time.max(1.0);
        let age = digest_period.as_secs_f64() * 1000.0 * DIGEST_AGE_PERIODS;
        Self { mean: rate * age / n_engines.max(1) as f64, computed_at: Some(now) }
    }

    /// Returns the number of unseen requests at the engines that look best.
    pub(super) fn largest(&self) -> f64 {
        self.mean * MAX_RATIO
    }
}

/// The estimate as one request draws from it.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnseenDraw {
    pub load: UnseenLoad,
    /// Differs with each request.
    pub random: u64,
}

impl UnseenDraw {
    /// Draws the number of unseen requests at an engine.
    pub(super) fn at(&self, upstream: u32) -> f64 {
        self.load.largest() * unit_interval(hash_rank(self.random, upstream))
    }
}

impl Balancer {
    /// Returns the mean time of a request of the same service in milliseconds, if it is known.
    pub(super) fn mean_time(&self, now: Duration, request: &PlacementRequest) -> Option<f64> {
        if self.options.spread_placement.is_on() && request.engine.is_some() {
            let time = self.service_times.get(&request.service).copied().unwrap_or_default();
            return Some(time.mean(now));
        }
        self.mean_times.get(&request.service).copied()
    }

    /// Returns the estimate of unseen requests at each engine; none if the option is off.
    pub(super) fn unseen_load(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        candidates: &[Candidate],
    ) -> UnseenLoad {
        if !self.options.spread_placement.is_on() || request.engine.is_none() {
            return UnseenLoad::default();
        }
        let known = self.unseen.get(&request.service).copied().unwrap_or_default();
        if !known.is_stale(now) {
            return known;
        }
        let running = |it: &Candidate| self.upstreams.get(it.upstream).map(|it| it.total().running);
        let running = candidates.iter().filter_map(running).sum();
        let mean_time = self.mean_time(now, request).unwrap_or(f64::INFINITY);
        let period = self.upstreams.digest_period();
        let res = UnseenLoad::compute(now, running, candidates.len(), mean_time, period);
        self.unseen.insert(request.service, res);
        res
    }
}
