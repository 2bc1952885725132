//! Resumes a stream for a caller that sends its resume token, even if another router served it.

use std::sync::Arc;

use http::{Response, StatusCode};
use portfield::route::{Outcome, parse_resume_token};

use crate::{
    app::App,
    call::Call,
    relay,
    response::{Body, Rejection},
    upstream::{self, Endpoint},
};

/// Header with a stream's resume token, in its response and in a request to resume it.
pub(crate) const RESUME: &str = "x-portfield-resume";

/// Resumes a stream after the event in the caller's `last-event-id` header.
pub(crate) async fn resume(
    app: &Arc<App>,
    call: &Call,
    token: &str,
) -> Result<Response<Body>, Rejection> {
    let fleet = app.fleet();
    let parsed = parse_resume_token(&fleet, call.workspace.id, token);
    let Some((upstream, stream_id)) = parsed else {
        let text = "this is not the token of a stream of this workspace";
        return Err(Rejection::invalid(StatusCode::FORBIDDEN, RESUME, text));
    };
    let gone = |text: &str| Rejection::failed(StatusCode::GONE, Outcome::Unknown, text, None);
    let endpoint = Endpoint::find(&fleet, upstream).ok_or_else(|| gone("its upstream is gone"))?;
    let last_id = call.headers.get("last-event-id").and_then(|it| it.to_str().ok()).unwrap_or("0");
    match upstream::resume(app, &endpoint, stream_id, last_id).await {
        Ok(res) if res.status().is_success() => Ok(relay::start(app, call, None, endpoint, res)),
        Ok(_) => Err(gone("the upstream no longer has the stream")),
        Err(it) => Err(gone(&it.text)),
    }
}
