//! A caller's request, read and validated.

use std::{net::TcpStream, sync::Arc, time::Duration};

use async_io::Async;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http::{HeaderMap, Method, Request, StatusCode, Uri, header};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use portfield::{
    balance::{Overload, PlacementRequest, Stage},
    catalog::{Access, Catalog, EngineSpec, Route, RouteKind, Workspace},
    quarantine::{RequestIdentity, RequestKeys, SuspectKey},
    streams::StreamOrigin,
    upstream::Prompt,
};
use portfield_net::{clock, logs};
use portfield_platform::request::{self, Resumption};

use crate::{
    held_memory::{self, Held},
    response::Failure,
    state::{Host, hash_name},
    streams,
};

/// Retry delay given by a host that has no configuration yet.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(300);

/// Retry delay given by a host that is shutting down; the retry goes to another host.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// Retry delay given by a host that was suspended; the retry goes to another host. This one mostly
/// learns within as much time what has changed.
pub(crate) const SUSPENDED_RETRY: Duration = Duration::from_millis(100);
/// Error text of that refusal.
pub(crate) const SUSPENDED_TEXT: &str = "this host stood still, and hears first what has changed";

/// A validated request that may be sent to an upstream.
#[derive(Debug)]
pub(crate) struct Call {
    pub id: String,
    /// The connection that the request came on.
    pub caller: Arc<Async<TcpStream>>,
    pub arrived: Duration,
    /// Time by which the whole response must be delivered.
    pub deadline: Duration,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub route: Arc<Route>,
    pub service: String,
    pub workspace: Option<Arc<Workspace>>,
    pub config_version: u64,
    pub placement: PlacementRequest,
    /// The stream that the caller resumes.
    pub resumption: Option<Resumption>,
    /// Where the stream began, once its caller has an event; it goes on there only.
    pub origin: Option<StreamOrigin>,
    /// What a crash of its upstream may be due to, the same for every attempt.
    pub keys: Arc<RequestKeys>,
    /// Memory held for the request and its response.
    pub held: Arc<Held>,
    _active: Arc<()>,
}

impl Call {
    /// Reads a request with its body and checks it against the active configuration.
    ///
    /// # Errors
    ///
    /// The response to a request that must not be forwarded.
    pub(crate) async fn read(
        host: &Host,
        caller: &Arc<Async<TcpStream>>,
        request: Request<Incoming>,
    ) -> Result<Self, Failure> {
        let arrived = clock::now();
        if !host.has_fresh_state() {
            return Err(Failure::unavailable(SUSPENDED_TEXT, SUSPENDED_RETRY));
        }
        let Some(active_config) = host.active_config() else {
            return Err(Failure::unavailable("no configuration is known yet", NO_CONFIG_RETRY));
        };
        let catalog = active_config.catalog;
        let (parts, body) = request.into_parts();
        let head = request::decode(&parts.headers)
            .map_err(|it| Failure::rejected(StatusCode::BAD_REQUEST, it.header, it.hint))?;
        let route = find_route(&catalog, &parts.uri, &parts.headers)?;
        let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived.saturating_add(timeout);
        check_shutdown(host, deadline)?;
        let workspace = authorize(&catalog, &route, head.api_key.as_deref())?;
        let service = route.pick_service(fastrand::f64()).unwrap_or_default().to_owned();
        let engine = catalog.service(&service).and_then(|it| it.engine);
        let workspace_hash = workspace.as_ref().map_or(0, |it| hash_name(&it.name));
        let n_messages = message_count(head.prompt.as_ref(), engine);
        let random = fastrand::f64();
        let overload = host.load_shedder().shed(arrived, workspace_hash, n_messages, random);
        // Refused, what the caller has received of its stream would be lost.
        let overload = overload.filter(|_| !resumes_known(host, &head, workspace_hash));
        if overload.is_some() || host.settings().active_limit < host.n_active() {
            host.metrics.count("refused{reason=\"Overload\"}");
            let tokens = head.prompt.as_ref().map_or(0.0, Prompt::token_cost);
            host.balancer().record_refusal(arrived, workspace_hash, tokens);
            let refused = Overloaded { workspace_hash, tokens, overload };
            log_overload(host, &head, &route, workspace.as_deref(), refused);
            return Err(Failure::overloaded(host.load_shedder().retry_after(fastrand::f64())));
        }
        let body_limit = catalog.limits().body_bytes;
        let body_bytes = body.size_hint().lower().min(body_limit as u64);
        let held = Arc::new(admit(host, caller, body_bytes, &head)?);
        let body = read_body_in_time(body, body_limit, &held, timeout).await?;
        // The body may have taken longer than this host still accepts requests.
        check_shutdown(host, deadline)?;
        let placement = PlacementRequest {
            workspace: workspace_hash,
            service: hash_name(&service),
            route: hash_name(&route.name),
            prompt: head.prompt,
            objective: route.latency_target,
            waited: Duration::ZERO,
            earlier: route.timeout.saturating_sub(timeout),
            patience: timeout,
            stage: Stage::New,
            engine,
        };
        let identity = RequestIdentity {
            workspace: workspace_hash,
            method: parts.method.as_str(),
            target: parts.uri.path_and_query().map_or("", |it| it.as_str()),
            body: &body,
        };
        let request = SuspectKey::request(workspace_hash, identity.fingerprint());
        let keys = RequestKeys::new(request, placement.service, placement.prompt.as_ref());
        Ok(Self {
            id: head.attempt_id,
            caller: caller.clone(),
            arrived,
            deadline,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            route,
            service,
            workspace,
            config_version: catalog.version(),
            placement,
            resumption: head.resumption,
            origin: None,
            keys: Arc::new(keys),
            held,
            _active: host.track_request(),
        })
    }

    /// Returns whether, and how, the request may be repeated.
    pub(crate) fn kind(&self) -> RouteKind {
        self.route.kind
    }

    /// Returns the name of the workspace, empty if the caller has none.
    pub(crate) fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("", |it| it.name.as_str())
    }

    /// Returns the attempt that began the stream which the caller resumes, empty for a new request or
    /// if the caller does not name it.
    pub(crate) fn first_attempt(&self) -> &str {
        let resumption = self.resumption.as_ref();
        resumption.and_then(|it| it.first_attempt.as_deref()).unwrap_or_default()
    }

    /// Returns the fingerprint of the request as logs show it.
    pub(crate) fn fingerprint_hex(&self) -> String {
        self.keys.request.fingerprint_hex()
    }

    /// Returns the ids of its prompt parts as logs show them, empty without a prompt.
    pub(crate) fn part_ids_hex(&self) -> String {
        self.placement.prompt.as_ref().map_or(String::new(), Prompt::part_ids_hex)
    }

    /// Returns the cost of the request in its workspace's share, in tokens.
    pub(crate) fn tokens(&self) -> f64 {
        self.placement.token_cost()
    }

    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }
}

/// Checks whether a request may still be sent to an upstream by a host that was told to stop.
///
/// # Errors
///
/// The refusal, which states that the request did not run.
pub(crate) fn check_shutdown(host: &Host, deadline: Duration) -> Result<(), Failure> {
    if host.accepts_until(deadline) {
        return Ok(());
    }
    host.metrics.count("refused{reason=\"Stopping\"}");
    Err(Failure::unavailable("this host is about to end", STOPPING_RETRY))
}

/// Returns whether a caller resumes a stream of which this host knows where it began.
fn resumes_known(host: &Host, head: &request::RequestHead, workspace: u32) -> bool {
    let first = head.resumption.as_ref().and_then(|it| it.first_attempt.as_deref());
    first.is_some_and(|it| streams::is_known(host, workspace, it))
}

/// A request refused because this host lacks processor time.
#[derive(Debug, Clone, Copy)]
struct Overloaded {
    /// Hash of the workspace's name, zero without a workspace.
    workspace_hash: u32,
    tokens: f64,
    /// Admission values behind the refusal; `None` if the limit of concurrent requests was hit.
    overload: Option<Overload>,
}

fn log_overload(
    host: &Host,
    head: &request::RequestHead,
    route: &Route,
    workspace: Option<&Workspace>,
    Overloaded { workspace_hash, tokens, overload }: Overloaded,
) {
    let name = workspace.map_or("", |it| it.name.as_str());
    host.ingress.record_refused(name);
    if logs::omits_lines() {
        log::info!("not admitted");
        return;
    }
    let shares = host.balancer().share_snapshot(clock::now(), workspace_hash);
    log::info!(
        request = head.attempt_id, route = route.name, workspace = name, tokens,
        offered = overload.map_or(0.0, |it| it.offered),
        offered_level = overload.map_or(0.0, |it| it.limit),
        late_ms = overload.map_or(0.0, |it| it.lateness), active = host.n_active(),
        asked = shares.asked, taken = shares.taken, level = shares.fair_share, best = shares.largest_usage;
        "not admitted"
    );
}

/// Returns how many messages this host relays for a request: the request, the response and its
/// events.
fn message_count(prompt: Option<&Prompt>, engine: Option<EngineSpec>) -> f64 {
    let n_events = match (prompt, engine) {
        (Some(prompt), Some(engine)) => prompt.max_output_tokens / engine.event_tokens.max(1),
        _ => 0,
    };
    2.0 + f64::from(n_events)
}

fn find_route(catalog: &Catalog, uri: &Uri, headers: &HeaderMap) -> Result<Arc<Route>, Failure> {
    let named = headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let name = named.or(uri.host()).unwrap_or_default();
    let missing = || Failure::rejected(StatusCode::NOT_FOUND, "path", "no route takes this path");
    catalog.find_route(name, uri.path()).cloned().ok_or_else(missing)
}

fn authorize(
    catalog: &Catalog,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Arc<Workspace>>, Failure> {
    let found = key.and_then(|it| catalog.workspace_by_key(it)).cloned();
    if found.is_none() && route.access == Access::ApiKey {
        let text = "send a key of a workspace";
        return Err(Failure::rejected(StatusCode::UNAUTHORIZED, "authorization", text));
    }
    Ok(found)
}

/// Opens the account of a request; ends stalled connections where memory is short.
///
/// # Errors
///
/// The refusal, if there is no room for the request.
fn admit(
    host: &Host,
    caller: &Arc<Async<TcpStream>>,
    body_bytes: u64,
    head: &request::RequestHead,
) -> Result<Held, Failure> {
    let memory = host.settings().memory_mb << 20;
    let (held, ended) = host.held_memory.admit(caller, body_bytes, memory);
    for it in ended {
        log::warn!(
            held_bytes = it.bytes, stalled_ms = it.stalled.as_millis() as u64,
            total_bytes = host.held_memory.total(); "stalled caller ended"
        );
        host.metrics.count("stalled_callers_ended");
    }
    held.ok_or_else(|| refuse_for_memory(host, head))
}

fn refuse_for_memory(host: &Host, head: &request::RequestHead) -> Failure {
    host.metrics.count("refused{reason=\"HeldMemory\"}");
    log::info!(
        request = head.attempt_id, total_bytes = host.held_memory.total(); "short of memory"
    );
    Failure::unavailable("this host is short of memory", held_memory::RETRY)
}

/// Reads a body, at most for `timeout`.
async fn read_body_in_time(
    body: Incoming,
    limit: usize,
    held: &Held,
    timeout: Duration,
) -> Result<Bytes, Failure> {
    let timed_out =
        || Err(Failure::rejected(StatusCode::REQUEST_TIMEOUT, "body", "send it in time"));
    let mut body_read = std::pin::pin!(read_body(body, limit, held));
    // Most bodies arrive with their head, and then need no timer.
    match future::poll_once(&mut body_read).await {
        Some(it) => it,
        None => clock::timeout(timeout, body_read).await.unwrap_or_else(timed_out),
    }
}

/// Reads a body of up to `limit` bytes; `held` has room for the length that the caller announced.
async fn read_body(mut body: Incoming, limit: usize, held: &Held) -> Result<Bytes, Failure> {
    let announced = body.size_hint().lower().min(limit as u64) as usize;
    let too_long = || {
        let text = format!("send at most {limit} bytes");
        Err(Failure::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body", text))
    };
    if (limit as u64) < body.size_hint().lower() {
        return too_long();
    }
    let mut res = BytesMut::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|it| Failure::rejected(StatusCode::BAD_REQUEST, "body", it.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if limit < res.len() + data.len() {
            return too_long();
        }
        let n_unannounced = (res.len() + data.len()).saturating_sub(announced.max(res.len()));
        // The announced length was reserved at admission.
        if 0 < n_unannounced && !held.grow_request(n_unannounced as u64) {
            return Err(Failure::unavailable("this host is short of memory", held_memory::RETRY));
        }
        res.extend_from_slice(&data);
    }
    Ok(res.freeze())
}
