//! Graceful shutdown of a host, and reload of its settings.

mod fleet;

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use fleet::{
    Fleet, Host, Response, config, connect, read_response, request, send_request, wait_until,
};
use futures_lite::future;
use portfield_platform_standins::{FakeUpstream, UpstreamFault};
use serde_json::json;

#[test]
fn graceful_shutdown_completes_running_responses() {
    let mut fleet = Fleet::new(1, 1);
    let mut host = fleet.start_host();
    let mut stream = TcpStream::connect(host.listen).unwrap();
    // 120 events of 10 ms each: longer than the time for which new requests are still accepted.
    let long = request("draft", "r1").replace("30,24", "30,360").replace("1200", "4500");
    stream.write_all(long.as_bytes()).unwrap();
    wait_until("the engine executes the stream", || fleet.n_executed() == 1);
    host.signal("-TERM");
    wait_until("the host is not ready", || !host.is_ready());
    let late_response = host.send(&request("order", "r2"));
    assert_eq!(late_response.status, 200);
    assert_eq!(late_response.header("connection"), Some("close"));
    let response = read_response(&mut stream).unwrap();
    assert!(response.is_complete);
    assert_eq!(response.event_ids().len(), 120);
    let completed_at = Instant::now();
    assert_eq!(host.wait_for_exit(), Some(0));
    assert!(completed_at.elapsed() < Duration::from_secs(3));
    assert_eq!(host.log_entries("stopped")[0]["cut"], 0);
}

/// Time that an upstream works on an order.
const LONG_WORK: Duration = Duration::from_millis(800);
/// Time from SIGTERM until a late order, which would not be over by the end of the grace period of 3 s.
const LATE: Duration = Duration::from_millis(2_000);
/// Time that the caller of an order waits, in milliseconds.
const ORDER_DEADLINE_MS: u64 = 9_000;

/// A host told to stop, with a stream that keeps it running until it is cut off, and orders that take long.
struct Stopping {
    fleet: Fleet,
    host: Host,
    /// Connection of a caller since before SIGTERM, as an order and its response left it.
    kept: TcpStream,
    _stream: TcpStream,
    upstream: FakeUpstream,
    began: Instant,
}

impl Stopping {
    fn begin() -> Self {
        let mut fleet = Fleet::new(0, 1);
        let mut config = config(2);
        config["routes"][1]["timeout_ms"] = json!(ORDER_DEADLINE_MS);
        fleet.store.put("op", "config", &config);
        let start = FakeUpstream::start(&fleet.rt, "slow", LONG_WORK);
        let upstream = future::block_on(start).unwrap();
        fleet.store.put("servers", &upstream.id, &upstream.entry("desk", "ready"));
        let host = fleet.start_host();
        let mut kept = connect(host.listen).unwrap();
        kept.write_all(request("order", "r0").as_bytes()).unwrap();
        assert_eq!(read_response(&mut kept).unwrap().status, 200);
        let mut stream = connect(host.listen).unwrap();
        let long = request("draft", "long").replace("30,24", "30,1200").replace("1200", "4500");
        stream.write_all(long.as_bytes()).unwrap();
        wait_until("the engine executes the stream", || fleet.engines[0].n_executed() == 1);
        host.signal("-TERM");
        wait_until("the host is not ready", || !host.is_ready());
        Self { fleet, host, kept, _stream: stream, upstream, began: Instant::now() }
    }

    fn order(deadline_ms: u64) -> String {
        request("order", "late").replace("1200", &deadline_ms.to_string())
    }

    /// Waits until this long after SIGTERM.
    fn wait(&self, time: Duration) {
        thread::sleep(time.saturating_sub(self.began.elapsed()));
    }

    /// Checks that a late order was refused with the promise that it did not run, and kept that promise.
    fn check_refused(&self, response: Option<&Response>) {
        let response = response.expect("the connection ended without a response");
        assert_eq!(response.status, 503, "{}", response.text());
        assert!(response.text().contains("not-run"), "{}", response.text());
        assert_eq!(response.header("connection"), Some("close"));
        thread::sleep(LONG_WORK);
        assert_eq!(self.upstream.n_executed(), 1, "only the first order may run");
    }
}

/// An order that came late in the grace period ran, and its host ended before it had the response.
#[test]
fn order_that_could_be_cut_off_is_refused() {
    let mut it = Stopping::begin();
    it.wait(LATE);
    it.kept.write_all(Stopping::order(ORDER_DEADLINE_MS).as_bytes()).unwrap();
    let response = read_response(&mut it.kept);
    it.check_refused(response.as_ref());
    assert!(it.host.wait_for_exit().is_some());
}

/// The same on a connection that was opened after SIGTERM.
#[test]
fn order_on_a_new_connection_that_could_be_cut_off_is_refused() {
    let it = Stopping::begin();
    it.wait(LATE);
    let order = Stopping::order(ORDER_DEADLINE_MS);
    let response = send_request(it.host.listen, order.as_bytes());
    it.check_refused(response.as_ref());
}

/// The same where the head came in time and the body did not.
#[test]
fn order_whose_body_came_late_is_refused() {
    let mut it = Stopping::begin();
    let text = Stopping::order(ORDER_DEADLINE_MS);
    let (first, rest) = text.split_at(text.len() - 2);
    it.wait(Duration::from_millis(900));
    it.kept.write_all(first.as_bytes()).unwrap();
    it.wait(LATE);
    it.kept.write_all(rest.as_bytes()).unwrap();
    let response = read_response(&mut it.kept);
    it.check_refused(response.as_ref());
}

/// The same where an upstream that did not run the order said so late, and another one would run it.
#[test]
fn order_that_was_shed_late_is_not_sent_again() {
    let mut it = Stopping::begin();
    it.upstream.set_fault(UpstreamFault::ShedAfter(Duration::from_millis(1_200)));
    let start = FakeUpstream::start(&it.fleet.rt, "other", LONG_WORK);
    let other = future::block_on(start).unwrap();
    it.wait(Duration::from_millis(800));
    it.kept.write_all(Stopping::order(ORDER_DEADLINE_MS).as_bytes()).unwrap();
    wait_until("the order is at the full upstream", || it.upstream.requests().len() == 2);
    it.fleet.store.put("servers", &other.id, &other.entry("desk", "ready"));
    let response = read_response(&mut it.kept);
    it.check_refused(response.as_ref());
    assert_eq!(other.n_executed(), 0);
}

/// What is over before the end of the grace period is served until then.
#[test]
fn order_that_is_over_in_time_is_served() {
    let mut it = Stopping::begin();
    it.wait(Duration::from_millis(1_200));
    it.kept.write_all(Stopping::order(1_000).as_bytes()).unwrap();
    let response = read_response(&mut it.kept).unwrap();
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(response.header("connection"), Some("close"));
}

#[test]
fn reload_keeps_streams_and_logs_invalid_settings() {
    let mut fleet = Fleet::new(1, 1);
    let host = fleet.start_host();
    let mut stream = TcpStream::connect(host.listen).unwrap();
    stream.write_all(request("draft", "r1").replace("30,24", "30,150").as_bytes()).unwrap();
    wait_until("the engine executes the stream", || fleet.n_executed() == 1);
    fleet.rewrite_settings("retry_extra = 5");
    host.signal("-HUP");
    wait_until("the reload is logged", || !host.log_entries("settings reloaded").is_empty());
    fleet.rewrite_settings("retry_extra = 'many'");
    host.signal("-HUP");
    wait_until("the invalid setting is logged", || {
        !host.log_entries("settings not reloaded").is_empty()
    });
    let text = host.log_entries("settings not reloaded")[0].to_string();
    assert!(text.contains("retry_extra"), "{text}");
    assert!(read_response(&mut stream).unwrap().is_complete);
    assert_eq!(host.send(&request("order", "r2")).status, 200);
}
