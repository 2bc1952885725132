//! HTTP/1.1 client and server for small exchanges over `async-h1`: admin ports, the platform, load
//! reports.
//!
//! Not for requests of callers and responses of upstreams: `async-h1` accepts truncated bodies and
//! drops pipelined requests, see docs/design/http.md.

use std::{io, net::SocketAddr, time::Duration};

use async_io::Async;
use async_net::{TcpListener, TcpStream};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::{Serialize, de::DeserializeOwned};
use socket2::{Domain, Socket, Type};

use crate::{clock, connector::Connector, limited::Limited, rt::Runtime};

/// Connections that may wait to be accepted, enough for many clients that connect at once.
const BACKLOG: i32 = 4096;

/// Bytes of a response at most, head and body: a page of rows has up to 1 MB, the changes of a large table more.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Failure of an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The request could not be built or no connection opened, so it did not run.
    NotSent(String),
    /// The connection broke, the exchange timed out or the response was too long, so the request may have run.
    OutcomeUnknown(String),
    /// The response has a status other than 200; with its body.
    Status(u16, String),
    /// The body of the request or the response is not valid.
    InvalidBody(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(it) => write!(f, "not sent: {it}"),
            Self::OutcomeUnknown(it) => write!(f, "sent, but the response was lost: {it}"),
            Self::Status(status, body) => write!(f, "answered {status}: {body}"),
            Self::InvalidBody(it) => write!(f, "invalid body: {it}"),
        }
    }
}

impl std::error::Error for Error {}

/// Client of one server, with a connection per request.
#[derive(Debug, Clone)]
pub struct Client {
    /// Address of the server.
    pub address: SocketAddr,
    /// Data centre of the server, empty if no relay is needed.
    pub data_centre: String,
    /// Opens the connections.
    pub connector: Connector,
    /// Time limit for an exchange once the connection is open.
    pub timeout: Duration,
}

impl Client {
    /// Creates a client that connects without a relay and waits two seconds for a response.
    pub fn direct(address: SocketAddr) -> Self {
        Self {
            address,
            data_centre: String::new(),
            connector: Connector::default(),
            timeout: Duration::from_secs(2),
        }
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let text = self.send(Method::Get, path, Vec::new()).await?;
        parse_json(&text)
    }

    /// Gets a JSON value, and a header of the response if present.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn get_with_header<T: DeserializeOwned>(
        &self,
        path: &str,
        header: &str,
    ) -> Result<(T, Option<String>), Error> {
        let request = self.request(Method::Get, path, Vec::new())?;
        let (text, value) = self.exchange(request, header).await?;
        Ok((parse_json(&text)?, value))
    }

    /// Gets a JSON value and its entity tag, or `None` if the value still has the entity tag `tag`
    /// (RFC 9110, section 13.1.2).
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn get_if_changed<T: DeserializeOwned>(
        &self,
        path: &str,
        tag: &str,
    ) -> Result<Option<(T, String)>, Error> {
        let mut request = self.request(Method::Get, path, Vec::new())?;
        request.insert_header("if-none-match", tag);
        let (text, tag) = match self.exchange(request, "etag").await {
            Ok(it) => it,
            Err(Error::Status(304, _)) => return Ok(None),
            Err(err) => return Err(err),
        };
        Ok(Some((parse_json(&text)?, tag.unwrap_or_default())))
    }

    /// Posts a JSON value and returns the JSON value of the response.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body).map_err(|err| Error::InvalidBody(err.to_string()))?;
        let text = self.send(Method::Post, path, body).await?;
        parse_json(&text)
    }

    /// Sends a request and returns the body of the response.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn send(&self, method: Method, path: &str, body: Vec<u8>) -> Result<String, Error> {
        let request = self.request(method, path, body)?;
        self.exchange(request, "etag").await.map(|it| it.0)
    }

    fn request(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Request, Error> {
        let url = Url::parse(&format!("http://{}{path}", self.address))
            .map_err(|err| Error::NotSent(err.to_string()))?;
        let mut res = Request::new(method, url);
        res.insert_header("connection", "close");
        res.set_body(body);
        Ok(res)
    }

    /// Sends a request and returns the response's body, and a header of it if present.
    async fn exchange(
        &self,
        request: Request,
        header: &str,
    ) -> Result<(String, Option<String>), Error> {
        let connect = self.connector.connect(&self.data_centre, self.address);
        let stream = connect.await.map_err(|err| Error::NotSent(err.to_string()))?;
        let timed_out =
            || Err(Error::OutcomeUnknown("timed out waiting for the response".to_owned()));
        clock::timeout(self.timeout, exchange(stream, request, header))
            .await
            .unwrap_or_else(timed_out)
    }
}

async fn exchange(
    stream: TcpStream,
    request: Request,
    header: &str,
) -> Result<(String, Option<String>), Error> {
    let unknown = |err: http_types::Error| Error::OutcomeUnknown(err.to_string());
    let stream = Limited::new(stream, MAX_RESPONSE_BYTES);
    let mut response = async_h1::connect(stream, request).await.map_err(unknown)?;
    let value_of = |name: &str| response.header(name).map(|it| it.as_str().to_owned());
    let (length, value) = (value_of("content-length"), value_of(header));
    let status = response.status();
    if status == StatusCode::NotModified {
        return Err(Error::Status(status.into(), String::new()));
    }
    // The library allocates the announced length at once.
    if response.len().is_some_and(|it| MAX_RESPONSE_BYTES < it) {
        return Err(Error::OutcomeUnknown("the response is too long".to_owned()));
    }
    let text = response.body_string().await.map_err(unknown)?;
    // The library returns a truncated body as if it were complete.
    if length.is_some_and(|it| it.parse() != Ok(text.len())) {
        return Err(Error::OutcomeUnknown("the response was truncated".to_owned()));
    }
    if status == StatusCode::Ok {
        return Ok((text, value));
    }
    Err(Error::Status(status.into(), text))
}

fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|err| Error::InvalidBody(err.to_string()))
}

/// Serves requests on a listener until the process ends.
pub async fn serve<F, Fut>(rt: Runtime, listener: TcpListener, handler: F)
where
    F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            clock::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let handler = handler.clone();
        rt.spawn(async move {
            let _ = stream.set_nodelay(true);
            let respond = |request| {
                let res = handler(request);
                async { Ok(res.await) }
            };
            if let Err(err) = async_h1::accept(stream, respond).await {
                log::debug!("connection failed: {err}");
            }
        });
    }
}

/// Turns a synchronous function into a handler for [`serve`].
pub fn sync_handler(
    f: impl Fn(&Request) -> Response + Clone,
) -> impl Fn(Request) -> std::future::Ready<Response> + Clone {
    move |request| std::future::ready(f(&request))
}

/// Builds a response with a JSON body.
pub fn json_response(status: u16, value: &impl Serialize) -> Response {
    let mut res = Response::new(status);
    res.set_content_type(http_types::mime::JSON);
    res.set_body(serde_json::to_vec(value).unwrap_or_default());
    res
}

/// Reads the JSON body of a request.
///
/// # Errors
///
/// Returns a response with status 400 if the body is not such a value.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Response> {
    let text = request.body_string().await.unwrap_or_default();
    serde_json::from_str(&text)
        .map_err(|err| json_response(400, &serde_json::json!({ "error": err.to_string() })))
}

/// Binds a listener and returns it with its address. Port 0 takes any free port.
///
/// # Errors
///
/// Returns the socket's error.
pub async fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let listener = TcpListener::from(Async::new(std::net::TcpListener::from(socket))?);
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}
