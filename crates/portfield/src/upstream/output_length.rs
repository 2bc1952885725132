//! Expected output of a request, learned from the completed requests of its route.
//!
//! Callers state the largest output and, some of them, what they expect. Both can be far from what
//! is produced, and by about the same factor for all requests of a route. Each host tells the totals
//! of its own completed requests, so that a lost or repeated digest changes nothing.

use super::Prompt;
use crate::{fast_map::FastMap, wire};

/// Completed requests of a route from which on its factor is used: with fewer, one unusual request
/// would decide.
const MIN_COMPLETED: f64 = 8.0;
/// Completed requests above which all sums are halved, so that a route whose output changes is
/// learned anew within some hundred requests.
const MAX_COMPLETED: f64 = 512.0;
/// Routes that one digest tells at most, of some 20 bytes each.
const MAX_REPORTED: usize = 16;
/// Routes of one peer, and peers, whose totals are kept; above that the totals are learned again.
const MAX_TRACKED: usize = 256;

/// Sums over completed requests of one route.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    completed: f64,
    expected: f64,
    produced: f64,
}

impl Sums {
    fn add(&mut self, it: &wire::RouteOutput) {
        self.completed += it.completed as f64;
        self.expected += it.expected as f64;
        self.produced += it.produced as f64;
        if MAX_COMPLETED < self.completed {
            let factor = 0.5 * MAX_COMPLETED / self.completed;
            self.completed *= factor;
            self.expected *= factor;
            self.produced *= factor;
        }
    }
}

/// Totals that a peer told last.
#[derive(Debug, Default)]
struct PeerOutputs {
    incarnation: u64,
    totals: FastMap<u32, wire::RouteOutput>,
}

/// Output of each route's requests, by the hash of the route's name.
#[derive(Debug, Default)]
pub(crate) struct RouteOutputs {
    learned: FastMap<u32, Sums>,
    /// Totals of this host's requests since its start.
    own: FastMap<u32, wire::RouteOutput>,
    /// Totals of this data centre's other hosts, as far as this host heard them grow.
    members: FastMap<u32, wire::RouteOutput>,
    /// Routes whose own totals have changed since they were last told.
    changed: Vec<u32>,
    peers: FastMap<u64, PeerOutputs>,
}

impl RouteOutputs {
    /// Returns the output that a request of a route is expected to produce, in tokens; the caller's
    /// maximum if too little is known of the route.
    pub(crate) fn expected(&self, route: u32, prompt: &Prompt) -> f64 {
        let max = f64::from(prompt.max_output_tokens);
        match self.learned.get(&route) {
            Some(it) if MIN_COMPLETED <= it.completed && 0.0 < it.expected => {
                (f64::from(announced(prompt)) * it.produced / it.expected).min(max)
            }
            _ => max,
        }
    }

    /// Records a completed request of this host and the tokens that it produced.
    pub(crate) fn record(&mut self, route: u32, prompt_output: u32, produced: u64) {
        let new =
            wire::RouteOutput { route, completed: 1, expected: u64::from(prompt_output), produced };
        self.learned.entry(route).or_default().add(&new);
        add_totals(self.own.entry(route).or_default(), &new);
        if !self.changed.contains(&route) {
            self.changed.push(route);
        }
    }

    /// Takes this host's totals that have changed, up to a limit, for a digest.
    pub(crate) fn take_changed(&mut self) -> Vec<wire::RouteOutput> {
        let n = self.changed.len().min(MAX_REPORTED);
        let routes: Vec<u32> = self.changed.drain(..n).collect();
        routes.iter().filter_map(|it| self.own.get(it)).copied().collect()
    }

    /// Returns the totals of this data centre's hosts with the most completed requests, for a
    /// summary.
    pub(crate) fn summary(&self) -> Vec<wire::RouteOutput> {
        let mut sums = self.members.clone();
        for (route, it) in &self.own {
            add_totals(sums.entry(*route).or_default(), it);
        }
        let mut res: Vec<_> = sums.into_values().collect();
        res.sort_unstable_by_key(|it| std::cmp::Reverse((it.completed, it.route)));
        res.truncate(MAX_REPORTED);
        res
    }

    /// Merges the totals in another host's digest or in a summary.
    ///
    /// The first totals of an incarnation count only while nothing is known of the route: they were
    /// mostly learned before, in another way.
    pub(crate) fn merge(&mut self, digest: &wire::Digest) {
        if digest.outputs.is_empty() {
            return;
        }
        if MAX_TRACKED < self.peers.len() {
            self.peers.clear();
        }
        let peer = self.peers.entry(digest.host).or_default();
        if peer.incarnation != digest.incarnation || MAX_TRACKED < peer.totals.len() {
            *peer = PeerOutputs { incarnation: digest.incarnation, ..PeerOutputs::default() };
        }
        for it in &digest.outputs {
            let before = peer.totals.get(&it.route).copied();
            let grown = match before {
                Some(before) if it.completed <= before.completed => continue,
                Some(before) => growth(it, &before),
                None if self.learned.contains_key(&it.route) => wire::RouteOutput::default(),
                None => *it,
            };
            peer.totals.insert(it.route, *it);
            if grown.completed == 0 {
                continue;
            }
            self.learned.entry(it.route).or_default().add(&grown);
            if digest.n_summed == 0 {
                add_totals(self.members.entry(it.route).or_default(), &grown);
            }
        }
    }
}

/// Returns the output that a caller announced: its estimate, else its maximum.
pub(crate) fn announced(prompt: &Prompt) -> u32 {
    let max = prompt.max_output_tokens;
    prompt.length_hint.map_or(max, |it| it.min(max)).max(1)
}

fn add_totals(sum: &mut wire::RouteOutput, it: &wire::RouteOutput) {
    sum.route = it.route;
    sum.completed += it.completed;
    sum.expected += it.expected;
    sum.produced += it.produced;
}

fn growth(now: &wire::RouteOutput, before: &wire::RouteOutput) -> wire::RouteOutput {
    wire::RouteOutput {
        route: now.route,
        completed: now.completed - before.completed,
        expected: now.expected.saturating_sub(before.expected),
        produced: now.produced.saturating_sub(before.produced),
    }
}
