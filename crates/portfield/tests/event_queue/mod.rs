//! Events of a simulation in virtual time, ordered by time; simultaneous events keep the order in
//! which they were pushed.

use std::{collections::BTreeMap, time::Duration};

/// Queue of pending events.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BTreeMap<(Duration, u64), E>,
    n_pushed: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), n_pushed: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event at a time.
    pub fn push(&mut self, at: Duration, event: E) {
        self.n_pushed += 1;
        self.events.insert((at, self.n_pushed), event);
    }

    /// Removes the next event; returns it with its time.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
