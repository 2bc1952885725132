//! Serves a request: waits for a grant, sends the request upstream and relays the response, with
//! retries where these are allowed.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use http::{Response, StatusCode};
use portfield::route::{AttemptPhase, Outcome, RejectReason, Request, backoff, outcome_of};
use portfield::slo::Sample;
use portfield_net::clock;

use crate::{
    app::{App, GrantResult},
    call::Call,
    idempotency::{self, ClaimResult},
    relay,
    response::{Body, Rejection},
    resume::{self, RESUME},
    ticket::Ticket,
    upstream::{self, AttemptError, Endpoint},
};

/// Largest number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;

/// Serves a call, and returns the response for the caller.
pub(crate) async fn serve(app: Arc<App>, call: Call) -> Response<Body> {
    app.counters.accepted.fetch_add(1, Ordering::Relaxed);
    app.deposit_retry();
    let name = format!("workspace {}, service {}", call.workspace.name, call.service.name);
    app.record(&call.id, 0, format!("accepted: {name}, hint {}", call.cost_hint));
    let (id, workspace, service) = (call.id.clone(), call.workspace.id, call.service.clone());
    match serve_idempotent(&app, call).await {
        Ok(res) => res,
        Err(it) => {
            let counter = match it.outcome {
                Outcome::NotRun => &app.counters.not_run,
                Outcome::Unknown => &app.counters.unknown,
            };
            counter.fetch_add(1, Ordering::Relaxed);
            // A request rejected for a full queue or a reused key is not a failure of the fleet,
            // so it does not count against the objectives.
            if it.status.is_server_error() {
                app.observe(
                    workspace,
                    &service,
                    Sample { first_byte: None, token_gap: Duration::ZERO },
                );
            }
            app.record(&id, 0, format!("given up: {}, outcome {}", it.text, it.outcome));
            log::info!(request = id, outcome:% = it.outcome; "given up: {}", it.text);
            it.to_response(&id)
        }
    }
}

/// Resumes a stream, or sends the request, after its idempotency key is claimed if it has one.
async fn serve_idempotent(app: &Arc<App>, call: Call) -> Result<Response<Body>, Rejection> {
    if let Some(token) = call.headers.get(RESUME).and_then(|it| it.to_str().ok()) {
        return resume::resume(app, &call, token).await;
    }
    let Some(key) = call.idempotency_key.clone() else { return send_with_retries(app, call).await };
    let claim = match idempotency::claim(app, &call, &key).await? {
        ClaimResult::Acquired(it) => it,
        ClaimResult::Replayed(res) => {
            app.record(&call.id, 0, "answered from its key");
            return Ok(res);
        }
    };
    app.record(&call.id, 0, "key claimed");
    // Dropped with this future if the caller disconnects.
    let mut guard = idempotency::ClaimGuard::new(app.clone(), claim, call.may_have_run.clone());
    match send_with_retries(app, call).await {
        Ok(res) => Ok(idempotency::store_response(app, guard.take(), res).await),
        Err(it) => {
            let claim = guard.take();
            if it.outcome == Outcome::NotRun {
                idempotency::release(app, claim).await;
            }
            Err(it)
        }
    }
}

/// Sends a request until an attempt succeeds or no further attempt is allowed.
///
/// A request that may have run is only sent again if it is repeatable and has no idempotency key.
async fn send_with_retries(app: &Arc<App>, call: Call) -> Result<Response<Body>, Rejection> {
    let deadline = clock::now() + call.wait_limit;
    let mut n_ambiguous = 0;
    let mut n_failed = 0;
    loop {
        let ticket = register(app, &call, deadline, n_ambiguous)?;
        let err = match attempt(app, &call, ticket, n_ambiguous).await? {
            Ok(res) => return Ok(res),
            Err(it) => it,
        };
        n_failed += 1;
        app.record(&call.id, 0, format!("attempt broke: {}", err.text));
        let is_not_run = err.phase <= AttemptPhase::Declined;
        n_ambiguous += u32::from(!is_not_run);
        call.may_have_run.store(0 < n_ambiguous, Ordering::Relaxed);
        let may_retry = is_not_run || call.repeatable && call.idempotency_key.is_none();
        if !may_retry || n_failed == MAX_ATTEMPTS || !app.withdraw_retry() {
            let outcome = outcome_of(err.phase, n_ambiguous);
            let retry = (outcome == Outcome::NotRun).then_some(backoff(5, 1.0));
            return Err(Rejection::failed(StatusCode::BAD_GATEWAY, outcome, err.text, retry));
        }
        app.counters.retries.fetch_add(1, Ordering::Relaxed);
        clock::sleep(backoff(n_failed - 1, fastrand::f64())).await;
    }
}

/// Registers a ticket for one attempt.
fn register(
    app: &Arc<App>,
    call: &Call,
    deadline: Duration,
    n_ambiguous: u32,
) -> Result<Ticket, Rejection> {
    let request = Request {
        workspace: call.workspace.clone(),
        service: call.service.id,
        cost_hint: call.cost_hint,
        is_batch: call.is_batch,
        prefix_hash: call.prefix_hash(),
        body_bytes: call.body.len(),
        deadline,
    };
    let ticket = app.submit(request).map_err(|_| {
        let retry = Duration::from_secs(1);
        rejection(RejectReason::QueueFull, retry, n_ambiguous)
    })?;
    app.record(&call.id, ticket.id(), "waits for a grant");
    Ok(ticket)
}

/// Waits for the ticket's grant and sends the request to the granted upstream.
///
/// The outer error ends the request; the inner one may be retried.
async fn attempt(
    app: &Arc<App>,
    call: &Call,
    mut ticket: Ticket,
    n_ambiguous: u32,
) -> Result<Result<Response<Body>, AttemptError>, Rejection> {
    let upstream = match ticket.wait().await {
        Some(GrantResult::Granted(it)) => it,
        Some(GrantResult::Rejected(reason, retry)) => {
            return Err(rejection(reason, retry, n_ambiguous));
        }
        None => return Err(rejection(RejectReason::Timeout, backoff(5, 1.0), n_ambiguous)),
    };
    let Some(endpoint) = Endpoint::find_active(&app.fleet(), upstream) else {
        let text = "the upstream is gone".to_owned();
        return Ok(Err(AttemptError { phase: AttemptPhase::Unsent, text }));
    };
    app.record(&call.id, ticket.id(), format!("granted: upstream {}", endpoint.address));
    call.may_have_run.store(true, Ordering::Relaxed);
    match upstream::send(app, &endpoint, call).await {
        Ok(response) => Ok(Ok(relay::start(app, call, Some(ticket), endpoint, response))),
        Err(err) => {
            ticket.fail(0);
            Ok(Err(err))
        }
    }
}

fn rejection(reason: RejectReason, retry: Duration, n_ambiguous: u32) -> Rejection {
    let (status, text) = match reason {
        RejectReason::QueueFull => {
            (StatusCode::TOO_MANY_REQUESTS, "the workspace has too much waiting already")
        }
        RejectReason::Timeout => (StatusCode::SERVICE_UNAVAILABLE, "no upstream was free in time"),
    };
    let outcome = outcome_of(AttemptPhase::Unsent, n_ambiguous);
    Rejection::failed(status, outcome, text, Some(retry))
}
