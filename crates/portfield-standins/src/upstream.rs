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
const ORPHAN_LIMIT: Duration = Duration::from_secs(5);
/// The load that is reported is this old.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Each running generation makes the others' tokens later by this part of a token time.
const BATCH_COST: f64 = 0.02;

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
struct Stream {
    produced: u32,
    total: u32,
    echo: String,
    cancelled: bool,
    readers: u32,
    last_read: Duration,
}

#[derive(Debug, Default)]
struct State {
    switches: Settings,
    running: u32,
    most_running: u32,
    reported: (Duration, u32),
    runs: HashMap<String, u32>,
    orders: HashMap<String, u32>,
    streams: HashMap<String, Stream>,
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
struct Generation {
    max_tokens: Option<u32>,
    echo: String,
    order: Option<String>,
}

/// Time between two looks at a request that has not come far enough.
const PEEK_PERIOD: Duration = Duration::from_millis(1);

/// Serves an upstream until the process ends.
pub async fn serve(rt: Runtime, listener: TcpListener, timing: Timing) {
    let upstream = Upstream { rt: rt.clone(), timing, state: Arc::default() };
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let upstream = upstream.clone();
        rt.spawn(async move {
            let _ = upstream.connection(stream).await;
        });
    }
}

/// Looks, without reading, whether a request asks for work: questions for health and runs, and
/// switches, take no fault.
async fn is_work(stream: &TcpStream) -> io::Result<bool> {
    let mut start = [0; b"POST /switches".len()];
    loop {
        let n = stream.peek(&mut start).await?;
        if n == 0 || n == start.len() {
            return Ok(start.starts_with(b"POST") && &start != b"POST /switches");
        }
        clock::sleep(PEEK_PERIOD).await;
    }
}

impl Upstream {
    async fn connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        if is_work(&stream).await? && self.takes_fault(Fault::CloseUnread) {
            return Ok(());
        }
        let decoded = async_h1::server::decode(stream.clone()).await;
        let Ok(Some((mut request, _))) = decoded else { return Ok(()) };
        let body = request.body_bytes().await.unwrap_or_default();
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/health") => self.health(&mut stream).await,
            (Method::Get, "/runs") => self.show_runs(&mut stream).await,
            (Method::Post, "/switches") => self.switch(&mut stream, &body).await,
            (Method::Get, _) if path.starts_with("/streams/") => {
                let last = header(&request, "last-event-id").parse().unwrap_or(0);
                self.resume(&mut stream, &path["/streams/".len()..], last).await
            }
            (Method::Delete, _) => {
                self.cancel(path.trim_start_matches("/streams/"));
                answer(&mut stream, 200, "{}").await
            }
            _ => self.work(&mut stream, &request, &body).await,
        }
    }

    async fn work(&self, stream: &mut TcpStream, request: &Request, body: &[u8]) -> io::Result<()> {
        if self.takes_fault(Fault::CloseUnrun) {
            return Ok(());
        }
        if self.takes_fault(Fault::Decline) {
            let head =
                "HTTP/1.1 503 Busy\r\nx-portfield-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
            return stream.write_all(head.as_bytes()).await;
        }
        let generation: Generation = serde_json::from_slice(body).unwrap_or_default();
        self.count_run(request, &generation);
        if self.takes_fault(Fault::Hang) {
            return std::future::pending().await;
        }
        if self.takes_fault(Fault::CloseRun) {
            return Ok(());
        }
        if self.takes_fault(Fault::CloseHead) {
            return stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le").await;
        }
        match generation.max_tokens {
            Some(n) => self.generate(stream, n, generation.echo).await,
            None => self.call(stream, generation.echo).await,
        }
    }

    async fn call(&self, stream: &mut TcpStream, echo: String) -> io::Result<()> {
        self.enter();
        clock::sleep(self.timing.call_latency * self.slowdown()).await;
        self.leave();
        let body = json!({ "echo": echo }).to_string();
        if self.takes_fault(Fault::Interim) {
            stream.write_all(b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n").await?;
        }
        if self.takes_fault(Fault::CloseBody) {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).await?;
            return stream.write_all(&body.as_bytes()[..body.len() / 2]).await;
        }
        answer(stream, 200, &body).await?;
        if self.takes_fault(Fault::ExtraBytes) {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong").await?;
        }
        Ok(())
    }

    async fn generate(&self, stream: &mut TcpStream, total: u32, echo: String) -> io::Result<()> {
        let id = {
            let mut state = self.lock();
            state.n_streams += 1;
            let id = format!("s{}", state.n_streams);
            let it = Stream { total, echo, last_read: clock::now(), ..Stream::default() };
            state.streams.insert(id.clone(), it);
            id
        };
        self.enter();
        self.rt.spawn(self.clone().produce(id.clone()));
        self.send_events(stream, &id, 0).await
    }

    async fn resume(&self, stream: &mut TcpStream, id: &str, last: u32) -> io::Result<()> {
        if !self.lock().streams.contains_key(id) {
            return answer(stream, 404, "{}").await;
        }
        self.send_events(stream, id, last).await
    }

    /// Makes a stream's tokens, whether or not somebody reads them.
    async fn produce(self, id: String) {
        loop {
            let load = f64::from(self.lock().running);
            let token = self.timing.token_interval * self.slowdown();
            clock::sleep(token.mul_f64(1.0 + BATCH_COST * load)).await;
            let mut state = self.lock();
            state.n_tokens += 1;
            let Some(it) = state.streams.get_mut(&id) else { break };
            let orphaned = it.readers == 0 && it.last_read + ORPHAN_LIMIT < clock::now();
            if it.cancelled || orphaned {
                it.cancelled = true;
                state.n_cancelled += 1;
                break;
            }
            it.produced += 1;
            if it.total <= it.produced {
                break;
            }
        }
        self.leave();
    }

    async fn send_events(&self, stream: &mut TcpStream, id: &str, last: u32) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-stream-id: {id}\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        self.change(id, |it| it.readers += 1);
        let res = self.send_tokens(stream, id, last).await;
        self.change(id, |it| {
            it.readers -= 1;
            it.last_read = clock::now();
        });
        res
    }

    async fn send_tokens(&self, stream: &mut TcpStream, id: &str, last: u32) -> io::Result<()> {
        let mut sent = last;
        let broken = self.takes_fault(Fault::BreakStream);
        loop {
            let Some((produced, total, cancelled, echo)) = self.progress(id) else { return Ok(()) };
            while sent < produced {
                sent += 1;
                let event = format!("id: {sent}\ndata: {echo} {sent}\n\n");
                if broken && last + 3 < sent {
                    // Half of an event goes out, then the connection ends.
                    let half = &event[..event.len() / 2];
                    stream.write_all(chunk(half).as_bytes()).await?;
                    return Ok(());
                }
                stream.write_all(chunk(&event).as_bytes()).await?;
            }
            if sent == total {
                return stream.write_all(b"0\r\n\r\n").await;
            }
            if cancelled {
                return Ok(());
            }
            clock::sleep(self.timing.token_interval / 4).await;
        }
    }

    fn progress(&self, id: &str) -> Option<(u32, u32, bool, String)> {
        let state = self.lock();
        let it = state.streams.get(id)?;
        Some((it.produced, it.total, it.cancelled, it.echo.clone()))
    }

    fn change(&self, id: &str, f: impl FnOnce(&mut Stream)) {
        if let Some(it) = self.lock().streams.get_mut(id) {
            f(it);
        }
    }

    fn cancel(&self, id: &str) {
        self.change(id, |it| it.cancelled = true);
    }

    async fn health(&self, stream: &mut TcpStream) -> io::Result<()> {
        let body = {
            let mut state = self.lock();
            if state.reported.0 + REPORT_LAG < clock::now() {
                state.reported = (clock::now(), state.running);
            }
            json!({ "running": state.reported.1, "leaving": state.switches.leaving }).to_string()
        };
        answer(stream, 200, &body).await
    }

    async fn show_runs(&self, stream: &mut TcpStream) -> io::Result<()> {
        let body = {
            let state = self.lock();
            json!({
                "runs": state.runs,
                "orders": state.orders,
                "running": state.running,
                "most_running": state.most_running,
                "cancelled": state.n_cancelled,
                "tokens": state.n_tokens,
            })
            .to_string()
        };
        answer(stream, 200, &body).await
    }

    async fn switch(&self, stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
        match serde_json::from_slice(body) {
            Ok(it) => {
                self.lock().switches = it;
                answer(stream, 200, "{}").await
            }
            Err(err) => answer(stream, 400, &json!({ "error": err.to_string() }).to_string()).await,
        }
    }

    fn count_run(&self, request: &Request, generation: &Generation) {
        let mut state = self.lock();
        let id = header(request, "x-portfield-request-id");
        *state.runs.entry(id).or_default() += 1;
        if let Some(it) = &generation.order {
            *state.orders.entry(it.clone()).or_default() += 1;
        }
    }

    fn takes_fault(&self, fault: Fault) -> bool {
        let mut state = self.lock();
        let switches = &mut state.switches;
        if switches.fault != fault {
            return false;
        }
        if switches.times == 1 {
            switches.fault = Fault::None;
        }
        switches.times = switches.times.saturating_sub(1);
        true
    }

    fn enter(&self) {
        let mut state = self.lock();
        state.running += 1;
        state.most_running = state.most_running.max(state.running);
    }

    fn leave(&self) {
        self.lock().running -= 1;
    }

    fn slowdown(&self) -> u32 {
        self.lock().switches.slowdown.max(1)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn header(request: &Request, name: &str) -> String {
    request.header(name).map(|it| it.as_str().to_owned()).unwrap_or_default()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn answer(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Answer\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    stream.flush().await
}
