//! At-most-once execution by idempotency key: what a claim row says, and what follows.
//!
//! Before a request with a key is sent upstream, its router writes a row that names the
//! request. Only who wrote the row sends. The row is given up if the request certainly did
//! not run, and keeps the answer if it ended (compare the IETF draft *The Idempotency-Key
//! HTTP Header Field*).

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{fleet::hex, ids::WorkspaceId};

/// Longest answer that is kept with its key, in bytes.
pub const MAX_KEPT_ANSWER: usize = 64 << 10;

/// What became of the request that a key names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// A router may send it, or did.
    Claimed,
    /// It certainly did not run; who comes next may claim it.
    Free,
    /// It ran; with the answer's status and, if it was short text, its body.
    Done {
        /// HTTP status.
        status: u16,
        /// Body, if it is kept.
        body: Option<String>,
    },
}

/// The row of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the request that claimed the key, never used twice.
    pub request: String,
    /// Hash of what the key stands for: method, path and body.
    pub content: String,
    /// What became of it.
    pub state: ClaimState,
}

impl Claim {
    /// Builds the claim of a request.
    pub fn new(request: impl Into<String>, content: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for it in content {
            hash.update((it.len() as u64).to_le_bytes());
            hash.update(it);
        }
        let content = hex(&hash.finalize());
        Self { request: request.into(), content, state: ClaimState::Claimed }
    }

    /// Writes the row.
    pub fn to_row(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a row; an empty one is none.
    pub fn from_row(row: &str) -> Option<Self> {
        serde_json::from_str(row).ok()
    }
}

/// Returns the row's key for a workspace's idempotency key; workspaces cannot meet.
///
/// # Examples
///
/// ```
/// use portfield::idempotency::claim_key;
///
/// assert_ne!(claim_key(1, 7, "order-1"), claim_key(2, 7, "order-1"));
/// ```
pub fn claim_key(workspace: WorkspaceId, service: u32, key: &str) -> String {
    format!("claim/{workspace}/{service}/{}", hex(&Sha256::digest(key.as_bytes())))
}

/// What a router does about a key, given the row that it found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Write the claim over the row found.
    Claim,
    /// The row is this request's own: a write that seemed lost was applied.
    AlreadyHeld,
    /// Another request may have run under the key.
    Conflict,
    /// The key stands for another request content.
    Mismatch,
    /// The request ran: give the kept answer.
    Replay(u16, Option<String>),
}

/// Judges the row found for a key.
///
/// # Examples
///
/// ```
/// use portfield::idempotency::{Claim, Decision, decide};
///
/// let mine = Claim::new("a-1", &[b"POST", b"/order", b"{}"]);
/// assert_eq!(decide(None, &mine), Decision::Claim);
/// assert_eq!(decide(Some(&mine), &mine), Decision::AlreadyHeld);
/// let other = Claim::new("b-1", &[b"POST", b"/order", b"{}"]);
/// assert_eq!(decide(Some(&other), &mine), Decision::Conflict);
/// ```
pub fn decide(found: Option<&Claim>, mine: &Claim) -> Decision {
    let Some(found) = found else { return Decision::Claim };
    if found.content != mine.content {
        return Decision::Mismatch;
    }
    match &found.state {
        ClaimState::Free => Decision::Claim,
        ClaimState::Claimed if found.request == mine.request => Decision::AlreadyHeld,
        ClaimState::Claimed => Decision::Conflict,
        ClaimState::Done { status, body } => Decision::Replay(*status, body.clone()),
    }
}
