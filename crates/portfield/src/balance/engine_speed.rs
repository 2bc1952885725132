//! What the balancer learns of each engine's speed, and what it leaves to the latency model and the
//! bias; does nothing while [`BalancerOptions::engine_speed`](super::BalancerOptions) is off.

use std::time::Duration;

use super::{Balancer, scoring::from_millis};
use crate::{
    ids::RunId,
    upstream::{EngineSpeed, EngineSpeeds},
    wire,
};

/// A first event, as the latency model and the bias learn it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FirstEvent {
    /// Time to it.
    pub time: Duration,
    /// Time that was estimated, without the bias.
    pub expected: Duration,
}

impl Balancer {
    /// Records a mean gap between the events of a request at its engine.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Balancer;
    /// use std::time::Duration;
    ///
    /// let mut balancer = Balancer::new(Duration::from_secs(4));
    /// let now = Duration::from_secs(1);
    /// balancer.record_gap(now, 1, Duration::from_millis(30));
    /// assert_eq!(balancer.engine_speed(now, 7).decode, 1.0, "no such request is known");
    /// ```
    pub fn record_gap(&mut self, now: Duration, id: RunId, gap: Duration) {
        if !self.options.engine_speed.is_on() {
            return;
        }
        self.update_speeds(now);
        let Some(run) = self.runs.get(&id).filter(|it| it.is_engine) else { return };
        self.speeds.observe_gap(run.service, run.upstream, gap);
        self.upstreams.entry(run.upstream).renew_report();
    }

    /// Returns the mean gap between events of a service, if it is to be compared with.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Balancer;
    /// use std::time::Duration;
    ///
    /// assert_eq!(Balancer::new(Duration::from_secs(4)).expected_gap(1), None);
    /// ```
    pub fn expected_gap(&self, service: u32) -> Option<Duration> {
        self.speeds.expected_gap(service)
    }

    /// Returns the speeds of an engine, as multiples of its service's.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Balancer;
    /// use std::time::Duration;
    ///
    /// let mut balancer = Balancer::new(Duration::from_secs(4));
    /// assert_eq!(balancer.engine_speed(Duration::from_secs(1), 7).prefill, 1.0);
    /// ```
    pub fn engine_speed(&mut self, now: Duration, upstream: u32) -> EngineSpeed {
        self.update_speeds(now);
        self.speeds.speed(upstream)
    }

    /// Returns the engines that take at least 1.35 times as long as their service.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Balancer;
    /// use std::time::Duration;
    ///
    /// let mut balancer = Balancer::new(Duration::from_secs(4));
    /// assert!(balancer.slow_engines(Duration::from_secs(1)).is_empty());
    /// ```
    pub fn slow_engines(&mut self, now: Duration) -> Vec<u32> {
        self.update_speeds(now);
        self.speeds.slow_engines().collect()
    }

    /// Forgets the speeds if they are not to be used.
    pub(super) fn reset_disabled_speeds(&mut self) {
        if !self.options.engine_speed.is_on() {
            self.speeds = EngineSpeeds::default();
        }
    }

    /// Brings the speeds up to date.
    pub(super) fn update_speeds(&mut self, now: Duration) {
        if !self.options.engine_speed.is_on() || !self.speeds.is_due(now) {
            return;
        }
        let random = self.next_random();
        self.speeds.update(now, random);
        for run in self.runs.values_mut().filter(|it| it.is_engine && !it.has_begun) {
            let pending = self.upstreams.get(run.upstream).map_or(0.0, |it| it.peers.pending);
            run.peers_ahead.1 = run.peers_ahead.1.max(pending);
        }
    }

    /// Records the time to the first event of a request at an engine, and returns the times as they
    /// would be at an engine of the service's speed: what is attributed to the engine must not be
    /// learned as the service's speed too.
    pub(super) fn observe_first_event(&mut self, now: Duration, id: RunId) -> FirstEvent {
        let Some(run) = self.runs.get(&id) else { return FirstEvent::default() };
        let time = now.saturating_sub(run.started);
        if !self.options.engine_speed.is_on() {
            return FirstEvent { time, expected: run.expected };
        }
        let (service, upstream) = (run.service, run.upstream);
        let expected = run.expected.div_f64(run.slowness);
        let (known, peak) = run.peers_ahead;
        let rate = self.latency_models.entry(service).or_default().tokens_per_ms();
        let explained = expected + from_millis((peak - known) / rate);
        self.update_speeds(now);
        self.speeds.observe_first_event(service, upstream, time, (expected, explained));
        self.upstreams.entry(upstream).renew_report();
        FirstEvent { time: time.div_f64(self.speeds.slowness(upstream).prefill), expected }
    }

    /// Adds the speeds that this host observed to its digest.
    pub(super) fn report_speeds(&mut self, now: Duration, digest: &mut wire::Digest) {
        if self.options.engine_speed.is_on() {
            self.update_speeds(now);
            self.speeds.expire(now);
            self.speeds.fill_digest(&mut digest.loads);
        }
    }

    /// Adds the speeds that this data centre's hosts observed to its summary.
    pub(super) fn summarize_speeds(&mut self, now: Duration, digest: &mut wire::Digest) {
        if self.options.engine_speed.is_on() {
            self.update_speeds(now);
            self.speeds.fill_summary(digest);
        }
    }

    /// Merges the speeds that other hosts observed.
    pub(super) fn merge_speeds(&mut self, now: Duration, digest: &wire::Digest) {
        if !self.options.engine_speed.is_on() {
            return;
        }
        self.update_speeds(now);
        for it in self.speeds.merge_digest(now, digest) {
            self.upstreams.entry(it).renew_summary();
        }
    }
}
