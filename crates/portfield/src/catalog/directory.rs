//! The upstreams that a host knows, by incarnation.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

/// Time that an entry that lapsed while the store was away is kept after its return.
///
/// The platform says that a live upstream's entry is back within about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_millis(2000);

/// Whether an upstream takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// An upstream as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its incarnation's id.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
}

/// An upstream with its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Hash of its id: what hosts call it among themselves.
    pub hash: u64,
    /// Its entry.
    pub entry: Entry,
}

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An entry is new or has changed.
    Set(Entry),
    /// The entry with this id is gone.
    Gone(String),
}

/// What a whole list says of entries that are missing from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// They are gone: the store answered all the while.
    Current,
    /// They may have lapsed while the store was away, and may come back.
    AfterOutage {
        /// When the store answered again.
        returned: Duration,
    },
}

/// The upstreams known, as of a version of the store.
#[derive(Debug, Default)]
pub struct Directory {
    version: u64,
    known: BTreeMap<String, Known>,
}

#[derive(Debug, Clone)]
struct Known {
    upstream: Arc<Upstream>,
    /// When an entry that is missing counts as gone.
    until: Option<Duration>,
}

impl Known {
    fn is_late(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| until <= now)
    }
}

impl Directory {
    /// Returns the store's version that the list is as of.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies changes up to a version of the store; an older version changes nothing.
    pub fn apply(
        &mut self,
        version: u64,
        changes: impl IntoIterator<Item = Change>,
        source: Source,
    ) {
        if version < self.version {
            return;
        }
        self.version = version;
        for change in changes {
            match (change, source) {
                (Change::Set(entry), _) => self.set(entry),
                (Change::Gone(id), Source::Current) => {
                    self.known.remove(&id);
                }
                (Change::Gone(id), Source::AfterOutage { returned }) => {
                    if let Some(it) = self.known.get_mut(&id) {
                        it.until.get_or_insert(returned + RETURN_GRACE);
                    }
                }
            }
        }
    }

    /// Takes a whole list as of a version of the store; an older version changes nothing.
    pub fn replace(&mut self, version: u64, list: Vec<Entry>, source: Source) {
        if version < self.version {
            return;
        }
        self.version = version;
        let ids: Vec<String> = list.iter().map(|it| it.id.clone()).collect();
        match source {
            Source::Current => self.known.retain(|id, _| ids.contains(id)),
            Source::AfterOutage { returned } => {
                let missing = self.known.iter_mut().filter(|it| !ids.contains(it.0));
                for (_, it) in missing {
                    it.until.get_or_insert(returned + RETURN_GRACE);
                }
            }
        }
        list.into_iter().for_each(|it| self.set(it));
    }

    /// Returns until when an entry is kept that is missing from the store.
    pub fn held_until(&self, id: &str) -> Option<Duration> {
        self.known.get(id)?.until
    }

    /// Keeps an entry that is missing from the store until a time.
    pub fn hold(&mut self, id: &str, until: Duration) {
        if let Some(it) = self.known.get_mut(id) {
            it.until = Some(until);
        }
    }

    /// Returns whether an entry did not come back in time.
    pub fn has_late(&self, now: Duration) -> bool {
        self.known.values().any(|it| it.is_late(now))
    }

    /// Removes entries that did not come back in time; returns their ids.
    pub fn expire(&mut self, now: Duration) -> Vec<String> {
        let late = self.known.iter().filter(|it| it.1.is_late(now));
        let gone: Vec<String> = late.map(|it| it.0.clone()).collect();
        self.known.retain(|_, it| !it.is_late(now));
        gone
    }

    /// Returns every upstream.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.known.values().map(|it| &it.upstream)
    }

    /// Returns the upstreams that take new requests.
    pub fn ready(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.all().filter(|it| it.entry.state == State::Ready)
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn set(&mut self, entry: Entry) {
        let hash = xxh3_64(entry.id.as_bytes());
        let id = entry.id.clone();
        let upstream = Arc::new(Upstream { hash, entry });
        self.known.insert(id, Known { upstream, until: None });
    }
}
