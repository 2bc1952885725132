//! Type aliases for ids.

use std::net::IpAddr;

/// A host, named by its IP number.
pub type HostId = IpAddr;
/// A workspace, numbered by the configuration; a number is never used again.
pub type WorkspaceId = u32;
/// A service, numbered by the configuration.
pub type ServiceId = u32;
/// A data centre, numbered by the configuration.
pub type DataCentreId = u32;
/// An upstream, numbered by the configuration.
pub type UpstreamId = u32;
/// A ticket, numbered by the router that holds the request.
pub type TicketId = u64;
/// A loan of a slot, numbered by the owner that lends.
pub type LoanId = u64;
/// One life of a process; a later life has a larger number.
pub type Incarnation = u64;
/// A revision of the fleet configuration.
pub type Revision = u64;
