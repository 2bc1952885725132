//! The tickets of one router: where each is registered, and what came of it.

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

/// State of a member that is dead, on the wire.
const DEAD: u32 = 2;
/// Time between two batches of progress reports.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Progress in tokens below which a report waits for the next batch.
const REPORT_QUANTUM: u32 = 16;
/// Sessions that are kept open even if no shard asks for them.
const MIN_SESSIONS: usize = 2;
/// First part of a ticket's number: the life of the router.
const LIFE_SHIFT: u32 = 24;

/// A request as its ticket describes it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Whose it is.
    pub workspace: Workspace,
    /// What it calls.
    pub service: ServiceId,
    /// Cost hint in tokens, zero for none.
    pub cost_hint: u32,
    /// It may wait behind interactive requests of its workspace.
    pub is_batch: bool,
    /// Hash of the prompt's prefix, zero for none.
    pub prefix_hash: u32,
    /// Bytes of its body.
    pub body_bytes: usize,
    /// Instant at which it is given up on.
    pub deadline: Duration,
}

/// Why a request that waited will not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// Its workspace has too much waiting.
    QueueFull,
    /// No grant came in time.
    Timeout,
}

/// What a router's process is to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Open a session with a scheduler.
    Connect(HostId, SocketAddr),
    /// Send a frame over a session.
    Send(HostId, wire::RouterFrame),
    /// Send the request upstream.
    Forward(TicketId, UpstreamId),
    /// Refuse the request as not run; come back after the time given.
    Reject(TicketId, RejectReason, Duration),
    /// Fetch the configuration from the scheduler of a host.
    FetchConfig(HostId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Not registered, or registration lost.
    Homeless,
    /// In the queue of the owner at a host.
    Queued(HostId),
    /// Runs under a grant of the owner at a host.
    Runs(HostId, Run),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) upstream: UpstreamId,
    pub(super) estimate: u32,
    pub(super) loan: u64,
    pub(super) cost: u32,
    pub(super) reported: u32,
}

#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) request: Request,
    pub(super) shard: ShardKey,
    pub(super) since: Duration,
    pub(super) stage: Stage,
}

#[derive(Debug, Clone)]
pub(super) struct Scheduler {
    pub(super) address: SocketAddr,
    pub(super) state: u32,
    pub(super) incarnation: Incarnation,
    pub(super) up: bool,
    pub(super) dialed: Option<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Report,
    Place,
    Deadline(TicketId),
}

/// The tickets of one router.
#[derive(Debug)]
pub struct Router {
    pub(super) data_centre: String,
    pub(super) host: HostId,
    pub(super) adopted: CurrentFleet,
    pub(super) schedulers: BTreeMap<HostId, Scheduler>,
    pub(super) entries: HashMap<TicketId, Entry>,
    pub(super) homeless: BTreeSet<TicketId>,
    stirred: BTreeSet<TicketId>,
    admission: Admission,
    pub(super) timers: Timers<Timer>,
    outbox: BTreeMap<HostId, BTreeMap<ShardKey, wire::ShardReport>>,
    next_id: TicketId,
    pub(super) placing: bool,
    pub(super) actions: Vec<Action>,
}

impl Router {
    /// Builds a router that knows no scheduler yet; `life` differs from earlier lives.
    pub fn new(host: HostId, data_centre: impl Into<String>, life: u64) -> Self {
        let mut timers = Timers::default();
        timers.schedule(REPORT_PERIOD, Timer::Report);
        Self {
            data_centre: data_centre.into(),
            host,
            adopted: CurrentFleet::default(),
            schedulers: BTreeMap::new(),
            entries: HashMap::new(),
            homeless: BTreeSet::new(),
            stirred: BTreeSet::new(),
            admission: Admission::default(),
            timers,
            outbox: BTreeMap::new(),
            next_id: life << LIFE_SHIFT,
            placing: false,
            actions: Vec::new(),
        }
    }

    /// Returns the configuration in force here.
    pub fn fleet(&self) -> &Arc<Fleet> {
        self.adopted.fleet()
    }

    /// Returns how many requests wait and how many run.
    pub fn load(&self) -> (usize, usize) {
        let waiting = self.admission.len();
        (waiting, self.entries.len() - waiting)
    }

    /// Returns whether some scheduler of this data centre has a session with this router.
    pub fn is_connected(&self) -> bool {
        self.schedulers.values().any(|it| it.up)
    }

    /// Returns the address of a host's scheduler.
    pub fn scheduler_address(&self, host: HostId) -> Option<SocketAddr> {
        self.schedulers.get(&host).map(|it| it.address)
    }

    /// Adopts a configuration if its revision is higher.
    pub fn update_fleet(&mut self, fleet: Fleet) {
        if self.adopted.update(fleet) {
            self.evict_all();
        }
    }

    /// Names a scheduler to begin with, before any membership is known.
    pub fn add_scheduler(&mut self, host: HostId, address: SocketAddr) {
        self.schedulers.entry(host).or_insert(Scheduler {
            address,
            state: 0,
            incarnation: 0,
            up: false,
            dialed: None,
        });
    }

    /// Opens sessions until there are enough to learn the membership from.
    pub fn connect(&mut self, now: Duration) {
        let n_up = self.schedulers.values().filter(|it| it.up).count();
        let down = self.schedulers.iter().filter(|(_, it)| !it.up && it.state <= 1);
        let mut down: Vec<_> = down.map(|(host, it)| (it.dialed, *host)).collect();
        down.sort_unstable();
        for (_, host) in down.into_iter().take(MIN_SESSIONS.saturating_sub(n_up)) {
            self.dial(now, host);
        }
    }

    /// Takes in a request and returns the number of its ticket.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] where its workspace has too much waiting here.
    pub fn submit(&mut self, now: Duration, request: Request) -> Result<TicketId, QueueFull> {
        self.admission.admit(&request.workspace, request.body_bytes)?;
        self.next_id += 1;
        let id = self.next_id;
        let shard = self.local_shard(request.service);
        self.timers.schedule(request.deadline, Timer::Deadline(id));
        self.entries.insert(id, Entry { request, shard, since: now, stage: Stage::Homeless });
        self.place(now, id);
        Ok(id)
    }

    /// Withdraws a request: its caller hung up, or it is done with.
    pub fn cancel(&mut self, id: TicketId) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.homeless.remove(&id);
        match entry.stage {
            Stage::Runs(host, run) => {
                let done = wire::Done { id, cost: run.cost, declined: true, ..Default::default() };
                self.report(host, entry.shard).done.push(done);
            }
            Stage::Queued(host) => {
                self.admission.release(entry.request.workspace.id, entry.request.body_bytes);
                self.report(host, entry.shard).cancels.push(id);
            }
            Stage::Homeless => {
                self.admission.release(entry.request.workspace.id, entry.request.body_bytes);
            }
        }
    }

    /// Counts what a running request has cost so far, in tokens.
    pub fn record_progress(&mut self, id: TicketId, cost: u32) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Stage::Runs(_, run) = &mut entry.stage else { return };
        run.cost = cost;
        if run.reported + REPORT_QUANTUM <= cost {
            self.stirred.insert(id);
        }
    }

    /// Ends a request that ran; `pace` is the mean time between its tokens.
    pub fn finish(&mut self, id: TicketId, cost: u32, pace: Duration) {
        self.end(id, wire::Done { id, cost, pace: pace_to_wire(pace), ..Default::default() });
    }

    /// Ends a request that its upstream failed.
    pub fn fail(&mut self, id: TicketId, cost: u32) {
        self.end(id, wire::Done { id, cost, failed: true, ..Default::default() });
    }

    /// Notes that a session is open: everything that belongs there is registered.
    pub fn session_opened(&mut self, now: Duration, host: HostId) {
        if let Some(it) = self.schedulers.get_mut(&host) {
            it.up = true;
            it.dialed = None;
        }
        self.place_all(now);
    }

    /// Notes that a session ended or could not be opened.
    pub fn session_closed(&mut self, now: Duration, host: HostId) {
        if let Some(it) = self.schedulers.get_mut(&host) {
            it.up = false;
            it.dialed = Some(now);
        }
        self.outbox.remove(&host);
        for (id, entry) in &mut self.entries {
            if entry.stage.host() != Some(host) {
                continue;
            }
            self.homeless.insert(*id);
            if entry.stage == Stage::Queued(host) {
                entry.stage = Stage::Homeless;
            }
        }
        self.place_later(now);
    }

    /// Takes in a scheduler's frame.
    pub fn handle_frame(&mut self, now: Duration, from: HostId, frame: &wire::OwnerFrame) {
        let has_news = self.hear_members(now, &frame.members);
        self.hear_revision(from, frame.revision);
        for answer in &frame.answers {
            let Some(shard) = answer.shard.as_ref().map(ShardKey::from) else { continue };
            if answer.not_owner {
                self.evict(from, shard);
                self.place_later(now);
            }
            for it in &answer.grants {
                self.granted(now, from, shard, it);
            }
            for it in &answer.refusals {
                let retry = Duration::from_millis(u64::from(it.retry));
                self.refuse(it.ticket, RejectReason::QueueFull, retry);
            }
        }
        // Without news an owner that denied a ticket would deny it again at once.
        if has_news {
            self.place_all(now);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Report => {
                    self.report_progress();
                    self.connect(now);
                    self.timers.schedule(now + REPORT_PERIOD, Timer::Report);
                }
                Timer::Place => {
                    self.placing = false;
                    self.place_all(now);
                }
                Timer::Deadline(id) => self.expire(id),
            }
        }
    }

    /// Returns when [`Router::tick`] has something to do next.
    pub fn next_tick(&self) -> Option<Duration> {
        self.timers.next_due()
    }

    /// Takes what is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        for (host, reports) in std::mem::take(&mut self.outbox) {
            let reports = reports.into_values().collect();
            let frame = wire::RouterFrame { host: String::new(), reports };
            self.actions.push(Action::Send(host, frame));
        }
        std::mem::take(&mut self.actions)
    }

    fn end(&mut self, id: TicketId, done: wire::Done) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.homeless.remove(&id);
        self.stirred.remove(&id);
        if let Stage::Runs(host, _) = entry.stage {
            self.report(host, entry.shard).done.push(done);
        }
    }

    fn expire(&mut self, id: TicketId) {
        let waits = self.entries.get(&id).is_some_and(|it| !matches!(it.stage, Stage::Runs(..)));
        if waits {
            self.refuse(id, RejectReason::Timeout, Duration::from_secs(1));
        }
    }

    fn refuse(&mut self, id: TicketId, reason: RejectReason, retry: Duration) {
        if !self.entries.contains_key(&id) {
            return;
        }
        self.cancel(id);
        self.actions.push(Action::Reject(id, reason, retry));
    }

    fn granted(&mut self, now: Duration, from: HostId, shard: ShardKey, grant: &wire::Grant) {
        let id = grant.ticket;
        let entry = self.entries.get_mut(&id);
        let is_mine =
            entry.as_ref().is_some_and(|it| it.stage == Stage::Queued(from) && it.shard == shard);
        let leaving = self.adopted.fleet().upstream(grant.upstream).is_none_or(|it| it.leaving);
        if !is_mine || leaving {
            let done = wire::Done { id, declined: true, ..Default::default() };
            self.report(from, shard).done.push(done);
            if is_mine {
                self.homeless.insert(id);
                self.place_later(now);
            }
            return;
        }
        let Some(entry) = entry else { return };
        entry.stage = Stage::Runs(
            from,
            Run {
                upstream: grant.upstream,
                estimate: grant.estimate,
                loan: grant.loan,
                cost: 0,
                reported: 0,
            },
        );
        self.admission.release(entry.request.workspace.id, entry.request.body_bytes);
        self.actions.push(Action::Forward(id, grant.upstream));
    }

    fn report_progress(&mut self) {
        for id in std::mem::take(&mut self.stirred) {
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            let Stage::Runs(host, run) = &mut entry.stage else { continue };
            run.reported = run.cost;
            let progress = wire::Progress { id, cost: run.cost };
            let (host, shard) = (*host, entry.shard);
            self.report(host, shard).progress.push(progress);
        }
    }

    /// Takes in members and returns whether any changed.
    fn hear_members(&mut self, now: Duration, members: &[wire::Member]) -> bool {
        let mut has_news = false;
        for it in members {
            let (Ok(host), Ok(address)) = (it.host.parse(), it.address.parse()) else { continue };
            let fresh = Scheduler {
                address,
                state: it.state,
                incarnation: it.incarnation,
                up: false,
                dialed: None,
            };
            let old = self.schedulers.get(&host);
            let known = old.map(|it| (it.incarnation, it.state));
            if known.is_some_and(|it| fresh.incarnation < it.0) {
                continue;
            }
            has_news |= known != Some((fresh.incarnation, fresh.state));
            let (up, dialed) = old.map_or((false, None), |it| (it.up, it.dialed));
            self.schedulers.insert(host, Scheduler { up, dialed, ..fresh });
            if up && it.state == DEAD {
                // The connection to a host without power may seem open for long.
                self.session_closed(now, host);
            }
        }
        has_news
    }

    fn hear_revision(&mut self, from: HostId, revision: Revision) {
        if self.adopted.revision() < revision {
            self.actions.push(Action::FetchConfig(from));
        }
    }

    pub(super) fn report(&mut self, host: HostId, shard: ShardKey) -> &mut wire::ShardReport {
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
            Self::Homeless => None,
            Self::Queued(host) | Self::Runs(host, _) => Some(*host),
        }
    }
}

fn pace_to_wire(pace: Duration) -> u32 {
    (pace.as_micros() / 100) as u32
}
