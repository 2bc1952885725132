//! Tells other hosts where streams began.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use portfield::{
    catalog::Upstream,
    gossip::StreamHolder,
    streams::{BegunStream, OriginSource, StreamOrigin},
};
use portfield_net::clock;
use portfield_wire::{self as wire, StreamNews};

use super::{news, stream_key, window};
use crate::{call::Call, state::Host};

/// Streams in one datagram, of some 40 bytes each.
const MAX_PER_DATAGRAM: usize = 256;

/// Records that a caller is about to receive the first event of a call's stream, and tells other hosts.
///
/// They are told before the caller is: if this host ends right after, they know. They are told
/// whatever versions this host has seen: it is asked for what it knows only once it has ended, and
/// the hosts left may have started too lately to prove anything.
pub(crate) fn record_begun(host: &Host, call: &Call, upstream: &Upstream) {
    let Some(key) = stream_key(call) else { return };
    let origin = StreamOrigin { service: call.placement.service, version: upstream.version_hash() };
    let (now, window) = (clock::now(), window(host, call));
    let stream = BegunStream { key, origin, expires_at: now + window };
    let holders = host.peers().told_holders(now, key);
    {
        let mut streams = host.streams();
        streams.origins.record(now, key, origin, OriginSource::Own, window);
        streams.begun.record(stream, &holders);
    }
    host.metrics.count("stream_origins_told");
    tell(host, now, holders.into_iter().map(|it| (it, stream)));
}

/// Tells hosts that have started, or took the place of others that ended, of streams that began here before.
pub(crate) fn tell_untold(host: &Host) {
    let now = clock::now();
    let untold = {
        let (peers, mut streams) = (host.peers(), host.streams());
        let running = peers.running_hash(now);
        if std::mem::replace(&mut streams.checked_hosts, running) == running {
            return;
        }
        streams.begun.take_untold(now, |it| peers.told_holders(now, it))
    };
    tell(host, now, untold.into_iter());
}

/// Tells hosts where streams began.
fn tell(host: &Host, now: Duration, news: impl Iterator<Item = (StreamHolder, BegunStream)>) {
    let mut by_holder: HashMap<SocketAddr, (StreamHolder, Vec<wire::StreamOrigin>)> =
        HashMap::new();
    for (holder, BegunStream { key, origin, expires_at }) in news {
        let entry = by_holder.entry(holder.address).or_insert_with(|| (holder, Vec::new()));
        entry.1.push(news::origin_to_wire(key, origin, expires_at.saturating_sub(now)));
    }
    for (address, (holder, origins)) in by_holder {
        for chunk in origins.chunks(MAX_PER_DATAGRAM) {
            let relay = holder.relays;
            let news = StreamNews { origins: chunk.to_vec(), relay, ..StreamNews::default() };
            news::send(host, address, news);
        }
    }
}
