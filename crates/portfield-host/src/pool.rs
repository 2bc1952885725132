//! Connections to upstreams, kept between requests.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use async_executor::Task;
use async_io::Async;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use portfield_net::{
    clock,
    rt::Runtime,
    socket::{CallerCheck, Socket},
};
use socket2::{SockRef, TcpKeepalive};

/// Time in which a connection is open or is given up; a live upstream takes some milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent bytes may go unconfirmed before the connection counts as broken.
///
/// Longer than the first few retransmissions on a link with losses, shorter than the two seconds
/// of silence after which callers of a stream leave.
const UNCONFIRMED: Duration = Duration::from_millis(1800);
/// Idle time after which the kernel asks whether the other end is still there.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Longest idle time of a kept connection, where the upstream names none.
const LONGEST_IDLE: Duration = Duration::from_secs(4);
/// Time before the upstream's own limit at which a kept connection is closed.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Idle connections kept for one upstream: bursts above this open new ones.
const MAX_IDLE: usize = 24;

/// A connection that serves one request at a time; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    /// It has served a request before.
    pub reused: bool,
    /// Looks for the caller of the next request when it is written.
    pub guard: CallerCheck,
    _driver: Task<()>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Duration,
}

/// Idle connections by upstream.
#[derive(Debug)]
pub(crate) struct Pool {
    rt: Runtime,
    idle: Mutex<HashMap<u32, Vec<Idle>>>,
}

impl Pool {
    /// Builds an empty pool.
    pub(crate) fn new(rt: Runtime) -> Self {
        Self { rt, idle: Mutex::default() }
    }

    /// Takes the connection to an upstream that was used last, if one is open.
    pub(crate) fn take(&self, upstream: u32) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&upstream)?;
        while let Some(it) = list.pop() {
            let sender = &it.connection.sender;
            if now < it.until && sender.is_ready() && !sender.is_closed() {
                return Some(it.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has ended; `limit` is the upstream's own idle limit.
    pub(crate) fn put(&self, upstream: u32, mut it: Connection, limit: Option<Duration>) {
        let time = limit.map_or(LONGEST_IDLE, |it| it.saturating_sub(IDLE_MARGIN));
        it.reused = true;
        let until = clock::now() + time.min(LONGEST_IDLE);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(upstream).or_default();
        list.push(Idle { connection: it, until });
        if MAX_IDLE < list.len() {
            list.remove(0);
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn sweep(&self) {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for list in idle.values_mut() {
            list.retain(|it| now < it.until && !it.connection.sender.is_closed());
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Closes all idle connections, where descriptors have run out.
    pub(crate) fn clear(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Whatever the socket says, or a time-out. Nothing of a request was sent then.
    pub(crate) async fn open(&self, address: SocketAddr) -> io::Result<Connection> {
        let open = Async::<std::net::TcpStream>::connect(address);
        let late = || Err(io::Error::new(io::ErrorKind::TimedOut, "no connection in time"));
        let stream = clock::timeout(CONNECT_TIMEOUT, open).await.unwrap_or_else(late)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(UNCONFIRMED))?;
        let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
        socket.set_tcp_keepalive(&keepalive)?;
        // Closing discards what was not delivered: a request whose caller has left must not reach
        // the upstream later, when a cut link heals. Without it a request came 1.7 s after.
        socket.set_linger(Some(Duration::ZERO))?;
        let guard = CallerCheck::default();
        let socket = Socket::with_caller_check(stream, guard.clone());
        let (sender, driver) = http1::handshake(socket).await.map_err(io::Error::other)?;
        let driver = self.rt.spawn_cancellable(async move {
            if let Err(err) = driver.await {
                log::debug!(err:%; "upstream connection ended");
            }
        });
        Ok(Connection { sender, reused: false, guard, _driver: driver })
    }
}
