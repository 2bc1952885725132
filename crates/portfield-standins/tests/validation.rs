//! Invalid requests and settings: the error names the field.

mod fleet;

use std::{io::Write, net::TcpStream};

use crate::fleet::{
    Fleet, FleetOptions, Response, generation_body, read_response, request, send_request,
};

/// Asserts that a request was rejected as not run, with an error for `field`.
fn assert_rejected(res: &Response, status: u16, field: &str) {
    assert_eq!(res.status, status, "{field}: {res:?}");
    let body = res.json();
    assert_eq!(body["field"], field, "{res:?}");
    assert_eq!(body["outcome"], "not-run");
    assert!(!body["error"].as_str().unwrap().is_empty());
    assert!(!res.header("x-portfield-request-id").is_empty());
}

#[test]
fn invalid_requests_are_rejected_with_the_field_name() {
    let fleet = Fleet::start(FleetOptions {
        router_settings: "body_limit = 1000\nhead_timeout_ms = 300",
        ..FleetOptions::default()
    });
    let address = fleet.hosts[0].router.address;
    let body = generation_body("a", 2);
    let raw = |head: &str| send_request(address, &format!("{head}\r\n\r\n"));
    assert_rejected(&raw("GET"), 400, "head");
    assert_rejected(&raw("GET / HTTP/9.9\r\nhost: a"), 400, "head");
    assert_rejected(&raw("POST / HTTP/1.1\r\nhost: a\r\nno colon"), 400, "head");
    assert_rejected(&raw("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x"), 400, "head");
    assert_rejected(
        &raw("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2"),
        400,
        "head",
    );
    assert_rejected(
        &raw(&format!("GET / HTTP/1.1\r\nhost: a\r\nlong: {}", "x".repeat(20_000))),
        431,
        "head",
    );
    let both =
        "POST /scribe/run HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked";
    assert_eq!(raw(both).status, 400);
    let both =
        "POST /scribe/run HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 3";
    assert_eq!(raw(both).status, 400);
    assert_rejected(
        &raw("POST /scribe/run HTTP/1.1\r\nhost: a\r\nconnection: close"),
        401,
        "authorization",
    );
    assert_rejected(&fleet.send(0, "nobody", "/scribe/run", &body, ""), 401, "authorization");
    assert_rejected(&fleet.send(0, "small", "/nothing/run", &body, ""), 404, "path");
    let hint = "x-portfield-hint: many\r\n";
    assert_rejected(&fleet.send(0, "small", "/scribe/run", &body, hint), 400, "x-portfield-hint");
    let class = "x-portfield-class: first\r\n";
    assert_rejected(&fleet.send(0, "small", "/scribe/run", &body, class), 400, "x-portfield-class");
    let key = format!("idempotency-key: {}\r\n", "k".repeat(300));
    assert_rejected(&fleet.send(0, "small", "/scribe/run", &body, &key), 400, "idempotency-key");
    assert_rejected(&fleet.send(0, "small", "/scribe/run", &"x".repeat(2000), ""), 413, "body");
    // An incomplete head, then a truncated body.
    let mut slow = TcpStream::connect(address).unwrap();
    slow.write_all(b"POST /scribe/run HTTP/1.1\r\nhost:").unwrap();
    assert_rejected(&read_response(&mut slow), 408, "head");
    let mut cut = TcpStream::connect(address).unwrap();
    let call = request("small", "/scribe/run", &body, "");
    cut.write_all(&call.as_bytes()[..call.len() - 3]).unwrap();
    cut.shutdown(std::net::Shutdown::Write).unwrap();
    let res = read_response(&mut cut);
    assert!(res.status == 400 || res.status == 0, "{res:?}");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let fleet = Fleet::start(FleetOptions::default());
    let address = fleet.hosts[0].router.address;
    let first = request("small", "/ledger/a", "{\"echo\":\"one\"}", "")
        .replace("connection: close\r\n", "");
    let second = request("small", "/ledger/b", "{\"echo\":\"two\"}", "");
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(format!("{first}{second}").as_bytes()).unwrap();
    let mut text = String::new();
    std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
    let (one, two) = (text.find("one").unwrap(), text.find("two").unwrap());
    assert!(one < two, "{text}");
}

#[test]
fn check_reports_all_invalid_settings() {
    let file = std::env::temp_dir().join(format!("portfield-settings-{}.toml", std::process::id()));
    std::fs::write(&file, "listen = 'x'\nadmin = '127.0.0.1:0'\nfoo = 1\nbody_limit = 0\n")
        .unwrap();
    let (is_ok, text) =
        fleet::run_program("portfield-router", &["--check", "--settings", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    assert!(!is_ok);
    for key in ["listen", "data_centre", "platform", "body_limit", "foo"] {
        assert!(text.contains(&format!("{key}:")), "{key}: {text}");
    }
}

#[test]
fn example_settings_are_valid() {
    for deployment in ["craigmhor", "karumkaste"] {
        for program in ["router", "scheduler"] {
            let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
            let file = format!("{dir}/{deployment}/{program}.toml");
            let args = ["--check", "--settings", &file];
            let (is_ok, text) = fleet::run_program(&format!("portfield-{program}"), &args);
            assert!(is_ok, "{file}: {text}");
        }
    }
}
