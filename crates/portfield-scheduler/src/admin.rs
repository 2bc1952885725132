//! Admin endpoint: readiness, status and decisions on tickets.

use http_types::{Request, Response};
use portfield::{member::MemberState, schedule::Scheduler};
use portfield_net::{http1::json_response, rpc};
use serde_json::{Value, json};

use crate::app::App;

/// Handles a request to the admin endpoint.
pub(crate) fn handle(app: &App, request: &Request) -> Response {
    match request.url().path() {
        "/ready" => ready(app),
        "/status" => json_response(200, &app.read(|it| status(it))),
        "/decisions" => decisions(app, request),
        _ => json_response(404, &json!({ "error": "try /ready, /status or /decisions" })),
    }
}

fn ready(app: &App) -> Response {
    let revision = app.read(|it| it.fleet().revision);
    let status = if 0 < revision { 200 } else { 503 };
    json_response(status, &json!({ "revision": revision }))
}

fn status(scheduler: &Scheduler) -> Value {
    let (sent, received) = rpc::control_traffic();
    let members: Vec<_> = scheduler
        .view()
        .iter()
        .map(|(host, it)| {
            let state = match it.state {
                MemberState::Alive => "alive",
                MemberState::Suspect => "suspect",
                MemberState::Dead => "dead",
                MemberState::Leaving => "leaving",
            };
            json!({ "host": host, "data_centre": it.data_centre, "state": state })
        })
        .collect();
    let shards: Vec<_> = scheduler
        .status()
        .iter()
        .map(|it| {
            let backlog: Vec<_> = it
                .backlog
                .iter()
                .map(|it| json!({ "workspace": it.id, "waiting": it.waiting, "counter": it.counter }))
                .collect();
            json!({
                "shard": it.shard.to_string(),
                "service": it.shard.service,
                "slots": it.slots,
                "used": it.used,
                "backlog": backlog,
            })
        })
        .collect();
    json!({
        "host": scheduler.view().local_host(),
        "revision": scheduler.fleet().revision,
        "control_sent": sent,
        "control_received": received,
        "members": members,
        "shards": shards,
    })
}

fn decisions(app: &App, request: &Request) -> Response {
    let query = |key: &str| {
        let pairs = request.url().query_pairs();
        pairs.into_iter().find(|(name, _)| name == key).map(|(_, value)| value.into_owned())
    };
    let host = query("host").and_then(|it| it.parse().ok());
    let ticket = query("ticket").and_then(|it| it.parse().ok());
    let (Some(host), Some(ticket)) = (host, ticket) else {
        return json_response(400, &json!({ "error": "give host and ticket" }));
    };
    let all: Vec<_> = app.read(|it| {
        let all = it.decisions(host, ticket);
        all.iter()
            .map(|it| json!({ "at_ms": it.at.as_millis(), "text": it.step.to_string() }))
            .collect()
    });
    json_response(200, &all)
}
