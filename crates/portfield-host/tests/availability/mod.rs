//! Checks that hosts serve requests at any time of a soak test in which an upstream of the service is available.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use portfield_net::clock;

use crate::self_reports::Interval;

/// Time within which a change that the store has acknowledged is in force at all hosts, as the platform requires.
const IN_FORCE_AFTER: Duration = Duration::from_secs(2);
/// Length of the time slices in which requests are counted.
const SLICE: Duration = Duration::from_millis(500);
/// Number of requests from which a slice is judged.
const MIN_REQUESTS: usize = 8;
/// Time after its start in which a host may refuse requests.
pub const START_TIME: Duration = Duration::from_secs(1);
/// Time after a suspension in which a host may refuse requests, until it has heard what has changed.
pub const RESUME_TIME: Duration = Duration::from_millis(500);

/// Request as the check sees it.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    pub service: &'static str,
    pub host: SocketAddr,
    pub sent: Duration,
    pub ended: Duration,
    pub is_served: bool,
}

/// How much an upstream's own fault keeps it from serving requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FaultExtent {
    #[default]
    None,
    /// It serves some requests.
    Partial,
    /// It serves none.
    Full,
}

/// Condition of an upstream, as the test has set it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Condition {
    pub fault: FaultExtent,
    pub has_link_fault: bool,
    pub is_draining: bool,
    /// Time for which it asked hosts to back off.
    pub backoff: Duration,
}

impl Condition {
    /// Returns whether it serves requests as well as ever.
    fn is_available(&self) -> bool {
        self.may_serve() && self.fault == FaultExtent::None
    }

    /// Returns whether it serves at least some requests.
    fn may_serve(&self) -> bool {
        self.fault != FaultExtent::Full && !self.has_link_fault && !self.is_draining
    }
}

/// Times in which a condition held for each upstream.
#[derive(Debug)]
struct Windows {
    holds: fn(&Condition) -> bool,
    /// Time from the beginning of the condition to that of the window.
    delay: Duration,
    /// Starts of the windows that are open, by the upstream's index.
    open: Vec<Option<Duration>>,
    closed: Vec<(usize, Interval)>,
}

impl Windows {
    fn new(n: usize, delay: Duration, holds: fn(&Condition) -> bool) -> Self {
        Self { holds, delay, open: vec![Some(clock::now()); n], closed: Vec::new() }
    }

    fn close(&mut self, index: usize) {
        let end = clock::now();
        let start = self.open[index].take();
        if let Some(start) = start.filter(|it| *it < end) {
            self.closed.push((index, Interval { start, end }));
        }
    }

    /// Closes the window of an upstream; opens another one if its condition holds and hosts can hear of it.
    fn restart(&mut self, index: usize, condition: &Condition, is_store_lost: bool) {
        self.close(index);
        if (self.holds)(condition) && !is_store_lost {
            self.open[index] = Some(clock::now() + condition.backoff + self.delay);
        }
    }

    fn update(&mut self, index: usize, old: &Condition, new: &Condition, is_store_lost: bool) {
        if (self.holds)(old) != (self.holds)(new) {
            self.restart(index, new, is_store_lost);
        }
    }

    /// Opens the windows of upstreams that changed while the store was lost.
    fn open_unknown(&mut self, conditions: &[Condition]) {
        for (index, it) in conditions.iter().enumerate() {
            if self.open[index].is_none() {
                self.restart(index, it, false);
            }
        }
    }
}

/// When each upstream was available, and known to be for as long as hosts may take to hear of it.
#[derive(Debug)]
pub struct Availability {
    /// Names of the upstreams' services, by index.
    services: Vec<&'static str>,
    conditions: Vec<Condition>,
    /// Times in which an upstream must be used.
    must_serve: Windows,
    /// Times in which an upstream served at least some requests.
    may_serve: Windows,
    is_store_lost: bool,
    /// Times in which a host may refuse requests.
    exempt: Vec<(SocketAddr, Interval)>,
    /// End of the record: all faults are cleared right after it.
    end: Option<Duration>,
}

impl Availability {
    /// Starts with upstreams of these services that all hosts know.
    pub fn new(services: Vec<&'static str>) -> Self {
        let n = services.len();
        Self {
            services,
            conditions: vec![Condition::default(); n],
            must_serve: Windows::new(n, IN_FORCE_AFTER, Condition::is_available),
            may_serve: Windows::new(n, Duration::ZERO, Condition::may_serve),
            is_store_lost: false,
            exempt: Vec::new(),
            end: None,
        }
    }

    /// Changes the condition of an upstream.
    pub fn update(&mut self, index: usize, f: impl FnOnce(&mut Condition)) {
        let old = self.conditions[index];
        f(&mut self.conditions[index]);
        let new = self.conditions[index];
        self.must_serve.update(index, &old, &new, self.is_store_lost);
        self.may_serve.update(index, &old, &new, self.is_store_lost);
    }

    /// Records that an upstream restarted: as a new incarnation, without its earlier faults of its own.
    pub fn restart(&mut self, index: usize) {
        let has_link_fault = self.conditions[index].has_link_fault;
        self.conditions[index] = Condition { has_link_fault, ..Condition::default() };
        self.restart_windows(index);
    }

    /// Records that the store does not answer as usual.
    pub fn lose_store(&mut self) {
        self.is_store_lost = true;
    }

    /// Records that the store answers again.
    pub fn recover_store(&mut self) {
        if std::mem::take(&mut self.is_store_lost) {
            self.must_serve.open_unknown(&self.conditions);
            self.may_serve.open_unknown(&self.conditions);
        }
    }

    /// Records that the store was restored from a backup, which may have held an outdated entry of each upstream.
    pub fn restore_store(&mut self) {
        self.is_store_lost = false;
        (0..self.conditions.len()).for_each(|it| self.restart_windows(it));
    }

    /// Records that a host may refuse requests from `start` until `time` from now.
    pub fn exempt_host(&mut self, host: SocketAddr, start: Duration, time: Duration) {
        self.exempt.push((host, Interval { start, end: clock::now() + time }));
    }

    /// Ends the record; no window goes on.
    pub fn finish(&mut self) {
        self.end = Some(clock::now());
        for index in 0..self.conditions.len() {
            self.must_serve.close(index);
            self.may_serve.close(index);
        }
    }

    /// Describes where too few requests were served: a quarter of those sent while an upstream of their service served
    /// any, and a quarter by each host in each slice of each window in which one had to be used.
    pub fn find_violations(&self, attempts: &[Attempt]) -> Vec<String> {
        let mut res = Vec::new();
        let servable: Vec<&Attempt> = attempts.iter().filter(|it| self.may_be_served(it)).collect();
        let n_served = servable.iter().filter(|it| it.is_served).count();
        if n_served * 4 < servable.len() {
            res.push(format!("only {n_served} of {} requests were served", servable.len()));
        }
        let mut counts = self.slice_counts(attempts);
        counts.retain(|_, (n_served, n)| *n_served * 4 < *n);
        res.extend(counts.into_iter().map(|((index, end, host), (n_served, n))| {
            format!(
                "only {n_served} of {n} requests to {} were served by host {host} in the {SLICE:?} up to {end:?}, \
                 while upstream {index} was available",
                self.services[index]
            )
        }));
        res
    }

    /// Returns the number of slices that were judged, each of a host and a window of an upstream.
    pub fn n_judged_slices(&self, attempts: &[Attempt]) -> usize {
        self.slice_counts(attempts).len()
    }

    /// Returns whether an upstream was available at a time, and known to be for as long as hosts may take to hear of it.
    pub fn was_available(&self, index: usize, at: Duration) -> bool {
        let windows = self.must_serve.closed.iter().filter(|it| it.0 == index);
        windows.into_iter().any(|it| it.1.start <= at && at <= it.1.end)
    }

    /// Returns the served and all requests of each slice with enough of them.
    fn slice_counts(
        &self,
        attempts: &[Attempt],
    ) -> BTreeMap<(usize, Duration, SocketAddr), (usize, usize)> {
        let mut res: BTreeMap<_, (usize, usize)> = BTreeMap::new();
        for it in attempts.iter().filter(|it| !self.is_exempt(it)) {
            for key in self.slices(it) {
                let (n_served, n) = res.entry(key).or_default();
                *n_served += usize::from(it.is_served);
                *n += 1;
            }
        }
        res.retain(|_, (_, n)| MIN_REQUESTS <= *n);
        res
    }

    /// Returns whether an upstream of its service served at least some requests when it was sent, or after the end of
    /// the record.
    fn may_be_served(&self, it: &Attempt) -> bool {
        let mut windows = self.windows(&self.may_serve, it.service);
        self.end.is_some_and(|end| end < it.sent)
            || windows.any(|(_, w)| w.start <= it.sent && it.sent <= w.end)
    }

    /// Returns the slices of windows that a request belongs to: the upstream's index, the slice's end and the host.
    fn slices(&self, it: &Attempt) -> Vec<(usize, Duration, SocketAddr)> {
        let slice_end = |(index, w): (usize, Interval)| {
            let n = it.sent.checked_sub(w.start)?.as_millis() / SLICE.as_millis();
            let end = w.start + SLICE * (n as u32 + 1);
            (end <= w.end && it.ended <= w.end).then_some((index, end, it.host))
        };
        self.windows(&self.must_serve, it.service).filter_map(slice_end).collect()
    }

    fn windows<'a>(
        &'a self,
        windows: &'a Windows,
        service: &'static str,
    ) -> impl Iterator<Item = (usize, Interval)> + 'a {
        windows.closed.iter().copied().filter(move |it| self.services[it.0] == service)
    }

    /// Returns whether the host of a request may refuse it.
    pub fn is_exempt(&self, it: &Attempt) -> bool {
        let is_in = |at: &Interval| at.start <= it.ended && it.sent <= at.end;
        self.exempt.iter().any(|(host, at)| *host == it.host && is_in(at))
    }

    fn restart_windows(&mut self, index: usize) {
        let condition = self.conditions[index];
        self.must_serve.restart(index, &condition, self.is_store_lost);
        self.may_serve.restart(index, &condition, self.is_store_lost);
    }
}
