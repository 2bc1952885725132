//! `portfield-burn`: how fast each workspace and service burns its error budget.

mod html;
mod report;

use std::{fs, io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use clap::Parser;
use portfield_net::{http1::Client, platform::PlatformClient, rt::Runtime};

use crate::report::{Answer, Report};

/// Time in which the platform and a router answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Reads every router and reports burn rates over several windows.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address of the platform's services.
    #[arg(long, env = "PORTFIELD_PLATFORM")]
    platform: SocketAddr,
    /// Print JSON in place of the table.
    #[arg(long)]
    json: bool,
    /// Write a self-contained page to this file.
    #[arg(long)]
    html: Option<PathBuf>,
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let rt = Runtime::default();
    let report = rt.block_on(0, read(args.platform))?;
    if let Some(file) = &args.html {
        fs::write(file, html::page(&report))?;
    }
    let text =
        if args.json { serde_json::to_string_pretty(&report)? + "\n" } else { report.table() };
    std::io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

async fn read(platform: SocketAddr) -> eyre::Result<Report> {
    let hosts = PlatformClient::new(platform, TIMEOUT).read_hosts().await?;
    let mut report = Report::default();
    for host in hosts {
        let target = Client { timeout: TIMEOUT, ..Client::direct(host.router_admin) };
        match target.get::<Answer>("/burn").await {
            Ok(answer) => report.add(answer),
            Err(_) => report.silent.push(host.router.ip().to_string()),
        }
    }
    Ok(report.finish())
}
