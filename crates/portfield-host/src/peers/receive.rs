//! What this host hears from the others.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use portfield::{
    balance::{Delivery, GossipTopology, WatcherStatus},
    catalog::StoreVersion,
    suspend::CachedState,
};
use portfield_net::{clock, panics};
use portfield_wire::Digest;
use prost::Message;

use super::{
    Datagrams,
    fetch::{self, Wanted},
    send,
};
use crate::{
    quarantine::{self, VerdictSource},
    state::Host,
    upstream_signals,
};

/// Largest datagram.
const MAX_DATAGRAM: usize = 60_000;
/// Least time between two fetches of the list: it changes in quick succession.
const LIST_PERIOD: Duration = Duration::from_millis(300);
/// Time for which another host's list may be newer before a host that follows the store itself
/// takes it from there: its own call may hang on a connection that has fallen silent, which it
/// notices after 2.2 s only, and an upstream that leaves may be sent requests for two seconds.
const LIST_PATIENCE: Duration = Duration::from_millis(250);

/// Listens to the others for ever.
pub(super) async fn run(host: Arc<Host>, socket: Datagrams) {
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut news = NewerVersions::default();
    let mut woke = None;
    loop {
        let (n, address) = match socket.recv_from(&mut buf).await {
            Ok(it) => it,
            Err(err) => {
                log::debug!(err:%; "digest not received");
                continue;
            }
        };
        let woke_last = host.resumed_at();
        if woke_last != woke {
            // What lies here was said while this host stood still.
            woke = woke_last;
            while socket.get_ref().recv(&mut buf).is_ok() {}
            continue;
        }
        let Ok(digest) = Digest::decode(&buf[..n]) else {
            host.metrics.count("digests_malformed");
            continue;
        };
        // Who says it says it to all.
        panics::catch("digest", || handle_datagram(&host, &socket, address, digest, &mut news));
        news.fetch(&host);
    }
}

/// Takes a datagram: its sender's word, and what that passes on.
fn handle_datagram(
    host: &Arc<Host>,
    socket: &Datagrams,
    from: SocketAddr,
    mut digest: Digest,
    news: &mut NewerVersions,
) {
    let audience = host.audience();
    if digest.seeks_hosts && audience.is_hierarchical() {
        send::introduce(host, socket, from);
    }
    if !digest.hosts.is_empty() {
        // An introduction tells nothing of what its sender did.
        learn_hosts(host, &digest);
        return;
    }
    let known = host.with_list(|it| KnownVersions {
        config: host.config_version(),
        list: it.directory.version(),
        orders: it.evacuations.version(),
    });
    let relayed = std::mem::take(&mut digest.relayed).into_iter().map(|it| (it, Delivery::Relayed));
    for (digest, way) in std::iter::once((digest, Delivery::Direct)).chain(relayed) {
        handle_digest(host, &audience, from, &digest);
        if digest.host != host.own_hash() {
            news.note(host, known, digest.address.parse().unwrap_or(from), &digest);
        }
        let passed = host.peers().forward(digest, way);
        if let Some((speaker, digest)) = passed {
            send::send(host, socket, &digest, [speaker]);
        }
    }
}

/// Learns of hosts by another's word.
fn learn_hosts(host: &Host, digest: &Digest) {
    let mut others = host.peers();
    for it in &digest.hosts {
        match it.address.parse() {
            Ok(address) => others.add_host(address, Some(it.data_centre)),
            Err(_) => host.metrics.count("digests_malformed"),
        }
    }
}

/// Takes one digest.
fn handle_digest(host: &Host, audience: &GossipTopology, from: SocketAddr, digest: &Digest) {
    if digest.host == host.own_hash() {
        return;
    }
    let now = clock::now();
    host.peers().record_digest(now, from, digest);
    if digest.n_summed == 0 {
        let store_age = Duration::from_millis(u64::from(digest.store_age));
        host.record_store_contact(now.saturating_sub(store_age));
        host.record_follower(WatcherStatus {
            host: digest.host,
            data_centre: digest.data_centre,
            store_age,
            last_heard: now,
        });
    } else {
        host.metrics.count("sums");
    }
    quarantine::merge_suspects(host, &digest.suspects, VerdictSource::Host);
    upstream_signals::merge_digest(host, digest);
    if audience.accepts(digest) {
        host.balancer().merge_digest(now, digest);
    }
}

/// The versions that this host knows, when a datagram comes.
#[derive(Debug, Clone, Copy)]
struct KnownVersions {
    config: u64,
    list: StoreVersion,
    /// The operator's orders.
    orders: StoreVersion,
}

/// What other hosts know that this one does not.
#[derive(Debug, Default)]
struct NewerVersions {
    config: NewerPeer,
    list: NewerPeer,
    orders: NewerPeer,
    /// For how long this host's list has been behind.
    lag: Lag,
    /// When the list may be fetched again.
    list_due: Duration,
    is_fetching_config: Arc<AtomicBool>,
    is_fetching_list: Arc<AtomicBool>,
    is_fetching_orders: Arc<AtomicBool>,
}

/// One of the hosts that know something newer, drawn by lot: a datagram tells of many, and all its
/// receivers would ask the same one.
#[derive(Debug, Default)]
struct NewerPeer {
    from: Option<SocketAddr>,
    n: u32,
}

impl NewerPeer {
    fn note(&mut self, address: SocketAddr) {
        self.n += 1;
        if fastrand::u32(..self.n) == 0 {
            self.from = Some(address);
        }
    }

    fn take(&mut self) -> Option<SocketAddr> {
        std::mem::take(self).from
    }
}

impl NewerVersions {
    fn note(&mut self, host: &Host, known: KnownVersions, address: SocketAddr, digest: &Digest) {
        let hears_store =
            Duration::from_millis(u64::from(digest.store_age)) < host.settings().pace.stale_after;
        let orders = StoreVersion::new(digest.orders_era, digest.orders_version);
        if known.orders < orders {
            self.orders.note(address);
        }
        if known.config < digest.config_version {
            self.config.note(address);
        } else if hears_store && orders <= known.orders {
            host.suspension().confirm_from_peer(CachedState::Config);
        }
        host.update_store_era(digest.list_era, "host");
        if known.list < StoreVersion::new(digest.list_era, digest.list_version) {
            self.list.note(address);
        } else if hears_store {
            host.suspension().confirm_from_peer(CachedState::Upstreams);
        }
    }

    /// Fetches what is newer.
    fn fetch(&mut self, host: &Arc<Host>) {
        if let Some(from) = self.config.take() {
            fetch::start(host, from, Wanted::Config, &self.is_fetching_config);
        }
        if let Some(from) = self.orders.take() {
            fetch::start(host, from, Wanted::Orders, &self.is_fetching_orders);
        }
        let Some(from) = self.list.take() else { return };
        let now = clock::now();
        let version = host.with_list(|it| it.directory.version());
        let is_due = host.needs_peer_list() || LIST_PATIENCE <= self.lag.grow(now, version);
        if self.list_due <= now && is_due {
            self.list_due = now + LIST_PERIOD;
            fetch::start(host, from, Wanted::List, &self.is_fetching_list);
        }
    }
}

/// For how long a host's own list has been behind another's.
#[derive(Debug, Default)]
struct Lag {
    /// The version that is behind, and since when.
    since: Option<(StoreVersion, Duration)>,
}

impl Lag {
    /// Returns for how long the list of this version has been known to be behind.
    fn grow(&mut self, now: Duration, version: StoreVersion) -> Duration {
        let since = match self.since {
            Some((same, since)) if same == version => since,
            _ => now,
        };
        self.since = Some((version, since));
        now.saturating_sub(since)
    }
}
