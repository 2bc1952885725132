//! Generates traces of requests, replays them against the routing and scheduling code in virtual
//! time, and checks the metrics.

pub mod baseline;
pub mod case;
pub mod engine;
pub mod gap;
pub mod metrics;
pub mod scaling;
pub mod sim;
pub mod trace;
