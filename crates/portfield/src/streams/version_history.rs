//! Which software versions a service had lately, and whether this host would know.

use std::time::Duration;

use crate::{catalog::VersionHash, fast_map::FastMap};

/// Longest time between two observations of a list that counts as current all the while.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(1);
/// Time for which it is remembered that a version was listed: longer than any stream is taken up.
const RETENTION: Duration = Duration::from_secs(1200);
/// Versions above which those not listed for [`RETENTION`] are forgotten.
const MAX_VERSIONS: usize = 256;

/// How many software versions a service had for as long as a stream can last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionSpread {
    /// One, which is certain.
    One(VersionHash),
    /// One as far as this host has seen, which may have missed others.
    OneSeen,
    /// Several.
    Several,
}

/// The software versions that a host has seen in its list of upstreams.
///
/// If the list was current for as long as a stream can last, and showed a single version of the service, every
/// stream of it that can still be resumed began at that version, whichever host relayed it.
///
/// # Examples
///
/// ```
/// use portfield::streams::{VersionHistory, VersionSpread};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut history = VersionHistory::default();
/// for n in 10..=40 {
///     history.observe(second * n, true);
/// }
/// let spread = |it: &VersionHistory, window: u32| it.spread(second * 40, 1, [10], second * window);
/// assert_eq!(spread(&history, 30), VersionSpread::One(10));
/// assert_eq!(spread(&history, 31), VersionSpread::OneSeen, "observed for 30 s");
/// history.record_listed(second * 15, 1, 11);
/// assert_eq!(spread(&history, 30), VersionSpread::Several, "another one was listed 25 s ago");
/// assert_eq!(spread(&history, 20), VersionSpread::One(10));
/// ```
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// When an upstream of a service and version was last added, changed or removed.
    listed: FastMap<(u32, VersionHash), Duration>,
    /// Since when the list has been current.
    current_since: Option<Duration>,
    last_observed: Duration,
}

impl VersionHistory {
    /// Records that an upstream of a service at a version was listed until now, or is from now on.
    pub fn record_listed(&mut self, now: Duration, service: u32, version: VersionHash) {
        self.listed.insert((service, version), now);
        if MAX_VERSIONS < self.listed.len() {
            self.listed.retain(|_, it| now < *it + RETENTION);
        }
    }

    /// Records whether the list is current; called several times a second.
    pub fn observe(&mut self, now: Duration, is_current: bool) {
        let is_continuous = now <= self.last_observed + MAX_OBSERVATION_GAP;
        self.last_observed = now;
        self.current_since = match self.current_since {
            _ if !is_current => None,
            Some(since) if is_continuous => Some(since),
            _ => Some(now),
        };
    }

    /// Returns how many versions a service had in the last `window`, among them `current`, those of its upstreams
    /// now. With one, all streams that were relayed in that time began there.
    pub fn spread(
        &self,
        now: Duration,
        service: u32,
        current: impl IntoIterator<Item = VersionHash>,
        window: Duration,
    ) -> VersionSpread {
        let is_recent = |at: Duration| now <= at + window;
        let recent = self.listed.iter().filter(|it| it.0.0 == service && is_recent(*it.1));
        let mut versions = recent.map(|it| it.0.1).chain(current);
        let Some(first) = versions.next() else { return VersionSpread::OneSeen };
        if versions.any(|it| it != first) {
            return VersionSpread::Several;
        }
        let is_observed = now <= self.last_observed + MAX_OBSERVATION_GAP;
        match self.current_since {
            Some(since) if is_observed && since + window <= now => VersionSpread::One(first),
            _ => VersionSpread::OneSeen,
        }
    }
}
