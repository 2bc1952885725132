//! Quarantine of requests that crash the upstreams that run them.
//!
//! - [`RequestIdentity`]: which requests count as the same
//! - [`BrokenAttempts`]: broken attempts whose upstreams may have crashed
//! - `crash_history`: crashes during one request, and whether they suffice for quarantine
//! - [`Quarantine`]: the crash histories of all requests, shared by the fleet
//! - [`RunningCopies`]: copies of a suspect, which run one at a time

mod broken_attempts;
mod crash_history;
mod fingerprint;
mod registry;
mod running_copies;

pub use broken_attempts::{BrokenAttempts, RequestKey};
pub use crash_history::{CRASH_THRESHOLD, RETENTION};
pub use fingerprint::{Fingerprint, RequestIdentity};
pub use registry::{Quarantine, QuarantineEntry};
pub use running_copies::{CopyId, RunningCopies};
