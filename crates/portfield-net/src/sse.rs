//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Terminator of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Buffers chunks of an event stream, which may end anywhere, and returns complete events.
///
/// # Examples
///
/// ```
/// use portfield_net::sse::EventBuffer;
///
/// let mut events = EventBuffer::default();
/// assert!(events.push(b"id: 1\ndata: a").is_empty());
/// assert_eq!(events.push(b"\n\nid: 2\n"), "id: 1\ndata: a\n\n");
/// assert_eq!((events.last_event_id(), events.count()), (Some("1"), 1));
/// assert_eq!(events.take_partial(), "id: 2\n");
/// ```
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<String>,
    n_events: u64,
}

impl EventBuffer {
    /// Appends a chunk and returns the bytes of all events that it completes, possibly none.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let end = self.partial.windows(EVENT_END.len()).rposition(|it| it == EVENT_END);
        let Some(end) = end else { return Bytes::new() };
        let complete = self.partial.split_to(end + EVENT_END.len()).freeze();
        self.record(&complete);
        complete
    }

    /// Like [`Self::push`], but copies nothing if the chunk consists of whole events, as most do.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield_net::sse::EventBuffer;
    ///
    /// let mut events = EventBuffer::default();
    /// assert_eq!(events.push_bytes("id: 1\ndata: a\n\n".into()), "id: 1\ndata: a\n\n");
    /// assert_eq!((events.last_event_id(), events.count()), (Some("1"), 1));
    /// assert!(events.push_bytes("id: 2\n".into()).is_empty());
    /// assert!(events.has_partial());
    /// ```
    pub fn push_bytes(&mut self, data: Bytes) -> Bytes {
        if self.has_partial() || !data.ends_with(EVENT_END) {
            return self.push(&data);
        }
        self.record(&data);
        data
    }

    fn record(&mut self, complete: &[u8]) {
        self.n_events += count_events(complete);
        if let Some(it) = last_id(complete) {
            self.last_id = Some(it);
        }
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the number of complete events so far.
    pub fn count(&self) -> u64 {
        self.n_events
    }

    /// Returns the number of bytes of the incomplete event.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the buffer holds the beginning of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Removes and returns the bytes of the incomplete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

fn count_events(events: &[u8]) -> u64 {
    events.windows(EVENT_END.len()).filter(|it| *it == EVENT_END).count() as u64
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let mut ids = text.lines().filter_map(|it| it.strip_prefix("id:"));
    ids.next_back().map(|it| it.trim().to_owned())
}
