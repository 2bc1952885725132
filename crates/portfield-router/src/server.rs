//! HTTP/1.1 server for callers, built on hyper.
//!
//! **NOTE:** The project's style guide prescribes `async-h1`, but that accepts requests that break a
//! guarantee, such as truncated bodies. docs/design/http.md lists them and says why hyper is used
//! instead.

use std::{
    convert::Infallible,
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use async_channel::Receiver;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, future};
use http::{Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use portfield_net::rpc::HyperTimer;
use smol_hyper::rt::FuturesIo;

use crate::{
    app::App,
    call::{Call, read_body},
    dispatch,
    response::{Body, REQUEST_ID, Rejection},
};

/// Largest number of headers in a request.
const MAX_HEADERS: usize = 64;
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Start of the response that hyper generates for a malformed head.
const HYPER_ERROR_PREFIX: &[u8] = b"HTTP/1.1 4";

/// Accepts connections until `stop` closes, then waits until every connection has ended.
pub(crate) async fn serve(app: Arc<App>, listener: TcpListener, stop: Receiver<()>) {
    let (open, all_closed) = async_channel::bounded::<()>(1);
    loop {
        let accept = async { Some(listener.accept().await) };
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        match future::or(stopped, accept).await {
            None => break,
            Some(Err(err)) => log::warn!(err:%; "accepting a connection failed"),
            Some(Ok((stream, _))) => {
                let (app, stop, open) = (app.clone(), stop.clone(), open.clone());
                app.clone().rt.spawn(async move {
                    serve_connection(app, stream, stop).await;
                    drop(open);
                });
            }
        }
    }
    drop((listener, open));
    let _ = all_closed.recv().await;
}

async fn serve_connection(app: Arc<App>, stream: TcpStream, stop: Receiver<()>) {
    app.counters.connections.fetch_add(1, Ordering::Relaxed);
    let _ = stream.set_nodelay(true);
    let has_suppressed = Arc::new(AtomicBool::new(false));
    let head_buffer = HeadBuffer::default();
    let caller_stream = CallerStream {
        stream: stream.clone(),
        has_suppressed: has_suppressed.clone(),
        head_buffer: head_buffer.clone(),
    };
    let service = service_fn(|request| {
        let (app, head_buffer) = (app.clone(), head_buffer.clone());
        async move { Ok::<_, Infallible>(handle(app, &head_buffer, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(HyperTimer)
        .header_read_timeout(app.settings.head_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(FuturesIo::new(caller_stream), service);
    let mut connection = std::pin::pin!(connection);
    let stopped = async {
        let _ = stop.recv().await;
        None
    };
    let ended = async { Some(connection.as_mut().await) };
    let res = match future::or(ended, stopped).await {
        Some(res) => res,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    app.counters.connections.fetch_sub(1, Ordering::Relaxed);
    if let Err(err) = res {
        write_rejection(&app, stream, &err, has_suppressed.load(Ordering::Relaxed)).await;
    }
}

async fn handle(
    app: Arc<App>,
    head_buffer: &HeadBuffer,
    request: Request<Incoming>,
) -> Response<Body> {
    let id = app.next_id();
    match read_call(&app, &id, head_buffer, request).await {
        Ok(call) => dispatch::serve(app, call).await,
        Err(it) => {
            app.counters.rejected.fetch_add(1, Ordering::Relaxed);
            app.record(&id, 0, format!("rejected: {} {}", it.field, it.text));
            it.to_response(&id)
        }
    }
}

/// Reads and validates a request.
async fn read_call(
    app: &App,
    id: &str,
    head_buffer: &HeadBuffer,
    request: Request<Incoming>,
) -> Result<Call, Rejection> {
    if request.headers().contains_key(header::TRANSFER_ENCODING) && head_buffer.has_content_length()
    {
        let text = "send Content-Length or Transfer-Encoding, not both";
        return Err(Rejection::invalid(StatusCode::BAD_REQUEST, "transfer-encoding", text));
    }
    let fleet = app.fleet();
    if fleet.revision == 0 {
        let text = "no configuration is in force yet";
        return Err(Rejection::invalid(StatusCode::SERVICE_UNAVAILABLE, "", text));
    }
    let (parts, body) = request.into_parts();
    let mut call = Call::parse(id, &fleet, parts)?;
    call.body = read_body(body, app.settings.body_limit).await?;
    head_buffer.clear();
    Ok(call)
}

/// Responds to a malformed, too large or late head with the reason.
async fn write_rejection(
    app: &App,
    mut stream: TcpStream,
    err: &hyper::Error,
    has_suppressed: bool,
) {
    let status = if err.is_parse_too_large() {
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
    } else if err.is_timeout() {
        StatusCode::REQUEST_TIMEOUT
    } else if has_suppressed {
        StatusCode::BAD_REQUEST
    } else {
        return;
    };
    let id = app.next_id();
    app.counters.rejected.fetch_add(1, Ordering::Relaxed);
    let rejection = Rejection::invalid(status, "head", err.to_string());
    let body = rejection.json_body(&id);
    let reason = status.canonical_reason().unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {} {reason}\r\n{REQUEST_ID}: {id}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        status.as_u16(),
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&body).await;
}

/// A caller's connection that suppresses hyper's own response to a malformed head, which has no
/// body, so that [`write_rejection`] can send one with a body.
struct CallerStream {
    stream: TcpStream,
    has_suppressed: Arc<AtomicBool>,
    head_buffer: HeadBuffer,
}

/// The bytes received since the last request was read, up to the largest head.
///
/// A request with Transfer-Encoding and Content-Length must be rejected (RFC 9112, section 6.1).
/// hyper drops the Content-Length if it comes second, so the head is checked here.
#[derive(Debug, Clone, Default)]
struct HeadBuffer {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl HeadBuffer {
    fn push(&self, bytes: &[u8]) {
        let mut buffered = self.lock();
        let n = bytes.len().min(MAX_HEAD_BYTES.saturating_sub(buffered.len()));
        buffered.extend_from_slice(&bytes[..n]);
    }

    fn clear(&self) {
        self.lock().clear();
    }

    /// Returns whether the head contains a Content-Length.
    fn has_content_length(&self) -> bool {
        let bytes = self.lock();
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        let head = text.split("\r\n\r\n").next().unwrap_or_default();
        head.lines().any(|it| it.starts_with("content-length:"))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(n)) = res {
            self.head_buffer.push(&buf[..n]);
        }
        res
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let marker = REQUEST_ID.as_bytes();
        if buf.starts_with(HYPER_ERROR_PREFIX) && !buf.windows(marker.len()).any(|it| it == marker)
        {
            self.has_suppressed.store(true, Ordering::Relaxed);
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.has_suppressed.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
