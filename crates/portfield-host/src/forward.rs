//! Forwards one request to upstreams until one responds, and returns the response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use portfield::{balance::Completion, catalog::Upstream, upstream::Liveness};
use portfield_net::{clock, panics};
use portfield_platform::response::{BodyDelimiter, ResponseHead};

use crate::{
    attempt::{self, RunGuard, UpstreamResponse},
    call::Call,
    exchange::Exchange,
    liveness::PLAIN_OPEN_TIME,
    pool::Connection,
    quarantine,
    read_ahead::PartWriter,
    relay,
    response::{Body, Failure},
    state::Host,
    streams,
};

/// Serves a request until its response is complete or streaming.
pub(crate) async fn serve_request(host: Arc<Host>, mut call: Call) -> Response<Body> {
    host.deposit_retry(call.placement.service);
    let resolved = streams::resolve_origin(&host, &mut call).await;
    let mut exchange = Exchange::new(host, call);
    if let Err(failure) = resolved {
        return exchange.into_failure_response(failure);
    }
    loop {
        let response = match exchange.next_response(None).await {
            Ok(it) => it,
            Err(failure) => return exchange.into_failure_response(failure),
        };
        let res = if exchange.call.kind().is_stream() && response.parts.status.is_success() {
            relay::relay_stream(exchange, response).await
        } else {
            relay_plain(exchange, response).await
        };
        match res {
            Ok(it) => return it,
            Err(it) => exchange = it,
        }
    }
}

/// Bytes up to which a plain response is read to its end before its caller gets any of it: a safe
/// request whose response breaks by then is repeated.
const MAX_WHOLE_BYTES: u64 = 256 << 10;

/// Why a response whose end its connection delimits counts as broken.
const UPSTREAM_ENDED: &str = "the upstream ended, and may not have sent the whole answer";

/// A plain response that is being read.
#[derive(Debug)]
struct PlainResponse {
    exchange: Exchange,
    body: Incoming,
    head: ResponseHead,
    connection: Connection,
    run: RunGuard,
    upstream: Arc<Upstream>,
    is_error: bool,
}

impl PlainResponse {
    /// Returns the next part of the body, `None` at its end.
    ///
    /// # Errors
    ///
    /// Why the response broke.
    async fn next(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            let remaining = self.exchange.call.remaining();
            match clock::timeout(remaining, self.body.frame()).await {
                Some(None) => return Ok(None),
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Some(Err(err))) => return Err(attempt::error_chain(&err)),
                None => return Err("the answer did not end in time".to_owned()),
            }
        }
    }

    /// Records the end of the body, which frees the upstream's slot, and returns the connection to the
    /// pool.
    fn finish(self) -> FinishedResponse {
        let Self { exchange, head, connection, mut run, upstream, is_error, .. } = self;
        run.record_first();
        run.end(if is_error { Completion::Error } else { Completion::Done });
        let delimiter = head.delimiter;
        if head.may_reuse_connection() {
            exchange.host.pool.put(upstream.wire_id(), connection, head.idle_timeout);
        }
        FinishedResponse { exchange, upstream, delimiter, ended: clock::now() }
    }

    /// Records that the response broke.
    fn record_broken(&mut self, cause: &str) {
        self.run.end(Completion::Broken);
        self.exchange.record_broken_response(&self.upstream, cause);
    }

    /// Reads the rest of a response of which the caller gets parts meanwhile; `part` was read already.
    async fn stream(mut self, mut part: Bytes, parts: PartWriter, status: StatusCode) {
        self.run.record_first();
        let first = clock::now();
        let mut was_blocked;
        let cause = loop {
            was_blocked = !parts.try_push(&part);
            if was_blocked {
                let remaining = self.exchange.call.remaining();
                if clock::timeout(remaining, parts.push(&part)).await.is_none() {
                    break "the caller did not read the answer in time".to_owned();
                }
            }
            match self.next().await {
                Ok(Some(it)) => part = it,
                Ok(None) => {
                    let mut finished = self.finish();
                    let res = finished.verify(status).await;
                    if res.is_ok() {
                        finished.record_answered(status, first);
                    }
                    parts.finish(res.map_err(str::to_owned));
                    return;
                }
                Err(cause) => break cause,
            }
        };
        if was_blocked {
            // The upstream, or the time of the request, ended while the caller did not read.
            self.run.end(Completion::Cancelled);
            self.exchange.host.metrics.count("answers_left_unread");
            log::info!(request = self.exchange.call.id, cause; "answer left unread");
        } else {
            self.record_broken(&cause);
        }
        parts.finish(Err(cause));
    }
}

/// A plain response whose body has ended.
#[derive(Debug)]
struct FinishedResponse {
    exchange: Exchange,
    upstream: Arc<Upstream>,
    delimiter: BodyDelimiter,
    /// When the body ended.
    ended: Duration,
}

impl FinishedResponse {
    /// Checks that the body is whole: where the end of the connection delimits it, its upstream must
    /// live on.
    ///
    /// # Errors
    ///
    /// Why the response counts as broken.
    async fn verify(&mut self, status: StatusCode) -> Result<(), &'static str> {
        let Self { exchange, upstream, delimiter, .. } = self;
        match exchange.check_end(upstream, *delimiter, PLAIN_OPEN_TIME).await {
            Liveness::Ended => {
                exchange.record_broken_response(upstream, UPSTREAM_ENDED);
                return Err(UPSTREAM_ENDED);
            }
            Liveness::Alive if status.is_success() => {
                let call = &exchange.call;
                quarantine::record_success(&exchange.host, &call.id, &call.keys, upstream);
            }
            Liveness::Alive | Liveness::Unclear => {}
        }
        Ok(())
    }

    /// Logs the complete response; its first part arrived at `first`.
    fn record_answered(&mut self, status: StatusCode, first: Duration) {
        self.exchange.record_answered(status, first, 0, self.delimiter);
    }
}

/// Passes a plain response on. One of up to [`MAX_WHOLE_BYTES`] is read to its end first, as far as
/// memory allows. The connection of a caller who already got a part of a response that breaks is
/// broken off, so that it never looks complete.
///
/// # Errors
///
/// The exchange, if the response broke or is a server error, and the request may be sent again.
async fn relay_plain(
    exchange: Exchange,
    response: Box<UpstreamResponse>,
) -> Result<Response<Body>, Exchange> {
    let UpstreamResponse { mut parts, body, head, connection, run, upstream } = *response;
    let status = parts.status;
    let is_error = status.is_server_error();
    let mut length = body.size_hint().exact();
    let (writer, reader) = PartWriter::new(exchange.call.held.clone());
    let mut plain = PlainResponse { exchange, body, head, connection, run, upstream, is_error };
    if states_not_run(status) {
        // The upstream does not state that it did not run the request, so this host must not.
        plain.run.end(Completion::Error);
        let cause = format!("the upstream answered {} and may have run it", status.as_u16());
        let exchange = plain.exchange;
        return if exchange.may_retry() { Err(exchange) } else { Ok(fail(exchange, cause)) };
    }
    let mut n_read = 0;
    let rest = loop {
        match plain.next().await {
            Ok(None) => break None,
            Ok(Some(part)) => {
                n_read += part.len() as u64;
                if MAX_WHOLE_BYTES < n_read || !writer.try_push(&part) {
                    break Some(part);
                }
            }
            Err(cause) => {
                plain.record_broken(&cause);
                let exchange = plain.exchange;
                return if exchange.may_retry() {
                    Err(exchange)
                } else {
                    Ok(fail(exchange, cause))
                };
            }
        }
    };
    portfield_platform::request::remove_hop_by_hop(&mut parts.headers);
    let host = plain.exchange.host.clone();
    let Some(part) = rest else {
        let mut finished = plain.finish();
        writer.finish(Ok(()));
        length = length.or(Some(n_read));
        let res = Response::from_parts(parts, reader.with_length(length).boxed_unsync());
        if is_error && finished.exchange.may_retry() {
            // Without the check, an error that may be cut short is not kept.
            if finished.delimiter != BodyDelimiter::Close {
                finished.exchange.store_error(res);
            }
            return Err(finished.exchange);
        }
        if let Err(cause) = finished.verify(status).await {
            let exchange = finished.exchange;
            return if exchange.may_retry() {
                Err(exchange)
            } else {
                Ok(fail(exchange, cause.to_owned()))
            };
        }
        let first = finished.ended;
        finished.record_answered(status, first);
        return Ok(res);
    };
    if is_error && plain.exchange.may_retry() {
        plain.run.end(Completion::Error);
        return Err(plain.exchange);
    }
    host.metrics.count("answers_streamed");
    let task = host.rt.spawn_cancellable(async move {
        panics::catch_async("answer", plain.stream(part, writer, status)).await;
    });
    let body = reader.with_length(length).with_task(task);
    Ok(Response::from_parts(parts, body.boxed_unsync()))
}

/// Returns whether a status tells the caller that its request did not run and will not.
fn states_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the final response to a request that may have run.
fn fail(exchange: Exchange, cause: String) -> Response<Body> {
    let failure = Failure::outcome_unknown(StatusCode::BAD_GATEWAY, cause);
    exchange.into_failure_response(failure)
}
