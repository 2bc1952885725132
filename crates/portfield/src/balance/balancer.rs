//! The decision itself.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::{
    admission::{in_time, longest_wait},
    bias::Bias,
    choice::{Choice, Order, Scales, home, least, millis},
    fast_map::FastMap,
    job::{Assignment, Candidate, Completion, Placement, PlacementRequest, Refusal},
    load::Loads,
    prompt::Prompt,
    shares::{ShareSnapshot, ShareStatus, Shares, Usage},
    speed::Speed,
};
use crate::wire;

/// A request at one upstream, numbered by this host.
pub type RunId = u64;

/// Longest and shortest time that a caller is told to stay away.
const AWAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Time after twice its estimate at which a first event is overdue: beyond what estimates are wrong by on a sound
/// engine, below the time after which a connection to a silent one breaks.
const OVERDUE: Duration = Duration::from_millis(400);
/// Part of the engines that are idle, above which a request that would be refused is sent to one of them,
/// though its shared parts are read there once more.
///
/// Where most are idle, what refuses is the queue at the one that keeps a part that many ask for. Where most are busy,
/// parts read again take from all, and the rule is not applied.
const SPARE_PART: f64 = 0.5;
/// How many digests tell only the usage that is new, for each that tells all of it: a host that has just
/// begun to listen knows all within a second.
pub(crate) const FULL_DIGEST_EVERY: u64 = 8;
/// Weight of one more observation in an average.
const SMOOTH: f64 = 0.05;

#[derive(Debug)]
struct Run {
    upstream: u32,
    /// Tokens to read while no event has come.
    pending: f64,
    /// Tokens ahead and its own, for learning.
    behind: f64,
    started: Duration,
    /// Time to its first event by what the hosts know.
    expected: Duration,
    /// When its first event, or its answer, is overdue.
    due: Duration,
    /// Its first event, or its answer, has come.
    has_begun: bool,
    is_engine: bool,
    service: u32,
}

/// Places requests.
#[derive(Debug)]
pub struct Balancer {
    pub(super) loads: Loads,
    shares: Shares,
    speeds: FastMap<u32, Speed>,
    /// What estimates fell short of, by service.
    biases: FastMap<u32, Bias>,
    /// Average time of a request, in milliseconds, by service.
    times: FastMap<u32, f64>,
    runs: FastMap<RunId, Run>,
    n_runs: RunId,
    memories: FastMap<u32, u64>,
    /// The last number drawn.
    draws: u64,
}

impl Balancer {
    /// Builds a balancer; `window` is the time over which shares are kept.
    pub fn new(window: Duration) -> Self {
        Self {
            loads: Loads::default(),
            shares: Shares::new(window),
            speeds: FastMap::default(),
            biases: FastMap::default(),
            times: FastMap::default(),
            runs: FastMap::default(),
            n_runs: 0,
            memories: FastMap::default(),
            draws: 0,
        }
    }

    /// Sets where the numbers drawn begin: two hosts that begin alike order upstreams alike.
    pub fn set_seed(&mut self, seed: u64) {
        self.draws = seed;
    }

    /// Sets what all engines handle together, in tokens a second; zero is unknown.
    pub fn set_capacity(&mut self, tokens_rate: f64) {
        self.shares.set_capacity(tokens_rate);
    }

    /// Forgets upstreams that are gone.
    pub fn retain_upstreams(&mut self, is_known: impl Fn(u32) -> bool) {
        self.loads.retain(&is_known);
        self.memories.retain(|id, _| is_known(*id));
    }

    /// Picks an upstream for a request, or refuses it.
    pub fn place(
        &mut self,
        now: Duration,
        job: &PlacementRequest,
        candidates: &[Candidate],
    ) -> Placement {
        let standing = match job.engine {
            Some(_) => self.shares.standing(now, job.workspace),
            None => ShareStatus::Uncontended,
        };
        let chain = job.prompt.as_ref().map(Prompt::chain).unwrap_or_default();
        let order = Order::of(&chain, self.draw());
        let first = Speed::default();
        let is_open = |id: &u32| !self.loads.get(*id).is_some_and(|it| it.is_away(now));
        let scales = Scales {
            now,
            loads: &self.loads,
            speed: self.speeds.get(&job.service).unwrap_or(&first),
            mean_time: self.times.get(&job.service).copied(),
            bias: self.biases.get(&job.service).map_or(0.0, |it| it.shortfall(now)),
            home: home(order, candidates.iter().map(|it| it.upstream).filter(is_open)),
            order,
            shared: chain.iter().rev().skip(1).map(|it| it.tokens).sum(),
        };
        let options = || candidates.iter().map(|it| scales.weigh(job, &chain, it));
        let open = |it: &Choice| !it.blocked;
        let Some(best) = least(options().filter(open), |it| it.cost) else {
            let refused = all_blocked(now, options());
            if matches!(refused, Placement::Refuse { reason: Refusal::Backoff, .. }) {
                self.record_refusal(now, job.workspace, job.token_cost());
            }
            return refused;
        };
        let limit = longest_wait(job, standing, &best);
        if best.times.wait <= limit {
            return Placement::Send(best.placed(standing));
        }
        // Reading shared parts again takes from all: only for who has had far less than another.
        if matches!(standing, ShareStatus::Starved(_))
            && let Some(quick) = least(options().filter(open), |it| it.times.wait + it.times.own)
            && quick.times.wait <= longest_wait(job, standing, &quick)
        {
            return Placement::Send(quick.placed(standing));
        }
        if let Some(spare) = spare(candidates.len(), || options().filter(open), in_time(job)) {
            return Placement::Send(spare.placed(standing));
        }
        let reason = if matches!(standing, ShareStatus::Served(it) if 1.0 < it) {
            Refusal::Share
        } else {
            Refusal::Busy
        };
        let retry = millis(best.times.wait - limit).clamp(AWAY.0, AWAY.1);
        self.record_refusal(now, job.workspace, job.token_cost());
        Placement::Refuse {
            reason,
            retry_after: retry,
            estimate: best.estimate(),
            share_ratio: standing.share_ratio(),
        }
    }

    /// Returns the upstream at which least runs, of those that are not left alone: if it ends, the fewest requests end
    /// with it.
    pub fn least_busy(&self, now: Duration, candidates: &[Candidate]) -> Option<Candidate> {
        let node = |it: &Candidate| self.loads.get(it.upstream);
        let is_open = |it: &&Candidate| !node(it).is_some_and(|it| it.is_closed(now));
        let running = |it: &Candidate| node(it).map_or(0.0, |it| it.total().running);
        let open = candidates.iter().filter(is_open);
        open.min_by(|a, b| running(a).total_cmp(&running(b))).copied()
    }

    /// Notes that a request of so many tokens was refused: its workspace asked for them and had none.
    ///
    /// **NOTE:** Also what a host refuses before it looks for an upstream: a workspace whose callers all come to hosts
    /// short of processor time would else seem to ask for little.
    pub fn record_refusal(&mut self, now: Duration, workspace: u32, tokens: f64) {
        if 0.0 < tokens {
            self.shares.note(now, workspace, Usage { asked: tokens, taken: 0.0 });
        }
    }

    /// Returns what a workspace's standing comes from, for logs.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Balancer;
    /// use std::time::Duration;
    ///
    /// let balancer = Balancer::new(Duration::from_secs(4));
    /// let snapshot = balancer.share_snapshot(Duration::from_secs(1), 7);
    /// assert_eq!((snapshot.asked, snapshot.taken), (0.0, 0.0));
    /// ```
    pub fn share_snapshot(&self, now: Duration, workspace: u32) -> ShareSnapshot {
        self.shares.account(now, workspace)
    }

    /// Returns the least fairness ratio of the last seconds, as far as this host knows: the least part that a workspace
    /// which was refused has had of what it asked, or of what the best served one has had if that is less.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Balancer;
    /// use std::time::Duration;
    ///
    /// let mut balancer = Balancer::new(Duration::from_secs(4));
    /// assert_eq!(balancer.min_fairness(Duration::from_secs(1)), 1.0);
    /// ```
    pub fn min_fairness(&mut self, now: Duration) -> f64 {
        self.shares.least_part(now)
    }

    /// Notes that a request is sent to an upstream.
    pub fn record_start(
        &mut self,
        now: Duration,
        job: &PlacementRequest,
        placed: &Assignment,
    ) -> RunId {
        self.n_runs += 1;
        let pending = f64::from(placed.uncached_tokens);
        let run = Run {
            upstream: placed.upstream,
            pending,
            behind: f64::from(placed.queued_tokens) + pending,
            started: now,
            expected: placed.estimate.saturating_sub(placed.bias),
            due: now + placed.estimate * 2 + OVERDUE,
            has_begun: false,
            is_engine: job.engine.is_some(),
            service: job.service,
        };
        let node = self.loads.node(placed.upstream);
        node.warmup.note(now);
        node.backoff.sent(now, self.n_runs);
        node.own.running += 1.0;
        node.own.pending += pending;
        if let (Some(prompt), Some(engine)) = (&job.prompt, job.engine) {
            let chain = prompt.chain();
            node.note_read(pending + f64::from(prompt.max_output_tokens));
            node.cache.touch(chain.iter().map(|it| it.hash), engine.kv_capacity);
            self.memories.insert(placed.upstream, engine.kv_capacity);
            let shared = chain.len().saturating_sub(1);
            let parts = chain.iter().take(shared).map(|it| it.hash).collect();
            self.loads.tell(placed.upstream, parts);
            let taken = job.token_cost();
            self.shares.note(now, job.workspace, Usage { asked: taken, taken });
        }
        self.runs.insert(self.n_runs, run);
        self.n_runs
    }

    /// Notes the first event, or the answer, of a request; later ones change nothing.
    pub fn record_first_event(&mut self, now: Duration, id: RunId) {
        let Some(run) = self.runs.get_mut(&id).filter(|it| !it.has_begun) else { return };
        run.has_begun = true;
        let pending = std::mem::take(&mut run.pending);
        let node = self.loads.node(run.upstream);
        node.own.pending -= pending;
        node.backoff.taken(id);
        if run.is_engine {
            let time = now.saturating_sub(run.started);
            self.speeds.entry(run.service).or_default().observe(run.behind, time);
            let error = (time.as_secs_f64() - run.expected.as_secs_f64()) * 1000.0;
            self.biases.entry(run.service).or_default().observe(now, error);
        }
    }

    /// Notes the end of a request at its upstream.
    pub fn record_end(&mut self, now: Duration, id: RunId, ending: Completion) {
        let Some(run) = self.runs.remove(&id) else { return };
        let node = self.loads.node(run.upstream);
        node.own.running -= 1.0;
        node.own.pending -= run.pending;
        if matches!(ending, Completion::Done | Completion::Error) {
            node.backoff.taken(id);
        }
        node.backoff.ended(id);
        match ending {
            Completion::Done => {
                node.health.succeed(now);
                let time = now.saturating_sub(run.started).as_secs_f64() * 1000.0;
                let mean = self.times.entry(run.service).or_insert(time);
                *mean += SMOOTH * (time - *mean);
            }
            Completion::Error | Completion::Rejected | Completion::Broken => node.health.fail(now),
            Completion::Unreachable => node.health.unreachable(now),
            // What it asked for is granted; it has not failed.
            Completion::BackoffRequested | Completion::Cancelled => {}
        }
    }

    /// Writes what this host did into a digest for the others.
    pub fn fill_digest(&mut self, now: Duration, digest: &mut wire::Digest) {
        self.loads.expire(now);
        self.count_overdue(now);
        (digest.loads, digest.prefixes) = self.loads.report();
        let usage = |(workspace, it): (u32, Usage)| wire::WorkspaceUsage {
            workspace,
            asked: it.asked as u64,
            taken: it.taken as u64,
        };
        let is_whole = digest.sequence.is_multiple_of(FULL_DIGEST_EVERY);
        let told = self.shares.take_told().into_iter();
        digest.usage = if is_whole {
            self.shares.totals().map(usage).collect()
        } else {
            told.map(usage).collect()
        };
    }

    /// Writes what the hosts of this data centre did into a digest for the other data centres.
    pub fn fill_summary(&mut self, now: Duration, digest: &mut wire::Digest) {
        let mut sum = self.loads.summary(now, digest.data_centre);
        for (workspace, it) in self.shares.totals() {
            let new = wire::WorkspaceUsage { workspace, ..Default::default() };
            let usage = sum.usage.entry(workspace).or_insert(new);
            usage.asked += it.asked as u64;
            usage.taken += it.taken as u64;
        }
        digest.n_summed = sum.n_hosts;
        digest.loads = sum.loads;
        digest.prefixes = sum.prefixes;
        digest.usage = sum.usage.into_values().collect();
    }

    /// Takes another host's digest, or the sum of a data centre's.
    pub fn merge_digest(&mut self, now: Duration, digest: &wire::Digest) {
        let memories = &self.memories;
        let memory = |id| memories.get(&id).copied().unwrap_or(u64::MAX);
        for it in self.loads.merge(now, digest, memory) {
            let usage = Usage { asked: it.asked as f64, taken: it.taken as f64 };
            self.shares.learn(now, it.workspace, usage);
        }
    }

    /// Notes that this host stood still for a time: nothing that runs is overdue for it, and no engine was slow.
    pub fn record_pause(&mut self, time: Duration) {
        for run in self.runs.values_mut().filter(|it| !it.has_begun) {
            run.started += time;
            run.due += time;
        }
    }

    /// Returns how many hosts there are, as far as this one hears.
    pub fn n_hosts(&self, now: Duration) -> usize {
        1 + self.loads.n_peers(now)
    }

    /// Returns another number with each call, and at each host.
    fn draw(&mut self) -> u64 {
        self.draws = xxh3_64(&self.draws.to_le_bytes());
        self.draws
    }

    fn count_overdue(&mut self, now: Duration) {
        self.loads.nodes_mut().for_each(|it| it.n_overdue = 0);
        for run in self.runs.values().filter(|it| !it.has_begun && it.due < now) {
            self.loads.node(run.upstream).n_overdue += 1;
        }
    }
}

/// Returns the least costly idle engine, where so many are idle that reading a shared part at one of them
/// takes from nobody.
fn spare<I: Iterator<Item = Choice>>(
    n_engines: usize,
    open: impl Fn() -> I,
    in_time: f64,
) -> Option<Choice> {
    let is_idle = |it: &Choice| it.is_idle;
    let n_idle = open().filter(is_idle).count();
    if (n_idle as f64) < n_engines as f64 * SPARE_PART {
        return None;
    }
    let is_quick = |it: &Choice| it.times.wait + it.times.own <= in_time;
    least(open().filter(is_idle).filter(is_quick), |it| it.cost)
}

fn all_blocked(now: Duration, options: impl Iterator<Item = Choice>) -> Placement {
    let (mut soonest, mut reason) = (None, Refusal::NoUpstream);
    for it in options {
        soonest = Some(soonest.map_or(it.opens, |opens: Duration| opens.min(it.opens)));
        if it.backs_off {
            reason = Refusal::Backoff;
        }
    }
    let opens = soonest.map_or(AWAY.1, |it| it.saturating_sub(now)).max(AWAY.0);
    let retry = match reason {
        // When it ends is known, however late: to come before is in vain.
        Refusal::Backoff => opens,
        _ => opens.min(AWAY.1),
    };
    Placement::Refuse { reason, retry_after: retry, estimate: retry, share_ratio: 0.0 }
}
