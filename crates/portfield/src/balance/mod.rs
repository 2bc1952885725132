//! Load balancing: which upstream serves a request, and which request is refused. Each host decides
//! on its own, from its own requests and the digests of the other hosts.
//!
//! - [`Balancer`]: the decision
//! - `placement`: its input and output
//! - `window`: which upstreams are scored
//! - [`prompt`](Prompt): cost of a prompt
//! - `scoring`: estimated cost of a request at each upstream
//! - `admission`: how long a request may wait there
//! - `shares`: max-min fair shares of the workspaces
//! - `upstream_table`: load of each upstream, from all hosts
//! - `upstream_signals`: what upstreams report of themselves
//! - `prefix_cache`: prompt prefixes cached by engines
//! - `latency_model`: time to the first event, learned from observations
//! - `bias`: recent error of that estimate
//! - `health`: upstreams that fail
//! - `backoff`: upstreams that asked for a backoff
//! - `warmup`: cold upstreams
//! - [`LoadShedder`]: overload of this host
//! - [`RetryBudget`]: limit of retries

mod admission;
mod backoff;
mod balancer;
mod bias;
mod health;
mod latency_model;
mod load_shedder;
mod placement;
mod prefix_cache;
mod prompt;
mod retry_budget;
mod scoring;
mod shares;
mod upstream_signals;
mod upstream_table;
mod warmup;
mod window;

pub use balancer::Balancer;
pub use load_shedder::{AnswerKind, LoadShedder, Overload};
pub use placement::{
    Assignment, Candidate, Completion, Placement, PlacementRequest, Refusal, Stage,
};
pub use prompt::{Prompt, PromptPart};
pub use retry_budget::RetryBudget;
pub use shares::{ShareSnapshot, ShareStatus};
pub use warmup::cold_quota;
