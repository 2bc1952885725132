//! What callers may get wrong: each answer says which field it was.

mod fleet;

use std::{io::Write, net::TcpStream};

use crate::fleet::{Answer, Fleet, Shape, generation, read_answer, request, send};

fn held(res: &Answer, status: u16, field: &str) {
    assert_eq!(res.status, status, "{field}: {res:?}");
    let body = res.json();
    assert_eq!(body["field"], field, "{res:?}");
    assert_eq!(body["outcome"], "not-run");
    assert!(!body["error"].as_str().unwrap().is_empty());
    assert!(!res.header("x-portfield-request-id").is_empty());
}

#[test]
fn bad_requests_are_told_which_field_is_wrong() {
    let fleet = Fleet::start(Shape {
        router: "body_limit = 1000\nhead_timeout_ms = 300",
        ..Shape::default()
    });
    let address = fleet.hosts[0].router.address;
    let body = generation("a", 2);
    let raw = |head: &str| send(address, &format!("{head}\r\n\r\n"));
    held(&raw("GET"), 400, "head");
    held(&raw("GET / HTTP/9.9\r\nhost: a"), 400, "head");
    held(&raw("POST / HTTP/1.1\r\nhost: a\r\nno colon"), 400, "head");
    held(&raw("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x"), 400, "head");
    held(&raw("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2"), 400, "head");
    held(&raw(&format!("GET / HTTP/1.1\r\nhost: a\r\nlong: {}", "x".repeat(20_000))), 431, "head");
    let both =
        "POST /scribe/run HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked";
    assert_eq!(raw(both).status, 400);
    let both =
        "POST /scribe/run HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 3";
    assert_eq!(raw(both).status, 400);
    held(&raw("POST /scribe/run HTTP/1.1\r\nhost: a\r\nconnection: close"), 401, "authorization");
    held(&fleet.call(0, "nobody", "/scribe/run", &body, ""), 401, "authorization");
    held(&fleet.call(0, "small", "/nothing/run", &body, ""), 404, "path");
    let hint = "x-portfield-hint: many\r\n";
    held(&fleet.call(0, "small", "/scribe/run", &body, hint), 400, "x-portfield-hint");
    let class = "x-portfield-class: first\r\n";
    held(&fleet.call(0, "small", "/scribe/run", &body, class), 400, "x-portfield-class");
    let key = format!("idempotency-key: {}\r\n", "k".repeat(300));
    held(&fleet.call(0, "small", "/scribe/run", &body, &key), 400, "idempotency-key");
    held(&fleet.call(0, "small", "/scribe/run", &"x".repeat(2000), ""), 413, "body");
    // A head that never ends, and a body that is cut short.
    let mut slow = TcpStream::connect(address).unwrap();
    slow.write_all(b"POST /scribe/run HTTP/1.1\r\nhost:").unwrap();
    held(&read_answer(&mut slow), 408, "head");
    let mut cut = TcpStream::connect(address).unwrap();
    let call = request("small", "/scribe/run", &body, "");
    cut.write_all(&call.as_bytes()[..call.len() - 3]).unwrap();
    cut.shutdown(std::net::Shutdown::Write).unwrap();
    let res = read_answer(&mut cut);
    assert!(res.status == 400 || res.status == 0, "{res:?}");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let fleet = Fleet::start(Shape::default());
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
fn settings_are_checked_as_a_whole() {
    let file = std::env::temp_dir().join(format!("portfield-settings-{}.toml", std::process::id()));
    std::fs::write(&file, "listen = 'x'\nadmin = '127.0.0.1:0'\nfoo = 1\nbody_limit = 0\n")
        .unwrap();
    let (ok, text) =
        fleet::run("portfield-router", &["--check", "--settings", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    assert!(!ok);
    for key in ["listen", "data_centre", "platform", "body_limit", "foo"] {
        assert!(text.contains(&format!("{key}:")), "{key}: {text}");
    }
}

#[test]
fn the_example_settings_are_accepted() {
    for deployment in ["craigmhor", "karumkaste"] {
        for program in ["router", "scheduler"] {
            let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
            let file = format!("{dir}/{deployment}/{program}.toml");
            let args = ["--check", "--settings", &file];
            let (ok, text) = fleet::run(&format!("portfield-{program}"), &args);
            assert!(ok, "{file}: {text}");
        }
    }
}
