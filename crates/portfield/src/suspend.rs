//! What a host that stood still trusts of what it knows.
//!
//! A machine may be suspended, or a process stopped, for seconds, while the fleet goes on: keys are revoked, upstreams
//! leave or start anew, configurations are replaced. What the host knew is as old as the time that it stood still,
//! and what waits in its sockets says nothing of the time since.

use std::time::Duration;

/// Time without a look at the clock above which a host stood still.
///
/// What it knows has to be in force within two seconds of a change, and was up to half a second old before. A host
/// short of processor time is late by some tenths of a second.
const MIN_SUSPENSION: Duration = Duration::from_millis(1500);
/// Time after which a host that hears nobody trusts what it knows all the same, as one that is cut off does: it
/// serves its callers rather than refusing them until somebody is there.
const ISOLATED_TIMEOUT: Duration = Duration::from_secs(3);

/// What a host knows of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CachedState {
    /// The configuration, with the workspaces' keys.
    Config,
    /// The list of upstreams.
    Upstreams,
}

/// Whether a host has stood still, and what it has heard since.
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
    /// When it last looked at the clock, if it did.
    last_tick: Option<Duration>,
    resumed: Option<Resumed>,
}

#[derive(Debug, Clone, Copy)]
struct Resumed {
    at: Duration,
    /// It has heard since what is in force.
    has_config: bool,
    has_upstreams: bool,
}

impl SuspendDetector {
    /// Looks at the clock; returns for how long the host stood still, if it did.
    ///
    /// A clock that reads less than before is no time gone by.
    pub fn tick(&mut self, now: Duration) -> Option<Duration> {
        let gap = self.last_tick.map_or(Duration::ZERO, |it| now.saturating_sub(it));
        self.last_tick = self.last_tick.max(Some(now));
        if gap < MIN_SUSPENSION {
            return None;
        }
        self.resumed = Some(Resumed { at: now, has_config: false, has_upstreams: false });
        Some(gap)
    }

    /// Notes that the store answered a call made at `asked`: an answer to an earlier one may have waited here all
    /// the while.
    pub fn confirm_from_store(&mut self, requested_at: Duration, what: CachedState) {
        let Some(it) = self.resumed.as_mut().filter(|it| it.at <= requested_at) else { return };
        match what {
            CachedState::Config => it.has_config = true,
            CachedState::Upstreams => it.has_upstreams = true,
        }
    }

    /// Notes that another host said after this one woke that it knows nothing newer of something.
    pub fn confirm_from_peer(&mut self, what: CachedState) {
        self.confirm_from_store(Duration::MAX, what);
    }

    /// Returns when the host last woke, `None` if it never stood still.
    pub fn resumed_at(&self) -> Option<Duration> {
        self.resumed.map(|it| it.at)
    }

    /// Returns whether what the host knows may be used.
    pub fn is_state_usable(&self, now: Duration) -> bool {
        self.resumed
            .is_none_or(|it| (it.has_config && it.has_upstreams) || it.at + ISOLATED_TIMEOUT <= now)
    }
}
