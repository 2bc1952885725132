//! Which hosts follow the platform's store, so that not every host calls it.

use std::time::Duration;

use super::{map::Map, peer::STALE};

/// Up to so many hosts all of them follow the store: what they would save is under a hundredth of
/// what they earn, and each learns of a change by itself.
const ALL: usize = 12;
/// Hosts of a data centre that follow the store where there are more.
const PER_DATA_CENTRE: usize = 2;
/// Age of a host's last word from the store above which it counts as cut off from it: above the
/// time that the store holds a call, and below the two seconds in which a change must be in force.
pub const FRESH: Duration = Duration::from_millis(1700);
/// Hosts of a data centre that try the store beside the first ones, for each time that the age of the last
/// word from it has doubled.
///
/// A store that turns a third of the hosts away is found by one of the next three at once, and one that
/// is down for all is not asked by hundreds.
const TRIES_PER_DOUBLING: f64 = 3.0;

/// What another host last said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Follower {
    /// Hash of the host's address.
    pub host: u64,
    /// Hash of its data centre's name.
    pub data_centre: u32,
    /// Age of its last word from the store when it said so.
    pub store_age: Duration,
    /// When it said so.
    pub heard: Duration,
}

/// The other hosts by address hash.
///
/// # Examples
///
/// ```
/// use portfield::balance::{Follower, Readers};
/// use std::time::Duration;
///
/// let mut readers = Readers::default();
/// for host in 1..=20 {
///     let store_age = Duration::from_millis(100);
///     readers.hear(Follower { host, data_centre: 1, store_age, heard: Duration::ZERO });
/// }
/// let now = Duration::from_millis(500);
/// assert!(!readers.is_reader(now, 21, 1, 20));
/// assert!(readers.is_reader(now, 21, 2, 20), "the first of its data centre");
/// ```
#[derive(Debug, Default)]
pub struct Readers {
    others: Map<u64, Follower>,
}

impl Readers {
    /// Notes what another host said.
    pub fn hear(&mut self, it: Follower) {
        self.others.insert(it.host, it);
    }

    /// Returns whether a host is to follow the store itself: all do where there are few; else the
    /// first ones of each data centre by hash, of those that the store answers. `n_others` is how many
    /// other hosts are heard, each by itself or in a sum.
    pub fn is_reader(&self, now: Duration, host: u64, data_centre: u32, n_others: usize) -> bool {
        if n_others < ALL {
            return true;
        }
        let is_near = |it: &&Follower| it.data_centre == data_centre && is_alive(it, now);
        let age = |it: &Follower| it.store_age + now.saturating_sub(it.heard);
        let before = || self.others.values().filter(is_near).filter(|it| it.host < host);
        let n_fresh = before().filter(|it| age(it) < FRESH).count();
        let n_stale = before().count() - n_fresh;
        let newest = self.others.values().filter(is_near).map(age).min().unwrap_or_default();
        n_fresh < PER_DATA_CENTRE && n_stale < PER_DATA_CENTRE + n_tries(newest)
    }
}

fn is_alive(it: &Follower, now: Duration) -> bool {
    now < it.heard + STALE
}

/// Returns how many more hosts try the store whose last word has that age.
fn n_tries(age: Duration) -> usize {
    let doublings = (age.as_secs_f64() / FRESH.as_secs_f64()).log2();
    if doublings < 0.0 { 0 } else { 1 + (doublings * TRIES_PER_DOUBLING) as usize }
}
