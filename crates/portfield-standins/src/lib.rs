//! Stand-ins for the systems around a router fleet: upstreams, the platform and the links
//! between data centres.
//!
//! For tests and the demo only. Each implements the behaviour that the fleet depends on, and
//! injects faults that the fleet must survive.

pub mod platform;
pub mod relay;
pub mod upstream;
