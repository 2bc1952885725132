//! The end of a host's process, and changes of its settings.

mod fleet;

use std::{
    io::Write,
    net::TcpStream,
    time::{Duration, Instant},
};

use fleet::{Fleet, read_answer, request, until};

#[test]
fn a_stop_cuts_no_answer() {
    let mut fleet = Fleet::new(1, 1);
    let mut host = fleet.host();
    let mut stream = TcpStream::connect(host.listen).unwrap();
    // 120 events of 10 ms: longer than the time in which new ones are taken.
    let long = request("draft", "r1").replace("30,24", "30,360").replace("1200", "4500");
    stream.write_all(long.as_bytes()).unwrap();
    until("the stream begins", || fleet.n_executed() == 1);
    host.signal("-TERM");
    until("the host is not ready", || !host.is_ready());
    let late = host.send(&request("order", "r2"));
    assert_eq!(late.status, 200);
    assert_eq!(late.header("connection"), Some("close"));
    let answer = read_answer(&mut stream).unwrap();
    assert!(answer.is_whole);
    assert_eq!(answer.events().len(), 120);
    let told = Instant::now();
    assert_eq!(host.exit_code(), Some(0));
    assert!(told.elapsed() < Duration::from_secs(3));
    assert_eq!(host.logged("stopped")[0]["cut"], 0);
}

#[test]
fn a_reload_cuts_nothing_and_tells_what_is_wrong() {
    let mut fleet = Fleet::new(1, 1);
    let host = fleet.host();
    let mut stream = TcpStream::connect(host.listen).unwrap();
    stream.write_all(request("draft", "r1").replace("30,24", "30,150").as_bytes()).unwrap();
    until("the stream begins", || fleet.n_executed() == 1);
    fleet.rewrite("retry_extra = 5");
    host.signal("-HUP");
    until("the reload is logged", || !host.logged("settings reloaded").is_empty());
    fleet.rewrite("retry_extra = 'many'");
    host.signal("-HUP");
    until("the mistake is logged", || !host.logged("settings not reloaded").is_empty());
    let text = host.logged("settings not reloaded")[0].to_string();
    assert!(text.contains("retry_extra"), "{text}");
    assert!(read_answer(&mut stream).unwrap().is_whole);
    assert_eq!(host.send(&request("order", "r2")).status, 200);
}
