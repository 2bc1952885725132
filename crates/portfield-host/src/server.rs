//! The side towards callers.

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
    clock, panics,
    rpc::HyperTimer,
    socket::{self, Socket},
};

use crate::{
    call::Call,
    forward,
    response::{Body, CALLER_LEFT, CALLER_LEFT_RETRY, Failure},
    state::Host,
};

/// Time that a connection may be idle before a configuration says so.
const FIRST_IDLE: Duration = Duration::from_secs(30);
/// Idle time allowed above the configuration's, as a factor: callers use connections up to
/// that limit, and a request must not cross the close.
const IDLE_SLACK: f64 = 1.5;
/// Time to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Largest head read, where the configuration names a smaller one; hyper's own least is 8 KB.
const MAX_HEAD: usize = 64 << 10;

/// Serves callers until `stop` closes, then until every connection has ended.
pub(crate) async fn serve(host: Arc<Host>, listener: TcpListener, stop: Receiver<()>) {
    let (open, all_closed) = async_channel::bounded::<()>(1);
    loop {
        let accept = async { Some(listener.accept().await) };
        match future::or(wait_for_stop(&stop), accept).await {
            None => break,
            Some(Err(err)) => {
                host.handle_fd_exhaustion(&err);
                clock::sleep(ACCEPT_PAUSE).await;
            }
            Some(Ok((stream, _))) => {
                let (task, stop, open) = (host.clone(), stop.clone(), open.clone());
                host.ingress.record_accepted();
                host.rt.spawn(async move {
                    // Else a request that ends this host would go to the next one.
                    let served = serve_connection(task.clone(), stream, stop);
                    panics::catch_async("caller's connection", served).await;
                    task.ingress.record_closed();
                    drop(open);
                });
            }
        }
    }
    drop((listener, open));
    // Ends with an error: nobody sends, and the last connection has dropped its sender.
    let _ = all_closed.recv().await;
}

async fn wait_for_stop<T>(stop: &Receiver<()>) -> Option<T> {
    let _ = stop.recv().await;
    None
}

async fn serve_connection(host: Arc<Host>, stream: TcpStream, stop: Receiver<()>) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(err:%; "option not set");
    }
    let idle = host.active_config().map_or(FIRST_IDLE, |it| it.catalog.limits().idle_timeout);
    let stream = Arc::<Async<std::net::TcpStream>>::from(stream);
    let told_to_close = AtomicBool::new(false);
    let service = service_fn(|request| {
        let (host, caller, told_to_close) = (host.clone(), stream.clone(), &told_to_close);
        async move {
            let res = handle_request(host, &caller, request).await;
            told_to_close.store(res.headers().contains_key(header::CONNECTION), Ordering::Relaxed);
            Ok::<_, Infallible>(res)
        }
    });
    let connection = http1::Builder::new()
        .timer(HyperTimer)
        .header_read_timeout(idle.mul_f64(IDLE_SLACK))
        .max_buf_size(MAX_HEAD)
        .serve_connection(Socket::from(stream.clone()), service);
    let mut connection = std::pin::pin!(connection);
    let ended = async { Some(connection.as_mut().await) };
    let res = match future::or(ended, wait_for_stop(&stop)).await {
        Some(res) => res,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if !told_to_close.load(Ordering::Relaxed) && res.is_ok() {
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
    let (mut res, answered) = match read_request(&host, caller, request).await {
        Ok(call) => (forward::serve_request(host.clone(), call).await, AnswerKind::Served),
        Err(it) => {
            log::info!(
                request = id, status = it.status.as_u16(), field = it.field, reason = it.reason,
                config = host.config_version(); "rejected"
            );
            host.metrics.count(&format!("rejected{{status=\"{}\"}}", it.status.as_u16()));
            (it.to_response(&id), it.answered)
        }
    };
    if host.should_close(answered) {
        res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Reads a request whose caller still waits for an answer.
///
/// A request may have waited in the socket longer than its caller: while the process stood still, or had no
/// descriptor left to accept the connection. hyper sees the end only after the request is on its way:
/// requests reach upstreams up to 10 s after their callers have left.
///
/// # Errors
///
/// The answer to a request that is not to be passed on.
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
