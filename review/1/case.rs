//! Case 1: an upstream is killed in the middle of an answer that has no length, and the caller gets
//! the first half as a complete answer.

#[path = "../standins.rs"]
mod standins;

use std::{
    env,
    io::{self, BufRead, BufReader, Write},
    net::TcpStream,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use standins::{
    BROKEN, Ending, HELD, Host, Record, Store, TempDir, add_child, config, give_up, has_trouble,
    read_response, register, remove_child, request_head, serve_upstream, success_head,
};

/// Body of each answer; its first half is sent at once.
const FIRST_HALF: &str = "4 lintels of 1200 mm in block 17; ";
const SECOND_HALF: &str = "2 of them are reserved\n";
/// Time between the two halves.
const PAUSE: Duration = Duration::from_millis(600);
/// Time from the start of a request until its upstream is killed.
const KILLED_AFTER: Duration = Duration::from_millis(250);
/// Time that a caller waits for an answer.
const DEADLINE_MS: u64 = 3000;

fn main() {
    if let Some(id) = env::args().nth(1) {
        run_upstream(&id);
    }
    let record = Record::create("review/1/record.txt");
    let dir = TempDir::create().unwrap_or_else(|err| give_up(&err.to_string()));
    let code = run(&record, &dir).unwrap_or_else(|err| give_up(&err.to_string()));
    record.add(if code == HELD { "MIXED held" } else { "MIXED broken" });
    drop(dir);
    std::process::exit(code);
}

/// Runs an upstream as a process of its own; prints its address, then each request that it runs.
fn run_upstream(id: &str) -> ! {
    let name = id.to_owned();
    let respond = move |request: &standins::Message, stream: &mut TcpStream| {
        println!("{name} runs {}", request.header("attempt-id"));
        let head = success_head(&name, request, "Connection: close\r\n");
        stream.write_all((head + FIRST_HALF).as_bytes())?;
        thread::sleep(PAUSE);
        stream.write_all(SECOND_HALF.as_bytes())?;
        println!("{name} has sent all of {}", request.header("attempt-id"));
        Ok(false)
    };
    let address = serve_upstream(id, respond).unwrap_or_else(|err| give_up(&err.to_string()));
    println!("{address}");
    // The end of the case closes the input.
    let _ = io::stdin().read_line(&mut String::new());
    std::process::exit(0);
}

/// An upstream's process, killed when dropped.
struct Upstream {
    id: &'static str,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Upstream {
    fn start(id: &'static str, store: &Store, record: &Record) -> io::Result<Self> {
        let mut child = Command::new(env::current_exe()?)
            .arg(id)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        add_child(child.id());
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        let mut reader = BufReader::new(out).lines();
        let address = reader.next().ok_or_else(|| io::Error::other("no address"))??;
        let address = address.parse().map_err(io::Error::other)?;
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let (seen, log) = (lines.clone(), record.clone());
        thread::spawn(move || {
            for line in reader.map_while(Result::ok) {
                log.add(&format!("upstream {line}"));
                seen.lock().unwrap().push(line);
            }
        });
        register(store, id, "ledger", address, 6);
        Ok(Self { id, child, lines })
    }

    fn runs(&self, id: &str) -> bool {
        let line = format!("{} runs {id}", self.id);
        self.lines.lock().unwrap().contains(&line)
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        remove_child(self.child.id());
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.kill();
    }
}

fn run(record: &Record, dir: &TempDir) -> io::Result<i32> {
    let store = Store::start()?;
    store.put("op", "config", &config());
    let mut upstreams = [
        Upstream::start("i-ledger1", &store, record)?,
        Upstream::start("i-ledger2", &store, record)?,
        Upstream::start("i-ledger3", &store, record)?,
    ];
    let host = Host::start(dir, &store, "edge-kemnay-hall-1");
    record.add("host ready");
    let mut code = HELD;
    for (path, id) in [("/stock-check/lintels", "check"), ("/order-post/lintels", "order")] {
        let (address, log) = (host.listen, record.clone());
        let caller = thread::spawn(move || send(address, path, id, &log));
        if has_trouble() {
            kill_the_runner(&mut upstreams, id, record);
        }
        let res = caller.join().map_err(|_| io::Error::other("the caller failed"))??;
        record.add(&format!("caller of {id} gets {}", res.describe()));
        let is_whole = res.body == [FIRST_HALF, SECOND_HALF].concat().as_bytes();
        let is_success = res.head.first_line.contains(" 200");
        if is_success && res.ending == Ending::Complete && !is_whole {
            record.add(&format!("the body that {id} got is not the upstream's whole body"));
            code = BROKEN;
        }
        if !has_trouble() && !(is_success && is_whole) {
            give_up("an answer failed without a disruption");
        }
    }
    Ok(code)
}

fn send(
    address: std::net::SocketAddr,
    path: &str,
    id: &str,
    record: &Record,
) -> io::Result<standins::Received> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 1000)))?;
    record.add(&format!("caller sends {id}"));
    let head = request_head("POST", path, id, DEADLINE_MS, "Content-Length: 2\r\n");
    stream.write_all(format!("{head}{{}}").as_bytes())?;
    Ok(read_response(&mut stream, Duration::ZERO))
}

/// Kills the upstream that runs a request, once it has run for a while.
fn kill_the_runner(upstreams: &mut [Upstream], id: &str, record: &Record) {
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        if let Some(it) = upstreams.iter_mut().find(|it| it.runs(id)) {
            thread::sleep(KILLED_AFTER);
            record.add(&format!("SIGKILL to the upstream {}", it.id));
            it.kill();
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    give_up("no upstream ran the request");
}
