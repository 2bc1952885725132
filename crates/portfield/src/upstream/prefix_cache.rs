//! Prompt prefixes that an engine has cached, as far as this host knows.

use super::prompt::PromptPrefix;
use crate::fast_map::FastMap;

/// Fraction of an engine's memory that caches prefixes; running requests use the rest.
///
/// With 20 to 30 running requests of 4,000 tokens, they use a fifth to a quarter.
const CACHE_FRACTION: f64 = 0.7;
/// Number of entries above which those certainly evicted are removed.
const PRUNE_THRESHOLD: usize = 4096;

/// Whether an engine has processed a prefix that was sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PrefixState {
    /// It was sent there; no first event is known.
    Sent,
    /// A first event has shown that it is cached.
    Read,
}

/// The last known use of a prefix.
#[derive(Debug, Clone, Copy)]
struct PrefixUse {
    /// Tokens read into the engine's memory until then.
    used_at: f64,
    state: PrefixState,
}

/// How much of a prompt is cached, and how certain that is.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct CachedParts {
    /// Tokens at the start of the prompt that were sent to the engine.
    pub tokens: u32,
    /// The part of them that the engine has processed.
    pub read_tokens: u32,
    /// Tokens read into the engine's memory since the last use of these prefixes.
    pub age: f64,
    /// Estimated probability that none of them was evicted: it falls with the square of the age,
    /// since a prefix that was used recently is evicted last. Assumed, not measured.
    pub certainty: f64,
}

/// The prefixes cached by one engine.
///
/// Engines evict the least recently used prefix. Rather than mirror the engine's list, this counts
/// the tokens read into its memory: a prefix counts as evicted once as many tokens as the memory
/// holds have been read since its last use.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    total_read: f64,
    last_used: FastMap<u32, PrefixUse>,
}

impl PrefixCache {
    /// Returns how many tokens at the start of a prompt are cached.
    pub(crate) fn cached_tokens(&self, prefixes: &[PromptPrefix], memory: u64) -> u32 {
        let oldest = self.oldest(memory);
        let is_cached = |it: &&PromptPrefix| {
            self.last_used.get(&it.hash).is_some_and(|it| oldest <= it.used_at)
        };
        prefixes.iter().take_while(is_cached).map(|it| it.tokens).sum()
    }

    /// Returns whether a use of a prefix is known, however long ago.
    pub(crate) fn knows(&self, hash: u32) -> bool {
        self.last_used.contains_key(&hash)
    }

    /// Returns how much of the start of a prompt is cached, and how certain that is.
    pub(crate) fn cached_parts(&self, prefixes: &[PromptPrefix], memory: u64) -> CachedParts {
        let oldest = self.oldest(memory);
        let mut res = CachedParts::default();
        let mut all_read = PrefixState::Read;
        for it in prefixes {
            let last_use = self.last_used.get(&it.hash).filter(|it| oldest <= it.used_at);
            let Some(last_use) = last_use else { break };
            all_read = all_read.min(last_use.state);
            res.tokens += it.tokens;
            if all_read == PrefixState::Read {
                res.read_tokens += it.tokens;
            }
            res.age = res.age.max(self.total_read - last_use.used_at);
        }
        let limit = (memory as f64 * CACHE_FRACTION).max(1.0);
        res.certainty = 1.0 - (res.age / limit).powi(2);
        res
    }

    /// Records a use of prefixes.
    pub(crate) fn touch(
        &mut self,
        hashes: impl IntoIterator<Item = u32>,
        memory: u64,
        state: PrefixState,
    ) {
        let oldest = self.oldest(memory);
        for hash in hashes {
            let new = PrefixUse { used_at: self.total_read, state };
            let known = self.last_used.entry(hash).or_insert(new);
            // What was known of a prefix that was evicted since says nothing of the new use.
            let state = if known.used_at < oldest { state } else { known.state.max(state) };
            *known = PrefixUse { state, ..new };
        }
        self.prune(memory);
    }

    /// Records an earlier use of prefixes, since which `age` tokens were read, where none is known:
    /// this host knows better how old the uses are that it heard of at the time.
    pub(crate) fn add_earlier(&mut self, hashes: &[u32], memory: u64, age: u32) {
        let used_at = self.total_read - f64::from(age);
        let earlier = PrefixUse { used_at, state: PrefixState::Read };
        for it in hashes {
            self.last_used.entry(*it).or_insert(earlier);
        }
        self.prune(memory);
    }

    fn prune(&mut self, memory: u64) {
        if PRUNE_THRESHOLD < self.last_used.len() {
            let oldest = self.oldest(memory);
            self.last_used.retain(|_, it| oldest <= it.used_at);
        }
    }

    /// Records that the engine has processed prefixes that were sent to it.
    pub(crate) fn mark_read(&mut self, hashes: &[u32]) {
        for it in hashes {
            if let Some(it) = self.last_used.get_mut(it) {
                it.state = PrefixState::Read;
            }
        }
    }

    /// Returns whether the engine has processed all these prefixes, as far as this host knows.
    pub(crate) fn has_read(&self, hashes: &[u32]) -> bool {
        let state = |it: &u32| self.last_used.get(it).map(|it| it.state);
        hashes.iter().all(|it| state(it) == Some(PrefixState::Read))
    }

    /// Returns the tokens read into the engine's memory since the last use of a prefix; `None` if it
    /// is not known to be cached.
    pub(crate) fn age(&self, hash: u32, memory: u64) -> Option<f64> {
        let last_use = self.last_used.get(&hash)?;
        let is_cached = self.oldest(memory) <= last_use.used_at;
        is_cached.then_some(self.total_read - last_use.used_at)
    }

    /// Records that a prefix is not cached after all.
    pub(crate) fn remove(&mut self, hash: u32) {
        self.last_used.remove(&hash);
    }

    /// Records tokens read into the engine's memory.
    pub(crate) fn record_read(&mut self, tokens: f64) {
        self.total_read += tokens;
    }

    /// Returns the time of the last use, in tokens, before which prefixes count as evicted.
    fn oldest(&self, memory: u64) -> f64 {
        self.total_read - memory as f64 * CACHE_FRACTION
    }
}
