//! Routing at the host that took a request: tickets, admission, outcomes and retries.
//!
//! Only the router that accepted a request ever sends it upstream. It keeps the request
//! and its answer; schedulers see tickets only.

mod admission;
mod outcome;
mod placement;
mod resume;
mod retry;
mod router;

pub use admission::{Admission, QueueFull};
pub use outcome::{AttemptPhase, Outcome, outcome_of};
pub use resume::{parse_resume_token, resume_token};
pub use retry::{RetryBudget, backoff};
pub use router::{Action, RejectReason, Request, Router};
