//! State of one request: which upstreams were tried, whether it may be retried, and the final
//! response.

use std::{sync::Arc, time::Duration};

use http::{Response, StatusCode};
use portfield::{
    balance::{ShareSnapshot, Stage},
    catalog::{RouteKind, Upstream},
    quarantine::{QuarantineEntry, Verdict},
    streams::StreamOrigin,
    upstream::{GapMeter, Liveness},
};
use portfield_net::clock;
use portfield_platform::response::BodyDelimiter;

use crate::{
    attempt::{self, AttemptResult, Outcome, UpstreamResponse},
    call::{self, Call, SUSPENDED_RETRY, SUSPENDED_TEXT},
    hedge, liveness,
    placement::{Placed, PlacementMode, PlacementRefusal},
    probe,
    quarantine::{self, CopyGuard},
    response::{Body, CALLER_LEFT, CALLER_LEFT_RETRY, Failure},
    state::Host,
    streams,
};

/// Attempts that certainly did not run, allowed in addition to the attempts of the route.
const MAX_NOT_RUN: u32 = 2;
/// Retry delay given to a caller after upstreams were unreachable or full.
const RETRY: Duration = Duration::from_millis(300);
/// Part of the remaining time that a safe request waits for an upstream while it may still be
/// retried at another one.
const FIRST_TIMEOUT_PART: f64 = 0.4;

/// Mean interval for checking whether another copy of a suspect still runs; random, so that two
/// hosts rarely start the next copy together.
const COPY_POLL: Duration = Duration::from_millis(25);
/// Time between the announcement of a suspect's copy to the other hosts and its start, in which
/// the announcement of another host's copy arrives.
const CLAIM_TIME: Duration = Duration::from_millis(20);
/// Longest wait of a new request for another copy.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// A request that is being served.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub host: Arc<Host>,
    pub call: Call,
    tried: Vec<u32>,
    n_run: u32,
    n_not_run: u32,
    /// Whether an upstream may have run the request.
    may_have_run: bool,
    /// Registration among the copies of the request, from the first attempt on.
    copy: Option<CopyGuard>,
    /// Error response of an upstream, returned if no later attempt succeeds.
    error: Option<Response<Body>>,
    /// Whether the end of the response was passed to the caller, or is about to be.
    is_finished: bool,
}

impl Exchange {
    /// Builds the exchange of a request that was not sent yet.
    pub(crate) fn new(host: Arc<Host>, call: Call) -> Self {
        Self {
            host,
            call,
            tried: Vec::new(),
            n_run: 0,
            n_not_run: 0,
            may_have_run: false,
            copy: None,
            error: None,
            is_finished: false,
        }
    }

    /// Sends the request to one upstream after another until one responds.
    ///
    /// # Errors
    ///
    /// The response to give if none does.
    pub(crate) async fn next_response(
        &mut self,
        last_event: Option<&str>,
    ) -> Result<Box<UpstreamResponse>, Failure> {
        loop {
            self.check_limits()?;
            self.wait_for_copies().await?;
            // Last, with no wait before the request is sent: the host may have been suspended.
            self.wait_for_fresh_state().await?;
            self.check_quarantine()?;
            if !self.call.kind().is_retryable() {
                // Cut off, it could not be repeated.
                call::check_shutdown(&self.host, self.call.deadline)?;
            }
            let placed = self.place()?;
            if !self.tried.is_empty() && !self.host.withdraw_retry(self.call.placement.service) {
                self.host.metrics.count("retry_budget_spent");
                return Err(self.failure("the retry budget is spent".to_owned(), RETRY));
            }
            self.log_placed(&placed);
            self.tried.push(placed.assignment.upstream);
            let timeout = self.attempt_timeout(placed.assignment.estimate_without_fetch());
            let result = if self.may_hedge() {
                hedge::send(self, &placed, timeout).await
            } else {
                attempt::send(&self.host, &self.call, &placed, last_event, timeout).await
            };
            match result {
                AttemptResult::Response(response) => {
                    self.record_run();
                    return Ok(response);
                }
                AttemptResult::Failed(outcome, cause) => {
                    self.record_failure(&placed.upstream, outcome, cause)?;
                }
            }
        }
    }

    /// Picks an upstream; otherwise logs the refusal and returns it as the response.
    fn place(&mut self) -> Result<Placed, Failure> {
        self.call.placement.waited = clock::now().saturating_sub(self.call.arrived);
        let is_risky = self.host.quarantine().needs_isolation(clock::now(), &self.call.keys);
        let mode = if is_risky { PlacementMode::Isolated } else { PlacementMode::Any };
        let PlacementRefusal { reason, retry_after, estimate, share_ratio, room, invited } =
            match self.host.place(&self.call, &self.tried, mode) {
                Ok(it) => return Ok(it),
                Err(it) => it,
            };
        let retry_after = retry_after.min(self.call.remaining());
        let shares = self.share_snapshot();
        log::info!(
            request = self.call.id, route = self.call.route.name, reason:?, share = share_ratio,
            workspace = self.call.workspace_name(), tokens = self.call.tokens(),
            asked = shares.asked, taken = shares.taken, level = shares.fair_share,
            best = shares.largest_usage, level_age_ms = shares.age.as_millis() as u64,
            estimate_ms = estimate.as_millis() as u64, retry_ms = retry_after.as_millis() as u64,
            objective_ms = self.call.route.latency_target.as_millis() as u64,
            room = room.room, free_slots = room.free_slots, queue_ms = room.queue_ms as u64,
            invited_ms = invited.map_or(0, |it| it.as_millis() as u64),
            earlier_ms = self.call.placement.earlier.as_millis() as u64,
            config = self.call.config_version,
            list:% = self.host.with_list(|it| it.directory.version()),
            hosts = self.host.balancer().n_hosts(clock::now()); "not placed"
        );
        self.host.metrics.count(&format!("refused{{reason=\"{reason:?}\"}}"));
        if invited.is_some() {
            self.host.metrics.count("retries_invited");
        }
        if self.call.placement.is_returning() {
            self.host.metrics.count("refused_returning");
        }
        Err(self.failure(format!("refused: {reason:?}"), retry_after))
    }

    fn share_snapshot(&self) -> ShareSnapshot {
        self.host.balancer().share_snapshot(clock::now(), self.call.placement.workspace)
    }

    fn log_placed(&self, placed: &Placed) {
        let Placed { assignment, upstream, source } = placed;
        log::info!(
            request = self.call.id, route = self.call.route.name, upstream = upstream.entry.id,
            software = upstream.entry.software_version, resumes = self.call.first_attempt(),
            last_event = self.call.resumption.as_ref().map_or("", |it| it.last_event.as_str()),
            workspace = self.call.workspace_name(),
            estimate_ms = assignment.estimate.as_millis() as u64,
            bias_ms = assignment.bias.as_millis() as u64, unread = assignment.uncached_tokens,
            ahead = assignment.queued_tokens, share = assignment.share_ratio, attempt = self.tried.len() + 1,
            tokens = self.call.tokens(), fingerprint = self.call.fingerprint_hex(),
            parts = self.call.part_ids_hex(), config = self.call.config_version,
            list:% = self.host.with_list(|it| it.directory.version()),
            store_age_ms = self.host.store_age_ms(); "placed"
        );
        if let (Some(fetch), Some(source)) = (assignment.fetch, source) {
            log::info!(
                request = self.call.id, upstream = upstream.entry.id, source = source.entry.id,
                tokens = fetch.tokens, known:? = fetch.knowledge, age = fetch.age,
                fetch_ms = fetch.time.as_millis() as u64,
                prefill_ms = fetch.prefill.as_millis() as u64; "cache fetch"
            );
        }
    }

    /// Returns whether a second upstream may be asked while the first one has not responded.
    fn may_hedge(&self) -> bool {
        self.call.kind() == RouteKind::Safe
            && self.call.placement.engine.is_none()
            && self.n_run + 2 <= self.call.route.max_attempts
    }

    /// Returns the upstreams that the request was sent to.
    pub(crate) fn tried(&self) -> &[u32] {
        &self.tried
    }

    /// Records that the request was sent to an upstream.
    pub(crate) fn record_tried(&mut self, upstream: u32) {
        self.tried.push(upstream);
    }

    /// Records an attempt that its upstream may have run.
    pub(crate) fn record_run(&mut self) {
        self.n_run += 1;
        self.may_have_run = true;
    }

    /// Records an attempt that brought no response.
    ///
    /// # Errors
    ///
    /// The final response, if the caller disconnected, or the attempt timed out and the request is
    /// not repeatable.
    pub(crate) fn record_failure(
        &mut self,
        upstream: &Arc<Upstream>,
        outcome: Outcome,
        cause: String,
    ) -> Result<(), Failure> {
        if outcome.may_have_run() {
            self.record_run();
            self.record_break(upstream);
        } else {
            self.n_not_run += 1;
        }
        let label = outcome.as_str();
        log::warn!(
            request = self.call.id, upstream = upstream.entry.id, outcome = label, cause,
            fingerprint = self.call.fingerprint_hex(),
            left_ms = self.call.remaining().as_millis() as u64; "attempt failed"
        );
        self.host.metrics.count(&format!("attempts_failed{{outcome=\"{label}\"}}"));
        if outcome == Outcome::Abandoned {
            return Err(self.failure(CALLER_LEFT.to_owned(), CALLER_LEFT_RETRY));
        }
        if outcome == Outcome::TimedOut && !self.call.kind().is_retryable() {
            return Err(Failure::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, cause));
        }
        Ok(())
    }

    /// Records that an attempt broke, and checks whether its upstream is still alive.
    fn record_break(&self, upstream: &Arc<Upstream>) {
        if quarantine::record_broken_attempt(&self.host, &self.call, upstream) {
            probe::verify_alive(&self.host, upstream);
        }
    }

    /// Checks whether an upstream lives on after the end of its response, if the end of the connection
    /// delimits it: a crash looks the same.
    pub(crate) fn check_end(
        &self,
        upstream: &Arc<Upstream>,
        delimiter: BodyDelimiter,
        open_time: Duration,
    ) -> impl Future<Output = Liveness> + use<> {
        let (host, upstream) = (self.host.clone(), upstream.clone());
        let (arrived, remaining) = (self.call.arrived, self.call.remaining());
        async move {
            if delimiter != BodyDelimiter::Close {
                return Liveness::Alive;
            }
            let check = liveness::check_response_end(&host, &upstream, arrived, open_time);
            clock::timeout(remaining, check).await.unwrap_or(Liveness::Unclear)
        }
    }

    /// Records that a response broke before its end.
    pub(crate) fn record_broken_response(&self, upstream: &Arc<Upstream>, cause: &str) {
        self.record_break(upstream);
        log::warn!(
            request = self.call.id, upstream = upstream.entry.id, outcome = "unknown", cause,
            software = upstream.entry.software_version,
            fingerprint = self.call.fingerprint_hex(),
            left_ms = self.call.remaining().as_millis() as u64; "answer broke"
        );
        self.host.metrics.count("answers_broken");
    }

    /// Logs a complete response.
    pub(crate) fn record_answered(
        &mut self,
        status: StatusCode,
        first: Duration,
        n_events: u64,
        delimiter: BodyDelimiter,
    ) {
        self.is_finished = true;
        let now = clock::now();
        let total = now.saturating_sub(self.call.arrived);
        log::info!(
            request = self.call.id, status = status.as_u16(),
            first_ms = first.saturating_sub(self.call.arrived).as_millis() as u64,
            total_ms = total.as_millis() as u64, events = n_events, delimiter:?; "answered"
        );
        self.host.metrics.count(&format!("answered{{status=\"{}\"}}", status.as_u16()));
        self.host.metrics.record_time("first", first.saturating_sub(self.call.arrived));
        self.host.metrics.record_time("total", total);
    }

    /// Returns a meter for the gaps between the events of the stream.
    pub(crate) fn gap_meter(&self) -> GapMeter {
        GapMeter::new(self.host.balancer().expected_gap(self.call.placement.service))
    }

    /// Records that the caller is about to receive the first event of the stream, from an upstream.
    pub(crate) fn mark_begun(&mut self, upstream: &Upstream) {
        self.call.placement.stage = Stage::Streaming;
        let service = self.call.placement.service;
        let origin = StreamOrigin { service, version: upstream.version_hash() };
        self.call.origin.get_or_insert(origin);
        streams::record_begun(&self.host, &self.call, upstream);
    }

    /// Returns whether another upstream would accept the request now.
    pub(crate) fn has_alternative(&self) -> bool {
        if !self.may_retry() {
            return false;
        }
        let placed = self.host.place(&self.call, &self.tried, PlacementMode::Any);
        placed.is_ok_and(|it| !self.tried.contains(&it.assignment.upstream))
    }

    /// Returns whether another upstream may be asked to repeat or resume the request.
    pub(crate) fn may_retry(&self) -> bool {
        self.call.kind().is_retryable()
            && self.n_run < self.call.route.max_attempts
            && !self.call.remaining().is_zero()
    }

    /// Stores an upstream's error response, which is returned if no later attempt succeeds.
    pub(crate) fn store_error(&mut self, error: Response<Body>) {
        self.error = Some(error);
    }

    fn check_limits(&mut self) -> Result<(), Failure> {
        if self.call.remaining().is_zero() {
            let text = "the time of the request is up";
            if self.may_have_run {
                return Err(Failure::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, text));
            }
            return Err(Failure::unavailable(text, RETRY));
        }
        if self.may_have_run && !self.call.kind().is_retryable() {
            let text = "the answer broke, and the request may not run twice";
            return Err(Failure::outcome_unknown(StatusCode::BAD_GATEWAY, text));
        }
        let max = self.call.route.max_attempts;
        if max <= self.n_run || max + MAX_NOT_RUN <= self.n_run + self.n_not_run {
            return Err(self.failure("no attempt is left".to_owned(), RETRY));
        }
        Ok(())
    }

    /// Checks that this host's state is fresh; a stream that has begun waits for it, since its
    /// caller already has a part of the response.
    async fn wait_for_fresh_state(&mut self) -> Result<(), Failure> {
        if self.call.placement.stage != Stage::Streaming && !self.host.has_fresh_state() {
            return Err(self.failure(SUSPENDED_TEXT.to_owned(), SUSPENDED_RETRY));
        }
        self.host.wait_for_fresh_state().await;
        Ok(())
    }

    /// Checks that neither the request nor a part of its prompt is in quarantine; called before every
    /// attempt, also before a retry and before a stream is resumed.
    fn check_quarantine(&self) -> Result<(), Failure> {
        let verdict = self.host.quarantine().verdict(clock::now(), &self.call.keys);
        let Verdict::Refused(QuarantineEntry { key, n_crashes, remaining, .. }) = verdict else {
            return Ok(());
        };
        let fingerprint = self.call.fingerprint_hex();
        let part = if key.is_part() { key.fingerprint_hex() } else { String::new() };
        log::info!(
            request = self.call.id, route = self.call.route.name, fingerprint, part,
            n_ends = n_crashes, workspace = self.call.workspace_name(),
            left_s = remaining.as_secs(); "in quarantine"
        );
        let (label, cause) = if key.is_part() {
            ("QuarantinedPart", format!("requests with part {part} of its prompt"))
        } else {
            ("Quarantine", format!("this request ({fingerprint})"))
        };
        self.host.metrics.count(&format!("refused{{reason=\"{label}\"}}"));
        let reason = format!(
            "{n_crashes} upstreams ended while they ran {cause}: it is not sent to another one for {} s",
            remaining.as_secs()
        );
        Err(self.failure(reason, quarantine::whole_seconds(remaining)))
    }

    /// Registers this copy of the request. While the request or a part of its prompt is suspected of
    /// crashing upstreams, it first waits for the end of another copy or request with the part, which
    /// mostly succeeds and clears the suspect.
    ///
    /// # Errors
    ///
    /// The response to a new request, once it has waited for [`MAX_HOLD`] or half of its time. A
    /// stream that has begun goes on waiting, since its caller already has a part of the response.
    async fn wait_for_copies(&mut self) -> Result<(), Failure> {
        let start = clock::now();
        loop {
            self.wait_while_held_back(start).await?;
            if self.copy.is_some() {
                return Ok(());
            }
            let copy = CopyGuard::start(&self.host, &self.call);
            if quarantine::is_suspect(&self.host, &self.call) {
                // Other hosts may have announced a copy at the same moment.
                clock::sleep(CLAIM_TIME).await;
                if quarantine::is_held_back(&self.host, &self.call, Some(&copy)) {
                    continue;
                }
            }
            self.copy = Some(copy);
        }
    }

    async fn wait_while_held_back(&mut self, start: Duration) -> Result<(), Failure> {
        while quarantine::is_held_back(&self.host, &self.call, self.copy.as_ref()) {
            let held = clock::now().saturating_sub(start);
            let limit = MAX_HOLD.min(self.call.remaining());
            if self.call.placement.stage != Stage::Streaming && limit <= held {
                return Err(self.refuse_copy());
            }
            clock::sleep(COPY_POLL.mul_f64(0.5 + fastrand::f64())).await;
            self.check_limits()?;
            self.check_quarantine()?;
        }
        Ok(())
    }

    fn refuse_copy(&self) -> Failure {
        let fingerprint = self.call.fingerprint_hex();
        log::info!(
            request = self.call.id, route = self.call.route.name, fingerprint,
            workspace = self.call.workspace_name(); "another copy of the suspect runs"
        );
        self.host.metrics.count("refused{reason=\"SuspectRunning\"}");
        let text = format!(
            "upstreams ended while they ran this request ({fingerprint}) or parts of its prompt, and another \
             one that may end them runs"
        );
        self.failure(text, RETRY)
    }

    fn failure(&self, reason: String, retry: Duration) -> Failure {
        if self.may_have_run {
            return Failure::outcome_unknown(StatusCode::BAD_GATEWAY, reason);
        }
        Failure::unavailable(reason, retry)
    }

    /// Returns how long to wait for the next upstream's response.
    fn attempt_timeout(&self, estimate: Duration) -> Duration {
        let left = self.call.remaining();
        if self.call.route.max_attempts <= self.n_run + 1 {
            return left;
        }
        match self.call.kind() {
            RouteKind::Safe => left.mul_f64(FIRST_TIMEOUT_PART),
            RouteKind::ResumableStream => left.min(estimate * 2 + self.call.route.latency_target),
            RouteKind::Unsafe | RouteKind::Stream => left,
        }
    }

    /// Returns the final response after no upstream gave a usable one.
    pub(crate) fn into_failure_response(mut self, failure: Failure) -> Response<Body> {
        self.is_finished = true;
        if let Some(res) = self.error.take() {
            log::info!(
                request = self.call.id, status = res.status().as_u16(), reason = failure.reason;
                "upstream error returned"
            );
            self.host.metrics.count("errors_passed_on");
            return res;
        }
        log::info!(
            request = self.call.id, status = failure.status.as_u16(), reason = failure.reason,
            waited_ms = clock::now().saturating_sub(self.call.arrived).as_millis() as u64,
            may_have_run = self.may_have_run; "given up"
        );
        self.host.metrics.count(&format!("given_up{{status=\"{}\"}}", failure.status.as_u16()));
        failure.to_response(&self.call.id)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        log::info!(
            request = self.call.id, may_have_run = self.may_have_run,
            waited_ms = clock::now().saturating_sub(self.call.arrived).as_millis() as u64,
            left_ms = self.call.remaining().as_millis() as u64; "not finished"
        );
        self.host.metrics.count("not_finished");
    }
}
