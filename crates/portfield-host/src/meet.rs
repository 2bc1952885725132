//! The store's table of hosts: this host's address in it, and the others'.

use std::{sync::Arc, time::Duration};

use portfield_net::clock;
use portfield_platform::store::{self, Row, Store};

use crate::{
    recall,
    state::{Host, hash},
    watch::{LONGEST_PAUSE, describe},
};

/// Time between two looks of a host that follows the store at the table of hosts; hosts learn of new
/// ones from digests before.
const HOSTS_PERIOD: Duration = Duration::from_secs(15);
/// Time between two looks whether the store has lost what this host wrote.
const RENEW_PERIOD: Duration = Duration::from_millis(500);
/// Time over which hosts write their rows again once the store went back: it takes 300 transactions a second, and
/// has to take the upstreams' and the operator's first.
const RENEW_SPREAD: Duration = Duration::from_secs(4);

/// Writes this host's address to the store and reads the others', for ever.
pub(crate) async fn run(host: Arc<Host>, store: Store) {
    write_own(&host, &store).await;
    host.rt.spawn(renew(host.clone(), store.clone()));
    let mut is_first = true;
    loop {
        if !is_first && !host.is_reader() {
            clock::sleep(HOSTS_PERIOD).await;
            continue;
        }
        match store.read(store::HOSTS).await {
            Ok(it) => {
                let me = host.settings().peers.to_string();
                it.rows.iter().filter(|it| it.key != me).for_each(|it| learn_host(&host, it));
                host.note_met();
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

/// Writes this host's address to the store, until the store has it.
async fn write_own(host: &Host, store: &Store) {
    let me = host.settings().peers.to_string();
    let place = host.settings().data_centre.clone();
    while let Err(err) = store.write(store::HOSTS, &me, place.as_bytes()).await {
        host.note_recalled();
        log::warn!(err:% = describe(&err); "own address not written");
        clock::sleep(LONGEST_PAUSE).await;
    }
}

/// Writes again what this host wrote, each time that the store came back from a copy of itself.
async fn renew(host: Arc<Host>, store: Store) {
    let mut written = host.era();
    loop {
        clock::sleep(RENEW_PERIOD).await;
        let era = host.era();
        if era <= written {
            continue;
        }
        clock::sleep(RENEW_SPREAD.mul_f64(fastrand::f64())).await;
        write_own(&host, &store).await;
        if host.is_reader() {
            recall::keep_all(&host);
        }
        written = era;
    }
}

/// Learns of a host by its row: its address, and the name of its data centre.
fn learn_host(host: &Host, row: &Row) {
    let Ok(address) = row.key.parse() else {
        log::warn!(key = row.key; "no host's address");
        return;
    };
    let name = row.value.as_deref().and_then(|it| std::str::from_utf8(it).ok());
    host.others().add_host(address, name.map(hash));
}
