//! Logging as JSON lines, with an optional rate limit.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
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

/// Lines queued for a slow reader before further lines are omitted; 300 KB at 300 bytes each.
const MAX_QUEUED_LINES: usize = 1024;
/// Time for which lines are collected before they are written together.
pub const BATCH_PERIOD: Duration = Duration::from_millis(50);
/// Size of a burst that passes the rate limit, as the time in which the rate allows as many lines.
const BURST_TIME: Duration = Duration::from_secs(2);
/// Time between two lines of a message that are written beyond the rate: frequent messages must not crowd out
/// the one line on a rare decision.
const RESERVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two lines that report omitted lines.
const OMITTED_INTERVAL: Duration = Duration::from_secs(1);

/// Time until which lines are omitted, in milliseconds of [`clock::now`].
static OMITS_UNTIL_MS: AtomicU64 = AtomicU64::new(0);

/// Returns whether a line would be omitted now, so that its values need not be computed. It still has
/// to be logged, without them, to be counted.
///
/// # Examples
///
/// ```
/// assert!(!portfield_net::logs::omits_lines(), "no line was logged yet");
/// ```
pub fn omits_lines() -> bool {
    (clock::now().as_millis() as u64) < OMITS_UNTIL_MS.load(Ordering::Relaxed)
}

/// Writes logs to standard error, one JSON object per line.
pub fn init() {
    install(Stderr::default().with_layout(JsonLayout::default()));
}

/// Writes logs to standard output, one JSON object per line, at most `rate` lines per second.
///
/// Lines above the rate or behind a slow reader are omitted and counted. Logging never blocks on the
/// reader, as a separate thread writes the lines.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub fn init_rate_limited(rate: u32) -> io::Result<()> {
    let (sender, receiver) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
    thread::Builder::new().name("logs".to_owned()).spawn(move || {
        let mut out = io::stdout().lock();
        while let Ok(mut lines) = receiver.recv() {
            // One write for all lines of the period: each write costs a wake-up and a system call.
            thread::sleep(BATCH_PERIOD);
            receiver.try_iter().for_each(|it| lines.extend(it));
            // Standard output is closed, so there is nowhere to report the error.
            if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    })?;
    install(RateLimitedAppender::new(rate, sender));
    Ok(())
}

fn install(append: impl Into<Box<dyn Append>>) {
    logforth::starter_log::builder()
        .dispatch(|it| it.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(append))
        .apply();
}

/// A log appender that omits lines rather than block.
#[derive(Debug)]
pub struct RateLimitedAppender {
    layout: JsonLayout,
    sender: SyncSender<Vec<u8>>,
    limit: Mutex<RateLimit>,
}

/// Token bucket with one token per line, and the lines omitted since the last report.
#[derive(Debug)]
struct RateLimit {
    /// Lines per second.
    rate: f64,
    tokens: f64,
    refilled_at: Duration,
    /// When each message last used its reserve.
    reserve_used: BTreeMap<String, Duration>,
    /// Number of omitted lines by message.
    omitted: BTreeMap<String, u64>,
    reported_at: Duration,
}

impl RateLimit {
    /// Takes a line from the reserve of its message; returns whether there was one. A line without values stands for
    /// one that is omitted.
    fn take_reserve(&mut self, now: Duration, record: &Record<'_>) -> bool {
        if record.key_values().is_empty() {
            return false;
        }
        let message = record.payload().to_string();
        if self.reserve_used.get(&message).is_some_and(|it| now < *it + RESERVE_INTERVAL) {
            return false;
        }
        self.reserve_used.insert(message, now);
        true
    }
}

impl RateLimitedAppender {
    /// Creates an appender that sends at most `rate` lines per second to a channel.
    pub fn new(rate: u32, sender: SyncSender<Vec<u8>>) -> Self {
        let rate = f64::from(rate);
        let limit = RateLimit {
            rate,
            tokens: rate * BURST_TIME.as_secs_f64(),
            refilled_at: Duration::ZERO,
            reserve_used: BTreeMap::new(),
            omitted: BTreeMap::new(),
            reported_at: Duration::ZERO,
        };
        Self { layout: JsonLayout::default(), sender, limit: Mutex::new(limit) }
    }

    fn report_omitted(&self, limit: &mut RateLimit, now: Duration) {
        if limit.omitted.is_empty() || now < limit.reported_at + OMITTED_INTERVAL {
            return;
        }
        limit.reported_at = now;
        let line = serde_json::json!({ "message": "lines left out", "kvs": limit.omitted });
        if self.sender.try_send(format!("{line}\n").into_bytes()).is_ok() {
            limit.omitted.clear();
        }
    }
}

impl Append for RateLimitedAppender {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let now = clock::now();
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        let capacity = limit.rate * BURST_TIME.as_secs_f64();
        let refill = now.saturating_sub(limit.refilled_at).as_secs_f64() * limit.rate;
        limit.tokens = (limit.tokens + refill).min(capacity);
        limit.refilled_at = now;
        self.report_omitted(&mut limit, now);
        let mut is_sent = false;
        let is_within_rate = 1.0 <= limit.tokens;
        if is_within_rate || limit.take_reserve(now, record) {
            let mut line = self.layout.format(record, diags)?;
            line.push(b'\n');
            is_sent = self.sender.try_send(line).is_ok();
        }
        if is_sent && is_within_rate {
            limit.tokens -= 1.0;
        } else if !is_sent {
            let wait = Duration::from_secs_f64((1.0 - limit.tokens).max(0.0) / limit.rate);
            OMITS_UNTIL_MS.store((now + wait).as_millis() as u64, Ordering::Relaxed);
            *limit.omitted.entry(record.payload().to_string()).or_default() += 1;
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}
