//! What each upstream would cost a request.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    latency_model::LatencyModel,
    placement::{Assignment, Candidate, PlacementRequest},
    prompt::{Prompt, PromptPrefix},
    shares::ShareStatus,
    upstream_table::{Load, UpstreamState, UpstreamTable},
};
use crate::catalog::EngineSpec;

/// What reading a shared part again costs beside its own time, in milliseconds a token.
///
/// A part that is read at a second engine is read there in place of others' prompts.
const REREAD_COST: f64 = 0.1;
/// The same at the upstream that hosts agree on for the part: it is read there rather than
/// elsewhere, and mostly is there already where this host does not know.
const REREAD_COST_PREFERRED: f64 = 0.05;
/// What an upstream that fails all requests costs, as a multiple of the objective.
const FAILURE_COST: f64 = 3.0;
/// What each overdue request adds to its upstream's cost, as a multiple of the objective.
const OVERDUE_COST: f64 = 2.0;
/// Time that a plain service takes before any was seen.
const INITIAL_PLAIN_TIME: f64 = 30.0;
/// What another data centre costs, in milliseconds: the bytes between them are paid for.
const REMOTE_COST: f64 = 3.0;

/// What is known of a service's upstreams at one moment.
#[derive(Debug)]
pub(super) struct CostModel<'a> {
    pub now: Duration,
    pub upstreams: &'a UpstreamTable,
    pub latency: &'a LatencyModel,
    /// Average time of a request, in milliseconds, if any was seen.
    pub mean_time: Option<f64>,
    /// What estimates fell short of lately, in milliseconds.
    pub bias: f64,
    /// The upstream that hosts agree on for the request's shared parts.
    pub preferred: Option<u32>,
    /// What the order of upstreams of equal cost follows from.
    pub tie_break: TieBreak,
    /// Tokens of the request's shared parts.
    pub shared_tokens: u32,
}

/// The order of upstreams among which nothing else decides.
///
/// In the order of the list every host of a data centre that has heard the same thing would send its next request to
/// the same idle engine.
#[derive(Debug, Clone, Copy)]
pub(super) enum TieBreak {
    /// That of the last shared part of a prompt: all hosts read it at the same next one.
    SharedPart(u32),
    /// One drawn for this request.
    Random(u64),
}

impl TieBreak {
    /// Returns the order for a prompt; `draw` is another number for each request.
    pub(super) fn new(prefixes: &[PromptPrefix], random: u64) -> Self {
        match prefixes {
            [.., part, _] => Self::SharedPart(part.hash),
            _ => Self::Random(random),
        }
    }

    /// Returns an upstream's rank; the highest goes first.
    pub(super) fn rank(self, upstream: u32) -> u64 {
        let number = match self {
            Self::SharedPart(it) => u64::from(it),
            Self::Random(it) => it,
        };
        xxh3_64_with_seed(&number.to_le_bytes(), u64::from(upstream))
    }
}

/// One upstream as a choice for a request.
#[derive(Debug, Clone)]
pub(super) struct ScoredUpstream {
    pub upstream: u32,
    pub times: Times,
    pub queued_tokens: u32,
    /// What the least of is chosen, in milliseconds.
    pub cost: f64,
    /// The highest of equal cost is chosen.
    pub rank: u64,
    /// An engine on which nothing waits, with a slot left.
    pub is_idle: bool,
    /// It is left alone until `opens`.
    pub is_blocked: bool,
    pub opens_at: Duration,
    /// It asked to be left alone.
    pub is_backing_off: bool,
}

/// What a request would take at an upstream, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Times {
    /// Behind others.
    pub wait: f64,
    /// For itself.
    pub processing: f64,
    /// The part of the wait that no host's requests explain.
    pub bias: f64,
    /// Tokens to read.
    pub uncached_tokens: u32,
}

impl ScoredUpstream {
    /// Returns the time to the first event, or the answer.
    pub(super) fn estimate(&self) -> Duration {
        from_millis(self.times.wait + self.times.processing)
    }

    /// Returns the placement at this upstream.
    pub(super) fn assignment(&self, status: ShareStatus) -> Assignment {
        Assignment {
            upstream: self.upstream,
            estimate: self.estimate(),
            bias: from_millis(self.times.bias),
            uncached_tokens: self.times.uncached_tokens,
            queued_tokens: self.queued_tokens,
            share_ratio: status.share_ratio(),
        }
    }
}

impl CostModel<'_> {
    /// Weighs one upstream.
    pub(super) fn score(
        &self,
        request: &PlacementRequest,
        prefixes: &[PromptPrefix],
        it: &Candidate,
    ) -> ScoredUpstream {
        let empty = UpstreamState::default();
        let state = self.upstreams.get(it.upstream).unwrap_or(&empty);
        let times = match (&request.prompt, request.engine) {
            (Some(prompt), Some(engine)) => self.engine_times(prompt, prefixes, engine, state),
            _ => self.plain_times(it.slots, state.total()),
        };
        let last = prefixes.last().map_or(0, |it| it.tokens);
        let token_cost =
            if self.preferred == Some(it.upstream) { REREAD_COST_PREFERRED } else { REREAD_COST };
        let reread = f64::from(times.uncached_tokens.saturating_sub(last).min(self.shared_tokens))
            * token_cost;
        let failures = state.health.failure_rate(self.now) * FAILURE_COST
            + f64::from(state.n_overdue) * OVERDUE_COST;
        let remote = if it.is_local { 0.0 } else { REMOTE_COST };
        let objective = request.objective.as_secs_f64() * 1000.0;
        ScoredUpstream {
            upstream: it.upstream,
            times,
            queued_tokens: state.total().pending as u32,
            cost: times.wait + times.processing + reread + failures * objective + remote,
            rank: self.tie_break.rank(it.upstream),
            is_idle: request.engine.is_some_and(|it| is_idle(it, state)),
            is_blocked: state.is_closed(self.now),
            opens_at: state.opens_at(self.now),
            is_backing_off: state.backoff.is_closed(self.now),
        }
    }

    fn engine_times(
        &self,
        prompt: &Prompt,
        prefixes: &[PromptPrefix],
        engine: EngineSpec,
        state: &UpstreamState,
    ) -> Times {
        let load = state.total();
        let rate = self.latency.tokens_per_ms();
        let uncached_tokens = prompt
            .input_tokens
            .saturating_sub(state.cache.cached_tokens(prefixes, engine.memory))
            .max(1);
        let slots = f64::from(engine.slots);
        let excess = (load.running - slots + 1.0).max(0.0);
        let slot_wait = excess * self.mean_time.unwrap_or(0.0) / slots;
        let wait = load.pending / rate + slot_wait + self.bias;
        Times {
            wait,
            processing: self.latency.predict(f64::from(uncached_tokens)),
            bias: self.bias,
            uncached_tokens,
        }
    }

    fn plain_times(&self, slots: u32, load: Load) -> Times {
        let processing = self.mean_time.unwrap_or(INITIAL_PLAIN_TIME);
        let slots = f64::from(slots.max(1));
        let excess = (load.running - slots + 1.0).max(0.0);
        // The share of its slots in use breaks the tie between upstreams with free ones.
        Times {
            wait: excess * processing / slots + load.running / slots,
            processing,
            bias: 0.0,
            uncached_tokens: 0,
        }
    }
}

/// Returns whether nothing waits at an engine and it has a slot left, as far as this host knows.
fn is_idle(engine: EngineSpec, state: &UpstreamState) -> bool {
    let load = state.total();
    load.pending < 1.0 && load.running < f64::from(engine.slots) && state.n_overdue == 0
}

/// Returns the choice with the least of something; of several the one of highest rank.
pub(super) fn min_by_key(
    upstreams: impl Iterator<Item = ScoredUpstream>,
    f: impl Fn(&ScoredUpstream) -> f64,
) -> Option<ScoredUpstream> {
    upstreams.min_by(|a, b| f(a).total_cmp(&f(b)).then(b.rank.cmp(&a.rank)))
}

/// Returns a time of so many milliseconds.
pub(super) fn from_millis(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1000.0).unwrap_or(Duration::ZERO)
}

/// Returns the upstream that hosts agree on for the last shared part of a prompt, by the highest
/// rendezvous hash; `None` where nothing is shared.
pub(super) fn preferred_upstream(
    tie_break: TieBreak,
    upstreams: impl Iterator<Item = u32>,
) -> Option<u32> {
    match tie_break {
        TieBreak::SharedPart(_) => upstreams.max_by_key(|it| tie_break.rank(*it)),
        TieBreak::Random(_) => None,
    }
}
