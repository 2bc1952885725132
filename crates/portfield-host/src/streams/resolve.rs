//! Finds where the streams began that callers resume.

use std::time::Duration;

use futures_lite::future;
use portfield::{
    balance::Stage,
    catalog::RouteKind,
    gossip::{StreamHolder, host_hash},
    streams::{
        KnownOrigin, OriginQuery, OriginSource, QueryOutcome, StreamKey, StreamKnowledge,
        StreamOrigin,
    },
};
use portfield_net::clock;
use portfield_wire::{self as wire, StreamNews};

use super::{QueryId, news, stream_key, window};
use crate::{
    call::Call,
    response::Failure,
    software_versions::RoutedService,
    state::{Host, hash_name},
};

/// Retry delay given to a caller whose stream is not known here: by then the host that it is sent
/// to may have heard of it.
const UNKNOWN_RETRY: Duration = Duration::from_millis(300);
/// Time after which hosts that may not have heard a question are asked again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(70);

/// How a host knows at which version a stream goes on.
#[derive(Debug, Clone, Copy)]
enum Resolution {
    /// It knows where the stream began.
    Known(KnownOrigin),
    /// The service had a single version for as long as a stream may last.
    OnlyVersion(StreamOrigin),
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
        StreamKnowledge::Known(it) => Some(Resolution::Known(it)),
        StreamKnowledge::Conflicting => None,
        StreamKnowledge::Unknown => ask(host, call).await,
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
        age_ms = age.as_millis() as u64; "stream origin found"
    );
    host.metrics.count(&format!("resumptions{{known=\"{known}\"}}"));
    Ok(())
}

fn own_knowledge(host: &Host, call: &Call) -> StreamKnowledge {
    let get = |key| host.streams().origins.get(clock::now(), key);
    stream_key(call).map_or(StreamKnowledge::Unknown, get)
}

/// Asks other hosts where a stream began; `None` if it cannot be found out.
async fn ask(host: &Host, call: &Call) -> Option<Resolution> {
    // A caller that does not name the stream can still be told that there was a single version.
    let key = stream_key(call).unwrap_or(StreamKey::new(call.placement.workspace, ""));
    let service = RoutedService { route: call.placement.route, service: call.placement.service };
    let window = window(host, call);
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
        let (outcome, next_check) = query.read(now)?;
        match outcome {
            QueryOutcome::Pending => {}
            QueryOutcome::Origin(origin) => {
                host.streams().origins.record(now, key, origin, OriginSource::Asked, window);
                let known = KnownOrigin { origin, source: OriginSource::Asked, since: now };
                return Some(Resolution::Known(known));
            }
            QueryOutcome::OnlyVersion(version) => {
                let origin = StreamOrigin { service: service.service, version };
                // The others may not have heard of a version that this host has seen.
                let is_only = has_one_service && !host.has_seen_other(service, version, window);
                return is_only.then_some(Resolution::OnlyVersion(origin));
            }
            QueryOutcome::Unknown => {
                log::info!(
                    request = call.id, resumes = call.first_attempt(), asked = holders.len(),
                    unanswered = query.n_unanswered(), own_version:? = own; "stream origin unknown"
                );
                return None;
            }
        }
        if repeat_at <= now {
            repeat_at = now + REPEAT_INTERVAL;
            holders.iter().for_each(|it| send_query(host, it, key, service, window));
        }
        future::or(answered, clock::sleep(next_check)).await;
    }
}

fn send_query(
    host: &Host,
    to: &StreamHolder,
    key: StreamKey,
    service: RoutedService,
    window: Duration,
) {
    let query = wire::StreamQuery {
        key: Some(news::key_to_wire(key)),
        service: service.service,
        route: service.route,
        window: window.as_millis() as u32,
        reply_to: host.settings().peers.to_string(),
    };
    let news = StreamNews { queries: vec![query], relay: to.relays, ..StreamNews::default() };
    news::send(host, to.address, news);
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

    /// Returns what the answers say by now, and the time until that is to be read again.
    fn read(&self, now: Duration) -> Option<(QueryOutcome, Duration)> {
        let streams = self.host.streams();
        let query = streams.queries.get(&self.id)?;
        Some((query.outcome(now), query.next_check(now)))
    }

    fn n_unanswered(&self) -> usize {
        self.host.streams().queries.get(&self.id).map_or(0, OriginQuery::n_unanswered)
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
