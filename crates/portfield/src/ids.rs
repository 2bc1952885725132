//! Type aliases for ids.

use std::net::IpAddr;

/// A host, identified by its IP address.
pub type HostId = IpAddr;
/// A workspace, numbered by the configuration; numbers are never reused.
pub type WorkspaceId = u32;
/// A service, numbered by the configuration.
pub type ServiceId = u32;
/// A data centre, numbered by the configuration.
pub type DataCentreId = u32;
/// An upstream, numbered by the configuration.
pub type UpstreamId = u32;
/// A ticket, numbered by the router that holds its request.
pub type TicketId = u64;
/// A loan of a slot, numbered by the shard owner that lends it.
pub type LoanId = u64;
/// A request sent to an upstream, numbered by the host that sent it.
pub type RunId = u64;
/// One run of a process; a later run has a larger number.
pub type Incarnation = u64;
/// A revision of the fleet configuration.
pub type Revision = u64;
