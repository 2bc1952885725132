//! Traces, measures, and the replay of traces against the decision code in virtual time.

pub mod case;
pub mod gap;
pub mod trace;
