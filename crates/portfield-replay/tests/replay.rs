//! Replays every case in `traces/` and checks its metrics and its determinism.

use std::{
    fs,
    path::{Path, PathBuf},
};

use portfield_replay::{
    baseline::{self, Baseline},
    case::Case,
    metrics::Verdict,
    sim, trace,
    trace::Arrival,
};

/// Returns the case files in `traces/`, sorted by name.
fn case_files() -> Vec<PathBuf> {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    let files = fs::read_dir(dir).unwrap().map(|it| it.unwrap().path());
    let mut res: Vec<_> =
        files.filter(|it| it.extension().is_some_and(|it| it == "toml")).collect();
    res.sort();
    assert!(20 < res.len());
    res
}

fn read_case(path: &Path) -> (Case, Vec<Arrival>) {
    (Case::read(path).unwrap(), trace::read(&path.with_extension("jsonl")).unwrap())
}

#[test]
fn every_case_reaches_its_expected_outcome() {
    let mut failures = String::new();
    for path in case_files() {
        let (case, arrivals) = read_case(&path);
        let (report, verdict) = sim::replay(&case, &arrivals).check(&case.outcome);
        if verdict == Verdict::Failed {
            failures += &format!("{}\n{report}\n", path.display());
        }
    }
    assert!(failures.is_empty(), "{failures}");
}

#[test]
fn recording_and_replay_are_deterministic() {
    for path in case_files() {
        let (case, arrivals) = read_case(&path);
        assert_eq!(case.generate_trace(), arrivals, "{}", path.display());
        let [a, b] = [0, 1].map(|_| sim::replay(&case, &arrivals));
        assert_eq!(a, b, "{}", path.display());
    }
}

/// Guards against a loss of fairness across hosts: baselines that decide without schedulers are
/// least fair in these cases, whose load is uneven.
#[test]
fn fairness_gap_is_below_a_fifth_of_the_baselines() {
    for path in case_files() {
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        if !["uneven", "no-callers", "no-engines", "shares", "overnight"].contains(&name.as_str()) {
            continue;
        }
        let (case, arrivals) = read_case(&path);
        let gap = sim::replay(&case, &arrivals).gap;
        for policy in [Baseline::Fifo, Baseline::Local] {
            let baseline_gap = baseline::replay(policy, &case, &arrivals).gap;
            assert!(
                gap * 5.0 < baseline_gap,
                "{name}: gap {gap} of the fleet, {baseline_gap} of {policy:?}"
            );
        }
    }
}
