//! `portfield-scheduler`: owns shards of upstream capacity and grants it in fair order.

mod admin;
mod grpc;
mod settings;
mod shell;
mod watch;

use std::time::Duration;

use eyre::WrapErr;
use portfield::schedule::Event;
use portfield_net::{
    clock, daemon, http1, rpc, rt::Runtime, wire::scheduler_server::SchedulerServer,
};

use crate::{settings::Settings, shell::Shell};

/// Time in which the members and routers learn of a hand-over before the process ends.
const HAND_OVER: Duration = Duration::from_millis(1500);
/// Threads beside the main one.
const N_THREADS: usize = 0;

fn main() -> eyre::Result<()> {
    daemon::run(Settings::open, N_THREADS, run)
}

async fn run(rt: Runtime, settings: Settings) -> eyre::Result<()> {
    let (listener, address) = http1::bind(settings.listen).await.wrap_err("listen")?;
    let (admin, admin_address) = http1::bind(settings.admin).await.wrap_err("admin")?;
    let shell = Shell::new(rt.clone(), &settings, address);
    log::info!(address:% = address, admin:% = admin_address; "started");
    rt.spawn(rpc::serve(
        rt.clone(),
        listener,
        SchedulerServer::new(grpc::Server::new(shell.clone())),
    ));
    let state = shell.clone();
    rt.spawn(http1::serve(
        rt.clone(),
        admin,
        http1::sync_handler(move |it| admin::answer(&state, it)),
    ));
    watch::start(&rt, &shell, &settings);
    rt.spawn(shell.clone().keep_time());
    daemon::shutdown_signal().await?;
    log::info!("handing over");
    shell.feed(Event::Leave);
    clock::sleep(HAND_OVER).await;
    log::info!("stopped");
    Ok(())
}
