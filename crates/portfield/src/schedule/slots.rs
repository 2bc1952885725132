//! Slots of the upstreams of one shard: which are free, used, lent or in doubt.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use crate::{
    fleet::Upstream,
    ids::{LoanId, UpstreamId},
};

/// An upstream's load report lags by this much at most. A longer lag would let a slot in
/// doubt be granted while its request still runs; a longer limit idles slots after faults.
const MAX_REPORT_LAG: Duration = Duration::from_millis(300);
/// A slot in doubt is free after this time, whatever the reports say.
const DOUBT_TIMEOUT: Duration = Duration::from_secs(30);
/// A report older than this doesn't count as a sign of life.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// First pause after a failure; doubles with each further one.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// A preferred upstream may have this much more load than the mean, in quarters.
const LOAD_BOUND_QUARTERS: u32 = 5;
/// Prefixes remembered per shard.
const MAX_PREFIXES: usize = 4096;
/// The learned limit shrinks by this factor when tokens come too slowly.
const DECREASE_FACTOR: f64 = 0.9;
/// The learned limit never falls below this part of the configured slots.
const MIN_LIMIT_RATIO: f64 = 0.25;
/// Time between two decreases, so that a change shows before the next.
const DECREASE_PERIOD: Duration = Duration::from_secs(2);

/// What an upstream says of itself, or that it says nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answered.
    Up {
        /// Requests it runs, some time ago.
        running: u32,
        /// It wants no new work.
        leaving: bool,
    },
    /// It did not answer.
    Down,
}

#[derive(Debug, Clone)]
struct UpstreamSlots {
    slots: u32,
    is_leaving: bool,
    reports_leaving: bool,
    /// Learned limit on requests at once.
    limit: f64,
    decreased_at: Duration,
    used: u32,
    lent: HashMap<LoanId, Duration>,
    in_doubt: u32,
    doubt_since: Duration,
    /// Slots known to be used, at each change within the report's lag.
    usage_history: VecDeque<(Duration, u32)>,
    reported_at: Option<Duration>,
    is_down: bool,
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

    fn is_open(&self, now: Duration) -> bool {
        let is_fresh = self.reported_at.is_some_and(|it| now <= it + MAX_REPORT_AGE);
        is_fresh
            && !self.is_down
            && !self.is_leaving
            && !self.reports_leaving
            && self.paused_until <= now
    }

    fn n_free(&self, now: Duration) -> u32 {
        if self.is_open(now) { self.limit().saturating_sub(self.load()) } else { 0 }
    }
}

/// The slots of one shard.
#[derive(Debug, Clone, Default)]
pub struct Slots {
    upstreams: BTreeMap<UpstreamId, UpstreamSlots>,
    prefixes: HashMap<u32, UpstreamId>,
    prefix_order: VecDeque<u32>,
}

impl Slots {
    /// Adopts the configured upstreams; one that stays keeps its state.
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

    /// Returns how many slots are free.
    pub fn n_free(&self, now: Duration) -> u32 {
        self.upstreams.values().map(|it| it.n_free(now)).sum()
    }

    /// Returns slots in all and slots in use.
    pub fn usage(&self) -> (u32, u32) {
        let total = self.upstreams.values().map(|it| it.slots).sum();
        let used = self.upstreams.values().map(UpstreamSlots::load).sum();
        (total, used)
    }

    /// Chooses an upstream with a free slot: the one that has the prefix unless it is
    /// much more loaded than the others (consistent hashing with bounded loads, Mirrokni,
    /// Thorup and Zadimoghaddam, SODA 2018), else the least loaded.
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

    /// Marks a slot as used by a request that ran already, and so was in doubt if anything.
    pub fn confirm_used(&mut self, id: UpstreamId) {
        self.update(id, |it| {
            it.used += 1;
            it.in_doubt = it.in_doubt.saturating_sub(1);
        });
    }

    /// Frees a used slot.
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

    /// Frees a lent slot; returns whether it was lent.
    pub fn return_loan(&mut self, now: Duration, loan: LoanId) -> bool {
        let entry = self.upstreams.values_mut().find(|it| it.lent.contains_key(&loan));
        let Some(it) = entry else { return false };
        it.lent.remove(&loan);
        it.record_usage(now);
        true
    }

    /// Puts a used slot in doubt: whoever used it is gone, the request may still run.
    pub fn mark_doubtful(&mut self, now: Duration, id: UpstreamId) {
        self.update(id, |it| {
            it.used = it.used.saturating_sub(1);
            it.in_doubt += 1;
            it.doubt_since = now;
            it.record_usage(now);
        });
    }

    /// Puts a lent slot in doubt.
    pub fn mark_loan_doubtful(&mut self, now: Duration, loan: LoanId) {
        let entry = self.upstreams.values_mut().find(|it| it.lent.contains_key(&loan));
        let Some(it) = entry else { return };
        it.lent.remove(&loan);
        it.in_doubt += 1;
        it.doubt_since = now;
        it.record_usage(now);
    }

    /// Takes in a load report; what runs beyond what is known stays in doubt.
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

    /// Learns from the end of a request: a failure (no latency) pauses the upstream, slow tokens lower
    /// its limit (additive increase, multiplicative decrease; Chiu and Jain, 1989).
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

/// Time between tokens as measured and as the objective has it; zero is unknown.
#[derive(Debug, Clone, Copy, Default)]
pub struct InterTokenLatency {
    /// Mean of one request.
    pub measured: Duration,
    /// Largest acceptable mean.
    pub target: Duration,
}

impl UpstreamSlots {
    /// Remembers how many slots are known to be used.
    fn record_usage(&mut self, now: Duration) {
        self.usage_history.push_back((now, self.used + self.lent.len() as u32));
        while self.usage_history.get(1).is_some_and(|it| it.0 + MAX_REPORT_LAG < now) {
            self.usage_history.pop_front();
        }
    }

    /// Returns the fewest slots that were known to be used at any moment that the report may
    /// speak of: what it names beyond them may still run, whoever started it.
    fn min_recent_usage(&self, now: Duration) -> u32 {
        let present = self.used + self.lent.len() as u32;
        // The last change before the window holds at its start.
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
