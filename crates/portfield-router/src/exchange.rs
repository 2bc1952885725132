//! The way of one request: ticket, grant, upstream, answer; again where that is allowed.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use http::{Response, StatusCode};
use portfield::route::{AttemptPhase, Outcome, RejectReason, Request, backoff, outcome_of};
use portfield::slo::Sample;
use portfield_net::clock;

use crate::{
    answer::{Body, Rejection},
    call::Call,
    once::{self, Claimed},
    relay,
    resume::{self, RESUME},
    shell::{Shell, Verdict},
    ticket::Ticket,
    upstream::{self, Broken, Place},
};

/// Most attempts at one request.
const MAX_ATTEMPTS: u32 = 4;

/// Serves a call to its end.
pub(crate) async fn run(shell: Arc<Shell>, call: Call) -> Response<Body> {
    shell.counts.accepted.fetch_add(1, Ordering::Relaxed);
    shell.earn_retry();
    let name = format!("workspace {}, service {}", call.workspace.name, call.service.name);
    shell.record(&call.id, 0, format!("accepted: {name}, hint {}", call.hint));
    let (id, workspace, service) = (call.id.clone(), call.workspace.id, call.service.clone());
    match keyed(&shell, call).await {
        Ok(res) => res,
        Err(it) => {
            let counter = match it.outcome {
                Outcome::NotRun => &shell.counts.not_run,
                Outcome::Unknown => &shell.counts.unknown,
            };
            counter.fetch_add(1, Ordering::Relaxed);
            // Who floods or repeats a key is refused by rule: the fleet did not fail it.
            if it.status.is_server_error() {
                shell.observe(
                    workspace,
                    &service,
                    Sample { first_byte: None, token_gap: Duration::ZERO },
                );
            }
            shell.record(&id, 0, format!("given up: {}, outcome {}", it.text, it.outcome));
            log::info!(request = id, outcome:% = it.outcome; "given up: {}", it.text);
            it.answer(&id)
        }
    }
}

/// Goes on with a stream, or claims the request's key, if it has one, before it is sent.
async fn keyed(shell: &Arc<Shell>, call: Call) -> Result<Response<Body>, Rejection> {
    if let Some(token) = call.headers.get(RESUME).and_then(|it| it.to_str().ok()) {
        return resume::run(shell, &call, token).await;
    }
    let Some(key) = call.key.clone() else { return attempts(shell, call).await };
    let held = match once::claim(shell, &call, &key).await? {
        Claimed::Send(held) => held,
        Claimed::Replay(res) => {
            shell.record(&call.id, 0, "answered from its key");
            return Ok(res);
        }
    };
    shell.record(&call.id, 0, "key claimed");
    // Dropped with this future where the caller hangs up.
    let mut guard = once::Guard::new(shell.clone(), held, call.sent.clone());
    match attempts(shell, call).await {
        Ok(res) => Ok(once::keep(shell, guard.take(), res).await),
        Err(it) => {
            let held = guard.take();
            if it.outcome == Outcome::NotRun {
                once::release(shell, held).await;
            }
            Err(it)
        }
    }
}

async fn attempts(shell: &Arc<Shell>, call: Call) -> Result<Response<Body>, Rejection> {
    let deadline = clock::now() + call.wait;
    let mut n_ambiguous = 0;
    let mut n_broken = 0;
    loop {
        let ticket = register(shell, &call, deadline, n_ambiguous)?;
        let broken = match attempt(shell, &call, ticket, n_ambiguous).await? {
            Ok(res) => return Ok(res),
            Err(it) => it,
        };
        n_broken += 1;
        shell.record(&call.id, 0, format!("attempt broke: {}", broken.text));
        let certain = broken.phase <= AttemptPhase::Declined;
        n_ambiguous += u32::from(!certain);
        call.sent.store(0 < n_ambiguous, Ordering::Relaxed);
        let allowed = certain || call.repeatable && call.key.is_none();
        if !allowed || n_broken == MAX_ATTEMPTS || !shell.spend_retry() {
            let outcome = outcome_of(broken.phase, n_ambiguous);
            let retry = (outcome == Outcome::NotRun).then_some(backoff(5, 1.0));
            return Err(Rejection::gave_up(StatusCode::BAD_GATEWAY, outcome, broken.text, retry));
        }
        shell.counts.retries.fetch_add(1, Ordering::Relaxed);
        clock::sleep(backoff(n_broken - 1, fastrand::f64())).await;
    }
}

fn register(
    shell: &Arc<Shell>,
    call: &Call,
    deadline: Duration,
    n_ambiguous: u32,
) -> Result<Ticket, Rejection> {
    let request = Request {
        workspace: call.workspace.clone(),
        service: call.service.id,
        cost_hint: call.hint,
        is_batch: call.batch,
        prefix_hash: call.prefix(),
        body_bytes: call.body.len(),
        deadline,
    };
    let ticket = shell.submit(request).map_err(|_| {
        let retry = Duration::from_secs(1);
        refused(RejectReason::QueueFull, retry, n_ambiguous)
    })?;
    shell.record(&call.id, ticket.id(), "waits for a grant");
    Ok(ticket)
}

async fn attempt(
    shell: &Arc<Shell>,
    call: &Call,
    mut ticket: Ticket,
    n_ambiguous: u32,
) -> Result<Result<Response<Body>, Broken>, Rejection> {
    let upstream = match ticket.wait().await {
        Some(Verdict::Start(it)) => it,
        Some(Verdict::Refuse(reason, retry)) => return Err(refused(reason, retry, n_ambiguous)),
        None => return Err(refused(RejectReason::Timeout, backoff(5, 1.0), n_ambiguous)),
    };
    let Some(place) = Place::find(&shell.fleet(), upstream) else {
        let text = "the upstream is gone".to_owned();
        return Ok(Err(Broken { phase: AttemptPhase::Unsent, text }));
    };
    shell.record(&call.id, ticket.id(), format!("granted: upstream {}", place.address));
    call.sent.store(true, Ordering::Relaxed);
    match upstream::send(shell, &place, call).await {
        Ok(response) => Ok(Ok(relay::start(shell, call, Some(ticket), place, response))),
        Err(broken) => {
            ticket.fail(0);
            Ok(Err(broken))
        }
    }
}

fn refused(reason: RejectReason, retry: Duration, n_ambiguous: u32) -> Rejection {
    let (status, text) = match reason {
        RejectReason::QueueFull => {
            (StatusCode::TOO_MANY_REQUESTS, "the workspace has too much waiting already")
        }
        RejectReason::Timeout => (StatusCode::SERVICE_UNAVAILABLE, "no upstream was free in time"),
    };
    let outcome = outcome_of(AttemptPhase::Unsent, n_ambiguous);
    Rejection::gave_up(status, outcome, text, Some(retry))
}
