//! Metrics over UDP in the StatsD format.

use std::net::{SocketAddr, UdpSocket};

use cadence::{Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};

/// Sends the metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates a sender to the given address, or one that drops all metrics without an address or
    /// if no socket can be opened. `prefix` is the name of the process.
    pub fn new(prefix: &str, address: Option<SocketAddr>) -> Self {
        let client = address
            .and_then(|it| {
                let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
                socket.set_nonblocking(true).ok()?;
                let sink = UdpMetricSink::from(it, socket).ok()?;
                Some(StatsdClient::from_sink(prefix, sink))
            })
            .unwrap_or_else(|| StatsdClient::from_sink(prefix, NopMetricSink));
        Self { client }
    }

    /// Sets a gauge.
    pub fn gauge(&self, key: &str, value: u64) {
        let _ = self.client.gauge(key, value);
    }

    /// Records a duration in milliseconds.
    pub fn time(&self, key: &str, millis: u64) {
        let _ = self.client.time(key, millis);
    }
}
