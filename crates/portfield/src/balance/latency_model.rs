//! How long an engine takes to a first event, learned from those seen.

use std::time::Duration;

/// Reading speed before anything was seen, in tokens a millisecond.
///
/// Of the order of one large accelerator; after some tens of first events it no longer counts.
const INITIAL_RATE: f64 = 40.0;
/// Time to a first event with nothing to read, before anything was seen, in milliseconds.
const INITIAL_BASE: f64 = 60.0;
/// Weight of the figures above, in observations: after a start the first requests count, else fast engines are
/// believed slow for seconds, and callers are refused at idle ones.
const PRIOR_WEIGHT: f64 = 2.0;
/// What an observation still counts after the next one; 0.995 remembers some 200.
const DECAY: f64 = 0.995;
/// Slowest and fastest reading speed believed, in tokens a millisecond.
const RATE_BOUNDS: (f64, f64) = (5.0, 500.0);
/// Shortest and longest time believed for a first event with nothing to read, in milliseconds.
const BASE_BOUNDS: (f64, f64) = (1.0, 400.0);

/// A line through (tokens before the first event, time to it), by least squares with forgetting.
#[derive(Debug, Clone)]
pub(crate) struct LatencyModel {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    tokens_per_ms: f64,
    base: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        // Two clouds of made-up points on the first line: at no tokens and at 16,000.
        let far = 16_000.0;
        let y = |x: f64| INITIAL_BASE + x / INITIAL_RATE;
        let half = PRIOR_WEIGHT / 2.0;
        let mut res = Self {
            n: PRIOR_WEIGHT,
            x: half * far,
            y: half * (y(0.0) + y(far)),
            xx: half * far * far,
            xy: half * far * y(far),
            tokens_per_ms: INITIAL_RATE,
            base: INITIAL_BASE,
        };
        res.refit();
        res
    }
}

impl LatencyModel {
    /// Returns the time to a first event behind so many tokens, its own included.
    pub(crate) fn predict(&self, tokens: f64) -> f64 {
        self.base + tokens / self.tokens_per_ms
    }

    /// Returns the reading speed in tokens a millisecond.
    pub(crate) fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Takes one first event into account.
    pub(crate) fn observe(&mut self, tokens: f64, time: Duration) {
        let y = time.as_secs_f64() * 1000.0;
        // What took far longer than expected says that the engine is ill, not how fast it reads.
        if 3.0 * self.predict(tokens) + 200.0 < y {
            return;
        }
        for (sum, it) in [
            (&mut self.n, 1.0),
            (&mut self.x, tokens),
            (&mut self.y, y),
            (&mut self.xx, tokens * tokens),
            (&mut self.xy, tokens * y),
        ] {
            *sum = *sum * DECAY + it;
        }
        self.refit();
    }

    fn refit(&mut self) {
        let spread = self.n * self.xx - self.x * self.x;
        if spread <= 0.0 {
            return;
        }
        let slope = (self.n * self.xy - self.x * self.y) / spread;
        let slope = slope.clamp(1.0 / RATE_BOUNDS.1, 1.0 / RATE_BOUNDS.0);
        self.tokens_per_ms = 1.0 / slope;
        self.base = ((self.y - slope * self.x) / self.n).clamp(BASE_BOUNDS.0, BASE_BOUNDS.1);
    }
}
