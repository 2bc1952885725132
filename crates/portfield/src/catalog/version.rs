//! Versions of the platform's store.

use std::fmt;

/// A version of the store: its counter, within one of its eras.
///
/// The counter goes back where the store comes back from a copy of itself, and gives its numbers out again. The era
/// rises by one each time, so that of two versions the later one is known; by its number alone it is not.
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
    /// How often the store came back from a copy before.
    pub era: u64,
    /// Its counter, which each transaction raises.
    pub number: u64,
}

impl StoreVersion {
    /// Above every version of a store: nothing is newer.
    pub const MAX: Self = Self::new(u64::MAX, u64::MAX);

    /// Builds a version.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl From<u64> for StoreVersion {
    /// Builds a version of a store that never went back.
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
