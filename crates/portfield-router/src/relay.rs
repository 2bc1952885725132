//! Relays an upstream's response to the caller, and counts its tokens.

use std::{
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::stream;
use http::{Response, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use portfield::{
    fleet::{Kind, Service},
    ids::WorkspaceId,
    route::{backoff, resume_token},
    slo::Sample,
};
use portfield_net::{clock, sse::EventBuffer};

use crate::{
    app::App,
    call::Call,
    response::{Body, REQUEST_ID, header_value},
    resume::RESUME,
    ticket::Ticket,
    upstream::{self, Endpoint},
};

/// Header with which an engine gives the id of a stream that can be resumed.
const STREAM_ID: &str = "x-stream-id";
/// Largest number of consecutive attempts to resume a stream.
const MAX_RESUMES: u32 = 5;

/// Builds the response that relays an upstream's response to the caller.
pub(crate) fn start(
    app: &Arc<App>,
    call: &Call,
    ticket: Option<Ticket>,
    endpoint: Endpoint,
    response: Response<Incoming>,
) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    let is_event_stream =
        header_starts_with(&parts.headers, header::CONTENT_TYPE.as_str(), "text/event-stream");
    let stream_id = parts.headers.get(STREAM_ID).and_then(|it| it.to_str().ok()).map(str::to_owned);
    let stream_id = stream_id.filter(|_| is_event_stream);
    let length = parts.headers.get(header::CONTENT_LENGTH).cloned();
    parts.headers = upstream::end_to_end_headers(&parts.headers);
    if let Some(it) = length {
        parts.headers.insert(header::CONTENT_LENGTH, it);
    }
    parts.headers.insert(REQUEST_ID, header_value(&call.id));
    if let Some(it) = &stream_id {
        let token = resume_token(&app.fleet(), call.workspace.id, endpoint.id, it);
        parts.headers.insert(RESUME, header_value(&token));
        parts.headers.remove(STREAM_ID);
    }
    let relay = Relay {
        app: app.clone(),
        id: call.id.clone(),
        cost: call.prompt_cost(),
        ticket,
        endpoint,
        stream_id,
        events: EventBuffer::default(),
        is_event_stream,
        n_events: 0,
        workspace: call.workspace.id,
        service: call.service.clone(),
        arrived_at: call.arrived_at,
        first_byte: None,
        body: Some(body),
    };
    let body = stream::try_unfold(relay, |mut it| async move {
        Ok(it.next_chunk().await?.map(|bytes| (Frame::data(bytes), it)))
    });
    Response::from_parts(parts, StreamBody::new(body).boxed_unsync())
}

fn header_starts_with(headers: &http::HeaderMap, name: &str, prefix: &str) -> bool {
    let value = headers.get(name).and_then(|it| it.to_str().ok());
    value.is_some_and(|it| it.starts_with(prefix))
}

/// State of the relay of one response.
struct Relay {
    app: Arc<App>,
    id: String,
    workspace: WorkspaceId,
    service: Service,
    /// Cost so far in tokens, including the prompt's.
    cost: u32,
    ticket: Option<Ticket>,
    endpoint: Endpoint,
    /// Id of the stream, if it can be resumed.
    stream_id: Option<String>,
    events: EventBuffer,
    is_event_stream: bool,
    n_events: u32,
    arrived_at: Duration,
    first_byte: Option<Duration>,
    body: Option<Incoming>,
}

impl Relay {
    /// Returns the next chunk of the response's body, `None` at its end.
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let Some(body) = &mut self.body else { return Ok(None) };
            let frame = clock::timeout(self.app.settings.stall_timeout, body.frame()).await;
            match frame {
                Some(None) => return Ok(self.finish()),
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let data = if self.is_event_stream { self.events.push(&data) } else { data };
                    if data.is_empty() {
                        continue;
                    }
                    self.record_events();
                    return Ok(Some(data));
                }
                Some(Some(Err(err))) => self.resume_stream(&err.to_string()).await?,
                None => self.resume_stream("the upstream stalled").await?,
            }
        }
    }

    /// Counts each event as a token, and reports the cost so far.
    fn record_events(&mut self) {
        self.first_byte.get_or_insert_with(clock::now);
        if self.service.kind == Kind::Plain || !self.is_event_stream {
            return;
        }
        let n_events = self.events.count() as u32;
        self.cost += n_events - self.n_events;
        self.n_events = n_events;
        if let Some(it) = &self.ticket {
            it.record_progress(self.cost);
        }
    }

    /// Records the end of a complete response; returns the rest of its body.
    fn finish(&mut self) -> Option<Bytes> {
        self.body = None;
        let now = clock::now();
        let first_byte = self.first_byte.unwrap_or(now);
        let token_gap = (now - first_byte) / self.n_events.max(1);
        if let Some(mut it) = self.ticket.take() {
            self.app.record(&self.id, it.id(), format!("answered, cost {}", self.cost));
            it.finish(self.cost, token_gap);
        }
        self.app.counters.answered.fetch_add(1, Ordering::Relaxed);
        let mean_gap = if self.n_events == 0 { Duration::ZERO } else { token_gap };
        self.observe(Sample {
            first_byte: Some(first_byte.saturating_sub(self.arrived_at)),
            token_gap: mean_gap,
        });
        // The response is complete, so an event without its terminator is passed on.
        let rest = self.events.take_partial();
        (!rest.is_empty()).then_some(rest)
    }

    fn observe(&self, sample: Sample) {
        self.app.observe(self.workspace, &self.service, sample);
    }

    /// Resumes a broken stream after the last event that was relayed.
    async fn resume_stream(&mut self, cause: &str) -> io::Result<()> {
        self.events.take_partial();
        self.app.record(&self.id, 0, format!("answer broke: {cause}"));
        let last_id = self.events.last_event_id().unwrap_or_default().to_owned();
        for n in 0..MAX_RESUMES {
            let Some(stream_id) = &self.stream_id else { break };
            let res = upstream::resume(&self.app, &self.endpoint, stream_id, &last_id).await;
            match res {
                Ok(res) if res.status().is_success() => {
                    self.app.counters.resumed.fetch_add(1, Ordering::Relaxed);
                    self.app.record(&self.id, 0, format!("resumed after event {last_id}"));
                    self.body = Some(res.into_body());
                    return Ok(());
                }
                Ok(_) => break,
                Err(_) => clock::sleep(backoff(n + 2, fastrand::f64())).await,
            }
        }
        self.body = None;
        if let Some(mut it) = self.ticket.take() {
            it.fail(self.cost);
        }
        self.app.counters.unknown.fetch_add(1, Ordering::Relaxed);
        self.observe(Sample { first_byte: None, token_gap: Duration::ZERO });
        self.app.record(&self.id, 0, "answer cut short: outcome unknown");
        log::warn!(request = self.id; "response incomplete: {cause}");
        Err(io::Error::other("the upstream's answer was cut short"))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.body.is_some() {
            self.app.counters.hung_up.fetch_add(1, Ordering::Relaxed);
            self.app.record(&self.id, 0, "the caller hung up");
            if let Some(stream_id) = self.stream_id.take() {
                let cancel = upstream::cancel(self.app.clone(), self.endpoint.clone(), stream_id);
                self.app.rt.spawn(cancel);
            }
        }
    }
}
