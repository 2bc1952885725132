//! `portfield-burn`: reports how fast each workspace and service uses up its error budget.

mod html;
mod report;

use std::{fs, io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use clap::Parser;
use portfield_net::{http1::Client, platform::PlatformClient, rt::Runtime};

use crate::report::{Report, RouterReport};

/// Timeout of a request to the platform or a router.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Reads every router and reports burn rates over several windows.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address of the platform's services.
    #[arg(long, env = "PORTFIELD_PLATFORM")]
    platform: SocketAddr,
    /// Print JSON instead of the table.
    #[arg(long)]
    json: bool,
    /// Write a self-contained page to this file.
    #[arg(long)]
    html: Option<PathBuf>,
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let rt = Runtime::default();
    let report = rt.block_on(0, collect(args.platform))?;
    if let Some(file) = &args.html {
        fs::write(file, html::render(&report))?;
    }
    let text =
        if args.json { serde_json::to_string_pretty(&report)? + "\n" } else { report.table() };
    std::io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

/// Reads the reports of all routers in the platform's host list and merges them.
async fn collect(platform: SocketAddr) -> eyre::Result<Report> {
    let hosts = PlatformClient::new(platform, TIMEOUT).read_hosts().await?;
    let mut report = Report::default();
    for host in hosts {
        let client = Client { timeout: TIMEOUT, ..Client::direct(host.router_admin) };
        match client.get::<RouterReport>("/burn").await {
            Ok(it) => report.add(it),
            Err(_) => report.missing_hosts.push(host.router.ip().to_string()),
        }
    }
    Ok(report.finish())
}
