//! The configuration of the fleet: what operators state, what it changes, what is in force.

mod error;
mod intent;
mod model;
mod plan;
mod revision;

pub use error::{Error, ErrorKind, Mistake};
pub use intent::{Intent, ServiceIntent, UpstreamIntent, WorkspaceIntent};
pub(crate) use model::hex;
pub use model::{DataCentre, Fleet, Kind, Service, Upstream, Workspace, hash_token};
pub use plan::{Change, Plan};
pub use revision::Adopted;
