//! Estimates of the cost of requests, learned from the cost of earlier ones.

use std::collections::HashMap;

use crate::ids::WorkspaceId;

/// Weight of the newest observation in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// Estimate for a workspace without observations and a request without a hint, in tokens.
const DEFAULT_ESTIMATE: f64 = 200.0;
/// Largest estimate, in tokens.
const MAX_ESTIMATE: f64 = 32_768.0;

#[derive(Debug, Clone, Copy)]
struct CostStats {
    /// Mean cost in tokens.
    mean: f64,
    /// Ratio of the sum of actual costs to the sum of hinted costs, weighted to recent ones.
    ratio: f64,
    /// Mean absolute error of estimates by the mean, in tokens.
    mean_error: f64,
    /// Mean absolute error of estimates by the hint times the ratio, in tokens.
    hint_error: f64,
}

/// Estimates the cost of requests of one service, per workspace.
///
/// A hint is used unless the workspace's mean cost has been more accurate. It is multiplied by the
/// learned ratio, which corrects hints that are always too high or too low, by error or on purpose.
///
/// # Examples
///
/// ```
/// use portfield::schedule::CostEstimator;
///
/// let mut estimator = CostEstimator::default();
/// for _ in 0..100 {
///     estimator.observe(7, 1000, 100);
/// }
/// assert!(estimator.estimate(7, 1000) < 110);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CostEstimator {
    stats: HashMap<WorkspaceId, CostStats>,
}

impl CostEstimator {
    /// Returns the expected cost of a request, in tokens; a `hint` of zero means none.
    pub fn estimate(&self, id: WorkspaceId, hint: u32) -> u32 {
        let stats = self.stats.get(&id);
        let res = match (hint, stats) {
            (0, None) => DEFAULT_ESTIMATE,
            (0, Some(it)) => it.mean,
            (_, None) => f64::from(hint),
            (_, Some(it)) if it.mean_error < it.hint_error => it.mean,
            (_, Some(it)) => f64::from(hint) * it.ratio,
        };
        res.clamp(1.0, MAX_ESTIMATE) as u32
    }

    /// Records the actual cost of a request, in tokens.
    pub fn observe(&mut self, id: WorkspaceId, hint: u32, cost: u32) {
        let cost = f64::from(cost.max(1));
        let it = self.stats.entry(id).or_insert(CostStats {
            mean: cost,
            ratio: cost / f64::from(hint.max(1)),
            mean_error: 0.0,
            hint_error: 0.0,
        });
        it.mean_error += EWMA_WEIGHT * ((cost - it.mean).abs() - it.mean_error);
        it.mean += EWMA_WEIGHT * (cost - it.mean);
        if hint == 0 {
            return;
        }
        let hint = f64::from(hint);
        it.hint_error += EWMA_WEIGHT * ((cost - hint * it.ratio).abs() - it.hint_error);
        // The ratio is one of sums: in a mean of ratios, single small hints for large requests
        // would outweigh all others.
        let weight = EWMA_WEIGHT * (hint / (hint + it.mean));
        it.ratio += weight * (cost / hint - it.ratio);
    }
}
