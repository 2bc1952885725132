//! HTTP client for upstreams.
//!
//! Every request uses a new connection, so that a response can never be attributed to another
//! request.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use portfield::{fleet::Fleet, ids::UpstreamId, route::AttemptPhase};
use portfield_net::{clock, socket::Socket};

use crate::{
    app::App,
    call::Call,
    response::{OUTCOME, REQUEST_ID, header_value},
};

/// Headers that are not forwarded: those of a single connection (RFC 9110, section 7.6.1) and those
/// for the router.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "authorization",
];

/// An attempt that got no response, and the phase in which it failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AttemptError {
    pub phase: AttemptPhase,
    pub text: String,
}

impl AttemptError {
    fn new(phase: AttemptPhase, text: impl Into<String>) -> Self {
        Self { phase, text: text.into() }
    }
}

/// Location of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub id: UpstreamId,
    pub address: SocketAddr,
    pub data_centre: String,
}

impl Endpoint {
    /// Finds an upstream for a new request; `None` if it is removed or leaving.
    pub(crate) fn find_active(fleet: &Fleet, id: UpstreamId) -> Option<Self> {
        Self::find(fleet, id).filter(|_| fleet.upstream(id).is_some_and(|it| !it.leaving))
    }

    /// Finds an upstream, even if it is leaving, for requests that already run there.
    pub(crate) fn find(fleet: &Fleet, id: UpstreamId) -> Option<Self> {
        let it = fleet.upstream(id)?;
        let data_centre = fleet.data_centre_name(it.data_centre).to_owned();
        Some(Self { id, address: it.address, data_centre })
    }
}

/// Sends a call to an upstream and returns the response once its head has arrived.
pub(crate) async fn send(
    app: &Arc<App>,
    endpoint: &Endpoint,
    call: &Call,
) -> Result<Response<Incoming>, AttemptError> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.parse().unwrap_or_default();
    *request.headers_mut() = end_to_end_headers(&call.headers);
    request.headers_mut().insert(REQUEST_ID, header_value(&call.id));
    let response = exchange(app, endpoint, request).await?;
    let is_declined = response.headers().get(OUTCOME).is_some_and(|it| it == "not-run");
    if is_declined && response.status().is_server_error() {
        return Err(AttemptError::new(AttemptPhase::Declined, "the upstream did not run it"));
    }
    Ok(response)
}

/// Requests the rest of a stream from an engine, after the event `last_id`.
pub(crate) async fn resume(
    app: &Arc<App>,
    endpoint: &Endpoint,
    stream_id: &str,
    last_id: &str,
) -> Result<Response<Incoming>, AttemptError> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = format!("/streams/{stream_id}").parse().unwrap_or_default();
    request.headers_mut().insert("last-event-id", header_value(last_id));
    exchange(app, endpoint, request).await
}

/// Cancels a stream at an engine.
pub(crate) async fn cancel(app: Arc<App>, endpoint: Endpoint, stream_id: String) {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::DELETE;
    *request.uri_mut() = format!("/streams/{stream_id}").parse().unwrap_or_default();
    if let Err(err) = exchange(&app, &endpoint, request).await {
        log::debug!("cancelling a stream failed: {}", err.text);
    }
}

/// Sends a request over a new connection, through a relay if the upstream is in another data
/// centre, and waits for the response's head.
async fn exchange(
    app: &Arc<App>,
    endpoint: &Endpoint,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, AttemptError> {
    let headers = request.headers_mut();
    headers.insert(header::HOST, header_value(&endpoint.address.to_string()));
    headers.insert(header::CONNECTION, header_value("close"));
    let links = &app.settings.links;
    let is_local = app.settings.data_centre == endpoint.data_centre;
    let data_centre = if is_local { "" } else { endpoint.data_centre.as_str() };
    let stream = links.connect(data_centre, endpoint.address).await;
    let stream = stream.map_err(|err| AttemptError::new(AttemptPhase::Unsent, err.to_string()))?;
    let handshake = http1::handshake(Socket::from(stream)).await;
    let (mut sender, connection) =
        handshake.map_err(|err| AttemptError::new(AttemptPhase::Unsent, err.to_string()))?;
    app.rt.spawn(async move {
        let _ = connection.await;
    });
    let timed_out = || Err(AttemptError::new(AttemptPhase::Sent, "no answer in time"));
    let response = async {
        let res = sender.send_request(request).await;
        res.map_err(|err| AttemptError::new(AttemptPhase::Sent, err.to_string()))
    };
    clock::timeout(app.settings.answer_timeout, response).await.unwrap_or_else(timed_out)
}

/// Returns a message's headers without those in [`HOP_BY_HOP_HEADERS`].
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut res = headers.clone();
    for it in HOP_BY_HOP_HEADERS {
        res.remove(it);
    }
    res
}
