//! Settings of a host's router on the platform.

use std::{collections::HashMap, net::SocketAddr, path::Path, time::Duration};

use portfield::balance::StoreTimeouts;
use portfield_net::settings::{Error, Reader};

/// What the process is told at its start and on each reload.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Settings {
    /// The host's name, for logs.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address on which the platform asks for readiness.
    pub ready: SocketAddr,
    /// Address for the other hosts, TCP and UDP.
    pub peers: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Other hosts to begin with; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Part of a service's requests that may be repeated.
    pub retry_ratio: f64,
    /// Repeats allowed beside that, over the fleet and a window.
    pub retry_extra: f64,
    /// The window of the retry budget.
    pub retry_window: Duration,
    /// Time over which workspaces' shares are kept.
    pub share_window: Duration,
    /// Most requests at once; each takes some 100 KB.
    pub active_limit: usize,
    /// Most other hosts that each tell every other one what they did; above that, data centres are
    /// summed up. Sums earned 0.06 more on one deployment of 58 hosts and 0.015 less on another.
    pub direct_hosts: usize,
    /// Most log lines a second.
    pub log_lines: u64,
    /// How the store is followed.
    pub pace: StoreTimeouts,
    /// What all hosts together may send to a cold upstream in a second, as a multiple of the rate that its service
    /// names.
    pub cold_overrun: f64,
    /// Requests allowed beside that.
    pub cold_slack: f64,
    /// Region of each data centre, by its name.
    pub regions: HashMap<String, String>,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// [`Error`] names every mistake with its key.
    pub(crate) fn open(path: &Path) -> Result<Self, Error> {
        let mut it = Reader::open(path);
        let res = Self {
            name: it.string("name"),
            data_centre: it.string("data_centre"),
            listen: it.address("listen"),
            ready: it.address("ready"),
            peers: it.address("peers"),
            metrics: it.address("metrics"),
            store: it.address("store"),
            seeds: it.addresses("seeds"),
            grace: it.seconds("grace_s", 8.0, (0.5, 600.0)),
            retry_ratio: it.float("retry_ratio", 0.2, (0.0, 10.0)),
            retry_extra: it.float("retry_extra", 10.0, (0.0, 1e6)),
            retry_window: it.seconds("retry_window_s", 10.0, (0.1, 600.0)),
            share_window: it.seconds("share_window_s", 4.0, (0.1, 60.0)),
            active_limit: it.integer("active_limit", 700, (1, 1_000_000)) as usize,
            direct_hosts: it.integer("direct_hosts", 12, (1, 1_000)) as usize,
            log_lines: it.integer("log_lines_s", 200, (1, 100_000)),
            pace: StoreTimeouts::new(it.millis("contact_ms", 3000, (100, 600_000))),
            cold_overrun: it.float("cold_overrun", 1.0, (0.0, 1000.0)),
            cold_slack: it.float("cold_slack", 0.0, (0.0, 1e6)),
            regions: it.string_table("regions"),
        };
        it.finish()?;
        Ok(res)
    }
}
