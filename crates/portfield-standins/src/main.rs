//! `portfield-standins`: stand-ins for tests and the demo.

use std::{collections::HashMap, fs, io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Parser, Subcommand};
use eyre::eyre;
use http_types::Method;
use portfield_net::{http1, logs, rt::Runtime};
use portfield_standins::{platform, relay, upstream};

/// Threads beside the main one.
const N_THREADS: usize = 1;

/// Stand-ins for upstreams, the platform and links.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    role: Role,
}

#[derive(Debug, Subcommand)]
enum Role {
    /// An engine or a plain service, told apart by what a request asks for.
    Upstream {
        /// Addresses to listen on, one upstream each.
        #[arg(long, required = true)]
        listen: Vec<SocketAddr>,
        /// Time between two tokens, in milliseconds, alone on the engine.
        #[arg(long, default_value_t = 20)]
        token_ms: u64,
        /// Time that a plain call takes, in milliseconds.
        #[arg(long, default_value_t = 5)]
        call_ms: u64,
    },
    /// The table service, the object store and the host list.
    Platform {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// File with the host list (JSON).
        #[arg(long)]
        hosts: Option<PathBuf>,
    },
    /// Sends one call to a stand-in or an admin port and prints the answer.
    Call {
        /// Where to.
        address: SocketAddr,
        /// Path and query.
        path: String,
        /// JSON body; makes it a POST.
        body: Option<String>,
    },
    /// Relays between data centres, with delay and cuts.
    Relay {
        /// Address of the switches.
        #[arg(long)]
        admin: SocketAddr,
        /// `NAME=ADDRESS`: where hosts of a data centre reach the others.
        #[arg(long = "from", required = true)]
        from: Vec<String>,
        /// `NAME=PREFIX`: start of the IP numbers of a data centre.
        #[arg(long = "centre", required = true)]
        centres: Vec<String>,
        /// One-way delay in microseconds.
        #[arg(long, default_value_t = 500)]
        delay_us: u64,
    },
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    logs::init();
    let rt = Runtime::default();
    rt.block_on(N_THREADS, run(rt.clone(), args.role))
}

async fn run(rt: Runtime, role: Role) -> eyre::Result<()> {
    match role {
        Role::Upstream { listen, token_ms, call_ms } => {
            let pace = upstream::Pace {
                token: Duration::from_millis(token_ms),
                call: Duration::from_millis(call_ms),
            };
            for address in listen {
                let (listener, address) = http1::bind(address).await?;
                log::info!(address:% = address; "started");
                rt.spawn(upstream::serve(rt.clone(), listener, pace));
            }
        }
        Role::Platform { listen, hosts } => {
            let (listener, address) = http1::bind(listen).await?;
            log::info!(address:% = address; "started");
            let text = hosts.map_or(Ok("[]".to_owned()), fs::read_to_string)?;
            let hosts = serde_json::from_str(&text)?;
            rt.spawn(platform::serve(rt.clone(), listener, hosts));
        }
        Role::Call { address, path, body } => {
            let method = if body.is_some() { Method::Post } else { Method::Get };
            let target = http1::Client::direct(address);
            let text = target.send(method, &path, body.unwrap_or_default().into_bytes()).await?;
            writeln!(std::io::stdout(), "{text}")?;
            return Ok(());
        }
        Role::Relay { admin, from, centres, delay_us } => {
            let mut listeners = HashMap::new();
            for (name, address) in pairs(&from)? {
                let (listener, address) = http1::bind(address.parse()?).await?;
                log::info!(address:% = address, centre = name; "started");
                listeners.insert(name, listener);
            }
            let (admin, address) = http1::bind(admin).await?;
            log::info!(address:% = address, centre = ""; "started");
            let delay = Duration::from_micros(delay_us);
            relay::start(&rt, admin, listeners, pairs(&centres)?, delay);
        }
    }
    std::future::pending().await
}

fn pairs(list: &[String]) -> eyre::Result<Vec<(String, String)>> {
    let split = |it: &String| {
        let (name, value) = it.split_once('=').ok_or_else(|| eyre!("`{it}`: write NAME=VALUE"))?;
        Ok((name.to_owned(), value.to_owned()))
    };
    list.iter().map(split).collect()
}
