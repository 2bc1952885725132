//! Responses that the router generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use portfield::route::Outcome;
use serde_json::json;

/// Body of a response to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Header with the id of the request.
pub(crate) const REQUEST_ID: &str = "x-portfield-request-id";
/// Header that says whether a failed request ran: `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "x-portfield-outcome";

/// A request that the router does not forward, or gives up, and the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// Status of the response.
    pub status: StatusCode,
    /// Invalid part of the request, such as a header; empty if there is none.
    pub field: &'static str,
    /// What is wrong, and what to do about it.
    pub text: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Builds the rejection of an invalid request, which did not run.
    pub(crate) fn invalid(
        status: StatusCode,
        field: &'static str,
        text: impl Into<String>,
    ) -> Self {
        Self { status, field, text: text.into(), outcome: Outcome::NotRun, retry_after: None }
    }

    /// Builds the rejection of a valid request that failed.
    pub(crate) fn failed(
        status: StatusCode,
        outcome: Outcome,
        text: impl Into<String>,
        retry_after: Option<Duration>,
    ) -> Self {
        Self { status, field: "", text: text.into(), outcome, retry_after }
    }

    /// Returns the JSON body of the response to the request `id`.
    pub(crate) fn json_body(&self, id: &str) -> Vec<u8> {
        let value = json!({
            "error": self.text,
            "field": self.field,
            "outcome": self.outcome.to_string(),
            "request_id": id,
        });
        serde_json::to_vec(&value).unwrap_or_default()
    }

    /// Builds the response to the request `id`.
    pub(crate) fn to_response(&self, id: &str) -> Response<Body> {
        let body = Full::new(Bytes::from(self.json_body(id)));
        let mut res = Response::new(body.map_err(|it| match it {}).boxed_unsync());
        *res.status_mut() = self.status;
        let headers = res.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(REQUEST_ID, header_value(id));
        headers.insert(OUTCOME, header_value(&self.outcome.to_string()));
        if let Some(it) = self.retry_after {
            let secs = it.as_secs() + u64::from(0 < it.subsec_nanos());
            headers.insert(header::RETRY_AFTER, HeaderValue::from(secs.max(1)));
        }
        res
    }
}

/// Returns a header value, empty if `text` is not valid in a header.
pub(crate) fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""))
}
