//! Membership: which hosts exist, which of them respond, and which one owns a shard.
//!
//! The platform's host list names the hosts that may be members but is delayed; probes tell which
//! of them respond. Probing follows SWIM (Das, Gupta and Motivala, DSN 2002): one probe per period
//! whatever the size of the fleet, indirect probes before a member is suspected, a suspicion that
//! the member can refute, and updates piggybacked on the probes.

mod membership;
mod probe;
mod rendezvous;

pub use membership::{HostListEntry, MemberInfo, MemberState, Membership};
pub use probe::{Probe, Prober};
pub use rendezvous::{choose_part, rank_hosts};
