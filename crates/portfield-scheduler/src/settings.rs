//! Settings of the scheduler.

use std::{net::SocketAddr, path::Path, time::Duration};

use portfield_net::{
    connector::Connector,
    settings::{Error, Reader},
};

/// Settings of a scheduler, read at its start.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// Address for routers and other schedulers; its IP address identifies the host.
    pub listen: SocketAddr,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
    /// Name of the data centre.
    pub data_centre: String,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Schedulers from which the membership is learned while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Relays to other data centres, by name.
    pub links: Connector,
    /// Period of polling the host list.
    pub list_period: Duration,
    /// Period of polling the configuration's revision.
    pub config_period: Duration,
    /// Period of polling the health of each upstream.
    pub report_period: Duration,
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
            platform: it.address("platform"),
            seeds: it.addresses("seeds"),
            links: Connector::new(it.address_table("links")),
            list_period: it.millis("list_period_ms", 2000, (100, 60_000)),
            config_period: it.millis("config_period_ms", 5000, (100, 60_000)),
            report_period: it.millis("report_period_ms", 500, (50, 5000)),
            statsd: it.optional_address("statsd"),
        };
        it.finish()?;
        Ok(res)
    }
}
