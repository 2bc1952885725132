//! Callers that read slowly or not at all, and the memory of the host that serves them.

mod fleet;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use async_net::{TcpListener, TcpStream as UpstreamStream};
use fleet::{Fleet, Host, config, connect, read_response, request, wait_until};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::json;

/// Memory of the host, as in the smallest hosts of the deployments.
const MEMORY_MB: u64 = 160;
/// Callers that never read.
const N_STALLED: usize = 500;
/// Size of the responses that they ask for; all of them are a gigabyte.
const LARGE: usize = 2 << 20;

/// How an upstream sends a response.
#[derive(Debug, Clone, Copy)]
enum Sending {
    /// Completely.
    Whole,
    /// Breaks off after this many bytes.
    BreakAfter(usize),
    /// Without a length, in chunks; breaks off after this many bytes.
    BreakChunksAfter(usize),
}

/// Starts an upstream of service `desk` that answers each request with `size` bytes.
fn start_upstream(fleet: &Fleet, id: &'static str, size: usize, sending: Sending) {
    let listener = futures_lite::future::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let (rt, body) = (fleet.rt.clone(), Arc::new(pattern(size)));
    fleet.rt.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let body = body.clone();
            rt.spawn(async move {
                let _ = respond(stream, id, &body, sending).await;
            });
        }
    });
    let entry = json!({ "service": "desk", "addr": address.to_string(), "zone": "north",
        "version": "v1", "slots": 2_000, "state": "ready", "cold_remaining_ms": 0, "seq": 1 });
    fleet.store.put("servers", id, &entry);
}

/// Answers the requests of one connection; their bodies are `body`.
async fn respond(
    mut stream: UpstreamStream,
    id: &str,
    body: &[u8],
    sending: Sending,
) -> std::io::Result<()> {
    loop {
        let mut received = Vec::new();
        let mut buffer = [0; 4096];
        while !received.ends_with(b"body") {
            let n = stream.read(&mut buffer).await?;
            if n == 0 {
                return Ok(());
            }
            received.extend_from_slice(&buffer[..n]);
        }
        let text = String::from_utf8_lossy(&received).to_lowercase();
        let attempt = text.lines().find_map(|it| it.strip_prefix("attempt-id: ")).unwrap();
        let head =
            format!("HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nreplica-signature: {id}\r\n");
        match sending {
            Sending::Whole => {
                let head = format!("{head}content-length: {}\r\n\r\n", body.len());
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(body).await?;
            }
            Sending::BreakAfter(n) => {
                let head = format!("{head}content-length: {}\r\n\r\n", body.len());
                stream.write_all(head.as_bytes()).await?;
                return stream.write_all(&body[..n]).await;
            }
            Sending::BreakChunksAfter(n) => {
                let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
                stream.write_all(head.as_bytes()).await?;
                for chunk in body[..n].chunks(8_000) {
                    stream.write_all(format!("{:x}\r\n", chunk.len()).as_bytes()).await?;
                    stream.write_all(chunk).await?;
                    stream.write_all(b"\r\n").await?;
                }
                return Ok(());
            }
        }
    }
}

/// Returns bytes that show a missing, repeated or moved part.
fn pattern(size: usize) -> Vec<u8> {
    (0..size).map(|it| (it / 251 + it % 251) as u8).collect()
}

/// Starts a host whose routes allow thirty seconds, with these settings.
fn start_host(fleet: &mut Fleet, settings: &str) -> Host {
    let mut config = config(2);
    for it in config["routes"].as_array_mut().unwrap() {
        it["timeout_ms"] = json!(30_000);
        it["target_latency_ms"] = json!(20_000);
    }
    config["services"][0]["max_conns"] = json!(5_000);
    config["limits"]["max_body_bytes"] = json!(1 << 20);
    fleet.store.put("op", "config", &config);
    let host = fleet.spawn_host(settings);
    wait_until("the host is ready", || host.is_ready());
    host
}

fn patient_request(route: &str, id: &str) -> String {
    request(route, id).replace("deadline-ms: 1200", "deadline-ms: 30000")
}

/// Opens a connection whose receive buffer is as small as the kernel allows, and sends a request.
fn send_slowly(listen: SocketAddr, text: &str) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&listen.into()).unwrap();
    let mut res = TcpStream::from(socket);
    res.write_all(text.as_bytes()).unwrap();
    res
}

/// Guards against a host that keeps whole responses for callers who do not read them until it runs out of
/// memory, and against one that then serves nobody else.
#[test]
fn stalled_callers_do_not_exhaust_the_memory() {
    let mut fleet = Fleet::new(0, 0);
    start_upstream(&fleet, "large", LARGE, Sending::Whole);
    let host = start_host(&mut fleet, &format!("memory_mb = {MEMORY_MB}"));
    let mut stalled = Vec::new();
    for n in 0..N_STALLED {
        stalled.push(send_slowly(host.listen, &patient_request("order", &format!("s{n}"))));
        // Over four seconds, so that the first callers count as stalled before the last ones come.
        thread::sleep(Duration::from_millis(8));
    }
    wait_until("all requests are taken or refused", || {
        host.metric("portfield_requests ") as usize == N_STALLED
    });
    thread::sleep(Duration::from_millis(1500));
    // A caller that reads gets its whole response, as connections of others are ended for it.
    let mut reader = connect(host.listen).unwrap();
    reader.write_all(patient_request("order", "reads").as_bytes()).unwrap();
    let response = read_response(&mut reader).unwrap();
    assert_eq!(response.status, 200, "{}", response.text());
    assert!(response.is_complete && response.body == pattern(LARGE));
    let (peak, held) = (host.peak_memory_mb(), host.metric("portfield_held_peak_bytes "));
    writeln!(std::io::stdout(), "peak: {peak} MB resident, {:.1} MB held", held / 1e6).unwrap();
    assert!(peak < MEMORY_MB, "{peak} MB");
    // Otherwise too few callers were stalled for this to be a test of memory.
    let n_ended = host.metric("portfield_stalled_callers_ended ");
    assert!(0.0 < n_ended, "memory was not short");
    let n_taken = N_STALLED as f64 - host.metric("portfield_refused{reason=\"HeldMemory\"} ");
    assert!(N_STALLED as f64 * 0.8 < n_taken, "only {n_taken} requests were taken");
    drop(stalled);
    wait_until("all is freed", || host.metric("portfield_held_bytes ") == 0.0);
}

/// Guards against a host that drops a caller who is slow but steady, or whose upstream cuts the response
/// off, where it could have read it in time.
#[test]
fn slow_but_steady_caller_gets_its_whole_response() {
    let mut fleet = Fleet::new(0, 0);
    start_upstream(&fleet, "large", LARGE, Sending::Whole);
    let host = start_host(&mut fleet, &format!("memory_mb = {MEMORY_MB}"));
    let mut caller = send_slowly(host.listen, &patient_request("order", "slow"));
    let start = Instant::now();
    // The upstream's part is over long before the caller has read it.
    wait_until("the host has the whole response", || !host.log_entries("answered").is_empty());
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    let mut received = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let head_end = loop {
        thread::sleep(Duration::from_millis(50));
        let n = caller.read(&mut buffer).unwrap();
        assert!(0 < n, "broken off after {} bytes", received.len());
        received.extend_from_slice(&buffer[..n]);
        if let Some(it) = received.windows(4).position(|it| it == b"\r\n\r\n") {
            break it + 4;
        }
    };
    while received.len() < head_end + LARGE {
        thread::sleep(Duration::from_millis(20));
        let n = caller.read(&mut buffer).unwrap();
        assert!(0 < n, "broken off after {} bytes", received.len());
        received.extend_from_slice(&buffer[..n]);
    }
    assert!(received[head_end..] == pattern(LARGE));
    assert!(Duration::from_millis(300) < start.elapsed());
}

/// Guards against a broken response that looks complete, with a length or in chunks, small or large.
#[test]
fn broken_response_never_looks_complete() {
    for sending in [
        Sending::BreakAfter(1_000),
        Sending::BreakAfter(LARGE - 1),
        Sending::BreakChunksAfter(1_000),
        Sending::BreakChunksAfter(LARGE - 1),
    ] {
        let mut fleet = Fleet::new(0, 0);
        start_upstream(&fleet, "breaks", LARGE, sending);
        let host = start_host(&mut fleet, "");
        let response = host.send(&patient_request("order", "r1"));
        assert!(response.status == 502 || !response.is_complete, "{sending:?}");
    }
}

/// Guards against a safe request that fails although its response broke before its caller got any
/// of it.
#[test]
fn safe_request_is_repeated_if_its_response_breaks_early() {
    let mut fleet = Fleet::new(1, 0);
    start_upstream(&fleet, "breaks", LARGE, Sending::BreakAfter(100_000));
    let host = start_host(&mut fleet, "");
    for n in 0..8 {
        let response = host.send(&patient_request("check", &format!("r{n}")));
        assert_eq!((response.status, response.text().as_str()), (200, "from plain-0"));
    }
    let n_broken = host.metric("portfield_answers_broken ");
    assert!(0.0 < n_broken, "no request reached the upstream that breaks off");
}

/// Guards against request bodies that are not counted: callers that announce bodies and hold them back
/// filled the memory. They are refused, with a time to retry, before they run.
#[test]
fn request_bodies_count_and_requests_are_refused_before_memory_runs_out() {
    const BODY: usize = 1 << 20;
    let mut fleet = Fleet::new(1, 0);
    let host = start_host(&mut fleet, "memory_mb = 20");
    let text = |id: &str| {
        patient_request("order", id)
            .replace("content-length: 4", &format!("content-length: {BODY}"))
    };
    // Some 7 MB may be held.
    let mut holding = Vec::new();
    wait_until("the bodies are awaited", || {
        // Those that were refused for want of processor time are sent again.
        while holding.len() < 6 + host.n_not_admitted() {
            let text = text(&format!("h{}", holding.len()));
            holding.push(send_slowly(host.listen, text.trim_end_matches("body")));
            thread::sleep(Duration::from_millis(20));
        }
        6e6 < host.metric("portfield_held_bytes ")
    });
    let mut caller = connect(host.listen).unwrap();
    caller.write_all(text("more").trim_end_matches("body").as_bytes()).unwrap();
    let response = read_response(&mut caller).unwrap();
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(response.text().contains("not-run"), "{}", response.text());
    assert_eq!(fleet.n_executed(), 0);
    drop(holding);
    wait_until("the memory is free", || host.metric("portfield_held_bytes ") == 0.0);
    assert_eq!(host.send(&patient_request("order", "later")).status, 200);
}

/// Guards against memory that fills because of a caller who never reads a response that is already
/// whole: it stays, and is delivered when the caller reads at last.
#[test]
fn whole_response_is_kept_for_a_stalled_caller() {
    const SIZE: usize = 1 << 20;
    let mut fleet = Fleet::new(0, 0);
    start_upstream(&fleet, "large", SIZE, Sending::Whole);
    let host = start_host(&mut fleet, "memory_mb = 20");
    let mut whole = send_slowly(host.listen, &patient_request("order", "whole"));
    wait_until("the response is whole", || !host.log_entries("answered").is_empty());
    thread::sleep(Duration::from_millis(1200));
    let mut others = Vec::new();
    wait_until("memory is short", || {
        // Those that were refused for want of processor time are sent again.
        while others.len() < 160 + host.n_not_admitted() {
            let text = patient_request("order", &format!("o{}", others.len()));
            others.push(send_slowly(host.listen, &text));
        }
        thread::sleep(Duration::from_millis(50));
        host.log_entries("short of memory").len() + host.log_entries("stalled caller ended").len()
            > 0
    });
    whole.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let response = read_response(&mut whole).unwrap();
    assert!(response.is_complete && response.body == pattern(SIZE));
    drop(others);
}
