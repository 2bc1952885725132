//! The fairness gap: the largest difference in service for share between two workspaces
//! over any time in which both were backlogged.

/// Follows service and backlog and keeps the largest gap.
///
/// # Examples
///
/// ```
/// use portfield_replay::gap::Gap;
///
/// let mut gap = Gap::new(vec![1.0, 2.0]);
/// gap.set_backlogged(0, Backlog::Waits);
/// gap.set_backlogged(1, Backlog::Waits);
/// gap.serve(0, 10.0);
/// gap.serve(1, 20.0);
/// assert_eq!(gap.largest(), 10.0);
/// # use portfield_replay::gap::Backlog;
/// ```
#[derive(Debug, Clone)]
pub struct Gap {
    shares: Vec<f64>,
    /// Services that each workspace uses, a bit each: only who shares one can be compared.
    uses: Vec<u64>,
    service: Vec<f64>,
    backlogged: Vec<Backlog>,
    /// Least and largest difference of each pair since both were last idle or not.
    ranges: Vec<(f64, f64)>,
    largest: f64,
    pair: (usize, usize),
}

/// Whether a workspace has requests that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backlog {
    /// It has.
    Waits,
    /// It has not.
    Idle,
}

impl Gap {
    /// Builds the measure for workspaces with the given shares.
    pub fn new(shares: Vec<f64>) -> Self {
        let n = shares.len();
        Self {
            service: vec![0.0; n],
            backlogged: vec![Backlog::Idle; n],
            ranges: vec![(0.0, 0.0); n * n],
            uses: vec![1; n],
            shares,
            largest: 0.0,
            pair: (0, 0),
        }
    }

    /// Says which services each workspace uses, a bit each.
    pub fn with_uses(mut self, uses: Vec<u64>) -> Self {
        self.uses = uses;
        self
    }

    /// Notes whether a workspace is backlogged from now on.
    pub fn set_backlogged(&mut self, idx: usize, backlog: Backlog) {
        if self.backlogged[idx] == backlog {
            return;
        }
        self.backlogged[idx] = backlog;
        if backlog == Backlog::Idle {
            return;
        }
        for other in 0..self.shares.len() {
            let diff = self.diff(idx, other);
            *self.range(idx, other) = (diff, diff);
        }
    }

    /// Counts service, in tokens.
    pub fn serve(&mut self, idx: usize, cost: f64) {
        self.service[idx] += cost / self.shares[idx];
        if self.backlogged[idx] == Backlog::Idle {
            return;
        }
        for other in 0..self.shares.len() {
            let apart = self.uses[idx] & self.uses[other] == 0;
            if other == idx || apart || self.backlogged[other] == Backlog::Idle {
                continue;
            }
            let diff = self.diff(idx, other);
            let range = self.range(idx, other);
            *range = (range.0.min(diff), range.1.max(diff));
            let size = range.1 - range.0;
            if self.largest < size {
                self.largest = size;
                self.pair = (idx, other);
            }
        }
    }

    /// Returns the largest gap so far, in tokens for a share of one.
    pub fn largest(&self) -> f64 {
        self.largest
    }

    /// Returns the two workspaces between which it was.
    pub fn pair(&self) -> (usize, usize) {
        self.pair
    }

    /// Starts anew, for the measure of a part of a run.
    pub fn reset(&mut self) {
        self.largest = 0.0;
        for idx in 0..self.shares.len() {
            for other in 0..idx {
                let diff = self.diff(idx, other);
                *self.range(idx, other) = (diff, diff);
            }
        }
    }

    /// Returns a workspace's service for its share.
    pub fn service(&self, idx: usize) -> f64 {
        self.service[idx]
    }

    fn diff(&self, a: usize, b: usize) -> f64 {
        let (a, b) = (a.min(b), a.max(b));
        self.service[a] - self.service[b]
    }

    fn range(&mut self, a: usize, b: usize) -> &mut (f64, f64) {
        let n = self.shares.len();
        &mut self.ranges[a.min(b) * n + a.max(b)]
    }
}
