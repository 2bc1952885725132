//! Validation of a caller's request.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use portfield::fleet::{Fleet, Kind, Service, Workspace};
use portfield_net::clock;
use xxhash_rust::xxh3::xxh3_64;

use crate::response::Rejection;

/// Header with the expected cost, in tokens.
const HINT: &str = "x-portfield-hint";
/// Header with the class of the request: `interactive` or `batch`.
const CLASS: &str = "x-portfield-class";
/// Header with the longest wait for a grant, in milliseconds.
const WAIT: &str = "x-portfield-wait-ms";
/// Header that is `never` if the request must not be sent again once it may have run.
const REPEAT: &str = "x-portfield-repeat";
/// Header with the idempotency key, for at-most-once execution.
const KEY: &str = "idempotency-key";
/// Largest expected cost, in tokens.
const MAX_HINT: u32 = 1 << 20;
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Length of a prompt's prefix, in bytes.
const PREFIX_BYTES: usize = 256;
/// Bytes of a prompt that cost as much as one generated token.
const BYTES_PER_TOKEN: usize = 64;

/// A validated request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub id: String,
    pub arrived_at: Duration,
    pub workspace: Workspace,
    pub service: Service,
    pub method: Method,
    /// Path and query that the upstream sees.
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub cost_hint: u32,
    pub is_batch: bool,
    pub wait_limit: Duration,
    pub repeatable: bool,
    pub idempotency_key: Option<String>,
    /// Whether an attempt may have run.
    pub may_have_run: Arc<AtomicBool>,
}

impl Call {
    /// Validates a request's head.
    ///
    /// # Errors
    ///
    /// The rejection, which names the invalid part of the request.
    pub(crate) fn parse(id: &str, fleet: &Fleet, parts: Parts) -> Result<Self, Rejection> {
        let workspace = find_workspace(fleet, &parts.headers)?;
        let (service, path) = find_service(fleet, &parts.uri)?;
        let repeat = header_choice(&parts.headers, REPEAT, ["never", "allowed"])?;
        let max_wait = service.wait_limit();
        let wait = header_number(&parts.headers, WAIT, 1, max_wait.as_millis() as u32)?;
        Ok(Self {
            id: id.to_owned(),
            arrived_at: clock::now(),
            cost_hint: header_number(&parts.headers, HINT, 1, MAX_HINT)?.unwrap_or(0),
            is_batch: header_choice(&parts.headers, CLASS, ["batch", "interactive"])? == Some(0),
            wait_limit: wait.map_or(max_wait, |it| Duration::from_millis(u64::from(it))),
            repeatable: service.repeatable && repeat != Some(0),
            idempotency_key: parse_key(&parts.headers)?,
            may_have_run: Arc::default(),
            workspace: workspace.clone(),
            service: service.clone(),
            method: parts.method,
            path,
            headers: parts.headers,
            body: Bytes::new(),
        })
    }

    /// Returns the hash of the prompt's prefix, zero if there is none.
    pub(crate) fn prefix_hash(&self) -> u32 {
        if self.service.kind == Kind::Plain || self.body.is_empty() {
            return 0;
        }
        let len = self.body.len().min(PREFIX_BYTES);
        (xxh3_64(&self.body[..len]) as u32).max(1)
    }

    /// Returns the cost of the prompt, in tokens.
    pub(crate) fn prompt_cost(&self) -> u32 {
        1 + (self.body.len() / BYTES_PER_TOKEN) as u32
    }
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// The rejection if the body is too long, incomplete or malformed.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Rejection> {
    let res = Limited::new(body, limit).collect().await;
    res.map(|it| it.to_bytes()).map_err(|err| {
        if err.is::<http_body_util::LengthLimitError>() {
            let text = format!("the body is longer than {limit} bytes");
            return Rejection::invalid(StatusCode::PAYLOAD_TOO_LARGE, "body", text);
        }
        Rejection::invalid(StatusCode::BAD_REQUEST, "body", "the body is cut short or malformed")
    })
}

fn find_workspace<'a>(fleet: &'a Fleet, headers: &HeaderMap) -> Result<&'a Workspace, Rejection> {
    let bad = |text: &str| Rejection::invalid(StatusCode::UNAUTHORIZED, "authorization", text);
    let value = headers.get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
    let token = value.and_then(|it| it.strip_prefix("Bearer "));
    let token = token.ok_or_else(|| bad("send `Authorization: Bearer TOKEN`"))?;
    fleet.workspace_by_token(token).ok_or_else(|| bad("no workspace has this token"))
}

fn find_service<'a>(fleet: &'a Fleet, uri: &http::Uri) -> Result<(&'a Service, String), Rejection> {
    let path = uri.path().strip_prefix('/').unwrap_or_default();
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    let service = fleet.service_by_name(name).ok_or_else(|| {
        let text = format!("no service is named `{name}`");
        Rejection::invalid(StatusCode::NOT_FOUND, "path", text)
    })?;
    let query = uri.query().map(|it| format!("?{it}")).unwrap_or_default();
    Ok((service, format!("/{rest}{query}")))
}

/// Returns the number in a header, from `min` to `max`, if the header is present.
fn header_number(
    headers: &HeaderMap,
    name: &'static str,
    min: u32,
    max: u32,
) -> Result<Option<u32>, Rejection> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let res = value.to_str().ok().and_then(|it| it.parse().ok());
    res.filter(|it| (min..=max).contains(it)).map(Some).ok_or_else(|| {
        let text = format!("must be a number from {min} to {max}");
        Rejection::invalid(StatusCode::BAD_REQUEST, name, text)
    })
}

/// Returns the index of a header's value in `values`, if the header is present.
fn header_choice(
    headers: &HeaderMap,
    name: &'static str,
    values: [&str; 2],
) -> Result<Option<usize>, Rejection> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let res = values.iter().position(|it| value.as_bytes() == it.as_bytes());
    res.map(Some).ok_or_else(|| {
        let text = format!("must be `{}` or `{}`", values[0], values[1]);
        Rejection::invalid(StatusCode::BAD_REQUEST, name, text)
    })
}

fn parse_key(headers: &HeaderMap) -> Result<Option<String>, Rejection> {
    let Some(value) = headers.get(KEY) else { return Ok(None) };
    let text = value.to_str().ok().filter(|it| (1..=MAX_KEY_BYTES).contains(&it.len()));
    text.map(|it| Some(it.to_owned())).ok_or_else(|| {
        let text = format!("must have 1 to {MAX_KEY_BYTES} visible characters");
        Rejection::invalid(StatusCode::BAD_REQUEST, KEY, text)
    })
}
