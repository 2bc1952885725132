//! `portfield-replay`: generates traces and replays them in virtual time.

use std::{
    fs,
    io::Write,
    path::{Path, PathBuf},
    time::Duration,
};

use clap::{Parser, Subcommand};
use eyre::bail;
use portfield_replay::{
    baseline::{self, Baseline},
    case::Case,
    metrics::{Metrics, Verdict},
    scaling, sim, trace,
};

/// Records and replays traces in virtual time.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Writes the trace of each case beside it.
    Record {
        /// Case files (TOML).
        cases: Vec<PathBuf>,
    },
    /// Replays each case and holds it against its stated outcome.
    Run {
        /// Case files (TOML).
        cases: Vec<PathBuf>,
    },
    /// Measures the slopes that docs/design/capacity-first-design.md is worked out from.
    Slopes,
    /// Replays the size to design for, in virtual time.
    Size {
        /// Seconds of virtual time.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// Replays each case under every policy and prints one table.
    Compare {
        /// Case files (TOML).
        cases: Vec<PathBuf>,
    },
}

fn main() -> eyre::Result<()> {
    match Args::parse().command {
        Command::Record { cases } => cases.iter().try_for_each(|it| record(it)),
        Command::Run { cases } => run(&cases),
        Command::Compare { cases } => compare(&cases),
        Command::Size { seconds } => {
            let report = scaling::replay_at_scale(Duration::from_secs(seconds));
            Ok(std::io::stdout().write_all(report.as_bytes())?)
        }
        Command::Slopes => Ok(std::io::stdout().write_all(scaling::cost_table().as_bytes())?),
    }
}

/// Generates the trace of a case and writes it beside the case file.
fn record(path: &Path) -> eyre::Result<()> {
    let arrivals = Case::read(path)?.generate_trace();
    let lines: Result<Vec<_>, _> = arrivals.iter().map(serde_json::to_string).collect();
    fs::write(path.with_extension("jsonl"), lines?.join("\n") + "\n")?;
    Ok(())
}

/// Replays cases and prints their metrics; an error if a metric isn't as expected.
fn run(cases: &[PathBuf]) -> eyre::Result<()> {
    let mut out = std::io::stdout();
    let mut n_failed = 0;
    for path in cases {
        let case = Case::read(path)?;
        let arrivals = trace::read(&path.with_extension("jsonl"))?;
        let metrics = sim::replay(&case, &arrivals);
        let (report, verdict) = metrics.check(&case.outcome);
        n_failed += usize::from(verdict == Verdict::Failed);
        let (answered, refused, orphaned) = metrics.ends;
        writeln!(
            out,
            "{}: {answered} answered, {refused} refused, {orphaned} orphaned",
            case_name(path)
        )?;
        writeln!(out, "{report}")?;
    }
    if 0 < n_failed {
        bail!("{n_failed} cases missed their outcome");
    }
    Ok(())
}

/// Replays cases under the fleet's policy and the baselines, and prints a table.
fn compare(cases: &[PathBuf]) -> eyre::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "| case | policy | gap | bound | utilisation | control B/s | longest wait s |")?;
    writeln!(out, "| --- | --- | ---: | ---: | ---: | ---: | ---: |")?;
    for path in cases {
        let case = Case::read(path)?;
        let arrivals = trace::read(&path.with_extension("jsonl"))?;
        let results = [
            ("fair", sim::replay(&case, &arrivals)),
            ("fifo", baseline::replay(Baseline::Fifo, &case, &arrivals)),
            ("local", baseline::replay(Baseline::Local, &case, &arrivals)),
        ];
        for (policy, metrics) in &results {
            writeln!(out, "{}", table_row(&case_name(path), policy, metrics))?;
        }
    }
    Ok(())
}

fn table_row(case: &str, policy: &str, metrics: &Metrics) -> String {
    format!(
        "| {case} | {policy} | {:.0} | {:.0} | {:.1} % | {:.0} | {:.1} |",
        metrics.gap,
        metrics.bound,
        metrics.utilisation * 100.0,
        metrics.control,
        metrics.wait
    )
}

/// Returns the file name of a case without its extension.
fn case_name(path: &Path) -> String {
    path.file_stem().map(|it| it.to_string_lossy().into_owned()).unwrap_or_default()
}
