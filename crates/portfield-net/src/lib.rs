//! Clocks, connections, settings, logs and platform clients shared by portfield's programs.
//!
//! This crate is infrastructure only. Decisions about routing and fairness are made elsewhere.

pub mod clock;
pub mod coarse_timer;
pub mod connector;
pub mod daemon;
pub mod fleet_store;
pub mod http1;
mod limited;
pub mod logs;
pub mod metrics;
pub mod panics;
pub mod platform;
pub mod rpc;
pub mod rt;
pub mod settings;
pub mod socket;
pub mod sse;

pub use portfield_wire as wire;
