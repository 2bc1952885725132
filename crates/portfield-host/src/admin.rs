//! HTTP endpoints for the platform and operators: readiness, metrics, quarantine and evacuations.

use http_types::{Method, Request, Response};
use portfield::quarantine::{Fingerprint, QuarantineEntry, SuspectKey, SuspectKind};
use portfield_net::{clock, http1};
use serde::Serialize;

use crate::{
    engine_speeds, quarantine,
    state::{Host, hash_name},
};

/// Path of the metrics.
const METRICS: &str = "/metrics";
/// Path of the quarantined requests and prompt parts; each one is below it, by fingerprint.
const QUARANTINE: &str = "/quarantine";
/// Path of the evacuated data centres.
const EVACUATIONS: &str = "/evacuations";

/// Handles the platform's readiness check.
pub(crate) fn readiness(host: &Host, request: &Request) -> Response {
    if request.url().path() != portfield_platform::READY_PATH {
        return http1::json_response(404, &"no such page");
    }
    let is_ready = host.is_ready();
    host.load_shedder().record_probe(is_ready);
    host.ingress_balance().record_probe(is_ready);
    if is_ready {
        http1::json_response(200, &"ready")
    } else {
        http1::json_response(503, &"not ready")
    }
}

/// Handles a request of an operator.
pub(crate) fn handle_operator(host: &Host, request: &Request) -> Response {
    let path = request.url().path();
    match (request.method(), path, path.strip_prefix("/quarantine/")) {
        (Method::Get, METRICS, _) => metrics(host),
        (Method::Get, QUARANTINE, _) => http1::json_response(200, &quarantined_suspects(host)),
        (Method::Get, EVACUATIONS, _) => http1::json_response(200, &evacuated_data_centres(host)),
        (Method::Delete, _, Some(fingerprint)) => lift(host, fingerprint),
        _ => http1::json_response(
            404,
            &"no such page; there are /metrics, /quarantine and /evacuations",
        ),
    }
}

/// An evacuated data centre.
#[derive(Debug, Serialize)]
struct EvacuatedDataCentre {
    data_centre: String,
    /// Number of upstreams there that would otherwise take requests.
    n_upstreams: usize,
}

fn evacuated_data_centres(host: &Host) -> Vec<EvacuatedDataCentre> {
    host.with_list(|it| {
        let n = |name: &str| it.directory.ready().filter(|it| it.entry.data_centre == name).count();
        let show =
            |name: &str| EvacuatedDataCentre { data_centre: name.to_owned(), n_upstreams: n(name) };
        it.evacuations.data_centres().map(show).collect()
    })
}

/// A quarantined request or prompt part.
#[derive(Debug, Serialize)]
struct QuarantinedSuspect {
    /// `request` or `part`.
    kind: &'static str,
    /// Fingerprint of the request, or id of the part.
    fingerprint: String,
    /// Name of the request's workspace, empty for a part or if the configuration has none with that
    /// hash.
    workspace: String,
    /// Name of the service whose upstreams crashed under the part, empty likewise.
    service: String,
    /// Number of upstreams that crashed under it.
    n_ends: usize,
    /// Seconds until it is tried again.
    left_s: u64,
}

fn quarantined_suspects(host: &Host) -> Vec<QuarantinedSuspect> {
    let catalog = host.active_config().map(|it| it.catalog);
    let workspace = |hash: u32| {
        let mut all = catalog.iter().flat_map(|it| it.workspaces());
        all.find(|it| hash_name(&it.name) == hash).map_or(String::new(), |it| it.name.clone())
    };
    let service = |hash: u32| {
        let mut all = catalog.iter().flat_map(|it| it.service_names());
        all.find(|it| hash_name(it) == hash).unwrap_or_default().to_owned()
    };
    let entries = host.quarantine().entries(clock::now());
    let show = |it: &QuarantineEntry| {
        let SuspectKey { kind, owner, .. } = it.key;
        let (kind, workspace, service) = match kind {
            SuspectKind::Request => ("request", workspace(owner), String::new()),
            SuspectKind::Part => ("part", String::new(), service(owner)),
        };
        QuarantinedSuspect {
            kind,
            fingerprint: it.key.fingerprint_hex(),
            workspace,
            service,
            n_ends: it.n_crashes,
            left_s: it.remaining.as_secs(),
        }
    };
    entries.iter().map(show).collect()
}

/// Lifts the quarantine of a request or prompt part, here and, with the next digests, at the other hosts.
fn lift(host: &Host, fingerprint: &str) -> Response {
    let Ok(fingerprint) = Fingerprint::from_str_radix(fingerprint, 16) else {
        return http1::json_response(400, &"name a fingerprint: up to 16 hexadecimal digits");
    };
    if quarantine::lift(host, fingerprint) {
        http1::json_response(200, &"lifted")
    } else {
        http1::json_response(404, &"nothing is known against this request or part here")
    }
}

fn metrics(host: &Host) -> Response {
    let (n_hosts, least_part, n_backing_off) = {
        let (mut balancer, now) = (host.balancer(), clock::now());
        let n_backing_off = balancer.n_backing_off(now);
        (balancer.n_hosts(now) as f64, balancer.min_fairness(now), n_backing_off)
    };
    let (list, n_evacuated, n_draining) = host.with_list(|it| {
        let n_draining = it.directory.draining_unlisted().count();
        (it.directory.version(), it.evacuations.data_centres().count(), n_draining)
    });
    let (n_suspects, n_parts, n_refused, n_running, n_successes_evicted) = {
        let (quarantine, now) = (host.quarantine(), clock::now());
        (
            quarantine.n_suspects(),
            quarantine.n_suspect_parts(),
            quarantine.entries(now).len(),
            host.running_copies().n_reported(now),
            quarantine.n_successes_evicted(),
        )
    };
    let (n_streams, n_evicted) = {
        let streams = host.streams();
        (streams.n_known(), streams.n_evicted())
    };
    let gauges = [
        ("config_version", host.config_version() as f64),
        ("list_version", list.number as f64),
        ("store_era", host.store_era() as f64),
        ("evacuated", n_evacuated as f64),
        ("draining_unlisted", n_draining as f64),
        ("backing_off", n_backing_off as f64),
        ("store_age_ms", host.store_age().as_millis() as f64),
        ("hosts", n_hosts),
        ("least_part", least_part),
        ("late_ms", host.load_shedder().lateness()),
        ("busy", f64::from(host.told_load())),
        ("gather_ms", host.gathering.wait_time().as_millis() as f64),
        ("active", host.n_active() as f64),
        ("engines_slow", engine_speeds::n_slow(host) as f64),
        ("held_bytes", host.held_memory.total() as f64),
        ("held_peak_bytes", host.held_memory.peak() as f64),
        ("quarantine_suspects", n_suspects as f64),
        ("quarantine_suspect_parts", n_parts as f64),
        ("quarantine_successes_evicted", n_successes_evicted as f64),
        ("quarantine_refused", n_refused as f64),
        ("quarantine_running_elsewhere", n_running as f64),
        ("streams_known", n_streams as f64),
        ("stream_origins_evicted", n_evicted as f64),
    ];
    let mut res = Response::new(200);
    res.set_content_type(http_types::mime::PLAIN);
    let versions = version_gauges(host);
    let versions = versions.iter().map(|it| (it.0.as_str(), it.1));
    let gauges: Vec<(&str, f64)> = gauges.into_iter().chain(versions).collect();
    res.set_body(host.metrics.render(&gauges));
    res
}

/// Returns the number of listed upstreams by service and software version, with names of metrics.
fn version_gauges(host: &Host) -> Vec<(String, f64)> {
    let counts = host.with_list(|it| it.n_by_version());
    let gauge = |((service, software), n): ((String, String), usize)| {
        (format!("upstreams{{service={service:?},software={software:?}}}"), n as f64)
    };
    counts.into_iter().map(gauge).collect()
}
