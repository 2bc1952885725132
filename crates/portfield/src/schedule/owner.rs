//! The owner of one shard: queues tickets and grants slots.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use super::{
    cost_estimator::CostEstimator,
    counters::{Counters, UNITS_PER_TOKEN, VirtualCost, virtual_cost},
    peer::Peers,
    queue::{QueuedTicket, TicketQueues},
    shard_key::ShardKey,
    slots::{Health, InterTokenLatency, Slots},
};
use crate::{
    fleet::Fleet,
    ids::{HostId, Incarnation, TicketId, UpstreamId, WorkspaceId},
    wire,
};

/// Latest grants whose rate determines the retry delay of refused tickets.
const RATE_WINDOW: usize = 64;
/// Workspaces at other owners that are examined for one slot while local tickets wait.
const MAX_EXAMINED: usize = 16;
/// Shortest and longest retry delay of refused tickets.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Limits and periods of an owner.
#[derive(Debug, Clone)]
pub struct OwnerConfig {
    /// Time after its start in which a new owner only collects registrations and grants nothing.
    pub recovery_time: Duration,
    /// Amount by which the counter of a workspace at a peer must be below the lowest local one
    /// before a slot is lent to the peer, in tokens at the mean share.
    pub lend_threshold: u32,
    /// Largest lag of a workspace that is made up for after a network partition, in tokens at the
    /// mean share.
    pub max_lag: u32,
    /// Most waiting tickets of one workspace at one owner; further ones are refused.
    pub max_queued: u32,
    /// Shortest time between two regular frames to a peer.
    pub exchange_period: Duration,
    /// Bandwidth for regular frames to all peers together, in bytes per second.
    pub exchange_bandwidth: u32,
}

impl Default for OwnerConfig {
    fn default() -> Self {
        Self {
            recovery_time: Duration::from_millis(300),
            lend_threshold: 250,
            max_lag: 50_000,
            max_queued: 4096,
            exchange_period: Duration::from_millis(250),
            exchange_bandwidth: 4000,
        }
    }
}

/// Slot that a request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotSource {
    /// A slot of an upstream of this shard.
    Own(UpstreamId),
    /// A slot borrowed from the owner of another shard.
    Borrowed(ShardKey, wire::Loan),
}

/// A request that holds a grant.
#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    workspace: WorkspaceId,
    slot: SlotSource,
    /// Cost that the caller expects, in tokens; zero if unknown.
    hint: u32,
    /// Cost charged so far, in tokens.
    cost: u32,
    /// Rest of its reservation.
    reserved: VirtualCost,
}

/// Status of a backlogged workspace at one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkspaceStatus {
    /// The workspace.
    pub id: WorkspaceId,
    /// Number of its waiting tickets.
    pub waiting: u32,
    /// Its counter.
    pub counter: VirtualCost,
}

/// Status of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardKey,
    /// Number of configured slots.
    pub slots: u32,
    /// Number of slots used, lent or in doubt.
    pub used: u32,
    /// Backlogged workspaces, lowest counter first.
    pub backlog: Vec<WorkspaceStatus>,
}

/// Owner of one shard: grants the slots of its upstreams to waiting tickets.
#[derive(Debug, Clone)]
pub struct ShardOwner {
    pub(super) shard: ShardKey,
    pub(super) incarnation: Incarnation,
    pub(super) config: OwnerConfig,
    pub(super) counters: Counters,
    pub(super) slots: Slots,
    pub(super) peers: Peers,
    queues: TicketQueues,
    estimator: CostEstimator,
    shares: HashMap<WorkspaceId, u32>,
    mean_share: u32,
    /// Largest acceptable time between tokens, zero if the service sets none.
    target_latency: Duration,
    recovery_end: Duration,
    running: HashMap<(HostId, TicketId), RunningRequest>,
    /// Times of the latest grants.
    grant_times: VecDeque<Duration>,
    /// Answers to send, by router.
    answers: BTreeMap<HostId, wire::ShardAnswer>,
    /// Workspaces examined for grants so far.
    n_examined: u64,
}

impl ShardOwner {
    /// Creates an owner, which collects registrations for the configured time before its first
    /// grant.
    pub fn new(
        now: Duration,
        shard: ShardKey,
        incarnation: Incarnation,
        config: OwnerConfig,
    ) -> Self {
        Self {
            shard,
            incarnation,
            recovery_end: now + config.recovery_time,
            config,
            counters: Counters::default(),
            slots: Slots::default(),
            peers: Peers::default(),
            queues: TicketQueues::default(),
            estimator: CostEstimator::default(),
            shares: HashMap::new(),
            mean_share: 1,
            target_latency: Duration::ZERO,
            running: HashMap::new(),
            grant_times: VecDeque::new(),
            answers: BTreeMap::new(),
            n_examined: 0,
        }
    }

    /// Applies a configuration.
    pub fn configure(&mut self, now: Duration, fleet: &Fleet) {
        self.shares = fleet.workspaces.iter().map(|it| (it.id, it.share)).collect();
        let sum: u32 = self.shares.values().sum();
        self.mean_share = (sum / self.shares.len().max(1) as u32).max(1);
        let target_ms = fleet.service(self.shard.service).map_or(0, |it| it.token_gap);
        self.target_latency = Duration::from_millis(target_ms);
        self.slots.configure(now, fleet.upstreams_in_shard(self.shard));
    }

    /// Returns when the owner may grant its first slot.
    pub fn recovery_end(&self) -> Duration {
        self.recovery_end
    }

    /// Returns the number of workspaces examined for grants so far, for benchmarks.
    pub fn n_examined(&self) -> u64 {
        self.n_examined
    }

    /// Queues a router's ticket, or refuses it with a retry delay.
    pub fn register(&mut self, now: Duration, host: HostId, ticket: &wire::Ticket) {
        // The router registers a ticket again only if it did not use the grant.
        if self.running.contains_key(&(host, ticket.id)) {
            self.finish(
                now,
                host,
                &wire::Done { id: ticket.id, declined: true, ..Default::default() },
            );
        }
        let id = ticket.workspace;
        if !self.shares.contains_key(&id) || self.config.max_queued <= self.queues.n_waiting(id) {
            let retry = self.retry_after(now, id).as_millis() as u32;
            let refusal = wire::Refusal { ticket: ticket.id, retry };
            self.answer_to(host).refusals.push(refusal);
            return;
        }
        self.queues.push(QueuedTicket {
            host,
            id: ticket.id,
            workspace: id,
            hint: ticket.hint,
            is_batch: ticket.class == 1,
            prefix: ticket.prefix,
            waiting_since: now.saturating_sub(Duration::from_millis(u64::from(ticket.waited))),
        });
        self.update_waiting(id);
    }

    /// Removes a ticket from its queue.
    pub fn cancel(&mut self, host: HostId, id: TicketId) {
        if let Some(workspace) = self.queues.cancel(host, id) {
            self.update_waiting(workspace);
        }
    }

    /// Takes over a request that runs under a grant of an earlier owner.
    ///
    /// `lender` is the shard of its upstream, if that is not this shard.
    pub fn resume(&mut self, host: HostId, running: &wire::Running, lender: Option<ShardKey>) {
        if self.running.contains_key(&(host, running.id)) {
            return;
        }
        let loan = wire::Loan { id: running.loan, upstream: running.upstream };
        let slot =
            lender.map_or(SlotSource::Own(running.upstream), |it| SlotSource::Borrowed(it, loan));
        if let SlotSource::Own(id) = slot {
            self.slots.confirm_used(id);
        }
        let remaining = running.estimate.saturating_sub(running.cost);
        let reserved = virtual_cost(remaining, self.share(running.workspace));
        self.counters.reserve(running.workspace, reserved);
        let request = RunningRequest {
            workspace: running.workspace,
            slot,
            hint: 0,
            cost: running.cost,
            reserved,
        };
        self.running.insert((host, running.id), request);
    }

    /// Charges the cost of a running request so far.
    pub fn record_progress(&mut self, host: HostId, progress: &wire::Progress) {
        let Some(mut request) = self.running.get(&(host, progress.id)).copied() else { return };
        self.charge(&mut request, progress.cost);
        self.running.insert((host, progress.id), request);
    }

    /// Ends a request that has a grant, and releases its slot.
    pub fn finish(&mut self, now: Duration, host: HostId, done: &wire::Done) {
        let Some(mut request) = self.running.remove(&(host, done.id)) else { return };
        self.charge(&mut request, done.cost);
        self.counters.release(request.workspace, request.reserved);
        if !done.declined && !done.failed {
            self.estimator.observe(request.workspace, request.hint, done.cost);
        }
        match request.slot {
            SlotSource::Own(id) => {
                self.slots.release(now, id);
                let measured = Duration::from_micros(u64::from(done.pace) * 100);
                let latency = InterTokenLatency { measured, target: self.target_latency };
                if !done.declined {
                    self.slots.record_outcome(now, id, (!done.failed).then_some(latency));
                }
            }
            SlotSource::Borrowed(lender, loan) => self.peers.return_loan(lender, loan.id),
        }
    }

    /// Removes a router that is gone: its tickets are cancelled, its slots become doubtful.
    pub fn remove_router(&mut self, now: Duration, host: HostId) {
        for id in self.queues.cancel_host(host) {
            self.update_waiting(id);
        }
        let keys: Vec<_> = self.running.keys().filter(|it| it.0 == host).copied().collect();
        for key in keys {
            let Some(request) = self.running.remove(&key) else { continue };
            self.counters.release(request.workspace, request.reserved);
            match request.slot {
                SlotSource::Own(id) => self.slots.mark_doubtful(now, id),
                SlotSource::Borrowed(lender, loan) => self.peers.return_doubtful(lender, loan.id),
            }
        }
        self.answers.remove(&host);
    }

    /// Records a health check of an upstream.
    pub fn record_health(&mut self, now: Duration, id: UpstreamId, health: Health) {
        self.slots.record_health(now, id, health);
    }

    /// Grants borrowed and free slots until no slot is free or no ticket waits for one.
    pub fn dispatch(&mut self, now: Duration) {
        if now < self.recovery_end {
            return;
        }
        if self.is_synced(now) {
            self.counters.enable_lifts();
        }
        self.grant_borrowed(now);
        while self.slots.has_free(now) {
            let Some(recipient) = self.choose_recipient() else { break };
            match recipient {
                Recipient::Local(id) => self.grant_local(now, id),
                Recipient::Peer(peer) => self.lend_slot(now, peer),
            }
        }
    }

    /// Removes and returns the answers to send, by router.
    pub fn take_answers(&mut self) -> BTreeMap<HostId, wire::ShardAnswer> {
        std::mem::take(&mut self.answers)
    }

    /// Returns the routers that have waiting tickets or running requests.
    pub fn routers(&self) -> Vec<HostId> {
        let mut res: Vec<_> =
            self.queues.hosts().chain(self.running.keys().map(|it| it.0)).collect();
        res.sort_unstable();
        res.dedup();
        res
    }

    /// Returns the status of the shard.
    pub fn status(&self) -> ShardStatus {
        let (slots, used) = self.slots.usage();
        let mut backlog: Vec<_> = self
            .queues
            .backlog()
            .map(|(id, waiting)| WorkspaceStatus { id, waiting, counter: self.counters.total(id) })
            .collect();
        backlog.sort_unstable_by_key(|it| it.counter);
        ShardStatus { shard: self.shard, slots, used, backlog }
    }

    /// Returns a workspace's counter.
    pub fn counter(&self, id: WorkspaceId) -> VirtualCost {
        self.counters.total(id)
    }

    /// Returns the loans from `lender` that running requests use.
    pub(super) fn loans_in_use(&self, lender: ShardKey) -> Vec<wire::Loan> {
        let loans = self.running.values().filter_map(|it| match it.slot {
            SlotSource::Borrowed(from, loan) if from == lender => Some(loan),
            _ => None,
        });
        loans.collect()
    }

    /// Returns the number of waiting tickets in excess of the free slots.
    pub(super) fn excess_tickets(&self, now: Duration) -> u32 {
        (self.queues.len() as u32).saturating_sub(self.slots.n_free(now))
    }

    /// Converts a cost in tokens to virtual units at the mean share of the workspaces.
    pub(super) fn cost_at_mean_share(&self, cost: u32) -> VirtualCost {
        u64::from(cost) * UNITS_PER_TOKEN / u64::from(self.mean_share)
    }

    fn share(&self, id: WorkspaceId) -> u32 {
        self.shares.get(&id).copied().unwrap_or(1)
    }

    fn update_waiting(&mut self, id: WorkspaceId) {
        self.counters.set_waiting(id, self.queues.n_waiting(id));
    }

    /// Records the service of a request since its last charge; `cost` is the total in tokens.
    fn charge(&mut self, request: &mut RunningRequest, cost: u32) {
        let delta = cost.saturating_sub(request.cost);
        if delta == 0 {
            return;
        }
        let amount = virtual_cost(delta, self.share(request.workspace));
        self.counters.record_served(request.workspace, amount, request.reserved);
        request.reserved = request.reserved.saturating_sub(amount);
        request.cost = cost;
    }

    /// Chooses who gets a free slot: the least served workspace, or the peer at which it waits.
    fn choose_recipient(&mut self) -> Option<Recipient> {
        let local = self.counters.least_served_local();
        let threshold = self.cost_at_mean_share(self.config.lend_threshold);
        // While local tickets wait, the search for a borrower is limited.
        let max_examined = if local.is_some() { MAX_EXAMINED } else { usize::MAX };
        for (total, id) in self.counters.active().take(max_examined) {
            self.n_examined += 1;
            if self.counters.has_local_tickets(id) {
                return Some(Recipient::Local(id));
            }
            if local.is_some_and(|(least, _)| least < total + threshold) {
                break;
            }
            if let Some(peer) = self.peers.find_borrower(id) {
                return Some(Recipient::Peer(peer));
            }
        }
        local.map(|(_, id)| Recipient::Local(id))
    }

    fn grant_local(&mut self, now: Duration, id: WorkspaceId) {
        let Some(ticket) = self.queues.pop(now, id) else {
            self.update_waiting(id);
            return;
        };
        let Some(upstream) = self.slots.choose_upstream(now, ticket.prefix) else { return };
        self.slots.mark_used(now, upstream);
        self.grant(now, ticket, SlotSource::Own(upstream));
    }

    fn lend_slot(&mut self, now: Duration, peer: ShardKey) {
        let Some(upstream) = self.slots.choose_upstream(now, 0) else { return };
        let loan = self.peers.record_loan(now, peer, upstream);
        self.slots.lend(now, upstream, loan);
    }

    fn grant_borrowed(&mut self, now: Duration) {
        while let Some((lender, loan)) = self.peers.pop_borrowed() {
            let next = self.counters.least_served_local();
            let ticket = next.and_then(|(_, id)| self.queues.pop(now, id));
            match ticket {
                Some(ticket) => self.grant(now, ticket, SlotSource::Borrowed(lender, loan)),
                None => self.peers.return_loan(lender, loan.id),
            }
        }
    }

    fn grant(&mut self, now: Duration, ticket: QueuedTicket, slot: SlotSource) {
        let QueuedTicket { host, id, workspace, hint, .. } = ticket;
        let estimate = self.estimator.estimate(workspace, hint);
        let reserved = virtual_cost(estimate, self.share(workspace));
        self.counters.reserve(workspace, reserved);
        self.update_waiting(workspace);
        self.running
            .insert((host, id), RunningRequest { workspace, slot, hint, cost: 0, reserved });
        let (upstream, loan) = match slot {
            SlotSource::Own(upstream) => (upstream, 0),
            SlotSource::Borrowed(_, loan) => (loan.upstream, loan.id),
        };
        self.answer_to(host).grants.push(wire::Grant { ticket: id, upstream, estimate, loan });
        self.grant_times.push_back(now);
        if RATE_WINDOW < self.grant_times.len() {
            self.grant_times.pop_front();
        }
    }

    /// Estimates when a slot for one more ticket of a workspace will be free.
    fn retry_after(&self, now: Duration, id: WorkspaceId) -> Duration {
        let n_waiting = self.queues.n_waiting(id);
        let Some(first) = self.grant_times.front() else { return RETRY_RANGE.0 };
        let per_grant = now.saturating_sub(*first) / self.grant_times.len() as u32;
        (per_grant * n_waiting).clamp(RETRY_RANGE.0, RETRY_RANGE.1)
    }

    fn answer_to(&mut self, host: HostId) -> &mut wire::ShardAnswer {
        let (shard, incarnation) = (self.shard, self.incarnation);
        self.answers.entry(host).or_insert_with(|| wire::ShardAnswer {
            shard: Some(shard.into()),
            incarnation,
            ..Default::default()
        })
    }
}

/// Who gets a free slot.
enum Recipient {
    Local(WorkspaceId),
    Peer(ShardKey),
}
