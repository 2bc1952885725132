//! Which hosts watch the platform's store for changes, so that not every host calls it.

use std::time::Duration;

use super::peer_state::peer_timeout;
use crate::fast_map::FastMap;

/// Up to this many hosts, every host watches the store: the calls that fewer watchers would save
/// cost less than a hundredth of the fleet's revenue, and each host learns of changes by itself.
pub(super) const ALL_WATCH_LIMIT: usize = 12;
/// Hosts per data centre that watch the store in a larger fleet.
pub(super) const WATCHERS_PER_CENTRE: usize = 2;
/// Time within which the store answers a call, in addition to the time for which it holds it.
pub const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time that a host needs to process a change and to tell the other hosts.
const PROPAGATION: Duration = Duration::from_millis(800);
/// Shortest and longest time for which the store is asked to hold a call. The longest keeps a held
/// call distinct from an outage in which upstreams' entries lapse, three heartbeats of 1.2 s.
const HOLD_BOUNDS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(2200));
/// Time beyond a held call after which a host counts as cut off from the store.
const STALE_SLACK: Duration = Duration::from_millis(500);
/// Time beyond a held call after which the list of upstreams is taken from other hosts.
const FALLBACK_SLACK: Duration = Duration::from_millis(800);

/// Timeouts of a host that watches the store by long polling.
///
/// # Examples
///
/// ```
/// use portfield::gossip::StoreTimeouts;
/// use std::time::Duration;
///
/// let hold = |seconds| StoreTimeouts::new(Duration::from_secs(seconds)).hold.as_millis();
/// assert_eq!((hold(3), hold(4), hold(5)), (1200, 2200, 2200));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreTimeouts {
    /// Time for which the store holds a call while nothing changes.
    pub hold: Duration,
    /// Age of the store's last answer after which a host counts as cut off from the store.
    pub stale_after: Duration,
    /// Age of the last answer after which the list of upstreams is taken from other hosts.
    pub fallback_after: Duration,
}

impl StoreTimeouts {
    /// Derives the timeouts from `contact`, the time after a disturbance from which on hosts count
    /// as connected. A partition hides changes until a held call times out, and they have to be
    /// processed within `contact`.
    ///
    /// With 4 s, calls are held for 2.2 s instead of 1.2 s, so an unchanged store gets half as
    /// many calls.
    pub fn new(contact: Duration) -> Self {
        let hold = contact
            .saturating_sub(STORE_CALL_TIMEOUT + PROPAGATION)
            .clamp(HOLD_BOUNDS.0, HOLD_BOUNDS.1);
        Self { hold, stale_after: hold + STALE_SLACK, fallback_after: hold + FALLBACK_SLACK }
    }
}

impl Default for StoreTimeouts {
    fn default() -> Self {
        Self::new(Duration::from_secs(3))
    }
}

/// Additional hosts per data centre that try the store each time the age of its last answer has
/// doubled.
///
/// If the store rejects a third of the hosts, one of the next three gets through at once; if it is
/// down for all, it is not called by hundreds.
const TRIES_PER_DOUBLING: f64 = 3.0;

/// What another host last reported about its access to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatcherStatus {
    /// Hash of the host's address.
    pub host: u64,
    /// Hash of the name of its data centre.
    pub data_centre: u32,
    /// Age of the store's last answer to it, at the time of the report.
    pub store_age: Duration,
    /// When the report arrived.
    pub last_heard: Duration,
}

/// Chooses the hosts that watch the store, from the reports of all others.
///
/// # Examples
///
/// ```
/// use portfield::gossip::{StoreWatchers, WatcherStatus};
/// use std::time::Duration;
///
/// let mut watchers = StoreWatchers::default();
/// for host in 1..=20 {
///     let store_age = Duration::from_millis(100);
///     watchers.record(WatcherStatus { host, data_centre: 1, store_age, last_heard: Duration::ZERO });
/// }
/// let now = Duration::from_millis(500);
/// assert!(!watchers.is_watcher(now, 21, 1, 20));
/// assert!(watchers.is_watcher(now, 21, 2, 20), "the first of its data centre");
/// ```
#[derive(Debug, Default)]
pub struct StoreWatchers {
    hosts: FastMap<u64, WatcherStatus>,
    timeouts: StoreTimeouts,
    /// Time between two digests of a host of this data centre.
    digest_period: Duration,
}

impl StoreWatchers {
    /// Builds the state of a host that has no reports yet.
    pub fn new(timeouts: StoreTimeouts) -> Self {
        Self { timeouts, ..Self::default() }
    }

    /// Sets the time between two digests of a host, by which silent hosts are told from dead ones.
    pub fn set_digest_period(&mut self, period: Duration) {
        self.digest_period = period;
    }

    /// Records the report of another host.
    pub fn record(&mut self, it: WatcherStatus) {
        self.hosts.insert(it.host, it);
    }

    /// Returns whether a host is to watch the store: every host in a small fleet, otherwise the
    /// first ones of each data centre by hash among those that the store answers. `n_peers` is the
    /// number of other hosts heard, directly or in summaries.
    pub fn is_watcher(&self, now: Duration, host: u64, data_centre: u32, n_peers: usize) -> bool {
        if n_peers < ALL_WATCH_LIMIT {
            return true;
        }
        let is_alive = |it: &WatcherStatus| now < it.last_heard + peer_timeout(self.digest_period);
        let is_local = |it: &&WatcherStatus| it.data_centre == data_centre && is_alive(it);
        let age = |it: &WatcherStatus| it.store_age + now.saturating_sub(it.last_heard);
        let before = || self.hosts.values().filter(is_local).filter(|it| it.host < host);
        let n_fresh = before().filter(|it| age(it) < self.timeouts.stale_after).count();
        let n_stale = before().count() - n_fresh;
        let newest = self.hosts.values().filter(is_local).map(age).min().unwrap_or_default();
        n_fresh < WATCHERS_PER_CENTRE
            && n_stale < WATCHERS_PER_CENTRE + n_extra_tries(newest, self.timeouts.stale_after)
    }
}

/// Returns how many more hosts try the store when its last answer has that age.
fn n_extra_tries(age: Duration, stale_after: Duration) -> usize {
    let doublings = (age.as_secs_f64() / stale_after.as_secs_f64()).log2();
    if doublings < 0.0 { 0 } else { 1 + (doublings * TRIES_PER_DOUBLING) as usize }
}
