//! What hosts know: configuration and upstreams, through outages of the store.

mod fleet;

use std::{
    io::ErrorKind,
    net::{SocketAddr, UdpSocket},
    thread,
    time::{Duration, Instant},
};

use async_net::TcpStream;
use fleet::{Fleet, Host, config, request, until};
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

/// A version above any that the stand-in of the store gives in a test.
const NEWER: u64 = 1_000_000;

/// A configuration in which the route for checks is gone.
fn without_checks(version: u64) -> serde_json::Value {
    let mut res = config(version);
    res["routes"].as_array_mut().unwrap().remove(0);
    res
}

#[test]
fn a_change_is_in_force_within_two_seconds_and_no_older_one_follows() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    assert_eq!(host.send(&request("check", "r1")).status, 200);
    fleet.store.put("op", "config", &without_checks(7));
    until("the route is gone", || host.send(&request("check", "r2")).status == 404);
    fleet.store.put("op", "config", &config(3));
    let after = host.metric("portfield_list_version");
    fleet.store.put("servers", "x", &fleet.plains[0].entry("other", "ready"));
    until("a later change is seen", || after < host.metric("portfield_list_version"));
    assert_eq!(host.metric("portfield_config_version"), 7.0);
    assert_eq!(host.send(&request("check", "r3")).status, 404);
}

#[test]
fn requests_go_on_while_the_store_is_away() {
    for fault in [
        StoreFault::Unavailable,
        StoreFault::TooManyRequests,
        StoreFault::Close,
        StoreFault::Hang,
        StoreFault::Slow(900),
    ] {
        let mut fleet = Fleet::new(1, 0);
        let host = fleet.host();
        fleet.store.set_fault(fault);
        until("the loss is logged", || {
            fault == StoreFault::Slow(900) || !host.logged("store unavailable").is_empty()
        });
        assert_eq!(host.send(&request("order", "r1")).status, 200, "{fault:?}");
        assert!(host.is_ready(), "{fault:?}");
        fleet.store.set_fault(StoreFault::None);
        fleet.store.put("op", "config", &without_checks(2));
        until("the change is in force", || host.send(&request("check", "r2")).status == 404);
    }
}

#[test]
fn a_forgotten_history_is_read_anew() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.host();
    fleet.store.set_fault(StoreFault::Unavailable);
    until("the loss is logged", || !host.logged("store unavailable").is_empty());
    fleet.store.remove("servers", "plain-0");
    fleet.store.compact_history();
    fleet.store.set_fault(StoreFault::None);
    until("the upstream is gone", || {
        host.logged("upstream gone").iter().any(|it| it["upstream"] == "plain-0")
            || !host.logged("upstream did not come back").is_empty()
    });
    for n in 0..4 {
        assert_eq!(host.send(&request("order", &format!("r{n}"))).text(), "from plain-1");
    }
}

#[test]
fn who_drains_gets_no_new_request() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.host();
    let entry = fleet.plains[0].entry("desk", "draining");
    fleet.store.put("servers", "plain-0", &entry);
    until("the news is there", || {
        host.logged("upstream changed").iter().any(|it| it["state"] == "Draining")
    });
    for n in 0..6 {
        assert_eq!(host.send(&request("order", &format!("r{n}"))).text(), "from plain-1");
    }
}

#[test]
fn a_host_that_starts_while_the_store_is_down_learns_from_the_others() {
    let mut fleet = Fleet::new(1, 0);
    let first = fleet.host();
    let known = fleet.store.keys("portfield_hosts");
    until("the first host has written its address", || {
        !fleet.store.keys("portfield_hosts").is_empty()
    });
    drop(known);
    let seed = fleet.store.keys("portfield_hosts")[0].clone();
    fleet.store.set_fault(StoreFault::Unavailable);
    let second = fleet.start(&format!("seeds = ['{seed}']"));
    until("the second host is ready", || second.is_ready());
    assert_eq!(second.send(&request("order", "r1")).status, 200);
    assert_eq!(second.metric("portfield_config_version"), first.metric("portfield_config_version"));
}

#[test]
fn a_host_that_the_store_turns_away_learns_a_change_from_the_others() {
    let mut fleet = Fleet::new(1, 0);
    let first = fleet.host();
    let second = fleet.host();
    until("they hear each other", || 2.0 <= first.metric("portfield_hosts"));
    // The second host's own view of the store ends: its socket is all that it has.
    second.signal("-STOP");
    fleet.store.put("op", "config", &without_checks(5));
    until("the first host knows", || first.metric("portfield_config_version") == 5.0);
    fleet.store.set_fault(StoreFault::Hang);
    second.signal("-CONT");
    until("the second host knows", || second.metric("portfield_config_version") == 5.0);
    assert_eq!(second.send(&request("check", "r1")).status, 404);
}

/// Before the traffic of a grown day 59 hosts made 1,364 calls to the store, one for each upstream that
/// came.
#[test]
fn changes_in_quick_succession_take_few_calls_to_the_store() {
    let mut fleet = Fleet::new(1, 1);
    let host = fleet.host();
    // The first change shows that the table is followed.
    let entry = fleet.plains[0].entry("desk", "ready");
    fleet.store.put("servers", "other-0", &entry);
    let version = || host.metric("portfield_list_version");
    let followed = version();
    until("the table is followed", || followed < version());
    let (calls, start) = (fleet.store.n_calls(), Instant::now());
    for n in 1..=40 {
        fleet.store.put("servers", &format!("other-{n}"), &entry);
        thread::sleep(Duration::from_millis(10));
    }
    let n_calls = fleet.store.n_calls() - calls;
    // One for each 100 ms that the changes took, and a few for the other tables.
    let most = start.elapsed().as_millis() as u64 / 100 + 6;
    assert!(n_calls <= most, "{n_calls} calls, at most {most}");
}

/// Another host that tells its configuration at once, and its list if it has one; else it never
/// ends telling that.
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
        if request.into_inner().list_version < NEWER {
            if self.list.is_empty() {
                return std::future::pending().await;
            }
            let list = self.list.clone();
            let reply = KnowledgeReply { list_version: NEWER, list, ..KnowledgeReply::default() };
            return Ok(Response::new(reply));
        }
        let reply = KnowledgeReply {
            config_version: NEWER,
            config: self.config.clone(),
            ..KnowledgeReply::default()
        };
        Ok(Response::new(reply))
    }
}

/// The sweep at 300 hosts broke CONFIG: 3,000 entries came along with each configuration.
#[test]
fn a_configuration_does_not_wait_for_a_long_list() {
    let mut fleet = Fleet::new(1, 1);
    let host = fleet.host();
    fleet.store.set_fault(StoreFault::Hang);
    until("the loss is logged", || !host.logged("store unavailable").is_empty());
    let config = config(NEWER).to_string().into_bytes();
    let socket = serve_peer(&fleet, FakePeer { config, list: Vec::new() });
    let mut sequence = 0;
    until("the configuration is in force", || {
        sequence += 1;
        let digest = Digest { config_version: NEWER, ..newer_list(sequence) };
        socket.send_to(&digest.encode_to_vec(), host.peers).unwrap();
        host.metric("portfield_config_version") == NEWER as f64
    });
}

/// A held call on a connection that had fallen silent hid for over two seconds that an upstream
/// was about to leave, while the other hosts knew.
#[test]
fn a_list_that_another_host_knows_is_taken_while_the_store_still_seems_to_answer() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    let draining = fleet.plains[0].entry("desk", "draining").to_string().into_bytes();
    let entry = ListedUpstream { id: "plain-0".to_owned(), entry: draining, held: 0, row: 0 };
    let socket = serve_peer(&fleet, FakePeer { config: Vec::new(), list: vec![entry] });
    let mut sequence = 0;
    until("the upstream gets no more requests", || {
        sequence += 1;
        // The store answers all the while.
        fleet.store.put("op", "other", &json!({}));
        socket.send_to(&newer_list(sequence).encode_to_vec(), host.peers).unwrap();
        host.send(&request("check", &format!("r{sequence}"))).status == 503
    });
    assert!(host.logged("store unavailable").is_empty());
}

/// Asks a host for its list.
fn list_of(fleet: &Fleet, host: &Host) -> Vec<ListedUpstream> {
    let ask = async {
        let stream = TcpStream::connect(host.peers).await.unwrap();
        let channel = rpc::Channel::open(&fleet.rt, stream).await.unwrap();
        let reply = channel.peers().knowledge(KnowledgeRequest::default()).await;
        reply.unwrap().into_inner().list
    };
    futures_lite::future::block_on(ask)
}

/// Grown Craigmhor scale-2, seed 400597386945: hosts that had just started told an upstream's older entry with a newer
/// version, and all the others took it for ready again.
#[test]
fn what_a_host_reads_too_late_is_not_told_on() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.host();
    let listed = |n: usize, state: &str| ListedUpstream {
        id: format!("plain-{n}"),
        entry: fleet.plains[n].entry("desk", state).to_string().into_bytes(),
        held: 0,
        row: 0,
    };
    let list = vec![listed(0, "draining"), listed(1, "ready")];
    let socket = serve_peer(&fleet, FakePeer { config: Vec::new(), list });
    let mut sequence = 0;
    until("the newer list is taken", || {
        sequence += 1;
        socket.send_to(&newer_list(sequence).encode_to_vec(), host.peers).unwrap();
        host.metric("portfield_list_version") == NEWER as f64
    });
    let before = fleet.store.n_calls();
    fleet.store.put("servers", "plain-0", &fleet.plains[0].entry("desk", "ready"));
    until("the store tells an older one", || before + 4 <= fleet.store.n_calls());
    let told = list_of(&fleet, &host).into_iter().find(|it| it.id == "plain-0").unwrap();
    let told: serde_json::Value = serde_json::from_slice(&told.entry).unwrap();
    assert_eq!(told["state"], "draining");
}

/// Serves another host's knowledge; returns the socket that its digests come from.
fn serve_peer(fleet: &Fleet, peer: FakePeer) -> UdpSocket {
    let (listener, address) =
        futures_lite::future::block_on(http1::bind("127.0.0.1:0".parse().unwrap())).unwrap();
    fleet.rt.spawn(rpc::serve(fleet.rt.clone(), listener, PeersServer::new(peer)));
    // The datagrams come from where the host would fetch.
    UdpSocket::bind(address).unwrap()
}

/// Builds the digest of a host that knows a newer list.
fn newer_list(sequence: u64) -> Digest {
    Digest { host: 1, incarnation: 1, sequence, list_version: u64::MAX / 2, ..Digest::default() }
}

#[test]
fn many_hosts_know_another_data_centre_by_its_sum() {
    let mut fleet = Fleet::new(1, 1);
    let places = [("north", 8), ("south", 6)];
    let mut hosts = Vec::new();
    for (place, n) in places {
        hosts.extend((0..n).map(|_| fleet.start_in(place, "direct_hosts = 12")));
    }
    let all = hosts.len() as f64;
    // Every host's own word would count as well, were it not left out where its sum counts.
    for host in &hosts {
        until("it knows all by sums", || {
            2.0 <= host.metric("portfield_sums") && host.metric("portfield_hosts") == all
        });
    }
    let leaving = hosts.pop().expect("a host");
    drop(leaving);
    for host in &hosts {
        until("the host that left is gone from the sum", || {
            host.metric("portfield_hosts") == all - 1.0
        });
    }
}

/// Rows of another writer beside and in place of upstreams' entries: they are not used, the others hold.
#[test]
fn a_row_of_another_writer_takes_no_request_and_hides_no_upstream() {
    let mut fleet = Fleet::new(2, 0);
    let host = fleet.host();
    let entry = |field: &str, value: serde_json::Value| {
        let mut res = fleet.plains[0].entry("desk", "ready");
        res[field] = value;
        res["addr"] = json!("127.0.0.1:9");
        res
    };
    fleet.store.put("servers", "foreign-1", &entry("state", json!("up")));
    fleet.store.put("servers", "foreign-2", &entry("slots", json!("many")));
    fleet.store.put("servers", "foreign-3", &json!([1, 2]));
    fleet.store.put("servers", "plain-0", &entry("zone", json!(null)));
    until("the rows are seen", || 4 <= host.logged("entry cannot be decoded").len());
    for n in 0..8 {
        let answer = host.send(&request("order", &format!("r{n}")));
        assert_eq!((answer.status, answer.text().as_str()), (200, "from plain-1"));
    }
    // A host that starts now reads them with the whole table, or from the first one.
    let second = fleet.start("");
    until("it is ready", || second.is_ready());
    assert_eq!(second.send(&request("order", "r9")).text(), "from plain-1");
}

/// An upstream that starts again under its id, behind another address: what was known of the earlier
/// one, here that it can't be reached, does not hold for it.
#[test]
fn an_upstream_that_starts_again_under_its_id_is_a_new_one() {
    let mut fleet = Fleet::new(1, 0);
    let host = fleet.host();
    let born = |address: &str, born: u64| {
        let mut res = fleet.plains[0].entry("desk", "ready");
        res["addr"] = json!(address);
        res["born"] = json!(born);
        res
    };
    let address = fleet.plains[0].address().to_string();
    fleet.store.put("servers", "plain-0", &born("127.0.0.1:9", 1_000));
    until("the dead one is seen", || host.send(&request("check", "r1")).status == 503);
    fleet.store.put("servers", "plain-0", &born(&address, 2_000));
    until("the new one is seen", || {
        host.logged("upstream changed").iter().filter(|it| it["upstream"] == "plain-0").count() >= 3
    });
    // The earlier one would be left alone for a while yet.
    assert_eq!(host.send(&request("order", "r2")).status, 200);
}

#[test]
fn readiness_waits_for_configuration_and_upstreams() {
    let mut fleet = Fleet::new(0, 0);
    let host = fleet.start("");
    until("the configuration is there", || host.metric("portfield_config_version") == 1.0);
    assert!(!host.is_ready());
    fleet.store.put(
        "servers",
        "s",
        &json!({
            "service": "desk", "addr": "127.0.0.1:9", "zone": "north", "version": "v1", "slots": 1,
            "state": "ready", "cold_remaining_ms": 0, "seq": 1,
        }),
    );
    until("the host is ready", || host.is_ready());
    std::thread::sleep(Duration::ZERO);
}

/// osu-lostfound hunt-cdc1-15: the store could not be reached by one host only, and served the others all the while.
#[test]
fn who_leaves_is_gone_at_once_for_a_host_that_alone_could_not_reach_the_store() {
    let mut fleet = Fleet::new(2, 0);
    let first = fleet.host();
    let proxy = FaultProxy::start(&fleet.rt, fleet.store.address());
    let proxy = futures_lite::future::block_on(proxy).unwrap();
    fleet.store_door = Some(proxy.address());
    let cut = fleet.host();
    until("it hears the first", || cut.metric("portfield_hosts") == 2.0);
    proxy.set_fault(NetworkFault::StallAll);
    // Longer than the silence after which entries may have lapsed.
    thread::sleep(Duration::from_millis(3800));
    proxy.set_fault(NetworkFault::None);
    until("it hears the store again", || !cut.logged("store available again").is_empty());
    // What it is told next comes from the store.
    first.signal("-STOP");
    fleet.store.remove("servers", "plain-0");
    let is_gone = |event: &str| cut.logged(event).iter().any(|it| it["upstream"] == "plain-0");
    until("it knows", || is_gone("upstream gone") || is_gone("upstream did not come back"));
    first.signal("-CONT");
    assert!(is_gone("upstream gone"), "kept for two seconds as one that may come back");
}

/// A host went on trying the address of the earlier life for as long as the id was listed.
#[test]
fn the_address_of_an_earlier_life_is_tried_no_more() {
    let mut fleet = Fleet::new(1, 0);
    // Bound and not listened on: nobody else gets the port meanwhile.
    let gone = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    gone.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = gone.local_addr().unwrap().as_socket().unwrap();
    let entry = |address, born: u64| {
        let mut res = fleet.plains[0].entry_at(address, "desk", "ready");
        res["born"] = json!(born);
        res
    };
    let (earlier, now) = (entry(address, 1), entry(fleet.plains[0].address(), 2));
    fleet.store.put("servers", "plain-0", &earlier);
    let host = fleet.host();
    host.send(&request("check", "r1"));
    until("it is tried", || !host.logged("upstream unreachable").is_empty());
    fleet.store.put("servers", "plain-0", &now);
    until("the new one serves", || host.send(&request("check", "r2")).status == 200);
    gone.listen(1).unwrap();
    gone.set_nonblocking(true).unwrap();
    // Twice the longest pause between two tries.
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(gone.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
}
