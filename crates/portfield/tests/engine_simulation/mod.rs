//! Discrete-event simulation of hosts with the real balancer, of engines as the users specify them,
//! and of callers that retry once; counts what callers get.
//!
//! An engine reads prompts in order of arrival at a constant speed, without priorities, and does
//! not read a cached part again; a request that finds no free slot waits for one. Callers retry
//! within a third of the time that they have left. Not modelled: reading that slows down with the
//! number of running requests, and eviction.

// Each test uses a part of this.
#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    time::Duration,
};

use portfield::{
    balance::{
        Balancer, BalancerOptions, Candidate, Completion, Placement, PlacementRequest, Stage,
    },
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
/// Credit of a request served late, as the archive counts it.
const LATE_CREDIT: f64 = 0.1;
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
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Time to generate one event.
    pub event_time: Duration,
    pub options: BalancerOptions,
    pub disruption: Disruption,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            n_hosts: 8,
            n_engines: 9,
            tokens_per_ms: 100.0,
            capacity: 0.0,
            duration: Duration::from_secs(20),
            slots: 128,
            event_time: Duration::from_millis(20),
            options: BalancerOptions::default(),
            disruption: Disruption::None,
        }
    }
}

/// What goes wrong during a simulation; times count from the start of the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Disruption {
    None,
    /// The first host ends; callers go to the others.
    HostEnds(Duration),
    /// All hosts start anew, and their callers retry; the engines go on.
    AllRestart(Duration),
    /// Digests are lost with this probability.
    DigestsLost(f64),
    /// Digests arrive this much later.
    DigestsLate(Duration),
}

/// Demand of one workspace: one kind of prompt, with shared parts drawn uniformly.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    pub workspace: u32,
    /// Hash of the route's name.
    pub route: u32,
    /// Requests per second.
    pub rate: f64,
    /// Number of shared parts, and tokens of each.
    pub shared_parts: (u64, u32),
    /// Mean tokens of the prompt's own part, which is drawn uniformly up to twice that.
    pub own_tokens: u32,
    /// Tokens generated.
    pub output_tokens: u32,
    pub objective: Duration,
    /// Time that callers wait in all; zero if they retry after any delay.
    pub deadline: Duration,
    /// When the demand begins and ends, from the start of the load; it ends with the load if the
    /// end is zero.
    pub span: (Duration, Duration),
}

/// Outcomes of a workspace's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcomes {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    /// Refused, and refused again on retry.
    pub refused: u32,
    /// Late by the first attempt, but refused early and in time by the second one.
    pub returned: u32,
    /// Retries that were refused.
    pub refused_again: u32,
}

impl Outcomes {
    fn add(&mut self, it: Self) {
        self.asked += it.asked;
        self.in_time += it.in_time;
        self.late += it.late;
        self.refused += it.refused;
        self.returned += it.returned;
        self.refused_again += it.refused_again;
    }

    /// Returns the part answered within the objective, counted from the first attempt.
    pub fn in_time_ratio(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    /// Returns the mean credit that callers earn.
    pub fn credit(&self) -> f64 {
        let returned = f64::from(self.returned) * (1.0 + LATE_CREDIT) / 2.0;
        let late = f64::from(self.late - self.returned) * LATE_CREDIT;
        (f64::from(self.in_time) + returned + late) / f64::from(self.asked.max(1))
    }
}

/// A class of requests of which outcomes are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Class {
    pub workspace: u32,
    pub route: u32,
    /// Tenth of its kind's sizes that the prompt is in, from zero; nine has the largest.
    pub tenth: u32,
}

/// Simulates a load; the seed determines the times of requests and their prompts.
pub fn simulate(fleet: Fleet, demands: &[Demand], seed: u64) -> HashMap<u32, Outcomes> {
    let mut it = Simulation::new(fleet, demands, seed);
    it.run();
    let mut res: HashMap<u32, Outcomes> = HashMap::new();
    for (class, it) in it.outcomes {
        res.entry(class.workspace).or_default().add(it);
    }
    res
}

/// Everything that a simulation counts.
#[derive(Debug, Clone, Default)]
pub struct Report {
    pub outcomes: HashMap<Class, Outcomes>,
    pub tokens: HashMap<u32, Vec<Tokens>>,
    /// Tokens that engines read.
    pub read: u64,
    /// Time that engines' slots were in use, all together.
    pub busy: Duration,
}

impl Report {
    /// Returns the outcomes of the classes that `f` selects.
    pub fn sum(&self, f: impl Fn(&Class) -> bool) -> Outcomes {
        let mut res = Outcomes::default();
        self.outcomes.iter().filter(|it| f(it.0)).for_each(|it| res.add(*it.1));
        res
    }
}

/// Simulates a load and returns all that was counted.
pub fn simulate_report(fleet: Fleet, demands: &[Demand], seed: u64) -> Report {
    let mut it = Simulation::new(fleet, demands, seed);
    it.run();
    Report { outcomes: it.outcomes, tokens: it.tokens, read: it.read, busy: it.busy }
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
    class: Class,
    first_sent: Duration,
    sent: Duration,
    deadline: Duration,
    is_retry: bool,
}

/// A host, and the incarnation of its process.
type Process = (usize, u64);

#[derive(Debug)]
enum Event {
    Attempt(Attempt),
    FirstToken { process: Process, run: RunId, attempt: Attempt },
    End { process: Process, run: RunId },
    Digest,
    Arrival { to: usize, digest: Digest },
    Disrupt,
}

#[derive(Debug, Default)]
struct Engine {
    /// When it will have read everything it was sent.
    idle_at: Duration,
    cached: HashSet<u64>,
    /// When the requests in its slots end.
    ends: BinaryHeap<Reverse<Duration>>,
}

struct Simulation {
    fleet: Fleet,
    hosts: Vec<Balancer>,
    engines: Vec<Engine>,
    candidates: Vec<Candidate>,
    events: EventQueue<Event>,
    n_digests: u64,
    rng: fastrand::Rng,
    outcomes: HashMap<Class, Outcomes>,
    tokens: HashMap<u32, Vec<Tokens>>,
    read: u64,
    busy: Duration,
    /// Process of each host; runs of an earlier one end unseen.
    incarnations: Vec<u64>,
}

impl Simulation {
    fn new(fleet: Fleet, demands: &[Demand], seed: u64) -> Self {
        let candidate =
            |it: usize| Candidate { upstream: it as u32, slots: fleet.slots, is_local: true };
        let mut res = Self {
            fleet,
            hosts: (0..fleet.n_hosts).map(|it| new_host(&fleet, it)).collect(),
            engines: (0..fleet.n_engines).map(|_| Engine::default()).collect(),
            candidates: (0..fleet.n_engines).map(candidate).collect(),
            events: EventQueue::default(),
            n_digests: 0,
            rng: fastrand::Rng::with_seed(seed),
            outcomes: HashMap::new(),
            tokens: HashMap::new(),
            read: 0,
            busy: Duration::ZERO,
            incarnations: (0..fleet.n_hosts as u64).map(|it| it + 1).collect(),
        };
        if let Disruption::HostEnds(at) | Disruption::AllRestart(at) = fleet.disruption {
            res.events.push(START + at, Event::Disrupt);
        }
        demands.iter().for_each(|it| res.schedule(it));
        res.events.push(START, Event::Digest);
        res
    }

    /// Schedules a workspace's requests with exponentially distributed gaps.
    fn schedule(&mut self, demand: &Demand) {
        let mut at = START + demand.span.0;
        let load = self.fleet.duration;
        let end = START + if demand.span.1.is_zero() { load } else { demand.span.1.min(load) };
        loop {
            let gap = -(1.0 - self.rng.f64()).ln() / demand.rate;
            at += Duration::from_secs_f64(gap);
            if end <= at {
                return;
            }
            let request = self.request(demand);
            let own =
                request.prompt.as_ref().map_or(0, |it| it.input_tokens) - demand.shared_parts.1;
            let class = Class {
                workspace: demand.workspace,
                route: demand.route,
                tenth: ((own - 1) * 5 / demand.own_tokens).min(9),
            };
            let deadline =
                if demand.deadline.is_zero() { Duration::MAX } else { at + demand.deadline };
            let attempt =
                Attempt { request, class, first_sent: at, sent: at, deadline, is_retry: false };
            self.outcomes.entry(class).or_default().asked += 1;
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
            route: demand.route,
            prompt: Some(prompt),
            objective: demand.objective,
            waited: Duration::ZERO,
            stage: Stage::New,
            engine: Some(EngineSpec {
                slots: self.fleet.slots,
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
                Event::FirstToken { process, run, attempt } => {
                    self.first_event(now, process, run, &attempt);
                }
                Event::End { process, run } if self.is_running(process) => {
                    self.hosts[process.0].record_end(now, run, Completion::Done);
                }
                Event::End { .. } => {}
                Event::Digest => self.exchange_digests(now),
                Event::Arrival { to, digest } => self.hosts[to].merge_digest(now, &digest),
                Event::Disrupt => self.disrupt(),
            }
        }
    }

    fn is_running(&self, (host, incarnation): Process) -> bool {
        self.incarnations[host] == incarnation
    }

    fn disrupt(&mut self) {
        let n_restarted = match self.fleet.disruption {
            Disruption::HostEnds(_) => 1,
            _ => self.hosts.len(),
        };
        for host in 0..n_restarted {
            self.incarnations[host] += 1_000;
            self.hosts[host] = new_host(&self.fleet, host);
        }
    }

    /// Returns the host that a caller reaches.
    fn pick_host(&mut self, now: Duration) -> usize {
        let first = match self.fleet.disruption {
            Disruption::HostEnds(at) if START + at <= now => 1,
            _ => 0,
        };
        self.rng.usize(first..self.hosts.len())
    }

    fn attempt(&mut self, now: Duration, attempt: Attempt) {
        let mut attempt = Attempt { sent: now, ..attempt };
        attempt.request.earlier = now - attempt.first_sent;
        if attempt.deadline != Duration::MAX {
            attempt.request.patience = attempt.deadline.saturating_sub(now);
        }
        let host = self.pick_host(now);
        let cost = attempt.request.prompt.as_ref().map_or(0.0, Prompt::token_cost);
        self.record_tokens(now, &attempt, Tokens { asked: cost, granted: 0.0 });
        match self.hosts[host].place(now, &attempt.request, &self.candidates) {
            Placement::Send(placed) => {
                self.record_tokens(now, &attempt, Tokens { asked: 0.0, granted: cost });
                let run = self.hosts[host].record_start(now, &attempt.request, &placed);
                let Work { start, first, end, read } =
                    self.engines[placed.upstream as usize].run(now, &attempt.request, &self.fleet);
                self.read += u64::from(read);
                self.busy += end - start;
                let process = (host, self.incarnations[host]);
                self.events.push(first, Event::FirstToken { process, run, attempt });
                self.events.push(end, Event::End { process, run });
            }
            Placement::Refuse { .. } if attempt.is_retry => {
                let outcomes = self.outcomes_of(&attempt);
                outcomes.refused += 1;
                outcomes.refused_again += 1;
            }
            Placement::Refuse { retry_after, .. }
                if retry_after <= attempt.deadline.saturating_sub(now) / 3 =>
            {
                let at = now + retry_after;
                self.events.push(at, Event::Attempt(Attempt { is_retry: true, ..attempt }));
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

    fn first_event(&mut self, now: Duration, process: Process, run: RunId, attempt: &Attempt) {
        // The caller of a host that ended gets nothing of its response.
        if !self.is_running(process) {
            self.outcomes_of(attempt).refused += 1;
            return;
        }
        self.hosts[process.0].record_first_event(now, run);
        let objective = attempt.request.objective;
        let is_late = attempt.first_sent + objective < now;
        // Simulated hosts refuse at once, which is early enough for the retry to earn credit.
        let is_returned = is_late && attempt.is_retry && now <= attempt.sent + objective;
        let outcomes = self.outcomes_of(attempt);
        if is_late {
            outcomes.late += 1;
        } else {
            outcomes.in_time += 1;
        }
        outcomes.returned += u32::from(is_returned);
    }

    fn outcomes_of(&mut self, attempt: &Attempt) -> &mut Outcomes {
        self.outcomes.entry(attempt.class).or_default()
    }

    fn exchange_digests(&mut self, now: Duration) {
        self.n_digests += 1;
        let sequence = self.n_digests;
        let incarnations = &self.incarnations;
        let report = |(id, host): (usize, &mut Balancer)| {
            let incarnation = incarnations[id];
            let id = id as u64 + 1;
            let mut res = Digest { host: id, incarnation, sequence, ..Digest::default() };
            host.fill_digest(now, &mut res);
            res
        };
        let digests: Vec<Digest> = self.hosts.iter_mut().enumerate().map(report).collect();
        for to in 0..self.hosts.len() {
            for it in digests.iter().filter(|it| it.host != to as u64 + 1) {
                match self.fleet.disruption {
                    Disruption::DigestsLost(part) if self.rng.f64() < part => {}
                    Disruption::DigestsLate(delay) => {
                        self.events.push(now + delay, Event::Arrival { to, digest: it.clone() });
                    }
                    _ => self.hosts[to].merge_digest(now, it),
                }
            }
        }
        if now < START + self.fleet.duration {
            self.events.push(now + DIGEST_PERIOD, Event::Digest);
        }
    }
}

fn new_host(fleet: &Fleet, number: usize) -> Balancer {
    let mut res = Balancer::new(WINDOW);
    res.set_capacity(fleet.capacity);
    res.set_options(fleet.options);
    res.set_digest_period(DIGEST_PERIOD);
    if fleet.options != BalancerOptions::default() {
        res.set_seed(number as u64 + 1);
    }
    res
}

/// Times of a request at an engine, and the tokens read for it.
struct Work {
    start: Duration,
    first: Duration,
    end: Duration,
    read: u32,
}

impl Engine {
    /// Runs a request that arrives now.
    fn run(&mut self, now: Duration, request: &PlacementRequest, fleet: &Fleet) -> Work {
        let prompt = request.prompt.as_ref().expect("engines' requests have prompts");
        let uncached =
            prompt.parts.iter().filter(|it| self.cached.insert(it.id)).map(|it| it.tokens).sum();
        let mut start = self.idle_at.max(now);
        if fleet.slots as usize <= self.ends.len()
            && let Some(Reverse(end)) = self.ends.pop()
        {
            start = start.max(end);
        }
        let time = Duration::from_secs_f64(f64::from(uncached) / fleet.tokens_per_ms / 1000.0);
        self.idle_at = start + time;
        let first = self.idle_at + FIRST_EVENT_DELAY;
        let end = first + fleet.event_time * (prompt.max_output_tokens / EVENT_TOKENS);
        self.ends.push(Reverse(end));
        Work { start, first, end, read: uncached }
    }
}
