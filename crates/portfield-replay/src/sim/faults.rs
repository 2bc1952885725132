//! Faults of a case: how they start and end.

use portfield::{ids::UpstreamId, member::rank_hosts, schedule::ShardKey};

use super::{Simulation, fleet::data_centre_name};
use crate::{case::FaultKind, metrics::RequestState};

/// Whether a fault starts or ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FaultPhase {
    Start,
    End,
}

impl Simulation<'_> {
    /// Starts or ends a fault of the case, given by index.
    pub(super) fn apply_fault(&mut self, idx: usize, phase: FaultPhase) {
        let fault = &self.case.fault[idx];
        let (kind, target) = (fault.kind, fault.at);
        match (kind, phase) {
            (FaultKind::Scheduler, FaultPhase::Start) => self.kill_scheduler(target),
            (FaultKind::Scheduler, FaultPhase::End) => self.start_scheduler(target),
            (FaultKind::Owner, FaultPhase::Start) => {
                let owner = self.first_owner();
                self.ownerless_since = Some(self.now);
                self.kill_scheduler(owner);
            }
            (FaultKind::Host, FaultPhase::Start) => self.kill_owner_host(),
            (FaultKind::Host, FaultPhase::End) => {
                let dead = (0..self.hosts.len()).find(|it| self.hosts[*it].is_powered_off);
                if let Some(it) = dead {
                    self.hosts[it].is_powered_off = false;
                    self.start_scheduler(it);
                    self.start_router(it);
                }
            }
            (FaultKind::Owner, FaultPhase::End) => {
                let dead = (0..self.hosts.len()).filter(|it| self.hosts[*it].scheduler.is_none());
                dead.collect::<Vec<_>>().into_iter().for_each(|it| self.start_scheduler(it));
            }
            (FaultKind::Router, FaultPhase::Start) => self.kill_router(target),
            (FaultKind::Router, FaultPhase::End) => self.start_router(target),
            (FaultKind::Cut, FaultPhase::Start) => self.cut_off(target, &[true, true]),
            (FaultKind::CutOneWay, FaultPhase::Start) => self.cut_off(target, &[true, false]),
            (FaultKind::Cut | FaultKind::CutOneWay, FaultPhase::End) => {
                self.cut_links.retain(|it| it.0 != target && it.1 != target);
            }
            (FaultKind::Slow, _) => {
                let slowdown = if phase == FaultPhase::Start { 10 } else { 1 };
                let id = self.engine_id(target);
                if let Some(it) = self.engines.get_mut(&id) {
                    it.slowdown = slowdown;
                }
            }
            (FaultKind::Engine, FaultPhase::Start) => self.kill_engine(target),
            (FaultKind::Engine, FaultPhase::End) => {
                let id = self.engine_id(target);
                if let Some(it) = self.engines.get_mut(&id) {
                    it.is_alive = true;
                }
            }
            (FaultKind::Leave, FaultPhase::Start) => self.mark_leaving(target),
            (FaultKind::Leave, FaultPhase::End) => (),
            (FaultKind::Pause, FaultPhase::Start) => {
                self.hosts[target].suspended_events = Some(Vec::new());
            }
            (FaultKind::Pause, FaultPhase::End) => {
                let deferred = self.hosts[target].suspended_events.take().unwrap_or_default();
                deferred.into_iter().for_each(|it| self.handle(it));
            }
        }
    }

    /// Returns the id of an engine, given by its index in the configuration.
    fn engine_id(&self, idx: usize) -> UpstreamId {
        self.fleet.upstreams[idx].id
    }

    /// Returns the index of the host that owns the first shard of the first data centre.
    fn first_owner(&self) -> usize {
        let data_centre = self.fleet.data_centre_id(&data_centre_name(0)).unwrap_or(0);
        let shard = ShardKey { service: self.fleet.services[0].id, data_centre, part: 0 };
        let alive = self.hosts.iter().filter(|it| it.data_centre == 0 && it.scheduler.is_some());
        let owner = rank_hosts(shard, alive.map(|it| it.ip));
        owner.first().map_or(0, |it| self.host_index(*it))
    }

    /// Ends a host's scheduler and its sessions.
    fn kill_scheduler(&mut self, host: usize) {
        self.hosts[host].scheduler = None;
        self.break_sessions(|it| it.1 == host);
    }

    /// Cuts the power of the host that owns the first shard: its processes end and connections to
    /// it hang.
    fn kill_owner_host(&mut self) {
        let owner = self.first_owner();
        self.ownerless_since = Some(self.now);
        self.hosts[owner].is_powered_off = true;
        self.hosts[owner].scheduler = None;
        self.kill_router(owner);
        self.break_sessions(|it| it.1 == owner);
    }

    /// Ends a host's router, and with it the requests that it holds.
    fn kill_router(&mut self, host: usize) {
        self.hosts[host].router = None;
        let mut tickets: Vec<_> = self.hosts[host].tickets.drain().collect();
        tickets.sort_unstable();
        for (_, request) in tickets {
            self.metrics.set_state(self.now, request, RequestState::Orphaned);
        }
        self.break_sessions(|it| it.0 == host);
    }

    /// Ends an engine and fails its attempts.
    fn kill_engine(&mut self, idx: usize) {
        let id = self.engine_id(idx);
        let Some(engine) = self.engines.get_mut(&id) else { return };
        engine.is_alive = false;
        let attempt_ids: Vec<_> = engine.jobs.keys().copied().collect();
        for attempt_id in attempt_ids {
            let attempt = self.attempts.get(&attempt_id).copied();
            self.end_attempt(id, attempt_id);
            if let Some(attempt) = attempt.filter(|it| self.is_router_live(it)) {
                self.fail_attempt(attempt);
            }
        }
    }

    /// Marks an engine as leaving in a new revision of the configuration.
    pub(super) fn mark_leaving(&mut self, idx: usize) {
        let id = self.engine_id(idx);
        self.fleet.revision += 1;
        self.fleet.upstreams[idx].leaving = true;
        self.leaving = Some((id, self.now));
        // One scheduler reads it first; the others learn of the revision from its probes.
        let (generation, fleet) = (self.hosts[0].scheduler_generation, self.fleet.clone());
        self.deliver_to_scheduler(0, generation, portfield::schedule::Event::Config(fleet));
    }

    /// Cuts the links from a data centre to the others, those to it, or both: one flag for each
    /// direction.
    fn cut_off(&mut self, data_centre: usize, directions: &[bool; 2]) {
        for other in (0..self.case.deployment.hosts.len()).filter(|it| *it != data_centre) {
            if directions[0] {
                self.cut_links.push((data_centre, other));
            }
            if directions[1] {
                self.cut_links.push((other, data_centre));
            }
        }
    }
}
