//! Evacuations: orders of the operator that a data centre gets no requests.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{MissingRows, StoreVersion};

/// Time for which an evacuation is kept that is missing from a store restored from a backup.
///
/// The operator writes lost rows again within a few seconds, and the evacuation stays active until
/// then. One that was lifted by a change that the store lost ends after this time at the latest.
pub const EVACUATION_GRACE: Duration = Duration::from_secs(5);

/// Lifted evacuations remembered in case the store is restored from a backup; an operator orders a
/// few a day.
const MAX_LIFTED: usize = 64;

/// A row of the store that orders or lifts an evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRow {
    /// Name of the data centre.
    pub data_centre: String,
    /// Version of the row.
    pub row_version: u64,
    /// Whether the row lifts the evacuation.
    pub is_lifted: bool,
}

/// An evacuation that started or ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the data centre.
    pub data_centre: String,
    /// Whether it ended: it was lifted, or the store lost its row and it was not written again.
    pub is_lifted: bool,
}

/// An active evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ActiveEvacuation {
    /// Version of its row.
    row_version: u64,
    /// When it ends, if its row is missing from the store.
    expires_at: Option<Duration>,
}

impl ActiveEvacuation {
    fn is_expired(&self, now: Duration) -> bool {
        self.expires_at.is_some_and(|it| it <= now)
    }
}

/// The active evacuations, as of a version of the store.
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
    /// Lifted evacuations, each with the last version of its row.
    lifted: VecDeque<(String, u64)>,
}

/// The evacuations known to a host, as sent to other hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationSnapshot {
    /// Active evacuations, each with the time left if its row is missing from the store.
    pub active: Vec<(EvacuationRow, Option<Duration>)>,
    /// Lifted evacuations that are still remembered.
    pub lifted: Vec<EvacuationRow>,
}

impl Evacuations {
    /// Returns the version of the latest change; zero if there was never an evacuation.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.active.contains_key(data_centre)
    }

    /// Returns the evacuated data centres.
    pub fn data_centres(&self) -> impl Iterator<Item = &str> {
        self.active.keys().map(String::as_str)
    }

    /// Applies changes up to a version of the store; an older version is ignored.
    pub fn apply(
        &mut self,
        version: impl Into<StoreVersion>,
        rows: impl IntoIterator<Item = EvacuationRow>,
    ) -> Vec<EvacuationChange> {
        let version = version.into();
        if version < self.version {
            return Vec::new();
        }
        let mut rows = rows.into_iter().peekable();
        if rows.peek().is_some() {
            self.version = version;
        }
        rows.filter_map(|it| self.apply_row(it)).collect()
    }

    /// Replaces all evacuations as of a version of the store; an older version is ignored.
    ///
    /// With [`MissingRows::MayReturn`], an evacuation that is missing is kept for
    /// [`EVACUATION_GRACE`]. One that is known to be lifted stays lifted if its row has the version
    /// it had before.
    pub fn replace(
        &mut self,
        version: impl Into<StoreVersion>,
        rows: impl IntoIterator<Item = EvacuationRow>,
        missing_rows: MissingRows,
    ) -> Vec<EvacuationChange> {
        let version = version.into();
        if version < self.version {
            return Vec::new();
        }
        let mut rows: Vec<EvacuationRow> = rows.into_iter().collect();
        if let MissingRows::MayReturn { .. } = missing_rows {
            rows.retain(|it| !self.is_lifted(it));
        }
        if !rows.is_empty() || !self.active.is_empty() {
            self.version = version;
        }
        let is_missing = |it: &&String| !rows.iter().any(|row| row.data_centre == **it);
        let missing: Vec<String> = self.active.keys().filter(is_missing).cloned().collect();
        let mut res: Vec<EvacuationChange> =
            missing.into_iter().filter_map(|it| self.handle_missing(it, missing_rows)).collect();
        res.extend(rows.into_iter().filter_map(|it| self.apply_row(it)));
        res
    }

    /// Adopts the evacuations of another host if their version is newer.
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
        let is_listed = |name: &String| snapshot.active.iter().any(|it| it.0.data_centre == *name);
        let absent: Vec<String> = self.active.keys().filter(|it| !is_listed(it)).cloned().collect();
        res.extend(absent.into_iter().filter_map(|it| self.lift(it)));
        for (row, remaining) in snapshot.active {
            let name = row.data_centre.clone();
            res.extend(self.apply_row(row));
            if let (Some(remaining), Some(it)) = (remaining, self.active.get_mut(&name)) {
                it.expires_at = Some(now + remaining);
            }
        }
        snapshot
            .lifted
            .into_iter()
            .for_each(|it| self.record_lifted(it.data_centre, it.row_version));
        res
    }

    /// Returns the evacuations to send to another host.
    pub fn snapshot(&self, now: Duration) -> EvacuationSnapshot {
        let row = |name: &String, row_version: u64, is_lifted: bool| EvacuationRow {
            data_centre: name.clone(),
            row_version,
            is_lifted,
        };
        let remaining =
            |it: &ActiveEvacuation| it.expires_at.map(|until| until.saturating_sub(now));
        let active =
            self.active.iter().map(|(name, it)| (row(name, it.row_version, false), remaining(it)));
        let lifted = self.lifted.iter().map(|(name, row_version)| row(name, *row_version, true));
        EvacuationSnapshot { active: active.collect(), lifted: lifted.collect() }
    }

    /// Returns whether any evacuation has expired.
    pub fn has_expired(&self, now: Duration) -> bool {
        self.active.values().any(|it| it.is_expired(now))
    }

    /// Ends expired evacuations; returns the changes.
    pub fn expire(&mut self, now: Duration) -> Vec<EvacuationChange> {
        let expired = self.active.iter().filter(|it| it.1.is_expired(now));
        let expired: Vec<String> = expired.map(|it| it.0.clone()).collect();
        expired.into_iter().filter_map(|it| self.lift(it)).collect()
    }

    fn apply_row(&mut self, row: EvacuationRow) -> Option<EvacuationChange> {
        let EvacuationRow { data_centre, row_version, is_lifted } = row;
        if is_lifted {
            return self.lift(data_centre);
        }
        let active = ActiveEvacuation { row_version, expires_at: None };
        let previous = self.active.insert(data_centre.clone(), active);
        previous.is_none().then_some(EvacuationChange { data_centre, is_lifted: false })
    }

    /// Handles an evacuation that is missing from the store.
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
        let key = (data_centre, row_version);
        if self.lifted.contains(&key) {
            return;
        }
        self.lifted.push_back(key);
        if MAX_LIFTED < self.lifted.len() {
            self.lifted.pop_front();
        }
    }

    /// Returns whether a row is that of an evacuation known to be lifted.
    fn is_lifted(&self, row: &EvacuationRow) -> bool {
        self.lifted
            .iter()
            .any(|(name, row_version)| *name == row.data_centre && *row_version == row.row_version)
    }
}
