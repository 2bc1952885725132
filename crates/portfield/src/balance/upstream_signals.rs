//! State that upstreams report or show: that they are cold, ask for a backoff, or are reachable.

use std::time::Duration;

use super::Balancer;
use crate::upstream::ColdQuota;

impl Balancer {
    /// Records that a connection to an upstream could be opened.
    pub fn record_reachable(&mut self, upstream: u32) {
        self.upstreams.entry(upstream).health.record_reachable();
    }

    /// Records that an upstream's address refuses connections; a block that lasts is not extended.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Balancer;
    /// use std::time::Duration;
    ///
    /// let mut balancer = Balancer::new(Duration::from_secs(4));
    /// balancer.record_unreachable(Duration::from_secs(1), 7);
    /// balancer.record_reachable(7);
    /// ```
    pub fn record_unreachable(&mut self, now: Duration, upstream: u32) {
        let health = &mut self.upstreams.entry(upstream).health;
        if !health.is_blocked(now) {
            health.record_unreachable(now);
        }
    }

    /// Records that an upstream asks this host to back off for a time; an earlier backoff is not
    /// shortened.
    ///
    /// When it ends, one request is sent as a probe, and more once that was accepted.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::{Balancer, Candidate, Placement, PlacementRequest, Refusal, Stage};
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut balancer = Balancer::new(second * 4);
    /// let request = PlacementRequest {
    ///     workspace: 1,
    ///     service: 1,
    ///     prompt: None,
    ///     objective: second,
    ///     waited: Duration::ZERO,
    ///     stage: Stage::New,
    ///     engine: None,
    ///     ..PlacementRequest::default()
    /// };
    /// let candidate = Candidate { upstream: 7, slots: 4, is_local: true };
    /// balancer.start_backoff(second, 7, second * 3);
    /// let placed = balancer.place(second * 2, &request, &[candidate]);
    /// let Placement::Refuse { reason: Refusal::Backoff, retry_after, .. } = placed else { panic!() };
    /// assert_eq!(retry_after, second * 2);
    /// assert!(matches!(balancer.place(second * 4, &request, &[candidate]), Placement::Send(_)));
    /// ```
    pub fn start_backoff(&mut self, now: Duration, upstream: u32, time: Duration) {
        self.upstreams.entry(upstream).backoff.begin(now, time);
    }

    /// Applies the backoff of an upstream's earlier incarnation to its current one, which started at
    /// `started`, if it was asked for since then: the list may name an incarnation only after that
    /// has answered under the id that both share.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Balancer;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut balancer = Balancer::new(second * 4);
    /// balancer.start_backoff(second * 5, 7, second * 3);
    /// balancer.inherit_backoff(7, 8, second * 4);
    /// balancer.inherit_backoff(7, 9, second * 6);
    /// assert_eq!(balancer.backoff_until(second * 6, 8), Some(second * 8));
    /// assert_eq!(balancer.backoff_until(second * 6, 9), None);
    /// ```
    pub fn inherit_backoff(&mut self, earlier: u32, current: u32, started: Duration) {
        let known = self.upstreams.get(earlier);
        let Some(backoff) = known.and_then(|it| it.backoff.for_incarnation(started)) else {
            return;
        };
        let state = self.upstreams.entry(current);
        if !state.backoff.is_recorded() {
            state.backoff = backoff;
        }
    }

    /// Returns when an upstream's backoff ends; `None` if there is none at `now`.
    pub fn backoff_until(&self, now: Duration, upstream: u32) -> Option<Duration> {
        self.upstreams.get(upstream)?.backoff.until(now)
    }

    /// Returns the upstreams whose backoff ended since the last call.
    pub fn take_expired_backoffs(&mut self, now: Duration) -> Vec<u32> {
        let expired = self
            .upstreams
            .iter_with_ids_mut()
            .filter_map(|(id, it)| it.backoff.take_expired(now).then_some(id));
        expired.collect()
    }

    /// Returns the number of upstreams that this host backs off from.
    pub fn n_backing_off(&self, now: Duration) -> usize {
        self.upstreams.iter().filter(|it| it.backoff.until(now).is_some()).count()
    }

    /// Marks an upstream as cold until a time; this host sends it what `quota` allows.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::{
    ///     balance::{Balancer, Candidate, Placement, PlacementRequest, Stage},
    ///     upstream::ColdQuota,
    /// };
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut balancer = Balancer::new(second * 4);
    /// let request = PlacementRequest {
    ///     workspace: 1,
    ///     service: 1,
    ///     prompt: None,
    ///     objective: second,
    ///     waited: Duration::ZERO,
    ///     stage: Stage::New,
    ///     engine: None,
    ///     ..PlacementRequest::default()
    /// };
    /// let candidate = Candidate { upstream: 7, slots: 4, is_local: true };
    /// balancer.mark_cold(7, second * 3, ColdQuota::default());
    /// let is_placed = |it: &mut Balancer, now| {
    ///     matches!(it.place(now, &request, &[candidate]), Placement::Send(_))
    /// };
    /// assert!(!is_placed(&mut balancer, second));
    /// assert!(is_placed(&mut balancer, second * 3));
    /// ```
    pub fn mark_cold(&mut self, upstream: u32, until: Duration, quota: ColdQuota) {
        self.upstreams.entry(upstream).warmup.begin(until, quota);
    }

    /// Changes what this host sends to an upstream while it is cold.
    pub fn set_cold_quota(&mut self, upstream: u32, quota: ColdQuota) {
        self.upstreams.entry(upstream).warmup.set_quota(quota);
    }

    /// Returns the upstreams that are cold.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::{balance::Balancer, upstream::ColdQuota};
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut balancer = Balancer::new(second * 4);
    /// balancer.mark_cold(7, second * 3, ColdQuota::default());
    /// assert_eq!(balancer.cold_upstreams(second), [7]);
    /// assert!(balancer.cold_upstreams(second * 3).is_empty());
    /// ```
    pub fn cold_upstreams(&self, now: Duration) -> Vec<u32> {
        let all = self.upstreams.iter_with_ids();
        all.filter(|it| it.1.warmup.is_cold(now)).map(|it| it.0).collect()
    }

    /// Marks an upstream as no longer cold.
    pub fn mark_warm(&mut self, upstream: u32) {
        self.upstreams.entry(upstream).warmup.end();
    }
}
