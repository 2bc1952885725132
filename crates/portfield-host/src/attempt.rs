//! One attempt to send a request to one upstream.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, response};
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;
use portfield::{balance::Completion, catalog::Upstream, ids::RunId};
use portfield_net::clock;
use portfield_platform::{
    request,
    response::{BodyDelimiter, ResponseHead},
};

use crate::{
    cache_transfer::FetchContext,
    call::Call,
    placement::Placed,
    pool::Connection,
    probe,
    quarantine::{self, EndEvidence},
    response::CALLER_LEFT,
    state::Host,
    upstream_signals,
};

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The upstream responded.
    Response(Box<UpstreamResponse>),
    /// No usable response: how far the attempt got, and the cause.
    Failed(Outcome, String),
}

/// How far an attempt without a response got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The upstream reported that it did not run the request.
    NotRun,
    /// Nothing of the request was sent.
    NotSent,
    /// Nothing of the request was sent because its caller disconnected.
    Abandoned,
    /// The upstream may have run the request.
    Unknown,
    /// The upstream may have run the request, but did not respond in time.
    TimedOut,
}

impl Outcome {
    /// Returns the label used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::NotSent => "not sent",
            Self::Abandoned => "abandoned",
            Self::Unknown => "unknown",
            Self::TimedOut => "late",
        }
    }

    /// Returns whether the upstream may have run the request.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, Self::Unknown | Self::TimedOut)
    }
}

/// An upstream's response after its head was received; the body is still to be read.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub parts: response::Parts,
    pub body: Incoming,
    pub head: ResponseHead,
    pub connection: Connection,
    pub run: RunGuard,
    pub upstream: Arc<Upstream>,
}

/// Registers a running request with the balancer; dropped before `end`, it counts as cancelled.
#[derive(Debug)]
pub(crate) struct RunGuard {
    host: Arc<Host>,
    id: RunId,
    /// The fetch of cached prompt parts that was asked for.
    fetch: Option<FetchContext>,
    is_finished: bool,
}

impl RunGuard {
    fn start(host: &Arc<Host>, call: &Call, placed: &Placed) -> Self {
        let id = host.balancer().record_start(clock::now(), &call.placement, &placed.assignment);
        let fetch = placed.source.as_ref().map(|it| FetchContext::new(call, it));
        Self { host: host.clone(), id, fetch, is_finished: false }
    }

    /// Records the first event of a stream, or a complete response.
    pub(crate) fn record_first(&self) {
        let report = self.host.balancer().record_first_event(clock::now(), self.id);
        if let (Some(fetch), Some(report)) = (&self.fetch, report) {
            fetch.record_end(&self.host, report);
        }
    }

    /// Records a mean gap between events of the stream.
    pub(crate) fn record_gap(&self, gap: Duration) {
        self.host.balancer().record_gap(clock::now(), self.id, gap);
    }

    /// Records how many events of a stream have arrived since its start.
    pub(crate) fn record_output(&self, n_events: u64) {
        self.host.balancer().record_output(self.id, n_events);
    }

    /// Records how the run ended; only the first call counts.
    pub(crate) fn end(&mut self, completion: Completion) {
        if !self.is_finished {
            self.is_finished = true;
            self.host.balancer().record_end(clock::now(), self.id, completion);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.end(Completion::Cancelled);
    }
}

/// Sends a request and waits at most `timeout` for the head of the response.
pub(crate) async fn send(
    host: &Arc<Host>,
    call: &Call,
    placed: &Placed,
    last_event: Option<&str>,
    timeout: Duration,
) -> AttemptResult {
    let Placed { upstream, source, .. } = placed;
    let mut run = RunGuard::start(host, call, placed);
    let started = clock::now();
    let pooled = host.pool.take(upstream.wire_id());
    let mut connection = match pooled {
        Some(it) => it,
        None => match connect(host, upstream).await {
            Ok(it) => it,
            Err(ConnectError { completion, text }) => {
                run.end(completion);
                return AttemptResult::Failed(Outcome::NotSent, text);
            }
        },
    };
    loop {
        // Connecting takes time: since placement, the upstream may have started to drain, been
        // evacuated or asked this host to back off.
        // A part of the prompt may also have been quarantined.
        if !host.may_send_to(upstream) || quarantine::is_refused(host, call) {
            run.end(Completion::Cancelled);
            let text = "nothing more may be sent there";
            return AttemptResult::Failed(Outcome::NotSent, text.to_owned());
        }
        // The same holds for the upstream that it would fetch from.
        let source = source.as_ref().filter(|it| host.may_send_to(it));
        if placed.assignment.fetch.is_some() && source.is_none() {
            host.balancer().cancel_fetch(run.id);
        }
        let headers = request::UpstreamHeaders {
            timeout: call.remaining(),
            incarnation: &upstream.entry.id,
            workspace: call.workspace.as_ref().map(|it| it.name.as_str()),
            last_event_id: last_event,
            fetch_from: source.map(|it| it.entry.address),
        };
        let request = build_request(call, &headers);
        connection.guard.set_caller(call.caller.clone());
        let res = clock::timeout(timeout, connection.sender.try_send_request(request)).await;
        return match res {
            None => {
                // A timeout that spans a suspension of this host says nothing about the upstream.
                let suspended = host.resumed_at().is_some_and(|it| started <= it);
                run.end(if suspended { Completion::Cancelled } else { Completion::Broken });
                AttemptResult::Failed(Outcome::TimedOut, "no answer in time".to_owned())
            }
            Some(Ok(response)) => check_response(host, call, upstream, response, connection, run),
            Some(Err(_)) if connection.guard.has_aborted() => {
                run.end(Completion::Cancelled);
                AttemptResult::Failed(Outcome::Abandoned, CALLER_LEFT.to_owned())
            }
            Some(Err(mut err)) => {
                if err.take_message().is_none() {
                    run.end(Completion::Broken);
                    return AttemptResult::Failed(Outcome::Unknown, error_chain(err.error()));
                }
                // Nothing was sent: a pooled connection may have been closed since its last
                // response.
                if !connection.reused {
                    run.end(Completion::Unreachable);
                    let text = "the connection ended before the request";
                    return AttemptResult::Failed(Outcome::NotSent, text.to_owned());
                }
                match connect(host, upstream).await {
                    Ok(it) => connection = it,
                    Err(ConnectError { completion, text }) => {
                        run.end(completion);
                        return AttemptResult::Failed(Outcome::NotSent, text);
                    }
                }
                continue;
            }
        };
    }
}

/// Formats an error with all its sources.
pub(crate) fn error_chain(err: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(err.source(), |it| it.source());
    causes.fold(err.to_string(), |text, it| format!("{text}: {it}"))
}

/// Why no connection to an upstream could be opened.
#[derive(Debug)]
struct ConnectError {
    /// What the failure means for the upstream's health.
    completion: Completion,
    text: String,
}

async fn connect(host: &Arc<Host>, upstream: &Arc<Upstream>) -> Result<Connection, ConnectError> {
    host.metrics.count("upstream_connections");
    let res = host.pool.connect(upstream.entry.address).await;
    res.map_err(|err| {
        let text = err.to_string();
        if is_fd_limit(&err) {
            // Not the upstream's fault: when this counted as unreachable, a host out of file
            // descriptors stopped using one healthy upstream after another.
            host.handle_accept_failure(&err);
            return ConnectError { completion: Completion::Cancelled, text };
        }
        probe::start_reconnect(host, upstream, &err);
        ConnectError { completion: Completion::Unreachable, text }
    })
}

/// Returns whether the process or the machine is out of file descriptors.
pub(crate) fn is_fd_limit(err: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(err.raw_os_error(), Some(ENFILE | EMFILE))
}

fn build_request(call: &Call, headers: &request::UpstreamHeaders<'_>) -> Request<Full<Bytes>> {
    let headers = request::rewrite_headers(&call.headers, headers);
    let mut res = Request::new(Full::new(call.body.clone()));
    *res.method_mut() = call.method.clone();
    *res.uri_mut() = call.uri.clone();
    *res.headers_mut() = headers;
    res
}

/// Checks whether a response can be relied on, from its status and headers.
fn check_response(
    host: &Host,
    call: &Call,
    upstream: &Arc<Upstream>,
    response: Response<Incoming>,
    connection: Connection,
    mut run: RunGuard,
) -> AttemptResult {
    let (parts, body) = response.into_parts();
    let mut head = portfield_platform::response::decode(parts.status, &parts.headers, &call.id);
    if body.is_end_stream() {
        // Responses such as a 204 have no body, and need no header that delimits it.
        head.delimiter = BodyDelimiter::Length;
    }
    upstream_signals::handle_response_head(host, call, upstream, parts.status, &head);
    if !head.id_matches {
        run.end(Completion::Broken);
        let text = "the answer belongs to another request";
        return AttemptResult::Failed(Outcome::Unknown, text.to_owned());
    }
    if head.replacement_of(&upstream.entry.id).is_some() {
        quarantine::record_upstream_end(host, upstream, EndEvidence::Replaced);
    }
    if head.not_run {
        let has_backoff =
            head.retry_after.as_ref().and_then(|it| it.delay).is_some_and(|it| !it.is_zero());
        run.end(if has_backoff { Completion::BackoffRequested } else { Completion::Rejected });
        let text = format!("turned away with {}", parts.status.as_u16());
        return AttemptResult::Failed(Outcome::NotRun, text);
    }
    if parts.status.is_success() && !head.is_signed {
        run.end(Completion::Broken);
        return AttemptResult::Failed(Outcome::Unknown, "the answer is not signed".to_owned());
    }
    let upstream = upstream.clone();
    AttemptResult::Response(Box::new(UpstreamResponse {
        parts,
        body,
        head,
        connection,
        run,
        upstream,
    }))
}
