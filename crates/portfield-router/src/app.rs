//! State shared by the tasks of the router process, and the driver of its decision logic.

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

use crate::{session, settings::Settings, ticket::Ticket, writes::TableWriter};

/// Longest sleep between two checks of the timers.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Shortest sleep between two checks of the timers.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// Largest number of records kept for operators.
const MAX_RECORDS: usize = 16_384;
/// Time at shutdown for the last reports to schedulers to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Period of the metrics.
const METRICS_PERIOD: Duration = Duration::from_secs(5);
/// Timeout for a response of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of waiting for a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GrantResult {
    /// The request may be sent to this upstream.
    Granted(UpstreamId),
    /// The request is rejected, with the time after which the caller may retry.
    Rejected(RejectReason, Duration),
}

/// One event in the processing of a request, for operators.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Record {
    /// Id of the request.
    pub request: String,
    /// Time since the start of the router, in milliseconds.
    pub at_ms: u64,
    /// Id of the ticket concerned, zero if there is none.
    pub ticket: TicketId,
    /// What happened.
    pub text: String,
}

/// Counters of the process; all but `connections`, the number of open ones, only rise.
#[derive(Debug, Default)]
pub(crate) struct Counters {
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
struct Inner {
    router: Router,
    waiters: HashMap<TicketId, Sender<GrantResult>>,
    sessions: HashMap<HostId, (u64, Sender<wire::RouterFrame>)>,
    n_sessions: u64,
    budget: RetryBudget,
    records: VecDeque<Record>,
    windows: SlidingWindows,
    first_byte_times: BTreeMap<ServiceId, Histogram<u64>>,
}

/// State of the router process, shared by its tasks.
#[derive(Debug)]
pub(crate) struct App {
    pub rt: Runtime,
    pub settings: Settings,
    pub address: SocketAddr,
    pub counters: Counters,
    pub metrics: Metrics,
    pub table: TableWriter,
    incarnation: u64,
    n_requests: AtomicU64,
    draining: AtomicBool,
    wake: (Sender<()>, Receiver<()>),
    inner: Mutex<Inner>,
}

impl App {
    /// Builds the state and starts its background tasks; `address` is the bound address for callers.
    pub(crate) fn new(rt: Runtime, settings: Settings, address: SocketAddr) -> Arc<Self> {
        let incarnation = clock::unix_millis();
        let mut router =
            Router::new(address.ip(), settings.data_centre.clone(), incarnation & 0xff_ffff);
        for it in &settings.schedulers {
            router.add_scheduler(it.ip(), *it);
        }
        router.connect(clock::now());
        let inner = Inner {
            router,
            waiters: HashMap::new(),
            sessions: HashMap::new(),
            n_sessions: 0,
            budget: RetryBudget::full(),
            records: VecDeque::new(),
            windows: SlidingWindows::default(),
            first_byte_times: BTreeMap::new(),
        };
        let res = Arc::new(Self {
            rt: rt.clone(),
            address,
            counters: Counters::default(),
            metrics: Metrics::new("portfield.router", settings.statsd),
            table: TableWriter::start(
                &rt,
                PlatformClient::new(settings.platform, PLATFORM_TIMEOUT),
            ),
            incarnation,
            n_requests: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            wake: async_channel::bounded(1),
            settings,
            inner: Mutex::new(inner),
        });
        res.update(|_| ());
        res
    }

    /// Returns the id of a new request: the host, the process's incarnation and a counter.
    pub(crate) fn next_id(&self) -> String {
        let n = self.n_requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{n:x}", self.address.ip(), self.incarnation)
    }

    /// Runs `f` on the decision logic and performs the actions that result.
    pub(crate) fn update<T>(self: &Arc<Self>, f: impl FnOnce(&mut Router) -> T) -> T {
        let mut inner = self.lock();
        let res = f(&mut inner.router);
        for action in inner.router.take_actions() {
            self.perform(&mut inner, action);
        }
        drop(inner);
        let _ = self.wake.0.try_send(());
        res
    }

    /// Returns the current configuration.
    pub(crate) fn fleet(&self) -> Arc<Fleet> {
        self.lock().router.fleet().clone()
    }

    /// Returns the numbers of waiting and of running requests.
    pub(crate) fn load(&self) -> (usize, usize) {
        self.lock().router.load()
    }

    /// Returns whether the router can serve requests: it has a configuration and a session with a
    /// scheduler, and is not shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        let inner = self.lock();
        let connected = inner.router.is_connected() && 0 < inner.router.fleet().revision;
        connected && !self.draining.load(Ordering::Relaxed)
    }

    /// Starts the shutdown: the router is no longer ready.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Submits a request and returns the ticket to wait for its grant.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if the queue of its workspace is full.
    pub(crate) fn submit(self: &Arc<Self>, request: Request) -> Result<Ticket, QueueFull> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut inner = self.lock();
        let id = inner.router.submit(clock::now(), request)?;
        inner.waiters.insert(id, sender);
        drop(inner);
        self.update(|_| ());
        Ok(Ticket::new(self.clone(), id, receiver))
    }

    /// Removes the channel on which a ticket waits for its result.
    pub(crate) fn remove_waiter(&self, id: TicketId) {
        self.lock().waiters.remove(&id);
    }

    /// Withdraws a retry from the retry budget; returns whether the balance covered it.
    pub(crate) fn withdraw_retry(&self) -> bool {
        self.lock().budget.withdraw()
    }

    /// Adds the deposit of one request to the retry budget.
    pub(crate) fn deposit_retry(&self) {
        self.lock().budget.deposit();
    }

    /// Keeps a record of a request.
    pub(crate) fn record(&self, request: &str, ticket: TicketId, text: impl Into<String>) {
        let at_ms = clock::now().as_millis() as u64;
        let record = Record { request: request.to_owned(), at_ms, ticket, text: text.into() };
        let mut inner = self.lock();
        inner.records.push_back(record);
        if MAX_RECORDS < inner.records.len() {
            inner.records.pop_front();
        }
    }

    /// Records the sample of an ended request for the objectives of its service.
    pub(crate) fn observe(&self, workspace: WorkspaceId, service: &Service, sample: Sample) {
        let mut inner = self.lock();
        inner.windows.record(clock::now(), workspace, service, sample);
        let Some(first_byte) = sample.first_byte else { return };
        let histogram = inner.first_byte_times.entry(service.id).or_insert_with(new_histogram);
        let millis = first_byte.as_millis() as u64;
        histogram.saturating_record(millis);
        drop(inner);
        self.metrics.time("first_byte_ms", millis);
    }

    /// Returns the data of the burn report: requests per workspace and service, and histograms of
    /// the time to first byte per service.
    pub(crate) fn burn_report(&self) -> Value {
        let inner = self.lock();
        let fleet = inner.router.fleet();
        let rows: Vec<_> = inner
            .windows
            .totals(clock::now())
            .map(|((workspace, service), tallies)| {
                let workspace = fleet.workspace(workspace).map_or("", |it| it.name.as_str());
                let service = fleet.service(service).map_or("", |it| it.name.as_str());
                json!({ "workspace": workspace, "service": service, "tallies": tallies })
            })
            .collect();
        let first_byte_times: BTreeMap<_, Vec<_>> = inner
            .first_byte_times
            .iter()
            .filter_map(|(id, it)| {
                let counts =
                    it.iter_recorded().map(|it| (it.value_iterated_to(), it.count_at_value()));
                fleet.service(*id).map(|service| (service.name.clone(), counts.collect()))
            })
            .collect();
        json!({ "rows": rows, "firsts": first_byte_times })
    }

    /// Returns the records of a request.
    pub(crate) fn records(&self, request: &str) -> Vec<Record> {
        let inner = self.lock();
        inner.records.iter().filter(|it| it.request == request).cloned().collect()
    }

    /// Runs the timers of the decision logic.
    pub(crate) async fn run_timers(self: Arc<Self>) {
        loop {
            let next = self.lock().router.next_tick().unwrap_or(Duration::MAX);
            let pause = next.saturating_sub(clock::now()).clamp(MIN_SLEEP, MAX_SLEEP);
            clock::timeout(pause, self.wake.1.recv()).await;
            if self.lock().router.next_tick().is_some_and(|it| it <= clock::now()) {
                self.update(|it| it.tick(clock::now()));
            }
        }
    }

    /// Sends metrics periodically.
    pub(crate) async fn report_metrics(self: Arc<Self>) {
        loop {
            clock::sleep(METRICS_PERIOD).await;
            let (waiting, running) = self.load();
            self.metrics.gauge("waiting", waiting as u64);
            self.metrics.gauge("running", running as u64);
            let counters = &self.counters;
            for (name, it) in [
                ("accepted", &counters.accepted),
                ("answered", &counters.answered),
                ("not_run", &counters.not_run),
                ("unknown", &counters.unknown),
                ("rejected", &counters.rejected),
                ("hung_up", &counters.hung_up),
                ("retries", &counters.retries),
                ("resumed", &counters.resumed),
            ] {
                self.metrics.gauge(name, it.load(Ordering::Relaxed));
            }
            let (sent, received) = rpc::control_traffic();
            self.metrics.gauge("control_bytes", sent + received);
        }
    }

    /// Waits for the last reports to be sent.
    pub(crate) async fn flush(&self) {
        clock::sleep(FLUSH_TIME).await;
    }

    /// Replaces the session with a host, if any, by a new one and returns its number.
    pub(crate) fn open_session(&self, host: HostId, sender: Sender<wire::RouterFrame>) -> u64 {
        let mut inner = self.lock();
        inner.n_sessions += 1;
        let number = inner.n_sessions;
        inner.sessions.insert(host, (number, sender));
        number
    }

    /// Returns whether a session is the newest with its host.
    pub(crate) fn is_current(&self, host: HostId, number: u64) -> bool {
        self.lock().sessions.get(&host).is_some_and(|it| it.0 == number)
    }

    /// Ends a session, unless a newer one has replaced it.
    pub(crate) fn close_session(self: &Arc<Self>, host: HostId, number: u64) {
        if !self.is_current(host, number) {
            return;
        }
        self.lock().sessions.remove(&host);
        self.update(|it| it.session_closed(clock::now(), host));
    }

    fn perform(self: &Arc<Self>, inner: &mut Inner, action: Action) {
        match action {
            Action::Connect(host, address) => {
                self.rt.spawn(session::run(self.clone(), host, address));
            }
            Action::Send(host, frame) => {
                if let Some((_, sender)) = inner.sessions.get(&host) {
                    let _ = sender.try_send(frame);
                }
            }
            Action::Forward(id, upstream) => notify(inner, id, GrantResult::Granted(upstream)),
            Action::Reject(id, reason, retry) => {
                notify(inner, id, GrantResult::Rejected(reason, retry));
            }
            Action::FetchConfig(host) => self.rt.spawn(session::fetch_config(self.clone(), host)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a histogram of up to one hour, in milliseconds with two significant digits.
///
/// Building it cannot fail because these constant bounds are valid.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000, 2).unwrap_or_else(|_| unreachable!())
}

fn notify(inner: &mut Inner, id: TicketId, result: GrantResult) {
    if let Some(it) = inner.waiters.remove(&id) {
        let _ = it.try_send(result);
    }
}
