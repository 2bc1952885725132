//! Sessions with schedulers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use portfield::{fleet::Fleet, ids::HostId, wire};
use portfield_net::{clock, rpc::Channel};

use crate::app::App;

/// Timeout for opening a session and for other calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens a session with a scheduler and handles its frames until it ends.
pub(crate) async fn run(app: Arc<App>, host: HostId, address: SocketAddr) {
    let (sender, receiver) = async_channel::unbounded();
    let hello = wire::RouterFrame { host: app.address.ip().to_string(), reports: Vec::new() };
    let _ = sender.try_send(hello);
    let open = async {
        let channel = connect(&app, address).await?;
        let frames = channel.scheduler().session(receiver).await.ok()?;
        Some((channel, frames.into_inner()))
    };
    let Some((channel, mut frames)) = clock::timeout(CALL_TIMEOUT, open).await.flatten() else {
        app.update(|it| it.session_closed(clock::now(), host));
        return;
    };
    let number = app.open_session(host, sender);
    log::info!(host:% = host, session = number; "session with scheduler opened");
    app.update(|it| it.session_opened(clock::now(), host));
    while let Ok(Some(frame)) = frames.message().await {
        if !app.is_current(host, number) {
            return;
        }
        app.update(|it| it.handle_frame(clock::now(), host, &frame));
    }
    drop(channel);
    log::info!(host:% = host, session = number; "session with scheduler closed");
    app.close_session(host, number);
}

/// Fetches the configuration from a scheduler that has a higher revision.
pub(crate) async fn fetch_config(app: Arc<App>, host: HostId) {
    let above = app.fleet().revision;
    let address = app.update(|it| it.scheduler_address(host));
    let Some(address) = address else { return };
    let call = async {
        let channel = connect(&app, address).await?;
        channel.scheduler().fetch(wire::FetchRequest { above }).await.ok()
    };
    let Some(reply) = clock::timeout(CALL_TIMEOUT, call).await.flatten() else { return };
    let Ok(fleet) = serde_json::from_str::<Fleet>(&reply.into_inner().fleet) else { return };
    let revision = fleet.revision;
    app.update(|it| it.update_fleet(fleet));
    log::info!(revision; "configuration fetched");
}

async fn connect(app: &App, address: SocketAddr) -> Option<Channel> {
    let stream = app.settings.links.connect("", address).await.ok()?;
    Channel::open(&app.rt, stream).await.ok()
}
