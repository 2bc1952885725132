//! Load balancing: which upstream serves a request, and which request is refused. Each host decides
//! on its own, from its own requests and the digests of the other hosts.
//!
//! - [`Balancer`]: the decision
//! - `placement`: its input and output
//! - `window`: which upstreams are scored
//! - `scoring`: estimated cost of a request at each upstream
//! - `engine_speed`: what the balancer learns of each engine's speed
//! - `hedge`: when a request is sent to a second upstream as well
//! - `admission`: how long a request may wait there
//! - `shares`: max-min fair shares of the workspaces
//! - `upstream_signals`: what upstreams report of themselves
//! - [`BalancerOptions`]: which decisions a deployment asks for
//! - [`LoadShedder`]: overload of this host
//! - [`RetryBudget`]: limit of retries

mod admission;
mod balancer;
mod engine_speed;
mod hedge;
mod load_shedder;
mod options;
mod placement;
mod retry_budget;
mod scoring;
mod shares;
mod upstream_signals;
mod window;

pub use balancer::Balancer;
pub use hedge::HedgeRefusal;
pub use load_shedder::{AnswerKind, LoadShedder, Overload};
pub use options::{BalancerOptions, Switch};
pub use placement::{
    Assignment, CacheFetch, Candidate, Completion, Placement, PlacementRequest, Refusal, Stage,
};
pub use retry_budget::RetryBudget;
pub use shares::{ShareSnapshot, ShareStatus};
