//! `portfield-router`: takes callers' requests, waits for a grant, sends them upstream and
//! relays the answers.

mod admin;
mod answer;
mod call;
mod exchange;
mod front;
mod once;
mod relay;
mod resume;
mod session;
mod settings;
mod shell;
mod ticket;
mod upstream;
mod writes;

use eyre::WrapErr;
use portfield_net::{clock, daemon, http1, rt::Runtime};

use crate::{settings::Settings, shell::Shell};

/// Threads beside the main one.
const N_THREADS: usize = 1;

fn main() -> eyre::Result<()> {
    daemon::run(Settings::open, N_THREADS, run)
}

async fn run(rt: Runtime, settings: Settings) -> eyre::Result<()> {
    let (listener, address) = http1::bind(settings.listen).await.wrap_err("listen")?;
    let (admin, admin_address) = http1::bind(settings.admin).await.wrap_err("admin")?;
    let drain = settings.drain;
    let shell = Shell::new(rt.clone(), settings, address);
    log::info!(address:% = address, admin:% = admin_address; "started");
    let state = shell.clone();
    rt.spawn(http1::serve(
        rt.clone(),
        admin,
        http1::sync_handler(move |it| admin::answer(&state, it)),
    ));
    rt.spawn(shell.clone().keep_time());
    rt.spawn(shell.clone().send_metrics());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let front = rt.spawn_cancellable(front::serve(shell.clone(), listener, stopped));
    daemon::shutdown_signal().await?;
    log::info!("draining");
    shell.drain();
    clock::sleep(drain).await;
    drop(stop);
    front.await;
    shell.flush().await;
    log::info!("stopped");
    Ok(())
}
