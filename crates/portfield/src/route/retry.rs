//! Retries: a budget, so that retries do not amplify an outage, and backoff with jitter.

use std::time::Duration;

/// Deposit of one request, in thousandths of a retry.
const DEPOSIT: u32 = 100;
/// Largest balance, in thousandths of a retry.
const MAX_BALANCE: u32 = 20_000;
/// Cost of a retry, in thousandths of a retry.
const RETRY_COST: u32 = 1000;
/// Longest pause before the first retry; it doubles with every further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(25);
/// Longest pause before any retry.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A retry budget: one retry for every ten requests, and up to 20 unused ones kept for later.
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
    /// Builds a budget with the largest balance.
    pub fn full() -> Self {
        Self { balance: MAX_BALANCE }
    }

    /// Adds the deposit of one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Withdraws the cost of one retry; returns whether the balance covered it.
    pub fn withdraw(&mut self) -> bool {
        let is_covered = RETRY_COST <= self.balance;
        if is_covered {
            self.balance -= RETRY_COST;
        }
        is_covered
    }
}

/// Returns the pause before retry `n`, counted from zero: exponential backoff with full jitter,
/// where `jitter` is a random number from 0 to 1.
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
