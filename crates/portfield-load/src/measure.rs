//! What callers saw, per workspace.

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

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole answer to its own request.
    Whole,
    /// Refused as not run.
    Refused,
    /// Said to be unknown.
    Unknown,
    /// No answer, or not the whole of it.
    Lost,
    /// Something else than its own answer.
    Wrong,
}

/// Measures of one workspace.
#[derive(Debug)]
pub(crate) struct Row {
    pub share: u32,
    pub n_sent: u64,
    pub ends: BTreeMap<&'static str, u64>,
    pub tokens: u64,
    /// Milliseconds from the request to its first token.
    pub waits: Histogram<u64>,
    waiting: u32,
    idx: usize,
}

/// Measures of a whole run.
#[derive(Debug)]
pub(crate) struct Measure {
    pub rows: BTreeMap<String, Row>,
    pub gap: FairnessGap,
    pub paces: Histogram<u64>,
    started: HashMap<(String, u64, u32), Vec<Duration>>,
    n_ended: usize,
}

impl Measure {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let mut rows = BTreeMap::new();
        for (idx, it) in fleet.workspaces.iter().enumerate() {
            let row = Row {
                share: it.share,
                n_sent: 0,
                ends: BTreeMap::new(),
                tokens: 0,
                waits: histogram(),
                waiting: 0,
                idx,
            };
            rows.insert(it.name.clone(), row);
        }
        let shares = fleet.workspaces.iter().map(|it| f64::from(it.share)).collect();
        Self {
            rows,
            gap: FairnessGap::new(shares),
            paces: histogram(),
            started: HashMap::new(),
            n_ended: 0,
        }
    }

    /// Counts a request that is sent.
    pub(crate) fn start(&mut self, it: &Arrival) {
        let key = key(it);
        self.started.entry(key).or_default().push(clock::now());
        let Some(row) = self.rows.get_mut(&it.workspace) else { return };
        row.n_sent += 1;
        if 1 < it.cost {
            row.waiting += 1;
            self.gap.set_backlog(row.idx, Backlog::Waiting);
        }
    }

    /// Counts a first token.
    pub(crate) fn first(&mut self, it: &Arrival) {
        let started = self.started.get_mut(&key(it)).and_then(Vec::pop);
        let Some(row) = self.rows.get_mut(&it.workspace) else { return };
        if let Some(at) = started {
            let _ = row.waits.record((clock::now() - at).as_millis() as u64);
        }
        row.leave_queue(&mut self.gap);
    }

    /// Counts a token.
    pub(crate) fn token(&mut self, it: &Arrival) {
        let Some(row) = self.rows.get_mut(&it.workspace) else { return };
        row.tokens += 1;
        self.gap.record_service(row.idx, 1.0);
    }

    /// Counts the mean time between the tokens of one answer.
    pub(crate) fn pace(&mut self, pace: Duration) {
        let _ = self.paces.record(pace.as_millis() as u64);
    }

    /// Counts the end of a request.
    pub(crate) fn end(&mut self, idx: usize, it: &Arrival, end: End) {
        self.n_ended += 1;
        let Some(row) = self.rows.get_mut(&it.workspace) else { return };
        *row.ends.entry(name(end)).or_default() += 1;
        if end != End::Whole && end != End::Refused {
            log::warn!(request = idx, workspace = it.workspace; "ended as {}", name(end));
        }
        if end == End::Whole && it.cost <= 1 {
            self.first(it);
        } else if end != End::Whole {
            row.leave_queue(&mut self.gap);
        }
    }

    /// Returns the workspaces' names in the order of the gap's numbers.
    pub(crate) fn names(&self) -> Vec<String> {
        let mut res: Vec<_> = self.rows.iter().map(|(name, it)| (it.idx, name.clone())).collect();
        res.sort_unstable();
        res.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns how many requests ended.
    pub(crate) fn n_ended(&self) -> usize {
        self.n_ended
    }
}

impl Row {
    fn leave_queue(&mut self, gap: &mut FairnessGap) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            gap.set_backlog(self.idx, Backlog::Empty);
        }
    }
}

fn key(it: &Arrival) -> (String, u64, u32) {
    (it.workspace.clone(), it.at, it.cost)
}

fn name(end: End) -> &'static str {
    match end {
        End::Whole => "whole",
        End::Refused => "refused",
        End::Unknown => "unknown",
        End::Lost => "lost",
        End::Wrong => "wrong",
    }
}

fn histogram() -> Histogram<u64> {
    // Three significant digits from 1 ms to an hour: the bounds are constants.
    Histogram::new_with_bounds(1, 3_600_000, 3).unwrap_or_else(|_| unreachable!())
}
