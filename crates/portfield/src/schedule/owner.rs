//! The owner of one shard: tickets in, grants out.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use super::{
    counters::{Counters, SCALE, Virtual, to_virtual},
    estimate::Estimates,
    key::ShardKey,
    peer::Peers,
    queue::{Queues, Waiting},
    slots::{Health, Pace, Slots},
};
use crate::{
    fleet::Fleet,
    ids::{HostId, Incarnation, TicketId, UpstreamId, WorkspaceId},
    wire,
};

/// Grants remembered to say when to come back.
const RATE_WINDOW: usize = 64;
/// Workspaces elsewhere that one pick looks at while something waits here.
const MAX_LOOKS: usize = 16;
/// Shortest and longest time after which a refused caller is told to come back.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// What an owner keeps to, in tokens and times.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Time in which a new owner only collects registrations.
    pub recovery: Duration,
    /// Lead of a local workspace, in tokens at the mean share, that a peer's must be
    /// behind before a slot is lent to it.
    pub lend_lead: u32,
    /// Largest debt, in tokens at the mean share, that is made up for after a cut.
    pub catch_up: u32,
    /// Tickets of one workspace that wait at one owner.
    pub queue: u32,
    /// Time between two regular frames to a peer.
    pub exchange: Duration,
    /// Bytes a second for regular frames to all peers.
    pub exchange_rate: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            recovery: Duration::from_millis(300),
            lend_lead: 250,
            catch_up: 50_000,
            queue: 4096,
            exchange: Duration::from_millis(250),
            exchange_rate: 4000,
        }
    }
}

/// Where a request runs: at an own upstream, or at a peer's by a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Place {
    Own(UpstreamId),
    Borrowed(ShardKey, wire::Loan),
}

#[derive(Debug, Clone, Copy)]
struct Run {
    workspace: WorkspaceId,
    place: Place,
    hint: u32,
    cost: u32,
    reserved: Virtual,
}

/// What an owner shows of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkspaceStatus {
    /// The workspace.
    pub id: WorkspaceId,
    /// Tickets that wait here.
    pub waiting: u32,
    /// Its counter.
    pub counter: Virtual,
}

/// What an owner shows of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The shard.
    pub shard: ShardKey,
    /// Slots configured.
    pub slots: u32,
    /// Slots used, lent or in doubt.
    pub used: u32,
    /// Backlogged workspaces.
    pub backlog: Vec<WorkspaceStatus>,
}

/// The owner of one shard.
#[derive(Debug, Clone)]
pub struct Owner {
    pub(super) shard: ShardKey,
    pub(super) incarnation: Incarnation,
    pub(super) limits: Limits,
    pub(super) counters: Counters,
    pub(super) slots: Slots,
    pub(super) peers: Peers,
    queues: Queues,
    estimates: Estimates,
    shares: HashMap<WorkspaceId, u32>,
    mean_share: u32,
    objective: Duration,
    granting: Duration,
    runs: HashMap<(HostId, TicketId), Run>,
    grants: VecDeque<Duration>,
    outbox: BTreeMap<HostId, wire::ShardAnswer>,
    steps: u64,
}

impl Owner {
    /// Builds an owner that collects registrations before its first grant.
    pub fn new(now: Duration, shard: ShardKey, incarnation: Incarnation, limits: Limits) -> Self {
        Self {
            shard,
            incarnation,
            granting: now + limits.recovery,
            limits,
            counters: Counters::default(),
            slots: Slots::default(),
            peers: Peers::default(),
            queues: Queues::default(),
            estimates: Estimates::default(),
            shares: HashMap::new(),
            mean_share: 1,
            objective: Duration::ZERO,
            runs: HashMap::new(),
            grants: VecDeque::new(),
            outbox: BTreeMap::new(),
            steps: 0,
        }
    }

    /// Adopts a configuration.
    pub fn configure(&mut self, now: Duration, fleet: &Fleet) {
        self.shares = fleet.workspaces.iter().map(|it| (it.id, it.share)).collect();
        let sum: u32 = self.shares.values().sum();
        self.mean_share = (sum / self.shares.len().max(1) as u32).max(1);
        let gap = fleet.service(self.shard.service).map_or(0, |it| it.token_gap);
        self.objective = Duration::from_millis(gap);
        self.slots.configure(now, fleet.upstreams_in_shard(self.shard));
    }

    /// Returns when it grants its first slot.
    pub fn granting(&self) -> Duration {
        self.granting
    }

    /// Returns how many workspaces its decisions looked at so far, for benches.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Queues a ticket, or says when to come back.
    pub fn register(&mut self, now: Duration, host: HostId, ticket: &wire::Ticket) {
        // A ticket that is registered again never used its grant.
        if self.runs.contains_key(&(host, ticket.id)) {
            self.finish(
                now,
                host,
                &wire::Done { id: ticket.id, declined: true, ..Default::default() },
            );
        }
        let id = ticket.workspace;
        if !self.shares.contains_key(&id) || self.limits.queue <= self.queues.n_waiting(id) {
            let retry = self.retry_after(now, id).as_millis() as u32;
            let refusal = wire::Refusal { ticket: ticket.id, retry };
            self.answer(host).refusals.push(refusal);
            return;
        }
        self.queues.push(Waiting {
            host,
            id: ticket.id,
            workspace: id,
            hint: ticket.hint,
            batch: ticket.class == 1,
            prefix: ticket.prefix,
            since: now.saturating_sub(Duration::from_millis(u64::from(ticket.waited))),
        });
        self.count_waiting(id);
    }

    /// Takes a ticket out of its queue.
    pub fn cancel(&mut self, host: HostId, id: TicketId) {
        if let Some(workspace) = self.queues.cancel(host, id) {
            self.count_waiting(workspace);
        }
    }

    /// Takes over a request that runs already under an earlier owner's grant.
    ///
    /// `lender` is the shard of the upstream it runs on, where that is not this one.
    pub fn resume(&mut self, host: HostId, run: &wire::Running, lender: Option<ShardKey>) {
        if self.runs.contains_key(&(host, run.id)) {
            return;
        }
        let loan = wire::Loan { id: run.loan, upstream: run.upstream };
        let place = lender.map_or(Place::Own(run.upstream), |it| Place::Borrowed(it, loan));
        if let Place::Own(id) = place {
            self.slots.confirm(id);
        }
        let rest = run.estimate.saturating_sub(run.cost);
        let reserved = to_virtual(rest, self.share(run.workspace));
        self.counters.reserve(run.workspace, reserved);
        let res = Run { workspace: run.workspace, place, hint: 0, cost: run.cost, reserved };
        self.runs.insert((host, run.id), res);
    }

    /// Counts what a running request has cost so far.
    pub fn progress(&mut self, host: HostId, progress: &wire::Progress) {
        let Some(mut run) = self.runs.get(&(host, progress.id)).copied() else { return };
        self.charge(&mut run, progress.cost);
        self.runs.insert((host, progress.id), run);
    }

    /// Ends a request that had a grant.
    pub fn finish(&mut self, now: Duration, host: HostId, done: &wire::Done) {
        let Some(mut run) = self.runs.remove(&(host, done.id)) else { return };
        self.charge(&mut run, done.cost);
        self.counters.release(run.workspace, run.reserved);
        if !done.declined && !done.failed {
            self.estimates.learn(run.workspace, run.hint, done.cost);
        }
        match run.place {
            Place::Own(id) => {
                self.slots.free(now, id);
                let measured = Duration::from_micros(u64::from(done.pace) * 100);
                let pace = Pace { measured, objective: self.objective };
                if !done.declined {
                    self.slots.learn(now, id, (!done.failed).then_some(pace));
                }
            }
            Place::Borrowed(lender, loan) => self.peers.give_back(lender, loan.id),
        }
    }

    /// Forgets a router that is gone: its tickets end, its slots are in doubt.
    pub fn router_gone(&mut self, now: Duration, host: HostId) {
        for id in self.queues.cancel_host(host) {
            self.count_waiting(id);
        }
        let gone: Vec<_> = self.runs.keys().filter(|it| it.0 == host).copied().collect();
        for key in gone {
            let Some(run) = self.runs.remove(&key) else { continue };
            self.counters.release(run.workspace, run.reserved);
            match run.place {
                Place::Own(id) => self.slots.doubt(now, id),
                Place::Borrowed(lender, loan) => self.peers.give_up(lender, loan.id),
            }
        }
        self.outbox.remove(&host);
    }

    /// Takes in an upstream's load report.
    pub fn report(&mut self, now: Duration, id: UpstreamId, health: Health) {
        self.slots.report(now, id, health);
    }

    /// Grants what can be granted.
    pub fn dispatch(&mut self, now: Duration) {
        if now < self.granting {
            return;
        }
        if self.knows_peers(now) {
            self.counters.set_complete();
        }
        self.use_borrowed(now);
        while self.slots.any_free(now) {
            let Some(choice) = self.choose() else { break };
            match choice {
                Choice::Local(id) => self.grant_own(now, id),
                Choice::Peer(peer) => self.lend(now, peer),
            }
        }
    }

    /// Takes the answers to send.
    pub fn take_answers(&mut self) -> BTreeMap<HostId, wire::ShardAnswer> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns every router that has something here.
    pub fn routers(&self) -> Vec<HostId> {
        let mut res: Vec<_> = self.queues.hosts().chain(self.runs.keys().map(|it| it.0)).collect();
        res.sort_unstable();
        res.dedup();
        res
    }

    /// Returns what the owner shows of itself.
    pub fn status(&self) -> Status {
        let (slots, used) = self.slots.usage();
        let mut backlog: Vec<_> = self
            .queues
            .backlog()
            .map(|(id, waiting)| WorkspaceStatus { id, waiting, counter: self.counters.total(id) })
            .collect();
        backlog.sort_unstable_by_key(|it| it.counter);
        Status { shard: self.shard, slots, used, backlog }
    }

    /// Returns a workspace's counter.
    pub fn counter(&self, id: WorkspaceId) -> Virtual {
        self.counters.total(id)
    }

    /// Returns the loans of `lender` that are in use.
    pub(super) fn held_from(&self, lender: ShardKey) -> Vec<wire::Loan> {
        let loans = self.runs.values().filter_map(|it| match it.place {
            Place::Borrowed(from, loan) if from == lender => Some(loan),
            _ => None,
        });
        loans.collect()
    }

    /// Returns tickets beyond the slots that are free here.
    pub(super) fn want(&self, now: Duration) -> u32 {
        (self.queues.len() as u32).saturating_sub(self.slots.n_free(now))
    }

    /// Returns a cost in tokens at the mean share in virtual units.
    pub(super) fn at_mean(&self, cost: u32) -> Virtual {
        u64::from(cost) * SCALE / u64::from(self.mean_share)
    }

    fn share(&self, id: WorkspaceId) -> u32 {
        self.shares.get(&id).copied().unwrap_or(1)
    }

    fn count_waiting(&mut self, id: WorkspaceId) {
        self.counters.set_waiting(id, self.queues.n_waiting(id));
    }

    fn charge(&mut self, run: &mut Run, cost: u32) {
        let delta = cost.saturating_sub(run.cost);
        if delta == 0 {
            return;
        }
        let amount = to_virtual(delta, self.share(run.workspace));
        self.counters.serve(run.workspace, amount, run.reserved);
        run.reserved = run.reserved.saturating_sub(amount);
        run.cost = cost;
    }

    fn choose(&mut self) -> Option<Choice> {
        let local = self.counters.least_local();
        let lead = self.at_mean(self.limits.lend_lead);
        // Where something waits here, a few looks at workspaces elsewhere must do.
        let n_looks = if local.is_some() { MAX_LOOKS } else { usize::MAX };
        for (total, id) in self.counters.active().take(n_looks) {
            self.steps += 1;
            if self.counters.is_local(id) {
                return Some(Choice::Local(id));
            }
            if local.is_some_and(|(least, _)| least < total + lead) {
                break;
            }
            if let Some(peer) = self.peers.wanting(id) {
                return Some(Choice::Peer(peer));
            }
        }
        local.map(|(_, id)| Choice::Local(id))
    }

    fn grant_own(&mut self, now: Duration, id: WorkspaceId) {
        let Some(ticket) = self.queues.pop(now, id) else {
            self.count_waiting(id);
            return;
        };
        let Some(upstream) = self.slots.choose(now, ticket.prefix) else { return };
        self.slots.take(now, upstream);
        self.grant(now, ticket, Place::Own(upstream));
    }

    fn lend(&mut self, now: Duration, peer: ShardKey) {
        let Some(upstream) = self.slots.choose(now, 0) else { return };
        let loan = self.peers.lend(now, peer, upstream);
        self.slots.lend(now, upstream, loan);
    }

    fn use_borrowed(&mut self, now: Duration) {
        while let Some((lender, loan)) = self.peers.take_borrowed() {
            let least = self.counters.least_local();
            let ticket = least.and_then(|(_, id)| self.queues.pop(now, id));
            match ticket {
                Some(ticket) => self.grant(now, ticket, Place::Borrowed(lender, loan)),
                None => self.peers.give_back(lender, loan.id),
            }
        }
    }

    fn grant(&mut self, now: Duration, ticket: Waiting, place: Place) {
        let Waiting { host, id, workspace, hint, .. } = ticket;
        let estimate = self.estimates.estimate(workspace, hint);
        let reserved = to_virtual(estimate, self.share(workspace));
        self.counters.reserve(workspace, reserved);
        self.count_waiting(workspace);
        self.runs.insert((host, id), Run { workspace, place, hint, cost: 0, reserved });
        let (upstream, loan) = match place {
            Place::Own(upstream) => (upstream, 0),
            Place::Borrowed(_, loan) => (loan.upstream, loan.id),
        };
        self.answer(host).grants.push(wire::Grant { ticket: id, upstream, estimate, loan });
        self.grants.push_back(now);
        if RATE_WINDOW < self.grants.len() {
            self.grants.pop_front();
        }
    }

    /// Says when a slot for one more ticket of a workspace is likely.
    fn retry_after(&self, now: Duration, id: WorkspaceId) -> Duration {
        let waiting = self.queues.n_waiting(id);
        let Some(first) = self.grants.front() else { return RETRY_RANGE.0 };
        let per_grant = now.saturating_sub(*first) / self.grants.len() as u32;
        (per_grant * waiting).clamp(RETRY_RANGE.0, RETRY_RANGE.1)
    }

    fn answer(&mut self, host: HostId) -> &mut wire::ShardAnswer {
        let (shard, incarnation) = (self.shard, self.incarnation);
        self.outbox.entry(host).or_insert_with(|| wire::ShardAnswer {
            shard: Some(shard.into()),
            incarnation,
            ..Default::default()
        })
    }
}

enum Choice {
    Local(WorkspaceId),
    Peer(ShardKey),
}
