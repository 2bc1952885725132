//! Receives digests from other hosts.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use portfield::{
    catalog::StoreVersion,
    gossip::{Delivery, FetchSize, GossipTopology, WatcherStatus, asks_now},
    suspend::{CachedState, PeerVersion},
};
use portfield_net::{clock, panics};
use portfield_wire::Digest;
use prost::Message;

use super::{
    PeerSocket,
    fetch::{self, Wanted},
    send,
};
use crate::{
    quarantine::{self, QuarantineSource},
    state::Host,
    streams, upstream_signals,
};

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM: usize = 60_000;
/// Minimum time between two fetches of the list, which often changes several times in a row.
const LIST_FETCH_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which another host's list must have been newer before a host that watches the store
/// itself fetches it. The host's own call may hang on a dead connection, which it notices only
/// after 2.2 s, while a draining upstream must get no more requests after two seconds.
const LIST_FETCH_DELAY: Duration = Duration::from_millis(250);

/// Receives datagrams forever.
pub(super) async fn run(host: Arc<Host>, socket: PeerSocket) {
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut newer = NewerVersions::default();
    let mut resumed = None;
    loop {
        let (n, address) = match socket.recv_from(&mut buf).await {
            Ok(it) => it,
            Err(err) => {
                log::debug!(err:%; "digest not received");
                continue;
            }
        };
        let last_resumed = host.resumed_at();
        if last_resumed != resumed {
            // Datagrams that queued up while this host was suspended are outdated.
            resumed = last_resumed;
            while socket.get_ref().recv(&mut buf).is_ok() {}
            continue;
        }
        let Ok(digest) = Digest::decode(&buf[..n]) else {
            host.metrics.count("digests_malformed");
            continue;
        };
        // Contains panics: a digest reaches all hosts, so that one which makes the handler panic
        // would crash every one of them.
        panics::catch("digest", || handle_datagram(&host, &socket, address, digest, &mut newer));
        newer.fetch(&host);
    }
}

/// Handles a datagram: the sender's own digest and the digests that it relays.
fn handle_datagram(
    host: &Arc<Host>,
    socket: &PeerSocket,
    from: SocketAddr,
    mut digest: Digest,
    newer: &mut NewerVersions,
) {
    if let Some(news) = digest.streams.take() {
        let sender = digest.hosts.first().and_then(|it| it.address.parse().ok()).unwrap_or(from);
        streams::handle_news(host, sender, news);
        return;
    }
    let topology = host.topology();
    if digest.seeks_hosts && topology.is_hierarchical() {
        send::introduce(host, socket, from, &digest);
    }
    if !digest.hosts.is_empty() {
        // An introduction carries no state of its sender.
        add_hosts(host, &digest);
        return;
    }
    let known = host.with_list(|it| KnownVersions {
        config: host.config_version(),
        list: it.directory.version(),
        orders: it.evacuations.version(),
    });
    let relayed = std::mem::take(&mut digest.relayed).into_iter().map(|it| (it, Delivery::Relayed));
    for (digest, delivery) in std::iter::once((digest, Delivery::Direct)).chain(relayed) {
        handle_digest(host, &topology, from, &digest);
        if digest.host == host.own_hash() {
            newer.n_digests += 1;
        } else {
            newer.record(host, known, digest.address.parse().unwrap_or(from), &digest);
        }
        let forwarded = host.peers().forward(digest, delivery);
        if let Some((leader, digest)) = forwarded {
            send::send(host, socket, &digest, [leader]);
        }
    }
}

/// Adds the hosts that an introduction lists.
fn add_hosts(host: &Host, digest: &Digest) {
    let mut peers = host.peers();
    for it in &digest.hosts {
        match it.address.parse() {
            Ok(address) => peers.add_host(address, Some(it.data_centre)),
            Err(_) => host.metrics.count("digests_malformed"),
        }
    }
}

/// Handles one digest, received directly or relayed.
fn handle_digest(host: &Host, topology: &GossipTopology, from: SocketAddr, digest: &Digest) {
    if digest.host == host.own_hash() {
        return;
    }
    let now = clock::now();
    host.peers().record_digest(now, from, digest);
    if digest.n_summed == 0 {
        let store_age = Duration::from_millis(u64::from(digest.store_age));
        if digest.data_centre == host.own_data_centre() {
            host.ingress_balance().record_peer(now, digest.host, digest.busy);
        }
        quarantine::record_running(host, digest);
        host.record_store_contact(now.saturating_sub(store_age));
        host.record_watcher(WatcherStatus {
            host: digest.host,
            data_centre: digest.data_centre,
            store_age,
            last_heard: now,
        });
    } else {
        host.metrics.count("sums");
    }
    quarantine::merge_suspects(host, &digest.suspects, QuarantineSource::Host);
    upstream_signals::merge_digest(host, digest);
    if topology.accepts(digest) {
        host.balancer().merge_digest(now, digest);
    }
}

/// Versions known to this host when a datagram arrives.
#[derive(Debug, Clone, Copy)]
struct KnownVersions {
    config: u64,
    list: StoreVersion,
    /// Version of the operator's evacuation orders.
    orders: StoreVersion,
}

/// Tracks what other hosts know in newer versions than this one.
#[derive(Debug, Default)]
struct NewerVersions {
    /// Digests in the current datagram, this host's own included.
    n_digests: u32,
    config: NewerPeer,
    list: NewerPeer,
    orders: NewerPeer,
    /// How long this host's list has been outdated.
    lag: Lag,
    /// Earliest time of the next list fetch.
    list_due: Duration,
    is_fetching_config: Arc<AtomicBool>,
    is_fetching_list: Arc<AtomicBool>,
    is_fetching_orders: Arc<AtomicBool>,
}

/// A randomly chosen host that knows a newer version. A datagram reports many hosts, and all its
/// receivers would otherwise ask the same one.
#[derive(Debug, Default)]
struct NewerPeer {
    from: Option<SocketAddr>,
    /// Hosts in the current datagram that know a newer version.
    n_holders: u32,
}

impl NewerPeer {
    fn offer(&mut self, address: SocketAddr) {
        self.n_holders += 1;
        if fastrand::u32(..self.n_holders) == 0 {
            self.from = Some(address);
        }
    }

    /// Takes the host to ask now, if any; the datagram had `n_digests` digests.
    fn take(&mut self, n_digests: u32, size: FetchSize) -> Option<SocketAddr> {
        let Self { from, n_holders } = std::mem::take(self);
        let n_lacking = n_digests.saturating_sub(n_holders) as usize;
        from.filter(|_| asks_now(n_holders as usize, n_lacking, size, fastrand::f64()))
    }
}

impl NewerVersions {
    fn record(&mut self, host: &Host, known: KnownVersions, address: SocketAddr, digest: &Digest) {
        self.n_digests += 1;
        let orders = StoreVersion::new(digest.orders_era, digest.orders_version);
        let has_newer_orders = known.orders < orders;
        if has_newer_orders {
            self.orders.offer(address);
        }
        let has_newer_config = known.config < digest.config_version;
        if has_newer_config {
            self.config.offer(address);
            host.newer_config.record();
        }
        host.update_store_era(digest.list_era, "host");
        let has_newer_list = known.list < StoreVersion::new(digest.list_era, digest.list_version);
        if has_newer_list {
            self.list.offer(address);
            host.newer_list.record();
        }
        // A host that was suspended itself knows no more than this one.
        if digest.outdated {
            return;
        }
        let has_store_contact = Duration::from_millis(u64::from(digest.store_age))
            < host.settings().store_timeouts.stale_after;
        let not_newer = if has_store_contact { PeerVersion::Current } else { PeerVersion::Agreed };
        let now = clock::now();
        let mut detector = host.suspend_detector();
        let is_newer = has_newer_config || has_newer_orders;
        let version = if is_newer { PeerVersion::Newer } else { not_newer };
        detector.record_peer(now, CachedState::Config, version);
        let version = if has_newer_list { PeerVersion::Newer } else { not_newer };
        detector.record_peer(now, CachedState::Upstreams, version);
    }

    /// Fetches the newer versions.
    fn fetch(&mut self, host: &Arc<Host>) {
        let n_digests = std::mem::take(&mut self.n_digests);
        if let Some(from) = self.config.take(n_digests, FetchSize::Small) {
            fetch::start(host, from, Wanted::Config, &self.is_fetching_config);
        }
        if let Some(from) = self.orders.take(n_digests, FetchSize::Small) {
            fetch::start(host, from, Wanted::Orders, &self.is_fetching_orders);
        }
        let has_list = host.with_list(|it| !it.directory.is_empty());
        let size = if has_list { FetchSize::Small } else { FetchSize::WholeList };
        let Some(from) = self.list.take(n_digests, size) else { return };
        let now = clock::now();
        let version = host.with_list(|it| it.directory.version());
        let is_due = host.needs_peer_list() || LIST_FETCH_DELAY <= self.lag.update(now, version);
        if self.list_due <= now && is_due {
            self.list_due = now + LIST_FETCH_INTERVAL;
            fetch::start(host, from, Wanted::List, &self.is_fetching_list);
        }
    }
}

/// Measures how long this host's list has been older than another host's.
#[derive(Debug, Default)]
struct Lag {
    /// The outdated version, and since when it has been known to be outdated.
    since: Option<(StoreVersion, Duration)>,
}

impl Lag {
    /// Returns how long the list has been known to be outdated in this version.
    fn update(&mut self, now: Duration, version: StoreVersion) -> Duration {
        let since = match self.since {
            Some((same, since)) if same == version => since,
            _ => now,
        };
        self.since = Some((version, since));
        now.saturating_sub(since)
    }
}
