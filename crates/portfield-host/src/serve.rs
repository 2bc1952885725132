//! The way of one request: sent until an upstream answers, and answered.

use std::sync::Arc;

use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use portfield::balance::Ending;
use portfield_net::clock;

use crate::{
    answer::{Body, Failure},
    attempt::{self, Live},
    call::Call,
    exchange::Exchange,
    quarantine, relay,
    state::Host,
};

/// Serves a request to its end.
pub(crate) async fn run(host: Arc<Host>, call: Call) -> Response<Body> {
    host.earn_retry(call.job.service);
    let mut exchange = Exchange::new(host, call);
    loop {
        let live = match exchange.next_answer(None).await {
            Ok(it) => it,
            Err(failure) => return exchange.give_up(failure),
        };
        let res = if exchange.call.kind().is_stream() && live.parts.status.is_success() {
            relay::stream(exchange, live).await
        } else {
            whole(exchange, live).await
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
async fn whole(mut exchange: Exchange, live: Box<Live>) -> Result<Response<Body>, Exchange> {
    let Live { mut parts, body, head, connection, mut run, upstream } = *live;
    let bytes = match clock::timeout(exchange.call.left(), body.collect()).await {
        Some(Ok(it)) => it.to_bytes(),
        broken => {
            let cause = match broken {
                Some(Err(err)) => attempt::explain(&err),
                _ => "the answer did not end in time".to_owned(),
            };
            run.end(Ending::Broken);
            exchange.broke(&upstream, &cause);
            if exchange.may_repeat() {
                return Err(exchange);
            }
            return Ok(exchange.give_up(Failure::unknown(StatusCode::BAD_GATEWAY, cause)));
        }
    };
    let first = clock::now();
    run.first();
    let is_error = parts.status.is_server_error();
    run.end(if is_error { Ending::Error } else { Ending::Done });
    if head.keeps {
        exchange.host.pool.put(upstream.wire_id(), connection, head.idle);
    }
    portfield_platform::request::strip_hop(&mut parts.headers);
    let body = Full::new(bytes).map_err(|it| match it {}).boxed_unsync();
    let status = parts.status;
    let res = Response::from_parts(parts, body);
    if is_error && exchange.may_repeat() {
        exchange.keep_error(res);
        return Err(exchange);
    }
    if status.is_success() {
        quarantine::succeeded(&exchange.host, &exchange.call);
    }
    exchange.answered(status, first, 0);
    Ok(res)
}
