//! Callers of a soak test: they send requests on kept connections, and resume streams that break.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use portfield_net::clock;

use crate::{
    N_HOSTS, SoakKind,
    availability::Attempt,
    fleet::{Response, read_response, request_with_body},
    resumptions::StreamAttempt,
};

/// Attempts of a caller to resume a stream.
const MAX_RESUMPTIONS: u32 = 2;
/// One request in this many has the body that it shares with others, so that it may be
/// quarantined for their crashes.
const SHARED_BODY_EVERY: u64 = 8;
/// Number of events in a stream: 24 tokens, three per event.
pub const N_EVENTS: u32 = 8;
/// The same of resumable streams beside releases, so that many are running when something fails.
const N_LONG_EVENTS: u32 = 50;
/// Part of the resumable streams beside releases that their caller breaks off and resumes elsewhere.
const BREAK_OFF_PART: f64 = 0.3;

/// Request and the response that its caller got.
pub struct Outcome {
    pub id: String,
    /// Attempt that brought the first event, if the request resumes a stream, and the last event before.
    pub resumes: Option<(String, u32)>,
    /// Attempts to resume the stream so far, this one included.
    pub n_resumptions: u32,
    /// Events of the whole stream.
    pub n_events: u32,
    pub route: &'static str,
    pub body: String,
    /// Address of the host that it was sent to.
    pub host: SocketAddr,
    pub response: Option<Response>,
    pub sent: Duration,
    pub ended: Duration,
}

impl Outcome {
    pub fn is_served(&self) -> bool {
        self.response.as_ref().is_some_and(|it| it.status == 200)
    }

    /// Returns the attempt as the checks of streams see it, `None` for another route.
    pub fn stream_attempt(&self, is_judged: bool) -> Option<StreamAttempt> {
        let response = self.response.as_ref().filter(|it| it.status == 200);
        let events = response
            .map_or(Vec::new(), |it| it.event_ids().into_iter().zip(it.event_versions()).collect());
        let (first_attempt, last_event) =
            self.resumes.clone().unwrap_or_else(|| (self.id.clone(), 0));
        (self.route == "digest").then(|| StreamAttempt {
            first_attempt,
            last_event,
            sent: self.sent,
            events,
            is_complete: response.is_some_and(|it| it.is_complete),
            n_events: self.n_events,
            is_judged,
        })
    }

    /// Returns the request as the check of the availability sees it.
    pub fn attempt(&self) -> Attempt {
        let service = if matches!(self.route, "draft" | "digest") { "model" } else { "desk" };
        Attempt {
            service,
            host: self.host,
            sent: self.sent,
            ended: self.ended,
            is_served: self.is_served(),
        }
    }
}

/// Listen addresses of the running hosts, updated when a host is replaced.
pub type HostAddresses = Arc<Mutex<Vec<SocketAddr>>>;

/// Sends requests on keep-alive connections until `stop` is set, and returns their outcomes.
pub fn run_caller(
    addresses: &HostAddresses,
    caller: usize,
    kind: SoakKind,
    n_sent: &AtomicU64,
    stop: &AtomicBool,
) -> Vec<Outcome> {
    let routes = ["check", "order", "draft", "digest"];
    let mut rng = fastrand::Rng::with_seed(caller as u64);
    let mut connection: Option<TcpStream> = None;
    let mut res: Vec<Outcome> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let number = n_sent.fetch_add(1, Ordering::Relaxed);
        let id = format!("c{caller}-{number}");
        let broken = res.last().and_then(broken_stream);
        let (route, body, resumes) = match broken {
            Some((body, resumes)) => {
                // On a new connection, mostly to another host.
                connection = None;
                ("digest", body, Some(resumes))
            }
            None => {
                let route = routes[rng.usize(..routes.len())];
                let is_shared = number.is_multiple_of(SHARED_BODY_EVERY);
                (route, if is_shared { "body".to_owned() } else { id.clone() }, None)
            }
        };
        let address = addresses.lock().unwrap()[rng.usize(..N_HOSTS)];
        let stream = connection.take().or_else(|| TcpStream::connect(address).ok());
        let Some((mut stream, address)) = stream.and_then(|it| {
            let address = it.peer_addr().ok()?;
            Some((it, address))
        }) else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        let is_long = kind == SoakKind::Releases && route == "digest";
        stream.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
        if is_long && rng.f64() < BREAK_OFF_PART {
            break_off_after(&stream, Duration::from_millis(rng.u64(50..400)));
        }
        let sent_at = clock::now();
        let text = request_with_body(route, &id, &body);
        let text = resumes.as_ref().map_or(text.clone(), |it| resume(&text, it));
        let n_events = if is_long { N_LONG_EVENTS } else { N_EVENTS };
        let text = text.replace("30,24", &format!("30,{}", n_events * 3));
        let sent = stream.write_all(text.as_bytes());
        let response = sent.ok().and_then(|()| read_response(&mut stream));
        if response.as_ref().is_some_and(|it| it.is_complete && it.header("connection").is_none()) {
            connection = Some(stream);
        }
        let ended = clock::now();
        let sent = sent_at;
        let n_before = res.last().map_or(0, |it| it.n_resumptions);
        let n_resumptions = if resumes.is_some() { n_before + 1 } else { 0 };
        let host = address;
        res.push(Outcome {
            id,
            resumes,
            n_resumptions,
            n_events,
            route,
            body,
            host,
            response,
            sent,
            ended,
        });
        thread::sleep(Duration::from_millis(rng.u64(2..20)));
    }
    res
}

/// Breaks a connection off after a time, as a caller's network does.
fn break_off_after(stream: &TcpStream, time: Duration) {
    let stream = stream.try_clone().unwrap();
    thread::spawn(move || {
        thread::sleep(time);
        // The connection may have ended before.
        let _ = stream.shutdown(Shutdown::Both);
    });
}

/// Returns the body of a stream that broke after some event, the attempt that began it and the last event, as long
/// as its caller resumes it.
fn broken_stream(it: &Outcome) -> Option<(String, (String, u32))> {
    let (first, last_event) = it.resumes.clone().unwrap_or_else(|| (it.id.clone(), 0));
    let response = it.response.as_ref();
    let events = response.filter(|it| it.status == 200).map(Response::event_ids);
    let last_event = events.and_then(|it| it.last().copied()).unwrap_or(last_event);
    let is_broken = response.is_none_or(|it| it.status != 200 || !it.is_complete);
    let may_resume = it.route == "digest" && is_broken && it.n_resumptions < MAX_RESUMPTIONS;
    (may_resume && 0 < last_event).then(|| (it.body.clone(), (first, last_event)))
}

/// Adds to a request the headers that resume a stream.
fn resume(text: &str, (first_attempt, last_event): &(String, u32)) -> String {
    let headers = format!("last-event-id: {last_event}\r\nresumes: {first_attempt}\r\n");
    text.replace("token-count", &format!("{headers}token-count"))
}
