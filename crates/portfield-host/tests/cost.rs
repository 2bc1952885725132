//! CPU time of a host per request, measured by hand for docs/CAPACITY.md:
//!
//! `cargo test --release -p portfield-host --test cost -- --ignored --nocapture`

mod fleet;

use std::{
    fs,
    io::{self, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, config, connect, read_response, request, wait_until};
use portfield_platform_standins::UpstreamFault;

/// Number of callers, each with its own keep-alive connection.
const N_CALLERS: usize = 48;
/// Time for which callers send requests.
const DURATION: Duration = Duration::from_secs(8);
/// Length of a clock tick in `/proc/PID/stat`: the kernel reports CPU time in units of 10 ms.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Returns the CPU time that a host's process has used.
fn cpu_time(host: &Host) -> Duration {
    let text = fs::read_to_string(format!("/proc/{}/stat", host.pid())).unwrap();
    let fields: Vec<&str> = text.rsplit_once(") ").unwrap().1.split(' ').collect();
    // Fields 14 and 15 of proc(5): user and system time, in ticks.
    CLOCK_TICK * (fields[11].parse::<u32>().unwrap() + fields[12].parse::<u32>().unwrap())
}

/// Events of a stream, as many as the streams of the deployments have.
const N_EVENTS: u32 = 35;

/// Measures the CPU time of a host per relayed stream of [`N_EVENTS`] events.
fn measure_relay(extra_settings: &str) -> String {
    let mut fleet = Fleet::new(0, 140);
    let host = fleet.spawn_host(extra_settings);
    wait_until("the host is ready", || host.is_ready());
    // An engine of the fixture sends an event for each three tokens.
    let tokens = format!("token-count: 30,{}\r\n", N_EVENTS * 3);
    let (before, start) = (cpu_time(&host), Instant::now());
    let (mut n_completed, mut n_events) = (0, 0);
    thread::scope(|scope| {
        let caller = |caller: usize| {
            let (listen, tokens) = (host.listen, &tokens);
            scope.spawn(move || {
                let (mut n_completed, mut n_events) = (0, 0);
                let mut stream = TcpStream::connect(listen).unwrap();
                for n in 0.. {
                    if DURATION < start.elapsed() {
                        break;
                    }
                    let text = request("draft", &format!("{caller:04x}{n:08x}"));
                    let text = text.replace("token-count: 30,24\r\n", tokens);
                    // Longer than on a loaded machine the stream takes.
                    let text = text.replace("deadline-ms: 1200", "deadline-ms: 4000");
                    stream.write_all(text.as_bytes()).unwrap();
                    let response = read_response(&mut stream).unwrap();
                    n_completed += usize::from(response.status == 200);
                    n_events += response.event_ids().len();
                }
                (n_completed, n_events)
            })
        };
        let callers: Vec<_> = (0..N_CALLERS).map(caller).collect();
        for it in callers {
            let (completed, events) = it.join().unwrap();
            n_completed += completed;
            n_events += events;
        }
    });
    let time = cpu_time(&host) - before;
    let (events_per_request, per_request) =
        (n_events / n_completed.max(1), time / n_completed.max(1) as u32);
    format!("{n_completed} requests of {events_per_request} events: {per_request:?} per request")
}

#[test]
#[ignore = "a measurement, not a check"]
fn cpu_time_per_request() {
    writeln!(io::stdout(), "relay: {}", measure_relay("")).unwrap();
}

#[test]
#[ignore = "a measurement, not a check"]
fn cpu_time_per_request_of_a_busy_host() {
    // The share of a small host, of which this load is more than all.
    let res = measure_relay("cpu_share = 0.05\nevent_delay_ms = 200");
    writeln!(io::stdout(), "relay by a busy host: {res}").unwrap();
}

/// Body size of a request refused for overload, in bytes, as of a large prompt.
const LARGE_BODY: usize = 900;

/// Number of requests to reject; `Host::send` opens a connection for each, as callers in a flood do.
const N_REFUSED: u32 = 4_000;

#[test]
#[ignore = "a measurement, not a check"]
fn cpu_time_per_rejection() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.start_host();
    let before = cpu_time(&host);
    for n in 0..N_REFUSED {
        // An unknown API key is rejected as early as a request that an overloaded host refuses.
        let text = request("draft", &format!("{n:08x}")).replace("key-a", "key-of-nobody");
        assert_eq!(host.send(&text).status, 401);
    }
    let per_request = (cpu_time(&host) - before) / N_REFUSED;
    writeln!(io::stdout(), "{N_REFUSED} rejections: {per_request:?} each").unwrap();
}

#[test]
#[ignore = "a measurement, not a check"]
fn cpu_time_per_overload_refusal() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.spawn_host("active_limit = 1");
    wait_until("the host is ready", || host.is_ready());
    fleet.engines[0].set_fault(UpstreamFault::Hang);
    // Two hanging requests are one more than the limit, so all others are refused.
    let hanging: Vec<_> = (0..2)
        .map(|it| {
            let mut caller = connect(host.listen).unwrap();
            caller.write_all(request("draft", &format!("hang{it}")).as_bytes()).unwrap();
            caller
        })
        .collect();
    wait_until("both requests hang", || fleet.engines[0].n_executed() == 2);
    let before = cpu_time(&host);
    let body = "x".repeat(LARGE_BODY);
    for n in 0..N_REFUSED {
        let text = request("draft", &format!("{n:08x}"));
        let text = text.replace(
            "content-length: 4\r\n\r\nbody",
            &format!("content-length: {LARGE_BODY}\r\n\r\n{body}"),
        );
        // A refusal closes its connection, so each has its own.
        assert_eq!(host.send(&text).status, 503);
    }
    let per_request = (cpu_time(&host) - before) / N_REFUSED;
    writeln!(
        io::stdout(),
        "{N_REFUSED} overload refusals, each on its own connection: {per_request:?} each"
    )
    .unwrap();
    drop(hanging);
}

/// Number of upstreams of a large fleet.
const N_LISTED: u32 = 10_000;

#[test]
#[ignore = "a measurement, not a check"]
fn cpu_time_of_a_start_with_many_upstreams() {
    let mut fleet = Fleet::new(1, 1);
    for n in 0..N_LISTED {
        let mut entry = fleet.engines[0].entry("model", "ready");
        entry["born"] = serde_json::json!(1_764_720_000_000_u64 + u64::from(n));
        fleet.store.put("servers", &format!("i-{n:010x}"), &entry);
    }
    let host = fleet.start_host();
    let started = cpu_time(&host);
    for n in 0..50 {
        fleet.store.put("servers", &format!("i-{n:010x}"), &serde_json::json!({}));
        thread::sleep(Duration::from_millis(350));
    }
    let changes = (cpu_time(&host) - started) / 50;
    let before = cpu_time(&host);
    for n in 0..1000 {
        host.send(&request("draft", &format!("{n:08x}")));
    }
    let per_request = (cpu_time(&host) - before) / 1000;
    writeln!(
        io::stdout(),
        "{started:?} for the start, {changes:?} per change, {per_request:?} per request"
    )
    .unwrap();
}

/// Number of routes of a large configuration.
const N_ROUTES: usize = 10_000;

/// Returns the memory that a host's process has resident, in megabytes.
fn resident_mb(host: &Host) -> f64 {
    let text = fs::read_to_string(format!("/proc/{}/status", host.pid())).unwrap();
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<f64>().unwrap() / 1024.0
}

/// Guards against a configuration that takes longer to apply than the two seconds in which it must be
/// in force, at an eighth of a core, or that takes much of a host's 160 MB.
#[test]
#[ignore = "a measurement, not a check"]
fn cost_of_many_routes() {
    let mut fleet = Fleet::new(1, 1);
    let host = fleet.start_host();
    let per_request = |host: &Host| {
        let before = cpu_time(host);
        let mut caller = connect(host.listen).unwrap();
        for n in 0..2_000 {
            caller.write_all(request("order", &format!("{n:08x}")).as_bytes()).unwrap();
            let response = read_response(&mut caller).unwrap();
            assert_eq!(response.status, 200, "request {n}: {}", response.text());
        }
        (cpu_time(host) - before) / 2_000
    };
    let few = per_request(&host);
    for version in 2..6 {
        let mut config = config(version);
        let routes = config["routes"].as_array_mut().unwrap();
        let template = routes[0].clone();
        routes.extend((0..N_ROUTES).map(|it| {
            let mut route = template.clone();
            route["name"] = format!("r-{it}").into();
            route["prefix"] = format!("/group-{}/r-{it}/", it % 50).into();
            route
        }));
        let (before, memory, start) = (cpu_time(&host), resident_mb(&host), Instant::now());
        fleet.store.put("op", "config", &config);
        wait_until("it is in force", || host.metric("portfield_config_version ") == version as f64);
        let (cpu, time) = (cpu_time(&host) - before, start.elapsed());
        let grown = resident_mb(&host) - memory;
        writeln!(io::stdout(), "version {version}: {cpu:?} of CPU, {time:?}, {grown:.1} MB more")
            .unwrap();
    }
    let many = per_request(&host);
    writeln!(io::stdout(), "{few:?} per request with 5 routes, {many:?} with {N_ROUTES}").unwrap();
}
