//! `portfield-bench`: the router's added latency and its memory for idle streams.

use std::{
    fs,
    io::Write,
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_net::TcpStream;
use clap::Parser;
use eyre::{WrapErr, ensure};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hdrhistogram::Histogram;
use portfield_net::{clock, rt::Runtime};

/// Threads beside the main one.
const N_THREADS: usize = 2;
/// Streams that are opened at once.
const OPENING: usize = 500;
/// Time in which a stream's first event must come.
const FIRST_EVENT: Duration = Duration::from_secs(60);

/// Measures one router against direct calls to the upstreams behind it.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address of the router.
    #[arg(long)]
    router: SocketAddr,
    /// Address of the plain upstream behind it.
    #[arg(long)]
    direct: SocketAddr,
    /// Path of the plain service at the router.
    #[arg(long, default_value = "/lookup/run")]
    path: String,
    /// Token of the workspace.
    #[arg(long, default_value = "token-large")]
    token: String,
    /// Calls of each kind, in turn.
    #[arg(long, default_value_t = 2000)]
    calls: usize,
    /// Idle streams held open at once.
    #[arg(long, default_value_t = 9500)]
    streams: usize,
    /// Process id of the router, to read its memory.
    #[arg(long)]
    pid: u32,
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let rt = Runtime::default();
    let text = rt.block_on(N_THREADS, run(rt.clone(), args))?;
    std::io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

async fn run(rt: Runtime, args: Args) -> eyre::Result<String> {
    let mut res = latency(&args).await?;
    res += &streams(&rt, &args).await?;
    Ok(res)
}

/// Calls directly and through the router in turn, and compares.
async fn latency(args: &Args) -> eyre::Result<String> {
    let mut direct = Histogram::<u64>::new(3)?;
    let mut routed = Histogram::<u64>::new(3)?;
    let call = |path: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
             connection: close\r\ncontent-length: 2\r\n\r\n{{}}",
            args.token
        )
    };
    for idx in 0..args.calls + args.calls / 10 {
        // The first tenth only warms up.
        let counts = args.calls / 10 <= idx;
        for (address, path, histogram) in
            [(args.direct, "/run", &mut direct), (args.router, args.path.as_str(), &mut routed)]
        {
            let start = Instant::now();
            let answer = exchange(address, &call(path)).await?;
            ensure!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            if counts {
                histogram.record(start.elapsed().as_micros() as u64)?;
            }
        }
    }
    let mut res = String::new();
    for q in [0.5, 0.99] {
        let [a, b] = [&direct, &routed].map(|it| it.value_at_quantile(q));
        let ratio = b as f64 / a as f64;
        res += &format!("p{:.0}: direct {a} us, routed {b} us, ratio {ratio:.2}\n", q * 100.0);
    }
    Ok(res)
}

async fn exchange(address: SocketAddr, call: &str) -> eyre::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(call.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Opens idle streams, waits for an event on each and reads the router's memory.
async fn streams(rt: &Runtime, args: &Args) -> eyre::Result<String> {
    let before = resident(args.pid)?;
    let mut open = Vec::new();
    while open.len() < args.streams {
        let n = OPENING.min(args.streams - open.len());
        let first = open.len();
        let tasks: Vec<_> = (first..first + n)
            .map(|idx| rt.spawn_cancellable(open_stream(args.router, args.token.clone(), idx)))
            .collect();
        for it in tasks {
            open.push(it.await?);
        }
    }
    let after = resident(args.pid)?;
    // Every stream must still be there and get its next event.
    let mut n_alive = 0;
    for it in &mut open {
        let mut bytes = [0; 512];
        let read = clock::timeout(FIRST_EVENT, it.read(&mut bytes)).await;
        n_alive += usize::from(matches!(read, Some(Ok(n)) if 0 < n));
    }
    let each = (after - before) / args.streams as u64;
    Ok(format!(
        "{n_alive} of {} idle streams alive; router {:.0} MB before, {:.0} MB with them, {each} bytes a stream\n",
        args.streams,
        before as f64 / 1e6,
        after as f64 / 1e6,
    ))
}

async fn open_stream(router: SocketAddr, token: String, idx: usize) -> eyre::Result<TcpStream> {
    let body = format!("{{\"echo\":\"s{idx}\",\"max_tokens\":1000}}");
    let call = format!(
        "POST /scribe/run HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {token}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(router).await?;
    stream.write_all(call.as_bytes()).await?;
    let mut seen = Vec::new();
    let mut bytes = [0; 512];
    while !seen.windows(5).any(|it| it == b"data:") {
        let read = clock::timeout(FIRST_EVENT, stream.read(&mut bytes)).await;
        let n = read.ok_or_else(|| eyre::eyre!("stream {idx}: no event"))??;
        ensure!(0 < n, "stream {idx} ended: {}", String::from_utf8_lossy(&seen));
        seen.extend_from_slice(&bytes[..n]);
    }
    Ok(stream)
}

fn resident(pid: u32) -> eyre::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).wrap_err("router's memory")?;
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    Ok(pages * 4096)
}
