//! Whether a request ran, said only where it is certain.

use std::fmt;

/// How far an attempt to send a request upstream came before it broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptPhase {
    /// No connection, or none of the request was written to it.
    Unsent,
    /// The upstream said by itself that it did not run the request.
    Declined,
    /// Some of the request may have been written.
    Sent,
    /// The answer's head has arrived.
    Responding,
}

/// What is said to the caller of a request that got no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
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

/// Returns the outcome of a request whose last attempt broke in a phase.
///
/// `n_ambiguous` counts the earlier attempts that may have run.
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
