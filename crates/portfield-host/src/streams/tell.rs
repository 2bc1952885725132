//! Tells other hosts where streams began.

use std::{collections::HashMap, net::SocketAddr};

use portfield::{
    catalog::Upstream,
    gossip::StreamHolder,
    streams::{OriginSource, StreamOrigin},
};
use portfield_net::clock;
use portfield_wire::{self as wire, StreamNews};

use super::{BegunStream, news, stream_key, window};
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
    let stream = BegunStream { key, origin, window: window(call) };
    host.streams().origins.record(clock::now(), key, origin, OriginSource::Own, stream.window);
    tell(host, &[stream]);
}

/// Tells the hosts that are to know them where streams began.
fn tell(host: &Host, streams: &[BegunStream]) {
    let now = clock::now();
    let mut by_holder: HashMap<SocketAddr, (StreamHolder, Vec<wire::StreamOrigin>)> =
        HashMap::new();
    {
        let peers = host.peers();
        for BegunStream { key, origin, window } in streams {
            for it in peers.told_holders(now, *key) {
                let entry = by_holder.entry(it.address).or_insert_with(|| (it, Vec::new()));
                entry.1.push(news::origin_to_wire(*key, *origin, *window));
            }
        }
    }
    host.metrics.add("stream_origins_told", streams.len() as u64);
    for (address, (holder, origins)) in by_holder {
        for chunk in origins.chunks(MAX_PER_DATAGRAM) {
            let relay = holder.relays;
            let news = StreamNews { origins: chunk.to_vec(), relay, ..StreamNews::default() };
            news::send(host, address, news);
        }
    }
}
