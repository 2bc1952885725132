//! Upstreams that reported in an answer that they are draining, whatever their entries in the store
//! say.
//!
//! While the store is down or slow, the entry of a leaving upstream still says `ready`, and every
//! host would keep sending it requests until the store catches up. Its own report arrives with its
//! next answer.

use std::{cmp::Reverse, collections::HashMap};

use crate::digest_scope::{DIGESTS_PER_UPDATE, DigestScope};

/// Upstreams remembered; beyond that the oldest mark is dropped. During a release all upstreams of a
/// fleet, several hundred, may leave.
const MAX_MARKS: usize = 1024;
/// Upstreams named in one digest.
const MAX_PER_DIGEST: usize = 64;

/// Upstreams that reported that they are draining, by wire id.
///
/// A mark is never removed: a restarted upstream has another wire id.
///
/// # Examples
///
/// ```
/// use portfield::catalog::DrainMarks;
///
/// let mut marks = DrainMarks::default();
/// assert!(marks.insert(7), "newly marked");
/// assert!(!marks.insert(7));
/// assert!(marks.contains(7) && !marks.contains(8));
/// ```
#[derive(Debug, Default)]
pub struct DrainMarks {
    marks: HashMap<u32, Mark>,
    /// Number of marks ever inserted.
    n_inserted: u64,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    /// Number of marks inserted before this one.
    sequence: u64,
    /// Digests that still have to name it as a recent change.
    n_sends_left: u32,
}

impl DrainMarks {
    /// Marks an upstream as draining; returns whether it was not marked yet.
    pub fn insert(&mut self, upstream: u32) -> bool {
        if self.contains(upstream) {
            return false;
        }
        self.marks
            .insert(upstream, Mark { sequence: self.n_inserted, n_sends_left: DIGESTS_PER_UPDATE });
        self.n_inserted += 1;
        if MAX_MARKS < self.marks.len() {
            let first = self.marks.iter().min_by_key(|it| it.1.sequence).map(|it| *it.0);
            first.and_then(|it| self.marks.remove(&it));
        }
        true
    }

    /// Returns whether no upstream is marked.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Returns whether an upstream is marked.
    pub fn contains(&self, upstream: u32) -> bool {
        self.marks.contains_key(&upstream)
    }

    /// Returns the marks to send in a digest, newest first; `is_relevant` selects those that still
    /// matter.
    pub fn take_for_digest(
        &mut self,
        scope: DigestScope,
        is_relevant: impl Fn(u32) -> bool,
    ) -> Vec<u32> {
        let is_due = |it: &(&u32, &mut Mark)| scope == DigestScope::Full || 0 < it.1.n_sends_left;
        let due = self.marks.iter_mut().filter(is_due).filter(|it| is_relevant(*it.0));
        let mut due: Vec<(u32, &mut Mark)> = due.map(|(upstream, it)| (*upstream, it)).collect();
        due.sort_unstable_by_key(|it| Reverse(it.1.sequence));
        due.truncate(MAX_PER_DIGEST);
        due.iter_mut().for_each(|it| it.1.n_sends_left = it.1.n_sends_left.saturating_sub(1));
        due.into_iter().map(|it| it.0).collect()
    }

    /// Returns the marks to send in a data centre's summary, newest first.
    pub fn for_summary(&self, is_relevant: impl Fn(u32) -> bool) -> Vec<u32> {
        let mut due: Vec<_> = self.marks.iter().filter(|it| is_relevant(*it.0)).collect();
        due.sort_unstable_by_key(|it| Reverse(it.1.sequence));
        due.into_iter().map(|it| *it.0).take(MAX_PER_DIGEST).collect()
    }
}
