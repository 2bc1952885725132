//! The revision in force at one process: it only ever rises.

use std::sync::Arc;

use super::model::Fleet;
use crate::ids::Revision;

/// The configuration that a process has adopted.
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
    /// Adopts a configuration if its revision is higher; returns whether it was.
    pub fn update(&mut self, fleet: Fleet) -> bool {
        if fleet.revision <= self.fleet.revision {
            return false;
        }
        self.fleet = Arc::new(fleet);
        true
    }

    /// Returns the revision in force; zero is none yet.
    pub fn revision(&self) -> Revision {
        self.fleet.revision
    }

    /// Returns the configuration in force.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }
}
