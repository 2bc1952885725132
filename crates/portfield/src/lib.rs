//! Decision logic of a router fleet that shares language-model capacity fairly.
//!
//! Nothing here does I/O or reads a clock. Each module is a state machine: a message and the
//! current time go in, actions come out. The binaries drive it with sockets, the replay with
//! virtual time, and both run the same code. Time is a [`std::time::Duration`] since an
//! arbitrary start.
//!
//! Modules:
//!
//! - [`catalog`]: routes, workspaces and upstreams that a host knows
//! - [`balance`]: load balancing, decided by each host on digests that the hosts exchange
//! - [`upstream`]: what a host knows of each upstream
//! - [`gossip`]: which hosts exchange digests, and which read the platform's store
//! - [`streams`]: where a stream that has begun may go on
//! - [`quarantine`]: requests that crash the upstreams that run them
//! - [`digest_scope`]: incremental and full digests
//! - [`shutdown`]: which requests a host accepts after it was told to stop
//! - [`suspend`]: detection that this process was suspended, which makes its cached state stale
//! - [`fleet`]: the operators' configuration, its plans and its revisions
//! - [`member`]: membership, and which host owns a shard
//! - [`schedule`]: queues, fair order and slots of the shards that a host owns
//! - [`route`]: tickets, outcomes, retries and admission at the host that received a request
//! - [`idempotency`]: at-most-once execution by idempotency key
//! - [`slo`]: service-level objectives and burn rates
//! - [`timer`]: timers driven by an external clock

pub mod balance;
pub mod catalog;
mod decaying_sum;
pub mod digest_scope;
mod fast_map;
pub mod fleet;
pub mod gossip;
pub mod idempotency;
pub mod ids;
pub mod member;
pub mod quarantine;
pub mod route;
pub mod schedule;
pub mod shutdown;
pub mod slo;
pub mod streams;
pub mod suspend;
pub mod timer;
pub mod upstream;

pub use portfield_wire as wire;
