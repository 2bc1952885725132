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
//! - `cache_transfer`: where its upstream fetches cached prompt parts from
//! - `unseen_load`: requests of other hosts that this host has not heard of
//! - `capacity`: what engines can still take
//! - `invitations`: when a refused caller is to come back
//! - `kinds`: requests of one route
//! - `memory_limits`: which engines have memory left for a request
//! - `shares`: max-min fair shares of the workspaces
//! - `upstream_signals`: what upstreams report of themselves
//! - [`BalancerOptions`]: which decisions a deployment asks for
//! - [`LoadShedder`]: overload of this host
//! - [`ProcessorUse`]: processor time in use
//! - [`IngressBalance`]: which hosts take new connections
//! - [`RetryBudget`]: limit of retries

mod admission;
mod balancer;
mod cache_transfer;
mod capacity;
mod engine_speed;
mod hedge;
mod ingress_balance;
mod invitations;
mod kinds;
mod load_shedder;
mod memory_limits;
mod options;
mod placement;
mod processor_use;
mod retry_budget;
mod scoring;
mod shares;
mod unseen_load;
mod upstream_signals;
mod window;

pub use balancer::Balancer;
pub use cache_transfer::{FetchOutcome, FetchReport};
pub use capacity::EngineRoom;
pub use hedge::HedgeRefusal;
pub use ingress_balance::{
    ConnectionUse, IngressBalance, LocalHosts, OwnLoad, PeerSummary, Rotation,
};
pub use load_shedder::{AnswerKind, LoadShedder, Overload};
pub use memory_limits::MemoryCounts;
pub use options::{BalancerOptions, Switch};
pub use placement::{
    Assignment, CacheFetch, Candidate, Completion, Placement, PlacementRequest, Refusal,
    SourceKnowledge, Stage,
};
pub use processor_use::ProcessorUse;
pub use retry_budget::RetryBudget;
pub use shares::{ShareSnapshot, ShareStatus};
