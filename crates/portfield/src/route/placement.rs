//! Placement: registration of a router's tickets and running requests with shard owners.

use std::time::Duration;

use super::router::{Action, Router, Stage, Timer};
use crate::{
    ids::{HostId, ServiceId, TicketId},
    member::{choose_part, rank_hosts},
    schedule::ShardKey,
    wire,
};

/// Pause before tickets without a reachable owner, or whose owner denied owning the shard, are
/// registered again.
const REREGISTER_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two attempts to connect to a scheduler.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

impl Router {
    /// Marks what is registered with `host` for `shard`, which it does not own, as unplaced.
    pub(super) fn mark_unplaced(&mut self, host: HostId, shard: ShardKey) {
        let here = self
            .tickets
            .iter()
            .filter(|(_, it)| it.shard == shard && it.stage.host() == Some(host));
        let here: Vec<_> = here.map(|(id, _)| *id).collect();
        self.unplaced.extend(here);
    }

    /// Marks everything whose shard changed with the configuration as unplaced.
    pub(super) fn mark_moved(&mut self) {
        let moved: Vec<_> = self
            .tickets
            .iter()
            .filter(|(_, it)| it.shard != self.local_shard(it.request.service))
            .map(|(id, _)| *id)
            .collect();
        self.unplaced.extend(moved);
    }

    /// Returns the shard in this data centre that this router uses for a service.
    pub(super) fn local_shard(&self, service: ServiceId) -> ShardKey {
        let fleet = self.current.fleet();
        let data_centre = fleet.data_centre_id(&self.data_centre).unwrap_or(0);
        let n_parts = fleet.n_parts(service, data_centre);
        let base = ShardKey { service, data_centre, part: 0 };
        let part = choose_part(base, n_parts, self.host);
        ShardKey { part, ..base }
    }

    /// Registers everything that is unplaced.
    pub(super) fn place_unplaced(&mut self, now: Duration) {
        for id in std::mem::take(&mut self.unplaced) {
            self.place(now, id);
        }
    }

    /// Registers a ticket or a running request with the owner of its shard, or leaves it unplaced
    /// while there is no session with the owner.
    pub(super) fn place(&mut self, now: Duration, id: TicketId) {
        let Some(entry) = self.tickets.get(&id) else { return };
        let shard = self.local_shard(entry.request.service);
        let Some(host) = self.shard_owner(shard) else {
            self.unplaced.insert(id);
            self.schedule_placement(now);
            return;
        };
        if !self.schedulers[&host].connected {
            self.unplaced.insert(id);
            self.connect_to(now, host);
            self.schedule_placement(now);
            return;
        }
        self.unregister(id, shard);
        let Some(entry) = self.tickets.get_mut(&id) else { return };
        entry.shard = shard;
        let request = &entry.request;
        match &mut entry.stage {
            Stage::Running(at, run) => {
                *at = host;
                let running = wire::Running {
                    id,
                    workspace: request.workspace.id,
                    upstream: run.upstream,
                    cost: run.cost,
                    estimate: run.estimate,
                    loan: run.loan,
                };
                self.report_mut(host, shard).running.push(running);
            }
            stage => {
                *stage = Stage::Queued(host);
                let ticket = wire::Ticket {
                    id,
                    workspace: request.workspace.id,
                    hint: request.cost_hint,
                    class: u32::from(request.is_batch),
                    prefix: request.prefix_hash,
                    waited: now.saturating_sub(entry.submitted_at).as_millis() as u32,
                };
                self.report_mut(host, shard).tickets.push(ticket);
            }
        }
    }

    /// Removes a ticket from the shard that it is registered with, if that is not `new_shard`.
    pub(super) fn unregister(&mut self, id: TicketId, new_shard: ShardKey) {
        let Some(entry) = self.tickets.get(&id) else { return };
        let (old, host, stage) = (entry.shard, entry.stage.host(), entry.stage);
        let Some(host) = host.filter(|_| old != new_shard) else { return };
        match stage {
            Stage::Running(_, run) => {
                let done = wire::Done { id, cost: run.cost, declined: true, ..Default::default() };
                self.report_mut(host, old).done.push(done);
            }
            _ => self.report_mut(host, old).cancels.push(id),
        }
    }

    /// Schedules the next registration of everything that is unplaced.
    pub(super) fn schedule_placement(&mut self, now: Duration) {
        if !self.is_placement_due {
            self.is_placement_due = true;
            self.timers.schedule(now + REREGISTER_PAUSE, Timer::Place);
        }
    }

    /// Returns the host that owns a shard, by rendezvous hashing of the live schedulers.
    pub(super) fn shard_owner(&self, shard: ShardKey) -> Option<HostId> {
        let alive = self.schedulers.iter().filter(|(_, it)| it.state <= 1 && 0 < it.incarnation);
        rank_hosts(shard, alive.map(|(host, _)| *host)).first().copied()
    }

    /// Requests a session with a host's scheduler, unless one was attempted just before.
    pub(super) fn connect_to(&mut self, now: Duration, host: HostId) {
        let Some(it) = self.schedulers.get_mut(&host) else { return };
        if it.attempted_at.is_some_and(|at| now < at + RECONNECT_PAUSE) {
            return;
        }
        it.attempted_at = Some(now);
        self.actions.push(Action::Connect(host, it.address));
    }
}
