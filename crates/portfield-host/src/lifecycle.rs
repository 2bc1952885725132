//! Start, reload and shutdown of the process.

use std::{
    path::PathBuf,
    sync::{Arc, PoisonError},
    time::Duration,
};

use async_io::Async;
use async_signal::{Signal, Signals};
use eyre::WrapErr;
use futures_lite::StreamExt;
use portfield::balance::{LocalHosts, MemoryCounts, OwnLoad, ProcessorUse};
use portfield_net::{clock, http1, logs, rpc, rt::Runtime};
use portfield_wire::peers_server::PeersServer;

use crate::{
    admin, engine_speeds, gathering, peers, server, settings::Settings, state::Host, store_watch,
};

/// Interval for checking whether all requests are finished during shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Timeout for closing idle connections at the end of shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs the process until it is told to stop.
pub(crate) async fn run(rt: Runtime, settings: Settings, path: PathBuf) -> eyre::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).wrap_err("signals")?;
    let mut settings = settings;
    let (listener, listen) = http1::bind(settings.listen).await.wrap_err("listen")?;
    let (ready, ready_address) = http1::bind(settings.ready).await.wrap_err("ready")?;
    let (metrics, metrics_address) = http1::bind(settings.metrics).await.wrap_err("metrics")?;
    let (peers_listener, peers_address) = http1::bind(settings.peers).await.wrap_err("peers")?;
    settings.peers = peers_address;
    let datagrams = Async::<std::net::UdpSocket>::bind(settings.peers).wrap_err("peers")?;
    let (host, pending_writes) = Host::new(rt.clone(), settings);
    log::info!(
        name = host.settings().name, incarnation = host.incarnation, listen:% = listen,
        ready:% = ready_address, metrics:% = metrics_address, peers:% = peers_address,
        version = env!("CARGO_PKG_VERSION"); "started"
    );
    if !clock::counts_suspend() {
        log::warn!(name = host.settings().name; "no clock counts time in system sleep");
    }
    let state = host.clone();
    let handler = http1::sync_handler(move |it| admin::readiness(&state, it));
    rt.spawn(http1::serve(rt.clone(), ready, handler));
    let state = host.clone();
    let handler = http1::sync_handler(move |it| admin::handle_operator(&state, it));
    rt.spawn(http1::serve(rt.clone(), metrics, handler));
    rt.spawn(rpc::serve(
        rt.clone(),
        peers_listener,
        PeersServer::new(peers::PeersService::new(host.clone())),
    ));
    peers::start(&host, datagrams);
    rt.spawn(monitor_load(host.clone()));
    store_watch::start(&host, pending_writes);
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let serving = rt.spawn_cancellable(server::serve(host.clone(), listener, stopped));
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        reload(&host, &path);
    }
    log::info!(grace_ms = host.settings().grace.as_millis() as u64; "stopping");
    let plan = host.begin_shutdown();
    clock::sleep(plan.accept_until().saturating_sub(clock::now())).await;
    while 0 < host.n_active() && clock::now() < plan.cutoff() {
        clock::sleep(DRAIN_POLL).await;
    }
    let cut = host.n_active();
    host.begin_closing();
    drop(stop);
    let ended = clock::timeout(CLOSE_TIMEOUT, serving).await.is_some();
    log::info!(ended, cut; "stopped");
    clock::sleep(LOG_FLUSH_TIME).await;
    Ok(())
}

/// Interval for measuring how late timers fire.
const LOAD_PERIOD: Duration = gathering::TICK;

/// Feeds timer delays to the load shedder, and logs when the host becomes busy or idle again.
async fn monitor_load(host: Arc<Host>) {
    let mut was_busy = false;
    let mut processor = ProcessorUse::default();
    let mut last_logged = clock::now();
    let mut speeds_logged = last_logged;
    loop {
        let due = clock::now() + LOAD_PERIOD;
        clock::sleep(LOAD_PERIOD).await;
        // A suspension delays timers too, but is no load.
        // A task that ran earlier may have noticed it.
        let was_suspended = host.resumed_at().is_some_and(|it| due <= it);
        let now = clock::now();
        let (is_busy, late, shortage) = {
            let mut shedder = host.load_shedder();
            if !was_suspended {
                shedder.observe(now, now.saturating_sub(due));
            }
            (shedder.is_overloaded(), shedder.lateness(), shedder.shortage())
        };
        let settings = host.settings();
        processor.observe(now, clock::processor_time(), settings.cpu_share);
        let shortage = shortage.max(processor.shortage());
        host.gathering.advance(shortage, settings.event_delay);
        if settings.ingress_balance.is_on() {
            balance_ingress(&host, processor.load());
        }
        if is_busy != was_busy {
            was_busy = is_busy;
            log::warn!(is_busy, late_ms = late, active = host.n_active(); "load state changed");
        }
        if last_logged + INGRESS_PERIOD <= now {
            last_logged = now;
            host.second_timer.advance();
            log_ingress(&host, late, is_busy);
            log_engine_memory(&host);
        }
        engine_speeds::log_slow(&host, &mut speeds_logged);
    }
}

/// Decides whether this host takes new connections, and which it closes.
fn balance_ingress(host: &Host, processor_load: f64) {
    let now = clock::now();
    let (load, late, largest_workspace) = {
        let shedder = host.load_shedder();
        let load = processor_load.max(shedder.load());
        (load, shedder.lateness(), shedder.largest_workspace(now))
    };
    let own = OwnLoad { load, n_connections: host.ingress.n_open(), largest_workspace };
    let hosts = {
        let peers = host.peers();
        let n_known = peers.hosts_in(host.own_data_centre()).len();
        LocalHosts { n_known, digest_period: peers.topology().period() }
    };
    let change = host.ingress_balance().update(now, own, hosts);
    let Some((rotation, others)) = change else { return };
    host.metrics.count("rotation_changes");
    log::warn!(
        rotation:?, load, late_ms = late, connections = own.n_connections, hosts = hosts.n_known,
        alive = others.n_alive, with_room = others.n_with_room, room = others.room,
        busier = others.n_busier; "rotation changed"
    );
}

/// Interval of the log line with the counts of callers' connections and requests.
pub(crate) const INGRESS_PERIOD: Duration = Duration::from_secs(1);

/// Logs the counts of the last interval if requests were refused for lack of processor time or the
/// host is busy.
fn log_ingress(host: &Host, late: f64, is_busy: bool) {
    let counts = host.ingress.take();
    if 0 < counts.n_moved {
        log::info!(n = counts.n_moved, connections = host.ingress.n_open(); "callers moved");
    }
    let n_refused = counts.n_refused();
    if n_refused == 0 && !is_busy {
        return;
    }
    let (workspace, n_of_it) = counts.most_refused();
    log::info!(
        requests = counts.n_requests, refused = n_refused, workspace, refused_of_it = n_of_it,
        accepted = counts.n_accepted, ended = counts.n_closed, left = counts.n_caller_closed,
        active = host.n_active(),
        late_ms = late, is_busy; "short of processor time"
    );
}

/// Logs and counts the decisions of the last interval on the engines' memory, if there were any.
fn log_engine_memory(host: &Host) {
    let counts = host.balancer().take_memory_counts();
    if counts == MemoryCounts::default() {
        return;
    }
    host.metrics.add("engines_reserved", counts.reserved);
    host.metrics.add("outputs_underestimated", counts.overruns);
    log::info!(
        refused = counts.refused, oversized = counts.oversized, reserved = counts.reserved,
        overruns = counts.overruns; "short of engine memory"
    );
}

/// Time for the last log lines to be written.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(20).saturating_add(logs::BATCH_PERIOD);

/// Reloads the settings; those that need a restart keep their value.
fn reload(host: &Arc<Host>, path: &std::path::Path) {
    match Settings::open(path) {
        Ok(new) => {
            let old = host.settings();
            let kept = Settings {
                listen: old.listen,
                ready: old.ready,
                peers: old.peers,
                metrics: old.metrics,
                store: old.store,
                ..new
            };
            let changed = *old != kept;
            host.balancer().set_options(kept.options);
            *host.settings.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(kept);
            log::info!(changed; "settings reloaded");
        }
        Err(err) => log::error!(err:%; "settings not reloaded"),
    }
}
