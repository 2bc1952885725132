//! Prompt prefixes that an engine has cached, as far as this host knows.

use super::prompt::PromptPrefix;
use crate::fast_map::FastMap;

/// Fraction of an engine's memory that caches prefixes; running requests use the rest.
///
/// With 20 to 30 running requests of 4,000 tokens, they use a fifth to a quarter.
const CACHE_FRACTION: f64 = 0.7;
/// Number of entries above which those certainly evicted are removed.
const PRUNE_THRESHOLD: usize = 4096;

/// The prefixes cached by one engine.
///
/// Engines evict the least recently used prefix. Rather than mirror the engine's list, this counts
/// the tokens read into its memory: a prefix counts as evicted once as many tokens as the memory
/// holds have been read since its last use.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    total_read: f64,
    last_used: FastMap<u32, f64>,
}

impl PrefixCache {
    /// Returns how many tokens at the start of a prompt are cached.
    pub(crate) fn cached_tokens(&self, prefixes: &[PromptPrefix], memory: u64) -> u32 {
        let oldest = self.total_read - memory as f64 * CACHE_FRACTION;
        let is_cached =
            |it: &&PromptPrefix| self.last_used.get(&it.hash).is_some_and(|at| oldest <= *at);
        prefixes.iter().take_while(is_cached).map(|it| it.tokens).sum()
    }

    /// Records a use of prefixes.
    pub(crate) fn touch(&mut self, hashes: impl IntoIterator<Item = u32>, memory: u64) {
        self.last_used.extend(hashes.into_iter().map(|it| (it, self.total_read)));
        if PRUNE_THRESHOLD < self.last_used.len() {
            let oldest = self.total_read - memory as f64 * CACHE_FRACTION;
            self.last_used.retain(|_, at| oldest <= *at);
        }
    }

    /// Records tokens read into the engine's memory.
    pub(crate) fn record_read(&mut self, tokens: f64) {
        self.total_read += tokens;
    }
}
