//! Persists quarantine entries in the store: hosts have no disk, and all of them may be killed at
//! once.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use portfield::quarantine::{self, SuspectKey, SuspectKind};
use portfield_net::clock;
use portfield_platform::store::{self, Row, Store};
use portfield_wire::{StoredSuspect, Suspect};
use prost::Message;

use crate::{
    quarantine::{QuarantineSource, merge_suspects},
    state::Host,
};

/// Pause after a failed call; doubles up to [`MAX_PAUSE`].
const INITIAL_PAUSE: Duration = Duration::from_millis(600);
/// Longest such pause: the stored entries matter only after a loss of all hosts, and a store that
/// is down must not be called by every host all the time.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Interval for reading the table while a data centre is unreachable: a request quarantined there
/// must be known here within three seconds.
const PARTITION_POLL: Duration = Duration::from_millis(1500);
/// Number of hosts per data centre that read the table at their start: all hosts of a small one,
/// and enough in a large one that some may be gone.
const N_LOADERS: usize = 4;
/// Number of rows per workspace; a later entry overwrites one in the same row.
const ROWS_PER_WORKSPACE: u64 = 16;
/// Number of rows per service for prompt parts, likewise.
const ROWS_PER_SERVICE: u64 = 64;

/// Reads the stored entries at start, and repeatedly while a data centre is unreachable that may
/// know more. Must be called when the other hosts are known.
///
/// In a large data centre, the first hosts by hash read the table before they are ready, and the
/// watchers of the store afterwards; the others learn the entries from digests. On a day with 295
/// hosts, the store got 4,122 calls in total with every host reading at its start, 3,984 with this
/// rule and 3,839 with no reads at all (one run each).
pub(crate) async fn load(host: Arc<Host>, store: Store) {
    let mut has_read = false;
    if host.peers().is_among_first(N_LOADERS) {
        let mut pause = INITIAL_PAUSE;
        while !load_once(&host, &store).await {
            clock::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
        has_read = true;
    }
    host.mark_quarantine_loaded();
    loop {
        clock::sleep(PARTITION_POLL).await;
        if host.is_store_watcher() && (!has_read || peers_may_know_more(&host)) {
            has_read |= load_once(&host, &store).await;
        }
    }
}

/// Returns whether an unreachable data centre may know more about a request suspected here.
fn peers_may_know_more(host: &Host) -> bool {
    let is_partitioned = host.peers().has_unreachable_centre(clock::now());
    is_partitioned && 0 < host.quarantine().n_suspects()
}

/// Reads the stored entries once; returns whether that succeeded.
async fn load_once(host: &Host, store: &Store) -> bool {
    let rows = match store.read(store::QUARANTINE_TABLE, "").await {
        Ok(it) => it.rows,
        Err(err) => {
            // Callers do not wait for a store that is down; other hosts may report the entries.
            host.mark_quarantine_loaded();
            log::warn!(err:%; "quarantine not read");
            return false;
        }
    };
    let (current, expired): (Vec<_>, Vec<_>) =
        rows.into_iter().map(decode_row).partition(Result::is_ok);
    let suspects: Vec<Suspect> = current.into_iter().flatten().collect();
    if !suspects.is_empty() {
        log::info!(n = suspects.len(); "quarantine read");
    }
    merge_suspects(host, &suspects, QuarantineSource::Store);
    host.mark_quarantine_loaded();
    let keys: Vec<String> =
        expired.into_iter().filter_map(Result::err).take(store::MAX_REMOVED).collect();
    if !keys.is_empty()
        && let Err(err) = store.remove(store::QUARANTINE_TABLE, "", &keys).await
    {
        log::warn!(err:%; "expired quarantine rows not deleted");
    }
    true
}

/// Queues all entries of this host to be written again, after the store lost them.
pub(crate) fn persist_all(host: &Host) {
    let entries = host.quarantine().entries(clock::now());
    entries.iter().for_each(|it| host.persist_quarantine(it.key));
}

/// Writes the entries of the queued requests.
pub(crate) async fn run_writer(host: Arc<Host>, store: Store, requests: Receiver<SuspectKey>) {
    while let Ok(request) = requests.recv().await {
        write_row(&host, &store, request).await;
    }
}

/// Writes what is known about a request, retrying until the store has it or nothing is known any
/// more.
async fn write_row(host: &Host, store: &Store, request: SuspectKey) {
    let mut pause = INITIAL_PAUSE;
    loop {
        let known = host.quarantine().suspect(clock::now(), request);
        let Some(suspect) = known else { return };
        let row = StoredSuspect { suspect: Some(suspect), written: clock::unix_millis() };
        let res =
            store.write(store::QUARANTINE_TABLE, "", &row_key(request), &row.encode_to_vec()).await;
        let Err(err) = res else { return };
        log::warn!(fingerprint = request.fingerprint_hex(), err:%; "quarantine not written");
        clock::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Returns the key of a suspect's row.
fn row_key(it: SuspectKey) -> String {
    match it.kind {
        SuspectKind::Request => {
            format!("{:08x}-{:x}", it.owner, it.fingerprint % ROWS_PER_WORKSPACE)
        }
        SuspectKind::Part => {
            format!("part-{:08x}-{:x}", it.owner, it.fingerprint % ROWS_PER_SERVICE)
        }
    }
}

/// Decodes a row and adds the time since it was written to its ages.
///
/// # Errors
///
/// The key of a row that is outdated or cannot be decoded.
fn decode_row(row: Row) -> Result<Suspect, String> {
    let stored = row.value.and_then(|it| StoredSuspect::decode(it.as_slice()).ok());
    let Some(StoredSuspect { suspect: Some(mut suspect), written }) = stored else {
        return Err(row.key);
    };
    // The clock of the writing host may be ahead; its row then counts as written now.
    let age = clock::unix_millis().saturating_sub(written).min(u64::from(u32::MAX)) as u32;
    suspect.ends.iter_mut().for_each(|it| it.age = it.age.saturating_add(age));
    suspect.cleared = suspect.cleared.map(|it| it.saturating_add(age));
    let is_expired = |age: u32| quarantine::RETENTION <= Duration::from_millis(u64::from(age));
    if suspect.ends.iter().all(|it| is_expired(it.age)) {
        return Err(row.key);
    }
    Ok(suspect)
}
