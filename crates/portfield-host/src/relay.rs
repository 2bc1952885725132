//! Relays a stream of events to the caller.

use std::{io, time::Duration};

use bytes::Bytes;
use futures_lite::stream;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use portfield::balance::Completion;
use portfield_net::{clock, sse::EventBuffer};

use crate::{
    attempt::{UpstreamResponse, error_chain},
    exchange::Exchange,
    quarantine,
    response::Body,
};

/// Multiple of the gap between events that the route allows: after this silence, a resumable stream
/// moves to another upstream.
const SILENCE_FACTOR: u32 = 3;
/// Bytes of one event at most: an upstream that never ends an event must not fill this host's memory.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// That silence for routes that set no gap.
const DEFAULT_MAX_SILENCE: Duration = Duration::from_secs(2);

/// Starts to relay a stream after its first event arrived.
///
/// # Errors
///
/// The exchange, if the stream broke before its first event and may be sent again.
pub(crate) async fn relay_stream(
    exchange: Exchange,
    response: Box<UpstreamResponse>,
) -> Result<Response<Body>, Exchange> {
    let mut parts = response.parts.clone();
    portfield_platform::request::remove_hop_by_hop(&mut parts.headers);
    let mut relay = Relay {
        exchange,
        response: Some(response),
        events: EventBuffer::default(),
        first_event: None,
        timeout: None,
    };
    let first = match relay.next().await {
        Ok(it) => it,
        Err(_) => return Err(relay.exchange),
    };
    let status = parts.status;
    let state = (first, Some(relay), status);
    let body = stream::try_unfold(state, |(chunk, relay, status)| async move {
        if let Some(bytes) = chunk {
            return Ok(Some((Frame::data(bytes), (None, relay, status))));
        }
        let Some(mut relay) = relay else { return Ok(None) };
        match relay.next().await? {
            Some(bytes) => Ok(Some((Frame::data(bytes), (None, Some(relay), status)))),
            None => {
                relay.log_finished(status);
                Ok::<_, io::Error>(None)
            }
        }
    });
    Ok(Response::from_parts(parts, StreamBody::new(body).boxed_unsync()))
}

struct Relay {
    exchange: Exchange,
    response: Option<Box<UpstreamResponse>>,
    events: EventBuffer,
    first_event: Option<Duration>,
    /// Timeout of the current read.
    timeout: Option<clock::Deadline>,
}

impl Relay {
    /// Returns the next complete events, `None` at the end of the stream.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let read_timeout = self.read_timeout();
            // A resumable stream has a timeout per read; any other has a single one for the whole
            // response.
            if self.timeout.is_none() || read_timeout < self.exchange.call.remaining() {
                self.timeout = Some(clock::deadline(read_timeout));
            }
            let (Some(response), Some(timeout)) = (&mut self.response, &mut self.timeout) else {
                return Ok(None);
            };
            let cause = match clock::timeout_at(timeout, response.body.frame()).await {
                Some(None) if !self.events.has_partial() => {
                    self.finish();
                    return Ok(None);
                }
                Some(None) => "the stream ended within an event".to_owned(),
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let whole = self.events.push(&data);
                    if !whole.is_empty() {
                        self.record_events();
                        return Ok(Some(whole));
                    }
                    if self.events.partial_len() <= MAX_EVENT_BYTES {
                        continue;
                    }
                    "an event is too long".to_owned()
                }
                Some(Some(Err(err))) => error_chain(&err),
                None if self.exchange.call.remaining().is_zero() => {
                    "the deadline of the request has passed".to_owned()
                }
                // No alternative: an engine that ran out of memory processes the prompt again, and
                // a late event is better than a broken stream.
                None if self.first_event.is_some() && !self.exchange.has_alternative() => {
                    self.timeout = None;
                    continue;
                }
                None => "no event from the upstream in time".to_owned(),
            };
            self.resume(cause).await?;
        }
    }

    /// Returns the timeout for the next chunk.
    fn read_timeout(&self) -> Duration {
        let left = self.exchange.call.remaining();
        if !self.exchange.may_retry() {
            return left;
        }
        let route = &self.exchange.call.route;
        let max_silence = route.max_gap.map_or(DEFAULT_MAX_SILENCE, |it| it * SILENCE_FACTOR);
        // Before the first event, the engine may still be processing the prompts of other requests.
        let max_silence = if self.first_event.is_none() {
            max_silence + route.latency_target
        } else {
            max_silence
        };
        left.min(max_silence)
    }

    /// Records that complete events arrived.
    fn record_events(&mut self) {
        if self.first_event.is_none() {
            self.first_event = Some(clock::now());
            self.exchange.mark_begun();
        }
        if let Some(it) = &self.response {
            it.run.record_events(self.events.count());
        }
    }

    /// Records the complete end of the stream and returns its connection to the pool.
    fn finish(&mut self) {
        let Some(response) = self.response.take() else { return };
        let UpstreamResponse { head, connection, mut run, upstream, .. } = *response;
        run.record_first();
        run.end(Completion::Done);
        quarantine::record_success(&self.exchange.host, &self.exchange.call);
        if head.keep_alive {
            self.exchange.host.pool.put(upstream.wire_id(), connection, head.idle_timeout);
        }
    }

    /// Resumes the stream at another upstream, after the last event passed on.
    ///
    /// # Errors
    ///
    /// If resuming is not allowed or fails; the caller's connection must be broken off too.
    async fn resume(&mut self, cause: String) -> io::Result<()> {
        if let Some(mut response) = self.response.take() {
            let timed_out = self.exchange.call.remaining().is_zero();
            response.run.end(if timed_out { Completion::Cancelled } else { Completion::Broken });
            self.exchange.record_broken_response(&response.upstream, &cause);
        }
        self.events.take_partial();
        if self.first_event.is_none() || !self.exchange.may_retry() {
            return Err(io::Error::other(cause));
        }
        let last = self.events.last_event_id().map(str::to_owned);
        let response = self.exchange.next_response(last.as_deref()).await;
        let response = response.map_err(|it| io::Error::other(it.reason))?;
        if !response.parts.status.is_success() {
            return Err(io::Error::other("another upstream refused to resume the stream"));
        }
        log::info!(
            request = self.exchange.call.id, upstream = response.upstream.entry.id,
            last_event = last.as_deref().unwrap_or(""); "stream resumed"
        );
        self.exchange.host.metrics.count("streams_resumed");
        self.response = Some(response);
        self.timeout = None;
        Ok(())
    }

    fn log_finished(&mut self, status: StatusCode) {
        let first = self.first_event.unwrap_or(self.exchange.call.arrived);
        self.exchange.record_answered(status, first, self.events.count());
    }
}
