//! Upstreams, as their entries in the store describe them.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of the name of a software version.
pub type VersionHash = u64;

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It is about to leave, and accepts none.
    Draining,
}

/// Entry that an upstream writes to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Id of the upstream, which it may keep across restarts.
    pub id: String,
    /// Start time in Unix milliseconds, if known; together with the id it identifies the
    /// incarnation.
    pub started_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Version of its software, not of an engine's weights.
    pub software_version: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Time for which it stays cold, as of when it wrote the entry; zero if it is warm. A cold
    /// upstream accepts few requests a second, and crashes when it gets more.
    pub cold_remaining: Duration,
}

/// An upstream with the hash of its incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Hash of the incarnation. State that hosts keep of an upstream (cached prompt prefixes,
    /// requests, health, connections) is not valid for its next incarnation.
    pub hash: u64,
    /// Its entry in the store.
    pub entry: UpstreamEntry,
}

impl Upstream {
    /// Returns the id of its incarnation in messages between hosts: the low 32 bits of the hash.
    pub fn wire_id(&self) -> u32 {
        self.hash as u32
    }

    /// Returns the hash of the version of its software.
    ///
    /// A process keeps its software until it ends, and its entry names the version from the start: the
    /// version of an entry holds for the incarnation that the entry describes.
    pub fn version_hash(&self) -> VersionHash {
        xxh3_64(self.entry.software_version.as_bytes())
    }
}

/// Returns the hash of an upstream's incarnation.
pub(super) fn incarnation_hash(entry: &UpstreamEntry) -> u64 {
    let id = xxh3_64(entry.id.as_bytes());
    entry.started_ms.map_or(id, |it| xxh3_64_with_seed(&it.to_le_bytes(), id))
}
