//! The decision itself.

use std::{collections::HashMap, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    cache::Cache,
    load::{Flow, Load, Loads, Node},
    prompt::{Link, Prompt},
    shares::{Shares, Standing, Usage},
    speed::Speed,
};
use crate::{catalog::EngineSpec, wire};

/// A request at one upstream, numbered by this host.
pub type RunId = u64;

/// What reading a shared part again costs beside its own time, in milliseconds a token.
///
/// Measured on the users' bench: 0.05 and 0.1 were ahead of nothing by 0.03 of worth.
const REREAD: f64 = 0.1;
/// Part of the objective that a request may wait behind others even if it can only be late.
const LATE_WAIT: f64 = 0.25;
/// Part of the objective that a workspace may wait that has just had its share; it falls to
/// [`OVER_LEAST`] for one that has had [`OVER_RANGE`] shares more.
const OVER_WAIT: f64 = 0.6;
/// Part of the objective that any workspace may wait: upstreams that would else be idle.
const OVER_LEAST: f64 = 0.1;
/// Shares beyond its own at which a workspace gets only idle upstreams.
const OVER_RANGE: f64 = 0.5;
/// What an upstream that fails all requests costs, as a multiple of the objective.
const FAILING: f64 = 3.0;
/// Longest and shortest time that a caller is told to stay away.
const AWAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Time after twice its estimate at which a first event is overdue: beyond what estimates are wrong
/// by on a sound engine (a tenth of first events come 300 ms late), below the 1.8 s after which a
/// connection to a silent one breaks.
const OVERDUE: Duration = Duration::from_millis(400);
/// What each overdue request adds to its upstream's cost, as a multiple of the objective.
const OVERDUE_COST: f64 = 2.0;
/// Requests that wait at a plain upstream for each that runs, before it counts as full.
const PLAIN_QUEUE: f64 = 3.0;
/// Time that a plain service takes before any was seen.
const PLAIN_TIME: f64 = 30.0;
/// Weight of one more observation in an average.
const SMOOTH: f64 = 0.05;

/// An upstream that may take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its number.
    pub upstream: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It stands in this host's data centre.
    pub near: bool,
}

/// A request to be placed.
#[derive(Debug, Clone)]
pub struct Job {
    /// Who asks: hash of the workspace's name.
    pub workspace: u32,
    /// Service that it goes to: hash of its name.
    pub service: u32,
    /// The prompt, for engines.
    pub prompt: Option<Prompt>,
    /// Time to the first event, or the answer, that the caller is content with.
    pub objective: Duration,
    /// How long it has waited.
    pub waited: Duration,
    /// Figures of the engines, for those.
    pub engine: Option<EngineSpec>,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placed {
    /// The upstream.
    pub upstream: u32,
    /// Estimated time to the first event, or the answer.
    pub estimate: Duration,
    /// Tokens that the upstream has to read.
    pub unread: u32,
    /// Tokens ahead of them.
    pub ahead: u32,
    /// What its workspace has had, as a multiple of its share; zero where there is plenty.
    pub share: f64,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream of the service is known or left.
    NoUpstream,
    /// All upstreams would take too long.
    Busy,
    /// The workspace has had its share, and there is no capacity to spare.
    Share,
}

/// What became of placing a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// It goes there.
    Send(Placed),
    /// It is refused; worth asking again after the time given.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When to come back.
        retry: Duration,
        /// The estimate that decided.
        estimate: Duration,
        /// What its workspace has had, as a multiple of its share; zero where there is plenty.
        share: f64,
    },
}

/// How a request ended at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Answered.
    Done,
    /// Answered with an error of the upstream's own.
    Error,
    /// Not run: the upstream was full or another one.
    Rejected,
    /// Nothing could be sent.
    Unreachable,
    /// The connection broke, the answer was not one, or nothing came.
    Broken,
    /// The caller left or the time was up.
    Cancelled,
}

#[derive(Debug)]
struct Run {
    upstream: u32,
    /// Tokens to read while no event has come.
    pending: f64,
    /// Tokens ahead and its own, for learning.
    behind: f64,
    started: Duration,
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
    loads: Loads,
    shares: Shares,
    speeds: HashMap<u32, Speed>,
    /// Average time of a request, in milliseconds, by service.
    times: HashMap<u32, f64>,
    runs: HashMap<RunId, Run>,
    n_runs: RunId,
    memories: HashMap<u32, u64>,
}

impl Balancer {
    /// Builds a balancer; `window` is the time over which shares are kept.
    pub fn new(window: Duration) -> Self {
        Self {
            loads: Loads::default(),
            shares: Shares::new(window),
            speeds: HashMap::new(),
            times: HashMap::new(),
            runs: HashMap::new(),
            n_runs: 0,
            memories: HashMap::new(),
        }
    }

    /// Sets what all engines handle together, in tokens a second; zero is unknown.
    pub fn set_capacity(&mut self, tokens_rate: f64) {
        self.shares.set_capacity(tokens_rate);
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, is_known: impl Fn(u32) -> bool) {
        self.loads.retain(&is_known);
        self.memories.retain(|id, _| is_known(*id));
    }

    /// Picks an upstream for a request, or refuses it.
    pub fn place(&mut self, now: Duration, job: &Job, candidates: &[Candidate]) -> Placement {
        let standing = match job.engine {
            Some(_) => self.shares.standing(now, job.workspace),
            None => Standing::Plenty,
        };
        let chain = job.prompt.as_ref().map(Prompt::chain).unwrap_or_default();
        let options: Vec<Choice> =
            candidates.iter().map(|it| self.weigh(now, job, &chain, it)).collect();
        let open = |it: &&Choice| !it.blocked;
        let Some(best) = least(options.iter().filter(open), |it| it.cost) else {
            return self.all_blocked(now, &options);
        };
        let limit = self.longest_wait(job, standing, best);
        if best.wait <= limit {
            return Placement::Send(best.placed(standing));
        }
        // Reading shared parts again takes from all: only for who has had far less than another.
        if matches!(standing, Standing::Behind(_)) {
            let quick = least(options.iter().filter(open), |it| it.wait + it.own).unwrap_or(best);
            if quick.wait <= self.longest_wait(job, standing, quick) {
                return Placement::Send(quick.placed(standing));
            }
        }
        let reason = if matches!(standing, Standing::Share(it) if 1.0 < it) {
            Refusal::Share
        } else {
            Refusal::Busy
        };
        let retry = millis(best.wait - limit).clamp(AWAY.0, AWAY.1);
        if let Some(prompt) = &job.prompt {
            let asked = cost(prompt);
            self.shares.note(now, job.workspace, Usage { asked, taken: 0.0 });
        }
        Placement::Refuse {
            reason,
            retry,
            estimate: millis(best.wait + best.own),
            share: standing.share(),
        }
    }

    /// Notes that a request is sent to an upstream.
    pub fn start(&mut self, now: Duration, job: &Job, placed: &Placed) -> RunId {
        self.n_runs += 1;
        let pending = f64::from(placed.unread);
        let run = Run {
            upstream: placed.upstream,
            pending,
            behind: f64::from(placed.ahead) + pending,
            started: now,
            due: now + placed.estimate * 2 + OVERDUE,
            has_begun: false,
            is_engine: job.engine.is_some(),
            service: job.service,
        };
        let node = self.loads.node(placed.upstream);
        node.own.running += 1.0;
        node.own.pending += pending;
        if let (Some(prompt), Some(engine)) = (&job.prompt, job.engine) {
            let chain = prompt.chain();
            node.note_read(now, pending, f64::from(prompt.output));
            node.cache.touch(chain.iter().map(|it| it.hash), engine.memory);
            self.memories.insert(placed.upstream, engine.memory);
            let shared = chain.len().saturating_sub(1);
            let parts = chain.iter().take(shared).map(|it| it.hash).collect();
            self.loads.tell(placed.upstream, parts);
            let taken = cost(prompt);
            self.shares.note(now, job.workspace, Usage { asked: taken, taken });
        }
        self.runs.insert(self.n_runs, run);
        self.n_runs
    }

    /// Notes the first event, or the answer, of a request; later ones change nothing.
    pub fn first(&mut self, now: Duration, id: RunId) {
        let Some(run) = self.runs.get_mut(&id).filter(|it| !it.has_begun) else { return };
        run.has_begun = true;
        let pending = std::mem::take(&mut run.pending);
        self.loads.node(run.upstream).own.pending -= pending;
        if run.is_engine {
            let time = now.saturating_sub(run.started);
            self.speeds.entry(run.service).or_default().observe(run.behind, time);
        }
    }

    /// Notes the end of a request at its upstream.
    pub fn end(&mut self, now: Duration, id: RunId, ending: Ending) {
        let Some(run) = self.runs.remove(&id) else { return };
        let node = self.loads.node(run.upstream);
        node.own.running -= 1.0;
        node.own.pending -= run.pending;
        match ending {
            Ending::Done => {
                node.health.succeed(now);
                let time = now.saturating_sub(run.started).as_secs_f64() * 1000.0;
                let mean = self.times.entry(run.service).or_insert(time);
                *mean += SMOOTH * (time - *mean);
            }
            Ending::Error | Ending::Rejected | Ending::Broken => node.health.fail(now),
            Ending::Unreachable => node.health.unreachable(now),
            Ending::Cancelled => {}
        }
    }

    /// Notes that a connection to an upstream could be opened.
    pub fn reachable(&mut self, upstream: u32) {
        self.loads.node(upstream).health.reachable();
    }

    /// Writes what this host did into a digest for the others.
    pub fn report(&mut self, now: Duration, digest: &mut wire::Digest) {
        self.loads.expire(now);
        self.count_overdue(now);
        (digest.loads, digest.prefixes) = self.loads.report();
        let usage = |(workspace, it): (u32, Usage)| wire::WorkspaceUsage {
            workspace,
            asked: it.asked as u64,
            taken: it.taken as u64,
        };
        digest.usage = self.shares.totals().map(usage).collect();
    }

    /// Takes another host's digest.
    pub fn merge(&mut self, now: Duration, digest: &wire::Digest) {
        let memories = &self.memories;
        let memory = |id| memories.get(&id).copied().unwrap_or(u64::MAX);
        for it in self.loads.merge(now, digest, memory) {
            let usage = Usage { asked: it.asked as f64, taken: it.taken as f64 };
            self.shares.learn(now, it.workspace, usage);
        }
    }

    /// Returns how many hosts there are, as far as this one hears.
    pub fn n_hosts(&self, now: Duration) -> usize {
        1 + self.loads.n_peers(now)
    }

    /// Returns the learned reading speed of a service's engines, in tokens a millisecond.
    pub fn reading_rate(&self, service: u32) -> Option<f64> {
        self.speeds.get(&service).map(Speed::rate)
    }

    fn count_overdue(&mut self, now: Duration) {
        self.loads.nodes_mut().for_each(|it| it.n_overdue = 0);
        for run in self.runs.values().filter(|it| !it.has_begun && it.due < now) {
            self.loads.node(run.upstream).n_overdue += 1;
        }
    }

    fn weigh(&self, now: Duration, job: &Job, chain: &[Link], it: &Candidate) -> Choice {
        let empty = Node::default();
        let node = self.loads.get(it.upstream).unwrap_or(&empty);
        let load = node.total();
        let (wait, own, unread) = match (&job.prompt, job.engine) {
            (Some(prompt), Some(engine)) => self.engine(now, job, prompt, chain, engine, node),
            _ => self.plain(job, it, load),
        };
        let shared: u32 = chain.iter().rev().skip(1).map(|it| it.tokens).sum();
        let last = chain.last().map_or(0, |it| it.tokens);
        let reread = f64::from(unread.saturating_sub(last).min(shared)) * REREAD;
        let objective = job.objective.as_secs_f64() * 1000.0;
        let failing = node.health.failing(now) * FAILING + f64::from(node.n_overdue) * OVERDUE_COST;
        let failing = failing * objective;
        let home = chain.first().map_or(0.0, |link| rank(link.hash, it.upstream) * HOME);
        Choice {
            upstream: it.upstream,
            wait,
            own,
            unread,
            ahead: load.pending as u32,
            cost: wait + own + reread + failing + home + if it.near { 0.0 } else { FAR },
            blocked: node.health.is_blocked(now),
            opens: node.health.blocked_until(),
        }
    }

    /// Returns the wait, the own time (ms) and the unread tokens of a request at an engine.
    fn engine(
        &self,
        now: Duration,
        job: &Job,
        prompt: &Prompt,
        chain: &[Link],
        engine: EngineSpec,
        node: &Node,
    ) -> (f64, f64, u32) {
        let load = node.total();
        let unread = unread(prompt, &node.cache, chain, engine);
        let first = Speed::default();
        let speed = self.speeds.get(&job.service).unwrap_or(&first);
        let own = speed.time(f64::from(unread));
        let over = load.running - f64::from(engine.slots) + 1.0;
        let time = self.times.get(&job.service).copied().unwrap_or(0.0);
        let slot = if over <= 0.0 { 0.0 } else { over * time / f64::from(engine.slots) };
        // Reading all the time would leave no time to generate: streams would run out of time.
        let most = READING * speed.rate() * Flow::span();
        let rest = (node.flow.sum(now) - most).max(0.0) / speed.rate();
        (load.pending / speed.rate() + slot + rest, own, unread)
    }

    fn plain(&self, job: &Job, it: &Candidate, load: Load) -> (f64, f64, u32) {
        let time = self.times.get(&job.service).copied().unwrap_or(PLAIN_TIME);
        let slots = f64::from(it.slots.max(1));
        let over = (load.running - slots + 1.0).max(0.0);
        // The share of its slots in use breaks the tie between upstreams with free ones.
        (over * time / slots + load.running / slots, time, 0)
    }

    /// Returns the longest wait, in milliseconds, with which a request is still sent.
    fn longest_wait(&self, job: &Job, standing: Standing, choice: &Choice) -> f64 {
        let objective = job.objective.as_secs_f64() * 1000.0;
        if job.engine.is_none() {
            return choice.own * PLAIN_QUEUE;
        }
        let waited = job.waited.as_secs_f64() * 1000.0;
        let in_time = objective - choice.own - waited;
        match standing {
            Standing::Share(it) if 1.0 < it => (in_time * share_factor(it)).max(0.0),
            Standing::Share(_) | Standing::Behind(_) | Standing::Plenty => {
                in_time.max(LATE_WAIT * objective)
            }
        }
    }

    fn all_blocked(&self, now: Duration, options: &[Choice]) -> Placement {
        let soonest = options.iter().map(|it| it.opens).min();
        let retry = soonest.map_or(AWAY.1, |it| it.saturating_sub(now));
        let retry = retry.clamp(AWAY.0, AWAY.1);
        Placement::Refuse { reason: Refusal::NoUpstream, retry, estimate: retry, share: 0.0 }
    }
}

/// What the upstream costs that hosts agree on least for a prompt, in milliseconds: hosts that
/// know of no copy of a part yet choose the same upstream for it.
const HOME: f64 = 15.0;
/// Part of its time that an engine may read prompts; the rest is for the tokens of the requests
/// that run. At 0.8 a token takes some 30 ms where reading takes 20 us a token.
const READING: f64 = 0.8;
/// What another data centre costs, in milliseconds: the bytes between them are paid for.
const FAR: f64 = 3.0;

#[derive(Debug, Clone)]
struct Choice {
    upstream: u32,
    /// Time behind others, ms.
    wait: f64,
    /// Time of its own, ms.
    own: f64,
    unread: u32,
    ahead: u32,
    cost: f64,
    blocked: bool,
    opens: Duration,
}

impl Choice {
    fn placed(&self, standing: Standing) -> Placed {
        Placed {
            upstream: self.upstream,
            estimate: millis(self.wait + self.own),
            unread: self.unread,
            ahead: self.ahead,
            share: standing.share(),
        }
    }
}

/// Returns how an upstream ranks for a prompt, zero to one; the same at every host.
fn rank(prompt: u32, upstream: u32) -> f64 {
    let hash = xxh3_64_with_seed(&prompt.to_le_bytes(), u64::from(upstream));
    (hash >> 32) as f64 / f64::from(u32::MAX)
}

fn least<'a>(
    options: impl Iterator<Item = &'a Choice>,
    f: impl Fn(&Choice) -> f64,
) -> Option<&'a Choice> {
    options.min_by(|a, b| f(a).total_cmp(&f(b)))
}

fn unread(prompt: &Prompt, cache: &Cache, chain: &[Link], engine: EngineSpec) -> u32 {
    prompt.input.saturating_sub(cache.kept(chain, engine.memory)).max(1)
}

/// Returns what a request counts in its workspace's share: a token of the prompt once, kept or
/// not, since which part is kept is the fleet's doing; a token generated twice.
fn cost(prompt: &Prompt) -> f64 {
    f64::from(prompt.input) + 2.0 * f64::from(prompt.output)
}

/// Returns the part of the objective that a workspace may wait which has had `share` times its
/// share, more than one.
fn share_factor(share: f64) -> f64 {
    let over = ((share - 1.0) / OVER_RANGE).min(1.0);
    OVER_WAIT + (OVER_LEAST - OVER_WAIT) * over
}

fn millis(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1000.0).unwrap_or(Duration::ZERO)
}
