//! Discrete-event simulation of hosts with the real balancer, and of engines whose KV memory is the
//! bottleneck; counts the memory that requests really use.
//!
//! An engine starts to read each prompt at once: not modelled are queues and slots.

use std::{collections::HashMap, time::Duration};

use portfield::{
    balance::{
        Balancer, BalancerOptions, Candidate, Completion, Placement, PlacementRequest, Refusal,
        Switch,
    },
    catalog::EngineSpec,
    ids::RunId,
    upstream::{Prompt, PromptPart},
    wire::Digest,
};

use crate::event_queue::EventQueue;

/// Tokens that fit into an engine's memory, 13 times the largest ordinary request; 33 times in the
/// deployments with hard load.
pub const CAPACITY: u64 = 200_000;
/// Tokens in one event.
pub const EVENT_TOKENS: u32 = 10;
/// Time to generate one event.
const EVENT_TIME: Duration = Duration::from_millis(40);
/// Tokens that an engine reads per millisecond.
const TOKENS_PER_MS: f64 = 40.0;
const DIGEST_PERIOD: Duration = Duration::from_millis(50);
/// Virtual time at which the load begins.
pub const START: Duration = Duration::from_secs(1);
/// Route of all requests.
pub const ROUTE: u32 = 5;

/// A fleet, its load, and how its digests travel.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub n_hosts: usize,
    pub n_engines: usize,
    /// Requests per second.
    pub rate: f64,
    /// Requests per second that take [`LARGE`] tokens of prompt.
    pub large_rate: f64,
    pub duration: Duration,
    pub digest_delay: Duration,
    /// Part of the digests that are lost.
    pub digest_loss: f64,
}

/// Prompt of the requests that fit only into an engine with little else, in tokens.
pub const LARGE: u32 = 120_000;

/// One caller's request and what became of it.
#[derive(Debug, Clone)]
pub struct Served {
    pub tokens: u32,
    pub sent: Duration,
    /// When it was sent to an engine; `None` if it was refused.
    pub placed: Option<Duration>,
    pub n_refusals: u32,
}

/// What was seen in a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: Vec<Served>,
    /// Largest memory in use at any engine, in tokens.
    pub peak: u64,
    /// Sum over engines of the mean memory in use, in tokens.
    pub mean: f64,
    pub refusals: HashMap<String, u32>,
}

#[derive(Debug)]
enum Event {
    Attempt { index: usize, request: PlacementRequest, output: u32 },
    First { host: usize, run: RunId },
    End { host: usize, run: RunId, engine: usize, tokens: u64, n_events: u64 },
    Digest,
    Deliver { to: usize, digest: Box<Digest> },
}

/// Returns a balancer that limits memory.
pub fn limited_balancer(seed: u64) -> Balancer {
    let mut res = Balancer::new(Duration::from_secs(4));
    res.set_seed(seed);
    res.set_digest_period(DIGEST_PERIOD);
    res.set_options(BalancerOptions { memory_limits: Switch::On, ..BalancerOptions::default() });
    res
}

/// Returns a request with a prompt of its own.
pub fn request(input: u32, max_output: u32, hint: Option<u32>) -> PlacementRequest {
    PlacementRequest {
        workspace: 1,
        service: 1,
        route: ROUTE,
        prompt: Some(Prompt {
            input_tokens: input,
            max_output_tokens: max_output,
            length_hint: hint,
            parts: vec![PromptPart { id: u64::from(input), tokens: input }],
        }),
        objective: Duration::from_secs(5),
        engine: Some(EngineSpec {
            slots: 256,
            kv_capacity: CAPACITY,
            event_tokens: EVENT_TOKENS,
            ..EngineSpec::default()
        }),
        ..PlacementRequest::default()
    }
}

/// Returns this many engines as candidates.
pub fn engines(n: usize) -> Vec<Candidate> {
    (1..=n as u32).map(|it| Candidate { upstream: it, slots: 256, is_local: true }).collect()
}

/// Simulates a load; refused callers retry as told for as long as `patience`.
pub fn simulate(load: Load, patience: Duration, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut hosts: Vec<Balancer> =
        (0..load.n_hosts).map(|it| limited_balancer(seed + it as u64)).collect();
    let candidates = engines(load.n_engines);
    let mut used = vec![0_u64; load.n_engines];
    let mut events = EventQueue::default();
    let mut res = Outcome::default();
    schedule(&mut events, &mut res, &mut rng, load);
    events.push(START, Event::Digest);
    let (mut sequence, mut token_time, mut last) = (0, 0.0, START);
    let end = START + load.duration;
    while let Some((now, event)) = events.pop() {
        let counted = now.min(end);
        token_time += used.iter().sum::<u64>() as f64 * (counted - last).as_secs_f64();
        last = counted;
        match event {
            Event::Attempt { index, request, output } => {
                let host = rng.usize(0..hosts.len());
                let placed = match hosts[host].place(now, &request, &candidates) {
                    Placement::Send(it) => it,
                    Placement::Refuse { reason, retry_after, .. } => {
                        *res.refusals.entry(format!("{reason:?}")).or_default() += 1;
                        let it = &mut res.requests[index];
                        it.n_refusals += 1;
                        let at = now + retry_after;
                        if reason == Refusal::Memory && at <= it.sent + patience && at < end {
                            events.push(at, Event::Attempt { index, request, output });
                        }
                        continue;
                    }
                };
                res.requests[index].placed = Some(now);
                let run = hosts[host].record_start(now, &request, &placed);
                let input = request.prompt.as_ref().unwrap().input_tokens;
                let tokens = u64::from(input + output);
                let engine = placed.upstream as usize - 1;
                used[engine] += tokens;
                res.peak = res.peak.max(used[engine]);
                let first = now
                    + Duration::from_secs_f64(f64::from(input) / TOKENS_PER_MS / 1000.0)
                    + EVENT_TIME;
                let n_events = output / EVENT_TOKENS;
                events.push(first, Event::First { host, run });
                let until = first + EVENT_TIME * n_events;
                let n_events = n_events.into();
                events.push(until, Event::End { host, run, engine, tokens, n_events });
            }
            Event::First { host, run } => {
                hosts[host].record_first_event(now, run);
            }
            Event::End { host, run, engine, tokens, n_events } => {
                hosts[host].record_output(run, n_events);
                hosts[host].record_end(now, run, Completion::Done);
                used[engine] -= tokens;
            }
            Event::Digest => {
                sequence += 1;
                for from in 0..hosts.len() {
                    let id = from as u64 + 1;
                    let mut digest =
                        Digest { host: id, incarnation: id, sequence, ..Digest::default() };
                    hosts[from].fill_digest(now, &mut digest);
                    for to in (0..hosts.len()).filter(|it| *it != from) {
                        if rng.f64() < load.digest_loss {
                            continue;
                        }
                        let digest = Box::new(digest.clone());
                        events.push(now + load.digest_delay, Event::Deliver { to, digest });
                    }
                }
                if now < end {
                    events.push(now + DIGEST_PERIOD, Event::Digest);
                }
            }
            Event::Deliver { to, digest } => hosts[to].merge_digest(now, &digest),
        }
    }
    res.mean = token_time / load.duration.as_secs_f64();
    res
}

/// Schedules requests with exponentially distributed gaps and log-normally distributed prompts and
/// outputs. Callers estimate the output right at the median, often far off.
fn schedule(
    events: &mut EventQueue<Event>,
    res: &mut Outcome,
    rng: &mut fastrand::Rng,
    load: Load,
) {
    let mut push = |at, request, output, tokens| {
        let index = res.requests.len();
        res.requests.push(Served { tokens, sent: at, placed: None, n_refusals: 0 });
        events.push(at, Event::Attempt { index, request, output });
    };
    let mut at = START;
    loop {
        at += exponential(rng, load.rate);
        if START + load.duration <= at {
            break;
        }
        let input = (2_500.0 * log_normal(rng, 0.7)).min(15_000.0) as u32;
        let output = (400.0 * log_normal(rng, 0.5)).clamp(50.0, 2_000.0) as u32;
        let hint = (f64::from(output) * log_normal(rng, 0.8)) as u32;
        push(at, request(input, 2_000, Some(hint)), output, input + output);
    }
    if load.large_rate == 0.0 {
        return;
    }
    let mut at = START + Duration::from_secs(4);
    loop {
        at += exponential(rng, load.large_rate);
        if START + load.duration <= at {
            break;
        }
        let input = LARGE + rng.u32(0..10_000);
        let mut large = request(input, 500, None);
        large.prompt.as_mut().unwrap().parts[0].id = rng.u64(1 << 50..);
        push(at, large, 400, input + 400);
    }
}

fn exponential(rng: &mut fastrand::Rng, rate: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate)
}

/// Draws a log-normally distributed number of median one.
fn log_normal(rng: &mut fastrand::Rng, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    (sigma * radius * (std::f64::consts::TAU * rng.f64()).cos()).exp()
}
