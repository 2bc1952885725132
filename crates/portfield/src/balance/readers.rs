//! Which hosts follow the platform's store, so that not every host calls it.

use std::time::Duration;

use super::{fast_map::FastMap, peer_state::PEER_TIMEOUT};

/// Up to so many hosts all of them follow the store: what they would save is under a hundredth of
/// what they earn, and each learns of a change by itself.
const ALL: usize = 12;
/// Hosts of a data centre that follow the store where there are more.
const PER_DATA_CENTRE: usize = 2;
/// Time in which the store answers a call beyond that for which it holds it.
pub const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time that a host needs to take what a call told, and to tell the others.
const TAKING: Duration = Duration::from_millis(800);
/// Shortest and longest time for which the store is asked to hold a call. The longest tells an outage of the store in
/// which upstreams' entries lapse, three heartbeats of 1.2 s, from a call that is held.
const HOLDS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(2200));
/// Time above that for which a call is held, above which a host counts as cut off from the store.
const FRESH_SLACK: Duration = Duration::from_millis(500);
/// The same, above which the list of upstreams is taken from other hosts.
const SILENT_SLACK: Duration = Duration::from_millis(800);

/// How a host follows the store, by how soon the users count on what it says.
///
/// # Examples
///
/// ```
/// use portfield::balance::StoreTimeouts;
/// use std::time::Duration;
///
/// let hold = |seconds| StoreTimeouts::new(Duration::from_secs(seconds)).hold.as_millis();
/// assert_eq!((hold(3), hold(4), hold(5)), (1200, 2200, 2200));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreTimeouts {
    /// Time for which the store holds a call in which nothing changes.
    pub hold: Duration,
    /// Age of a host's last word from the store above which it counts as cut off from it.
    pub stale_after: Duration,
    /// Age above which the list is taken from other hosts.
    pub fallback_after: Duration,
}

impl StoreTimeouts {
    /// Builds it from the time after a disturbance from which on hosts count as in touch: a cut hides changes until a
    /// held call is given up, and by then they must have been taken.
    ///
    /// With 4 s calls are held for 2.2 s in place of 1.2 s: hosts that follow a store in which nothing changes make
    /// half as many.
    pub fn new(contact: Duration) -> Self {
        let hold = contact.saturating_sub(STORE_CALL_TIMEOUT + TAKING).clamp(HOLDS.0, HOLDS.1);
        Self { hold, stale_after: hold + FRESH_SLACK, fallback_after: hold + SILENT_SLACK }
    }
}

impl Default for StoreTimeouts {
    fn default() -> Self {
        Self::new(Duration::from_secs(3))
    }
}

/// Hosts of a data centre that try the store beside the first ones, for each time that the age of the last
/// word from it has doubled.
///
/// A store that turns a third of the hosts away is found by one of the next three at once, and one that
/// is down for all is not asked by hundreds.
const TRIES_PER_DOUBLING: f64 = 3.0;

/// What another host last said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatcherStatus {
    /// Hash of the host's address.
    pub host: u64,
    /// Hash of its data centre's name.
    pub data_centre: u32,
    /// Age of its last word from the store when it said so.
    pub store_age: Duration,
    /// When it said so.
    pub last_heard: Duration,
}

/// The other hosts by address hash.
///
/// # Examples
///
/// ```
/// use portfield::balance::{WatcherStatus, StoreWatchers};
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
    others: FastMap<u64, WatcherStatus>,
    pace: StoreTimeouts,
}

impl StoreWatchers {
    /// Builds the state of a host that has heard nobody.
    pub fn new(pace: StoreTimeouts) -> Self {
        Self { others: FastMap::default(), pace }
    }

    /// Notes what another host said.
    pub fn record(&mut self, it: WatcherStatus) {
        self.others.insert(it.host, it);
    }

    /// Returns whether a host is to follow the store itself: all do where there are few; else the
    /// first ones of each data centre by hash, of those that the store answers. `n_others` is how many
    /// other hosts are heard, each by itself or in a sum.
    pub fn is_watcher(&self, now: Duration, host: u64, data_centre: u32, n_others: usize) -> bool {
        if n_others < ALL {
            return true;
        }
        let is_near = |it: &&WatcherStatus| it.data_centre == data_centre && is_alive(it, now);
        let age = |it: &WatcherStatus| it.store_age + now.saturating_sub(it.last_heard);
        let before = || self.others.values().filter(is_near).filter(|it| it.host < host);
        let n_fresh = before().filter(|it| age(it) < self.pace.stale_after).count();
        let n_stale = before().count() - n_fresh;
        let newest = self.others.values().filter(is_near).map(age).min().unwrap_or_default();
        n_fresh < PER_DATA_CENTRE
            && n_stale < PER_DATA_CENTRE + n_tries(newest, self.pace.stale_after)
    }
}

fn is_alive(it: &WatcherStatus, now: Duration) -> bool {
    now < it.last_heard + PEER_TIMEOUT
}

/// Returns how many more hosts try the store where the last word from it has that age.
fn n_tries(age: Duration, fresh: Duration) -> usize {
    let doublings = (age.as_secs_f64() / fresh.as_secs_f64()).log2();
    if doublings < 0.0 { 0 } else { 1 + (doublings * TRIES_PER_DOUBLING) as usize }
}
