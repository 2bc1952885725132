//! Max-min fair shares of the workspaces, over the whole fleet and a sliding window.

use std::time::Duration;

use crate::{digest_scope::DIGESTS_PER_UPDATE, fast_map::FastMap};

/// Number of buckets in the window.
const N_BUCKETS: usize = 8;
/// Ratio of tokens asked for to tokens granted above which capacity counts as short. It is above
/// one because a refused request that is retried is counted again.
const SHORTAGE_RATIO: f64 = 1.08;

/// Part of the largest usage, or of its own demand if that is less, below which a workspace is
/// underserved; users call it unfair at 0.5.
///
/// Beyond the shares all workspaces are equal, and the one that asks most often gets most until
/// another is underserved. The others therefore settle at this part, and fall below it for a few
/// seconds at a time, so it is well above 0.5.
const UNDERSERVED_BELOW: f64 = 0.85;
/// The same, below which a workspace is served like one within its share, and shared parts are read
/// again for it. That costs all workspaces capacity, so a few refusals must not suffice.
const STARVED_BELOW: f64 = 0.6;

/// A workspace's usage compared with its fair share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareStatus {
    /// There is capacity for all demands.
    Uncontended,
    /// Usage as a multiple of the fair share; the workspace was refused, and another has had more.
    Underserved(f64),
    /// The same, for a workspace that was refused a lot while another has had far more.
    Starved(f64),
    /// Usage as a multiple of the fair share.
    Served(f64),
}

impl ShareStatus {
    /// Returns the usage as a multiple of the fair share; zero without contention.
    pub fn share_ratio(self) -> f64 {
        match self {
            Self::Uncontended => 0.0,
            Self::Underserved(it) | Self::Starved(it) | Self::Served(it) => it,
        }
    }
}

/// What a [`ShareStatus`] is based on, in tokens within the window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShareSnapshot {
    /// Tokens that the workspace asked for.
    pub asked: f64,
    /// Tokens that it was granted.
    pub taken: f64,
    /// The fair share, the most that a workspace is entitled to; zero without contention.
    pub fair_share: f64,
    /// The usage of the best served workspace; zero without contention.
    pub largest_usage: f64,
    /// Age of the fair share and the largest usage.
    pub age: Duration,
}

/// Tokens that a workspace asked for and was granted.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Usage {
    pub asked: f64,
    pub taken: f64,
}

/// Result of the max-min allocation, in tokens within the window.
#[derive(Debug, Clone, Copy)]
struct Allocation {
    /// The most that a workspace is entitled to.
    fair_share: f64,
    /// The usage of the best served workspace.
    largest_usage: f64,
}

#[derive(Debug, Default, Clone)]
struct Window {
    buckets: [Usage; N_BUCKETS],
    /// Number of the newest bucket, counted from time zero.
    newest_bucket: u64,
}

impl Window {
    fn advance(&mut self, bucket: u64) {
        let n_new = bucket.saturating_sub(self.newest_bucket).min(N_BUCKETS as u64);
        for i in 0..n_new {
            self.buckets[((bucket - i) % N_BUCKETS as u64) as usize] = Usage::default();
        }
        self.newest_bucket = self.newest_bucket.max(bucket);
    }

    fn add(&mut self, bucket: u64, usage: Usage) {
        self.advance(bucket);
        let it = &mut self.buckets[(self.newest_bucket % N_BUCKETS as u64) as usize];
        it.asked += usage.asked;
        it.taken += usage.taken;
    }

    fn sum(&self) -> Usage {
        self.buckets.iter().fold(Usage::default(), |sum, it| Usage {
            asked: sum.asked + it.asked,
            taken: sum.taken + it.taken,
        })
    }
}

/// Usage and fair share of the fleet's workspaces, by the hash of their names.
#[derive(Debug)]
pub(crate) struct Shares {
    window: Duration,
    windows: FastMap<u32, Window>,
    /// Usage by this host's own requests since its start.
    totals: FastMap<u32, Usage>,
    /// Number of digests in which a total is still to be reported.
    n_reports_left: FastMap<u32, u32>,
    /// Configured capacity in tokens per second; zero if unknown.
    capacity: f64,
    allocation: Option<Allocation>,
    computed_at: Duration,
}

/// Time between two computations of the allocation.
const REFRESH_PERIOD: Duration = Duration::from_millis(100);

impl Shares {
    /// Builds the shares; `window` is the time over which usage counts.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            windows: FastMap::default(),
            totals: FastMap::default(),
            n_reports_left: FastMap::default(),
            capacity: 0.0,
            allocation: None,
            computed_at: Duration::ZERO,
        }
    }

    /// Sets the configured capacity in tokens per second; zero if unknown.
    pub(crate) fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
    }

    /// Records usage by a request of this host.
    pub(crate) fn record_local(&mut self, now: Duration, workspace: u32, usage: Usage) {
        let total = self.totals.entry(workspace).or_default();
        total.asked += usage.asked;
        total.taken += usage.taken;
        self.n_reports_left.insert(workspace, DIGESTS_PER_UPDATE);
        self.add_to_window(now, workspace, usage);
    }

    /// Adds usage by any host to the window.
    pub(crate) fn add_to_window(&mut self, now: Duration, workspace: u32, usage: Usage) {
        let bucket = self.bucket(now);
        self.windows.entry(workspace).or_default().add(bucket, usage);
    }

    /// Returns the tokens that all workspaces asked for within the window, and its length.
    pub(crate) fn asked(&self) -> (f64, Duration) {
        (self.windows.values().map(|it| it.sum().asked).sum(), self.window)
    }

    /// Returns the usage by this host's requests since its start, by workspace.
    pub(crate) fn totals(&self) -> impl Iterator<Item = (u32, Usage)> {
        self.totals.iter().map(|(id, it)| (*id, *it))
    }

    /// Takes the totals due in the next digest; each change is reported [`DIGESTS_PER_UPDATE`] times.
    ///
    /// All totals in every digest would make up most of its bytes.
    pub(crate) fn take_changed_totals(&mut self) -> Vec<(u32, Usage)> {
        let total = |id: &u32| (*id, self.totals.get(id).copied().unwrap_or_default());
        let res = self.n_reports_left.keys().map(total).collect();
        self.n_reports_left.values_mut().for_each(|it| *it -= 1);
        self.n_reports_left.retain(|_, it| 0 < *it);
        res
    }

    /// Returns the share status of a workspace.
    pub(crate) fn status(&mut self, now: Duration, workspace: u32) -> ShareStatus {
        if self.computed_at + REFRESH_PERIOD <= now || self.computed_at == Duration::ZERO {
            self.computed_at = now;
            self.allocation = self.compute_allocation(now);
        }
        let Some(allocation) = self.allocation else { return ShareStatus::Uncontended };
        let usage = self.windows.get(&workspace).map(Window::sum).unwrap_or_default();
        let ratio = usage.taken / allocation.fair_share.max(1.0);
        let entitled = usage.asked.min(allocation.largest_usage);
        if usage.taken < entitled * STARVED_BELOW {
            return ShareStatus::Starved(ratio);
        }
        if usage.taken < entitled * UNDERSERVED_BELOW {
            return ShareStatus::Underserved(ratio);
        }
        ShareStatus::Served(ratio)
    }

    /// Returns what a workspace's share status is based on, as of the last allocation.
    pub(crate) fn snapshot(&self, now: Duration, workspace: u32) -> ShareSnapshot {
        let usage = self.windows.get(&workspace).map(Window::sum).unwrap_or_default();
        let (fair_share, largest_usage) =
            self.allocation.map_or((0.0, 0.0), |it| (it.fair_share, it.largest_usage));
        let age = now.saturating_sub(self.computed_at);
        ShareSnapshot { asked: usage.asked, taken: usage.taken, fair_share, largest_usage, age }
    }

    /// Returns the lowest ratio of tokens granted to tokens asked for, or to the largest usage if
    /// that is less, over workspaces with refused requests; one if nothing was refused.
    pub(crate) fn min_fairness(&mut self, now: Duration) -> f64 {
        let bucket = self.bucket(now);
        self.windows.values_mut().for_each(|it| it.advance(bucket));
        let sums = || self.windows.values().map(Window::sum);
        let largest = sums().map(|it| it.taken).fold(0.0, f64::max);
        let refused = sums().filter(|it| it.taken < it.asked && 0.0 < largest);
        refused.map(|it| it.taken / it.asked.min(largest)).fold(1.0, f64::min)
    }

    /// Computes the allocation; `None` if all demands are met.
    ///
    /// The available capacity is what all workspaces were granted together.
    fn compute_allocation(&mut self, now: Duration) -> Option<Allocation> {
        let bucket = self.bucket(now);
        let mut asked: Vec<f64> = Vec::new();
        let (mut available, mut largest_usage) = (0.0, 0.0_f64);
        for it in self.windows.values_mut() {
            it.advance(bucket);
            let sum = it.sum();
            asked.push(sum.asked.max(sum.taken));
            available += sum.taken;
            largest_usage = largest_usage.max(sum.taken);
        }
        if asked.iter().sum::<f64>() <= available * SHORTAGE_RATIO {
            return None;
        }
        if 0.0 < self.capacity {
            available = available.min(self.capacity * self.window.as_secs_f64());
        }
        max_min_share(asked, available).map(|fair_share| Allocation { fair_share, largest_usage })
    }

    fn bucket(&self, now: Duration) -> u64 {
        (now.as_nanos() * N_BUCKETS as u128 / self.window.as_nanos().max(1)) as u64
    }
}

/// Returns the largest share that max-min fairness allows of `available`; `None` if all demands can
/// be met.
pub(super) fn max_min_share(mut demands: Vec<f64>, mut available: f64) -> Option<f64> {
    demands.sort_by(f64::total_cmp);
    let mut n_remaining = demands.len() as f64;
    for it in demands {
        if available / n_remaining <= it {
            return Some(available / n_remaining);
        }
        available -= it;
        n_remaining -= 1.0;
    }
    None
}
