//! Estimated cost of a request at each upstream.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    admission::time_left_ms,
    placement::{Assignment, Candidate, PlacementRequest},
    shares::ShareStatus,
    unseen_load::UnseenDraw,
};
use crate::{
    catalog::EngineSpec,
    upstream::{
        EngineSpeeds, LatencyModel, Load, Prompt, PromptPrefix, Slowness, UpstreamState,
        UpstreamTable,
    },
};

/// Cost of reading a shared part again, in milliseconds per token, in addition to the reading time.
///
/// A part cached at a second engine displaces other prompts there.
const REREAD_COST: f64 = 0.1;
/// The same at the part's preferred upstream: if the part has to be read again, better there, and
/// it is often cached there without this host knowing.
const REREAD_COST_PREFERRED: f64 = 0.05;
/// Cost of an upstream that fails all requests, as a multiple of the objective.
const FAILURE_COST: f64 = 3.0;
/// Cost of each overdue request at an upstream, as a multiple of the objective.
const OVERDUE_COST: f64 = 2.0;
/// Time of a request at a plain service before any was observed, in milliseconds.
const INITIAL_PLAIN_TIME: f64 = 30.0;
/// Cost of another data centre, in milliseconds: traffic between data centres is paid for.
const REMOTE_COST: f64 = 3.0;

/// What a service's upstreams are scored with at one moment.
#[derive(Debug)]
pub(super) struct CostModel<'a> {
    pub now: Duration,
    pub upstreams: &'a UpstreamTable,
    pub speeds: &'a EngineSpeeds,
    pub latency: &'a LatencyModel,
    /// Mean time of a request, in milliseconds, if any was observed.
    pub mean_time: Option<f64>,
    /// Recent underestimate of the time to the first event, in milliseconds.
    pub bias: f64,
    /// The upstream at which all hosts prefer to cache the request's shared parts.
    pub preferred: Option<u32>,
    /// Ranks upstreams of equal cost.
    pub tie_break: TieBreak,
    /// Requests that this host has not heard of.
    pub unseen: UnseenDraw,
    /// Tokens of the request's shared parts.
    pub shared_tokens: u32,
}

/// How upstreams of equal cost are ranked.
///
/// In list order, all hosts of a data centre with the same knowledge would send their next request
/// to the same idle engine.
#[derive(Debug, Clone, Copy)]
pub(super) enum TieBreak {
    /// By the hash of the prompt's last shared part: all hosts choose the same next upstream for
    /// it.
    SharedPart(u32),
    /// By a random number drawn for this request.
    Random(u64),
}

impl TieBreak {
    /// Builds the tie-break for a prompt; `random` differs with each request.
    pub(super) fn new(prefixes: &[PromptPrefix], random: u64) -> Self {
        match prefixes {
            [.., part, _] => Self::SharedPart(part.hash),
            _ => Self::Random(random),
        }
    }

    /// Returns the upstream id from which on upstreams are scored where there are too many.
    pub(super) fn window_start(self) -> u32 {
        match self {
            // Hashed once more: the parts' hashes may not be spread evenly.
            Self::SharedPart(it) => xxh3_64_with_seed(&it.to_le_bytes(), 0) as u32,
            Self::Random(it) => it as u32,
        }
    }

    /// Returns an upstream's rank; the highest is chosen.
    pub(super) fn rank(self, upstream: u32) -> u64 {
        let seed = match self {
            Self::SharedPart(it) => u64::from(it),
            Self::Random(it) => it,
        };
        hash_rank(seed, upstream)
    }
}

/// One upstream, scored for a request.
#[derive(Debug, Clone)]
pub(super) struct ScoredUpstream {
    pub upstream: u32,
    pub times: Times,
    pub queued_tokens: u32,
    /// Time that it waits longer, in milliseconds, if other hosts have sent as many requests there as may
    /// be unseen.
    pub unseen_wait: f64,
    /// Total cost in milliseconds; the lowest is chosen.
    pub cost: f64,
    /// Decides between equal costs; the highest is chosen.
    pub rank: u64,
    /// An engine with an empty queue and a free slot.
    pub is_idle: bool,
    /// Part of an engine's slots that is free.
    pub free_slots: f64,
    /// Time that an engine needs for the unread tokens of known requests, in milliseconds.
    pub queue_ms: f64,
    /// No request may be sent to it until `opens_at`.
    pub is_blocked: bool,
    pub opens_at: Duration,
    /// It asked this host to back off.
    pub is_backing_off: bool,
}

/// Parts of a request's time to the first event at an upstream, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Times {
    /// Time spent waiting for other requests.
    pub wait: f64,
    /// Time spent on the request itself.
    pub processing: f64,
    /// The part of the wait that known requests do not explain.
    pub bias: f64,
    /// Tokens of the prompt that are not cached.
    pub uncached_tokens: u32,
}

/// The same parts at an engine of the service's speed.
#[derive(Debug, Clone, Copy)]
struct EngineTimes {
    /// Time to read the prompts of other requests.
    queue: f64,
    /// Time until one of them ends, if all slots are taken.
    slot_wait: f64,
    processing: f64,
    bias: f64,
    uncached_tokens: u32,
}

impl EngineTimes {
    /// Returns the times at an engine of another speed.
    fn at(&self, slowness: Slowness) -> Times {
        Times {
            wait: self.queue * slowness.prefill + self.slot_wait * slowness.decode + self.bias,
            processing: self.processing * slowness.prefill,
            bias: self.bias,
            uncached_tokens: self.uncached_tokens,
        }
    }
}

impl ScoredUpstream {
    /// Returns the estimated time to the first event, or to the response of a plain service.
    pub(super) fn estimate(&self) -> Duration {
        from_millis(self.times.wait + self.times.processing)
    }

    /// Returns the assignment of the request to this upstream.
    pub(super) fn assignment(&self, status: ShareStatus) -> Assignment {
        Assignment {
            upstream: self.upstream,
            estimate: self.estimate(),
            bias: from_millis(self.times.bias),
            uncached_tokens: self.times.uncached_tokens,
            queued_tokens: self.queued_tokens,
            share_ratio: status.share_ratio(),
            fetch: None,
        }
    }
}

impl CostModel<'_> {
    /// Scores one upstream for a request.
    pub(super) fn score(
        &self,
        request: &PlacementRequest,
        prefixes: &[PromptPrefix],
        it: &Candidate,
    ) -> ScoredUpstream {
        let empty = UpstreamState::default();
        let state = self.upstreams.get(it.upstream).unwrap_or(&empty);
        let slowness = self.speeds.slowness(it.upstream);
        let (times, priced) = match (&request.prompt, request.engine) {
            (Some(prompt), Some(engine)) => {
                let parts = self.engine_times(prompt, prefixes, engine, state);
                let times = parts.at(slowness);
                let is_in_time = || times.wait + times.processing <= time_left_ms(request);
                (times, parts.at(slowness.price(is_in_time)))
            }
            _ => {
                let times = self.plain_times(it.slots, state.total());
                (times, times)
            }
        };
        let last = prefixes.last().map_or(0, |it| it.tokens);
        let token_cost =
            if self.preferred == Some(it.upstream) { REREAD_COST_PREFERRED } else { REREAD_COST };
        let reread = f64::from(times.uncached_tokens.saturating_sub(last).min(self.shared_tokens))
            * token_cost;
        let failures = state.health.failure_rate(self.now) * FAILURE_COST
            + f64::from(state.n_overdue) * OVERDUE_COST;
        let remote = if it.is_local { 0.0 } else { REMOTE_COST };
        let unseen_wait = |n: f64| {
            let running = state.total().running;
            let wait =
                |engine| self.slot_wait(running + n, engine) - self.slot_wait(running, engine);
            request.engine.map_or(0.0, wait)
        };
        let most_unseen = unseen_wait(self.unseen.load.largest());
        // Most engines are far below their slots, where any number of unseen requests adds nothing.
        let drawn_unseen =
            if most_unseen == 0.0 { 0.0 } else { unseen_wait(self.unseen.at(it.upstream)) };
        let objective = request.objective.as_secs_f64() * 1000.0;
        ScoredUpstream {
            upstream: it.upstream,
            times,
            queued_tokens: state.total().pending as u32,
            unseen_wait: most_unseen,
            cost: priced.wait
                + priced.processing
                + reread
                + failures * objective
                + remote
                + drawn_unseen,
            rank: self.tie_break.rank(it.upstream),
            is_idle: request.engine.is_some_and(|it| is_idle(it, state)),
            free_slots: request.engine.map_or(0.0, |it| free_slots(it, state)),
            queue_ms: state.total().pending / self.latency.tokens_per_ms(),
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
    ) -> EngineTimes {
        let load = state.total();
        let rate = self.latency.tokens_per_ms();
        let uncached_tokens = prompt
            .input_tokens
            .saturating_sub(state.cache.cached_tokens(prefixes, engine.kv_capacity))
            .max(1);
        EngineTimes {
            queue: load.pending / rate,
            slot_wait: self.slot_wait(load.running, engine),
            processing: self.latency.predict(f64::from(uncached_tokens)),
            bias: self.bias,
            uncached_tokens,
        }
    }

    /// Returns the time until a slot is free at an engine that runs so many requests, in
    /// milliseconds.
    fn slot_wait(&self, running: f64, engine: EngineSpec) -> f64 {
        let slots = f64::from(engine.slots);
        let excess = (running - slots + 1.0).max(0.0);
        excess * self.mean_time.unwrap_or(0.0) / slots
    }

    fn plain_times(&self, slots: u32, load: Load) -> Times {
        let processing = self.mean_time.unwrap_or(INITIAL_PLAIN_TIME);
        let slots = f64::from(slots.max(1));
        let excess = (load.running - slots + 1.0).max(0.0);
        // The fraction of slots in use decides between upstreams with free slots.
        Times {
            wait: excess * processing / slots + load.running / slots,
            processing,
            bias: 0.0,
            uncached_tokens: 0,
        }
    }
}

/// Returns whether an engine has an empty queue and a free slot, as far as this host knows.
fn is_idle(engine: EngineSpec, state: &UpstreamState) -> bool {
    let load = state.total();
    load.pending < 1.0 && load.running < f64::from(engine.slots) && state.n_overdue == 0
}

/// Returns the part of an engine's slots that is free, as far as this host knows.
fn free_slots(engine: EngineSpec, state: &UpstreamState) -> f64 {
    (1.0 - state.total().running / f64::from(engine.slots.max(1))).max(0.0)
}

/// Returns the upstream with the lowest value of `f`; of equal ones the one with the highest rank.
pub(super) fn min_by_key(
    upstreams: impl Iterator<Item = ScoredUpstream>,
    f: impl Fn(&ScoredUpstream) -> f64,
) -> Option<ScoredUpstream> {
    upstreams.min_by(|a, b| f(a).total_cmp(&f(b)).then(b.rank.cmp(&a.rank)))
}

/// Ranks upstreams for a seed: hosts with the same seed rank them alike, and another seed ranks them
/// independently.
pub(super) fn hash_rank(seed: u64, upstream: u32) -> u64 {
    xxh3_64_with_seed(&seed.to_le_bytes(), u64::from(upstream))
}

/// Returns the number in 0..1 that the upper bits of a random one stand for.
pub(super) fn unit_interval(random: u64) -> f64 {
    (random >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns a duration of `value` milliseconds, zero if that is out of range.
pub(super) fn from_millis(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1000.0).unwrap_or(Duration::ZERO)
}

/// Returns the upstream at which all hosts prefer to cache a prompt's last shared part, by highest
/// rendezvous hash; `None` if no part is shared.
pub(super) fn preferred_upstream(
    tie_break: TieBreak,
    upstreams: impl Iterator<Item = u32>,
) -> Option<u32> {
    match tie_break {
        TieBreak::SharedPart(_) => upstreams.max_by_key(|it| tie_break.rank(*it)),
        TieBreak::Random(_) => None,
    }
}
