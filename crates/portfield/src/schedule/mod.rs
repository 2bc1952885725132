//! Scheduling: queues, fair order and slots of the shards that a host owns.
//!
//! A [`Scheduler`] is the state of one process. It tracks the members, owns the shards that
//! rendezvous hashing assigns to its host and holds a [`ShardOwner`] for each. An owner grants a
//! free slot to the backlogged workspace that was served least relative to its share
//! ([`Counters`]), lends slots to owners in other data centres whose workspaces were served less,
//! and borrows slots from them.

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
