//! `portfieldctl`: command line tool with which operators change and inspect a fleet.

mod change;
mod evacuations;
mod explain;
mod logs;
mod quarantine;
mod status;

use std::{io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Parser, Subcommand};
use eyre::OptionExt;
use portfield_net::{platform::PlatformClient, rt::Runtime};

/// Timeout of a call to the platform.
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
    /// Shows the changes that an intent makes and stores the plan for `confirm`.
    Plan {
        /// TOML file with the intent.
        file: PathBuf,
    },
    /// Puts a plan in force.
    Confirm {
        /// Id of the plan, as printed by `plan`.
        id: String,
    },
    /// Plans to drain an upstream: after `confirm` it gets no new requests.
    Drain {
        /// Address of the upstream.
        upstream: SocketAddr,
    },
    /// Shows the state of the fleet, problems first.
    Status,
    /// Shows the decisions on a request, in order of time.
    Explain {
        /// Id of the request, as in its response.
        request: String,
        /// Log files of the hosts to read instead of asking live hosts; `-` is standard input.
        #[arg(long, num_args = 1..)]
        logs: Vec<PathBuf>,
    },
    /// Lists the data centres to which a host sends no requests, by the operator's order.
    Evacuations {
        /// Metrics address of any host.
        host: SocketAddr,
    },
    /// Lists the requests that hosts refuse because upstreams ended while running them, or lets one
    /// run again.
    Quarantine {
        /// Metrics address of any host.
        host: SocketAddr,
        /// Fingerprint of the request that may run again, as in the list and in the logs.
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
        let address = args
            .platform
            .ok_or_eyre("no platform address: pass --platform ADDRESS or set PORTFIELD_PLATFORM")?;
        Ok::<_, eyre::Report>(PlatformClient::new(address, PLATFORM_TIMEOUT))
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
