//! Propagation of configuration and upstreams to hosts, from the store and from peers, during store outages.

mod fleet;

use std::{
    io::ErrorKind,
    net::{SocketAddr, UdpSocket},
    thread,
    time::{Duration, Instant},
};

use async_net::TcpStream;
use fleet::{Fleet, Host, config, request, wait_until};
use portfield_net::{http1, rpc};
use portfield_platform_standins::{FaultProxy, NetworkFault, StoreFault};
use portfield_wire::{
    Digest, KnowledgeReply, KnowledgeRequest, ListedUpstream,
    peers_server::{Peers, PeersServer},
};
use prost::Message;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use tonic::{Request, Response, Status};

/// Version above any that the fake store reaches in a test.
const NEWER_VERSION: u64 = 1_000_000;

/// Returns a configuration without the `check` route.
fn config_without_check_route(version: u64) -> serde_json::Value {
    let mut res = config(version);
    res["routes"].as_array_mut().unwrap().remove(0);
    res
}

#[test]
fn newer_configuration_applies_and_older_is_ignored() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    assert_eq!(host.send(&request("check", "r1")).status, 200);
    fleet.store.put("op", "config", &config_without_check_route(7));
    wait_until("the route is removed", || host.send(&request("check", "r2")).status == 404);
    fleet.store.put("op", "config", &config(3));
    let after = host.metric("portfield_list_version");
    fleet.store.put("servers", "x", &fleet.plain_upstreams[0].entry("other", "ready"));
    wait_until("the host knows of a later change", || {
        after < host.metric("portfield_list_version")
    });
    assert_eq!(host.metric("portfield_config_version"), 7.0);
    assert_eq!(host.send(&request("check", "r3")).status, 404);
}

#[test]
fn requests_succeed_during_store_faults() {
    for fault in [
        StoreFault::Unavailable,
        StoreFault::TooManyRequests,
        StoreFault::Close,
        StoreFault::Hang,
        StoreFault::Slow(900),
    ] {
        let mut fleet = Fleet::new(1, 0);
        let host = fleet.start_host();
        fleet.store.set_fault(fault);
        wait_until("the loss is logged", || {
            fault == StoreFault::Slow(900) || !host.log_entries("store unavailable").is_empty()
        });
        // A host that is short of processor time refuses requests and is not ready, and says so.
        let is_overloaded = || !host.log_entries("load state changed").is_empty();
        wait_until("the request is admitted", || {
            let response = host.send(&request("order", "r1"));
            let is_refused = response.text().contains("this host is overloaded");
            assert!(response.status == 200 || is_refused, "{fault:?}: {response:?}");
            !is_refused
        });
        wait_until("the host is ready", || {
            let is_ready = host.is_ready();
            assert!(is_ready || is_overloaded(), "{fault:?}");
            is_ready
        });
        fleet.store.set_fault(StoreFault::None);
        fleet.store.put("op", "config", &config_without_check_route(2));
        wait_until("the change is applied", || host.send(&request("check", "r2")).status == 404);
    }
}

#[test]
fn compacted_history_triggers_a_full_read() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.start_host();
    fleet.store.set_fault(StoreFault::Unavailable);
    wait_until("the loss is logged", || !host.log_entries("store unavailable").is_empty());
    fleet.store.remove("servers", "plain-0");
    fleet.store.compact_history();
    fleet.store.set_fault(StoreFault::None);
    wait_until("the upstream is removed", || {
        host.log_entries("upstream gone").iter().any(|it| it["upstream"] == "plain-0")
            || !host.log_entries("upstream did not come back").is_empty()
    });
    for n in 0..4 {
        assert_eq!(host.send(&request("order", &format!("r{n}"))).text(), "from plain-1");
    }
}

#[test]
fn draining_upstream_gets_no_new_requests() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.start_host();
    let entry = fleet.plain_upstreams[0].entry("desk", "draining");
    fleet.store.put("servers", "plain-0", &entry);
    wait_until("the host knows of the change", || {
        host.log_entries("upstream changed").iter().any(|it| it["state"] == "Draining")
    });
    for n in 0..6 {
        assert_eq!(host.send(&request("order", &format!("r{n}"))).text(), "from plain-1");
    }
}

#[test]
fn host_started_while_the_store_is_down_gets_state_from_peers() {
    let mut fleet = Fleet::new(1, 0);
    let first = fleet.start_host();
    wait_until("the first host has written its address", || {
        !fleet.store.keys("portfield_hosts").is_empty()
    });
    let seed = fleet.store.values("portfield_hosts")[0].clone();
    fleet.store.set_fault(StoreFault::Unavailable);
    let second = fleet.spawn_host(&format!("seeds = ['{seed}']"));
    wait_until("the second host is ready", || second.is_ready());
    assert_eq!(second.send(&request("order", "r1")).status, 200);
    assert_eq!(second.metric("portfield_config_version"), first.metric("portfield_config_version"));
}

#[test]
fn host_cut_off_from_the_store_gets_changes_from_peers() {
    let mut fleet = Fleet::new(1, 0);
    let first = fleet.start_host();
    let second = fleet.start_host();
    wait_until("the hosts know each other", || 2.0 <= first.metric("portfield_hosts"));
    // The second host misses the change in the store, and gets it from its peer when it resumes.
    second.signal("-STOP");
    fleet.store.put("op", "config", &config_without_check_route(5));
    wait_until("the first host has the change", || first.metric("portfield_config_version") == 5.0);
    fleet.store.set_fault(StoreFault::Hang);
    second.signal("-CONT");
    wait_until("the second host has the change", || {
        second.metric("portfield_config_version") == 5.0
    });
    assert_eq!(second.send(&request("check", "r1")).status, 404);
}

/// Guards against one store request per change: before the traffic of a scaled-up day, 59 hosts made 1,364 requests,
/// one for each upstream that registered.
#[test]
fn rapid_changes_are_batched_into_few_store_calls() {
    let mut fleet = Fleet::new(1, 1);
    let host = fleet.start_host();
    // The first change shows that the host follows the table.
    let entry = fleet.plain_upstreams[0].entry("desk", "ready");
    fleet.store.put("servers", "other-0", &entry);
    let version = || host.metric("portfield_list_version");
    let followed = version();
    wait_until("the host follows the table", || followed < version());
    let (calls_before, start) = (fleet.store.n_calls(), Instant::now());
    for n in 1..=40 {
        fleet.store.put("servers", &format!("other-{n}"), &entry);
        thread::sleep(Duration::from_millis(10));
    }
    let n_calls = fleet.store.n_calls() - calls_before;
    // One request per 100 ms of changes, and a few for the other tables.
    let max_calls = start.elapsed().as_millis() as u64 / 100 + 6;
    assert!(n_calls <= max_calls, "{n_calls} requests, expected at most {max_calls}");
}

/// Fake peer that sends its configuration at once, and its list if it has one; otherwise its list request hangs.
#[derive(Debug, Clone)]
struct FakePeer {
    config: Vec<u8>,
    list: Vec<ListedUpstream>,
}

#[tonic::async_trait]
impl Peers for FakePeer {
    async fn knowledge(
        &self,
        request: Request<KnowledgeRequest>,
    ) -> Result<Response<KnowledgeReply>, Status> {
        if request.into_inner().list_version < NEWER_VERSION {
            if self.list.is_empty() {
                return std::future::pending().await;
            }
            let list = self.list.clone();
            let reply =
                KnowledgeReply { list_version: NEWER_VERSION, list, ..KnowledgeReply::default() };
            return Ok(Response::new(reply));
        }
        let reply = KnowledgeReply {
            config_version: NEWER_VERSION,
            config: self.config.clone(),
            ..KnowledgeReply::default()
        };
        Ok(Response::new(reply))
    }
}

/// Guards against a configuration that waits for the list of upstreams: with 300 hosts, each configuration was sent
/// along with 3,000 entries, which violated the CONFIG rule.
#[test]
fn configuration_is_fetched_while_a_list_transfer_hangs() {
    let mut fleet = Fleet::new(1, 1);
    let host = fleet.start_host();
    fleet.store.set_fault(StoreFault::Hang);
    wait_until("the loss is logged", || !host.log_entries("store unavailable").is_empty());
    let config = config(NEWER_VERSION).to_string().into_bytes();
    let socket = serve_peer(&fleet, FakePeer { config, list: Vec::new() });
    let mut sequence = 0;
    wait_until("the configuration is applied", || {
        sequence += 1;
        let digest = Digest { config_version: NEWER_VERSION, ..newer_list_digest(sequence) };
        socket.send_to(&digest.encode_to_vec(), host.peers).unwrap();
        host.metric("portfield_config_version") == NEWER_VERSION as f64
    });
}

/// Guards against a stalled feed: a long-polling request on a dead connection hid for over two seconds that an
/// upstream was draining, while the other hosts knew.
#[test]
fn newer_list_of_a_peer_is_used_while_the_store_feed_stalls() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let draining = fleet.plain_upstreams[0].entry("desk", "draining").to_string().into_bytes();
    let entry = ListedUpstream { id: "plain-0".to_owned(), entry: draining, held: 0, row: 0 };
    let socket = serve_peer(&fleet, FakePeer { config: Vec::new(), list: vec![entry] });
    let mut sequence = 0;
    wait_until("the upstream gets no more requests", || {
        sequence += 1;
        // The store keeps responding.
        fleet.store.put("op", "other", &json!({}));
        socket.send_to(&newer_list_digest(sequence).encode_to_vec(), host.peers).unwrap();
        host.send(&request("check", &format!("r{sequence}"))).status == 503
    });
    assert!(host.log_entries("store unavailable").is_empty());
}

/// Requests a host's list of upstreams, as a peer does.
fn fetch_list(fleet: &Fleet, host: &Host) -> Vec<ListedUpstream> {
    let fetch = async {
        let stream = TcpStream::connect(host.peers).await.unwrap();
        let channel = rpc::Channel::open(&fleet.rt, stream).await.unwrap();
        let reply = channel.peers().knowledge(KnowledgeRequest::default()).await;
        reply.unwrap().into_inner().list
    };
    futures_lite::future::block_on(fetch)
}

/// Guards against stale entries under a newer version: hosts that had just started sent their peers an upstream's
/// older entry, and all took a draining upstream for ready (scaled-up deployment Craigmhor scale-2, seed 400597386945).
#[test]
fn stale_store_rows_are_not_passed_to_peers() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.start_host();
    let listed = |n: usize, state: &str| ListedUpstream {
        id: format!("plain-{n}"),
        entry: fleet.plain_upstreams[n].entry("desk", state).to_string().into_bytes(),
        held: 0,
        row: 0,
    };
    let list = vec![listed(0, "draining"), listed(1, "ready")];
    let socket = serve_peer(&fleet, FakePeer { config: Vec::new(), list });
    let mut sequence = 0;
    wait_until("the newer list is applied", || {
        sequence += 1;
        socket.send_to(&newer_list_digest(sequence).encode_to_vec(), host.peers).unwrap();
        host.metric("portfield_list_version") == NEWER_VERSION as f64
    });
    let before = fleet.store.n_calls();
    fleet.store.put("servers", "plain-0", &fleet.plain_upstreams[0].entry("desk", "ready"));
    wait_until("the host has read the older entry from the store", || {
        before + 4 <= fleet.store.n_calls()
    });
    let forwarded = fetch_list(&fleet, &host).into_iter().find(|it| it.id == "plain-0").unwrap();
    let forwarded: serde_json::Value = serde_json::from_slice(&forwarded.entry).unwrap();
    assert_eq!(forwarded["state"], "draining");
}

/// Serves a fake peer; returns the socket from which its digests are sent.
fn serve_peer(fleet: &Fleet, peer: FakePeer) -> UdpSocket {
    let (listener, address) =
        futures_lite::future::block_on(http1::bind("127.0.0.1:0".parse().unwrap())).unwrap();
    fleet.rt.spawn(rpc::serve(fleet.rt.clone(), listener, PeersServer::new(peer)));
    // The host fetches from the source address of the digests, so the UDP and TCP ports are the same.
    UdpSocket::bind(address).unwrap()
}

/// Returns the digest of a peer that has a newer list.
fn newer_list_digest(sequence: u64) -> Digest {
    Digest { host: 1, incarnation: 1, sequence, list_version: u64::MAX / 2, ..Digest::default() }
}

#[test]
fn remote_data_centre_is_known_by_its_summary() {
    let mut fleet = Fleet::new(1, 1);
    let data_centres = [("north", 8), ("south", 6)];
    let mut hosts = Vec::new();
    for (data_centre, n) in data_centres {
        hosts.extend((0..n).map(|_| fleet.spawn_host_in(data_centre, "direct_hosts = 12")));
    }
    let n_hosts = hosts.len() as f64;
    // A host counted both by its own digest and in a summary would make the number too high.
    for host in &hosts {
        wait_until("the host knows all others by summaries", || {
            2.0 <= host.metric("portfield_sums") && host.metric("portfield_hosts") == n_hosts
        });
    }
    let leaving = hosts.pop().expect("there is a host");
    drop(leaving);
    for host in &hosts {
        wait_until("the stopped host is removed from the summary", || {
            host.metric("portfield_hosts") == n_hosts - 1.0
        });
    }
}

/// Malformed rows, new ones and one in place of a valid entry, get no requests and don't affect the other upstreams.
#[test]
fn malformed_rows_are_ignored() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.start_host();
    let entry = |field: &str, value: serde_json::Value| {
        let mut res = fleet.plain_upstreams[0].entry("desk", "ready");
        res[field] = value;
        res["addr"] = json!("127.0.0.1:9");
        res
    };
    fleet.store.put("servers", "foreign-1", &entry("state", json!("up")));
    fleet.store.put("servers", "foreign-2", &entry("slots", json!("many")));
    fleet.store.put("servers", "foreign-3", &json!([1, 2]));
    fleet.store.put("servers", "plain-0", &entry("zone", json!(null)));
    wait_until("the host has read the rows", || {
        4 <= host.log_entries("entry cannot be decoded").len()
    });
    for n in 0..8 {
        let response = host.send(&request("order", &format!("r{n}")));
        assert_eq!((response.status, response.text().as_str()), (200, "from plain-1"));
    }
    // A host that starts now reads them with the whole table, or gets the list from its peer.
    let second = fleet.spawn_host("");
    wait_until("the host is ready", || second.is_ready());
    assert_eq!(second.send(&request("order", "r9")).text(), "from plain-1");
}

/// An upstream restarts under its ID at another address: the state of the earlier incarnation, here unreachable, must
/// not apply to it.
#[test]
fn restarted_upstream_loses_its_unreachable_state() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.start_host();
    let entry_born_at = |address: &str, born: u64| {
        let mut res = fleet.plain_upstreams[0].entry("desk", "ready");
        res["addr"] = json!(address);
        res["born"] = json!(born);
        res
    };
    let address = fleet.plain_upstreams[0].address().to_string();
    fleet.store.put("servers", "plain-0", &entry_born_at("127.0.0.1:9", 1_000));
    wait_until("the host finds the earlier incarnation unreachable", || {
        host.send(&request("check", "r1")).status == 503
    });
    fleet.store.put("servers", "plain-0", &entry_born_at(&address, 2_000));
    wait_until("the host knows of the restart", || {
        host.log_entries("upstream changed").iter().filter(|it| it["upstream"] == "plain-0").count()
            >= 3
    });
    // The earlier incarnation would still be skipped as unreachable.
    assert_eq!(host.send(&request("order", "r2")).status, 200);
}

#[test]
fn readiness_requires_configuration_and_upstreams() {
    let mut fleet = Fleet::new(0, 0);
    let host = fleet.spawn_host("");
    wait_until("the host has the configuration", || host.metric("portfield_config_version") == 1.0);
    assert!(!host.is_ready());
    fleet.store.put(
        "servers",
        "s",
        &json!({
            "service": "desk", "addr": "127.0.0.1:9", "zone": "north", "version": "v1", "slots": 1,
            "state": "ready", "cold_remaining_ms": 0, "seq": 1,
        }),
    );
    wait_until("the host is ready", || host.is_ready());
    std::thread::sleep(Duration::ZERO);
}

/// Guards against delayed removal: the store was unreachable for one host only and served the others, and that host
/// kept a removed upstream for two seconds (deployment osu-lostfound, run hunt-cdc1-15).
#[test]
fn removed_upstream_is_dropped_at_once_after_a_single_host_store_outage() {
    let mut fleet = Fleet::new(2, 0);
    let first = fleet.start_host();
    let proxy = FaultProxy::start(&fleet.rt, fleet.store.address());
    let proxy = futures_lite::future::block_on(proxy).unwrap();
    fleet.store_proxy = Some(proxy.address());
    let isolated = fleet.start_host();
    wait_until("the host knows its peer", || isolated.metric("portfield_hosts") == 2.0);
    proxy.set_fault(NetworkFault::StallAll);
    // Longer than the outage after which entries may have expired in the store.
    thread::sleep(Duration::from_millis(3800));
    proxy.set_fault(NetworkFault::None);
    wait_until("the host reaches the store again", || {
        !isolated.log_entries("store available again").is_empty()
    });
    // With its peer suspended, the host gets the next change from the store.
    first.signal("-STOP");
    fleet.store.remove("servers", "plain-0");
    let is_gone =
        |event: &str| isolated.log_entries(event).iter().any(|it| it["upstream"] == "plain-0");
    wait_until("the host removes the upstream", || {
        is_gone("upstream gone") || is_gone("upstream did not come back")
    });
    first.signal("-CONT");
    assert!(is_gone("upstream gone"), "the upstream was kept for two seconds in case it came back");
}

/// Guards against reconnects to a stale address: a host kept trying the address of an earlier incarnation as long as
/// the upstream's ID was listed.
#[test]
fn address_of_an_earlier_incarnation_is_not_tried_again() {
    let mut fleet = Fleet::new(1, 0);
    // Bound but not listening: refuses connections and keeps others from using the port.
    let closed_socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    closed_socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = closed_socket.local_addr().unwrap().as_socket().unwrap();
    let entry = |address, born: u64| {
        let mut res = fleet.plain_upstreams[0].entry_at(address, "desk", "ready");
        res["born"] = json!(born);
        res
    };
    let (earlier, current) = (entry(address, 1), entry(fleet.plain_upstreams[0].address(), 2));
    fleet.store.put("servers", "plain-0", &earlier);
    let host = fleet.start_host();
    host.send(&request("check", "r1"));
    wait_until("the host has tried the address", || {
        !host.log_entries("upstream unreachable").is_empty()
    });
    fleet.store.put("servers", "plain-0", &current);
    wait_until("the current incarnation serves requests", || {
        host.send(&request("check", "r2")).status == 200
    });
    closed_socket.listen(1).unwrap();
    closed_socket.set_nonblocking(true).unwrap();
    // Twice the maximum pause between two attempts.
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(closed_socket.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
}
