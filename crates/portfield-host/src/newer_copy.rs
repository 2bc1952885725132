//! Whether other hosts have a newer version of what this host knows.

use std::time::Duration;

use portfield::gossip::PeerCopy;

use crate::atomic_instant::AtomicInstant;

/// Time for which a host that was heard to know a newer version counts as a source of it.
const COPY_VALIDITY: Duration = Duration::from_secs(3);

/// Tracks whether some other host was heard to know a newer version than this one.
#[derive(Debug, Default)]
pub(crate) struct NewerCopy {
    heard: AtomicInstant,
}

impl NewerCopy {
    /// Records that one was heard.
    pub(crate) fn record(&self) {
        self.heard.set_now();
    }

    /// Returns whether one was heard recently.
    pub(crate) fn peer_copy(&self) -> PeerCopy {
        let is_recent = self.heard.elapsed().is_some_and(|it| it < COPY_VALIDITY);
        if is_recent { PeerCopy::Heard } else { PeerCopy::None }
    }
}
