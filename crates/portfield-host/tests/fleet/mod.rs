//! Test fixture: real host processes between a fake store and fake upstreams.
//!
//! Every process binds port 0; its addresses are read from its first log line.

#![allow(dead_code)]

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use portfield_net::rt::Runtime;
use portfield_platform_standins::{FakeStore, FakeUpstream};
use serde_json::{Value, json};

/// Timeout for conditions and socket reads, well above the time that any of them needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that an upstream takes for a plain response, or between two events of a stream.
const UPSTREAM_LATENCY: Duration = Duration::from_millis(10);

/// Text of a refusal for want of processor time, which a busy machine may cause in any test.
const OVERLOADED: &str = "this host is overloaded";

/// Number of fleets created by this process, for unique directory names.
static N_FLEETS: AtomicU32 = AtomicU32::new(0);

/// Waits until a condition holds, and panics with its description after [`WAIT_TIMEOUT`].
#[track_caller]
pub fn wait_until(what: &str, mut f: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !f() {
        assert!(Instant::now() < end, "timed out after {WAIT_TIMEOUT:?} waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Host process with its listen addresses; killed on drop.
pub struct Host {
    child: Child,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    lines: Arc<Mutex<Vec<Value>>>,
}

impl Host {
    /// Returns the fields of all log lines with this message.
    pub fn log_entries(&self, message: &str) -> Vec<Value> {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|it| it["message"] == message).map(|it| it["kvs"].clone()).collect()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the most memory that the process ever had resident, in megabytes.
    pub fn peak_memory_mb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = text.lines().find_map(|it| it.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() / 1024
    }

    /// Returns all log lines written so far.
    pub fn log_lines(&self) -> Vec<Value> {
        self.lines.lock().unwrap().clone()
    }

    /// Sends a signal, named as for `kill`: `-STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits for the process to exit and returns its exit code, or `None` if a signal ended it.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let mut res = None;
        wait_until("the process exits", || {
            res = self.child.try_wait().unwrap();
            res.is_some()
        });
        res.unwrap().code()
    }

    /// Returns whether the readiness endpoint responds 200.
    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        send_request(self.ready, request.as_bytes()).is_some_and(|it| it.status == 200)
    }

    /// Sends a request on a new connection and returns the response.
    pub fn send(&self, request: &str) -> Response {
        send_request(self.listen, request.as_bytes()).expect("no response from the host")
    }

    /// Sends a request until the host does not refuse it for want of processor time.
    pub fn send_admitted(&self, request: &str) -> Response {
        let mut res = None;
        wait_until("the host is not overloaded", || {
            res = Some(self.send(request)).filter(|it| !it.text().contains(OVERLOADED));
            res.is_some()
        });
        res.unwrap()
    }

    /// Returns the number of requests that the host refused for want of processor time.
    pub fn n_not_admitted(&self) -> usize {
        self.log_entries("not admitted").len()
    }

    /// Returns the current value of a metric, or 0 if it isn't reported.
    pub fn metric(&self, name: &str) -> f64 {
        let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let text = send_request(self.metrics, request.as_bytes()).unwrap().text();
        let line = text.lines().find_map(|it| it.strip_prefix(name)).unwrap_or("0");
        line.trim().parse().unwrap()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Fake store and upstreams, and the settings of the hosts that are started between them.
pub struct Fleet {
    pub rt: Runtime,
    pub store: FakeStore,
    pub plain_upstreams: Vec<FakeUpstream>,
    pub engines: Vec<FakeUpstream>,
    dir: PathBuf,
    n_hosts: u32,
    /// Data centre of the host started last, used by [`Fleet::rewrite_settings`].
    data_centre: String,
    /// Store address for hosts started from now on, if they reach the store through a proxy.
    pub store_proxy: Option<SocketAddr>,
    _stop: async_channel::Sender<()>,
}

impl Fleet {
    /// Starts a store with a configuration, and this many plain upstreams and engines.
    pub fn new(n_plain: usize, n_engines: usize) -> Self {
        let rt = Runtime::default();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let runner = rt.clone();
        thread::spawn(move || runner.block_on(1, stopped.recv()));
        let start = |name: &str, n: usize| -> Vec<FakeUpstream> {
            let ids = (0..n).map(|it| format!("{name}-{it}"));
            ids.map(|id| block_on(FakeUpstream::start(&rt, &id, UPSTREAM_LATENCY))).collect()
        };
        let (plain_upstreams, engines) = (start("plain", n_plain), start("engine", n_engines));
        let store = block_on(FakeStore::start(&rt));
        let fleet_index = N_FLEETS.fetch_add(1, Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("pf-host-{}-{fleet_index}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let res = Self {
            rt,
            store,
            plain_upstreams,
            engines,
            dir,
            n_hosts: 0,
            data_centre: String::new(),
            store_proxy: None,
            _stop: stop,
        };
        res.store.put("op", "config", &config(1));
        for it in &res.plain_upstreams {
            res.store.put("servers", &it.id, &it.entry("desk", "ready"));
        }
        for it in &res.engines {
            res.store.put("servers", &it.id, &it.entry("model", "ready"));
        }
        res
    }

    /// Sets the software versions of the engines, in their order, and writes their entries.
    pub fn set_engine_versions(&self, versions: &[&str]) {
        for (it, version) in self.engines.iter().zip(versions) {
            it.set_software_version(version);
            self.store.put("servers", &it.id, &it.entry("model", "ready"));
        }
    }

    /// Starts a host and waits until it is ready.
    pub fn start_host(&mut self) -> Host {
        let res = self.spawn_host("");
        wait_until("the host is ready", || res.is_ready());
        res
    }

    /// Starts a host with additional settings without waiting until it is ready.
    pub fn spawn_host(&mut self, extra_settings: &str) -> Host {
        self.spawn_host_in("north", extra_settings)
    }

    /// Starts a host in a data centre without waiting until it is ready.
    pub fn spawn_host_in(&mut self, data_centre: &str, extra_settings: &str) -> Host {
        self.data_centre = data_centre.to_owned();
        self.spawn(&self.settings(extra_settings))
    }

    /// Kills a host and starts it again, at the address by which the others know it and in the data centre of the
    /// host started last.
    pub fn restart_host(&mut self, mut host: Host, extra_settings: &str) -> Host {
        host.signal("-KILL");
        host.wait_for_exit();
        let peers = format!("peers = '{}'", host.peers);
        self.spawn(&self.settings(extra_settings).replace("peers = '127.0.0.1:0'", &peers))
    }

    /// Starts a host with the given settings.
    fn spawn(&mut self, settings: &str) -> Host {
        self.n_hosts += 1;
        let path = self.dir.join(format!("host-{}.toml", self.n_hosts));
        fs::write(&path, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_portfield-host"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut reader = BufReader::new(child.stdout.take().unwrap()).lines();
        let first = reader.next().expect("the process exited before its first log line").unwrap();
        let first: Value = serde_json::from_str(&first).unwrap();
        assert_eq!(first["message"], "started");
        let address = |key: &str| first["kvs"][key].as_str().unwrap().parse().unwrap();
        let (listen, ready, metrics) = (address("listen"), address("ready"), address("metrics"));
        let peers = address("peers");
        let lines = Arc::new(Mutex::new(vec![first]));
        let log = lines.clone();
        thread::spawn(move || {
            for line in reader.map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("every line is JSON");
                log.lock().unwrap().push(line);
            }
        });
        Host { child, listen, ready, metrics, peers, lines }
    }

    /// Overwrites the settings file of the host started last.
    pub fn rewrite_settings(&self, extra_settings: &str) {
        let path = self.dir.join(format!("host-{}.toml", self.n_hosts));
        fs::write(path, self.settings(extra_settings)).unwrap();
    }

    /// Returns the settings file of the host started last.
    fn settings(&self, extra_settings: &str) -> String {
        let store = self.store_proxy.unwrap_or(self.store.address());
        format!(
            "name = 'h{}'\ndata_centre = '{}'\nlisten = '127.0.0.1:0'\nready = '127.0.0.1:0'\n\
             peers = '127.0.0.1:0'\nmetrics = '127.0.0.1:0'\nstore = '{store}'\ngrace_s = 3\n{extra_settings}\n",
            self.n_hosts, self.data_centre
        )
    }

    /// Returns the number of requests executed by all upstreams.
    pub fn n_executed(&self) -> usize {
        self.plain_upstreams.iter().chain(&self.engines).map(FakeUpstream::n_executed).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn block_on<T>(f: impl Future<Output = std::io::Result<T>>) -> T {
    futures_lite::future::block_on(f).unwrap()
}

/// Returns a configuration with a route of each kind and two workspaces, with the API keys `key-a` and `key-b`.
pub fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "x.example", "prefix": format!("/{name}/"),
            "route_kind": kind, "timeout_ms": 1500, "target_latency_ms": 300, "priority": 1,
            "service": service, "max_attempts": 2, "public": false, "sticky": false,
            "resumable": false,
        })
    };
    let mut resumable = route("digest", "streaming", "model");
    resumable["resumable"] = json!(true);
    resumable["target_itl_ms"] = json!(100);
    let mut public = route("public", "safe", "desk");
    public["public"] = json!(true);
    let mut single_attempt = route("draft", "streaming", "model");
    single_attempt["max_attempts"] = json!(1);
    single_attempt["timeout_ms"] = json!(5000);
    json!({
        "version": version,
        "routes": [
            route("check", "safe", "desk"), route("order", "unsafe", "desk"),
            single_attempt, resumable, public,
        ],
        "services": [
            { "name": "desk", "health_path": "/healthz", "max_conns": 50 },
            { "name": "model", "health_path": "/healthz", "max_conns": 50,
              "engine": { "slots": 8, "kv_capacity": 100_000, "stride": 3 } },
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 1000,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [
            { "name": "a", "api_keys": ["key-a"] }, { "name": "b", "api_keys": ["key-b"] },
        ],
    })
}

/// Returns a request of workspace `a` on a route, with `id` as its attempt ID.
pub fn request(route: &str, id: &str) -> String {
    request_with_body(route, id, "body")
}

/// Returns the same request with another body.
pub fn request_with_body(route: &str, id: &str, body: &str) -> String {
    let tokens = match route {
        "draft" | "digest" => "token-count: 30,24\r\nprefix-hash: aa:20,bb:10\r\n",
        _ => "",
    };
    format!(
        "POST /{route}/one?q=1 HTTP/1.1\r\nhost: x.example\r\nattempt-id: {id}\r\n\
         authorization: Token key-a\r\ntenant: forged\r\ndeadline-ms: 1200\r\n{tokens}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Response, read to its end.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body has the length, or the final chunk, that the head announces.
    pub is_complete: bool,
}

impl Response {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|it| it.split_once(':'));
        lines.find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.trim())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the software versions that the events in the body name, in their order.
    pub fn event_versions(&self) -> Vec<String> {
        let text = self.text();
        let data = text.lines().filter_map(|it| it.strip_prefix("data: piece "));
        data.filter_map(|it| Some(it.split_once(" of ")?.1.to_owned())).collect()
    }

    /// Returns the IDs of the server-sent events in the body.
    pub fn event_ids(&self) -> Vec<u32> {
        let text = self.text();
        text.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
    }
}

/// Opens a connection with a read timeout; returns `None` if it is refused.
pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    Some(stream)
}

/// Sends a request on a new connection and reads the response.
pub fn send_request(address: SocketAddr, request: &[u8]) -> Option<Response> {
    let mut stream = connect(address)?;
    stream.write_all(request).ok()?;
    read_response(&mut stream)
}

/// Reads one response; returns `None` if the connection ends before its head does.
pub fn read_response(stream: &mut TcpStream) -> Option<Response> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut res = Response { status, head, body: Vec::new(), is_complete: true };
    if let Some(n) = res.header("content-length").and_then(|it| it.parse().ok()) {
        res.body = vec![0; n];
        res.is_complete = reader.read_exact(&mut res.body).is_ok();
        return Some(res);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            res.is_complete = false;
            return Some(res);
        }
        let n = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; n + 2];
        if reader.read_exact(&mut chunk).is_err() {
            res.is_complete = false;
            return Some(res);
        }
        if n == 0 {
            return Some(res);
        }
        res.body.extend_from_slice(&chunk[..n]);
    }
}
