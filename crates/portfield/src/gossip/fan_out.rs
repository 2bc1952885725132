//! How news spreads from the hosts that have it to those that lack it, without overloading the
//! former.
//!
//! The load this answers: two hosts of a data centre read a new configuration or list from the
//! store, and the next digests of the leader tell all others at once. If hundreds of them fetched it
//! from those two, most fetches would time out on an eighth of a core. So each host asks with a
//! probability by which a host that has the news is asked only a few times per period, and the
//! number of hosts that have it multiplies in each period.

use std::{collections::VecDeque, time::Duration};

/// Shortest time between two whole lists that a host sends: requests for it come at random, and
/// several at once would all take too long.
const WHOLE_LIST_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which a host that was sent the list is taken to have it.
const TRANSFER_TIME: Duration = Duration::from_millis(800);
/// Hosts remembered that were sent the list.
const MAX_HOLDERS: usize = 8;

/// What a host does that is asked for the whole list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListAnswer<A> {
    /// It sends the list.
    Send,
    /// It is busy and names hosts that it sent the list to.
    Ask(Vec<A>),
}

/// Limits how often a host sends the whole list, and refers the other requests to the hosts that it
/// was sent to: a tree grows faster than digests can tell who has the list. `A` is an address.
///
/// # Examples
///
/// ```
/// use portfield::gossip::{ListAnswer, ListSender};
/// use std::time::Duration;
///
/// let millis = Duration::from_millis;
/// let mut sender = ListSender::default();
/// assert_eq!(sender.answer(millis(1_000), "a"), ListAnswer::Send);
/// assert_eq!(sender.answer(millis(1_100), "b"), ListAnswer::Ask(vec![]), "a has not got it yet");
/// assert_eq!(sender.answer(millis(1_200), "b"), ListAnswer::Send);
/// assert_eq!(sender.answer(millis(2_000), "c"), ListAnswer::Send);
/// assert_eq!(sender.answer(millis(2_001), "d"), ListAnswer::Ask(vec!["a", "b"]));
/// ```
#[derive(Debug, Clone)]
pub struct ListSender<A> {
    /// Hosts that the list was sent to, and when, the last one at the end.
    sent: VecDeque<(Duration, A)>,
}

impl<A> Default for ListSender<A> {
    fn default() -> Self {
        Self { sent: VecDeque::new() }
    }
}

impl<A: Clone + PartialEq> ListSender<A> {
    /// Returns what to do with a request for the whole list.
    pub fn answer(&mut self, now: Duration, from: A) -> ListAnswer<A> {
        if self.sent.back().is_some_and(|it| now < it.0 + WHOLE_LIST_INTERVAL) {
            let holders = self.sent.iter().filter(|it| it.0 + TRANSFER_TIME <= now && it.1 != from);
            return ListAnswer::Ask(holders.map(|it| it.1.clone()).collect());
        }
        self.sent.push_back((now, from));
        if MAX_HOLDERS < self.sent.len() {
            self.sent.pop_front();
        }
        ListAnswer::Send
    }
}

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
            Self::WholeList => 16.0,
        }
    }
}

/// Returns whether to ask now for news that `n_holders` hosts have and `n_lacking` lack, this one
/// included; `draw` is a uniform random number from 0 to 1.
///
/// # Examples
///
/// ```
/// use portfield::gossip::{FetchSize, asks_now};
///
/// assert!(asks_now(1, 8, FetchSize::Small, 0.99), "a single host serves a few others");
/// assert!(asks_now(2, 160, FetchSize::Small, 0.09));
/// assert!(!asks_now(2, 160, FetchSize::Small, 0.11));
/// ```
pub fn asks_now(n_holders: usize, n_lacking: usize, size: FetchSize, draw: f64) -> bool {
    draw * n_lacking as f64 <= n_holders as f64 * size.per_holder()
}
