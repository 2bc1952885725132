//! Pool of idle connections to upstreams.

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
    socket::{CallerCheck, ReadGate, Socket},
};
use socket2::{SockRef, TcpKeepalive};

/// Timeout for opening a connection; a live upstream accepts within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent data may stay unacknowledged before the kernel closes the connection.
///
/// Longer than the first few retransmissions on a lossy link, shorter than the two seconds of
/// silence after which callers abandon a stream.
const USER_TIMEOUT: Duration = Duration::from_millis(1800);
/// Idle time before, and interval between, TCP keepalive probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Maximum idle time of a pooled connection.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Margin by which a pooled connection is closed before the upstream's own idle limit.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Bytes of a response that a connection buffers at most, and so the longest head that is accepted: a request is
/// accounted with little more ([`held_memory`](crate::held_memory)).
const MAX_BUFFER: usize = 64 << 10;
/// Maximum number of idle connections per upstream; bursts above that open new ones.
const MAX_IDLE_PER_UPSTREAM: usize = 24;

/// A connection that serves one request at a time; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has served a request before.
    pub reused: bool,
    /// Checks, when the next request is written, that its caller is still connected.
    pub guard: CallerCheck,
    /// Holds back the events of a stream, so that they are forwarded together.
    pub gate: ReadGate,
    _driver: Task<()>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Duration,
}

/// Idle connections by the wire id of their upstream.
#[derive(Debug)]
pub(crate) struct Pool {
    rt: Runtime,
    /// Bytes of a response that the kernel receives before they are read; `None` for its default.
    receive_buffer: Option<usize>,
    idle: Mutex<HashMap<u32, Vec<Idle>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new(rt: Runtime, receive_buffer: Option<usize>) -> Self {
        Self { rt, receive_buffer, idle: Mutex::default() }
    }

    /// Takes the most recently used open connection to an upstream.
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

    /// Returns a connection to the pool after its response ended; `idle_limit` is the upstream's
    /// own limit.
    pub(crate) fn put(&self, upstream: u32, mut it: Connection, idle_limit: Option<Duration>) {
        let time = idle_limit.map_or(MAX_IDLE_TIME, |it| it.saturating_sub(IDLE_MARGIN));
        it.reused = true;
        let until = clock::now() + time.min(MAX_IDLE_TIME);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(upstream).or_default();
        list.push(Idle { connection: it, until });
        if MAX_IDLE_PER_UPSTREAM < list.len() {
            list.remove(0);
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn remove_expired(&self) {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for list in idle.values_mut() {
            list.retain(|it| now < it.until && !it.connection.sender.is_closed());
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Closes all idle connections to free file descriptors.
    pub(crate) fn clear(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Opens a connection to an upstream.
    ///
    /// # Errors
    ///
    /// An error of the socket, or a timeout; nothing of a request was sent then.
    pub(crate) async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let connect = Async::<std::net::TcpStream>::connect(address);
        let timed_out = || Err(io::Error::new(io::ErrorKind::TimedOut, "no connection in time"));
        let stream = clock::timeout(CONNECT_TIMEOUT, connect).await.unwrap_or_else(timed_out)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_nodelay(true)?;
        if let Some(it) = self.receive_buffer {
            socket.set_recv_buffer_size(it)?;
        }
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
        socket.set_tcp_keepalive(&keepalive)?;
        // A zero linger time discards undelivered data on close: a request whose caller
        // disconnected must not reach the upstream after a network partition heals. Without it, a
        // request arrived 1.7 s later.
        socket.set_linger(Some(Duration::ZERO))?;
        let guard = CallerCheck::default();
        let gate = ReadGate::default();
        let socket = Socket::with_caller_check(stream, guard.clone()).with_read_gate(gate.clone());
        let handshake = http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(socket);
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        let driver = self.rt.spawn_cancellable(async move {
            if let Err(err) = driver.await {
                log::debug!(err:%; "upstream connection ended");
            }
        });
        Ok(Connection { sender, reused: false, guard, gate, _driver: driver })
    }
}
