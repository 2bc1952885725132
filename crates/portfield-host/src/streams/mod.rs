//! Where streams began: what this host knows, tells the others and asks them.

mod news;
mod resolve;
mod tell;

use std::{collections::BTreeMap, time::Duration};

use portfield::{
    catalog::RouteKind,
    streams::{BegunStreams, OriginQuery, StreamKey, StreamKnowledge, StreamOrigins},
};
use portfield_net::clock;

pub(crate) use self::{
    news::handle_news,
    resolve::resolve_origin,
    tell::{record_begun, tell_untold},
};

use crate::{call::Call, state::Host};

/// Streams of which a host remembers where they began, some 2 MB: at 100 new ones a second and told to
/// four other hosts each, those of half a minute.
const MAX_STREAMS: usize = 16_384;
/// Streams of this host that it tells hosts which start later, at most.
const MAX_BEGUN: usize = 4_096;
/// Multiple of a route's timeout for which its streams may be resumed: a caller's attempts share one
/// deadline, and the last one may take as long as the first.
const VALIDITY_FACTOR: u32 = 2;

/// Identifies a question: its stream and a number, as several requests may resume one stream.
type QueryId = (StreamKey, u64);

/// What a host knows of streams that may be resumed.
#[derive(Debug)]
pub(crate) struct Streams {
    origins: StreamOrigins,
    /// Streams that began at this host.
    begun: BegunStreams,
    /// Hash of the hosts that ran when it was last checked whether they were told of all streams.
    checked_hosts: u64,
    /// Questions to other hosts that wait for answers.
    queries: BTreeMap<QueryId, OriginQuery>,
    last_query: u64,
}

impl Default for Streams {
    fn default() -> Self {
        Self {
            origins: StreamOrigins::new(MAX_STREAMS),
            begun: BegunStreams::new(MAX_BEGUN),
            checked_hosts: 0,
            queries: BTreeMap::new(),
            last_query: 0,
        }
    }
}

impl Streams {
    /// Returns the number of streams of which this host knows where they began.
    pub(crate) fn n_known(&self) -> usize {
        self.origins.len()
    }

    /// Returns how many streams were forgotten for want of room.
    pub(crate) fn n_evicted(&self) -> u64 {
        self.origins.n_evicted()
    }
}

/// Returns the time for which streams of a call's route may be resumed.
///
/// Those that began under an earlier configuration may have had more time, and a host that has just started
/// knows the present one only.
fn window(host: &Host, call: &Call) -> Duration {
    (call.route.timeout * VALIDITY_FACTOR).max(host.settings().resume_window)
}

/// Returns the key of the stream that a call begins or resumes; `None` if it cannot be resumed, or
/// its caller does not name it.
fn stream_key(call: &Call) -> Option<StreamKey> {
    if call.kind() != RouteKind::ResumableStream {
        return None;
    }
    let id = if call.resumption.is_some() { call.first_attempt() } else { &call.id };
    (!id.is_empty()).then(|| StreamKey::new(call.placement.workspace, id))
}

/// Returns whether this host knows where the stream began that a caller resumes.
pub(crate) fn is_known(host: &Host, workspace: u32, first_attempt: &str) -> bool {
    let key = StreamKey::new(workspace, first_attempt);
    matches!(host.streams().origins.get(clock::now(), key), StreamKnowledge::Known(_))
}
