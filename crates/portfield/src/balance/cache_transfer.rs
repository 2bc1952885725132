//! Which engine a request's upstream fetches cached prompt parts from, instead of prefilling them.
//!
//! The case to handle: 350 requests per second with shared parts of 5,400 tokens, which some of 140
//! engines cache. Where the engine that caches a part is busy, or hosts have just started and do not
//! know it, the part is prefilled again elsewhere: 60 to 110 ms of an engine's time, against 1 to 5
//! ms for a transfer.
//!
//! The source is chosen after the placement, which does not rely on fetches: a fetch that brings
//! nothing then costs no more than the prefill that the placement expected anyway.

use std::{cmp::Reverse, time::Duration};

use super::{
    Balancer,
    placement::{Assignment, CacheFetch, Candidate, PlacementRequest, SourceKnowledge},
    scoring::{TieBreak, from_millis, hash_rank, preferred_upstream},
};
use crate::{
    catalog::{EngineSpec, TransferSpec},
    fast_map::FastMap,
    upstream::{
        CachedParts, LatencyModel, PrefixState, PromptPrefix, UpstreamState, UpstreamTable,
    },
};

/// Fewest tokens that are worth a fetch.
const MIN_TOKENS: u32 = 256;
/// Cost of a fetch from another data centre, in milliseconds: two to seven transfers of a large part.
const REMOTE_FETCH_COST: f64 = 10.0;
/// Probability that an engine has a part in time that is only known to have been sent to it; assumed.
const ANNOUNCED_CERTAINTY: f64 = 0.25;
/// Probability from which on tokens count as fetched in estimates instead of as prefilled.
const EXPECTED_CERTAINTY: f64 = 0.5;
/// Sources whose benefit is at least this fraction of the largest one are chosen between at random:
/// hosts hear of each other's fetches 50 to 260 ms late, and would all choose the same one.
const NEAR_RATIO: f64 = 0.95;
/// Time for which a source that brought nothing is not named again for the same part: announcements
/// of its earlier uses arrive up to a second later.
const PAUSE: Duration = Duration::from_secs(1);
/// Number of such pauses above which those that have ended are removed.
const PRUNE_THRESHOLD: usize = 1024;
/// Longest wait at an engine, as a fraction of the time that a fetch saves, for which the time to the
/// first event shows whether the fetch brought anything: longer waits are off by more than that.
const MAX_WAIT_RATIO: f64 = 0.5;
/// Part of the time saved by which a first event may be earlier than after a full prefill and still
/// shows that the fetch brought nothing.
const EARLY_RATIO: f64 = 0.25;

/// What a source is chosen from.
#[derive(Debug)]
struct SourceSearch<'a> {
    now: Duration,
    upstreams: &'a UpstreamTable,
    paused: &'a PausedSources,
    candidates: &'a [Candidate],
    /// Shared parts of the prompt.
    shared: &'a [PromptPrefix],
    engine: EngineSpec,
    /// Time to transfer a token, in milliseconds.
    transfer_time: f64,
    tokens_per_ms: f64,
    /// Estimated time to the first event if nothing is fetched, in milliseconds.
    first_event_time: f64,
    /// Upstream that the request is sent to.
    chosen: Candidate,
    /// Tokens of the shared parts that it caches.
    present: u32,
    /// Prefix that ends with the first part that it lacks.
    part: u32,
}

/// A possible source.
#[derive(Debug, Clone, Copy)]
struct Source {
    fetch: CacheFetch,
    /// Expected time saved, in milliseconds.
    benefit: f64,
}

impl<'a> SourceSearch<'a> {
    /// Returns the search for a request, `None` if nothing is worth a fetch.
    fn new(
        now: Duration,
        balancer: &'a Balancer,
        request: &PlacementRequest,
        prefixes: &'a [PromptPrefix],
        candidates: &'a [Candidate],
        placed: &Assignment,
    ) -> Option<Self> {
        let chosen = placed.upstream;
        let engine = request.engine?;
        let transfer_time = transfer_time(engine.transfer?);
        let (_, shared) = prefixes.split_last()?;
        let upstreams = &balancer.upstreams;
        let cached = upstreams
            .get(chosen)
            .map_or(0, |it| it.cache.cached_tokens(shared, engine.kv_capacity));
        if total_tokens(shared) < cached.saturating_add(MIN_TOKENS) {
            return None;
        }
        let mut end = 0;
        let is_lacking = |it: &&PromptPrefix| {
            end += it.tokens;
            cached < end
        };
        Some(Self {
            now,
            upstreams,
            paused: &balancer.paused_sources,
            candidates,
            shared,
            engine,
            transfer_time,
            tokens_per_ms: balancer.latency_model(request.service).tokens_per_ms(),
            first_event_time: placed.estimate.as_secs_f64() * 1000.0,
            chosen: *candidates.iter().find(|it| it.upstream == chosen)?,
            present: cached,
            part: shared.iter().find(is_lacking)?.hash,
        })
    }

    /// Returns the best source that is known to cache enough of the parts. Of several about as good
    /// ones, `random` decides.
    fn best_holder(&self, random: u64) -> Option<CacheFetch> {
        let holders = self.candidates.iter().filter_map(|it| self.holder(it));
        let holders: Vec<Source> = holders.filter(|it| 0.0 < it.benefit).collect();
        let largest = holders.iter().map(|it| it.benefit).max_by(f64::total_cmp)?;
        let near = holders.iter().filter(|it| largest * NEAR_RATIO <= it.benefit);
        near.min_by_key(|it| Reverse(hash_rank(random, it.fetch.source))).map(|it| it.fetch)
    }

    /// Returns the fetch from an upstream that is known to cache enough of the parts.
    fn holder(&self, candidate: &Candidate) -> Option<Source> {
        // Most upstreams hold nothing: they are ruled out first, by one look-up each.
        let state =
            self.upstreams.get(candidate.upstream).filter(|it| it.cache.knows(self.part))?;
        let is_closed = state.is_closed(self.now) || state.is_unavailable(self.now);
        if is_closed || candidate.upstream == self.chosen.upstream {
            return None;
        }
        let CachedParts { tokens, read_tokens, age, certainty } =
            state.cache.cached_parts(self.shared, self.engine.kv_capacity);
        let beyond = |it: u32| Some(it.saturating_sub(self.present)).filter(|it| MIN_TOKENS <= *it);
        let (tokens, knowledge, certainty) = match (beyond(read_tokens), beyond(tokens)) {
            (Some(it), _) => (it, SourceKnowledge::Cached, certainty),
            (None, Some(it)) => (it, SourceKnowledge::Announced, certainty * ANNOUNCED_CERTAINTY),
            (None, None) => return None,
        };
        if self.paused.contains(self.now, candidate.upstream, self.part) {
            return None;
        }
        // An engine that fails or is silent may send nothing either.
        let certainty = certainty * (1.0 - state.health.failure_rate(self.now))
            / (1.0 + f64::from(state.n_overdue));
        let time = self.fetch_time(state, tokens);
        let prefill = f64::from(tokens) / self.tokens_per_ms;
        let is_near = candidate.is_local && self.chosen.is_local;
        let remote = if is_near { 0.0 } else { REMOTE_FETCH_COST };
        let expected = if knowledge == SourceKnowledge::Cached && EXPECTED_CERTAINTY <= certainty {
            tokens
        } else {
            0
        };
        let fetch = CacheFetch {
            source: candidate.upstream,
            tokens,
            expected,
            time: from_millis(time),
            prefill: from_millis(prefill),
            knowledge,
            age: age as u32,
            part: self.part,
        };
        Some(Source { fetch, benefit: certainty * prefill - time - remote })
    }

    /// Returns the fetch from the upstream at which all hosts prefer to cache the parts: it often
    /// caches them without this host knowing.
    fn home(&self, tie_break: TieBreak) -> Option<CacheFetch> {
        let is_open =
            |id: &u32| !self.upstreams.get(*id).is_some_and(|it| it.is_unavailable(self.now));
        let ids = self.candidates.iter().map(|it| it.upstream).filter(is_open);
        let home = preferred_upstream(tie_break, ids).filter(|it| *it != self.chosen.upstream)?;
        let empty = UpstreamState::default();
        let state = self.upstreams.get(home).unwrap_or(&empty);
        if state.is_closed(self.now) || self.paused.contains(self.now, home, self.part) {
            return None;
        }
        let tokens = total_tokens(self.shared) - self.present;
        Some(CacheFetch {
            source: home,
            tokens,
            expected: 0,
            time: from_millis(self.fetch_time(state, tokens)),
            prefill: from_millis(f64::from(tokens) / self.tokens_per_ms),
            knowledge: SourceKnowledge::Home,
            age: 0,
            part: self.part,
        })
    }

    /// Returns the time of a fetch in milliseconds, with the wait for others at either link.
    ///
    /// Others count until their first events, though a link that is rarely used has long done them:
    /// they are weighted with the part of that time for which the link is in use.
    fn fetch_time(&self, source: &UpstreamState, tokens: u32) -> f64 {
        let incoming = self.upstreams.get(self.chosen.upstream).map_or(0.0, |it| it.incoming);
        let others = (source.total().fetching + incoming) * self.transfer_time;
        let used = (others / self.first_event_time.max(1.0)).min(1.0);
        others * used + f64::from(tokens) * self.transfer_time
    }
}

/// Returns the time to transfer a token, in milliseconds.
fn transfer_time(it: TransferSpec) -> f64 {
    let bytes_per_ms = it.link_mbps * 1e6 / 8.0 / 1000.0;
    it.token_bytes / bytes_per_ms
}

fn total_tokens(parts: &[PromptPrefix]) -> u32 {
    parts.iter().map(|it| it.tokens).sum()
}

/// Sources that brought nothing of late, by upstream and prefix.
#[derive(Debug, Default)]
pub(super) struct PausedSources(FastMap<(u32, u32), Duration>);

impl PausedSources {
    fn contains(&self, now: Duration, source: u32, part: u32) -> bool {
        self.0.get(&(source, part)).is_some_and(|until| now < *until)
    }

    fn insert(&mut self, now: Duration, source: u32, part: u32) {
        if PRUNE_THRESHOLD <= self.0.len() {
            self.0.retain(|_, until| now < *until);
        }
        self.0.insert((source, part), now + PAUSE);
    }
}

/// What a request without a first event is to show of its fetch and its prompt parts.
#[derive(Debug, Clone)]
pub(super) struct FetchWatch {
    fetch: Option<CacheFetch>,
    /// Estimated time to the first event if the fetch brings nothing.
    without: Duration,
    /// Whether the wait at the engine is short enough to tell.
    is_telling: bool,
    /// Shared parts of the prompt.
    parts: Vec<u32>,
    memory: u64,
}

/// Whether a fetch brought the parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The first event came sooner than a prefill allows.
    Brought,
    /// It came as late as after a full prefill.
    Nothing,
    /// The time to the first event does not tell.
    Unclear,
}

/// How a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FetchReport {
    /// What was to be fetched.
    pub fetch: CacheFetch,
    /// Whether it was.
    pub outcome: FetchOutcome,
}

impl FetchReport {
    /// Returns the tokens that count as fetched.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::{CacheFetch, FetchOutcome, FetchReport};
    ///
    /// let fetch = CacheFetch { source: 7, tokens: 5_000, expected: 5_000, ..CacheFetch::default() };
    /// let report = |outcome| FetchReport { fetch, outcome };
    /// assert_eq!(report(FetchOutcome::Unclear).tokens(), 5_000);
    /// assert_eq!(report(FetchOutcome::Nothing).tokens(), 0);
    /// ```
    pub fn tokens(&self) -> u32 {
        match self.outcome {
            FetchOutcome::Brought => self.fetch.tokens,
            FetchOutcome::Nothing => 0,
            FetchOutcome::Unclear => self.fetch.expected,
        }
    }
}

impl FetchWatch {
    /// Returns the fetch.
    pub(super) fn fetch(&self) -> Option<CacheFetch> {
        self.fetch
    }

    /// Removes the fetch, which does not take place, and returns it.
    pub(super) fn take_fetch(&mut self) -> Option<CacheFetch> {
        self.fetch.take()
    }

    /// Returns what the time to the first event shows; `None` without a fetch.
    pub(super) fn outcome(&self, time: Duration) -> Option<FetchOutcome> {
        let fetch = self.fetch?;
        let saved = fetch.prefill.saturating_sub(fetch.time);
        if !self.is_telling {
            return Some(FetchOutcome::Unclear);
        }
        let earliest = self.without.saturating_sub(saved.mul_f64(EARLY_RATIO));
        let outcome = if time < earliest {
            FetchOutcome::Brought
        } else if time <= self.without + saved {
            FetchOutcome::Nothing
        } else {
            // So late that other requests must have been ahead.
            FetchOutcome::Unclear
        };
        Some(outcome)
    }
}

impl Balancer {
    /// Adds to an assignment where its upstream is to fetch cached parts of the prompt from.
    pub(super) fn with_fetch(
        &self,
        now: Duration,
        request: &PlacementRequest,
        prefixes: &[PromptPrefix],
        candidates: &[Candidate],
        tie_break: TieBreak,
        placed: Assignment,
    ) -> Assignment {
        if !self.options.cache_transfer.is_on() {
            return placed;
        }
        let search = SourceSearch::new(now, self, request, prefixes, candidates, &placed);
        let Some(search) = search else { return placed };
        let fetch = search.best_holder(self.rng_state).or_else(|| search.home(tie_break));
        let Some(fetch) = fetch else { return placed };
        Assignment {
            estimate: placed.estimate.saturating_sub(fetch.saved()),
            uncached_tokens: placed.uncached_tokens.saturating_sub(fetch.expected),
            fetch: Some(fetch),
            ..placed
        }
    }

    /// Returns the latency model of a service.
    fn latency_model(&self, service: u32) -> LatencyModel {
        self.latency_models.get(&service).cloned().unwrap_or_default()
    }

    /// Records that a request with these shared parts is sent to an engine, and announces the parts
    /// to other hosts. Returns what its first event is to show.
    pub(super) fn start_fetch(
        &mut self,
        request: &PlacementRequest,
        engine: EngineSpec,
        assignment: &Assignment,
        prefixes: &[PromptPrefix],
    ) -> Option<FetchWatch> {
        let shared = prefixes.len().saturating_sub(1);
        let parts: Vec<u32> = prefixes.iter().take(shared).map(|it| it.hash).collect();
        let is_on = self.options.cache_transfer.is_on();
        let state = self.upstreams.entry(assignment.upstream);
        let sent_as = if is_on { PrefixState::Sent } else { PrefixState::Read };
        state.cache.touch(prefixes.iter().map(|it| it.hash), engine.kv_capacity, sent_as);
        let is_read = state.cache.has_read(&parts);
        let known_as = if is_read { PrefixState::Read } else { PrefixState::Sent };
        self.upstreams.announce(assignment.upstream, parts.clone(), known_as);
        if !is_on {
            return None;
        }
        if let Some(it) = assignment.fetch {
            self.upstreams.entry(it.source).own.fetching += f64::from(it.tokens);
            self.upstreams.entry(assignment.upstream).incoming += f64::from(it.tokens);
        }
        let without = assignment.estimate_without_fetch();
        let to_read = assignment.uncached_tokens + assignment.fetch.map_or(0, |it| it.expected);
        let processing = self.latency_model(request.service).predict(f64::from(to_read));
        let wait = without.saturating_sub(from_millis(processing));
        let saved = assignment.fetch.map(|it| it.prefill.saturating_sub(it.time));
        Some(FetchWatch {
            fetch: assignment.fetch,
            without,
            is_telling: saved.is_some_and(|it| wait <= it.mul_f64(MAX_WAIT_RATIO)),
            parts,
            memory: engine.kv_capacity,
        })
    }

    /// Records that a fetch from its source is over, or will not take place.
    pub(super) fn release_fetch(&mut self, upstream: u32, fetch: CacheFetch) {
        let tokens = f64::from(fetch.tokens);
        let source = &mut self.upstreams.entry(fetch.source).own.fetching;
        *source = (*source - tokens).max(0.0);
        let incoming = &mut self.upstreams.entry(upstream).incoming;
        *incoming = (*incoming - tokens).max(0.0);
    }

    /// Records what the first event of a request, after `time`, shows of its fetch and of the parts
    /// that its upstream now caches.
    pub(super) fn finish_fetch(
        &mut self,
        now: Duration,
        upstream: u32,
        watch: FetchWatch,
        time: Duration,
    ) -> Option<FetchReport> {
        if let Some(it) = watch.fetch {
            self.release_fetch(upstream, it);
        }
        let outcome = watch.outcome(time);
        let FetchWatch { fetch, parts, memory, .. } = watch;
        let cache = &mut self.upstreams.entry(upstream).cache;
        let was_read = cache.has_read(&parts);
        cache.mark_read(&parts);
        if !parts.is_empty() {
            self.recent_uses.record(upstream, parts.clone(), memory);
        }
        if !was_read {
            self.upstreams.announce_read(upstream, parts);
        }
        let report = FetchReport { fetch: fetch?, outcome: outcome? };
        if report.outcome == FetchOutcome::Nothing {
            self.correct_source(now, report.fetch);
        }
        Some(report)
    }

    /// Records that a source does not cache what it was expected to.
    fn correct_source(&mut self, now: Duration, fetch: CacheFetch) {
        match fetch.knowledge {
            SourceKnowledge::Cached => {
                self.upstreams.entry(fetch.source).cache.remove(fetch.part);
            }
            // It was to prefill the part at the same time, and has it by now.
            SourceKnowledge::Announced => return,
            SourceKnowledge::Home => {}
        }
        self.paused_sources.insert(now, fetch.source, fetch.part);
    }
}
