//! `portfieldctl quarantine` and `portfieldctl evacuations` against a host's metrics address.

use std::{
    net::SocketAddr,
    process::{Command, Output},
    sync::{Arc, Mutex},
    thread,
};

use futures_lite::future;
use http_types::{Method, Request, Response};
use portfield_net::{http1, rt::Runtime};
use serde_json::json;

/// Serves a host's operator pages and records the paths that were deleted.
fn serve_host(deleted: &Arc<Mutex<Vec<String>>>) -> SocketAddr {
    let rt = Runtime::default();
    let (listener, address) =
        future::block_on(http1::bind("127.0.0.1:0".parse().unwrap())).unwrap();
    let deleted = deleted.clone();
    let handler = http1::sync_handler(move |it: &Request| respond(it, &deleted));
    let task = rt.clone();
    thread::spawn(move || task.block_on(0, http1::serve(rt, listener, handler)));
    address
}

fn respond(request: &Request, deleted: &Mutex<Vec<String>>) -> Response {
    let path = request.url().path();
    match request.method() {
        Method::Get if path == "/quarantine" => http1::json_response(
            200,
            &json!([{ "fingerprint": "00c0ffee", "workspace": "masons", "n_ends": 3, "left_s": 97 }]),
        ),
        Method::Get if path == "/evacuations" => {
            http1::json_response(200, &json!([{ "data_centre": "north", "n_upstreams": 47 }]))
        }
        Method::Delete if path.ends_with("/00c0ffee") => {
            deleted.lock().unwrap().push(path.to_owned());
            http1::json_response(200, &"lifted")
        }
        _ => http1::json_response(404, &"nothing is known against this request here"),
    }
}

fn run(command: &str, address: SocketAddr, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_portfieldctl"))
        .args([command, &address.to_string()])
        .args(args)
        .env_remove("PORTFIELD_PLATFORM")
        .output()
        .unwrap()
}

#[test]
fn quarantined_requests_are_listed_and_lifted() {
    let deleted = Arc::default();
    let address = serve_host(&deleted);
    let text = String::from_utf8(run("quarantine", address, &[]).stdout).unwrap();
    let row: Vec<&str> = text.lines().nth(1).unwrap().split_whitespace().collect();
    assert_eq!(row, ["00c0ffee", "masons", "3", "97"]);
    assert!(run("quarantine", address, &["--lift", "00c0ffee"]).status.success());
    assert_eq!(*deleted.lock().unwrap(), ["/quarantine/00c0ffee"]);
    let unknown = run("quarantine", address, &["--lift", "12"]);
    assert!(!unknown.status.success());
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("nothing is known"));
}

#[test]
fn evacuated_data_centres_are_listed() {
    let address = serve_host(&Arc::default());
    let text = String::from_utf8(run("evacuations", address, &[]).stdout).unwrap();
    let row: Vec<&str> = text.lines().nth(1).unwrap().split_whitespace().collect();
    assert_eq!(row, ["north", "47"]);
}
