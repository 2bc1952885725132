//! State of one host, shared by its tasks.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use event_listener::Event;
use portfield::{
    balance::{
        AnswerKind, Balancer, ConnectionUse, IngressBalance, LoadShedder, RetryBudget, Rotation,
    },
    catalog::Catalog,
    gossip::{
        GossipConfig, GossipTopology, PeerTable, StoreAvailability, StoreWatchers, WatcherStatus,
        host_hash,
    },
    quarantine::{BrokenAttempts, Quarantine, RequestKeys, RunningCopies, SuspectKey},
    shutdown::ShutdownPlan,
    streams::{RouteMoves, moved_routes},
    suspend::SuspendDetector,
    upstream::Membership,
};
use portfield_net::{clock, coarse_timer::CoarseTimer, panics, rt::Runtime};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    active_probes::ActiveProbes,
    atomic_instant::AtomicInstant,
    cold_start::QuotaBasis,
    gathering::Gathering,
    held_memory::{self, HeldMemory},
    ingress::IngressStats,
    liveness::LivenessChecks,
    metrics::Metrics,
    newer_copy::NewerCopy,
    peers::PeerSocket,
    pool::Pool,
    settings::Settings,
    store_watch::OUTAGE_THRESHOLD,
    streams::Streams,
    upstream_list::UpstreamList,
};

/// Time without readiness after a failed accept: the platform checks readiness once per second, and
/// file descriptors are freed as responses end.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(1500);

/// Maximum number of quarantine entries queued for the store while it is down; other hosts know
/// them too.
const MAX_PENDING_WRITES: usize = 256;

/// A configuration with the bytes that it was decoded from.
#[derive(Debug, Clone)]
pub(crate) struct ActiveConfig {
    pub catalog: Arc<Catalog>,
    pub bytes: Bytes,
}

/// One host's router process.
#[derive(Debug)]
pub(crate) struct Host {
    pub rt: Runtime,
    pub settings: RwLock<Arc<Settings>>,
    pub metrics: Metrics,
    pub ingress: IngressStats,
    /// Memory held for callers and upstreams.
    pub held_memory: Arc<HeldMemory>,
    pub pool: Pool,
    pub gathering: Gathering,
    /// Advances each second, for the idle time of callers' connections.
    pub second_timer: Arc<CoarseTimer>,
    pub probes: ActiveProbes,
    pub liveness_checks: LivenessChecks,
    pub incarnation: u64,
    host_hash: u64,
    active_config: RwLock<Option<ActiveConfig>>,
    /// When another host was last heard that knows a newer configuration.
    pub newer_config: NewerCopy,
    /// When another host was last heard that knows a newer list of upstreams.
    pub newer_list: NewerCopy,
    pub upstream_list: RwLock<UpstreamList>,
    balancer: Mutex<Balancer>,
    /// When the state of upstreams that are no longer listed was last removed.
    pub unlisted_forgotten: AtomicInstant,
    budgets: Mutex<HashMap<u32, RetryBudget>>,
    peers: Mutex<PeerTable>,
    store_watchers: Mutex<StoreWatchers>,
    store_availability: Mutex<StoreAvailability>,
    load_shedder: Mutex<LoadShedder>,
    ingress_balance: Mutex<IngressBalance>,
    broken_attempts: Mutex<BrokenAttempts<Arc<RequestKeys>>>,
    quarantine: Mutex<Quarantine>,
    running_copies: Mutex<RunningCopies>,
    streams: Mutex<Streams>,
    route_moves: Mutex<RouteMoves>,
    /// Notified when another host answered where a stream began.
    pub stream_news: Event,
    /// The socket to the other hosts, once it is open.
    pub peer_socket: OnceLock<PeerSocket>,
    /// Notified when the other hosts should hear from this one at once.
    pub digest_due: Event,
    suspend_detector: Mutex<SuspendDetector>,
    /// Requests whose quarantine entry is to be written to the store.
    pending_writes: Sender<SuspectKey>,
    /// Set once the quarantine was read from the store, could not be read or need not be.
    quarantine_loaded: AtomicInstant,
    /// When this host first knew some of the other hosts.
    hosts_read: AtomicInstant,
    /// When this host last read all rows of its data centre's hosts.
    hosts_loaded: AtomicInstant,
    /// Whether the table of hosts had this host's row when it started.
    was_registered: AtomicBool,
    /// What the quotas of cold upstreams were last computed from.
    pub quota_basis: Mutex<Option<QuotaBasis>>,
    /// Number of restores of the store from a backup, as far as this host knows.
    store_era: AtomicU64,
    /// Times of the shutdown, once it has begun.
    shutdown: OnceLock<ShutdownPlan>,
    /// Whether callers' connections are being closed, after which no request is accepted.
    is_closing: AtomicBool,
    /// Cloned into every request in progress; the reference count is their number.
    active: Arc<()>,
    /// When the store last responded.
    store_response: AtomicInstant,
    /// When a connection last could not be accepted, or opened for lack of file descriptors.
    accept_failure: AtomicInstant,
}

impl Host {
    /// Creates the state of a process that knows nothing yet.
    ///
    /// Also returns the receiver of the requests whose quarantine entry is to be written to the
    /// store.
    pub(crate) fn new(rt: Runtime, settings: Settings) -> (Arc<Self>, Receiver<SuspectKey>) {
        let gossip_config = GossipConfig {
            host: host_hash(settings.peers),
            data_centre: hash_name(&settings.data_centre),
            direct_limit: settings.direct_hosts,
        };
        let incarnation = fastrand::u64(1..);
        let mut balancer = Balancer::new(settings.share_window);
        balancer.set_seed(incarnation);
        balancer.set_options(settings.options);
        let seeds = settings.seeds.iter().copied().filter(|it| *it != settings.peers);
        let (pending_writes, receiver) = async_channel::bounded(MAX_PENDING_WRITES);
        let res = Arc::new(Self {
            pool: Pool::new(rt.clone(), held_memory::socket_buffer(settings.memory_mb)),
            gathering: Gathering::default(),
            second_timer: Arc::default(),
            probes: ActiveProbes::default(),
            liveness_checks: LivenessChecks::default(),
            rt,
            metrics: Metrics::default(),
            ingress: IngressStats::default(),
            held_memory: Arc::default(),
            incarnation,
            active_config: RwLock::new(None),
            newer_config: NewerCopy::default(),
            newer_list: NewerCopy::default(),
            upstream_list: RwLock::default(),
            balancer: Mutex::new(balancer),
            unlisted_forgotten: AtomicInstant::default(),
            budgets: Mutex::default(),
            peers: Mutex::new(PeerTable::new(gossip_config, seeds)),
            host_hash: gossip_config.host,
            store_watchers: Mutex::new(StoreWatchers::new(settings.store_timeouts)),
            store_availability: Mutex::new(StoreAvailability::new(OUTAGE_THRESHOLD)),
            load_shedder: Mutex::default(),
            ingress_balance: Mutex::new(IngressBalance::new(gossip_config.host)),
            broken_attempts: Mutex::default(),
            quarantine: Mutex::default(),
            running_copies: Mutex::new(RunningCopies::new(gossip_config.host)),
            streams: Mutex::default(),
            route_moves: Mutex::default(),
            stream_news: Event::new(),
            peer_socket: OnceLock::new(),
            digest_due: Event::new(),
            suspend_detector: Mutex::default(),
            pending_writes,
            quarantine_loaded: AtomicInstant::default(),
            hosts_read: AtomicInstant::default(),
            hosts_loaded: AtomicInstant::default(),
            was_registered: AtomicBool::new(false),
            quota_basis: Mutex::default(),
            store_era: AtomicU64::new(0),
            shutdown: OnceLock::new(),
            is_closing: AtomicBool::new(false),
            active: Arc::new(()),
            store_response: AtomicInstant::default(),
            accept_failure: AtomicInstant::default(),
            settings: RwLock::new(Arc::new(settings)),
        });
        (res, receiver)
    }

    /// Returns the current settings.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        self.settings.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the active configuration.
    pub(crate) fn active_config(&self) -> Option<ActiveConfig> {
        self.active_config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the version of the active configuration, zero if there is none yet.
    pub(crate) fn config_version(&self) -> u64 {
        self.active_config().map_or(0, |it| it.catalog.version())
    }

    /// Activates a configuration if it is newer than the active one; `source` names its origin in
    /// logs.
    pub(crate) fn apply_config(&self, bytes: Bytes, source: &str) {
        let decode = || portfield_platform::config::decode(&bytes);
        let Some(decoded) = panics::catch("configuration", decode) else { return };
        let catalog = match decoded {
            Ok(it) => it,
            Err(err) => {
                log::error!(err:%, source; "configuration cannot be decoded");
                return;
            }
        };
        let mut active_config = self.active_config.write().unwrap_or_else(PoisonError::into_inner);
        let old = active_config.as_ref().map_or(0, |it| it.catalog.version());
        if catalog.version() <= old {
            return;
        }
        if let Some(before) = &*active_config {
            for it in moved_routes(&before.catalog, &catalog) {
                self.route_moves().record(clock::now(), hash_name(&it.name));
            }
        }
        self.balancer().set_capacity(catalog.limits().token_rate);
        let version = catalog.version();
        *active_config = Some(ActiveConfig { catalog: Arc::new(catalog), bytes });
        drop(active_config);
        self.update_list(UpstreamList::reset_cold);
        log::info!(version, old, source; "configuration in force");
        self.metrics.count("config_changes");
    }

    /// Returns the balancer.
    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request to the retry budget of its service.
    pub(crate) fn deposit_retry(&self, service: u32) {
        self.with_budget(service, |it| it.deposit(clock::now()));
    }

    /// Takes one retry from the budget of a service; returns `false` if none is left.
    pub(crate) fn withdraw_retry(&self, service: u32) -> bool {
        // Hosts behind a network partition may be retrying requests too.
        let n_hosts = 1 + self.peers().n_known();
        self.with_budget(service, |it| it.withdraw(clock::now(), n_hosts))
    }

    fn with_budget<T>(&self, service: u32, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let it = self.settings();
        let new = || RetryBudget::new(it.retry_ratio, it.retry_extra, it.retry_window);
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        f(budgets.entry(service).or_insert_with(new))
    }

    /// Returns the state of the other hosts.
    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the load shedder of this host.
    pub(crate) fn load_shedder(&self) -> MutexGuard<'_, LoadShedder> {
        self.load_shedder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the decision whether this host takes new connections.
    pub(crate) fn ingress_balance(&self) -> MutexGuard<'_, IngressBalance> {
        self.ingress_balance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the load that this host tells the others, zero if it tells none.
    pub(crate) fn told_load(&self) -> u32 {
        if self.settings().ingress_balance.is_on() { self.ingress_balance().busy() } else { 0 }
    }

    /// Returns whether this host takes new connections, as far as its load is concerned.
    fn is_in_rotation(&self) -> bool {
        // An overloaded host stays out however long that lasts: back in rotation, it would get the
        // callers that it refuses again.
        let is_balanced = !self.settings().ingress_balance.is_on()
            || self.ingress_balance().rotation() == Rotation::In;
        is_balanced && !self.load_shedder().is_overloaded()
    }

    /// Returns the attempts that recently broke.
    pub(crate) fn broken_attempts(&self) -> MutexGuard<'_, BrokenAttempts<Arc<RequestKeys>>> {
        self.broken_attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the tracker of suspensions of this host.
    pub(crate) fn suspend_detector(&self) -> MutexGuard<'_, SuspendDetector> {
        self.suspend_detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests that are suspected or quarantined.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the running copies of requests.
    pub(crate) fn running_copies(&self) -> MutexGuard<'_, RunningCopies> {
        self.running_copies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is known of streams that may be resumed.
    pub(crate) fn streams(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns which routes led to other services lately.
    pub(crate) fn route_moves(&self) -> MutexGuard<'_, RouteMoves> {
        self.route_moves.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that readiness need not wait for the quarantine in the store any longer.
    pub(crate) fn mark_quarantine_loaded(&self) {
        self.quarantine_loaded.set_now();
    }

    /// Records that rows of the table of hosts were read.
    pub(crate) fn mark_hosts_read(&self) {
        self.hosts_read.set_now();
    }

    /// Returns when rows of the table of hosts were first read, if ever.
    pub(crate) fn hosts_read_at(&self) -> Option<Duration> {
        self.hosts_read.elapsed().map(|it| clock::now().saturating_sub(it))
    }

    /// Records that all rows of this data centre's hosts were read.
    pub(crate) fn mark_hosts_loaded(&self) {
        self.hosts_loaded.set_now();
    }

    /// Records that the table of hosts had this host's row when it started.
    pub(crate) fn mark_registered_before(&self) {
        self.was_registered.store(true, Ordering::Relaxed);
    }

    /// Returns how this host and the others of its data centre know each other.
    pub(crate) fn membership(&self) -> Membership {
        let has_loaded_hosts = self.hosts_loaded.elapsed().is_some();
        match (has_loaded_hosts, self.was_registered.load(Ordering::Relaxed)) {
            (false, _) => Membership::Unknown,
            (true, true) => Membership::Returned,
            (true, false) => Membership::New,
        }
    }

    /// Returns how often the store was restored from a backup, as far as this host knows.
    pub(crate) fn store_era(&self) -> u64 {
        self.store_era.load(Ordering::Relaxed)
    }

    /// Records the era of the store; `source` names its origin in logs.
    pub(crate) fn update_store_era(&self, era: u64, source: &str) {
        let before = self.store_era.fetch_max(era, Ordering::Relaxed);
        if before < era {
            log::warn!(era, before, source; "store restored from a backup");
        }
    }

    /// Queues the quarantine entry of a request to be written to the store.
    pub(crate) fn persist_quarantine(&self, request: SuspectKey) {
        if self.pending_writes.try_send(request).is_err() {
            self.metrics.count("verdicts_not_kept");
            log::warn!(fingerprint = request.fingerprint_hex(); "quarantine entry not queued");
        }
    }

    /// Returns whether to close a caller's connection after a response to a request of this
    /// workspace.
    pub(crate) fn should_close(&self, answer_kind: AnswerKind, workspace: u32) -> bool {
        self.is_stopping()
            || self.load_shedder().closes_connection(answer_kind)
            || !self.can_accept()
            || self.moves_caller(workspace)
    }

    /// Returns whether to close the connection so that its caller moves to another host.
    fn moves_caller(&self, workspace: u32) -> bool {
        let is_moved = self.settings().ingress_balance.is_on()
            && self.ingress_balance().connection_use(workspace) == ConnectionUse::Close;
        if is_moved {
            self.metrics.count("callers_moved");
            self.ingress.record_moved();
        }
        is_moved
    }

    /// Recomputes which hosts this host's digests go to, and returns them.
    pub(crate) fn refresh_topology(&self) -> GossipTopology {
        let topology = self.peers().refresh_topology(clock::now());
        self.balancer().set_digest_period(topology.period());
        self.store_watchers().set_digest_period(topology.period());
        topology
    }

    /// Returns which hosts this host's digests go to, as of the last refresh.
    pub(crate) fn topology(&self) -> GossipTopology {
        self.peers().topology()
    }

    /// Returns the hash of the name of this host's data centre.
    pub(crate) fn own_data_centre(&self) -> u32 {
        hash_name(&self.settings().data_centre)
    }

    /// Returns the hash that identifies this host among the others.
    pub(crate) fn own_hash(&self) -> u64 {
        self.host_hash
    }

    fn store_watchers(&self) -> MutexGuard<'_, StoreWatchers> {
        self.store_watchers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records how current another host's view of the store is.
    pub(crate) fn record_watcher(&self, it: WatcherStatus) {
        self.store_watchers().record(it);
    }

    /// Records that another host was in contact with the store at a time.
    pub(crate) fn record_store_contact(&self, at: Duration) {
        self.store_availability.lock().unwrap_or_else(PoisonError::into_inner).record(at);
    }

    /// Returns whether other hosts were in contact with the store from a time until now.
    pub(crate) fn peers_reached_store(&self, from: Duration) -> bool {
        let availability = self.store_availability.lock().unwrap_or_else(PoisonError::into_inner);
        availability.is_continuous(from, clock::now())
    }

    /// Returns whether this host is one of those that watch the store themselves.
    pub(crate) fn is_store_watcher(&self) -> bool {
        let data_centre = self.own_data_centre();
        let now = clock::now();
        let n_others = self.balancer().n_hosts(now) - 1;
        self.store_watchers().is_watcher(now, self.host_hash, data_centre, n_others)
    }

    /// Records a response of the store.
    pub(crate) fn record_store_response(&self) {
        self.store_response.set_now();
    }

    /// Returns the time since the store last responded, [`Duration::MAX`] if it never did.
    pub(crate) fn store_age(&self) -> Duration {
        self.store_response.elapsed().unwrap_or(Duration::MAX)
    }

    /// Returns the time since the store last responded, in milliseconds for log lines; `None` if it
    /// never did.
    pub(crate) fn store_age_ms(&self) -> Option<u64> {
        self.store_response.elapsed().map(|it| it.as_millis() as u64)
    }

    /// Returns whether this host is to take the upstream list from other hosts.
    pub(crate) fn needs_peer_list(&self) -> bool {
        self.settings().store_timeouts.fallback_after < self.store_age() || !self.is_store_watcher()
    }

    /// Returns whether the host is ready for callers.
    pub(crate) fn is_ready(&self) -> bool {
        let has_state =
            self.active_config().is_some() && !self.with_list(|it| it.directory.is_empty());
        let quarantine_known = self.quarantine_loaded.elapsed().is_some();
        has_state
            && quarantine_known
            && self.has_fresh_state()
            && !self.is_stopping()
            && self.is_in_rotation()
            && self.can_accept()
    }

    /// Handles a failure to accept a connection, or to open one for lack of file descriptors:
    /// closes the pooled connections now, and callers' connections after their next response.
    pub(crate) fn handle_accept_failure(&self, err: &io::Error) {
        if self.can_accept() {
            log::warn!(err:%, active = self.n_active(); "connection not accepted");
        }
        self.metrics.count("connections_not_accepted");
        self.accept_failure.set_now();
        self.pool.clear();
    }

    /// Returns whether no accept has failed recently.
    fn can_accept(&self) -> bool {
        self.accept_failure.elapsed().is_none_or(|it| ACCEPT_BACKOFF < it)
    }

    /// Returns whether shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Returns whether a request with this deadline may be accepted, or sent to an upstream for the first
    /// time: during shutdown, it must not be cut off.
    pub(crate) fn accepts_until(&self, deadline: Duration) -> bool {
        let Some(plan) = self.shutdown.get() else { return true };
        !self.is_closing.load(Ordering::Relaxed) && plan.accepts(clock::now(), deadline)
    }

    /// Begins shutdown; the host stays not ready from now on.
    pub(crate) fn begin_shutdown(&self) -> ShutdownPlan {
        *self.shutdown.get_or_init(|| ShutdownPlan::new(clock::now(), self.settings().grace))
    }

    /// Accepts no further request.
    pub(crate) fn begin_closing(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// Returns a guard that counts a request as active until it is dropped.
    pub(crate) fn track_request(&self) -> Arc<()> {
        self.active.clone()
    }

    /// Returns the number of requests in progress.
    pub(crate) fn n_active(&self) -> usize {
        Arc::strong_count(&self.active) - 1
    }
}

/// Returns the hash that stands for a name in messages between hosts.
pub(crate) fn hash_name(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
