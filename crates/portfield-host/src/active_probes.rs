//! Set of the upstreams that are being probed.

use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

/// Upstreams that are being probed, by wire id.
#[derive(Debug, Default)]
pub(crate) struct ActiveProbes {
    upstreams: Mutex<HashSet<u32>>,
}

impl ActiveProbes {
    /// Adds an upstream; returns `false` if it is being probed already.
    pub(crate) fn begin(&self, upstream: u32) -> bool {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner).insert(upstream)
    }

    /// Removes an upstream.
    pub(crate) fn end(&self, upstream: u32) {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner).remove(&upstream);
    }
}
