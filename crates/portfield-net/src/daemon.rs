//! Command line, logging and shutdown signal of the long-running processes.

use std::path::PathBuf;

use async_signal::{Signal, Signals};
use clap::Parser;
use eyre::WrapErr;
use futures_lite::StreamExt;

use crate::{logs, rt::Runtime, settings};

/// Command line of a long-running process.
#[derive(Debug, Parser)]
#[command(name = "portfield", version)]
pub struct Args {
    /// Settings file (TOML).
    #[arg(long)]
    pub settings: PathBuf,
    /// Only check the settings file.
    #[arg(long)]
    pub check: bool,
}

/// Parses the command line, loads the settings and runs the process on the main thread and
/// `n_threads` more. Returns after loading the settings if `--check` was given.
///
/// # Errors
///
/// Returns an error if the settings are invalid, or the error of `run`.
pub fn run<S, F>(
    load_settings: impl FnOnce(&std::path::Path) -> Result<S, settings::Error>,
    n_threads: usize,
    run: impl FnOnce(Runtime, S) -> F,
) -> eyre::Result<()>
where
    F: Future<Output = eyre::Result<()>>,
{
    let args = Args::parse();
    let settings = load_settings(&args.settings)?;
    if args.check {
        return Ok(());
    }
    logs::init();
    let rt = Runtime::default();
    rt.block_on(n_threads, run(rt.clone(), settings))
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn shutdown_signal() -> eyre::Result<()> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).wrap_err("cannot install signal handlers")?;
    signals.next().await;
    Ok(())
}
