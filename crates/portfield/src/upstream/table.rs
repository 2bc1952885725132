//! Load, cache and health of each upstream, from this host's requests and from other hosts'
//! digests.

use std::{cmp::Reverse, collections::VecDeque, time::Duration};

use super::{
    backoff::Backoff,
    health::Health,
    memory::MemoryUse,
    prefix_cache::{PrefixCache, PrefixState},
    warmup::Warmup,
};
use crate::{
    digest_scope::DIGESTS_PER_UPDATE,
    fast_map::FastMap,
    gossip::{PeerState, peer_timeout},
    wire,
};

/// Upstreams that a summary names at most, of some 25 bytes each: a datagram holds 64 KB.
const MAX_SUMMARY_LOADS: usize = 1_200;
/// Uses of prefixes that it names at most, of some 20 bytes each.
const MAX_SUMMARY_PREFIXES: usize = 600;

/// Time for which the memory of other hosts' requests still counts while none of them is heard.
///
/// They go on sending to the engines. Longer than requests run, so that afterwards the count says
/// nothing anyway.
const CUT_OFF_MEMORY: Duration = Duration::from_secs(10);

/// Who reported a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadSource {
    /// A host, for its own requests.
    Host,
    /// The leader of another data centre, for all its hosts.
    Summary,
}

/// Requests at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Load {
    /// Requests sent and not ended.
    pub running: f64,
    /// Tokens that the upstream has yet to read before the first events of these requests.
    pub pending: f64,
    /// Cached tokens that requests without a first event fetch from the upstream.
    pub fetching: f64,
    /// KV memory of these requests; zero unless it is limited.
    pub memory: MemoryUse,
}

/// What this host knows of one upstream.
#[derive(Debug, Default)]
pub(crate) struct UpstreamState {
    pub own: Load,
    pub peers: Load,
    /// Tokens that this host's requests brought into its memory.
    tokens_read: f64,
    /// Tokens that the requests of this data centre's other hosts brought there, as far as this host
    /// heard of them.
    peers_read: u64,
    /// Number of summaries in which its totals are still to be reported.
    n_summaries_left: u32,
    /// Number of digests in which the totals above are still to be reported.
    n_reports_left: u32,
    pub cache: PrefixCache,
    pub health: Health,
    pub warmup: Warmup,
    pub backoff: Backoff,
    /// This host's requests whose first event is overdue.
    pub n_overdue: u32,
    /// Tokens that this host's requests without a first event at this upstream fetch from others.
    pub incoming: f64,
}

impl UpstreamState {
    /// Records tokens that a request of this host brings into the upstream's memory.
    pub(crate) fn record_read(&mut self, tokens: f64) {
        self.tokens_read += tokens;
        self.cache.record_read(tokens);
        self.n_reports_left = DIGESTS_PER_UPDATE;
        self.n_summaries_left = DIGESTS_PER_UPDATE;
    }

    /// Records tokens that a request of another host brings into the upstream's memory.
    fn record_peer_read(&mut self, tokens: u64, source: LoadSource) {
        self.cache.record_read(tokens as f64);
        if source == LoadSource::Host && 0 < tokens {
            self.peers_read += tokens;
            self.n_summaries_left = DIGESTS_PER_UPDATE;
        }
    }

    /// Reports this host's entry in the next digests and summaries, also while it runs nothing.
    pub(crate) fn renew_report(&mut self) {
        self.n_reports_left = DIGESTS_PER_UPDATE;
        self.n_summaries_left = DIGESTS_PER_UPDATE;
    }

    /// Reports the entry in the next summaries, also while nothing runs there.
    pub(crate) fn renew_summary(&mut self) {
        self.n_summaries_left = DIGESTS_PER_UPDATE;
    }

    /// Returns whether no request may be sent to it now.
    pub(crate) fn is_closed(&self, now: Duration) -> bool {
        self.health.is_blocked(now) || self.warmup.is_closed(now) || self.backoff.is_closed(now)
    }

    /// Returns whether shared prompt parts are to be cached at another upstream.
    ///
    /// All hosts must agree on this, including those with a quota for a cold upstream: otherwise a
    /// part is read both there and at the next upstream. A backoff applies to this host only.
    pub(crate) fn is_unavailable(&self, now: Duration) -> bool {
        self.health.is_blocked(now) || self.warmup.is_cold(now) || self.backoff.is_closed(now)
    }

    /// Returns when a request may be sent to it.
    pub(crate) fn opens_at(&self, now: Duration) -> Duration {
        let opens = self.health.blocked_until().max(self.warmup.opens_at(now));
        opens.max(self.backoff.opens_at(now))
    }

    /// Returns this host's entry for a digest.
    fn report(&self, upstream: u32) -> wire::UpstreamLoad {
        let mut res = wire::UpstreamLoad {
            upstream,
            running: self.own.running as u32,
            pending: self.own.pending.max(0.0) as u32,
            read: self.tokens_read as u64,
            fetching: self.own.fetching.max(0.0) as u32,
            ..Default::default()
        };
        self.own.memory.write(&mut res);
        res
    }

    /// Returns the load from all hosts.
    pub(crate) fn total(&self) -> Load {
        Load {
            running: self.own.running + self.peers.running,
            pending: (self.own.pending + self.peers.pending).max(0.0),
            fetching: (self.own.fetching + self.peers.fetching).max(0.0),
            memory: self.own.memory.plus(self.peers.memory),
        }
    }
}

/// A use of prompt prefixes that digests announce to other hosts.
#[derive(Debug, Clone)]
struct Announcement {
    prefix: wire::PrefixUse,
    n_left: u32,
}

/// All known upstreams, and the digests of the peers that use them.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    upstreams: FastMap<u32, UpstreamState>,
    peers: FastMap<u64, PeerState>,
    announcements: VecDeque<Announcement>,
    /// Announcements of other hosts of this data centre, for the summary.
    received: VecDeque<Announcement>,
    /// When this host last wrote a summary.
    last_summary: Option<Duration>,
    /// Time between two digests of a host of this data centre.
    digest_period: Duration,
}

/// Summary of a data centre's hosts.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    pub n_hosts: u32,
    pub loads: Vec<wire::UpstreamLoad>,
    pub prefixes: Vec<wire::PrefixUse>,
    pub usage: FastMap<u32, wire::WorkspaceUsage>,
}

impl UpstreamTable {
    /// Sets the time between two digests of a host of this data centre.
    pub(crate) fn set_digest_period(&mut self, period: Duration) {
        self.digest_period = period;
    }

    /// Returns the time between two digests of a host of this data centre.
    pub(crate) fn digest_period(&self) -> Duration {
        self.digest_period
    }

    /// Returns the state of an upstream, inserting it if needed.
    pub(crate) fn entry(&mut self, upstream: u32) -> &mut UpstreamState {
        self.upstreams.entry(upstream).or_default()
    }

    /// Iterates over all upstreams mutably.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut UpstreamState> {
        self.upstreams.values_mut()
    }

    /// Iterates over all upstreams.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &UpstreamState> {
        self.upstreams.values()
    }

    /// Iterates over all upstreams and their wire ids, mutably.
    pub(crate) fn iter_with_ids(&self) -> impl Iterator<Item = (u32, &UpstreamState)> {
        self.upstreams.iter().map(|(id, it)| (*id, it))
    }

    /// Returns the state of all upstreams with their ids, to change it.
    pub(crate) fn iter_with_ids_mut(&mut self) -> impl Iterator<Item = (u32, &mut UpstreamState)> {
        self.upstreams.iter_mut().map(|(id, it)| (*id, it))
    }

    /// Returns the state of a known upstream.
    pub(crate) fn get(&self, upstream: u32) -> Option<&UpstreamState> {
        self.upstreams.get(&upstream)
    }

    /// Removes upstreams that are no longer known, unless they run requests of this host, have a
    /// recorded backoff or are cold: an entry that lapsed in the store may come back.
    pub(crate) fn retain(&mut self, now: Duration, f: impl Fn(u32) -> bool) {
        self.upstreams.retain(|id, it| {
            let is_in_use = 0.0 < it.own.running || it.backoff.is_recorded();
            f(*id) || is_in_use || it.warmup.is_cold(now)
        });
    }

    /// Queues prompt prefixes that were sent to an upstream for announcement to other hosts.
    pub(crate) fn announce(&mut self, upstream: u32, parts: Vec<u32>, state: PrefixState) {
        if !parts.is_empty() {
            let unread = state == PrefixState::Sent;
            let prefix = wire::PrefixUse { upstream, parts, unread, ..Default::default() };
            self.announcements.push_back(Announcement { prefix, n_left: DIGESTS_PER_UPDATE });
        }
    }

    /// Announces that an upstream has read prefixes that were announced as sent there.
    ///
    /// Announcements that are still queued are changed, and others are repeated once only: without
    /// that, digests grew by another tenth.
    pub(crate) fn announce_read(&mut self, upstream: u32, parts: Vec<u32>) {
        if parts.is_empty() {
            return;
        }
        let prefix = wire::PrefixUse { upstream, parts, ..Default::default() };
        if mark_read(&mut self.announcements, &prefix) == 0 {
            self.announcements.push_back(Announcement { prefix, n_left: 1 });
        }
    }

    /// Returns this host's loads and announcements for a digest.
    pub(crate) fn report(&mut self) -> (Vec<wire::UpstreamLoad>, Vec<wire::PrefixUse>) {
        // Idle upstreams whose totals were already reported are left out, which keeps digests
        // short.
        let is_in_use =
            |it: &Load| 0.0 < it.running || 0.0 < it.fetching || 0.0 < it.memory.reserved;
        let is_reported =
            |it: &(&u32, &UpstreamState)| is_in_use(&it.1.own) || 0 < it.1.n_reports_left;
        let loads =
            self.upstreams.iter().filter(is_reported).map(|(id, it)| it.report(*id)).collect();
        self.upstreams
            .values_mut()
            .for_each(|it| it.n_reports_left = it.n_reports_left.saturating_sub(1));
        (loads, take_announcements(&mut self.announcements, usize::MAX))
    }

    /// Summarizes what this host and the other hosts of its data centre did; usage covers the other
    /// hosts only.
    ///
    /// Of the other hosts' totals it counts the growth since this host first heard them. With the
    /// full totals, a restarted leader would report to the other data centres, as new, everything
    /// that its neighbours ever did.
    pub(crate) fn summary(&mut self, now: Duration, data_centre: u32) -> Summary {
        let members =
            || self.peers.values().filter(|it| it.data_centre == data_centre && it.n_summed == 0);
        let mut running: FastMap<u32, Load> = FastMap::default();
        for it in members().flat_map(|it| &it.loads) {
            let sum = running.entry(it.upstream).or_default();
            sum.running += f64::from(it.running);
            sum.pending += f64::from(it.pending);
            sum.fetching += f64::from(it.fetching);
            sum.memory.add(it, 1.0);
        }
        let mut usage: FastMap<u32, wire::WorkspaceUsage> = FastMap::default();
        for it in members().flat_map(PeerState::observed_usage) {
            let new = wire::WorkspaceUsage { workspace: it.workspace, ..Default::default() };
            let sum = usage.entry(it.workspace).or_insert(new);
            sum.asked += it.asked;
            sum.taken += it.taken;
        }
        let n_hosts =
            1 + members().filter(|it| it.is_alive(now, self.digest_period)).count() as u32;
        let loads = self.summarize_loads(&running);
        // This host's own prefixes are sent in its digests too; the summary carries them as well.
        let mut prefixes = take_announcements(&mut self.received, MAX_SUMMARY_PREFIXES);
        prefixes.extend(self.announcements.iter().map(|it| it.prefix.clone()));
        prefixes.truncate(MAX_SUMMARY_PREFIXES);
        self.last_summary = Some(now);
        Summary { n_hosts, loads, prefixes, usage }
    }

    /// Returns the loads of the upstreams that are in use or whose totals have changed, those with
    /// the most requests first. `members` has the loads of this data centre's other hosts.
    fn summarize_loads(&mut self, members: &FastMap<u32, Load>) -> Vec<wire::UpstreamLoad> {
        let summed = |(id, it): (&u32, &UpstreamState)| {
            let others = members.get(id).copied().unwrap_or_default();
            let mut load = wire::UpstreamLoad {
                upstream: *id,
                running: (it.own.running + others.running) as u32,
                pending: (it.own.pending + others.pending).max(0.0) as u32,
                read: it.tokens_read as u64 + it.peers_read,
                fetching: (it.own.fetching + others.fetching).max(0.0) as u32,
                ..Default::default()
            };
            it.own.memory.plus(others.memory).write(&mut load);
            let is_in_use = 0 < load.running || 0 < load.fetching || 0 < load.reserved;
            (is_in_use || 0 < it.n_summaries_left).then_some(load)
        };
        let mut res: Vec<wire::UpstreamLoad> = self.upstreams.iter().filter_map(summed).collect();
        res.sort_unstable_by_key(|it| Reverse((it.running, it.upstream)));
        res.truncate(MAX_SUMMARY_LOADS);
        for it in &res {
            let state = self.entry(it.upstream);
            state.n_summaries_left = state.n_summaries_left.saturating_sub(1);
        }
        res
    }

    /// Keeps the announcements of another host, each once, while this host writes summaries.
    fn collect_announcements(&mut self, now: Duration, digest: &wire::Digest) {
        let timeout = peer_timeout(self.digest_period);
        if digest.n_summed != 0 || self.last_summary.is_none_or(|it| it + timeout < now) {
            return;
        }
        // Repeated uses are for hosts of the same data centre, which hear them themselves.
        for it in digest.prefixes.iter().filter(|it| it.age == 0) {
            if !it.unread && 0 < mark_read(&mut self.received, it) {
                continue;
            }
            if !self.received.iter().any(|known| known.prefix == *it) {
                self.received
                    .push_back(Announcement { prefix: it.clone(), n_left: DIGESTS_PER_UPDATE });
            }
        }
    }

    /// Merges another host's digest and returns the growth of its workspaces' usage.
    ///
    /// A digest older than the last one merged is ignored.
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
        peer.begin_digest(now, digest, self.digest_period);
        for it in &digest.loads {
            apply_load(&mut self.upstreams, it, 1.0);
            let grown = peer.record_load(it);
            let source = if digest.n_summed == 0 { LoadSource::Host } else { LoadSource::Summary };
            self.upstreams.entry(it.upstream).or_default().record_peer_read(grown, source);
        }
        for it in &digest.prefixes {
            let state = self.upstreams.entry(it.upstream).or_default();
            let memory = memory(it.upstream);
            if 0 < it.age {
                state.cache.add_earlier(&it.parts, memory, it.age);
                continue;
            }
            let prefix_state = if it.unread { PrefixState::Sent } else { PrefixState::Read };
            state.cache.touch(it.parts.iter().copied(), memory, prefix_state);
        }
        let usage = digest.usage.iter().map(|it| peer.record_usage(it)).collect();
        self.collect_announcements(now, digest);
        usage
    }

    /// Drops the load of peers that have been silent too long, and backoffs that ended long ago.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.upstreams.values_mut().for_each(|it| it.backoff.expire(now));
        // With no other host heard, this one is cut off, rather than all others dead.
        let is_cut_off = !self.peers.values().any(|it| it.is_alive(now, self.digest_period));
        for peer in self.peers.values_mut().filter(|it| !it.is_alive(now, self.digest_period)) {
            if is_cut_off && now < peer.last_heard + CUT_OFF_MEMORY {
                keep_memory(peer, &mut self.upstreams);
            } else {
                remove_load(peer, &mut self.upstreams);
            }
        }
    }

    /// Returns the mean time since the last digests of the other hosts; `None` if there are none.
    pub(crate) fn mean_digest_age(&self, now: Duration) -> Option<Duration> {
        let is_alive = |it: &&PeerState| it.is_alive(now, self.digest_period);
        let is_recent = |it: &&PeerState| now < it.last_heard + CUT_OFF_MEMORY;
        let mean = |peers: &mut dyn Iterator<Item = &PeerState>| {
            let (n, sum) = peers.fold((0, Duration::ZERO), |(n, sum), it| {
                (n + 1, sum + now.saturating_sub(it.last_heard))
            });
            sum.checked_div(n)
        };
        mean(&mut self.peers.values().filter(is_alive))
            .or_else(|| mean(&mut self.peers.values().filter(is_recent)))
    }

    /// Returns the number of other hosts heard recently, directly or in a summary.
    pub(crate) fn n_peers(&self, now: Duration) -> usize {
        let alive = self.peers.values().filter(|it| it.is_alive(now, self.digest_period));
        alive.map(|it| it.n_summed.max(1) as usize).sum()
    }
}

/// Marks the queued announcements of a use as read that are not yet; returns their number.
fn mark_read(announcements: &mut VecDeque<Announcement>, read: &wire::PrefixUse) -> usize {
    let is_unread = |it: &&mut Announcement| {
        it.prefix.unread && it.prefix.upstream == read.upstream && it.prefix.parts == read.parts
    };
    let unread = announcements.iter_mut().filter(is_unread);
    unread.map(|it| it.prefix.unread = false).count()
}

/// Takes the announcements due now, up to `n`; each is sent [`DIGESTS_PER_UPDATE`] times.
fn take_announcements(
    announcements: &mut VecDeque<Announcement>,
    n: usize,
) -> Vec<wire::PrefixUse> {
    let res = announcements.iter().take(n).map(|it| it.prefix.clone()).collect();
    announcements.iter_mut().take(n).for_each(|it| it.n_left -= 1);
    announcements.retain(|it| 0 < it.n_left);
    res
}

/// Removes a peer's requests from the upstreams; its totals are kept.
fn remove_load(peer: &mut PeerState, upstreams: &mut FastMap<u32, UpstreamState>) {
    peer.loads.drain(..).for_each(|it| apply_load(upstreams, &it, -1.0));
}

/// Adds a peer's requests to an upstream, or removes them if `sign` is -1.
fn apply_load(upstreams: &mut FastMap<u32, UpstreamState>, it: &wire::UpstreamLoad, sign: f64) {
    let load = &mut upstreams.entry(it.upstream).or_default().peers;
    load.running = (load.running + sign * f64::from(it.running)).max(0.0);
    load.pending = (load.pending + sign * f64::from(it.pending)).max(0.0);
    load.fetching = (load.fetching + sign * f64::from(it.fetching)).max(0.0);
    load.memory.add(it, sign);
}

/// Removes a peer's requests from the upstreams except for the memory that they need.
fn keep_memory(peer: &mut PeerState, upstreams: &mut FastMap<u32, UpstreamState>) {
    peer.loads.retain_mut(|it| {
        let kept = wire::UpstreamLoad { running: 0, pending: 0, ..*it };
        apply_load(upstreams, it, -1.0);
        apply_load(upstreams, &kept, 1.0);
        *it = kept;
        0 < it.memory
    });
}
