//! TCP connections for hyper that need few system calls.

use std::{
    cell::RefCell,
    fmt,
    io::{self, Read, Write},
    net::{Shutdown, TcpStream},
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use async_io::Async;
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
        Self { stream, is_drained: false, caller_check: None, write_timeout: None, stall: None }
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
