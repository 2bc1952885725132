//! What is on its way to each upstream, from this host and from the others.

use std::{collections::VecDeque, time::Duration};

use super::{
    backoff::Backoff,
    cache::Cache,
    fast_map::FastMap,
    health::Health,
    peer_state::{PEER_TIMEOUT, PeerState},
    warmup::Warmup,
};
use crate::{digest_scope::DIGESTS_PER_UPDATE, wire};

/// Requests at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Load {
    /// Requests sent and not ended.
    pub running: f64,
    /// Tokens to read before the first events that have not come.
    pub pending: f64,
}

/// One upstream.
#[derive(Debug, Default)]
pub(crate) struct Node {
    pub own: Load,
    pub others: Load,
    /// Tokens that this host's requests brought into its memory.
    read: f64,
    /// Digests that the sums above are still to be told in.
    n_told: u32,
    pub cache: Cache,
    pub health: Health,
    pub warmup: Warmup,
    pub backoff: Backoff,
    /// This host's requests whose first event is overdue.
    pub n_overdue: u32,
}

impl Node {
    /// Notes tokens that this host's request brings into its memory.
    pub(crate) fn note_read(&mut self, tokens: f64) {
        self.read += tokens;
        self.cache.read(tokens);
        self.n_told = DIGESTS_PER_UPDATE;
    }

    /// Returns whether nothing is to be sent to it now.
    pub(crate) fn is_closed(&self, now: Duration) -> bool {
        self.health.is_blocked(now) || self.warmup.is_closed(now) || self.backoff.is_closed(now)
    }

    /// Returns whether parts of prompts are to be read elsewhere.
    ///
    /// All hosts agree on that, also those that may send a cold one something: else a part is read there by these and at
    /// the next upstream by all others. One that asked this host to be left alone is away for this host only.
    pub(crate) fn is_away(&self, now: Duration) -> bool {
        self.health.is_blocked(now) || self.warmup.is_cold(now) || self.backoff.is_closed(now)
    }

    /// Returns when something may be sent to it.
    pub(crate) fn opens(&self, now: Duration) -> Duration {
        let opens = self.health.blocked_until().max(self.warmup.opens(now));
        opens.max(self.backoff.opens(now))
    }

    /// Returns what this host tells of it.
    fn report(&self, upstream: u32) -> wire::UpstreamLoad {
        wire::UpstreamLoad {
            upstream,
            running: self.own.running as u32,
            pending: self.own.pending.max(0.0) as u32,
            read: self.read as u64,
        }
    }

    /// Returns the load from all hosts.
    pub(crate) fn total(&self) -> Load {
        Load {
            running: self.own.running + self.others.running,
            pending: (self.own.pending + self.others.pending).max(0.0),
        }
    }
}

/// A use of a prompt's parts that other hosts are told of.
#[derive(Debug, Clone)]
struct Told {
    prefix: wire::PrefixUse,
    n_left: u32,
}

/// All upstreams.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    nodes: FastMap<u32, Node>,
    peers: FastMap<u64, PeerState>,
    told: VecDeque<Told>,
    /// What other hosts of the data centre told, for sums.
    heard: VecDeque<Told>,
    /// When this host last summed up its data centre.
    summed: Option<Duration>,
}

/// What the hosts of a data centre did, summed up.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    pub n_hosts: u32,
    pub loads: Vec<wire::UpstreamLoad>,
    pub prefixes: Vec<wire::PrefixUse>,
    pub usage: FastMap<u32, wire::WorkspaceUsage>,
}

impl Loads {
    /// Returns an upstream, new if it was not known.
    pub(crate) fn node(&mut self, upstream: u32) -> &mut Node {
        self.nodes.entry(upstream).or_default()
    }

    /// Returns all upstreams.
    pub(crate) fn nodes_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        self.nodes.values_mut()
    }

    /// Returns all upstreams, to be read.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    /// Returns all upstreams with their numbers.
    pub(crate) fn numbered_mut(&mut self) -> impl Iterator<Item = (u32, &mut Node)> {
        self.nodes.iter_mut().map(|(number, it)| (*number, it))
    }

    /// Returns an upstream that is known.
    pub(crate) fn get(&self, upstream: u32) -> Option<&Node> {
        self.nodes.get(&upstream)
    }

    /// Forgets upstreams that are gone, have no requests of this host and did not ask it to be left alone: an entry that
    /// lapsed may come back.
    pub(crate) fn retain(&mut self, f: impl Fn(u32) -> bool) {
        self.nodes.retain(|id, it| f(*id) || 0.0 < it.own.running || it.backoff.is_known());
    }

    /// Remembers to tell the others of parts that an upstream now keeps.
    pub(crate) fn tell(&mut self, upstream: u32, parts: Vec<u32>) {
        if !parts.is_empty() {
            let prefix = wire::PrefixUse { upstream, parts };
            self.told.push_back(Told { prefix, n_left: DIGESTS_PER_UPDATE });
        }
    }

    /// Returns this host's part of a digest.
    pub(crate) fn report(&mut self) -> (Vec<wire::UpstreamLoad>, Vec<wire::PrefixUse>) {
        // What nobody uses and everybody knows is left out: a digest grows with what goes on.
        let is_news = |it: &(&u32, &Node)| 0.0 < it.1.own.running || 0 < it.1.n_told;
        let loads = self.nodes.iter().filter(is_news).map(|(id, it)| it.report(*id)).collect();
        self.nodes.values_mut().for_each(|it| it.n_told = it.n_told.saturating_sub(1));
        (loads, take_told(&mut self.told))
    }

    /// Sums up what this host and the others of its data centre did; usage is the others' only.
    ///
    /// What was read and used is that since this host first heard each of them. With their totals in
    /// its place a host that starts anew and sums up tells the other data centres all that its
    /// neighbours ever did as done just now.
    pub(crate) fn summary(&mut self, now: Duration, data_centre: u32) -> Summary {
        let members =
            || self.peers.values().filter(|it| it.data_centre == data_centre && it.n_summed == 0);
        let mut loads: FastMap<u32, wire::UpstreamLoad> = FastMap::default();
        let own = self.nodes.iter().map(|(id, it)| it.report(*id));
        for it in own.chain(members().flat_map(PeerState::observed_loads)) {
            let new = wire::UpstreamLoad { upstream: it.upstream, ..Default::default() };
            let sum = loads.entry(it.upstream).or_insert(new);
            sum.running += it.running;
            sum.pending += it.pending;
            sum.read += it.read;
        }
        let mut usage: FastMap<u32, wire::WorkspaceUsage> = FastMap::default();
        for it in members().flat_map(PeerState::observed_usage) {
            let new = wire::WorkspaceUsage { workspace: it.workspace, ..Default::default() };
            let sum = usage.entry(it.workspace).or_insert(new);
            sum.asked += it.asked;
            sum.taken += it.taken;
        }
        let n_hosts = 1 + members().filter(|it| now < it.last_heard + PEER_TIMEOUT).count() as u32;
        let loads = loads.into_values().filter(|it| 0 < it.read || 0 < it.running).collect();
        // This host's own parts are among those it tells; they go along once.
        let mut prefixes = take_told(&mut self.heard);
        prefixes.extend(self.told.iter().map(|it| it.prefix.clone()));
        self.summed = Some(now);
        Summary { n_hosts, loads, prefixes, usage }
    }

    /// Keeps what another host told, once, while this host sums up its data centre.
    fn keep_told(&mut self, now: Duration, digest: &wire::Digest) {
        if digest.n_summed != 0 || self.summed.is_none_or(|it| it + PEER_TIMEOUT < now) {
            return;
        }
        for it in &digest.prefixes {
            if !self.heard.iter().any(|told| told.prefix == *it) {
                self.heard.push_back(Told { prefix: it.clone(), n_left: DIGESTS_PER_UPDATE });
            }
        }
    }

    /// Takes another host's digest; returns how its workspaces' usage grew.
    ///
    /// A digest that is older than the last one taken changes nothing.
    pub(crate) fn merge(
        &mut self,
        now: Duration,
        digest: &wire::Digest,
        memory: impl Fn(u32) -> u64,
    ) -> Vec<wire::WorkspaceUsage> {
        let peer = self.peers.entry(digest.host).or_default();
        if !peer.is_newer(digest) {
            return Vec::new();
        }
        withdraw(peer, &mut self.nodes);
        peer.begin_digest(now, digest);
        for it in &digest.loads {
            add(&mut self.nodes, it, 1.0);
            let grown = peer.record_load(it);
            self.nodes.entry(it.upstream).or_default().cache.read(grown as f64);
        }
        for it in &digest.prefixes {
            let node = self.nodes.entry(it.upstream).or_default();
            node.cache.touch(it.parts.iter().copied(), memory(it.upstream));
        }
        let usage = digest.usage.iter().map(|it| peer.record_usage(it)).collect();
        self.keep_told(now, digest);
        usage
    }

    /// Drops what hosts said that have been silent for [`PEER_TIMEOUT`], and what upstreams asked for long ago.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.nodes.values_mut().for_each(|it| it.backoff.expire(now));
        for peer in self.peers.values_mut() {
            if peer.last_heard + PEER_TIMEOUT <= now {
                withdraw(peer, &mut self.nodes);
            }
        }
    }

    /// Returns how many other hosts were heard of late.
    pub(crate) fn n_peers(&self, now: Duration) -> usize {
        let alive = self.peers.values().filter(|it| now < it.last_heard + PEER_TIMEOUT);
        alive.map(|it| it.n_summed.max(1) as usize).sum()
    }
}

/// Takes the parts to be told now; each is told [`DIGESTS_PER_UPDATE`] times.
fn take_told(told: &mut VecDeque<Told>) -> Vec<wire::PrefixUse> {
    let res = told.iter().map(|it| it.prefix.clone()).collect();
    told.iter_mut().for_each(|it| it.n_left -= 1);
    told.retain(|it| 0 < it.n_left);
    res
}

/// Takes another host's requests away from the upstreams; its totals stay known.
fn withdraw(peer: &mut PeerState, nodes: &mut FastMap<u32, Node>) {
    peer.loads.drain(..).for_each(|it| add(nodes, &it, -1.0));
}

/// Adds another host's requests to an upstream's, or takes them away with `sign` -1.
fn add(nodes: &mut FastMap<u32, Node>, it: &wire::UpstreamLoad, sign: f64) {
    let others = &mut nodes.entry(it.upstream).or_default().others;
    others.running = (others.running + sign * f64::from(it.running)).max(0.0);
    others.pending = (others.pending + sign * f64::from(it.pending)).max(0.0);
}
