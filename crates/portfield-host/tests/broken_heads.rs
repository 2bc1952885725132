//! Upstreams whose response heads stop midway, and bytes without end in a head or a body.

mod fleet;

use std::{
    io::{self, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, Host, Response, config, connect, request, send_request, wait_until};
use serde_json::json;
use socket2::SockRef;

/// How an upstream answers a request.
#[derive(Debug, Clone, Copy)]
enum Answer {
    /// Completely.
    Whole,
    /// With this many bytes of the head, and the end of the connection.
    Cut(Head, usize, Close),
    /// With the start of a response that a piece repeats without end.
    Endless(&'static str, &'static str),
    /// With this many bytes of a header, and nothing more.
    HoldHeader(usize),
    /// With one event, and then a few bytes of the next one at a time, without its end.
    DripEvent,
}

/// Time between the bytes of an event that does not end, shorter than the pause after which a stream moves to another
/// upstream.
const DRIP_PERIOD: Duration = Duration::from_millis(20);

/// What delimits the body that a head announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Head {
    Length,
    Chunks,
    Close,
}

/// How an upstream closes a connection.
#[derive(Debug, Clone, Copy)]
enum Close {
    InOrder,
    Reset,
}

impl Head {
    /// Returns the head of a response to an attempt, up to its blank line.
    fn text(self, attempt: &str) -> String {
        let delimiter = match self {
            Self::Length => "content-length: 5\r\n",
            Self::Chunks => "transfer-encoding: chunked\r\n",
            Self::Close => "",
        };
        format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nreplica-signature: s\r\n{delimiter}\r\n"
        )
    }

    /// Returns the lengths at which the head is cut: in each line, after each line, and within the blank line.
    fn cuts(self, attempt: &str) -> Vec<usize> {
        let text = self.text(attempt);
        let ends = text.match_indices("\r\n").map(|it| it.0 + 2);
        let blank = text.len() - 2;
        ends.filter(|it| *it <= blank).flat_map(|it| [it - 5, it]).chain([blank + 1]).collect()
    }
}

/// An upstream that answers each request as told.
#[derive(Debug, Clone)]
struct Upstream {
    answer: Arc<Mutex<Answer>>,
    n_requests: Arc<AtomicUsize>,
    /// Heads that were sent as far as asked.
    n_sent: Arc<AtomicUsize>,
    /// Connections that the host closed while bytes were sent.
    n_closed: Arc<AtomicUsize>,
}

impl Upstream {
    /// Starts it as an upstream of a service.
    fn start(fleet: &Fleet, service: &str, answer: Answer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let entry = json!({ "service": service, "addr": listener.local_addr().unwrap().to_string(),
            "zone": "north", "version": "v1", "slots": 2_000, "state": "ready", "cold_remaining_ms": 0,
            "seq": 1 });
        fleet.store.put("servers", &format!("raw-{service}"), &entry);
        let answer = Arc::new(Mutex::new(answer));
        let res = Self {
            answer,
            n_requests: Arc::default(),
            n_sent: Arc::default(),
            n_closed: Arc::default(),
        };
        let upstream = res.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (upstream, stream) = (upstream.clone(), stream.unwrap());
                thread::spawn(move || upstream.serve(stream));
            }
        });
        res
    }

    /// Answers the requests of one connection.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        loop {
            let attempt = read_attempt(&mut stream)?;
            self.n_requests.fetch_add(1, Ordering::Relaxed);
            let answer = *self.answer.lock().unwrap();
            match answer {
                Answer::Whole => {
                    let text = Head::Length.text(&attempt) + "whole";
                    stream.write_all(text.as_bytes())?;
                }
                Answer::Cut(head, n, close) => {
                    stream.write_all(&head.text(&attempt).as_bytes()[..n])?;
                    if let Close::Reset = close {
                        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                    }
                    return Ok(());
                }
                Answer::Endless(start, piece) => {
                    let start = start.replace("HEAD", Head::Close.text(&attempt).trim_end());
                    let block = piece.repeat((16 << 10) / piece.len() + 1);
                    let res = stream.write_all(start.as_bytes());
                    if res.and_then(|()| write_forever(&mut stream, &block)).is_err() {
                        self.n_closed.fetch_add(1, Ordering::Relaxed);
                    }
                    return Ok(());
                }
                Answer::HoldHeader(n) => {
                    let text = format!("HTTP/1.1 200 OK\r\nx: {}", "a".repeat(n));
                    let counter = match stream.write_all(text.as_bytes()) {
                        Ok(()) => &self.n_sent,
                        Err(_) => &self.n_closed,
                    };
                    counter.fetch_add(1, Ordering::Relaxed);
                    // Until the host closes the connection.
                    stream.read_exact(&mut [0])?;
                }
                Answer::DripEvent => {
                    let head = Head::Close.text(&attempt);
                    let text = format!("{head}id: 1\ndata: piece 1 of v1\n\nid: 2\ndata: ");
                    stream.write_all(text.as_bytes())?;
                    loop {
                        thread::sleep(DRIP_PERIOD);
                        stream.write_all(b"a")?;
                    }
                }
            }
        }
    }
}

fn write_forever(stream: &mut TcpStream, block: &str) -> io::Result<()> {
    loop {
        stream.write_all(block.as_bytes())?;
    }
}

/// Reads a request, and returns its attempt id.
fn read_attempt(stream: &mut TcpStream) -> io::Result<String> {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\nbody") {
        stream.read_exact(&mut byte)?;
        received.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&received).to_lowercase();
    let attempt = text.lines().find_map(|it| it.strip_prefix("attempt-id: "));
    Ok(attempt.unwrap_or_default().to_owned())
}

/// Starts a host between the upstreams.
fn start_host(fleet: &mut Fleet, settings: &str) -> Host {
    let mut config = config(2);
    config["services"][0]["max_conns"] = json!(5_000);
    fleet.store.put("op", "config", &config);
    let host = fleet.spawn_host(settings);
    wait_until("the host is ready", || host.is_ready());
    host
}

/// Sends requests until one reaches the upstream; returns its response.
fn send_there(host: &Host, upstream: &Upstream, route: &str, id: &str) -> Response {
    let mut n = 0;
    let mut res = None;
    wait_until("a request reaches the upstream", || {
        let before = upstream.n_requests.load(Ordering::Relaxed);
        n += 1;
        // Prompts that differ are placed on different upstreams.
        let text =
            request(route, &format!("{id}{n:03}")).replace("aa:20,bb", &format!("{n:x}:20,bb"));
        res = send_request(host.listen, text.as_bytes());
        before < upstream.n_requests.load(Ordering::Relaxed)
    });
    res.unwrap()
}

/// Guards against a success with an empty or short body, framed as whole, for an upstream that stopped in the
/// middle of its response's head.
#[test]
fn head_that_stops_midway_is_no_success() {
    for (route, service) in [("order", "desk"), ("check", "desk"), ("digest", "model")] {
        let mut fleet = Fleet::new(0, 0);
        let upstream = Upstream::start(&fleet, service, Answer::Whole);
        let host = start_host(&mut fleet, "retry_extra = 1000");
        let mut n_cut = 0;
        for head in [Head::Length, Head::Chunks, Head::Close] {
            // An id has four characters here, as each that is sent.
            for n in head.cuts("a000") {
                for close in [Close::InOrder, Close::Reset] {
                    for is_kept in [true, false] {
                        if is_kept && service == "desk" {
                            *upstream.answer.lock().unwrap() = Answer::Whole;
                            assert_eq!(send_there(&host, &upstream, "order", "w").status, 200);
                        }
                        *upstream.answer.lock().unwrap() = Answer::Cut(head, n, close);
                        let response = send_there(&host, &upstream, route, "a");
                        n_cut += 1;
                        assert_eq!(
                            response.status, 502,
                            "{route} {head:?} {n} {close:?} {is_kept}"
                        );
                    }
                }
            }
        }
        wait_until("the attempts are logged", || {
            let failed = host.log_entries("attempt failed");
            n_cut <= failed.iter().filter(|it| it["outcome"] == "unknown").count()
        });
    }
}

/// Starts of responses, and the pieces that follow without end.
const ENDLESS: [(&str, &str); 7] = [
    // Bytes that are no response.
    ("", "\u{1}"),
    ("HTTP/1.1 200 OK\r\nx: ", "a"),
    ("HTTP/1.1 200 OK\r\n", "x: a\r\n"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("HEAD\r\n\r\n", "a"),
    ("HEAD\r\ncontent-length: 4\r\n\r\nbody", "a"),
    ("HEAD\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\na\r\n"),
];
/// Requests that get them at a time.
const N_ENDLESS: usize = 8;
/// Time that their callers have, as `deadline-ms` says.
const DEADLINE: Duration = Duration::from_millis(1200);

/// Guards against a connection that is read for ever, and against harm to the other requests of the host meanwhile.
#[test]
fn bytes_without_end_are_read_for_a_limited_time() {
    for (start, piece) in ENDLESS {
        for (route, service) in [("order", "desk"), ("digest", "model")] {
            let (n_plain, n_engines, sound_route) =
                if service == "desk" { (0, 1, "draft") } else { (1, 0, "order") };
            let mut fleet = Fleet::new(n_plain, n_engines);
            let endless = Upstream::start(&fleet, service, Answer::Endless(start, piece));
            let host = start_host(&mut fleet, &format!("memory_mb = {MEMORY_MB}"));
            let sent = Instant::now();
            thread::scope(|scope| {
                let send = |n: usize| {
                    let text = request(route, &format!("e{n}"));
                    send_request(host.listen, text.as_bytes())
                };
                let callers: Vec<_> =
                    (0..N_ENDLESS).map(|n| scope.spawn(move || send(n))).collect();
                for n in 0..10 {
                    let text = request(sound_route, &format!("s{n}"));
                    let response = host.send_admitted(&text);
                    assert_eq!(response.status, 200, "{start:?}: {}", response.text());
                }
                for it in callers {
                    let response = it.join().unwrap();
                    let is_success = |it: &Response| it.status < 300 && it.is_complete;
                    let is_cut_to_length = start.contains("content-length");
                    assert!(
                        is_cut_to_length || !response.is_some_and(|it| is_success(&it)),
                        "{start:?}"
                    );
                }
            });
            assert!(sent.elapsed() < DEADLINE * 2, "{start:?}: {:?}", sent.elapsed());
            let n = endless.n_requests.load(Ordering::Relaxed);
            assert!(0 < n);
            wait_until("the host has closed the connections", || {
                n <= endless.n_closed.load(Ordering::Relaxed)
            });
            let peak = host.peak_memory_mb();
            assert!(peak < MEMORY_MB, "{start:?}: {peak} MB");
        }
    }
}

/// Memory of the host, as in the smallest hosts of the deployments.
const MEMORY_MB: u64 = 160;
/// Requests whose response heads are too long; such a host takes some 600 by its account of what each holds.
const N_HELD: usize = 500;

/// Guards against heads that take more memory than a request is counted with: the process would be killed for it.
#[test]
fn long_heads_of_responses_do_not_exhaust_the_memory() {
    let mut fleet = Fleet::new(0, 0);
    let upstream = Upstream::start(&fleet, "desk", Answer::HoldHeader(400_000));
    let mut patient = config(3);
    patient["services"][0]["max_conns"] = json!(5_000);
    patient["routes"][1]["timeout_ms"] = json!(30_000);
    fleet.store.put("op", "config", &patient);
    let host = fleet.spawn_host(&format!("memory_mb = {MEMORY_MB}"));
    wait_until("the host is ready", || host.is_ready());
    let mut callers = Vec::new();
    wait_until("the upstream has sent all heads", || {
        let mut stream = connect(host.listen).unwrap();
        let id = format!("h{}", callers.len());
        stream.write_all(request("order", &id).replace("1200", "30000").as_bytes()).unwrap();
        callers.push(stream);
        // A host that is short of processor time refuses some.
        N_HELD
            <= upstream.n_sent.load(Ordering::Relaxed) + upstream.n_closed.load(Ordering::Relaxed)
    });
    let peak = host.peak_memory_mb();
    let n_requests = upstream.n_requests.load(Ordering::Relaxed);
    writeln!(io::stdout(), "{peak} MB with {n_requests} heads").unwrap();
    assert!(peak < MEMORY_MB, "{peak} MB");
    drop(callers);
}

/// Guards against a stream that stays at an upstream which sends bytes, but no event any more.
#[test]
fn stream_moves_on_from_an_event_without_end() {
    let mut fleet = Fleet::new(0, 1);
    let endless = Upstream::start(&fleet, "model", Answer::DripEvent);
    let host = start_host(&mut fleet, "retry_extra = 1000");
    let response = send_there(&host, &endless, "digest", "d");
    assert!(response.status == 200 && response.is_complete, "{}", response.text());
    assert_eq!(response.event_ids(), (1..=8).collect::<Vec<_>>());
}
