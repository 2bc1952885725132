//! Stand-in for the links between data centres: an HTTP CONNECT proxy that delays bytes and can
//! cut each direction of a link.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http_types::{Request, Response};
use portfield_net::{
    clock,
    http1::{self, json_response, read_json},
    rt::Runtime,
};
use serde::Deserialize;
use serde_json::json;

/// Size of the read buffer, in bytes.
const BUFFER_SIZE: usize = 16 << 10;
/// Interval at which a connection on a cut link checks whether the link is restored.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Request body that sets the state of one direction of a link.
#[derive(Debug, Clone, Deserialize)]
struct LinkUpdate {
    from: String,
    to: String,
    #[serde(default)]
    cut: bool,
    /// One-way delay; `None` sets the default delay.
    #[serde(default)]
    delay_us: Option<u64>,
}

/// State of one direction between two data centres.
#[derive(Debug, Clone, Copy)]
struct Link {
    is_cut: bool,
    delay: Duration,
}

#[derive(Debug)]
struct State {
    /// Links that were set, by source and target data centre.
    links: Mutex<HashMap<(String, String), Link>>,
    /// Name and IP address prefix of each data centre.
    centres: Vec<(String, String)>,
    /// State of links that were never set.
    default_link: Link,
}

/// Starts the relay.
///
/// Connections accepted by `listeners` come from the hosts of the named data centre. The IP address
/// prefixes in `centres` tell to which data centre they go. Requests to `admin` change links; until
/// then their one-way delay is `delay`.
pub fn start(
    rt: &Runtime,
    admin: TcpListener,
    listeners: HashMap<String, TcpListener>,
    centres: Vec<(String, String)>,
    delay: Duration,
) {
    let default_link = Link { is_cut: false, delay };
    let state = Arc::new(State { links: Mutex::default(), centres, default_link });
    for (from, listener) in listeners {
        rt.spawn(accept_connections(rt.clone(), state.clone(), from, listener));
    }
    let handler = move |request| set_link(state.clone(), request);
    rt.spawn(http1::serve(rt.clone(), admin, handler));
}

/// Handles a request to set one direction of a link.
async fn set_link(state: Arc<State>, mut request: Request) -> Response {
    let update = match read_json::<LinkUpdate>(&mut request).await {
        Ok(it) => it,
        Err(res) => return res,
    };
    let delay = update.delay_us.map_or(state.default_link.delay, Duration::from_micros);
    state.lock().insert((update.from, update.to), Link { is_cut: update.cut, delay });
    json_response(200, &json!({}))
}

async fn accept_connections(rt: Runtime, state: Arc<State>, from: String, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (state, from) = (state.clone(), from.clone());
        rt.spawn(async move {
            if let Err(err) = handle_connection(state, from, stream).await {
                log::debug!(err:%; "relayed connection failed");
            }
        });
    }
}

/// Relays a connection to the address of its CONNECT request until either side closes it.
async fn handle_connection(
    state: Arc<State>,
    from: String,
    mut client: TcpStream,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    let address = read_connect_target(&mut client).await?;
    let to = state.data_centre_of(&address);
    state.wait_while_cut(&from, &to).await;
    let mut server = TcpStream::connect(&address).await?;
    server.set_nodelay(true)?;
    state.wait_while_cut(&to, &from).await;
    client.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?;
    let requests = forward(&state, (&from, &to), client.clone(), server.clone());
    let responses = forward(&state, (&to, &from), server.clone(), client.clone());
    // Closing either direction closes both: no protocol relayed here half-closes.
    let res = future::or(requests, responses).await;
    let _ = client.close().await;
    let _ = server.close().await;
    res
}

/// Reads the head of a CONNECT request and returns the address that it asks for.
async fn read_connect_target(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await?;
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head);
    let address = text.strip_prefix("CONNECT ").and_then(|it| it.split(' ').next());
    address.map(str::to_owned).ok_or_else(|| io::Error::other("expected a CONNECT request"))
}

/// Copies bytes in one direction after the link's delay, held back while the link is cut.
///
/// Reading and writing run concurrently so that the delay doesn't limit the throughput.
async fn forward(
    state: &State,
    (from, to): (&str, &str),
    mut source: TcpStream,
    mut target: TcpStream,
) -> io::Result<()> {
    let (sender, receiver) = async_channel::bounded::<(Instant, Vec<u8>)>(64);
    let read = async move {
        let mut buf = vec![0; BUFFER_SIZE];
        loop {
            let n = source.read(&mut buf).await?;
            if n == 0 {
                return Ok(());
            }
            if sender.send((Instant::now(), buf[..n].to_vec())).await.is_err() {
                return Ok(());
            }
        }
    };
    let write = async {
        while let Ok((received_at, bytes)) = receiver.recv().await {
            state.wait_while_cut(from, to).await;
            async_io::Timer::at(received_at + state.link(from, to).delay).await;
            target.write_all(&bytes).await?;
        }
        Ok(())
    };
    let (read, write) = future::zip(read, write).await;
    read.and(write)
}

impl State {
    fn lock(&self) -> MutexGuard<'_, HashMap<(String, String), Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state of a link's direction.
    fn link(&self, from: &str, to: &str) -> Link {
        let key = (from.to_owned(), to.to_owned());
        self.lock().get(&key).copied().unwrap_or(self.default_link)
    }

    /// Waits while a link's direction is cut.
    async fn wait_while_cut(&self, from: &str, to: &str) {
        while self.link(from, to).is_cut {
            clock::sleep(CUT_POLL_INTERVAL).await;
        }
    }

    /// Returns the data centre of an address, or an empty string if no prefix matches.
    fn data_centre_of(&self, address: &str) -> String {
        let found = self.centres.iter().find(|(_, prefix)| address.starts_with(prefix));
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    }
}
