//! Streams whose upstreams run several software versions: events of two versions do not fit together.

mod fleet;

use std::{
    collections::BTreeSet,
    io::Write,
    net::{TcpStream, UdpSocket},
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, Response, config, connect, read_response, request, wait_until};
use portfield::gossip::host_hash;
use portfield_platform_standins::{FakeUpstream, UpstreamFault};
use portfield_wire::Digest;
use prost::Message;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

const N_EVENTS: u32 = 8;
/// Streams of a test: with two of four engines at either version, all go on at the right one by chance
/// with a probability below one in a thousand.
const N_STREAMS: usize = 12;

/// Starts engines of the versions and this many hosts that know all of them.
fn start(versions: &[&str], n_hosts: usize) -> (Fleet, Vec<Host>) {
    let mut fleet = Fleet::new(0, versions.len());
    fleet.set_engine_versions(versions);
    let hosts: Vec<Host> = (0..n_hosts).map(|_| start_host(&mut fleet)).collect();
    wait_until("the hosts know each other", || {
        hosts.iter().all(|it| it.metric("portfield_hosts") == n_hosts as f64)
    });
    (fleet, hosts)
}

/// Settings of a host that may retry as often as a test needs, and whose streams may be resumed for [`WINDOW`].
const SETTINGS: &str = "retry_extra = 1000\nresume_window_s = 0";

/// Starts a host, and waits until it is ready.
fn start_host(fleet: &mut Fleet) -> Host {
    let res = fleet.spawn_host(SETTINGS);
    wait_until("the host is ready", || res.is_ready());
    res
}

/// Returns the request that resumes a stream after an event.
fn resume(id: &str, first_attempt: &str, last_event: u32) -> String {
    let headers = format!("last-event-id: {last_event}\r\nresumes: {first_attempt}\r\n");
    request("digest", id).replace("token-count", &format!("{headers}token-count"))
}

/// Sends a stream that lasts for a second to a host, and waits until its caller has some events.
fn begin_long_stream(fleet: &Fleet, host: &Host, id: &str) -> TcpStream {
    begin(fleet, host, &long(&request("digest", id)))
}

/// Sends a stream to a host, and waits until its caller has some events.
fn begin(fleet: &Fleet, host: &Host, text: &str) -> TcpStream {
    let n_before = fleet.n_executed();
    let mut res = connect(host.listen).unwrap();
    res.write_all(text.as_bytes()).unwrap();
    wait_until("an engine executes the stream", || fleet.n_executed() == n_before + 1);
    // A few events: each engine sends one every 10 ms.
    thread::sleep(Duration::from_millis(100));
    res
}

/// Returns a request for a stream of 100 events.
fn long(text: &str) -> String {
    text.replace("30,24", "30,300")
}

/// Returns a request for a stream of 1,000 events, which last for 10 s.
fn very_long(text: &str) -> String {
    text.replace("30,24", "30,3000").replace("deadline-ms: 1200", "deadline-ms: 20000")
}

/// Sends a stream to a host, and breaks it off at every engine after some events.
fn begin_stream(fleet: &Fleet, host: &Host, id: &str) -> Response {
    fleet.engines.iter().for_each(|it| it.set_fault(UpstreamFault::TruncateBody));
    let res = host.send_admitted(&request("digest", id));
    fleet.engines.iter().for_each(|it| it.set_fault(UpstreamFault::None));
    res
}

/// Has the engine that began a stream drain, and waits until the hosts know; returns the engine.
fn drain_first_engine(fleet: &Fleet, hosts: &[Host], first: &Response) -> FakeUpstream {
    let id = first.header("replica-signature").unwrap();
    let engine = fleet.engines.iter().find(|it| it.id == id).unwrap();
    let n_changes = |it: &Host| it.log_entries("upstream changed").len();
    let before: Vec<usize> = hosts.iter().map(n_changes).collect();
    fleet.store.put("servers", id, &engine.entry("model", "draining"));
    wait_until("the hosts know that the engine drains", || {
        hosts.iter().zip(&before).all(|(it, before)| *before < n_changes(it))
    });
    engine.clone()
}

fn versions(response: &Response) -> BTreeSet<String> {
    response.event_versions().into_iter().collect()
}

/// Guards against a stream that the host continues at an upstream of another software version.
#[test]
fn stream_continues_only_at_the_version_that_began_it() {
    let (fleet, hosts) = start(&["v1", "v1", "v2", "v2"], 1);
    for n in 0..N_STREAMS {
        fleet.engines.iter().for_each(|it| it.set_fault(UpstreamFault::TruncateBody));
        let n_before: Vec<usize> = fleet.engines.iter().map(|it| it.n_executed()).collect();
        let engines = fleet.engines.clone();
        let recovery = thread::spawn(move || {
            let has_run = |it: usize| n_before[it] < engines[it].n_executed();
            wait_until("an engine executes the stream", || (0..4).any(has_run));
            let others = (0..4).filter(|it| !has_run(*it));
            others.for_each(|it| engines[it].set_fault(UpstreamFault::None));
        });
        let response = hosts[0].send_admitted(&request("digest", &format!("s{n}")));
        recovery.join().unwrap();
        assert_eq!(versions(&response).len(), 1, "stream {n}: {}", response.text());
        assert!(response.is_complete, "an upstream of the version was free for stream {n}");
        assert_eq!(response.event_ids(), (1..=N_EVENTS).collect::<Vec<_>>());
    }
}

/// Guards against a stream that goes on at another version once no upstream of its own is left.
#[test]
fn stream_is_broken_off_if_no_upstream_of_its_version_is_left() {
    let (fleet, hosts) = start(&["v1", "v2", "v3"], 1);
    let response = begin_stream(&fleet, &hosts[0], "s");
    assert_eq!(versions(&response).len(), 1, "{}", response.text());
    assert!(!response.is_complete);
    let begun = response.event_versions().remove(0);
    let engine = fleet.engines.iter().position(|it| it.software_version() == begun).unwrap();
    fleet.store.remove("servers", &fleet.engines[engine].id);
    wait_until("the engine is gone", || !hosts[0].log_entries("upstream gone").is_empty());
    let n_executed = fleet.n_executed();
    let resumed = hosts[0].send_admitted(&resume("t", "s", response.event_ids().len() as u32));
    assert_eq!(resumed.status, 503);
    assert_eq!(fleet.n_executed(), n_executed, "a refusal states that nothing ran");
}

/// Guards against a stream that its caller resumes at another host, which continues it at another version.
#[test]
fn stream_is_resumed_at_another_host_at_the_version_that_began_it() {
    let (fleet, hosts) = start(&["v1", "v1", "v2", "v2"], 3);
    for n in 0..N_STREAMS {
        let first = begin_stream(&fleet, &hosts[n % 3], &format!("s{n}"));
        let n_received = first.event_ids().len() as u32;
        assert!(!first.is_complete && 0 < n_received);
        let text = resume(&format!("t{n}"), &format!("s{n}"), n_received);
        let second = hosts[(n + 1) % 3].send_admitted(&text);
        assert_eq!((second.status, second.is_complete), (200, true), "{}", second.text());
        assert_eq!(versions(&first), versions(&second), "stream {n}");
        assert_eq!(second.event_ids(), (n_received + 1..=N_EVENTS).collect::<Vec<_>>());
    }
}

/// Guards against the loss of what only the host that began a stream knew.
#[test]
fn stream_of_a_killed_host_is_resumed_at_the_version_that_began_it() {
    let (mut fleet, mut hosts) = start(&["v1", "v1", "v2", "v2"], 3);
    for n in 0..N_STREAMS {
        let mut stream = begin_long_stream(&fleet, &hosts[0], &format!("s{n}"));
        assert_eq!(fleet.n_executed(), 2 * n + 1);
        let mut killed = hosts.remove(0);
        killed.signal("-KILL");
        killed.wait_for_exit();
        let first = read_response(&mut stream).unwrap();
        let n_received = first.event_ids().len() as u32;
        assert!(!first.is_complete && 0 < n_received, "{}", first.text());
        let engine = drain_first_engine(&fleet, &hosts, &first);
        let text = resume(&format!("t{n}"), &format!("s{n}"), n_received);
        let second = hosts[n % 2].send_admitted(&long(&text));
        assert_eq!((second.status, second.is_complete), (200, true), "{}", second.text());
        assert_eq!(versions(&first), versions(&second), "stream {n}");
        fleet.store.put("servers", &engine.id, &engine.entry("model", "ready"));
        hosts.push(start_host(&mut fleet));
        wait_until("the hosts know each other", || {
            hosts.iter().all(|it| 3.0 <= it.metric("portfield_hosts"))
        });
        // Sends the streams to each host in turn.
        hosts.rotate_left(1);
    }
}

/// Time for which a service must have had a single version: twice the timeout of the route.
const WINDOW: Duration = Duration::from_secs(3);

/// Guards against refusals where nothing can go wrong: with a single version, a caller resumes any stream at any
/// host, also one that has just started.
#[test]
fn unknown_stream_is_resumed_while_a_single_version_serves() {
    let (mut fleet, mut hosts) = start(&["v1", "v1"], 2);
    thread::sleep(WINDOW + Duration::from_millis(500));
    hosts.push(start_host(&mut fleet));
    wait_until("the hosts know each other", || {
        hosts.iter().all(|it| it.metric("portfield_hosts") == 3.0)
    });
    for (n, host) in hosts.iter().enumerate() {
        for first_attempt in ["", "unknown"] {
            let response = host.send_admitted(&resume(&format!("t{n}"), first_attempt, 3));
            assert_eq!((response.status, response.is_complete), (200, true), "{}", response.text());
            assert_eq!(response.event_ids(), (4..=N_EVENTS).collect::<Vec<_>>());
        }
    }
}

/// Guards against streams that began while a single version served, and of which no other host is told.
#[test]
fn stream_that_began_before_a_release_is_resumed_at_its_version() {
    let (fleet, mut hosts) = start(&["v1", "v1", "v1"], 3);
    thread::sleep(WINDOW + Duration::from_millis(500));
    let mut stream = begin_long_stream(&fleet, &hosts[0], "s");
    let told = |it: &Host| it.metric("portfield_stream_origins_told ");
    assert_eq!(told(&hosts[0]), 1.0, "before its caller got an event");
    let is_idle = |it: &&FakeUpstream| it.requests().is_empty();
    let released = fleet.engines.iter().find(is_idle).unwrap();
    released.set_software_version("v2");
    fleet.store.put("servers", &released.id, &released.entry("model", "ready"));
    wait_until("the hosts know of the release", || {
        hosts
            .iter()
            .all(|it| 1.0 <= it.metric("portfield_upstreams{service=\"model\",software=\"v2\"} "))
    });
    hosts.remove(0).signal("-KILL");
    let first = read_response(&mut stream).unwrap();
    let n_received = first.event_ids().len() as u32;
    assert!(!first.is_complete && 0 < n_received, "{}", first.text());
    let text = long(&resume("t", "s", n_received));
    let second = hosts[0].send_admitted(&text);
    assert_eq!((second.status, second.is_complete), (200, true), "{}", second.text());
    assert_eq!(versions(&second), versions(&first));
}

/// Guards against a stream that goes on at the upstreams of another service, to which its route has moved: each service
/// has a single version, so that nothing else tells them apart.
#[test]
fn stream_is_not_resumed_at_the_service_that_its_route_moved_to() {
    let (fleet, mut hosts) = start(&["v1", "v1", "v1"], 3);
    fleet.store.put("servers", &fleet.engines[2].id, &fleet.engines[2].entry("other", "ready"));
    thread::sleep(WINDOW + Duration::from_millis(500));
    let mut stream = begin_long_stream(&fleet, &hosts[0], "s");
    let mut moved = config(2);
    let model = moved["services"][1].clone();
    moved["services"].as_array_mut().unwrap().push(model);
    moved["services"][2]["name"] = json!("other");
    moved["routes"][3]["service"] = json!("other");
    fleet.store.put("op", "config", &moved);
    wait_until("the configuration is in force", || {
        hosts.iter().all(|it| it.metric("portfield_config_version") == 2.0)
    });
    wait_until("the others are told of the stream", || {
        hosts[0].metric("portfield_stream_origins_told ") == 1.0
    });
    hosts.remove(0).signal("-KILL");
    let first = read_response(&mut stream).unwrap();
    assert!(!first.is_complete && !first.event_ids().is_empty(), "{}", first.text());
    let n_received = first.event_ids().len() as u32;
    for (n, host) in hosts.iter().enumerate() {
        for first_attempt in ["s", "unknown"] {
            let text = resume(&format!("t{n}"), first_attempt, n_received);
            let second = host.send_admitted(&long(&text));
            assert_eq!(second.status, 503, "{first_attempt}: {}", second.text());
        }
    }
    assert_eq!(fleet.n_executed(), 1);
    assert!(host_serves_new_streams(&hosts[0]), "at the other service");
}

fn host_serves_new_streams(host: &Host) -> bool {
    host.send_admitted(&request("digest", "new")).is_complete
}

/// Guards against a host of an earlier release that takes the news of a stream for its sender's state, and against
/// a caller who waits for its answer, which never comes.
#[test]
fn host_of_an_earlier_release_is_told_in_a_form_that_it_ignores() {
    let mut fleet = Fleet::new(0, 2);
    fleet.set_engine_versions(&["v1", "v2"]);
    let earlier = UdpSocket::bind("127.0.0.1:0").unwrap();
    earlier.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let address = earlier.local_addr().unwrap();
    let host = fleet.spawn_host(&format!("seeds = ['{address}']"));
    wait_until("the host is ready", || host.is_ready());
    let mut digest = Digest {
        host: host_hash(address),
        incarnation: 1,
        data_centre: xxh3_64(b"north") as u32,
        address: address.to_string(),
        outdated: true,
        ..Digest::default()
    };
    let mut buf = [0; 60_000];
    let mut receive = || {
        digest.sequence += 1;
        earlier.send_to(&digest.encode_to_vec(), host.peers).unwrap();
        let n = earlier.recv(&mut buf).ok()?;
        Digest::decode(&buf[..n]).ok()
    };
    wait_until("the host counts the other one", || {
        receive();
        host.metric("portfield_hosts") == 2.0
    });
    assert!(host.send_admitted(&request("digest", "s")).is_complete);
    let mut news = None;
    wait_until("the other host is told of the stream", || {
        news = receive().filter(|it| it.streams.is_some());
        news.is_some()
    });
    let news = news.unwrap();
    // A digest with hosts is an introduction: nothing else of it is read.
    let hosts: Vec<String> = news.hosts.iter().map(|it| it.address.clone()).collect();
    assert_eq!(hosts, [host.peers.to_string()]);
    assert_eq!((news.host, news.seeks_hosts, news.streams.unwrap().origins.len()), (0, false, 1));
    let asked_at = Instant::now();
    assert_eq!(host.send_admitted(&resume("t", "unknown", 3)).status, 503);
    assert!(asked_at.elapsed() < Duration::from_secs(1), "{:?}", asked_at.elapsed());
}

/// Starts this many hosts in a data centre, and waits until all hosts know each other.
fn start_hosts_in(
    fleet: &mut Fleet,
    data_centre: &str,
    settings: &str,
    n: usize,
    others: &[Host],
) -> Vec<Host> {
    let start = |_| fleet.spawn_host_in(data_centre, settings);
    let res: Vec<Host> = (0..n).map(start).collect();
    let all = || res.iter().chain(others);
    let n_hosts = all().count() as f64;
    wait_until("the hosts are ready", || all().all(Host::is_ready));
    wait_until("the hosts know each other", || {
        all().all(|it| n_hosts <= it.metric("portfield_hosts"))
    });
    res
}

/// Kills the hosts of a data centre, and has the caller of each of their streams resume it at another host.
/// `lengthen` gives a request the length of the streams.
fn assert_streams_go_on(
    lost: Vec<Host>,
    streams: Vec<TcpStream>,
    others: &[Host],
    lengthen: fn(&str) -> String,
) {
    lost.iter().for_each(|it| it.signal("-KILL"));
    for (n, mut stream) in streams.into_iter().enumerate() {
        let first = read_response(&mut stream).unwrap();
        let n_received = first.event_ids().len() as u32;
        assert!(!first.is_complete && 0 < n_received, "{}", first.text());
        let text = lengthen(&resume(&format!("t{n}"), &format!("s{n}"), n_received));
        let second = others[n % others.len()].send_admitted(&text);
        assert_eq!((second.status, second.is_complete), (200, true), "{n}: {}", second.text());
        assert_eq!(second.event_ids()[0], n_received + 1);
    }
}

/// Guards against streams that are known in one data centre only, while no host has run long enough to prove that
/// a single version served: they are lost with the data centre.
#[test]
fn streams_of_a_data_centre_lost_right_after_the_start_go_on() {
    // In a large fleet hosts of the other data centre pass the news on.
    for settings in [SETTINGS.to_owned(), format!("{SETTINGS}\ndirect_hosts = 1")] {
        let mut fleet = Fleet::new(0, 3);
        fleet.set_engine_versions(&["v1", "v1", "v1"]);
        let south = start_hosts_in(&mut fleet, "south", &settings, 3, &[]);
        let north = start_hosts_in(&mut fleet, "north", &settings, 2, &south);
        let begin = |n: usize| begin_long_stream(&fleet, &north[n % 2], &format!("s{n}"));
        let streams = (0..4).map(begin).collect();
        assert_streams_go_on(north, streams, &south, long);
    }
}

/// Guards against records that are lost with the hosts that were told, one restart after the other, while the
/// stream and its host live on.
#[test]
fn streams_go_on_after_the_hosts_that_were_told_restarted_in_turn() {
    let mut fleet = Fleet::new(0, 3);
    fleet.set_engine_versions(&["v1", "v1", "v2"]);
    let mut slow = config(2);
    slow["routes"][3]["timeout_ms"] = json!(20_000);
    fleet.store.put("op", "config", &slow);
    let mut south = start_hosts_in(&mut fleet, "south", SETTINGS, 2, &[]);
    let north = start_hosts_in(&mut fleet, "north", SETTINGS, 1, &south);
    let stream = begin(&fleet, &north[0], &very_long(&request("digest", "s0")));
    for _ in 0..2 {
        south.remove(0).signal("-KILL");
        south.extend(start_hosts_in(&mut fleet, "south", SETTINGS, 1, &north));
    }
    wait_until("the hosts left know the stream", || {
        south.iter().all(|it| it.metric("portfield_streams_known ") == 1.0)
    });
    assert_streams_go_on(north, vec![stream], &south, very_long);
}

/// Guards against a guess: a stream that no host knows may have begun at any of the versions.
#[test]
fn unknown_stream_is_refused_while_several_versions_serve() {
    let (fleet, hosts) = start(&["v1", "v2"], 2);
    let unnamed = resume("t1", "", 3);
    for text in [resume("t0", "unknown", 3), unnamed] {
        let response = hosts[0].send_admitted(&text);
        assert_eq!(response.status, 503, "{}", response.text());
        assert!(response.header("retry-after").is_some());
    }
    assert_eq!(fleet.n_executed(), 0, "a refusal states that nothing ran");
}

/// Guards against a text that is joined from two versions: all hosts were killed and know nothing of the streams, and the
/// upstreams of the version that began them have just left, so that the list shows a single other one.
#[test]
fn streams_are_not_joined_after_all_hosts_were_killed_and_their_version_has_left() {
    let (mut fleet, hosts) = start(&["v1", "v1", "v2", "v2"], 3);
    let mut begun = Vec::new();
    for n in 0..N_STREAMS {
        let first = begin_stream(&fleet, &hosts[n % 3], &format!("s{n}"));
        let n_received = first.event_ids().len() as u32;
        assert!(!first.is_complete && 0 < n_received);
        begun.push((versions(&first), n_received));
    }
    for it in &fleet.engines[..2] {
        fleet.store.remove("servers", &it.id);
    }
    let killed = Instant::now();
    let hosts: Vec<Host> = hosts.into_iter().map(|it| fleet.restart_host(it, SETTINGS)).collect();
    wait_until("the hosts are ready", || hosts.iter().all(Host::is_ready));
    let (mut n_joined, mut n_asked) = (0, 0);
    // As long as a stream that began before the kill may be resumed.
    while killed.elapsed() < WINDOW / 2 {
        for (n, (version, n_received)) in begun.iter().enumerate() {
            let first_attempts = [format!("s{n}"), String::new(), "unknown".to_owned()];
            let text = resume(&format!("t{n}"), &first_attempts[n_asked % 3], *n_received);
            let second = hosts[n_asked % 2].send(&text);
            n_asked += 1;
            let is_begun = second.status == 200 && !second.event_ids().is_empty();
            n_joined += usize::from(is_begun && versions(&second) != *version);
        }
    }
    assert!(0 < n_asked);
    assert_eq!(n_joined, 0, "of {n_asked} streams");
    // New streams begin meanwhile.
    assert!(hosts[0].send_admitted(&request("digest", "new")).is_complete);
}

/// Guards against a stream that is joined from two versions since a configuration has shortened its route's timeout: a host
/// that was started after that takes the time for which streams may last to be shorter than it is.
#[test]
fn stream_that_began_under_a_longer_timeout_is_not_joined_after_a_restart() {
    let mut fleet = Fleet::new(0, 2);
    fleet.set_engine_versions(&["v1", "v2"]);
    let mut slow = config(2);
    slow["routes"][3]["timeout_ms"] = json!(20_000);
    fleet.store.put("op", "config", &slow);
    let hosts: Vec<Host> = (0..2).map(|_| fleet.spawn_host("retry_extra = 1000")).collect();
    wait_until("the hosts are ready", || hosts.iter().all(Host::is_ready));
    let first = begin_stream(&fleet, &hosts[0], "s");
    let n_received = first.event_ids().len() as u32;
    assert!(!first.is_complete && 0 < n_received);
    let engine = first.header("replica-signature").unwrap();
    fleet.store.remove("servers", engine);
    fleet.store.put("op", "config", &config(3));
    let hosts: Vec<Host> =
        hosts.into_iter().map(|it| fleet.restart_host(it, "retry_extra = 1000")).collect();
    wait_until("the hosts know each other", || {
        hosts.iter().all(|it| it.is_ready() && it.metric("portfield_hosts") == 2.0)
    });
    // The caller has some 15 s left.
    thread::sleep(WINDOW + Duration::from_millis(500));
    let second = hosts[1].send_admitted(&resume("t", "s", n_received));
    assert_eq!(second.status, 503, "{}", second.text());
    assert!(host_serves_new_streams(&hosts[1]));
}
