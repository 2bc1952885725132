//! TCP connections to other data centres, through relays where the settings name them.

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::clock;

/// Timeout for opening a connection, including the relay's response.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest response head of a relay to `CONNECT`, in bytes.
const MAX_RESPONSE: usize = 1024;

/// Opens connections to addresses in other data centres, through a relay if one is configured.
///
/// A relay accepts `CONNECT address` (RFC 9110, section 9.3.6) and then forwards bytes.
#[derive(Debug, Clone, Default)]
pub struct Connector {
    relays: HashMap<String, SocketAddr>,
}

impl Connector {
    /// Creates a connector from the relays' addresses by the name of the data centre.
    pub fn new(relays: HashMap<String, SocketAddr>) -> Self {
        Self { relays }
    }

    /// Opens a connection to an address in a data centre.
    ///
    /// # Errors
    ///
    /// Returns the socket's error, or [`io::ErrorKind::TimedOut`] after a second. No part of a
    /// request was sent then.
    pub async fn connect(&self, data_centre: &str, address: SocketAddr) -> io::Result<TcpStream> {
        let relay = self.relays.get(data_centre).copied();
        let connect = async {
            let Some(relay) = relay else {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                return Ok(stream);
            };
            // A refused connection to the relay must not count as one refused by the address.
            let mut stream = TcpStream::connect(relay).await.map_err(io::Error::other)?;
            stream.set_nodelay(true)?;
            open_tunnel(&mut stream, address).await?;
            Ok(stream)
        };
        let timed_out = || Err(io::Error::new(io::ErrorKind::TimedOut, "no connection in time"));
        clock::timeout(CONNECT_TIMEOUT, connect).await.unwrap_or_else(timed_out)
    }
}

async fn open_tunnel(stream: &mut TcpStream, address: SocketAddr) -> io::Result<()> {
    let head = format!("CONNECT {address} HTTP/1.1\r\nhost: {address}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let mut response = Vec::new();
    let mut byte = [0];
    while !response.ends_with(b"\r\n\r\n") && response.len() < MAX_RESPONSE {
        stream.read_exact(&mut byte).await?;
        response.push(byte[0]);
    }
    if response.starts_with(b"HTTP/1.1 200") {
        return Ok(());
    }
    Err(io::Error::other("the relay refused"))
}
