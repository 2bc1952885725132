//! Requests are written only while their callers wait, and what is held back is read whole.

use std::{
    io::{ErrorKind, Read, Write},
    net::{TcpListener, TcpStream},
    pin::Pin,
    sync::Arc,
    task::Poll,
    thread,
    time::{Duration, Instant},
};

use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::future::{self, block_on, poll_fn, poll_once};
use http_body_util::Full;
use hyper::{
    client::conn::http1,
    rt::{Read as _, ReadBuf},
};
use portfield_net::{
    coarse_timer::CoarseTimer,
    socket::{self, CallerCheck, ReadGate, Socket},
};

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

/// Reads once from a socket, up to the given length.
fn poll_read(socket: &mut Socket, max_len: usize) -> Option<Vec<u8>> {
    let mut bytes = vec![0; max_len];
    let mut buf = ReadBuf::new(&mut bytes);
    let read = poll_fn(|cx| Pin::new(&mut *socket).poll_read(cx, buf.unfilled()));
    block_on(poll_once(read)).map(|it| it.map(|()| buf.filled().to_vec()).unwrap())
}

/// Waits until something is read.
///
/// The future stays registered with the reactor: one that is polled anew each time may be registered
/// during each turn of the reactor, whose events then count as older than the registration.
fn read(socket: &mut Socket, max_len: usize) -> Vec<u8> {
    let mut bytes = vec![0; max_len];
    let mut buf = ReadBuf::new(&mut bytes);
    let read = poll_fn(|cx| Pin::new(&mut *socket).poll_read(cx, buf.unfilled()));
    let timeout = async {
        Timer::after(Duration::from_secs(20)).await;
        panic!("nothing was read");
    };
    async_io::block_on(future::or(read, timeout)).unwrap();
    buf.filled().to_vec()
}

/// Polls for a time in which nothing may be read.
fn assert_held(socket: &mut Socket) {
    for _ in 0..20 {
        assert_eq!(poll_read(socket, 100), None);
        thread::sleep(Duration::from_millis(1));
    }
}

fn gated_socket() -> (Socket, ReadGate, TcpStream) {
    let (client, upstream) = pair();
    let gate = ReadGate::default();
    let socket = Socket::from(Async::new(client).unwrap()).with_read_gate(gate.clone());
    (socket, gate, upstream)
}

/// Guards against bytes that are lost, repeated or reordered when they were held back, also where
/// they do not fit into one read.
#[test]
fn held_bytes_are_read_in_order_once_the_wait_ends() {
    let (mut socket, gate, mut upstream) = gated_socket();
    let timer = CoarseTimer::default();
    gate.close_until(timer.wait(1));
    upstream.write_all(b"one ").unwrap();
    assert_held(&mut socket);
    upstream.write_all(b"two").unwrap();
    assert_held(&mut socket);
    timer.advance();
    // The reactor may have reported only the first part yet.
    let mut bytes = read(&mut socket, 3);
    assert_eq!(bytes, b"one");
    assert!((4..=7).contains(&gate.n_released()), "{} bytes released", gate.n_released());
    while bytes.len() < 7 {
        bytes.extend(read(&mut socket, 3));
    }
    assert_eq!(bytes, b"one two");
    upstream.write_all(b"three").unwrap();
    assert_eq!(read(&mut socket, 100), b"three", "the gate stays open");
}

/// Guards against a last event that waits: the end of the message, or of the connection, ends the wait.
#[test]
fn the_end_of_a_message_or_of_the_connection_is_not_held_back() {
    let timer = CoarseTimer::default();
    for end in ["4\r\nlast\r\n0\r\n\r\n", "0\r\n\r\n"] {
        let (mut socket, gate, mut upstream) = gated_socket();
        gate.close_until(timer.wait(1));
        upstream.write_all(end.as_bytes()).unwrap();
        assert_eq!(read(&mut socket, 100), end.as_bytes());
    }
    let (mut socket, gate, mut upstream) = gated_socket();
    gate.close_until(timer.wait(1));
    upstream.write_all(b"last").unwrap();
    drop(upstream);
    assert_eq!(read(&mut socket, 100), b"last");
    assert_eq!(read(&mut socket, 100), b"");
}

/// Guards against a stream that fills the memory of a host while it is held back.
#[test]
fn only_a_bounded_number_of_bytes_is_held_back() {
    let (mut socket, gate, mut upstream) = gated_socket();
    gate.close_until(CoarseTimer::default().wait(1));
    let sent = vec![b'x'; 40 << 10];
    upstream.write_all(&sent).unwrap();
    assert!(!read(&mut socket, 100).is_empty());
}
