//! Stand-ins for what portfield meets: upstreams, the platform, links between data centres.
//!
//! For tests and the demo only. They are small: each has the behaviour that the router
//! fleet depends on and switches for the faults that it must survive.

pub mod platform;
pub mod relay;
pub mod upstream;
