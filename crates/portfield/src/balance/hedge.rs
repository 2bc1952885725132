//! Hedged requests: when a request to a plain upstream is sent to a second one as well.
//!
//! The load this answers: plain upstreams that turn 2.5 times slower for a moment, under requests
//! that may run twice. A hedge that waits for the 95th percentile costs one request in twenty. Where
//! upstreams are full it would make all requests slower, so there is none then.

use std::{collections::VecDeque, time::Duration};

use super::{
    Balancer,
    placement::{Assignment, Candidate, Completion, Placement, PlacementRequest},
};
use crate::fast_map::FastMap;

/// Part of the recent requests that are answered before a hedge is sent.
const HEDGED_AFTER: f64 = 0.95;
/// Recent requests of a service that are kept.
const MAX_TIMES: usize = 100;
/// Number of them below which the percentile is not known: of twenty, one is above it.
const MIN_TIMES: usize = 20;
/// Age up to which a time counts. A host with few callers sees some five requests of a plain
/// service per second.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Time after a refusal for lack of capacity in which no hedge is sent.
const OVERLOAD_TIME: Duration = Duration::from_secs(1);

/// Why a request is not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeRefusal {
    /// Requests of the service were refused for lack of capacity within the last second.
    Overloaded,
    /// No other upstream has a free slot.
    NoFreeSlot,
    /// The time left is shorter than a request usually takes.
    NoTime,
}

impl HedgeRefusal {
    /// Returns the label used in logs and metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(portfield::balance::HedgeRefusal::NoTime.as_str(), "no time");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::NoFreeSlot => "no free slot",
            Self::NoTime => "no time",
        }
    }
}

/// What is known of one service.
#[derive(Debug, Default)]
struct ServiceTimes {
    /// Times of its recent requests, and when they ended.
    recent: VecDeque<(Duration, Duration)>,
    last_refusal: Option<Duration>,
}

impl ServiceTimes {
    fn add(&mut self, now: Duration, time: Duration) {
        self.recent.push_back((now, time));
        if MAX_TIMES < self.recent.len() {
            self.recent.pop_front();
        }
    }

    /// Returns the percentile after which a hedge is sent.
    fn percentile(&self, now: Duration) -> Option<Duration> {
        let is_recent = |it: &&(Duration, Duration)| now < it.0 + MAX_AGE;
        let mut times: Vec<Duration> =
            self.recent.iter().filter(is_recent).map(|it| it.1).collect();
        if times.len() < MIN_TIMES {
            return None;
        }
        let idx = (times.len() as f64 * HEDGED_AFTER) as usize;
        Some(*times.select_nth_unstable(idx).1)
    }

    fn is_overloaded(&self, now: Duration) -> bool {
        self.last_refusal.is_some_and(|it| now < it + OVERLOAD_TIME)
    }
}

/// Recent times and refusals of plain services.
#[derive(Debug, Default)]
pub(super) struct HedgeTimes {
    services: FastMap<u32, ServiceTimes>,
}

impl HedgeTimes {
    /// Records how long a request took at an upstream, and how it ended there.
    pub(super) fn record_end(
        &mut self,
        now: Duration,
        service: u32,
        time: Duration,
        completion: Completion,
    ) {
        let times = self.services.entry(service).or_default();
        match completion {
            Completion::Done => times.add(now, time),
            // A request that was cancelled after the percentile would have taken longer still. Left
            // out, it would lower the percentile each time that a hedge wins.
            Completion::Cancelled if times.percentile(now).is_some_and(|it| it <= time) => {
                times.add(now, time);
            }
            Completion::Rejected | Completion::BackoffRequested => times.last_refusal = Some(now),
            _ => {}
        }
    }

    /// Records that a request was refused for lack of capacity.
    pub(super) fn record_refusal(&mut self, now: Duration, request: &PlacementRequest) {
        if request.engine.is_none() {
            self.services.entry(request.service).or_default().last_refusal = Some(now);
        }
    }
}

impl Balancer {
    /// Returns how long a request of a plain service waits for its upstream before it is sent to a
    /// second one; `None` if hedged requests are off or too few times are known.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Balancer;
    /// use std::time::Duration;
    ///
    /// let balancer = Balancer::new(Duration::from_secs(4));
    /// assert_eq!(balancer.hedge_delay(Duration::from_secs(1), 7), None);
    /// ```
    pub fn hedge_delay(&self, now: Duration, service: u32) -> Option<Duration> {
        if !self.options.engine_speed.is_on() {
            return None;
        }
        self.hedge_times.services.get(&service)?.percentile(now)
    }

    /// Chooses the second upstream for a request of a plain service with `left` until its deadline;
    /// `candidates` are the upstreams that it was not sent to yet.
    ///
    /// # Errors
    ///
    /// Why the request is not to be sent to a second upstream.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::{Balancer, Candidate, HedgeRefusal, PlacementRequest};
    /// use std::time::Duration;
    ///
    /// let mut balancer = Balancer::new(Duration::from_secs(4));
    /// let request = PlacementRequest { objective: Duration::from_secs(1), ..Default::default() };
    /// let (now, left) = (Duration::from_secs(1), Duration::from_secs(2));
    /// let candidate = Candidate { upstream: 7, slots: 4, is_local: true };
    /// let hedge = balancer.place_hedge(now, &request, left, &[candidate]);
    /// assert_eq!(hedge.map(|it| it.upstream), Ok(7));
    /// let nowhere = balancer.place_hedge(now, &request, left, &[]);
    /// assert_eq!(nowhere, Err(HedgeRefusal::NoFreeSlot));
    /// ```
    pub fn place_hedge(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        left: Duration,
        candidates: &[Candidate],
    ) -> Result<Assignment, HedgeRefusal> {
        let times = self.hedge_times.services.get(&request.service);
        if times.is_some_and(|it| it.is_overloaded(now)) {
            return Err(HedgeRefusal::Overloaded);
        }
        let running = |it: u32| self.upstreams.get(it).map_or(0.0, |it| it.total().running);
        let has_slot = |it: &&Candidate| running(it.upstream) + 1.0 <= f64::from(it.slots);
        let free: Vec<Candidate> = candidates.iter().filter(has_slot).copied().collect();
        let Placement::Send(res) = self.place(now, request, &free) else {
            return Err(HedgeRefusal::NoFreeSlot);
        };
        if left < res.estimate {
            return Err(HedgeRefusal::NoTime);
        }
        Ok(res)
    }
}
