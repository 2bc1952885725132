//! The list of upstreams that a host knows, by id.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{DrainMarks, State, StoreVersion, Upstream, UpstreamEntry, upstream::incarnation_hash};
use crate::digest_scope::DigestScope;

/// Time after the end of a store outage for which an entry is kept that lapsed during the outage.
///
/// The platform specifies that a live upstream registers again within about two seconds.
pub const REGISTRATION_GRACE: Duration = Duration::from_millis(2000);

/// Removed entries remembered for incremental updates of other hosts, enough for all upstreams of a
/// fleet of several hundred. A host that is further behind fetches the full list.
const MAX_REMOVED: usize = 1024;

/// A change of one entry of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// The entry is new or has changed.
    Set(UpstreamEntry),
    /// The entry with this id was removed.
    Removed(String),
    /// The row with this id exists, but does not describe an upstream.
    Invalid(String),
}

/// An upstream that changed in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedUpstream {
    /// Its id.
    pub id: String,
    /// Its state, `None` if it was removed.
    pub state: Option<State>,
}

/// An upstream that was started again under its id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Restart {
    /// The earlier incarnation.
    pub earlier: Arc<Upstream>,
    /// The current one.
    pub current: Arc<Upstream>,
}

/// Upstreams to check again in what is derived from the list.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TouchedUpstreams {
    /// Upstreams that were added, changed or removed, as they were and as they are.
    pub touched: Vec<Arc<Upstream>>,
    /// Upstreams that accepted requests before they were started again.
    pub restarts: Vec<Restart>,
}

/// Changes since an older version of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Ids of entries that are new or have changed.
    pub set: Vec<String>,
    /// Ids of entries that were removed.
    pub removed: Vec<String>,
}

/// What it means that a row is missing from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingRows {
    /// It was deleted: the store was reachable all the time.
    Deleted,
    /// It may have lapsed during an outage of the store, or be lost in a restore, and may be
    /// written again.
    MayReturn {
        /// When the store answered again.
        restored_at: Duration,
    },
}

/// The upstreams known, as of a version of the store.
#[derive(Debug, Default)]
pub struct Directory {
    version: StoreVersion,
    entries: BTreeMap<String, KnownEntry>,
    removed: VecDeque<RemovedEntry>,
    /// Oldest version since which all changes are known; `None` before the first full list.
    history_start: Option<StoreVersion>,
    /// Upstreams that reported that they are draining.
    drain_marks: DrainMarks,
    /// Changes since the last call of [`Self::take_touched`].
    touched: TouchedUpstreams,
    /// No entry expires before this time; `None` if none expires.
    first_expiry: Option<Duration>,
}

/// An entry that was removed.
#[derive(Debug)]
struct RemovedEntry {
    /// Version of the list in which it was removed.
    version: StoreVersion,
    id: String,
    /// Last version of its row, zero if unknown.
    row_version: u64,
}

#[derive(Debug, Clone)]
struct KnownEntry {
    upstream: Arc<Upstream>,
    /// Version of the list in which it last changed.
    changed_in: StoreVersion,
    /// Version of its row, zero if unknown.
    row_version: u64,
    /// When it is removed, if it is missing from the store.
    expires_at: Option<Duration>,
}

impl KnownEntry {
    fn is_expired(&self, now: Duration) -> bool {
        self.expires_at.is_some_and(|it| it <= now)
    }
}

impl Directory {
    /// Returns the version of the store that the list reflects.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Applies changes up to a version of the store; returns the upstreams that changed. `missing`
    /// says what a removed row means. A version older than the list is ignored.
    pub fn apply(
        &mut self,
        version: impl Into<StoreVersion>,
        changes: impl IntoIterator<Item = EntryChange>,
        missing: MissingRows,
    ) -> Vec<ChangedUpstream> {
        let version = version.into();
        if version < self.version {
            return Vec::new();
        }
        self.version = version;
        changes.into_iter().filter_map(|it| self.apply_change(it, missing)).collect()
    }

    /// Replaces the list by the full list as of a version of the store; returns the upstreams that
    /// changed. `missing` says what an absent row means. A version older than the list is ignored.
    pub fn replace(
        &mut self,
        version: impl Into<StoreVersion>,
        list: impl IntoIterator<Item = EntryChange>,
        missing: MissingRows,
    ) -> Vec<ChangedUpstream> {
        let version = version.into();
        if version < self.version {
            return Vec::new();
        }
        self.version = version;
        self.history_start.get_or_insert(version);
        let list: Vec<EntryChange> = list.into_iter().collect();
        let listed: HashSet<&str> = list.iter().map(EntryChange::id).collect();
        let absent = self.entries.keys().filter(|it| !listed.contains(it.as_str()));
        let absent: Vec<EntryChange> = absent.cloned().map(EntryChange::Removed).collect();
        absent.into_iter().chain(list).filter_map(|it| self.apply_change(it, missing)).collect()
    }

    /// Returns whether all changes since an older version are known.
    pub fn has_changes_since(&self, version: impl Into<StoreVersion>) -> bool {
        self.history_start.is_some_and(|it| it <= version.into())
    }

    /// Returns the changes since an older version, `None` if they are not all known.
    pub fn changes_since(&self, version: impl Into<StoreVersion>) -> Option<Delta> {
        let version = version.into();
        if !self.has_changes_since(version) {
            return None;
        }
        let set = self.entries.iter().filter(|it| version < it.1.changed_in);
        let is_news =
            |it: &&RemovedEntry| version < it.version && !self.entries.contains_key(&it.id);
        let removed = self.removed.iter().filter(is_news);
        Some(Delta {
            set: set.map(|it| it.0.clone()).collect(),
            removed: removed.map(|it| it.id.clone()).collect(),
        })
    }

    /// Records the version of the row that an entry was last read from.
    pub fn set_row_version(&mut self, id: &str, row_version: u64) {
        if let Some(it) = self.entries.get_mut(id) {
            it.row_version = row_version;
        }
    }

    /// Returns the version of the row that an entry was last read from, zero if unknown.
    pub fn row_version(&self, id: &str) -> u64 {
        self.entries.get(id).map_or(0, |it| it.row_version)
    }

    /// Reconciles the list of a store restored from a backup with what is known; takes each change
    /// with the version of its row.
    ///
    /// An upstream that left stays removed if its row has the version it had then, a draining one
    /// stays draining, and an older incarnation does not replace a newer one.
    pub fn reconcile_restored(
        &self,
        list: impl IntoIterator<Item = (EntryChange, u64)>,
    ) -> Vec<EntryChange> {
        list.into_iter()
            .filter_map(|(change, row_version)| self.reconcile(change, row_version))
            .collect()
    }

    /// Returns when an entry that is missing from the store is removed, `None` if it is not
    /// missing.
    pub fn expires_at(&self, id: &str) -> Option<Duration> {
        self.entries.get(id)?.expires_at
    }

    /// Keeps an entry that is missing from the store until `expires_at`.
    ///
    /// Counts as a change, so that hosts that fetch the list from this one learn of the expiry.
    pub fn set_expiry(&mut self, id: &str, expires_at: Duration) {
        if let Some(it) = self.entries.get_mut(id) {
            it.expires_at = Some(expires_at);
            it.changed_in = self.version;
            self.first_expiry = Some(self.first_expiry.map_or(expires_at, |it| it.min(expires_at)));
        }
    }

    /// Returns whether to accept an entry that another host still keeps although the store lacks
    /// it.
    ///
    /// Not if this host has already removed it: this one may have followed the store while the
    /// other could not.
    pub fn accepts_unlisted(&self, id: &str) -> bool {
        self.is_empty() || self.entries.contains_key(id)
    }

    /// Returns whether entries may have expired.
    pub fn has_expired(&self, now: Duration) -> bool {
        self.first_expiry.is_some_and(|it| it <= now)
    }

    /// Removes expired entries; returns their ids.
    pub fn expire(&mut self, now: Duration) -> Vec<String> {
        let expired = self.entries.iter().filter(|it| it.1.is_expired(now));
        let removed: Vec<String> = expired.map(|it| it.0.clone()).collect();
        removed.iter().for_each(|it| {
            self.remove(it);
        });
        self.first_expiry = self.entries.values().filter_map(|it| it.expires_at).min();
        removed
    }

    /// Returns every upstream.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|it| &it.upstream)
    }

    /// Returns the upstreams that accept new requests, by their entries and their own reports.
    pub fn ready(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.all().filter(|it| self.effective_state(it) == State::Ready)
    }

    /// Records that an upstream reported that it is draining; returns whether that is new.
    /// `upstream` is its wire id.
    ///
    /// The mark applies to the incarnation, even if its entry lapses and returns: an entry that
    /// says `ready` is older than the report, however late it is read.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::catalog::Directory;
    ///
    /// let mut directory = Directory::default();
    /// assert!(directory.mark_draining(7));
    /// assert!(directory.is_marked_draining(7) && !directory.is_marked_draining(8));
    /// ```
    pub fn mark_draining(&mut self, upstream: u32) -> bool {
        let is_new = self.drain_marks.insert(upstream);
        if is_new {
            let marked = self.entries.values().find(|it| it.upstream.wire_id() == upstream);
            self.touched.touched.extend(marked.map(|it| it.upstream.clone()));
        }
        is_new
    }

    /// Returns whether an upstream reported that it is draining.
    pub fn is_marked_draining(&self, upstream: u32) -> bool {
        self.drain_marks.contains(upstream)
    }

    /// Returns the upstreams that reported that they are draining while their entries say `ready`.
    pub fn draining_unlisted(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        let is_entry_ready = |it: &&Arc<Upstream>| it.entry.state == State::Ready;
        // Usually there are no marks, and each digest asks.
        let marked = (!self.drain_marks.is_empty()).then(|| self.all());
        marked
            .into_iter()
            .flatten()
            .filter(is_entry_ready)
            .filter(|it| self.is_marked_draining(it.wire_id()))
    }

    /// Returns the wire ids of [`Self::draining_unlisted`] to send in a digest.
    pub fn draining_for_digest(&mut self, scope: DigestScope) -> Vec<u32> {
        let unlisted = self.unlisted_wire_ids();
        self.drain_marks.take_for_digest(scope, |it| unlisted.contains(&it))
    }

    /// Returns the wire ids of [`Self::draining_unlisted`] to send in a data centre's summary.
    pub fn draining_for_summary(&self) -> Vec<u32> {
        let unlisted = self.unlisted_wire_ids();
        self.drain_marks.for_summary(|it| unlisted.contains(&it))
    }

    fn unlisted_wire_ids(&self) -> HashSet<u32> {
        self.draining_unlisted().map(|it| it.wire_id()).collect()
    }

    /// Returns the state of an upstream by its entry and its own report.
    fn effective_state(&self, upstream: &Upstream) -> State {
        if self.is_marked_draining(upstream.wire_id()) {
            return State::Draining;
        }
        upstream.entry.state
    }

    /// Returns the entry with an id.
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.entries.get(id).map(|it| &it.upstream)
    }

    /// Returns the current entry of an upstream if it accepts new requests and has not been started
    /// again since.
    pub fn get_ready(&self, upstream: &Upstream) -> Option<&Arc<Upstream>> {
        let current = self.get(&upstream.entry.id).filter(|it| it.hash == upstream.hash);
        current.filter(|it| self.effective_state(it) == State::Ready)
    }

    /// Takes the upstreams that changed since the last call.
    pub fn take_touched(&mut self) -> TouchedUpstreams {
        std::mem::take(&mut self.touched)
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn apply_change(
        &mut self,
        change: EntryChange,
        missing: MissingRows,
    ) -> Option<ChangedUpstream> {
        match (change, missing) {
            (EntryChange::Set(entry), _) => self.set(entry),
            (EntryChange::Invalid(id), _) | (EntryChange::Removed(id), MissingRows::Deleted) => {
                self.remove(&id)
            }
            (EntryChange::Removed(id), MissingRows::MayReturn { restored_at }) => {
                let expires_at = self.entries.get(&id)?.expires_at;
                self.set_expiry(&id, expires_at.unwrap_or(restored_at + REGISTRATION_GRACE));
                None
            }
        }
    }

    fn set(&mut self, entry: UpstreamEntry) -> Option<ChangedUpstream> {
        if let Some(it) = self.entries.get_mut(&entry.id)
            && it.upstream.entry == entry
        {
            if it.expires_at.take().is_some() {
                it.changed_in = self.version;
            }
            return None;
        }
        let (id, state) = (entry.id.clone(), Some(entry.state));
        let differs_only_in_cold = |it: &KnownEntry| {
            it.upstream.entry
                == UpstreamEntry {
                    cold_remaining: it.upstream.entry.cold_remaining,
                    ..entry.clone()
                }
        };
        // A change of the cold time alone is passed on to other hosts, but is not reported as a
        // change of the upstream.
        let is_news = !self.entries.get(&id).is_some_and(differs_only_in_cold);
        let upstream = Arc::new(Upstream { hash: incarnation_hash(&entry), entry });
        let entry =
            KnownEntry { upstream, changed_in: self.version, row_version: 0, expires_at: None };
        let current = entry.upstream.clone();
        if let Some(it) = self.entries.insert(id.clone(), entry) {
            self.touch_replaced(it.upstream, &current);
        }
        self.touched.touched.push(current);
        is_news.then_some(ChangedUpstream { id, state })
    }

    /// Records that an upstream's entry was replaced.
    fn touch_replaced(&mut self, earlier: Arc<Upstream>, current: &Arc<Upstream>) {
        if earlier.hash != current.hash && self.effective_state(&earlier) == State::Ready {
            let restart = Restart { earlier: earlier.clone(), current: current.clone() };
            self.touched.restarts.push(restart);
        }
        self.touched.touched.push(earlier);
    }

    /// Returns what a restored store's row says of an upstream, as far as it is not outdated.
    fn reconcile(&self, change: EntryChange, row_version: u64) -> Option<EntryChange> {
        let EntryChange::Set(mut entry) = change else { return Some(change) };
        let is_same_row = |it: &RemovedEntry| {
            it.id == entry.id && it.row_version == row_version && row_version != 0
        };
        if self.removed.iter().any(is_same_row) && !self.entries.contains_key(&entry.id) {
            return None;
        }
        let current = self.entries.get(&entry.id).map(|it| &it.upstream);
        if let Some(it) = current.filter(|it| entry.started_ms < it.entry.started_ms) {
            return Some(EntryChange::Set(it.entry.clone()));
        }
        if current.is_some_and(|it| {
            it.hash == incarnation_hash(&entry) && it.entry.state == State::Draining
        }) {
            entry.state = State::Draining;
        }
        Some(EntryChange::Set(entry))
    }

    fn remove(&mut self, id: &str) -> Option<ChangedUpstream> {
        let KnownEntry { row_version, upstream, .. } = self.entries.remove(id)?;
        self.touched.touched.push(upstream);
        self.removed.push_back(RemovedEntry {
            version: self.version,
            id: id.to_owned(),
            row_version,
        });
        if MAX_REMOVED < self.removed.len()
            && let Some(it) = self.removed.pop_front()
        {
            self.history_start = self.history_start.max(Some(it.version));
        }
        Some(ChangedUpstream { id: id.to_owned(), state: None })
    }
}

impl EntryChange {
    /// Returns the id of the entry that changed.
    pub fn id(&self) -> &str {
        match self {
            Self::Set(it) => &it.id,
            Self::Removed(it) | Self::Invalid(it) => it,
        }
    }
}
