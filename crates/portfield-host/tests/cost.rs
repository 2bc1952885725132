//! What a request costs a host in processor time; by hand, with numbers for docs/CAPACITY.md:
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

use fleet::{Fleet, Host, connect, read_answer, request, until};
use portfield_platform_standins::UpstreamFault;

/// Callers, each with a connection of its own that it keeps.
const N_CALLERS: usize = 48;
/// Time for which they send.
const TIME: Duration = Duration::from_secs(8);
/// Time of the kernel's processor clock tick.
const TICK: Duration = Duration::from_millis(10);

/// Returns the processor time that a process has used.
fn used(host: &Host) -> Duration {
    let text = fs::read_to_string(format!("/proc/{}/stat", host.pid())).unwrap();
    let fields: Vec<&str> = text.rsplit_once(") ").unwrap().1.split(' ').collect();
    // Fields 14 and 15 of proc(5): user and system time, in ticks.
    TICK * (fields[11].parse::<u32>().unwrap() + fields[12].parse::<u32>().unwrap())
}

#[test]
#[ignore = "a measurement, not a check"]
fn processor_time_of_a_request() {
    let mut fleet = Fleet::new(0, 140);
    let host = fleet.host();
    let (before, start) = (used(&host), Instant::now());
    let (mut n_whole, mut n_events) = (0, 0);
    thread::scope(|scope| {
        let caller = |caller: usize| {
            let listen = host.listen;
            scope.spawn(move || {
                let (mut n_whole, mut n_events) = (0, 0);
                let mut stream = TcpStream::connect(listen).unwrap();
                for n in 0.. {
                    if TIME < start.elapsed() {
                        break;
                    }
                    let text = request("draft", &format!("{caller:04x}{n:08x}"));
                    stream.write_all(text.as_bytes()).unwrap();
                    let answer = read_answer(&mut stream).unwrap();
                    n_whole += usize::from(answer.status == 200);
                    n_events += answer.events().len();
                }
                (n_whole, n_events)
            })
        };
        let callers: Vec<_> = (0..N_CALLERS).map(caller).collect();
        for it in callers {
            let (whole, events) = it.join().unwrap();
            n_whole += whole;
            n_events += events;
        }
    });
    let time = used(&host) - before;
    let (n_each, each) = (n_events / n_whole.max(1), time / n_whole.max(1) as u32);
    writeln!(io::stdout(), "{n_whole} requests of {n_each} events: {each:?} a request").unwrap();
}

/// Bytes of the body of a request that is refused for load: that of a large prompt.
const LARGE_BODY: usize = 900;

/// Requests that are turned away, each on a connection of its own, as callers of a flood send them.
const N_REFUSED: u32 = 4_000;

#[test]
#[ignore = "a measurement, not a check"]
fn processor_time_of_a_refusal() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.host();
    let before = used(&host);
    for n in 0..N_REFUSED {
        // A key of no workspace: refused as early as what a busy host does not admit.
        let text = request("draft", &format!("{n:08x}")).replace("key-a", "key-of-nobody");
        assert_eq!(host.send(&text).status, 401);
    }
    let each = (used(&host) - before) / N_REFUSED;
    writeln!(io::stdout(), "{N_REFUSED} refusals: {each:?} each").unwrap();
}

#[test]
#[ignore = "a measurement, not a check"]
fn processor_time_of_a_refusal_for_load() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.start("active_limit = 1");
    until("the host is ready", || host.is_ready());
    fleet.engines[0].set_fault(UpstreamFault::Hang);
    // Two requests that hang are one more than may run at once: the rest is refused.
    let hanging: Vec<_> = (0..2)
        .map(|it| {
            let mut caller = connect(host.listen).unwrap();
            caller.write_all(request("draft", &format!("hang{it}")).as_bytes()).unwrap();
            caller
        })
        .collect();
    until("both hang", || fleet.engines[0].n_executed() == 2);
    let before = used(&host);
    let body = "x".repeat(LARGE_BODY);
    let mut caller = connect(host.listen).unwrap();
    for n in 0..N_REFUSED {
        let text = request("draft", &format!("{n:08x}"));
        let text = text.replace(
            "content-length: 4\r\n\r\nbody",
            &format!("content-length: {LARGE_BODY}\r\n\r\n{body}"),
        );
        caller.write_all(text.as_bytes()).unwrap();
        assert_eq!(read_answer(&mut caller).unwrap().status, 503);
    }
    let each = (used(&host) - before) / N_REFUSED;
    writeln!(io::stdout(), "{N_REFUSED} refusals for load, on one connection: {each:?} each")
        .unwrap();
    drop(hanging);
}
