//! `portfield-standins`: runs stand-ins for upstreams, the platform and links.

use std::{collections::HashMap, fs, io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Parser, Subcommand};
use eyre::eyre;
use http_types::Method;
use portfield_net::{http1, logs, rt::Runtime};
use portfield_standins::{platform, relay, upstream};

/// Number of worker threads besides the main thread.
const N_WORKERS: usize = 1;

/// Stand-ins for upstreams, the platform and links, for tests and the demo.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs upstreams that serve generations, as an engine, and plain calls.
    Upstream {
        /// Listen address; one upstream is started for each.
        #[arg(long, required = true)]
        listen: Vec<SocketAddr>,
        /// Interval between tokens of a generation that runs alone, in milliseconds.
        #[arg(long, default_value_t = 20)]
        token_ms: u64,
        /// Latency of a plain call, in milliseconds.
        #[arg(long, default_value_t = 5)]
        call_ms: u64,
    },
    /// Runs the platform: the table service, the object store and the host list.
    Platform {
        /// Listen address.
        #[arg(long)]
        listen: SocketAddr,
        /// JSON file with the initial host list; empty by default.
        #[arg(long)]
        hosts: Option<PathBuf>,
    },
    /// Sends a request to a stand-in or an admin port and prints the response body.
    Call {
        /// Address of the server.
        address: SocketAddr,
        /// Request path with query.
        path: String,
        /// JSON body; the request is a POST if given, a GET otherwise.
        body: Option<String>,
    },
    /// Relays connections between data centres, with a delay, and can cut links.
    Relay {
        /// Listen address for requests that change links.
        #[arg(long)]
        admin: SocketAddr,
        /// `NAME=ADDRESS`: listen address for connections from a data centre's hosts.
        #[arg(long = "from", required = true)]
        from: Vec<String>,
        /// `NAME=PREFIX`: common prefix of the IP addresses of a data centre.
        #[arg(long = "centre", required = true)]
        centres: Vec<String>,
        /// One-way delay of a link, in microseconds.
        #[arg(long, default_value_t = 500)]
        delay_us: u64,
    },
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    logs::init();
    let rt = Runtime::default();
    rt.block_on(N_WORKERS, run(rt.clone(), args.command))
}

async fn run(rt: Runtime, command: Command) -> eyre::Result<()> {
    match command {
        Command::Upstream { listen, token_ms, call_ms } => {
            let timing = upstream::Timing {
                token_interval: Duration::from_millis(token_ms),
                call_latency: Duration::from_millis(call_ms),
            };
            for address in listen {
                let (listener, address) = http1::bind(address).await?;
                log::info!(address:% = address; "started");
                rt.spawn(upstream::serve(rt.clone(), listener, timing));
            }
        }
        Command::Platform { listen, hosts } => {
            let (listener, address) = http1::bind(listen).await?;
            log::info!(address:% = address; "started");
            let json = hosts.map_or(Ok("[]".to_owned()), fs::read_to_string)?;
            let hosts = serde_json::from_str(&json)?;
            rt.spawn(platform::serve(rt.clone(), listener, hosts));
        }
        Command::Call { address, path, body } => {
            let method = if body.is_some() { Method::Post } else { Method::Get };
            let client = http1::Client::direct(address);
            let response =
                client.send(method, &path, body.unwrap_or_default().into_bytes()).await?;
            writeln!(std::io::stdout(), "{response}")?;
            return Ok(());
        }
        Command::Relay { admin, from, centres, delay_us } => {
            let mut listeners = HashMap::new();
            for (name, address) in parse_pairs(&from)? {
                let (listener, address) = http1::bind(address.parse()?).await?;
                log::info!(address:% = address, centre = name; "started");
                listeners.insert(name, listener);
            }
            let (admin, address) = http1::bind(admin).await?;
            log::info!(address:% = address, centre = ""; "started");
            let delay = Duration::from_micros(delay_us);
            relay::start(&rt, admin, listeners, parse_pairs(&centres)?, delay);
        }
    }
    std::future::pending().await
}

/// Parses arguments of the form `NAME=VALUE`.
fn parse_pairs(args: &[String]) -> eyre::Result<Vec<(String, String)>> {
    let parse = |it: &String| {
        let (name, value) =
            it.split_once('=').ok_or_else(|| eyre!("`{it}` is not of the form NAME=VALUE"))?;
        Ok((name.to_owned(), value.to_owned()))
    };
    args.iter().map(parse).collect()
}
