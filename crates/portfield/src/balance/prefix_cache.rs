//! Which parts of prompts an engine keeps, as far as the hosts know.

use super::{fast_map::FastMap, prompt::PromptPrefix};

/// Part of an engine's memory that parts survive in; the rest is what runs.
///
/// With 20 to 30 requests of 4,000 tokens running, a fifth to a quarter is theirs.
const CACHE_FRACTION: f64 = 0.7;
/// Entries at which those that are surely gone are dropped.
const PRUNE_THRESHOLD: usize = 4096;

/// The parts that one engine keeps.
///
/// The least recently used part yields. Instead of the engine's list this keeps an odometer of
/// the tokens that went into its memory: a part is gone once a memory's worth has gone in since
/// its last use.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    total_read: f64,
    last_used: FastMap<u32, f64>,
}

impl PrefixCache {
    /// Returns how many tokens at the start of a prompt are kept.
    pub(crate) fn cached_tokens(&self, prefixes: &[PromptPrefix], memory: u64) -> u32 {
        let oldest = self.total_read - memory as f64 * CACHE_FRACTION;
        let is_cached =
            |it: &&PromptPrefix| self.last_used.get(&it.hash).is_some_and(|at| oldest <= *at);
        prefixes.iter().take_while(is_cached).map(|it| it.tokens).sum()
    }

    /// Notes that parts were used.
    pub(crate) fn touch(&mut self, hashes: impl IntoIterator<Item = u32>, memory: u64) {
        self.last_used.extend(hashes.into_iter().map(|it| (it, self.total_read)));
        if PRUNE_THRESHOLD < self.last_used.len() {
            let oldest = self.total_read - memory as f64 * CACHE_FRACTION;
            self.last_used.retain(|_, at| oldest <= *at);
        }
    }

    /// Notes tokens that went into the memory.
    pub(crate) fn record_read(&mut self, tokens: f64) {
        self.total_read += tokens;
    }
}
