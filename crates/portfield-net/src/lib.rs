//! Sockets, settings, logs and platform clients shared by portfield's binaries.
//!
//! Everything here is plumbing: no decision about routing or fairness is made in it.

pub mod clock;
pub mod contain;
pub mod daemon;
pub mod dial;
pub mod events;
pub mod http1;
pub mod logs;
pub mod metrics;
pub mod platform;
pub mod rpc;
pub mod rt;
pub mod settings;
pub mod socket;
pub mod store;

pub use portfield_wire as wire;
