//! At-most-once execution by idempotency key: the claim stored under a key, and the decision that
//! follows from it.
//!
//! Before a request with a key is sent upstream, its router writes a row that names the request.
//! Only the router that wrote the row sends the request. The row is freed if the request certainly
//! did not run, and stores the answer once it has finished (compare the IETF draft *The
//! Idempotency-Key HTTP Header Field*).

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{fleet::hex, ids::WorkspaceId};

/// Longest answer that is stored with its key, in bytes.
pub const MAX_KEPT_ANSWER: usize = 64 << 10;

/// State of the request that claimed a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// A router may send the request, or has sent it.
    Claimed,
    /// The request certainly did not run; the key may be claimed again.
    Free,
    /// The request ran; holds the answer's status and, if it was short text, its body.
    Done {
        /// HTTP status.
        status: u16,
        /// Body, if it was stored.
        body: Option<String>,
    },
}

/// Row stored under one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Unique id of the request that claimed the key.
    pub request: String,
    /// Hash of the request content: method, path and body.
    pub content: String,
    /// State of that request.
    pub state: ClaimState,
}

impl Claim {
    /// Builds the claim of a request from its id and the parts of its content.
    pub fn new(request: impl Into<String>, content: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for it in content {
            hash.update((it.len() as u64).to_le_bytes());
            hash.update(it);
        }
        let content = hex(&hash.finalize());
        Self { request: request.into(), content, state: ClaimState::Claimed }
    }

    /// Encodes the row.
    pub fn to_row(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a row; returns `None` if it is empty or not a claim.
    pub fn from_row(row: &str) -> Option<Self> {
        serde_json::from_str(row).ok()
    }
}

/// Returns the row key of an idempotency key; keys of different workspaces never collide.
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
    /// Write the claim over the row.
    Claim,
    /// The row is from this request: a write that seemed lost was applied.
    AlreadyHeld,
    /// Another request may have run under the key.
    Conflict,
    /// The key was used for a request with other content.
    Mismatch,
    /// The request ran; return the stored answer.
    Replay(u16, Option<String>),
}

/// Decides what to do about the row found under a key.
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
