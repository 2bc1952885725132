//! State of one router: its tickets, where they are registered, and its sessions with schedulers.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::admission::{Admission, QueueFull};
use crate::{
    fleet::{CurrentFleet, Fleet, Workspace},
    ids::{HostId, Incarnation, Revision, ServiceId, TicketId, UpstreamId},
    schedule::ShardKey,
    timer::Timers,
    wire,
};

/// State of a dead member, as [`wire::Member`] encodes it.
const DEAD: u32 = 2;
/// Period of progress reports to schedulers.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Progress in tokens from which a request is included in the next report.
const MIN_REPORTED_TOKENS: u32 = 16;
/// Sessions kept open even if no shard needs them, to learn the membership.
const MIN_SESSIONS: usize = 2;
/// Position of the router's incarnation in a ticket id; the bits below count tickets.
const INCARNATION_SHIFT: u32 = 24;

/// What a ticket says about its request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Workspace of the caller.
    pub workspace: Workspace,
    /// Requested service.
    pub service: ServiceId,
    /// Expected cost in tokens as stated by the caller; zero if not stated.
    pub cost_hint: u32,
    /// Whether interactive requests of the same workspace go first.
    pub is_batch: bool,
    /// Hash of the prompt's prefix; zero if there is none.
    pub prefix_hash: u32,
    /// Length of the body in bytes.
    pub body_bytes: usize,
    /// Time at which the request is rejected if it still waits.
    pub deadline: Duration,
}

/// Why a waiting request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The queue of its workspace is full.
    QueueFull,
    /// No grant arrived before its deadline.
    Timeout,
}

/// Action that the router's process performs.
#[derive(Debug, Clone)]
pub enum Action {
    /// Open a session with the scheduler of a host.
    Connect(HostId, SocketAddr),
    /// Send a frame over the session with a host.
    Send(HostId, wire::RouterFrame),
    /// Send a ticket's request to an upstream.
    Forward(TicketId, UpstreamId),
    /// Reject a ticket's request as not run, with the time after which the caller may retry.
    Reject(TicketId, RejectReason, Duration),
    /// Fetch the configuration from the scheduler of a host.
    FetchConfig(HostId),
}

/// Stage of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Not registered with any owner, or no longer.
    Unregistered,
    /// Queued by the shard owner at a host.
    Queued(HostId),
    /// Granted by the shard owner at a host, and running.
    Running(HostId, Run),
}

/// A running request; costs are in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) upstream: UpstreamId,
    pub(super) estimate: u32,
    pub(super) loan: u64,
    pub(super) cost: u32,
    pub(super) reported_cost: u32,
}

#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) request: Request,
    pub(super) shard: ShardKey,
    pub(super) submitted_at: Duration,
    pub(super) stage: Stage,
}

/// A scheduler of this data centre and the session with it.
#[derive(Debug, Clone)]
pub(super) struct Scheduler {
    pub(super) address: SocketAddr,
    pub(super) state: u32,
    pub(super) incarnation: Incarnation,
    pub(super) connected: bool,
    pub(super) attempted_at: Option<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Report,
    Place,
    Deadline(TicketId),
}

/// State machine of one router.
#[derive(Debug)]
pub struct Router {
    pub(super) data_centre: String,
    pub(super) host: HostId,
    pub(super) current: CurrentFleet,
    pub(super) schedulers: BTreeMap<HostId, Scheduler>,
    pub(super) tickets: HashMap<TicketId, Entry>,
    pub(super) unplaced: BTreeSet<TicketId>,
    unreported: BTreeSet<TicketId>,
    admission: Admission,
    pub(super) timers: Timers<Timer>,
    outbox: BTreeMap<HostId, BTreeMap<ShardKey, wire::ShardReport>>,
    next_id: TicketId,
    pub(super) is_placement_due: bool,
    pub(super) actions: Vec<Action>,
}

impl Router {
    /// Builds a router without schedulers.
    ///
    /// `incarnation` differs from that of earlier processes at this host, so that their ticket ids
    /// differ.
    pub fn new(host: HostId, data_centre: impl Into<String>, incarnation: u64) -> Self {
        let mut timers = Timers::default();
        timers.schedule(REPORT_PERIOD, Timer::Report);
        Self {
            data_centre: data_centre.into(),
            host,
            current: CurrentFleet::default(),
            schedulers: BTreeMap::new(),
            tickets: HashMap::new(),
            unplaced: BTreeSet::new(),
            unreported: BTreeSet::new(),
            admission: Admission::default(),
            timers,
            outbox: BTreeMap::new(),
            next_id: incarnation << INCARNATION_SHIFT,
            is_placement_due: false,
            actions: Vec::new(),
        }
    }

    /// Returns the router's current configuration.
    pub fn fleet(&self) -> &Arc<Fleet> {
        self.current.fleet()
    }

    /// Returns the numbers of waiting and of running requests.
    pub fn load(&self) -> (usize, usize) {
        let waiting = self.admission.len();
        (waiting, self.tickets.len() - waiting)
    }

    /// Returns whether a session with any scheduler is open.
    pub fn is_connected(&self) -> bool {
        self.schedulers.values().any(|it| it.connected)
    }

    /// Returns the address of a host's scheduler.
    pub fn scheduler_address(&self, host: HostId) -> Option<SocketAddr> {
        self.schedulers.get(&host).map(|it| it.address)
    }

    /// Replaces the configuration if the new revision is higher.
    pub fn update_fleet(&mut self, fleet: Fleet) {
        if self.current.update(fleet) {
            self.mark_moved();
        }
    }

    /// Adds a scheduler from the settings, for use before the membership is known.
    pub fn add_scheduler(&mut self, host: HostId, address: SocketAddr) {
        self.schedulers.entry(host).or_insert(Scheduler {
            address,
            state: 0,
            incarnation: 0,
            connected: false,
            attempted_at: None,
        });
    }

    /// Connects to schedulers until there are enough sessions to learn the membership.
    pub fn connect(&mut self, now: Duration) {
        let n_up = self.schedulers.values().filter(|it| it.connected).count();
        let down = self.schedulers.iter().filter(|(_, it)| !it.connected && it.state <= 1);
        let mut down: Vec<_> = down.map(|(host, it)| (it.attempted_at, *host)).collect();
        down.sort_unstable();
        for (_, host) in down.into_iter().take(MIN_SESSIONS.saturating_sub(n_up)) {
            self.connect_to(now, host);
        }
    }

    /// Accepts a request and returns the id of its ticket.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if the queue of its workspace is full.
    pub fn submit(&mut self, now: Duration, request: Request) -> Result<TicketId, QueueFull> {
        self.admission.admit(&request.workspace, request.body_bytes)?;
        self.next_id += 1;
        let id = self.next_id;
        let shard = self.local_shard(request.service);
        self.timers.schedule(request.deadline, Timer::Deadline(id));
        self.tickets
            .insert(id, Entry { request, shard, submitted_at: now, stage: Stage::Unregistered });
        self.place(now, id);
        Ok(id)
    }

    /// Cancels a request, for example when its caller disconnects.
    pub fn cancel(&mut self, id: TicketId) {
        let Some(entry) = self.tickets.remove(&id) else { return };
        self.unplaced.remove(&id);
        match entry.stage {
            Stage::Running(host, run) => {
                let done = wire::Done { id, cost: run.cost, declined: true, ..Default::default() };
                self.report_mut(host, entry.shard).done.push(done);
            }
            Stage::Queued(host) => {
                self.admission.release(entry.request.workspace.id, entry.request.body_bytes);
                self.report_mut(host, entry.shard).cancels.push(id);
            }
            Stage::Unregistered => {
                self.admission.release(entry.request.workspace.id, entry.request.body_bytes);
            }
        }
    }

    /// Records what a running request has cost so far, in tokens.
    pub fn record_progress(&mut self, id: TicketId, cost: u32) {
        let Some(entry) = self.tickets.get_mut(&id) else { return };
        let Stage::Running(_, run) = &mut entry.stage else { return };
        run.cost = cost;
        if run.reported_cost + MIN_REPORTED_TOKENS <= cost {
            self.unreported.insert(id);
        }
    }

    /// Ends a completed request, with its cost in tokens and the mean time between its tokens.
    pub fn finish(&mut self, id: TicketId, cost: u32, token_gap: Duration) {
        self.complete(
            id,
            wire::Done { id, cost, pace: token_gap_to_wire(token_gap), ..Default::default() },
        );
    }

    /// Ends a request that failed at its upstream, with its cost in tokens.
    pub fn fail(&mut self, id: TicketId, cost: u32) {
        self.complete(id, wire::Done { id, cost, failed: true, ..Default::default() });
    }

    /// Handles an opened session: registers everything that is unplaced.
    pub fn session_opened(&mut self, now: Duration, host: HostId) {
        if let Some(it) = self.schedulers.get_mut(&host) {
            it.connected = true;
            it.attempted_at = None;
        }
        self.place_unplaced(now);
    }

    /// Handles a session that ended or could not be opened.
    pub fn session_closed(&mut self, now: Duration, host: HostId) {
        if let Some(it) = self.schedulers.get_mut(&host) {
            it.connected = false;
            it.attempted_at = Some(now);
        }
        self.outbox.remove(&host);
        for (id, entry) in &mut self.tickets {
            if entry.stage.host() != Some(host) {
                continue;
            }
            self.unplaced.insert(*id);
            if entry.stage == Stage::Queued(host) {
                entry.stage = Stage::Unregistered;
            }
        }
        self.schedule_placement(now);
    }

    /// Handles a frame of the scheduler at host `from`.
    pub fn handle_frame(&mut self, now: Duration, from: HostId, frame: &wire::OwnerFrame) {
        let changed = self.update_members(now, &frame.members);
        self.check_revision(from, frame.revision);
        for answer in &frame.answers {
            let Some(shard) = answer.shard.as_ref().map(ShardKey::from) else { continue };
            if answer.not_owner {
                self.mark_unplaced(from, shard);
                self.schedule_placement(now);
            }
            for it in &answer.grants {
                self.handle_grant(now, from, shard, it);
            }
            for it in &answer.refusals {
                let retry = Duration::from_millis(u64::from(it.retry));
                self.reject(it.ticket, RejectReason::QueueFull, retry);
            }
        }
        // With an unchanged membership, an owner that denied a ticket would deny it again.
        if changed {
            self.place_unplaced(now);
        }
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Duration) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Report => {
                    self.report_progress();
                    self.connect(now);
                    self.timers.schedule(now + REPORT_PERIOD, Timer::Report);
                }
                Timer::Place => {
                    self.is_placement_due = false;
                    self.place_unplaced(now);
                }
                Timer::Deadline(id) => self.expire(id),
            }
        }
    }

    /// Returns the time at which [`Router::tick`] is due next.
    pub fn next_tick(&self) -> Option<Duration> {
        self.timers.next_due()
    }

    /// Takes the pending actions, including the reports to schedulers.
    pub fn take_actions(&mut self) -> Vec<Action> {
        for (host, reports) in std::mem::take(&mut self.outbox) {
            let reports = reports.into_values().collect();
            let frame = wire::RouterFrame { host: String::new(), reports };
            self.actions.push(Action::Send(host, frame));
        }
        std::mem::take(&mut self.actions)
    }

    fn complete(&mut self, id: TicketId, done: wire::Done) {
        let Some(entry) = self.tickets.remove(&id) else { return };
        self.unplaced.remove(&id);
        self.unreported.remove(&id);
        if let Stage::Running(host, _) = entry.stage {
            self.report_mut(host, entry.shard).done.push(done);
        }
    }

    fn expire(&mut self, id: TicketId) {
        let waits = self.tickets.get(&id).is_some_and(|it| !matches!(it.stage, Stage::Running(..)));
        if waits {
            self.reject(id, RejectReason::Timeout, Duration::from_secs(1));
        }
    }

    fn reject(&mut self, id: TicketId, reason: RejectReason, retry: Duration) {
        if !self.tickets.contains_key(&id) {
            return;
        }
        self.cancel(id);
        self.actions.push(Action::Reject(id, reason, retry));
    }

    fn handle_grant(&mut self, now: Duration, from: HostId, shard: ShardKey, grant: &wire::Grant) {
        let id = grant.ticket;
        let entry = self.tickets.get_mut(&id);
        let is_queued_here =
            entry.as_ref().is_some_and(|it| it.stage == Stage::Queued(from) && it.shard == shard);
        let leaving = self.current.fleet().upstream(grant.upstream).is_none_or(|it| it.leaving);
        if !is_queued_here || leaving {
            let done = wire::Done { id, declined: true, ..Default::default() };
            self.report_mut(from, shard).done.push(done);
            if is_queued_here {
                self.unplaced.insert(id);
                self.schedule_placement(now);
            }
            return;
        }
        let Some(entry) = entry else { return };
        entry.stage = Stage::Running(
            from,
            Run {
                upstream: grant.upstream,
                estimate: grant.estimate,
                loan: grant.loan,
                cost: 0,
                reported_cost: 0,
            },
        );
        self.admission.release(entry.request.workspace.id, entry.request.body_bytes);
        self.actions.push(Action::Forward(id, grant.upstream));
    }

    fn report_progress(&mut self) {
        for id in std::mem::take(&mut self.unreported) {
            let Some(entry) = self.tickets.get_mut(&id) else { continue };
            let Stage::Running(host, run) = &mut entry.stage else { continue };
            run.reported_cost = run.cost;
            let progress = wire::Progress { id, cost: run.cost };
            let (host, shard) = (*host, entry.shard);
            self.report_mut(host, shard).progress.push(progress);
        }
    }

    /// Updates the schedulers from the membership; returns whether any changed.
    fn update_members(&mut self, now: Duration, members: &[wire::Member]) -> bool {
        let mut changed = false;
        for it in members {
            let (Ok(host), Ok(address)) = (it.host.parse(), it.address.parse()) else { continue };
            let fresh = Scheduler {
                address,
                state: it.state,
                incarnation: it.incarnation,
                connected: false,
                attempted_at: None,
            };
            let old = self.schedulers.get(&host);
            let known = old.map(|it| (it.incarnation, it.state));
            if known.is_some_and(|it| fresh.incarnation < it.0) {
                continue;
            }
            changed |= known != Some((fresh.incarnation, fresh.state));
            let (connected, attempted_at) =
                old.map_or((false, None), |it| (it.connected, it.attempted_at));
            self.schedulers.insert(host, Scheduler { connected, attempted_at, ..fresh });
            if connected && it.state == DEAD {
                // The connection to a host that lost power may look open for a long time.
                self.session_closed(now, host);
            }
        }
        changed
    }

    fn check_revision(&mut self, from: HostId, revision: Revision) {
        if self.current.revision() < revision {
            self.actions.push(Action::FetchConfig(from));
        }
    }

    /// Returns the unsent report to a host's scheduler about a shard, for additions.
    pub(super) fn report_mut(&mut self, host: HostId, shard: ShardKey) -> &mut wire::ShardReport {
        let reports = self.outbox.entry(host).or_default();
        reports.entry(shard).or_insert_with(|| wire::ShardReport {
            shard: Some(shard.into()),
            ..Default::default()
        })
    }
}

impl Stage {
    pub(super) fn host(&self) -> Option<HostId> {
        match self {
            Self::Unregistered => None,
            Self::Queued(host) | Self::Running(host, _) => Some(*host),
        }
    }
}

/// Converts a time between tokens to units of 0.1 ms.
fn token_gap_to_wire(token_gap: Duration) -> u32 {
    (token_gap.as_micros() / 100) as u32
}
