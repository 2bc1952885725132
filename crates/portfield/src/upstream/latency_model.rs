//! Time to an engine's first event, learned from observed requests.

use std::time::Duration;

/// Initial reading speed, in tokens per millisecond.
///
/// About that of one large accelerator; after some tens of first events it no longer matters.
const INITIAL_RATE: f64 = 40.0;
/// Initial time to a first event with nothing to read, in milliseconds.
const INITIAL_BASE: f64 = 60.0;
/// Weight of the initial values, in observations. It is small so that the first requests after a
/// start count; otherwise fast engines are taken for slow ones for seconds, and requests are
/// refused while engines are idle.
const PRIOR_WEIGHT: f64 = 2.0;
/// Factor applied to past observations with each new one; 0.995 remembers about 200.
const DECAY: f64 = 0.995;
/// Lower and upper bound of the reading speed, in tokens per millisecond.
const RATE_BOUNDS: (f64, f64) = (5.0, 500.0);
/// Lower and upper bound of the time to a first event with nothing to read, in milliseconds.
const BASE_BOUNDS: (f64, f64) = (1.0, 400.0);

/// Linear regression of the time to the first event on the tokens read before it, by least squares
/// with exponential forgetting.
#[derive(Debug, Clone)]
pub(crate) struct LatencyModel {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    tokens_per_ms: f64,
    base: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        // Two groups of synthetic points on the initial line, at 0 and at 16,000 tokens.
        let far = 16_000.0;
        let y = |x: f64| INITIAL_BASE + x / INITIAL_RATE;
        let half = PRIOR_WEIGHT / 2.0;
        let mut res = Self {
            weight: PRIOR_WEIGHT,
            sum_x: half * far,
            sum_y: half * (y(0.0) + y(far)),
            sum_xx: half * far * far,
            sum_xy: half * far * y(far),
            tokens_per_ms: INITIAL_RATE,
            base: INITIAL_BASE,
        };
        res.refit();
        res
    }
}

impl LatencyModel {
    /// Returns the predicted time to a first event, in milliseconds, with `tokens` to read before
    /// it, the request's own included.
    pub(crate) fn predict(&self, tokens: f64) -> f64 {
        self.base + tokens / self.tokens_per_ms
    }

    /// Returns the reading speed in tokens per millisecond.
    pub(crate) fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Records the time to a first event with `tokens` to read before it.
    pub(crate) fn observe(&mut self, tokens: f64, time: Duration) {
        let y = time.as_secs_f64() * 1000.0;
        // A time far above the prediction is a sign of a failing engine, not of its reading speed.
        if 3.0 * self.predict(tokens) + 200.0 < y {
            return;
        }
        for (sum, it) in [
            (&mut self.weight, 1.0),
            (&mut self.sum_x, tokens),
            (&mut self.sum_y, y),
            (&mut self.sum_xx, tokens * tokens),
            (&mut self.sum_xy, tokens * y),
        ] {
            *sum = *sum * DECAY + it;
        }
        self.refit();
    }

    fn refit(&mut self) {
        let spread = self.weight * self.sum_xx - self.sum_x * self.sum_x;
        if spread <= 0.0 {
            return;
        }
        let slope = (self.weight * self.sum_xy - self.sum_x * self.sum_y) / spread;
        let slope = slope.clamp(1.0 / RATE_BOUNDS.1, 1.0 / RATE_BOUNDS.0);
        self.tokens_per_ms = 1.0 / slope;
        self.base =
            ((self.sum_y - slope * self.sum_x) / self.weight).clamp(BASE_BOUNDS.0, BASE_BOUNDS.1);
    }
}
