//! The balancer: chooses an upstream for each request, or refuses it.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::{
    admission::{CapacityLimits, max_wait_ms, time_left_ms},
    cache_transfer::{FetchOutcome, FetchReport, FetchWatch, PausedSources},
    capacity::{EngineRoom, RoomMeter},
    engine_speed::FirstEvent,
    hedge::HedgeTimes,
    invitations::Invitations,
    kinds::Kinds,
    memory_limits::MemoryLimits,
    options::BalancerOptions,
    placement::{Assignment, Candidate, Completion, Placement, PlacementRequest, Refusal},
    scoring::{CostModel, ScoredUpstream, TieBreak, from_millis, min_by_key, preferred_upstream},
    shares::{ShareSnapshot, ShareStatus, Shares, Usage},
    unseen_load::{UnseenDraw, UnseenLoad},
    window::windows,
};
use crate::{
    digest_scope::FULL_DIGEST_EVERY,
    fast_map::FastMap,
    ids::RunId,
    upstream::{
        Bias, EngineSpeeds, LatencyModel, Prompt, PromptPrefix, RecentUses, ServiceTime,
        UpstreamTable,
    },
    wire,
};

/// Shortest and longest time after which a refused caller is told to retry.
pub(super) const RETRY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));
/// Added to twice the estimate for the time at which a first event is overdue: more than the error
/// of estimates for a sound engine, less than the time after which a connection to a silent one
/// breaks.
const OVERDUE_SLACK: Duration = Duration::from_millis(400);
/// Fraction of idle engines from which on a request that would be refused is sent to one of them,
/// where its shared parts are read once more.
///
/// With most engines idle, the bottleneck is the queue at the engine that caches a popular part.
/// With most engines busy, reading parts again costs all workspaces capacity.
const SPARE_IDLE_RATIO: f64 = 0.5;
/// Weight of a new observation in a moving average.
const SMOOTHING: f64 = 0.05;

#[derive(Debug)]
pub(super) struct Run {
    pub(super) upstream: u32,
    /// Tokens to read before the first event; zero once it has arrived.
    pending: f64,
    /// Tokens read before the first event, including those queued ahead, for the latency model.
    tokens_to_first: f64,
    pub(super) started: Duration,
    /// Estimated time to the first event, without the bias.
    pub(super) expected: Duration,
    /// Prefill time of the engine on which the estimate is based, as a multiple of the service's.
    pub(super) slowness: f64,
    /// Tokens of other hosts' requests without a first event: as known at its start, and the most that
    /// were heard of since.
    pub(super) peers_ahead: (f64, f64),
    /// When the first event, or the response of a plain service, is overdue.
    due: Duration,
    /// The first event, or the response, has arrived.
    pub(super) has_begun: bool,
    pub(super) is_engine: bool,
    pub(super) service: u32,
    /// What the first event is to show of cached parts, if engines fetch them from each other.
    fetch: Option<FetchWatch>,
}

/// What a placement depends on beside the request and the upstreams.
#[derive(Debug, Clone, Copy)]
struct Terms {
    status: ShareStatus,
    tie_break: TieBreak,
    unseen: UnseenDraw,
}

/// Upstreams to choose from.
#[derive(Debug, Clone, Copy)]
struct Choice<'a> {
    all: &'a [Candidate],
    /// Those with memory left for the request.
    fitting: &'a [Candidate],
}

/// Places requests on upstreams.
#[derive(Debug)]
pub struct Balancer {
    pub(super) upstreams: UpstreamTable,
    pub(super) speeds: EngineSpeeds,
    pub(super) hedge_times: HedgeTimes,
    pub(super) shares: Shares,
    pub(super) latency_models: FastMap<u32, LatencyModel>,
    /// Recent underestimates by service.
    biases: FastMap<u32, Bias>,
    /// Mean time of a request in milliseconds, by service.
    pub(super) mean_times: FastMap<u32, f64>,
    /// The same for engines, if requests are spread over them.
    pub(super) service_times: FastMap<u32, ServiceTime>,
    pub(super) runs: FastMap<RunId, Run>,
    n_runs: RunId,
    engine_memory: FastMap<u32, u64>,
    /// Retries that this host has invited, by service.
    pub(super) invitations: FastMap<u32, Invitations>,
    pub(super) kinds: Kinds,
    /// State of the pseudo-random sequence.
    pub(super) rng_state: u64,
    pub(super) options: BalancerOptions,
    pub(super) paused_sources: PausedSources,
    pub(super) recent_uses: RecentUses,
    /// Requests that this host has not heard of, by service.
    pub(super) unseen: FastMap<u32, UnseenLoad>,
    pub(super) memory: MemoryLimits,
}

impl Balancer {
    /// Builds a balancer; `window` is the time over which shares are computed.
    pub fn new(window: Duration) -> Self {
        Self {
            upstreams: UpstreamTable::default(),
            speeds: EngineSpeeds::default(),
            hedge_times: HedgeTimes::default(),
            shares: Shares::new(window),
            latency_models: FastMap::default(),
            biases: FastMap::default(),
            mean_times: FastMap::default(),
            service_times: FastMap::default(),
            runs: FastMap::default(),
            n_runs: 0,
            engine_memory: FastMap::default(),
            invitations: FastMap::default(),
            kinds: Kinds::default(),
            rng_state: 0,
            options: BalancerOptions::default(),
            paused_sources: PausedSources::default(),
            recent_uses: RecentUses::default(),
            unseen: FastMap::default(),
            memory: MemoryLimits::default(),
        }
    }

    /// Seeds the pseudo-random sequence; hosts with the same seed break ties the same way.
    pub fn set_seed(&mut self, seed: u64) {
        self.rng_state = seed;
    }

    /// Sets which optional decisions are made.
    pub fn set_options(&mut self, options: BalancerOptions) {
        self.options = options;
        self.reset_disabled_speeds();
    }

    /// Sets the capacity of all engines together in tokens per second; zero if unknown.
    pub fn set_capacity(&mut self, tokens_rate: f64) {
        self.shares.set_capacity(tokens_rate);
    }

    /// Sets the time between two digests of a host of this data centre, by which silent hosts are
    /// told from dead ones.
    pub fn set_digest_period(&mut self, period: Duration) {
        self.upstreams.set_digest_period(period);
    }

    /// Removes upstreams that are no longer known.
    pub fn retain_upstreams(&mut self, now: Duration, is_known: impl Fn(u32) -> bool) {
        self.upstreams.retain(now, &is_known);
        self.engine_memory.retain(|id, _| is_known(*id));
        self.speeds.retain(&is_known);
    }

    /// Chooses an upstream for a request, or refuses it; more than 512 candidates must be sorted by
    /// upstream.
    pub fn place(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        candidates: &[Candidate],
    ) -> Placement {
        let mut status = match request.engine {
            Some(_) => self.shares.status(now, request.workspace),
            None => ShareStatus::Uncontended,
        };
        self.update_speeds(now);
        let prefixes = request.prompt.as_ref().map(Prompt::prefixes).unwrap_or_default();
        if self.options.capacity_shares.is_on() && request.engine.is_some() {
            self.kinds.observe(request);
            status = self.kinds.status(now, request, status);
        }
        let random = self.next_random();
        let tie_break = TieBreak::new(&prefixes, random);
        let load = self.unseen_load(now, request, candidates);
        let terms = Terms { status, tie_break, unseen: UnseenDraw { load, random } };
        let memory = self.memory_room(now, request, random, candidates);
        let mut res = refuse_blocked(now, std::iter::empty());
        for window in windows(candidates, tie_break) {
            let fitting = memory.map(|it| it.fitting(now, &self.upstreams, &window));
            let fitting = fitting.as_deref().unwrap_or(&window);
            if let Some(it) = memory.filter(|_| fitting.is_empty() && !window.is_empty()) {
                res = it.refuse(now, &self.upstreams, &window);
                continue;
            }
            let room;
            let choice = Choice { all: &window, fitting };
            (res, room) = self.place_within(now, request, &prefixes, terms, choice);
            let n_per_scored = candidates.len() as f64 / window.len().max(1) as f64;
            self.observe_room(now, request, &room, n_per_scored);
            if let Placement::Send(placed) = res {
                return Placement::Send(
                    self.with_fetch(now, request, &prefixes, &window, tie_break, placed),
                );
            }
        }
        if let (Some(room), Placement::Refuse { reason: Refusal::Memory, .. }) = (&memory, &res) {
            self.memory.record_refusal(now, room, &mut self.upstreams, candidates);
        }
        if !matches!(res, Placement::Refuse { reason: Refusal::NoUpstream, .. }) {
            self.record_refusal(now, request.workspace, request.token_cost());
            self.record_kind_usage(now, request, 0.0);
            self.hedge_times.record_refusal(now, request);
        }
        self.advise_retry(now, request, res)
    }

    /// Chooses one of the candidates for a request; returns the room at them too.
    fn place_within(
        &self,
        now: Duration,
        request: &PlacementRequest,
        prefixes: &[PromptPrefix],
        Terms { status, tie_break, unseen }: Terms,
        Choice { all: candidates, fitting }: Choice<'_>,
    ) -> (Placement, EngineRoom) {
        let default_model = LatencyModel::default();
        let is_open = |id: &u32| !self.upstreams.get(*id).is_some_and(|it| it.is_unavailable(now));
        let costs = CostModel {
            now,
            upstreams: &self.upstreams,
            speeds: &self.speeds,
            latency: self.latency_models.get(&request.service).unwrap_or(&default_model),
            mean_time: self.mean_time(now, request),
            bias: self.biases.get(&request.service).map_or(0.0, |it| it.shortfall(now)),
            preferred: preferred_upstream(
                tie_break,
                candidates.iter().map(|it| it.upstream).filter(is_open),
            ),
            tie_break,
            unseen,
            shared_tokens: prefixes.iter().rev().skip(1).map(|it| it.tokens).sum(),
        };
        let scored = || fitting.iter().map(|it| costs.score(request, prefixes, it));
        let is_sendable = |it: &ScoredUpstream| !it.is_blocked;
        let mut meter = RoomMeter::default();
        let measured = scored().filter(is_sendable).inspect(|it| meter.add(request.objective, it));
        let Some(best) = min_by_key(measured, |it| it.cost) else {
            return (refuse_blocked(now, scored()), EngineRoom::default());
        };
        let room = meter.room();
        let limits = self.options.capacity_shares.is_on().then(|| CapacityLimits {
            room,
            reserved_ms: self.kinds.reserved_tokens(request) / costs.latency.tokens_per_ms(),
        });
        let max_wait = max_wait_ms(request, status, limits.as_ref(), &best);
        if best.times.wait <= max_wait {
            return (Placement::Send(best.assignment(status)), room);
        }
        // Reading shared parts again costs all workspaces capacity, so this is only for starved
        // ones.
        if matches!(status, ShareStatus::Starved(_))
            && let Some(fastest) =
                min_by_key(scored().filter(is_sendable), |it| it.times.wait + it.times.processing)
            && fastest.times.wait <= max_wait_ms(request, status, limits.as_ref(), &fastest)
        {
            return (Placement::Send(fastest.assignment(status)), room);
        }
        if let Some(spare) =
            spare_engine(candidates.len(), || scored().filter(is_sendable), time_left_ms(request))
        {
            return (Placement::Send(spare.assignment(status)), room);
        }
        let reason = if matches!(status, ShareStatus::Served(it) if 1.0 < it) {
            Refusal::Share
        } else {
            Refusal::Busy
        };
        let retry_after =
            from_millis(best.times.wait - max_wait).clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
        let refusal = Placement::Refuse {
            reason,
            retry_after,
            estimate: best.estimate(),
            share_ratio: status.share_ratio(),
            room,
            invited: None,
        };
        (refusal, room)
    }

    /// Returns the usable upstream with the fewest running requests: if it crashes, it takes the
    /// fewest requests with it.
    pub fn least_busy(&self, now: Duration, candidates: &[Candidate]) -> Option<Candidate> {
        let state = |it: &Candidate| self.upstreams.get(it.upstream);
        let is_open = |it: &&Candidate| !state(it).is_some_and(|it| it.is_closed(now));
        let running = |it: &Candidate| state(it).map_or(0.0, |it| it.total().running);
        let open = candidates.iter().filter(is_open);
        open.min_by(|a, b| running(a).total_cmp(&running(b))).copied()
    }

    /// Records a refused request and its cost in tokens: its workspace asked for them and got none.
    ///
    /// **NOTE:** This includes requests that a host refuses before it chooses an upstream.
    /// Otherwise a workspace whose callers all use overloaded hosts would seem to ask for little.
    pub fn record_refusal(&mut self, now: Duration, workspace: u32, tokens: f64) {
        if 0.0 < tokens {
            self.shares.record_local(now, workspace, Usage { asked: tokens, taken: 0.0 });
        }
    }

    /// Returns what a workspace's share status is based on, for logs.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Balancer;
    /// use std::time::Duration;
    ///
    /// let balancer = Balancer::new(Duration::from_secs(4));
    /// let snapshot = balancer.share_snapshot(Duration::from_secs(1), 7);
    /// assert_eq!((snapshot.asked, snapshot.taken), (0.0, 0.0));
    /// ```
    pub fn share_snapshot(&self, now: Duration, workspace: u32) -> ShareSnapshot {
        self.shares.snapshot(now, workspace)
    }

    /// Returns the lowest fairness ratio within the window, as far as this host knows: over all
    /// workspaces with refused requests, the tokens granted divided by the tokens asked for, or by
    /// the usage of the best served workspace if that is less.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Balancer;
    /// use std::time::Duration;
    ///
    /// let mut balancer = Balancer::new(Duration::from_secs(4));
    /// assert_eq!(balancer.min_fairness(Duration::from_secs(1)), 1.0);
    /// ```
    pub fn min_fairness(&mut self, now: Duration) -> f64 {
        self.shares.min_fairness(now)
    }

    /// Records that a request is sent to an upstream.
    pub fn record_start(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        assignment: &Assignment,
    ) -> RunId {
        self.n_runs += 1;
        let pending = f64::from(assignment.uncached_tokens);
        let mut run = Run {
            upstream: assignment.upstream,
            pending,
            tokens_to_first: f64::from(assignment.queued_tokens) + pending,
            started: now,
            expected: assignment.estimate.saturating_sub(assignment.bias),
            slowness: self.speeds.slowness(assignment.upstream).prefill,
            peers_ahead: (0.0, 0.0),
            due: now + assignment.estimate_without_fetch() * 2 + OVERDUE_SLACK,
            has_begun: false,
            is_engine: request.engine.is_some(),
            service: request.service,
            fetch: None,
        };
        if request.engine.is_some() {
            self.service_times.entry(request.service).or_default().record_start(now);
        }
        let state = self.upstreams.entry(assignment.upstream);
        run.peers_ahead = (state.peers.pending, state.peers.pending);
        state.warmup.record_sent(now);
        state.backoff.record_sent(now, self.n_runs);
        state.own.running += 1.0;
        state.own.pending += pending;
        if let (Some(prompt), Some(engine)) = (&request.prompt, request.engine) {
            let prefixes = prompt.prefixes();
            let fetched = assignment.fetch.map_or(0, |it| it.expected);
            state.record_read(pending + f64::from(fetched) + f64::from(prompt.max_output_tokens));
            self.engine_memory.insert(assignment.upstream, engine.kv_capacity);
            run.fetch = self.start_fetch(request, engine, assignment, &prefixes);
            let taken = request.token_cost();
            self.shares.record_local(now, request.workspace, Usage { asked: taken, taken });
            self.record_kind_usage(now, request, taken);
        }
        self.runs.insert(self.n_runs, run);
        if self.options.memory_limits.is_on() {
            self.memory.record_start(self.n_runs, request, assignment, &mut self.upstreams);
        }
        self.n_runs
    }

    /// Records the first event of a request, or its response; later ones are ignored. Returns how
    /// the request's fetch ended, if it had one.
    pub fn record_first_event(&mut self, now: Duration, id: RunId) -> Option<FetchReport> {
        let run = self.runs.get_mut(&id).filter(|it| !it.has_begun)?;
        run.has_begun = true;
        let pending = std::mem::take(&mut run.pending);
        let (upstream, watch) = (run.upstream, run.fetch.take());
        let time = now.saturating_sub(run.started);
        let outcome = watch.as_ref().and_then(|it| it.outcome(time));
        let state = self.upstreams.entry(run.upstream);
        state.own.pending -= pending;
        state.backoff.record_accepted(id);
        if run.is_engine {
            let (service, tokens) = (run.service, run.tokens_to_first);
            // How many tokens were read is uncertain after a fetch: none of it may say how fast.
            if outcome.is_none_or(|it| it == FetchOutcome::Brought) {
                let FirstEvent { time, expected } = self.observe_first_event(now, id);
                if outcome.is_none() {
                    self.latency_models.entry(service).or_default().observe(tokens, time);
                }
                let error = (time.as_secs_f64() - expected.as_secs_f64()) * 1000.0;
                self.biases.entry(service).or_default().observe(now, error);
            }
        }
        watch.and_then(|it| self.finish_fetch(now, upstream, it, time))
    }

    /// Records that a request's upstream is not told to fetch after all.
    pub fn cancel_fetch(&mut self, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        let Some(watch) = run.fetch.as_mut().filter(|_| !run.has_begun) else { return };
        let Some(fetch) = watch.take_fetch() else { return };
        let (upstream, expected) = (run.upstream, f64::from(fetch.expected));
        run.pending += expected;
        run.tokens_to_first += expected;
        run.expected += fetch.saved();
        self.upstreams.entry(upstream).own.pending += expected;
        self.release_fetch(upstream, fetch);
    }

    /// Records the end of a request at its upstream.
    pub fn record_end(&mut self, now: Duration, id: RunId, completion: Completion) {
        let Some(run) = self.runs.remove(&id) else { return };
        if let Some(it) = run.fetch.as_ref().and_then(FetchWatch::fetch) {
            self.release_fetch(run.upstream, it);
        }
        if run.is_engine {
            let time = self.service_times.entry(run.service).or_default();
            if completion == Completion::Done {
                time.record_done(now);
            } else {
                time.record_stop(now);
            }
        }
        self.memory.record_end(id, completion, &mut self.upstreams);
        let state = self.upstreams.entry(run.upstream);
        state.own.running -= 1.0;
        state.own.pending -= run.pending;
        if matches!(completion, Completion::Done | Completion::Error) {
            state.backoff.record_accepted(id);
        }
        state.backoff.record_ended(id);
        if !run.is_engine {
            let time = now.saturating_sub(run.started);
            self.hedge_times.record_end(now, run.service, time, completion);
        }
        match completion {
            Completion::Done => {
                state.health.record_success(now);
                let time = now.saturating_sub(run.started).as_secs_f64() * 1000.0;
                let mean = self.mean_times.entry(run.service).or_insert(time);
                *mean += SMOOTHING * (time - *mean);
            }
            Completion::Error | Completion::Rejected | Completion::Broken => {
                state.health.record_failure(now);
            }
            Completion::Unreachable => state.health.record_unreachable(now),
            // A backoff is honoured separately and is no failure.
            Completion::BackoffRequested | Completion::Cancelled => {}
        }
    }

    /// Writes what this host did into a digest for other hosts.
    pub fn fill_digest(&mut self, now: Duration, digest: &mut wire::Digest) {
        self.upstreams.expire(now);
        self.count_overdue(now);
        self.memory.expire_reservation(now, &mut self.upstreams);
        self.memory.fill_digest(digest);
        (digest.loads, digest.prefixes) = self.upstreams.report();
        self.report_speeds(now, digest);
        let usage = |(workspace, it): (u32, Usage)| wire::WorkspaceUsage {
            workspace,
            asked: it.asked as u64,
            taken: it.taken as u64,
        };
        let is_full = digest.sequence.is_multiple_of(FULL_DIGEST_EVERY);
        if is_full && self.options.cache_transfer.is_on() {
            digest.prefixes.extend(self.recent_uses.next(&self.upstreams));
        }
        let changed = self.shares.take_changed_totals().into_iter();
        digest.usage = if is_full {
            self.shares.totals().map(usage).collect()
        } else {
            changed.map(usage).collect()
        };
    }

    /// Writes the summary of this data centre's hosts into a digest for other data centres.
    pub fn fill_summary(&mut self, now: Duration, digest: &mut wire::Digest) {
        let mut sum = self.upstreams.summary(now, digest.data_centre);
        for (workspace, it) in self.shares.totals() {
            let new = wire::WorkspaceUsage { workspace, ..Default::default() };
            let usage = sum.usage.entry(workspace).or_insert(new);
            usage.asked += it.asked as u64;
            usage.taken += it.taken as u64;
        }
        self.memory.fill_summary(digest);
        digest.n_summed = sum.n_hosts;
        digest.loads = sum.loads;
        digest.prefixes = sum.prefixes;
        digest.usage = sum.usage.into_values().collect();
        self.summarize_speeds(now, digest);
    }

    /// Merges the digest of another host, or the summary of a data centre.
    pub fn merge_digest(&mut self, now: Duration, digest: &wire::Digest) {
        self.merge_speeds(now, digest);
        let engine_memory = &self.engine_memory;
        let memory = |id| engine_memory.get(&id).copied().unwrap_or(u64::MAX);
        let merged = self.upstreams.merge_digest(now, digest, memory);
        if self.options.memory_limits.is_on() {
            self.memory.merge_digest(digest);
        }
        for it in merged {
            let usage = Usage { asked: it.asked as f64, taken: it.taken as f64 };
            self.shares.add_to_window(now, it.workspace, usage);
        }
    }

    /// Records that this process was suspended: that makes no request overdue and no engine slow.
    pub fn record_suspension(&mut self, time: Duration) {
        for run in self.runs.values_mut().filter(|it| !it.has_begun) {
            run.started += time;
            run.due += time;
        }
    }

    /// Returns the number of hosts heard recently, including this one.
    pub fn n_hosts(&self, now: Duration) -> usize {
        1 + self.upstreams.n_peers(now)
    }

    /// Returns the next number of the pseudo-random sequence, which differs between hosts.
    pub(super) fn next_random(&mut self) -> u64 {
        self.rng_state = xxh3_64(&self.rng_state.to_le_bytes());
        self.rng_state
    }

    fn count_overdue(&mut self, now: Duration) {
        self.upstreams.iter_mut().for_each(|it| it.n_overdue = 0);
        for run in self.runs.values().filter(|it| !it.has_begun && it.due < now) {
            self.upstreams.entry(run.upstream).n_overdue += 1;
        }
    }
}

/// Returns the cheapest idle engine if so many are idle that reading a shared part again costs no
/// other workspace capacity.
fn spare_engine<I: Iterator<Item = ScoredUpstream>>(
    n_engines: usize,
    sendable: impl Fn() -> I,
    time_left_ms: f64,
) -> Option<ScoredUpstream> {
    let is_idle = |it: &ScoredUpstream| it.is_idle;
    let n_idle = sendable().filter(is_idle).count();
    if (n_idle as f64) < n_engines as f64 * SPARE_IDLE_RATIO {
        return None;
    }
    let is_in_time = |it: &ScoredUpstream| it.times.wait + it.times.processing <= time_left_ms;
    min_by_key(sendable().filter(is_idle).filter(is_in_time), |it| it.cost)
}

fn refuse_blocked(now: Duration, upstreams: impl Iterator<Item = ScoredUpstream>) -> Placement {
    let (mut earliest, mut reason) = (None, Refusal::NoUpstream);
    for it in upstreams {
        earliest = Some(earliest.map_or(it.opens_at, |at: Duration| at.min(it.opens_at)));
        if it.is_backing_off {
            reason = Refusal::Backoff;
        }
    }
    let wait = earliest.map_or(RETRY_BOUNDS.1, |it| it.saturating_sub(now)).max(RETRY_BOUNDS.0);
    let retry_after = match reason {
        // The end of a backoff is known, however late: a retry before it is in vain.
        Refusal::Backoff => wait,
        _ => wait.min(RETRY_BOUNDS.1),
    };
    Placement::Refuse {
        reason,
        retry_after,
        estimate: retry_after,
        share_ratio: 0.0,
        room: EngineRoom::default(),
        invited: None,
    }
}
