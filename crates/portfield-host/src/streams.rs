//! Where streams began: what this host knows, tells the others and asks them.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use futures_lite::future;
use portfield::{
    balance::Stage,
    catalog::{RouteKind, Upstream},
    gossip::{Reach, StreamHolder, host_hash},
    streams::{
        KnownOrigin, OriginAnswer, OriginQuery, OriginSource, QueryOutcome, StreamKey,
        StreamKnowledge, StreamOrigin, StreamOrigins, VersionSpread,
    },
};
use portfield_net::clock;
use portfield_wire::{self as wire, Digest, KnownHost, StreamNews};

use crate::{
    call::Call,
    peers,
    response::Failure,
    state::{Host, hash_name},
};

/// Streams of which a host remembers where they began, some 2 MB: at 100 new ones a second and told to
/// four other hosts each, those of half a minute.
const MAX_STREAMS: usize = 16_384;
/// Streams of this host that are remembered until the others have to be told, at most.
const MAX_UNTOLD: usize = 4_096;
/// Streams in one datagram, of some 40 bytes each.
const MAX_PER_DATAGRAM: usize = 256;
/// Multiple of a route's timeout for which its streams may be resumed: a caller's attempts share one
/// deadline, and the last one may take as long as the first.
const VALIDITY_FACTOR: u32 = 2;
/// Longest time that other hosts may ask this one to remember a stream.
const MAX_VALIDITY: Duration = Duration::from_secs(600);
/// Retry delay given to a caller whose stream is not known here: by then the host that it is sent
/// to may have heard of it.
const UNKNOWN_RETRY: Duration = Duration::from_millis(300);
/// Time after which hosts that may not have heard a question are asked again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(70);

/// Identifies a question: its stream and a number, as several requests may resume one stream.
type QueryId = (StreamKey, u64);

/// What a host knows of streams that may be resumed.
#[derive(Debug)]
pub(crate) struct Streams {
    origins: StreamOrigins,
    /// Streams of this host that were not told to the whole fleet.
    untold: VecDeque<Untold>,
    /// Questions to other hosts that wait for answers.
    queries: BTreeMap<QueryId, OriginQuery>,
    last_query: u64,
    /// Evictions that were counted so far.
    n_evicted: u64,
}

/// A stream of this host that was not told to the whole fleet.
#[derive(Debug, Clone, Copy)]
struct Untold {
    stream: BegunStream,
    /// How far it was told.
    reach: Option<Reach>,
    expires_at: Duration,
}

/// A stream that began at this host.
#[derive(Debug, Clone, Copy)]
struct BegunStream {
    key: StreamKey,
    origin: StreamOrigin,
    /// Time for which it may be resumed.
    window: Duration,
}

impl Default for Streams {
    fn default() -> Self {
        Self {
            origins: StreamOrigins::new(MAX_STREAMS),
            untold: VecDeque::new(),
            queries: BTreeMap::new(),
            last_query: 0,
            n_evicted: 0,
        }
    }
}

impl Streams {
    /// Returns the number of streams of which this host knows where they began.
    pub(crate) fn n_known(&self) -> usize {
        self.origins.len()
    }

    /// Returns how many streams were forgotten for want of room since the last call.
    fn take_evicted(&mut self) -> u64 {
        let n = self.origins.n_evicted();
        n - std::mem::replace(&mut self.n_evicted, n)
    }
}

/// How a host knows at which version a stream goes on.
#[derive(Debug, Clone, Copy)]
enum Resolution {
    /// It knows where the stream began.
    Known(KnownOrigin),
    /// The service had a single version for as long as a stream may last.
    OnlyVersion(StreamOrigin),
}

/// Returns the time for which streams of a call's route may be resumed.
fn window(call: &Call) -> Duration {
    call.route.timeout * VALIDITY_FACTOR
}

/// Returns the key of the stream that a call begins or resumes; `None` if it cannot be resumed, or
/// its caller does not name it.
fn stream_key(call: &Call) -> Option<StreamKey> {
    if call.kind() != RouteKind::ResumableStream {
        return None;
    }
    let id = if call.resumption.is_some() { call.first_attempt() } else { &call.id };
    (!id.is_empty()).then(|| StreamKey::new(call.placement.workspace, id))
}

/// Returns whether this host knows where the stream began that a caller resumes.
pub(crate) fn is_known(host: &Host, workspace: u32, first_attempt: &str) -> bool {
    let key = StreamKey::new(workspace, first_attempt);
    matches!(host.streams().origins.get(clock::now(), key), StreamKnowledge::Known(_))
}

/// Returns how far it has to be told where a stream began; `None` if all hosts can tell from their lists.
///
/// While there is no sign of a second version, a stream that no other host knows is merely refused, so
/// that the data centre is enough.
fn needed_reach(host: &Host, stream: &BegunStream) -> Option<Reach> {
    match host.version_spread(stream.origin.service, stream.window) {
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
    let stream = BegunStream { key, origin, window };
    // A route with several services says nothing of where a stream began.
    let has_one_service = call.route.services.len() == 1;
    let reach = if has_one_service { needed_reach(host, &stream) } else { Some(Reach::Fleet) };
    let n_evicted = {
        let mut streams = host.streams();
        streams.origins.record(now, key, origin, OriginSource::Own, window);
        if reach != Some(Reach::Fleet) {
            if MAX_UNTOLD <= streams.untold.len() {
                streams.untold.pop_front();
            }
            streams.untold.push_back(Untold { stream, reach, expires_at: now + window });
        }
        streams.take_evicted()
    };
    host.metrics.add("stream_origins_evicted", n_evicted);
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
        let mut needed: HashMap<(u32, Duration), Option<Reach>> = HashMap::new();
        streams.untold.retain_mut(|it| {
            let service = (it.stream.origin.service, it.stream.window);
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
        for BegunStream { key, origin, window } in streams {
            for it in peers.told_holders(now, *key, reach) {
                let entry = by_holder.entry(it.address).or_insert_with(|| (it, Vec::new()));
                entry.1.push(origin_to_wire(*key, *origin, *window));
            }
        }
    }
    host.metrics.add("stream_origins_told", streams.len() as u64);
    for (address, (holder, origins)) in by_holder {
        for chunk in origins.chunks(MAX_PER_DATAGRAM) {
            let relay = holder.relays;
            let news = StreamNews { origins: chunk.to_vec(), relay, ..StreamNews::default() };
            send(host, address, news);
        }
    }
}

fn send(host: &Host, address: SocketAddr, news: StreamNews) {
    let own = KnownHost {
        address: host.settings().peers.to_string(),
        data_centre: host.own_data_centre(),
    };
    let digest = Digest { hosts: vec![own], streams: Some(news), ..Digest::default() };
    peers::send_digest(host, &digest, address);
}

/// Finds where the stream began that a caller resumes, and restricts the call to that service and
/// software version. Does nothing for other calls.
///
/// # Errors
///
/// The refusal, if that is not known: a stream that goes on at another version is worse than one that
/// ends.
pub(crate) async fn resolve_origin(host: &Host, call: &mut Call) -> Result<(), Failure> {
    if call.kind() != RouteKind::ResumableStream || call.resumption.is_none() {
        return Ok(());
    }
    let resolution = match own_knowledge(host, call) {
        Some(StreamKnowledge::Known(it)) => Some(Resolution::Known(it)),
        Some(StreamKnowledge::Conflicting) => None,
        Some(StreamKnowledge::Unknown) | None => ask(host, call).await,
    };
    let Some(resolution) = resolution else {
        return Err(refuse(host, call, "it is not known which software version began it"));
    };
    let (origin, known, age) = match resolution {
        Resolution::Known(it) => {
            (it.origin, it.source.as_str(), clock::now().saturating_sub(it.since))
        }
        Resolution::OnlyVersion(it) => (it, "single version", Duration::ZERO),
    };
    let services = &call.route.services;
    let Some(service) = services.iter().find(|it| hash_name(&it.service) == origin.service) else {
        return Err(refuse(host, call, "its route no longer leads to the service that began it"));
    };
    call.service.clone_from(&service.service);
    call.placement.service = origin.service;
    call.placement.engine = host
        .active_config()
        .and_then(|it| it.catalog.service(&call.service).and_then(|it| it.engine));
    call.origin = Some(origin);
    if matches!(resolution, Resolution::Known(_)) {
        call.placement.stage = Stage::Resumed;
    }
    log::info!(
        request = call.id, resumes = call.first_attempt(), known,
        software = host.software_name(&call.service, origin.version),
        age_ms = age.as_millis() as u64; "resumption"
    );
    host.metrics.count(&format!("resumptions{{known=\"{known}\"}}"));
    Ok(())
}

fn own_knowledge(host: &Host, call: &Call) -> Option<StreamKnowledge> {
    Some(host.streams().origins.get(clock::now(), stream_key(call)?))
}

/// Asks other hosts where a stream began; `None` if it cannot be found out.
async fn ask(host: &Host, call: &Call) -> Option<Resolution> {
    // A caller that does not name the stream can still be told that there was a single version.
    let key = stream_key(call).unwrap_or(StreamKey::new(call.placement.workspace, ""));
    let service = call.placement.service;
    let window = window(call);
    // A route with several services may have begun the stream at another one.
    let has_one_service = call.route.services.len() == 1;
    let own = host.only_version(service, window).filter(|_| has_one_service);
    let holders = host.peers().asked_holders(clock::now(), key);
    let asked = holders.iter().map(|it| host_hash(it.address)).collect();
    let query = PendingQuery::start(host, key, OriginQuery::new(clock::now(), asked, own));
    let mut repeat_at = Duration::ZERO;
    loop {
        let answered = host.stream_news.listen();
        let now = clock::now();
        let state = query.state()?;
        match state.outcome(now) {
            QueryOutcome::Pending => {}
            QueryOutcome::Origin(origin) => {
                host.streams().origins.record(now, key, origin, OriginSource::Asked, window);
                let known = KnownOrigin { origin, source: OriginSource::Asked, since: now };
                return Some(Resolution::Known(known));
            }
            QueryOutcome::OnlyVersion(version) => {
                let origin = StreamOrigin { service, version };
                // The others may not have heard of a version that this host has seen.
                let is_only = has_one_service && !host.has_seen_other(origin, window);
                return is_only.then_some(Resolution::OnlyVersion(origin));
            }
            QueryOutcome::Unknown => return None,
        }
        if repeat_at <= now {
            repeat_at = now + REPEAT_INTERVAL;
            holders.iter().for_each(|it| send_query(host, it, key, service, window));
        }
        future::or(answered, clock::sleep(state.next_check(now))).await;
    }
}

fn send_query(host: &Host, to: &StreamHolder, key: StreamKey, service: u32, window: Duration) {
    let query = wire::StreamQuery {
        key: Some(key_to_wire(key)),
        service,
        window: window.as_millis() as u32,
        reply_to: host.settings().peers.to_string(),
    };
    let news = StreamNews { queries: vec![query], relay: to.relays, ..StreamNews::default() };
    send(host, to.address, news);
}

/// A question that waits for answers; removed when dropped.
struct PendingQuery<'a> {
    host: &'a Host,
    id: QueryId,
}

impl<'a> PendingQuery<'a> {
    fn start(host: &'a Host, key: StreamKey, query: OriginQuery) -> Self {
        let mut streams = host.streams();
        streams.last_query += 1;
        let id = (key, streams.last_query);
        streams.queries.insert(id, query);
        Self { host, id }
    }

    fn state(&self) -> Option<OriginQuery> {
        self.host.streams().queries.get(&self.id).cloned()
    }
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.host.streams().queries.remove(&self.id);
    }
}

fn refuse(host: &Host, call: &Call, reason: &'static str) -> Failure {
    log::info!(
        request = call.id, resumes = call.first_attempt(), route = call.route.name, reason,
        workspace = call.workspace_name(); "not resumed"
    );
    host.metrics.count("refused{reason=\"StreamUnknown\"}");
    Failure::unavailable(format!("the stream cannot be resumed here: {reason}"), UNKNOWN_RETRY)
}

/// Handles what another host tells or asks of streams.
pub(crate) fn handle_news(host: &Host, sender: SocketAddr, news: StreamNews) {
    let now = clock::now();
    if !news.origins.is_empty() {
        let n_evicted = {
            let mut streams = host.streams();
            for it in &news.origins {
                let Some((key, origin, validity)) = origin_from_wire(it) else { continue };
                streams.origins.record(now, key, origin, OriginSource::Told, validity);
            }
            streams.take_evicted()
        };
        host.metrics.add("stream_origins_evicted", n_evicted);
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
            res.only_version = host.only_version(query.service, window);
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

fn key_to_wire(it: StreamKey) -> wire::StreamKey {
    wire::StreamKey { attempt: it.attempt, workspace: it.workspace }
}

fn key_from_wire(it: &wire::StreamKey) -> StreamKey {
    StreamKey { attempt: it.attempt, workspace: it.workspace }
}

fn origin_to_wire(key: StreamKey, it: StreamOrigin, validity: Duration) -> wire::StreamOrigin {
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
