//! Streams that may be resumed, and where they may go on.
//!
//! What two versions of an upstream's software write does not fit together, and upstreams do not check it: once a
//! caller has an event of a stream, the stream goes on only at upstreams of the same service and software
//! version as the one that sent the event.
//!
//! - [`StreamOrigin`]: service and software version of the upstream that began a stream

mod origin;

pub use origin::StreamOrigin;
