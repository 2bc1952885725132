//! The operator's orders that a data centre gets nothing: how they come into force at this host.

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

/// Takes rows of the operator's table.
///
/// The row's key is the order: one whose value cannot be read stands all the same.
pub(crate) fn apply_rows(host: &Arc<Host>, rows: &[Row], reading: &TableRead) {
    let order = |it: &Row| {
        let data_centre = store::evacuated_data_centre(&it.key)?.to_owned();
        Some(EvacuationRow { data_centre, row_version: it.version, is_lifted: it.value.is_none() })
    };
    let orders: Vec<EvacuationRow> = rows.iter().filter_map(order).collect();
    if orders.is_empty() && reading.scope == ReadScope::Changes {
        return;
    }
    let TableRead { version, scope, source } = *reading;
    let source = match scope {
        // Only a copy has lost what the operator wrote: a store that was merely away has not.
        ReadScope::Restored => source,
        ReadScope::Changes | ReadScope::Full => MissingRows::Deleted,
    };
    let changes = host.update_list(|it| match scope {
        ReadScope::Changes => it.evacuations.apply(version, orders),
        ReadScope::Full | ReadScope::Restored => it.evacuations.replace(version, orders, source),
    });
    record_changes(host, &changes, "store");
}

/// Takes another host's orders, as of a version of the store.
pub(crate) fn merge_peer_orders(host: &Arc<Host>, version: StoreVersion, list: EvacuationSnapshot) {
    let changes = host.update_list(|it| it.evacuations.merge(clock::now(), version, list));
    record_changes(host, &changes, "host");
}

/// Ends orders that the store has lost and the operator did not write again.
pub(crate) fn expire(host: &Arc<Host>, now: Duration) {
    if !host.with_list(|it| it.evacuations.has_expired(now)) {
        return;
    }
    let changes = host.update_list(|it| it.evacuations.expire(now));
    record_changes(host, &changes, "lost by the store");
}

/// Tells what came into force, and has upstreams that may be used again start slowly.
fn record_changes(host: &Arc<Host>, changes: &[EvacuationChange], source: &str) {
    let orders = host.with_list(|it| it.evacuations.version());
    for EvacuationChange { data_centre, is_lifted } in changes {
        let store_age_ms = host.store_age().as_millis() as u64;
        if *is_lifted {
            log::warn!(data_centre, orders:%, source, store_age_ms; "evacuation over");
            host.presume_cold_in(data_centre);
        } else {
            log::warn!(data_centre, orders:%, source, store_age_ms; "data centre evacuated");
        }
        host.metrics.count("evacuation_changes");
        let regions = &host.settings().regions;
        if !regions.is_empty() && !regions.contains_key(data_centre) {
            log::warn!(data_centre; "an order names no data centre");
        }
    }
}
