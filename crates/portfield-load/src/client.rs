//! Caller of one request: sends it, reads the complete response and checks that it belongs to the
//! request.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode, Url};
use portfield_net::clock;
use portfield_replay::trace::Arrival;
use serde_json::json;

use crate::measurements::{Measurements, Outcome};

/// A request to send.
#[derive(Debug, Clone)]
pub(crate) struct PendingRequest {
    pub idx: usize,
    pub arrival: Arrival,
    pub router: SocketAddr,
    pub token: String,
}

/// Sends one request and records its times, tokens and outcome.
pub(crate) async fn send(pending: PendingRequest, measurements: Arc<Mutex<Measurements>>) {
    lock(&measurements).record_start(&pending.arrival);
    let outcome = match exchange(&pending, &measurements).await {
        Ok(it) => it,
        Err(_) => Outcome::Lost,
    };
    lock(&measurements).record_outcome(pending.idx, &pending.arrival, outcome);
}

async fn exchange(
    pending: &PendingRequest,
    measurements: &Mutex<Measurements>,
) -> http_types::Result<Outcome> {
    let it = &pending.arrival;
    let echo = format!("echo-{}", pending.idx);
    let is_plain = it.cost <= 1;
    let body = if is_plain {
        json!({ "echo": echo, "order": echo })
    } else {
        json!({ "echo": echo, "max_tokens": it.cost, "prompt": format!("prefix {}", it.prefix) })
    };
    let url = Url::parse(&format!("http://{}/{}/run", pending.router, it.service))?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header("authorization", format!("Bearer {}", pending.token));
    request.insert_header("connection", "close");
    if 0 < it.hint {
        request.insert_header("x-portfield-hint", it.hint.to_string());
    }
    if it.batch {
        request.insert_header("x-portfield-class", "batch");
    }
    request.set_body(body.to_string());
    let stream = TcpStream::connect(pending.router).await?;
    let response = async_h1::connect(stream, request).await?;
    if response.status() != StatusCode::Ok {
        return Ok(error_outcome(response).await);
    }
    if is_plain {
        return read_plain(response, &echo).await;
    }
    read_events(response, pending, &echo, measurements).await
}

/// Returns the outcome of a response whose status is not 200.
async fn error_outcome(response: Response) -> Outcome {
    let outcome = response.header("x-portfield-outcome").map(|it| it.as_str());
    match outcome {
        Some("not-run") => Outcome::Refused,
        _ => Outcome::Unknown,
    }
}

async fn read_plain(mut response: Response, echo: &str) -> http_types::Result<Outcome> {
    let text = response.body_string().await?;
    let expected = json!({ "echo": echo }).to_string();
    Ok(if text == expected { Outcome::Whole } else { Outcome::Wrong })
}

/// Reads an event stream and checks that every event belongs to this request and is the next in order.
async fn read_events(
    mut response: Response,
    pending: &PendingRequest,
    echo: &str,
    measurements: &Mutex<Measurements>,
) -> http_types::Result<Outcome> {
    let mut body = response.take_body();
    let mut text = String::new();
    let mut buf = vec![0; 4096];
    let mut n_events = 0;
    let start = clock::now();
    loop {
        let len = body.read(&mut buf).await?;
        if len == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            n_events += 1;
            if event != format!("id: {n_events}\ndata: {echo} {n_events}\n\n") {
                return Ok(Outcome::Wrong);
            }
            if n_events == 1 {
                lock(measurements).record_first_token(&pending.arrival);
            }
            lock(measurements).record_token(&pending.arrival);
        }
    }
    let mean_gap = (clock::now() - start) / n_events.max(1);
    lock(measurements).record_token_gap(mean_gap);
    Ok(if n_events == pending.arrival.cost { Outcome::Whole } else { Outcome::Lost })
}

fn lock(measurements: &Mutex<Measurements>) -> MutexGuard<'_, Measurements> {
    measurements.lock().unwrap_or_else(PoisonError::into_inner)
}
