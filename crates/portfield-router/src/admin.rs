//! The admin port: readiness, counters, records of requests.

use std::sync::atomic::Ordering;

use http_types::{Request, Response};
use portfield_net::{http1::json_response, rpc};
use serde_json::json;

use crate::shell::Shell;

/// Answers a request of the admin port.
pub(crate) fn answer(shell: &Shell, request: &Request) -> Response {
    match request.url().path() {
        "/ready" => {
            let status = if shell.is_ready() { 200 } else { 503 };
            json_response(status, &json!({ "revision": shell.fleet().revision }))
        }
        "/status" => status(shell),
        "/burn" => json_response(200, &shell.burn()),
        "/records" => {
            let id = request.url().query().unwrap_or_default();
            json_response(200, &shell.records(id))
        }
        _ => json_response(
            404,
            &json!({ "error": "try /ready, /status, /burn or /records?REQUEST-ID" }),
        ),
    }
}

fn status(shell: &Shell) -> Response {
    let (sent, received) = rpc::control_traffic();
    let (waiting, running) = shell.load();
    let counts = &shell.counts;
    let count = |it: &std::sync::atomic::AtomicU64| it.load(Ordering::Relaxed);
    json_response(
        200,
        &json!({
            "host": shell.address.ip(),
            "revision": shell.fleet().revision,
            "ready": shell.is_ready(),
            "waiting": waiting,
            "running": running,
            "accepted": count(&counts.accepted),
            "answered": count(&counts.answered),
            "not_run": count(&counts.not_run),
            "unknown": count(&counts.unknown),
            "rejected": count(&counts.rejected),
            "hung_up": count(&counts.hung_up),
            "retries": count(&counts.retries),
            "resumed": count(&counts.resumed),
            "connections": count(&counts.connections),
            "control_sent": sent,
            "control_received": received,
        }),
    )
}
