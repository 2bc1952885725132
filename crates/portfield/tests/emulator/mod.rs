//! Hosts with the balancer that runs in them, engines after the users' page, callers that come back
//! once: a load is played in virtual time, and what callers get is counted.
//!
//! An engine reads prompts one after the other in order of arrival, at one speed, and knows no
//! priority; a shared part that it has read is not read again. What it leaves out: reading slows
//! down with the requests that run, and memory does not run out.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use portfield::{
    balance::{
        Balancer, Candidate, Completion, Placement, PlacementRequest, Prompt, PromptPart, RunId,
        Stage,
    },
    catalog::EngineSpec,
    wire::Digest,
};

use crate::event_queue::EventQueue;

/// Time over which shares are kept.
const WINDOW: Duration = Duration::from_secs(4);
/// Time between two digests of a host.
const PERIOD: Duration = Duration::from_millis(50);
/// Time from the end of reading to the first event.
const FIRST: Duration = Duration::from_millis(50);
/// Time for one event.
const EVENT: Duration = Duration::from_millis(20);
/// Tokens in one event.
const EVENT_TOKENS: u32 = 5;
/// What the hosts' clocks show when the load begins.
const START: Duration = Duration::from_secs(1);

/// A fleet and how long it is played.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub n_hosts: usize,
    pub n_engines: usize,
    /// Tokens that an engine reads in a millisecond.
    pub rate: f64,
    /// What the configuration says that all engines handle, in tokens a second.
    pub capacity: f64,
    pub length: Duration,
}

/// What one workspace asks for: one kind of prompt, evenly drawn over its shared parts.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub workspace: u32,
    /// Requests a second.
    pub rate: f64,
    /// Shared parts, and the tokens of each.
    pub shared: (u64, u32),
    /// Tokens of the prompt's own, on average; they are drawn up to twice that.
    pub tokens: u32,
    /// Tokens generated.
    pub output: u32,
    pub objective: Duration,
}

/// What became of a workspace's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Got {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    /// Not served, also not when they came back.
    pub refused: u32,
}

impl Got {
    /// Returns the part that was answered within its objective, from the first try on.
    pub fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// Plays a load; the seed draws when requests come and what they ask.
pub fn play(fleet: Fleet, demands: &[Demand], seed: u64) -> HashMap<u32, Got> {
    let mut it = World::new(fleet, demands, seed);
    it.run();
    it.got
}

/// Plays a load and returns what each workspace asked for and got in each second, in tokens; who
/// comes back asks again.
pub fn play_tokens(fleet: Fleet, demands: &[Demand], seed: u64) -> HashMap<u32, Vec<Tokens>> {
    let mut it = World::new(fleet, demands, seed);
    it.run();
    it.tokens
}

/// Tokens of a workspace's requests in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tokens {
    pub asked: f64,
    pub got: f64,
}

/// Returns the least part that a workspace got of the lesser of what it asked and what the best
/// served one got, second by second, over all spans of `n_seconds`: the users call less than a half
/// unfair.
pub fn least_part(tokens: &HashMap<u32, Vec<Tokens>>, workspace: u32, n_seconds: usize) -> f64 {
    let own = &tokens[&workspace];
    let part = |from: usize| {
        let span = from..from + n_seconds;
        let got = |it: &Vec<Tokens>| it[span.clone()].iter().map(|it| it.got).sum::<f64>();
        let best = tokens.values().max_by(|a, b| got(a).total_cmp(&got(b))).expect("a workspace");
        let owed: f64 = span.clone().map(|it| own[it].asked.min(best[it].got)).sum();
        got(own) / owed.max(1.0)
    };
    (0..=own.len() - n_seconds).map(part).fold(f64::INFINITY, f64::min)
}

/// A request of a caller, at one of its tries.
#[derive(Debug, Clone)]
struct Ask {
    job: PlacementRequest,
    asked: Duration,
    has_come_back: bool,
}

#[derive(Debug)]
enum Event {
    Ask(Ask),
    First { host: usize, run: RunId, ask: Ask },
    End { host: usize, run: RunId },
    Digest,
}

#[derive(Debug, Default)]
struct Engine {
    /// When it has read all that it was sent.
    free: Duration,
    kept: HashSet<u64>,
}

struct World {
    fleet: Fleet,
    hosts: Vec<Balancer>,
    engines: Vec<Engine>,
    candidates: Vec<Candidate>,
    events: EventQueue<Event>,
    n_digests: u64,
    draws: fastrand::Rng,
    got: HashMap<u32, Got>,
    tokens: HashMap<u32, Vec<Tokens>>,
}

impl World {
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
            draws: fastrand::Rng::with_seed(seed),
            got: HashMap::new(),
            tokens: HashMap::new(),
        };
        demands.iter().for_each(|it| res.schedule(it));
        res.events.push(START, Event::Digest);
        res
    }

    /// Draws the times of a workspace's requests, with exponential gaps.
    fn schedule(&mut self, demand: &Demand) {
        let mut at = START;
        loop {
            let gap = -(1.0 - self.draws.f64()).ln() / demand.rate;
            at += Duration::from_secs_f64(gap);
            if START + self.fleet.length <= at {
                return;
            }
            let ask = Ask { job: self.job(demand), asked: at, has_come_back: false };
            self.got.entry(demand.workspace).or_default().asked += 1;
            self.events.push(at, Event::Ask(ask));
        }
    }

    fn job(&mut self, demand: &Demand) -> PlacementRequest {
        let (n_shared, shared) = demand.shared;
        let own = 1 + self.draws.u32(0..2 * demand.tokens);
        let parts = vec![
            PromptPart {
                id: u64::from(demand.workspace) << 32 | self.draws.u64(0..n_shared),
                tokens: shared,
            },
            PromptPart { id: self.draws.u64(1 << 50..), tokens: own },
        ];
        let prompt = Prompt { input_tokens: shared + own, max_output_tokens: demand.output, parts };
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
            }),
        }
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.events.pop() {
            match event {
                Event::Ask(ask) => self.ask(now, ask),
                Event::First { host, run, ask } => self.first(now, host, run, &ask),
                Event::End { host, run } => self.hosts[host].record_end(now, run, Completion::Done),
                Event::Digest => self.exchange(now),
            }
        }
    }

    fn ask(&mut self, now: Duration, ask: Ask) {
        let host = self.draws.usize(0..self.hosts.len());
        let cost = ask.job.prompt.as_ref().map_or(0.0, Prompt::token_cost);
        self.note_tokens(now, &ask, Tokens { asked: cost, got: 0.0 });
        match self.hosts[host].place(now, &ask.job, &self.candidates) {
            Placement::Send(placed) => {
                self.note_tokens(now, &ask, Tokens { asked: 0.0, got: cost });
                let run = self.hosts[host].record_start(now, &ask.job, &placed);
                let read =
                    self.engines[placed.upstream as usize].read(now, &ask.job, self.fleet.rate);
                let prompt = ask.job.prompt.as_ref().expect("engines' requests have prompts");
                let first = read + FIRST;
                let end = first + EVENT * (prompt.max_output_tokens / EVENT_TOKENS);
                self.events.push(first, Event::First { host, run, ask });
                self.events.push(end, Event::End { host, run });
            }
            Placement::Refuse { retry_after: retry, .. } if !ask.has_come_back => {
                self.events.push(now + retry, Event::Ask(Ask { has_come_back: true, ..ask }));
            }
            Placement::Refuse { .. } => self.got(&ask).refused += 1,
        }
    }

    fn note_tokens(&mut self, now: Duration, ask: &Ask, tokens: Tokens) {
        let n_seconds = self.fleet.length.as_secs() as usize;
        let seconds = self.tokens.entry(ask.job.workspace).or_default();
        seconds.resize(n_seconds, Tokens::default());
        // What comes back after the load has ended counts nowhere.
        if let Some(it) = seconds.get_mut(now.saturating_sub(START).as_secs() as usize) {
            it.asked += tokens.asked;
            it.got += tokens.got;
        }
    }

    fn first(&mut self, now: Duration, host: usize, run: RunId, ask: &Ask) {
        self.hosts[host].record_first_event(now, run);
        let is_late = ask.asked + ask.job.objective < now;
        let got = self.got(ask);
        if is_late { got.late += 1 } else { got.in_time += 1 }
    }

    fn got(&mut self, ask: &Ask) -> &mut Got {
        self.got.entry(ask.job.workspace).or_default()
    }

    fn exchange(&mut self, now: Duration) {
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
            let others = digests.iter().filter(|it| it.host != id as u64 + 1);
            others.for_each(|it| host.merge_digest(now, it));
        }
        if now < START + self.fleet.length {
            self.events.push(now + PERIOD, Event::Digest);
        }
    }
}

impl Engine {
    /// Returns when it has read a prompt that comes now.
    fn read(&mut self, now: Duration, job: &PlacementRequest, rate: f64) -> Duration {
        let parts = job.prompt.iter().flat_map(|it| &it.parts);
        let unread: u32 = parts.filter(|it| self.kept.insert(it.id)).map(|it| it.tokens).sum();
        let time = Duration::from_secs_f64(f64::from(unread) / rate / 1000.0);
        self.free = self.free.max(now) + time;
        self.free
    }
}
