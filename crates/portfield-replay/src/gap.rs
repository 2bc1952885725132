//! The fairness gap: the largest difference in service for share between two workspaces
//! over any time in which both were backlogged.

/// Follows service and backlog and keeps the largest gap.
///
/// # Examples
///
/// ```
/// use portfield_replay::gap::FairnessGap;
///
/// let mut gap = FairnessGap::new(vec![1.0, 2.0]);
/// gap.set_backlog(0, Backlog::Waiting);
/// gap.set_backlog(1, Backlog::Waiting);
/// gap.record_service(0, 10.0);
/// gap.record_service(1, 20.0);
/// assert_eq!(gap.largest(), 10.0);
/// # use portfield_replay::gap::Backlog;
/// ```
#[derive(Debug, Clone)]
pub struct FairnessGap {
    shares: Vec<f64>,
    /// Services that each workspace uses, a bit each: only who shares one can be compared.
    service_masks: Vec<u64>,
    normalised_service: Vec<f64>,
    backlogs: Vec<Backlog>,
    /// Least and largest difference of each pair since both were last idle or not.
    difference_ranges: Vec<(f64, f64)>,
    largest: f64,
    largest_pair: (usize, usize),
}

/// Whether a workspace has requests that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backlog {
    /// It has.
    Waiting,
    /// It has not.
    Empty,
}

impl FairnessGap {
    /// Builds the measure for workspaces with the given shares.
    pub fn new(shares: Vec<f64>) -> Self {
        let n = shares.len();
        Self {
            normalised_service: vec![0.0; n],
            backlogs: vec![Backlog::Empty; n],
            difference_ranges: vec![(0.0, 0.0); n * n],
            service_masks: vec![1; n],
            shares,
            largest: 0.0,
            largest_pair: (0, 0),
        }
    }

    /// Says which services each workspace uses, a bit each.
    pub fn with_services(mut self, service_masks: Vec<u64>) -> Self {
        self.service_masks = service_masks;
        self
    }

    /// Notes whether a workspace is backlogged from now on.
    pub fn set_backlog(&mut self, idx: usize, backlog: Backlog) {
        if self.backlogs[idx] == backlog {
            return;
        }
        self.backlogs[idx] = backlog;
        if backlog == Backlog::Empty {
            return;
        }
        for other in 0..self.shares.len() {
            let difference = self.difference(idx, other);
            *self.difference_range(idx, other) = (difference, difference);
        }
    }

    /// Counts service, in tokens.
    pub fn record_service(&mut self, idx: usize, tokens: f64) {
        self.normalised_service[idx] += tokens / self.shares[idx];
        if self.backlogs[idx] == Backlog::Empty {
            return;
        }
        for other in 0..self.shares.len() {
            let unrelated = self.service_masks[idx] & self.service_masks[other] == 0;
            if other == idx || unrelated || self.backlogs[other] == Backlog::Empty {
                continue;
            }
            let difference = self.difference(idx, other);
            let range = self.difference_range(idx, other);
            *range = (range.0.min(difference), range.1.max(difference));
            let gap = range.1 - range.0;
            if self.largest < gap {
                self.largest = gap;
                self.largest_pair = (idx, other);
            }
        }
    }

    /// Returns the largest gap so far, in tokens for a share of one.
    pub fn largest(&self) -> f64 {
        self.largest
    }

    /// Returns the two workspaces between which it was.
    pub fn largest_pair(&self) -> (usize, usize) {
        self.largest_pair
    }

    /// Starts anew, for the measure of a part of a run.
    pub fn reset(&mut self) {
        self.largest = 0.0;
        for idx in 0..self.shares.len() {
            for other in 0..idx {
                let difference = self.difference(idx, other);
                *self.difference_range(idx, other) = (difference, difference);
            }
        }
    }

    /// Returns a workspace's service for its share.
    pub fn normalised_service(&self, idx: usize) -> f64 {
        self.normalised_service[idx]
    }

    fn difference(&self, a: usize, b: usize) -> f64 {
        let (a, b) = (a.min(b), a.max(b));
        self.normalised_service[a] - self.normalised_service[b]
    }

    fn difference_range(&mut self, a: usize, b: usize) -> &mut (f64, f64) {
        let n = self.shares.len();
        &mut self.difference_ranges[a.min(b) * n + a.max(b)]
    }
}
