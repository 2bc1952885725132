//! Tokens with which a caller resumes its stream at any router.
//!
//! The router that served a stream may have failed with its state, so the token contains the
//! upstream and the stream's id. A hash keyed with the token hashes of all workspaces, which no
//! single workspace knows, binds it to its workspace.

use sha2::{Digest, Sha256};

use crate::{
    fleet::{Fleet, hex},
    ids::{UpstreamId, WorkspaceId},
};

/// Hexadecimal digits of the hash in a token.
const MAC_DIGITS: usize = 32;

/// Returns the resume token of a workspace's stream.
///
/// # Examples
///
/// ```
/// use portfield::{fleet::Fleet, route::{parse_resume_token, resume_token}};
///
/// let fleet = Fleet::default();
/// let token = resume_token(&fleet, 1, 7, "s-12");
/// assert_eq!(parse_resume_token(&fleet, 1, &token), Some((7, "s-12")));
/// assert_eq!(parse_resume_token(&fleet, 2, &token), None);
/// ```
pub fn resume_token(
    fleet: &Fleet,
    workspace: WorkspaceId,
    upstream: UpstreamId,
    stream: &str,
) -> String {
    format!("{upstream}.{}.{stream}", mac(fleet, workspace, upstream, stream))
}

/// Parses a resume token into the upstream and the stream's id.
///
/// Returns `None` if the token does not belong to this workspace, or if the workspaces' tokens
/// in the configuration have changed since it was issued.
pub fn parse_resume_token<'a>(
    fleet: &Fleet,
    workspace: WorkspaceId,
    token: &'a str,
) -> Option<(UpstreamId, &'a str)> {
    let (upstream, rest) = token.split_once('.')?;
    let (found_mac, stream) = rest.split_once('.')?;
    let upstream = upstream.parse().ok()?;
    (found_mac == mac(fleet, workspace, upstream, stream)).then_some((upstream, stream))
}

fn mac(fleet: &Fleet, workspace: WorkspaceId, upstream: UpstreamId, stream: &str) -> String {
    let mut hash = Sha256::new();
    for it in &fleet.workspaces {
        hash.update(it.token_hash.as_bytes());
    }
    hash.update(workspace.to_le_bytes());
    hash.update(upstream.to_le_bytes());
    hash.update(stream.as_bytes());
    let mut res = hex(&hash.finalize());
    res.truncate(MAC_DIGITS);
    res
}
