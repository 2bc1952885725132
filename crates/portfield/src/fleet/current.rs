//! The configuration that one process uses, whose revision never decreases.

use std::sync::Arc;

use super::model::Fleet;
use crate::ids::Revision;

/// The configuration that a process currently uses.
///
/// # Examples
///
/// ```
/// use portfield::fleet::{CurrentFleet, Fleet};
///
/// let mut current = CurrentFleet::default();
/// assert!(current.update(Fleet { revision: 2, ..Fleet::default() }));
/// assert!(!current.update(Fleet { revision: 1, ..Fleet::default() }));
/// assert_eq!(current.revision(), 2);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CurrentFleet {
    fleet: Arc<Fleet>,
}

impl CurrentFleet {
    /// Replaces the configuration if the new revision is higher; returns whether it was replaced.
    pub fn update(&mut self, fleet: Fleet) -> bool {
        if fleet.revision <= self.fleet.revision {
            return false;
        }
        self.fleet = Arc::new(fleet);
        true
    }

    /// Returns the current revision, zero before the first configuration.
    pub fn revision(&self) -> Revision {
        self.fleet.revision
    }

    /// Returns the current configuration.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }
}
