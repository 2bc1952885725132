//! Settings of the router.

use std::{net::SocketAddr, path::Path, time::Duration};

use portfield_net::{
    connector::Connector,
    settings::{Error, Reader},
};

/// What a router is told at its start.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// Address for callers; its IP number names the host.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Name of the data centre.
    pub data_centre: String,
    /// Schedulers of the data centre to learn the membership from, this host's first.
    pub schedulers: Vec<SocketAddr>,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Relays towards other data centres.
    pub links: Connector,
    /// Largest body of a request, in bytes.
    pub body_limit: usize,
    /// Time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Time for an upstream's answer to begin.
    pub answer_timeout: Duration,
    /// Time between two pieces of an upstream's answer.
    pub stall_timeout: Duration,
    /// Time between readiness going off and the end of new connections.
    pub drain: Duration,
    /// Where metrics go.
    pub statsd: Option<SocketAddr>,
}

impl Settings {
    /// Reads and checks a file.
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
