//! A store that comes back from a copy of itself some seconds old.

mod fleet;

use std::{thread, time::Duration};

use fleet::{Fleet, config, request, until};
use portfield_platform_standins::StoreFault;
use serde_json::Value;

/// A configuration in which one key is gone.
fn without_key(version: u64) -> Value {
    let mut res = config(version);
    res["tenants"].as_array_mut().unwrap().remove(0);
    res
}

/// The trap: the host has followed up to a number, the store goes back below it, and gives the number out again before
/// the host asks. Nothing is said to be missing, and a change would be.
#[test]
fn a_number_that_is_given_out_again_hides_no_change() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.host();
    let before = fleet.store.snapshot();
    for _ in 0..6 {
        fleet.store.put("op", "other", &Value::Null);
    }
    thread::sleep(Duration::from_millis(400));
    fleet.store.set_fault(StoreFault::Hang);
    fleet.store.restore(before);
    // The change has a number that the host believes it knows.
    fleet.store.put("servers", "plain-0", &fleet.plains[0].entry("desk", "draining"));
    for _ in 0..20 {
        fleet.store.put("op", "other", &Value::Null);
    }
    fleet.store.set_fault(StoreFault::None);
    until("the change is known", || {
        host.logged("upstream changed").iter().any(|it| it["state"] == "Draining")
    });
    assert!(!host.logged("store restored from a backup").is_empty());
    assert_eq!(host.send(&request("order", "r1")).text(), "from plain-1");
}

#[test]
fn what_was_taken_away_does_not_come_back() {
    let mut fleet = Fleet::new(2, 0);
    fleet.store.put("op", "config", &config(2));
    let first = fleet.host();
    let second = fleet.host();
    let before = fleet.store.snapshot();
    fleet.store.put("op", "config", &without_key(3));
    fleet.store.remove("servers", "plain-0");
    for host in [&first, &second] {
        until("the key is gone", || host.send(&request("check", "r1")).status == 401);
        until("the upstream is gone", || !host.logged("upstream gone").is_empty());
    }
    fleet.store.restore(before);
    for host in [&first, &second] {
        until("it has noticed", || host.metric("portfield_store_era") == 1.0);
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
fn hosts_write_their_addresses_again_and_keep_what_upstreams_do_not_write() {
    let mut fleet = Fleet::new(1, 0);
    let empty = fleet.store.snapshot();
    let host = fleet.host();
    until("its address is there", || fleet.store.keys("portfield_hosts").len() == 1);
    fleet.store.restore(empty);
    until("its address is there again", || fleet.store.keys("portfield_hosts").len() == 1);
    assert_eq!(host.send(&request("order", "r1")).status, 200);
}
