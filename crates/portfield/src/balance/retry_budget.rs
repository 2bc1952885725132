//! Retry budget of this host.

use std::{collections::VecDeque, time::Duration};

/// Part of the fleet's allowance that hosts use; the rest covers retries that are lost on the way,
/// and hosts that restart without a record of theirs.
const SAFETY_FACTOR: f64 = 0.6;

/// A sliding window over the requests and retries of one service at one host.
///
/// The fleet may retry `ratio` of its requests, and `extra` more, per window. Each host keeps to
/// `ratio` of its own requests and an equal part of `extra`, so the total holds without
/// coordination.
///
/// # Examples
///
/// ```
/// use portfield::balance::RetryBudget;
/// use std::time::Duration;
///
/// let mut budget = RetryBudget::new(0.0, 10.0, Duration::from_secs(10));
/// assert!(budget.withdraw(Duration::ZERO, 6));
/// assert!(!budget.withdraw(Duration::ZERO, 6));
/// assert!(budget.withdraw(Duration::from_secs(11), 6));
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryBudget {
    /// Builds a budget; `ratio`, `extra` and `window` apply to the fleet.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self { ratio, extra, window, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Records a request, which adds to the budget.
    pub fn deposit(&mut self, now: Duration) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Takes one retry from the budget; returns whether there was one. `n_hosts` share `extra`.
    pub fn withdraw(&mut self, now: Duration, n_hosts: usize) -> bool {
        self.expire(now);
        let extra = self.extra / n_hosts.max(1) as f64;
        let limit = SAFETY_FACTOR * (self.ratio * self.requests.len() as f64 + extra);
        let res = (self.retries.len() as f64) + 1.0 <= limit.max(1.0);
        if res {
            self.retries.push_back(now);
        }
        res
    }

    fn expire(&mut self, now: Duration) {
        let window = self.window;
        for list in [&mut self.requests, &mut self.retries] {
            while list.front().is_some_and(|it| *it + window < now) {
                list.pop_front();
            }
        }
    }
}
