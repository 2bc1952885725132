//! Replays of recorded traces against their stated outcomes.

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

fn cases() -> Vec<PathBuf> {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    let files = fs::read_dir(dir).unwrap().map(|it| it.unwrap().path());
    let mut res: Vec<_> =
        files.filter(|it| it.extension().is_some_and(|it| it == "toml")).collect();
    res.sort();
    assert!(20 < res.len());
    res
}

fn read(path: &Path) -> (Case, Vec<Arrival>) {
    (Case::read(path).unwrap(), trace::read(&path.with_extension("jsonl")).unwrap())
}

#[test]
fn every_case_reaches_its_outcome() {
    let mut broken = String::new();
    for path in cases() {
        let (case, arrivals) = read(&path);
        let (text, verdict) = sim::replay(&case, &arrivals).check(&case.outcome);
        if verdict == Verdict::Failed {
            broken += &format!("{}\n{text}\n", path.display());
        }
    }
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn a_replay_gives_the_same_figures_each_time() {
    for path in cases() {
        let (case, arrivals) = read(&path);
        assert_eq!(case.record(), arrivals, "{}", path.display());
        let [a, b] = [0, 1].map(|_| sim::replay(&case, &arrivals));
        assert_eq!(a, b, "{}", path.display());
    }
}

/// The uneven cases are those that the baselines are worst at.
#[test]
fn the_gap_is_a_fraction_of_the_baselines() {
    for path in cases() {
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        if !["uneven", "no-callers", "no-engines", "shares", "overnight"].contains(&name.as_str()) {
            continue;
        }
        let (case, arrivals) = read(&path);
        let fair = sim::replay(&case, &arrivals).gap;
        for policy in [Baseline::Fifo, Baseline::Local] {
            let other = baseline::replay(policy, &case, &arrivals).gap;
            assert!(fair * 5.0 < other, "{name}: {fair} against {other} of {policy:?}");
        }
    }
}
