//! What a connection writes, and what it does not.

use std::{
    io::{ErrorKind, Read},
    net::{TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

use async_io::Async;
use bytes::Bytes;
use futures_lite::future::{block_on, poll_once};
use http_body_util::Full;
use hyper::client::conn::http1;
use portfield_net::socket::{self, CallerCheck, Socket};

/// Returns both ends of a connection.
fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (near, listener.accept().unwrap().0)
}

/// Hands a request to its connection, whose turn comes only after `meanwhile`; returns what its upstream got.
fn written(meanwhile: impl FnOnce(TcpStream, &Async<TcpStream>)) -> Vec<u8> {
    let (caller, host) = pair();
    let host = Arc::new(Async::new(host).unwrap());
    let (out, mut upstream) = pair();
    let guard = CallerCheck::default();
    let socket = Socket::with_caller_check(Async::new(out).unwrap(), guard.clone());
    let (mut sender, driver) = block_on(http1::handshake(socket)).unwrap();
    let mut driver = Box::pin(driver);
    guard.set_caller(host.clone());
    let request = hyper::Request::new(Full::new(Bytes::from_static(b"body")));
    let mut answer = Box::pin(sender.try_send_request(request));
    assert!(block_on(poll_once(&mut answer)).is_none(), "it is on its way");
    meanwhile(caller, &host);
    let _ = block_on(poll_once(&mut driver));
    let has_failed = block_on(poll_once(&mut answer)).is_some_and(|it| it.is_err());
    assert_eq!(has_failed, guard.has_aborted());
    upstream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let mut res = vec![0; 1000];
    let n = match upstream.read(&mut res) {
        Ok(n) => n,
        Err(err) if err.kind() == ErrorKind::WouldBlock => 0,
        Err(err) => panic!("{err}"),
    };
    res.truncate(n);
    res
}

/// A host whose processor was taken away between placing a request and writing it: 7 to 51 requests of one host's day
/// came to their upstreams over half a second after their callers had left.
#[test]
fn a_request_whose_caller_left_before_the_connection_s_turn_is_not_written() {
    let left = written(|caller, host| {
        drop(caller);
        block_on(host.readable()).unwrap();
        assert!(socket::is_closed_by_peer(host));
    });
    assert_eq!(String::from_utf8_lossy(&left), "");
}

#[test]
fn a_request_whose_caller_waits_is_written() {
    let mut kept = None;
    let text = written(|caller, _| kept = Some(caller));
    assert!(text.starts_with(b"GET / HTTP/1.1"), "{}", String::from_utf8_lossy(&text));
}
