//! Behaviour of a host whose process was suspended for seconds while the rest of the fleet ran.
//!
//! Requests and messages of other hosts wait in its sockets, and its state dates from before the suspension. It must
//! not accept an API key that was revoked, or use an upstream that was removed, during the suspension.

mod fleet;

use std::{
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, Response, config, connect, read_response, request, wait_until};
use portfield_platform_standins::StoreFault;
use std::io::Write;

/// Duration of the suspension, longer than the time for which a host may use its state without an update.
const SUSPENSION: Duration = Duration::from_millis(2500);

/// Sends a request without reading the response.
fn send_unanswered(host: &Host, text: &str) -> TcpStream {
    let mut stream = connect(host.listen).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Suspends a host, runs `meanwhile`, sends requests, and returns their responses after the host resumes.
fn suspend_host(host: &Host, requests: &[String], meanwhile: impl FnOnce()) -> Vec<Response> {
    host.signal("-STOP");
    meanwhile();
    let mut streams: Vec<_> = requests.iter().map(|it| send_unanswered(host, it)).collect();
    thread::sleep(SUSPENSION);
    host.signal("-CONT");
    streams.iter_mut().map(|it| read_response(it).unwrap()).collect()
}

/// Returns a configuration without workspace `b`, and so without its API key.
fn config_without_key_b(version: u64) -> serde_json::Value {
    let mut res = config(version);
    res["tenants"].as_array_mut().unwrap().remove(1);
    res
}

#[test]
fn key_revoked_during_a_suspension_is_not_accepted() {
    let mut fleet = Fleet::new(2, 0);
    let (host, _other) = (fleet.start_host(), fleet.start_host());
    let text = |n: u32| request("order", &format!("r{n}")).replace("key-a", "key-b");
    assert_eq!(host.send(&text(0)).status, 200);
    let n_executed = fleet.n_executed();
    let requests: Vec<String> = (1..6).map(text).collect();
    let store = fleet.store.clone();
    let responses =
        suspend_host(&host, &requests, || store.put("op", "config", &config_without_key_b(5)));
    for it in responses {
        assert!([401, 503].contains(&it.status), "{} {}", it.status, it.text());
    }
    assert_eq!(fleet.n_executed(), n_executed);
    wait_until("the host serves requests again", || {
        host.send(&request("order", "again")).status == 200
    });
}

#[test]
fn upstream_removed_during_a_suspension_gets_no_requests() {
    let mut fleet = Fleet::new(2, 0);
    fleet.store.remove("servers", "plain-1");
    let (host, _other) = (fleet.start_host(), fleet.start_host());
    assert_eq!(host.send(&request("order", "r0")).status, 200);
    let n_executed = fleet.plain_upstreams[0].n_executed();
    let requests: Vec<String> = (1..6).map(|n| request("order", &format!("r{n}"))).collect();
    let (store, entry) = (fleet.store.clone(), fleet.plain_upstreams[1].entry("desk", "ready"));
    let responses = suspend_host(&host, &requests, || {
        store.remove("servers", "plain-0");
        store.put("servers", "plain-1", &entry);
    });
    assert_eq!(
        fleet.plain_upstreams[0].n_executed(),
        n_executed,
        "a request was sent to a removed upstream"
    );
    assert!(responses.iter().all(|it| [200, 503].contains(&it.status)));
    wait_until("the host serves requests again", || {
        host.send(&request("order", "again")).status == 200
    });
}

/// A host that is cut off from the store and has no peers after a suspension serves by its last known state, as any
/// isolated host does.
#[test]
fn isolated_host_serves_again_seconds_after_a_suspension() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let store = fleet.store.clone();
    let requests = [request("order", "r1")];
    let responses = suspend_host(&host, &requests, || store.set_fault(StoreFault::Hang));
    assert_eq!(responses[0].status, 503);
    let retry_after: f64 = responses[0].header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after < 1.0, "Retry-After is {retry_after} s");
    assert!(!host.is_ready());
    let resumed_at = Instant::now();
    wait_until("the host is ready", || host.is_ready());
    assert!(resumed_at.elapsed() < Duration::from_secs(4));
    assert_eq!(host.send(&request("order", "r2")).status, 200);
    assert_eq!(host.log_entries("host was suspended").len(), 1);
}

/// Guards against a host that, after a suspension during an outage of the store, refuses requests that all other hosts
/// serve.
#[test]
fn resumed_host_serves_like_its_peers_while_the_store_is_down() {
    let mut fleet = Fleet::new(1, 0);
    let hosts = [fleet.start_host(), fleet.start_host(), fleet.start_host()];
    let knows_all = |it: &Host| it.metric("portfield_hosts") == 3.0;
    wait_until("all hosts know each other", || hosts.iter().all(knows_all));
    let has_store = |it: &Host| it.metric("portfield_store_age_ms") < 3000.0;
    wait_until("all hosts reach the store", || hosts.iter().all(has_store));
    fleet.store.set_fault(StoreFault::Unavailable);
    let has_lost_store = |it: &Host| 4000.0 < it.metric("portfield_store_age_ms");
    wait_until("no host reaches the store", || hosts.iter().all(has_lost_store));
    suspend_host(&hosts[0], &[], || {});
    let resumed_at = Instant::now();
    for n in 0.. {
        assert_eq!(hosts[1].send(&request("order", &format!("other-{n}"))).status, 200);
        if hosts[0].send(&request("order", &format!("r{n}"))).status == 200 {
            break;
        }
        assert!(resumed_at.elapsed() < Duration::from_secs(2), "refused for two seconds");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Hosts that were suspended together, as after a loss of power in a data centre, must not take each other's word that
/// nothing changed.
#[test]
fn hosts_suspended_together_do_not_confirm_each_other() {
    let mut fleet = Fleet::new(1, 0);
    let hosts = [fleet.start_host(), fleet.start_host()];
    let knows_all = |it: &Host| it.metric("portfield_hosts") == 2.0;
    wait_until("both hosts know each other", || hosts.iter().all(knows_all));
    let text = |n: u32| request("order", &format!("r{n}")).replace("key-a", "key-b");
    assert_eq!(hosts[0].send(&text(0)).status, 200);
    hosts.iter().for_each(|it| it.signal("-STOP"));
    fleet.store.put("op", "config", &config_without_key_b(5));
    fleet.store.set_fault(StoreFault::Unavailable);
    thread::sleep(SUSPENSION);
    hosts.iter().for_each(|it| it.signal("-CONT"));
    let resumed_at = Instant::now();
    let mut n = 0;
    while resumed_at.elapsed() < Duration::from_secs(1) {
        n += 1;
        let response = hosts[n as usize % 2].send(&text(n));
        assert_eq!(response.status, 503, "a revoked key was accepted: {}", response.text());
        thread::sleep(Duration::from_millis(20));
    }
    fleet.store.set_fault(StoreFault::None);
    wait_until("both hosts know the configuration", || {
        hosts.iter().all(|it| it.send(&text(n + 1)).status == 401)
    });
}

/// Guards against a host that takes its suspension for a lack of processor time, and then refuses callers and stays out
/// of rotation.
#[test]
fn suspension_does_not_count_as_overload() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let requests: Vec<String> = (0..6).map(|n| request("order", &format!("r{n}"))).collect();
    for _ in 0..2 {
        suspend_host(&host, &requests, || {});
        wait_until("the host serves requests again", || {
            host.send(&request("order", "again")).status == 200
        });
    }
    let lateness = |it: &serde_json::Value| it["late_ms"].as_f64().unwrap();
    // The suspension alone raises the average by a quarter of its length.
    let limit = SUSPENSION.as_secs_f64() * 1000.0 / 8.0;
    for it in host.log_entries("load state changed") {
        assert!(lateness(&it) < limit, "{it}");
    }
}
