//! Streams that began at this host, and the hosts that were told.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use super::{StreamKey, StreamOrigin};
use crate::gossip::StreamHolder;

/// A stream that began at this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BegunStream {
    /// Identifies the stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// Until when it may be resumed.
    pub expires_at: Duration,
}

/// The streams that began at this host, up to a number, and the hosts that were told of each.
///
/// A host that is told forgets it all when it restarts, and one that ends is replaced by the next one by rank. A
/// fleet whose hosts are restarted one after the other would so forget where its streams began, unless their
/// hosts tell it again.
///
/// # Examples
///
/// ```
/// use portfield::{
///     gossip::StreamHolder,
///     streams::{BegunStream, BegunStreams, StreamKey, StreamOrigin},
/// };
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let holder = |incarnation: u64| StreamHolder {
///     address: ([10, 1, 0, 1], 7400).into(),
///     heard: Some(incarnation),
///     relays: false,
/// };
/// let origin = StreamOrigin { service: 1, version: 10 };
/// let stream = BegunStream { key: StreamKey::new(7, "r1"), origin, expires_at: second * 30 };
/// let mut streams = BegunStreams::new(1_000);
/// streams.record(stream, &[holder(1)]);
/// assert!(streams.take_untold(second, |_| vec![holder(1)]).is_empty());
/// assert_eq!(streams.take_untold(second, |_| vec![holder(2)]), [(holder(2), stream)]);
/// ```
#[derive(Debug)]
pub struct BegunStreams {
    capacity: usize,
    /// The oldest first.
    entries: VecDeque<Entry>,
}

#[derive(Debug)]
struct Entry {
    stream: BegunStream,
    /// Addresses and incarnations of the hosts that were told.
    told: Vec<(SocketAddr, u64)>,
}

impl Entry {
    /// Returns whether a host was told. News to one that is not heard may be lost.
    fn is_told(&self, it: &StreamHolder) -> bool {
        it.heard.is_some_and(|incarnation| self.told.contains(&(it.address, incarnation)))
    }

    fn record_told(&mut self, it: &StreamHolder) {
        self.told.extend(it.heard.map(|incarnation| (it.address, incarnation)));
    }
}

impl BegunStreams {
    /// Creates a table of up to `capacity` streams.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, entries: VecDeque::new() }
    }

    /// Records a stream that begins now, of which these hosts are told.
    pub fn record(&mut self, stream: BegunStream, holders: &[StreamHolder]) {
        if self.capacity <= self.entries.len() {
            self.entries.pop_front();
        }
        let mut entry = Entry { stream, told: Vec::new() };
        holders.iter().for_each(|it| entry.record_told(it));
        self.entries.push_back(entry);
    }

    /// Returns the hosts that are to know streams and were not told yet, each with the stream, and counts them as
    /// told. `holders` returns the hosts that are to know a stream.
    pub fn take_untold(
        &mut self,
        now: Duration,
        holders: impl Fn(StreamKey) -> Vec<StreamHolder>,
    ) -> Vec<(StreamHolder, BegunStream)> {
        self.entries.retain(|it| now < it.stream.expires_at);
        let mut res = Vec::new();
        for entry in &mut self.entries {
            for it in holders(entry.stream.key) {
                if !entry.is_told(&it) {
                    entry.record_told(&it);
                    res.push((it, entry.stream));
                }
            }
        }
        res
    }
}
