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
/// assert!(!detector.is_state_usable(ms(9025)));
/// detector.confirm_from_store(ms(9030), CachedState::Config);
/// detector.confirm_from_store(ms(9030), CachedState::Upstreams);
/// assert!(detector.is_state_usable(ms(9040)));
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
    /// The configuration was confirmed since.
    has_config: bool,
    /// The list of upstreams was confirmed since.
    has_upstreams: bool,
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
        self.resumed = Some(Resumed { at: now, has_config: false, has_upstreams: false });
        Some(gap)
    }

    /// Records that the store answered a call sent at `requested_at`. Answers to calls from before
    /// the suspension are ignored: they may have waited in a socket buffer.
    pub fn confirm_from_store(&mut self, requested_at: Duration, what: CachedState) {
        let Some(it) = self.resumed.as_mut().filter(|it| it.at <= requested_at) else { return };
        match what {
            CachedState::Config => it.has_config = true,
            CachedState::Upstreams => it.has_upstreams = true,
        }
    }

    /// Records that another host, after the end of the suspension, reported no newer version of
    /// `what`.
    pub fn confirm_from_peer(&mut self, what: CachedState) {
        self.confirm_from_store(Duration::MAX, what);
    }

    /// Returns when the latest suspension ended, `None` if there was none.
    pub fn resumed_at(&self) -> Option<Duration> {
        self.resumed.map(|it| it.at)
    }

    /// Returns whether the cached state may be used: all of it was confirmed since the latest
    /// suspension, or a timeout has passed since.
    pub fn is_state_usable(&self, now: Duration) -> bool {
        self.resumed
            .is_none_or(|it| (it.has_config && it.has_upstreams) || it.at + ISOLATED_TIMEOUT <= now)
    }
}
