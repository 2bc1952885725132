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
        Answered, Audience, Balancer, Follower, Governor, Others, Place, Readers, RetryBudget,
        Witness, host_hash,
    },
    catalog::Catalog,
    quarantine::{BrokenAttempts, Quarantine, RequestKey},
    suspend::SuspendDetector,
};
use portfield_net::{clock, contain, rt::Runtime};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    intake::Intake, listed::Listed, metrics::Metrics, moment::Moment, pool::Pool,
    settings::Settings, trying::Trying, watch::OUTAGE,
};

/// Time after a connection could not be accepted for which callers are sent elsewhere: the platform
/// asks once a second, and descriptors are freed as answers end.
const ACCEPT_TROUBLE: Duration = Duration::from_millis(1500);

/// Time for which a host that ends still takes streams: the platform needs two misses, a second
/// apart, to send callers elsewhere.
pub(crate) const TAKE_MOST: Duration = Duration::from_millis(2600);

/// Verdicts that may wait to be written while the store is down; other hosts know them too.
const MAX_UNKEPT: usize = 256;

/// A configuration and the bytes that it was read from.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    pub catalog: Arc<Catalog>,
    pub bytes: Bytes,
}

/// One router process.
#[derive(Debug)]
pub(crate) struct Host {
    pub rt: Runtime,
    pub settings: RwLock<Arc<Settings>>,
    pub metrics: Metrics,
    pub intake: Intake,
    pub pool: Pool,
    pub trying: Trying,
    pub incarnation: u64,
    own_hash: u64,
    in_force: RwLock<Option<InForce>>,
    pub listed: RwLock<Listed>,
    balancer: Mutex<Balancer>,
    budgets: Mutex<HashMap<u32, RetryBudget>>,
    others: Mutex<Others>,
    readers: Mutex<Readers>,
    witness: Mutex<Witness>,
    governor: Mutex<Governor>,
    breaks: Mutex<BrokenAttempts>,
    quarantine: Mutex<Quarantine>,
    waking: Mutex<SuspendDetector>,
    /// Requests whose verdict the store is to keep.
    verdicts: Sender<RequestKey>,
    /// When the store was first asked which requests are refused.
    recalled: Moment,
    /// When the table of hosts was last read.
    met: Moment,
    /// How often the store came back from a copy of itself, as far as this host has heard.
    era: AtomicU64,
    /// When the process was told to stop.
    stopping: Moment,
    /// Held by every request that is not answered yet.
    active: Arc<()>,
    /// When the store last answered.
    store_heard: Moment,
    /// When a connection could last not be accepted.
    not_accepted: Moment,
}

impl Host {
    /// Builds the state of a process that knows nothing yet.
    ///
    /// Returns with it the requests whose verdict the store is to keep, as they come.
    pub(crate) fn new(rt: Runtime, settings: Settings) -> (Arc<Self>, Receiver<RequestKey>) {
        let place = Place {
            host: host_hash(settings.peers),
            data_centre: hash(&settings.data_centre),
            direct: settings.direct_hosts,
        };
        let incarnation = fastrand::u64(1..);
        let mut balancer = Balancer::new(settings.share_window);
        balancer.seed(incarnation);
        let seeds = settings.seeds.iter().copied().filter(|it| *it != settings.peers);
        let (verdicts, kept) = async_channel::bounded(MAX_UNKEPT);
        let res = Arc::new(Self {
            pool: Pool::new(rt.clone()),
            trying: Trying::default(),
            rt,
            metrics: Metrics::default(),
            intake: Intake::default(),
            incarnation,
            in_force: RwLock::new(None),
            listed: RwLock::default(),
            balancer: Mutex::new(balancer),
            budgets: Mutex::default(),
            others: Mutex::new(Others::new(place, seeds)),
            own_hash: place.host,
            readers: Mutex::new(Readers::new(settings.pace)),
            witness: Mutex::new(Witness::new(OUTAGE)),
            governor: Mutex::default(),
            breaks: Mutex::default(),
            quarantine: Mutex::default(),
            waking: Mutex::default(),
            verdicts,
            recalled: Moment::default(),
            met: Moment::default(),
            era: AtomicU64::new(0),
            stopping: Moment::default(),
            active: Arc::new(()),
            store_heard: Moment::default(),
            not_accepted: Moment::default(),
            settings: RwLock::new(Arc::new(settings)),
        });
        (res, kept)
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        self.settings.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the configuration in force.
    pub(crate) fn in_force(&self) -> Option<InForce> {
        self.in_force.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the version of the configuration in force, zero before there is one.
    pub(crate) fn config_version(&self) -> u64 {
        self.in_force().map_or(0, |it| it.catalog.version())
    }

    /// Puts a configuration in force, unless one as new is already; `source` says where it came
    /// from.
    pub(crate) fn adopt(&self, bytes: Bytes, source: &str) {
        let decode = || portfield_platform::config::decode(&bytes);
        let Some(decoded) = contain::call("configuration", decode) else { return };
        let catalog = match decoded {
            Ok(it) => it,
            Err(err) => {
                log::error!(err:%, source; "configuration not readable");
                return;
            }
        };
        let mut in_force = self.in_force.write().unwrap_or_else(PoisonError::into_inner);
        let old = in_force.as_ref().map_or(0, |it| it.catalog.version());
        if catalog.version() <= old {
            return;
        }
        self.balancer().set_capacity(catalog.limits().token_rate);
        let version = catalog.version();
        *in_force = Some(InForce { catalog: Arc::new(catalog), bytes });
        drop(in_force);
        self.update_list(Listed::retell_cold);
        log::info!(version, old, source; "configuration in force");
        self.metrics.count("config_changes");
    }

    /// Returns the decision state.
    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request towards a service's retry budget.
    pub(crate) fn earn_retry(&self, service: u32) {
        self.with_budget(service, |it, _| it.earn(clock::now()));
    }

    /// Pays for sending a request a second time, if the budget allows it.
    pub(crate) fn spend_retry(&self, service: u32) -> bool {
        self.with_budget(service, |it, n_hosts| it.spend(clock::now(), n_hosts))
    }

    fn with_budget<T>(&self, service: u32, f: impl FnOnce(&mut RetryBudget, usize) -> T) -> T {
        // Hosts that fell silent may still repeat requests behind a cut.
        let n_hosts = 1 + self.others().n_known();
        let it = self.settings();
        let new = || RetryBudget::new(it.retry_ratio, it.retry_extra, it.retry_window);
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        f(budgets.entry(service).or_insert_with(new), n_hosts)
    }

    /// Returns the other hosts.
    pub(crate) fn others(&self) -> MutexGuard<'_, Others> {
        self.others.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this host's own load.
    pub(crate) fn governor(&self) -> MutexGuard<'_, Governor> {
        self.governor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the runs that broke of late.
    pub(crate) fn breaks(&self) -> MutexGuard<'_, BrokenAttempts> {
        self.breaks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this host has stood still, and what it has heard since.
    pub(crate) fn waking(&self) -> MutexGuard<'_, SuspendDetector> {
        self.waking.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests that something is known against.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the store has told which requests are refused, or cannot.
    pub(crate) fn note_recalled(&self) {
        self.recalled.note();
    }

    /// Notes that the table of hosts was read.
    pub(crate) fn note_met(&self) {
        self.met.note();
    }

    /// Returns whether the table of hosts was ever read.
    pub(crate) fn has_met(&self) -> bool {
        self.met.age().is_some()
    }

    /// Returns how often the store came back from a copy of itself, as far as this host has heard.
    pub(crate) fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Notes the era of the store; `source` says where it was heard.
    pub(crate) fn note_era(&self, era: u64, source: &str) {
        let before = self.era.fetch_max(era, Ordering::Relaxed);
        if before < era {
            log::warn!(era, before, source; "store went back");
        }
    }

    /// Has the store keep what is known against a request.
    pub(crate) fn keep_verdict(&self, request: RequestKey) {
        if self.verdicts.try_send(request).is_err() {
            self.metrics.count("verdicts_not_kept");
            log::warn!(fingerprint = request.fingerprint_hex(); "verdict not kept");
        }
    }

    /// Returns whether a caller's connection is to be closed after an answer.
    pub(crate) fn closes(&self, answered: Answered) -> bool {
        self.is_stopping() || self.governor().closes(answered) || !self.accepts()
    }

    /// Looks anew at whom to tell what this host did.
    pub(crate) fn look(&self) -> Audience {
        self.others().look(clock::now())
    }

    /// Returns whom to tell what this host did, as of the last look.
    pub(crate) fn audience(&self) -> Audience {
        self.others().audience()
    }

    /// Returns the hash that names this host among the others.
    pub(crate) fn own_hash(&self) -> u64 {
        self.own_hash
    }

    /// Notes what another host said of itself.
    pub(crate) fn hear(&self, it: Follower) {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner).hear(it);
    }

    /// Notes that another host heard the store at a time.
    pub(crate) fn note_witness(&self, at: Duration) {
        self.witness.lock().unwrap_or_else(PoisonError::into_inner).note(at);
    }

    /// Returns whether others have heard the store from a time on until now.
    pub(crate) fn is_witnessed(&self, from: Duration) -> bool {
        let witness = self.witness.lock().unwrap_or_else(PoisonError::into_inner);
        witness.covers(from, clock::now())
    }

    /// Returns whether this host is to follow the store itself.
    pub(crate) fn is_reader(&self) -> bool {
        let data_centre = hash(&self.settings().data_centre);
        let now = clock::now();
        let n_others = self.balancer().n_hosts(now) - 1;
        let readers = self.readers.lock().unwrap_or_else(PoisonError::into_inner);
        readers.is_reader(now, self.own_hash, data_centre, n_others)
    }

    /// Notes that the store answered.
    pub(crate) fn store_answered(&self) {
        self.store_heard.note();
    }

    /// Returns how long ago the store last answered; for ever if it never did.
    pub(crate) fn store_age(&self) -> Duration {
        self.store_heard.age().unwrap_or(Duration::MAX)
    }

    /// Returns whether the list of upstreams is to be taken from other hosts.
    pub(crate) fn needs_list(&self) -> bool {
        self.settings().pace.silent < self.store_age() || !self.is_reader()
    }

    /// Returns whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let known = self.in_force().is_some() && !self.with_list(|it| it.directory.is_empty());
        let is_recalled = self.recalled.age().is_some();
        known
            && is_recalled
            && self.trusts()
            && !self.is_stopping()
            && !self.governor().is_busy()
            && self.accepts()
    }

    /// Notes that a connection could not be opened or accepted for want of descriptors, and frees some:
    /// kept connections now, callers' with their next answers.
    pub(crate) fn lacks_descriptors(&self, err: &io::Error) {
        if self.accepts() {
            log::warn!(err:%, active = self.n_active(); "connection not accepted");
        }
        self.metrics.count("connections_not_accepted");
        self.not_accepted.note();
        self.pool.clear();
    }

    /// Returns whether connections could be accepted of late.
    fn accepts(&self) -> bool {
        self.not_accepted.age().is_none_or(|it| ACCEPT_TROUBLE < it)
    }

    /// Returns whether the process was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.age().is_some()
    }

    /// Returns how long ago the process was told to stop.
    pub(crate) fn stopping_for(&self) -> Option<Duration> {
        self.stopping.age()
    }

    /// Returns whether new streams are taken: a host that was told to stop takes them only until callers
    /// are sent elsewhere.
    pub(crate) fn takes_streams(&self) -> bool {
        self.stopping_for().is_none_or(|it| it <= TAKE_MOST)
    }

    /// Turns readiness off for good.
    pub(crate) fn stop(&self) {
        self.stopping.note();
    }

    /// Returns what a request holds until it is answered.
    pub(crate) fn hold(&self) -> Arc<()> {
        self.active.clone()
    }

    /// Returns how many requests are not answered yet.
    pub(crate) fn n_active(&self) -> usize {
        Arc::strong_count(&self.active) - 1
    }
}

/// Returns the number of a name among the hosts.
pub(crate) fn hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
