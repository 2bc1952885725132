//! `portfield-router`: accepts callers' requests, waits for a grant, sends them upstream and relays
//! the responses.

mod admin;
mod app;
mod call;
mod dispatch;
mod idempotency;
mod relay;
mod response;
mod resume;
mod server;
mod session;
mod settings;
mod ticket;
mod upstream;
mod writes;

use eyre::WrapErr;
use portfield_net::{clock, daemon, http1, rt::Runtime};

use crate::{app::App, settings::Settings};

/// Number of threads in addition to the main thread.
const N_THREADS: usize = 1;

fn main() -> eyre::Result<()> {
    daemon::run(Settings::open, N_THREADS, run)
}

async fn run(rt: Runtime, settings: Settings) -> eyre::Result<()> {
    let (listener, address) = http1::bind(settings.listen).await.wrap_err("listen")?;
    let (admin, admin_address) = http1::bind(settings.admin).await.wrap_err("admin")?;
    let drain = settings.drain;
    let app = App::new(rt.clone(), settings, address);
    log::info!(address:% = address, admin:% = admin_address; "started");
    let admin_app = app.clone();
    rt.spawn(http1::serve(
        rt.clone(),
        admin,
        http1::sync_handler(move |it| admin::handle(&admin_app, it)),
    ));
    rt.spawn(app.clone().run_timers());
    rt.spawn(app.clone().report_metrics());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let server_task = rt.spawn_cancellable(server::serve(app.clone(), listener, stopped));
    daemon::shutdown_signal().await?;
    log::info!("draining");
    app.drain();
    clock::sleep(drain).await;
    drop(stop);
    server_task.await;
    app.flush().await;
    log::info!("stopped");
    Ok(())
}
