//! Events of streams at a host that is short of processor time: they are forwarded several at a time.

mod fleet;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, connect, request, wait_until};
use portfield_platform_standins::UpstreamFault;

/// Settings of a host whose share of processor time any load exceeds.
const BUSY: &str = "cpu_share = 0.0001\nevent_delay_ms = 200";
/// Longest time for which an event is held back: two fifths of the delay that callers accept.
const MAX_HOLD: Duration = Duration::from_millis(80);
/// Time between two events of an engine of the fixture.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Allowance for a shared machine.
const SLACK: Duration = Duration::from_millis(150);

/// Part of a response with the time of its arrival.
struct Arrival {
    at: Duration,
    /// Numbers of the events in it.
    ids: Vec<u32>,
}

/// Starts a host that is short of processor time.
fn start_busy_host(fleet: &mut Fleet) -> Host {
    let host = fleet.spawn_host(BUSY);
    wait_until("the host is ready", || host.is_ready());
    // The average of the processor time follows within a second.
    wait_until("the host gathers events", || 0.0 < host.metric("portfield_gather_ms"));
    host
}

/// Sends a request for a number of events on a route and returns what arrives until the end.
fn read_stream(host: &Host, route: &str, id: &str, n_events: u32) -> Vec<Arrival> {
    let text = request(route, id);
    let text = text.replace("token-count: 30,24", &format!("token-count: 30,{}", n_events * 3));
    let mut stream = connect(host.listen).unwrap();
    let start = Instant::now();
    stream.write_all(text.as_bytes()).unwrap();
    read_arrivals(&mut stream, start)
}

fn read_arrivals(stream: &mut TcpStream, start: Instant) -> Vec<Arrival> {
    let mut res = Vec::new();
    let mut buf = vec![0; 64 << 10];
    loop {
        let n = stream.read(&mut buf).unwrap();
        let text = String::from_utf8_lossy(&buf[..n]).into_owned();
        let ids = text.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
        res.push(Arrival { at: start.elapsed(), ids });
        if n == 0 || text.ends_with("0\r\n\r\n") {
            return res;
        }
    }
}

fn all_ids(arrivals: &[Arrival]) -> Vec<u32> {
    arrivals.iter().flat_map(|it| it.ids.iter().copied()).collect()
}

/// Guards against lost, repeated or reordered events when several are forwarded together, and against
/// a write for each.
#[test]
fn events_are_gathered_whole_and_in_order() {
    let mut fleet = Fleet::new(0, 1);
    let host = start_busy_host(&mut fleet);
    let arrivals = read_stream(&host, "draft", "r1", 60);
    assert_eq!(all_ids(&arrivals), (1..=60).collect::<Vec<u32>>());
    let n_writes = arrivals.iter().filter(|it| !it.ids.is_empty()).count();
    assert!(n_writes < 30, "{n_writes} writes for 60 events");
    for pair in arrivals.windows(2) {
        let gap = pair[1].at - pair[0].at;
        assert!(gap < MAX_HOLD + EVENT_INTERVAL + SLACK, "no event for {gap:?}");
    }
}

/// Guards against a first event that waits for others: it decides whether the request is in time.
/// Guards against a last event that waits although nothing follows it.
#[test]
fn first_and_last_events_are_forwarded_at_once() {
    let mut fleet = Fleet::new(0, 1);
    let host = start_busy_host(&mut fleet);
    // The fastest of several trials: the machine is shared, and noise only delays.
    let trials = (0..10).map(|n| read_stream(&host, "draft", &format!("r{n}"), 2));
    let trials: Vec<Vec<Arrival>> = trials.collect();
    for it in &trials {
        assert_eq!(all_ids(it), [1, 2]);
        let first = it.iter().find(|it| !it.ids.is_empty()).unwrap();
        assert_eq!(first.ids, [1], "the first event is forwarded alone");
    }
    let ends = trials.iter().map(|it| it[it.len() - 1].at);
    let fastest = ends.min().unwrap();
    assert!(fastest < MAX_HOLD, "the second and last event was held back until {fastest:?}");
}

/// Guards against an event that waits for longer than its route allows between two: this one allows
/// 100 ms, of which a quarter may be used.
#[test]
fn the_gap_of_the_route_bounds_the_wait() {
    let mut fleet = Fleet::new(0, 1);
    let host = start_busy_host(&mut fleet);
    let arrivals = read_stream(&host, "digest", "r1", 60);
    assert_eq!(all_ids(&arrivals), (1..=60).collect::<Vec<u32>>());
    let most = arrivals.iter().map(|it| it.ids.len()).max().unwrap();
    assert!(most <= 10, "{most} events of 10 ms each were gathered, with 25 ms allowed");
}

/// Guards against events that a host held back and then lost because their upstream ended.
#[test]
fn events_before_a_break_reach_the_caller() {
    let mut fleet = Fleet::new(0, 2);
    let host = start_busy_host(&mut fleet);
    fleet.engines.iter().for_each(|it| it.set_fault(UpstreamFault::TruncateBody));
    let arrivals = read_stream(&host, "draft", "r1", 40);
    let ids = all_ids(&arrivals);
    assert_eq!(ids, (1..=ids.len() as u32).collect::<Vec<u32>>());
    assert!(19 <= ids.len(), "the engine sent 19 events and a half, the caller got {}", ids.len());
}

/// Guards against a delay at hosts that have processor time left.
#[test]
fn a_host_with_processor_time_left_forwards_each_event_at_once() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.spawn_host("cpu_share = 100.0\nevent_delay_ms = 200");
    wait_until("the host is ready", || host.is_ready());
    let arrivals = read_stream(&host, "draft", "r1", 40);
    assert_eq!(all_ids(&arrivals), (1..=40).collect::<Vec<u32>>());
    let n_writes = arrivals.iter().filter(|it| !it.ids.is_empty()).count();
    assert!(30 <= n_writes, "{n_writes} writes for 40 events");
}
