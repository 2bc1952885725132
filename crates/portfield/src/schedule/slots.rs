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
const REPORT_LAG: Duration = Duration::from_millis(300);
/// A slot in doubt is free after this time, whatever the reports say.
const DOUBT_LIMIT: Duration = Duration::from_secs(30);
/// A report older than this doesn't count as a sign of life.
const REPORT_LIMIT: Duration = Duration::from_secs(5);
/// First pause after a failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// A preferred upstream may have this much more load than the mean, in quarters.
const LOAD_BOUND: u32 = 5;
/// Prefixes remembered per shard.
const MAX_PREFIXES: usize = 4096;
/// The learned limit shrinks by this factor when tokens come too slowly.
const DECREASE: f64 = 0.9;
/// The learned limit never falls below this part of the configured slots.
const MIN_LIMIT: f64 = 0.25;
/// Time between two decreases, so that a change shows before the next.
const DECREASE_PAUSE: Duration = Duration::from_secs(2);

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
struct Upper {
    slots: u32,
    leaving: bool,
    told_leaving: bool,
    /// Learned limit on requests at once.
    limit: f64,
    decreased: Duration,
    used: u32,
    lent: HashMap<LoanId, Duration>,
    doubt: u32,
    doubt_since: Duration,
    /// Slots known to be used, at each change within the report's lag.
    known: VecDeque<(Duration, u32)>,
    reported: Option<Duration>,
    down: bool,
    failures: u32,
    paused: Duration,
}

impl Upper {
    fn load(&self) -> u32 {
        self.used + self.lent.len() as u32 + self.doubt
    }

    fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    fn is_open(&self, now: Duration) -> bool {
        let fresh = self.reported.is_some_and(|it| now <= it + REPORT_LIMIT);
        fresh && !self.down && !self.leaving && !self.told_leaving && self.paused <= now
    }

    fn n_free(&self, now: Duration) -> u32 {
        if self.is_open(now) { self.limit().saturating_sub(self.load()) } else { 0 }
    }
}

/// The slots of one shard.
#[derive(Debug, Clone, Default)]
pub struct Slots {
    upstreams: BTreeMap<UpstreamId, Upper>,
    prefixes: HashMap<u32, UpstreamId>,
    recent: VecDeque<u32>,
}

impl Slots {
    /// Adopts the configured upstreams; one that stays keeps its state.
    pub fn configure<'a>(&mut self, now: Duration, list: impl Iterator<Item = &'a Upstream>) {
        let mut old = std::mem::take(&mut self.upstreams);
        for it in list {
            let mut upper = old.remove(&it.id).unwrap_or_else(|| Upper {
                slots: it.slots,
                leaving: it.leaving,
                told_leaving: false,
                limit: f64::from(it.slots),
                decreased: now,
                used: 0,
                lent: HashMap::new(),
                doubt: 0,
                doubt_since: now,
                known: VecDeque::new(),
                reported: None,
                down: false,
                failures: 0,
                paused: Duration::ZERO,
            });
            if upper.slots != it.slots {
                upper.limit = f64::from(it.slots);
            }
            upper.slots = it.slots;
            upper.leaving = it.leaving;
            self.upstreams.insert(it.id, upper);
        }
    }

    /// Returns whether any slot is free.
    pub fn any_free(&self, now: Duration) -> bool {
        self.upstreams.values().any(|it| 0 < it.n_free(now))
    }

    /// Returns how many slots are free.
    pub fn n_free(&self, now: Duration) -> u32 {
        self.upstreams.values().map(|it| it.n_free(now)).sum()
    }

    /// Returns slots in all and slots in use.
    pub fn usage(&self) -> (u32, u32) {
        let total = self.upstreams.values().map(|it| it.slots).sum();
        let used = self.upstreams.values().map(Upper::load).sum();
        (total, used)
    }

    /// Chooses an upstream with a free slot: the one that has the prefix unless it is
    /// much more loaded than the others (consistent hashing with bounded loads, Mirrokni,
    /// Thorup and Zadimoghaddam, SODA 2018), else the least loaded.
    pub fn choose(&mut self, now: Duration, prefix: u32) -> Option<UpstreamId> {
        let chosen = self.preferred(now, prefix).or_else(|| self.least(now))?;
        if prefix != 0 {
            self.remember(prefix, chosen);
        }
        Some(chosen)
    }

    /// Marks a slot as used.
    pub fn take(&mut self, now: Duration, id: UpstreamId) {
        self.with(id, |it| {
            it.used += 1;
            it.note(now);
        });
    }

    /// Marks a slot as used by a request that ran already, and so was in doubt if anything.
    pub fn confirm(&mut self, id: UpstreamId) {
        self.with(id, |it| {
            it.used += 1;
            it.doubt = it.doubt.saturating_sub(1);
        });
    }

    /// Frees a used slot.
    pub fn free(&mut self, now: Duration, id: UpstreamId) {
        self.with(id, |it| {
            it.used = it.used.saturating_sub(1);
            it.note(now);
        });
    }

    /// Marks a slot as lent.
    pub fn lend(&mut self, now: Duration, id: UpstreamId, loan: LoanId) {
        self.with(id, |it| {
            it.lent.insert(loan, now);
            it.note(now);
        });
    }

    /// Frees a lent slot; returns whether it was lent.
    pub fn give_back(&mut self, now: Duration, loan: LoanId) -> bool {
        let lender = self.upstreams.values_mut().find(|it| it.lent.contains_key(&loan));
        let Some(it) = lender else { return false };
        it.lent.remove(&loan);
        it.note(now);
        true
    }

    /// Puts a used slot in doubt: whoever used it is gone, the request may still run.
    pub fn doubt(&mut self, now: Duration, id: UpstreamId) {
        self.with(id, |it| {
            it.used = it.used.saturating_sub(1);
            it.doubt += 1;
            it.doubt_since = now;
            it.note(now);
        });
    }

    /// Puts a lent slot in doubt.
    pub fn doubt_loan(&mut self, now: Duration, loan: LoanId) {
        let lender = self.upstreams.values_mut().find(|it| it.lent.contains_key(&loan));
        let Some(it) = lender else { return };
        it.lent.remove(&loan);
        it.doubt += 1;
        it.doubt_since = now;
        it.note(now);
    }

    /// Takes in a load report; what runs beyond what is known stays in doubt.
    pub fn report(&mut self, now: Duration, id: UpstreamId, health: Health) {
        self.with(id, |it| {
            let Health::Up { running, leaving } = health else {
                it.down = true;
                return;
            };
            let is_first = it.reported.is_none();
            it.down = false;
            it.told_leaving = leaving;
            it.reported = Some(now);
            let beyond = running.saturating_sub(it.least_known(now));
            let is_settled = it.doubt_since + REPORT_LAG < now;
            let expired = it.doubt_since + DOUBT_LIMIT <= now;
            if is_first {
                it.doubt = beyond;
                it.doubt_since = now;
            } else if expired {
                it.doubt = 0;
            } else if is_settled {
                it.doubt = it.doubt.min(beyond);
            }
        });
    }

    /// Learns from the end of a request: a failure (no pace) pauses the upstream, slow tokens lower
    /// its limit (additive increase, multiplicative decrease; Chiu and Jain, 1989).
    pub fn learn(&mut self, now: Duration, id: UpstreamId, pace: Option<InterTokenLatency>) {
        self.with(id, |it| match pace {
            None => {
                let pause = FIRST_PAUSE * 2u32.pow(it.failures.min(4));
                it.failures += 1;
                it.paused = now + pause.min(MAX_PAUSE);
            }
            Some(pace) => {
                it.failures = 0;
                it.adapt(now, pace);
            }
        });
    }

    fn preferred(&self, now: Duration, prefix: u32) -> Option<UpstreamId> {
        let id = *self.prefixes.get(&prefix)?;
        let it = self.upstreams.get(&id)?;
        let n = self.upstreams.len() as u32;
        let load: u32 = self.upstreams.values().map(Upper::load).sum();
        let bound = (load + 1) * LOAD_BOUND / (4 * n) + 1;
        (0 < it.n_free(now) && it.load() < bound).then_some(id)
    }

    fn least(&self, now: Duration) -> Option<UpstreamId> {
        let free = self.upstreams.iter().filter(|(_, it)| 0 < it.n_free(now));
        let by_load = |it: &Upper| u64::from(it.load()) * 1000 / u64::from(it.limit());
        free.min_by_key(|(_, it)| by_load(it)).map(|(id, _)| *id)
    }

    fn remember(&mut self, prefix: u32, id: UpstreamId) {
        if self.prefixes.insert(prefix, id).is_some() {
            return;
        }
        self.recent.push_back(prefix);
        if MAX_PREFIXES < self.recent.len()
            && let Some(old) = self.recent.pop_front()
        {
            self.prefixes.remove(&old);
        }
    }

    fn with(&mut self, id: UpstreamId, f: impl FnOnce(&mut Upper)) {
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
    pub objective: Duration,
}

impl Upper {
    /// Remembers how many slots are known to be used.
    fn note(&mut self, now: Duration) {
        self.known.push_back((now, self.used + self.lent.len() as u32));
        while self.known.get(1).is_some_and(|it| it.0 + REPORT_LAG < now) {
            self.known.pop_front();
        }
    }

    /// Returns the fewest slots that were known to be used at any moment that the report may
    /// speak of: what it names beyond them may still run, whoever started it.
    fn least_known(&self, now: Duration) -> u32 {
        let present = self.used + self.lent.len() as u32;
        // The last change before the window holds at its start.
        let n_older = self.known.iter().take_while(|it| it.0 + REPORT_LAG < now).count();
        let recent = self.known.iter().skip(n_older.saturating_sub(1));
        recent.map(|it| it.1).fold(present, u32::min)
    }

    fn adapt(&mut self, now: Duration, pace: InterTokenLatency) {
        if pace.measured.is_zero() || pace.objective.is_zero() {
            return;
        }
        if pace.measured <= pace.objective {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
        } else if self.decreased + DECREASE_PAUSE <= now {
            let least = f64::from(self.slots) * MIN_LIMIT;
            self.limit = (self.limit * DECREASE).max(least).max(1.0);
            self.decreased = now;
        }
    }
}
