//! Discrete-event simulation of a traffic flood: hosts with a fraction of a core and the real load
//! shedder, the platform that sends callers to them, and one caller that keeps connections open.
//!
//! A host handles one piece of work after the other in order of arrival, each at a fixed cost. Not
//! modelled: engines, which always have capacity, and the hosts' background work.

use std::{collections::VecDeque, time::Duration};

use portfield::balance::{AnswerKind, LoadShedder};

use crate::event_queue::EventQueue;

/// Part of a core that a host has.
const CPU_SHARE: f64 = 0.12;
/// Processor time of a new connection, from accepting to closing it.
const CONNECTION_COST: Duration = Duration::from_micros(10);
/// Processor time of reading and refusing a request.
const REFUSAL_COST: Duration = Duration::from_micros(50);
/// Processor time of placing a request and sending it to an upstream.
const PLACEMENT_COST: Duration = Duration::from_micros(300);
/// Processor time of relaying one event.
const EVENT_COST: Duration = Duration::from_micros(40);
/// Events of a stream, and the time between two of them.
const N_EVENTS: u32 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Cost of a request for the load shedder, in messages.
const REQUEST_WORK: f64 = 2.0 + N_EVENTS as f64;
/// Time between two measurements of a host's timer lateness.
const TIMER_PERIOD: Duration = Duration::from_millis(25);
/// Period of the platform's probes, and failed probes after which it sends no new callers.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const MAX_FAILED_PROBES: u32 = 2;
/// Time after which the platform counts an unanswered probe as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Latency objective of the callers; a host does not place a request that has waited longer.
const OBJECTIVE: Duration = Duration::from_secs(1);
/// Time that callers wait for an answer; they retry within at most a third of what is left.
const DEADLINE: Duration = Duration::from_secs(10);
/// Virtual time at which the flood begins.
const START: Duration = Duration::from_secs(5);

/// What the callers of one workspace ask for.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Requests per second, retries not included.
    pub rate: f64,
    pub n_hosts: usize,
    pub seconds: u64,
}

/// Results by second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcomes {
    /// Requests sent to an upstream.
    pub served: Vec<u32>,
    /// Refusals, including those of retries.
    pub refused: Vec<u32>,
    /// Connections opened.
    pub connections: Vec<u32>,
    /// Hosts to which the platform sends no new callers.
    pub n_out_of_rotation: Vec<u32>,
}

/// Simulates a flood; the seed determines the times of requests and the hosts' random numbers.
pub fn simulate(workload: Workload, seed: u64) -> Outcomes {
    let mut it = Simulation::new(workload, seed);
    it.run();
    it.outcomes
}

/// One attempt at a request of the caller.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    first_sent: Duration,
    sent: Duration,
    is_retry: bool,
}

/// Work in a host's queue.
#[derive(Debug, Clone, Copy)]
enum Work {
    Request { attempt: Attempt, is_new: bool },
    Event { n_left: u32 },
    Timer { due: Duration },
    Probe { number: u64 },
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Attempt(Attempt),
    Work {
        host: usize,
        work: Work,
    },
    /// The host has finished a piece of work and takes the next.
    RunNext {
        host: usize,
    },
    ProbeAll,
    /// The platform stops waiting for the answer to a probe.
    ProbeTimeout {
        host: usize,
        number: u64,
    },
    Sample,
}

#[derive(Debug, Default)]
struct Host {
    shedder: LoadShedder,
    queue: VecDeque<Work>,
    is_running: bool,
    n_failed_probes: u32,
    /// The platform sends it no new callers, as of its last probe.
    is_out_of_rotation: bool,
    /// The probe that the platform waits for.
    pending_probe: Option<u64>,
}

struct Simulation {
    workload: Workload,
    hosts: Vec<Host>,
    events: EventQueue<Event>,
    n_probes: u64,
    rng: fastrand::Rng,
    /// Hosts to which the caller has an idle connection; the one used last is taken first.
    idle: Vec<usize>,
    outcomes: Outcomes,
}

impl Simulation {
    fn new(workload: Workload, seed: u64) -> Self {
        let n = workload.seconds as usize;
        let zeros = || vec![0; n];
        let outcomes = Outcomes {
            served: zeros(),
            refused: zeros(),
            connections: zeros(),
            n_out_of_rotation: zeros(),
        };
        let mut res = Self {
            workload,
            hosts: (0..workload.n_hosts).map(|_| Host::default()).collect(),
            events: EventQueue::default(),
            n_probes: 0,
            rng: fastrand::Rng::with_seed(seed),
            idle: Vec::new(),
            outcomes,
        };
        let mut at = START;
        let end = START + Duration::from_secs(workload.seconds);
        while at < end {
            res.events
                .push(at, Event::Attempt(Attempt { first_sent: at, sent: at, is_retry: false }));
            at += Duration::from_secs_f64(-(1.0 - res.rng.f64()).ln() / workload.rate);
        }
        let phase = res.rng.f64();
        res.events.push(START + PROBE_PERIOD.mul_f64(phase), Event::ProbeAll);
        (0..workload.n_hosts).for_each(|host| {
            let work = Work::Timer { due: START };
            res.events.push(START, Event::Work { host, work });
        });
        (0..workload.seconds)
            .for_each(|it| res.events.push(START + Duration::from_secs(it), Event::Sample));
        res
    }

    fn run(&mut self) {
        let end = START + Duration::from_secs(self.workload.seconds);
        while let Some((now, event)) = self.events.pop() {
            if end <= now {
                return;
            }
            match event {
                Event::Attempt(attempt) => self.attempt(now, attempt),
                Event::Work { host, work } => self.enqueue(now, host, work),
                Event::RunNext { host } => self.run_next(now, host),
                Event::ProbeAll => self.probe_all(now),
                Event::ProbeTimeout { host, number } => self.time_out_probe(host, number),
                Event::Sample => {
                    let n_out_of_rotation =
                        self.hosts.iter().filter(|it| it.is_out_of_rotation).count();
                    self.count(now, |it| &mut it.n_out_of_rotation, n_out_of_rotation as u32);
                }
            }
        }
    }

    /// Sends a request on an idle connection, or on a new one to the first host in rotation. A
    /// retry takes a new connection.
    fn attempt(&mut self, now: Duration, attempt: Attempt) {
        let attempt = Attempt { sent: now, ..attempt };
        let idle = if attempt.is_retry { None } else { self.idle.pop() };
        if let Some(host) = idle {
            self.enqueue(now, host, Work::Request { attempt, is_new: false });
            return;
        }
        self.count(now, |it| &mut it.connections, 1);
        let host = self.hosts.iter().position(|it| !it.is_out_of_rotation).unwrap_or(0);
        self.enqueue(now, host, Work::Request { attempt, is_new: true });
    }

    /// Keeps a connection for the caller's next request, unless it is closed.
    fn keep_connection(&mut self, host: usize, closes: bool) {
        if !closes {
            self.idle.push(host);
        }
    }

    fn enqueue(&mut self, now: Duration, host: usize, work: Work) {
        let it = &mut self.hosts[host];
        it.queue.push_back(work);
        if !std::mem::replace(&mut it.is_running, true) {
            self.run_next(now, host);
        }
    }

    fn run_next(&mut self, now: Duration, host: usize) {
        let Some(work) = self.hosts[host].queue.pop_front() else {
            self.hosts[host].is_running = false;
            return;
        };
        let cost = match work {
            Work::Request { attempt, is_new } => {
                let connection_cost = if is_new { CONNECTION_COST } else { Duration::ZERO };
                connection_cost + self.handle_request(now, host, attempt)
            }
            Work::Event { n_left: 0 } => {
                let closes = self.hosts[host].shedder.closes_connection(AnswerKind::Served);
                self.keep_connection(host, closes);
                EVENT_COST
            }
            Work::Event { n_left } => {
                let work = Work::Event { n_left: n_left - 1 };
                self.events.push(now + EVENT_INTERVAL, Event::Work { host, work });
                EVENT_COST
            }
            Work::Timer { due } => {
                self.hosts[host].shedder.observe(now, now.saturating_sub(due));
                let due = now + TIMER_PERIOD;
                self.events.push(due, Event::Work { host, work: Work::Timer { due } });
                Duration::ZERO
            }
            Work::Probe { number } => {
                self.answer_probe(host, number);
                REFUSAL_COST
            }
        };
        self.events.push(now + cost.div_f64(CPU_SHARE), Event::RunNext { host });
    }

    /// Handles a request and returns its processor time.
    fn handle_request(&mut self, now: Duration, host: usize, attempt: Attempt) -> Duration {
        let (shed_draw, retry_draw) = (self.rng.f64(), self.rng.f64());
        let shedder = &mut self.hosts[host].shedder;
        let is_shed = shedder.shed(now, 1, REQUEST_WORK, shed_draw).is_some();
        let is_late = attempt.sent + OBJECTIVE < now;
        if !is_shed && !is_late {
            self.count(now, |it| &mut it.served, 1);
            self.events.push(
                now + EVENT_INTERVAL,
                Event::Work { host, work: Work::Event { n_left: N_EVENTS } },
            );
            return PLACEMENT_COST;
        }
        let answer = if is_shed { AnswerKind::Refused } else { AnswerKind::Served };
        let (closes, retry_after) =
            (shedder.closes_connection(answer), shedder.retry_after(retry_draw));
        self.keep_connection(host, closes);
        self.count(now, |it| &mut it.refused, 1);
        let left = (attempt.first_sent + DEADLINE).saturating_sub(now);
        if !attempt.is_retry && retry_after <= left / 3 {
            self.events
                .push(now + retry_after, Event::Attempt(Attempt { is_retry: true, ..attempt }));
        }
        if is_shed { REFUSAL_COST } else { PLACEMENT_COST }
    }

    fn probe_all(&mut self, now: Duration) {
        self.n_probes += 1;
        let number = self.n_probes;
        for host in 0..self.hosts.len() {
            self.hosts[host].is_out_of_rotation =
                MAX_FAILED_PROBES <= self.hosts[host].n_failed_probes;
            self.hosts[host].pending_probe = Some(number);
            self.enqueue(now, host, Work::Probe { number });
            self.events.push(now + PROBE_TIMEOUT, Event::ProbeTimeout { host, number });
        }
        self.events.push(now + PROBE_PERIOD, Event::ProbeAll);
    }

    fn answer_probe(&mut self, host: usize, number: u64) {
        let it = &mut self.hosts[host];
        let is_ready = !it.shedder.is_overloaded();
        it.shedder.record_probe(is_ready);
        if it.pending_probe.take_if(|it| *it == number).is_some() {
            it.n_failed_probes = if is_ready { 0 } else { it.n_failed_probes + 1 };
        }
    }

    fn time_out_probe(&mut self, host: usize, number: u64) {
        let it = &mut self.hosts[host];
        if it.pending_probe.take_if(|it| *it == number).is_some() {
            it.n_failed_probes += 1;
        }
    }

    fn count(&mut self, now: Duration, f: impl Fn(&mut Outcomes) -> &mut Vec<u32>, n: u32) {
        let second = now.saturating_sub(START).as_secs() as usize;
        if let Some(it) = f(&mut self.outcomes).get_mut(second) {
            *it += n;
        }
    }
}
