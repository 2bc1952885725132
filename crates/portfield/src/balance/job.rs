//! What is asked of the balancer, and what it answers.

use std::time::Duration;

use super::prompt::Prompt;
use crate::catalog::EngineSpec;

/// An upstream that may take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its number.
    pub upstream: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It stands in this host's data centre.
    pub is_local: bool,
}

/// How far a request has come when it is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its caller has nothing of the answer yet.
    New,
    /// Its caller has the beginning of a stream: it goes on however long it waits.
    Streaming,
}

/// A request to be placed.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Who asks: hash of the workspace's name.
    pub workspace: u32,
    /// Service that it goes to: hash of its name.
    pub service: u32,
    /// The prompt, for engines.
    pub prompt: Option<Prompt>,
    /// Time to the first event, or the answer, that the caller is content with.
    pub objective: Duration,
    /// How long it has waited.
    pub waited: Duration,
    /// How far it has come.
    pub stage: Stage,
    /// Figures of the engines, for those.
    pub engine: Option<EngineSpec>,
}

impl PlacementRequest {
    /// Returns what the request counts in its workspace's share, in tokens; nothing without a prompt.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::{PlacementRequest, Prompt, Stage};
    /// use std::time::Duration;
    ///
    /// let request = PlacementRequest {
    ///     workspace: 7,
    ///     service: 1,
    ///     prompt: Some(Prompt { input_tokens: 1_000, max_output_tokens: 50, ..Prompt::default() }),
    ///     objective: Duration::from_millis(800),
    ///     waited: Duration::ZERO,
    ///     stage: Stage::New,
    ///     engine: None,
    /// };
    /// assert_eq!(request.token_cost(), 1_100.0);
    /// ```
    pub fn token_cost(&self) -> f64 {
        self.prompt.as_ref().map_or(0.0, Prompt::token_cost)
    }
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Assignment {
    /// The upstream.
    pub upstream: u32,
    /// Estimated time to the first event, or the answer.
    pub estimate: Duration,
    /// The part of it that no host's requests explain: what estimates fell short of lately.
    pub bias: Duration,
    /// Tokens that the upstream has to read.
    pub uncached_tokens: u32,
    /// Tokens ahead of them.
    pub queued_tokens: u32,
    /// What its workspace has had, as a multiple of its share; zero where there is plenty.
    pub share_ratio: f64,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream of the service is known or left.
    NoUpstream,
    /// All upstreams would take too long.
    Busy,
    /// The workspace has had its share, and there is no capacity to spare.
    Share,
    /// Those that are left asked this host to be left alone.
    Backoff,
}

/// What became of placing a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// It goes there.
    Send(Assignment),
    /// It is refused; worth asking again after the time given.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When to come back.
        retry_after: Duration,
        /// The estimate that decided.
        estimate: Duration,
        /// What its workspace has had, as a multiple of its share; zero where there is plenty.
        share_ratio: f64,
    },
}

/// How a request ended at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// Answered.
    Done,
    /// Answered with an error of the upstream's own.
    Error,
    /// Not run: the upstream was full or another one.
    Rejected,
    /// Not run: the upstream asked to be left alone for a while.
    BackoffRequested,
    /// Nothing could be sent.
    Unreachable,
    /// The connection broke, the answer was not one, or nothing came.
    Broken,
    /// The caller left or the time was up.
    Cancelled,
}
