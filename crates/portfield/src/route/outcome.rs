//! Outcome of a failed request: not executed, or unknown.

use std::fmt;

/// Progress of an attempt to send a request upstream when it failed, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptPhase {
    /// Not connected, or connected with nothing of the request written.
    Unsent,
    /// The upstream reported that it did not run the request.
    Declined,
    /// Part of the request may have been written.
    Sent,
    /// The response's head has arrived.
    Responding,
}

/// Outcome reported to the caller of a request that got no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// Returns the outcome of a request whose last attempt failed in `phase`.
///
/// `n_ambiguous` is the number of earlier attempts that may have run.
///
/// # Examples
///
/// ```
/// use portfield::route::{Outcome, AttemptPhase, outcome_of};
///
/// assert_eq!(outcome_of(AttemptPhase::Unsent, 0), Outcome::NotRun);
/// assert_eq!(outcome_of(AttemptPhase::Unsent, 1), Outcome::Unknown);
/// assert_eq!(outcome_of(AttemptPhase::Sent, 0), Outcome::Unknown);
/// ```
pub fn outcome_of(phase: AttemptPhase, n_ambiguous: u32) -> Outcome {
    let is_certain = phase <= AttemptPhase::Declined && n_ambiguous == 0;
    if is_certain { Outcome::NotRun } else { Outcome::Unknown }
}
