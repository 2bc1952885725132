//! Which software versions a service had lately, and whether this host would know.

use std::time::Duration;

use crate::{catalog::VersionHash, fast_map::FastMap};

/// Longest time between two observations of a list that counts as current all the while.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(1);
/// Time for which it is remembered that a version was listed: longer than any stream is taken up.
const RETENTION: Duration = Duration::from_secs(1200);
/// Versions above which those not listed for [`RETENTION`] are forgotten.
const MAX_VERSIONS: usize = 256;

/// The software versions that a host has seen in its list of upstreams.
///
/// If the list was current for as long as a stream can last, and showed a single version of the service, every
/// stream of it that can still be resumed began at that version, whichever host relayed it.
///
/// # Examples
///
/// ```
/// use portfield::streams::VersionHistory;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut history = VersionHistory::default();
/// for n in 10..=40 {
///     history.observe(second * n, true);
/// }
/// let only = |history: &VersionHistory| history.only_version(second * 40, 1, [10], second * 30);
/// assert_eq!(only(&history), Some(10));
/// history.record_listed(second * 15, 1, 11);
/// assert_eq!(only(&history), None, "another version was listed 25 s ago");
/// assert_eq!(history.only_version(second * 40, 1, [10], second * 20), Some(10));
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

    /// Returns the version at which all streams of a service began that were relayed in the last `window`;
    /// `None` if there may have been several. `current` are the versions of its upstreams now.
    pub fn only_version(
        &self,
        now: Duration,
        service: u32,
        current: impl IntoIterator<Item = VersionHash>,
        window: Duration,
    ) -> Option<VersionHash> {
        let is_observed = now <= self.last_observed + MAX_OBSERVATION_GAP;
        let since = self.current_since.filter(|_| is_observed)?;
        if now < since + window {
            return None;
        }
        let is_recent = |at: Duration| now <= at + window;
        let recent = self.listed.iter().filter(|it| it.0.0 == service && is_recent(*it.1));
        let mut versions = recent.map(|it| it.0.1).chain(current);
        let first = versions.next()?;
        versions.all(|it| it == first).then_some(first)
    }
}
