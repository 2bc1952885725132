//! `portfield-load`: replays a trace against running routers and prints the measurements.

mod client;
mod measurements;
mod report;
mod samples;

use std::{
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use clap::Parser;
use eyre::OptionExt;
use portfield_net::{clock, fleet_store, platform::PlatformClient, rt::Runtime};
use portfield_replay::trace;

use crate::{client::PendingRequest, measurements::Measurements, samples::Samples};

/// Threads beside the main one.
const N_THREADS: usize = 3;
/// Time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Replays a trace against running routers and prints the measurements.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Trace file (JSON lines).
    #[arg(long)]
    trace: PathBuf,
    /// Address of the platform's services.
    #[arg(long, env = "PORTFIELD_PLATFORM")]
    platform: SocketAddr,
    /// Prefix of each workspace's token, followed by the name of the workspace.
    #[arg(long, default_value = "token-")]
    token_prefix: String,
    /// Maximum time to wait for responses after the last arrival, in seconds.
    #[arg(long, default_value_t = 60)]
    linger: u64,
    /// Print JSON instead of the table.
    #[arg(long)]
    json: bool,
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let rt = Runtime::default();
    let text = rt.block_on(N_THREADS, run(rt.clone(), args))?;
    std::io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

async fn run(rt: Runtime, args: Args) -> eyre::Result<String> {
    let arrivals = trace::read(&args.trace)?;
    let platform = PlatformClient::new(args.platform, Duration::from_secs(2));
    let fleet = fleet_store::read_fleet(&platform, 0).await?;
    let fleet = Arc::new(fleet.ok_or_eyre(
        "no configuration is in force; run `portfieldctl plan` and `portfieldctl confirm`",
    )?);
    let mut hosts = platform.read_hosts().await?;
    hosts.sort_by_key(|it| it.router);
    let measurements = Arc::new(Mutex::new(Measurements::new(&fleet)));
    let samples = Arc::new(Mutex::new(Samples::default()));
    let sampler =
        rt.spawn_cancellable(samples::poll_hosts(hosts.clone(), fleet.clone(), samples.clone()));
    let start = clock::now();
    let n_total = arrivals.len();
    let (in_flight, all_done) = async_channel::bounded::<()>(1);
    rt.spawn(print_progress(measurements.clone(), n_total, in_flight.downgrade()));
    for (idx, arrival) in arrivals.into_iter().enumerate() {
        let at = start + Duration::from_millis(arrival.at);
        clock::sleep(at.saturating_sub(clock::now())).await;
        let router = hosts[arrival.entry % hosts.len()].router;
        let token = format!("{}{}", args.token_prefix, arrival.workspace);
        let pending = PendingRequest { idx, arrival, router, token };
        let (measurements, in_flight) = (measurements.clone(), in_flight.clone());
        rt.spawn(async move {
            client::send(pending, measurements).await;
            drop(in_flight);
        });
    }
    drop(in_flight);
    let _ = clock::timeout(Duration::from_secs(args.linger), all_done.recv()).await;
    drop(sampler);
    let measurements = measurements.lock().unwrap_or_else(PoisonError::into_inner);
    let samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
    let report = report::Report::new(&measurements, &samples, n_total);
    if args.json {
        return Ok(serde_json::to_string_pretty(&report)? + "\n");
    }
    Ok(report.table())
}

/// Prints progress to standard error until all requests have ended.
async fn print_progress(
    measurements: Arc<Mutex<Measurements>>,
    n_total: usize,
    in_flight: async_channel::WeakSender<()>,
) {
    while in_flight.upgrade().is_some() {
        clock::sleep(PROGRESS_INTERVAL).await;
        let n_ended = measurements.lock().unwrap_or_else(PoisonError::into_inner).n_ended();
        let _ = writeln!(std::io::stderr(), "{n_ended} of {n_total} requests ended");
    }
}
