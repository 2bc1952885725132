//! gRPC between portfield's processes, on `async-io` instead of a tokio runtime.

use std::{
    convert::Infallible,
    io,
    pin::Pin,
    sync::atomic::{AtomicU64, Ordering},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncRead, AsyncWrite};
use http::uri::{Authority, Scheme, Uri};
use hyper::{
    body::Incoming,
    client::conn::http2::{self as client, SendRequest},
    server::conn::http2 as server,
};
use smol_hyper::rt::FuturesIo;
use tonic::body::Body;
use tower_service::Service;

use crate::{
    clock,
    rt::Runtime,
    wire::{peers_client::PeersClient, scheduler_client::SchedulerClient},
};

/// Time between two pings of an idle connection.
const PING_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which a connection with an unanswered ping is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);

/// Returns the bytes of gRPC traffic that this process has sent and received, including HTTP/2
/// framing.
pub fn control_traffic() -> (u64, u64) {
    (SENT_BYTES.load(Ordering::Relaxed), RECEIVED_BYTES.load(Ordering::Relaxed))
}

/// HTTP/2 connection to a scheduler or a peer host.
#[derive(Debug, Clone)]
pub struct Channel {
    sender: SendRequest<Body>,
    authority: Authority,
}

impl Channel {
    /// Performs the HTTP/2 handshake on an open connection and drives it in a task.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket or the handshake.
    pub async fn open(rt: &Runtime, stream: TcpStream) -> io::Result<Self> {
        let authority = stream.peer_addr()?.to_string().parse().map_err(io::Error::other)?;
        let (sender, connection) = client::Builder::new(rt.clone())
            .timer(HyperTimer)
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .handshake(FuturesIo::new(CountingStream { stream }))
            .await
            .map_err(io::Error::other)?;
        rt.spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { sender, authority })
    }

    /// Returns a client for the `Scheduler` service of the remote process.
    pub fn scheduler(&self) -> SchedulerClient<Self> {
        SchedulerClient::new(self.clone()).max_decoding_message_size(MAX_MESSAGE)
    }

    /// Returns a client for the `Peers` service of the remote host.
    pub fn peers(&self) -> PeersClient<Self> {
        PeersClient::new(self.clone()).max_decoding_message_size(MAX_MESSAGE)
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Largest message in bytes, enough for a complete fleet configuration.
const MAX_MESSAGE: usize = 16 << 20;

impl Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(cx)
    }

    fn call(&mut self, mut request: http::Request<Body>) -> Self::Future {
        let mut parts = std::mem::take(request.uri_mut()).into_parts();
        parts.scheme = Some(Scheme::HTTP);
        parts.authority = Some(self.authority.clone());
        *request.uri_mut() = Uri::from_parts(parts).unwrap_or_default();
        Box::pin(self.sender.send_request(request))
    }
}

/// Serves a gRPC service on a listener until the process ends.
pub async fn serve<S>(rt: Runtime, listener: TcpListener, service: S)
where
    S: Service<http::Request<Body>, Response = http::Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            clock::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let adapter = TonicAdapter { service: service.clone() };
        let connection = server::Builder::new(rt.clone())
            .timer(HyperTimer)
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .serve_connection(FuturesIo::new(CountingStream { stream }), adapter);
        rt.spawn(async move {
            let _ = connection.await;
        });
    }
}

/// Adapts a tonic service to hyper's `Service` trait.
struct TonicAdapter<T> {
    service: T,
}

impl<T, F> hyper::service::Service<http::Request<Incoming>> for TonicAdapter<T>
where
    T: Service<http::Request<Body>, Response = http::Response<Body>, Future = F> + Clone,
    F: Future<Output = Result<http::Response<Body>, T::Error>> + Send + 'static,
{
    type Response = http::Response<Body>;
    type Error = T::Error;
    type Future = F;

    fn call(&self, request: http::Request<Incoming>) -> Self::Future {
        self.service.clone().call(request.map(Body::new))
    }
}

/// Timers of `async-io` for hyper.
#[derive(Debug, Clone, Copy)]
pub struct HyperTimer;

impl hyper::rt::Timer for HyperTimer {
    fn sleep(&self, time: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep { timer: async_io::Timer::after(time) })
    }

    fn sleep_until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep { timer: async_io::Timer::at(at) })
    }
}

struct Sleep {
    timer: async_io::Timer,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.timer).poll(cx).map(|_| ())
    }
}

impl hyper::rt::Sleep for Sleep {}

/// A TCP stream that adds its bytes to [`control_traffic`].
struct CountingStream {
    stream: TcpStream,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.stream).poll_read(cx, buf);
        count_bytes(&RECEIVED_BYTES, &res);
        res
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.stream).poll_write(cx, buf);
        count_bytes(&SENT_BYTES, &res);
        res
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

fn count_bytes(counter: &AtomicU64, res: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(n)) = res {
        counter.fetch_add(*n as u64, Ordering::Relaxed);
    }
}
