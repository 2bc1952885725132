//! Discrete-event simulation of hosts with the real balancer and of engines whose speed varies;
//! records where each request was sent and when its first event came.
//!
//! An engine reads prompts in order of arrival and generates the events of all streams at once.
//! Both take longer by the same factor while it is slow. Not modelled: shared prompt parts.

use std::time::Duration;

use portfield::{
    balance::{
        Balancer, BalancerOptions, Candidate, Completion, Placement, PlacementRequest, Switch,
    },
    catalog::EngineSpec,
    ids::RunId,
    upstream::{GapMeter, Prompt, PromptPart},
    wire::Digest,
};

use crate::event_queue::EventQueue;

/// Time between two digests of a host.
const DIGEST_PERIOD: Duration = Duration::from_millis(50);
/// Time that a digest takes to arrive.
const DIGEST_DELAY: Duration = Duration::from_millis(5);
/// Tokens that an engine of the service's speed reads per millisecond.
const TOKENS_PER_MS: f64 = 92.0;
/// Time between two events at the service's speed.
const EVENT_TIME: Duration = Duration::from_millis(26);
/// Events of a stream.
const N_EVENTS: u32 = 30;
/// Step in which the time of a read is integrated while the engine's speed may change.
const STEP: Duration = Duration::from_millis(5);
/// Virtual time at which the load begins.
pub const START: Duration = Duration::from_secs(1);

/// A fleet under a load.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub n_hosts: usize,
    pub n_engines: u32,
    /// Requests per second.
    pub rate: f64,
    pub duration: Duration,
    pub engine_speed: Switch,
    /// Time that an engine takes at a time since the start, as a multiple of the service's.
    pub slowness: fn(u32, Duration) -> f64,
    /// Whether digests sent at a time since the start are lost.
    pub loses_digests: fn(Duration) -> bool,
}

/// A request that was sent.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// Time since the start.
    pub at: Duration,
    pub engine: u32,
    /// Time to its first event.
    pub first: Duration,
}

/// Result of a simulation.
#[derive(Debug)]
pub struct Record {
    pub sent: Vec<Sent>,
    pub n_refused: usize,
    /// Bytes of all digests.
    pub digest_bytes: usize,
}

impl Record {
    /// Returns the number of requests whose first event came within a time.
    pub fn n_within(&self, objective: Duration) -> usize {
        self.sent.iter().filter(|it| it.first <= objective).count()
    }

    /// Returns the part of the requests that was sent to an engine, of those sent at the times that
    /// `f` selects.
    pub fn part_sent_to(&self, engine: u32, f: impl Fn(Duration) -> bool) -> f64 {
        let selected: Vec<&Sent> = self.sent.iter().filter(|it| f(it.at)).collect();
        let n = selected.iter().filter(|it| it.engine == engine).count();
        n as f64 / selected.len().max(1) as f64
    }
}

#[derive(Debug)]
struct Stream {
    host: usize,
    run: RunId,
    engine: u32,
    gaps: GapMeter,
    last: Duration,
    n_left: u32,
}

#[derive(Debug)]
enum Event {
    Request,
    Output(Stream),
    Digests,
    Arrival(Vec<Digest>),
}

/// Simulates a fleet; the seed determines the times of requests, their hosts and their prompts.
pub fn simulate(fleet: Fleet, objective: Duration, seed: u64) -> Record {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut hosts: Vec<Balancer> = (0..fleet.n_hosts).map(|it| host(it, fleet)).collect();
    let candidates: Vec<Candidate> = (0..fleet.n_engines)
        .map(|it| Candidate { upstream: it, slots: 16, is_local: true })
        .collect();
    let mut idle_at = vec![Duration::ZERO; fleet.n_engines as usize];
    let mut events = EventQueue::default();
    let mut res = Record { sent: Vec::new(), n_refused: 0, digest_bytes: 0 };
    let mut sequence = 0;
    events.push(START, Event::Request);
    events.push(START, Event::Digests);
    while let Some((now, event)) = events.pop() {
        let is_over = START + fleet.duration <= now;
        match event {
            Event::Request if is_over => {}
            Event::Request => {
                let gap = -(1.0 - rng.f64()).ln() / fleet.rate;
                events.push(now + Duration::from_secs_f64(gap), Event::Request);
                let host = rng.usize(0..hosts.len());
                let request = request(objective, &mut rng);
                let Placement::Send(placed) = hosts[host].place(now, &request, &candidates) else {
                    res.n_refused += 1;
                    continue;
                };
                let run = hosts[host].record_start(now, &request, &placed);
                let engine = placed.upstream;
                let tokens = request.prompt.as_ref().map_or(0, |it| it.input_tokens);
                let idle = &mut idle_at[engine as usize];
                *idle = read_end(fleet, engine, now.max(*idle), tokens);
                let first = *idle + event_time(fleet, engine, *idle);
                res.sent.push(Sent { at: now - START, engine, first: first - now });
                let gaps = GapMeter::new(hosts[host].expected_gap(1));
                let stream = Stream { host, run, engine, gaps, last: now, n_left: N_EVENTS };
                events.push(first, Event::Output(stream));
            }
            Event::Output(mut stream) => {
                let host = &mut hosts[stream.host];
                host.record_first_event(now, stream.run);
                if let Some(gap) = stream.gaps.record(stream.last, now, 1) {
                    host.record_gap(now, stream.run, gap);
                }
                stream.last = now;
                stream.n_left -= 1;
                if stream.n_left == 0 {
                    host.record_end(now, stream.run, Completion::Done);
                    continue;
                }
                let next = now + event_time(fleet, stream.engine, now);
                events.push(next, Event::Output(stream));
            }
            Event::Digests => {
                sequence += 1;
                let digests = report(now, sequence, &mut hosts);
                let lengths = digests.iter().map(prost::Message::encoded_len);
                res.digest_bytes += lengths.sum::<usize>();
                if !(fleet.loses_digests)(now - START) {
                    events.push(now + DIGEST_DELAY, Event::Arrival(digests));
                }
                if !is_over {
                    events.push(now + DIGEST_PERIOD, Event::Digests);
                }
            }
            Event::Arrival(digests) => {
                for (id, host) in hosts.iter_mut().enumerate() {
                    let others = digests.iter().filter(|it| it.host != id as u64 + 1);
                    others.for_each(|it| host.merge_digest(now, it));
                }
            }
        }
    }
    res
}

fn host(index: usize, fleet: Fleet) -> Balancer {
    let mut res = Balancer::new(Duration::from_secs(4));
    res.set_seed(index as u64 + 1);
    let options = BalancerOptions { engine_speed: fleet.engine_speed, ..Default::default() };
    res.set_options(options);
    res
}

fn request(objective: Duration, rng: &mut fastrand::Rng) -> PlacementRequest {
    let tokens = rng.u32(2_000..10_000);
    PlacementRequest {
        workspace: 1,
        service: 1,
        prompt: Some(Prompt {
            input_tokens: tokens,
            max_output_tokens: 300,
            parts: vec![PromptPart { id: rng.u64(..), tokens }],
            ..Prompt::default()
        }),
        objective,
        engine: Some(EngineSpec {
            slots: 16,
            kv_capacity: 400_000,
            event_tokens: 10,
            ..EngineSpec::default()
        }),
        ..PlacementRequest::default()
    }
}

fn report(now: Duration, sequence: u64, hosts: &mut [Balancer]) -> Vec<Digest> {
    let report = |(id, host): (usize, &mut Balancer)| {
        let id = id as u64 + 1;
        let mut res = Digest { host: id, incarnation: id, sequence, ..Digest::default() };
        host.fill_digest(now, &mut res);
        res
    };
    hosts.iter_mut().enumerate().map(report).collect()
}

/// Returns when an engine will have read a prompt that it begins with at a time.
fn read_end(fleet: Fleet, engine: u32, begin: Duration, tokens: u32) -> Duration {
    let (mut at, mut left) = (begin, f64::from(tokens));
    loop {
        let rate = TOKENS_PER_MS / (fleet.slowness)(engine, at - START);
        let step_tokens = rate * STEP.as_secs_f64() * 1000.0;
        if left <= step_tokens {
            return at + Duration::from_secs_f64(left / rate / 1000.0);
        }
        left -= step_tokens;
        at += STEP;
    }
}

fn event_time(fleet: Fleet, engine: u32, at: Duration) -> Duration {
    EVENT_TIME.mul_f64((fleet.slowness)(engine, at - START))
}
