//! `portfield-router`: takes callers' requests, waits for a grant, sends them upstream and
//! relays the answers.

mod admin;
mod answer;
mod call;
mod exchange;
mod front;
mod once;
mod relay;
mod session;
mod settings;
mod shell;
mod ticket;
mod upstream;
mod writes;

use std::path::PathBuf;

use async_signal::{Signal, Signals};
use clap::Parser;
use eyre::WrapErr;
use futures_lite::StreamExt;
use portfield_net::{clock, http1, logs, rt::Runtime};

use crate::{settings::Settings, shell::Shell};

/// Threads beside the main one.
const N_THREADS: usize = 1;

/// Takes callers' requests and relays the answers.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Settings file (TOML).
    #[arg(long)]
    settings: PathBuf,
    /// Only check the settings file.
    #[arg(long)]
    check: bool,
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let settings = Settings::open(&args.settings)?;
    if args.check {
        return Ok(());
    }
    logs::init();
    let rt = Runtime::default();
    rt.block_on(N_THREADS, run(rt.clone(), settings))
}

async fn run(rt: Runtime, settings: Settings) -> eyre::Result<()> {
    let (listener, address) = http1::bind(settings.listen).await.wrap_err("listen")?;
    let (admin, admin_address) = http1::bind(settings.admin).await.wrap_err("admin")?;
    let drain = settings.drain;
    let shell = Shell::new(rt.clone(), settings, address);
    log::info!(address:% = address, admin:% = admin_address; "started");
    rt.spawn(http1::serve(rt.clone(), admin, admin::handler(shell.clone())));
    rt.spawn(shell.clone().keep_time());
    rt.spawn(shell.clone().send_metrics());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let front = rt.task(front::serve(shell.clone(), listener, stopped));
    let mut signals = Signals::new([Signal::Term, Signal::Int]).wrap_err("signals")?;
    signals.next().await;
    log::info!("draining");
    shell.drain();
    clock::sleep(drain).await;
    drop(stop);
    front.await;
    shell.flush().await;
    log::info!("stopped");
    Ok(())
}
