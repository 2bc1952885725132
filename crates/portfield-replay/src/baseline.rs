//! Simpler scheduling policies that replay the same traces, for comparison with the fleet.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    case::Case,
    engine::TOKENS_PER_STEP,
    metrics::{Metrics, MetricsCollector, RequestState},
    trace::Arrival,
};

/// A scheduling policy without schedulers.
///
/// Its replay has no message delays, ignores faults, and lets all services share one set of
/// engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// Routers forward requests round-robin, and upstreams queue them in order of arrival.
    Fifo,
    /// Each router has a fixed part of all slots and grants them to its own backlogged workspace
    /// with the least normalised service, as exchanged among routers once a second.
    Local,
}

/// Time between two exchanges of usage among routers.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A request arrives, given by index.
    Arrive(usize),
    /// A request completes a step: its index, the tokens generated before, and its queue.
    GenerateTokens(usize, u32, usize),
    /// Routers exchange their usage.
    ExchangeUsage,
    /// The slots in use are sampled.
    SampleSlots,
}

/// A queue with slots of its own: one for each upstream (FIFO) or router (local).
#[derive(Debug, Clone, Default)]
struct SlotQueue {
    slots: u32,
    used: u32,
    /// Waiting requests of each workspace, for [`Baseline::Local`].
    waiting: Vec<VecDeque<usize>>,
    /// Waiting requests of all workspaces, for [`Baseline::Fifo`].
    arrival_order: VecDeque<usize>,
    /// Normalised service of each workspace since the last exchange.
    recent_service: Vec<f64>,
}

/// Replays the trace of a case under a baseline and returns its metrics.
pub fn replay(baseline: Baseline, case: &Case, arrivals: &[Arrival]) -> Metrics {
    let mut it = Simulation::new(baseline, case, arrivals);
    it.run();
    let n_hosts = case.deployment.hosts.iter().sum();
    it.metrics.summarize(it.now, n_hosts)
}

struct Simulation<'a> {
    baseline: Baseline,
    case: &'a Case,
    arrivals: &'a [Arrival],
    workspaces: Vec<String>,
    shares: Vec<f64>,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    n_events: u64,
    queues: Vec<SlotQueue>,
    /// Normalised service of each workspace until the last exchange.
    exchanged_service: Vec<f64>,
    next_queue: usize,
    metrics: MetricsCollector,
}

impl<'a> Simulation<'a> {
    fn new(baseline: Baseline, case: &'a Case, arrivals: &'a [Arrival]) -> Self {
        let deployment = &case.deployment;
        let n_engines: usize = deployment.engines.iter().sum();
        let n_hosts: usize = deployment.hosts.iter().sum();
        let (workspaces, shares) = case.workspaces();
        let total = n_engines as u32 * deployment.slots;
        let n_queues = if baseline == Baseline::Fifo { n_engines } else { n_hosts };
        let queue = |idx: usize| {
            let n = n_queues as u32;
            let slots = total / n + u32::from((idx as u32) < total % n);
            let waiting = vec![VecDeque::new(); workspaces.len()];
            let recent_service = vec![0.0; workspaces.len()];
            SlotQueue { slots, waiting, recent_service, ..SlotQueue::default() }
        };
        let mut res = Self {
            baseline,
            case,
            arrivals,
            queues: (0..n_queues).map(queue).collect(),
            exchanged_service: vec![0.0; workspaces.len()],
            workspaces,
            shares,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            n_events: 0,
            next_queue: 0,
            metrics: MetricsCollector::new(case, arrivals),
        };
        for (idx, it) in arrivals.iter().enumerate() {
            res.schedule_at(Duration::from_millis(it.at), Event::Arrive(idx));
        }
        res.schedule_at(Duration::ZERO, Event::SampleSlots);
        res.schedule_at(EXCHANGE_INTERVAL, Event::ExchangeUsage);
        res
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.n_events += 1;
        self.events.insert((at, self.n_events), event);
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            if !self.metrics.has_pending() {
                return;
            }
            match event {
                Event::Arrive(request) => self.arrive(request),
                Event::GenerateTokens(request, generated, queue) => {
                    self.generate_tokens(request, generated, queue);
                }
                Event::ExchangeUsage => self.exchange_usage(),
                Event::SampleSlots => self.sample_slots(),
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        self.metrics.set_state(self.now, request, RequestState::Waits);
        let it = &self.arrivals[request];
        let queue = match self.baseline {
            Baseline::Fifo => {
                self.next_queue += 1;
                self.next_queue % self.queues.len()
            }
            Baseline::Local => it.entry % self.queues.len(),
        };
        let workspace = self.workspace_index(request);
        self.queues[queue].waiting[workspace].push_back(request);
        self.queues[queue].arrival_order.push_back(request);
        self.dispatch(queue);
    }

    fn dispatch(&mut self, queue: usize) {
        while self.queues[queue].used < self.queues[queue].slots {
            let Some(request) = self.pick_next(queue) else { return };
            self.queues[queue].used += 1;
            self.metrics.set_state(self.now, request, RequestState::Runs);
            let step = self.arrivals[request].cost.min(TOKENS_PER_STEP);
            self.schedule_at(
                self.now + self.generation_time(step),
                Event::GenerateTokens(request, 0, queue),
            );
        }
    }

    /// Removes the request that gets the next slot from a queue.
    fn pick_next(&mut self, queue: usize) -> Option<usize> {
        if self.baseline == Baseline::Fifo {
            return self.queues[queue].arrival_order.pop_front();
        }
        let it = &self.queues[queue];
        let waiting = (0..self.workspaces.len()).filter(|idx| !it.waiting[*idx].is_empty());
        let service = |idx: &usize| self.exchanged_service[*idx] + it.recent_service[*idx];
        let workspace = waiting.min_by(|a, b| service(a).total_cmp(&service(b)))?;
        self.queues[queue].waiting[workspace].pop_front()
    }

    fn generate_tokens(&mut self, request: usize, generated: u32, queue: usize) {
        let cost = self.arrivals[request].cost;
        let step = TOKENS_PER_STEP.min(cost - generated);
        self.metrics.record_tokens(self.now, request, step);
        let workspace = self.workspace_index(request);
        self.queues[queue].recent_service[workspace] += f64::from(step) / self.shares[workspace];
        let generated = generated + step;
        if generated < cost {
            let next = TOKENS_PER_STEP.min(cost - generated);
            self.schedule_at(
                self.now + self.generation_time(next),
                Event::GenerateTokens(request, generated, queue),
            );
            return;
        }
        self.metrics.set_state(self.now, request, RequestState::Answered);
        self.queues[queue].used -= 1;
        self.dispatch(queue);
    }

    fn exchange_usage(&mut self) {
        for it in &mut self.queues {
            for (exchanged, recent) in self.exchanged_service.iter_mut().zip(&mut it.recent_service)
            {
                *exchanged += std::mem::take(recent);
            }
        }
        self.schedule_at(self.now + EXCHANGE_INTERVAL, Event::ExchangeUsage);
    }

    fn sample_slots(&mut self) {
        let busy = self.queues.iter().map(|it| it.used).sum();
        let capacity = self.queues.iter().map(|it| it.slots).sum();
        self.metrics.sample_slots(self.now, busy, capacity);
        self.schedule_at(self.now + Duration::from_millis(10), Event::SampleSlots);
    }

    /// Returns the index of a request's workspace.
    fn workspace_index(&self, request: usize) -> usize {
        let name = &self.arrivals[request].workspace;
        self.workspaces.iter().position(|it| it == name).unwrap_or(0)
    }

    /// Returns the time to generate a number of tokens of one request.
    fn generation_time(&self, tokens: u32) -> Duration {
        Duration::from_micros(self.case.deployment.token_us) * tokens
    }
}
