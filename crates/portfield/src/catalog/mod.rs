//! Routes, services, workspaces and upstreams as a host knows them.

mod directory;
mod draining;
mod evacuation;
mod routes;
mod upstream;
mod version;

pub use directory::{
    ChangedUpstream, Delta, Directory, EntryChange, MissingRows, REGISTRATION_GRACE, Restart,
    TouchedUpstreams,
};
pub use draining::DrainMarks;
pub use evacuation::{
    EVACUATION_GRACE, EvacuationChange, EvacuationRow, EvacuationSnapshot, Evacuations,
};
pub use routes::{
    Access, Catalog, ColdStart, EngineSpec, Limits, Regions, Route, RouteKind, Service,
    TransferSpec, WeightedService, Workspace,
};
pub use upstream::{State, Upstream, UpstreamEntry, VersionHash};
pub use version::StoreVersion;
