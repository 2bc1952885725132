//! `portfield-host`: the router process of one host.
//!
//! Accepts callers' requests, places each of them on an upstream without asking another process,
//! and relays the response. Its state comes from the platform's store and the other hosts' digests.

mod active_probes;
mod admin;
mod atomic_instant;
mod attempt;
mod cache_transfer;
mod call;
mod cold_start;
mod engine_speeds;
mod evacuations;
mod exchange;
mod forward;
mod gathering;
mod hedge;
mod held_memory;
mod host_discovery;
mod ingress;
mod lifecycle;
mod liveness;
mod metrics;
mod newer_copy;
mod peers;
mod placement;
mod pool;
mod probe;
mod quarantine;
mod quarantine_store;
mod read_ahead;
mod relay;
mod response;
mod server;
mod settings;
mod software_versions;
mod state;
mod store_watch;
mod streams;
mod suspension;
mod table_read;
mod upstream_list;
mod upstream_signals;

use std::path::PathBuf;

use clap::Parser;
use portfield_net::{logs, rt::Runtime};

use crate::settings::Settings;

/// The router process of one host.
#[derive(Debug, Parser)]
#[command(name = "portfield-host", version)]
struct Args {
    /// Settings file (TOML).
    #[arg(long, env = "PORTFIELD_CONFIG")]
    settings: PathBuf,
    /// Only check the settings file.
    #[arg(long)]
    check: bool,
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let settings = Settings::open(&args.settings)?;
    if args.check {
        return Ok(());
    }
    logs::init_rate_limited(settings.log_lines as u32)?;
    let rt = Runtime::default();
    rt.block_on(0, lifecycle::run(rt.clone(), settings, args.settings))
}
