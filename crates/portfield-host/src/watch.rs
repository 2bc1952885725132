//! Follows the store: the configuration, the upstreams, the other hosts.

use std::{collections::HashSet, sync::Arc, time::Duration};

use async_channel::Receiver;
use bytes::Bytes;
use portfield::{
    catalog::{Change, Changed, RETURN_GRACE, Source},
    quarantine::Request,
    waking::Knowledge,
};
use portfield_net::{clock, contain, http1::Error};
use portfield_platform::{
    store::{self, Row, Rows, Store},
    upstreams,
};

use crate::{
    listed::Listed,
    recall,
    state::{Host, hash},
};

/// Longest time that the store holds a call until something changes.
///
/// A cut hides changes until a held call is given up, so this and [`CALL_TIMEOUT`] together stay
/// under the three seconds after which a host counts as in touch again.
const HOLD: Duration = Duration::from_millis(1200);
/// Time in which the store answers a call beyond that.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause after a call that failed; grows by half of itself up to [`LONGEST_PAUSE`].
const PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause: a change must be in force two seconds after it was acknowledged.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// Least time between the beginnings of two calls for one table's changes: upstreams that come or
/// go one after the other are told together, and a change must be in force in two seconds.
const GATHER: Duration = Duration::from_millis(100);
/// Time after the first look at a table before its changes are followed: by then a host knows
/// how many there are, and whether it is one that follows.
const SETTLE: Duration = Duration::from_millis(1000);
/// Silence of the store after which upstreams' entries may have lapsed: shorter than the three
/// heartbeats of 1.2 s after which the platform removes one.
const OUTAGE: Duration = Duration::from_millis(2000);
/// Characters of an error that are logged.
const LONGEST_ERROR: usize = 200;
/// Time between two looks whether this host is to follow the store.
const IDLE_PERIOD: Duration = Duration::from_millis(100);
/// Time between two looks of a host that follows the store at the table of hosts; hosts learn of new
/// ones from digests before.
const HOSTS_PERIOD: Duration = Duration::from_secs(15);
/// Upstreams that changed together, up to which each has a log line: a fleet of several hundred hosts
/// that starts would else write a line for each upstream and host.
const MAX_CHANGED_LINES: usize = 16;
/// Time between two looks for entries that did not come back.
const EXPIRE_PERIOD: Duration = Duration::from_millis(100);

/// Starts the tasks.
pub(crate) fn start(host: &Arc<Host>, verdicts: Receiver<Request>) {
    let store = Store::new(host.settings().store, CALL_TIMEOUT);
    let config = Followed { table: store::OPERATOR, what: Knowledge::Config, take: take_config };
    let upstreams =
        Followed { table: store::UPSTREAMS, what: Knowledge::Upstreams, take: take_upstreams };
    host.rt.spawn(follow(host.clone(), store.clone(), config));
    host.rt.spawn(follow(host.clone(), store.clone(), upstreams));
    host.rt.spawn(recall::write(host.clone(), store.clone(), verdicts));
    host.rt.spawn(meet(host.clone(), store));
    host.rt.spawn(expire(host.clone()));
}

/// A table that is followed.
#[derive(Debug, Clone, Copy)]
struct Followed {
    table: &'static str,
    what: Knowledge,
    take: fn(&Host, News),
}

/// What came from the store.
#[derive(Debug)]
struct News {
    rows: Vec<Row>,
    version: Version,
}

/// Follows one table for ever.
async fn follow(host: Arc<Host>, store: Store, it: Followed) {
    let Followed { table, what, take } = it;
    let mut version = None;
    let mut pause = PAUSE;
    let mut heard = clock::now();
    let mut returned = None::<Duration>;
    let mut is_lost = false;
    let mut pace = SETTLE;
    loop {
        if version.is_some() && !host.is_reader() {
            // What changed meanwhile is told from this version on, or read anew.
            clock::sleep(IDLE_PERIOD).await;
            heard = clock::now();
            continue;
        }
        let asked = clock::now();
        let res = match version {
            None => store.read(table).await,
            // A host that stood still does not wait for the next change to know the last one.
            Some(it) if !host.trusts() => store.changes(table, it, Duration::ZERO).await,
            Some(it) => store.changes(table, it, HOLD).await,
        };
        let now = clock::now();
        match res {
            Ok(Rows { rows, version: newest }) => {
                if is_lost {
                    log::info!(table, silent_ms = (now - heard).as_millis() as u64; "store regained");
                    is_lost = false;
                }
                if HOLD + OUTAGE < now - heard {
                    returned = Some(now);
                }
                heard = now;
                // A host that has only looked once follows nothing yet: others that do must not stop
                // for it.
                if version.is_some() {
                    host.store_answered();
                }
                pause = PAUSE;
                let recent = returned.filter(|it| now < *it + RETURN_GRACE);
                let source = match recent {
                    Some(returned) => Source::AfterOutage { returned },
                    None => Source::Current,
                };
                let is_whole = version.is_none();
                let gap = std::mem::replace(&mut pace, GATHER);
                version = Some(newest);
                take(&host, News { rows, version: Version { number: newest, is_whole, source } });
                host.waking().heard_store(asked, what);
                clock::sleep((asked + gap).saturating_sub(now)).await;
            }
            Err(err) if store::is_history_gone(&err) => {
                log::info!(table, after = version.unwrap_or(0); "history gone, reading the whole table");
                version = None;
            }
            Err(err) => {
                host.metrics.count(&format!("store_failed{{table=\"{table}\"}}"));
                if !is_lost {
                    log::warn!(table, err:% = describe(&err); "store lost");
                    is_lost = true;
                }
                clock::sleep(pause).await;
                pause = (pause + pause / 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Writes an error shortened: an answer's body may be long.
fn describe(err: &Error) -> String {
    err.to_string().chars().take(LONGEST_ERROR).collect()
}

fn take_config(host: &Host, news: News) {
    let row = news.rows.into_iter().rev().find(|it| it.key == store::CONFIG_KEY);
    if let Some(bytes) = row.and_then(|it| it.value) {
        host.adopt(Bytes::from(bytes), "store");
    }
}

fn take_upstreams(host: &Host, news: News) {
    if news.rows.is_empty() && !news.version.is_whole {
        return;
    }
    host.update_list(|it| apply(it, news));
}

fn apply(listed: &mut Listed, news: News) {
    let rows = news.rows.into_iter().map(|row| ListRow { id: row.key, entry: row.value });
    take_list(listed, rows.collect(), &news.version);
}

/// One row of the list, as the store or another host tells it.
#[derive(Debug)]
pub(crate) struct ListRow {
    pub id: String,
    /// The entry as the store holds it, `None` where it is gone.
    pub entry: Option<Vec<u8>>,
}

impl ListRow {
    /// Reads the row; one of another writer names no upstream.
    fn change(&self) -> Change {
        let Some(entry) = &self.entry else { return Change::Gone(self.id.clone()) };
        let decoded = contain::call("entry", || upstreams::decode(&self.id, entry));
        let Some(decoded) = decoded else { return Change::Foreign(self.id.clone()) };
        match decoded {
            Ok(it) => Change::Set(it),
            Err(err) => {
                log::warn!(upstream = self.id, err:%; "entry not readable");
                Change::Foreign(self.id.clone())
            }
        }
    }
}

/// Which version a list or its changes are of, and what they say of missing entries.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Version {
    pub number: u64,
    /// The list is the whole table.
    pub is_whole: bool,
    pub source: Source,
}

/// Changes the list, with a log line for each upstream that changed, or one for many.
pub(crate) fn take_list(listed: &mut Listed, rows: Vec<ListRow>, version: &Version) {
    let changes: Vec<Change> = rows.iter().map(ListRow::change).collect();
    let changed = if version.is_whole {
        listed.directory.replace(version.number, changes, version.source)
    } else {
        listed.directory.apply(version.number, changes, version.source)
    };
    let bytes = rows.into_iter().filter_map(|it| Some((it.id, Bytes::from(it.entry?))));
    listed.entries.extend(bytes);
    let known: HashSet<&str> = listed.directory.all().map(|it| it.entry.id.as_str()).collect();
    listed.entries.retain(|id, _| known.contains(id.as_str()));
    log_changed(&changed, version.number);
}

fn log_changed(changed: &[Changed], list: u64) {
    if MAX_CHANGED_LINES < changed.len() {
        let n_gone = changed.iter().filter(|it| it.state.is_none()).count();
        log::info!(n = changed.len(), n_gone, list; "upstreams changed");
        return;
    }
    for it in changed {
        match it.state {
            Some(state) => log::info!(upstream = it.id, state:?, list; "upstream changed"),
            None => log::info!(upstream = it.id, list; "upstream gone"),
        }
    }
}

/// Writes this host's address to the store and reads the others'.
async fn meet(host: Arc<Host>, store: Store) {
    let me = host.settings().peers.to_string();
    let place = host.settings().data_centre.clone();
    while let Err(err) = store.write(store::HOSTS, &me, place.as_bytes()).await {
        host.note_recalled();
        log::warn!(err:% = describe(&err); "own address not written");
        clock::sleep(LONGEST_PAUSE).await;
    }
    let mut is_first = true;
    loop {
        if !is_first && !host.is_reader() {
            clock::sleep(HOSTS_PERIOD).await;
            continue;
        }
        match store.read(store::HOSTS).await {
            Ok(it) => {
                it.rows.iter().filter(|it| it.key != me).for_each(|it| learn_host(&host, it));
                if std::mem::replace(&mut is_first, false) {
                    host.rt.spawn(recall::read(host.clone(), store.clone()));
                }
            }
            Err(err) => {
                // Callers do not wait for a store that is down.
                host.note_recalled();
                log::warn!(err:% = describe(&err); "hosts not read");
                clock::sleep(LONGEST_PAUSE).await;
                continue;
            }
        }
        clock::sleep(HOSTS_PERIOD).await;
    }
}

/// Learns of a host by its row: its address, and the name of its data centre.
fn learn_host(host: &Host, row: &Row) {
    let Ok(address) = row.key.parse() else {
        log::warn!(key = row.key; "no host's address");
        return;
    };
    let name = row.value.as_deref().and_then(|it| std::str::from_utf8(it).ok());
    host.others().learn(address, name.map(hash));
}

async fn expire(host: Arc<Host>) {
    loop {
        clock::sleep(EXPIRE_PERIOD).await;
        host.pool.sweep();
        let now = clock::now();
        if !host.with_list(|it| it.directory.has_late(now)) {
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
