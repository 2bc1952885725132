//! What a host knows of routes, services, workspaces and upstreams.

mod directory;
mod routes;

pub use directory::{
    Change, Changed, Difference, Directory, Entry, RETURN_GRACE, Source, State, Upstream,
};
pub use routes::{Access, Catalog, EngineSpec, Kind, Limits, Route, Service, Target, Workspace};
