//! What a reading of the list of upstreams says, and how it is taken.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use portfield::catalog::{
    ChangedUpstream, Directory, EntryChange, MissingRows, State, StoreVersion,
};
use portfield_net::panics;
use portfield_platform::upstream_entry;

use crate::upstream_list::UpstreamList;

/// Upstreams that changed together, up to which each has a log line: a fleet of several hundred hosts
/// that starts would else write a line for each upstream and host.
const MAX_CHANGED_LINES: usize = 16;

/// As of when a table was read, and what that says of rows that are missing.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TableRead {
    pub version: StoreVersion,
    pub scope: ReadScope,
    pub source: MissingRows,
}

/// How much of a table was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadScope {
    /// What changed since the last reading.
    Changes,
    /// All of it.
    Full,
    /// All of it, from a store that came back from a copy of itself: what it has lost may be missing, and what was over
    /// may be there.
    Restored,
}

/// One row of the list, as the store or another host tells it.
#[derive(Debug)]
pub(crate) struct ListRow {
    pub id: String,
    /// The entry as the store holds it, `None` where it is gone.
    pub entry: Option<Vec<u8>>,
    /// Version of the row, zero if that is not known.
    pub version: u64,
}

impl ListRow {
    /// Reads the row; one of another writer names no upstream.
    fn change(&self) -> EntryChange {
        let Some(entry) = &self.entry else { return EntryChange::Removed(self.id.clone()) };
        let decoded = panics::catch("entry", || upstream_entry::decode(&self.id, entry));
        let Some(decoded) = decoded else { return EntryChange::Invalid(self.id.clone()) };
        match decoded {
            Ok(it) => EntryChange::Set(it),
            Err(err) => {
                log::warn!(upstream = self.id, err:%; "entry not readable");
                EntryChange::Invalid(self.id.clone())
            }
        }
    }
}

/// Changes the list, with a log line for each upstream that changed, or one for many; returns whether it is not older
/// than what is known.
pub(crate) fn apply_list(
    listed: &mut UpstreamList,
    rows: Vec<ListRow>,
    reading: &TableRead,
) -> bool {
    let TableRead { version, scope, source } = *reading;
    // What is told on goes with the list's own version: older bytes would be taken for newer ones.
    if version < listed.directory.version() {
        log::info!(list:% = listed.directory.version(), read:% = version; "older list passed over");
        return false;
    }
    let read: Vec<EntryChange> = rows.iter().map(ListRow::change).collect();
    let directory = &mut listed.directory;
    // Who tells a list of a later era may have begun with the copy, and not know what is over.
    let is_later_era = !directory.is_empty() && directory.version().era < version.era;
    let (told, as_read) = if scope == ReadScope::Restored || is_later_era {
        let versions = rows.iter().map(|it| it.version);
        let told = directory.reconcile_restored(read.iter().cloned().zip(versions));
        let as_read = ids_in_both(&read, &told);
        (told, Some(as_read))
    } else {
        (read, None)
    };
    let changed = match scope {
        ReadScope::Changes => directory.apply(version, told, source),
        ReadScope::Full | ReadScope::Restored => directory.replace(version, told, source),
    };
    rows.iter().for_each(|it| directory.set_row_version(&it.id, it.version));
    // The bytes of what was not taken as it was read are not told on.
    let is_taken = |it: &ListRow| as_read.as_ref().is_none_or(|ids| ids.contains(&it.id));
    let taken = rows.into_iter().filter(is_taken);
    let bytes = taken.filter_map(|it| Some((it.id, Bytes::from(it.entry?))));
    listed.entries.extend(bytes);
    let known: HashSet<&str> = listed.directory.all().map(|it| it.entry.id.as_str()).collect();
    listed.entries.retain(|id, _| known.contains(id.as_str()));
    log_changed(&changed, version);
    log_contradicted(&listed.directory, &changed, version);
    true
}

/// Returns the ids of the changes that stand in both lists.
fn ids_in_both(read: &[EntryChange], told: &[EntryChange]) -> HashSet<String> {
    let told: HashMap<&str, &EntryChange> = told.iter().map(|it| (it.id(), it)).collect();
    let is_told = |it: &&EntryChange| told.get(it.id()) == Some(it);
    read.iter().filter(is_told).map(|it| it.id().to_owned()).collect()
}

/// Logs the entries that say `ready` of upstreams which said of themselves that they drain: these go on draining.
fn log_contradicted(directory: &Directory, changed: &[ChangedUpstream], list: StoreVersion) {
    let is_contradicted = |id: &str| directory.draining_unlisted().any(|it| it.entry.id == id);
    for it in changed.iter().filter(|it| it.state == Some(State::Ready)) {
        if is_contradicted(&it.id) {
            log::warn!(upstream = it.id, list:%; "entry says ready, its upstream said that it drains");
        }
    }
}

fn log_changed(changed: &[ChangedUpstream], list: StoreVersion) {
    if MAX_CHANGED_LINES < changed.len() {
        let n_gone = changed.iter().filter(|it| it.state.is_none()).count();
        log::info!(n = changed.len(), n_gone, list:%; "upstreams changed");
        return;
    }
    for it in changed {
        match it.state {
            Some(state) => log::info!(upstream = it.id, state:?, list:%; "upstream changed"),
            None => log::info!(upstream = it.id, list:%; "upstream gone"),
        }
    }
}
