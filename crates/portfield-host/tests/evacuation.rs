//! Evacuated data centres, warm-up of cold upstreams, and regions that requests must not leave.

mod fleet;

use std::{
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, config, request, wait_until};
use portfield_platform_standins::{FakeUpstream, StoreFault};
use serde_json::{Value, json};

/// Returns a fleet whose second plain upstream is in another data centre.
fn two_data_centres() -> Fleet {
    let fleet = Fleet::new(2, 0);
    fleet.store.put("servers", "plain-1", &entry_in(&fleet.plain_upstreams[1], "south"));
    fleet
}

/// Returns an upstream's entry with a data centre.
fn entry_in(upstream: &FakeUpstream, data_centre: &str) -> Value {
    let mut res = upstream.entry("desk", "ready");
    res["zone"] = json!(data_centre);
    res
}

/// Sends `n` requests and returns the upstreams that served them; repeats those refused for overload of the host.
fn serving_upstreams(host: &Host, n: usize) -> Vec<String> {
    let send = |n| {
        let mut text = String::new();
        wait_until("the host is not overloaded", || {
            text = host.send(&request("order", &format!("r{n}"))).text();
            !text.contains("this host is overloaded")
        });
        text
    };
    let mut res: Vec<String> = (0..n).map(send).collect();
    res.sort_unstable();
    res.dedup();
    res
}

/// Guards against requests to an evacuated data centre: 5,608 were executed in one on a single day of the
/// platform's traffic.
#[test]
fn evacuated_data_centre_gets_no_requests_until_the_order_is_lifted() {
    let mut fleet = two_data_centres();
    let host = fleet.start_host();
    assert_eq!(
        serving_upstreams(&host, 4),
        ["from plain-0"],
        "not served in the host's own data centre"
    );
    // The existence of the row is the order; its value is ignored.
    fleet.store.put("op", "evacuate/north", &json!("not { an object"));
    let ordered_at = Instant::now();
    wait_until("the change is in force", || !host.log_entries("data centre evacuated").is_empty());
    assert!(ordered_at.elapsed() < Duration::from_secs(1), "{:?}", ordered_at.elapsed());
    assert_eq!(serving_upstreams(&host, 8), ["from plain-1"]);
    // A second order adds to the first one, so no data centre is left.
    fleet.store.put("op", "evacuate/south", &json!({}));
    wait_until("both orders are in force", || host.metric("portfield_evacuated") == 2.0);
    let refused = host.send(&request("order", "r9"));
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    fleet.store.remove("op", "evacuate/north");
    wait_until("one order is lifted", || host.metric("portfield_evacuated") == 1.0);
    assert_eq!(serving_upstreams(&host, 8), ["from plain-0"]);
}

#[test]
fn host_started_while_the_store_is_down_learns_evacuations_from_peers() {
    let mut fleet = two_data_centres();
    let first = fleet.start_host();
    let seeds = fleet.store.values("portfield_hosts");
    // The second host starts when the store is unavailable, so it gets the order from the first one.
    fleet.store.put("op", "evacuate/north", &json!({}));
    wait_until("the first host has the order", || first.metric("portfield_evacuated") == 1.0);
    fleet.store.set_fault(StoreFault::Unavailable);
    let second = fleet.spawn_host(&format!("seeds = {seeds:?}"));
    wait_until("the second host has the order", || second.metric("portfield_evacuated") == 1.0);
    wait_until("the host is ready", || second.is_ready());
    assert_eq!(serving_upstreams(&second, 6), ["from plain-1"]);
}

/// A restore removes an order, which stays in force until the operator writes it again. A later restore brings back an
/// order that was lifted, which stays lifted.
#[test]
fn store_restore_changes_no_evacuation_order() {
    let mut fleet = two_data_centres();
    let host = fleet.start_host();
    let before = fleet.store.snapshot();
    fleet.store.put("op", "evacuate/north", &json!({}));
    wait_until("the change is in force", || host.metric("portfield_evacuated") == 1.0);
    fleet.store.restore(before);
    wait_until("the host has noticed the restore", || host.metric("portfield_store_era") == 1.0);
    for _ in 0..10 {
        assert_eq!(serving_upstreams(&host, 2), ["from plain-1"]);
        thread::sleep(Duration::from_millis(50));
    }
    fleet.store.put("op", "evacuate/north", &json!({}));
    let with_order = fleet.store.snapshot();
    thread::sleep(Duration::from_millis(300));
    fleet.store.remove("op", "evacuate/north");
    wait_until("the order is lifted", || host.metric("portfield_evacuated") == 0.0);
    fleet.store.restore(with_order);
    wait_until("the host has noticed the restore", || host.metric("portfield_store_era") == 2.0);
    for _ in 0..10 {
        assert_eq!(serving_upstreams(&host, 2), ["from plain-0"]);
        thread::sleep(Duration::from_millis(50));
    }
}

/// Returns a configuration in which upstreams of the plain service warm up after their start.
fn config_with_warmup(version: u64) -> Value {
    let mut res = config(version);
    res["services"][0]["cold_start_s"] = json!(3.0);
    res["services"][0]["cold_per_s"] = json!(2.0);
    res
}

#[test]
fn cold_upstream_gets_requests_at_its_warmup_rate() {
    let mut fleet = Fleet::new(2, 0);
    fleet.store.put("op", "config", &config_with_warmup(2));
    let mut cold = fleet.plain_upstreams[0].entry("desk", "ready");
    cold["cold_remaining_ms"] = json!(3000);
    let mut hosts = Vec::new();
    for _ in 0..4 {
        hosts.push(fleet.spawn_host("cold_overrun = 1.5\ncold_slack = 5"));
    }
    for host in &hosts {
        wait_until("the host is ready", || host.is_ready());
        wait_until("the host knows its peers", || host.metric("portfield_hosts") == 4.0);
    }
    fleet.store.put("servers", "plain-0", &cold);
    for host in &hosts {
        wait_until("the host knows that the upstream is cold", || {
            !host.log_entries("upstream cold").is_empty()
        });
    }
    let before = fleet.plain_upstreams[0].n_executed();
    let start = Instant::now();
    let mut n = 0;
    while start.elapsed() < Duration::from_secs(1) {
        let response = hosts[n % 4].send(&request("order", &format!("r{n}")));
        n += 1;
        // A host that is short of processor time refuses requests, and says so.
        if response.text().contains("this host is overloaded") {
            continue;
        }
        assert_eq!(response.status, 200, "{}", response.text());
    }
    let n_cold = fleet.plain_upstreams[0].n_executed() - before;
    // At most 2 requests per second times the overrun of 1.5, plus the slack of 5.
    assert!((1..=8).contains(&n_cold), "{n_cold} of {n} requests went to the cold upstream");
    let mut warm = fleet.plain_upstreams[0].entry("desk", "ready");
    warm["seq"] = json!(2);
    fleet.store.put("servers", "plain-0", &warm);
    wait_until("the upstream gets its share again", || {
        let before = fleet.plain_upstreams[0].n_executed();
        serving_upstreams(&hosts[0], 40);
        10 < fleet.plain_upstreams[0].n_executed() - before
    });
}

/// An upstream that reports a cold start gets its share of requests if its service configures no warm-up rate.
#[test]
fn cold_upstream_of_a_service_without_a_warmup_rate_gets_requests() {
    let mut fleet = Fleet::new(1, 0);
    let mut cold = fleet.plain_upstreams[0].entry("desk", "ready");
    cold["cold_remaining_ms"] = json!(60_000);
    fleet.store.put("servers", "plain-0", &cold);
    let host = fleet.start_host();
    assert_eq!(serving_upstreams(&host, 30), ["from plain-0"]);
}

/// A request with allowed regions is sent to no other region, even if no upstream is left in them.
#[test]
fn request_stays_in_the_regions_of_its_route_and_workspace() {
    let mut fleet = two_data_centres();
    let mut config_value = config(2);
    config_value["routes"][1]["allowed_regions"] = json!(["coast"]);
    fleet.store.put("op", "config", &config_value);
    let host = fleet.spawn_host("regions = { north = 'hills', south = 'coast' }");
    wait_until("the host is ready", || host.is_ready());
    wait_until("the change is in force", || host.metric("portfield_config_version") == 2.0);
    assert_eq!(serving_upstreams(&host, 6), ["from plain-1"]);
    config_value["version"] = json!(3);
    config_value["tenants"][0]["allowed_regions"] = json!(["hills"]);
    fleet.store.put("op", "config", &config_value);
    wait_until("the change is in force", || host.metric("portfield_config_version") == 3.0);
    assert_eq!(
        host.send(&request("order", "r7")).status,
        503,
        "served although route and workspace have no region in common"
    );
    assert_eq!(host.send(&request("check", "r8")).text(), "from plain-0");
}
