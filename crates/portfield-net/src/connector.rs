//! Opening connections, by way of a relay where the settings name one.

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::clock;

/// Time in which a connection is open or is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest answer of a relay to CONNECT, in bytes.
const MAX_RESPONSE: usize = 1024;

/// Relays towards other data centres, by the data centre's name.
///
/// A relay takes `CONNECT address` (RFC 9110, section 9.3.6) and passes bytes on.
#[derive(Debug, Clone, Default)]
pub struct Connector {
    relays: HashMap<String, SocketAddr>,
}

impl Connector {
    /// Builds the table.
    pub fn new(relays: HashMap<String, SocketAddr>) -> Self {
        Self { relays }
    }

    /// Opens a connection to an address in a data centre.
    ///
    /// # Errors
    ///
    /// Whatever the socket says, or a time-out after a second. Nothing of a request was
    /// sent then.
    pub async fn connect(&self, data_centre: &str, address: SocketAddr) -> io::Result<TcpStream> {
        let relay = self.relays.get(data_centre).copied();
        let connect = async {
            let Some(relay) = relay else {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                return Ok(stream);
            };
            // A relay that refuses says nothing about the address behind it.
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
