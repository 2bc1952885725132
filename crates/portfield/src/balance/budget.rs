//! How many requests this host may send a second time.

use std::{collections::VecDeque, time::Duration};

/// Part of the fleet's allowance that hosts use together: what is sent and lost on the way, and
/// hosts that restart with an empty memory, take from the rest.
const USED: f64 = 0.6;

/// A sliding window over one service's requests and repeats at one host.
///
/// The fleet may repeat `ratio` of its requests and `extra` more in each window. Each host keeps
/// to `ratio` of its own requests and an even part of `extra`, so that the sum holds without
/// a word between them.
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
    repeats: VecDeque<Duration>,
}

impl RetryBudget {
    /// Builds a budget.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self { ratio, extra, window, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Counts a request.
    pub fn deposit(&mut self, now: Duration) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Pays for one repeat, if it can; `n_hosts` share the extra.
    pub fn withdraw(&mut self, now: Duration, n_hosts: usize) -> bool {
        self.forget(now);
        let extra = self.extra / n_hosts.max(1) as f64;
        let most = USED * (self.ratio * self.requests.len() as f64 + extra);
        let res = (self.repeats.len() as f64) + 1.0 <= most.max(1.0);
        if res {
            self.repeats.push_back(now);
        }
        res
    }

    fn forget(&mut self, now: Duration) {
        let window = self.window;
        for list in [&mut self.requests, &mut self.repeats] {
            while list.front().is_some_and(|it| *it + window < now) {
                list.pop_front();
            }
        }
    }
}
