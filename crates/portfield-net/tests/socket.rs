//! Requests are written only while their callers wait.

use std::{
    io::{ErrorKind, Read},
    net::{TcpListener, TcpStream},
    sync::Arc,
    task::Poll,
    thread,
    time::{Duration, Instant},
};

use async_io::Async;
use bytes::Bytes;
use futures_lite::future::{block_on, poll_fn, poll_once};
use http_body_util::Full;
use hyper::client::conn::http1;
use portfield_net::socket::{self, CallerCheck, Socket};

/// Returns the client's and the server's end of a connection.
fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, listener.accept().unwrap().0)
}

/// Sends a request, runs `meanwhile` before the connection is polled and returns the bytes that the upstream received.
fn bytes_written(meanwhile: impl FnOnce(TcpStream, &Async<TcpStream>)) -> Vec<u8> {
    let (caller, host) = pair();
    let host = Arc::new(Async::new(host).unwrap());
    let (out, mut upstream) = pair();
    let caller_check = CallerCheck::default();
    let socket = Socket::with_caller_check(Async::new(out).unwrap(), caller_check.clone());
    let (mut sender, driver) = block_on(http1::handshake(socket)).unwrap();
    let mut driver = Box::pin(driver);
    caller_check.set_caller(host.clone());
    let request = hyper::Request::new(Full::new(Bytes::from_static(b"body")));
    let mut response = Box::pin(sender.try_send_request(request));
    assert!(block_on(poll_once(&mut response)).is_none(), "the request is not written yet");
    meanwhile(caller, &host);
    let _ = block_on(poll_once(&mut driver));
    let has_failed = block_on(poll_once(&mut response)).is_some_and(|it| it.is_err());
    assert_eq!(has_failed, caller_check.has_aborted());
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

/// Guards against requests that run for nobody: a host that got no processor time between placing and writing a request
/// wrote it after its caller had left. At one host, 7 to 51 requests per day reached their upstreams over half a second
/// too late.
#[test]
fn request_is_not_written_after_its_caller_left() {
    let bytes = bytes_written(|caller, host| {
        drop(caller);
        block_on(host.readable()).unwrap();
        assert!(socket::is_closed_by_peer(host));
    });
    assert_eq!(String::from_utf8_lossy(&bytes), "");
}

#[test]
fn request_is_written_while_its_caller_waits() {
    let mut held_caller = None;
    let bytes = bytes_written(|caller, _| held_caller = Some(caller));
    assert!(bytes.starts_with(b"GET / HTTP/1.1"), "{}", String::from_utf8_lossy(&bytes));
}

/// Writes to a socket until an error occurs, and returns it with the time that this took.
fn write_until_error(stream: TcpStream, timeout: Duration) -> (ErrorKind, Duration) {
    let start = Instant::now();
    let socket = Socket::from(Async::new(stream).unwrap()).with_write_timeout(timeout);
    let mut socket = std::pin::pin!(socket);
    let chunk = [0; 16 << 10];
    let write = poll_fn(|cx| {
        loop {
            match hyper::rt::Write::poll_write(socket.as_mut(), cx, &chunk) {
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(err)) => return Poll::Ready(err.kind()),
                Poll::Pending => return Poll::Pending,
            }
        }
    });
    (block_on(write), start.elapsed())
}

#[test]
fn peer_that_reads_nothing_is_given_up_after_the_write_timeout() {
    let (_peer, stream) = pair();
    let timeout = Duration::from_millis(300);
    let (kind, time) = write_until_error(stream, timeout);
    assert_eq!(kind, ErrorKind::TimedOut);
    assert!(timeout <= time, "{time:?}");
}

/// The peer reads a little at intervals shorter than the timeout, for several timeouts.
#[test]
fn peer_that_reads_slowly_is_not_given_up() {
    const INTERVAL: Duration = Duration::from_millis(50);
    let (mut peer, stream) = pair();
    let reader = thread::spawn(move || {
        let mut buf = vec![0; 1 << 20];
        for _ in 0..40 {
            assert!(0 < peer.read(&mut buf).unwrap());
            thread::sleep(INTERVAL);
        }
    });
    let timeout = INTERVAL * 16;
    let (_, time) = write_until_error(stream, timeout);
    reader.join().unwrap();
    assert!(INTERVAL * 40 <= time, "given up after {time:?}");
}
