//! Servers that send bytes without end to the HTTP client of the store and of admin ports.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread::{self, JoinHandle},
};

use futures_lite::future;
use portfield_net::http1::Client;

/// Bytes that the client and the kernel's buffers may take at most.
const MAX_BYTES: usize = 64 << 20;

/// Serves one connection with `start`, and `piece` repeated until the client closes it; returns the bytes sent.
fn serve_endlessly(start: &'static str, piece: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let served = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(0 < stream.read(&mut [0; 4096]).unwrap());
        let block = piece.repeat((64 << 10) / piece.len());
        let mut n = 0;
        let mut text = start;
        while stream.write_all(text.as_bytes()).is_ok() {
            n += text.len();
            text = &block;
        }
        n
    });
    (address, served)
}

/// Guards against a response that fills the memory within the time that the client waits for its end.
#[test]
fn bytes_without_end_are_read_up_to_a_limit() {
    let starts = [
        ("HTTP/1.1 200 OK\r\nx: ", "a"),
        ("HTTP/1.1 200 OK\r\n", "x: a\r\n"),
        ("", "\u{1}"),
        ("HTTP/1.1 200 OK\r\n\r\n", "a"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "a"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\na\r\n"),
    ];
    for (start, piece) in starts {
        let (address, served) = serve_endlessly(start, piece);
        let res = future::block_on(Client::direct(address).get::<String>("/"));
        assert!(res.is_err(), "{start:?}: {res:?}");
        let n = served.join().unwrap();
        assert!(n <= MAX_BYTES, "{start:?}: {n} bytes");
    }
}
