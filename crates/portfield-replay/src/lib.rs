//! Traces, measures, and the replay of traces against the decision code in virtual time.

pub mod baseline;
pub mod case;
pub mod engine;
pub mod gap;
pub mod metrics;
pub mod scaling;
pub mod sim;
pub mod trace;
