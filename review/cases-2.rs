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
        "cold-join" => cold_join(&record, trouble),
        "retry-budget" => retry_budget(&record, trouble),
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
    let callers: Vec<_> =
        hosts.iter().flat_map(|it| start_callers(record, it, &sent, &stop)).collect();
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
    let most = most_in_a_second(&cold, &sent, start);
    let line = format!(
        "i-cold-1 got {most} requests in one second while it was cold; the limit is {COLD_LIMIT:.2}"
    );
    println!("{line}");
    record.add(line);
    Ok(if (most as f64) <= COLD_LIMIT { PASS } else { FAIL })
}

/// Starts callers of a host, each with a connection of its own.
fn start_callers(
    record: &Arc<Record>,
    host: &Host,
    sent: &Arc<Mutex<HashMap<String, Duration>>>,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let start = |n: usize| {
        let (record, sent, stop) = (record.clone(), sent.clone(), stop.clone());
        let (address, name) = (host.listen, format!("{}-c{n}", host.name));
        thread::spawn(move || keep_asking(&record, address, &name, &sent, &stop))
    };
    (0..CALLERS).map(start).collect()
}

/// Returns the most requests that an upstream got in one second while it was cold: sent and arrived within
/// one second, which begins when one of them is sent.
fn most_in_a_second(
    upstream: &Upstream,
    sent: &HashMap<String, Duration>,
    start: Duration,
) -> usize {
    let arrivals = upstream.arrivals.lock().unwrap();
    let is_cold = |it: &&Arrival| it.at < start + COLD_TIME;
    let times: Vec<(Duration, Duration)> = arrivals
        .iter()
        .filter(is_cold)
        .filter_map(|it| Some((*sent.get(&it.id)?, it.at)))
        .collect();
    let in_second = |from: Duration| {
        let end = from + Duration::from_secs(1);
        times.iter().filter(|(sent, arrived)| from <= *sent && *arrived <= end).count()
    };
    times.iter().map(|it| in_second(it.0)).max().unwrap_or(0)
}

/// Upstreams that come back together, cold.
const N_RETURNING: usize = 12;
/// Hosts before and after some are added.
const N_HOSTS: (usize, usize) = (6, 10);

/// Hosts are added just after the upstreams of a data centre came back cold.
fn cold_join(record: &Arc<Record>, trouble: bool) -> io::Result<i32> {
    let store = Store::start()?;
    let work = |_: &Message| Answer { work: Duration::from_millis(60), status: 200, n_bytes: 800 };
    let start_all = |name: &str, n: usize| {
        (0..n)
            .map(|it| Upstream::start(&format!("i-{name}-{it}"), record, work))
            .collect::<io::Result<Vec<_>>>()
    };
    let (warm, cold) = (start_all("warm", 6)?, start_all("cold", N_RETURNING)?);
    let service = format!(",\"cold_start_s\":3,\"cold_per_s\":{COLD_PER_S}");
    store.put("op", "config", &config("safe", 1_500, 2, &service));
    for it in &warm {
        store.put("servers", &it.id, &it.entry("desk", 0));
    }
    let settings = SETTINGS
        .replace("memory_mb = 160", "memory_mb = 512")
        .replace("cpu_share = 0.12", "cpu_share = 0.5");
    let mut fleet = Fleet::new(&store, &settings)?;
    let mut hosts = (0..N_HOSTS.0)
        .map(|it| fleet.start(&format!("edge-{it}")))
        .collect::<io::Result<Vec<Host>>>()?;
    hosts.iter().try_for_each(Host::wait_until_ready)?;
    let (sent, stop) =
        (Arc::<Mutex<HashMap<String, Duration>>>::default(), Arc::<AtomicBool>::default());
    let mut callers: Vec<_> =
        hosts.iter().flat_map(|it| start_callers(record, it, &sent, &stop)).collect();
    thread::sleep(Duration::from_secs(4));
    record.add("the cold upstreams register");
    let start = record.now();
    for it in &cold {
        store.put("servers", &it.id, &it.entry("desk", COLD_TIME.as_millis() as u64));
    }
    thread::sleep(Duration::from_millis(400));
    if trouble {
        record.add("hosts are added");
        for n in N_HOSTS.0..N_HOSTS.1 {
            let host = fleet.start(&format!("edge-{n}"))?;
            callers.extend(start_callers(record, &host, &sent, &stop));
            hosts.push(host);
        }
    }
    thread::sleep((start + COLD_TIME).saturating_sub(record.now()) + Duration::from_millis(200));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| _ = it.join());
    drop(hosts);
    let sent = sent.lock().unwrap();
    let most: Vec<usize> = cold.iter().map(|it| most_in_a_second(it, &sent, start)).collect();
    let n_over = most.iter().filter(|it| COLD_LIMIT < **it as f64).count();
    let line = format!(
        "most requests in one second at each of the cold upstreams: {most:?}; the limit is {COLD_LIMIT:.2}; {n_over} are over it"
    );
    println!("{line}");
    record.add(line);
    Ok(if n_over == 0 { PASS } else { FAIL })
}

/// Arrivals allowed beyond the first of each request in [`BUDGET_WINDOW`], beside a part of the requests.
const BUDGET_EXTRA: f64 = 58.0;
/// That part.
const BUDGET_RATIO: f64 = 0.2;
/// Window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Time between two requests of the callers.
const ASK_PERIOD: Duration = Duration::from_millis(500);

/// Sends one safe request; retries it once, after the time that the host names.
fn ask_twice(record: &Record, host: SocketAddr, id: &str, sent: &Mutex<HashMap<String, Duration>>) {
    for attempt in 0..2 {
        let id = format!("{id}.{attempt}");
        let ask = || -> io::Result<Message> {
            let mut stream = TcpStream::connect(host)?;
            stream.set_read_timeout(Some(Duration::from_millis(1000)))?;
            sent.lock().unwrap().insert(id.clone(), record.now());
            send(&mut stream, "GET", "/r/", &id, 1_000)?;
            read_message(&mut BufReader::new(stream))?
                .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
        };
        let answer = ask();
        let status = answer.as_ref().map_or("no answer", |it| it.start.as_str());
        record.add(format!("caller got for {id}: {status}"));
        let Ok(answer) = answer else { return };
        if answer.start.contains(" 200") {
            return;
        }
        let secs: f64 = answer.header("retry-after").parse().unwrap_or(0.0);
        thread::sleep(Duration::from_secs_f64(secs.clamp(0.0, 0.3)));
    }
}

/// All hosts are killed and start again while the upstreams of a service are full.
fn retry_budget(record: &Arc<Record>, trouble: bool) -> io::Result<i32> {
    let store = Store::start()?;
    let full = |_: &Message| Answer { work: Duration::from_millis(2), status: 503, n_bytes: 0 };
    let names = ["i-desk-1", "i-desk-2", "i-desk-3"];
    let upstreams =
        names.iter().map(|it| Upstream::start(it, record, full)).collect::<io::Result<Vec<_>>>()?;
    store.put("op", "config", &config("safe", 1_000, 2, ""));
    for it in &upstreams {
        store.put("servers", &it.id, &it.entry("desk", 0));
    }
    let settings = SETTINGS.replace("retry_extra = 182", "retry_extra = 58");
    let mut fleet = Fleet::new(&store, &settings)?;
    let names = ["edge-1", "edge-2", "edge-3"];
    let mut hosts = names.iter().map(|it| fleet.start(it)).collect::<io::Result<Vec<Host>>>()?;
    hosts.iter().try_for_each(Host::wait_until_ready)?;
    thread::sleep(Duration::from_secs(3));
    let sent = Arc::<Mutex<HashMap<String, Duration>>>::default();
    let start = record.now();
    let mut callers = Vec::new();
    let mut is_due = trouble;
    for n in 0..40u32 {
        thread::sleep((start + ASK_PERIOD * n).saturating_sub(record.now()));
        if is_due && Duration::from_secs(14) < record.now() - start {
            is_due = false;
            record.add("all hosts are killed");
            hosts.iter_mut().for_each(Host::kill);
            thread::sleep(Duration::from_millis(50));
            hosts = names.iter().map(|it| fleet.start(it)).collect::<io::Result<Vec<Host>>>()?;
            record.add("all hosts start again");
        }
        let (record, sent) = (record.clone(), sent.clone());
        let host = hosts[n as usize % hosts.len()].listen;
        callers.push(thread::spawn(move || ask_twice(&record, host, &format!("check-{n}"), &sent)));
    }
    callers.into_iter().for_each(|it| _ = it.join());
    drop(hosts);
    let sent: Vec<Duration> = sent.lock().unwrap().values().copied().collect();
    let mut arrivals: Vec<Arrival> =
        upstreams.iter().flat_map(|it| it.arrivals.lock().unwrap().clone()).collect();
    arrivals.sort_by_key(|it| it.at);
    let mut seen = Vec::new();
    let mut repeats = Vec::new();
    for it in &arrivals {
        if seen.contains(&&it.id) { repeats.push(it.at) } else { seen.push(&it.id) }
    }
    let count = |times: &[Duration], from: Duration| {
        times.iter().filter(|it| from <= **it && **it < from + BUDGET_WINDOW).count() as f64
    };
    let excess = |from: Duration| {
        let earlier = [Duration::ZERO, BUDGET_WINDOW / 2, BUDGET_WINDOW];
        let requests =
            earlier.iter().map(|it| count(&sent, from.saturating_sub(*it))).fold(0.0, f64::max);
        (
            count(&repeats, from) - BUDGET_RATIO * requests - BUDGET_EXTRA,
            count(&repeats, from),
            requests,
        )
    };
    let worst = repeats
        .iter()
        .map(|it| excess(*it))
        .fold((f64::MIN, 0.0, 0.0), |a, b| if a.0 < b.0 { b } else { a });
    let line = format!(
        "{} repeats for {} requests in 10 s, {:.1} beyond the budget",
        worst.1, worst.2, worst.0
    );
    println!("{line}");
    record.add(line);
    Ok(if worst.0 <= 0.0 { PASS } else { FAIL })
}
