//! Stand-in of an upstream: an engine that streams tokens, or a plain service.
//!
//! A body with `max_tokens` is a generation, anything else a plain call. Every run is
//! counted by the request's id and by the body's `order`, so that tests can hold what
//! callers were told against what really ran.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_net::{TcpListener, TcpStream};
use futures_lite::AsyncWriteExt;
use http_types::{Method, Request};
use portfield_net::{clock, rt::Runtime};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// A generation without a reader is cancelled after this time.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(5);
/// The load that is reported is this old.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Each running generation makes the others' tokens later by this part of a token time.
const BATCH_SLOWDOWN: f64 = 0.02;

/// How fast an upstream is.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time between two tokens, alone on the engine.
    pub token_interval: Duration,
    /// Time that a plain call takes.
    pub call_latency: Duration,
}

/// How an upstream misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// It doesn't.
    #[default]
    None,
    /// It closes before it reads the request.
    CloseUnread,
    /// It reads the request, doesn't run it, and closes.
    CloseUnrun,
    /// It runs the request and closes before it answers.
    CloseRun,
    /// It closes within the head of its answer.
    CloseHead,
    /// It closes within the body of its answer.
    CloseBody,
    /// Its body is longer than it says.
    ExtraBytes,
    /// It sends an interim answer first.
    Interim,
    /// It refuses before it runs the request.
    Decline,
    /// It runs the request and never answers.
    Hang,
    /// It breaks a stream after a few events; the stream can be resumed.
    BreakStream,
}

/// Settings of an upstream.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// How it misbehaves.
    pub fault: Fault,
    /// How many more times; zero is always.
    pub times: u32,
    /// It says that it leaves.
    pub leaving: bool,
    /// Everything takes so many times as long; zero is once.
    pub slowdown: u32,
}

#[derive(Debug, Default)]
struct TokenStream {
    n_produced: u32,
    n_total: u32,
    echo: String,
    is_cancelled: bool,
    n_readers: u32,
    last_read: Duration,
}

#[derive(Debug, Default)]
struct State {
    settings: Settings,
    n_running: u32,
    max_running: u32,
    last_report: (Duration, u32),
    request_runs: HashMap<String, u32>,
    order_runs: HashMap<String, u32>,
    streams: HashMap<String, TokenStream>,
    n_streams: u64,
    n_cancelled: u32,
    n_tokens: u64,
}

#[derive(Debug, Clone)]
struct Upstream {
    rt: Runtime,
    timing: Timing,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WorkloadBody {
    max_tokens: Option<u32>,
    echo: String,
    order: Option<String>,
}

/// Time between two looks at a request that has not come far enough.
const PEEK_INTERVAL: Duration = Duration::from_millis(1);

/// Serves an upstream until the process ends.
pub async fn serve(rt: Runtime, listener: TcpListener, timing: Timing) {
    let upstream = Upstream { rt: rt.clone(), timing, state: Arc::default() };
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let upstream = upstream.clone();
        rt.spawn(async move {
            let _ = upstream.handle_connection(stream).await;
        });
    }
}

/// Looks, without reading, whether a request asks for work: questions for health and runs, and
/// switches, take no fault.
async fn is_workload_request(stream: &TcpStream) -> io::Result<bool> {
    let mut start = [0; b"POST /switches".len()];
    loop {
        let n = stream.peek(&mut start).await?;
        if n == 0 || n == start.len() {
            return Ok(start.starts_with(b"POST") && &start != b"POST /switches");
        }
        clock::sleep(PEEK_INTERVAL).await;
    }
}

impl Upstream {
    async fn handle_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        if is_workload_request(&stream).await? && self.consume_fault(Fault::CloseUnread) {
            return Ok(());
        }
        let decoded = async_h1::server::decode(stream.clone()).await;
        let Ok(Some((mut request, _))) = decoded else { return Ok(()) };
        let body = request.body_bytes().await.unwrap_or_default();
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/health") => self.send_health(&mut stream).await,
            (Method::Get, "/runs") => self.send_runs(&mut stream).await,
            (Method::Post, "/switches") => self.update_settings(&mut stream, &body).await,
            (Method::Get, _) if path.starts_with("/streams/") => {
                let last_event = header_value(&request, "last-event-id").parse().unwrap_or(0);
                self.resume_stream(&mut stream, &path["/streams/".len()..], last_event).await
            }
            (Method::Delete, _) => {
                self.cancel_stream(path.trim_start_matches("/streams/"));
                send_response(&mut stream, 200, "{}").await
            }
            _ => self.handle_workload(&mut stream, &request, &body).await,
        }
    }

    async fn handle_workload(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        body: &[u8],
    ) -> io::Result<()> {
        if self.consume_fault(Fault::CloseUnrun) {
            return Ok(());
        }
        if self.consume_fault(Fault::Decline) {
            let head =
                "HTTP/1.1 503 Busy\r\nx-portfield-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
            return stream.write_all(head.as_bytes()).await;
        }
        let request_body: WorkloadBody = serde_json::from_slice(body).unwrap_or_default();
        self.record_run(request, &request_body);
        if self.consume_fault(Fault::Hang) {
            return std::future::pending().await;
        }
        if self.consume_fault(Fault::CloseRun) {
            return Ok(());
        }
        if self.consume_fault(Fault::CloseHead) {
            return stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le").await;
        }
        match request_body.max_tokens {
            Some(n) => self.handle_generation(stream, n, request_body.echo).await,
            None => self.handle_call(stream, request_body.echo).await,
        }
    }

    async fn handle_call(&self, stream: &mut TcpStream, echo: String) -> io::Result<()> {
        self.begin_execution();
        clock::sleep(self.timing.call_latency * self.slowdown_factor()).await;
        self.end_execution();
        let body = json!({ "echo": echo }).to_string();
        if self.consume_fault(Fault::Interim) {
            stream.write_all(b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n").await?;
        }
        if self.consume_fault(Fault::CloseBody) {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).await?;
            return stream.write_all(&body.as_bytes()[..body.len() / 2]).await;
        }
        send_response(stream, 200, &body).await?;
        if self.consume_fault(Fault::ExtraBytes) {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong").await?;
        }
        Ok(())
    }

    async fn handle_generation(
        &self,
        stream: &mut TcpStream,
        n_total: u32,
        echo: String,
    ) -> io::Result<()> {
        let id = {
            let mut state = self.lock();
            state.n_streams += 1;
            let id = format!("s{}", state.n_streams);
            let it =
                TokenStream { n_total, echo, last_read: clock::now(), ..TokenStream::default() };
            state.streams.insert(id.clone(), it);
            id
        };
        self.begin_execution();
        self.rt.spawn(self.clone().produce_tokens(id.clone()));
        self.send_stream(stream, &id, 0).await
    }

    async fn resume_stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        last_event: u32,
    ) -> io::Result<()> {
        if !self.lock().streams.contains_key(id) {
            return send_response(stream, 404, "{}").await;
        }
        self.send_stream(stream, id, last_event).await
    }

    /// Makes a stream's tokens, whether or not somebody reads them.
    async fn produce_tokens(self, id: String) {
        loop {
            let n_running = f64::from(self.lock().n_running);
            let interval = self.timing.token_interval * self.slowdown_factor();
            clock::sleep(interval.mul_f64(1.0 + BATCH_SLOWDOWN * n_running)).await;
            let mut state = self.lock();
            state.n_tokens += 1;
            let Some(it) = state.streams.get_mut(&id) else { break };
            let is_orphaned = it.n_readers == 0 && it.last_read + ORPHAN_TIMEOUT < clock::now();
            if it.is_cancelled || is_orphaned {
                it.is_cancelled = true;
                state.n_cancelled += 1;
                break;
            }
            it.n_produced += 1;
            if it.n_total <= it.n_produced {
                break;
            }
        }
        self.end_execution();
    }

    async fn send_stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        last_event: u32,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-stream-id: {id}\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        self.update_stream(id, |it| it.n_readers += 1);
        let res = self.send_events(stream, id, last_event).await;
        self.update_stream(id, |it| {
            it.n_readers -= 1;
            it.last_read = clock::now();
        });
        res
    }

    async fn send_events(
        &self,
        stream: &mut TcpStream,
        id: &str,
        last_event: u32,
    ) -> io::Result<()> {
        let mut sent = last_event;
        let is_broken = self.consume_fault(Fault::BreakStream);
        loop {
            let Some((n_produced, n_total, is_cancelled, echo)) = self.stream_progress(id) else {
                return Ok(());
            };
            while sent < n_produced {
                sent += 1;
                let event = format!("id: {sent}\ndata: {echo} {sent}\n\n");
                if is_broken && last_event + 3 < sent {
                    // Half of an event goes out, then the connection ends.
                    let half = &event[..event.len() / 2];
                    stream.write_all(encode_chunk(half).as_bytes()).await?;
                    return Ok(());
                }
                stream.write_all(encode_chunk(&event).as_bytes()).await?;
            }
            if sent == n_total {
                return stream.write_all(b"0\r\n\r\n").await;
            }
            if is_cancelled {
                return Ok(());
            }
            clock::sleep(self.timing.token_interval / 4).await;
        }
    }

    fn stream_progress(&self, id: &str) -> Option<(u32, u32, bool, String)> {
        let state = self.lock();
        let it = state.streams.get(id)?;
        Some((it.n_produced, it.n_total, it.is_cancelled, it.echo.clone()))
    }

    fn update_stream(&self, id: &str, f: impl FnOnce(&mut TokenStream)) {
        if let Some(it) = self.lock().streams.get_mut(id) {
            f(it);
        }
    }

    fn cancel_stream(&self, id: &str) {
        self.update_stream(id, |it| it.is_cancelled = true);
    }

    async fn send_health(&self, stream: &mut TcpStream) -> io::Result<()> {
        let body = {
            let mut state = self.lock();
            if state.last_report.0 + REPORT_INTERVAL < clock::now() {
                state.last_report = (clock::now(), state.n_running);
            }
            json!({ "running": state.last_report.1, "leaving": state.settings.leaving }).to_string()
        };
        send_response(stream, 200, &body).await
    }

    async fn send_runs(&self, stream: &mut TcpStream) -> io::Result<()> {
        let body = {
            let state = self.lock();
            json!({
                "runs": state.request_runs,
                "orders": state.order_runs,
                "running": state.n_running,
                "most_running": state.max_running,
                "cancelled": state.n_cancelled,
                "tokens": state.n_tokens,
            })
            .to_string()
        };
        send_response(stream, 200, &body).await
    }

    async fn update_settings(&self, stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
        match serde_json::from_slice(body) {
            Ok(it) => {
                self.lock().settings = it;
                send_response(stream, 200, "{}").await
            }
            Err(err) => {
                send_response(stream, 400, &json!({ "error": err.to_string() }).to_string()).await
            }
        }
    }

    fn record_run(&self, request: &Request, body: &WorkloadBody) {
        let mut state = self.lock();
        let id = header_value(request, "x-portfield-request-id");
        *state.request_runs.entry(id).or_default() += 1;
        if let Some(it) = &body.order {
            *state.order_runs.entry(it.clone()).or_default() += 1;
        }
    }

    fn consume_fault(&self, fault: Fault) -> bool {
        let mut state = self.lock();
        let settings = &mut state.settings;
        if settings.fault != fault {
            return false;
        }
        if settings.times == 1 {
            settings.fault = Fault::None;
        }
        settings.times = settings.times.saturating_sub(1);
        true
    }

    fn begin_execution(&self) {
        let mut state = self.lock();
        state.n_running += 1;
        state.max_running = state.max_running.max(state.n_running);
    }

    fn end_execution(&self) {
        self.lock().n_running -= 1;
    }

    fn slowdown_factor(&self) -> u32 {
        self.lock().settings.slowdown.max(1)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn header_value(request: &Request, name: &str) -> String {
    request.header(name).map(|it| it.as_str().to_owned()).unwrap_or_default()
}

fn encode_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn send_response(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Answer\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    stream.flush().await
}
