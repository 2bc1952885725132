//! Stand-ins for the cases of this review: the platform's store, upstreams and callers, and the
//! control of the host processes between them. Only the standard library is used.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    env, fs,
    fs::File,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Exit code of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Longest wait for a host to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(25);
/// Interval at which an upstream writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Name of the host in requests, and API key of the workspace `quarry`.
pub const DOMAIN: &str = "desk.example";
/// API key of the workspace.
pub const API_KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// Protocol of a run: what was sent, answered and run, with the time since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    lines: Arc<Mutex<Vec<String>>>,
    start: Instant,
}

impl Record {
    /// Creates the file, replacing that of an earlier run.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|err| give_up(&format!("{path}: {err}")));
        Self { file: Arc::new(Mutex::new(file)), lines: Arc::default(), start: Instant::now() }
    }

    /// Adds a line.
    pub fn add(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        self.lines.lock().unwrap().push(line);
    }

    /// Returns whether a line contains a text.
    pub fn contains(&self, text: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|it| it.contains(text))
    }
}

/// Processes that run on behalf of this one.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Records a process to be ended by [`give_up`].
pub fn add_child(id: u32) {
    CHILDREN.lock().unwrap().push(id);
}

/// Forgets a process that has ended.
pub fn remove_child(id: u32) {
    CHILDREN.lock().unwrap().retain(|it| *it != id);
}

/// Ends a case that cannot run, and the processes that it started.
pub fn give_up(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    for it in CHILDREN.lock().unwrap().iter() {
        let _ = Command::new("kill").arg("-KILL").arg(it.to_string()).status();
    }
    std::process::exit(NOT_RUN);
}

/// A JSON value, as far as the store has to read one.
#[derive(Debug, Clone)]
pub enum Json {
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
    Other,
}

impl Json {
    fn get(&self, name: &str) -> &Json {
        match self {
            Self::Table(it) => it.get(name).unwrap_or(&Json::Other),
            _ => &Json::Other,
        }
    }

    fn text(&self) -> &str {
        if let Self::Text(it) = self { it } else { "" }
    }

    fn list(&self) -> &[Json] {
        if let Self::List(it) = self { it } else { &[] }
    }

    /// Parses a value at the start of `text`, and removes it from there.
    fn parse(text: &mut &[u8]) -> Option<Json> {
        skip_blanks(text);
        match *text.first()? {
            b'{' => {
                let mut res = BTreeMap::new();
                loop {
                    *text = &text[1..];
                    skip_blanks(text);
                    if text.first() == Some(&b'}') {
                        break;
                    }
                    let Json::Text(key) = Self::parse(text)? else { return None };
                    skip_blanks(text);
                    *text = text.strip_prefix(b":")?;
                    res.insert(key, Self::parse(text)?);
                    skip_blanks(text);
                    if text.first() != Some(&b',') {
                        break;
                    }
                }
                *text = text.strip_prefix(b"}")?;
                Some(Json::Table(res))
            }
            b'[' => {
                let mut res = Vec::new();
                loop {
                    *text = &text[1..];
                    skip_blanks(text);
                    if text.first() == Some(&b']') {
                        break;
                    }
                    res.push(Self::parse(text)?);
                    skip_blanks(text);
                    if text.first() != Some(&b',') {
                        break;
                    }
                }
                *text = text.strip_prefix(b"]")?;
                Some(Json::List(res))
            }
            b'"' => {
                *text = &text[1..];
                let mut res = Vec::new();
                while *text.first()? != b'"' {
                    if text[0] == b'\\' {
                        *text = &text[1..];
                    }
                    res.push(*text.first()?);
                    *text = &text[1..];
                }
                *text = &text[1..];
                Some(Json::Text(String::from_utf8_lossy(&res).into_owned()))
            }
            _ => {
                let end = text.iter().position(|it| b",]} \n".contains(it)).unwrap_or(text.len());
                *text = &text[end..];
                Some(Json::Other)
            }
        }
    }
}

fn skip_blanks(text: &mut &[u8]) {
    *text = text.trim_ascii_start();
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut res = String::new();
    for it in bytes.chunks(3) {
        let n = it.iter().fold(0, |n, byte| n << 8 | u32::from(*byte)) << (8 * (3 - it.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char;
            res.push(if i <= it.len() { digit } else { '=' });
        }
    }
    res
}

/// An HTTP message: its first line, its headers by name in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header, empty without one.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|it| it.0 == name).map_or("", |it| &it.1)
    }

    /// Reads the head of a message, without its body; `None` if the connection ends before it.
    pub fn read_head(stream: &mut impl Read) -> io::Result<Option<Self>> {
        let (mut head, mut byte) = (Vec::new(), [0; 1]);
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte)? == 0 {
                return Ok(None);
            }
            head.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&head);
        let mut lines = text.split("\r\n").filter(|it| !it.is_empty());
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|it| it.split_once(':'));
        let headers = headers.map(|it| (it.0.to_lowercase(), it.1.trim().to_owned())).collect();
        Ok(Some(Self { first_line, headers, body: Vec::new() }))
    }

    /// Reads a request with a length; `None` if the connection ends before its head does.
    pub fn read(stream: &mut impl Read) -> io::Result<Option<Self>> {
        let Some(mut res) = Self::read_head(stream)? else { return Ok(None) };
        res.body = vec![0; res.header("content-length").parse().unwrap_or(0)];
        stream.read_exact(&mut res.body)?;
        Ok(Some(res))
    }
}

#[derive(Debug, Default)]
struct StoreState {
    version: u64,
    /// Values in base64 by table, part and key; `None` once deleted; with the version of the change.
    rows: BTreeMap<(String, String, String), (Option<String>, u64)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let res = Self { address: listener.local_addr()?, state: Arc::default() };
        let store = res.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(res)
    }

    /// Writes a row as the operator or an upstream does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, "", key, Some(base64(value.as_bytes())));
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), part.to_owned(), key.to_owned()), (value, version));
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let Some(request) = Message::read(&mut stream)? else { return Ok(()) };
        let target = request.first_line.split(' ').nth(1).unwrap_or_default().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let param = |name: &str| {
            let all = query.split('&').filter_map(|it| it.split_once('='));
            all.into_iter().find(|it| it.0 == name).map_or(String::new(), |it| it.1.to_owned())
        };
        let (status, body) = match path {
            "/api/rows-get" => (200, self.rows(&param("table"), &param("part"), &param("from"))),
            "/api/rows-parts" => (200, self.parts(&param("table"))),
            "/api/rows-feed" => {
                let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
                (200, self.feed(&param("table"), param("after").parse().unwrap_or(0), wait))
            }
            "/api/rows-tx" => self.transact(&request.body),
            _ => (404, "{}".to_owned()),
        };
        let head = format!("HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes())
    }

    fn rows(&self, table: &str, part: &str, from: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let rows = state.rows.iter().filter(|((in_table, in_part, key), (value, _))| {
            in_table == table && in_part == part && from <= key.as_str() && value.is_some()
        });
        let rows: Vec<String> = rows.map(row_json).collect();
        page_json(&rows, state.version)
    }

    fn parts(&self, table: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let live = state.rows.iter().filter(|it| it.0.0 == table && it.1.0.is_some());
        let mut parts: Vec<String> = live.map(|it| format!("\"{}\"", it.0.1)).collect();
        parts.dedup();
        format!(
            "{{\"parts\":[{}],\"row_version\":{},\"now_ms\":1}}",
            parts.join(","),
            state.version
        )
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changed = state.rows.iter().filter(|it| it.0.0 == table && after < it.1.1);
            let mut rows: Vec<_> = changed.collect();
            rows.sort_by_key(|it| it.1.1);
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows: Vec<String> = rows.into_iter().map(row_json).collect();
                return page_json(&rows, state.version);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(&mut &body[..]) else { return (400, "{}".to_owned()) };
        let writes = body.get("writes").list().iter();
        let is_read_only = |it: &Json| ["op", "servers"].contains(&it.get("table").text());
        if writes.clone().any(is_read_only) {
            return (403, "{}".to_owned());
        }
        let write = |it: &Json, value| {
            self.write(it.get("table").text(), it.get("part").text(), it.get("key").text(), value);
        };
        writes.for_each(|it| write(it, Some(it.get("value").text().to_owned())));
        body.get("remove").list().iter().for_each(|it| write(it, None));
        let version = self.state.0.lock().unwrap().version;
        (200, format!("{{\"row_version\":{version},\"now_ms\":1}}"))
    }
}

fn row_json(row: (&(String, String, String), &(Option<String>, u64))) -> String {
    let ((table, part, key), (value, version)) = row;
    let rest = match value {
        Some(it) => format!("\"value\":\"{it}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{rest},\"row_version\":{version}}}"
    )
}

fn page_json(rows: &[String], version: u64) -> String {
    let rows = rows.join(",");
    format!("{{\"rows\":[{rows}],\"has_more\":false,\"row_version\":{version},\"now_ms\":1}}")
}

/// Configuration of a small deployment: `ledger` takes plain requests, `scribe` streams.
pub fn config() -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, target: u32, rest: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{DOMAIN}\",\"prefix\":\"/{name}/\",\"route_kind\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":1,\"service\":\"{service}\",\
             \"public\":false{rest}}}"
        )
    };
    let routes = [
        route("order-post", "unsafe", "ledger", 3000, 300, ",\"max_attempts\":1"),
        route("stock-check", "safe", "ledger", 3000, 300, ",\"max_attempts\":2"),
        route("order-archive", "unsafe", "ledger", 12000, 800, ",\"max_attempts\":1"),
        route(
            "quote-draft",
            "streaming",
            "scribe",
            12000,
            800,
            ",\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"target_itl_ms\":400",
        ),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[\
         {{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":110}},\
         {{\"name\":\"scribe\",\"health_path\":\"/healthz\",\"max_conns\":370,\"engine\":{{\"slots\":64,\
         \"kv_capacity\":570274,\"kv_bytes\":163840,\"link_mbps\":550000.0,\"moves\":true,\"stride\":3}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tokens_per_s\":290000}},\
         \"tenants\":[{{\"name\":\"quarry\",\"api_keys\":[\"{API_KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Writes an upstream's entry now and at each heartbeat.
pub fn register(store: &Store, id: &str, service: &str, address: SocketAddr, slots: u32) {
    let (store, id, service) = (store.clone(), id.to_owned(), service.to_owned());
    let entry = move |seq: u64| {
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"kemnay-hall\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"seq\":{seq}}}"
        )
    };
    store.put("servers", &id, &entry(1));
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(HEARTBEAT);
            store.put("servers", &id, &entry(seq));
        }
    });
}

/// Starts an upstream's server; `respond` answers a request on its connection, and returns whether
/// the connection goes on. Requests for another upstream get 421.
pub fn serve_upstream(
    id: &str,
    respond: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (id, respond) = (id.to_owned(), Arc::new(respond));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, respond) = (id.clone(), respond.clone());
            thread::spawn(move || serve_connection(stream, &id, &*respond));
        }
    });
    Ok(address)
}

fn serve_connection(
    mut stream: TcpStream,
    id: &str,
    respond: &dyn Fn(&Message, &mut TcpStream) -> io::Result<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(request) = Message::read(&mut stream)? {
        let attempt = request.header("attempt-id");
        if request.first_line.contains(" /healthz ") {
            let head = format!("HTTP/1.1 200 OK\r\nReplica-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(head.as_bytes())?;
        } else if !["", id].contains(&request.header("expect-replica")) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nAttempt-Id: {attempt}\r\n\
                 Replica-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
        } else if !respond(&request, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Returns the head of an upstream's successful response; `rest` has further lines, each with its end.
pub fn success_head(id: &str, request: &Message, rest: &str) -> String {
    let attempt = request.header("attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nReplica-Signature: proof-of-{id}\r\n{rest}\r\n"
    )
}

/// A temporary folder, removed when dropped.
pub struct TempDir(pub PathBuf);

impl TempDir {
    /// Creates the folder.
    pub fn create() -> io::Result<Self> {
        let path = env::temp_dir().join(format!("portfield-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A host process, killed when dropped.
pub struct Host {
    pub child: Child,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    log: PathBuf,
}

impl Host {
    /// Starts a host with the deploy file's command and settings, and waits until it is ready.
    pub fn start(dir: &TempDir, store: &Store, name: &str) -> Self {
        let (settings, log) =
            (dir.0.join(format!("{name}.toml")), dir.0.join(format!("{name}.log")));
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"kemnay-hall\"\nlisten = \"127.0.0.1:0\"\n\
             ready = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n\
             store = \"{}\"\nseeds = []\ngrace_s = 8\nretry_ratio = 0.2\nretry_extra = 58\n\
             retry_window_s = 10\nshare_window_s = 4\ncontact_ms = 3000\ncache_transfer = \"on\"\n\
             engine_speed = \"off\"\ncapacity_shares = \"off\"\nmemory_limits = \"on\"\n\
             spread_placement = \"on\"\ningress_balance = \"off\"\nevent_delay_ms = 0\n\
             memory_mb = 260\ncpu_share = 0.25\n\n[regions]\n\"kemnay-hall\" = \"aberdeen\"\n",
            store.address
        );
        let start = || -> io::Result<Child> {
            fs::write(&settings, text)?;
            Command::new("target/release/portfield-host")
                .env_clear()
                .env("PORTFIELD_CONFIG", &settings)
                .stdin(Stdio::null())
                .stdout(File::create(&log)?)
                .spawn()
        };
        let child = start().unwrap_or_else(|err| give_up(&format!("portfield-host: {err}")));
        add_child(child.id());
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut res = Self { child, listen: unknown, ready: unknown, log };
        let end = Instant::now() + START_TIMEOUT;
        while !res.find_addresses() || !res.is_ready() {
            if end < Instant::now() {
                drop(res);
                give_up("the host did not become ready");
            }
            thread::sleep(Duration::from_millis(20));
        }
        res
    }

    /// Reads the addresses from the first line of the log.
    fn find_addresses(&mut self) -> bool {
        let text = self.log_text();
        let find = |key: &str| -> Option<SocketAddr> {
            let rest = text.split_once(&format!("\"{key}\":\""))?.1;
            rest.split_once('"')?.0.parse().ok()
        };
        let (Some(listen), Some(ready)) = (find("listen"), find("ready")) else { return false };
        (self.listen, self.ready) = (listen, ready);
        true
    }

    /// Returns what the host has logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Asks for readiness as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /api/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")?;
            let head = Message::read_head(&mut stream)?.unwrap_or_default();
            Ok(head.first_line.contains(" 200"))
        };
        ask().unwrap_or(false)
    }

    /// Sends a signal to this process, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").arg(format!("-{name}")).arg(id).status();
        if !status.is_ok_and(|it| it.success()) {
            give_up("the signal was not sent");
        }
    }

    /// Waits for the end of the process; returns whether it came in time.
    pub fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        remove_child(self.child.id());
    }
}

/// Returns the head of a caller's request; `rest` has further lines, each with its end.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, rest: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {DOMAIN}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Token {API_KEY}\r\n{rest}\r\n"
    )
}

/// How a response ended at its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// It was complete by its length or its last chunk.
    Complete,
    /// The channel ended, or nothing more came, before that.
    CutOff(String),
}

/// A response as its caller received it.
#[derive(Debug, Clone)]
pub struct Received {
    pub head: Message,
    pub body: Vec<u8>,
    pub ending: Ending,
}

impl Received {
    /// Describes it for the protocol.
    pub fn describe(&self) -> String {
        let (line, signed) = (&self.head.first_line, self.head.header("replica-signature"));
        let signed = if signed.is_empty() { "none" } else { signed };
        let line = if line.is_empty() { "no answer" } else { line };
        format!("{line}, signature {signed}, {} bytes of body, {:?}", self.body.len(), self.ending)
    }
}

/// Reads a response; waits `pause` after each part of the body that it reads.
pub fn read_response(stream: &mut TcpStream, pause: Duration) -> Received {
    let mut res = Received { head: Message::default(), body: Vec::new(), ending: Ending::Complete };
    let cut = |text: &str| Ending::CutOff(text.to_owned());
    match Message::read_head(stream) {
        Ok(Some(it)) => res.head = it,
        Ok(None) => return Received { ending: cut("the channel was closed"), ..res },
        Err(err) => return Received { ending: cut(&err.to_string()), ..res },
    }
    if res.head.header("transfer-encoding") == "chunked" {
        loop {
            match read_chunk(stream) {
                Ok(it) if it.is_empty() => return res,
                Ok(it) => res.body.extend(it),
                Err(err) => return Received { ending: cut(&err.to_string()), ..res },
            }
            thread::sleep(pause);
        }
    }
    let length = res.head.header("content-length").parse().unwrap_or(0);
    let mut part = [0; 4096];
    while res.body.len() < length {
        match stream.read(&mut part) {
            Ok(0) => return Received { ending: cut("the channel was closed"), ..res },
            Ok(n) => res.body.extend_from_slice(&part[..n]),
            Err(err) => return Received { ending: cut(&err.to_string()), ..res },
        }
        thread::sleep(pause);
    }
    res
}

fn read_chunk(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let (mut line, mut byte) = (Vec::new(), [0; 1]);
    while !line.ends_with(b"\r\n") {
        stream.read_exact(&mut byte)?;
        line.push(byte[0]);
    }
    let n = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16);
    let n = n.map_err(|_| io::Error::other("a chunk without a length"))?;
    let mut res = vec![0; n + 2];
    stream.read_exact(&mut res)?;
    res.truncate(n);
    Ok(res)
}
