//! `portfield-replay`: records and replays traces in virtual time.

use std::{
    fs,
    path::{Path, PathBuf},
};

use clap::{Parser, Subcommand};
use portfield_replay::case::Case;

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
}

fn main() -> eyre::Result<()> {
    match Args::parse().command {
        Command::Record { cases } => cases.iter().try_for_each(|it| record(it)),
    }
}

fn record(path: &Path) -> eyre::Result<()> {
    let arrivals = Case::read(path)?.record();
    let lines: Result<Vec<_>, _> = arrivals.iter().map(serde_json::to_string).collect();
    fs::write(path.with_extension("jsonl"), lines?.join("\n") + "\n")?;
    Ok(())
}
