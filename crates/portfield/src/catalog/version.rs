//! Versions of the platform's store.

use std::fmt;

/// Version of the store: its counter within an era.
///
/// When the store is restored from a backup, its counter goes back and its numbers are reused. Each
/// restore raises the era by one, so that the later of two versions is known; the number alone does
/// not tell.
///
/// # Examples
///
/// ```
/// use portfield::catalog::StoreVersion;
///
/// let before = StoreVersion::from(530);
/// let after = StoreVersion::new(1, 512);
/// assert!(before < after);
/// assert_eq!((before.to_string(), after.to_string()), ("530".into(), "1:512".into()));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreVersion {
    /// Number of restores from a backup so far.
    pub era: u64,
    /// Counter of the store, raised by each transaction.
    pub number: u64,
}

impl StoreVersion {
    /// Above every version of a store; nothing is newer.
    pub const MAX: Self = Self::new(u64::MAX, u64::MAX);

    /// Builds a version from its era and number.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl From<u64> for StoreVersion {
    /// Builds a version of a store that was never restored.
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}:{}", self.number),
        }
    }
}
