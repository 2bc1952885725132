//! Baselines in the same replay: what the fleet is measured against.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    case::Case,
    engine::STEP,
    metrics::{Metrics, MetricsCollector, RequestState},
    trace::Arrival,
};

/// A way to decide without schedulers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// Each router sends at once to the next upstream in turn, which queues in order of arrival.
    Fifo,
    /// Each router has a part of every upstream's slots and shares it fairly among its own
    /// workspaces, by the service that all routers told each other a second ago.
    Local,
}

/// Time between two exchanges of service among routers.
const EXCHANGE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive(usize),
    Tokens(usize, u32, usize),
    Exchange,
    Sample,
}

/// One queue with slots: an upstream's for FIFO, a router's part of the fleet for local.
#[derive(Debug, Clone, Default)]
struct Place {
    slots: u32,
    used: u32,
    waiting: Vec<VecDeque<usize>>,
    order: VecDeque<usize>,
    served: Vec<f64>,
}

/// Replays a case's trace under a baseline.
pub fn replay(baseline: Baseline, case: &Case, arrivals: &[Arrival]) -> Metrics {
    let mut it = Run::new(baseline, case, arrivals);
    it.run();
    let n_hosts = case.deployment.hosts.iter().sum();
    it.metrics.summarize(it.now, n_hosts)
}

struct Run<'a> {
    baseline: Baseline,
    case: &'a Case,
    arrivals: &'a [Arrival],
    names: Vec<String>,
    shares: Vec<f64>,
    now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    n_events: u64,
    places: Vec<Place>,
    /// Service for share as told at the last exchange, and since.
    told: Vec<f64>,
    next: usize,
    metrics: MetricsCollector,
}

impl<'a> Run<'a> {
    fn new(baseline: Baseline, case: &'a Case, arrivals: &'a [Arrival]) -> Self {
        let deployment = &case.deployment;
        let n_engines: usize = deployment.engines.iter().sum();
        let n_hosts: usize = deployment.hosts.iter().sum();
        let (names, shares) = case.workspaces();
        let total = n_engines as u32 * deployment.slots;
        let n_places = if baseline == Baseline::Fifo { n_engines } else { n_hosts };
        let place = |idx: usize| {
            let n = n_places as u32;
            let slots = total / n + u32::from((idx as u32) < total % n);
            let waiting = vec![VecDeque::new(); names.len()];
            let served = vec![0.0; names.len()];
            Place { slots, waiting, served, ..Place::default() }
        };
        let mut res = Self {
            baseline,
            case,
            arrivals,
            places: (0..n_places).map(place).collect(),
            told: vec![0.0; names.len()],
            names,
            shares,
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            n_events: 0,
            next: 0,
            metrics: MetricsCollector::new(case, arrivals),
        };
        for (idx, it) in arrivals.iter().enumerate() {
            res.at(Duration::from_millis(it.at), Event::Arrive(idx));
        }
        res.at(Duration::ZERO, Event::Sample);
        res.at(EXCHANGE, Event::Exchange);
        res
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.n_events += 1;
        self.queue.insert((at, self.n_events), event);
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            if !self.metrics.has_pending() {
                return;
            }
            match event {
                Event::Arrive(request) => self.arrive(request),
                Event::Tokens(request, made, place) => self.make_tokens(request, made, place),
                Event::Exchange => self.exchange(),
                Event::Sample => self.sample(),
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        self.metrics.set_state(self.now, request, RequestState::Waits);
        let it = &self.arrivals[request];
        let place = match self.baseline {
            Baseline::Fifo => {
                self.next += 1;
                self.next % self.places.len()
            }
            Baseline::Local => it.entry % self.places.len(),
        };
        let owner = self.owner(request);
        self.places[place].waiting[owner].push_back(request);
        self.places[place].order.push_back(request);
        self.dispatch(place);
    }

    fn dispatch(&mut self, place: usize) {
        while self.places[place].used < self.places[place].slots {
            let Some(request) = self.choose(place) else { return };
            self.places[place].used += 1;
            self.metrics.set_state(self.now, request, RequestState::Runs);
            let step = self.arrivals[request].cost.min(STEP);
            self.at(self.now + self.time(step), Event::Tokens(request, 0, place));
        }
    }

    fn choose(&mut self, place: usize) -> Option<usize> {
        if self.baseline == Baseline::Fifo {
            return self.places[place].order.pop_front();
        }
        let it = &self.places[place];
        let waiting = (0..self.names.len()).filter(|idx| !it.waiting[*idx].is_empty());
        let service = |idx: &usize| self.told[*idx] + it.served[*idx];
        let owner = waiting.min_by(|a, b| service(a).total_cmp(&service(b)))?;
        self.places[place].waiting[owner].pop_front()
    }

    fn make_tokens(&mut self, request: usize, made: u32, place: usize) {
        let cost = self.arrivals[request].cost;
        let step = STEP.min(cost - made);
        self.metrics.record_tokens(self.now, request, step);
        let owner = self.owner(request);
        self.places[place].served[owner] += f64::from(step) / self.shares[owner];
        let made = made + step;
        if made < cost {
            let next = STEP.min(cost - made);
            self.at(self.now + self.time(next), Event::Tokens(request, made, place));
            return;
        }
        self.metrics.set_state(self.now, request, RequestState::Answered);
        self.places[place].used -= 1;
        self.dispatch(place);
    }

    fn exchange(&mut self) {
        for it in &mut self.places {
            for (told, served) in self.told.iter_mut().zip(&mut it.served) {
                *told += std::mem::take(served);
            }
        }
        self.at(self.now + EXCHANGE, Event::Exchange);
    }

    fn sample(&mut self) {
        let busy = self.places.iter().map(|it| it.used).sum();
        let capacity = self.places.iter().map(|it| it.slots).sum();
        self.metrics.sample_slots(self.now, busy, capacity);
        self.at(self.now + Duration::from_millis(10), Event::Sample);
    }

    fn owner(&self, request: usize) -> usize {
        let name = &self.arrivals[request].workspace;
        self.names.iter().position(|it| it == name).unwrap_or(0)
    }

    fn time(&self, tokens: u32) -> Duration {
        Duration::from_micros(self.case.deployment.token_us) * tokens
    }
}
