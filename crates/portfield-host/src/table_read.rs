//! Results of reading the upstream table, and how they are applied to the list.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use portfield::catalog::{
    ChangedUpstream, Directory, EntryChange, MissingRows, State, StoreVersion,
};
use portfield_net::panics;
use portfield_platform::upstream_entry;

use crate::upstream_list::UpstreamList;

/// Number of changed upstreams up to which each gets its own log line: when a fleet of several
/// hundred hosts starts, every host would log a line for every upstream.
const MAX_LOG_LINES: usize = 16;

/// Version and completeness of a table read, which decide how missing rows are treated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TableRead {
    pub version: StoreVersion,
    pub scope: ReadScope,
    pub missing_rows: MissingRows,
}

/// Which part of a table was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadScope {
    /// The changes since the last read.
    Changes,
    /// The whole table.
    Full,
    /// The whole table of a store restored from a backup: recent rows may be missing, and deleted
    /// ones may be back.
    Restored,
}

/// One row of the upstream list, from the store or another host.
#[derive(Debug)]
pub(crate) struct ListRow {
    pub id: String,
    /// The entry as stored, `None` if it was deleted.
    pub entry: Option<Vec<u8>>,
    /// Version of the row, zero if unknown.
    pub version: u64,
}

impl ListRow {
    /// Decodes the row; one that cannot be decoded belongs to another writer.
    fn to_change(&self) -> EntryChange {
        let Some(entry) = &self.entry else { return EntryChange::Removed(self.id.clone()) };
        let decoded = panics::catch("entry", || upstream_entry::decode(&self.id, entry));
        let Some(decoded) = decoded else { return EntryChange::Invalid(self.id.clone()) };
        match decoded {
            Ok(it) => EntryChange::Set(it),
            Err(err) => {
                log::warn!(upstream = self.id, err:%; "entry cannot be decoded");
                EntryChange::Invalid(self.id.clone())
            }
        }
    }
}

/// Applies rows to the list and logs the changes; returns `false` if the read is older than the
/// list.
pub(crate) fn apply_list(
    list: &mut UpstreamList,
    rows: Vec<ListRow>,
    table_read: &TableRead,
) -> bool {
    let TableRead { version, scope, missing_rows } = *table_read;
    // Rows are passed on to other hosts with the version of the list: older rows would pass for
    // newer ones.
    if version < list.directory.version() {
        log::info!(list:% = list.directory.version(), read:% = version; "older list ignored");
        return false;
    }
    let read: Vec<EntryChange> = rows.iter().map(ListRow::to_change).collect();
    let directory = &mut list.directory;
    // A host with a list of a later era may have started from the restored backup and not know what
    // was deleted.
    let is_later_era = !directory.is_empty() && directory.version().era < version.era;
    let (accepted, unmodified_ids) = if scope == ReadScope::Restored || is_later_era {
        let versions = rows.iter().map(|it| it.version);
        let accepted = directory.reconcile_restored(read.iter().cloned().zip(versions));
        let unmodified_ids = ids_in_both(&read, &accepted);
        (accepted, Some(unmodified_ids))
    } else {
        (read, None)
    };
    let changed = match scope {
        ReadScope::Changes => directory.apply(version, accepted, missing_rows),
        ReadScope::Full | ReadScope::Restored => directory.replace(version, accepted, missing_rows),
    };
    rows.iter().for_each(|it| directory.set_row_version(&it.id, it.version));
    // Raw bytes are passed on only for rows that were applied unmodified.
    let is_applied = |it: &ListRow| unmodified_ids.as_ref().is_none_or(|ids| ids.contains(&it.id));
    for it in rows.into_iter().filter(is_applied) {
        if let Some(bytes) = it.entry
            && directory.get(&it.id).is_some()
        {
            list.entries.insert(it.id, Bytes::from(bytes));
        }
    }
    log_changed(&list.directory, &changed, version);
    log_draining_conflicts(&list.directory, &changed, version);
    true
}

/// Returns the ids of the changes that are equal in both lists.
fn ids_in_both(read: &[EntryChange], accepted: &[EntryChange]) -> HashSet<String> {
    let accepted: HashMap<&str, &EntryChange> = accepted.iter().map(|it| (it.id(), it)).collect();
    let is_accepted = |it: &&EntryChange| accepted.get(it.id()) == Some(it);
    read.iter().filter(is_accepted).map(|it| it.id().to_owned()).collect()
}

/// Logs list entries that say `ready` for upstreams that announced draining in a response; they
/// stay draining.
fn log_draining_conflicts(directory: &Directory, changed: &[ChangedUpstream], list: StoreVersion) {
    let is_draining =
        |id: &str| directory.get(id).is_some_and(|it| directory.is_marked_draining(it.wire_id()));
    for it in changed.iter().filter(|it| it.state == Some(State::Ready)) {
        if is_draining(&it.id) {
            log::warn!(upstream = it.id, list:%; "entry says ready, but the upstream announced draining");
        }
    }
}

fn log_changed(directory: &Directory, changed: &[ChangedUpstream], list: StoreVersion) {
    if MAX_LOG_LINES < changed.len() {
        let n_gone = changed.iter().filter(|it| it.state.is_none()).count();
        log::info!(n = changed.len(), n_gone, list:%; "upstreams changed");
        return;
    }
    for it in changed {
        match it.state {
            Some(state) => {
                let software = directory.get(&it.id).map_or("", |it| &it.entry.software_version);
                log::info!(upstream = it.id, state:?, software, list:%; "upstream changed");
            }
            None => log::info!(upstream = it.id, list:%; "upstream gone"),
        }
    }
}
