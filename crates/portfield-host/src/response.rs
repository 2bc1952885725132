//! Responses that the host generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use portfield::balance::AnswerKind;
use portfield_platform::request::ATTEMPT_ID;
use serde::Serialize;

/// Error text after the caller disconnected; nobody reads it.
pub(crate) const CALLER_LEFT: &str = "the caller has left";
/// Retry delay of that response.
pub(crate) const CALLER_LEFT_RETRY: Duration = Duration::ZERO;

/// Body of a response to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Why a request got no response from an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Status code of the response.
    pub status: StatusCode,
    /// Name of the invalid header or part of the request, empty if none is.
    pub field: &'static str,
    /// Error text for the logs and the caller.
    pub reason: String,
    /// Time after which the caller may retry.
    pub retry: Option<Duration>,
    /// Whether the request was refused for lack of processor time; decides whether the connection
    /// is closed.
    pub answer_kind: AnswerKind,
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
    /// Creates a failure without a retry delay, such as the rejection of an invalid request.
    pub(crate) fn rejected(
        status: StatusCode,
        field: &'static str,
        reason: impl Into<String>,
    ) -> Self {
        Self { status, field, reason: reason.into(), retry: None, answer_kind: AnswerKind::Served }
    }

    /// Creates the refusal of a request that did not run and will not.
    pub(crate) fn unavailable(reason: impl Into<String>, retry: Duration) -> Self {
        Self { retry: Some(retry), ..Self::rejected(StatusCode::SERVICE_UNAVAILABLE, "", reason) }
    }

    /// Creates the refusal of a request for lack of processor time.
    pub(crate) fn overloaded(retry: Duration) -> Self {
        Self {
            answer_kind: AnswerKind::Refused,
            ..Self::unavailable("this host is overloaded", retry)
        }
    }

    /// Creates the failure of a request that may have run.
    pub(crate) fn outcome_unknown(status: StatusCode, reason: impl Into<String>) -> Self {
        Self::rejected(status, "", reason)
    }

    /// Builds the HTTP response; `id` is the request's id.
    pub(crate) fn to_response(&self, id: &str) -> Response<Body> {
        let may_have_run =
            matches!(self.status, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT);
        let outcome = if may_have_run { "unknown" } else { "not-run" };
        let body = ErrorBody { error: &self.reason, field: self.field, outcome };
        // Serializing a struct of strings cannot fail.
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
