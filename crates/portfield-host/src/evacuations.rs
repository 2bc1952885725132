//! Evacuation orders of the operator: an evacuated data centre gets no requests.

use std::{sync::Arc, time::Duration};

use portfield::catalog::{
    EvacuationChange, EvacuationRow, EvacuationSnapshot, MissingRows, StoreVersion,
};
use portfield_net::clock;
use portfield_platform::store::{self, Row};

use crate::{
    state::Host,
    table_read::{ReadScope, TableRead},
};

/// Applies rows of the operator's table.
///
/// The key of a row alone is the order: it stands even if the value cannot be decoded.
pub(crate) fn apply_rows(host: &Arc<Host>, rows: &[Row], table_read: &TableRead) {
    let order = |it: &Row| {
        let data_centre = store::evacuated_data_centre(&it.key)?.to_owned();
        Some(EvacuationRow { data_centre, row_version: it.version, is_lifted: it.value.is_none() })
    };
    let orders: Vec<EvacuationRow> = rows.iter().filter_map(order).collect();
    if orders.is_empty() && table_read.scope == ReadScope::Changes {
        return;
    }
    let TableRead { version, scope, missing_rows } = *table_read;
    let missing_rows = match scope {
        // Only a restore from a backup loses the operator's orders; an outage of the store does
        // not.
        ReadScope::Restored => missing_rows,
        ReadScope::Changes | ReadScope::Full => MissingRows::Deleted,
    };
    let changes = host.update_list(|it| match scope {
        ReadScope::Changes => it.evacuations.apply(version, orders),
        ReadScope::Full | ReadScope::Restored => {
            it.evacuations.replace(version, orders, missing_rows)
        }
    });
    record_changes(host, &changes, "store");
}

/// Merges another host's orders, as of a version of the store.
pub(crate) fn merge_peer_orders(host: &Arc<Host>, version: StoreVersion, list: EvacuationSnapshot) {
    let changes = host.update_list(|it| it.evacuations.merge(clock::now(), version, list));
    record_changes(host, &changes, "host");
}

/// Ends orders that the store lost and the operator did not write again.
pub(crate) fn expire(host: &Arc<Host>, now: Duration) {
    if !host.with_list(|it| it.evacuations.has_expired(now)) {
        return;
    }
    let changes = host.update_list(|it| it.evacuations.expire(now));
    record_changes(host, &changes, "lost by the store");
}

/// Logs and counts order changes, and treats upstreams in data centres that are used again as cold.
fn record_changes(host: &Arc<Host>, changes: &[EvacuationChange], source: &str) {
    let orders = host.with_list(|it| it.evacuations.version());
    for EvacuationChange { data_centre, is_lifted } in changes {
        let store_age_ms = host.store_age_ms();
        if *is_lifted {
            log::warn!(data_centre, orders:%, source, store_age_ms; "evacuation ended");
            host.presume_cold_in(data_centre);
        } else {
            log::warn!(data_centre, orders:%, source, store_age_ms; "data centre evacuated");
        }
        host.metrics.count("evacuation_changes");
        let regions = &host.settings().regions;
        if !regions.is_empty() && !regions.contains_key(data_centre) {
            log::warn!(data_centre; "evacuation order names an unknown data centre");
        }
    }
}
