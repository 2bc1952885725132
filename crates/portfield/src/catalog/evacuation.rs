//! Data centres that are to get nothing, as the operator ordered.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{MissingRows, StoreVersion};

/// Time for which an order is kept that is missing from the store's copy, after the store went back.
///
/// The operator writes again what the store has lost, within some seconds; until then the order stands. One that was
/// taken back in what was lost ends with this time at the latest.
pub const EVACUATION_GRACE: Duration = Duration::from_secs(5);

/// Orders taken back that are remembered against a store that goes back: an operator gives a few a day.
const MAX_LIFTED: usize = 64;

/// An order as it is read, or the news that it was taken back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRow {
    /// Name of the data centre.
    pub data_centre: String,
    /// Version of its row.
    pub row_version: u64,
    /// It was taken back.
    pub is_lifted: bool,
}

/// An order that came into force, or no longer is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the data centre.
    pub data_centre: String,
    /// It was taken back, or did not come back after the store had lost it.
    pub is_lifted: bool,
}

/// An order in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ActiveEvacuation {
    /// Version of its row.
    row_version: u64,
    /// When it ends, where the store has lost it.
    expires_at: Option<Duration>,
}

impl ActiveEvacuation {
    fn is_expired(&self, now: Duration) -> bool {
        self.expires_at.is_some_and(|it| it <= now)
    }
}

/// The orders in force, as of a version of the store.
///
/// # Examples
///
/// ```
/// use portfield::catalog::{Evacuations, EvacuationRow, MissingRows};
///
/// let row = |is_lifted| EvacuationRow { data_centre: "north".into(), row_version: 7, is_lifted };
/// let mut it = Evacuations::default();
/// it.apply(7, [row(false)]);
/// assert!(it.contains("north") && !it.contains("south"));
/// it.apply(9, [row(true)]);
/// assert!(!it.contains("north"));
/// ```
#[derive(Debug, Default)]
pub struct Evacuations {
    version: StoreVersion,
    active: BTreeMap<String, ActiveEvacuation>,
    /// Orders taken back, with the last version of their rows.
    lifted: VecDeque<(String, u64)>,
}

/// The orders as one host tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationSnapshot {
    /// Those in force, each with the time that it is still kept where the store has lost it.
    pub active: Vec<(EvacuationRow, Option<Duration>)>,
    /// Those taken back that are remembered.
    pub lifted: Vec<EvacuationRow>,
}

impl Evacuations {
    /// Returns the version that last told a change; zero while there never was an order.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns whether a data centre is to get nothing.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.active.contains_key(data_centre)
    }

    /// Returns the data centres that are to get nothing.
    pub fn data_centres(&self) -> impl Iterator<Item = &str> {
        self.active.keys().map(String::as_str)
    }

    /// Applies changes up to a version of the store; an older version changes nothing.
    pub fn apply(
        &mut self,
        version: impl Into<StoreVersion>,
        orders: impl IntoIterator<Item = EvacuationRow>,
    ) -> Vec<EvacuationChange> {
        let version = version.into();
        if version < self.version {
            return Vec::new();
        }
        let mut orders = orders.into_iter().peekable();
        if orders.peek().is_some() {
            self.version = version;
        }
        orders.filter_map(|it| self.apply_row(it)).collect()
    }

    /// Takes all orders as of a version of the store; an older version changes nothing.
    ///
    /// From a store that went back (`MissingRows::MayReturn`), an order that is missing is kept for [`EVACUATION_GRACE`], and
    /// one that is known to be taken back stays so: its row has the version that it had before.
    pub fn replace(
        &mut self,
        version: impl Into<StoreVersion>,
        orders: impl IntoIterator<Item = EvacuationRow>,
        missing_rows: MissingRows,
    ) -> Vec<EvacuationChange> {
        let version = version.into();
        if version < self.version {
            return Vec::new();
        }
        let mut orders: Vec<EvacuationRow> = orders.into_iter().collect();
        if let MissingRows::MayReturn { .. } = missing_rows {
            orders.retain(|it| !self.is_lifted(it));
        }
        if !orders.is_empty() || !self.active.is_empty() {
            self.version = version;
        }
        let is_missing = |it: &&String| !orders.iter().any(|order| order.data_centre == **it);
        let missing: Vec<String> = self.active.keys().filter(is_missing).cloned().collect();
        let mut res: Vec<EvacuationChange> =
            missing.into_iter().filter_map(|it| self.handle_missing(it, missing_rows)).collect();
        res.extend(orders.into_iter().filter_map(|it| self.apply_row(it)));
        res
    }

    /// Takes another host's orders, as of a later version; an older one changes nothing.
    pub fn merge(
        &mut self,
        now: Duration,
        version: StoreVersion,
        snapshot: EvacuationSnapshot,
    ) -> Vec<EvacuationChange> {
        if version <= self.version {
            return Vec::new();
        }
        self.version = version;
        let mut res = Vec::new();
        let told = |name: &String| snapshot.active.iter().any(|it| it.0.data_centre == *name);
        let over: Vec<String> = self.active.keys().filter(|it| !told(it)).cloned().collect();
        res.extend(over.into_iter().filter_map(|it| self.lift(it)));
        for (order, left) in snapshot.active {
            let name = order.data_centre.clone();
            res.extend(self.apply_row(order));
            if let (Some(left), Some(it)) = (left, self.active.get_mut(&name)) {
                it.expires_at = Some(now + left);
            }
        }
        snapshot
            .lifted
            .into_iter()
            .for_each(|it| self.record_lifted(it.data_centre, it.row_version));
        res
    }

    /// Returns the orders as they are told to another host.
    pub fn snapshot(&self, now: Duration) -> EvacuationSnapshot {
        let row = |name: &String, row_version: u64, is_lifted: bool| EvacuationRow {
            data_centre: name.clone(),
            row_version,
            is_lifted,
        };
        let left = |it: &ActiveEvacuation| it.expires_at.map(|until| until.saturating_sub(now));
        let active =
            self.active.iter().map(|(name, it)| (row(name, it.row_version, false), left(it)));
        let lifted = self.lifted.iter().map(|(name, row_version)| row(name, *row_version, true));
        EvacuationSnapshot { active: active.collect(), lifted: lifted.collect() }
    }

    /// Returns whether an order did not come back in time.
    pub fn has_expired(&self, now: Duration) -> bool {
        self.active.values().any(|it| it.is_expired(now))
    }

    /// Ends the orders that did not come back in time.
    pub fn expire(&mut self, now: Duration) -> Vec<EvacuationChange> {
        let expired = self.active.iter().filter(|it| it.1.is_expired(now));
        let expired: Vec<String> = expired.map(|it| it.0.clone()).collect();
        expired.into_iter().filter_map(|it| self.lift(it)).collect()
    }

    fn apply_row(&mut self, order: EvacuationRow) -> Option<EvacuationChange> {
        let EvacuationRow { data_centre, row_version, is_lifted } = order;
        if is_lifted {
            return self.lift(data_centre);
        }
        let active = ActiveEvacuation { row_version, expires_at: None };
        let before = self.active.insert(data_centre.clone(), active);
        before.is_none().then_some(EvacuationChange { data_centre, is_lifted: false })
    }

    /// Notes that an order is missing from the store.
    fn handle_missing(
        &mut self,
        data_centre: String,
        missing_rows: MissingRows,
    ) -> Option<EvacuationChange> {
        let MissingRows::MayReturn { restored_at } = missing_rows else {
            return self.lift(data_centre);
        };
        let it = self.active.get_mut(&data_centre)?;
        it.expires_at.get_or_insert(restored_at + EVACUATION_GRACE);
        None
    }

    fn lift(&mut self, data_centre: String) -> Option<EvacuationChange> {
        let it = self.active.remove(&data_centre)?;
        self.record_lifted(data_centre.clone(), it.row_version);
        Some(EvacuationChange { data_centre, is_lifted: true })
    }

    fn record_lifted(&mut self, data_centre: String, row_version: u64) {
        let past = (data_centre, row_version);
        if self.lifted.contains(&past) {
            return;
        }
        self.lifted.push_back(past);
        if MAX_LIFTED < self.lifted.len() {
            self.lifted.pop_front();
        }
    }

    /// Returns whether a copy of the store tells an order that is known to be taken back.
    fn is_lifted(&self, order: &EvacuationRow) -> bool {
        self.lifted.iter().any(|(name, row_version)| {
            *name == order.data_centre && *row_version == order.row_version
        })
    }
}
