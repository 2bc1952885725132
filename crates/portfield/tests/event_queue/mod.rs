//! What is to happen in virtual time, in order of time; what comes at the same moment, in the order in which it was
//! put down.

use std::{collections::BTreeMap, time::Duration};

/// Events by their moments.
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
    /// Puts down what happens at a moment.
    pub fn push(&mut self, at: Duration, event: E) {
        self.n_pushed += 1;
        self.events.insert((at, self.n_pushed), event);
    }

    /// Takes the next event and its moment.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
