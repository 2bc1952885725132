//! Scheduling: queues, fair order and slots of the shards that a host owns.
//!
//! A [`Scheduler`] is one process: it knows the members, owns the shards that rendezvous
//! hashing gives it and holds an [`Owner`] for each. An owner grants a free slot to the
//! backlogged workspace with the least service for its share ([`Counters`]), lends slots
//! to owners in other data centres whose workspaces are served less, and borrows theirs.

mod counters;
mod decision;
mod estimate;
mod exchange;
mod key;
mod owner;
mod peer;
mod queue;
mod scheduler;
mod slots;
mod standby;

pub use counters::{Counters, SCALE, Virtual, to_virtual};
pub use decision::{Decision, Step};
pub use estimate::Estimates;
pub use key::ShardKey;
pub use owner::{Limits, Owner, Status, WorkspaceStatus};
pub use peer::Arrival;
pub use queue::{Queues, Waiting};
pub use scheduler::{Action, Event, Scheduler, Settings};
pub use slots::{Health, Pace, Slots};
