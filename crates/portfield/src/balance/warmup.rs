//! How many requests this host may send to an upstream that is cold.
//!
//! The load that this answers: a data centre's 47 engines come back at once and stay cold for 3 s. A cold one ends,
//! with all that runs there, when more than 14 requests come to it in a second from all hosts together; 64 hosts
//! send 9 a second to each on average, hear of each other's requests 50 to 260 ms late, and behind a cut not at all.
//!
//! So nothing is counted together. A few hosts of the upstream's data centre, drawn by rendezvous hash from those that
//! are known, whether there or not, may each send it an equal part; all others leave it alone. A cut between data
//! centres changes nothing of it, and hosts that die take only their part along. Each drawn host leaves room for one
//! more than are drawn: hosts that know of different members differ by that one.

use std::{collections::VecDeque, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hosts that may send to one cold upstream: with one or two its part is lost when they die, with more each part is
/// less than a request a second.
const MAX_SENDERS: usize = 3;
/// Time over which a host counts what it sent: a second, and what requests differ by on the way.
const WINDOW: Duration = Duration::from_millis(1250);

/// Returns how many requests a second a host may send to a cold upstream that takes `most` from all hosts together;
/// `hosts` are those of the upstream's data centre that are known, by hash of their addresses.
///
/// # Examples
///
/// ```
/// use portfield::balance::cold_quota;
///
/// let hosts: Vec<u64> = (1..=20).collect();
/// let quota = |host| cold_quota(14.0, &hosts, host, 7);
/// assert_eq!(hosts.iter().filter(|it| 0 < quota(**it)).count(), 3);
/// assert!(hosts.iter().map(|it| quota(*it)).sum::<u32>() <= 14);
/// assert_eq!(quota(99), 0, "it stands in another data centre");
/// ```
pub fn cold_quota(max_rate: f64, hosts: &[u64], host: u64, upstream: u32) -> u32 {
    let rank = |it: u64| xxh3_64_with_seed(&it.to_le_bytes(), u64::from(upstream));
    let own = rank(host);
    let n_before = hosts.iter().filter(|it| own < rank(**it)).count();
    if !hosts.contains(&host) || MAX_SENDERS <= n_before {
        return 0;
    }
    (max_rate / (MAX_SENDERS.min(hosts.len()) + 1) as f64) as u32
}

/// What this host may send to one upstream while that is cold.
#[derive(Debug, Clone, Default)]
pub(crate) struct Warmup {
    /// When the upstream is no longer cold.
    until: Duration,
    /// Requests that this host may send in [`WINDOW`].
    quota: u32,
    /// When it sent the last ones.
    sent: VecDeque<Duration>,
}

impl Warmup {
    /// Notes that the upstream is cold until a time.
    pub(crate) fn begin(&mut self, until: Duration, quota: u32) {
        self.until = until;
        self.quota = quota;
    }

    /// Notes that the upstream is not cold.
    pub(crate) fn end(&mut self) {
        self.until = Duration::ZERO;
    }

    /// Returns whether the upstream is cold.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns whether nothing may be sent now.
    pub(crate) fn is_closed(&self, now: Duration) -> bool {
        now < self.opens_at(now)
    }

    /// Returns when something may be sent again.
    pub(crate) fn opens_at(&self, now: Duration) -> Duration {
        if self.until <= now {
            return Duration::ZERO;
        }
        let n = self.quota as usize;
        if n == 0 {
            return self.until;
        }
        let first = self.sent.len().checked_sub(n).and_then(|it| self.sent.get(it));
        first.map_or(Duration::ZERO, |it| (*it + WINDOW).min(self.until))
    }

    /// Notes that a request is sent.
    pub(crate) fn record_sent(&mut self, now: Duration) {
        if self.until <= now {
            self.sent.clear();
            return;
        }
        self.sent.push_back(now);
        while self.sent.front().is_some_and(|it| *it + WINDOW <= now) {
            self.sent.pop_front();
        }
    }
}
