//! Scheduling: queues, fair order and slots of the shards that a host owns.
//!
//! A [`Scheduler`] is one process: it knows the members, owns the shards that rendezvous
//! hashing gives it and holds an [`ShardOwner`] for each. An owner grants a free slot to the
//! backlogged workspace with the least service for its share ([`Counters`]), lends slots
//! to owners in other data centres whose workspaces are served less, and borrows theirs.

mod cost_estimator;
mod counters;
mod decision;
mod exchange;
mod owner;
mod peer;
mod queue;
mod scheduler;
mod shard_key;
mod slots;
mod standby;

pub use cost_estimator::CostEstimator;
pub use counters::{Counters, UNITS_PER_TOKEN, VirtualCost, virtual_cost};
pub use decision::{Decision, Step};
pub use owner::{OwnerConfig, ShardOwner, ShardStatus, WorkspaceStatus};
pub use peer::DeliveryStatus;
pub use queue::{QueuedTicket, TicketQueues};
pub use scheduler::{Action, Event, Scheduler, SchedulerConfig};
pub use shard_key::ShardKey;
pub use slots::{Health, InterTokenLatency, Slots};
