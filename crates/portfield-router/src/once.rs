//! Requests with an idempotency key: claimed before they are sent, answered from the key
//! when they are repeated.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use portfield::{
    idempotency::{Claim, ClaimState, Decision, MAX_KEPT_ANSWER, claim_key, decide},
    route::Outcome,
};
use portfield_net::platform::ABSENT_VERSION;

use crate::{
    answer::{Body, REQUEST_ID, Rejection, text_header},
    call::Call,
    shell::Shell,
    writes::Written,
};

/// Header that marks the kept answer of an earlier request.
const REPLAYED: &str = "x-portfield-replayed";
/// When to come back if the table service doesn't answer.
const STORE_RETRY: std::time::Duration = std::time::Duration::from_secs(5);
/// Attempts to write a claim over a row that changes.
const MAX_ATTEMPTS: u32 = 4;

/// A claim that this request holds.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    key: String,
    version: u64,
    claim: Claim,
}

/// Gives a claim back if the request that holds it ends without having been sent, as when
/// its caller hangs up.
pub(crate) struct Guard {
    shell: Arc<Shell>,
    held: Held,
    sent: Arc<AtomicBool>,
    taken: bool,
}

impl Guard {
    pub(crate) fn new(shell: Arc<Shell>, held: Held, sent: Arc<AtomicBool>) -> Self {
        Self { shell, held, sent, taken: false }
    }

    /// Takes the claim: what becomes of it is decided elsewhere.
    pub(crate) fn take(&mut self) -> Held {
        self.taken = true;
        self.held.clone()
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.taken || self.sent.load(Ordering::Relaxed) {
            return;
        }
        let (shell, held) = (self.shell.clone(), self.held.clone());
        self.shell.rt.spawn(async move { release(&shell, held).await });
    }
}

/// What follows from a request's key.
pub(crate) enum Claimed {
    /// It may be sent, by this request only.
    Send(Held),
    /// It ran before; with its kept answer.
    Replay(Response<Body>),
}

/// Claims a request's key.
///
/// # Errors
///
/// The answer where the key is taken, stands for something else, or can't be claimed.
pub(crate) async fn claim(shell: &Shell, call: &Call, key: &str) -> Result<Claimed, Rejection> {
    let row = claim_key(call.workspace.id, call.service.id, key);
    let content: [&[u8]; 3] = [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body];
    let mine = Claim::new(&call.id, &content);
    let mut version = ABSENT_VERSION;
    for _ in 0..MAX_ATTEMPTS {
        let found = match shell.writes.write(&row, version, mine.to_row()).await {
            Written::Applied => {
                return Ok(Claimed::Send(Held { key: row, version: version + 1, claim: mine }));
            }
            Written::Conflict(found) => found,
            // A claim that arrives late only keeps the key from being used: nothing was sent.
            Written::Refused | Written::Unclear => return Err(no_store()),
        };
        match decide(Claim::from_row(&found.value).as_ref(), &mine) {
            Decision::Claim => version = found.version,
            Decision::AlreadyHeld => {
                let held = Held { key: row, version: found.version, claim: mine };
                return Ok(Claimed::Send(held));
            }
            Decision::Conflict => return Err(taken()),
            Decision::Mismatch => return Err(mismatch()),
            Decision::Replay(status, body) => return replay(&call.id, status, body),
        }
    }
    Err(taken())
}

/// Gives the key up: the request certainly did not run.
pub(crate) async fn release(shell: &Shell, held: Held) {
    settle(shell, held, ClaimState::Free).await;
}

/// Keeps the answer with the key, as far as it is short text, and returns it.
pub(crate) async fn keep(shell: &Shell, held: Held, res: Response<Body>) -> Response<Body> {
    let (parts, body) = res.into_parts();
    let status = parts.status.as_u16();
    let length = parts.headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok());
    let length = length.and_then(|it| it.parse::<usize>().ok());
    let is_short = length.is_some_and(|it| it <= MAX_KEPT_ANSWER);
    if !is_short {
        settle(shell, held, ClaimState::Done { status, body: None }).await;
        return Response::from_parts(parts, body);
    }
    let Ok(bytes) = body.collect().await.map(http_body_util::Collected::to_bytes) else {
        let text = "the upstream's answer was cut short";
        let rejection = Rejection::gave_up(StatusCode::BAD_GATEWAY, Outcome::Unknown, text, None);
        return rejection.answer(&held.claim.request);
    };
    let text = String::from_utf8(bytes.to_vec()).ok();
    settle(shell, held, ClaimState::Done { status, body: text }).await;
    Response::from_parts(parts, whole(bytes))
}

async fn settle(shell: &Shell, held: Held, state: ClaimState) {
    let Held { key, version, claim } = held;
    let claim = Claim { state, ..claim };
    let written = shell.writes.write(&key, version, claim.to_row()).await;
    if written != Written::Applied {
        log::warn!(request = claim.request; "the key's row was not updated: {written:?}");
    }
}

fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|it| match it {}).boxed_unsync()
}

fn replay(id: &str, status: u16, body: Option<String>) -> Result<Claimed, Rejection> {
    let Some(body) = body else {
        let text = "a request with this key was answered; its answer was not kept";
        return Err(conflict(text));
    };
    let mut res = Response::new(whole(Bytes::from(body)));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    res.headers_mut().insert(REQUEST_ID, text_header(id));
    res.headers_mut().insert(REPLAYED, text_header("true"));
    Ok(Claimed::Replay(res))
}

fn taken() -> Rejection {
    conflict("a request with this key may have run, or runs now")
}

fn conflict(text: &str) -> Rejection {
    Rejection::gave_up(StatusCode::CONFLICT, Outcome::Unknown, text, None)
}

fn mismatch() -> Rejection {
    let text = "this key was used for another request";
    Rejection::bad(StatusCode::UNPROCESSABLE_ENTITY, "idempotency-key", text)
}

fn no_store() -> Rejection {
    let text = "the key could not be claimed: the table service does not answer";
    let retry = Some(STORE_RETRY);
    Rejection::gave_up(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, text, retry)
}
