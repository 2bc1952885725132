//! Service-level objectives: per-request results and error-budget burn rates over several windows
//! (*The Site Reliability Workbook*, chapter 5, "Alerting on SLOs").

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    fleet::Service,
    ids::{ServiceId, WorkspaceId},
};

/// Fraction of requests that must meet the first-token limit, and fraction that must meet the
/// token-gap limit.
pub const LATENCY_TARGET: f64 = 0.95;
/// Fraction of requests that must be answered completely.
pub const AVAILABILITY_TARGET: f64 = 0.999;
/// Windows that burn rates are computed over, in minutes.
pub const WINDOW_MINUTES: [u64; 4] = [5, 30, 60, 360];
/// Burn rate of a fast burn; both the 1-hour and the 5-minute window must reach it.
pub const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate of a slow burn; both the 6-hour and the 30-minute window must reach it.
pub const SLOW_BURN_RATE: f64 = 6.0;

/// Result of one request, measured against its service's objectives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Time from arrival to the first byte; `None` if the request was not answered.
    pub first_byte: Option<Duration>,
    /// Mean time between tokens; zero if there was at most one.
    pub token_gap: Duration,
}

/// Request counts of one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Finished requests.
    pub total: u64,
    /// Requests that were not answered, or only partly.
    pub failed: u64,
    /// Requests whose first token came late.
    pub late: u64,
    /// Requests whose token gap was too long.
    pub slow: u64,
}

impl Tally {
    /// Adds the counts of another window or router.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.failed += other.failed;
        self.late += other.late;
        self.slow += other.slow;
    }

    /// Returns the highest burn rate of the three objectives; at 1 the budget is used up exactly.
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
        let burn_rate = |bad: u64, target: f64| bad as f64 / self.total as f64 / (1.0 - target);
        let latency = burn_rate(self.late.max(self.slow), LATENCY_TARGET);
        burn_rate(self.failed, AVAILABILITY_TARGET).max(latency)
    }
}

/// Alert level of an error budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// The budget is safe.
    None,
    /// The budget burns slowly but steadily.
    Slow,
    /// The budget burns fast.
    Fast,
}

/// Returns the alert level for the tallies of [`WINDOW_MINUTES`].
pub fn burn_alert(tallies: &[Tally; WINDOW_MINUTES.len()]) -> Alert {
    let [five_min, thirty_min, one_hour, six_hours] = tallies.map(|it| it.burn_rate());
    if FAST_BURN_RATE <= one_hour && FAST_BURN_RATE <= five_min {
        Alert::Fast
    } else if SLOW_BURN_RATE <= six_hours && SLOW_BURN_RATE <= thirty_min {
        Alert::Slow
    } else {
        Alert::None
    }
}

/// One router's tallies of the last hours, one per minute.
#[derive(Debug, Clone, Default)]
pub struct SlidingWindows {
    minutes: BTreeMap<(WorkspaceId, ServiceId), VecDeque<(u64, Tally)>>,
}

impl SlidingWindows {
    /// Counts a finished request.
    pub fn record(&mut self, now: Duration, id: WorkspaceId, service: &Service, sample: Sample) {
        let minute = now.as_secs() / 60;
        let minutes = self.minutes.entry((id, service.id)).or_default();
        while minutes
            .front()
            .is_some_and(|it| it.0 + WINDOW_MINUTES[WINDOW_MINUTES.len() - 1] <= minute)
        {
            minutes.pop_front();
        }
        if minutes.back().is_none_or(|it| it.0 != minute) {
            minutes.push_back((minute, Tally::default()));
        }
        let Some((_, tally)) = minutes.back_mut() else { return };
        let max_first_byte = Duration::from_millis(service.first_token);
        let max_token_gap = Duration::from_millis(service.token_gap);
        tally.total += 1;
        tally.failed += u64::from(sample.first_byte.is_none());
        tally.late += u64::from(sample.first_byte.is_some_and(|it| max_first_byte < it));
        tally.slow += u64::from(max_token_gap < sample.token_gap);
    }

    /// Returns the tallies of every workspace and service over each window.
    pub fn totals(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = ((WorkspaceId, ServiceId), [Tally; WINDOW_MINUTES.len()])> + '_ {
        let minute = now.as_secs() / 60;
        self.minutes.iter().map(move |(key, minutes)| {
            (
                *key,
                WINDOW_MINUTES.map(|window| {
                    let mut res = Tally::default();
                    let recent = minutes.iter().rev().take_while(|it| minute < it.0 + window);
                    recent.for_each(|it| res.add(&it.1));
                    res
                }),
            )
        })
    }
}
