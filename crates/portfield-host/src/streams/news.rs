//! Messages between hosts about where streams began.

use std::{net::SocketAddr, time::Duration};

use portfield::{
    gossip::host_hash,
    streams::{OriginAnswer, OriginSource, StreamKey, StreamKnowledge, StreamOrigin},
};
use portfield_net::clock;
use portfield_wire::{self as wire, Digest, KnownHost, StreamNews};

use crate::{peers, software_versions::RoutedService, state::Host};

/// Longest time that other hosts may ask this one to remember a stream.
const MAX_VALIDITY: Duration = Duration::from_secs(600);

/// Sends news to a host.
pub(super) fn send(host: &Host, address: SocketAddr, news: StreamNews) {
    let own = KnownHost {
        address: host.settings().peers.to_string(),
        data_centre: host.own_data_centre(),
    };
    let digest = Digest { hosts: vec![own], streams: Some(news), ..Digest::default() };
    peers::send_digest(host, &digest, address);
}

/// Handles what another host tells or asks of streams.
pub(crate) fn handle_news(host: &Host, sender: SocketAddr, news: StreamNews) {
    let now = clock::now();
    for (key, origin, validity) in news.origins.iter().filter_map(origin_from_wire) {
        host.streams().origins.record(now, key, origin, OriginSource::Told, validity);
    }
    for it in &news.queries {
        answer(host, it);
    }
    for it in &news.answers {
        record_answer(host, sender, it);
    }
    if news.relay {
        relay(host, &news);
    }
}

/// Passes on to hosts of this data centre what a host of another one tells or asks.
fn relay(host: &Host, news: &StreamNews) {
    let now = clock::now();
    let holders = |key: Option<&wire::StreamKey>| {
        let key = key.map(key_from_wire);
        key.map(|it| host.peers().relayed_holders(now, it)).unwrap_or_default()
    };
    for it in &news.origins {
        for holder in holders(it.key.as_ref()) {
            let news = StreamNews { origins: vec![*it], ..StreamNews::default() };
            send(host, holder.address, news);
        }
    }
    for it in &news.queries {
        for holder in holders(it.key.as_ref()) {
            let news = StreamNews { queries: vec![it.clone()], ..StreamNews::default() };
            send(host, holder.address, news);
        }
    }
}

/// Answers where a stream began, or that its service had a single version.
fn answer(host: &Host, query: &wire::StreamQuery) {
    let (Some(wire_key), Ok(reply_to)) = (query.key, query.reply_to.parse()) else {
        host.metrics.count("digests_malformed");
        return;
    };
    let key = key_from_wire(&wire_key);
    let window = Duration::from_millis(u64::from(query.window));
    let mut res = wire::StreamAnswer { key: Some(wire_key), ..wire::StreamAnswer::default() };
    match host.streams().origins.get(clock::now(), key) {
        StreamKnowledge::Known(it) => res.origin = Some(origin_to_wire(key, it.origin, window)),
        StreamKnowledge::Conflicting => res.conflicting = true,
        StreamKnowledge::Unknown => {
            let service = RoutedService { route: query.route, service: query.service };
            res.only_version = host.only_version(service, window);
        }
    }
    send(host, reply_to, StreamNews { answers: vec![res], ..StreamNews::default() });
}

fn record_answer(host: &Host, sender: SocketAddr, answer: &wire::StreamAnswer) {
    let Some(key) = answer.key.as_ref().map(key_from_wire) else { return };
    let origin = answer.origin.as_ref().and_then(origin_from_wire);
    let answer = match (origin, answer.only_version) {
        _ if answer.conflicting => OriginAnswer::Conflicting,
        (Some((_, origin, _)), _) => OriginAnswer::Origin(origin),
        (None, Some(version)) => OriginAnswer::OnlyVersion(version),
        (None, None) => OriginAnswer::Unknown,
    };
    let from = host_hash(sender);
    for (_, it) in host.streams().queries.range_mut((key, 0)..=(key, u64::MAX)) {
        it.record(from, answer);
    }
    host.stream_news.notify(usize::MAX);
}

pub(super) fn key_to_wire(it: StreamKey) -> wire::StreamKey {
    wire::StreamKey { attempt: it.attempt, workspace: it.workspace }
}

fn key_from_wire(it: &wire::StreamKey) -> StreamKey {
    StreamKey { attempt: it.attempt, workspace: it.workspace }
}

pub(super) fn origin_to_wire(
    key: StreamKey,
    it: StreamOrigin,
    validity: Duration,
) -> wire::StreamOrigin {
    wire::StreamOrigin {
        key: Some(key_to_wire(key)),
        service: it.service,
        version: it.version,
        validity: validity.as_millis() as u32,
    }
}

fn origin_from_wire(it: &wire::StreamOrigin) -> Option<(StreamKey, StreamOrigin, Duration)> {
    let key = key_from_wire(it.key.as_ref()?);
    let origin = StreamOrigin { service: it.service, version: it.version };
    let validity = Duration::from_millis(u64::from(it.validity)).min(MAX_VALIDITY);
    Some((key, origin, validity))
}
