//! Detection of suspensions of this host, and whether its state is fresh after one.

use std::time::Duration;

use portfield_net::clock;

use crate::state::Host;

/// Interval for checking whether this host's state is fresh again.
const FRESH_STATE_POLL: Duration = Duration::from_millis(25);

impl Host {
    /// Checks the clock for a suspension; returns its length if the host has just resumed.
    ///
    /// Called often, and before any use of state that a suspension makes outdated.
    pub(crate) fn check_suspension(&self) -> Option<Duration> {
        let length = self.suspend_detector().tick(clock::now())?;
        log::warn!(still_ms = length.as_millis() as u64, active = self.n_active(); "host was suspended");
        self.metrics.count("stood_still");
        clock::wake_waiters();
        self.balancer().record_suspension(length);
        self.peers().clear_forwards();
        Some(length)
    }

    /// Returns whether this host's view of the fleet is fresh enough to be used.
    pub(crate) fn has_fresh_state(&self) -> bool {
        self.check_suspension();
        let period = self.topology().period();
        self.suspend_detector().is_state_usable(clock::now(), period)
    }

    /// Waits until this host's view of the fleet is fresh enough to be used.
    pub(crate) async fn wait_for_fresh_state(&self) {
        while !self.has_fresh_state() {
            clock::sleep(FRESH_STATE_POLL).await;
        }
    }

    /// Returns when this host last resumed from a suspension, if ever.
    pub(crate) fn resumed_at(&self) -> Option<Duration> {
        self.check_suspension();
        self.suspend_detector().resumed_at()
    }
}
