//! `portfield-scheduler`: owns shards of upstream capacity and grants it in fair order.

mod admin;
mod grpc;
mod settings;
mod shell;
mod watch;

use std::{path::PathBuf, time::Duration};

use async_signal::{Signal, Signals};
use clap::Parser;
use eyre::WrapErr;
use futures_lite::StreamExt;
use portfield::schedule::Event;
use portfield_net::{clock, http1, logs, rpc, rt::Runtime};

use crate::{settings::Settings, shell::Shell};

/// Time in which the members and routers learn of a hand-over before the process ends.
const HAND_OVER: Duration = Duration::from_millis(1500);
/// Threads beside the main one.
const N_THREADS: usize = 0;

/// Owns shards of upstream capacity and grants it in fair order.
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
    let shell = Shell::new(rt.clone(), &settings, address);
    log::info!(address:% = address, admin:% = admin_address; "started");
    rt.spawn(rpc::serve(rt.clone(), listener, grpc::Server::new(shell.clone())));
    let handler = admin::handler(shell.clone());
    rt.spawn(http1::serve(rt.clone(), admin, handler));
    watch::start(&rt, &shell, &settings);
    rt.spawn(shell.clone().keep_time());
    let mut signals = Signals::new([Signal::Term, Signal::Int]).wrap_err("signals")?;
    signals.next().await;
    log::info!("handing over");
    shell.feed(Event::Leave);
    clock::sleep(HAND_OVER).await;
    log::info!("stopped");
    Ok(())
}
