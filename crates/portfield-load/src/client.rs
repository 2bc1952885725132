//! One caller: sends a request, reads its whole answer and checks that it is its own.

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

use crate::measure::{End, Measure};

/// A request on its way.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub idx: usize,
    pub arrival: Arrival,
    pub router: SocketAddr,
    pub token: String,
}

/// Sends one request and measures what comes back.
pub(crate) async fn run(sent: Sent, measure: Arc<Mutex<Measure>>) {
    lock(&measure).start(&sent.arrival);
    let end = match exchange(&sent, &measure).await {
        Ok(end) => end,
        Err(_) => End::Lost,
    };
    lock(&measure).end(sent.idx, &sent.arrival, end);
}

async fn exchange(sent: &Sent, measure: &Mutex<Measure>) -> http_types::Result<End> {
    let it = &sent.arrival;
    let echo = format!("echo-{}", sent.idx);
    let is_plain = it.cost <= 1;
    let body = if is_plain {
        json!({ "echo": echo, "order": echo })
    } else {
        json!({ "echo": echo, "max_tokens": it.cost, "prompt": format!("prefix {}", it.prefix) })
    };
    let url = Url::parse(&format!("http://{}/{}/run", sent.router, it.service))?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header("authorization", format!("Bearer {}", sent.token));
    request.insert_header("connection", "close");
    if 0 < it.hint {
        request.insert_header("x-portfield-hint", it.hint.to_string());
    }
    if it.batch {
        request.insert_header("x-portfield-class", "batch");
    }
    request.set_body(body.to_string());
    let stream = TcpStream::connect(sent.router).await?;
    let response = async_h1::connect(stream, request).await?;
    if response.status() != StatusCode::Ok {
        return Ok(refusal(response).await);
    }
    if is_plain {
        return plain(response, &echo).await;
    }
    events(response, sent, &echo, measure).await
}

async fn refusal(response: Response) -> End {
    let outcome = response.header("x-portfield-outcome").map(|it| it.as_str());
    match outcome {
        Some("not-run") => End::Refused,
        _ => End::Unknown,
    }
}

async fn plain(mut response: Response, echo: &str) -> http_types::Result<End> {
    let text = response.body_string().await?;
    let wanted = json!({ "echo": echo }).to_string();
    Ok(if text == wanted { End::Whole } else { End::Wrong })
}

/// Reads a stream: every event must be this request's, and the next in order.
async fn events(
    mut response: Response,
    sent: &Sent,
    echo: &str,
    measure: &Mutex<Measure>,
) -> http_types::Result<End> {
    let mut body = response.take_body();
    let mut text = String::new();
    let mut buf = vec![0; 4096];
    let mut n = 0;
    let began = clock::now();
    loop {
        let len = body.read(&mut buf).await?;
        if len == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            n += 1;
            if event != format!("id: {n}\ndata: {echo} {n}\n\n") {
                return Ok(End::Wrong);
            }
            if n == 1 {
                lock(measure).first(&sent.arrival);
            }
            lock(measure).token(&sent.arrival);
        }
    }
    let pace = (clock::now() - began) / n.max(1);
    lock(measure).pace(pace);
    Ok(if n == sent.arrival.cost { End::Whole } else { End::Lost })
}

fn lock(measure: &Mutex<Measure>) -> MutexGuard<'_, Measure> {
    measure.lock().unwrap_or_else(PoisonError::into_inner)
}
