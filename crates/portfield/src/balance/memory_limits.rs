//! Which engines have memory left for a request.
//!
//! The load this answers: running requests that fill the engines' memory. An engine crashes if they
//! exceed it, and takes all of them with it. Four rules:
//!
//! - A request is sent only where its expected memory fits next to that of the running ones. What
//!   other hosts sent since their last digests is not known: the more of the free memory that may
//!   take, the fewer requests consider the engine. Without this, all hosts fill the same engine when
//!   it is the only one with room.
//! - Below [`LARGE_RATIO`] of the memory, small requests are sent only where the largest recent one
//!   would fit too. Otherwise small ones would fill the gaps, and large ones be refused far more
//!   often.
//! - Above that, a refused request reserves its home, an engine by the hash of its prompt, for a
//!   bounded time. This costs small requests a part of an eighth of the engines at most. Digests tell the reservation: other hosts send nothing else there, and a retry
//!   finds the same engine from whichever host it reaches.
//! - A stream that has begun may use the margin and reservations, but never exceeds the memory.

use std::{borrow::Cow, time::Duration};

use super::{
    Balancer,
    capacity::EngineRoom,
    placement::{Assignment, Candidate, Completion, Placement, PlacementRequest, Refusal, Stage},
    scoring::{from_millis, hash_rank},
};
use crate::{
    fast_map::FastMap,
    ids::RunId,
    upstream::{Prompt, RouteOutputs, UpstreamState, UpstreamTable, announced_output},
    wire,
};

/// Part of the memory from which on a request counts as large: room for it is not kept free at every
/// engine, but reserved at one.
const LARGE_RATIO: f64 = 0.25;
/// Part of the memory that is left free for outputs longer than expected.
const BASE_MARGIN: f64 = 0.07;
/// Factor on the tokens that other hosts may have sent to an engine unseen. With 2, one simulated load
/// in ten near the limit overcommitted an engine, and used 64 % of the memory instead of 62 %.
const RUSH_FACTOR: f64 = 2.5;
/// Time that a digest takes from the sender's count to this host's, in addition to its age: the
/// sender's and this host's timers fire up to 100 ms late under load.
const DIGEST_LATENESS: Duration = Duration::from_millis(100);
/// Shortest time over which the tokens asked for are averaged: the first requests arrive in no time.
const MIN_ASKED_TIME: Duration = Duration::from_millis(500);
/// Mean time of a request before any was observed, in milliseconds.
const INITIAL_TIME: f64 = 1000.0;
/// Time over which the largest request of a service counts.
const SIZE_PERIOD: Duration = Duration::from_secs(10);
/// Part of a request's output beyond the expected one that it is taken to produce once it has
/// exceeded that.
const OVERRUN_RATIO: f64 = 0.25;
/// A reservation lasts for this many mean times of a request, within bounds: as long as running
/// requests need to end, and a caller to retry.
const RESERVATION_TIMES: f64 = 3.0;
const RESERVATION_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(4));
/// Engines for each one that may be reserved at a time, by all hosts together.
const ENGINES_PER_RESERVATION: usize = 8;
/// Part of a reservation by which the memory in use must grow for the request to have arrived: other
/// hosts may expect a little less output of it.
const ARRIVED_RATIO: f64 = 0.8;
/// Shortest and longest time after which a caller refused for lack of memory is told to retry.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The largest memory that requests of a service needed of late: the maxima of this period and of
/// the one before.
#[derive(Debug, Clone, Copy, Default)]
struct LargestNeed {
    current: f64,
    previous: f64,
    since: Duration,
}

impl LargestNeed {
    /// Records a need and returns the largest one.
    fn record(&mut self, now: Duration, need: f64) -> f64 {
        if self.since + SIZE_PERIOD <= now {
            let is_recent = now < self.since + SIZE_PERIOD * 2;
            self.previous = if is_recent { self.current } else { 0.0 };
            self.current = 0.0;
            self.since = now;
        }
        self.current = self.current.max(need);
        self.current.max(self.previous)
    }
}

/// An engine that this host keeps free of small requests.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    upstream: u32,
    tokens: f64,
    until: Duration,
    /// Least memory of the requests that ran there since.
    least_running: f64,
}

/// Memory of one running request.
#[derive(Debug, Clone, Copy)]
struct RunMemory {
    upstream: u32,
    route: u32,
    prompt: f64,
    max_output: f64,
    /// Output that the caller announced.
    announced: u32,
    event_tokens: u32,
    /// Tokens counted at the upstream.
    tokens: f64,
    /// Output so far.
    produced: u64,
}

/// What is known of the memory that requests need.
#[derive(Debug, Default)]
pub(super) struct MemoryLimits {
    outputs: RouteOutputs,
    largest: FastMap<u32, LargestNeed>,
    runs: FastMap<RunId, RunMemory>,
    reservation: Option<Reservation>,
    /// Time of the first request.
    first_asked: Option<Duration>,
    /// Requests refused for lack of memory, and reservations made, since the last call of
    /// `take_counts`.
    counts: MemoryCounts,
}

/// Decisions on memory since they were last taken, for logs and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemoryCounts {
    /// Requests refused since no engine had room.
    pub refused: u64,
    /// Requests refused since they exceed the memory of an engine.
    pub oversized: u64,
    /// Engines that were reserved for a large request.
    pub reserved: u64,
    /// Running requests that produced more than was expected of them.
    pub overruns: u64,
}

/// What all hosts' requests ask for, and a draw for this one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    /// Tokens asked for within the window.
    pub asked: f64,
    pub window: Duration,
    /// Mean time of a request of the service in milliseconds, if any was observed.
    pub mean_time: Option<f64>,
    pub random: u64,
}

/// What remains free at all upstreams with room for a request.
#[derive(Debug, Clone, Copy, Default)]
struct Spare {
    n_open: usize,
    tokens: f64,
}

/// The engine at which a large request reserves memory, the same at each host.
#[derive(Debug, Clone, Copy)]
struct Home {
    upstream: u32,
    /// Tokens to reserve: the prompt and the largest output, by which each host tells this request's
    /// reservation from that of another one.
    claim: f64,
}

impl Home {
    /// Returns whether a reservation of this many tokens at an upstream is for this request.
    fn owns(&self, upstream: u32, reserved: f64) -> bool {
        self.upstream == upstream && (reserved - self.claim).abs() < 1.0
    }
}

/// Room that one request needs at an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Room {
    /// Tokens that the request is expected to hold at its end.
    need: f64,
    /// Tokens that must be free, at least the need.
    free: f64,
    capacity: f64,
    /// Tokens that other hosts may have sent to all engines unseen.
    unseen: f64,
    mean_time: f64,
    stage: Stage,
    /// Differs with each request.
    random: u64,
    /// Where a large request may reserve memory.
    home: Option<Home>,
}

impl Room {
    fn is_large(&self) -> bool {
        is_large(self.need, self.capacity)
    }

    /// Returns how many tokens remain free at an upstream besides the room that the request needs;
    /// negative if it does not fit.
    fn spare(&self, upstream: u32, state: Option<&UpstreamState>) -> f64 {
        let memory = state.map(|it| it.own.memory.plus(it.peers.memory)).unwrap_or_default();
        if self.stage != Stage::New {
            return self.capacity - memory.running - self.need;
        }
        let is_own = self.home.is_some_and(|it| it.owns(upstream, memory.reserved));
        let reserved = if is_own { 0.0 } else { memory.reserved };
        let used = memory.running + reserved;
        let spare = self.capacity * (1.0 - BASE_MARGIN) - used - self.free;
        // An engine without requests takes all that it can hold.
        let is_empty = used < 1.0 && state.is_none_or(|it| it.total().running < 1.0);
        if is_empty { spare.max(self.capacity - self.need) } else { spare }
    }

    /// Returns whether the request considers an upstream with this much to spare; `sum` is over all
    /// upstreams with room.
    fn considers(&self, it: &Candidate, spare: f64, sum: Spare, upstreams: &UpstreamTable) -> bool {
        if spare < 0.0 {
            return false;
        }
        let part = (spare / sum.tokens.max(1.0)).max(1.0 / sum.n_open as f64);
        let rush = self.unseen * part * RUSH_FACTOR;
        let is_own = |home: Home| home.owns(it.upstream, reserved_at(upstreams, it.upstream));
        if rush <= spare || self.home.is_some_and(is_own) || self.stage != Stage::New {
            return true;
        }
        let draw = hash_rank(self.random, it.upstream);
        (draw as f64) < u64::MAX as f64 * (spare / rush).powi(2)
    }

    /// Returns the candidates with room for the request; none if all of them are closed for now, but
    /// another one is open.
    pub(super) fn fitting<'a>(
        &self,
        now: Duration,
        upstreams: &UpstreamTable,
        candidates: &'a [Candidate],
    ) -> Cow<'a, [Candidate]> {
        let spare: Vec<f64> = candidates
            .iter()
            .map(|it| self.spare(it.upstream, upstreams.get(it.upstream)))
            .collect();
        let open = spare.iter().filter(|it| 0.0 <= **it);
        let sum = open.fold(Spare::default(), |sum, it| Spare {
            n_open: sum.n_open + 1,
            tokens: sum.tokens + it,
        });
        let considered = candidates.iter().zip(&spare);
        let considered =
            considered.filter(|(it, spare)| self.considers(it, **spare, sum, upstreams));
        let res: Vec<Candidate> = considered.map(|it| *it.0).collect();
        if res.len() == candidates.len() {
            return candidates.into();
        }
        let is_open =
            |it: &Candidate| !upstreams.get(it.upstream).is_some_and(|it| it.is_closed(now));
        if !res.iter().any(is_open) && candidates.iter().any(is_open) {
            return Cow::Owned(Vec::new());
        }
        res.into()
    }

    /// Returns the refusal of a request that fits nowhere, with the time in which enough of the
    /// running requests should have ended at one of the candidates.
    pub(super) fn refuse(
        &self,
        now: Duration,
        upstreams: &UpstreamTable,
        candidates: &[Candidate],
    ) -> Placement {
        let states =
            candidates.iter().filter_map(|it| Some((it.upstream, upstreams.get(it.upstream)?)));
        let wait = |(id, it): (u32, &UpstreamState)| {
            let running = (it.own.memory.running + it.peers.memory.running).max(1.0);
            -self.spare(id, Some(it)).min(0.0) / running * self.mean_time
        };
        let open = states.filter(|it| !it.1.is_closed(now));
        let shortest = open.map(wait).min_by(f64::total_cmp).unwrap_or(f64::INFINITY);
        let fits_idle = self.need <= self.capacity;
        let shortest = if fits_idle { shortest.min(1e6) } else { 1e6 };
        let retry_after = from_millis(shortest).clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
        Placement::Refuse {
            reason: Refusal::Memory,
            retry_after,
            estimate: retry_after,
            share_ratio: 0.0,
            room: EngineRoom::default(),
            invited: None,
        }
    }
}

impl MemoryLimits {
    /// Returns the room that a request needs; `None` if it does not run on an engine.
    pub(super) fn room(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        upstreams: &UpstreamTable,
        Demand { asked, window, mean_time, random }: Demand,
        candidates: &[Candidate],
    ) -> Option<Room> {
        let (prompt, engine) = (request.prompt.as_ref()?, request.engine?);
        let capacity = engine.kv_capacity as f64;
        let need = f64::from(prompt.input_tokens) + self.outputs.expected(request.route, prompt);
        let is_large = is_large(need, capacity);
        let free = if is_large {
            need
        } else {
            self.largest.entry(request.service).or_default().record(now, need)
        };
        let mean_time = mean_time.unwrap_or(INITIAL_TIME).max(1.0);
        let late = |age| age + upstreams.digest_period() + DIGEST_LATENESS;
        let unseen_time = upstreams.mean_digest_age(now).map(late).unwrap_or_default();
        let since = *self.first_asked.get_or_insert(now);
        // Just after a start, the window is longer than the time for which requests are counted.
        let time = window.min(now.saturating_sub(since)).max(MIN_ASKED_TIME);
        let unseen = asked * unseen_time.as_secs_f64() / time.as_secs_f64();
        let claim = f64::from(prompt.input_tokens) + f64::from(prompt.max_output_tokens);
        let highest =
            || candidates.iter().map(|it| it.upstream).max_by_key(|it| home_rank(prompt, *it));
        let home = if is_large { highest() } else { None };
        let home = home.map(|upstream| Home { upstream, claim: claim.min(capacity) });
        Some(Room { need, free, capacity, unseen, mean_time, stage: request.stage, random, home })
    }

    /// Counts the refusal of a request, and reserves an engine if the request is large.
    pub(super) fn record_refusal(
        &mut self,
        now: Duration,
        room: &Room,
        upstreams: &mut UpstreamTable,
        candidates: &[Candidate],
    ) {
        if room.capacity < room.need {
            self.counts.oversized += 1;
            return;
        }
        self.counts.refused += 1;
        self.expire_reservation(now, upstreams);
        if !room.is_large() || room.stage != Stage::New || self.reservation.is_some() {
            return;
        }
        let n_reserved =
            candidates.iter().filter(|it| 1.0 <= reserved_at(upstreams, it.upstream)).count();
        let is_closed = |it: u32| upstreams.get(it).is_some_and(|it| it.is_closed(now));
        let Some(home) = room.home.filter(|it| !is_closed(it.upstream)) else { return };
        let Home { upstream, claim } = home;
        let limit = candidates.len().div_ceil(ENGINES_PER_RESERVATION);
        if 1.0 <= reserved_at(upstreams, upstream) || limit <= n_reserved {
            return;
        }
        let time = from_millis(room.mean_time * RESERVATION_TIMES)
            .clamp(RESERVATION_BOUNDS.0, RESERVATION_BOUNDS.1);
        upstreams.entry(upstream).own.memory.reserved = claim;
        self.reservation = Some(Reservation {
            upstream,
            tokens: claim,
            until: now + time,
            least_running: f64::INFINITY,
        });
        self.counts.reserved += 1;
    }

    /// Ends the reservation once its time is over, or the request has arrived there by way of another
    /// host.
    pub(super) fn expire_reservation(&mut self, now: Duration, upstreams: &mut UpstreamTable) {
        let Some(it) = &mut self.reservation else { return };
        let state = upstreams.entry(it.upstream);
        let running = state.own.memory.plus(state.peers.memory).running;
        it.least_running = it.least_running.min(running);
        let has_arrived = it.least_running + it.tokens * ARRIVED_RATIO <= running;
        if has_arrived || it.until <= now {
            state.own.memory.reserved = 0.0;
            self.reservation = None;
        }
    }

    /// Counts the memory of a request that is sent to an upstream.
    pub(super) fn record_start(
        &mut self,
        id: RunId,
        request: &PlacementRequest,
        assignment: &Assignment,
        upstreams: &mut UpstreamTable,
    ) {
        let (Some(prompt), Some(engine)) = (&request.prompt, request.engine) else { return };
        let upstream = assignment.upstream;
        let input = f64::from(prompt.input_tokens);
        let tokens = input + self.outputs.expected(request.route, prompt);
        upstreams.entry(upstream).own.memory.running += tokens;
        if is_large(tokens, engine.kv_capacity as f64)
            && let Some(it) = &mut self.reservation
            && it.upstream == upstream
        {
            it.until = Duration::ZERO;
            self.expire_reservation(Duration::ZERO, upstreams);
        }
        let run = RunMemory {
            upstream,
            route: request.route,
            prompt: input,
            max_output: f64::from(prompt.max_output_tokens),
            announced: announced_output(prompt),
            event_tokens: engine.event_tokens,
            tokens,
            produced: 0,
        };
        self.runs.insert(id, run);
    }

    /// Records how many events a running request has produced, and counts more memory if that is
    /// more than expected.
    pub(super) fn record_output(
        &mut self,
        id: RunId,
        n_events: u64,
        upstreams: &mut UpstreamTable,
    ) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        run.produced = n_events * u64::from(run.event_tokens);
        let produced = run.produced as f64;
        if run.prompt + produced <= run.tokens {
            return;
        }
        let output = (produced * (1.0 + OVERRUN_RATIO)).min(run.max_output).max(produced);
        let grown = run.prompt + output - run.tokens;
        run.tokens += grown;
        upstreams.entry(run.upstream).own.memory.running += grown;
        self.counts.overruns += 1;
    }

    /// Releases the memory of a request and, if it was completed, learns from its output.
    pub(super) fn record_end(
        &mut self,
        id: RunId,
        completion: Completion,
        upstreams: &mut UpstreamTable,
    ) {
        let Some(run) = self.runs.remove(&id) else { return };
        let memory = &mut upstreams.entry(run.upstream).own.memory;
        memory.running = (memory.running - run.tokens).max(0.0);
        if completion == Completion::Done && 0 < run.produced {
            self.outputs.record(run.route, run.announced, run.produced);
        }
    }

    /// Writes the output of the routes' requests into a digest.
    pub(super) fn fill_digest(&mut self, digest: &mut wire::Digest) {
        digest.outputs = self.outputs.take_changed();
    }

    /// Writes the output of the routes' requests at all hosts of this data centre into a summary.
    pub(super) fn fill_summary(&self, digest: &mut wire::Digest) {
        digest.outputs = self.outputs.summary();
    }

    /// Merges what another host tells of the routes' output.
    pub(super) fn merge_digest(&mut self, digest: &wire::Digest) {
        self.outputs.merge(digest);
    }

    /// Takes the counts of decisions.
    pub(super) fn take_counts(&mut self) -> MemoryCounts {
        std::mem::take(&mut self.counts)
    }
}

/// Returns whether a request needs so much of an engine's memory that room is reserved for it.
fn is_large(need: f64, capacity: f64) -> bool {
    capacity * LARGE_RATIO < need
}

/// Returns the tokens that are reserved at an upstream, by any host.
fn reserved_at(upstreams: &UpstreamTable, upstream: u32) -> f64 {
    upstreams.get(upstream).map_or(0.0, |it| it.total().memory.reserved)
}

/// Ranks upstreams for a prompt, at all hosts alike; the highest is its home.
fn home_rank(prompt: &Prompt, upstream: u32) -> u64 {
    let last = prompt.parts.last().map_or(0, |it| it.id);
    hash_rank(last, upstream)
}

impl Balancer {
    /// Returns the room that a request needs in an engine's memory; `None` if memory is not limited.
    pub(super) fn memory_room(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        random: u64,
        candidates: &[Candidate],
    ) -> Option<Room> {
        if !self.options.memory_limits.is_on() {
            return None;
        }
        let mean_time = self.mean_time(now, request);
        let (asked, window) = self.shares.asked();
        let demand = Demand { asked, window, mean_time, random };
        self.memory.room(now, request, &self.upstreams, demand, candidates)
    }

    /// Records how many events of a stream have arrived, from all upstreams that served it.
    pub fn record_output(&mut self, id: RunId, n_events: u64) {
        self.memory.record_output(id, n_events, &mut self.upstreams);
    }

    /// Takes the number of decisions on the engines' memory since the last call.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::{Balancer, MemoryCounts};
    /// use std::time::Duration;
    ///
    /// let mut balancer = Balancer::new(Duration::from_secs(4));
    /// assert_eq!(balancer.take_memory_counts(), MemoryCounts::default());
    /// ```
    pub fn take_memory_counts(&mut self) -> MemoryCounts {
        self.memory.take_counts()
    }
}
