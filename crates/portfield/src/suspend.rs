//! Detects that this process was suspended, and whether its cached state may be used afterwards.
//!
//! The process may be stopped, or its machine suspended, for seconds while the fleet goes on: keys
//! are revoked, upstreams leave or restart, configurations change. The cached state is then as old
//! as the suspension was long, and messages left in the socket buffers describe the time before it.

use std::time::Duration;

/// Time between two ticks from which the process counts as suspended.
///
/// Cached state must reflect a change within two seconds, and may have been half a second old
/// before the suspension. A host short of CPU time ticks a few tenths of a second late.
const MIN_SUSPENSION: Duration = Duration::from_millis(1500);
/// Time after which a host that reaches neither the store nor other hosts uses its cached state
/// anyway: it then serves requests instead of refusing them.
const ISOLATED_TIMEOUT: Duration = Duration::from_secs(3);
/// Digest periods for which other hosts without contact to the store must have reported no newer
/// version. By then a host that knows one, if any can be heard, has reported it several times.
const AGREEMENT_PERIODS: u32 = 4;

/// Fleet state that a host caches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CachedState {
    /// The configuration, including the API keys of the workspaces.
    Config,
    /// The list of upstreams.
    Upstreams,
}

/// Detects suspensions of the process, and tracks which cached state was confirmed since.
///
/// # Examples
///
/// ```
/// use portfield::suspend::{CachedState, SuspendDetector};
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// let mut detector = SuspendDetector::default();
/// detector.tick(ms(0));
/// assert_eq!(detector.tick(ms(25)), None);
/// assert_eq!(detector.tick(ms(9025)), Some(ms(9000)));
/// assert!(!detector.is_state_usable(ms(9025), ms(50)));
/// detector.confirm_from_store(ms(9030), CachedState::Config);
/// detector.confirm_from_store(ms(9030), CachedState::Upstreams);
/// assert!(detector.is_state_usable(ms(9040), ms(50)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct SuspendDetector {
    /// Time of the latest tick, if any.
    last_tick: Option<Duration>,
    resumed: Option<Resumed>,
}

#[derive(Debug, Clone, Copy)]
struct Resumed {
    at: Duration,
    config: Confirmation,
    upstreams: Confirmation,
}

/// What is known since the end of a suspension of one cached state.
#[derive(Debug, Clone, Copy, Default)]
struct Confirmation {
    /// The store, or a host in contact with it, has no newer version.
    is_current: bool,
    /// Since when hosts without contact to the store have reported no newer version.
    agreed_since: Option<Duration>,
}

impl Confirmation {
    fn is_usable(&self, now: Duration, agreement_time: Duration) -> bool {
        self.is_current || self.agreed_since.is_some_and(|it| it + agreement_time <= now)
    }
}

impl Resumed {
    fn confirmation_mut(&mut self, what: CachedState) -> &mut Confirmation {
        match what {
            CachedState::Config => &mut self.config,
            CachedState::Upstreams => &mut self.upstreams,
        }
    }
}

/// Version that another host reports of a cached state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerVersion {
    /// It is newer than that of this host.
    Newer,
    /// It is not newer, and its host is in contact with the store.
    Current,
    /// It is not newer, and its host has no contact with the store.
    Agreed,
}

impl SuspendDetector {
    /// Records the current time; returns the length of the suspension if one has just ended.
    ///
    /// A clock that steps backwards is not a suspension.
    pub fn tick(&mut self, now: Duration) -> Option<Duration> {
        let gap = self.last_tick.map_or(Duration::ZERO, |it| now.saturating_sub(it));
        self.last_tick = self.last_tick.max(Some(now));
        if gap < MIN_SUSPENSION {
            return None;
        }
        let (config, upstreams) = Default::default();
        self.resumed = Some(Resumed { at: now, config, upstreams });
        Some(gap)
    }

    /// Records that the store answered a call sent at `requested_at`. Answers to calls from before
    /// the suspension are ignored: they may have waited in a socket buffer.
    pub fn confirm_from_store(&mut self, requested_at: Duration, what: CachedState) {
        let Some(it) = self.resumed.as_mut().filter(|it| it.at <= requested_at) else { return };
        it.confirmation_mut(what).is_current = true;
    }

    /// Records which version of `what` another host reported.
    ///
    /// While the store is down for all, no host can confirm that its version is current. The others
    /// serve by what they know, and this host knows the same once none of them reports a newer
    /// version for some time. Reports of hosts that were suspended themselves must not be passed
    /// here before their own state is usable.
    pub fn record_peer(&mut self, now: Duration, what: CachedState, version: PeerVersion) {
        let Some(resumed) = &mut self.resumed else { return };
        let it = resumed.confirmation_mut(what);
        match version {
            PeerVersion::Newer => it.agreed_since = None,
            PeerVersion::Current => it.is_current = true,
            PeerVersion::Agreed => _ = it.agreed_since.get_or_insert(now),
        }
    }

    /// Returns when the latest suspension ended, `None` if there was none.
    pub fn resumed_at(&self) -> Option<Duration> {
        self.resumed.map(|it| it.at)
    }

    /// Returns whether the cached state may be used: all of it was confirmed since the latest
    /// suspension, or a timeout has passed since.
    ///
    /// `digest_period` is the time between two digests of a host.
    pub fn is_state_usable(&self, now: Duration, digest_period: Duration) -> bool {
        let agreement_time = digest_period * AGREEMENT_PERIODS;
        self.resumed.is_none_or(|it| {
            let is_usable = |it: Confirmation| it.is_usable(now, agreement_time);
            (is_usable(it.config) && is_usable(it.upstreams)) || it.at + ISOLATED_TIMEOUT <= now
        })
    }
}
