//! Quarantine of requests that crash the upstreams that run them.
//!
//! - [`RequestIdentity`]: which requests count as the same
//! - [`BrokenAttempts`]: broken attempts whose upstreams may have crashed
//! - `crash_history`: crashes during one request, and whether they suffice for quarantine
//! - [`Quarantine`]: the crash histories of all requests, shared by the fleet

mod broken_attempts;
mod crash_history;
mod fingerprint;
mod registry;

pub use broken_attempts::{BrokenAttempts, RequestKey};
pub use crash_history::{CRASH_THRESHOLD, RETENTION};
pub use fingerprint::{Fingerprint, RequestIdentity};
pub use registry::{Quarantine, QuarantineEntry};
