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
const STILL: Duration = Duration::from_millis(1500);
/// Time after which a host that hears nobody trusts what it knows all the same, as one that is cut off does: it
/// serves its callers rather than refusing them until somebody is there.
const ALONE: Duration = Duration::from_secs(3);

/// What a host knows of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
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
/// use portfield::waking::{Knowledge, Waking};
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// let mut waking = Waking::default();
/// waking.look(ms(0));
/// assert_eq!(waking.look(ms(25)), None);
/// assert_eq!(waking.look(ms(9025)), Some(ms(9000)));
/// assert!(!waking.trusts(ms(9025)));
/// waking.heard_store(ms(9030), Knowledge::Config);
/// waking.heard_store(ms(9030), Knowledge::Upstreams);
/// assert!(waking.trusts(ms(9040)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Waking {
    /// When it last looked at the clock, if it did.
    looked: Option<Duration>,
    woke: Option<Woke>,
}

#[derive(Debug, Clone, Copy)]
struct Woke {
    at: Duration,
    /// It has heard since what is in force.
    knows_config: bool,
    knows_upstreams: bool,
}

impl Waking {
    /// Looks at the clock; returns for how long the host stood still, if it did.
    ///
    /// A clock that reads less than before is no time gone by.
    pub fn look(&mut self, now: Duration) -> Option<Duration> {
        let still = self.looked.map_or(Duration::ZERO, |it| now.saturating_sub(it));
        self.looked = self.looked.max(Some(now));
        if still < STILL {
            return None;
        }
        self.woke = Some(Woke { at: now, knows_config: false, knows_upstreams: false });
        Some(still)
    }

    /// Notes that the store answered a call made at `asked`: an answer to an earlier one may have waited here all
    /// the while.
    pub fn heard_store(&mut self, asked: Duration, what: Knowledge) {
        let Some(it) = self.woke.as_mut().filter(|it| it.at <= asked) else { return };
        match what {
            Knowledge::Config => it.knows_config = true,
            Knowledge::Upstreams => it.knows_upstreams = true,
        }
    }

    /// Notes that another host said after this one woke that it knows nothing newer of something.
    pub fn heard_host(&mut self, what: Knowledge) {
        self.heard_store(Duration::MAX, what);
    }

    /// Returns when the host last woke, `None` if it never stood still.
    pub fn woke_at(&self) -> Option<Duration> {
        self.woke.map(|it| it.at)
    }

    /// Returns whether what the host knows may be used.
    pub fn trusts(&self, now: Duration) -> bool {
        self.woke.is_none_or(|it| (it.knows_config && it.knows_upstreams) || it.at + ALONE <= now)
    }
}
