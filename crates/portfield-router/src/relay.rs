//! An upstream's answer on its way to the caller, counted as it passes.

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
    answer::{Body, REQUEST_ID, text_header},
    call::Call,
    resume::RESUME,
    shell::Shell,
    ticket::Ticket,
    upstream::{self, Place},
};

/// Header by which an engine names a stream that can be resumed.
const STREAM_ID: &str = "x-stream-id";
/// Most attempts to resume one stream in a row.
const MAX_RESUMES: u32 = 5;

/// Starts to relay an answer.
pub(crate) fn start(
    shell: &Arc<Shell>,
    call: &Call,
    ticket: Option<Ticket>,
    place: Place,
    response: Response<Incoming>,
) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    let is_events = header_is(&parts.headers, header::CONTENT_TYPE.as_str(), "text/event-stream");
    let stream = parts.headers.get(STREAM_ID).and_then(|it| it.to_str().ok()).map(str::to_owned);
    let stream = stream.filter(|_| is_events);
    let length = parts.headers.get(header::CONTENT_LENGTH).cloned();
    parts.headers = upstream::forwarded(&parts.headers);
    if let Some(it) = length {
        parts.headers.insert(header::CONTENT_LENGTH, it);
    }
    parts.headers.insert(REQUEST_ID, text_header(&call.id));
    if let Some(it) = &stream {
        let token = resume_token(&shell.fleet(), call.workspace.id, place.id, it);
        parts.headers.insert(RESUME, text_header(&token));
        parts.headers.remove(STREAM_ID);
    }
    let relay = Relay {
        shell: shell.clone(),
        id: call.id.clone(),
        cost: call.prompt_cost(),
        ticket,
        place,
        stream,
        events: EventBuffer::default(),
        is_events,
        n_events: 0,
        workspace: call.workspace.id,
        service: call.service.clone(),
        arrived: call.arrived,
        first: None,
        body: Some(body),
    };
    let body = stream::try_unfold(relay, |mut it| async move {
        Ok(it.next().await?.map(|bytes| (Frame::data(bytes), it)))
    });
    Response::from_parts(parts, StreamBody::new(body).boxed_unsync())
}

fn header_is(headers: &http::HeaderMap, name: &str, prefix: &str) -> bool {
    let value = headers.get(name).and_then(|it| it.to_str().ok());
    value.is_some_and(|it| it.starts_with(prefix))
}

struct Relay {
    shell: Arc<Shell>,
    id: String,
    workspace: WorkspaceId,
    service: Service,
    /// Cost so far in tokens, the prompt's included.
    cost: u32,
    ticket: Option<Ticket>,
    place: Place,
    /// Name of a stream that can be resumed.
    stream: Option<String>,
    events: EventBuffer,
    is_events: bool,
    n_events: u32,
    arrived: Duration,
    first: Option<Duration>,
    body: Option<Incoming>,
}

impl Relay {
    /// Returns the next piece of the answer, `None` at its end.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let Some(body) = &mut self.body else { return Ok(None) };
            let frame = clock::timeout(self.shell.settings.stall_timeout, body.frame()).await;
            match frame {
                Some(None) => return Ok(self.end()),
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let whole = if self.is_events { self.events.push(&data) } else { data };
                    if whole.is_empty() {
                        continue;
                    }
                    self.count();
                    return Ok(Some(whole));
                }
                Some(Some(Err(err))) => self.mend(&err.to_string()).await?,
                None => self.mend("the upstream stalled").await?,
            }
        }
    }

    fn count(&mut self) {
        self.first.get_or_insert_with(clock::now);
        if self.service.kind == Kind::Plain || !self.is_events {
            return;
        }
        let n_events = self.events.count() as u32;
        self.cost += n_events - self.n_events;
        self.n_events = n_events;
        if let Some(it) = &self.ticket {
            it.progress(self.cost);
        }
    }

    fn end(&mut self) -> Option<Bytes> {
        self.body = None;
        let now = clock::now();
        let first = self.first.unwrap_or(now);
        let pace = (now - first) / self.n_events.max(1);
        if let Some(mut it) = self.ticket.take() {
            self.shell.record(&self.id, it.id(), format!("answered, cost {}", self.cost));
            it.finish(self.cost, pace);
        }
        self.shell.counts.answered.fetch_add(1, Ordering::Relaxed);
        let gap = if self.n_events == 0 { Duration::ZERO } else { pace };
        self.observe(Sample {
            first_byte: Some(first.saturating_sub(self.arrived)),
            token_gap: gap,
        });
        // An event that came without its end is passed on: the answer was whole.
        let rest = self.events.take_partial();
        (!rest.is_empty()).then_some(rest)
    }

    fn observe(&self, sample: Sample) {
        self.shell.observe(self.workspace, &self.service, sample);
    }

    /// Goes on with a stream that broke, after the last event that was relayed.
    async fn mend(&mut self, cause: &str) -> io::Result<()> {
        self.events.take_partial();
        self.shell.record(&self.id, 0, format!("answer broke: {cause}"));
        let last = self.events.last_event_id().unwrap_or_default().to_owned();
        for n in 0..MAX_RESUMES {
            let Some(stream) = &self.stream else { break };
            let res = upstream::resume(&self.shell, &self.place, stream, &last).await;
            match res {
                Ok(res) if res.status().is_success() => {
                    self.shell.counts.resumed.fetch_add(1, Ordering::Relaxed);
                    self.shell.record(&self.id, 0, format!("resumed after event {last}"));
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
        self.shell.counts.unknown.fetch_add(1, Ordering::Relaxed);
        self.observe(Sample { first_byte: None, token_gap: Duration::ZERO });
        self.shell.record(&self.id, 0, "answer cut short: outcome unknown");
        log::warn!(request = self.id; "answer cut short: {cause}");
        Err(io::Error::other("the upstream's answer was cut short"))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.body.is_some() {
            self.shell.counts.hung_up.fetch_add(1, Ordering::Relaxed);
            self.shell.record(&self.id, 0, "the caller hung up");
            if let Some(stream) = self.stream.take() {
                let cancel = upstream::cancel(self.shell.clone(), self.place.clone(), stream);
                self.shell.rt.spawn(cancel);
            }
        }
    }
}
