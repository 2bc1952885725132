//! Routing at the host that took a request: tickets, admission, outcomes and retries.
//!
//! Only the router that accepted a request ever sends it upstream. It keeps the request
//! and its answer; schedulers see tickets only.

mod admission;
mod outcome;
mod placing;
mod resume;
mod retry;
mod router;

pub use admission::{Admission, Full};
pub use outcome::{Outcome, Phase, outcome_of};
pub use resume::{read_token, resume_token};
pub use retry::{Budget, backoff};
pub use router::{Action, Reason, Request, Router};
