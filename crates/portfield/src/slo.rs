//! Service-level objectives: what each request used of its error budget, and how fast the
//! budget burns (*The Site Reliability Workbook*, chapter 5: alerting on burn rates over
//! several windows).

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    fleet::Service,
    ids::{ServiceId, WorkspaceId},
};

/// Part of the requests whose first token and whose time between tokens must be in time.
pub const LATENCY_TARGET: f64 = 0.95;
/// Part of the requests that must be answered.
pub const AVAILABILITY_TARGET: f64 = 0.999;
/// SlidingWindows that burn rates are told over, in minutes.
pub const WINDOW_MINUTES: [u64; 4] = [5, 30, 60, 360];
/// A fast burn: both the hour and the last five minutes burn at least this fast.
pub const FAST_BURN_RATE: f64 = 14.4;
/// A slow burn: both the six hours and the last half hour burn at least this fast.
pub const SLOW_BURN_RATE: f64 = 6.0;

/// How one request ended, against its service's objectives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// From its arrival to its first byte; none where it was not answered.
    pub first_byte: Option<Duration>,
    /// Mean time between its tokens; zero where it had none.
    pub token_gap: Duration,
}

/// Requests of one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All that ended.
    pub total: u64,
    /// Those that were not answered, or not whole.
    pub failed: u64,
    /// Those whose first token was late.
    pub late: u64,
    /// Those whose tokens came too slowly.
    pub slow: u64,
}

impl Tally {
    /// Adds another window's or router's requests.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.failed += other.failed;
        self.late += other.late;
        self.slow += other.slow;
    }

    /// Returns the highest burn rate of the three objectives; 1 uses up the budget exactly.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::slo::Tally;
    ///
    /// let tally = Tally { total: 100, failed: 0, late: 10, slow: 0 };
    /// assert!((tally.burn_rate() - 2.0).abs() < 1e-9);
    /// ```
    pub fn burn_rate(&self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let rate = |bad: u64, target: f64| bad as f64 / self.total as f64 / (1.0 - target);
        let latency = rate(self.late.max(self.slow), LATENCY_TARGET);
        rate(self.failed, AVAILABILITY_TARGET).max(latency)
    }
}

/// Whether somebody is to look at a burn now, soon, or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// The budget is safe.
    None,
    /// It burns slowly but steadily.
    Slow,
    /// It burns fast.
    Fast,
}

/// Judges the burn of the windows of [`WINDOW_MINUTES`].
pub fn burn_alert(tallies: &[Tally; WINDOW_MINUTES.len()]) -> Alert {
    let [five, thirty, hour, six] = tallies.map(|it| it.burn_rate());
    if FAST_BURN_RATE <= hour && FAST_BURN_RATE <= five {
        Alert::Fast
    } else if SLOW_BURN_RATE <= six && SLOW_BURN_RATE <= thirty {
        Alert::Slow
    } else {
        Alert::None
    }
}

/// What one router remembers of the last hours, a tally a minute.
#[derive(Debug, Clone, Default)]
pub struct SlidingWindows {
    minutes: BTreeMap<(WorkspaceId, ServiceId), VecDeque<(u64, Tally)>>,
}

impl SlidingWindows {
    /// Counts a request that ended.
    pub fn record(&mut self, now: Duration, id: WorkspaceId, service: &Service, sample: Sample) {
        let minute = now.as_secs() / 60;
        let all = self.minutes.entry((id, service.id)).or_default();
        while all
            .front()
            .is_some_and(|it| it.0 + WINDOW_MINUTES[WINDOW_MINUTES.len() - 1] <= minute)
        {
            all.pop_front();
        }
        if all.back().is_none_or(|it| it.0 != minute) {
            all.push_back((minute, Tally::default()));
        }
        let Some((_, tally)) = all.back_mut() else { return };
        let first_limit = Duration::from_millis(service.first_token);
        let gap_limit = Duration::from_millis(service.token_gap);
        tally.total += 1;
        tally.failed += u64::from(sample.first_byte.is_none());
        tally.late += u64::from(sample.first_byte.is_some_and(|it| first_limit < it));
        tally.slow += u64::from(gap_limit < sample.token_gap);
    }

    /// Returns the tallies of every workspace and service over each window.
    pub fn totals(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = ((WorkspaceId, ServiceId), [Tally; WINDOW_MINUTES.len()])> + '_ {
        let minute = now.as_secs() / 60;
        self.minutes.iter().map(move |(key, all)| {
            (
                *key,
                WINDOW_MINUTES.map(|window| {
                    let mut res = Tally::default();
                    let recent = all.iter().rev().take_while(|it| minute < it.0 + window);
                    recent.for_each(|it| res.add(&it.1));
                    res
                }),
            )
        })
    }
}
