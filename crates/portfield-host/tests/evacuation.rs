//! Data centres that are to get nothing, cold upstreams, and regions that requests may not leave.

mod fleet;

use std::{
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, config, request, until};
use portfield_platform_standins::{FakeUpstream, StoreFault};
use serde_json::{Value, json};

/// A fleet whose second plain upstream stands in another data centre.
fn two_centres() -> Fleet {
    let fleet = Fleet::new(2, 0);
    fleet.store.put("servers", "plain-1", &entry_in(&fleet.plains[1], "south"));
    fleet
}

fn entry_in(upstream: &FakeUpstream, data_centre: &str) -> Value {
    let mut res = upstream.entry("desk", "ready");
    res["zone"] = json!(data_centre);
    res
}

/// Returns which upstreams serve so many requests; one that the host has no processor time for is sent again.
fn served_by(host: &Host, n: usize) -> Vec<String> {
    let send = |n| {
        let mut text = String::new();
        until("the host has time for it", || {
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

/// Runs of 5,608 requests reached a data centre that was to get nothing, on one day of the users.
#[test]
fn an_evacuated_data_centre_gets_nothing_until_it_is_taken_back() {
    let mut fleet = two_centres();
    let host = fleet.host();
    assert_eq!(served_by(&host, 4), ["from plain-0"], "the near one");
    // The row is the order: what it holds does not matter.
    fleet.store.put("op", "evacuate/north", &json!("not { an object"));
    let ordered = Instant::now();
    until("it is in force", || !host.logged("data centre evacuated").is_empty());
    assert!(ordered.elapsed() < Duration::from_secs(1), "{:?}", ordered.elapsed());
    assert_eq!(served_by(&host, 8), ["from plain-1"]);
    // A later order for the other one stands beside it: nothing is left.
    fleet.store.put("op", "evacuate/south", &json!({}));
    until("both are in force", || host.metric("portfield_evacuated") == 2.0);
    let refused = host.send(&request("order", "r9"));
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    fleet.store.remove("op", "evacuate/north");
    until("one is taken back", || host.metric("portfield_evacuated") == 1.0);
    assert_eq!(served_by(&host, 8), ["from plain-0"]);
}

#[test]
fn a_host_that_the_store_turns_away_or_that_starts_meanwhile_knows_of_an_order() {
    let mut fleet = two_centres();
    let first = fleet.host();
    let seeds = fleet.store.keys("portfield_hosts");
    // The second host follows nothing yet when the store goes silent for it: the first tells it.
    fleet.store.put("op", "evacuate/north", &json!({}));
    until("the first knows", || first.metric("portfield_evacuated") == 1.0);
    fleet.store.set_fault(StoreFault::Unavailable);
    let second = fleet.start(&format!("seeds = {seeds:?}"));
    until("the second knows", || second.metric("portfield_evacuated") == 1.0);
    until("it is ready", || second.is_ready());
    assert_eq!(served_by(&second, 6), ["from plain-1"]);
}

/// The store has lost the order, and the operator writes it again; later it comes back from a copy in which an order
/// stands that was taken back.
#[test]
fn a_store_that_goes_back_changes_no_order() {
    let mut fleet = two_centres();
    let host = fleet.host();
    let before = fleet.store.snapshot();
    fleet.store.put("op", "evacuate/north", &json!({}));
    until("it is in force", || host.metric("portfield_evacuated") == 1.0);
    fleet.store.restore(before);
    until("the host has noticed", || host.metric("portfield_store_era") == 1.0);
    for _ in 0..10 {
        assert_eq!(served_by(&host, 2), ["from plain-1"]);
        thread::sleep(Duration::from_millis(50));
    }
    fleet.store.put("op", "evacuate/north", &json!({}));
    let with_order = fleet.store.snapshot();
    thread::sleep(Duration::from_millis(300));
    fleet.store.remove("op", "evacuate/north");
    until("it is over", || host.metric("portfield_evacuated") == 0.0);
    fleet.store.restore(with_order);
    until("the host has noticed", || host.metric("portfield_store_era") == 2.0);
    for _ in 0..10 {
        assert_eq!(served_by(&host, 2), ["from plain-0"]);
        thread::sleep(Duration::from_millis(50));
    }
}

/// A configuration in which the upstreams of the plain service are cold after their start.
fn with_warming(version: u64) -> Value {
    let mut res = config(version);
    res["services"][0]["cold_start_s"] = json!(3.0);
    res["services"][0]["cold_per_s"] = json!(2.0);
    res
}

#[test]
fn a_cold_upstream_gets_few_requests_and_the_others_the_rest() {
    let mut fleet = Fleet::new(2, 0);
    fleet.store.put("op", "config", &with_warming(2));
    let mut cold = fleet.plains[0].entry("desk", "ready");
    cold["cold_remaining_ms"] = json!(3000);
    let mut hosts = Vec::new();
    for _ in 0..4 {
        hosts.push(fleet.start("cold_overrun = 1.5\ncold_slack = 5"));
    }
    for host in &hosts {
        until("it is ready", || host.is_ready());
        until("it knows the others", || host.metric("portfield_hosts") == 4.0);
    }
    fleet.store.put("servers", "plain-0", &cold);
    for host in &hosts {
        until("it knows", || !host.logged("upstream cold").is_empty());
    }
    let before = fleet.plains[0].n_executed();
    let start = Instant::now();
    let mut n = 0;
    while start.elapsed() < Duration::from_secs(1) {
        let answer = hosts[n % 4].send(&request("order", &format!("r{n}")));
        assert_eq!(answer.status, 200);
        n += 1;
    }
    let n_cold = fleet.plains[0].n_executed() - before;
    // Twice 1.5 and 5 are the most in a second.
    assert!((1..=8).contains(&n_cold), "{n_cold} of {n}");
    let mut warm = fleet.plains[0].entry("desk", "ready");
    warm["seq"] = json!(2);
    fleet.store.put("servers", "plain-0", &warm);
    until("it takes its part again", || {
        let before = fleet.plains[0].n_executed();
        served_by(&hosts[0], 40);
        10 < fleet.plains[0].n_executed() - before
    });
}

/// Upstreams of a service that names no rate say that they are cold, as slow ones do: they take their part all the same.
#[test]
fn a_cold_upstream_whose_service_names_no_rate_takes_its_part() {
    let mut fleet = Fleet::new(1, 0);
    let mut cold = fleet.plains[0].entry("desk", "ready");
    cold["cold_remaining_ms"] = json!(60_000);
    fleet.store.put("servers", "plain-0", &cold);
    let host = fleet.host();
    assert_eq!(served_by(&host, 30), ["from plain-0"]);
}

/// With homes, a request is sent nowhere else, also where nothing is left at home.
#[test]
fn a_request_does_not_leave_the_regions_of_its_route_and_its_workspace() {
    let mut fleet = two_centres();
    let mut text = config(2);
    text["routes"][1]["allowed_regions"] = json!(["coast"]);
    fleet.store.put("op", "config", &text);
    let host = fleet.start("regions = { north = 'hills', south = 'coast' }");
    until("it is ready", || host.is_ready());
    until("it is in force", || host.metric("portfield_config_version") == 2.0);
    assert_eq!(served_by(&host, 6), ["from plain-1"]);
    text["version"] = json!(3);
    text["tenants"][0]["allowed_regions"] = json!(["hills"]);
    fleet.store.put("op", "config", &text);
    until("it is in force", || host.metric("portfield_config_version") == 3.0);
    assert_eq!(
        host.send(&request("order", "r7")).status,
        503,
        "route and workspace have no region in common"
    );
    assert_eq!(host.send(&request("check", "r8")).text(), "from plain-0");
}
