//! What a replay measured, and the outcomes it is held against.

use std::{fmt::Write, time::Duration};

use serde::Serialize;

use crate::{
    case::{Case, Outcome},
    gap::{Backlog, FairnessGap},
    trace::Arrival,
};

/// How one request of a replay stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Not arrived yet.
    Ahead,
    /// Waits for a grant.
    Waits,
    /// Runs.
    Runs,
    /// Was answered.
    Answered,
    /// Was refused as not run.
    Refused,
    /// Ended with the router that held it.
    Orphaned,
}

/// Measures of a replay under way.
#[derive(Debug, Clone)]
pub struct Measure {
    names: Vec<String>,
    shares: Vec<f64>,
    owner: Vec<usize>,
    arrivals: Vec<Duration>,
    /// How each request stands.
    pub fates: Vec<Fate>,
    gap: FairnessGap,
    late: Option<FairnessGap>,
    tail: Option<Duration>,
    waiting: Vec<u32>,
    running: Vec<u32>,
    most_running: Vec<u32>,
    most_cost: u32,
    busy: f64,
    capacity: f64,
    last_sample: Option<Duration>,
    last_start: Duration,
    longest_wait: Duration,
    longest_pause: Duration,
    violations: Vec<String>,
    /// Longest time from an owner's death to the next work for its upstreams.
    pub regrant: Duration,
    /// Control bytes, sent and received.
    pub bytes: u64,
    /// Control messages sent.
    pub messages: u64,
}

/// The figures of a replay.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// Largest gap in tokens for a share of one, and between whom.
    pub gap: f64,
    /// The two workspaces of the largest gap.
    pub between: (String, String),
    /// What the formula of docs/design/fairness.md allows.
    pub bound: f64,
    /// Largest gap in the last part of the run.
    pub gap_at_end: f64,
    /// Slots in use while anything waited, of one.
    pub utilisation: f64,
    /// Control bytes a second for each host.
    pub control: f64,
    /// Longest wait of a request, in seconds.
    pub wait: f64,
    /// Longest time without a grant while something waited, in seconds.
    pub pause: f64,
    /// Longest time from an owner's death to the next work for its upstreams, in seconds.
    pub regrant: f64,
    /// Requests answered, refused and orphaned.
    pub ends: (usize, usize, usize),
    /// Broken promises.
    pub violations: Vec<String>,
}

impl Measure {
    /// Builds the measures of a case.
    pub fn new(case: &Case, arrivals: &[Arrival]) -> Self {
        let (names, shares) = case.workspaces();
        let position = |it: &Arrival| names.iter().position(|name| *name == it.workspace);
        let end = arrivals.last().map_or(0, |it| it.at);
        let tail = case.outcome.gap_at_end.map(|(_, secs)| {
            Duration::from_millis(end).saturating_sub(Duration::from_secs_f64(secs))
        });
        let n = names.len();
        Self {
            owner: arrivals.iter().filter_map(position).collect(),
            arrivals: arrivals.iter().map(|it| Duration::from_millis(it.at)).collect(),
            fates: vec![Fate::Ahead; arrivals.len()],
            gap: FairnessGap::new(shares.clone()).with_services(uses(case, &names)),
            late: None,
            tail,
            waiting: vec![0; n],
            running: vec![0; n],
            most_running: vec![0; n],
            most_cost: arrivals.iter().map(|it| it.cost).max().unwrap_or(0),
            busy: 0.0,
            capacity: 0.0,
            last_sample: None,
            last_start: Duration::ZERO,
            longest_wait: Duration::ZERO,
            longest_pause: Duration::ZERO,
            violations: Vec::new(),
            regrant: Duration::ZERO,
            bytes: 0,
            messages: 0,
            names,
            shares,
        }
    }

    /// Notes a change of a request's fate; each ends exactly once.
    pub fn turn(&mut self, now: Duration, request: usize, fate: Fate) {
        let old = self.fates[request];
        let ended = matches!(old, Fate::Answered | Fate::Refused | Fate::Orphaned);
        if ended {
            self.violate(format!("request {request} ended as {old:?}, then became {fate:?}"));
            return;
        }
        self.fates[request] = fate;
        let idx = self.owner[request];
        self.waiting[idx] += u32::from(fate == Fate::Waits);
        self.waiting[idx] -= u32::from(old == Fate::Waits);
        self.running[idx] += u32::from(fate == Fate::Runs);
        self.running[idx] -= u32::from(old == Fate::Runs);
        self.most_running[idx] = self.most_running[idx].max(self.running[idx]);
        if fate == Fate::Waits && self.waiting.iter().sum::<u32>() == 1 {
            self.last_start = now;
        }
        if fate == Fate::Runs {
            self.longest_pause = self.longest_pause.max(now - self.last_start);
            self.last_start = now;
            self.longest_wait = self.longest_wait.max(now - self.arrivals[request]);
        }
        let backlog = if 0 < self.waiting[idx] { Backlog::Waiting } else { Backlog::Empty };
        self.gap.set_backlog(idx, backlog);
        if let Some(it) = &mut self.late {
            it.set_backlog(idx, backlog);
        }
    }

    /// Counts tokens of a request.
    pub fn serve(&mut self, now: Duration, request: usize, tokens: u32) {
        if self.tail.is_some_and(|it| it <= now) {
            self.tail = None;
            let mut late = self.gap.clone();
            late.reset();
            self.late = Some(late);
        }
        let (idx, tokens) = (self.owner[request], f64::from(tokens));
        self.gap.record_service(idx, tokens);
        if let Some(it) = &mut self.late {
            it.record_service(idx, tokens);
        }
    }

    /// Counts slots in use since the last sample.
    pub fn sample(&mut self, now: Duration, busy: u32, capacity: u32) {
        let time = (now - self.last_sample.unwrap_or(now)).as_secs_f64();
        self.last_sample = Some(now);
        if self.waiting.iter().all(|it| *it == 0) {
            return;
        }
        self.busy += time * f64::from(busy.min(capacity));
        self.capacity += time * f64::from(capacity);
    }

    /// Notes a broken promise.
    pub fn violate(&mut self, text: String) {
        self.violations.push(text);
    }

    /// Returns whether a request is still to end.
    pub fn is_open(&self) -> bool {
        self.fates.iter().any(|it| matches!(it, Fate::Ahead | Fate::Waits | Fate::Runs))
    }

    /// Returns the figures.
    pub fn figures(&self, now: Duration, n_hosts: usize) -> Figures {
        let count = |fate| self.fates.iter().filter(|it| **it == fate).count();
        let (a, b) = self.gap.largest_pair();
        Figures {
            gap: self.gap.largest(),
            between: (self.names[a].clone(), self.names[b].clone()),
            bound: self.bound(),
            gap_at_end: self.late.as_ref().map_or(0.0, FairnessGap::largest),
            utilisation: self.busy / self.capacity.max(f64::MIN_POSITIVE),
            control: self.bytes as f64 / now.as_secs_f64() / n_hosts as f64,
            wait: self.longest_wait.as_secs_f64(),
            pause: self.longest_pause.as_secs_f64(),
            regrant: self.regrant.as_secs_f64(),
            ends: (count(Fate::Answered), count(Fate::Refused), count(Fate::Orphaned)),
            violations: self.violations.clone(),
        }
    }

    /// See docs/design/fairness.md: the two largest terms of `(in flight + 1) * cost / share`.
    fn bound(&self) -> f64 {
        let term = |(running, share): (&u32, &f64)| {
            f64::from(running + 1) * f64::from(self.most_cost) / share
        };
        let mut terms: Vec<_> = self.most_running.iter().zip(&self.shares).map(term).collect();
        terms.sort_by(|a, b| b.total_cmp(a));
        terms.iter().take(2).sum()
    }
}

/// Returns the services that each workspace uses, a bit each.
fn uses(case: &Case, names: &[String]) -> Vec<u64> {
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

impl Figures {
    /// Holds the figures against what a case states; returns a line each and whether all hold.
    pub fn judge(&self, outcome: &Outcome) -> (String, Verdict) {
        let gap = outcome.gap.unwrap_or(self.bound).min(self.bound);
        let mut lines = vec![("gap at most", gap, self.gap, self.gap <= gap)];
        if let Some((it, _)) = outcome.gap_at_end {
            lines.push(("gap at the end at most", it, self.gap_at_end, self.gap_at_end <= it));
        }
        if let Some(it) = outcome.utilisation {
            lines.push(("utilisation at least", it, self.utilisation, it <= self.utilisation));
        }
        if let Some(it) = outcome.control {
            lines.push(("control at most", it, self.control, self.control <= it));
        }
        if let Some(it) = outcome.wait {
            lines.push(("longest wait at most", it, self.wait, self.wait <= it));
        }
        if let Some(it) = outcome.pause {
            lines.push(("longest pause at most", it, self.pause, self.pause <= it));
        }
        if let Some(it) = outcome.regrant {
            lines.push(("granting again within", it, self.regrant, self.regrant <= it));
        }
        let mut text = String::new();
        for (name, bound, figure, holds) in &lines {
            let mark = if *holds { "holds" } else { "BROKEN" };
            let _ = writeln!(text, "{mark:6} {name} {bound:.3}: {figure:.3}");
        }
        for it in &self.violations {
            let _ = writeln!(text, "BROKEN {it}");
        }
        let holds = lines.iter().all(|it| it.3) && self.violations.is_empty();
        (text, if holds { Verdict::Holds } else { Verdict::Broken })
    }
}

/// Whether a replay reached its outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It reached all.
    Holds,
    /// It missed one, or a promise was broken.
    Broken,
}
