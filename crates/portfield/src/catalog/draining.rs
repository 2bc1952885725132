//! Upstreams that said of themselves that they drain, whatever their entries in the store say.
//!
//! The load that this answers: an upstream that leaves while the store is away, or slow to tell, is sent requests by every
//! host until the store tells, for as long as that takes. Its own word is there with its next answer.

use std::{cmp::Reverse, collections::HashMap};

use crate::digest_scope::{DIGESTS_PER_UPDATE, DigestScope};

/// Upstreams remembered; beyond that the one that said so first is forgotten. All of a fleet of several hundred may leave
/// in a release.
const MAX_MARKS: usize = 1024;
/// Upstreams named in one message to other hosts.
const MAX_PER_DIGEST: usize = 64;

/// Upstreams that said that they drain, by the number of their incarnation.
///
/// A mark is never taken back: who starts anew has another number.
///
/// # Examples
///
/// ```
/// use portfield::catalog::DrainMarks;
///
/// let mut marks = DrainMarks::default();
/// assert!(marks.insert(7), "it is news");
/// assert!(!marks.insert(7));
/// assert!(marks.contains(7) && !marks.contains(8));
/// ```
#[derive(Debug, Default)]
pub struct DrainMarks {
    marks: HashMap<u32, Mark>,
    /// How many there ever were.
    n_inserted: u64,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    /// How many there were before it.
    sequence: u64,
    /// Messages that still name it.
    n_sends_left: u32,
}

impl DrainMarks {
    /// Notes that an upstream drains; returns whether that is news.
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

    /// Returns whether an upstream said so.
    pub fn contains(&self, upstream: u32) -> bool {
        self.marks.contains_key(&upstream)
    }

    /// Returns those that other hosts are told of in a digest, the last ones first; `is_relevant` says which are
    /// still to be told.
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

    /// Returns those that the sum of a data centre names, the last ones first.
    pub fn for_summary(&self, is_relevant: impl Fn(u32) -> bool) -> Vec<u32> {
        let mut due: Vec<_> = self.marks.iter().filter(|it| is_relevant(*it.0)).collect();
        due.sort_unstable_by_key(|it| Reverse(it.1.sequence));
        due.into_iter().map(|it| *it.0).take(MAX_PER_DIGEST).collect()
    }
}
