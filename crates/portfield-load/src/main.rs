//! `portfield-load`: replays a trace against running routers and prints the measures.

mod client;
mod measure;
mod report;
mod sample;

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

use crate::{client::Sent, measure::Measure, sample::Samples};

/// Threads beside the main one.
const N_THREADS: usize = 3;
/// Time between two progress lines.
const PROGRESS_PERIOD: Duration = Duration::from_secs(5);

/// Replays a trace against running routers and prints the measures.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Trace file (JSON lines).
    #[arg(long)]
    trace: PathBuf,
    /// Address of the platform's services.
    #[arg(long, env = "PORTFIELD_PLATFORM")]
    platform: SocketAddr,
    /// Start of every workspace's token; the rest is its name.
    #[arg(long, default_value = "token-")]
    token_prefix: String,
    /// Longest time to go on after the last arrival, in seconds.
    #[arg(long, default_value_t = 60)]
    linger: u64,
    /// Print JSON in place of the table.
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
    let fleet = Arc::new(fleet.ok_or_eyre("no configuration is in force")?);
    let mut hosts = platform.read_hosts().await?;
    hosts.sort_by_key(|it| it.router);
    let measure = Arc::new(Mutex::new(Measure::new(&fleet)));
    let samples = Arc::new(Mutex::new(Samples::default()));
    let watch = rt.spawn_cancellable(sample::watch(hosts.clone(), fleet.clone(), samples.clone()));
    let start = clock::now();
    let n_total = arrivals.len();
    let (open, all_done) = async_channel::bounded::<()>(1);
    rt.spawn(show_progress(measure.clone(), n_total, open.downgrade()));
    for (idx, arrival) in arrivals.into_iter().enumerate() {
        let at = start + Duration::from_millis(arrival.at);
        clock::sleep(at.saturating_sub(clock::now())).await;
        let router = hosts[arrival.entry % hosts.len()].router;
        let token = format!("{}{}", args.token_prefix, arrival.workspace);
        let sent = Sent { idx, arrival, router, token };
        let (measure, open) = (measure.clone(), open.clone());
        rt.spawn(async move {
            client::run(sent, measure).await;
            drop(open);
        });
    }
    drop(open);
    let _ = clock::timeout(Duration::from_secs(args.linger), all_done.recv()).await;
    drop(watch);
    let measure = measure.lock().unwrap_or_else(PoisonError::into_inner);
    let samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
    let report = report::Report::new(&measure, &samples, n_total);
    if args.json {
        return Ok(serde_json::to_string_pretty(&report)? + "\n");
    }
    Ok(report.table())
}

async fn show_progress(
    measure: Arc<Mutex<Measure>>,
    n_total: usize,
    open: async_channel::WeakSender<()>,
) {
    while open.upgrade().is_some() {
        clock::sleep(PROGRESS_PERIOD).await;
        let n_ended = measure.lock().unwrap_or_else(PoisonError::into_inner).n_ended();
        let _ = writeln!(std::io::stderr(), "{n_ended} of {n_total} requests ended");
    }
}
