//! Graceful shutdown of a host, and reload of its settings.

mod fleet;

use std::{
    io::Write,
    net::TcpStream,
    time::{Duration, Instant},
};

use fleet::{Fleet, read_response, request, wait_until};

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
