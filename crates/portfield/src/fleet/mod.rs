//! The fleet's configuration: its specification by operators, plans of changes and the current
//! revision.

mod current;
mod error;
mod model;
mod plan;
mod spec;

pub use current::CurrentFleet;
pub use error::{Diagnostic, Error, ErrorKind};
pub(crate) use model::hex;
pub use model::{DataCentre, Fleet, Kind, Service, Upstream, Workspace, hash_token};
pub use plan::{Change, Plan};
pub use spec::{FleetSpec, ServiceSpec, UpstreamSpec, WorkspaceSpec};
