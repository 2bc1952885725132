//! The way of one request: sent until an upstream answers, and answered.

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

/// Serves a request to its end.
pub(crate) async fn serve_request(host: Arc<Host>, call: Call) -> Response<Body> {
    host.deposit_retry(call.job.service);
    let mut exchange = Exchange::new(host, call);
    loop {
        let live = match exchange.next_answer(None).await {
            Ok(it) => it,
            Err(failure) => return exchange.give_up(failure),
        };
        let res = if exchange.call.kind().is_stream() && live.parts.status.is_success() {
            relay::relay_stream(exchange, live).await
        } else {
            buffer_response(exchange, live).await
        };
        match res {
            Ok(it) => return it,
            Err(it) => exchange = it,
        }
    }
}

/// Reads an answer whole before it is passed on, so that one that breaks never looks whole.
///
/// # Errors
///
/// The exchange, where the answer broke or is an error and the request may be sent again.
async fn buffer_response(
    mut exchange: Exchange,
    live: Box<UpstreamResponse>,
) -> Result<Response<Body>, Exchange> {
    let UpstreamResponse { mut parts, body, head, connection, mut run, upstream } = *live;
    let bytes = match clock::timeout(exchange.call.left(), body.collect()).await {
        Some(Ok(it)) => it.to_bytes(),
        broken => {
            let cause = match broken {
                Some(Err(err)) => attempt::error_chain(&err),
                _ => "the answer did not end in time".to_owned(),
            };
            run.end(Completion::Broken);
            exchange.broke(&upstream, &cause);
            if exchange.may_repeat() {
                return Err(exchange);
            }
            return Ok(exchange.give_up(Failure::outcome_unknown(StatusCode::BAD_GATEWAY, cause)));
        }
    };
    let first = clock::now();
    run.first();
    let is_error = parts.status.is_server_error();
    run.end(if is_error { Completion::Error } else { Completion::Done });
    if head.keep_alive {
        exchange.host.pool.put(upstream.wire_id(), connection, head.idle_timeout);
    }
    portfield_platform::request::remove_hop_by_hop(&mut parts.headers);
    let body = Full::new(bytes).map_err(|it| match it {}).boxed_unsync();
    let status = parts.status;
    let res = Response::from_parts(parts, body);
    if is_error && exchange.may_repeat() {
        exchange.keep_error(res);
        return Err(exchange);
    }
    if status.is_success() {
        quarantine::record_success(&exchange.host, &exchange.call);
    }
    exchange.answered(status, first, 0);
    Ok(res)
}
