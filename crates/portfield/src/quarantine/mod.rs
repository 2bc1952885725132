//! Requests that end the upstreams that run them.
//!
//! - [`RequestIdentity`]: what makes two requests the same one
//! - [`BrokenAttempts`]: runs that broke, until it is known whether their upstreams ended with them
//! - `crash_history`: what is known against one request, and whether it is enough
//! - [`Quarantine`]: all of them, over the whole fleet

mod broken_attempts;
mod crash_history;
mod fingerprint;
mod registry;

pub use broken_attempts::{BrokenAttempts, RequestKey};
pub use crash_history::{CRASH_THRESHOLD, RETENTION};
pub use fingerprint::{Fingerprint, RequestIdentity};
pub use registry::{Quarantine, QuarantineEntry};
