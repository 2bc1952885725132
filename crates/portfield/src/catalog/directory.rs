//! The upstreams that a host knows, by incarnation.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{DrainMarks, State, StoreVersion, Upstream, UpstreamEntry, upstream::incarnation_hash};
use crate::digest_scope::DigestScope;

/// Time that an entry that lapsed while the store was away is kept after its return.
///
/// The platform says that a live upstream's entry is back within about two seconds.
pub const REGISTRATION_GRACE: Duration = Duration::from_millis(2000);

/// Upstreams that are gone and still told of to hosts that know an older list: all of a fleet of several
/// hundred; a host that is further behind takes the whole list.
const MAX_REMOVED: usize = 1024;

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// An entry is new or has changed.
    Set(UpstreamEntry),
    /// The entry with this id is gone.
    Removed(String),
    /// The row with this id is there, and is no entry of an upstream.
    Invalid(String),
}

/// An upstream that a change of the list concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedUpstream {
    /// Its id.
    pub id: String,
    /// Its state, `None` where it is no longer known.
    pub state: Option<State>,
}

/// What changed since an older version of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Ids of entries that are new or have changed.
    pub set: Vec<String>,
    /// Ids of entries that are gone.
    pub removed: Vec<String>,
}

/// What a whole list says of entries that are missing from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingRows {
    /// They are gone: the store answered all the while.
    Deleted,
    /// They may have lapsed while the store was away, and may come back.
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
    /// Since which version all changes are known; `None` while there is no list.
    history_start: Option<StoreVersion>,
    /// Upstreams that said that they drain.
    drain_marks: DrainMarks,
}

/// An entry that is gone.
#[derive(Debug)]
struct RemovedEntry {
    /// The version that told so.
    version: StoreVersion,
    id: String,
    /// The last version of its row, zero if that is not known.
    row_version: u64,
}

#[derive(Debug, Clone)]
struct KnownEntry {
    upstream: Arc<Upstream>,
    /// The version that last told a change of it.
    changed: StoreVersion,
    /// The version of its row, zero if that is not known.
    row_version: u64,
    /// When an entry that is missing counts as gone.
    expires_at: Option<Duration>,
}

impl KnownEntry {
    fn is_expired(&self, now: Duration) -> bool {
        self.expires_at.is_some_and(|it| it <= now)
    }
}

impl Directory {
    /// Returns the store's version that the list is as of.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Applies changes up to a version of the store, and returns whom they concerned; an older version
    /// changes nothing.
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

    /// Takes a whole list as of a version of the store, and returns whose entries changed; an older
    /// version changes nothing.
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
        let named: HashSet<&str> = list.iter().map(EntryChange::id).collect();
        let absent = self.entries.keys().filter(|it| !named.contains(it.as_str()));
        let absent: Vec<EntryChange> = absent.cloned().map(EntryChange::Removed).collect();
        absent.into_iter().chain(list).filter_map(|it| self.apply_change(it, missing)).collect()
    }

    /// Returns what changed since an older version; `None` where that is not known.
    pub fn changes_since(&self, version: impl Into<StoreVersion>) -> Option<Delta> {
        let version = version.into();
        if version < self.history_start? {
            return None;
        }
        let set = self.entries.iter().filter(|it| version < it.1.changed);
        let is_news =
            |it: &&RemovedEntry| version < it.version && !self.entries.contains_key(&it.id);
        let removed = self.removed.iter().filter(is_news);
        Some(Delta {
            set: set.map(|it| it.0.clone()).collect(),
            removed: removed.map(|it| it.id.clone()).collect(),
        })
    }

    /// Notes the version of the row that an entry was last read from.
    pub fn set_row_version(&mut self, id: &str, row_version: u64) {
        if let Some(it) = self.entries.get_mut(id) {
            it.row_version = row_version;
        }
    }

    /// Returns the version of the row that an entry was last read from, zero if that is not known.
    pub fn row_version(&self, id: &str) -> u64 {
        self.entries.get(id).map_or(0, |it| it.row_version)
    }

    /// Takes out of the list of a store that went back what is known to be over: an upstream that left, by the same
    /// version of its row, one that was about to leave, and an earlier incarnation of one that has started anew. Each change
    /// comes with its row's version.
    pub fn reconcile_restored(
        &self,
        list: impl IntoIterator<Item = (EntryChange, u64)>,
    ) -> Vec<EntryChange> {
        list.into_iter()
            .filter_map(|(change, row_version)| self.reconcile(change, row_version))
            .collect()
    }

    /// Returns until when an entry is kept that is missing from the store.
    pub fn expires_at(&self, id: &str) -> Option<Duration> {
        self.entries.get(id)?.expires_at
    }

    /// Keeps an entry that is missing from the store until a time.
    ///
    /// Counts as a change: a host that learns of the list from this one has to let go of it too.
    pub fn set_expiry(&mut self, id: &str, expires_at: Duration) {
        if let Some(it) = self.entries.get_mut(id) {
            it.expires_at = Some(expires_at);
            it.changed = self.version;
        }
    }

    /// Returns whether an entry that another host keeps though the store lacks it is to be taken from there.
    ///
    /// Not where this host has let go of it: it may have followed the store while the other one could not.
    pub fn accepts_unlisted(&self, id: &str) -> bool {
        self.is_empty() || self.entries.contains_key(id)
    }

    /// Returns whether an entry did not come back in time.
    pub fn has_expired(&self, now: Duration) -> bool {
        self.entries.values().any(|it| it.is_expired(now))
    }

    /// Removes entries that did not come back in time; returns their ids.
    pub fn expire(&mut self, now: Duration) -> Vec<String> {
        let expired = self.entries.iter().filter(|it| it.1.is_expired(now));
        let removed: Vec<String> = expired.map(|it| it.0.clone()).collect();
        removed.iter().for_each(|it| {
            self.remove(it);
        });
        removed
    }

    /// Returns every upstream.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|it| &it.upstream)
    }

    /// Returns the upstreams that take new requests, by their entries and by their own word.
    pub fn ready(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.all().filter(|it| self.state(it) == State::Ready)
    }

    /// Notes that an upstream said of itself that it drains; returns whether that is news.
    ///
    /// Its word holds for its incarnation, also where its entry lapses and comes back: an entry that says `ready` is older,
    /// however late it is read.
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
        self.drain_marks.insert(upstream)
    }

    /// Returns whether an upstream said of itself that it drains.
    pub fn is_marked_draining(&self, upstream: u32) -> bool {
        self.drain_marks.contains(upstream)
    }

    /// Returns the upstreams that drain by their own word, while their entries say `ready`.
    pub fn draining_unlisted(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        let is_listed_ready = |it: &&Arc<Upstream>| it.entry.state == State::Ready;
        self.all().filter(is_listed_ready).filter(|it| self.is_marked_draining(it.wire_id()))
    }

    /// Returns the numbers of those that other hosts are told of in a digest.
    pub fn draining_for_digest(&mut self, scope: DigestScope) -> Vec<u32> {
        let unlisted = self.unlisted_ids();
        self.drain_marks.take_for_digest(scope, |it| unlisted.contains(&it))
    }

    /// Returns the numbers of those that the sum of a data centre names.
    pub fn draining_for_summary(&self) -> Vec<u32> {
        let unlisted = self.unlisted_ids();
        self.drain_marks.for_summary(|it| unlisted.contains(&it))
    }

    fn unlisted_ids(&self) -> HashSet<u32> {
        self.draining_unlisted().map(|it| it.wire_id()).collect()
    }

    /// Returns whether an upstream takes new requests, as far as anything is known.
    fn state(&self, upstream: &Upstream) -> State {
        if self.is_marked_draining(upstream.wire_id()) {
            return State::Draining;
        }
        upstream.entry.state
    }

    /// Returns whether another incarnation has an upstream's entry.
    pub fn is_restarted(&self, upstream: &Upstream) -> bool {
        let current = self.entries.get(&upstream.entry.id);
        current.is_some_and(|it| it.upstream.hash != upstream.hash)
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
                let it = self.entries.get_mut(&id)?;
                it.expires_at.get_or_insert(restored_at + REGISTRATION_GRACE);
                it.changed = self.version;
                None
            }
        }
    }

    fn set(&mut self, entry: UpstreamEntry) -> Option<ChangedUpstream> {
        if let Some(it) = self.entries.get_mut(&entry.id)
            && it.upstream.entry == entry
        {
            if it.expires_at.take().is_some() {
                it.changed = self.version;
            }
            return None;
        }
        let (id, state) = (entry.id.clone(), Some(entry.state));
        let is_same = |it: &KnownEntry| {
            it.upstream.entry
                == UpstreamEntry {
                    cold_remaining: it.upstream.entry.cold_remaining,
                    ..entry.clone()
                }
        };
        // That an upstream becomes less cold is told on, and is no news to a reader of the log.
        let is_news = !self.entries.get(&id).is_some_and(is_same);
        let upstream = Arc::new(Upstream { hash: incarnation_hash(&entry), entry });
        let entry =
            KnownEntry { upstream, changed: self.version, row_version: 0, expires_at: None };
        self.entries.insert(id.clone(), entry);
        is_news.then_some(ChangedUpstream { id, state })
    }

    /// Returns what a copy of the store says of an upstream, as far as it may still hold.
    fn reconcile(&self, change: EntryChange, row_version: u64) -> Option<EntryChange> {
        let EntryChange::Set(mut entry) = change else { return Some(change) };
        let is_past = |it: &RemovedEntry| {
            it.id == entry.id && it.row_version == row_version && row_version != 0
        };
        if self.removed.iter().any(is_past) && !self.entries.contains_key(&entry.id) {
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
        let KnownEntry { row_version, .. } = self.entries.remove(id)?;
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
    /// Returns the id of the entry that it concerns.
    pub fn id(&self) -> &str {
        match self {
            Self::Set(it) => &it.id,
            Self::Removed(it) | Self::Invalid(it) => it,
        }
    }
}
