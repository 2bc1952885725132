//! The setting `memory_limits`: requests that exceed the engines' memory.

mod fleet;

use fleet::{Fleet, request, wait_until};

/// Returns a stream whose prompt has this many tokens; engines hold 100,000.
fn stream_request(id: &str, tokens: u32) -> String {
    request("draft", id).replace("30,24", &format!("{tokens},24"))
}

/// Guards against a setting that does not reach the balancer, and against a request that crashes an
/// engine since it is larger than all of its memory: it is refused before it runs.
#[test]
fn request_larger_than_an_engine_is_refused_and_logged() {
    let mut fleet = Fleet::new(0, 2);
    let host = fleet.spawn_host("memory_limits = 'on'");
    wait_until("the host is ready", || host.is_ready());
    let response = host.send(&stream_request("large", 120_000));
    assert_eq!(response.status, 503);
    assert!(response.text().contains("not-run"), "{}", response.text());
    let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..=1.2).contains(&retry_after), "{retry_after} s, more than the caller has left");
    assert_eq!(fleet.n_executed(), 0);
    assert_eq!(host.metric("portfield_refused{reason=\"Memory\"} "), 1.0);
    wait_until("the refusal is logged", || !host.log_entries("short of engine memory").is_empty());
    assert_eq!(host.log_entries("short of engine memory")[0]["oversized"], 1);
    assert_eq!(host.send(&stream_request("fits", 1_000)).status, 200);
}

/// Guards against events that are not counted: the memory of a request that produces more than its route
/// did before would be told too low.
#[test]
fn output_beyond_the_expected_one_is_counted() {
    let mut fleet = Fleet::new(0, 1);
    let host = fleet.spawn_host("memory_limits = 'on'");
    wait_until("the host is ready", || host.is_ready());
    // The engine produces twice what callers announce.
    for n in 0..10 {
        let text = request("draft", &format!("r{n}"));
        let text = text.replace("deadline-ms", "length-hint: 24\r\ndeadline-ms");
        let text = text.replace("30,24", "30,48");
        assert_eq!(host.send(&text).event_ids().len(), 16);
    }
    let text = request("draft", "long").replace("deadline-ms", "length-hint: 6\r\ndeadline-ms");
    assert!(host.send(&text).is_complete);
    wait_until("it is counted", || 0.0 < host.metric("portfield_outputs_underestimated "));
}
