//! Membership: which hosts there are, which of them answer, and who owns a shard.
//!
//! The platform's host list says who may be a member, but it lags; probes say who
//! answers. Probing follows SWIM (Das, Gupta and Motivala, DSN 2002): one probe per
//! period whatever the size, indirect probes before a verdict, a suspicion that the
//! suspect can refute, and updates piggy-backed on the probes.

mod membership;
mod probe;
mod rendezvous;

pub use membership::{HostListEntry, MemberInfo, MemberState, Membership};
pub use probe::{Probe, Prober};
pub use rendezvous::{choose_part, rank_hosts};
