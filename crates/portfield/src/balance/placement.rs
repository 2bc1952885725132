//! Input and output of a placement decision.

use std::time::Duration;

use super::capacity::EngineRoom;
use crate::{catalog::EngineSpec, upstream::Prompt};

/// Time of earlier attempts above which a caller comes back after a refusal: less is what callers
/// lose between reckoning their deadline and sending.
const MIN_EARLIER: Duration = Duration::from_millis(20);

/// An upstream that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Wire id of the upstream.
    pub upstream: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is in this host's data centre.
    pub is_local: bool,
}

/// Progress of a request when it is placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Stage {
    /// The caller has received nothing yet.
    #[default]
    New,
    /// The caller has received part of a stream, which is continued however long it has to wait.
    Streaming,
    /// The caller has received part of a stream at an earlier attempt, and resumes it. It is continued if that
    /// is possible in the caller's time, before new requests: refused, what the caller has would be lost.
    Resumed,
}

/// A request to be placed.
#[derive(Debug, Clone, Default)]
pub struct PlacementRequest {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the route's name.
    pub route: u32,
    /// The prompt, for services that run on engines.
    pub prompt: Option<Prompt>,
    /// Latency objective: time to the first event, or to the response of a plain service.
    pub objective: Duration,
    /// Time that this attempt of the caller has waited so far.
    pub waited: Duration,
    /// Time that the caller's earlier attempts took: the route's timeout less the time that it still
    /// waits.
    pub earlier: Duration,
    /// Time that the caller waits for the whole response, from the arrival of this attempt; zero if
    /// unknown.
    pub patience: Duration,
    /// Progress of the request.
    pub stage: Stage,
    /// Specification of the engines, for services that run on them.
    pub engine: Option<EngineSpec>,
}

impl PlacementRequest {
    /// Returns the cost charged to the workspace's share, in tokens; zero without a prompt.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::{balance::PlacementRequest, upstream::Prompt};
    /// use std::time::Duration;
    ///
    /// let request = PlacementRequest {
    ///     workspace: 7,
    ///     service: 1,
    ///     prompt: Some(Prompt { input_tokens: 1_000, max_output_tokens: 50, ..Prompt::default() }),
    ///     objective: Duration::from_millis(800),
    ///     waited: Duration::ZERO,
    ///     ..PlacementRequest::default()
    /// };
    /// assert_eq!(request.token_cost(), 1_100.0);
    /// ```
    pub fn token_cost(&self) -> f64 {
        self.prompt.as_ref().map_or(0.0, Prompt::token_cost)
    }

    /// Returns whether the caller comes back after a refusal.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::PlacementRequest;
    /// use std::time::Duration;
    ///
    /// let earlier = Duration::from_millis(700);
    /// assert!(PlacementRequest { earlier, ..PlacementRequest::default() }.is_returning());
    /// assert!(!PlacementRequest::default().is_returning());
    /// ```
    pub fn is_returning(&self) -> bool {
        MIN_EARLIER < self.earlier
    }

    /// Returns the tokens of the part of the prompt that no other request shares.
    pub(super) fn own_tokens(&self) -> u32 {
        let Some(prompt) = &self.prompt else { return 0 };
        prompt.parts.last().map_or(prompt.input_tokens, |it| it.tokens)
    }
}

/// The upstream chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Assignment {
    /// Wire id of the upstream.
    pub upstream: u32,
    /// Estimated time to the first event, or to the response of a plain service.
    pub estimate: Duration,
    /// The part of the estimate that known requests do not explain: the recent underestimate.
    pub bias: Duration,
    /// Tokens of the prompt that the upstream has to read.
    pub uncached_tokens: u32,
    /// Tokens that it reads before them.
    pub queued_tokens: u32,
    /// What the workspace has used, as a multiple of its fair share; zero if there is no
    /// contention.
    pub share_ratio: f64,
    /// Where the upstream is to fetch cached parts of the prompt from, instead of reading them.
    pub fetch: Option<CacheFetch>,
}

impl Assignment {
    /// Returns the estimated time to the first event if the fetch brings nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::{Assignment, CacheFetch};
    /// use std::time::Duration;
    ///
    /// let millis = Duration::from_millis;
    /// let fetch = CacheFetch {
    ///     tokens: 5_000,
    ///     expected: 5_000,
    ///     time: millis(5),
    ///     prefill: millis(105),
    ///     ..CacheFetch::default()
    /// };
    /// let assignment = Assignment {
    ///     upstream: 1,
    ///     estimate: millis(60),
    ///     bias: Duration::ZERO,
    ///     uncached_tokens: 600,
    ///     queued_tokens: 0,
    ///     share_ratio: 0.0,
    ///     fetch: Some(fetch),
    /// };
    /// assert_eq!(assignment.estimate_without_fetch(), millis(160));
    /// ```
    pub fn estimate_without_fetch(&self) -> Duration {
        self.estimate + self.fetch.map_or(Duration::ZERO, |it| it.saved())
    }

    /// Returns the assignment with the tokens to be read that would have been fetched.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::{Assignment, CacheFetch};
    /// use std::time::Duration;
    ///
    /// let prefill = Duration::from_millis(100);
    /// let fetch = CacheFetch { tokens: 5_000, expected: 5_000, prefill, ..CacheFetch::default() };
    /// let assignment = Assignment {
    ///     upstream: 1,
    ///     estimate: Duration::from_millis(60),
    ///     bias: Duration::ZERO,
    ///     uncached_tokens: 600,
    ///     queued_tokens: 0,
    ///     share_ratio: 0.0,
    ///     fetch: Some(fetch),
    /// };
    /// let without = assignment.without_fetch();
    /// assert_eq!((without.uncached_tokens, without.fetch), (5_600, None));
    /// assert_eq!(without.estimate, Duration::from_millis(160));
    /// ```
    pub fn without_fetch(self) -> Self {
        Self {
            estimate: self.estimate_without_fetch(),
            uncached_tokens: self.uncached_tokens + self.fetch.map_or(0, |it| it.expected),
            fetch: None,
            ..self
        }
    }
}

/// A fetch of cached prompt parts from another upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CacheFetch {
    /// Wire id of the upstream that caches them.
    pub source: u32,
    /// Tokens to be fetched.
    pub tokens: u32,
    /// Tokens that count as fetched in estimates; the others count as prefilled.
    pub expected: u32,
    /// Estimated time of the fetch, after those that wait for the same links.
    pub time: Duration,
    /// Estimated time to prefill the tokens instead.
    pub prefill: Duration,
    /// What this host knows of the source.
    pub knowledge: SourceKnowledge,
    /// Tokens read into the source's memory since the last known use of the parts.
    pub age: u32,
    /// Hash of the prefix that ends with the first part to be fetched.
    pub part: u32,
}

impl CacheFetch {
    /// Returns the time by which the fetch shortens the estimate.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::CacheFetch;
    /// use std::time::Duration;
    ///
    /// let prefill = Duration::from_millis(100);
    /// let doubtful = CacheFetch { tokens: 5_000, prefill, ..CacheFetch::default() };
    /// assert_eq!(doubtful.saved(), Duration::ZERO);
    /// assert_eq!(CacheFetch { expected: 5_000, ..doubtful }.saved(), prefill);
    /// ```
    pub fn saved(&self) -> Duration {
        if self.expected == 0 { Duration::ZERO } else { self.prefill.saturating_sub(self.time) }
    }
}

/// What a host knows of the source of a fetch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SourceKnowledge {
    /// A first event has shown that it caches the parts.
    Cached,
    /// The parts were sent to it; it may not have prefilled them yet.
    Announced,
    /// Nothing, but all hosts prefer to cache the parts there.
    #[default]
    Home,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no upstream that can be used.
    NoUpstream,
    /// At every upstream the request would take too long.
    Busy,
    /// The workspace has used its share, and there is no spare capacity.
    Share,
    /// No engine has memory left for the request.
    Memory,
    /// The remaining upstreams asked this host to back off.
    Backoff,
}

/// Result of a placement decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// Send the request to this upstream.
    Send(Assignment),
    /// Refuse the request.
    Refuse {
        /// Why it is refused.
        reason: Refusal,
        /// Time after which a retry is worthwhile.
        retry_after: Duration,
        /// Estimated time to the first event, on which the refusal is based.
        estimate: Duration,
        /// What the workspace has used, as a multiple of its fair share; zero if there is no
        /// contention.
        share_ratio: f64,
        /// Room at the engines; zero without engines that may be used.
        room: EngineRoom,
        /// When this host expects room for the retry, if it has booked it.
        invited: Option<Duration>,
    },
}

/// How a request at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// Answered.
    Done,
    /// Answered with an error of the upstream.
    Error,
    /// Not run: the upstream was full, or has been replaced by another one.
    Rejected,
    /// Not run: the upstream asked this host to back off.
    BackoffRequested,
    /// Not sent: no connection could be opened.
    Unreachable,
    /// The connection broke, the response was malformed, or nothing arrived.
    Broken,
    /// The caller disconnected, or the time limit was reached.
    Cancelled,
}
