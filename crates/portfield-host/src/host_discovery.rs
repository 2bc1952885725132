//! Registers this host in the store's table of hosts, and discovers the other hosts there.
//!
//! A host reads only a few rows of its data centre: those with the lowest hashes, which become
//! leaders and relay the digests of all others. What its start costs the store thus does not depend
//! on the number of hosts.

use std::{sync::Arc, time::Duration};

use portfield_net::{clock, http1::Error};
use portfield_platform::store::{self, Row, Store};

use crate::{
    quarantine_store,
    state::Host,
    store_watch::{MAX_PAUSE, truncate_error},
};

/// Rows of a data centre read at the start, enough that some of their hosts are alive after a
/// failure of most hosts.
const N_FIRST_ROWS: usize = 16;
/// Hosts per data centre that also read the rows of the other data centres: the leader, its
/// standby and those after them.
const N_LEADING: usize = 4;
/// Interval at which watchers of the store read the table of hosts; new hosts are mostly known from
/// digests earlier.
const HOSTS_PERIOD: Duration = Duration::from_secs(15);
/// Time after the first read at which all rows are read if the hosts of the first ones may be dead.
const SECOND_READ_DELAY: Duration = Duration::from_secs(2);
/// Time without a digest after which a host's row is removed; it writes none anew if it returns, but
/// is then known from its digests.
const ROW_EXPIRY: Duration = Duration::from_secs(600);
/// Interval for checking whether the store was restored and lost this host's rows.
const REREGISTER_PERIOD: Duration = Duration::from_millis(500);
/// Time over which hosts spread the rewriting of their rows after a restore: the store takes 300
/// transactions per second, and the rows of upstreams and operator come first.
const REREGISTER_SPREAD: Duration = Duration::from_secs(4);

/// How many rows of each data centre to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extent {
    /// The first rows only.
    First,
    /// Every row of this data centre, the first ones of the others.
    All,
}

/// Whether the store has this host's row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Registration {
    Done,
    Pending,
}

/// Registers this host and reads the other hosts' rows, forever.
pub(crate) async fn run(host: Arc<Host>, store: Store) {
    let (host, store) = (&host, &store);
    let own = host.own_data_centre();
    let found = read_first_hosts(host, store, own).await;
    if found.as_ref().is_ok_and(|it| it.has_own) {
        host.mark_registered_before();
    }
    let has_more = if found.as_ref().is_ok_and(|it| it.has_more) {
        // In a large data centre others relay this host's digests before its row is read.
        host.rt.spawn(keep_registered(host.clone(), store.clone(), Registration::Pending));
        retry(host, || read_other_centres(host, store)).await;
        true
    } else {
        found.err().into_iter().for_each(|it| record_failure(host, &it));
        // Of two hosts that start at once, the later one to register finds the other's row.
        let registration = register_once(host, store).await;
        host.rt.spawn(keep_registered(host.clone(), store.clone(), registration));
        retry(host, || read_hosts(host, store, Extent::First)).await
    };
    host.mark_hosts_read();
    host.rt.spawn(quarantine_store::load(host.clone(), store.clone()));
    clock::sleep(SECOND_READ_DELAY).await;
    if !has_more && 1 < host.balancer().n_hosts(clock::now()) {
        clock::sleep(HOSTS_PERIOD).await;
    }
    loop {
        if host.is_store_watcher()
            && let Err(err) = read_hosts(host, store, Extent::All).await
        {
            record_failure(host, &err);
            clock::sleep(MAX_PAUSE).await;
            continue;
        }
        clock::sleep(HOSTS_PERIOD).await;
    }
}

/// Repeats a read until the store answers.
async fn retry<T, F>(host: &Host, read: impl Fn() -> F) -> T
where
    F: Future<Output = Result<T, Error>>,
{
    loop {
        match read().await {
            Ok(it) => return it,
            Err(err) => record_failure(host, &err),
        }
        clock::sleep(MAX_PAUSE).await;
    }
}

/// Records that rows could not be read: callers do not wait for a store that is down.
fn record_failure(host: &Host, err: &Error) {
    host.mark_quarantine_loaded();
    log::warn!(err:% = truncate_error(err); "table of hosts not read");
}

/// Reads rows of this data centre's hosts, and of the others if this host may have to lead; returns
/// whether this data centre has hosts whose rows were not read.
async fn read_hosts(host: &Host, store: &Store, extent: Extent) -> Result<bool, Error> {
    let own = host.own_data_centre();
    let has_more = match extent {
        Extent::First => read_first_hosts(host, store, own).await?.has_more,
        Extent::All => {
            let rows = store.read(store::HOSTS_TABLE, &part_name(own)).await?.rows;
            rows.iter().for_each(|it| add_host(host, it, own));
            remove_dead(host, store).await?;
            false
        }
    };
    if !has_more {
        host.mark_hosts_loaded();
    }
    read_other_centres(host, store).await?;
    Ok(has_more)
}

/// Reads the first rows of the other data centres, if this host may have to lead its own.
async fn read_other_centres(host: &Host, store: &Store) -> Result<(), Error> {
    if !host.peers().is_among_first(N_LEADING) {
        return Ok(());
    }
    let parts = store.parts(store::HOSTS_TABLE).await?;
    let data_centres = parts.iter().filter_map(|it| u32::from_str_radix(it, 16).ok());
    for it in data_centres.filter(|it| *it != host.own_data_centre()) {
        read_first_hosts(host, store, it).await?;
    }
    Ok(())
}

/// Removes the rows of hosts that were not heard for long: a start would wait for those among the
/// first.
async fn remove_dead(host: &Host, store: &Store) -> Result<(), Error> {
    let dead = host.peers().forget_dead(clock::now(), ROW_EXPIRY);
    let keys: Vec<String> = dead.into_iter().take(store::MAX_REMOVED).map(row_key).collect();
    if keys.is_empty() {
        return Ok(());
    }
    log::info!(n = keys.len(); "rows of dead hosts removed");
    store.remove(store::HOSTS_TABLE, &part_name(host.own_data_centre()), &keys).await
}

/// What the first rows of a data centre show.
#[derive(Debug, Clone, Copy)]
struct FirstHosts {
    /// Whether the data centre has more rows.
    has_more: bool,
    /// Whether this host's row is among them.
    has_own: bool,
}

/// Reads the first rows of a data centre.
async fn read_first_hosts(
    host: &Host,
    store: &Store,
    data_centre: u32,
) -> Result<FirstHosts, Error> {
    let part = part_name(data_centre);
    let res = store.read_first(store::HOSTS_TABLE, &part, N_FIRST_ROWS).await?;
    res.rows.iter().for_each(|it| add_host(host, it, data_centre));
    let own = row_key(host.own_hash());
    Ok(FirstHosts { has_more: res.has_more, has_own: res.rows.iter().any(|it| it.key == own) })
}

/// Writes this host's row once.
async fn register_once(host: &Host, store: &Store) -> Registration {
    let address = host.settings().peers.to_string();
    let (part, key) = (part_name(host.own_data_centre()), row_key(host.own_hash()));
    let res = store.write(store::HOSTS_TABLE, &part, &key, address.as_bytes()).await;
    let Err(err) = res else { return Registration::Done };
    log::warn!(err:% = truncate_error(&err); "registration in the store failed");
    Registration::Pending
}

/// Retries until the store has this host's row, with random pauses: hosts that start together must
/// not be refused together again.
async fn register(host: &Host, store: &Store) {
    while register_once(host, store).await == Registration::Pending {
        clock::sleep(MAX_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Keeps this host's rows in the store: writes them again after each restore from a backup.
async fn keep_registered(host: Arc<Host>, store: Store, registration: Registration) {
    let mut written = host.store_era();
    if registration == Registration::Pending {
        clock::sleep(MAX_PAUSE.mul_f64(fastrand::f64())).await;
        register(&host, &store).await;
    }
    loop {
        clock::sleep(REREGISTER_PERIOD).await;
        let era = host.store_era();
        if era <= written {
            continue;
        }
        clock::sleep(REREGISTER_SPREAD.mul_f64(fastrand::f64())).await;
        register(&host, &store).await;
        if host.is_store_watcher() {
            quarantine_store::persist_all(&host);
        }
        written = era;
    }
}

/// Returns the name of the part with a data centre's hosts, by the hash of its name.
fn part_name(data_centre: u32) -> String {
    format!("{data_centre:08x}")
}

/// Returns the key of a host's row.
fn row_key(host: u64) -> String {
    format!("{host:016x}")
}

/// Adds a host from its row.
fn add_host(host: &Host, row: &Row, data_centre: u32) {
    let text = row.value.as_deref().and_then(|it| std::str::from_utf8(it).ok());
    let Some(address) = text.and_then(|it| it.parse().ok()) else {
        log::warn!(key = row.key; "invalid address in the table of hosts");
        return;
    };
    host.peers().add_host(address, Some(data_centre));
}
