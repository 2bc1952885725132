//! Tells other hosts where streams began.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use portfield::{
    catalog::Upstream,
    gossip::{Reach, StreamHolder},
    streams::{OriginSource, StreamOrigin, VersionSpread},
};
use portfield_net::clock;
use portfield_wire::{self as wire, StreamNews};

use super::{BegunStream, MAX_UNTOLD, news, stream_key, window};
use crate::{call::Call, software_versions::RoutedService, state::Host};

/// Streams in one datagram, of some 40 bytes each.
const MAX_PER_DATAGRAM: usize = 256;

/// A stream of this host that was not told to the whole fleet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Untold {
    stream: BegunStream,
    /// How far it was told.
    reach: Option<Reach>,
    expires_at: Duration,
}

/// Returns how far it has to be told where a stream began; `None` if all hosts can tell from their lists.
///
/// While there is no sign of a second version, a stream that no other host knows is merely refused, so
/// that the data centre is enough.
fn needed_reach(host: &Host, stream: &BegunStream) -> Option<Reach> {
    match host.version_spread(stream.routed_service(), stream.window) {
        VersionSpread::One(_) => None,
        VersionSpread::OneSeen => Some(Reach::DataCentre),
        VersionSpread::Several => Some(Reach::Fleet),
    }
}

/// Records that a caller is about to receive the first event of a call's stream, and tells other hosts
/// as far as needed.
///
/// They are told before the caller is: if this host ends right after, they know.
pub(crate) fn record_begun(host: &Host, call: &Call, upstream: &Upstream) {
    let Some(key) = stream_key(call) else { return };
    let origin = StreamOrigin { service: call.placement.service, version: upstream.version_hash() };
    let (now, window) = (clock::now(), window(call));
    let stream = BegunStream { key, origin, route: call.placement.route, window };
    // A route with several services says nothing of where a stream began.
    let has_one_service = call.route.services.len() == 1;
    let reach = if has_one_service { needed_reach(host, &stream) } else { Some(Reach::Fleet) };
    {
        let mut streams = host.streams();
        streams.origins.record(now, key, origin, OriginSource::Own, window);
        if reach != Some(Reach::Fleet) {
            if MAX_UNTOLD <= streams.untold.len() {
                streams.untold.pop_front();
            }
            streams.untold.push_back(Untold { stream, reach, expires_at: now + window });
        }
    }
    if let Some(reach) = reach {
        tell(host, &[stream], reach);
    }
}

/// Tells other hosts of streams that began when they needed to know less: a second version has appeared, or
/// this host's list is no longer current.
pub(crate) fn tell_untold(host: &Host) {
    let now = clock::now();
    let mut due: BTreeMap<Reach, Vec<BegunStream>> = BTreeMap::new();
    {
        let mut streams = host.streams();
        while streams.untold.front().is_some_and(|it| it.expires_at <= now) {
            streams.untold.pop_front();
        }
        let mut needed: HashMap<(RoutedService, Duration), Option<Reach>> = HashMap::new();
        streams.untold.retain_mut(|it| {
            let service = (it.stream.routed_service(), it.stream.window);
            let needed = *needed.entry(service).or_insert_with(|| needed_reach(host, &it.stream));
            if let Some(reach) = needed.filter(|_| it.reach < needed) {
                it.reach = needed;
                due.entry(reach).or_default().push(it.stream);
            }
            it.reach != Some(Reach::Fleet)
        });
    }
    due.into_iter().for_each(|(reach, streams)| tell(host, &streams, reach));
}

/// Tells the hosts that are to know them where streams began.
fn tell(host: &Host, streams: &[BegunStream], reach: Reach) {
    let now = clock::now();
    let mut by_holder: HashMap<SocketAddr, (StreamHolder, Vec<wire::StreamOrigin>)> =
        HashMap::new();
    {
        let peers = host.peers();
        for BegunStream { key, origin, window, .. } in streams {
            for it in peers.told_holders(now, *key, reach) {
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
