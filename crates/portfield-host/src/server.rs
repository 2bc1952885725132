//! HTTP server for callers.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_channel::Receiver;
use async_io::Async;
use async_net::{TcpListener, TcpStream};
use futures_lite::future;
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use portfield::balance::AnswerKind;
use portfield_net::{
    clock,
    coarse_timer::HyperTimer,
    panics,
    socket::{self, Socket},
};
use socket2::SockRef;

use crate::{
    call::Call,
    forward, held_memory,
    lifecycle::INGRESS_PERIOD,
    read_ahead,
    response::{Body, CALLER_LEFT, CALLER_LEFT_RETRY, Failure},
    state::Host,
};

/// Idle time allowed on a connection before a configuration sets it.
const DEFAULT_IDLE: Duration = Duration::from_secs(30);
/// Factor on the configured idle time: callers use connections up to that limit, and a request must
/// not cross with the close.
const IDLE_FACTOR: f64 = 1.5;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum size of a request head in bytes, even if the configuration sets a lower one; hyper's
/// minimum is 8 KB.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Serves callers until `stop` closes, then until every connection has ended.
pub(crate) async fn serve(host: Arc<Host>, listener: TcpListener, stop: Receiver<()>) {
    // Accepted connections inherit it, which saves a system call each.
    if let Err(err) = SockRef::from(&listener).set_tcp_nodelay(true) {
        log::debug!(err:%; "TCP_NODELAY not set");
    }
    let (open_guard, all_closed) = async_channel::bounded::<()>(1);
    loop {
        let accept = async { Some(listener.accept().await) };
        match future::or(wait_for_stop(&stop), accept).await {
            None => break,
            Some(Err(err)) => {
                host.handle_accept_failure(&err);
                clock::sleep(ACCEPT_PAUSE).await;
            }
            Some(Ok((stream, _))) => {
                let (task, stop, open_guard) = (host.clone(), stop.clone(), open_guard.clone());
                host.ingress.record_accepted();
                host.rt.spawn(async move {
                    // Contains panics: a request that crashes this host would otherwise be retried
                    // at, and crash, the next one.
                    let served = serve_connection(task.clone(), stream, stop);
                    panics::catch_async("caller's connection", served).await;
                    task.ingress.record_closed();
                    drop(open_guard);
                });
            }
        }
    }
    drop((listener, open_guard));
    // Returns an error once the last connection dropped its sender; nothing is ever sent.
    let _ = all_closed.recv().await;
}

async fn wait_for_stop<T>(stop: &Receiver<()>) -> Option<T> {
    let _ = stop.recv().await;
    None
}

async fn serve_connection(host: Arc<Host>, stream: TcpStream, stop: Receiver<()>) {
    if let Some(it) = held_memory::socket_buffer(host.settings().memory_mb)
        && let Err(err) = SockRef::from(&stream).set_send_buffer_size(it)
    {
        log::debug!(err:%; "send buffer not bounded");
    }
    let idle = host.active_config().map_or(DEFAULT_IDLE, |it| it.catalog.limits().idle_timeout);
    let stream = Arc::<Async<std::net::TcpStream>>::from(stream);
    let sent_close = AtomicBool::new(false);
    let service = service_fn(|request| {
        let (host, caller, sent_close) = (host.clone(), stream.clone(), &sent_close);
        async move {
            let res = handle_request(host, &caller, request).await;
            sent_close.store(res.headers().contains_key(header::CONNECTION), Ordering::Relaxed);
            Ok::<_, Infallible>(res)
        }
    });
    let stalled_caller = host.settings().stalled_caller;
    let socket = Socket::from(stream.clone()).with_write_timeout(stalled_caller);
    let connection = http1::Builder::new()
        .timer(HyperTimer::new(host.second_timer.clone(), INGRESS_PERIOD))
        .header_read_timeout(idle.mul_f64(IDLE_FACTOR))
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(socket, service);
    let mut connection = std::pin::pin!(connection);
    let ended = async { Some(connection.as_mut().await) };
    let res = match future::or(ended, wait_for_stop(&stop)).await {
        Some(res) => res,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if !sent_close.load(Ordering::Relaxed) && res.is_ok() {
        host.ingress.record_caller_close();
    }
    if let Err(err) = res {
        host.metrics.count("caller_connections_broken");
        log::debug!(err:%; "caller's connection ended");
    }
}

async fn handle_request(
    host: Arc<Host>,
    caller: &Arc<Async<std::net::TcpStream>>,
    request: Request<Incoming>,
) -> Response<Body> {
    host.metrics.count("requests");
    host.ingress.record_request();
    let id = request.headers().get(portfield_platform::request::ATTEMPT_ID);
    let id = id.and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned();
    let mut workspace = 0;
    let (mut res, answer_kind) = match read_request(&host, caller, request).await {
        // Boxed, so that the future of a refused request is small.
        Ok(call) => {
            workspace = call.placement.workspace;
            let held = call.held.clone();
            let served = Box::pin(forward::serve_request(host.clone(), call));
            (served.await.map(|it| read_ahead::account(held, it)), AnswerKind::Served)
        }
        Err(it) => {
            log::info!(
                request = id, status = it.status.as_u16(), field = it.field, reason = it.reason,
                config = host.config_version(); "rejected"
            );
            host.metrics.count(&format!("rejected{{status=\"{}\"}}", it.status.as_u16()));
            (it.to_response(&id), it.answer_kind)
        }
    };
    if host.should_close(answer_kind, workspace) {
        res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Reads a request, unless its caller has disconnected.
///
/// A request may have waited in the socket for longer than its caller did: while the process was
/// suspended, or out of file descriptors to accept the connection with. hyper notices the
/// disconnect only after the request was forwarded; such requests reached upstreams up to 10 s
/// after their callers left.
///
/// # Errors
///
/// The response to a request that must not be forwarded.
async fn read_request(
    host: &Host,
    caller: &Arc<Async<std::net::TcpStream>>,
    request: Request<Incoming>,
) -> Result<Call, Failure> {
    let call = Call::read(host, caller, request).await?;
    if socket::is_closed_by_peer(caller) {
        host.metrics.count("callers_left_before");
        return Err(Failure::unavailable(CALLER_LEFT, CALLER_LEFT_RETRY));
    }
    Ok(call)
}
