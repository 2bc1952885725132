//! Follows two tables of the store: the operator's configuration and orders, and the upstreams.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use bytes::Bytes;
use portfield::{
    catalog::{MissingRows, REGISTRATION_GRACE, StoreVersion},
    gossip::{PeerCopy, STORE_CALL_TIMEOUT},
    quarantine::SuspectKey,
    suspend::CachedState,
};
use portfield_net::{clock, http1::Error};
use portfield_platform::store::{self, Row, Rows, Store};

use crate::{
    evacuations, host_discovery, quarantine_store,
    state::Host,
    table_read::{ListRow, ReadScope, TableRead, apply_list},
    upstream_signals,
};

/// Pause after a failed call; grows by half each time, up to [`MAX_PAUSE`].
const INITIAL_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause: a change must be in force two seconds after the store acknowledged it.
pub(crate) const MAX_PAUSE: Duration = Duration::from_millis(600);
/// Minimum time between the starts of two calls for the operator's table.
const OPERATOR_INTERVAL: Duration = Duration::from_millis(100);
/// The same for the upstream list: consecutive changes are read together, while a draining upstream
/// must get no more requests after two seconds.
const LIST_INTERVAL: Duration = Duration::from_millis(300);
/// Time between the first read of a table and the first call for its changes. By then the host
/// knows how many others there are, and whether it is one that watches the store.
const FIRST_READ_DELAY: Duration = Duration::from_millis(750);
/// Time without a response of the store after which entries of upstreams may have expired: shorter
/// than the three heartbeats of 1.2 s after which the platform removes one, and longer than the
/// store holds a call.
pub(crate) const OUTAGE_THRESHOLD: Duration = Duration::from_millis(3200);
/// Maximum length of a logged error, in characters.
const MAX_ERROR_CHARS: usize = 200;
/// Interval for checking whether this host is to watch the store now.
const IDLE_PERIOD: Duration = Duration::from_millis(100);
/// Interval for removing expired entries.
const EXPIRE_PERIOD: Duration = Duration::from_millis(100);

/// Starts the tasks that read from and write to the store.
pub(crate) fn start(host: &Arc<Host>, pending_writes: Receiver<SuspectKey>) {
    let store = Store::new(host.settings().store, STORE_CALL_TIMEOUT);
    let operator = WatchedTable {
        table: store::OPERATOR_TABLE,
        cached_state: CachedState::Config,
        interval: OPERATOR_INTERVAL,
        known_version: known_operator_version,
        peer_copy: |it| it.newer_config.peer_copy(),
        apply: apply_operator_rows,
    };
    let upstreams = WatchedTable {
        table: store::UPSTREAMS_TABLE,
        cached_state: CachedState::Upstreams,
        interval: LIST_INTERVAL,
        known_version: known_list_version,
        peer_copy: |it| it.newer_list.peer_copy(),
        apply: apply_upstream_rows,
    };
    host.rt.spawn(TableWatcher::new(host.clone(), store.clone(), operator).run());
    host.rt.spawn(TableWatcher::new(host.clone(), store.clone(), upstreams).run());
    host.rt.spawn(quarantine_store::run_writer(host.clone(), store.clone(), pending_writes));
    host.rt.spawn(host_discovery::run(host.clone(), store));
    host.rt.spawn(run_expiry(host.clone()));
}

/// A table to follow.
#[derive(Debug, Clone, Copy)]
struct WatchedTable {
    table: &'static str,
    cached_state: CachedState,
    /// Minimum time between the starts of two calls.
    interval: Duration,
    /// Returns the version of the table as known from other hosts.
    known_version: fn(&Host) -> KnownVersion,
    /// Returns whether another host was heard that knows a newer version than this one.
    peer_copy: fn(&Host) -> PeerCopy,
    apply: fn(&Arc<Host>, TableUpdate),
}

/// What other hosts told this one of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownVersion {
    /// Nothing.
    Unknown,
    /// Its rows, but not the version of the table that contains them.
    Unversioned,
    /// All its rows, as of this version.
    Complete(StoreVersion),
}

/// Rows read from the store.
#[derive(Debug)]
struct TableUpdate {
    rows: Vec<Row>,
    table_read: TableRead,
}

/// Follows one table.
struct TableWatcher {
    host: Arc<Host>,
    store: Store,
    watched: WatchedTable,
    /// Version after which changes are requested; `None` to read the whole table.
    version: Option<StoreVersion>,
    /// Era of the last response that was applied.
    era: Option<u64>,
    pause: Duration,
    last_response: Duration,
    /// When the store last responded again after an outage, or was found to be restored.
    recovered: Option<Duration>,
    is_unreachable: bool,
    next_interval: Duration,
    /// Start of the wait for another host's copy of the table; `None` while no whole table is to be
    /// read, or before this host knows other hosts.
    wait_start: Option<Duration>,
    /// Latest version that other hosts, or this one, brought the table to.
    last_known: StoreVersion,
    /// Random part of the wait, from 0 to 1.
    draw: f64,
}

impl TableWatcher {
    fn new(host: Arc<Host>, store: Store, watched: WatchedTable) -> Self {
        Self {
            host,
            store,
            watched,
            version: None,
            era: None,
            pause: INITIAL_PAUSE,
            last_response: clock::now(),
            recovered: None,
            is_unreachable: false,
            next_interval: FIRST_READ_DELAY,
            wait_start: None,
            last_known: StoreVersion::default(),
            draw: fastrand::f64(),
        }
    }

    /// Follows the table forever.
    async fn run(mut self) {
        loop {
            self.adopt_known_version();
            if !self.is_call_due() {
                clock::sleep(IDLE_PERIOD).await;
                self.last_response = clock::now();
                continue;
            }
            let sent = clock::now();
            match self.read_next().await {
                Ok(it) if it.version.era < self.host.store_era() => {
                    let era = it.version.era;
                    log::warn!(table = self.watched.table, era; "response of an earlier store era ignored");
                    self.back_off().await;
                }
                Ok(it) if self.version.is_some_and(|last| last.era != it.version.era) => {
                    // In a new era the same version number may stand for another change: read the
                    // whole table.
                    self.host.update_store_era(it.version.era, "store");
                    self.version = None;
                }
                Ok(it) => self.apply(sent, it).await,
                Err(err) => self.handle_error(&err).await,
            }
        }
    }

    /// Continues from what other hosts told this one: changes are read from there on.
    ///
    /// After a restore from a backup, the whole table is read all the same.
    fn adopt_known_version(&mut self) {
        let KnownVersion::Complete(known) = (self.watched.known_version)(&self.host) else {
            return;
        };
        let is_same_era = self.era.is_none_or(|it| it == known.era);
        if !is_same_era || known <= self.last_known {
            return;
        }
        self.last_known = known;
        self.version = self.version.max(Some(known));
        self.era = Some(known.era);
    }

    /// Returns whether this host is to call the store for the table now.
    fn is_call_due(&self) -> bool {
        let is_known = (self.watched.known_version)(&self.host) != KnownVersion::Unknown;
        if self.version.is_some() || (is_known && self.era.is_none()) {
            return self.host.is_store_watcher();
        }
        // Others may read the whole table as well, and pass it on.
        let Some(start) = self.wait_start.or(self.host.hosts_read_at()) else { return false };
        let now = clock::now();
        let rank = self.host.peers().reader_rank(now);
        rank.read_due(start, (self.watched.peer_copy)(&self.host), self.draw) <= now
    }

    async fn read_next(&self) -> Result<Rows, Error> {
        let table = self.watched.table;
        match self.version {
            None => self.store.read(table, "").await,
            // After a suspension, the current changes are needed at once: do not wait for the next
            // one.
            Some(it) if !self.host.has_fresh_state() => {
                self.store.poll_changes(table, it, Duration::ZERO).await
            }
            Some(it) => {
                self.store.poll_changes(table, it, self.host.settings().store_timeouts.hold).await
            }
        }
    }

    async fn apply(&mut self, sent: Duration, Rows { rows, version }: Rows) {
        let (now, table) = (clock::now(), self.watched.table);
        let silent = now - self.last_response;
        if std::mem::take(&mut self.is_unreachable) {
            log::info!(table, silent_ms = silent.as_millis() as u64; "store available again");
        }
        // If other hosts reached the store all the time, only this host was cut off, and missing
        // entries were really deleted.
        if OUTAGE_THRESHOLD < silent && !self.host.peers_reached_store(self.last_response) {
            self.recovered = Some(now);
        }
        self.last_response = now;
        // After the first read alone, this host does not follow the table yet. If the others took
        // it for a watcher of the store, some that do watch would stop.
        if self.version.is_some() {
            self.host.record_store_response();
        }
        self.pause = INITIAL_PAUSE;
        let scope = match (self.version, self.era) {
            (Some(_), _) => ReadScope::Changes,
            (None, Some(era)) if era < version.era => ReadScope::Restored,
            (None, _) => ReadScope::Full,
        };
        if scope == ReadScope::Restored {
            self.recovered = Some(now);
        }
        self.host.update_store_era(version.era, "store");
        let recent = self.recovered.filter(|it| now < *it + REGISTRATION_GRACE);
        let missing_rows = match recent {
            Some(recovered) => MissingRows::MayReturn { restored_at: recovered },
            None => MissingRows::Deleted,
        };
        let gap = std::mem::replace(&mut self.next_interval, self.watched.interval);
        (self.version, self.era) = (Some(version), Some(version.era));
        let update = TableUpdate { rows, table_read: TableRead { version, scope, missing_rows } };
        (self.watched.apply)(&self.host, update);
        self.host.suspend_detector().confirm_from_store(sent, self.watched.cached_state);
        clock::sleep((sent + gap).saturating_sub(now)).await;
    }

    async fn handle_error(&mut self, err: &Error) {
        let table = self.watched.table;
        if store::is_history_gone(err) {
            let after = self.version.unwrap_or_default();
            log::info!(table, after:% = after; "change history expired, reading the whole table");
            self.version = None;
            self.wait_start = Some(clock::now());
            return;
        }
        self.host.metrics.count(&format!("store_failed{{table=\"{table}\"}}"));
        if !std::mem::replace(&mut self.is_unreachable, true) {
            log::warn!(table, err:% = truncate_error(err); "store unavailable");
        }
        self.back_off().await;
    }

    /// Pauses before the next call, longer each time.
    async fn back_off(&mut self) {
        clock::sleep(self.pause).await;
        self.pause = (self.pause + self.pause / 2).min(MAX_PAUSE);
    }
}

/// Formats an error, truncated: it may contain a long response body.
pub(crate) fn truncate_error(err: &Error) -> String {
    err.to_string().chars().take(MAX_ERROR_CHARS).collect()
}

/// The versions of the configuration and of the orders are not those of the table.
fn known_operator_version(host: &Host) -> KnownVersion {
    host.active_config().map_or(KnownVersion::Unknown, |_| KnownVersion::Unversioned)
}

fn known_list_version(host: &Host) -> KnownVersion {
    host.with_list(|it| {
        if it.directory.is_empty() {
            return KnownVersion::Unknown;
        }
        KnownVersion::Complete(it.directory.version())
    })
}

fn apply_operator_rows(host: &Arc<Host>, update: TableUpdate) {
    evacuations::apply_rows(host, &update.rows, &update.table_read);
    let row = update.rows.into_iter().rev().find(|it| it.key == store::CONFIG_KEY);
    if let Some(bytes) = row.and_then(|it| it.value) {
        host.apply_config(Bytes::from(bytes), "store");
    }
}

fn apply_upstream_rows(host: &Arc<Host>, update: TableUpdate) {
    if update.rows.is_empty() && update.table_read.scope == ReadScope::Changes {
        return;
    }
    let row = |it: Row| ListRow { id: it.key, entry: it.value, version: it.version };
    let rows = update.rows.into_iter().map(row).collect();
    host.update_list(|it| apply_list(it, rows, &update.table_read));
}

async fn run_expiry(host: Arc<Host>) {
    loop {
        clock::sleep(EXPIRE_PERIOD).await;
        host.pool.remove_expired();
        upstream_signals::log_expired_backoffs(&host);
        let now = clock::now();
        evacuations::expire(&host, now);
        if !host.with_list(|it| it.directory.has_expired(now)) {
            continue;
        }
        host.update_list(|it| {
            for id in it.directory.expire(now) {
                log::info!(upstream = id; "upstream did not come back");
            }
        });
    }
}
