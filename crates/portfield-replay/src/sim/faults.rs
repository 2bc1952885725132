//! Faults of a replay.

use portfield::{ids::UpstreamId, member::rank_hosts, schedule::ShardKey};

use super::{World, fleet::centre_name};
use crate::{case::FaultKind, measure::Fate};

/// Whether a fault begins or ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Switch {
    On,
    Off,
}

impl World<'_> {
    /// Begins or ends a fault.
    pub(super) fn switch(&mut self, idx: usize, switch: Switch) {
        let fault = &self.case.fault[idx];
        let (kind, at) = (fault.kind, fault.at);
        match (kind, switch) {
            (FaultKind::Scheduler, Switch::On) => self.kill_scheduler(at),
            (FaultKind::Scheduler, Switch::Off) => self.start_scheduler(at),
            (FaultKind::Owner, Switch::On) => {
                let owner = self.first_owner();
                self.orphaned = Some(self.now);
                self.kill_scheduler(owner);
            }
            (FaultKind::Host, Switch::On) => self.kill_host(),
            (FaultKind::Host, Switch::Off) => {
                let dead = (0..self.hosts.len()).find(|it| self.hosts[*it].silent);
                if let Some(it) = dead {
                    self.hosts[it].silent = false;
                    self.start_scheduler(it);
                    self.start_router(it);
                }
            }
            (FaultKind::Owner, Switch::Off) => {
                let dead = (0..self.hosts.len()).filter(|it| self.hosts[*it].scheduler.is_none());
                dead.collect::<Vec<_>>().into_iter().for_each(|it| self.start_scheduler(it));
            }
            (FaultKind::Router, Switch::On) => self.kill_router(at),
            (FaultKind::Router, Switch::Off) => self.start_router(at),
            (FaultKind::Cut, Switch::On) => self.cut(at, &[true, true]),
            (FaultKind::CutOneWay, Switch::On) => self.cut(at, &[true, false]),
            (FaultKind::Cut | FaultKind::CutOneWay, Switch::Off) => {
                self.cuts.retain(|it| it.0 != at && it.1 != at);
            }
            (FaultKind::Slow, _) => {
                let slowdown = if switch == Switch::On { 10 } else { 1 };
                let id = self.engine_id(at);
                if let Some(it) = self.engines.get_mut(&id) {
                    it.slowdown = slowdown;
                }
            }
            (FaultKind::Engine, Switch::On) => self.kill_engine(at),
            (FaultKind::Engine, Switch::Off) => {
                let id = self.engine_id(at);
                if let Some(it) = self.engines.get_mut(&id) {
                    it.alive = true;
                }
            }
            (FaultKind::Leave, Switch::On) => self.leave(at),
            (FaultKind::Leave, Switch::Off) => (),
            (FaultKind::Pause, Switch::On) => self.hosts[at].paused = Some(Vec::new()),
            (FaultKind::Pause, Switch::Off) => {
                let held = self.hosts[at].paused.take().unwrap_or_default();
                held.into_iter().for_each(|it| self.handle(it));
            }
        }
    }

    fn engine_id(&self, at: usize) -> UpstreamId {
        self.fleet.upstreams[at].id
    }

    /// Returns the host that owns the first shard of the first data centre.
    fn first_owner(&self) -> usize {
        let centre = self.fleet.data_centre_id(&centre_name(0)).unwrap_or(0);
        let shard = ShardKey { service: self.fleet.services[0].id, data_centre: centre, part: 0 };
        let alive = self.hosts.iter().filter(|it| it.centre == 0 && it.scheduler.is_some());
        let owner = rank_hosts(shard, alive.map(|it| it.ip));
        owner.first().map_or(0, |it| self.host(*it))
    }

    fn kill_scheduler(&mut self, at: usize) {
        self.hosts[at].scheduler = None;
        self.break_sessions(|it| it.1 == at);
    }

    fn kill_host(&mut self) {
        let at = self.first_owner();
        self.orphaned = Some(self.now);
        self.hosts[at].silent = true;
        self.hosts[at].scheduler = None;
        self.kill_router(at);
        self.break_sessions(|it| it.1 == at);
    }

    fn kill_router(&mut self, at: usize) {
        self.hosts[at].router = None;
        let mut tickets: Vec<_> = self.hosts[at].tickets.drain().collect();
        tickets.sort_unstable();
        for (_, request) in tickets {
            self.measure.turn(self.now, request, Fate::Orphaned);
        }
        self.break_sessions(|it| it.0 == at);
    }

    fn kill_engine(&mut self, at: usize) {
        let id = self.engine_id(at);
        let Some(engine) = self.engines.get_mut(&id) else { return };
        engine.alive = false;
        let runs: Vec<_> = engine.jobs.keys().copied().collect();
        for run in runs {
            let start = self.runs.get(&run).copied();
            self.end_run(id, run);
            if let Some(start) = start.filter(|it| self.is_live(it)) {
                self.fail(start);
            }
        }
    }

    pub(super) fn leave(&mut self, at: usize) {
        let id = self.engine_id(at);
        self.fleet.revision += 1;
        self.fleet.upstreams[at].leaving = true;
        self.left = Some((id, self.now));
        // One scheduler sees it first; the others learn the revision from its probes.
        let (life, fleet) = (self.hosts[0].lives.0, self.fleet.clone());
        self.feed(0, life, portfield::schedule::Event::Config(fleet));
    }

    fn cut(&mut self, at: usize, ways: &[bool; 2]) {
        for other in (0..self.case.deployment.hosts.len()).filter(|it| *it != at) {
            if ways[0] {
                self.cuts.push((at, other));
            }
            if ways[1] {
                self.cuts.push((other, at));
            }
        }
    }
}
