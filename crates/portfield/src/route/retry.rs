//! Retries: a budget, so that they never multiply an outage, and jittered backoff.

use std::time::Duration;

/// Retries earned by one request, in thousandths.
const EARNED: u32 = 100;
/// Most retries saved up, in thousandths.
const MAX_SAVED: u32 = 20_000;
/// Price of a retry, in thousandths.
const PRICE: u32 = 1000;
/// First backoff.
const FIRST_BACKOFF: Duration = Duration::from_millis(25);
/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A retry budget: one retry for every ten requests, with a few saved up.
///
/// # Examples
///
/// ```
/// use portfield::route::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// assert!(!budget.withdraw());
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryBudget {
    saved: u32,
}

impl RetryBudget {
    /// Builds a budget that is full.
    pub fn full() -> Self {
        Self { saved: MAX_SAVED }
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + EARNED).min(MAX_SAVED);
    }

    /// Pays for a retry, if there is enough.
    pub fn withdraw(&mut self) -> bool {
        let enough = PRICE <= self.saved;
        if enough {
            self.saved -= PRICE;
        }
        enough
    }
}

/// Returns the pause before the `n`th retry, with full jitter (`jitter` from 0 to 1).
///
/// # Examples
///
/// ```
/// use portfield::route::backoff;
///
/// assert!(backoff(0, 0.5) < backoff(3, 0.5));
/// ```
pub fn backoff(n: u32, jitter: f64) -> Duration {
    let longest = (FIRST_BACKOFF * 2u32.pow(n.min(10))).min(MAX_BACKOFF);
    longest.mul_f64(jitter.clamp(0.0, 1.0))
}
