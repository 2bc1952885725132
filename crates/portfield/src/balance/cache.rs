//! Which parts of prompts an engine keeps, as far as the hosts know.

use super::{fast_map::FastMap, prompt::Link};

/// Part of an engine's memory that parts survive in; the rest is what runs.
///
/// With 20 to 30 requests of 4,000 tokens running, a fifth to a quarter is theirs.
const KEPT: f64 = 0.7;
/// Entries at which those that are surely gone are dropped.
const SWEEP: usize = 4096;

/// The parts that one engine keeps.
///
/// The least recently used part yields. Instead of the engine's list this keeps an odometer of
/// the tokens that went into its memory: a part is gone once a memory's worth has gone in since
/// its last use.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    odometer: f64,
    used: FastMap<u32, f64>,
}

impl Cache {
    /// Returns how many tokens at the start of a prompt are kept.
    pub(crate) fn kept(&self, chain: &[Link], memory: u64) -> u32 {
        let oldest = self.odometer - memory as f64 * KEPT;
        let is_kept = |it: &&Link| self.used.get(&it.hash).is_some_and(|at| oldest <= *at);
        chain.iter().take_while(is_kept).map(|it| it.tokens).sum()
    }

    /// Notes that parts were used.
    pub(crate) fn touch(&mut self, hashes: impl IntoIterator<Item = u32>, memory: u64) {
        self.used.extend(hashes.into_iter().map(|it| (it, self.odometer)));
        if SWEEP < self.used.len() {
            let oldest = self.odometer - memory as f64 * KEPT;
            self.used.retain(|_, at| oldest <= *at);
        }
    }

    /// Notes tokens that went into the memory.
    pub(crate) fn read(&mut self, tokens: f64) {
        self.odometer += tokens;
    }
}
