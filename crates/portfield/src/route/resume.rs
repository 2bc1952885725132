//! Tokens by which a caller goes on with its stream at another router.
//!
//! The router that held a stream may be gone with all it knew, so the token says itself
//! where the stream is. It is bound to its workspace by a hash over what no single workspace
//! knows: all workspaces' token hashes in the configuration.

use sha2::{Digest, Sha256};

use crate::{
    fleet::{Fleet, hex},
    ids::{UpstreamId, WorkspaceId},
};

/// Digits of the hash in a token.
const MAC_DIGITS: usize = 32;

/// Returns the token of a workspace's stream.
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

/// Reads a token; none if it is not one of this workspace, or if the workspaces of the
/// configuration have changed since it was given.
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
