//! Fleet of real processes on loopback addresses, for tests that inject faults.
//!
//! Every process binds port 0 and logs the address that it got.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    env, fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use portfield::fleet::hash_token;
use serde_json::{Value, json};

/// Timeout for conditions and socket reads, well above the time that any of them needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of fleets started by this process, for unique directory names.
static N_FLEETS: AtomicU32 = AtomicU32::new(0);

/// Process with its listen addresses; killed on drop.
pub struct Process {
    child: Child,
    /// Address that it logged first.
    pub address: SocketAddr,
    /// Logged addresses in order, named `address`, `admin` or after a data centre. A router's or
    /// scheduler's second one is its admin address; a relay's admin address has an empty name.
    pub addresses: Vec<(String, SocketAddr)>,
}

impl Process {
    /// Starts a program of this Cargo workspace and reads `n_addresses` addresses from its log.
    pub fn start(program: &str, args: &[String], n_addresses: usize) -> Self {
        let mut child = Command::new(binary_path(program))
            .args(args)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|err| panic!("{program}: {err}; run `cargo build --workspace --bins`"));
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut addresses = Vec::new();
        while addresses.len() < n_addresses {
            let line = lines.next().expect("the process exited while starting").unwrap();
            let Ok(entry) = serde_json::from_str::<Value>(&line) else { continue };
            if entry["message"] != "started" {
                continue;
            }
            let kvs = &entry["kvs"];
            for key in ["address", "admin"] {
                if let Some(address) = kvs[key].as_str() {
                    let name = kvs["centre"].as_str().unwrap_or(key).to_owned();
                    addresses.push((name, address.parse().unwrap()));
                }
            }
        }
        thread::spawn(move || lines.for_each(drop));
        Self { child, address: addresses[0].1, addresses }
    }

    /// Sends a signal, named as for `kill`: `-STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits for the process to exit and returns its exit code, or `None` if a signal ended it.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(it) = self.child.try_wait().unwrap() {
                return it.code();
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("the process did not exit in {WAIT_TIMEOUT:?}");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program that was built along with the test binary.
fn binary_path(name: &str) -> PathBuf {
    let test_binary = env::current_exe().unwrap();
    test_binary.parent().and_then(|it| it.parent()).unwrap().join(name)
}

/// Host with a scheduler and a router.
pub struct Host {
    pub ip: String,
    pub data_centre: String,
    pub scheduler: Process,
    pub router: Process,
}

/// Running fleet: the platform, a relay between data centres, upstreams and hosts.
pub struct Fleet {
    pub dir: PathBuf,
    pub platform: Process,
    pub relay: Process,
    pub engines: Vec<Process>,
    pub plain_services: Vec<Process>,
    pub hosts: Vec<Host>,
    /// Configuration that the fleet was started with, as TOML.
    pub intent: String,
}

/// Size and settings of a fleet; the `n_` fields give a number for each data centre.
pub struct FleetOptions {
    pub n_hosts: Vec<usize>,
    pub n_engines: Vec<usize>,
    pub n_plain: Vec<usize>,
    /// Slots of each upstream.
    pub slots: u32,
    /// Queue limit of each workspace at a router.
    pub queue_limit: u32,
    /// TOML lines added to every router's settings.
    pub router_settings: &'static str,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            n_hosts: vec![2],
            n_engines: vec![1],
            n_plain: vec![1],
            slots: 4,
            queue_limit: 256,
            router_settings: "",
        }
    }
}

fn string(it: &str) -> String {
    it.to_owned()
}

fn data_centre_name(idx: usize) -> String {
    format!("centre-{idx}")
}

impl Fleet {
    /// Starts a fleet, applies its configuration, and waits until every router is ready and all
    /// upstreams have slots.
    pub fn start(options: FleetOptions) -> Self {
        let mut fleet = Self::start_unconfigured(&options);
        fleet.intent = fleet.intent_toml(&options);
        let intent = fleet.intent.clone();
        fleet.apply(&intent);
        for host in &fleet.hosts {
            let admin = host.router.addresses[1].1;
            wait_until("ready", || get(admin, "/ready").status == 200);
        }
        let slots =
            u64::from(options.slots) * (fleet.engines.len() + fleet.plain_services.len()) as u64;
        wait_until("all upstreams known", || fleet.n_slots() == slots);
        fleet
    }

    /// Starts the processes of a fleet without a configuration.
    fn start_unconfigured(options: &FleetOptions) -> Self {
        let number = N_FLEETS.fetch_add(1, Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("portfield-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let args = [string("platform"), string("--listen"), string("127.0.0.1:0")];
        let platform = Process::start("portfield-standins", &args, 1);
        let relay = start_relay(options.n_hosts.len());
        let start_upstreams = |n: usize, data_centre: usize| -> Vec<Process> {
            (0..n).map(|_| start_upstream(data_centre)).collect()
        };
        let mut res = Self {
            dir,
            platform,
            relay,
            engines: Vec::new(),
            plain_services: Vec::new(),
            hosts: Vec::new(),
            intent: String::new(),
        };
        for (idx, n) in options.n_engines.iter().enumerate() {
            res.engines.extend(start_upstreams(*n, idx));
        }
        for (idx, n) in options.n_plain.iter().enumerate() {
            res.plain_services.extend(start_upstreams(*n, idx));
        }
        for (idx, n) in options.n_hosts.iter().enumerate() {
            for host in 0..*n {
                let it = res.start_host(idx, host, options);
                res.hosts.push(it);
            }
        }
        for it in &res.hosts {
            post(res.platform.address, "/hosts", &it.list_entry());
        }
        res
    }

    /// Starts host number `host` of data centre number `idx`.
    fn start_host(&self, idx: usize, host: usize, options: &FleetOptions) -> Host {
        let ip = format!("127.0.{}.{}", idx + 1, host + 1);
        let name = data_centre_name(idx);
        let scheduler = self.start_scheduler(&ip, &name, "");
        let router = self.start_router(&ip, &name, scheduler.address, options.router_settings);
        Host { ip, data_centre: name, scheduler, router }
    }

    /// Starts a scheduler on a free port; `extra` holds additional TOML settings.
    pub fn start_scheduler(&self, ip: &str, centre: &str, extra: &str) -> Process {
        let settings = format!(
            "listen = '{ip}:0'\nadmin = '{ip}:0'\nlist_period_ms = 200\nconfig_period_ms = 500\n\
             report_period_ms = 100\n{extra}\n{}",
            self.common_settings(centre)
        );
        self.start_with_settings("portfield-scheduler", ip, &settings)
    }

    /// Starts a scheduler at the address of a former one.
    pub fn restart_scheduler(&self, ip: &str, centre: &str, address: SocketAddr) -> Process {
        let settings = format!(
            "listen = '{address}'\nadmin = '{ip}:0'\nlist_period_ms = 200\n\
             config_period_ms = 500\nreport_period_ms = 100\n{}",
            self.common_settings(centre)
        );
        self.start_with_settings("portfield-scheduler", ip, &settings)
    }

    /// Starts a router on a free port; `extra` holds additional TOML settings.
    pub fn start_router(
        &self,
        ip: &str,
        centre: &str,
        scheduler: SocketAddr,
        extra: &str,
    ) -> Process {
        let settings = format!(
            "listen = '{ip}:0'\nadmin = '{ip}:0'\nschedulers = ['{scheduler}']\n\
             drain_ms = 200\n{extra}\n{}",
            self.common_settings(centre)
        );
        self.start_with_settings("portfield-router", ip, &settings)
    }

    /// Starts a router at the address of a former one.
    pub fn restart_router(
        &self,
        ip: &str,
        centre: &str,
        scheduler: SocketAddr,
        address: SocketAddr,
    ) -> Process {
        let settings = format!(
            "listen = '{address}'\nadmin = '{ip}:0'\nschedulers = ['{scheduler}']\n\
             drain_ms = 200\nstall_timeout_ms = 2000\nanswer_timeout_ms = 2000\n{}",
            self.common_settings(centre)
        );
        self.start_with_settings("portfield-router", ip, &settings)
    }

    /// Returns the settings that routers and schedulers of a data centre share.
    fn common_settings(&self, name: &str) -> String {
        let relay = self.relay.addresses.iter().find(|(it, _)| it == name).unwrap().1;
        let others = self.relay.addresses.iter().filter(|(it, _)| !it.is_empty() && it != name);
        let links: String = others.map(|(it, _)| format!("{it} = '{relay}'\n")).collect();
        let platform = self.platform.address;
        format!("data_centre = '{name}'\nplatform = '{platform}'\n[links]\n{links}")
    }

    /// Starts a program with a settings file.
    fn start_with_settings(&self, program: &str, ip: &str, settings: &str) -> Process {
        let file = self.dir.join(format!("{program}-{ip}.toml"));
        fs::write(&file, settings).unwrap();
        let args = [string("--settings"), file.to_str().unwrap().to_owned()];
        Process::start(program, &args, 2)
    }

    /// Returns the configuration as TOML; workspace `large` has four times the share of `small`.
    fn intent_toml(&self, options: &FleetOptions) -> String {
        let names: Vec<_> = (0..options.n_hosts.len()).map(data_centre_name).collect();
        let mut res = format!("data_centres = {names:?}\n");
        res += "[[service]]\nname = 'scribe'\nkind = 'engine'\nrepeatable = true\n";
        res += "[[service]]\nname = 'ledger'\nkind = 'plain'\nwait_limit_ms = 10000\n";
        res += "[[service]]\nname = 'lookup'\nkind = 'plain'\nrepeatable = true\n";
        for (name, share) in [("large", 4), ("small", 1)] {
            let hash = hash_token(&format!("token-{name}"));
            res += &format!(
                "[[workspace]]\nname = '{name}'\nshare = {share}\nqueue = {}\ntoken_sha256 = '{hash}'\n",
                options.queue_limit
            );
        }
        let mut add_upstreams = |upstreams: &[Process],
                                 n_upstreams: &[usize],
                                 service: &str,
                                 slots: u32| {
            let mut upstreams = upstreams.iter();
            for (idx, n) in n_upstreams.iter().enumerate() {
                for it in upstreams.by_ref().take(*n) {
                    res += &format!(
                        "[[upstream]]\naddress = '{}'\nservice = '{service}'\ndata_centre = '{}'\nslots = {slots}\n",
                        it.address,
                        data_centre_name(idx)
                    );
                }
            }
        };
        add_upstreams(&self.engines, &options.n_engines, "scribe", options.slots);
        add_upstreams(&self.plain_services, &options.n_plain, "ledger", options.slots);
        res
    }

    /// Runs `portfieldctl`; returns whether it succeeded, and its output.
    pub fn portfieldctl(&self, args: &[&str]) -> (bool, String) {
        let platform = self.platform.address.to_string();
        run_program("portfieldctl", &[&["--platform", platform.as_str()], args].concat())
    }

    /// Plans a configuration and returns the plan's ID.
    pub fn plan(&self, intent: &str) -> String {
        let file = self.dir.join("intent.toml");
        fs::write(&file, intent).unwrap();
        let (is_ok, text) = self.portfieldctl(&["plan", file.to_str().unwrap()]);
        assert!(is_ok, "{text}");
        let line =
            text.lines().find_map(|it| it.strip_prefix("plan ")).expect("no plan in the output");
        line.split(' ').next().unwrap().to_owned()
    }

    /// Plans and confirms a configuration.
    pub fn apply(&self, intent: &str) {
        let id = self.plan(intent);
        let (is_ok, text) = self.portfieldctl(&["confirm", &id]);
        assert!(is_ok, "{text}");
    }

    /// Returns the configuration revision of each process, a host's router before its scheduler.
    pub fn revisions(&self) -> Vec<u64> {
        let admins = self.hosts.iter().flat_map(|it| [&it.router, &it.scheduler]);
        admins
            .map(|it| get(it.addresses[1].1, "/status").json()["revision"].as_u64().unwrap())
            .collect()
    }

    /// Returns the shards owned by any scheduler, with the index of its host.
    pub fn shards(&self) -> Vec<(usize, Value)> {
        let mut res = Vec::new();
        for (idx, host) in self.hosts.iter().enumerate() {
            let Some(it) = try_get(host.scheduler.addresses[1].1, "/status") else { continue };
            let shards = it.json()["shards"].as_array().cloned().unwrap_or_default();
            res.extend(shards.into_iter().map(|it| (idx, it)));
        }
        res
    }

    /// Returns the index of the host that owns the first shard whose key starts with `prefix`; a key
    /// is `SERVICE/DATA_CENTRE/PART`, by their IDs.
    pub fn shard_owner(&self, prefix: &str) -> usize {
        let shards = self.shards();
        let it = shards.iter().find(|(_, it)| it["shard"].as_str().unwrap().starts_with(prefix));
        it.map(|it| it.0).expect("no owned shard has this prefix")
    }

    /// Returns the number of slots in all owned shards.
    fn n_slots(&self) -> u64 {
        self.shards().iter().map(|(_, it)| it["slots"].as_u64().unwrap()).sum()
    }

    /// Sets the faults that the platform injects.
    pub fn set_platform_faults(&self, faults: &Value) {
        post(self.platform.address, "/faults", faults);
    }

    /// Cuts or restores the link from one data centre to another, in this direction only.
    pub fn set_link(&self, from: usize, to: usize, is_cut: bool) {
        let admin = self.relay.addresses.iter().find(|(name, _)| name.is_empty()).unwrap().1;
        post(
            admin,
            "/",
            &json!({ "from": data_centre_name(from), "to": data_centre_name(to), "cut": is_cut }),
        );
    }

    /// Sends a request of a workspace to a host's router and returns the response.
    pub fn send(
        &self,
        host: usize,
        workspace: &str,
        path: &str,
        body: &str,
        headers: &str,
    ) -> Response {
        let address = self.hosts[host].router.address;
        send_request(address, &request(workspace, path, body, headers))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Host {
    /// Returns the host's entry in the platform's host list.
    pub fn list_entry(&self) -> Value {
        json!({
            "scheduler": self.scheduler.address,
            "scheduler_admin": self.scheduler.addresses[1].1,
            "router": self.router.address,
            "router_admin": self.router.addresses[1].1,
            "data_centre": self.data_centre,
            "leaving": false,
        })
    }
}

/// Starts an upstream in data centre number `data_centre`.
fn start_upstream(data_centre: usize) -> Process {
    let listen = format!("127.0.{}.200:0", data_centre + 1);
    let args = ["upstream", "--listen", &listen, "--token-ms", "10"].map(string);
    Process::start("portfield-standins", &args, 1)
}

/// Starts a relay between this many data centres.
fn start_relay(n_centres: usize) -> Process {
    let mut args = ["relay", "--admin", "127.0.0.1:0", "--delay-us", "500"].map(string).to_vec();
    for idx in 0..n_centres {
        args.extend([string("--from"), format!("{}=127.0.0.1:0", data_centre_name(idx))]);
        args.extend([string("--centre"), format!("{}=127.0.{}.", data_centre_name(idx), idx + 1)]);
    }
    Process::start("portfield-standins", &args, n_centres + 1)
}

/// Runs a program until it exits; returns whether it succeeded, and its output.
pub fn run_program(program: &str, args: &[&str]) -> (bool, String) {
    let mut command = Command::new(binary_path(program));
    let out = command.env("RUST_BACKTRACE", "0").args(args).output().unwrap();
    let text = [out.stdout, out.stderr].concat();
    (out.status.success(), String::from_utf8(text).unwrap())
}

/// Response, read to the end of the connection.
#[derive(Debug, Clone, Default)]
pub struct Response {
    /// Status code, or 0 if the connection ended before the end of the head.
    pub status: u16,
    /// Header values by name in lower case.
    pub headers: HashMap<String, String>,
    pub body: String,
    /// Whether the body has the length, or the final chunk, that the head announces.
    pub is_complete: bool,
}

impl Response {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the value of `x-portfield-outcome`.
    pub fn outcome(&self) -> &str {
        self.header("x-portfield-outcome")
    }

    /// Parses the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|err| panic!("{err}: {self:?}"))
    }
}

/// Returns the bytes of a POST request; `headers` holds complete lines.
pub fn request(workspace: &str, path: &str, body: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer token-{workspace}\r\n{headers}\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a new connection and reads the response.
pub fn send_request(address: SocketAddr, bytes: &str) -> Response {
    let Ok(mut stream) = TcpStream::connect(address) else { return Response::default() };
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    if stream.write_all(bytes.as_bytes()).is_err() {
        return Response::default();
    }
    read_response(&mut stream)
}

/// Reads a response until the connection ends.
pub fn read_response(stream: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let Some((head, rest)) = text.split_once("\r\n\r\n") else { return Response::default() };
    let mut lines = head.lines();
    let status = lines.next().and_then(|it| it.split(' ').nth(1)).and_then(|it| it.parse().ok());
    let headers: HashMap<_, _> = lines
        .filter_map(|it| it.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let (body, is_complete) = if headers.contains_key("transfer-encoding") {
        decode_chunked(rest)
    } else {
        let length = headers.get("content-length").and_then(|it| it.parse().ok());
        (rest.to_owned(), length == Some(rest.len()))
    };
    Response { status: status.unwrap_or(0), headers, body, is_complete }
}

/// Decodes a chunked body; returns it, and whether it has a final chunk.
fn decode_chunked(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, tail)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { break };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = tail.get(..size) else { break };
        body += chunk;
        rest = tail.get(size + 2..).unwrap_or("");
    }
    (body, false)
}

/// Sends a GET request and reads the response.
pub fn get(address: SocketAddr, path: &str) -> Response {
    send_request(address, &format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"))
}

/// Like [`get`], but returns `None` unless the status is 200.
pub fn try_get(address: SocketAddr, path: &str) -> Option<Response> {
    Some(get(address, path)).filter(|it| it.status == 200)
}

/// Sends a POST request and panics unless the status is 200.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Response {
    let body = body.to_string();
    let res = send_request(
        address,
        &format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ),
    );
    assert_eq!(res.status, 200, "{path}: {res:?}");
    res
}

/// Waits until a condition holds, and panics with its description after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut f: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !f() {
        assert!(Instant::now() < deadline, "not reached in {WAIT_TIMEOUT:?}: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the server-sent events of a complete generation of `n` tokens.
pub fn expected_events(echo: &str, n: u32) -> String {
    (1..=n).map(|it| format!("id: {it}\ndata: {echo} {it}\n\n")).collect()
}

/// Returns the request body of a generation of `n` tokens.
pub fn generation_body(echo: &str, n: u32) -> String {
    json!({ "echo": echo, "max_tokens": n }).to_string()
}

/// Returns the number of times that an upstream executed each order.
pub fn order_runs(upstream: &Process) -> HashMap<String, u64> {
    let it = get(upstream.address, "/runs").json();
    serde_json::from_value(it["orders"].clone()).unwrap()
}

/// Returns the request body of an order, which an upstream counts by its name.
pub fn order_body(name: &str) -> String {
    json!({ "echo": name, "order": name }).to_string()
}

/// Sets the faults and other settings of an upstream.
pub fn update_settings(upstream: &Process, switches: &Value) {
    post(upstream.address, "/switches", switches);
}
