//! What the long-running processes have in common: arguments, logs, the signal to stop.

use std::path::PathBuf;

use async_signal::{Signal, Signals};
use clap::Parser;
use eyre::WrapErr;
use futures_lite::StreamExt;

use crate::{logs, rt::Runtime, settings};

/// Arguments of a long-running process.
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

/// Reads the arguments and the settings, and runs the process with `n_threads` threads beside
/// the main one.
///
/// # Errors
///
/// Where the settings are not acceptable, or what `run` says.
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

/// Waits until the process is told to stop.
///
/// # Errors
///
/// Where signals cannot be waited for.
pub async fn shutdown_signal() -> eyre::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int]).wrap_err("signals")?;
    signals.next().await;
    Ok(())
}
