//! Which engine a request's upstream fetches cached prompt parts from, instead of prefilling them.
//!
//! The case to handle: 350 requests per second with shared parts of 5,400 tokens, which some of 140
//! engines cache. Where the engine that caches a part is busy, or hosts have just started and do not
//! know it, the part is prefilled again elsewhere: 60 to 110 ms of an engine's time, against 1 to 5
//! ms for a transfer.
//!
//! The source is chosen after the placement, which does not rely on fetches: a fetch that brings
//! nothing then costs no more than the prefill that the placement expected anyway.

use std::time::Duration;

use super::placement::{CacheFetch, Candidate, PlacementRequest};
use crate::{
    catalog::EngineSpec,
    upstream::{PromptPrefix, UpstreamState, UpstreamTable},
};

/// Fewest tokens that are worth a fetch.
const MIN_TOKENS: u32 = 256;

/// What a source is chosen from.
#[derive(Debug)]
pub(super) struct SourceSearch<'a> {
    pub now: Duration,
    pub upstreams: &'a UpstreamTable,
    /// Prefixes of the prompt; the last one belongs to this request alone.
    pub prefixes: &'a [PromptPrefix],
    pub candidates: &'a [Candidate],
    /// Upstream that the request is sent to.
    pub chosen: u32,
}

impl SourceSearch<'_> {
    /// Returns the fetch to request, `None` if no other upstream caches enough of the shared parts.
    pub(super) fn choose(&self, request: &PlacementRequest) -> Option<CacheFetch> {
        let engine = request.engine.filter(|it| it.transfer.is_some())?;
        let (_, shared) = self.prefixes.split_last()?;
        let total: u32 = shared.iter().map(|it| it.tokens).sum();
        let present = self.cached_tokens(self.chosen, shared, engine);
        if total < present + MIN_TOKENS {
            return None;
        }
        let fetch = |it: &Candidate| {
            let cached = self.cached_tokens(it.upstream, shared, engine);
            CacheFetch { source: it.upstream, tokens: cached.saturating_sub(present) }
        };
        let sources = self.candidates.iter().filter(|it| self.is_usable(it));
        let fetches = sources.map(fetch).filter(|it| MIN_TOKENS <= it.tokens);
        fetches.max_by_key(|it| (it.tokens, it.source))
    }

    /// Returns whether an upstream may be named as a source.
    fn is_usable(&self, it: &Candidate) -> bool {
        let is_closed = |it: &UpstreamState| it.is_closed(self.now) || it.is_unavailable(self.now);
        it.upstream != self.chosen
            && self.upstreams.get(it.upstream).is_some_and(|it| !is_closed(it))
    }

    fn cached_tokens(&self, upstream: u32, shared: &[PromptPrefix], engine: EngineSpec) -> u32 {
        let state = self.upstreams.get(upstream);
        state.map_or(0, |it| it.cache.cached_tokens(shared, engine.kv_capacity))
    }
}
