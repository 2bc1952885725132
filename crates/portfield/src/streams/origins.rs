//! The streams of which a host knows where they began.

use std::{collections::VecDeque, time::Duration};

use super::{StreamKey, StreamOrigin};
use crate::fast_map::FastMap;

/// How a host knows where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// It relayed the stream itself.
    Own,
    /// Another host told it when the stream began.
    Told,
    /// It asked another host.
    Asked,
}

impl OriginSource {
    /// Returns the label used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Told => "told",
            Self::Asked => "asked",
        }
    }
}

/// Where a stream began, and how and since when that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownOrigin {
    /// Where it began.
    pub origin: StreamOrigin,
    /// How this is known.
    pub source: OriginSource,
    /// Since when.
    pub since: Duration,
}

/// What a host knows of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamKnowledge {
    /// Nothing.
    Unknown,
    /// Where it began.
    Known(KnownOrigin),
    /// Two streams with different origins have this key, so neither can be resumed.
    Conflicting,
}

/// The streams of which a host knows where they began, up to a number.
///
/// Where a stream began never changes, so that an entry stays true however old it is and whatever
/// else this host has missed since. When the table is full, the workspace with most entries loses its
/// oldest one: a workspace that begins streams in a flood displaces its own.
///
/// # Examples
///
/// ```
/// use portfield::streams::{OriginSource, StreamKey, StreamKnowledge, StreamOrigin, StreamOrigins};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let key = StreamKey::new(7, "r1");
/// let origin = StreamOrigin { service: 1, version: 10 };
/// let mut streams = StreamOrigins::new(1_000);
/// streams.record(second, key, origin, OriginSource::Own, second * 30);
/// assert!(matches!(streams.get(second * 2, key), StreamKnowledge::Known(it) if it.origin == origin));
/// assert_eq!(streams.get(second * 40, key), StreamKnowledge::Unknown, "no stream lasts so long");
/// let other = StreamOrigin { version: 11, ..origin };
/// streams.record(second * 2, key, other, OriginSource::Told, second * 30);
/// assert_eq!(streams.get(second * 2, key), StreamKnowledge::Conflicting);
/// ```
#[derive(Debug)]
pub struct StreamOrigins {
    capacity: usize,
    entries: FastMap<StreamKey, Entry>,
    /// Keys of each workspace, the oldest first.
    by_workspace: FastMap<u32, VecDeque<StreamKey>>,
    n_evicted: u64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    known: KnownOrigin,
    is_conflicting: bool,
    expires_at: Duration,
}

impl StreamOrigins {
    /// Creates a table of up to `capacity` streams.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: FastMap::default(),
            by_workspace: FastMap::default(),
            n_evicted: 0,
        }
    }

    /// Records where a stream began, for as long as it may be resumed.
    pub fn record(
        &mut self,
        now: Duration,
        key: StreamKey,
        origin: StreamOrigin,
        source: OriginSource,
        validity: Duration,
    ) {
        self.remove_expired(now, key.workspace);
        let expires_at = now + validity;
        if let Some(it) = self.entries.get_mut(&key) {
            it.is_conflicting |= it.known.origin != origin;
            it.expires_at = it.expires_at.max(expires_at);
            return;
        }
        if self.capacity <= self.entries.len() {
            self.evict();
        }
        let known = KnownOrigin { origin, source, since: now };
        self.entries.insert(key, Entry { known, is_conflicting: false, expires_at });
        self.by_workspace.entry(key.workspace).or_default().push_back(key);
    }

    /// Returns what is known of a stream.
    pub fn get(&self, now: Duration, key: StreamKey) -> StreamKnowledge {
        match self.entries.get(&key).filter(|it| now < it.expires_at) {
            None => StreamKnowledge::Unknown,
            Some(it) if it.is_conflicting => StreamKnowledge::Conflicting,
            Some(it) => StreamKnowledge::Known(it.known),
        }
    }

    /// Returns the number of streams in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many streams were removed before their time.
    pub fn n_evicted(&self) -> u64 {
        self.n_evicted
    }

    /// Removes the oldest streams of a workspace that have expired.
    fn remove_expired(&mut self, now: Duration, workspace: u32) {
        let Some(keys) = self.by_workspace.get_mut(&workspace) else { return };
        while let Some(key) = keys.front()
            && self.entries.get(key).is_none_or(|it| it.expires_at <= now)
        {
            self.entries.remove(key);
            keys.pop_front();
        }
    }

    fn evict(&mut self) {
        let largest = self.by_workspace.values_mut().max_by_key(|it| it.len());
        if let Some(key) = largest.and_then(VecDeque::pop_front) {
            self.entries.remove(&key);
            self.n_evicted += 1;
        }
        self.by_workspace.retain(|_, it| !it.is_empty());
    }
}
