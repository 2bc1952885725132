//! Short waits of many tasks that share one timer.
//!
//! A timer of its own costs each wait three system calls: the reactor is woken to learn of it. Where
//! hundreds of streams wait for a few tens of milliseconds, one task that ticks costs less.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use event_listener::{Event, EventListener};

/// Number of slots, one more than the number of ticks that a wait may last.
const N_SLOTS: usize = 16;

/// Longest wait in ticks.
pub const MAX_TICKS: usize = N_SLOTS - 1;

/// A timer that one task advances and on which any number of tasks wait.
///
/// # Examples
///
/// ```
/// use futures_lite::future;
/// use portfield_net::coarse_timer::CoarseTimer;
///
/// let timer = CoarseTimer::default();
/// let (short, long) = (timer.wait(1), timer.wait(2));
/// timer.advance();
/// future::block_on(short);
/// assert!(future::block_on(future::poll_once(long)).is_none(), "one tick is missing");
/// ```
#[derive(Debug, Default)]
pub struct CoarseTimer {
    n_ticks: AtomicUsize,
    /// The waits that end with a tick, by the number of that tick modulo [`N_SLOTS`].
    slots: [Event; N_SLOTS],
}

impl CoarseTimer {
    /// Ends the waits that are due with this tick.
    pub fn advance(&self) {
        let tick = self.n_ticks.fetch_add(1, Ordering::Relaxed) + 1;
        self.slots[tick % N_SLOTS].notify(usize::MAX);
    }

    /// Returns a wait that ends after a number of ticks, at least one and at most [`MAX_TICKS`].
    pub fn wait(&self, n_ticks: usize) -> EventListener {
        let tick = self.n_ticks.load(Ordering::Relaxed) + n_ticks.clamp(1, MAX_TICKS);
        self.slots[tick % N_SLOTS].listen()
    }
}

/// Waits of hyper, on a [`CoarseTimer`]: for timeouts that most connections set with each request and
/// that need no precision, such as the idle time.
///
/// # Examples
///
/// ```
/// use futures_lite::future;
/// use hyper::rt::Timer;
/// use portfield_net::coarse_timer::{CoarseTimer, HyperTimer};
/// use std::{sync::Arc, time::Duration};
///
/// let timer = Arc::new(CoarseTimer::default());
/// let hyper_timer = HyperTimer::new(timer.clone(), Duration::from_secs(1));
/// let mut sleep = hyper_timer.sleep(Duration::from_millis(1500));
/// for n in 0..3 {
///     assert!(future::block_on(future::poll_once(&mut sleep)).is_none(), "tick {n}");
///     timer.advance();
/// }
/// future::block_on(sleep);
/// ```
#[derive(Debug, Clone)]
pub struct HyperTimer {
    timer: Arc<CoarseTimer>,
    tick: Duration,
}

impl HyperTimer {
    /// Creates the timers that follow a timer which advances with the period `tick`.
    pub fn new(timer: Arc<CoarseTimer>, tick: Duration) -> Self {
        Self { timer, tick }
    }
}

impl hyper::rt::Timer for HyperTimer {
    fn sleep(&self, time: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        // One more, since the first tick may come at once.
        let n_left = (time.as_secs_f64() / self.tick.as_secs_f64()).ceil() as usize + 1;
        Box::pin(Sleep { timer: self.timer.clone(), n_left, wait: None })
    }

    fn sleep_until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.sleep(at.saturating_duration_since(Instant::now()))
    }
}

struct Sleep {
    timer: Arc<CoarseTimer>,
    /// Ticks left, those of the current wait not included.
    n_left: usize,
    wait: Option<EventListener>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(it) = &mut self.wait {
                ready!(Pin::new(it).poll(cx));
                self.wait = None;
            }
            if self.n_left == 0 {
                return Poll::Ready(());
            }
            let n_ticks = self.n_left.min(MAX_TICKS);
            self.n_left -= n_ticks;
            self.wait = Some(self.timer.wait(n_ticks));
        }
    }
}

impl hyper::rt::Sleep for Sleep {}
