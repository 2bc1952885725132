//! Slots of the upstreams of one shard: free, used, lent or in doubt.
//!
//! A slot is in doubt, or doubtful, if a request may still run in it that no known router or borrower
//! holds.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use crate::{
    fleet::Upstream,
    ids::{LoanId, UpstreamId},
};

/// Longest time by which an upstream's load report lags. If reports lagged longer, a slot in doubt
/// could be granted while its request still runs; a larger value leaves slots idle after faults.
const MAX_REPORT_LAG: Duration = Duration::from_millis(300);
/// Time after which a slot in doubt is free, whatever the load reports say.
const DOUBT_TIMEOUT: Duration = Duration::from_secs(30);
/// Age of the latest load report beyond which its upstream gets no requests.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Pause after a failure; doubles with each further one.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// Load that an upstream chosen by prefix may have, in quarters of the mean load.
const LOAD_BOUND_QUARTERS: u32 = 5;
/// Prefixes remembered per shard; beyond it the oldest is dropped.
const MAX_PREFIXES: usize = 4096;
/// Factor by which the adaptive limit decreases if the inter-token latency is above its target.
const DECREASE_FACTOR: f64 = 0.9;
/// Lower bound of the adaptive limit, as a fraction of the configured slots.
const MIN_LIMIT_RATIO: f64 = 0.25;
/// Shortest time between two decreases, so that the effect of one is measured before the next.
const DECREASE_PERIOD: Duration = Duration::from_secs(2);

/// Result of a health check of an upstream, which also reports its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answered.
    Up {
        /// Running requests; the value may lag.
        running: u32,
        /// Whether it is shutting down and accepts no new requests.
        leaving: bool,
    },
    /// It did not answer.
    Down,
}

/// Slots of one upstream, and whether they may be granted.
#[derive(Debug, Clone)]
struct UpstreamSlots {
    /// Configured number of slots.
    slots: u32,
    /// Whether the configuration says that it is leaving.
    is_leaving: bool,
    /// Whether its latest health check says so.
    reports_leaving: bool,
    /// Adaptive limit on concurrent requests.
    limit: f64,
    /// When the limit was last decreased.
    decreased_at: Duration,
    used: u32,
    /// Lent slots, each with the time of its loan.
    lent: HashMap<LoanId, Duration>,
    /// Number of slots in doubt.
    in_doubt: u32,
    /// When a slot last came to be in doubt.
    doubt_since: Duration,
    /// Number of used and lent slots after each change; older changes than [`MAX_REPORT_LAG`] are
    /// dropped but for the latest one.
    usage_history: VecDeque<(Duration, u32)>,
    /// When it last answered a health check.
    reported_at: Option<Duration>,
    is_down: bool,
    /// Consecutive failed requests.
    n_failures: u32,
    paused_until: Duration,
}

impl UpstreamSlots {
    fn load(&self) -> u32 {
        self.used + self.lent.len() as u32 + self.in_doubt
    }

    fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    fn is_available(&self, now: Duration) -> bool {
        let is_fresh = self.reported_at.is_some_and(|it| now <= it + MAX_REPORT_AGE);
        is_fresh
            && !self.is_down
            && !self.is_leaving
            && !self.reports_leaving
            && self.paused_until <= now
    }

    fn n_free(&self, now: Duration) -> u32 {
        if self.is_available(now) { self.limit().saturating_sub(self.load()) } else { 0 }
    }
}

/// The slots of one shard.
#[derive(Debug, Clone, Default)]
pub struct Slots {
    upstreams: BTreeMap<UpstreamId, UpstreamSlots>,
    /// Upstream last chosen for each prefix.
    prefixes: HashMap<u32, UpstreamId>,
    /// The same prefixes in order of insertion.
    prefix_order: VecDeque<u32>,
}

impl Slots {
    /// Sets the configured upstreams; those already known keep their state.
    pub fn configure<'a>(&mut self, now: Duration, list: impl Iterator<Item = &'a Upstream>) {
        let mut old = std::mem::take(&mut self.upstreams);
        for it in list {
            let mut entry = old.remove(&it.id).unwrap_or_else(|| UpstreamSlots {
                slots: it.slots,
                is_leaving: it.leaving,
                reports_leaving: false,
                limit: f64::from(it.slots),
                decreased_at: now,
                used: 0,
                lent: HashMap::new(),
                in_doubt: 0,
                doubt_since: now,
                usage_history: VecDeque::new(),
                reported_at: None,
                is_down: false,
                n_failures: 0,
                paused_until: Duration::ZERO,
            });
            if entry.slots != it.slots {
                entry.limit = f64::from(it.slots);
            }
            entry.slots = it.slots;
            entry.is_leaving = it.leaving;
            self.upstreams.insert(it.id, entry);
        }
    }

    /// Returns whether any slot is free.
    pub fn has_free(&self, now: Duration) -> bool {
        self.upstreams.values().any(|it| 0 < it.n_free(now))
    }

    /// Returns the number of free slots.
    pub fn n_free(&self, now: Duration) -> u32 {
        self.upstreams.values().map(|it| it.n_free(now)).sum()
    }

    /// Returns the number of configured slots, and of those used, lent or in doubt.
    pub fn usage(&self) -> (u32, u32) {
        let total = self.upstreams.values().map(|it| it.slots).sum();
        let used = self.upstreams.values().map(UpstreamSlots::load).sum();
        (total, used)
    }

    /// Chooses an upstream with a free slot: the one last chosen for the prefix unless its load is
    /// well above the mean, otherwise the least loaded. A `prefix` of zero means none.
    ///
    /// The bound is that of consistent hashing with bounded loads (Mirrokni, Thorup and
    /// Zadimoghaddam, SODA 2018).
    pub fn choose_upstream(&mut self, now: Duration, prefix: u32) -> Option<UpstreamId> {
        let chosen = self.upstream_of_prefix(now, prefix).or_else(|| self.least_loaded(now))?;
        if prefix != 0 {
            self.remember_prefix(prefix, chosen);
        }
        Some(chosen)
    }

    /// Marks a slot as used.
    pub fn mark_used(&mut self, now: Duration, id: UpstreamId) {
        self.update(id, |it| {
            it.used += 1;
            it.record_usage(now);
        });
    }

    /// Marks a slot as used by a request that was already running; its slot may have been in doubt.
    pub fn confirm_used(&mut self, id: UpstreamId) {
        self.update(id, |it| {
            it.used += 1;
            it.in_doubt = it.in_doubt.saturating_sub(1);
        });
    }

    /// Releases a used slot.
    pub fn release(&mut self, now: Duration, id: UpstreamId) {
        self.update(id, |it| {
            it.used = it.used.saturating_sub(1);
            it.record_usage(now);
        });
    }

    /// Marks a slot as lent.
    pub fn lend(&mut self, now: Duration, id: UpstreamId, loan: LoanId) {
        self.update(id, |it| {
            it.lent.insert(loan, now);
            it.record_usage(now);
        });
    }

    /// Releases a lent slot; returns whether it was lent.
    pub fn return_loan(&mut self, now: Duration, loan: LoanId) -> bool {
        let entry = self.upstreams.values_mut().find(|it| it.lent.contains_key(&loan));
        let Some(it) = entry else { return false };
        it.lent.remove(&loan);
        it.record_usage(now);
        true
    }

    /// Marks a used slot as in doubt: its router is gone, but the request may still run.
    pub fn mark_doubtful(&mut self, now: Duration, id: UpstreamId) {
        self.update(id, |it| {
            it.used = it.used.saturating_sub(1);
            it.in_doubt += 1;
            it.doubt_since = now;
            it.record_usage(now);
        });
    }

    /// Marks a lent slot as in doubt.
    pub fn mark_loan_doubtful(&mut self, now: Duration, loan: LoanId) {
        let entry = self.upstreams.values_mut().find(|it| it.lent.contains_key(&loan));
        let Some(it) = entry else { return };
        it.lent.remove(&loan);
        it.in_doubt += 1;
        it.doubt_since = now;
        it.record_usage(now);
    }

    /// Records a health check. As many slots stay in doubt as the upstream reports more running
    /// requests than are known.
    pub fn record_health(&mut self, now: Duration, id: UpstreamId, health: Health) {
        self.update(id, |it| {
            let Health::Up { running, leaving } = health else {
                it.is_down = true;
                return;
            };
            let is_first = it.reported_at.is_none();
            it.is_down = false;
            it.reports_leaving = leaving;
            it.reported_at = Some(now);
            let unexplained = running.saturating_sub(it.min_recent_usage(now));
            let is_reflected = it.doubt_since + MAX_REPORT_LAG < now;
            let is_expired = it.doubt_since + DOUBT_TIMEOUT <= now;
            if is_first {
                it.in_doubt = unexplained;
                it.doubt_since = now;
            } else if is_expired {
                it.in_doubt = 0;
            } else if is_reflected {
                it.in_doubt = it.in_doubt.min(unexplained);
            }
        });
    }

    /// Records the end of a request, with its latency unless it failed. A failure pauses the
    /// upstream; the latency adapts its limit (additive increase, multiplicative decrease; Chiu and
    /// Jain, 1989).
    pub fn record_outcome(
        &mut self,
        now: Duration,
        id: UpstreamId,
        latency: Option<InterTokenLatency>,
    ) {
        self.update(id, |it| match latency {
            None => {
                let pause = INITIAL_PAUSE * 2u32.pow(it.n_failures.min(4));
                it.n_failures += 1;
                it.paused_until = now + pause.min(MAX_PAUSE);
            }
            Some(latency) => {
                it.n_failures = 0;
                it.adapt_limit(now, latency);
            }
        });
    }

    fn upstream_of_prefix(&self, now: Duration, prefix: u32) -> Option<UpstreamId> {
        let id = *self.prefixes.get(&prefix)?;
        let it = self.upstreams.get(&id)?;
        let n = self.upstreams.len() as u32;
        let load: u32 = self.upstreams.values().map(UpstreamSlots::load).sum();
        let bound = (load + 1) * LOAD_BOUND_QUARTERS / (4 * n) + 1;
        (0 < it.n_free(now) && it.load() < bound).then_some(id)
    }

    fn least_loaded(&self, now: Duration) -> Option<UpstreamId> {
        let free = self.upstreams.iter().filter(|(_, it)| 0 < it.n_free(now));
        let load_ratio = |it: &UpstreamSlots| u64::from(it.load()) * 1000 / u64::from(it.limit());
        free.min_by_key(|(_, it)| load_ratio(it)).map(|(id, _)| *id)
    }

    fn remember_prefix(&mut self, prefix: u32, id: UpstreamId) {
        if self.prefixes.insert(prefix, id).is_some() {
            return;
        }
        self.prefix_order.push_back(prefix);
        if MAX_PREFIXES < self.prefix_order.len()
            && let Some(oldest) = self.prefix_order.pop_front()
        {
            self.prefixes.remove(&oldest);
        }
    }

    fn update(&mut self, id: UpstreamId, f: impl FnOnce(&mut UpstreamSlots)) {
        if let Some(it) = self.upstreams.get_mut(&id) {
            f(it);
        }
    }
}

/// Mean time between the tokens of a request, measured and required; zero means unknown.
#[derive(Debug, Clone, Copy, Default)]
pub struct InterTokenLatency {
    /// Measured mean.
    pub measured: Duration,
    /// Largest acceptable mean, from the service's configuration.
    pub target: Duration,
}

impl UpstreamSlots {
    /// Adds the current number of used and lent slots to the history.
    fn record_usage(&mut self, now: Duration) {
        self.usage_history.push_back((now, self.used + self.lent.len() as u32));
        while self.usage_history.get(1).is_some_and(|it| it.0 + MAX_REPORT_LAG < now) {
            self.usage_history.pop_front();
        }
    }

    /// Returns the smallest number of used and lent slots within [`MAX_REPORT_LAG`]. The load report
    /// may be as old as that; running requests beyond this number belong to slots in doubt.
    fn min_recent_usage(&self, now: Duration) -> u32 {
        let present = self.used + self.lent.len() as u32;
        // The latest change before the window gives the value at its start.
        let n_older =
            self.usage_history.iter().take_while(|it| it.0 + MAX_REPORT_LAG < now).count();
        let recent = self.usage_history.iter().skip(n_older.saturating_sub(1));
        recent.map(|it| it.1).fold(present, u32::min)
    }

    fn adapt_limit(&mut self, now: Duration, latency: InterTokenLatency) {
        if latency.measured.is_zero() || latency.target.is_zero() {
            return;
        }
        if latency.measured <= latency.target {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
        } else if self.decreased_at + DECREASE_PERIOD <= now {
            let min = f64::from(self.slots) * MIN_LIMIT_RATIO;
            self.limit = (self.limit * DECREASE_FACTOR).max(min).max(1.0);
            self.decreased_at = now;
        }
    }
}
