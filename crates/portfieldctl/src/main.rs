//! `portfieldctl`: operators state an intent, read the plan and confirm it.

mod change;
mod evacuations;
mod explain;
mod logs;
mod quarantine;
mod status;

use std::{io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Parser, Subcommand};
use eyre::OptionExt;
use portfield_net::{platform::Platform, rt::Runtime};

/// Time in which the platform answers.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Operates a portfield fleet.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address of the platform's services.
    #[arg(long, env = "PORTFIELD_PLATFORM")]
    platform: Option<SocketAddr>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Shows what an intent would change, and keeps the plan for `confirm`.
    Plan {
        /// File with the intent (TOML).
        file: PathBuf,
    },
    /// Puts a plan in force.
    Confirm {
        /// The plan's id, as `plan` printed it.
        id: String,
    },
    /// Plans the leave of an upstream: after `confirm` it gets no new work.
    Drain {
        /// The upstream's address.
        upstream: SocketAddr,
    },
    /// Shows the fleet, what is wrong first.
    Status,
    /// Tells what was decided on a request, in order.
    Explain {
        /// The request's id, as its answer carried it.
        request: String,
        /// Files with the hosts' logs, `-` for standard input, in place of asking live hosts.
        #[arg(long, num_args = 1..)]
        logs: Vec<PathBuf>,
    },
    /// Lists the data centres to which a host sends nothing, by the operator's order.
    Evacuations {
        /// Metrics address of any host.
        host: SocketAddr,
    },
    /// Lists the requests that hosts refuse because upstreams ended under them, or lets one run again.
    Quarantine {
        /// Metrics address of any host.
        host: SocketAddr,
        /// Fingerprint of the request that may run again, as the list and the logs have it.
        #[arg(long)]
        lift: Option<String>,
    },
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let rt = Runtime::default();
    let text = rt.block_on(0, run(args))?;
    std::io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

async fn run(args: Args) -> eyre::Result<String> {
    let platform = || {
        let address = args.platform.ok_or_eyre("name the platform: --platform ADDRESS")?;
        Ok::<_, eyre::Report>(Platform::new(address, PLATFORM_TIMEOUT))
    };
    match args.command {
        Command::Plan { file } => change::plan(&platform()?, &file).await,
        Command::Confirm { id } => change::confirm(&platform()?, &id).await,
        Command::Drain { upstream } => change::drain(&platform()?, upstream).await,
        Command::Status => status::show(&platform()?).await,
        Command::Explain { request, logs } if !logs.is_empty() => logs::show(&logs, &request),
        Command::Explain { request, .. } => explain::show(&platform()?, &request).await,
        Command::Evacuations { host } => evacuations::show(host).await,
        Command::Quarantine { host, lift: Some(it) } => quarantine::lift(host, &it).await,
        Command::Quarantine { host, lift: None } => quarantine::show(host).await,
    }
}
