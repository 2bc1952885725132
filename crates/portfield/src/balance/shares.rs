//! Max-min shares of the workspaces, over the fleet and the last seconds.

use std::time::Duration;

use super::fast_map::FastMap;
use crate::digest_scope::DIGESTS_PER_UPDATE;

/// Buckets of the window.
const N_BUCKETS: usize = 8;
/// Excess of what was asked over what was taken above which the fleet counts as short; a refused
/// request that comes again is asked again.
const SHORT: f64 = 1.08;

/// Part of what the best served workspace has had, or of what it asked itself if that is less, below
/// which a workspace is behind: the users call it unfair at a half.
///
/// Beyond the shares everybody is alike, and who asks most often gets most, until somebody is behind.
/// So this is where the part of the others settles, with less over single spans of some seconds: well above the half.
const BEHIND: f64 = 0.85;
/// The same, below which it is served like one within its share, and shared parts are read again for
/// it: that takes from all, so a few refusals must not be enough.
const FAR_BEHIND: f64 = 0.6;

/// How a workspace stands against its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareStatus {
    /// There is enough for all.
    Uncontended,
    /// What it has had, as a multiple of its share, where it was refused and another has had more.
    Underserved(f64),
    /// The same, where it was refused much and another has had far more.
    Starved(f64),
    /// What it has had, as a multiple of its share.
    Served(f64),
}

impl ShareStatus {
    /// Returns what the workspace has had as a multiple of its share, zero where there is plenty.
    pub fn share_ratio(self) -> f64 {
        match self {
            Self::Uncontended => 0.0,
            Self::Underserved(it) | Self::Starved(it) | Self::Served(it) => it,
        }
    }
}

/// Both sides of the comparison that a [`ShareStatus`] comes from, in tokens of the window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShareSnapshot {
    /// What the workspace asked for.
    pub asked: f64,
    /// What it has had.
    pub taken: f64,
    /// The most that a workspace is owed; zero where there is plenty.
    pub fair_share: f64,
    /// The most that one has had; zero where there is plenty.
    pub largest_usage: f64,
    /// How old the last two are.
    pub age: Duration,
}

/// What one workspace asked for and got, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Usage {
    pub asked: f64,
    pub taken: f64,
}

/// What a window has for each, in tokens.
#[derive(Debug, Clone, Copy)]
struct Level {
    /// The most that a workspace is owed.
    level: f64,
    /// The most that one has had.
    best: f64,
}

#[derive(Debug, Default, Clone)]
struct Window {
    buckets: [Usage; N_BUCKETS],
    /// Number of the newest bucket since the start.
    newest: u64,
}

impl Window {
    fn roll(&mut self, bucket: u64) {
        let n_new = bucket.saturating_sub(self.newest).min(N_BUCKETS as u64);
        for i in 0..n_new {
            self.buckets[((bucket - i) % N_BUCKETS as u64) as usize] = Usage::default();
        }
        self.newest = self.newest.max(bucket);
    }

    fn add(&mut self, bucket: u64, usage: Usage) {
        self.roll(bucket);
        let it = &mut self.buckets[(self.newest % N_BUCKETS as u64) as usize];
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

/// The fleet's workspaces by hash of their names.
#[derive(Debug)]
pub(crate) struct Shares {
    window: Duration,
    windows: FastMap<u32, Window>,
    /// What this host's own requests came to since its start.
    totals: FastMap<u32, Usage>,
    /// In how many digests each total is still to be told.
    n_untold: FastMap<u32, u32>,
    /// What there is by the configuration, in tokens a second; zero is unknown.
    capacity: f64,
    level: Option<Level>,
    levelled: Duration,
}

/// Time between two computations of the level.
const LEVEL_PERIOD: Duration = Duration::from_millis(100);

impl Shares {
    /// Builds the shares; `window` is the time over which they are kept.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            windows: FastMap::default(),
            totals: FastMap::default(),
            n_untold: FastMap::default(),
            capacity: 0.0,
            level: None,
            levelled: Duration::ZERO,
        }
    }

    /// Sets what there is by the configuration, in tokens a second; zero is unknown.
    pub(crate) fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
    }

    /// Notes what one of this host's requests asked for or took.
    pub(crate) fn note(&mut self, now: Duration, workspace: u32, usage: Usage) {
        let total = self.totals.entry(workspace).or_default();
        total.asked += usage.asked;
        total.taken += usage.taken;
        self.n_untold.insert(workspace, DIGESTS_PER_UPDATE);
        self.learn(now, workspace, usage);
    }

    /// Notes what another host's requests asked for or took.
    pub(crate) fn learn(&mut self, now: Duration, workspace: u32, usage: Usage) {
        let bucket = self.bucket(now);
        self.windows.entry(workspace).or_default().add(bucket, usage);
    }

    /// Returns what this host's requests came to since its start, by workspace.
    pub(crate) fn totals(&self) -> impl Iterator<Item = (u32, Usage)> {
        self.totals.iter().map(|(id, it)| (*id, *it))
    }

    /// Takes the totals that are to be told now; each change is told [`DIGESTS_PER_UPDATE`] times.
    ///
    /// All of them in each digest would be most of its bytes.
    pub(crate) fn take_told(&mut self) -> Vec<(u32, Usage)> {
        let total = |id: &u32| (*id, self.totals.get(id).copied().unwrap_or_default());
        let res = self.n_untold.keys().map(total).collect();
        self.n_untold.values_mut().for_each(|it| *it -= 1);
        self.n_untold.retain(|_, it| 0 < *it);
        res
    }

    /// Returns how a workspace stands.
    pub(crate) fn standing(&mut self, now: Duration, workspace: u32) -> ShareStatus {
        if self.levelled + LEVEL_PERIOD <= now || self.levelled == Duration::ZERO {
            self.levelled = now;
            self.level = self.compute(now);
        }
        let Some(level) = self.level else { return ShareStatus::Uncontended };
        let usage = self.windows.get(&workspace).map(Window::sum).unwrap_or_default();
        let share = usage.taken / level.level.max(1.0);
        let owed = usage.asked.min(level.best);
        if usage.taken < owed * FAR_BEHIND {
            return ShareStatus::Starved(share);
        }
        if usage.taken < owed * BEHIND {
            return ShareStatus::Underserved(share);
        }
        ShareStatus::Served(share)
    }

    /// Returns what a workspace's standing comes from, as of the last one computed.
    pub(crate) fn account(&self, now: Duration, workspace: u32) -> ShareSnapshot {
        let usage = self.windows.get(&workspace).map(Window::sum).unwrap_or_default();
        let (level, best) = self.level.map_or((0.0, 0.0), |it| (it.level, it.best));
        let age = now.saturating_sub(self.levelled);
        ShareSnapshot {
            asked: usage.asked,
            taken: usage.taken,
            fair_share: level,
            largest_usage: best,
            age,
        }
    }

    /// Returns the least part that a workspace has had of what it asked, or of what the best served one has had if that
    /// is less, over the window; one where nobody was refused.
    pub(crate) fn least_part(&mut self, now: Duration) -> f64 {
        let bucket = self.bucket(now);
        self.windows.values_mut().for_each(|it| it.roll(bucket));
        let sums = || self.windows.values().map(Window::sum);
        let best = sums().map(|it| it.taken).fold(0.0, f64::max);
        let refused = sums().filter(|it| it.taken < it.asked && 0.0 < best);
        refused.map(|it| it.taken / it.asked.min(best)).fold(1.0, f64::min)
    }

    /// Returns the most that a workspace gets in a window, `None` where all get what they ask.
    ///
    /// What all took together is what there is; the level shares it out by max-min.
    fn compute(&mut self, now: Duration) -> Option<Level> {
        let bucket = self.bucket(now);
        let mut asked: Vec<f64> = Vec::new();
        let (mut left, mut best) = (0.0, 0.0_f64);
        for it in self.windows.values_mut() {
            it.roll(bucket);
            let sum = it.sum();
            asked.push(sum.asked.max(sum.taken));
            left += sum.taken;
            best = best.max(sum.taken);
        }
        if asked.iter().sum::<f64>() <= left * SHORT {
            return None;
        }
        if 0.0 < self.capacity {
            left = left.min(self.capacity * self.window.as_secs_f64());
        }
        max_min(asked, left).map(|level| Level { level, best })
    }

    fn bucket(&self, now: Duration) -> u64 {
        (now.as_nanos() * N_BUCKETS as u128 / self.window.as_nanos().max(1)) as u64
    }
}

/// Returns the most that each gets where what there is, is shared out by max-min; `None` where there
/// is enough for all.
pub(super) fn max_min(mut asked: Vec<f64>, mut left: f64) -> Option<f64> {
    asked.sort_by(f64::total_cmp);
    let mut n_left = asked.len() as f64;
    for it in asked {
        if left / n_left <= it {
            return Some(left / n_left);
        }
        left -= it;
        n_left -= 1.0;
    }
    None
}
