//! Answers that the host gives by itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use portfield::balance::AnswerKind;
use portfield_platform::request::ATTEMPT_ID;
use serde::Serialize;

/// What a caller that has left is told; nobody reads it.
pub(crate) const CALLER_LEFT: &str = "the caller has left";
/// When it is told to come back.
pub(crate) const CALLER_LEFT_RETRY: Duration = Duration::ZERO;

/// Body of an answer to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A request that is not answered by an upstream, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Status of the answer.
    pub status: StatusCode,
    /// The header or part that is wrong; empty if none is.
    pub field: &'static str,
    /// What went wrong, for logs and the caller.
    pub reason: String,
    /// When to come back.
    pub retry: Option<Duration>,
    /// Whether it is for want of processor time, which decides what becomes of the connection.
    pub answered: AnswerKind,
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    field: &'a str,
    /// Whether the request ran, as far as this host knows.
    outcome: &'a str,
}

impl Failure {
    /// Builds the rejection of a bad request.
    pub(crate) fn rejected(
        status: StatusCode,
        field: &'static str,
        reason: impl Into<String>,
    ) -> Self {
        Self { status, field, reason: reason.into(), retry: None, answered: AnswerKind::Served }
    }

    /// Builds the refusal of a request that did not run and will not.
    pub(crate) fn unavailable(reason: impl Into<String>, retry: Duration) -> Self {
        Self { retry: Some(retry), ..Self::rejected(StatusCode::SERVICE_UNAVAILABLE, "", reason) }
    }

    /// Builds the refusal of a request that this host has no processor time for.
    pub(crate) fn overloaded(retry: Duration) -> Self {
        Self {
            answered: AnswerKind::Refused,
            ..Self::unavailable("this host is overloaded", retry)
        }
    }

    /// Builds the end of a request that may have run.
    pub(crate) fn outcome_unknown(status: StatusCode, reason: impl Into<String>) -> Self {
        Self::rejected(status, "", reason)
    }

    /// Builds the answer.
    pub(crate) fn to_response(&self, id: &str) -> Response<Body> {
        let may_have_run =
            matches!(self.status, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT);
        let outcome = if may_have_run { "unknown" } else { "not-run" };
        let body = ErrorBody { error: &self.reason, field: self.field, outcome };
        // A struct of texts always becomes JSON.
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let body = Full::new(Bytes::from(body)).map_err(|it| match it {});
        let mut res = Response::new(body.boxed_unsync());
        *res.status_mut() = self.status;
        let headers = res.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(ATTEMPT_ID, id);
        }
        if let Some(it) = self.retry {
            let secs = format!("{:.3}", it.as_secs_f64());
            if let Ok(it) = HeaderValue::from_str(&secs) {
                headers.insert(header::RETRY_AFTER, it);
            }
        }
        res
    }
}
