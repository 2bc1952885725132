//! What one host knows and decides with, shared by its tasks.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use portfield::{
    balance::{
        AnswerKind, Balancer, GossipConfig, GossipTopology, LoadShedder, PeerTable, RetryBudget,
        StoreAvailability, StoreWatchers, WatcherStatus, host_hash,
    },
    catalog::Catalog,
    quarantine::{BrokenAttempts, Quarantine, RequestKey},
    suspend::SuspendDetector,
};
use portfield_net::{clock, panics, rt::Runtime};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    active_probes::ActiveProbes, atomic_instant::AtomicInstant, ingress::IngressStats,
    metrics::Metrics, pool::Pool, settings::Settings, store_watch::OUTAGE,
    upstream_list::UpstreamList,
};

/// Time after a connection could not be accepted for which callers are sent elsewhere: the platform
/// asks once a second, and descriptors are freed as answers end.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(1500);

/// Time for which a host that ends still takes streams: the platform needs two misses, a second
/// apart, to send callers elsewhere.
pub(crate) const STREAM_ACCEPT_TIME: Duration = Duration::from_millis(2600);

/// Verdicts that may wait to be written while the store is down; other hosts know them too.
const MAX_PENDING_VERDICTS: usize = 256;

/// A configuration and the bytes that it was read from.
#[derive(Debug, Clone)]
pub(crate) struct ActiveConfig {
    pub catalog: Arc<Catalog>,
    pub bytes: Bytes,
}

/// One router process.
#[derive(Debug)]
pub(crate) struct Host {
    pub rt: Runtime,
    pub settings: RwLock<Arc<Settings>>,
    pub metrics: Metrics,
    pub ingress: IngressStats,
    pub pool: Pool,
    pub probes: ActiveProbes,
    pub incarnation: u64,
    own_hash: u64,
    active_config: RwLock<Option<ActiveConfig>>,
    pub listed: RwLock<UpstreamList>,
    balancer: Mutex<Balancer>,
    budgets: Mutex<HashMap<u32, RetryBudget>>,
    peers: Mutex<PeerTable>,
    store_readers: Mutex<StoreWatchers>,
    store_contacts: Mutex<StoreAvailability>,
    governor: Mutex<LoadShedder>,
    broken_runs: Mutex<BrokenAttempts>,
    quarantine: Mutex<Quarantine>,
    suspension: Mutex<SuspendDetector>,
    /// Requests whose verdict the store is to keep.
    verdict_queue: Sender<RequestKey>,
    /// When the store was first asked which requests are refused.
    quarantine_loaded: AtomicInstant,
    /// When the table of hosts was last read.
    hosts_loaded: AtomicInstant,
    /// How often the store came back from a copy of itself, as far as this host has heard.
    store_era: AtomicU64,
    /// When the process was told to stop.
    stopping: AtomicInstant,
    /// Held by every request that is not answered yet.
    active: Arc<()>,
    /// When the store last answered.
    store_response: AtomicInstant,
    /// When a connection could last not be accepted.
    accept_failure: AtomicInstant,
}

impl Host {
    /// Builds the state of a process that knows nothing yet.
    ///
    /// Returns with it the requests whose verdict the store is to keep, as they come.
    pub(crate) fn new(rt: Runtime, settings: Settings) -> (Arc<Self>, Receiver<RequestKey>) {
        let place = GossipConfig {
            host: host_hash(settings.peers),
            data_centre: hash_name(&settings.data_centre),
            direct_limit: settings.direct_hosts,
        };
        let incarnation = fastrand::u64(1..);
        let mut balancer = Balancer::new(settings.share_window);
        balancer.set_seed(incarnation);
        let seeds = settings.seeds.iter().copied().filter(|it| *it != settings.peers);
        let (verdict_queue, pending) = async_channel::bounded(MAX_PENDING_VERDICTS);
        let res = Arc::new(Self {
            pool: Pool::new(rt.clone()),
            probes: ActiveProbes::default(),
            rt,
            metrics: Metrics::default(),
            ingress: IngressStats::default(),
            incarnation,
            active_config: RwLock::new(None),
            listed: RwLock::default(),
            balancer: Mutex::new(balancer),
            budgets: Mutex::default(),
            peers: Mutex::new(PeerTable::new(place, seeds)),
            own_hash: place.host,
            store_readers: Mutex::new(StoreWatchers::new(settings.pace)),
            store_contacts: Mutex::new(StoreAvailability::new(OUTAGE)),
            governor: Mutex::default(),
            broken_runs: Mutex::default(),
            quarantine: Mutex::default(),
            suspension: Mutex::default(),
            verdict_queue,
            quarantine_loaded: AtomicInstant::default(),
            hosts_loaded: AtomicInstant::default(),
            store_era: AtomicU64::new(0),
            stopping: AtomicInstant::default(),
            active: Arc::new(()),
            store_response: AtomicInstant::default(),
            accept_failure: AtomicInstant::default(),
            settings: RwLock::new(Arc::new(settings)),
        });
        (res, pending)
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        self.settings.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the configuration in force.
    pub(crate) fn active_config(&self) -> Option<ActiveConfig> {
        self.active_config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the version of the configuration in force, zero before there is one.
    pub(crate) fn config_version(&self) -> u64 {
        self.active_config().map_or(0, |it| it.catalog.version())
    }

    /// Puts a configuration in force, unless one as new is already; `source` says where it came
    /// from.
    pub(crate) fn apply_config(&self, bytes: Bytes, source: &str) {
        let decode = || portfield_platform::config::decode(&bytes);
        let Some(decoded) = panics::catch("configuration", decode) else { return };
        let catalog = match decoded {
            Ok(it) => it,
            Err(err) => {
                log::error!(err:%, source; "configuration not readable");
                return;
            }
        };
        let mut active_config = self.active_config.write().unwrap_or_else(PoisonError::into_inner);
        let old = active_config.as_ref().map_or(0, |it| it.catalog.version());
        if catalog.version() <= old {
            return;
        }
        self.balancer().set_capacity(catalog.limits().token_rate);
        let version = catalog.version();
        *active_config = Some(ActiveConfig { catalog: Arc::new(catalog), bytes });
        drop(active_config);
        self.update_list(UpstreamList::reset_cold);
        log::info!(version, old, source; "configuration in force");
        self.metrics.count("config_changes");
    }

    /// Returns the decision state.
    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request towards a service's retry budget.
    pub(crate) fn deposit_retry(&self, service: u32) {
        self.with_budget(service, |it, _| it.deposit(clock::now()));
    }

    /// Pays for sending a request a second time, if the budget allows it.
    pub(crate) fn withdraw_retry(&self, service: u32) -> bool {
        self.with_budget(service, |it, n_hosts| it.withdraw(clock::now(), n_hosts))
    }

    fn with_budget<T>(&self, service: u32, f: impl FnOnce(&mut RetryBudget, usize) -> T) -> T {
        // Hosts that fell silent may still repeat requests behind a cut.
        let n_hosts = 1 + self.peers().n_known();
        let it = self.settings();
        let new = || RetryBudget::new(it.retry_ratio, it.retry_extra, it.retry_window);
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        f(budgets.entry(service).or_insert_with(new), n_hosts)
    }

    /// Returns the other hosts.
    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this host's own load.
    pub(crate) fn governor(&self) -> MutexGuard<'_, LoadShedder> {
        self.governor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the runs that broke of late.
    pub(crate) fn broken_runs(&self) -> MutexGuard<'_, BrokenAttempts> {
        self.broken_runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this host has stood still, and what it has heard since.
    pub(crate) fn suspension(&self) -> MutexGuard<'_, SuspendDetector> {
        self.suspension.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests that something is known against.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the store has told which requests are refused, or cannot.
    pub(crate) fn mark_quarantine_loaded(&self) {
        self.quarantine_loaded.set_now();
    }

    /// Notes that the table of hosts was read.
    pub(crate) fn mark_hosts_loaded(&self) {
        self.hosts_loaded.set_now();
    }

    /// Returns whether the table of hosts was ever read.
    pub(crate) fn has_loaded_hosts(&self) -> bool {
        self.hosts_loaded.elapsed().is_some()
    }

    /// Returns how often the store came back from a copy of itself, as far as this host has heard.
    pub(crate) fn store_era(&self) -> u64 {
        self.store_era.load(Ordering::Relaxed)
    }

    /// Notes the era of the store; `source` says where it was heard.
    pub(crate) fn update_store_era(&self, era: u64, source: &str) {
        let before = self.store_era.fetch_max(era, Ordering::Relaxed);
        if before < era {
            log::warn!(era, before, source; "store went back");
        }
    }

    /// Has the store keep what is known against a request.
    pub(crate) fn persist_verdict(&self, request: RequestKey) {
        if self.verdict_queue.try_send(request).is_err() {
            self.metrics.count("verdicts_not_kept");
            log::warn!(fingerprint = request.fingerprint_hex(); "verdict not kept");
        }
    }

    /// Returns whether a caller's connection is to be closed after an answer.
    pub(crate) fn should_close(&self, answered: AnswerKind) -> bool {
        self.is_stopping() || self.governor().closes_connection(answered) || !self.can_accept()
    }

    /// Looks anew at whom to tell what this host did.
    pub(crate) fn refresh_audience(&self) -> GossipTopology {
        self.peers().refresh_topology(clock::now())
    }

    /// Returns whom to tell what this host did, as of the last look.
    pub(crate) fn audience(&self) -> GossipTopology {
        self.peers().topology()
    }

    /// Returns the hash that names this host among the others.
    pub(crate) fn own_hash(&self) -> u64 {
        self.own_hash
    }

    /// Notes what another host said of itself.
    pub(crate) fn record_follower(&self, it: WatcherStatus) {
        self.store_readers.lock().unwrap_or_else(PoisonError::into_inner).record(it);
    }

    /// Notes that another host heard the store at a time.
    pub(crate) fn record_store_contact(&self, at: Duration) {
        self.store_contacts.lock().unwrap_or_else(PoisonError::into_inner).record(at);
    }

    /// Returns whether others have heard the store from a time on until now.
    pub(crate) fn peers_reached_store(&self, from: Duration) -> bool {
        let witness = self.store_contacts.lock().unwrap_or_else(PoisonError::into_inner);
        witness.is_continuous(from, clock::now())
    }

    /// Returns whether this host is to follow the store itself.
    pub(crate) fn is_store_reader(&self) -> bool {
        let data_centre = hash_name(&self.settings().data_centre);
        let now = clock::now();
        let n_others = self.balancer().n_hosts(now) - 1;
        let readers = self.store_readers.lock().unwrap_or_else(PoisonError::into_inner);
        readers.is_watcher(now, self.own_hash, data_centre, n_others)
    }

    /// Notes that the store answered.
    pub(crate) fn record_store_response(&self) {
        self.store_response.set_now();
    }

    /// Returns how long ago the store last answered; for ever if it never did.
    pub(crate) fn store_age(&self) -> Duration {
        self.store_response.elapsed().unwrap_or(Duration::MAX)
    }

    /// Returns whether the list of upstreams is to be taken from other hosts.
    pub(crate) fn needs_peer_list(&self) -> bool {
        self.settings().pace.fallback_after < self.store_age() || !self.is_store_reader()
    }

    /// Returns whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let known = self.active_config().is_some() && !self.with_list(|it| it.directory.is_empty());
        let is_recalled = self.quarantine_loaded.elapsed().is_some();
        known
            && is_recalled
            && self.has_fresh_state()
            && !self.is_stopping()
            && !self.governor().is_overloaded()
            && self.can_accept()
    }

    /// Notes that a connection could not be opened or accepted for want of descriptors, and frees some:
    /// kept connections now, callers' with their next answers.
    pub(crate) fn handle_fd_exhaustion(&self, err: &io::Error) {
        if self.can_accept() {
            log::warn!(err:%, active = self.n_active(); "connection not accepted");
        }
        self.metrics.count("connections_not_accepted");
        self.accept_failure.set_now();
        self.pool.clear();
    }

    /// Returns whether connections could be accepted of late.
    fn can_accept(&self) -> bool {
        self.accept_failure.elapsed().is_none_or(|it| ACCEPT_BACKOFF < it)
    }

    /// Returns whether the process was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.elapsed().is_some()
    }

    /// Returns how long ago the process was told to stop.
    pub(crate) fn stopping_elapsed(&self) -> Option<Duration> {
        self.stopping.elapsed()
    }

    /// Returns whether new streams are taken: a host that was told to stop takes them only until callers
    /// are sent elsewhere.
    pub(crate) fn accepts_streams(&self) -> bool {
        self.stopping_elapsed().is_none_or(|it| it <= STREAM_ACCEPT_TIME)
    }

    /// Turns readiness off for good.
    pub(crate) fn begin_shutdown(&self) {
        self.stopping.set_now();
    }

    /// Returns what a request holds until it is answered.
    pub(crate) fn track_request(&self) -> Arc<()> {
        self.active.clone()
    }

    /// Returns how many requests are not answered yet.
    pub(crate) fn n_active(&self) -> usize {
        Arc::strong_count(&self.active) - 1
    }
}

/// Returns the number of a name among the hosts.
pub(crate) fn hash_name(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
