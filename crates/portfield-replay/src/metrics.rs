//! Metrics of a replay and their check against the expected outcome of its case.

use std::{fmt::Write, time::Duration};

use serde::Serialize;

use crate::{
    case::{Case, ExpectedOutcome},
    gap::{Backlog, FairnessGap},
    trace::Arrival,
};

/// State of one request of a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// It has not arrived yet.
    Ahead,
    /// It waits for a grant.
    Waits,
    /// It runs on an engine, or is on its way to it.
    Runs,
    /// It was answered.
    Answered,
    /// It was refused without having run.
    Refused,
    /// It was lost when the router that held it died.
    Orphaned,
}

/// Collects the metrics of a replay while it runs.
#[derive(Debug, Clone)]
pub struct MetricsCollector {
    names: Vec<String>,
    shares: Vec<f64>,
    /// Index of each request's workspace.
    workspace_indices: Vec<usize>,
    arrival_times: Vec<Duration>,
    /// State of each request.
    pub states: Vec<RequestState>,
    gap: FairnessGap,
    /// Gap since `final_start`, once that time is reached.
    final_gap: Option<FairnessGap>,
    final_start: Option<Duration>,
    /// Number of waiting requests of each workspace.
    waiting: Vec<u32>,
    /// Number of running requests of each workspace.
    running: Vec<u32>,
    max_running: Vec<u32>,
    max_cost: u32,
    /// Sum over slots of the time in use while a request waited, in seconds.
    busy_time: f64,
    /// Sum over slots of the time while a request waited, in seconds.
    slot_time: f64,
    last_sample: Option<Duration>,
    /// Time of the last grant, or of the first request that waited after none did.
    pause_start: Duration,
    longest_wait: Duration,
    longest_pause: Duration,
    violations: Vec<String>,
    /// Longest time from the death of a shard's owner to the next request at its upstreams.
    pub regrant: Duration,
    /// Bytes of control messages, counted at the sender and at the receiver.
    pub control_bytes: u64,
    /// Number of control messages sent.
    pub control_messages: u64,
}

/// Metrics of a finished replay.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Metrics {
    /// Largest fairness gap, in tokens per unit of share.
    pub gap: f64,
    /// Names of the two workspaces of the largest gap.
    pub between: (String, String),
    /// Upper bound of the gap by the formula of docs/design/fairness.md, in the same unit.
    pub bound: f64,
    /// Largest gap in the final seconds for which the case expects one; zero without such an
    /// expectation.
    pub gap_at_end: f64,
    /// Fraction of the slots that were in use while a request waited.
    pub utilisation: f64,
    /// Control bytes per second and host.
    pub control: f64,
    /// Longest wait of a request, in seconds.
    pub wait: f64,
    /// Longest time without a grant while a request waited, in seconds.
    pub pause: f64,
    /// Longest time from the death of a shard's owner to the next request at its upstreams, in
    /// seconds.
    pub regrant: f64,
    /// Numbers of requests answered, refused and orphaned.
    pub ends: (usize, usize, usize),
    /// Violated invariants, as text.
    pub violations: Vec<String>,
}

impl MetricsCollector {
    /// Creates a collector for a case and its trace.
    pub fn new(case: &Case, arrivals: &[Arrival]) -> Self {
        let (names, shares) = case.workspaces();
        let position = |it: &Arrival| names.iter().position(|name| *name == it.workspace);
        let end = arrivals.last().map_or(0, |it| it.at);
        let final_start = case.outcome.gap_at_end.map(|(_, secs)| {
            Duration::from_millis(end).saturating_sub(Duration::from_secs_f64(secs))
        });
        let n = names.len();
        Self {
            workspace_indices: arrivals.iter().filter_map(position).collect(),
            arrival_times: arrivals.iter().map(|it| Duration::from_millis(it.at)).collect(),
            states: vec![RequestState::Ahead; arrivals.len()],
            gap: FairnessGap::new(shares.clone()).with_services(service_masks(case, &names)),
            final_gap: None,
            final_start,
            waiting: vec![0; n],
            running: vec![0; n],
            max_running: vec![0; n],
            max_cost: arrivals.iter().map(|it| it.cost).max().unwrap_or(0),
            busy_time: 0.0,
            slot_time: 0.0,
            last_sample: None,
            pause_start: Duration::ZERO,
            longest_wait: Duration::ZERO,
            longest_pause: Duration::ZERO,
            violations: Vec::new(),
            regrant: Duration::ZERO,
            control_bytes: 0,
            control_messages: 0,
            names,
            shares,
        }
    }

    /// Sets the state of a request; a change after its end is a violation.
    pub fn set_state(&mut self, now: Duration, request: usize, state: RequestState) {
        let old = self.states[request];
        let ended =
            matches!(old, RequestState::Answered | RequestState::Refused | RequestState::Orphaned);
        if ended {
            self.add_violation(format!(
                "request {request} ended as {old:?}, then became {state:?}"
            ));
            return;
        }
        self.states[request] = state;
        let idx = self.workspace_indices[request];
        self.waiting[idx] += u32::from(state == RequestState::Waits);
        self.waiting[idx] -= u32::from(old == RequestState::Waits);
        self.running[idx] += u32::from(state == RequestState::Runs);
        self.running[idx] -= u32::from(old == RequestState::Runs);
        self.max_running[idx] = self.max_running[idx].max(self.running[idx]);
        if state == RequestState::Waits && self.waiting.iter().sum::<u32>() == 1 {
            self.pause_start = now;
        }
        if state == RequestState::Runs {
            self.longest_pause = self.longest_pause.max(now - self.pause_start);
            self.pause_start = now;
            self.longest_wait = self.longest_wait.max(now - self.arrival_times[request]);
        }
        let backlog = if 0 < self.waiting[idx] { Backlog::Waiting } else { Backlog::Empty };
        self.gap.set_backlog(idx, backlog);
        if let Some(it) = &mut self.final_gap {
            it.set_backlog(idx, backlog);
        }
    }

    /// Adds tokens that a request generated.
    pub fn record_tokens(&mut self, now: Duration, request: usize, tokens: u32) {
        if self.final_start.is_some_and(|it| it <= now) {
            self.final_start = None;
            let mut final_gap = self.gap.clone();
            final_gap.reset();
            self.final_gap = Some(final_gap);
        }
        let (idx, tokens) = (self.workspace_indices[request], f64::from(tokens));
        self.gap.record_service(idx, tokens);
        if let Some(it) = &mut self.final_gap {
            it.record_service(idx, tokens);
        }
    }

    /// Adds the time since the last sample, with the slots now in use and all slots, if a request
    /// waits.
    pub fn sample_slots(&mut self, now: Duration, busy: u32, capacity: u32) {
        let time = (now - self.last_sample.unwrap_or(now)).as_secs_f64();
        self.last_sample = Some(now);
        if self.waiting.iter().all(|it| *it == 0) {
            return;
        }
        self.busy_time += time * f64::from(busy.min(capacity));
        self.slot_time += time * f64::from(capacity);
    }

    /// Adds a violated invariant.
    pub fn add_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Returns whether any request has not ended yet.
    pub fn has_pending(&self) -> bool {
        self.states
            .iter()
            .any(|it| matches!(it, RequestState::Ahead | RequestState::Waits | RequestState::Runs))
    }

    /// Returns the metrics of the replay up to `now`.
    pub fn summarize(&self, now: Duration, n_hosts: usize) -> Metrics {
        let count = |state| self.states.iter().filter(|it| **it == state).count();
        let (a, b) = self.gap.largest_pair();
        Metrics {
            gap: self.gap.largest(),
            between: (self.names[a].clone(), self.names[b].clone()),
            bound: self.bound(),
            gap_at_end: self.final_gap.as_ref().map_or(0.0, FairnessGap::largest),
            utilisation: self.busy_time / self.slot_time.max(f64::MIN_POSITIVE),
            control: self.control_bytes as f64 / now.as_secs_f64() / n_hosts as f64,
            wait: self.longest_wait.as_secs_f64(),
            pause: self.longest_pause.as_secs_f64(),
            regrant: self.regrant.as_secs_f64(),
            ends: (
                count(RequestState::Answered),
                count(RequestState::Refused),
                count(RequestState::Orphaned),
            ),
            violations: self.violations.clone(),
        }
    }

    /// Returns the upper bound of the gap: the sum of the two largest terms of
    /// `(in flight + 1) * cost / share` over workspaces, see docs/design/fairness.md.
    fn bound(&self) -> f64 {
        let term = |(running, share): (&u32, &f64)| {
            f64::from(running + 1) * f64::from(self.max_cost) / share
        };
        let mut terms: Vec<_> = self.max_running.iter().zip(&self.shares).map(term).collect();
        terms.sort_by(|a, b| b.total_cmp(a));
        terms.iter().take(2).sum()
    }
}

/// Returns a bit set of the services that each workspace uses.
fn service_masks(case: &Case, names: &[String]) -> Vec<u64> {
    let mut services: Vec<&str> = Vec::new();
    let mut res = vec![0; names.len()];
    for it in &case.load {
        let known = services.iter().position(|name| *name == it.service);
        let bit = known.unwrap_or(services.len());
        if known.is_none() {
            services.push(&it.service);
        }
        if let Some(idx) = names.iter().position(|name| *name == it.workspace) {
            res[idx] |= 1 << bit;
        }
    }
    res
}

impl Metrics {
    /// Checks the metrics against the expected outcome of a case; returns a report with one line
    /// for each check or violation, and the verdict.
    pub fn check(&self, expected: &ExpectedOutcome) -> (String, Verdict) {
        let gap = expected.gap.unwrap_or(self.bound).min(self.bound);
        let mut lines = vec![("gap at most", gap, self.gap, self.gap <= gap)];
        if let Some((it, _)) = expected.gap_at_end {
            lines.push(("gap at the end at most", it, self.gap_at_end, self.gap_at_end <= it));
        }
        if let Some(it) = expected.utilisation {
            lines.push(("utilisation at least", it, self.utilisation, it <= self.utilisation));
        }
        if let Some(it) = expected.control {
            lines.push(("control at most", it, self.control, self.control <= it));
        }
        if let Some(it) = expected.wait {
            lines.push(("longest wait at most", it, self.wait, self.wait <= it));
        }
        if let Some(it) = expected.pause {
            lines.push(("longest pause at most", it, self.pause, self.pause <= it));
        }
        if let Some(it) = expected.regrant {
            lines.push(("granting again within", it, self.regrant, self.regrant <= it));
        }
        let mut text = String::new();
        for (name, bound, value, passed) in &lines {
            let label = if *passed { "holds" } else { "BROKEN" };
            let _ = writeln!(text, "{label:6} {name} {bound:.3}: {value:.3}");
        }
        for it in &self.violations {
            let _ = writeln!(text, "BROKEN {it}");
        }
        let passed = lines.iter().all(|it| it.3) && self.violations.is_empty();
        (text, if passed { Verdict::Passed } else { Verdict::Failed })
    }
}

/// Whether a replay reached its expected outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// All checks passed without a violation.
    Passed,
    /// A check failed, or an invariant was violated.
    Failed,
}
