//! Quota of requests that this host may send to a cold upstream.
//!
//! The case to handle: a data centre's 47 engines come back at once and stay cold for 3 s. A cold
//! engine crashes, with all requests on it, if it receives more than 14 requests per second from
//! all hosts together; 64 hosts send it 9 per second each on average, and learn of each other's
//! requests 50 to 260 ms late, or not at all across a network partition.
//!
//! So hosts do not keep a common count. A few hosts of the upstream's data centre, chosen by rendezvous
//! hash from the known ones, dead or alive, may each send an equal part; all others send nothing. A
//! partition between data centres does not change that, and a chosen host that dies takes only its
//! own part with it. The limit is divided by one more than the number of chosen hosts, because
//! hosts that know of different members may together choose one host more.
//!
//! What counts is what arrives within a second, whichever processes sent it. A process that is killed and started
//! again forgets what it has sent, and may do so several times in a second. So a chosen host does not send its part
//! at once, but at regular intervals, and a process lets one interval pass before it sends anything: between two
//! requests of a host there is always an interval, whatever became of its processes.
//!
//! Hosts that are added may come before the chosen ones. Those stop as soon as they hear of them, and the added ones wait
//! until all others have heard of them and one interval more, so that each part is sent by one host at a time.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of hosts that may send to a cold upstream: with one or two, little is left when they die;
/// with more, each part is below one request per second.
const MAX_SENDERS: usize = 3;
/// Time over which a host spreads the requests that it may send in a second: longer than that, so that the first
/// of the next ones is not within the same second.
const SPREAD_TIME: Duration = Duration::from_millis(1050);

/// Time from a host's start until the others of its data centre have heard of it, at least; the same in periods
/// between two digests, of which a host's takes two by way of a leader.
const NOTICE_TIME: Duration = Duration::from_millis(600);
const NOTICE_PERIODS: u32 = 4;
/// Time after which a host that could not read the table of hosts knows the others from their digests.
/// Before, it would send as much as if it were the only one.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// How a host and the others of its data centre know each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Membership {
    /// It was among them before it was restarted, and has read which others there are.
    Returned,
    /// It has read which others there are, and they hear of it now.
    New,
    /// It could not read which others there are.
    Unknown,
}

impl Membership {
    /// Returns the time after a host's start from which the hosts of its data centre choose the same ones;
    /// `digest_period` is the time between two digests of each.
    fn settle_time(self, digest_period: Duration) -> Duration {
        let notice = NOTICE_TIME.max(digest_period * NOTICE_PERIODS);
        match self {
            Self::Returned => Duration::ZERO,
            Self::New => notice,
            Self::Unknown => notice.max(DISCOVERY_TIME),
        }
    }
}

/// Requests that a host may send to a cold upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdQuota {
    /// Requests per second.
    pub rate: u32,
    /// Time since the start of this process before which none is sent.
    pub from: Duration,
}

impl ColdQuota {
    /// Allows this many requests per second, at regular intervals, once the hosts know each other; an earlier process
    /// of the host may have sent one just before this one started.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::upstream::{ColdQuota, Membership};
    /// use std::time::Duration;
    ///
    /// let from = |it: Membership| ColdQuota::new(3, it, Duration::from_millis(50)).from.as_millis();
    /// assert_eq!([Membership::Returned, Membership::New].map(from), [350, 950]);
    /// ```
    pub fn new(rate: u32, membership: Membership, digest_period: Duration) -> Self {
        let mut res = Self { rate, from: Duration::ZERO };
        res.from = membership.settle_time(digest_period) + res.interval();
        res
    }

    /// Returns the time between two requests.
    fn interval(self) -> Duration {
        SPREAD_TIME / self.rate.max(1)
    }
}

/// Returns how many requests per second a host may send to a cold upstream that takes `max_rate`
/// from all hosts together. `hosts` are the address hashes of the known hosts of the upstream's
/// data centre.
///
/// # Examples
///
/// ```
/// use portfield::upstream::cold_quota;
///
/// let hosts: Vec<u64> = (1..=20).collect();
/// let quota = |host| cold_quota(14.0, &hosts, host, 7);
/// assert_eq!(hosts.iter().filter(|it| 0 < quota(**it)).count(), 3);
/// assert!(hosts.iter().map(|it| quota(*it)).sum::<u32>() <= 14);
/// assert_eq!(quota(99), 0, "it is in another data centre");
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

/// What this host may send to one upstream while it is cold.
#[derive(Debug, Clone, Default)]
pub(crate) struct Warmup {
    /// When the upstream is no longer cold.
    until: Duration,
    quota: ColdQuota,
    /// When the last request was sent.
    last_sent: Option<Duration>,
}

impl Warmup {
    /// Marks the upstream as cold until a time.
    pub(crate) fn begin(&mut self, until: Duration, quota: ColdQuota) {
        self.until = until;
        self.quota = quota;
    }

    /// Changes what may be sent while it is cold.
    pub(crate) fn set_quota(&mut self, quota: ColdQuota) {
        self.quota = quota;
    }

    /// Marks the upstream as no longer cold.
    pub(crate) fn end(&mut self) {
        self.until = Duration::ZERO;
    }

    /// Returns whether the upstream is cold.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns whether no request may be sent now.
    pub(crate) fn is_closed(&self, now: Duration) -> bool {
        now < self.opens_at(now)
    }

    /// Returns when the next request may be sent.
    pub(crate) fn opens_at(&self, now: Duration) -> Duration {
        if self.until <= now {
            return Duration::ZERO;
        }
        if self.quota.rate == 0 {
            return self.until;
        }
        let next = self.last_sent.map_or(Duration::ZERO, |it| it + self.quota.interval());
        next.max(self.quota.from).min(self.until)
    }

    /// Records that a request is sent.
    pub(crate) fn record_sent(&mut self, now: Duration) {
        self.last_sent = Some(now);
    }
}
