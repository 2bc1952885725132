//! Routing at the host that accepted a request: tickets, admission, outcomes and retries.
//!
//! Only the router that accepted a request sends it upstream. The request and its response stay
//! at that router; schedulers only see its ticket.

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
