//! Sends digests to the other hosts.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use async_io::Async;
use futures_lite::future;
use portfield::gossip::{GossipTopology, Introduction};
use portfield_net::clock;
use portfield_wire::Digest;
use prost::Message;

use super::PeerSocket;
use crate::{quarantine, state::Host, streams, upstream_signals};

/// Maximum bytes of relayed digests in a datagram: half of the largest datagram, which leaves room
/// for this host's own digest.
const MAX_RELAYED_BYTES: usize = 30_000;
/// Time from urgent news to the digest that carries it, which also has what follows within that
/// time: a crash breaks several requests.
const URGENT_DELAY: Duration = Duration::from_millis(2);
/// Interval of the log line with the number of hosts that joined or returned.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Sends this host's digests forever.
pub(super) async fn run(host: Arc<Host>, socket: PeerSocket) {
    let mut sequence = 0;
    let mut last_logged = Duration::ZERO;
    let mut topology = host.refresh_topology();
    let mut due = host.digest_due.listen();
    loop {
        let early = async {
            (&mut due).await;
            clock::sleep(URGENT_DELAY).await;
        };
        future::or(clock::sleep(topology.period()), early).await;
        due = host.digest_due.listen();
        sequence += 1;
        topology = host.refresh_topology();
        host.observe_list();
        host.refresh_cold_quotas();
        streams::tell_untold(&host);
        let header = header(&host, sequence);
        let digest = own_digest(&host, &topology, header.clone());
        let (targets, relayed) = {
            let mut peers = host.peers();
            (peers.recipients(sequence), peers.take_forwards())
        };
        if topology.is_leader() {
            let summary = summary(&host, header);
            let targets = host.peers().summary_recipients(clock::now(), sequence);
            send(&host, &socket, &summary, targets);
        }
        for digest in split_relayed(digest, relayed) {
            send(&host, &socket, &digest, targets.iter().copied());
        }
        if last_logged + LOG_INTERVAL <= clock::now() {
            last_logged = clock::now();
            log_hosts_joined(&host);
        }
    }
}

/// Sends a digest to the given addresses.
pub(super) fn send(
    host: &Host,
    socket: &Async<std::net::UdpSocket>,
    digest: &Digest,
    addresses: impl IntoIterator<Item = SocketAddr>,
) {
    let bytes = digest.encode_to_vec();
    for address in addresses {
        // A datagram that cannot be sent is treated as lost: the next digest repeats its content.
        if let Err(err) = socket.get_ref().send_to(&bytes, address)
            && err.kind() != io::ErrorKind::WouldBlock
        {
            host.metrics.count("digests_not_sent");
            log::debug!(err:%, address:%, n_bytes = bytes.len(); "digest not sent");
        }
    }
}

/// Introduces the sender of a digest, who knows no host of its data centre, to some.
pub(super) fn introduce(
    host: &Host,
    socket: &Async<std::net::UdpSocket>,
    from: SocketAddr,
    digest: &Digest,
) {
    let introduction = host.peers().introduction(digest);
    match introduction {
        Introduction::Hosts(hosts) => {
            let to = digest.address.parse().unwrap_or(from);
            send(host, socket, &Digest { hosts, ..header(host, 0) }, [to]);
        }
        Introduction::AskLeader(leader) => {
            let digest = Digest { passed_on: true, relayed: Vec::new(), ..digest.clone() };
            send(host, socket, &digest, [leader]);
        }
        Introduction::Unknown => {}
    }
}

/// Adds this host's state to its digest header.
fn own_digest(host: &Host, topology: &GossipTopology, header: Digest) -> Digest {
    let mut res = header;
    res.busy = host.told_load();
    res.seeks_hosts = !host.peers().knows_local_host();
    host.balancer().fill_digest(clock::now(), &mut res);
    quarantine::fill_digest(host, topology, &mut res);
    upstream_signals::fill_digest(host, topology, &mut res);
    res
}

/// Builds a digest with this host's identity and the versions that it knows.
fn header(host: &Host, sequence: u64) -> Digest {
    let settings = host.settings();
    let (list, orders) = host.with_list(|it| (it.directory.version(), it.evacuations.version()));
    Digest {
        host: host.own_hash(),
        incarnation: host.incarnation,
        sequence,
        config_version: host.config_version(),
        list_version: list.number,
        list_era: list.era,
        orders_version: orders.number,
        orders_era: orders.era,
        data_centre: host.own_data_centre(),
        store_age: host.store_age().as_millis().min(u128::from(u32::MAX)) as u32,
        address: settings.peers.to_string(),
        outdated: !host.has_fresh_state(),
        ..Digest::default()
    }
}

/// Builds the summary of this host's data centre: a digest whose sender is the data centre, by the
/// hash of its name, in place of this host.
fn summary(host: &Host, header: Digest) -> Digest {
    let mut res = Digest { host: u64::from(header.data_centre), passed_on: true, ..header };
    host.balancer().fill_summary(clock::now(), &mut res);
    quarantine::fill_summary(host, &mut res);
    upstream_signals::fill_summary(host, &mut res);
    res
}

/// Adds relayed digests, split over several datagrams if they are too long for one. Each datagram
/// repeats this host's own digest, which receivers count once.
fn split_relayed(own: Digest, relayed: Vec<Digest>) -> Vec<Digest> {
    let mut res = vec![own.clone()];
    let mut n_bytes = 0;
    for it in relayed {
        n_bytes += it.encoded_len();
        if MAX_RELAYED_BYTES < n_bytes {
            n_bytes = it.encoded_len();
            res.push(own.clone());
        }
        if let Some(last) = res.last_mut() {
            last.relayed.push(it);
        }
    }
    res
}

fn log_hosts_joined(host: &Host) {
    let n = host.peers().take_n_appeared();
    if 0 < n {
        log::info!(n, hosts = host.balancer().n_hosts(clock::now()); "hosts joined or returned");
    }
}
