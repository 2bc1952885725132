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
mod budget;
mod cache;
mod choice;
mod fast_map;
mod flow;
mod governor;
mod health;
mod job;
mod load;
mod peer_state;
mod peer_table;
mod prompt;
mod readers;
mod shares;
mod speed;
mod told;
mod topology;
mod warmup;
mod witness;

pub use balancer::{Balancer, RunId};
pub use budget::RetryBudget;
pub use governor::{AnswerKind, LoadShedder, Overload};
pub use job::{Assignment, Candidate, Completion, Placement, PlacementRequest, Refusal, Stage};
pub use peer_table::{Delivery, PeerTable, host_hash};
pub use prompt::{Prompt, PromptPart};
pub use readers::{STORE_CALL_TIMEOUT, StoreTimeouts, StoreWatchers, WatcherStatus};
pub use shares::{ShareSnapshot, ShareStatus};
pub use topology::{GossipConfig, GossipTopology, RemoteHost};
pub use warmup::cold_quota;
pub use witness::StoreAvailability;
