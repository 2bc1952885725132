//! Follows the store: what the operator wrote, and the upstreams.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use bytes::Bytes;
use portfield::{
    balance::CALL_TIMEOUT,
    catalog::{MissingRows, REGISTRATION_GRACE, StoreVersion},
    quarantine::RequestKey,
    suspend::CachedState,
};
use portfield_net::{clock, http1::Error};
use portfield_platform::store::{self, Row, Rows, Store};

use crate::{
    meet, orders,
    reading::{Extent, ListRow, Reading, take_list},
    recall, self_report,
    state::Host,
};

/// Pause after a call that failed; grows by half of itself up to [`LONGEST_PAUSE`].
const PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause: a change must be in force two seconds after it was acknowledged.
pub(crate) const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// Least time between the beginnings of two calls for what the operator wrote.
const GATHER: Duration = Duration::from_millis(100);
/// The same for the list of upstreams: those that come, go or warm up one after the other are told together, and who
/// leaves must get nothing more two seconds later.
const GATHER_LIST: Duration = Duration::from_millis(300);
/// Time after the first look at a table before its changes are followed: by then a host knows
/// how many there are, and whether it is one that follows.
const SETTLE: Duration = Duration::from_millis(1000);
/// Silence of the store after which upstreams' entries may have lapsed: shorter than the three
/// heartbeats of 1.2 s after which the platform removes one, and longer than it holds a call.
pub(crate) const OUTAGE: Duration = Duration::from_millis(3200);
/// Characters of an error that are logged.
const LONGEST_ERROR: usize = 200;
/// Time between two looks whether this host is to follow the store.
const IDLE_PERIOD: Duration = Duration::from_millis(100);
/// Time between two looks for entries that did not come back.
const EXPIRE_PERIOD: Duration = Duration::from_millis(100);

/// Starts the tasks.
pub(crate) fn start(host: &Arc<Host>, verdicts: Receiver<RequestKey>) {
    let store = Store::new(host.settings().store, CALL_TIMEOUT);
    let operator = Followed {
        table: store::OPERATOR,
        what: CachedState::Config,
        gather: GATHER,
        take: take_operator,
    };
    let upstreams = Followed {
        table: store::UPSTREAMS,
        what: CachedState::Upstreams,
        gather: GATHER_LIST,
        take: take_upstreams,
    };
    host.rt.spawn(Feed::new(host.clone(), store.clone(), operator).run());
    host.rt.spawn(Feed::new(host.clone(), store.clone(), upstreams).run());
    host.rt.spawn(recall::write(host.clone(), store.clone(), verdicts));
    host.rt.spawn(meet::run(host.clone(), store));
    host.rt.spawn(expire(host.clone()));
}

/// A table that is followed.
#[derive(Debug, Clone, Copy)]
struct Followed {
    table: &'static str,
    what: CachedState,
    /// Least time between the beginnings of two calls.
    gather: Duration,
    take: fn(&Arc<Host>, News),
}

/// What came from the store.
#[derive(Debug)]
struct News {
    rows: Vec<Row>,
    reading: Reading,
}

/// A table as this host follows it.
struct Feed {
    host: Arc<Host>,
    store: Store,
    followed: Followed,
    /// Changes after this version are news; `None` where the whole table is to be read.
    version: Option<StoreVersion>,
    /// The era of the last answer that was taken.
    era: Option<u64>,
    pause: Duration,
    heard: Duration,
    /// When the store last answered again after an outage.
    returned: Option<Duration>,
    is_lost: bool,
    pace: Duration,
}

impl Feed {
    fn new(host: Arc<Host>, store: Store, followed: Followed) -> Self {
        Self {
            host,
            store,
            followed,
            version: None,
            era: None,
            pause: PAUSE,
            heard: clock::now(),
            returned: None,
            is_lost: false,
            pace: SETTLE,
        }
    }

    /// Follows the table for ever.
    async fn run(mut self) {
        loop {
            if self.version.is_some() && !self.host.is_reader() {
                // What changed meanwhile is told from this version on, or read anew.
                clock::sleep(IDLE_PERIOD).await;
                self.heard = clock::now();
                continue;
            }
            let asked = clock::now();
            match self.ask().await {
                Ok(it) if it.version.era < self.host.era() => {
                    let era = it.version.era;
                    log::warn!(table = self.followed.table, era; "answer of an earlier store passed over");
                    self.wait_longer().await;
                }
                Ok(it) if self.version.is_some_and(|last| last.era != it.version.era) => {
                    // The same number may be of another change now: only the whole table tells.
                    self.host.note_era(it.version.era, "store");
                    self.version = None;
                }
                Ok(it) => self.take(asked, it).await,
                Err(err) => self.fail(&err).await,
            }
        }
    }

    async fn ask(&self) -> Result<Rows, Error> {
        let table = self.followed.table;
        match self.version {
            None => self.store.read(table).await,
            // A host that stood still does not wait for the next change to know the last one.
            Some(it) if !self.host.trusts() => self.store.changes(table, it, Duration::ZERO).await,
            Some(it) => self.store.changes(table, it, self.host.settings().pace.hold).await,
        }
    }

    async fn take(&mut self, asked: Duration, Rows { rows, version }: Rows) {
        let (now, table) = (clock::now(), self.followed.table);
        let silent = now - self.heard;
        if std::mem::take(&mut self.is_lost) {
            log::info!(table, silent_ms = silent.as_millis() as u64; "store regained");
        }
        // Where others heard the store all the while, only the way to it was cut: what it lacks is gone.
        if OUTAGE < silent && !self.host.is_witnessed(self.heard) {
            self.returned = Some(now);
        }
        self.heard = now;
        // A host that has only looked once follows nothing yet: others that do must not stop
        // for it.
        if self.version.is_some() {
            self.host.store_answered();
        }
        self.pause = PAUSE;
        let extent = match (self.version, self.era) {
            (Some(_), _) => Extent::Changes,
            (None, Some(era)) if era < version.era => Extent::Copy,
            (None, _) => Extent::Whole,
        };
        if extent == Extent::Copy {
            self.returned = Some(now);
        }
        self.host.note_era(version.era, "store");
        let recent = self.returned.filter(|it| now < *it + REGISTRATION_GRACE);
        let source = match recent {
            Some(returned) => MissingRows::MayReturn { restored_at: returned },
            None => MissingRows::Deleted,
        };
        let gap = std::mem::replace(&mut self.pace, self.followed.gather);
        (self.version, self.era) = (Some(version), Some(version.era));
        let news = News { rows, reading: Reading { version, extent, source } };
        (self.followed.take)(&self.host, news);
        self.host.waking().confirm_from_store(asked, self.followed.what);
        clock::sleep((asked + gap).saturating_sub(now)).await;
    }

    async fn fail(&mut self, err: &Error) {
        let table = self.followed.table;
        if store::is_history_gone(err) {
            let after = self.version.unwrap_or_default();
            log::info!(table, after:% = after; "history gone, reading the whole table");
            self.version = None;
            return;
        }
        self.host.metrics.count(&format!("store_failed{{table=\"{table}\"}}"));
        if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(table, err:% = describe(err); "store lost");
        }
        self.wait_longer().await;
    }

    /// Pauses before the next call, longer each time.
    async fn wait_longer(&mut self) {
        clock::sleep(self.pause).await;
        self.pause = (self.pause + self.pause / 2).min(LONGEST_PAUSE);
    }
}

/// Writes an error shortened: an answer's body may be long.
pub(crate) fn describe(err: &Error) -> String {
    err.to_string().chars().take(LONGEST_ERROR).collect()
}

fn take_operator(host: &Arc<Host>, news: News) {
    orders::take(host, &news.rows, &news.reading);
    let row = news.rows.into_iter().rev().find(|it| it.key == store::CONFIG_KEY);
    if let Some(bytes) = row.and_then(|it| it.value) {
        host.adopt(Bytes::from(bytes), "store");
    }
}

fn take_upstreams(host: &Arc<Host>, news: News) {
    if news.rows.is_empty() && news.reading.extent == Extent::Changes {
        return;
    }
    let row = |it: Row| ListRow { id: it.key, entry: it.value, version: it.version };
    let rows = news.rows.into_iter().map(row).collect();
    host.update_list(|it| take_list(it, rows, &news.reading));
}

async fn expire(host: Arc<Host>) {
    loop {
        clock::sleep(EXPIRE_PERIOD).await;
        host.pool.sweep();
        self_report::log_backoffs_over(&host);
        let now = clock::now();
        orders::expire(&host, now);
        if !host.with_list(|it| it.directory.has_expired(now)) {
            continue;
        }
        host.update_list(|it| {
            for id in it.directory.expire(now) {
                log::info!(upstream = id; "upstream did not come back");
                it.entries.remove(&id);
            }
        });
    }
}
