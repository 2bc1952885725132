//! Keeps in the store which requests are refused because upstreams ended under them: no host has a disk, and all
//! of them may be killed at once.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use portfield::quarantine::{self, RequestKey};
use portfield_net::clock;
use portfield_platform::store::{self, Row, Store};
use portfield_wire::{StoredSuspect, Suspect};
use prost::Message;

use crate::{
    quarantine::{VerdictSource, merge_suspects},
    state::Host,
};

/// Pause after a call that failed; it doubles up to [`MAX_PAUSE`].
const PAUSE: Duration = Duration::from_millis(600);
/// Longest such pause: what is kept matters after a loss of all hosts only, and a store that is down is not to be
/// asked by each of them all the time.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Time between two looks at the table while a data centre cannot be heard: what it knows of a lethal request is to be
/// known here within three seconds.
const CUT_PERIOD: Duration = Duration::from_millis(1500);
/// Hosts of a data centre that read the table at their start: all of a small one, and in a large one a few, of which
/// some may be gone.
const FIRST: usize = 4;
/// Rows for each workspace: a later verdict replaces one in the same place.
const PLACES: u64 = 16;
/// Rows removed in one call.
const MAX_REMOVED: usize = 100;

/// Reads what the store keeps: once, and while a data centre cannot be heard that may know more. Called when the
/// other hosts are known.
///
/// In a data centre of many hosts the first ones by hash read it before they are ready, and whoever follows the store
/// after that; the others hear it from them. On a day of 295 hosts all calls to the store were 4,122 where each read it
/// at its start, 3,984 where these do (one play each), 3,839 without it.
pub(crate) async fn load(host: Arc<Host>, store: Store) {
    let mut has_read = false;
    if host.peers().is_among_first(FIRST) {
        let mut pause = PAUSE;
        while !load_once(&host, &store).await {
            clock::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
        has_read = true;
    }
    host.mark_quarantine_loaded();
    loop {
        clock::sleep(CUT_PERIOD).await;
        if host.is_store_reader() && (!has_read || peers_may_know_more(&host)) {
            has_read |= load_once(&host, &store).await;
        }
    }
}

/// Returns whether a data centre cannot be heard that may know of what is suspected here.
fn peers_may_know_more(host: &Host) -> bool {
    let is_cut = host.peers().has_unreachable_centre(clock::now());
    is_cut && 0 < host.quarantine().n_suspects()
}

/// Reads what the store keeps; returns whether it told.
async fn load_once(host: &Host, store: &Store) -> bool {
    let rows = match store.read(store::QUARANTINE_TABLE).await {
        Ok(it) => it.rows,
        Err(err) => {
            // Other hosts may tell it; callers do not wait for a store that is down.
            host.mark_quarantine_loaded();
            log::warn!(err:%; "quarantine not read");
            return false;
        }
    };
    let (kept, past): (Vec<_>, Vec<_>) = rows.into_iter().map(decode_row).partition(Result::is_ok);
    let suspects: Vec<Suspect> = kept.into_iter().flatten().collect();
    if !suspects.is_empty() {
        log::info!(n = suspects.len(); "quarantine read");
    }
    merge_suspects(host, &suspects, VerdictSource::Store);
    host.mark_quarantine_loaded();
    let keys: Vec<String> = past.into_iter().filter_map(Result::err).take(MAX_REMOVED).collect();
    if !keys.is_empty()
        && let Err(err) = store.remove(store::QUARANTINE_TABLE, &keys).await
    {
        log::warn!(err:%; "quarantine not cleaned");
    }
    true
}

/// Has the store keep all that this host refuses: it has lost what it kept.
pub(crate) fn persist_all(host: &Host) {
    let verdicts = host.quarantine().entries(clock::now());
    verdicts.iter().for_each(|it| host.persist_verdict(it.request));
}

/// Writes the requests that come in.
pub(crate) async fn run_writer(host: Arc<Host>, store: Store, requests: Receiver<RequestKey>) {
    while let Ok(request) = requests.recv().await {
        write_verdict(&host, &store, request).await;
    }
}

/// Writes what is known against a request by then, until the store has it.
async fn write_verdict(host: &Host, store: &Store, request: RequestKey) {
    let mut pause = PAUSE;
    loop {
        let known = host.quarantine().suspect(clock::now(), request);
        let Some(suspect) = known else { return };
        let row = StoredSuspect { suspect: Some(suspect), written: clock::unix_millis() };
        let res =
            store.write(store::QUARANTINE_TABLE, &row_key(request), &row.encode_to_vec()).await;
        let Err(err) = res else { return };
        log::warn!(fingerprint = request.fingerprint_hex(), err:%; "quarantine not written");
        clock::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Returns the key of a request's row.
fn row_key(request: RequestKey) -> String {
    format!("{:08x}-{:x}", request.workspace, request.fingerprint % PLACES)
}

/// Reads a row, with ages up to now.
///
/// # Errors
///
/// The key of a row that says nothing that still matters, or cannot be read.
fn decode_row(row: Row) -> Result<Suspect, String> {
    let stored = row.value.and_then(|it| StoredSuspect::decode(it.as_slice()).ok());
    let Some(StoredSuspect { suspect: Some(mut suspect), written }) = stored else {
        return Err(row.key);
    };
    // A clock of another host may be ahead: what it wrote is then as of now.
    let age = clock::unix_millis().saturating_sub(written).min(u64::from(u32::MAX)) as u32;
    suspect.ends.iter_mut().for_each(|it| it.age = it.age.saturating_add(age));
    suspect.cleared = suspect.cleared.map(|it| it.saturating_add(age));
    let is_past = |age: u32| quarantine::RETENTION <= Duration::from_millis(u64::from(age));
    if suspect.ends.iter().all(|it| is_past(it.age)) {
        return Err(row.key);
    }
    Ok(suspect)
}
