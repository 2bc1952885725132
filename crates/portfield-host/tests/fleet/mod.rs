//! Hosts as real processes, between stand-ins of the users' store and upstreams.
//!
//! Every process binds port 0 and tells its addresses in its log.

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

/// Longest wait for a condition; far above what any takes.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time that a stand-in takes for a call or an event.
const PACE: Duration = Duration::from_millis(10);

static N_FLEETS: AtomicU32 = AtomicU32::new(0);

/// Waits until a condition holds.
#[track_caller]
pub fn until(what: &str, mut f: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !f() {
        assert!(Instant::now() < end, "not within {PATIENCE:?}: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// One host's process; killed when dropped.
pub struct Host {
    child: Child,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    lines: Arc<Mutex<Vec<Value>>>,
}

impl Host {
    /// Returns the log lines with a message.
    pub fn logged(&self, message: &str) -> Vec<Value> {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|it| it["message"] == message).map(|it| it["kvs"].clone()).collect()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns every line of its log.
    pub fn all_lines(&self) -> Vec<Value> {
        self.lines.lock().unwrap().clone()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits for the process to end by itself and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let mut res = None;
        until("the process ends", || {
            res = self.child.try_wait().unwrap();
            res.is_some()
        });
        res.unwrap().code()
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        exchange(self.ready, request.as_bytes()).is_some_and(|it| it.status == 200)
    }

    /// Sends a request on a connection of its own.
    pub fn send(&self, request: &str) -> Answer {
        exchange(self.listen, request.as_bytes()).expect("an answer")
    }

    pub fn metric(&self, name: &str) -> f64 {
        let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let text = exchange(self.metrics, request.as_bytes()).unwrap().text();
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

/// Hosts, a store and upstreams.
pub struct Fleet {
    pub rt: Runtime,
    pub store: FakeStore,
    pub plains: Vec<FakeUpstream>,
    pub engines: Vec<FakeUpstream>,
    dir: PathBuf,
    n_hosts: u32,
    /// Data centre of the host started last.
    data_centre: String,
    /// Where hosts that start from now on reach the store, if not at its own address.
    pub store_door: Option<SocketAddr>,
    _stop: async_channel::Sender<()>,
}

impl Fleet {
    /// Starts the stand-ins: so many plain upstreams and engines, and a configuration.
    pub fn new(n_plains: usize, n_engines: usize) -> Self {
        let rt = Runtime::default();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let task = rt.clone();
        thread::spawn(move || task.block_on(1, stopped.recv()));
        let start = |name: &str, n: usize| -> Vec<FakeUpstream> {
            let ids = (0..n).map(|it| format!("{name}-{it}"));
            ids.map(|id| wait(FakeUpstream::start(&rt, &id, PACE))).collect()
        };
        let (plains, engines) = (start("plain", n_plains), start("engine", n_engines));
        let store = wait(FakeStore::start(&rt));
        let number = N_FLEETS.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("pf-host-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let res = Self {
            rt,
            store,
            plains,
            engines,
            dir,
            n_hosts: 0,
            data_centre: String::new(),
            store_door: None,
            _stop: stop,
        };
        res.store.put("op", "config", &config(1));
        for it in &res.plains {
            res.store.put("servers", &it.id, &it.entry("desk", "ready"));
        }
        for it in &res.engines {
            res.store.put("servers", &it.id, &it.entry("model", "ready"));
        }
        res
    }

    /// Starts a host and waits until it is ready.
    pub fn host(&mut self) -> Host {
        let res = self.start("");
        until("the host is ready", || res.is_ready());
        res
    }

    /// Starts a host with more settings, and waits only for its addresses.
    pub fn start(&mut self, more: &str) -> Host {
        self.start_in("north", more)
    }

    /// Starts a host in a data centre.
    pub fn start_in(&mut self, data_centre: &str, more: &str) -> Host {
        self.n_hosts += 1;
        self.data_centre = data_centre.to_owned();
        let path = self.dir.join(format!("host-{}.toml", self.n_hosts));
        fs::write(&path, self.settings(more)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_portfield-host"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut reader = BufReader::new(child.stdout.take().unwrap()).lines();
        let first = reader.next().expect("the process ended at its start").unwrap();
        let first: Value = serde_json::from_str(&first).unwrap();
        assert_eq!(first["message"], "started");
        let address = |key: &str| first["kvs"][key].as_str().unwrap().parse().unwrap();
        let (listen, ready, metrics) = (address("listen"), address("ready"), address("metrics"));
        let peers = address("peers");
        let lines = Arc::new(Mutex::new(vec![first]));
        let all = lines.clone();
        thread::spawn(move || {
            for line in reader.map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("every line is JSON");
                all.lock().unwrap().push(line);
            }
        });
        Host { child, listen, ready, metrics, peers, lines }
    }

    /// Writes the settings file of the host started last anew.
    pub fn rewrite(&self, more: &str) {
        let path = self.dir.join(format!("host-{}.toml", self.n_hosts));
        fs::write(path, self.settings(more)).unwrap();
    }

    fn settings(&self, more: &str) -> String {
        let store = self.store_door.unwrap_or(self.store.address());
        format!(
            "name = 'h{}'\ndata_centre = '{}'\nlisten = '127.0.0.1:0'\nready = '127.0.0.1:0'\n\
             peers = '127.0.0.1:0'\nmetrics = '127.0.0.1:0'\nstore = '{store}'\ngrace_s = 3\n{more}\n",
            self.n_hosts, self.data_centre
        )
    }

    /// Returns how many requests ran at all upstreams together.
    pub fn n_executed(&self) -> usize {
        self.plains.iter().chain(&self.engines).map(FakeUpstream::n_executed).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn wait<T>(f: impl Future<Output = std::io::Result<T>>) -> T {
    futures_lite::future::block_on(f).unwrap()
}

/// A configuration with one route of each kind; `key-a` and `key-b` are of two workspaces.
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
    let mut once = route("draft", "streaming", "model");
    once["max_attempts"] = json!(1);
    once["timeout_ms"] = json!(5000);
    json!({
        "version": version,
        "routes": [
            route("check", "safe", "desk"), route("order", "unsafe", "desk"),
            once, resumable, public,
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

/// A request of workspace a on a route.
pub fn request(route: &str, id: &str) -> String {
    let tokens = match route {
        "draft" | "digest" => "token-count: 30,24\r\nprefix-hash: aa:20,bb:10\r\n",
        _ => "",
    };
    format!(
        "POST /{route}/one?q=1 HTTP/1.1\r\nhost: x.example\r\nattempt-id: {id}\r\n\
         authorization: Token key-a\r\ntenant: forged\r\ndeadline-ms: 1200\r\n{tokens}\
         content-length: 4\r\n\r\nbody"
    )
}

/// An answer, read to its end.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// It ended as its head says.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|it| it.split_once(':'));
        lines.find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.trim())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the ids of the events.
    pub fn events(&self) -> Vec<u32> {
        let text = self.text();
        text.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
    }
}

/// Opens a connection on which nothing is waited for without end.
pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    Some(stream)
}

/// Sends bytes on a new connection and reads one answer.
pub fn exchange(address: SocketAddr, request: &[u8]) -> Option<Answer> {
    let mut stream = connect(address)?;
    stream.write_all(request).ok()?;
    read_answer(&mut stream)
}

/// Reads one answer.
pub fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut res = Answer { status, head, body: Vec::new(), is_whole: true };
    if let Some(n) = res.header("content-length").and_then(|it| it.parse().ok()) {
        res.body = vec![0; n];
        res.is_whole = reader.read_exact(&mut res.body).is_ok();
        return Some(res);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            res.is_whole = false;
            return Some(res);
        }
        let n = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; n + 2];
        if reader.read_exact(&mut chunk).is_err() {
            res.is_whole = false;
            return Some(res);
        }
        if n == 0 {
            return Some(res);
        }
        res.body.extend_from_slice(&chunk[..n]);
    }
}
