//! What a request will cost, learned from what earlier ones did cost.

use std::collections::HashMap;

use crate::ids::WorkspaceId;

/// Weight of the newest observation.
const EWMA_WEIGHT: f64 = 0.1;
/// Estimate for a workspace that nothing is known of, in tokens.
const DEFAULT_ESTIMATE: f64 = 200.0;
/// Largest estimate, in tokens.
const MAX_ESTIMATE: f64 = 32_768.0;

#[derive(Debug, Clone, Copy)]
struct CostStats {
    /// Mean cost in tokens.
    mean: f64,
    /// Sum of actual costs over sum of hinted costs, the newest weighing most.
    ratio: f64,
    /// Mean errors of an estimate by the mean, and by the hint.
    mean_error: f64,
    hint_error: f64,
}

/// Learned costs of the workspaces of one service.
///
/// A hint counts only as far as it proved better than the workspace's mean cost, and the
/// learned ratio takes out a habit of hinting too high or too low, whether by error or on
/// purpose.
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
    /// Returns the expected cost in tokens; a `hint` of zero is none.
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

    /// Takes in what a request did cost.
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
        // A ratio of sums: one small hint for a large request doesn't outweigh the rest.
        let weight = EWMA_WEIGHT * (hint / (hint + it.mean));
        it.ratio += weight * (cost / hint - it.ratio);
    }
}
