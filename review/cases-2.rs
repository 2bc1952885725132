//! The cases of the second review: what is done, and the check of the rule.

use std::sync::atomic::{AtomicBool, Ordering};

use super::*;

/// Settings as `deploy/host.toml.in` gives them at ferreyra-portfield-grown, without the addresses.
const SETTINGS: &str = "grace_s = 8
retry_ratio = 0.2
retry_extra = 182
retry_window_s = 10
share_window_s = 4
contact_ms = 4000
cache_transfer = \"on\"
engine_speed = \"off\"
capacity_shares = \"off\"
memory_limits = \"on\"
spread_placement = \"on\"
ingress_balance = \"off\"
event_delay_ms = 0
memory_mb = 160
cpu_share = 0.12
cold_overrun = 1.5
cold_slack = 5
";

/// Runs a case by its name; returns the exit code.
pub fn run(name: &str, trouble: bool) -> io::Result<i32> {
    let record = Record::new();
    let code = match name {
        "slow-reader" => slow_reader(&record, trouble),
        "cold-restart" => cold_restart(&record, trouble),
        _ => Err(io::Error::other("no case has that name")),
    };
    record.save()?;
    code
}

/// Returns a configuration with one route to one plain service.
fn config(kind: &str, timeout_ms: u64, max_attempts: u32, service: &str) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r\",\"host\":\"x.example\",\"prefix\":\"/r/\",\"route_kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\",\
         \"max_attempts\":{max_attempts},\"public\":true,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":110{service}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"a\",\"api_keys\":[\"key-a\"]}}]}}"
    )
}

/// Sends a request on a connection.
fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
) -> io::Result<()> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: x.example\r\nattempt-id: {id}\r\ndeadline-ms: {deadline_ms}\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes())
}

/// Time between two reads of a slow caller.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Bytes that it reads each time.
const READ_BYTES: usize = 50_000;
/// Size of the answer to a large request.
const LARGE: usize = 1_000_000;

/// What a caller got of an answer.
struct Received {
    id: String,
    /// Status line, empty if there was no answer.
    status: String,
    announced: usize,
    n_bytes: usize,
    took: Duration,
}

/// Sends an order for a large answer on a kept connection, and reads the answer slowly.
fn read_slowly(record: &Record, mut stream: TcpStream, id: &str) -> io::Result<Received> {
    let start = Instant::now();
    record.add(format!("caller sends {id}"));
    send(&mut stream, "POST", "/r/large", id, 12_000)?;
    let mut reader = BufReader::with_capacity(1024, stream);
    let head = read_head(&mut reader)?.unwrap_or_default();
    let announced = head.header("content-length").parse().unwrap_or(0);
    let mut n_bytes = 0;
    while n_bytes < announced {
        let mut part = vec![0; READ_BYTES.min(announced - n_bytes)];
        let mut filled = 0;
        while filled < part.len() {
            match reader.read(&mut part[filled..]) {
                Ok(0) | Err(_) => break,
                Ok(n) => filled += n,
            }
        }
        n_bytes += filled;
        if filled < part.len() {
            break;
        }
        thread::sleep(READ_PAUSE);
    }
    let took = start.elapsed();
    record.add(format!(
        "caller got for {id}: {} with {n_bytes} of {announced} bytes in {} ms",
        head.start,
        took.as_millis()
    ));
    Ok(Received { id: id.to_owned(), status: head.start, announced, n_bytes, took })
}

/// A host gets SIGTERM while callers that read slowly take large answers on kept connections.
fn slow_reader(record: &Arc<Record>, trouble: bool) -> io::Result<i32> {
    let store = Store::start()?;
    let upstream = Upstream::start("i-desk-1", record, |request| Answer {
        work: Duration::from_millis(30),
        status: 200,
        n_bytes: if request.target().ends_with("large") { LARGE } else { 800 },
    })?;
    store.put("op", "config", &config("unsafe", 12_000, 1, ""));
    store.put("servers", &upstream.id, &upstream.entry("desk", 0));
    let mut fleet = Fleet::new(&store, SETTINGS)?;
    let mut host = fleet.start("edge-1")?;
    let other = fleet.start("edge-2")?;
    host.wait_until_ready()?;
    other.wait_until_ready()?;
    // Times after SIGTERM at which the callers send; the platform still sends some there.
    let times = [0, 500, 1000, 1500, 2000, 2300];
    let mut kept = Vec::new();
    for n in 0..times.len() {
        let mut stream = TcpStream::connect(host.listen)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        send(&mut stream, "POST", "/r/small", &format!("small-{n}"), 1_000)?;
        let answer = read_message(&mut BufReader::new(stream.try_clone()?))?.unwrap_or_default();
        record.add(format!("caller got for small-{n}: {}", answer.start));
        kept.push(stream);
    }
    thread::sleep(Duration::from_secs(4));
    let start = Instant::now();
    if trouble {
        record.add("SIGTERM to edge-1");
        host.signal("-TERM");
    }
    let mut callers = Vec::new();
    for (n, (time, stream)) in times.into_iter().zip(kept).enumerate() {
        thread::sleep(Duration::from_millis(time).saturating_sub(start.elapsed()));
        let record = record.clone();
        callers.push(thread::spawn(move || read_slowly(&record, stream, &format!("large-{n}"))));
    }
    let mut ended_at = None;
    while trouble && ended_at.is_none() && start.elapsed() < Duration::from_secs(9) {
        if host.has_ended() {
            ended_at = Some(start.elapsed());
            record.add("edge-1 has ended");
        }
        thread::sleep(Duration::from_millis(10));
    }
    let mut n_cut = 0;
    for caller in callers {
        let it = caller.join().map_err(|_| io::Error::other("a caller panicked"))??;
        let has_begun = upstream.arrivals.lock().unwrap().iter().any(|arrival| arrival.id == it.id);
        let is_whole = it.status.contains(" 200") && it.n_bytes == it.announced;
        if has_begun && !is_whole {
            n_cut += 1;
            println!(
                "broken: {} ran, and its caller got {} of {} bytes in {} ms",
                it.id,
                it.n_bytes,
                it.announced,
                it.took.as_millis()
            );
        }
    }
    if let Some(it) = ended_at {
        println!("edge-1 ended {} ms after SIGTERM, of 8000 ms of grace", it.as_millis());
    }
    println!("{n_cut} of {} answers were cut", times.len());
    Ok(if n_cut == 0 { PASS } else { FAIL })
}

/// Requests a second that a cold upstream takes, at craigmhor-portfield-now-grown.
const COLD_PER_S: f64 = 6.1;
/// Time for which an upstream is cold after its start.
const COLD_TIME: Duration = Duration::from_millis(3000);
/// Requests that a cold upstream may get in one second: `cold_per_s` x `cold_overrun` + `cold_slack`.
const COLD_LIMIT: f64 = COLD_PER_S * 1.5 + 5.0;
/// Callers at each host.
const CALLERS: usize = 6;

/// Sends safe requests to a host one after another, each on a new connection where the last one ended.
fn keep_asking(
    record: &Record,
    host: SocketAddr,
    caller: &str,
    sent: &Mutex<HashMap<String, Duration>>,
    stop: &AtomicBool,
) {
    let mut stream: Option<BufReader<TcpStream>> = None;
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{caller}-{n}");
        let mut ask = || -> io::Result<Message> {
            if stream.is_none() {
                let it = TcpStream::connect(host)?;
                it.set_read_timeout(Some(Duration::from_millis(1500)))?;
                stream = Some(BufReader::new(it));
            }
            let it = stream.as_mut().ok_or(io::ErrorKind::NotConnected)?;
            sent.lock().unwrap().insert(id.clone(), record.now());
            send(it.get_mut(), "GET", "/r/", &id, 1_500)?;
            read_message(it)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
        };
        match ask() {
            Ok(it) if it.header("connection").is_empty() && it.start.contains(" 200") => {}
            Ok(it) => {
                stream = None;
                let secs: f64 = it.header("retry-after").parse().unwrap_or(0.0);
                thread::sleep(Duration::from_secs_f64(secs.clamp(0.02, 0.5)));
            }
            Err(_) => {
                stream = None;
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

/// All hosts are killed and start again while an upstream is cold.
fn cold_restart(record: &Arc<Record>, trouble: bool) -> io::Result<i32> {
    let store = Store::start()?;
    let work = |_: &Message| Answer { work: Duration::from_millis(60), status: 200, n_bytes: 800 };
    let warm =
        [Upstream::start("i-warm-1", record, work)?, Upstream::start("i-warm-2", record, work)?];
    let cold = Upstream::start("i-cold-1", record, work)?;
    let service = format!(",\"cold_start_s\":3,\"cold_per_s\":{COLD_PER_S}");
    store.put("op", "config", &config("safe", 1_500, 2, &service));
    for it in &warm {
        store.put("servers", &it.id, &it.entry("desk", 0));
    }
    let mut fleet = Fleet::new(&store, SETTINGS)?;
    let names = ["edge-1", "edge-2", "edge-3"];
    let mut hosts = names.iter().map(|it| fleet.start(it)).collect::<io::Result<Vec<Host>>>()?;
    hosts.iter().try_for_each(Host::wait_until_ready)?;
    let (sent, stop) =
        (Arc::<Mutex<HashMap<String, Duration>>>::default(), Arc::<AtomicBool>::default());
    let mut callers = Vec::new();
    for host in &hosts {
        for n in 0..CALLERS {
            let (record, sent, stop) = (record.clone(), sent.clone(), stop.clone());
            let (address, name) = (host.listen, format!("{}-c{n}", host.name));
            callers.push(thread::spawn(move || keep_asking(&record, address, &name, &sent, &stop)));
        }
    }
    thread::sleep(Duration::from_secs(4));
    record.add("i-cold-1 registers, cold");
    let start = record.now();
    store.put("servers", &cold.id, &cold.entry("desk", COLD_TIME.as_millis() as u64));
    while cold.arrivals.lock().unwrap().is_empty() && record.now() < start + COLD_TIME {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(150));
    if trouble {
        record.add("all hosts are killed");
        hosts.iter_mut().for_each(Host::kill);
        thread::sleep(Duration::from_millis(50));
        hosts = names.iter().map(|it| fleet.start(it)).collect::<io::Result<Vec<Host>>>()?;
        record.add("all hosts start again");
    }
    thread::sleep((start + COLD_TIME).saturating_sub(record.now()) + Duration::from_millis(200));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| _ = it.join());
    drop(hosts);
    let sent = sent.lock().unwrap();
    let arrivals = cold.arrivals.lock().unwrap();
    let is_cold = |it: &&Arrival| it.at < start + COLD_TIME;
    let times: Vec<(Duration, Duration)> = arrivals
        .iter()
        .filter(is_cold)
        .filter_map(|it| Some((*sent.get(&it.id)?, it.at)))
        .collect();
    // Sent and arrived within one second, which begins when one of them is sent.
    let in_second = |from: Duration| {
        let end = from + Duration::from_secs(1);
        times.iter().filter(|(sent, arrived)| from <= *sent && *arrived <= end).count()
    };
    let most = times.iter().map(|it| in_second(it.0)).max().unwrap_or(0);
    let line = format!(
        "i-cold-1 got {} requests while it was cold, {most} of them in one second; the limit is {COLD_LIMIT:.2}",
        times.len()
    );
    println!("{line}");
    record.add(line);
    Ok(if (most as f64) <= COLD_LIMIT { PASS } else { FAIL })
}
