//! What is on its way to each upstream, from this host and from the others.

use std::{collections::VecDeque, time::Duration};

use super::{
    backoff::Backoff,
    fast_map::FastMap,
    health::Health,
    peer_state::{PEER_TIMEOUT, PeerState},
    prefix_cache::PrefixCache,
    warmup::Warmup,
};
use crate::{telling::REPEATS, wire};

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
pub(crate) struct UpstreamState {
    pub local: Load,
    pub remote: Load,
    /// Tokens that this host's requests brought into its memory.
    tokens_read: f64,
    /// Digests that the sums above are still to be told in.
    n_reports_left: u32,
    pub cache: PrefixCache,
    pub health: Health,
    pub warmup: Warmup,
    pub backoff: Backoff,
    /// This host's requests whose first event is overdue.
    pub n_overdue: u32,
}

impl UpstreamState {
    /// Notes tokens that this host's request brings into its memory.
    pub(crate) fn record_read(&mut self, tokens: f64) {
        self.tokens_read += tokens;
        self.cache.record_read(tokens);
        self.n_reports_left = REPEATS;
    }

    /// Returns whether nothing is to be sent to it now.
    pub(crate) fn is_closed(&self, now: Duration) -> bool {
        self.health.is_blocked(now) || self.warmup.is_closed(now) || self.backoff.is_closed(now)
    }

    /// Returns whether parts of prompts are to be read elsewhere.
    ///
    /// All hosts agree on that, also those that may send a cold one something: else a part is read there by these and at
    /// the next upstream by all others. One that asked this host to be left alone is away for this host only.
    pub(crate) fn is_unavailable(&self, now: Duration) -> bool {
        self.health.is_blocked(now) || self.warmup.is_cold(now) || self.backoff.is_closed(now)
    }

    /// Returns when something may be sent to it.
    pub(crate) fn opens_at(&self, now: Duration) -> Duration {
        let opens = self.health.blocked_until().max(self.warmup.opens_at(now));
        opens.max(self.backoff.opens_at(now))
    }

    /// Returns what this host tells of it.
    fn report(&self, upstream: u32) -> wire::UpstreamLoad {
        wire::UpstreamLoad {
            upstream,
            running: self.local.running as u32,
            pending: self.local.pending.max(0.0) as u32,
            read: self.tokens_read as u64,
        }
    }

    /// Returns the load from all hosts.
    pub(crate) fn total(&self) -> Load {
        Load {
            running: self.local.running + self.remote.running,
            pending: (self.local.pending + self.remote.pending).max(0.0),
        }
    }
}

/// A use of a prompt's parts that other hosts are told of.
#[derive(Debug, Clone)]
struct Announcement {
    prefix: wire::PrefixUse,
    n_left: u32,
}

/// All upstreams.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    upstreams: FastMap<u32, UpstreamState>,
    peers: FastMap<u64, PeerState>,
    announcements: VecDeque<Announcement>,
    /// What other hosts of the data centre told, for sums.
    received: VecDeque<Announcement>,
    /// When this host last summed up its data centre.
    last_summary: Option<Duration>,
}

/// What the hosts of a data centre did, summed up.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    pub n_hosts: u32,
    pub loads: Vec<wire::UpstreamLoad>,
    pub prefixes: Vec<wire::PrefixUse>,
    pub usage: FastMap<u32, wire::WorkspaceUsage>,
}

impl UpstreamTable {
    /// Returns an upstream, new if it was not known.
    pub(crate) fn entry(&mut self, upstream: u32) -> &mut UpstreamState {
        self.upstreams.entry(upstream).or_default()
    }

    /// Returns all upstreams.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut UpstreamState> {
        self.upstreams.values_mut()
    }

    /// Returns all upstreams, to be read.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &UpstreamState> {
        self.upstreams.values()
    }

    /// Returns all upstreams with their numbers.
    pub(crate) fn iter_numbered_mut(&mut self) -> impl Iterator<Item = (u32, &mut UpstreamState)> {
        self.upstreams.iter_mut().map(|(number, it)| (*number, it))
    }

    /// Returns an upstream that is known.
    pub(crate) fn get(&self, upstream: u32) -> Option<&UpstreamState> {
        self.upstreams.get(&upstream)
    }

    /// Forgets upstreams that are gone, have no requests of this host and did not ask it to be left alone: an entry that
    /// lapsed may come back.
    pub(crate) fn retain(&mut self, f: impl Fn(u32) -> bool) {
        self.upstreams
            .retain(|id, it| f(*id) || 0.0 < it.local.running || it.backoff.is_recorded());
    }

    /// Remembers to tell the others of parts that an upstream now keeps.
    pub(crate) fn announce(&mut self, upstream: u32, parts: Vec<u32>) {
        if !parts.is_empty() {
            let prefix = wire::PrefixUse { upstream, parts };
            self.announcements.push_back(Announcement { prefix, n_left: REPEATS });
        }
    }

    /// Returns this host's part of a digest.
    pub(crate) fn report(&mut self) -> (Vec<wire::UpstreamLoad>, Vec<wire::PrefixUse>) {
        // What nobody uses and everybody knows is left out: a digest grows with what goes on.
        let is_reported =
            |it: &(&u32, &UpstreamState)| 0.0 < it.1.local.running || 0 < it.1.n_reports_left;
        let loads =
            self.upstreams.iter().filter(is_reported).map(|(id, it)| it.report(*id)).collect();
        self.upstreams
            .values_mut()
            .for_each(|it| it.n_reports_left = it.n_reports_left.saturating_sub(1));
        (loads, take_announcements(&mut self.announcements))
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
        let own = self.upstreams.iter().map(|(id, it)| it.report(*id));
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
        let mut prefixes = take_announcements(&mut self.received);
        prefixes.extend(self.announcements.iter().map(|it| it.prefix.clone()));
        self.last_summary = Some(now);
        Summary { n_hosts, loads, prefixes, usage }
    }

    /// Keeps what another host told, once, while this host sums up its data centre.
    fn collect_announcements(&mut self, now: Duration, digest: &wire::Digest) {
        if digest.n_summed != 0 || self.last_summary.is_none_or(|it| it + PEER_TIMEOUT < now) {
            return;
        }
        for it in &digest.prefixes {
            if !self.received.iter().any(|known| known.prefix == *it) {
                self.received.push_back(Announcement { prefix: it.clone(), n_left: REPEATS });
            }
        }
    }

    /// Takes another host's digest; returns how its workspaces' usage grew.
    ///
    /// A digest that is older than the last one taken changes nothing.
    pub(crate) fn merge_digest(
        &mut self,
        now: Duration,
        digest: &wire::Digest,
        memory: impl Fn(u32) -> u64,
    ) -> Vec<wire::WorkspaceUsage> {
        let peer = self.peers.entry(digest.host).or_default();
        if !peer.is_newer(digest) {
            return Vec::new();
        }
        remove_load(peer, &mut self.upstreams);
        peer.begin_digest(now, digest);
        for it in &digest.loads {
            apply_load(&mut self.upstreams, it, 1.0);
            let grown = peer.record_load(it);
            self.upstreams.entry(it.upstream).or_default().cache.record_read(grown as f64);
        }
        for it in &digest.prefixes {
            let state = self.upstreams.entry(it.upstream).or_default();
            state.cache.touch(it.parts.iter().copied(), memory(it.upstream));
        }
        let usage = digest.usage.iter().map(|it| peer.record_usage(it)).collect();
        self.collect_announcements(now, digest);
        usage
    }

    /// Drops what hosts said that have been silent for [`PEER_TIMEOUT`], and what upstreams asked for long ago.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.upstreams.values_mut().for_each(|it| it.backoff.expire(now));
        for peer in self.peers.values_mut() {
            if peer.last_heard + PEER_TIMEOUT <= now {
                remove_load(peer, &mut self.upstreams);
            }
        }
    }

    /// Returns how many other hosts were heard of late.
    pub(crate) fn n_peers(&self, now: Duration) -> usize {
        let alive = self.peers.values().filter(|it| now < it.last_heard + PEER_TIMEOUT);
        alive.map(|it| it.n_summed.max(1) as usize).sum()
    }
}

/// Takes the parts to be told now; each is told [`REPEATS`] times.
fn take_announcements(announcements: &mut VecDeque<Announcement>) -> Vec<wire::PrefixUse> {
    let res = announcements.iter().map(|it| it.prefix.clone()).collect();
    announcements.iter_mut().for_each(|it| it.n_left -= 1);
    announcements.retain(|it| 0 < it.n_left);
    res
}

/// Takes another host's requests away from the upstreams; its totals stay known.
fn remove_load(peer: &mut PeerState, upstreams: &mut FastMap<u32, UpstreamState>) {
    peer.loads.drain(..).for_each(|it| apply_load(upstreams, &it, -1.0));
}

/// Adds another host's requests to an upstream's, or takes them away with `sign` -1.
fn apply_load(upstreams: &mut FastMap<u32, UpstreamState>, it: &wire::UpstreamLoad, sign: f64) {
    let load = &mut upstreams.entry(it.upstream).or_default().remote;
    load.running = (load.running + sign * f64::from(it.running)).max(0.0);
    load.pending = (load.pending + sign * f64::from(it.pending)).max(0.0);
}
