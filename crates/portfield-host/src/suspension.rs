//! Whether this host stood still, and trusts what it knows of the fleet.

use std::time::Duration;

use portfield_net::clock;

use crate::state::Host;

impl Host {
    /// Looks at the clock: whether this host stood still, and for how long if it has just gone on.
    ///
    /// Called often, and before anything that relies on what the host knows.
    pub(crate) fn check_suspension(&self) -> Option<Duration> {
        let still = self.suspension().tick(clock::now())?;
        log::warn!(still_ms = still.as_millis() as u64, active = self.n_active(); "host stood still");
        self.metrics.count("stood_still");
        clock::wake_waiters();
        self.balancer().record_pause(still);
        self.peers().clear_forwards();
        Some(still)
    }

    /// Returns whether what this host knows of the fleet may be used.
    pub(crate) fn has_fresh_state(&self) -> bool {
        self.check_suspension();
        self.suspension().is_state_usable(clock::now())
    }

    /// Returns when this host last went on after it had stood still, if it ever did.
    pub(crate) fn resumed_at(&self) -> Option<Duration> {
        self.check_suspension();
        self.suspension().resumed_at()
    }
}
