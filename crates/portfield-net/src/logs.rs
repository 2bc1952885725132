//! Logs as JSON lines.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        mpsc::{SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use logforth::{
    Append, Diagnostic, Error, Layout,
    append::Stderr,
    layout::JsonLayout,
    record::{Level, LevelFilter, Record},
};

use crate::clock;

/// Lines that wait for a slow reader before more are left out; at 300 bytes each, 300 KB.
const QUEUED_LINES: usize = 1024;
/// Time for which lines are gathered before they are written together.
pub const BATCH_PERIOD: Duration = Duration::from_millis(50);
/// Time over which a burst above the rate is let through.
const BURST: Duration = Duration::from_secs(2);
/// Time between two lines that tell what was left out.
const OMITTED_PERIOD: Duration = Duration::from_secs(1);

/// Sends the process's logs to standard error, one JSON object a line.
pub fn init() {
    apply(Stderr::default().with_layout(JsonLayout::default()));
}

/// Sends the process's logs to standard output, one JSON object a line, at most `lines_s` a
/// second; what is above that, or what a slow reader holds up, is left out and counted.
///
/// Nothing that logs ever waits for the reader: a thread of its own writes.
///
/// # Errors
///
/// Where the thread cannot be started.
pub fn init_rate_limited(lines_s: u32) -> io::Result<()> {
    let (sender, receiver) = sync_channel::<Vec<u8>>(QUEUED_LINES);
    thread::Builder::new().name("logs".to_owned()).spawn(move || {
        let mut out = io::stdout().lock();
        while let Ok(mut lines) = receiver.recv() {
            // One write for what came meanwhile: each costs a wake-up and a system call.
            thread::sleep(BATCH_PERIOD);
            receiver.try_iter().for_each(|it| lines.extend(it));
            // Nobody is left to tell where standard output is closed.
            if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    })?;
    apply(RateLimitedAppender::new(lines_s, sender));
    Ok(())
}

fn apply(append: impl Into<Box<dyn Append>>) {
    logforth::starter_log::builder()
        .dispatch(|it| it.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(append))
        .apply();
}

/// An appender that leaves out lines rather than wait.
#[derive(Debug)]
pub struct RateLimitedAppender {
    layout: JsonLayout,
    sender: SyncSender<Vec<u8>>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    lines_s: f64,
    allowance: f64,
    at: Duration,
    omitted: BTreeMap<String, u64>,
    told: Duration,
}

impl RateLimitedAppender {
    /// Builds an appender that hands at most `lines_s` lines a second to a channel.
    pub fn new(lines_s: u32, sender: SyncSender<Vec<u8>>) -> Self {
        let lines_s = f64::from(lines_s);
        let state = State {
            lines_s,
            allowance: lines_s * BURST.as_secs_f64(),
            at: Duration::ZERO,
            omitted: BTreeMap::new(),
            told: Duration::ZERO,
        };
        Self { layout: JsonLayout::default(), sender, state: Mutex::new(state) }
    }

    fn tell_omitted(&self, state: &mut State, now: Duration) {
        if state.omitted.is_empty() || now < state.told + OMITTED_PERIOD {
            return;
        }
        state.told = now;
        let line = serde_json::json!({ "message": "lines left out", "kvs": state.omitted });
        if self.sender.try_send(format!("{line}\n").into_bytes()).is_ok() {
            state.omitted.clear();
        }
    }
}

impl Append for RateLimitedAppender {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let now = clock::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let most = state.lines_s * BURST.as_secs_f64();
        let earned = now.saturating_sub(state.at).as_secs_f64() * state.lines_s;
        state.allowance = (state.allowance + earned).min(most);
        state.at = now;
        self.tell_omitted(&mut state, now);
        let mut sent = false;
        if 1.0 <= state.allowance {
            let mut line = self.layout.format(record, diags)?;
            line.push(b'\n');
            sent = self.sender.try_send(line).is_ok();
        }
        if sent {
            state.allowance -= 1.0;
        } else {
            *state.omitted.entry(record.payload().to_string()).or_default() += 1;
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}
