//! Requests with an idempotency key: the key is claimed before the request is sent, and a repeated
//! request gets the stored response.

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
    app::App,
    call::Call,
    response::{Body, REQUEST_ID, Rejection, header_value},
    writes::Written,
};

/// Header that marks the stored response to an earlier request.
const REPLAYED: &str = "x-portfield-replayed";
/// Time after which the caller may retry if the table service does not respond.
const STORE_RETRY: std::time::Duration = std::time::Duration::from_secs(5);
/// Largest number of attempts to claim a row that others change at the same time.
const MAX_ATTEMPTS: u32 = 4;

/// A claim held by a request, with the key and version of its row.
#[derive(Debug, Clone)]
pub(crate) struct HeldClaim {
    key: String,
    version: u64,
    claim: Claim,
}

/// Releases a claim on drop, if the request that holds it ends without having been sent, for
/// example because its caller disconnects.
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

    /// Takes the claim, so that it is no longer released on drop.
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

/// Result of claiming a request's key.
pub(crate) enum ClaimResult {
    /// The key is claimed, and only this request may be sent.
    Acquired(HeldClaim),
    /// An earlier request with the key completed; its stored response.
    Replayed(Response<Body>),
}

/// Claims a request's key.
///
/// # Errors
///
/// The rejection if the key is claimed by another request, was used for a different request, or
/// cannot be claimed.
pub(crate) async fn claim(app: &App, call: &Call, key: &str) -> Result<ClaimResult, Rejection> {
    let row = claim_key(call.workspace.id, call.service.id, key);
    let content: [&[u8]; 3] = [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body];
    let own_claim = Claim::new(&call.id, &content);
    let mut version = ABSENT_VERSION;
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
            // If the write is still applied later, it only blocks the key: nothing was sent.
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

/// Releases a claim whose request certainly did not run, so that the key can be used again.
pub(crate) async fn release(app: &App, claim: HeldClaim) {
    update_claim(app, claim, ClaimState::Free).await;
}

/// Stores a response with its key, the body only if it is short text, and returns the response.
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

/// Writes the state of a claim to its row.
async fn update_claim(app: &App, claim: HeldClaim, state: ClaimState) {
    let HeldClaim { key, version, claim } = claim;
    let claim = Claim { state, ..claim };
    let written = app.table.write(&key, version, claim.to_row()).await;
    if written != Written::Applied {
        log::warn!(request = claim.request; "the row of the idempotency key was not updated: {written:?}");
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
