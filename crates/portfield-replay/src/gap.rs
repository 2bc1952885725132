//! The fairness gap: the largest difference in normalised service (tokens divided by share)
//! between two workspaces over any interval in which both had waiting requests.

/// Tracks the service and backlog of workspaces and the largest gap between two of them.
///
/// Workspaces are numbered in the order of their shares.
///
/// # Examples
///
/// ```
/// use portfield_replay::gap::{Backlog, FairnessGap};
///
/// let mut gap = FairnessGap::new(vec![1.0, 2.0]);
/// gap.set_backlog(0, Backlog::Waiting);
/// gap.set_backlog(1, Backlog::Waiting);
/// gap.record_service(0, 10.0);
/// gap.record_service(1, 20.0);
/// assert_eq!(gap.largest(), 10.0);
/// ```
#[derive(Debug, Clone)]
pub struct FairnessGap {
    shares: Vec<f64>,
    /// Bit set of the services that each workspace uses; only workspaces with a common one are
    /// compared.
    service_masks: Vec<u64>,
    normalised_service: Vec<f64>,
    backlogs: Vec<Backlog>,
    /// Smallest and largest difference of each pair since the later of the two became backlogged.
    difference_ranges: Vec<(f64, f64)>,
    largest: f64,
    largest_pair: (usize, usize),
}

/// Whether a workspace has waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backlog {
    /// At least one request waits.
    Waiting,
    /// No request waits.
    Empty,
}

impl FairnessGap {
    /// Creates a gap of zero for workspaces with the given shares, none of them backlogged.
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

    /// Sets the services that each workspace uses, as a bit set; by default all use the same one.
    pub fn with_services(mut self, service_masks: Vec<u64>) -> Self {
        self.service_masks = service_masks;
        self
    }

    /// Sets the backlog of a workspace from now on.
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

    /// Adds service that a workspace received, in tokens.
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

    /// Returns the largest gap so far, in tokens per unit of share.
    pub fn largest(&self) -> f64 {
        self.largest
    }

    /// Returns the two workspaces of the largest gap.
    pub fn largest_pair(&self) -> (usize, usize) {
        self.largest_pair
    }

    /// Forgets the gaps so far, to measure only the rest of a run.
    pub fn reset(&mut self) {
        self.largest = 0.0;
        for idx in 0..self.shares.len() {
            for other in 0..idx {
                let difference = self.difference(idx, other);
                *self.difference_range(idx, other) = (difference, difference);
            }
        }
    }

    /// Returns the service of a workspace divided by its share.
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
