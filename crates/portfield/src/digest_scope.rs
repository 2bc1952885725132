//! How much state a digest to other hosts carries.

/// Number of digests that carry each update, to tolerate lost datagrams.
pub(crate) const DIGESTS_PER_UPDATE: u32 = 3;
/// One digest in this many has all usage totals, the others only those that changed: a host that
/// has just started knows all of them within a second.
pub(crate) const FULL_DIGEST_EVERY: u64 = 8;

/// How much of a slowly changing state a digest carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestScope {
    /// Recent changes only.
    Changes,
    /// All relevant state, for hosts that have just started or missed changes.
    Full,
}
