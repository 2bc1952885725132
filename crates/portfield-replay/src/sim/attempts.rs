//! Attempts to run a request on an engine: forwarding, token generation and end.

use std::time::Duration;

use portfield::ids::{TicketId, UpstreamId};

use super::{Attempt, Event, LEAVE_GRACE, MAX_TRANSIT, Simulation};
use crate::{
    engine::{Job, TOKENS_PER_STEP},
    metrics::RequestState,
};

impl Simulation<'_> {
    /// Sends a granted request from its router to an engine.
    pub(super) fn forward(&mut self, host: usize, ticket: TicketId, upstream: UpstreamId) {
        let Some(request) = self.hosts[host].tickets.get(&ticket).copied() else { return };
        self.metrics.set_state(self.now, request, RequestState::Runs);
        let router_generation = self.hosts[host].router_generation;
        let attempt = Attempt { host, router_generation, ticket, request, upstream };
        let delay =
            self.link_delay(self.hosts[host].data_centre, self.engine_data_centre(upstream));
        self.schedule_after(delay, Event::StartAttempt(attempt));
    }

    /// Starts an attempt on its engine, or fails it if the engine can't be reached.
    pub(super) fn start_attempt(&mut self, attempt: Attempt) {
        let data_centre = self.engine_data_centre(attempt.upstream);
        let here = self.hosts[attempt.host].data_centre;
        let reachable = !self.is_cut(here, data_centre) && self.engines[&attempt.upstream].is_alive;
        if !self.is_router_live(&attempt) {
            return;
        }
        if !reachable {
            self.fail_attempt(attempt);
            return;
        }
        if self
            .leaving
            .is_some_and(|(id, at)| id == attempt.upstream && at + LEAVE_GRACE < self.now)
        {
            self.metrics
                .add_violation(format!("upstream {} got work while leaving", attempt.upstream));
        }
        self.record_regrant(data_centre);
        self.n_attempts += 1;
        let id = self.n_attempts;
        self.attempts.insert(id, attempt);
        let cost = self.arrivals[attempt.request].cost;
        let job = Job { request: attempt.request, generated: 0, cost };
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&attempt.upstream) else { return };
        engine.start(now, id, job);
        let time = engine.generation_time(cost.min(TOKENS_PER_STEP));
        self.schedule_after(time, Event::GenerateTokens(attempt.upstream, id));
    }

    /// Records the time from the death of the first data centre's shard owner to the first request
    /// at its upstreams that the dead owner can't have granted.
    pub(super) fn record_regrant(&mut self, data_centre: usize) {
        let Some(since) =
            self.ownerless_since.filter(|it| data_centre == 0 && *it + MAX_TRANSIT < self.now)
        else {
            return;
        };
        self.ownerless_since = None;
        self.metrics.regrant = self.metrics.regrant.max(self.now - since);
    }

    /// Completes one step of an attempt and schedules the next one, or ends the request.
    pub(super) fn generate_tokens(&mut self, upstream: UpstreamId, id: u64) {
        let Some(attempt) = self.attempts.get(&id).copied() else { return };
        let now = self.now;
        if !self.is_router_live(&attempt) {
            // The router's connection is gone, so the engine cancels the request.
            self.end_attempt(upstream, id);
            return;
        }
        let cut =
            self.is_cut(self.hosts[attempt.host].data_centre, self.engine_data_centre(upstream));
        let Some(engine) = self.engines.get_mut(&upstream) else { return };
        let Some(job) = engine.jobs.get_mut(&id) else { return };
        let step = TOKENS_PER_STEP.min(job.cost - job.generated);
        job.generated += step;
        let (generated, remaining) = (job.generated, job.cost - job.generated);
        let time = engine.generation_time(remaining.min(TOKENS_PER_STEP));
        self.metrics.record_tokens(now, attempt.request, step);
        if 0 < remaining {
            self.with_router(attempt.host, |it| it.record_progress(attempt.ticket, generated));
            self.schedule_after(time, Event::GenerateTokens(upstream, id));
        } else if cut {
            // The router gets the end of the response once the link is restored.
            self.schedule_after(Duration::from_millis(100), Event::GenerateTokens(upstream, id));
        } else {
            self.end_attempt(upstream, id);
            let pace = self.engines[&upstream].generation_time(1);
            self.hosts[attempt.host].tickets.remove(&attempt.ticket);
            self.metrics.set_state(now, attempt.request, RequestState::Answered);
            self.with_router(attempt.host, |it| it.finish(attempt.ticket, generated, pace));
        }
    }

    /// Frees the slot of an attempt.
    pub(super) fn end_attempt(&mut self, upstream: UpstreamId, id: u64) {
        let now = self.now;
        self.attempts.remove(&id);
        if let Some(it) = self.engines.get_mut(&upstream) {
            it.end(now, id);
        }
    }

    /// Reports a failed attempt to its router and submits the request again.
    pub(super) fn fail_attempt(&mut self, attempt: Attempt) {
        self.hosts[attempt.host].tickets.remove(&attempt.ticket);
        self.with_router(attempt.host, |it| it.fail(attempt.ticket, 0));
        self.metrics.set_state(self.now, attempt.request, RequestState::Waits);
        self.submit(attempt.host, attempt.request);
    }

    /// Returns whether the router that forwarded an attempt still runs.
    pub(super) fn is_router_live(&self, attempt: &Attempt) -> bool {
        let host = &self.hosts[attempt.host];
        host.router_generation == attempt.router_generation && host.router.is_some()
    }
}
