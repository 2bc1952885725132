//! What each upstream would cost a request.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    job::{Assignment, Candidate, PlacementRequest},
    load::{Load, Loads, Node},
    prompt::{Link, Prompt},
    shares::ShareStatus,
    speed::Speed,
};
use crate::catalog::EngineSpec;

/// What reading a shared part again costs beside its own time, in milliseconds a token.
///
/// A part that is read at a second engine is read there in place of others' prompts.
const REREAD: f64 = 0.1;
/// The same at the upstream that hosts agree on for the part: it is read there rather than
/// elsewhere, and mostly is there already where this host does not know.
const REREAD_HOME: f64 = 0.05;
/// What an upstream that fails all requests costs, as a multiple of the objective.
const FAILING: f64 = 3.0;
/// What each overdue request adds to its upstream's cost, as a multiple of the objective.
const OVERDUE_COST: f64 = 2.0;
/// Time that a plain service takes before any was seen.
const PLAIN_TIME: f64 = 30.0;
/// What another data centre costs, in milliseconds: the bytes between them are paid for.
const FAR: f64 = 3.0;

/// What is known of a service's upstreams at one moment.
#[derive(Debug)]
pub(super) struct Scales<'a> {
    pub now: Duration,
    pub loads: &'a Loads,
    pub speed: &'a Speed,
    /// Average time of a request, in milliseconds, if any was seen.
    pub mean_time: Option<f64>,
    /// What estimates fell short of lately, in milliseconds.
    pub bias: f64,
    /// The upstream that hosts agree on for the request's shared parts.
    pub home: Option<u32>,
    /// What the order of upstreams of equal cost follows from.
    pub order: Order,
    /// Tokens of the request's shared parts.
    pub shared: u32,
}

/// The order of upstreams among which nothing else decides.
///
/// In the order of the list every host of a data centre that has heard the same thing would send its next request to
/// the same idle engine.
#[derive(Debug, Clone, Copy)]
pub(super) enum Order {
    /// That of the last shared part of a prompt: all hosts read it at the same next one.
    Part(u32),
    /// One drawn for this request.
    Drawn(u64),
}

impl Order {
    /// Returns the order for a prompt; `draw` is another number for each request.
    pub(super) fn of(chain: &[Link], draw: u64) -> Self {
        match chain {
            [.., part, _] => Self::Part(part.hash),
            _ => Self::Drawn(draw),
        }
    }

    /// Returns an upstream's rank; the highest goes first.
    pub(super) fn rank(self, upstream: u32) -> u64 {
        let number = match self {
            Self::Part(it) => u64::from(it),
            Self::Drawn(it) => it,
        };
        xxh3_64_with_seed(&number.to_le_bytes(), u64::from(upstream))
    }
}

/// One upstream as a choice for a request.
#[derive(Debug, Clone)]
pub(super) struct Choice {
    pub upstream: u32,
    pub times: Times,
    pub ahead: u32,
    /// What the least of is chosen, in milliseconds.
    pub cost: f64,
    /// The highest of equal cost is chosen.
    pub rank: u64,
    /// An engine on which nothing waits, with a slot left.
    pub is_idle: bool,
    /// It is left alone until `opens`.
    pub blocked: bool,
    pub opens: Duration,
    /// It asked to be left alone.
    pub backs_off: bool,
}

/// What a request would take at an upstream, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Times {
    /// Behind others.
    pub wait: f64,
    /// For itself.
    pub own: f64,
    /// The part of the wait that no host's requests explain.
    pub bias: f64,
    /// Tokens to read.
    pub unread: u32,
}

impl Choice {
    /// Returns the time to the first event, or the answer.
    pub(super) fn estimate(&self) -> Duration {
        millis(self.times.wait + self.times.own)
    }

    /// Returns the placement at this upstream.
    pub(super) fn placed(&self, standing: ShareStatus) -> Assignment {
        Assignment {
            upstream: self.upstream,
            estimate: self.estimate(),
            bias: millis(self.times.bias),
            uncached_tokens: self.times.unread,
            queued_tokens: self.ahead,
            share_ratio: standing.share_ratio(),
        }
    }
}

impl Scales<'_> {
    /// Weighs one upstream.
    pub(super) fn weigh(&self, job: &PlacementRequest, chain: &[Link], it: &Candidate) -> Choice {
        let empty = Node::default();
        let node = self.loads.get(it.upstream).unwrap_or(&empty);
        let times = match (&job.prompt, job.engine) {
            (Some(prompt), Some(engine)) => self.engine(prompt, chain, engine, node),
            _ => self.plain(it.slots, node.total()),
        };
        let last = chain.last().map_or(0, |it| it.tokens);
        let price = if self.home == Some(it.upstream) { REREAD_HOME } else { REREAD };
        let reread = f64::from(times.unread.saturating_sub(last).min(self.shared)) * price;
        let failing =
            node.health.failing(self.now) * FAILING + f64::from(node.n_overdue) * OVERDUE_COST;
        let far = if it.is_local { 0.0 } else { FAR };
        let objective = job.objective.as_secs_f64() * 1000.0;
        Choice {
            upstream: it.upstream,
            times,
            ahead: node.total().pending as u32,
            cost: times.wait + times.own + reread + failing * objective + far,
            rank: self.order.rank(it.upstream),
            is_idle: job.engine.is_some_and(|it| is_idle(it, node)),
            blocked: node.is_closed(self.now),
            opens: node.opens(self.now),
            backs_off: node.backoff.is_closed(self.now),
        }
    }

    fn engine(&self, prompt: &Prompt, chain: &[Link], engine: EngineSpec, node: &Node) -> Times {
        let load = node.total();
        let rate = self.speed.rate();
        let unread =
            prompt.input_tokens.saturating_sub(node.cache.kept(chain, engine.kv_capacity)).max(1);
        let slots = f64::from(engine.slots);
        let over = (load.running - slots + 1.0).max(0.0);
        let slot = over * self.mean_time.unwrap_or(0.0) / slots;
        let wait = load.pending / rate + slot + self.bias;
        Times { wait, own: self.speed.time(f64::from(unread)), bias: self.bias, unread }
    }

    fn plain(&self, slots: u32, load: Load) -> Times {
        let own = self.mean_time.unwrap_or(PLAIN_TIME);
        let slots = f64::from(slots.max(1));
        let over = (load.running - slots + 1.0).max(0.0);
        // The share of its slots in use breaks the tie between upstreams with free ones.
        Times { wait: over * own / slots + load.running / slots, own, bias: 0.0, unread: 0 }
    }
}

/// Returns whether nothing waits at an engine and it has a slot left, as far as this host knows.
fn is_idle(engine: EngineSpec, node: &Node) -> bool {
    let load = node.total();
    load.pending < 1.0 && load.running < f64::from(engine.slots) && node.n_overdue == 0
}

/// Returns the choice with the least of something; of several the one of highest rank.
pub(super) fn least(
    options: impl Iterator<Item = Choice>,
    f: impl Fn(&Choice) -> f64,
) -> Option<Choice> {
    options.min_by(|a, b| f(a).total_cmp(&f(b)).then(b.rank.cmp(&a.rank)))
}

/// Returns a time of so many milliseconds.
pub(super) fn millis(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1000.0).unwrap_or(Duration::ZERO)
}

/// Returns the upstream that hosts agree on for the last shared part of a prompt, by the highest
/// rendezvous hash; `None` where nothing is shared.
pub(super) fn home(order: Order, upstreams: impl Iterator<Item = u32>) -> Option<u32> {
    match order {
        Order::Part(_) => upstreams.max_by_key(|it| order.rank(*it)),
        Order::Drawn(_) => None,
    }
}
