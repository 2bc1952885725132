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
//! - [`GossipTopology`]: which hosts a digest is sent to
//! - [`PeerTable`]: the other hosts, and digests to forward
//! - `peer_state`: totals reported by one peer
//! - [`StoreWatchers`]: which hosts watch the store
//! - [`ReaderRank`]: which hosts read the fleet's state from the store at their start
//! - [`asks_now`]: which hosts fetch news from others at a time
//! - [`StoreAvailability`]: whether others reached the store while this host could not
//! - `decaying_sum`, `fast_map`: data structures

mod admission;
mod backoff;
mod balancer;
mod bias;
mod decaying_sum;
mod fan_out;
mod fast_map;
mod first_read;
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
mod window;

pub use balancer::{Balancer, RunId};
pub use fan_out::{FetchSize, ListAnswer, ListSender, asks_now};
pub use first_read::{PeerCopy, ReaderRank};
pub use load_shedder::{AnswerKind, LoadShedder, Overload};
pub use peer_table::{Delivery, Introduction, PeerTable, host_hash};
pub use placement::{
    Assignment, Candidate, Completion, Placement, PlacementRequest, Refusal, Stage,
};
pub use prompt::{Prompt, PromptPart};
pub use retry_budget::RetryBudget;
pub use shares::{ShareSnapshot, ShareStatus};
pub use store_availability::StoreAvailability;
pub use store_watchers::{STORE_CALL_TIMEOUT, StoreTimeouts, StoreWatchers, WatcherStatus};
pub use topology::{GossipConfig, GossipTopology, Peer};
pub use warmup::cold_quota;
