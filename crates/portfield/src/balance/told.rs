//! What upstreams say of themselves, or show: that they are cold, want to be left alone, or can be reached.

use std::time::Duration;

use super::Balancer;

impl Balancer {
    /// Notes that a connection to an upstream could be opened.
    pub fn record_reachable(&mut self, upstream: u32) {
        self.loads.node(upstream).health.reachable();
    }

    /// Notes that an upstream asks this host to send it nothing for a time; one that it asked for before is not shortened.
    ///
    /// After it one request goes there, and more once that one was taken.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::{Balancer, Candidate, PlacementRequest, Placement, Refusal, Stage};
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
    /// };
    /// let candidate = Candidate { upstream: 7, slots: 4, is_local: true };
    /// balancer.start_backoff(second, 7, second * 3);
    /// let placed = balancer.place(second * 2, &request, &[candidate]);
    /// let Placement::Refuse { reason: Refusal::Backoff, retry_after, .. } = placed else { panic!() };
    /// assert_eq!(retry_after, second * 2);
    /// assert!(matches!(balancer.place(second * 4, &request, &[candidate]), Placement::Send(_)));
    /// ```
    pub fn start_backoff(&mut self, now: Duration, upstream: u32, time: Duration) {
        self.loads.node(upstream).backoff.begin(now, time);
    }

    /// Returns when the time is over for which an upstream asked to be left alone; `None` where none runs.
    pub fn backoff_until(&self, now: Duration, upstream: u32) -> Option<Duration> {
        self.loads.get(upstream)?.backoff.until(now)
    }

    /// Returns the upstreams whose time is over since the last call.
    pub fn take_expired_backoffs(&mut self, now: Duration) -> Vec<u32> {
        let over = self
            .loads
            .numbered_mut()
            .filter_map(|(number, it)| it.backoff.take_over(now).then_some(number));
        over.collect()
    }

    /// Returns how many upstreams are left alone because they asked for it.
    pub fn n_backing_off(&self, now: Duration) -> usize {
        self.loads.nodes().filter(|it| it.backoff.until(now).is_some()).count()
    }

    /// Notes that an upstream is cold until a time: this host may send it `quota` requests a second.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::{Balancer, Candidate, PlacementRequest, Placement, Stage};
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
    /// };
    /// let candidate = Candidate { upstream: 7, slots: 4, is_local: true };
    /// balancer.mark_cold(7, second * 3, 0);
    /// let placed = |it: &mut Balancer, now| matches!(it.place(now, &request, &[candidate]), Placement::Send(_));
    /// assert!(!placed(&mut balancer, second));
    /// assert!(placed(&mut balancer, second * 3));
    /// ```
    pub fn mark_cold(&mut self, upstream: u32, until: Duration, quota: u32) {
        self.loads.node(upstream).warmup.begin(until, quota);
    }

    /// Notes that an upstream is not cold.
    pub fn mark_warm(&mut self, upstream: u32) {
        self.loads.node(upstream).warmup.end();
    }
}
