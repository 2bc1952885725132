//! `portfield-bench`: measures the latency that a router adds and its memory per idle stream.

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
/// Streams opened concurrently.
const OPEN_BATCH: usize = 500;
/// Timeout for the next event of a stream.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

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
    /// Number of direct and of routed calls, made alternately.
    #[arg(long, default_value_t = 2000)]
    calls: usize,
    /// Number of idle streams to hold open.
    #[arg(long, default_value_t = 9500)]
    streams: usize,
    /// Process id of the router, to read its memory usage.
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
    let mut res = measure_latency(&args).await?;
    res += &measure_streams(&rt, &args).await?;
    Ok(res)
}

/// Compares the latency of direct and routed calls, made alternately.
async fn measure_latency(args: &Args) -> eyre::Result<String> {
    let mut direct = Histogram::<u64>::new(3)?;
    let mut routed = Histogram::<u64>::new(3)?;
    let request = |path: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
             connection: close\r\ncontent-length: 2\r\n\r\n{{}}",
            args.token
        )
    };
    for idx in 0..args.calls + args.calls / 10 {
        // The first calls are a warm-up, a tenth as many as are measured.
        let is_measured = args.calls / 10 <= idx;
        for (address, path, histogram) in
            [(args.direct, "/run", &mut direct), (args.router, args.path.as_str(), &mut routed)]
        {
            let start = Instant::now();
            let response = exchange(address, &request(path)).await?;
            ensure!(response.starts_with("HTTP/1.1 200"), "unexpected response: {response}");
            if is_measured {
                histogram.record(start.elapsed().as_micros() as u64)?;
            }
        }
    }
    let mut res = String::new();
    for q in [0.5, 0.99] {
        let [direct_us, routed_us] = [&direct, &routed].map(|it| it.value_at_quantile(q));
        let ratio = routed_us as f64 / direct_us as f64;
        res += &format!(
            "p{:.0}: direct {direct_us} us, routed {routed_us} us, ratio {ratio:.2}\n",
            q * 100.0
        );
    }
    Ok(res)
}

async fn exchange(address: SocketAddr, request: &str) -> eyre::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Opens idle streams, waits for an event on each and reports the router's memory usage.
async fn measure_streams(rt: &Runtime, args: &Args) -> eyre::Result<String> {
    let before = resident_bytes(args.pid)?;
    let mut streams = Vec::new();
    while streams.len() < args.streams {
        let n = OPEN_BATCH.min(args.streams - streams.len());
        let next_idx = streams.len();
        let tasks: Vec<_> = (next_idx..next_idx + n)
            .map(|idx| rt.spawn_cancellable(open_stream(args.router, args.token.clone(), idx)))
            .collect();
        for it in tasks {
            streams.push(it.await?);
        }
    }
    let after = resident_bytes(args.pid)?;
    // A stream counts as alive if it delivers another event.
    let mut n_alive = 0;
    for it in &mut streams {
        let mut bytes = [0; 512];
        let read = clock::timeout(EVENT_TIMEOUT, it.read(&mut bytes)).await;
        n_alive += usize::from(matches!(read, Some(Ok(n)) if 0 < n));
    }
    let stream_bytes = (after - before) / args.streams as u64;
    Ok(format!(
        "{n_alive} of {} idle streams alive; router {:.0} MB before, {:.0} MB with them, {stream_bytes} bytes a stream\n",
        args.streams,
        before as f64 / 1e6,
        after as f64 / 1e6,
    ))
}

/// Opens a stream and reads up to its first event.
async fn open_stream(router: SocketAddr, token: String, idx: usize) -> eyre::Result<TcpStream> {
    let body = format!("{{\"echo\":\"s{idx}\",\"max_tokens\":1000}}");
    let request = format!(
        "POST /scribe/run HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {token}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(router).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut received = Vec::new();
    let mut bytes = [0; 512];
    while !received.windows(5).any(|it| it == b"data:") {
        let read = clock::timeout(EVENT_TIMEOUT, stream.read(&mut bytes)).await;
        let n =
            read.ok_or_else(|| eyre::eyre!("stream {idx}: timed out waiting for an event"))??;
        ensure!(0 < n, "stream {idx} ended: {}", String::from_utf8_lossy(&received));
        received.extend_from_slice(&bytes[..n]);
    }
    Ok(stream)
}

/// Returns the resident memory of a process in bytes, assuming pages of 4 KiB.
fn resident_bytes(pid: u32) -> eyre::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/statm"))
        .wrap_err("cannot read the router's memory usage")?;
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    Ok(pages * 4096)
}
