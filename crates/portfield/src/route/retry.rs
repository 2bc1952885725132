//! Retries: a budget, so that they never multiply an outage, and jittered backoff.

use std::time::Duration;

/// Retries earned by one request, in thousandths.
const DEPOSIT: u32 = 100;
/// Most retries saved up, in thousandths.
const MAX_BALANCE: u32 = 20_000;
/// Price of a retry, in thousandths.
const RETRY_COST: u32 = 1000;
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
    balance: u32,
}

impl RetryBudget {
    /// Builds a budget that is full.
    pub fn full() -> Self {
        Self { balance: MAX_BALANCE }
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Pays for a retry, if there is enough.
    pub fn withdraw(&mut self) -> bool {
        let is_covered = RETRY_COST <= self.balance;
        if is_covered {
            self.balance -= RETRY_COST;
        }
        is_covered
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
    let limit = (FIRST_BACKOFF * 2u32.pow(n.min(10))).min(MAX_BACKOFF);
    limit.mul_f64(jitter.clamp(0.0, 1.0))
}
