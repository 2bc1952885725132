//! One exchange with an upstream: a fresh connection each, so that no answer can be taken
//! for another request's.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use portfield::{fleet::Fleet, ids::UpstreamId, route::AttemptPhase};
use portfield_net::{clock, socket::Socket};

use crate::{
    answer::{OUTCOME, REQUEST_ID, text_header},
    call::Call,
    shell::Shell,
};

/// Headers that concern one connection only (RFC 9110, section 7.6.1), or the router.
const HOP_HEADERS: [&str; 9] = [
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

/// An attempt that got no answer, and how far it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Broken {
    pub phase: AttemptPhase,
    pub text: String,
}

impl Broken {
    fn new(phase: AttemptPhase, text: impl Into<String>) -> Self {
        Self { phase, text: text.into() }
    }
}

/// Where an upstream is.
#[derive(Debug, Clone)]
pub(crate) struct Place {
    pub id: UpstreamId,
    pub address: SocketAddr,
    pub data_centre: String,
}

impl Place {
    /// Finds an upstream; none where it is gone or gets no new work.
    pub(crate) fn find(fleet: &Fleet, id: UpstreamId) -> Option<Self> {
        Self::at(fleet, id).filter(|_| fleet.upstream(id).is_some_and(|it| !it.leaving))
    }

    /// Finds an upstream for what runs there already.
    pub(crate) fn at(fleet: &Fleet, id: UpstreamId) -> Option<Self> {
        let it = fleet.upstream(id)?;
        let data_centre = fleet.data_centre_name(it.data_centre).to_owned();
        Some(Self { id, address: it.address, data_centre })
    }
}

/// Sends a call to an upstream and returns the head of its answer.
pub(crate) async fn send(
    shell: &Arc<Shell>,
    place: &Place,
    call: &Call,
) -> Result<Response<Incoming>, Broken> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.parse().unwrap_or_default();
    *request.headers_mut() = forwarded(&call.headers);
    request.headers_mut().insert(REQUEST_ID, text_header(&call.id));
    let response = exchange(shell, place, request).await?;
    let declined = response.headers().get(OUTCOME).is_some_and(|it| it == "not-run");
    if declined && response.status().is_server_error() {
        return Err(Broken::new(AttemptPhase::Declined, "the upstream did not run it"));
    }
    Ok(response)
}

/// Asks an engine for the rest of a stream, after the last event that was relayed.
pub(crate) async fn resume(
    shell: &Arc<Shell>,
    place: &Place,
    stream: &str,
    last: &str,
) -> Result<Response<Incoming>, Broken> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = format!("/streams/{stream}").parse().unwrap_or_default();
    request.headers_mut().insert("last-event-id", text_header(last));
    exchange(shell, place, request).await
}

/// Tells an engine that nobody reads a stream any more.
pub(crate) async fn cancel(shell: Arc<Shell>, place: Place, stream: String) {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::DELETE;
    *request.uri_mut() = format!("/streams/{stream}").parse().unwrap_or_default();
    if let Err(err) = exchange(&shell, &place, request).await {
        log::debug!("cancel: {}", err.text);
    }
}

async fn exchange(
    shell: &Arc<Shell>,
    place: &Place,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Broken> {
    let headers = request.headers_mut();
    headers.insert(header::HOST, text_header(&place.address.to_string()));
    headers.insert(header::CONNECTION, text_header("close"));
    let links = &shell.settings.links;
    let home = shell.settings.data_centre == place.data_centre;
    let data_centre = if home { "" } else { place.data_centre.as_str() };
    let stream = links.connect(data_centre, place.address).await;
    let stream = stream.map_err(|err| Broken::new(AttemptPhase::Unsent, err.to_string()))?;
    let handshake = http1::handshake(Socket::from(stream)).await;
    let (mut sender, connection) =
        handshake.map_err(|err| Broken::new(AttemptPhase::Unsent, err.to_string()))?;
    shell.rt.spawn(async move {
        let _ = connection.await;
    });
    let late = || Err(Broken::new(AttemptPhase::Sent, "no answer in time"));
    let answer = async {
        let res = sender.send_request(request).await;
        res.map_err(|err| Broken::new(AttemptPhase::Sent, err.to_string()))
    };
    clock::timeout(shell.settings.answer_timeout, answer).await.unwrap_or_else(late)
}

/// Returns a message's headers without those of the connection it came by.
pub(crate) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut res = headers.clone();
    for it in HOP_HEADERS {
        res.remove(it);
    }
    res
}
