//! Where a stream began.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::catalog::VersionHash;

/// Service and software version of the upstream that sent the first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Hash of the service's name.
    pub service: u32,
    /// Software version of the upstream.
    pub version: VersionHash,
}

/// Identifies a stream within the fleet.
///
/// The attempt id is the caller's text, so it counts within the caller's workspace only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey {
    /// Hash of the workspace's name, zero without a workspace.
    pub workspace: u32,
    /// Hash of the id of the attempt that brought the first event.
    pub attempt: u64,
}

impl StreamKey {
    /// Returns the key of the stream that an attempt of a workspace began.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::streams::StreamKey;
    ///
    /// assert_eq!(StreamKey::new(7, "r1"), StreamKey::new(7, "r1"));
    /// assert_ne!(StreamKey::new(7, "r1"), StreamKey::new(8, "r1"));
    /// ```
    pub fn new(workspace: u32, attempt_id: &str) -> Self {
        Self { workspace, attempt: xxh3_64(attempt_id.as_bytes()) }
    }

    /// Returns the rank of a host, by the hash of its address, among those that are to know the stream;
    /// the lowest ones come first.
    pub fn rank(self, host: u64) -> u64 {
        xxh3_64_with_seed(&host.to_le_bytes(), self.attempt ^ u64::from(self.workspace))
    }
}
