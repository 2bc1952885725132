//! How news spreads from the hosts that have it to those that lack it, without overloading the
//! former.
//!
//! The load this answers: two hosts of a data centre read a new configuration or list from the
//! store, and the next digests of the leader tell all others at once. If hundreds of them fetched it
//! from those two, most fetches would time out on an eighth of a core. So each host asks with a
//! probability by which a host that has the news is asked only a few times per period, and the
//! number of hosts that have it multiplies in each period.

use std::time::Duration;

/// Shortest time between two whole lists that a host sends: requests for it come at random, and
/// several at once would all take too long.
pub const WHOLE_LIST_INTERVAL: Duration = Duration::from_millis(150);

/// Size of what is fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchSize {
    /// A configuration, orders or changes of the list: up to some 100 KB.
    Small,
    /// The whole list of upstreams: megabytes in a large fleet.
    WholeList,
}

impl FetchSize {
    /// Returns how many other hosts a host serves in one period.
    fn per_holder(self) -> f64 {
        match self {
            Self::Small => 8.0,
            Self::WholeList => 4.0,
        }
    }
}

/// Returns whether to ask now for news that `n_holders` hosts have and `n_lacking` lack, this one
/// included; `draw` is a uniform random number from 0 to 1.
///
/// # Examples
///
/// ```
/// use portfield::balance::{FetchSize, asks_now};
///
/// assert!(asks_now(1, 8, FetchSize::Small, 0.99), "a single host serves a few others");
/// assert!(asks_now(2, 160, FetchSize::Small, 0.09));
/// assert!(!asks_now(2, 160, FetchSize::Small, 0.11));
/// ```
pub fn asks_now(n_holders: usize, n_lacking: usize, size: FetchSize, draw: f64) -> bool {
    draw * n_lacking as f64 <= n_holders as f64 * size.per_holder()
}
