//! Upstream entries for the tests of the directory.

use std::time::Duration;

use portfield::catalog::{State, UpstreamEntry};

/// Returns an entry without a start time.
pub fn entry(id: &str, state: State) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        started_ms: None,
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "north".to_owned(),
        software_version: "v1".to_owned(),
        slots: 6,
        state,
        cold_remaining: Duration::ZERO,
    }
}
