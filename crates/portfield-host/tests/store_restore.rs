//! A store that comes back from a copy of itself some seconds old.

mod fleet;

use std::{thread, time::Duration};

use fleet::{Fleet, config, request, wait_until};
use portfield_platform_standins::StoreFault;
use serde_json::Value;

/// A configuration in which one key is gone.
fn config_without_key(version: u64) -> Value {
    let mut res = config(version);
    res["tenants"].as_array_mut().unwrap().remove(0);
    res
}

/// The trap: the host has followed up to a number, the store goes back below it, and gives the number out again before
/// the host asks. Nothing is said to be missing, and a change would be.
#[test]
fn reused_version_number_hides_no_change() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.start_host();
    let before = fleet.store.snapshot();
    for _ in 0..6 {
        fleet.store.put("op", "other", &Value::Null);
    }
    thread::sleep(Duration::from_millis(400));
    fleet.store.set_fault(StoreFault::Hang);
    fleet.store.restore(before);
    // The change has a number that the host believes it knows.
    fleet.store.put("servers", "plain-0", &fleet.plain_upstreams[0].entry("desk", "draining"));
    for _ in 0..20 {
        fleet.store.put("op", "other", &Value::Null);
    }
    fleet.store.set_fault(StoreFault::None);
    wait_until("the change is known", || {
        host.log_entries("upstream changed").iter().any(|it| it["state"] == "Draining")
    });
    assert!(!host.log_entries("store went back").is_empty());
    assert_eq!(host.send(&request("order", "r1")).text(), "from plain-1");
}

#[test]
fn removed_keys_and_upstreams_stay_removed_after_a_restore() {
    let mut fleet = Fleet::new(2, 0);
    fleet.store.put("op", "config", &config(2));
    let first = fleet.start_host();
    let second = fleet.start_host();
    let before = fleet.store.snapshot();
    fleet.store.put("op", "config", &config_without_key(3));
    fleet.store.remove("servers", "plain-0");
    for host in [&first, &second] {
        wait_until("the key is gone", || host.send(&request("check", "r1")).status == 401);
        wait_until("the upstream is gone", || !host.log_entries("upstream gone").is_empty());
    }
    fleet.store.restore(before);
    for host in [&first, &second] {
        wait_until("it has noticed", || host.metric("portfield_store_era") == 1.0);
        thread::sleep(Duration::from_millis(300));
        assert_eq!(host.send(&request("check", "r2")).status, 401);
        assert_eq!(host.metric("portfield_config_version"), 3.0);
        let mut request = request("public", "r3");
        request = request.replace("authorization: Token key-a\r\n", "");
        assert_eq!(host.send(&request).text(), "from plain-1");
    }
}

/// Each host's address is its own to write: one that starts later finds the others there.
#[test]
fn hosts_rewrite_their_addresses_and_keep_upstreams_after_a_restore() {
    let mut fleet = Fleet::new(1, 0);
    let empty = fleet.store.snapshot();
    let host = fleet.start_host();
    wait_until("its address is there", || fleet.store.keys("portfield_hosts").len() == 1);
    fleet.store.restore(empty);
    wait_until("its address is there again", || fleet.store.keys("portfield_hosts").len() == 1);
    assert_eq!(host.send(&request("order", "r1")).status, 200);
}
