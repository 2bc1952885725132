//! Checks of streams that callers resume: events of one software version, whole and in order over all attempts, and
//! resumed as often as new streams begin.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Resumed streams from which on the share that goes on is judged.
const MIN_RESUMED: usize = 12;
/// Least share of resumed streams that go on, as a part of the share of new streams that begin.
const MIN_PART: f64 = 0.5;

/// Attempt of a caller on a stream.
#[derive(Debug, Clone)]
pub struct StreamAttempt {
    /// Id of the attempt that brought the first event; the attempt's own for a new stream.
    pub first_attempt: String,
    /// Last event that the caller had before, zero for a new stream.
    pub last_event: u32,
    pub sent: Duration,
    /// Ids and software versions of the events that it got, in their order.
    pub events: Vec<(u32, String)>,
    pub is_complete: bool,
    /// Events of the whole stream.
    pub n_events: u32,
    /// Whether its host is to serve it: it was not killed, stopped or started shortly before.
    pub is_judged: bool,
}

impl StreamAttempt {
    fn is_new(&self) -> bool {
        self.last_event == 0
    }
}

/// Streams that were begun and resumed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub n_new: usize,
    pub n_begun: usize,
    /// Resumed while two upstreams of their version served.
    pub n_resumed: usize,
    pub n_continued: usize,
    /// All that were resumed, and of them those that went on.
    pub n_all_resumed: usize,
    pub n_all_continued: usize,
}

/// Describes streams with events of two versions, or that miss or repeat an event.
pub fn find_violations(attempts: &[StreamAttempt]) -> Vec<String> {
    let mut streams: BTreeMap<&str, Vec<&StreamAttempt>> = BTreeMap::new();
    for it in attempts {
        streams.entry(&it.first_attempt).or_default().push(it);
    }
    let mut res = Vec::new();
    for (id, mut attempts) in streams {
        attempts.sort_by_key(|it| it.sent);
        let events = || attempts.iter().flat_map(|it| &it.events);
        let versions: BTreeSet<&str> = events().map(|it| it.1.as_str()).collect();
        if 1 < versions.len() {
            res.push(format!("stream {id} has events of the versions {versions:?}"));
        }
        let ids: Vec<u32> = events().map(|it| it.0).collect();
        if !ids.iter().copied().eq(1..=ids.len() as u32) {
            res.push(format!("stream {id} has the events {ids:?}"));
        }
        let is_short = |it: &StreamAttempt| it.is_complete && ids.len() as u32 != it.n_events;
        if attempts.iter().any(|it| is_short(it)) {
            res.push(format!("stream {id} ended as complete after {} events", ids.len()));
        }
    }
    res
}

/// Counts the streams that began and went on; `n_serving` returns how many upstreams of a version served at a time.
pub fn count(attempts: &[StreamAttempt], n_serving: impl Fn(&str, Duration) -> usize) -> Counts {
    let mut versions: BTreeMap<&str, &str> = BTreeMap::new();
    for it in attempts.iter().filter(|it| it.is_new()) {
        if let Some((_, version)) = it.events.first() {
            versions.insert(&it.first_attempt, version);
        }
    }
    let mut res = Counts::default();
    for it in attempts.iter().filter(|it| it.is_judged) {
        let has_events = !it.events.is_empty();
        if it.is_new() {
            res.n_new += 1;
            res.n_begun += usize::from(has_events);
            continue;
        }
        res.n_all_resumed += 1;
        res.n_all_continued += usize::from(has_events);
        let version = versions.get(it.first_attempt.as_str());
        if version.is_some_and(|version| 2 <= n_serving(version, it.sent)) {
            res.n_resumed += 1;
            res.n_continued += usize::from(has_events);
        }
    }
    res
}

/// Describes resumed streams that go on far less often than new ones begin.
pub fn find_lost(it: Counts) -> Option<String> {
    let share = |n: usize, of: usize| n as f64 / of.max(1) as f64;
    let is_lost = MIN_RESUMED <= it.n_resumed
        && share(it.n_continued, it.n_resumed) < MIN_PART * share(it.n_begun, it.n_new);
    is_lost.then(|| format!("resumed streams are lost: {it:?}"))
}
