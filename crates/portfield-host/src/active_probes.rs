//! Upstreams at whose address this host looks at this moment.

use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

/// Upstreams that are being tried.
#[derive(Debug, Default)]
pub(crate) struct ActiveProbes {
    upstreams: Mutex<HashSet<u32>>,
}

impl ActiveProbes {
    /// Notes that an upstream is being tried; returns whether it was not yet.
    pub(crate) fn begin(&self, upstream: u32) -> bool {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner).insert(upstream)
    }

    /// Notes that it no longer is.
    pub(crate) fn end(&self, upstream: u32) {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner).remove(&upstream);
    }
}
