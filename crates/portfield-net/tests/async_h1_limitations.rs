//! Limitations of `async-h1` for which callers and upstreams are not served by it, see
//! docs/design/http.md. If a test fails, reconsider that choice.

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http_types::{Request, Response};

/// Serves one connection, sends `bytes` on it, closes the sending side and returns the response.
fn exchange(bytes: &'static [u8]) -> String {
    future::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = async {
            let (stream, _) = listener.accept().await.unwrap();
            let echo = |mut request: Request| async move {
                let body = request.body_string().await?;
                Ok(Response::from(format!("got {} bytes", body.len())))
            };
            let _ = async_h1::accept(stream, echo).await;
        };
        let client = async {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            stream.shutdown(std::net::Shutdown::Write).unwrap();
            let mut text = String::new();
            stream.read_to_string(&mut text).await.unwrap();
            text
        };
        future::zip(server, client).await.1
    })
}

#[test]
fn async_h1_accepts_a_truncated_body() {
    let text = exchange(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc");
    assert!(text.contains("200 OK") && text.contains("got 3 bytes"), "{text}");
}

#[test]
fn async_h1_drops_pipelined_requests() {
    let two_requests = b"GET / HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n";
    assert_eq!(exchange(two_requests).matches("200 OK").count(), 1);
}
