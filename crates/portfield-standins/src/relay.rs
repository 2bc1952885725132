//! Stand-in of the links between data centres: a relay with delay and cuts.

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

/// Bytes read at once.
const CHUNK: usize = 16 << 10;
/// Time between two looks at a link that is cut.
const CUT_POLL: Duration = Duration::from_millis(20);

/// A switch: what one direction between two data centres does.
#[derive(Debug, Clone, Deserialize)]
struct Switch {
    from: String,
    to: String,
    #[serde(default)]
    cut: bool,
    #[serde(default)]
    delay_us: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Link {
    cut: bool,
    delay: Duration,
}

#[derive(Debug)]
struct State {
    links: Mutex<HashMap<(String, String), Link>>,
    centres: Vec<(String, String)>,
    default: Link,
}

/// Starts the relay: a listener for each data centre, and one for the switches.
pub fn start(
    rt: &Runtime,
    admin: TcpListener,
    listeners: HashMap<String, TcpListener>,
    centres: Vec<(String, String)>,
    delay: Duration,
) {
    let default = Link { cut: false, delay };
    let state = Arc::new(State { links: Mutex::default(), centres, default });
    for (from, listener) in listeners {
        rt.spawn(accept(rt.clone(), state.clone(), from, listener));
    }
    let handler = move |request| switch(state.clone(), request);
    rt.spawn(http1::serve(rt.clone(), admin, handler));
}

async fn switch(state: Arc<State>, mut request: Request) -> Response {
    let it = match read_json::<Switch>(&mut request).await {
        Ok(it) => it,
        Err(res) => return res,
    };
    let delay = it.delay_us.map_or(state.default.delay, Duration::from_micros);
    state.lock().insert((it.from, it.to), Link { cut: it.cut, delay });
    json_response(200, &json!({}))
}

async fn accept(rt: Runtime, state: Arc<State>, from: String, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (state, from) = (state.clone(), from.clone());
        rt.spawn(async move {
            if let Err(err) = connect(state, from, stream).await {
                log::debug!(err:%; "relay");
            }
        });
    }
}

async fn connect(state: Arc<State>, from: String, mut inner: TcpStream) -> io::Result<()> {
    inner.set_nodelay(true)?;
    let address = read_connect(&mut inner).await?;
    let to = state.centre(&address);
    state.pass(&from, &to).await;
    let mut outer = TcpStream::connect(&address).await?;
    outer.set_nodelay(true)?;
    state.pass(&to, &from).await;
    inner.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?;
    let there = copy(&state, (&from, &to), inner.clone(), outer.clone());
    let back = copy(&state, (&to, &from), outer.clone(), inner.clone());
    // One side's end ends the other: an exchange here has no half-closed state to keep.
    let res = future::or(there, back).await;
    let _ = inner.close().await;
    let _ = outer.close().await;
    res
}

async fn read_connect(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await?;
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head);
    let address = text.strip_prefix("CONNECT ").and_then(|it| it.split(' ').next());
    address.map(str::to_owned).ok_or_else(|| io::Error::other("not CONNECT"))
}

/// Copies one direction: pieces arrive after the link's delay, and wait while it is cut.
async fn copy(
    state: &State,
    (from, to): (&str, &str),
    mut source: TcpStream,
    mut target: TcpStream,
) -> io::Result<()> {
    let (sender, receiver) = async_channel::bounded::<(Instant, Vec<u8>)>(64);
    let read = async move {
        let mut buf = vec![0; CHUNK];
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
        while let Ok((at, bytes)) = receiver.recv().await {
            state.pass(from, to).await;
            async_io::Timer::at(at + state.link(from, to).delay).await;
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

    fn link(&self, from: &str, to: &str) -> Link {
        let key = (from.to_owned(), to.to_owned());
        self.lock().get(&key).copied().unwrap_or(self.default)
    }

    /// Waits while a direction is cut.
    async fn pass(&self, from: &str, to: &str) {
        while self.link(from, to).cut {
            clock::sleep(CUT_POLL).await;
        }
    }

    fn centre(&self, address: &str) -> String {
        let found = self.centres.iter().find(|(_, prefix)| address.starts_with(prefix));
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    }
}
