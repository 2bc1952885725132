//! Which upstream takes a request, and which request is refused: each host decides by itself
//! from what it did and what the other hosts say they did.
//!
//! - [`prompt`](Prompt): what a request costs
//! - `cache`: which parts of prompts an upstream keeps
//! - `speed`: how fast engines read, learned from first events
//! - `bias`: what estimates fell short of lately
//! - `load`: what is on its way to each upstream, from all hosts
//! - `peer`: what another host says that it did, and how much of it is new
//! - `choice`: what each upstream would cost a request
//! - `admission`: how long a request may wait there
//! - `health`: upstreams that fail
//! - `backoff`: upstreams that asked to be left alone
//! - `warmup`: upstreams that are cold
//! - `shares`: max-min shares of the workspaces
//! - [`LoadShedder`]: whether this host itself keeps up
//! - [`GossipTopology`]: whom a host tells what it did
//! - [`PeerTable`]: the other hosts, and what is passed on between them
//! - [`StoreWatchers`]: which hosts follow the store
//! - [`StoreAvailability`]: whether others heard the store while this host could not
//! - `budget`: how many requests may be sent a second time
//! - `told`: what upstreams say of themselves
//! - [`Balancer`]: the decision

mod admission;
mod backoff;
mod balancer;
mod bias;
mod decaying_sum;
mod fast_map;
mod health;
mod latency_model;
mod load_shedder;
mod peer_state;
mod peer_table;
mod placement;
mod prefix_cache;
mod prompt;
mod retry_budget;
mod scoring;
mod shares;
mod store_availability;
mod store_watchers;
mod topology;
mod upstream_signals;
mod upstream_table;
mod warmup;

pub use balancer::{Balancer, RunId};
pub use load_shedder::{AnswerKind, LoadShedder, Overload};
pub use peer_table::{Delivery, PeerTable, host_hash};
pub use placement::{
    Assignment, Candidate, Completion, Placement, PlacementRequest, Refusal, Stage,
};
pub use prompt::{Prompt, PromptPart};
pub use retry_budget::RetryBudget;
pub use shares::{ShareSnapshot, ShareStatus};
pub use store_availability::StoreAvailability;
pub use store_watchers::{STORE_CALL_TIMEOUT, StoreTimeouts, StoreWatchers, WatcherStatus};
pub use topology::{GossipConfig, GossipTopology, RemoteHost};
pub use warmup::cold_quota;
