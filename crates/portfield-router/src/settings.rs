//! Settings of the router.

use std::{net::SocketAddr, path::Path, time::Duration};

use portfield_net::{
    connector::Connector,
    settings::{Error, Reader},
};

/// Settings of a router, read at its start.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// Address for callers; its IP address identifies the host.
    pub listen: SocketAddr,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
    /// Name of the data centre.
    pub data_centre: String,
    /// Schedulers of the data centre from which the membership is learned, this host's first.
    pub schedulers: Vec<SocketAddr>,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Relays to other data centres, by name.
    pub links: Connector,
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// Timeout for receiving a request's head.
    pub head_timeout: Duration,
    /// Timeout for an upstream's response head.
    pub answer_timeout: Duration,
    /// Timeout between two chunks of an upstream's response body.
    pub stall_timeout: Duration,
    /// Time between the end of readiness at shutdown and the end of accepting connections.
    pub drain: Duration,
    /// Address that metrics are sent to.
    pub statsd: Option<SocketAddr>,
}

impl Settings {
    /// Reads and validates a settings file.
    pub(crate) fn open(path: &Path) -> Result<Self, Error> {
        let mut it = Reader::open(path);
        let res = Self {
            listen: it.address("listen"),
            admin: it.address("admin"),
            data_centre: it.string("data_centre"),
            schedulers: it.addresses("schedulers"),
            platform: it.address("platform"),
            links: Connector::new(it.address_table("links")),
            body_limit: it.integer("body_limit", 1 << 20, (1, 64 << 20)) as usize,
            head_timeout: it.millis("head_timeout_ms", 10_000, (10, 60_000)),
            answer_timeout: it.millis("answer_timeout_ms", 30_000, (10, 600_000)),
            stall_timeout: it.millis("stall_timeout_ms", 10_000, (10, 600_000)),
            drain: it.millis("drain_ms", 1000, (0, 60_000)),
            statsd: it.optional_address("statsd"),
        };
        it.finish()?;
        Ok(res)
    }
}
