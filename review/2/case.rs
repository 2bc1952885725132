//! Case 2: a host that was told to stop takes an order on a kept channel, passes it on and ends
//! before it has passed the answer on.

#[path = "../standins.rs"]
mod standins;

use std::{
    io::{self, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use standins::{
    BROKEN, Ending, HELD, Host, Record, Store, TempDir, config, give_up, has_trouble,
    read_response, register, request_head, serve_upstream, success_head,
};

/// Time that the upstream works on an order.
const WORK: Duration = Duration::from_millis(800);
/// Time from SIGTERM to the order.
const ORDER_AFTER: Duration = Duration::from_millis(7000);
/// Time that the order's caller waits for the answer.
const DEADLINE_MS: u64 = 3000;
/// Time between two events of a stream, and their number.
const EVENT_GAP: Duration = Duration::from_millis(200);
const N_EVENTS: u32 = 50;

fn main() {
    let record = Record::create("review/2/record.txt");
    let dir = TempDir::create().unwrap_or_else(|err| give_up(&err.to_string()));
    let code = run(&record, &dir).unwrap_or_else(|err| give_up(&err.to_string()));
    record.add(if code == HELD { "LOST held" } else { "LOST broken" });
    drop(dir);
    std::process::exit(code);
}

fn run(record: &Record, dir: &TempDir) -> io::Result<i32> {
    let store = Store::start()?;
    store.put("op", "config", &config());
    let has_answered = Arc::new(AtomicBool::new(false));
    let (log, answered) = (record.clone(), has_answered.clone());
    let ledger = serve_upstream("i-ledger1", move |request, stream| {
        let id = request.header("attempt-id").to_owned();
        log.add(&format!("upstream i-ledger1 runs {id}: {}", request.first_line));
        let work = if id == "late-order" { WORK } else { Duration::from_millis(30) };
        thread::sleep(work);
        let body = format!("booked {id}");
        let rest = format!("Content-Length: {}\r\n", body.len());
        let sent = stream.write_all((success_head("i-ledger1", request, &rest) + &body).as_bytes());
        log.add(&format!("upstream i-ledger1 has done {id}, answer sent: {}", sent.is_ok()));
        answered.fetch_or(id == "late-order", Ordering::SeqCst);
        sent.map(|()| true)
    })?;
    let log = record.clone();
    let scribe = serve_upstream("i-scribe1", move |request, stream| {
        log.add(&format!("upstream i-scribe1 runs {}", request.header("attempt-id")));
        let rest = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        stream.write_all(success_head("i-scribe1", request, rest).as_bytes())?;
        for n in 1..=N_EVENTS {
            thread::sleep(EVENT_GAP);
            let event = format!("id: {n}\ndata: piece {n}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    })?;
    register(&store, "i-ledger1", "ledger", ledger, 6);
    register(&store, "i-scribe1", "scribe", scribe, 64);
    let mut host = Host::start(dir, &store, "edge-kemnay-hall-1");
    record.add("host ready");

    // A caller that keeps its channel.
    let mut kept = TcpStream::connect(host.listen)?;
    kept.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 2000)))?;
    send_order(&mut kept, record, "first-order")?;
    let first = read_response(&mut kept, Duration::ZERO);
    record.add(&format!("caller of first-order gets {}", first.describe()));
    if !first.head.first_line.contains(" 200") {
        give_up("the first order was not served");
    }
    // A long stream, which keeps the host running until the end of its grace period. It may be cut off
    // then: its upstream is still at work in the last sixth of that period.
    let (address, log) = (host.listen, record.clone());
    thread::spawn(move || {
        let rest = "Model: m\r\nToken-Count: 1460,150\r\nPrefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n\
                    Content-Length: 2\r\n";
        let head = request_head("POST", "/quote-draft/1", "long-stream", 12_000, rest);
        let mut stream = TcpStream::connect(address).unwrap();
        log.add("caller sends long-stream");
        stream.write_all(format!("{head}{{}}").as_bytes()).unwrap();
        let res = read_response(&mut stream, Duration::ZERO);
        log.add(&format!("caller of long-stream gets {} (not judged)", res.describe()));
    });
    thread::sleep(Duration::from_millis(500));
    if has_trouble() {
        record.add("SIGTERM to the host, grace_s = 8");
        host.signal("TERM");
    }
    thread::sleep(ORDER_AFTER);
    let sent_at = Instant::now();
    if let Err(err) = send_order(&mut kept, record, "late-order") {
        record.add(&format!("the channel was closed before the order: {err}"));
        return Ok(HELD);
    }
    let late = read_response(&mut kept, Duration::ZERO);
    let took = sent_at.elapsed();
    record.add(&format!("caller of late-order gets {}, after {took:?}", late.describe()));
    if has_trouble() {
        let has_ended = host.wait_for_exit(Duration::from_secs(3));
        record.add(&format!("host ended by itself: {has_ended}"));
    }
    thread::sleep(WORK);
    let was_run = has_answered.load(Ordering::SeqCst);
    let in_time = took < Duration::from_millis(DEADLINE_MS);
    let is_lost = late.ending != Ending::Complete && was_run && in_time;
    Ok(if is_lost { BROKEN } else { HELD })
}

fn send_order(stream: &mut TcpStream, record: &Record, id: &str) -> io::Result<()> {
    let body = "two lintels";
    let rest = format!("Content-Length: {}\r\n", body.len());
    let head = request_head("POST", "/order-post/lintels", id, DEADLINE_MS, &rest);
    record.add(&format!("caller sends {id}"));
    stream.write_all((head + body).as_bytes())
}
