//! Measurements from the callers' view, per workspace.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use hdrhistogram::Histogram;
use portfield::fleet::Fleet;
use portfield_net::clock;
use portfield_replay::{
    gap::{Backlog, FairnessGap},
    trace::Arrival,
};

/// Outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The caller got the complete response to its own request.
    Whole,
    /// The router answered that the request did not run.
    Refused,
    /// The router answered that it is unknown whether the request ran.
    Unknown,
    /// The response was missing or incomplete.
    Lost,
    /// The response does not belong to the request.
    Wrong,
}

/// Measurements of one workspace.
#[derive(Debug)]
pub(crate) struct WorkspaceStats {
    pub share: u32,
    pub n_sent: u64,
    pub outcomes: BTreeMap<&'static str, u64>,
    pub tokens: u64,
    /// Milliseconds from sending a request to its first token.
    pub wait_ms: Histogram<u64>,
    /// Streaming requests without a first token yet.
    n_waiting: u32,
    /// Index of the workspace in the fairness gap.
    idx: usize,
}

/// Measurements of a run.
#[derive(Debug)]
pub(crate) struct Measurements {
    pub workspaces: BTreeMap<String, WorkspaceStats>,
    pub fairness_gap: FairnessGap,
    /// Mean milliseconds between the tokens of a response.
    pub token_gaps: Histogram<u64>,
    /// Start times of the requests that have no first token yet, by [`arrival_key`].
    start_times: HashMap<(String, u64, u32), Vec<Duration>>,
    n_ended: usize,
}

impl Measurements {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let mut workspaces = BTreeMap::new();
        for (idx, it) in fleet.workspaces.iter().enumerate() {
            let stats = WorkspaceStats {
                share: it.share,
                n_sent: 0,
                outcomes: BTreeMap::new(),
                tokens: 0,
                wait_ms: new_histogram(),
                n_waiting: 0,
                idx,
            };
            workspaces.insert(it.name.clone(), stats);
        }
        let shares = fleet.workspaces.iter().map(|it| f64::from(it.share)).collect();
        Self {
            workspaces,
            fairness_gap: FairnessGap::new(shares),
            token_gaps: new_histogram(),
            start_times: HashMap::new(),
            n_ended: 0,
        }
    }

    /// Records that a request is sent.
    pub(crate) fn record_start(&mut self, it: &Arrival) {
        let key = arrival_key(it);
        self.start_times.entry(key).or_default().push(clock::now());
        let Some(stats) = self.workspaces.get_mut(&it.workspace) else { return };
        stats.n_sent += 1;
        if 1 < it.cost {
            stats.n_waiting += 1;
            self.fairness_gap.set_backlog(stats.idx, Backlog::Waiting);
        }
    }

    /// Records the first token of a response.
    pub(crate) fn record_first_token(&mut self, it: &Arrival) {
        let start_time = self.start_times.get_mut(&arrival_key(it)).and_then(Vec::pop);
        let Some(stats) = self.workspaces.get_mut(&it.workspace) else { return };
        if let Some(at) = start_time {
            let _ = stats.wait_ms.record((clock::now() - at).as_millis() as u64);
        }
        stats.leave_queue(&mut self.fairness_gap);
    }

    /// Records a token.
    pub(crate) fn record_token(&mut self, it: &Arrival) {
        let Some(stats) = self.workspaces.get_mut(&it.workspace) else { return };
        stats.tokens += 1;
        self.fairness_gap.record_service(stats.idx, 1.0);
    }

    /// Records the mean time between the tokens of a response.
    pub(crate) fn record_token_gap(&mut self, gap: Duration) {
        let _ = self.token_gaps.record(gap.as_millis() as u64);
    }

    /// Records the outcome of the request with the number `idx`.
    pub(crate) fn record_outcome(&mut self, idx: usize, it: &Arrival, outcome: Outcome) {
        self.n_ended += 1;
        let Some(stats) = self.workspaces.get_mut(&it.workspace) else { return };
        *stats.outcomes.entry(outcome_name(outcome)).or_default() += 1;
        if outcome != Outcome::Whole && outcome != Outcome::Refused {
            log::warn!(request = idx, workspace = it.workspace; "ended as {}", outcome_name(outcome));
        }
        if outcome == Outcome::Whole && it.cost <= 1 {
            self.record_first_token(it);
        } else if outcome != Outcome::Whole {
            stats.leave_queue(&mut self.fairness_gap);
        }
    }

    /// Returns the names of the workspaces, ordered by their index in the fairness gap.
    pub(crate) fn workspace_names(&self) -> Vec<String> {
        let mut res: Vec<_> =
            self.workspaces.iter().map(|(name, it)| (it.idx, name.clone())).collect();
        res.sort_unstable();
        res.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns the number of requests that have ended.
    pub(crate) fn n_ended(&self) -> usize {
        self.n_ended
    }
}

impl WorkspaceStats {
    fn leave_queue(&mut self, gap: &mut FairnessGap) {
        self.n_waiting = self.n_waiting.saturating_sub(1);
        if self.n_waiting == 0 {
            gap.set_backlog(self.idx, Backlog::Empty);
        }
    }
}

/// Returns the key of requests that share their start times: workspace, arrival time and cost.
fn arrival_key(it: &Arrival) -> (String, u64, u32) {
    (it.workspace.clone(), it.at, it.cost)
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Whole => "whole",
        Outcome::Refused => "refused",
        Outcome::Unknown => "unknown",
        Outcome::Lost => "lost",
        Outcome::Wrong => "wrong",
    }
}

fn new_histogram() -> Histogram<u64> {
    // Milliseconds from 1 to an hour with three significant digits. These constant bounds are valid.
    Histogram::new_with_bounds(1, 3_600_000, 3).unwrap_or_else(|_| unreachable!())
}
