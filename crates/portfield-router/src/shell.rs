//! The router's decision state behind a lock, and the processes around it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use hdrhistogram::Histogram;
use portfield::{
    fleet::{Fleet, Service},
    ids::{HostId, ServiceId, TicketId, UpstreamId, WorkspaceId},
    route::{Action, QueueFull, RejectReason, Request, RetryBudget, Router},
    slo::{Sample, SlidingWindows},
    wire,
};
use portfield_net::{clock, metrics::Metrics, platform::PlatformClient, rpc, rt::Runtime};
use serde::Serialize;
use serde_json::{Value, json};

use crate::{session, settings::Settings, ticket::Ticket, writes::Writes};

/// Longest sleep between two ticks.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Shortest sleep between two ticks.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// Records remembered for operators.
const MAX_RECORDS: usize = 16_384;
/// Time that the last reports to schedulers get at the end.
const FLUSH: Duration = Duration::from_millis(100);
/// Time between two sets of metrics.
const METRICS_PERIOD: Duration = Duration::from_secs(5);
/// Time in which the platform answers.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Send the request to this upstream.
    Start(UpstreamId),
    /// Give up; come back after the time given.
    Refuse(RejectReason, Duration),
}

/// One step of a request, for operators.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Record {
    /// The request.
    pub request: String,
    /// Milliseconds since the router's start.
    pub at_ms: u64,
    /// The ticket concerned, zero before there is one.
    pub ticket: TicketId,
    /// What happened.
    pub text: String,
}

/// Counters of one router.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub accepted: AtomicU64,
    pub answered: AtomicU64,
    pub not_run: AtomicU64,
    pub unknown: AtomicU64,
    pub rejected: AtomicU64,
    pub hung_up: AtomicU64,
    pub retries: AtomicU64,
    pub resumed: AtomicU64,
    pub connections: AtomicU64,
}

#[derive(Debug)]
struct State {
    core: Router,
    verdicts: HashMap<TicketId, Sender<Verdict>>,
    sessions: HashMap<HostId, (u64, Sender<wire::RouterFrame>)>,
    n_sessions: u64,
    budget: RetryBudget,
    records: VecDeque<Record>,
    windows: SlidingWindows,
    firsts: BTreeMap<ServiceId, Histogram<u64>>,
}

/// One router process.
#[derive(Debug)]
pub(crate) struct Shell {
    pub rt: Runtime,
    pub settings: Settings,
    pub address: SocketAddr,
    pub counts: Counts,
    pub metrics: Metrics,
    pub writes: Writes,
    life: u64,
    n_requests: AtomicU64,
    draining: AtomicBool,
    wake: (Sender<()>, Receiver<()>),
    state: Mutex<State>,
}

impl Shell {
    /// Builds the state; `address` is the one it is bound to.
    pub(crate) fn new(rt: Runtime, settings: Settings, address: SocketAddr) -> Arc<Self> {
        let life = clock::unix_millis();
        let mut core = Router::new(address.ip(), settings.data_centre.clone(), life & 0xff_ffff);
        for it in &settings.schedulers {
            core.add_scheduler(it.ip(), *it);
        }
        core.connect(clock::now());
        let state = State {
            core,
            verdicts: HashMap::new(),
            sessions: HashMap::new(),
            n_sessions: 0,
            budget: RetryBudget::full(),
            records: VecDeque::new(),
            windows: SlidingWindows::default(),
            firsts: BTreeMap::new(),
        };
        let res = Arc::new(Self {
            rt: rt.clone(),
            address,
            counts: Counts::default(),
            metrics: Metrics::new("portfield.router", settings.statsd),
            writes: Writes::start(&rt, PlatformClient::new(settings.platform, PLATFORM_TIMEOUT)),
            life,
            n_requests: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            wake: async_channel::bounded(1),
            settings,
            state: Mutex::new(state),
        });
        res.with(|_| ());
        res
    }

    /// Returns the id for a new request: the host, the router's life, a number.
    pub(crate) fn next_id(&self) -> String {
        let n = self.n_requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{n:x}", self.address.ip(), self.life)
    }

    /// Changes the decision state and carries out what it asks for.
    pub(crate) fn with<T>(self: &Arc<Self>, f: impl FnOnce(&mut Router) -> T) -> T {
        let mut state = self.lock();
        let res = f(&mut state.core);
        for action in state.core.take_actions() {
            self.act(&mut state, action);
        }
        drop(state);
        let _ = self.wake.0.try_send(());
        res
    }

    /// Returns the configuration in force here.
    pub(crate) fn fleet(&self) -> Arc<Fleet> {
        self.lock().core.fleet().clone()
    }

    /// Returns how many requests wait and how many run.
    pub(crate) fn load(&self) -> (usize, usize) {
        self.lock().core.load()
    }

    /// Returns whether the router can serve: configuration and schedulers are known.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.lock();
        let connected = state.core.is_connected() && 0 < state.core.fleet().revision;
        connected && !self.draining.load(Ordering::Relaxed)
    }

    /// Turns readiness off.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Registers a request; the ticket tells what comes of it.
    pub(crate) fn submit(self: &Arc<Self>, request: Request) -> Result<Ticket, QueueFull> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut state = self.lock();
        let id = state.core.submit(clock::now(), request)?;
        state.verdicts.insert(id, sender);
        drop(state);
        self.with(|_| ());
        Ok(Ticket::new(self.clone(), id, receiver))
    }

    /// Forgets the waiting end of a ticket.
    pub(crate) fn forget(&self, id: TicketId) {
        self.lock().verdicts.remove(&id);
    }

    /// Pays for a retry, if the budget allows it.
    pub(crate) fn spend_retry(&self) -> bool {
        self.lock().budget.withdraw()
    }

    /// Counts a request towards the retry budget.
    pub(crate) fn earn_retry(&self) {
        self.lock().budget.deposit();
    }

    /// Remembers one step of a request.
    pub(crate) fn record(&self, request: &str, ticket: TicketId, text: impl Into<String>) {
        let at_ms = clock::now().as_millis() as u64;
        let record = Record { request: request.to_owned(), at_ms, ticket, text: text.into() };
        let mut state = self.lock();
        state.records.push_back(record);
        if MAX_RECORDS < state.records.len() {
            state.records.pop_front();
        }
    }

    /// Counts a request that ended against its service's objectives.
    pub(crate) fn observe(&self, workspace: WorkspaceId, service: &Service, sample: Sample) {
        let mut state = self.lock();
        state.windows.record(clock::now(), workspace, service, sample);
        let Some(first) = sample.first_byte else { return };
        let histogram = state.firsts.entry(service.id).or_insert_with(new_histogram);
        let millis = first.as_millis() as u64;
        histogram.saturating_record(millis);
        drop(state);
        self.metrics.time("first_byte_ms", millis);
    }

    /// Returns what the burn report reads.
    pub(crate) fn burn(&self) -> Value {
        let state = self.lock();
        let fleet = state.core.fleet();
        let rows: Vec<_> = state
            .windows
            .totals(clock::now())
            .map(|((workspace, service), tallies)| {
                let workspace = fleet.workspace(workspace).map_or("", |it| it.name.as_str());
                let service = fleet.service(service).map_or("", |it| it.name.as_str());
                json!({ "workspace": workspace, "service": service, "tallies": tallies })
            })
            .collect();
        let firsts: BTreeMap<_, Vec<_>> = state
            .firsts
            .iter()
            .filter_map(|(id, it)| {
                let counts =
                    it.iter_recorded().map(|it| (it.value_iterated_to(), it.count_at_value()));
                fleet.service(*id).map(|service| (service.name.clone(), counts.collect()))
            })
            .collect();
        json!({ "rows": rows, "firsts": firsts })
    }

    /// Returns the remembered steps of a request.
    pub(crate) fn records(&self, request: &str) -> Vec<Record> {
        let state = self.lock();
        state.records.iter().filter(|it| it.request == request).cloned().collect()
    }

    /// Ticks whenever something is due.
    pub(crate) async fn keep_time(self: Arc<Self>) {
        loop {
            let next = self.lock().core.next_tick().unwrap_or(Duration::MAX);
            let pause = next.saturating_sub(clock::now()).clamp(MIN_SLEEP, MAX_SLEEP);
            clock::timeout(pause, self.wake.1.recv()).await;
            if self.lock().core.next_tick().is_some_and(|it| it <= clock::now()) {
                self.with(|it| it.tick(clock::now()));
            }
        }
    }

    /// Sends metrics now and then.
    pub(crate) async fn send_metrics(self: Arc<Self>) {
        loop {
            clock::sleep(METRICS_PERIOD).await;
            let (waiting, running) = self.load();
            self.metrics.gauge("waiting", waiting as u64);
            self.metrics.gauge("running", running as u64);
            let counts = &self.counts;
            for (name, it) in [
                ("accepted", &counts.accepted),
                ("answered", &counts.answered),
                ("not_run", &counts.not_run),
                ("unknown", &counts.unknown),
                ("rejected", &counts.rejected),
                ("hung_up", &counts.hung_up),
                ("retries", &counts.retries),
                ("resumed", &counts.resumed),
            ] {
                self.metrics.gauge(name, it.load(Ordering::Relaxed));
            }
            let (sent, received) = rpc::control_traffic();
            self.metrics.gauge("control_bytes", sent + received);
        }
    }

    /// Gives the last reports time to go out.
    pub(crate) async fn flush(&self) {
        clock::sleep(FLUSH).await;
    }

    /// Puts a session in the place of any earlier one and returns its number.
    pub(crate) fn open_session(&self, host: HostId, sender: Sender<wire::RouterFrame>) -> u64 {
        let mut state = self.lock();
        state.n_sessions += 1;
        let number = state.n_sessions;
        state.sessions.insert(host, (number, sender));
        number
    }

    /// Returns whether a session is the newest of its host.
    pub(crate) fn is_current(&self, host: HostId, number: u64) -> bool {
        self.lock().sessions.get(&host).is_some_and(|it| it.0 == number)
    }

    /// Ends a session, unless a newer one has taken its place.
    pub(crate) fn close_session(self: &Arc<Self>, host: HostId, number: u64) {
        if !self.is_current(host, number) {
            return;
        }
        self.lock().sessions.remove(&host);
        self.with(|it| it.session_closed(clock::now(), host));
    }

    fn act(self: &Arc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Connect(host, address) => {
                self.rt.spawn(session::run(self.clone(), host, address));
            }
            Action::Send(host, frame) => {
                if let Some((_, sender)) = state.sessions.get(&host) {
                    let _ = sender.try_send(frame);
                }
            }
            Action::Forward(id, upstream) => tell(state, id, Verdict::Start(upstream)),
            Action::Reject(id, reason, retry) => tell(state, id, Verdict::Refuse(reason, retry)),
            Action::FetchConfig(host) => self.rt.spawn(session::fetch(self.clone(), host)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Milliseconds to two digits, up to an hour; the bounds are constants that are accepted.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000, 2).unwrap_or_else(|_| unreachable!())
}

fn tell(state: &mut State, id: TicketId, verdict: Verdict) {
    if let Some(it) = state.verdicts.remove(&id) {
        let _ = it.try_send(verdict);
    }
}
