//! Settings of a host's router.

use std::{collections::HashMap, net::SocketAddr, path::Path, time::Duration};

use portfield::{
    balance::{BalancerOptions, Switch},
    gossip::StoreTimeouts,
};
use portfield_net::settings::{Error, Reader};

/// Settings read at start and on each reload.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Settings {
    /// Name of the host, for logs.
    pub name: String,
    /// Name of the host's data centre.
    pub data_centre: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Address for the other hosts, TCP and UDP.
    pub peers: SocketAddr,
    /// Address of the metrics and operator endpoints.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of other hosts to contact first; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Retries allowed per request of a service, as a fraction.
    pub retry_ratio: f64,
    /// Retries allowed in addition, for the whole fleet within a window.
    pub retry_extra: f64,
    /// Length of the retry budget's window.
    pub retry_window: Duration,
    /// Time for which a stream may be resumed, at least: the timeout of its route may have been longer before.
    pub resume_window: Duration,
    /// Time over which the usage of workspaces is averaged.
    pub share_window: Duration,
    /// Maximum number of concurrent requests; each takes some 100 KB.
    pub active_limit: usize,
    /// Time after which a caller that reads nothing of its response is disconnected.
    pub stalled_caller: Duration,
    /// Number of other hosts up to which every host sends its digest to every other one; above
    /// that, data centres exchange summaries. Summaries scored 0.06 higher on one deployment of 58
    /// hosts and 0.015 lower on another.
    pub direct_hosts: usize,
    /// Maximum number of log lines per second.
    pub log_lines: u64,
    /// Timeouts of watching the store.
    pub store_timeouts: StoreTimeouts,
    /// Requests per second that all hosts together may send to a cold upstream, as a multiple of
    /// the rate that its service sets.
    pub cold_overrun: f64,
    /// Requests per second allowed in addition.
    pub cold_slack: f64,
    /// Optional decisions of the balancer.
    pub options: BalancerOptions,
    /// Whether this host moves callers to hosts with more processor time left before it is overloaded.
    pub ingress_balance: Switch,
    /// Time for which a stream's event may be held back on its way to the caller; zero if none may.
    pub event_delay: Duration,
    /// Memory of this process, in megabytes; zero if unknown.
    pub memory_mb: u64,
    /// Processor time of this process, in cores; zero if unknown.
    pub cpu_share: f64,
    /// Region of each data centre, by name.
    pub regions: HashMap<String, String>,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] lists every invalid key.
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
            resume_window: it.seconds("resume_window_s", 30.0, (0.0, 600.0)),
            share_window: it.seconds("share_window_s", 4.0, (0.1, 60.0)),
            active_limit: it.integer("active_limit", 700, (1, 1_000_000)) as usize,
            stalled_caller: it.seconds("stalled_caller_s", 30.0, (0.1, 3600.0)),
            direct_hosts: it.integer("direct_hosts", 12, (1, 1_000)) as usize,
            log_lines: it.integer("log_lines_s", 200, (1, 100_000)),
            store_timeouts: StoreTimeouts::new(it.millis("contact_ms", 3000, (100, 600_000))),
            cold_overrun: it.float("cold_overrun", 1.0, (0.0, 1000.0)),
            cold_slack: it.float("cold_slack", 0.0, (0.0, 1e6)),
            options: BalancerOptions {
                cache_transfer: it.switch("cache_transfer"),
                engine_speed: it.switch("engine_speed"),
                capacity_shares: it.switch("capacity_shares"),
                memory_limits: it.switch("memory_limits"),
                spread_placement: it.switch("spread_placement"),
            },
            ingress_balance: it.switch("ingress_balance"),
            event_delay: it.millis("event_delay_ms", 0, (0, 60_000)),
            memory_mb: it.integer("memory_mb", 0, (0, 1 << 30)),
            cpu_share: it.float("cpu_share", 0.0, (0.0, 1024.0)),
            regions: it.string_table("regions"),
        };
        it.finish()?;
        Ok(res)
    }
}
