//! KV memory of the requests that run at an upstream.
//!
//! The load this answers: an engine crashes if the requests that it holds exceed its memory, and
//! all hosts send to all engines. Each host tells the tokens that its own requests at an engine are
//! expected to hold at their end, and adds what the others tell.

use crate::wire;

/// Tokens in the KV memory of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct MemoryUse {
    /// Tokens that running requests are expected to hold at their end.
    pub running: f64,
    /// Tokens kept free for a large request.
    pub reserved: f64,
}

impl MemoryUse {
    /// Adds what a host or a summary tells of an upstream, or removes it if `sign` is -1.
    pub(crate) fn add(&mut self, it: &wire::UpstreamLoad, sign: f64) {
        self.running = (self.running + sign * f64::from(it.memory)).max(0.0);
        self.reserved = (self.reserved + sign * f64::from(it.reserved)).max(0.0);
    }

    /// Returns the sum of this and another use.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self { running: self.running + other.running, reserved: self.reserved + other.reserved }
    }

    /// Writes it into an entry of a digest.
    pub(crate) fn write(self, load: &mut wire::UpstreamLoad) {
        load.memory = self.running.max(0.0) as u32;
        load.reserved = self.reserved.max(0.0) as u32;
    }
}
