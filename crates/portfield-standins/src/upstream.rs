//! Stand-in for an upstream: an engine that streams tokens, or a plain service.
//!
//! A request whose body has `max_tokens` is a generation, any other a plain call. Executions are
//! counted by request ID and by the body's `order`, so that tests can compare the outcomes that
//! callers were given with what was executed.

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

/// Time without a reader after which a generation is cancelled.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the reported load is updated, so that it lags by up to this much.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Increase of the token interval for each running request, as a fraction of the interval.
const BATCH_SLOWDOWN: f64 = 0.02;

/// Response times of an upstream without load.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Interval between tokens of a generation that runs alone.
    pub token_interval: Duration,
    /// Latency of a plain call.
    pub call_latency: Duration,
}

/// Fault that an upstream injects into a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Closes the connection before it reads the request.
    CloseUnread,
    /// Reads the request and closes the connection without executing it.
    CloseUnrun,
    /// Executes the request and closes the connection without a response.
    CloseRun,
    /// Executes the request and closes the connection within the response head.
    CloseHead,
    /// Executes a plain call and closes the connection within the response body.
    CloseBody,
    /// Sends a second response after that of a plain call.
    ExtraBytes,
    /// Sends an interim response before that of a plain call.
    Interim,
    /// Refuses the request without executing it.
    Decline,
    /// Executes the request and never responds.
    Hang,
    /// Closes the connection within the fourth event of a stream; the stream can be resumed.
    BreakStream,
}

/// Settings that tests change at run time by POST `/switches`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Fault to inject.
    pub fault: Fault,
    /// Number of times left to inject the fault; 0 for no limit.
    pub times: u32,
    /// Whether the health response announces that the upstream is leaving.
    pub leaving: bool,
    /// Factor by which all requests take longer; 0 counts as 1.
    pub slowdown: u32,
}

/// Generation with its progress; it goes on while nobody reads it.
#[derive(Debug, Default)]
struct TokenStream {
    n_produced: u32,
    n_total: u32,
    echo: String,
    is_cancelled: bool,
    n_readers: u32,
    /// Time at which the last reader left, at first the time of the start, by [`clock::now`].
    last_read: Duration,
}

#[derive(Debug, Default)]
struct State {
    settings: Settings,
    /// Number of requests in execution.
    n_running: u32,
    /// Largest `n_running` so far.
    max_running: u32,
    /// Time and value of the load in the health response.
    last_report: (Duration, u32),
    /// Number of executions by request ID.
    request_runs: HashMap<String, u32>,
    /// Number of executions by `order` of the body.
    order_runs: HashMap<String, u32>,
    /// Streams by ID.
    streams: HashMap<String, TokenStream>,
    /// Number of streams started.
    n_streams: u64,
    /// Number of streams cancelled, by a caller or for lack of a reader.
    n_cancelled: u32,
    /// Number of tokens produced by all streams.
    n_tokens: u64,
}

/// Handle of an upstream; clones share the same state.
#[derive(Debug, Clone)]
struct Upstream {
    rt: Runtime,
    timing: Timing,
    state: Arc<Mutex<State>>,
}

/// Body of a generation or a plain call.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WorkloadBody {
    /// Number of tokens to generate; `None` for a plain call.
    max_tokens: Option<u32>,
    /// Text to repeat in the response.
    echo: String,
    /// Name under which executions are counted.
    order: Option<String>,
}

/// Interval at which [`is_workload_request`] checks for more bytes.
const PEEK_INTERVAL: Duration = Duration::from_millis(1);

/// Serves an upstream until the process ends.
pub async fn serve(rt: Runtime, listener: TcpListener, timing: Timing) {
    let upstream = Upstream { rt: rt.clone(), timing, state: Arc::default() };
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let upstream = upstream.clone();
        rt.spawn(async move {
            // Injected faults break connections, so errors are expected.
            let _ = upstream.handle_connection(stream).await;
        });
    }
}

/// Returns whether a request is a generation or a plain call, without consuming its bytes.
///
/// [`Fault::CloseUnread`] applies only to these: requests for health, runs and settings don't
/// use it up.
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
    /// Serves one request.
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

    /// Executes a generation or a plain call, with faults injected on the way.
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

    /// Responds to a plain call.
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

    /// Starts a stream and sends its events.
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

    /// Sends a stream's events after `last_event`, or 404 if the stream doesn't exist.
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

    /// Produces a stream's tokens until it is complete or cancelled, with or without a reader;
    /// without one it is cancelled after [`ORPHAN_TIMEOUT`].
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

    /// Sends a response with a stream's events after `last_event`, and counts itself as a reader.
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

    /// Sends a stream's events after `last_event` as they are produced.
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
                    // The connection ends within an event, not between two.
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

    /// Returns the produced tokens, total tokens, cancellation and echo of a stream.
    fn stream_progress(&self, id: &str) -> Option<(u32, u32, bool, String)> {
        let state = self.lock();
        let it = state.streams.get(id)?;
        Some((it.n_produced, it.n_total, it.is_cancelled, it.echo.clone()))
    }

    /// Updates a stream, if it exists.
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

    /// Counts an execution of a request.
    fn record_run(&self, request: &Request, body: &WorkloadBody) {
        let mut state = self.lock();
        let id = header_value(request, "x-portfield-request-id");
        *state.request_runs.entry(id).or_default() += 1;
        if let Some(it) = &body.order {
            *state.order_runs.entry(it.clone()).or_default() += 1;
        }
    }

    /// Returns whether to inject `fault` now, and counts this injection down.
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

/// Returns the value of a header, or an empty string.
fn header_value(request: &Request, name: &str) -> String {
    request.header(name).map(|it| it.as_str().to_owned()).unwrap_or_default()
}

/// Encodes text as a chunk of a chunked body.
fn encode_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends a response with a JSON body.
async fn send_response(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Answer\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    stream.flush().await
}
