//! `portfieldctl explain --logs`: log lines and outcome of a request, without a live host.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

/// Lines of two hosts, out of order, as a log collector writes them with host names.
const LOGS: &str = r#"
h2 {"timestamp":"2026-03-04T06:24:45.100+00:00","message":"not placed","kvs":{"request":"r1","reason":"Busy","estimate_ms":1068,"objective_ms":800,"share":0.4,"hosts":8,"config":2,"list":21}}
h2 {"timestamp":"2026-03-04T06:24:45.101+00:00","message":"given up","kvs":{"request":"r1","status":503,"reason":"refused: Busy"}}
h1 {"timestamp":"2026-03-04T06:24:46.300+00:00","message":"answer broke","kvs":{"request":"r2","upstream":"i-7","outcome":"unknown","cause":"the upstream fell silent"}}
h1 {"timestamp":"2026-03-04T06:24:44.000+00:00","message":"placed","kvs":{"request":"r2","upstream":"i-7","estimate_ms":120}}
h1 {"timestamp":"2026-03-04T06:24:44.500+00:00","message":"upstream changed","kvs":{"upstream":"i-7","state":"Draining"}}
h1 {"timestamp":"2026-03-04T06:24:49.000+00:00","message":"upstream gone","kvs":{"upstream":"i-7"}}
no JSON here
h1 {"timestamp":"2026-03-04T06:24:50.000+00:00","message":"placed","kvs":{"request":"r3","upstream":"i-8","estimate_ms":90}}
h1 {"timestamp":"2026-03-04T06:24:51.000+00:00","message":"answered","kvs":{"request":"r3","status":200,"first_ms":700,"total_ms":1000}}
h1 {"timestamp":"2026-03-04T06:24:51.500+00:00","message":"in quarantine","kvs":{"request":"r4","fingerprint":"00c0ffee00c0ffee","n_ends":3,"left_s":97}}
h1 {"timestamp":"2026-03-04T06:24:51.501+00:00","message":"given up","kvs":{"request":"r4","status":503,"may_have_run":false}}
h1 {"timestamp":"2026-03-04T06:24:51.600+00:00","message":"attempt failed","kvs":{"request":"r5","upstream":"i-8","outcome":"not run","cause":"turned away with 503"}}
h1 {"timestamp":"2026-03-04T06:24:51.601+00:00","message":"not placed","kvs":{"request":"r5","reason":"Backoff","estimate_ms":2400,"retry_ms":900}}
h1 {"timestamp":"2026-03-04T06:24:51.700+00:00","message":"not placed","kvs":{"request":"r6","reason":"Share","estimate_ms":300,"objective_ms":800,"share":1.6,"hosts":8,"config":2,"list":21,"room":0.04,"free_slots":0.3,"queue_ms":410,"retry_ms":700,"invited_ms":700,"earlier_ms":0}}
h1 {"timestamp":"2026-03-04T06:24:51.800+00:00","message":"not resumed","kvs":{"request":"r7","resumes":"r2","reason":"it is not known which software version began it"}}
h1 {"timestamp":"2026-03-04T06:24:51.801+00:00","message":"given up","kvs":{"request":"r7","status":503,"may_have_run":false}}
h1 {"timestamp":"2026-03-04T06:24:52.000+00:00","message":"lines left out","kvs":{"placed":3}}
"#;

fn explain(request: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_portfieldctl"))
        .args(["explain", request, "--logs", "-"])
        .env_remove("PORTFIELD_PLATFORM")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(LOGS.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

fn explained(request: &str) -> String {
    let output = explain(request);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn refusal_shows_the_figures_behind_it() {
    let text = explained("r1");
    assert!(text.contains(
        "refused, Busy: estimated 1068 ms to the first event against an objective of 800"
    ));
    assert!(
        text.contains("workspace at 0.40 times its share, 8 hosts known, configuration 2, list 21"),
        "{text}"
    );
}

/// An operator could not tell whether the engines were full when a share bound.
#[test]
fn refusal_shows_the_room_at_the_engines() {
    let text = explained("r6");
    assert!(
        text.contains("0.04 of the engines' capacity left (410 ms of unread prompts each), told to retry after 700 ms"),
        "{text}"
    );
}

#[test]
fn backoff_refusal_shows_the_remaining_time() {
    let text = explained("r5");
    assert!(
        text.contains(
            "the remaining upstreams had sent Retry-After, the first to expire in 2400 ms"
        )
    );
}

/// An operator could not tell a stream that is not resumed from one that found no upstream.
#[test]
fn refused_resumption_names_the_stream_and_the_reason() {
    let text = explained("r7");
    assert!(
        text.contains(
            "the stream that attempt r2 began cannot be resumed, it is not known which software version began it"
        ),
        "{text}"
    );
}

#[test]
fn quarantine_refusal_shows_how_to_lift_it() {
    let text = explained("r4");
    assert!(text.contains("3 upstreams ended while they ran it (fingerprint 00c0ffee00c0ffee)"));
    assert!(text.contains("--lift 00c0ffee00c0ffee"), "{text}");
}

#[test]
fn broken_response_is_shown_with_its_upstream_changes_in_order() {
    let text = explained("r2");
    let position = |what: &str| text.find(what).unwrap_or_else(|| panic!("no {what} in {text}"));
    assert!(position("placed") < position("answer broke"));
    assert!(position("00:00  h1 placed") < position("h1 answer broke"));
    assert!(position("answer broke") < position("its upstreams, meanwhile"));
    position("state=Draining");
    assert!(!text.contains("upstream gone"), "after the request's end");
    position("failed at upstream i-7 (unknown): the upstream fell silent");
}

#[test]
fn response_times_are_shown_with_the_estimate() {
    assert!(
        explained("r3").contains("after 1000 ms, the first event after 700 ms where 90 ms were")
    );
}

#[test]
fn unknown_request_is_an_error_that_counts_omitted_lines() {
    let output = explain("r9");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("no line names request r9; 1 lines say"), "{text}");
}
