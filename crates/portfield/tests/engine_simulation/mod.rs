//! Discrete-event simulation of hosts with the real balancer, of engines as the users specify them,
//! and of callers that retry once; counts what callers get.
//!
//! An engine reads prompts in order of arrival at a constant speed, without priorities, and does
//! not read a cached part again. Not modelled: reading that slows down with the number of running
//! requests, and eviction.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use portfield::{
    balance::{Balancer, Candidate, Completion, Placement, PlacementRequest, Stage},
    catalog::EngineSpec,
    ids::RunId,
    upstream::{Prompt, PromptPart},
    wire::Digest,
};

use crate::event_queue::EventQueue;

/// Time over which shares are computed.
const WINDOW: Duration = Duration::from_secs(4);
/// Time between two digests of a host.
const DIGEST_PERIOD: Duration = Duration::from_millis(50);
/// Time from the end of reading to the first event.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(50);
/// Time to generate one event.
const EVENT_TIME: Duration = Duration::from_millis(20);
/// Tokens in one event.
const EVENT_TOKENS: u32 = 5;
/// Virtual time at which the load begins.
const START: Duration = Duration::from_secs(1);

/// A fleet and the duration of its simulation.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub n_hosts: usize,
    pub n_engines: usize,
    /// Tokens that an engine reads per millisecond.
    pub tokens_per_ms: f64,
    /// Configured capacity of all engines together, in tokens per second.
    pub capacity: f64,
    pub duration: Duration,
}

/// Demand of one workspace: one kind of prompt, with shared parts drawn uniformly.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub workspace: u32,
    /// Requests per second.
    pub rate: f64,
    /// Number of shared parts, and tokens of each.
    pub shared_parts: (u64, u32),
    /// Mean tokens of the prompt's own part, which is drawn uniformly up to twice that.
    pub own_tokens: u32,
    /// Tokens generated.
    pub output_tokens: u32,
    pub objective: Duration,
}

/// Outcomes of a workspace's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcomes {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    /// Refused, and refused again on retry.
    pub refused: u32,
}

impl Outcomes {
    /// Returns the part answered within the objective, counted from the first attempt.
    pub fn in_time_ratio(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// Simulates a load; the seed determines the times of requests and their prompts.
pub fn simulate(fleet: Fleet, demands: &[Demand], seed: u64) -> HashMap<u32, Outcomes> {
    let mut it = Simulation::new(fleet, demands, seed);
    it.run();
    it.outcomes
}

/// Simulates a load and returns the tokens that each workspace asked for and got in each second; a
/// retry asks again.
pub fn simulate_tokens(fleet: Fleet, demands: &[Demand], seed: u64) -> HashMap<u32, Vec<Tokens>> {
    let mut it = Simulation::new(fleet, demands, seed);
    it.run();
    it.tokens
}

/// Tokens of a workspace's requests in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tokens {
    pub asked: f64,
    pub granted: f64,
}

/// Returns the lowest ratio, over all spans of `n_seconds`, of the tokens that a workspace got to
/// those that it was entitled to: in each second the lesser of what it asked for and what the best
/// served workspace got. Users call a ratio below 0.5 unfair.
pub fn min_fairness(tokens: &HashMap<u32, Vec<Tokens>>, workspace: u32, n_seconds: usize) -> f64 {
    let own = &tokens[&workspace];
    let ratio = |from: usize| {
        let span = from..from + n_seconds;
        let granted = |it: &Vec<Tokens>| it[span.clone()].iter().map(|it| it.granted).sum::<f64>();
        let largest =
            tokens.values().max_by(|a, b| granted(a).total_cmp(&granted(b))).expect("a workspace");
        let entitled: f64 = span.clone().map(|it| own[it].asked.min(largest[it].granted)).sum();
        granted(own) / entitled.max(1.0)
    };
    (0..=own.len() - n_seconds).map(ratio).fold(f64::INFINITY, f64::min)
}

/// One attempt at a caller's request.
#[derive(Debug, Clone)]
struct Attempt {
    request: PlacementRequest,
    first_sent: Duration,
    is_retry: bool,
}

#[derive(Debug)]
enum Event {
    Attempt(Attempt),
    FirstToken { host: usize, run: RunId, attempt: Attempt },
    End { host: usize, run: RunId },
    Digest,
}

#[derive(Debug, Default)]
struct Engine {
    /// When it will have read everything it was sent.
    idle_at: Duration,
    cached: HashSet<u64>,
}

struct Simulation {
    fleet: Fleet,
    hosts: Vec<Balancer>,
    engines: Vec<Engine>,
    candidates: Vec<Candidate>,
    events: EventQueue<Event>,
    n_digests: u64,
    rng: fastrand::Rng,
    outcomes: HashMap<u32, Outcomes>,
    tokens: HashMap<u32, Vec<Tokens>>,
}

impl Simulation {
    fn new(fleet: Fleet, demands: &[Demand], seed: u64) -> Self {
        let candidate = |it: usize| Candidate { upstream: it as u32, slots: 128, is_local: true };
        let new_host = |_| {
            let mut host = Balancer::new(WINDOW);
            host.set_capacity(fleet.capacity);
            host
        };
        let mut res = Self {
            fleet,
            hosts: (0..fleet.n_hosts).map(new_host).collect(),
            engines: (0..fleet.n_engines).map(|_| Engine::default()).collect(),
            candidates: (0..fleet.n_engines).map(candidate).collect(),
            events: EventQueue::default(),
            n_digests: 0,
            rng: fastrand::Rng::with_seed(seed),
            outcomes: HashMap::new(),
            tokens: HashMap::new(),
        };
        demands.iter().for_each(|it| res.schedule(it));
        res.events.push(START, Event::Digest);
        res
    }

    /// Schedules a workspace's requests with exponentially distributed gaps.
    fn schedule(&mut self, demand: &Demand) {
        let mut at = START;
        loop {
            let gap = -(1.0 - self.rng.f64()).ln() / demand.rate;
            at += Duration::from_secs_f64(gap);
            if START + self.fleet.duration <= at {
                return;
            }
            let attempt =
                Attempt { request: self.request(demand), first_sent: at, is_retry: false };
            self.outcomes.entry(demand.workspace).or_default().asked += 1;
            self.events.push(at, Event::Attempt(attempt));
        }
    }

    fn request(&mut self, demand: &Demand) -> PlacementRequest {
        let (n_shared, shared) = demand.shared_parts;
        let own = 1 + self.rng.u32(0..2 * demand.own_tokens);
        let parts = vec![
            PromptPart {
                id: u64::from(demand.workspace) << 32 | self.rng.u64(0..n_shared),
                tokens: shared,
            },
            PromptPart { id: self.rng.u64(1 << 50..), tokens: own },
        ];
        let prompt = Prompt {
            input_tokens: shared + own,
            max_output_tokens: demand.output_tokens,
            parts,
            ..Prompt::default()
        };
        PlacementRequest {
            workspace: demand.workspace,
            service: 1,
            prompt: Some(prompt),
            objective: demand.objective,
            waited: Duration::ZERO,
            stage: Stage::New,
            engine: Some(EngineSpec {
                slots: 128,
                kv_capacity: 1_000_000,
                event_tokens: EVENT_TOKENS,
                ..EngineSpec::default()
            }),
            ..PlacementRequest::default()
        }
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.events.pop() {
            match event {
                Event::Attempt(attempt) => self.attempt(now, attempt),
                Event::FirstToken { host, run, attempt } => {
                    self.first_event(now, host, run, &attempt);
                }
                Event::End { host, run } => self.hosts[host].record_end(now, run, Completion::Done),
                Event::Digest => self.exchange_digests(now),
            }
        }
    }

    fn attempt(&mut self, now: Duration, attempt: Attempt) {
        let host = self.rng.usize(0..self.hosts.len());
        let cost = attempt.request.prompt.as_ref().map_or(0.0, Prompt::token_cost);
        self.record_tokens(now, &attempt, Tokens { asked: cost, granted: 0.0 });
        match self.hosts[host].place(now, &attempt.request, &self.candidates) {
            Placement::Send(placed) => {
                self.record_tokens(now, &attempt, Tokens { asked: 0.0, granted: cost });
                let run = self.hosts[host].record_start(now, &attempt.request, &placed);
                let read = self.engines[placed.upstream as usize].read(
                    now,
                    &attempt.request,
                    self.fleet.tokens_per_ms,
                );
                let prompt =
                    attempt.request.prompt.as_ref().expect("engines' requests have prompts");
                let first = read + FIRST_EVENT_DELAY;
                let end = first + EVENT_TIME * (prompt.max_output_tokens / EVENT_TOKENS);
                self.events.push(first, Event::FirstToken { host, run, attempt });
                self.events.push(end, Event::End { host, run });
            }
            Placement::Refuse { retry_after, .. } if !attempt.is_retry => {
                self.events
                    .push(now + retry_after, Event::Attempt(Attempt { is_retry: true, ..attempt }));
            }
            Placement::Refuse { .. } => self.outcomes_of(&attempt).refused += 1,
        }
    }

    fn record_tokens(&mut self, now: Duration, attempt: &Attempt, tokens: Tokens) {
        let n_seconds = self.fleet.duration.as_secs() as usize;
        let seconds = self.tokens.entry(attempt.request.workspace).or_default();
        seconds.resize(n_seconds, Tokens::default());
        // Retries after the end of the load are not counted.
        if let Some(it) = seconds.get_mut(now.saturating_sub(START).as_secs() as usize) {
            it.asked += tokens.asked;
            it.granted += tokens.granted;
        }
    }

    fn first_event(&mut self, now: Duration, host: usize, run: RunId, attempt: &Attempt) {
        self.hosts[host].record_first_event(now, run);
        let is_late = attempt.first_sent + attempt.request.objective < now;
        let outcomes = self.outcomes_of(attempt);
        if is_late { outcomes.late += 1 } else { outcomes.in_time += 1 }
    }

    fn outcomes_of(&mut self, attempt: &Attempt) -> &mut Outcomes {
        self.outcomes.entry(attempt.request.workspace).or_default()
    }

    fn exchange_digests(&mut self, now: Duration) {
        self.n_digests += 1;
        let sequence = self.n_digests;
        let report = |(id, host): (usize, &mut Balancer)| {
            let id = id as u64 + 1;
            let mut res = Digest { host: id, incarnation: id, sequence, ..Digest::default() };
            host.fill_digest(now, &mut res);
            res
        };
        let digests: Vec<Digest> = self.hosts.iter_mut().enumerate().map(report).collect();
        for (id, host) in self.hosts.iter_mut().enumerate() {
            let peers = digests.iter().filter(|it| it.host != id as u64 + 1);
            peers.for_each(|it| host.merge_digest(now, it));
        }
        if now < START + self.fleet.duration {
            self.events.push(now + DIGEST_PERIOD, Event::Digest);
        }
    }
}

impl Engine {
    /// Returns when a prompt that arrives now will have been read.
    fn read(&mut self, now: Duration, request: &PlacementRequest, tokens_per_ms: f64) -> Duration {
        let parts = request.prompt.iter().flat_map(|it| &it.parts);
        let uncached: u32 = parts.filter(|it| self.cached.insert(it.id)).map(|it| it.tokens).sum();
        let time = Duration::from_secs_f64(f64::from(uncached) / tokens_per_ms / 1000.0);
        self.idle_at = self.idle_at.max(now) + time;
        self.idle_at
    }
}
