//! `portfield-scheduler`: owns shards of the upstream capacity and grants it in fair order.

mod admin;
mod app;
mod grpc;
mod settings;
mod watch;

use std::time::Duration;

use eyre::WrapErr;
use portfield::schedule::Event;
use portfield_net::{
    clock, daemon, http1, rpc, rt::Runtime, wire::scheduler_server::SchedulerServer,
};

use crate::{app::App, settings::Settings};

/// Time at shutdown for members and routers to learn that this scheduler hands its shards over.
const HANDOVER_TIME: Duration = Duration::from_millis(1500);
/// Number of threads in addition to the main thread.
const N_THREADS: usize = 0;

fn main() -> eyre::Result<()> {
    daemon::run(Settings::open, N_THREADS, run)
}

async fn run(rt: Runtime, settings: Settings) -> eyre::Result<()> {
    let (listener, address) = http1::bind(settings.listen).await.wrap_err("listen")?;
    let (admin, admin_address) = http1::bind(settings.admin).await.wrap_err("admin")?;
    let app = App::new(rt.clone(), &settings, address);
    log::info!(address:% = address, admin:% = admin_address; "started");
    rt.spawn(rpc::serve(
        rt.clone(),
        listener,
        SchedulerServer::new(grpc::GrpcServer::new(app.clone())),
    ));
    let admin_app = app.clone();
    rt.spawn(http1::serve(
        rt.clone(),
        admin,
        http1::sync_handler(move |it| admin::handle(&admin_app, it)),
    ));
    watch::start(&rt, &app, &settings);
    rt.spawn(app.clone().run_timers());
    daemon::shutdown_signal().await?;
    log::info!("handing shards over");
    app.handle_event(Event::Leave);
    clock::sleep(HANDOVER_TIME).await;
    log::info!("stopped");
    Ok(())
}
