//! How much a message to other hosts tells.

/// How often what is new is repeated in digests, against lost datagrams.
pub(crate) const DIGESTS_PER_UPDATE: u32 = 3;

/// How much a message to other hosts tells of something that changes seldom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestScope {
    /// What became known of late.
    Changes,
    /// All that still matters: for hosts that have just started, or missed it.
    Full,
}
