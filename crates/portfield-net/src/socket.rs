//! TCP connections for hyper that need few system calls.

use std::{
    cell::RefCell,
    fmt,
    io::{self, Read, Write},
    net::{Shutdown, TcpStream},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use async_io::Async;
use event_listener::EventListener;
use hyper::rt::ReadBufCursor;

use crate::clock;

/// Bytes read with one system call, the size up to which hyper grows its reads. An event has about
/// 100 bytes.
const READ_SIZE: usize = 16 << 10;

thread_local! {
    /// Buffer from which bytes are copied to hyper. Shared by all connections of a thread, so that
    /// an idle connection holds no memory.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_SIZE].into());
}

/// A TCP connection for hyper.
///
/// hyper polls a connection on every event, also to detect that it was closed, and three in four
/// reads would find no data. So this type remembers that the socket was drained and does not read
/// again before the reactor reports it readable.
///
/// # Examples
///
/// ```
/// use portfield_net::{rt::Runtime, socket::Socket};
///
/// # fn main() -> std::io::Result<()> {
/// let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
/// let stream = std::net::TcpStream::connect(listener.local_addr()?)?;
/// let socket = Socket::from(async_io::Async::new(stream)?);
/// let builder = hyper::client::conn::http1::Builder::new();
/// let handshake = builder.handshake::<_, http_body_util::Empty<bytes::Bytes>>(socket);
/// assert!(Runtime::default().block_on(0, handshake).is_ok());
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Socket {
    stream: Arc<Async<TcpStream>>,
    /// The last read emptied the receive buffer; wait for the reactor before the next.
    is_drained: bool,
    caller_check: Option<CallerCheck>,
    read_gate: Option<ReadGate>,
    /// Bytes that were read while [`Self::read_gate`] held them back, and those left over.
    held: Vec<u8>,
    /// Error of a read that is to be returned after the held bytes: the kernel reports it only once.
    read_error: Option<io::Error>,
    /// Time after which a write fails if the peer accepts nothing.
    write_timeout: Option<Duration>,
    /// Ends when the current write has waited for [`Self::write_timeout`].
    stall: Option<Stall>,
}

/// The wait for a peer that accepts nothing.
struct Stall(Pin<Box<dyn Future<Output = ()> + Send>>);

impl fmt::Debug for Stall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Stall")
    }
}

impl Socket {
    /// Makes writes fail with [`io::ErrorKind::TimedOut`] once the peer has accepted nothing for a
    /// time: what is held for a peer that reads nothing must not be held for ever. A slow peer that
    /// reads something within that time is not affected.
    pub fn with_write_timeout(mut self, time: Duration) -> Self {
        self.write_timeout = Some(time);
        self
    }

    /// Waits until the peer accepts more.
    fn poll_writable(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Poll::Ready(res) = self.stream.poll_writable(cx) {
            return Poll::Ready(res);
        }
        let Some(time) = self.write_timeout else { return Poll::Pending };
        let stall = self.stall.get_or_insert_with(|| Stall(Box::pin(clock::sleep(time))));
        ready!(stall.0.as_mut().poll(cx));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the peer reads nothing")))
    }

    /// Creates a socket that checks before each request is written whether its caller has left.
    pub fn with_caller_check(stream: Async<TcpStream>, caller_check: CallerCheck) -> Self {
        Self { caller_check: Some(caller_check), ..Arc::new(stream).into() }
    }

    /// Lets received bytes be held back, so that they are handled together.
    pub fn with_read_gate(mut self, gate: ReadGate) -> Self {
        self.read_gate = Some(gate);
        self
    }

    /// Reads what has arrived until there is a reason to pass it on: the message or the connection
    /// has ended, or it is too much to hold.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if self.read_error.is_some() {
                return Poll::Ready(Ok(()));
            }
            if self.is_drained {
                ready!(self.stream.poll_readable(cx))?;
                self.is_drained = false;
            }
            let read = READ_BUFFER.with_borrow_mut(|buffer| {
                let n = self.stream.get_ref().read(buffer)?;
                self.held.extend_from_slice(&buffer[..n]);
                Ok::<_, io::Error>(n)
            });
            match read {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(n) if n == READ_SIZE => {}
                Ok(_) => self.is_drained = true,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => self.is_drained = true,
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) if self.held.is_empty() => return Poll::Ready(Err(err)),
                // What was received before is passed on first.
                Err(err) => self.read_error = Some(err),
            }
            if MAX_HELD <= self.held.len() || self.has_message_end() {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Returns whether the held bytes end with the last chunk of a message. Bytes of an event that
    /// look the same only end the wait early.
    fn has_message_end(&self) -> bool {
        self.held.ends_with(LAST_CHUNK) || self.held == LAST_CHUNK[2..]
    }

    /// Passes on as many of the held bytes as fit.
    fn take_held(&mut self, buf: &mut ReadBufCursor<'_>) {
        let n = buf.remaining().min(self.held.len());
        buf.put_slice(&self.held[..n]);
        self.held.drain(..n);
    }
}

/// End of a chunked message (RFC 9112, section 7.1), after the end of the chunk before it.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";
/// Number of bytes up to which they are held back.
const MAX_HELD: usize = READ_SIZE;

/// Holds back what a socket receives until a wait ends, the message ends or the peer closes the
/// connection.
///
/// A host that is short of processor time handles the events of a stream in batches: to read an
/// event costs a third of what it costs to read and forward it.
///
/// # Examples
///
/// ```
/// use portfield_net::{coarse_timer::CoarseTimer, socket::ReadGate};
///
/// let (gate, timer) = (ReadGate::default(), CoarseTimer::default());
/// gate.close_until(timer.wait(2));
/// assert!(gate.is_closed());
/// timer.advance();
/// timer.advance();
/// assert!(!gate.is_closed());
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReadGate {
    state: Arc<Mutex<GateState>>,
}

#[derive(Debug, Default)]
struct GateState {
    wait: Option<EventListener>,
    /// Bytes passed on when the gate last opened.
    n_released: usize,
}

impl ReadGate {
    /// Holds back what is received from now on until a wait ends.
    pub fn close_until(&self, wait: EventListener) {
        *self.state() = GateState { wait: Some(wait), n_released: 0 };
    }

    /// Returns how many bytes the gate held back when it last opened.
    pub fn n_released(&self) -> usize {
        self.state().n_released
    }

    /// Returns whether bytes are held back.
    pub fn is_closed(&self) -> bool {
        let waker = std::task::Waker::noop();
        self.poll_open(&mut Context::from_waker(waker)).is_pending()
    }

    /// Stops holding back what is received.
    pub fn open(&self) {
        self.release(0);
    }

    /// Opens the gate to pass on a number of bytes.
    fn release(&self, n_released: usize) {
        *self.state() = GateState { wait: None, n_released };
    }

    fn state(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn poll_open(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state();
        if let Some(it) = &mut state.wait {
            ready!(Pin::new(it).poll(cx));
            state.wait = None;
        }
        Poll::Ready(())
    }
}

/// Aborts the write of a request whose caller has left.
///
/// Between handing a request to its connection and the write, all other tasks may run: over a second at a host that is
/// short of processor time. At one such host, 7 to 51 requests per day reached their upstreams over half a second after
/// their callers had left. The check costs one system call per request.
///
/// # Examples
///
/// ```
/// use portfield_net::socket::CallerCheck;
///
/// let caller_check = CallerCheck::default();
/// assert!(!caller_check.has_aborted(), "no request was written yet");
/// ```
#[derive(Debug, Clone, Default)]
pub struct CallerCheck {
    state: Arc<Mutex<CallerCheckState>>,
}

#[derive(Debug, Default)]
struct CallerCheckState {
    /// Connection of the caller whose request is written next; `None` once it was checked.
    caller: Option<Arc<Async<TcpStream>>>,
    has_aborted: bool,
}

impl CallerCheck {
    /// Sets the connection of the caller whose request is written next.
    pub fn set_caller(&self, caller: Arc<Async<TcpStream>>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.caller = Some(caller);
    }

    /// Returns whether a request was aborted. No part of it was written.
    pub fn has_aborted(&self) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).has_aborted
    }

    /// Checks, before the first bytes of a request are written, that its caller is still connected.
    fn check_caller(&self) -> io::Result<()> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.caller.take().is_some_and(|it| is_closed_by_peer(&it)) {
            state.has_aborted = true;
            return Err(io::Error::new(io::ErrorKind::ConnectionAborted, "the caller has left"));
        }
        Ok(())
    }
}

impl From<Arc<Async<TcpStream>>> for Socket {
    fn from(stream: Arc<Async<TcpStream>>) -> Self {
        Self {
            stream,
            is_drained: false,
            caller_check: None,
            read_gate: None,
            held: Vec::new(),
            read_error: None,
            write_timeout: None,
            stall: None,
        }
    }
}

impl From<Async<TcpStream>> for Socket {
    fn from(stream: Async<TcpStream>) -> Self {
        Arc::new(stream).into()
    }
}

impl From<async_net::TcpStream> for Socket {
    fn from(stream: async_net::TcpStream) -> Self {
        Arc::<Async<TcpStream>>::from(stream).into()
    }
}

/// Returns whether the peer has closed the connection. Only reliable once all received data was
/// read.
///
/// # Examples
///
/// ```
/// use portfield_net::socket;
///
/// # fn main() -> std::io::Result<()> {
/// let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
/// let caller = std::net::TcpStream::connect(listener.local_addr()?)?;
/// let stream = async_io::Async::new(listener.accept()?.0)?;
/// assert!(!socket::is_closed_by_peer(&stream));
/// drop(caller);
/// futures_lite::future::block_on(stream.readable())?;
/// assert!(socket::is_closed_by_peer(&stream));
/// # Ok(())
/// # }
/// ```
pub fn is_closed_by_peer(stream: &Async<TcpStream>) -> bool {
    match stream.get_ref().peek(&mut [0; 1]) {
        Ok(n) => n == 0,
        Err(err) => !matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
    }
}

impl hyper::rt::Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.held.is_empty()
            && let Some(err) = self.read_error.take()
        {
            return Poll::Ready(Err(err));
        }
        let gate = self.read_gate.as_ref();
        let is_closed = gate.is_some_and(|it| it.poll_open(cx).is_pending());
        if is_closed || !self.held.is_empty() {
            self.poll_held(cx, &mut buf)
        } else {
            self.poll_read_through(cx, buf)
        }
    }
}

impl Socket {
    /// Reads without holding anything back.
    fn poll_read_through(
        &mut self,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let max_len = buf.remaining().min(READ_SIZE);
        loop {
            if self.is_drained {
                ready!(self.stream.poll_readable(cx))?;
                self.is_drained = false;
            }
            let res = READ_BUFFER.with_borrow_mut(|buffer| {
                let n = self.stream.get_ref().read(&mut buffer[..max_len])?;
                buf.put_slice(&buffer[..n]);
                Ok::<_, io::Error>(n)
            });
            match res {
                Ok(n) => {
                    // At the end of the stream each read returns 0 at once; the reactor need not
                    // report it again.
                    self.is_drained = 0 < n && n < max_len;
                    return Poll::Ready(Ok(()));
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => self.is_drained = true,
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }

    /// Reads what arrives, and passes it on once the gate opens, the message or the connection ends,
    /// or too much is held.
    fn poll_held(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let is_full = MAX_HELD <= self.held.len() || self.has_message_end();
        if !is_full && let Poll::Pending = self.poll_fill(cx)? {
            let gate = self.read_gate.as_ref();
            let is_closed = gate.is_some_and(|it| it.poll_open(cx).is_pending());
            if is_closed || self.held.is_empty() {
                return Poll::Pending;
            }
        }
        if let Some(it) = &self.read_gate {
            it.release(self.held.len());
        }
        // Nothing at the end of the stream.
        self.take_held(buf);
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(it) = &self.caller_check {
            it.check_caller()?;
        }
        loop {
            match self.stream.get_ref().write(buf) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.poll_writable(cx))?;
                }
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                res => {
                    self.stall = None;
                    return Poll::Ready(res);
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Writes are not buffered.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match self.stream.get_ref().shutdown(Shutdown::Write) {
            // The peer has closed the connection already.
            Err(err) if err.kind() == io::ErrorKind::NotConnected => Ok(()),
            res => res,
        })
    }
}
