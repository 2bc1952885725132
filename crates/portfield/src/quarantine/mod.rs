//! Quarantine of requests, and of parts of prompts, that crash the upstreams that run them.
//!
//! - [`RequestIdentity`]: which requests count as the same
//! - [`BrokenAttempts`]: broken attempts whose upstreams may have crashed
//! - [`SuspectKey`]: what crashes count against
//! - `crash_history`: crashes under one suspect, and whether they suffice for quarantine
//! - `recent_successes`: prompt parts that are known to be harmless
//! - [`Quarantine`]: the crash histories of all suspects, shared by the fleet
//! - [`RunningCopies`]: copies of a suspect, which run one at a time

mod broken_attempts;
mod crash_history;
mod fingerprint;
mod key;
mod recent_successes;
mod registry;
mod running_copies;

pub use broken_attempts::BrokenAttempts;
pub use crash_history::{CRASH_THRESHOLD, RETENTION};
pub use fingerprint::{Fingerprint, RequestIdentity};
pub use key::{RequestKeys, SuspectKey, SuspectKind};
pub use registry::{CrashedUpstream, Quarantine, QuarantineEntry, Verdict};
pub use running_copies::{CopyId, RunningCopies};
