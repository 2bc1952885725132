//! Restore of the store from a snapshot that is some seconds old.

mod fleet;

use std::{thread, time::Duration};

use fleet::{Fleet, config, request, wait_until};
use portfield_platform_standins::StoreFault;
use serde_json::Value;

/// Returns a configuration without workspace `a`, and so without its API key.
fn config_without_key(version: u64) -> Value {
    let mut res = config(version);
    res["tenants"].as_array_mut().unwrap().remove(0);
    res
}

/// Guards against a missed change: the store is restored to a version below the one that the host has read, and
/// reaches that version again before the host's next request. The feed then reports no gap.
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
    // This change gets a version that the host has already read.
    fleet.store.put("servers", "plain-0", &fleet.plain_upstreams[0].entry("desk", "draining"));
    for _ in 0..20 {
        fleet.store.put("op", "other", &Value::Null);
    }
    fleet.store.set_fault(StoreFault::None);
    wait_until("the host knows of the change", || {
        host.log_entries("upstream changed").iter().any(|it| it["state"] == "Draining")
    });
    assert!(!host.log_entries("store restored from a backup").is_empty());
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
        wait_until("the API key is rejected", || host.send(&request("check", "r1")).status == 401);
        wait_until("the upstream is removed", || !host.log_entries("upstream gone").is_empty());
    }
    fleet.store.restore(before);
    for host in [&first, &second] {
        wait_until("the host has noticed the restore", || {
            host.metric("portfield_store_era") == 1.0
        });
        thread::sleep(Duration::from_millis(300));
        assert_eq!(host.send(&request("check", "r2")).status, 401);
        assert_eq!(host.metric("portfield_config_version"), 3.0);
        let mut request = request("public", "r3");
        request = request.replace("authorization: Token key-a\r\n", "");
        assert_eq!(host.send(&request).text(), "from plain-1");
    }
}

/// A host finds its peers by the addresses in the store, and each host writes its own: it is lost if the host
/// doesn't repeat the write.
#[test]
fn hosts_rewrite_their_addresses_and_keep_upstreams_after_a_restore() {
    let mut fleet = Fleet::new(1, 0);
    let empty = fleet.store.snapshot();
    let host = fleet.start_host();
    wait_until("the host has written its address", || {
        fleet.store.keys("portfield_hosts").len() == 1
    });
    fleet.store.restore(empty);
    wait_until("the host has written its address again", || {
        fleet.store.keys("portfield_hosts").len() == 1
    });
    assert_eq!(host.send(&request("order", "r1")).status, 200);
}
