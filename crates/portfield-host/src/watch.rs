//! Follows the store: the configuration, the upstreams, the other hosts.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use portfield::catalog::{Change, RETURN_GRACE, Source};
use portfield_net::{clock, http1::Error};
use portfield_platform::{
    store::{self, Row, Rows, Store},
    upstreams,
};

use crate::state::{Host, Listed, stranger};

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
/// Time between two looks for entries that did not come back.
const EXPIRE_PERIOD: Duration = Duration::from_millis(100);

/// Starts the tasks.
pub(crate) fn start(host: &Arc<Host>) {
    let store = Store::new(host.settings().store, CALL_TIMEOUT);
    host.rt.spawn(follow(host.clone(), store.clone(), store::OPERATOR, take_config));
    host.rt.spawn(follow(host.clone(), store.clone(), store::UPSTREAMS, take_upstreams));
    host.rt.spawn(meet(host.clone(), store));
    host.rt.spawn(expire(host.clone()));
}

/// What came from the store.
#[derive(Debug)]
struct News {
    rows: Vec<Row>,
    version: Version,
}

/// Follows one table for ever.
async fn follow(host: Arc<Host>, store: Store, table: &'static str, take: fn(&Host, News)) {
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
                host.store_answered();
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
    let mut changes = Vec::new();
    let mut raw = HashMap::new();
    for row in news.rows {
        match row.value {
            Some(bytes) => match upstreams::decode(&row.key, &bytes) {
                Ok(entry) => {
                    raw.insert(row.key, Bytes::from(bytes));
                    changes.push(Change::Set(entry));
                }
                Err(err) => log::error!(upstream = row.key, err:%; "entry not readable"),
            },
            None => changes.push(Change::Gone(row.key)),
        }
    }
    take_list(listed, changes, raw, &news.version);
}

/// Which version a list or its changes are of, and what they say of missing entries.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Version {
    pub number: u64,
    /// The list is the whole table.
    pub is_whole: bool,
    pub source: Source,
}

/// Changes the list, with a log line for each upstream that changed.
pub(crate) fn take_list(
    listed: &mut Listed,
    changes: Vec<Change>,
    raw: HashMap<String, Bytes>,
    version: &Version,
) {
    let before: HashMap<String, _> = states(listed);
    if version.is_whole {
        let entries = changes.into_iter().filter_map(|it| match it {
            Change::Set(entry) => Some(entry),
            Change::Gone(_) => None,
        });
        listed.directory.replace(version.number, entries.collect(), version.source);
    } else {
        listed.directory.apply(version.number, changes, version.source);
    }
    listed.entries.extend(raw);
    let after = states(listed);
    listed.entries.retain(|id, _| after.contains_key(id));
    for (id, state) in &after {
        if before.get(id) != Some(state) {
            log::info!(upstream = id, state:? = state, list = version.number; "upstream changed");
        }
    }
    for id in before.keys().filter(|it| !after.contains_key(*it)) {
        log::info!(upstream = id, list = version.number; "upstream gone");
    }
}

fn states(listed: &Listed) -> HashMap<String, portfield::catalog::State> {
    listed.directory.all().map(|it| (it.entry.id.clone(), it.entry.state)).collect()
}

/// Writes this host's address to the store and reads the others'.
async fn meet(host: Arc<Host>, store: Store) {
    let me = host.settings().peers.to_string();
    while let Err(err) = store.write(store::HOSTS, &me, b"{}").await {
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
                is_first = false;
                let addresses: Vec<SocketAddr> = it
                    .rows
                    .iter()
                    .filter(|it| it.key != me)
                    .filter_map(|it| it.key.parse().ok())
                    .collect();
                let mut peers = host.peers();
                for it in addresses {
                    peers.entry(it).or_insert_with(|| stranger(it));
                }
            }
            Err(err) => {
                log::warn!(err:% = describe(&err); "hosts not read");
                clock::sleep(LONGEST_PAUSE).await;
                continue;
            }
        }
        clock::sleep(HOSTS_PERIOD).await;
    }
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
