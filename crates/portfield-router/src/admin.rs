//! Admin endpoint: readiness, counters and records of requests.

use std::sync::atomic::Ordering;

use http_types::{Request, Response};
use portfield_net::{http1::json_response, rpc};
use serde_json::json;

use crate::app::App;

/// Handles a request to the admin endpoint.
pub(crate) fn handle(app: &App, request: &Request) -> Response {
    match request.url().path() {
        "/ready" => {
            let status = if app.is_ready() { 200 } else { 503 };
            json_response(status, &json!({ "revision": app.fleet().revision }))
        }
        "/status" => status(app),
        "/burn" => json_response(200, &app.burn_report()),
        "/records" => {
            let id = request.url().query().unwrap_or_default();
            json_response(200, &app.records(id))
        }
        _ => json_response(
            404,
            &json!({ "error": "try /ready, /status, /burn or /records?REQUEST-ID" }),
        ),
    }
}

fn status(app: &App) -> Response {
    let (sent, received) = rpc::control_traffic();
    let (waiting, running) = app.load();
    let counters = &app.counters;
    let count = |it: &std::sync::atomic::AtomicU64| it.load(Ordering::Relaxed);
    json_response(
        200,
        &json!({
            "host": app.address.ip(),
            "revision": app.fleet().revision,
            "ready": app.is_ready(),
            "waiting": waiting,
            "running": running,
            "accepted": count(&counters.accepted),
            "answered": count(&counters.answered),
            "not_run": count(&counters.not_run),
            "unknown": count(&counters.unknown),
            "rejected": count(&counters.rejected),
            "hung_up": count(&counters.hung_up),
            "retries": count(&counters.retries),
            "resumed": count(&counters.resumed),
            "connections": count(&counters.connections),
            "control_sent": sent,
            "control_received": received,
        }),
    )
}
