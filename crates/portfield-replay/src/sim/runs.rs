//! Requests on their way to engines and on them.

use std::time::Duration;

use portfield::ids::{TicketId, UpstreamId};

use super::{Event, LEAVE_LIMIT, Start, TRANSIT, World};
use crate::{
    engine::{Job, STEP},
    measure::Fate,
};

impl World<'_> {
    pub(super) fn start(&mut self, host: usize, ticket: TicketId, upstream: UpstreamId) {
        let Some(request) = self.hosts[host].tickets.get(&ticket).copied() else { return };
        self.measure.turn(self.now, request, Fate::Runs);
        let life = self.hosts[host].lives.1;
        let start = Start { host, life, ticket, request, upstream };
        let delay = self.delay(self.hosts[host].centre, self.engine_centre(upstream));
        self.after(delay, Event::Begin(start));
    }

    pub(super) fn begin(&mut self, start: Start) {
        let centre = self.engine_centre(start.upstream);
        let here = self.hosts[start.host].centre;
        let reachable = !self.is_cut(here, centre) && self.engines[&start.upstream].alive;
        if !self.is_live(&start) {
            return;
        }
        if !reachable {
            self.fail(start);
            return;
        }
        if self.left.is_some_and(|(id, at)| id == start.upstream && at + LEAVE_LIMIT < self.now) {
            self.measure.violate(format!("upstream {} got work while leaving", start.upstream));
        }
        self.note_regrant(centre);
        self.n_runs += 1;
        let run = self.n_runs;
        self.runs.insert(run, start);
        let cost = self.arrivals[start.request].cost;
        let job = Job { request: start.request, made: 0, cost };
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&start.upstream) else { return };
        engine.start(now, run, job);
        let time = engine.time(cost.min(STEP));
        self.after(time, Event::Tokens(start.upstream, run));
    }

    /// Notes the first work for the first data centre's upstreams after their owner died.
    pub(super) fn note_regrant(&mut self, centre: usize) {
        let Some(since) = self.orphaned.filter(|it| centre == 0 && *it + TRANSIT < self.now) else {
            return;
        };
        self.orphaned = None;
        self.measure.regrant = self.measure.regrant.max(self.now - since);
    }

    pub(super) fn make_tokens(&mut self, upstream: UpstreamId, run: u64) {
        let Some(start) = self.runs.get(&run).copied() else { return };
        let now = self.now;
        if !self.is_live(&start) {
            // The caller's connection is gone: the engine cancels.
            self.end_run(upstream, run);
            return;
        }
        let cut = self.is_cut(self.hosts[start.host].centre, self.engine_centre(upstream));
        let Some(engine) = self.engines.get_mut(&upstream) else { return };
        let Some(job) = engine.jobs.get_mut(&run) else { return };
        let step = STEP.min(job.cost - job.made);
        job.made += step;
        let (made, left) = (job.made, job.cost - job.made);
        let time = engine.time(left.min(STEP));
        self.measure.serve(now, start.request, step);
        if 0 < left {
            self.route(start.host, |it| it.record_progress(start.ticket, made));
            self.after(time, Event::Tokens(upstream, run));
        } else if cut {
            // The rest is resumed once the link is back.
            self.after(Duration::from_millis(100), Event::Tokens(upstream, run));
        } else {
            self.end_run(upstream, run);
            let pace = self.engines[&upstream].time(1);
            self.hosts[start.host].tickets.remove(&start.ticket);
            self.measure.turn(now, start.request, Fate::Answered);
            self.route(start.host, |it| it.finish(start.ticket, made, pace));
        }
    }

    pub(super) fn end_run(&mut self, upstream: UpstreamId, run: u64) {
        let now = self.now;
        self.runs.remove(&run);
        if let Some(it) = self.engines.get_mut(&upstream) {
            it.end(now, run);
        }
    }

    /// Ends an attempt that broke; the request waits again.
    pub(super) fn fail(&mut self, start: Start) {
        self.hosts[start.host].tickets.remove(&start.ticket);
        self.route(start.host, |it| it.fail(start.ticket, 0));
        self.measure.turn(self.now, start.request, Fate::Waits);
        self.submit(start.host, start.request);
    }

    /// Returns whether the router that started a request still lives.
    pub(super) fn is_live(&self, start: &Start) -> bool {
        let host = &self.hosts[start.host];
        host.lives.1 == start.life && host.router.is_some()
    }
}
