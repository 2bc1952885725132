//! Cost estimates learned from earlier requests.

use portfield::schedule::CostEstimator;

/// With a mean of ratios, single small hints for large requests raised all later estimates
/// twentyfold. Found by the replays of `rough` and `lies`.
#[test]
fn inaccurate_hints_are_ignored() {
    let mut it = CostEstimator::default();
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..400 {
        let cost = rng.u32(50..=60);
        let hint = (f64::from(cost) * 10f64.powf(rng.f64() * 2.0 - 1.0)) as u32 + 1;
        it.observe(1, hint, cost);
    }
    for hint in [5, 50, 500] {
        assert!((45..=65).contains(&it.estimate(1, hint)), "hint {hint}: {}", it.estimate(1, hint));
    }
}

#[test]
fn proportional_hints_are_used() {
    let mut it = CostEstimator::default();
    for cost in [10, 1000, 20, 900, 15, 1100, 10, 950, 12, 1000] {
        it.observe(1, cost * 2, cost);
    }
    assert!(it.estimate(1, 20) < 30);
    assert!(900 < it.estimate(1, 2000));
}
