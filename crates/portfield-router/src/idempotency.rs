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
use portfield_net::platform::ABSENT;

use crate::{
    app::App,
    call::Call,
    response::{Body, REQUEST_ID, Rejection, header_value},
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
pub(crate) struct HeldClaim {
    key: String,
    version: u64,
    claim: Claim,
}

/// Gives a claim back if the request that holds it ends without having been sent, as when
/// its caller hangs up.
pub(crate) struct ClaimGuard {
    app: Arc<App>,
    claim: HeldClaim,
    may_have_run: Arc<AtomicBool>,
    taken: bool,
}

impl ClaimGuard {
    pub(crate) fn new(app: Arc<App>, claim: HeldClaim, may_have_run: Arc<AtomicBool>) -> Self {
        Self { app, claim, may_have_run, taken: false }
    }

    /// Takes the claim: what becomes of it is decided elsewhere.
    pub(crate) fn take(&mut self) -> HeldClaim {
        self.taken = true;
        self.claim.clone()
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if self.taken || self.may_have_run.load(Ordering::Relaxed) {
            return;
        }
        let (app, claim) = (self.app.clone(), self.claim.clone());
        self.app.rt.spawn(async move { release(&app, claim).await });
    }
}

/// What follows from a request's key.
pub(crate) enum ClaimResult {
    /// It may be sent, by this request only.
    Acquired(HeldClaim),
    /// It ran before; with its kept answer.
    Replayed(Response<Body>),
}

/// Claims a request's key.
///
/// # Errors
///
/// The answer where the key is taken, stands for something else, or can't be claimed.
pub(crate) async fn claim(app: &App, call: &Call, key: &str) -> Result<ClaimResult, Rejection> {
    let row = claim_key(call.workspace.id, call.service.id, key);
    let content: [&[u8]; 3] = [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body];
    let own_claim = Claim::new(&call.id, &content);
    let mut version = ABSENT;
    for _ in 0..MAX_ATTEMPTS {
        let found = match app.table.write(&row, version, own_claim.to_row()).await {
            Written::Applied => {
                return Ok(ClaimResult::Acquired(HeldClaim {
                    key: row,
                    version: version + 1,
                    claim: own_claim,
                }));
            }
            Written::Conflict(found) => found,
            // A claim that arrives late only keeps the key from being used: nothing was sent.
            Written::Refused | Written::Unclear => return Err(store_unavailable()),
        };
        match decide(Claim::from_row(&found.value).as_ref(), &own_claim) {
            Decision::Claim => version = found.version,
            Decision::AlreadyHeld => {
                let claim = HeldClaim { key: row, version: found.version, claim: own_claim };
                return Ok(ClaimResult::Acquired(claim));
            }
            Decision::Conflict => return Err(key_taken()),
            Decision::Mismatch => return Err(mismatch()),
            Decision::Replay(status, body) => return replay(&call.id, status, body),
        }
    }
    Err(key_taken())
}

/// Gives the key up: the request certainly did not run.
pub(crate) async fn release(app: &App, claim: HeldClaim) {
    update_claim(app, claim, ClaimState::Free).await;
}

/// Keeps the answer with the key, as far as it is short text, and returns it.
pub(crate) async fn store_response(
    app: &App,
    claim: HeldClaim,
    res: Response<Body>,
) -> Response<Body> {
    let (parts, body) = res.into_parts();
    let status = parts.status.as_u16();
    let length = parts.headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok());
    let length = length.and_then(|it| it.parse::<usize>().ok());
    let is_storable = length.is_some_and(|it| it <= MAX_KEPT_ANSWER);
    if !is_storable {
        update_claim(app, claim, ClaimState::Done { status, body: None }).await;
        return Response::from_parts(parts, body);
    }
    let Ok(bytes) = body.collect().await.map(http_body_util::Collected::to_bytes) else {
        let text = "the upstream's answer was cut short";
        let rejection = Rejection::failed(StatusCode::BAD_GATEWAY, Outcome::Unknown, text, None);
        return rejection.to_response(&claim.claim.request);
    };
    let text = String::from_utf8(bytes.to_vec()).ok();
    update_claim(app, claim, ClaimState::Done { status, body: text }).await;
    Response::from_parts(parts, full_body(bytes))
}

async fn update_claim(app: &App, claim: HeldClaim, state: ClaimState) {
    let HeldClaim { key, version, claim } = claim;
    let claim = Claim { state, ..claim };
    let written = app.table.write(&key, version, claim.to_row()).await;
    if written != Written::Applied {
        log::warn!(request = claim.request; "the key's row was not updated: {written:?}");
    }
}

fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|it| match it {}).boxed_unsync()
}

fn replay(id: &str, status: u16, body: Option<String>) -> Result<ClaimResult, Rejection> {
    let Some(body) = body else {
        let text = "a request with this key was answered; its answer was not kept";
        return Err(conflict(text));
    };
    let mut res = Response::new(full_body(Bytes::from(body)));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    res.headers_mut().insert(REQUEST_ID, header_value(id));
    res.headers_mut().insert(REPLAYED, header_value("true"));
    Ok(ClaimResult::Replayed(res))
}

fn key_taken() -> Rejection {
    conflict("a request with this key may have run, or runs now")
}

fn conflict(text: &str) -> Rejection {
    Rejection::failed(StatusCode::CONFLICT, Outcome::Unknown, text, None)
}

fn mismatch() -> Rejection {
    let text = "this key was used for another request";
    Rejection::invalid(StatusCode::UNPROCESSABLE_ENTITY, "idempotency-key", text)
}

fn store_unavailable() -> Rejection {
    let text = "the key could not be claimed: the table service does not answer";
    let retry = Some(STORE_RETRY);
    Rejection::failed(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, text, retry)
}
