//! `portfield-replay`: records and replays traces in virtual time.

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
            let text = scaling::replay_at_scale(Duration::from_secs(seconds));
            Ok(std::io::stdout().write_all(text.as_bytes())?)
        }
        Command::Slopes => Ok(std::io::stdout().write_all(scaling::cost_table().as_bytes())?),
    }
}

fn record(path: &Path) -> eyre::Result<()> {
    let arrivals = Case::read(path)?.record();
    let lines: Result<Vec<_>, _> = arrivals.iter().map(serde_json::to_string).collect();
    fs::write(path.with_extension("jsonl"), lines?.join("\n") + "\n")?;
    Ok(())
}

fn run(cases: &[PathBuf]) -> eyre::Result<()> {
    let mut out = std::io::stdout();
    let mut n_broken = 0;
    for path in cases {
        let case = Case::read(path)?;
        let arrivals = trace::read(&path.with_extension("jsonl"))?;
        let metrics = sim::replay(&case, &arrivals);
        let (text, verdict) = metrics.check(&case.outcome);
        n_broken += usize::from(verdict == Verdict::Failed);
        let (answered, refused, orphaned) = metrics.ends;
        writeln!(
            out,
            "{}: {answered} answered, {refused} refused, {orphaned} orphaned",
            name(path)
        )?;
        writeln!(out, "{text}")?;
    }
    if 0 < n_broken {
        bail!("{n_broken} cases missed their outcome");
    }
    Ok(())
}

fn compare(cases: &[PathBuf]) -> eyre::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "| case | policy | gap | bound | utilisation | control B/s | longest wait s |")?;
    writeln!(out, "| --- | --- | ---: | ---: | ---: | ---: | ---: |")?;
    for path in cases {
        let case = Case::read(path)?;
        let arrivals = trace::read(&path.with_extension("jsonl"))?;
        let rows = [
            ("fair", sim::replay(&case, &arrivals)),
            ("fifo", baseline::replay(Baseline::Fifo, &case, &arrivals)),
            ("local", baseline::replay(Baseline::Local, &case, &arrivals)),
        ];
        for (policy, it) in &rows {
            writeln!(out, "{}", row(&name(path), policy, it))?;
        }
    }
    Ok(())
}

fn row(case: &str, policy: &str, it: &Metrics) -> String {
    format!(
        "| {case} | {policy} | {:.0} | {:.0} | {:.1} % | {:.0} | {:.1} |",
        it.gap,
        it.bound,
        it.utilisation * 100.0,
        it.control,
        it.wait
    )
}

fn name(path: &Path) -> String {
    path.file_stem().map(|it| it.to_string_lossy().into_owned()).unwrap_or_default()
}
