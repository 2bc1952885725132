//! A caller that comes with the token of a stream that another router held.

use std::sync::Arc;

use http::{Response, StatusCode};
use portfield::route::{Outcome, parse_resume_token};

use crate::{
    answer::{Body, Rejection},
    call::Call,
    relay,
    shell::Shell,
    upstream::{self, Place},
};

/// Header with a stream's token, on its answer and on a request to go on with it.
pub(crate) const RESUME: &str = "x-portfield-resume";

/// Goes on with a stream after the event that the caller names.
pub(crate) async fn run(
    shell: &Arc<Shell>,
    call: &Call,
    token: &str,
) -> Result<Response<Body>, Rejection> {
    let fleet = shell.fleet();
    let found = parse_resume_token(&fleet, call.workspace.id, token);
    let Some((upstream, stream)) = found else {
        let text = "this is not the token of a stream of this workspace";
        return Err(Rejection::bad(StatusCode::FORBIDDEN, RESUME, text));
    };
    let gone = |text: &str| Rejection::gave_up(StatusCode::GONE, Outcome::Unknown, text, None);
    let place = Place::at(&fleet, upstream).ok_or_else(|| gone("its upstream is gone"))?;
    let last = call.headers.get("last-event-id").and_then(|it| it.to_str().ok()).unwrap_or("0");
    match upstream::resume(shell, &place, stream, last).await {
        Ok(res) if res.status().is_success() => Ok(relay::start(shell, call, None, place, res)),
        Ok(_) => Err(gone("the upstream no longer has the stream")),
        Err(it) => Err(gone(&it.text)),
    }
}
