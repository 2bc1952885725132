//! Cache transfer between engines, as the engines and callers see it.

mod fleet;

use fleet::{Fleet, Host, config, request, send_request, wait_until};
use portfield_platform_standins::{FakeUpstream, UpstreamFault};
use serde_json::json;

/// Part of a request that names a prompt with a shared part of 1,000 tokens.
const SHARED_PART: &str = "token-count: 1010,24\r\nprefix-hash: cc:1000,bb:10\r\n";

/// Starts a host and engines that fetch from each other.
fn start(n_engines: usize) -> (Fleet, Host) {
    let mut fleet = Fleet::new(0, n_engines);
    let mut config = config(2);
    let engine = &mut config["services"][1]["engine"];
    engine["moves"] = json!(true);
    engine["kv_bytes"] = json!(18_432);
    engine["link_mbps"] = json!(180_000);
    fleet.store.put("op", "config", &config);
    let host = fleet.spawn_host("cache_transfer = 'on'");
    wait_until("the host is ready", || host.is_ready());
    (fleet, host)
}

fn prompt(id: &str) -> String {
    request("draft", id).replace("token-count: 30,24\r\nprefix-hash: aa:20,bb:10\r\n", SHARED_PART)
}

/// Lets one engine cache the shared part, and then fail a request, so that the next ones are sent to
/// another engine. Returns the holder and one of the others.
fn cache_at_one(fleet: &Fleet, host: &Host) -> (FakeUpstream, FakeUpstream) {
    assert_eq!(host.send(&prompt("r1")).status, 200);
    let is_holder = |it: &&FakeUpstream| !it.requests().is_empty();
    let (holder, other): (Vec<_>, Vec<_>) = fleet.engines.iter().partition(is_holder);
    let (holder, other) = (holder[0].clone(), other[0].clone());
    holder.set_fault(UpstreamFault::TruncateBody);
    assert!(!host.send(&prompt("r2")).is_complete);
    holder.set_fault(UpstreamFault::None);
    (holder, other)
}

/// Returns the source that the last request to an engine named.
fn named_source(engine: &FakeUpstream) -> Option<String> {
    engine.requests().last()?.header("kv-fetch").map(str::to_owned)
}

/// Guards against a source that is chosen but does not reach the engine, and against a caller that
/// names one itself: the engine would connect to an address of the caller's choice.
#[test]
fn the_engine_gets_the_chosen_source_and_never_the_callers() {
    let (fleet, host) = start(2);
    let forge = |id: &str| prompt(id).replace("tenant:", "kv-fetch: 10.0.0.1:80\r\ntenant:");
    assert_eq!(host.send(&forge("r0")).status, 200);
    let first = fleet.engines.iter().find(|it| !it.requests().is_empty()).unwrap();
    assert_eq!(named_source(first), None, "nothing to fetch");
    let (holder, other) = cache_at_one(&fleet, &host);
    let response = host.send(&forge("r3"));
    assert!(response.is_complete);
    assert_eq!(named_source(&other), Some(holder.address().to_string()));
    let logged = &host.log_entries("cache fetch")[0];
    assert_eq!(
        (&logged["request"], &logged["source"], &logged["tokens"]),
        (&json!("r3"), &json!(holder.id), &json!(1_000))
    );
    assert_eq!((&logged["known"], logged["age"].is_u64()), (&json!("Cached"), true));
    let n = |name: &str| host.metric(&format!("portfield_{name} "));
    let n_brought = || n("cache_fetches{outcome=\"Brought\"}");
    wait_until("the fetch is counted", || 0.0 < n_brought());
    let counted = (n_brought(), n("cache_fetched_tokens"), n("cache_fetched_bytes"));
    assert_eq!(counted, (1.0, 1_000.0, 18_432_000.0));
}

/// Guards against an answer that is lost or cut with its source, which has crashed before any host
/// noticed: the engine named it prefills the prompt itself.
#[test]
fn a_caller_gets_its_whole_answer_when_the_source_has_crashed() {
    let (fleet, host) = start(2);
    let (holder, other) = cache_at_one(&fleet, &host);
    holder.set_fault(UpstreamFault::CrashOn("body"));
    // Sent past the host, which therefore knows nothing of the crash.
    assert!(!send_request(holder.address(), prompt("x").as_bytes()).unwrap().is_complete);
    assert!(holder.has_crashed());
    let response = host.send(&prompt("r3"));
    assert_eq!((response.is_complete, response.event_ids().len()), (true, 8));
    assert_eq!(named_source(&other), Some(holder.address().to_string()));
}

/// Guards against work for an engine that is to be left alone: one that drains is not named.
#[test]
fn a_draining_source_is_not_named() {
    let (fleet, host) = start(2);
    let (holder, other) = cache_at_one(&fleet, &host);
    fleet.store.put("servers", &holder.id, &holder.entry("model", "draining"));
    wait_until("the host knows of the change", || {
        host.log_entries("upstream changed").iter().any(|it| it["state"] == "Draining")
    });
    let response = host.send(&prompt("r3"));
    assert_eq!((response.is_complete, response.event_ids().len()), (true, 8));
    assert_eq!((other.requests().len(), named_source(&other)), (1, None));
}

/// Guards against memory written by one software version and read by another: its format may differ.
#[test]
fn a_source_of_another_software_version_is_not_named() {
    let (fleet, host) = start(2);
    fleet.set_engine_versions(&["v1", "v2"]);
    wait_until("the host knows of both versions", || {
        host.metric("portfield_upstreams{service=\"model\",software=\"v2\"}") == 1.0
    });
    let (_, other) = cache_at_one(&fleet, &host);
    let response = host.send(&prompt("r3"));
    assert_eq!((response.is_complete, response.event_ids().len()), (true, 8));
    assert_eq!((other.requests().len(), named_source(&other)), (1, None));
    assert!(host.log_entries("cache fetch").is_empty());
}

/// Guards against a stream that breaks and has its whole prompt prefilled where it is resumed,
/// although a third engine caches the shared part.
#[test]
fn a_resumed_stream_fetches_too() {
    let (fleet, host) = start(3);
    let (holder, _) = cache_at_one(&fleet, &host);
    let others = || fleet.engines.iter().filter(|it| it.id != holder.id);
    others().for_each(|it| it.set_fault(UpstreamFault::StallStream));
    let caller = host.listen;
    let resumable = prompt("r3").replace("/draft/", "/digest/");
    let stream = std::thread::spawn(move || send_request(caller, resumable.as_bytes()));
    wait_until("the stream has begun", || others().any(|it| !it.requests().is_empty()));
    others().filter(|it| it.requests().is_empty()).for_each(|it| it.set_fault(UpstreamFault::None));
    let response = stream.join().unwrap().unwrap();
    assert_eq!(response.event_ids(), (1..=8).collect::<Vec<_>>());
    for it in others() {
        assert_eq!(named_source(it), Some(holder.address().to_string()), "{}", it.id);
    }
    let n_resumed =
        others().filter(|it| it.requests()[0].header("last-event-id").is_some()).count();
    assert_eq!(n_resumed, 1);
}
