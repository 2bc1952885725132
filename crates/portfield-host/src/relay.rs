//! Relays a stream of events to the caller.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_lite::{future, stream};
use http::{Response, StatusCode};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, StreamBody};
use portfield::{
    balance::{Completion, Switch},
    upstream::{GapMeter, Liveness},
};
use portfield_net::{clock, sse::EventBuffer};
use portfield_platform::response::BodyDelimiter;

use crate::{
    attempt::{UpstreamResponse, error_chain},
    exchange::Exchange,
    liveness::OPEN_TIME,
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

/// Shortest event with its chunk's size and line ends.
const MIN_CHUNK: usize = 8;
/// Polls for a chunk that was received until it is left for the next read.
const MAX_YIELDS: usize = 4;

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
    let gaps = exchange.gap_meter();
    let memory_limits = exchange.host.settings().options.memory_limits;
    let delimiter = response.head.delimiter;
    // Boxed, since it moves into and out of the body with each event.
    let mut relay = Box::new(Relay {
        exchange,
        response: Some(response),
        events: EventBuffer::default(),
        first_event: None,
        is_run_begun: false,
        is_gathering: false,
        broken: None,
        gaps,
        delimiter,
        memory_limits,
        timeout: None,
    });
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
    /// Whether the balancer knows that the current response has begun.
    is_run_begun: bool,
    /// Whether events wait for each other.
    is_gathering: bool,
    /// Why the response broke, found while its last events were gathered.
    broken: Option<hyper::Error>,
    gaps: GapMeter,
    /// What marked the end of the latest response.
    delimiter: BodyDelimiter,
    /// Whether the balancer counts the output of streams.
    memory_limits: Switch,
    /// Timeout of the current read.
    timeout: Option<clock::Deadline>,
}

impl Relay {
    /// Returns the next complete events, `None` at the end of the stream.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        self.is_gathering = self.start_gathering();
        let events = match self.read_events().await {
            Ok(Some(it)) => it,
            Ok(None) => return Ok(None),
            Err(err) => {
                // hyper writes the events that it has before it polls again; an error that comes
                // together with them would discard them.
                future::yield_now().await;
                return Err(err);
            }
        };
        let events = if self.is_gathering { self.add_ready_events(events).await } else { events };
        Ok(Some(events))
    }

    /// Lets the events that follow wait for each other while this host is short of processor time;
    /// returns whether they do. The first event never waits, and the end of the response ends the
    /// wait ([`ReadGate`](portfield_net::socket::ReadGate)).
    fn start_gathering(&self) -> bool {
        let (true, Some(response)) = (self.is_run_begun, &self.response) else { return false };
        if response.body.is_end_stream() {
            return false;
        }
        let Some(wait) = self.exchange.host.gather_wait(self.exchange.call.route.max_gap) else {
            return false;
        };
        response.connection.gate.close_until(wait);
        true
    }

    /// Adds the events that were held back together with others, so that all are written at once.
    async fn add_ready_events(&mut self, events: Bytes) -> Bytes {
        let Some(response) = &mut self.response else { return events };
        let n_released = response.connection.gate.n_released();
        let mut res = BytesMut::from(events);
        let mut n_yields = 0;
        // The connection's task passes on one chunk at a time, each longer than its event.
        while res.len() + MIN_CHUNK < n_released && n_yields < MAX_YIELDS {
            match future::poll_once(response.body.frame()).await {
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    res.extend_from_slice(&self.events.push_bytes(data));
                    n_yields = 0;
                }
                // The next read returns the end of the stream again, but an error only once.
                Some(Some(Err(err))) => {
                    self.broken = Some(err);
                    break;
                }
                Some(None) => break,
                None => {
                    n_yields += 1;
                    future::yield_now().await;
                }
            }
        }
        res.freeze()
    }

    /// Reads the next complete events, `None` at the end of the stream.
    async fn read_events(&mut self) -> io::Result<Option<Bytes>> {
        // Only whole events count: bytes of one that never ends must not hold the stream up.
        self.restart_timeout();
        loop {
            if self.timeout.is_none() {
                self.restart_timeout();
            }
            let (Some(response), Some(timeout)) = (&mut self.response, &mut self.timeout) else {
                return Ok(None);
            };
            let waiting = clock::now();
            let frame = match self.broken.take() {
                Some(err) => Some(Some(Err(err))),
                None => clock::timeout_at(timeout, response.body.frame()).await,
            };
            let cause = match frame {
                Some(None) if self.events.has_partial() => {
                    "the stream ended within an event".to_owned()
                }
                Some(None) => {
                    let (upstream, delimiter) = (&response.upstream, response.head.delimiter);
                    let liveness = self.exchange.check_end(upstream, delimiter, OPEN_TIME).await;
                    if liveness != Liveness::Ended {
                        self.finish(liveness);
                        return Ok(None);
                    }
                    "the upstream ended, and may not have sent all events".to_owned()
                }
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let n_before = self.events.count();
                    let whole = self.events.push_bytes(data);
                    if !whole.is_empty() {
                        self.record_events();
                        self.record_gap(waiting, self.events.count() - n_before);
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

    /// Sets the timeout of the next read. A resumable stream has a timeout per read; any other has a
    /// single one for the whole response.
    fn restart_timeout(&mut self) {
        let time = self.read_timeout();
        match &mut self.timeout {
            None => self.timeout = Some(clock::deadline(time)),
            Some(it) if time < self.exchange.call.remaining() => it.restart(time),
            Some(_) => {}
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
        if let (None, Some(it)) = (self.first_event, &self.response) {
            self.first_event = Some(clock::now());
            self.exchange.mark_begun(&it.upstream);
        }
        if let (false, Some(it)) = (self.is_run_begun, &self.response) {
            it.run.record_first();
            self.is_run_begun = true;
        }
        if let (true, Some(it)) = (self.memory_limits.is_on(), &self.response) {
            it.run.record_output(self.events.count());
        }
    }

    /// Records how long the relay waited for new events, which shows the engine's speed.
    fn record_gap(&mut self, waiting: Duration, n_events: u64) {
        if self.is_gathering {
            // The events waited here, not at their engine.
            return;
        }
        let gap = self.gaps.record(waiting, clock::now(), n_events);
        if let (Some(gap), Some(it)) = (gap, &self.response) {
            it.run.record_gap(gap);
        }
    }

    /// Records the complete end of the stream and returns its connection to the pool.
    fn finish(&mut self, liveness: Liveness) {
        let Some(response) = self.response.take() else { return };
        let UpstreamResponse { head, connection, mut run, upstream, .. } = *response;
        self.delimiter = head.delimiter;
        run.record_first();
        run.end(Completion::Done);
        if liveness == Liveness::Alive {
            let (host, call) = (&self.exchange.host, &self.exchange.call);
            quarantine::record_success(host, &call.id, &call.keys, &upstream);
        }
        connection.gate.open();
        if head.may_reuse_connection() {
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
            software = response.upstream.entry.software_version,
            last_event = last.as_deref().unwrap_or(""); "stream resumed"
        );
        self.exchange.host.metrics.count("streams_resumed");
        self.response = Some(response);
        self.is_run_begun = false;
        self.gaps = self.exchange.gap_meter();
        self.timeout = None;
        Ok(())
    }

    fn log_finished(&mut self, status: StatusCode) {
        let first = self.first_event.unwrap_or(self.exchange.call.arrived);
        self.exchange.record_answered(status, first, self.events.count(), self.delimiter);
    }
}
