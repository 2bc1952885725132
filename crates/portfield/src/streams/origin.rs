//! Where a stream began.

use crate::catalog::VersionHash;

/// Service and software version of the upstream that sent the first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Hash of the service's name.
    pub service: u32,
    /// Software version of the upstream.
    pub version: VersionHash,
}
