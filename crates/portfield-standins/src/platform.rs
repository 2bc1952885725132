//! Stand-in for the platform: a transactional table, an object store and a host list.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_net::TcpListener;
use http_types::{Method, Request, Response};
use portfield_net::{
    clock,
    http1::{self, json_response, read_json},
    platform::{ABSENT_VERSION, CommitOutcome, Host, Row, Transaction},
    rt::Runtime,
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

/// Faults to inject, set by POST `/faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Responds 503 after 30 s.
    pub down: bool,
    /// Delay added to every response, in milliseconds.
    pub slow_ms: u64,
    /// Number of commits, from the next one on, that are applied but get no response in time.
    pub lose_answers: u32,
    /// Number of commits, from the next one on, that are neither applied nor responded to in time.
    pub lose_requests: u32,
    /// Keeps serving the host list as it was last read.
    pub frozen_list: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Version and value by key.
    rows: HashMap<String, (u64, String)>,
    objects: HashMap<String, Vec<u8>>,
    hosts: Vec<Host>,
    /// Host list as last read; falls behind `hosts` while the list is frozen.
    listed_hosts: Vec<Host>,
    faults: Faults,
    n_reads: u64,
    n_commits: u64,
}

/// Handle of the platform's state, shared by all connections.
#[derive(Debug, Clone, Default)]
struct Platform {
    state: Arc<Mutex<State>>,
}

/// Serves the platform with an initial host list until the process ends.
pub async fn serve(rt: Runtime, listener: TcpListener, hosts: Vec<Host>) {
    let platform = Platform::default();
    platform.lock().hosts = hosts;
    let handler = move |request| handle_request(platform.clone(), request);
    http1::serve(rt, listener, handler).await;
}

async fn handle_request(platform: Platform, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    if path == "/faults" {
        return set_faults(&platform, &mut request).await;
    }
    if path == "/counts" {
        let state = platform.lock();
        return json_response(200, &json!({ "reads": state.n_reads, "commits": state.n_commits }));
    }
    if path == "/hosts" && request.method() != Method::Get {
        return update_hosts(&platform, &mut request).await;
    }
    let faults = platform.lock().faults.clone();
    clock::sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.down {
        return hang().await;
    }
    match (request.method(), path.as_str()) {
        (Method::Post, "/read") => match read_json::<Vec<String>>(&mut request).await {
            Ok(keys) => json_response(200, &platform.read(&keys)),
            Err(res) => res,
        },
        (Method::Post, "/commit") => match read_json::<Transaction>(&mut request).await {
            Ok(transaction) => commit(&platform, &transaction).await,
            Err(res) => res,
        },
        (Method::Get, "/hosts") => list_hosts(&platform, &request),
        (Method::Put, _) => {
            let body = request.body_bytes().await.unwrap_or_default();
            platform.lock().objects.insert(path, body);
            json_response(200, &json!({}))
        }
        (Method::Get, _) => match platform.lock().objects.get(&path) {
            Some(it) => Response::from(it.as_slice()),
            None => json_response(404, &json!({ "error": "no such object" })),
        },
        _ => json_response(404, &json!({ "error": "no such call" })),
    }
}

/// Responds 503 after 30 s, like a service that is down but still accepts connections.
async fn hang() -> Response {
    clock::sleep(Duration::from_secs(30)).await;
    json_response(503, &json!({ "error": "down" }))
}

async fn set_faults(platform: &Platform, request: &mut Request) -> Response {
    match read_json::<Faults>(request).await {
        Ok(it) => {
            platform.lock().faults = it;
            json_response(200, &json!({}))
        }
        Err(res) => res,
    }
}

/// Adds, replaces or removes a host, identified by its scheduler's address.
async fn update_hosts(platform: &Platform, request: &mut Request) -> Response {
    let method = request.method();
    let host = match read_json::<Host>(request).await {
        Ok(it) => it,
        Err(res) => return res,
    };
    let mut state = platform.lock();
    state.hosts.retain(|it| it.scheduler != host.scheduler);
    if method != Method::Delete {
        state.hosts.push(host);
    }
    json_response(200, &json!({}))
}

/// Responds with the host list, or 304 if the caller's `if-none-match` is still current.
fn list_hosts(platform: &Platform, request: &Request) -> Response {
    let hosts = platform.listed_hosts();
    let text = serde_json::to_string(&hosts).unwrap_or_default();
    let etag = format!("\"{:x}\"", xxh3_64(text.as_bytes()));
    let is_unchanged = request.header("if-none-match").is_some_and(|it| it.as_str() == etag);
    let mut res = if is_unchanged { Response::new(304) } else { json_response(200, &hosts) };
    res.insert_header("etag", etag);
    res
}

/// Commits a transaction, unless a fault drops the request or the response.
async fn commit(platform: &Platform, transaction: &Transaction) -> Response {
    if consume_fault(&mut platform.lock().faults.lose_requests) {
        return hang().await;
    }
    let res = platform.commit(transaction);
    if consume_fault(&mut platform.lock().faults.lose_answers) {
        return hang().await;
    }
    json_response(200, &res)
}

/// Returns whether a fault is set to occur, and counts this occurrence down.
fn consume_fault(n_left: &mut u32) -> bool {
    let is_set = 0 < *n_left;
    *n_left = n_left.saturating_sub(1);
    is_set
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the rows of `keys`, and counts the read.
    fn read(&self, keys: &[String]) -> Vec<Row> {
        let mut state = self.lock();
        state.n_reads += 1;
        keys.iter().map(|it| find_row(&state, it)).collect()
    }

    /// Returns the host list, updated first unless it is frozen.
    fn listed_hosts(&self) -> Vec<Host> {
        let mut state = self.lock();
        if !state.faults.frozen_list {
            state.listed_hosts = state.hosts.clone();
        }
        state.listed_hosts.clone()
    }

    /// Applies all writes if every check holds; otherwise returns the rows whose versions differ.
    fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let mut state = self.lock();
        state.n_commits += 1;
        let conflicts: Vec<_> = transaction
            .checks
            .iter()
            .map(|it| (it.version, find_row(&state, &it.key)))
            .filter(|(version, row)| *version != row.version)
            .map(|(_, row)| row)
            .collect();
        if !conflicts.is_empty() {
            return CommitOutcome::Conflict(conflicts);
        }
        for it in &transaction.puts {
            let entry = state.rows.entry(it.key.clone()).or_insert((ABSENT_VERSION, String::new()));
            *entry = (entry.0 + 1, it.value.clone());
        }
        CommitOutcome::Applied
    }
}

/// Returns the row of `key`; an absent one has [`ABSENT_VERSION`] and an empty value.
fn find_row(state: &State, key: &str) -> Row {
    let found = state.rows.get(key).cloned();
    let (version, value) = found.unwrap_or((ABSENT_VERSION, String::new()));
    Row { key: key.to_owned(), version, value }
}
