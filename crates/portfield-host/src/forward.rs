//! Forwards one request to upstreams until one responds, and returns the response.

use std::sync::Arc;

use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use portfield::balance::Completion;
use portfield_net::clock;

use crate::{
    attempt::{self, UpstreamResponse},
    call::Call,
    exchange::Exchange,
    quarantine, relay,
    response::{Body, Failure},
    state::Host,
};

/// Serves a request until its response is complete or streaming.
pub(crate) async fn serve_request(host: Arc<Host>, call: Call) -> Response<Body> {
    host.deposit_retry(call.placement.service);
    let mut exchange = Exchange::new(host, call);
    loop {
        let response = match exchange.next_response(None).await {
            Ok(it) => it,
            Err(failure) => return exchange.into_failure_response(failure),
        };
        let res = if exchange.call.kind().is_stream() && response.parts.status.is_success() {
            relay::relay_stream(exchange, response).await
        } else {
            buffer_response(exchange, response).await
        };
        match res {
            Ok(it) => return it,
            Err(it) => exchange = it,
        }
    }
}

/// Reads a response to its end before passing it on, so that a broken one never looks complete.
///
/// # Errors
///
/// The exchange, if the response broke or is a server error, and the request may be sent again.
async fn buffer_response(
    mut exchange: Exchange,
    response: Box<UpstreamResponse>,
) -> Result<Response<Body>, Exchange> {
    let UpstreamResponse { mut parts, body, head, connection, mut run, upstream } = *response;
    let bytes = match clock::timeout(exchange.call.remaining(), body.collect()).await {
        Some(Ok(it)) => it.to_bytes(),
        broken => {
            let cause = match broken {
                Some(Err(err)) => attempt::error_chain(&err),
                _ => "the answer did not end in time".to_owned(),
            };
            run.end(Completion::Broken);
            exchange.record_broken_response(&upstream, &cause);
            if exchange.may_retry() {
                return Err(exchange);
            }
            return Ok(exchange
                .into_failure_response(Failure::outcome_unknown(StatusCode::BAD_GATEWAY, cause)));
        }
    };
    let first = clock::now();
    run.record_first();
    let is_error = parts.status.is_server_error();
    run.end(if is_error { Completion::Error } else { Completion::Done });
    if head.keep_alive {
        exchange.host.pool.put(upstream.wire_id(), connection, head.idle_timeout);
    }
    portfield_platform::request::remove_hop_by_hop(&mut parts.headers);
    let body = Full::new(bytes).map_err(|it| match it {}).boxed_unsync();
    let status = parts.status;
    let res = Response::from_parts(parts, body);
    if is_error && exchange.may_retry() {
        exchange.store_error(res);
        return Err(exchange);
    }
    if status.is_success() {
        quarantine::record_success(&exchange.host, &exchange.call);
    }
    exchange.record_answered(status, first, 0);
    Ok(res)
}
