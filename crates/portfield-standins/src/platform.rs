//! Stand-in of the platform: a transactional table, an object store and a host list.

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

/// Switches for faults.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Nothing is answered.
    pub down: bool,
    /// Everything takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// So many further commits take effect but their answers are lost.
    pub lose_answers: u32,
    /// So many further commits are lost before they take effect.
    pub lose_requests: u32,
    /// The host list stays as it was.
    pub frozen_list: bool,
}

#[derive(Debug, Default)]
struct State {
    rows: HashMap<String, (u64, String)>,
    objects: HashMap<String, Vec<u8>>,
    hosts: Vec<Host>,
    shown: Vec<Host>,
    faults: Faults,
    n_reads: u64,
    n_commits: u64,
}

/// The platform's state, shared by its connections.
#[derive(Debug, Clone, Default)]
struct Platform {
    state: Arc<Mutex<State>>,
}

/// Serves the platform until the process ends.
pub async fn serve(rt: Runtime, listener: TcpListener, hosts: Vec<Host>) {
    let platform = Platform::default();
    platform.lock().hosts = hosts;
    let handler = move |request| answer(platform.clone(), request);
    http1::serve(rt, listener, handler).await;
}

async fn answer(platform: Platform, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    if path == "/faults" {
        return set_faults(&platform, &mut request).await;
    }
    if path == "/counts" {
        let state = platform.lock();
        return json_response(200, &json!({ "reads": state.n_reads, "commits": state.n_commits }));
    }
    if path == "/hosts" && request.method() != Method::Get {
        return change_hosts(&platform, &mut request).await;
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
            Ok(it) => commit(&platform, &it).await,
            Err(res) => res,
        },
        (Method::Get, "/hosts") => list(&platform, &request),
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

/// Never answers, as a service that is down behind its address.
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

/// Adds, changes or removes hosts; the list that is read follows unless it is frozen.
async fn change_hosts(platform: &Platform, request: &mut Request) -> Response {
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

/// Answers with the host list, or that it is still the one that the caller has.
fn list(platform: &Platform, request: &Request) -> Response {
    let hosts = platform.list();
    let text = serde_json::to_string(&hosts).unwrap_or_default();
    let tag = format!("\"{:x}\"", xxh3_64(text.as_bytes()));
    let known = request.header("if-none-match").is_some_and(|it| it.as_str() == tag);
    let mut res = if known { Response::new(304) } else { json_response(200, &hosts) };
    res.insert_header("etag", tag);
    res
}

async fn commit(platform: &Platform, transaction: &Transaction) -> Response {
    if take_one(&mut platform.lock().faults.lose_requests) {
        return hang().await;
    }
    let res = platform.commit(transaction);
    if take_one(&mut platform.lock().faults.lose_answers) {
        return hang().await;
    }
    json_response(200, &res)
}

fn take_one(n: &mut u32) -> bool {
    let any = 0 < *n;
    *n = n.saturating_sub(1);
    any
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, keys: &[String]) -> Vec<Row> {
        let mut state = self.lock();
        state.n_reads += 1;
        keys.iter().map(|it| row(&state, it)).collect()
    }

    fn list(&self) -> Vec<Host> {
        let mut state = self.lock();
        if !state.faults.frozen_list {
            state.shown = state.hosts.clone();
        }
        state.shown.clone()
    }

    fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let mut state = self.lock();
        state.n_commits += 1;
        let conflicts: Vec<_> = transaction
            .checks
            .iter()
            .map(|it| (it.version, row(&state, &it.key)))
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

fn row(state: &State, key: &str) -> Row {
    let found = state.rows.get(key).cloned();
    let (version, value) = found.unwrap_or((ABSENT_VERSION, String::new()));
    Row { key: key.to_owned(), version, value }
}
