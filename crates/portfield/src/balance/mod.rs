//! Load balancing: which upstream serves a request, and which request is refused. Each host decides
//! on its own, from its own requests and the digests of the other hosts.
//!
//! - [`Balancer`]: the decision
//! - `placement`: its input and output
//! - `window`: which upstreams are scored
//! - `scoring`: estimated cost of a request at each upstream
//! - `admission`: how long a request may wait there
//! - `memory_limits`: which engines have memory left for a request
//! - `shares`: max-min fair shares of the workspaces
//! - `upstream_signals`: what upstreams report of themselves
//! - [`BalancerOptions`]: which decisions a deployment asks for
//! - [`LoadShedder`]: overload of this host
//! - [`RetryBudget`]: limit of retries

mod admission;
mod balancer;
mod load_shedder;
mod memory_limits;
mod options;
mod placement;
mod retry_budget;
mod scoring;
mod shares;
mod upstream_signals;
mod window;

pub use balancer::Balancer;
pub use load_shedder::{AnswerKind, LoadShedder, Overload};
pub use memory_limits::MemoryCounts;
pub use options::{BalancerOptions, Switch};
pub use placement::{
    Assignment, CacheFetch, Candidate, Completion, Placement, PlacementRequest, Refusal, Stage,
};
pub use retry_budget::RetryBudget;
pub use shares::{ShareSnapshot, ShareStatus};
