//! A TCP connection as hyper wants it, with few system calls.

use std::{
    cell::RefCell,
    io::{self, Read, Write},
    net::{Shutdown, TcpStream},
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
};

use async_io::Async;
use hyper::rt::ReadBufCursor;

/// Bytes read with one system call, the size that hyper reads with in the end; an event has 100.
const READ_SIZE: usize = 16 << 10;

thread_local! {
    /// Where bytes are read to before hyper takes them: shared, so that an idle connection
    /// holds no memory.
    static SCRATCH: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_SIZE].into());
}

/// A TCP connection for hyper.
///
/// hyper polls a connection whenever anything goes on, also to learn of its end. A socket that
/// is asked each time answers three times in four that it has nothing; this one remembers
/// that it was drained and waits for the reactor's word.
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
    /// The last read took all there was: nothing more until the reactor says so.
    is_drained: bool,
    guard: Option<CallerCheck>,
}

impl Socket {
    /// Builds the socket of a connection whose requests are each looked at once more when they are written.
    pub fn with_caller_check(stream: Async<TcpStream>, guard: CallerCheck) -> Self {
        Self { guard: Some(guard), ..Arc::new(stream).into() }
    }
}

/// Stops a request whose caller has left at the moment at which it would be written.
///
/// Between handing a request to its connection and the write lies a turn of all tasks: over a second at a host that is
/// short of processor time. Of the requests of one such host 7 to 51 a day reached their upstreams over half a second
/// after their callers had left. The look is one system call a request.
///
/// # Examples
///
/// ```
/// use portfield_net::socket::CallerCheck;
///
/// let guard = CallerCheck::default();
/// assert!(!guard.has_aborted(), "nothing was to be written");
/// ```
#[derive(Debug, Clone, Default)]
pub struct CallerCheck {
    state: Arc<Mutex<CallerCheckState>>,
}

#[derive(Debug, Default)]
struct CallerCheckState {
    /// The connection of the caller whose request is to be written.
    caller: Option<Arc<Async<TcpStream>>>,
    has_aborted: bool,
}

impl CallerCheck {
    /// Sets whose request is to be written next.
    pub fn set_caller(&self, caller: Arc<Async<TcpStream>>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.caller = Some(caller);
    }

    /// Returns whether a request was stopped; nothing of it was written.
    pub fn has_aborted(&self) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).has_aborted
    }

    /// Looks for the caller before the first bytes of its request.
    fn check(&self) -> io::Result<()> {
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
        Self { stream, is_drained: false, guard: None }
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

/// Returns whether the other end has closed a connection of which all that came was read.
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
        let n_wanted = buf.remaining().min(READ_SIZE);
        loop {
            if self.is_drained {
                ready!(self.stream.poll_readable(cx))?;
                self.is_drained = false;
            }
            let read = SCRATCH.with_borrow_mut(|scratch| {
                let n = self.stream.get_ref().read(&mut scratch[..n_wanted])?;
                buf.put_slice(&scratch[..n]);
                Ok::<_, io::Error>(n)
            });
            match read {
                Ok(n) => {
                    // The end of the stream is told again with each read, without the reactor.
                    self.is_drained = 0 < n && n < n_wanted;
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
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(it) = &self.guard {
            it.check()?;
        }
        loop {
            match self.stream.get_ref().write(buf) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.stream.poll_writable(cx))?;
                }
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                res => return Poll::Ready(res),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is held back here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match self.stream.get_ref().shutdown(Shutdown::Write) {
            // The other end went first.
            Err(err) if err.kind() == io::ErrorKind::NotConnected => Ok(()),
            res => res,
        })
    }
}
