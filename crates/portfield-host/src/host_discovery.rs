//! Registers this host in the store's table of hosts, and discovers the other hosts there.

use std::{sync::Arc, time::Duration};

use portfield_net::clock;
use portfield_platform::store::{self, Row, Store};

use crate::{
    quarantine_store,
    state::{Host, hash_name},
    store_watch::{MAX_PAUSE, truncate_error},
};

/// Interval at which watchers of the store read the table of hosts; new hosts are mostly known from
/// digests earlier.
const HOSTS_PERIOD: Duration = Duration::from_secs(15);
/// Interval for checking whether the store was restored and lost this host's rows.
const REREGISTER_PERIOD: Duration = Duration::from_millis(500);
/// Time over which hosts spread the rewriting of their rows after a restore: the store takes 300
/// transactions per second, and the rows of upstreams and operator come first.
const REREGISTER_SPREAD: Duration = Duration::from_secs(4);

/// Registers this host and reads the other hosts' rows, forever.
pub(crate) async fn run(host: Arc<Host>, store: Store) {
    register(&host, &store).await;
    host.rt.spawn(reregister(host.clone(), store.clone()));
    let mut is_first = true;
    loop {
        if !is_first && !host.is_store_watcher() {
            clock::sleep(HOSTS_PERIOD).await;
            continue;
        }
        match store.read(store::HOSTS_TABLE).await {
            Ok(it) => {
                let own_address = host.settings().peers.to_string();
                it.rows
                    .iter()
                    .filter(|it| it.key != own_address)
                    .for_each(|it| add_host(&host, it));
                host.mark_hosts_loaded();
                if std::mem::replace(&mut is_first, false) {
                    host.rt.spawn(quarantine_store::load(host.clone(), store.clone()));
                }
            }
            Err(err) => {
                // Callers do not wait for a store that is down.
                host.mark_quarantine_loaded();
                log::warn!(err:% = truncate_error(&err); "table of hosts not read");
                clock::sleep(MAX_PAUSE).await;
                continue;
            }
        }
        clock::sleep(HOSTS_PERIOD).await;
    }
}

/// Writes this host's row, retrying until the store has it.
async fn register(host: &Host, store: &Store) {
    let own_address = host.settings().peers.to_string();
    let data_centre = host.settings().data_centre.clone();
    while let Err(err) = store.write(store::HOSTS_TABLE, &own_address, data_centre.as_bytes()).await
    {
        host.mark_quarantine_loaded();
        log::warn!(err:% = truncate_error(&err); "registration in the store failed");
        clock::sleep(MAX_PAUSE).await;
    }
}

/// Writes this host's rows again after each restore of the store from a backup.
async fn reregister(host: Arc<Host>, store: Store) {
    let mut written = host.store_era();
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

/// Adds a host from its row: the key is its address, the value the name of its data centre.
fn add_host(host: &Host, row: &Row) {
    let Ok(address) = row.key.parse() else {
        log::warn!(key = row.key; "invalid address in the table of hosts");
        return;
    };
    let name = row.value.as_deref().and_then(|it| std::str::from_utf8(it).ok());
    host.peers().add_host(address, name.map(hash_name));
}
