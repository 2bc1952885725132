//! Streams that may be resumed, and where they may go on.
//!
//! What two versions of an upstream's software write does not fit together, and upstreams do not check it: once a
//! caller has an event of a stream, the stream goes on only at upstreams of the same service and software
//! version as the one that sent the event. A caller may resume a stream at a host that did not begin it, so
//! hosts tell each other where streams began, and ask.
//!
//! - [`StreamOrigin`]: service and software version of the upstream that began a stream
//! - [`BegunStreams`]: the streams that began at this host, and the hosts that were told
//! - [`StreamOrigins`]: the streams of which a host knows where they began
//! - [`VersionHistory`]: which software versions a service had lately, and whether a host would know
//! - [`RouteMoves`]: routes that led to other services lately
//! - [`OriginQuery`]: what a host learns from the others that it asks

mod begun;
mod origin;
mod origins;
mod query;
mod route_moves;
mod version_history;

pub use begun::{BegunStream, BegunStreams};
pub use origin::{StreamKey, StreamOrigin};
pub use origins::{KnownOrigin, OriginSource, StreamKnowledge, StreamOrigins};
pub use query::{OriginAnswer, OriginQuery, QueryOutcome};
pub use route_moves::{RouteMoves, moved_routes};
pub use version_history::{VersionHistory, VersionSpread};
