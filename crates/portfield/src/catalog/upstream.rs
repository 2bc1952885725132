//! An upstream as it describes itself.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Whether an upstream takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// An upstream as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Its id, which it may keep when it starts anew.
    pub id: String,
    /// Unix millisecond of its start, where it tells it: with the id, its incarnation.
    pub started_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// How long it stays cold, as of when it said so: until then it takes few requests a second, and ends when it
    /// gets more. Zero where it is not.
    pub cold_remaining: Duration,
}

/// An upstream with its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Hash of its incarnation: what hosts call it among themselves. What they know of an earlier one
    /// (parts kept, requests, health, connections) does not hold for the next.
    pub hash: u64,
    /// Its entry.
    pub entry: UpstreamEntry,
}

impl Upstream {
    /// Returns what hosts call its incarnation among themselves.
    pub fn wire_id(&self) -> u32 {
        self.hash as u32
    }
}

/// Returns the hash of an upstream's incarnation.
pub(super) fn incarnation_hash(entry: &UpstreamEntry) -> u64 {
    let id = xxh3_64(entry.id.as_bytes());
    entry.started_ms.map_or(id, |it| xxh3_64_with_seed(&it.to_le_bytes(), id))
}
