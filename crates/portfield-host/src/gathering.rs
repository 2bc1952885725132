//! Holds back events of streams while this host is short of processor time, so that several are
//! forwarded with one write.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use event_listener::EventListener;
use portfield_net::coarse_timer::CoarseTimer;

use crate::state::Host;

/// Period of the timer on which all streams wait, and by which a wait is rounded.
pub(crate) const TICK: Duration = Duration::from_millis(25);
/// Longest time for which an event waits, as a part of the delay that callers accept: the rest is
/// for the way to the caller and for a host that is late.
const DELAY_PART: f64 = 0.4;
/// Longest time for which an event waits, as a part of the gap that its route allows.
const GAP_PART: f64 = 0.25;

/// How long streams gather their events at present.
#[derive(Debug, Default)]
pub(crate) struct Gathering {
    timer: CoarseTimer,
    /// Ticks for which events wait; zero if they do not.
    n_ticks: AtomicUsize,
}

impl Gathering {
    /// Ends the waits that are due, and sets for how long events wait from now on. `shortage` is the
    /// lack of processor time from 0 to 1, and `delay` what callers accept of an event.
    pub(crate) fn advance(&self, shortage: f64, delay: Duration) {
        let time = delay.mul_f64(DELAY_PART * shortage);
        self.n_ticks.store(whole_ticks(time), Ordering::Relaxed);
        self.timer.advance();
    }

    /// Returns for how long events wait at present.
    pub(crate) fn wait_time(&self) -> Duration {
        TICK * self.n_ticks.load(Ordering::Relaxed) as u32
    }

    /// Returns a wait in which a stream may gather events, if it may.
    fn wait(&self, max_gap: Option<Duration>) -> Option<EventListener> {
        let n_ticks = self.n_ticks.load(Ordering::Relaxed);
        let max = max_gap.map_or(n_ticks, |it| whole_ticks(it.mul_f64(GAP_PART)));
        let n_ticks = n_ticks.min(max);
        (0 < n_ticks).then(|| self.timer.wait(n_ticks))
    }
}

fn whole_ticks(time: Duration) -> usize {
    (time.as_secs_f64() / TICK.as_secs_f64()) as usize
}

impl Host {
    /// Returns a wait in which a stream of a route with this gap may gather events; `None` while
    /// this host has processor time left.
    pub(crate) fn gather_wait(&self, max_gap: Option<Duration>) -> Option<EventListener> {
        self.gathering.wait(max_gap)
    }
}
