//! A stream of events on its way to the caller.

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

/// Silence after which a stream that another upstream may go on with is moved there, as a
/// multiple of the pause that its route allows.
const SILENCE: u32 = 3;
/// The same where the route names no pause.
const LONGEST_SILENCE: Duration = Duration::from_secs(2);

/// Starts to relay a stream once its first event has come.
///
/// # Errors
///
/// The exchange, where the stream broke before its first event and may be sent again.
pub(crate) async fn relay_stream(
    exchange: Exchange,
    live: Box<UpstreamResponse>,
) -> Result<Response<Body>, Exchange> {
    let mut parts = live.parts.clone();
    portfield_platform::request::remove_hop_by_hop(&mut parts.headers);
    let mut relay = Relay {
        exchange,
        live: Some(live),
        events: EventBuffer::default(),
        first: None,
        alarm: None,
    };
    let first = match relay.next().await {
        Ok(it) => it,
        Err(_) => return Err(relay.exchange),
    };
    let status = parts.status;
    let state = (first, Some(relay), status);
    let body = stream::try_unfold(state, |(piece, relay, status)| async move {
        if let Some(bytes) = piece {
            return Ok(Some((Frame::data(bytes), (None, relay, status))));
        }
        let Some(mut relay) = relay else { return Ok(None) };
        match relay.next().await? {
            Some(bytes) => Ok(Some((Frame::data(bytes), (None, Some(relay), status)))),
            None => {
                relay.log_end(status);
                Ok::<_, io::Error>(None)
            }
        }
    });
    Ok(Response::from_parts(parts, StreamBody::new(body).boxed_unsync()))
}

struct Relay {
    exchange: Exchange,
    live: Option<Box<UpstreamResponse>>,
    events: EventBuffer,
    first: Option<Duration>,
    /// When the wait for the next piece ends.
    alarm: Option<clock::Deadline>,
}

impl Relay {
    /// Returns the next whole events, `None` at the stream's end.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let patience = self.patience();
            // Only a stream that may be moved has a limit for each pause; all else one for all.
            if self.alarm.is_none() || patience < self.exchange.call.left() {
                self.alarm = Some(clock::deadline(patience));
            }
            let (Some(live), Some(alarm)) = (&mut self.live, &mut self.alarm) else {
                return Ok(None);
            };
            let cause = match clock::timeout_at(alarm, live.body.frame()).await {
                Some(None) if !self.events.has_partial() => {
                    self.end();
                    return Ok(None);
                }
                Some(None) => "the stream ended within an event".to_owned(),
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let whole = self.events.push(&data);
                    if whole.is_empty() {
                        continue;
                    }
                    self.record_events();
                    return Ok(Some(whole));
                }
                Some(Some(Err(err))) => error_chain(&err),
                None if self.exchange.call.left().is_zero() => "the route's time was up".to_owned(),
                // An engine that ran out of memory reads a prompt again: better late than cut.
                None if self.first.is_some() && !self.exchange.has_other() => {
                    self.alarm = None;
                    continue;
                }
                None => "the upstream fell silent".to_owned(),
            };
            self.resume(cause).await?;
        }
    }

    /// Returns how long the next piece is waited for.
    fn patience(&self) -> Duration {
        let left = self.exchange.call.left();
        if !self.exchange.may_repeat() {
            return left;
        }
        let route = &self.exchange.call.route;
        let pause = route.max_gap.map_or(LONGEST_SILENCE, |it| it * SILENCE);
        // Before the first event the engine may still be reading for others.
        let pause = if self.first.is_none() { pause + route.latency_target } else { pause };
        left.min(pause)
    }

    /// Notes that whole events came.
    fn record_events(&mut self) {
        if self.first.is_none() {
            self.first = Some(clock::now());
            self.exchange.begin();
        }
        if let Some(it) = &self.live {
            it.run.first();
        }
    }

    /// Notes the stream's whole end and keeps its connection.
    fn end(&mut self) {
        let Some(live) = self.live.take() else { return };
        let UpstreamResponse { head, connection, mut run, upstream, .. } = *live;
        run.first();
        run.end(Completion::Done);
        quarantine::record_success(&self.exchange.host, &self.exchange.call);
        if head.keep_alive {
            self.exchange.host.pool.put(upstream.wire_id(), connection, head.idle_timeout);
        }
    }

    /// Goes on at another upstream after the last event passed on.
    ///
    /// # Errors
    ///
    /// Where that is not allowed or not possible: the caller's connection must break too.
    async fn resume(&mut self, cause: String) -> io::Result<()> {
        if let Some(mut live) = self.live.take() {
            let timed_out = self.exchange.call.left().is_zero();
            live.run.end(if timed_out { Completion::Cancelled } else { Completion::Broken });
            self.exchange.broke(&live.upstream, &cause);
        }
        self.events.take_partial();
        if self.first.is_none() || !self.exchange.may_repeat() {
            return Err(io::Error::other(cause));
        }
        let last = self.events.last_event_id().map(str::to_owned);
        let live = self.exchange.next_answer(last.as_deref()).await;
        let live = live.map_err(|it| io::Error::other(it.reason))?;
        if !live.parts.status.is_success() {
            return Err(io::Error::other("another upstream would not go on with the stream"));
        }
        log::info!(
            request = self.exchange.call.id, upstream = live.upstream.entry.id,
            last_event = last.as_deref().unwrap_or(""); "stream goes on"
        );
        self.exchange.host.metrics.count("streams_resumed");
        self.live = Some(live);
        self.alarm = None;
        Ok(())
    }

    fn log_end(&mut self, status: StatusCode) {
        let first = self.first.unwrap_or(self.exchange.call.arrived);
        self.exchange.answered(status, first, self.events.count());
    }
}
