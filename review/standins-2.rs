//! Stand-ins of the platform for the second review: store, upstreams, callers, and the cases.
//!
//! Only the standard library is used, so that `rustc` alone builds it (`build-2.sh`). The hosts are
//! the project's own program, started as separate processes with the command of the deploy file.

use std::{
    collections::{BTreeMap, HashMap},
    env, fs,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

#[path = "cases-2.rs"]
mod cases;

const PASS: i32 = 0;
const FAIL: i32 = 1;
const NOT_RUN: i32 = 2;

fn main() {
    let name = env::args().nth(1).unwrap_or_default();
    let trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let code = cases::run(&name, trouble).unwrap_or_else(|err| {
        println!("the case could not run: {err}");
        NOT_RUN
    });
    std::process::exit(code);
}

/// What was sent, answered and run, with the time since the start of the case.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, text: impl Into<String>) {
        self.lines.lock().unwrap().push((self.now(), text.into()));
    }

    /// Writes the record into the folder that the script names.
    pub fn save(&self) -> io::Result<()> {
        let path = env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let lines = self.lines.lock().unwrap();
        let text: String =
            lines.iter().map(|(at, it)| format!("{:9.3} {it}\n", at.as_secs_f64())).collect();
        fs::write(path, text)
    }
}

/// A message of HTTP/1.1: start line, headers and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map_or("", |it| it.1.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |it| it.1);
        let found = query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name);
        found.map_or(String::new(), |it| it.1.to_owned())
    }
}

/// Reads start line and headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut res = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    res.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(res));
        }
        if let Some((name, value)) = text.split_once(':') {
            res.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a message with a body of announced length or in chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(head) = read_head(reader)? else { return Ok(None) };
    read_body(reader, head).map(Some)
}

/// Reads the body that belongs to a head.
pub fn read_body(reader: &mut impl BufRead, head: Message) -> io::Result<Message> {
    let mut res = head;
    if res.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let n = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; n + 2];
            reader.read_exact(&mut chunk)?;
            if n == 0 {
                return Ok(res);
            }
            res.body.extend_from_slice(&chunk[..n]);
        }
    }
    let length: usize = res.header("content-length").parse().unwrap_or(0);
    res.body = vec![0; length];
    reader.read_exact(&mut res.body)?;
    Ok(res)
}

/// Accepts connections on a free loopback port, each served by a thread.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

/// The platform's store: tables of rows with one version counter and a feed of changes.
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
}

#[derive(Default)]
struct StoreState {
    version: u64,
    rows: BTreeMap<(String, String, String), StoredRow>,
}

struct StoredRow {
    version: u64,
    /// Value in base64; `None` for a row that was removed.
    value: Option<String>,
}

impl StoreState {
    fn put(&mut self, table: &str, part: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row = StoredRow { version: self.version, value };
        self.rows.insert((table.to_owned(), part.to_owned(), key.to_owned()), row);
    }

    fn page<'a>(
        &self,
        rows: impl Iterator<Item = (&'a (String, String, String), &'a StoredRow)>,
    ) -> String {
        let row = |((table, part, key), it): (&(String, String, String), &StoredRow)| {
            let value = match &it.value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"value\":\"\",\"deleted\":true".to_owned(),
            };
            let version = it.version;
            format!(
                "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"row_version\":{version}}}"
            )
        };
        let rows: Vec<String> = rows.map(row).collect();
        let version = self.version;
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"row_version\":{version},\"now_ms\":1}}",
            rows.join(",")
        )
    }
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let state = Arc::<Mutex<StoreState>>::default();
        let shared = state.clone();
        let address = listen(move |stream| {
            let _ = serve_store(&shared, stream);
        })?;
        Ok(Self { address, state })
    }

    /// Writes a row as the operator or an upstream does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.state.lock().unwrap().put(table, "", key, Some(base64(value.as_bytes())));
    }
}

fn serve_store(state: &Mutex<StoreState>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let path = request.target().split('?').next().unwrap_or_default().to_owned();
        let (table, part) = (request.query("table"), request.query("part"));
        let body = match path.as_str() {
            "/api/rows-get" => {
                let from = request.query("from");
                let limit = request.query("limit").parse().unwrap_or(500);
                let state = state.lock().unwrap();
                let wanted = |it: &(&(String, String, String), &StoredRow)| {
                    it.0.0 == table && it.0.1 == part && from <= it.0.2 && it.1.value.is_some()
                };
                state.page(state.rows.iter().filter(wanted).take(limit))
            }
            "/api/rows-parts" => {
                let state = state.lock().unwrap();
                let rows = state.rows.iter().filter(|it| it.0.0 == table && it.1.value.is_some());
                let mut parts: Vec<String> = rows.map(|it| format!("\"{}\"", it.0.1)).collect();
                parts.dedup();
                let version = state.version;
                format!("{{\"parts\":[{}],\"row_version\":{version}}}", parts.join(","))
            }
            "/api/rows-feed" => {
                let after: u64 = request.query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
                let start = Instant::now();
                loop {
                    let state = state.lock().unwrap();
                    let wanted = |it: &(&(String, String, String), &StoredRow)| {
                        it.0.0 == table && after < it.1.version
                    };
                    let mut rows: Vec<_> = state.rows.iter().filter(wanted).collect();
                    if !rows.is_empty() || wait <= start.elapsed() {
                        rows.sort_by_key(|it| it.1.version);
                        break state.page(rows.into_iter());
                    }
                    drop(state);
                    thread::sleep(Duration::from_millis(5));
                }
            }
            "/api/rows-tx" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let mut state = state.lock().unwrap();
                for (is_write, entry) in transaction_entries(&text) {
                    let field = |name: &str| text_field(&entry, name);
                    let value = is_write.then(|| field("value"));
                    state.put(&field("table"), &field("part"), &field("key"), value);
                }
                let version = state.version;
                format!("{{\"row_version\":{version},\"now_ms\":1}}")
            }
            _ => "{}".to_owned(),
        };
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length:";
        write!(writer, "{head} {}\r\n\r\n{body}", body.len())?;
    }
    Ok(())
}

/// Returns the entries of a transaction, and whether each is a write: the hosts send no nested objects.
fn transaction_entries(text: &str) -> Vec<(bool, String)> {
    let list = |name: &str| {
        let start =
            text.find(&format!("\"{name}\":[")).map_or(text.len(), |it| it + name.len() + 4);
        let end = text[start..].find(']').map_or(text.len(), |it| start + it);
        let entries = text[start..end].split('{').skip(1).map(str::to_owned);
        entries.collect::<Vec<_>>()
    };
    let writes = list("writes").into_iter().map(|it| (true, it));
    writes.chain(list("remove").into_iter().map(|it| (false, it))).collect()
}

fn text_field(entry: &str, name: &str) -> String {
    let start = entry.find(&format!("\"{name}\":\"")).map(|it| it + name.len() + 4);
    let text = start.map_or("", |it| &entry[it..]);
    text.split('"').next().unwrap_or_default().to_owned()
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut res = String::new();
    for chunk in bytes.chunks(3) {
        let part = |it: usize| u32::from(chunk.get(it).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) & 63;
            let is_padding = chunk.len() < digit;
            res.push(if is_padding { '=' } else { DIGITS[value as usize] as char });
        }
    }
    res
}

/// A request that reached an upstream.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
}

/// What an upstream does with a request.
pub struct Answer {
    /// Time that the work takes.
    pub work: Duration,
    pub status: u16,
    pub n_bytes: usize,
}

/// An upstream of a plain service.
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Upstream {
    pub fn start(
        id: &str,
        record: &Arc<Record>,
        answer: impl Fn(&Message) -> Answer + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let arrivals = Arc::<Mutex<Vec<Arrival>>>::default();
        let (name, shared, record) = (id.to_owned(), arrivals.clone(), record.clone());
        let address = listen(move |stream| {
            let _ = serve_upstream(&name, &shared, &record, &answer, stream);
        })?;
        Ok(Self { id: id.to_owned(), address, arrivals })
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, cold_remaining_ms: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_remaining_ms\":{cold_remaining_ms},\"seq\":1}}",
            self.address
        )
    }
}

fn serve_upstream(
    name: &str,
    arrivals: &Mutex<Vec<Arrival>>,
    record: &Record,
    answer: &impl Fn(&Message) -> Answer,
    stream: TcpStream,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("attempt-id").to_owned();
        if request.header("expect-replica") != name {
            let head = "HTTP/1.1 421 No\r\nnot-executed: 1\r\nreplica-id:";
            write!(writer, "{head} {name}\r\nattempt-id: {id}\r\ncontent-length: 0\r\n\r\n")?;
            continue;
        }
        arrivals.lock().unwrap().push(Arrival { at: record.now(), id: id.clone() });
        record.add(format!("{name} began {id}"));
        let Answer { work, status, n_bytes } = answer(&request);
        thread::sleep(work);
        let not_run = if status == 503 { "not-executed: 1\r\n" } else { "" };
        let mut text = format!(
            "HTTP/1.1 {status} Done\r\nattempt-id: {id}\r\n{not_run}replica-signature: {name}.{id}\r\ncontent-length: {n_bytes}\r\n\r\n"
        )
        .into_bytes();
        text.resize(text.len() + n_bytes, b'x');
        writer.write_all(&text)?;
        record.add(format!("{name} answered {id} with {status}, {n_bytes} bytes"));
    }
    Ok(())
}

/// Time between two events of an engine.
const EVENT_GAP: Duration = Duration::from_millis(100);

/// Starts an engine, which answers with as many events as the request's `Token-Count` names, from the one after
/// `Last-Event-Id` on. Returns its address.
pub fn start_engine(name: &str, record: &Arc<Record>) -> io::Result<SocketAddr> {
    let (name, record) = (name.to_owned(), record.clone());
    listen(move |stream| {
        let _ = serve_engine(&name, &record, stream);
    })
}

fn serve_engine(name: &str, record: &Record, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("attempt-id").to_owned();
        if request.header("expect-replica") != name {
            let head = "HTTP/1.1 421 No\r\nnot-executed: 1\r\nreplica-id:";
            write!(writer, "{head} {name}\r\nattempt-id: {id}\r\ncontent-length: 0\r\n\r\n")?;
            continue;
        }
        let last: u32 = request.header("last-event-id").parse().unwrap_or(0);
        let n_events =
            request.header("token-count").split(',').nth(1).and_then(|it| it.parse().ok());
        record.add(format!("{name} began {id} after event {last}"));
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nreplica-signature: {name}.{id}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        )?;
        for n in last + 1..=n_events.unwrap_or(1) {
            thread::sleep(EVENT_GAP);
            let event = format!("id: {n}\ndata: piece {n}\n\n");
            write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
        }
        writer.write_all(b"0\r\n\r\n")?;
        record.add(format!("{name} ended {id}"));
    }
    Ok(())
}

/// A host: a process of the project's own program.
pub struct Host {
    pub name: String,
    child: Child,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
}

/// The folder of the settings, removed with the fleet.
pub struct Fleet {
    dir: PathBuf,
    /// Addresses of each host: for callers, readiness, peers and metrics.
    ports: HashMap<String, [SocketAddr; 4]>,
    settings: String,
}

impl Fleet {
    pub fn new(store: &Store, settings: &str) -> io::Result<Self> {
        let dir = env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let settings = format!("store = \"{}\"\n{settings}", store.address);
        Ok(Self { dir, ports: HashMap::new(), settings })
    }

    /// Starts a host, at the addresses that it had before if it was started before.
    pub fn start(&mut self, name: &str) -> io::Result<Host> {
        self.start_in(name, "north")
    }

    /// Starts a host in a data centre.
    pub fn start_in(&mut self, name: &str, data_centre: &str) -> io::Result<Host> {
        if !self.ports.contains_key(name) {
            self.ports.insert(name.to_owned(), free_addresses()?);
        }
        let [listen, ready, peers, metrics] = self.ports[name];
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"{data_centre}\"\nlisten = \"{listen}\"\nready = \"{ready}\"\n\
             peers = \"{peers}\"\nmetrics = \"{metrics}\"\nseeds = []\n{}\n[regions]\n\"north\" = \"riga\"\n\"south\" = \"riga\"\n\"west\" = \"riga\"\n",
            self.settings
        );
        let path = self.dir.join(format!("{name}.toml"));
        fs::write(&path, text)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))?;
        let child = Command::new("target/release/portfield-host")
            .env_clear()
            .env("PORTFIELD_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Host { name: name.to_owned(), child, listen, ready })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Ok(kept) = env::var("KEEP_LOGS") {
            let _ = copy_logs(&self.dir, Path::new(&kept));
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn copy_logs(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for it in fs::read_dir(from)? {
        let it = it?;
        fs::copy(it.path(), to.join(it.file_name()))?;
    }
    Ok(())
}

/// Ports for hosts, below those that the kernel gives to outgoing connections: a host binds its own some
/// time after they were chosen, and again after a restart.
const HOST_PORTS: std::ops::Range<u16> = 15_000..32_000;

/// Returns free addresses, searched from a place that depends on the process on.
fn free_addresses() -> io::Result<[SocketAddr; 4]> {
    static NEXT: Mutex<Option<u16>> = Mutex::new(None);
    let n_ports = HOST_PORTS.end - HOST_PORTS.start;
    let mut next = NEXT.lock().unwrap();
    let mut port = next.unwrap_or((std::process::id() * 64 % u32::from(n_ports)) as u16);
    let mut res = Vec::new();
    for _ in 0..n_ports {
        let address = SocketAddr::from(([127, 0, 0, 1], HOST_PORTS.start + port));
        port = (port + 1) % n_ports;
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            res.push(address);
        }
        if let [listen, ready, peers, metrics] = res[..] {
            *next = Some(port);
            return Ok([listen, ready, peers, metrics]);
        }
    }
    Err(io::Error::other("no free ports"))
}

impl Host {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.child.id().to_string()]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|it| it.is_some())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream
                .write_all(b"GET /api/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")?;
            let answer = read_head(&mut BufReader::new(stream))?;
            Ok(answer.is_some_and(|it| it.start.contains(" 200")))
        };
        ask().unwrap_or(false)
    }

    pub fn wait_until_ready(&self) -> io::Result<()> {
        let start = Instant::now();
        while !self.is_ready() {
            if Duration::from_secs(20) < start.elapsed() {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
