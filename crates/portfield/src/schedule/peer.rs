//! An owner's dealings with the other owners of its service: usage exchanged under a byte
//! budget, slots lent and borrowed.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use prost::Message;

use super::{owner::ShardOwner, shard_key::ShardKey};
use crate::{
    ids::{Incarnation, LoanId, UpstreamId, WorkspaceId},
    wire,
};

/// A peer that was silent for this long has nothing that waits or runs.
const SILENCE: Duration = Duration::from_secs(3);
/// An idle frame goes out this often, so that a silent peer is a lost one.
const IDLE_EXCHANGE: Duration = Duration::from_secs(1);
/// Time between two complete lists of the loans that are held.
const HELD_PERIOD: Duration = Duration::from_secs(5);
/// A loan that a complete list leaves out is lost if it is older than this.
const LOAN_TRANSIT: Duration = Duration::from_secs(2);
/// Time in which peers tell a new owner all that they know.
const PEER_LIMIT: Duration = Duration::from_secs(2);
/// Bytes that a call to a peer costs beside its frame.
const CALL_COST: usize = 120;
/// Time between two frames that only carry loans or a new want.
const URGENT_PAUSE: Duration = Duration::from_millis(2);

#[derive(Debug, Clone, Default)]
struct Peer {
    incarnation: Incarnation,
    heard: Duration,
    silent: bool,
    /// It told all that it knows.
    told_all: bool,
    /// Tickets that it has waiting beyond its own free slots, less what was lent since.
    want: u32,
    /// Its last answer is lost: what is lent to it may be, too.
    unsure: bool,
    backlog: BTreeSet<WorkspaceId>,
    /// Versions of the counters that it has, and that are on their way.
    acked: u64,
    sending: Option<u64>,
    pulls: bool,
    told_want: u32,
    sent: Duration,
    next: Duration,
    next_held: Duration,
    lends: Vec<wire::Loan>,
    returns: Vec<LoanId>,
    /// Loans to give back whose requests may still run.
    doubtful: Vec<LoanId>,
    lent: BTreeMap<LoanId, Duration>,
}

/// What is known of a frame that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryStatus {
    /// The receiver took it in.
    Confirmed,
    /// It may or may not have arrived.
    Unknown,
}

/// The other owners of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    peers: BTreeMap<ShardKey, Peer>,
    borrowed: VecDeque<(ShardKey, wire::Loan)>,
    next_loan: LoanId,
    sequence: u64,
}

impl Peer {
    /// Returns whether loans are to be given or given back.
    fn has_loans(&self) -> bool {
        !self.lends.is_empty() || !self.returns.is_empty() || !self.doubtful.is_empty()
    }
}

impl Peers {
    /// Keeps exactly the given peers.
    pub(super) fn configure(&mut self, list: impl Iterator<Item = ShardKey>) {
        let mut old = std::mem::take(&mut self.peers);
        // The first frame to a peer is a full one.
        let fresh = || Peer { pulls: true, ..Peer::default() };
        self.peers = list.map(|it| (it, old.remove(&it).unwrap_or_else(fresh))).collect();
    }

    /// Returns a peer where a workspace has tickets beyond the peer's own slots.
    pub(super) fn wanting(&self, id: WorkspaceId) -> Option<ShardKey> {
        let mut all = self.peers.iter();
        all.find(|(_, it)| 0 < it.want && !it.unsure && it.backlog.contains(&id))
            .map(|(key, _)| *key)
    }

    /// Records a loan of a slot and returns its number.
    pub(super) fn lend(&mut self, now: Duration, to: ShardKey, upstream: UpstreamId) -> LoanId {
        self.next_loan += 1;
        let id = self.next_loan;
        if let Some(it) = self.peers.get_mut(&to) {
            it.want -= 1;
            it.lends.push(wire::Loan { id, upstream });
            it.lent.insert(id, now);
        }
        id
    }

    /// Returns the loans of a lender that are not used yet.
    fn unused_from(&self, lender: ShardKey) -> impl Iterator<Item = wire::Loan> + '_ {
        self.borrowed.iter().filter(move |it| it.0 == lender).map(|it| it.1)
    }

    /// Queues the return of a borrowed slot.
    pub(super) fn give_back(&mut self, lender: ShardKey, loan: LoanId) {
        if let Some(it) = self.peers.get_mut(&lender) {
            it.returns.push(loan);
        }
    }

    /// Queues the return of a borrowed slot whose request may still run.
    pub(super) fn give_up(&mut self, lender: ShardKey, loan: LoanId) {
        if let Some(it) = self.peers.get_mut(&lender) {
            it.doubtful.push(loan);
        }
    }

    /// Takes a borrowed slot that is not used yet.
    pub(super) fn take_borrowed(&mut self) -> Option<(ShardKey, wire::Loan)> {
        self.borrowed.pop_front()
    }
}

impl ShardOwner {
    /// Sets the other shards of the service, this one's successor among them as itself.
    pub fn set_peers(&mut self, list: impl Iterator<Item = ShardKey>) {
        self.peers.configure(list);
        // Loan numbers of one life must not meet those of the life before.
        self.peers.next_loan = self.peers.next_loan.max(self.incarnation << 20);
    }

    /// Takes in what a peer says.
    pub fn handle_frame(&mut self, now: Duration, frame: &wire::PeerShard) {
        let Some(from) = frame.from.as_ref().map(ShardKey::from) else { return };
        if from == self.shard {
            // Another host takes itself for the owner: its counts are true all the same.
            self.hear_usage(from, frame);
            return;
        }
        let Some(peer) = self.peers.peers.get_mut(&from) else { return };
        if frame.incarnation < peer.incarnation {
            return;
        }
        if peer.incarnation < frame.incarnation {
            *peer = Peer {
                incarnation: frame.incarnation,
                lent: std::mem::take(&mut peer.lent),
                returns: std::mem::take(&mut peer.returns),
                doubtful: std::mem::take(&mut peer.doubtful),
                pulls: true,
                ..Peer::default()
            };
        }
        peer.heard = now;
        peer.silent = false;
        peer.want = frame.want.saturating_sub(peer.lends.len() as u32);
        peer.pulls |= frame.pull;
        peer.told_all |= frame.complete;
        self.hear_usage(from, frame);
        self.hear_loans(now, from, frame);
        self.counters.clamp_lag(self.at_mean(self.limits.max_lag));
    }

    /// Returns the frames that are due, and puts off the next by what these cost.
    pub fn due_frames(&mut self, now: Duration) -> Vec<wire::PeerShard> {
        self.silence_lost(now);
        let want = self.want(now);
        let keys: Vec<_> = self.peers.peers.keys().copied().collect();
        let mut res = Vec::new();
        let mut bytes = 0;
        for key in keys {
            let Some(frame) = self.frame(now, key, want) else { continue };
            if !frame.sets.is_empty() {
                bytes += frame.encoded_len() + CALL_COST;
            }
            res.push(frame);
        }
        if 0 < bytes {
            let rate = u64::from(self.limits.exchange_bandwidth);
            let pause = Duration::from_millis(bytes as u64 * 1000 / rate);
            self.postpone(now + pause.max(self.limits.exchange_period));
        }
        res
    }

    /// Returns when a frame is due next.
    pub fn next_frame_at(&self) -> Duration {
        let version = self.counters.version();
        let due = |it: &Peer| {
            let urgent = it.has_loans();
            if it.sending.is_some() {
                it.sent + IDLE_EXCHANGE
            } else if urgent || it.pulls {
                it.sent + URGENT_PAUSE
            } else if it.acked < version {
                it.next
            } else {
                it.next.max(it.sent + IDLE_EXCHANGE)
            }
        };
        self.peers.peers.values().map(due).min().unwrap_or(Duration::MAX)
    }

    /// Learns that a frame arrived, or that it may not have.
    ///
    /// Returned slots are named again, as that is idempotent; a lent slot is not lent
    /// again but stays in doubt until the upstream's load reports clear it.
    pub fn record_delivery(
        &mut self,
        now: Duration,
        frame: &wire::PeerShard,
        arrived: DeliveryStatus,
    ) {
        let Some(to) = frame.to.as_ref().map(ShardKey::from) else { return };
        let Some(peer) = self.peers.peers.get_mut(&to) else { return };
        let sending = peer.sending.take();
        peer.unsure = arrived == DeliveryStatus::Unknown;
        if arrived == DeliveryStatus::Confirmed {
            peer.acked = peer.acked.max(sending.unwrap_or(0));
            return;
        }
        peer.returns.extend(&frame.returns);
        peer.doubtful.extend(&frame.doubtful);
        peer.pulls |= 1 < frame.sets.len();
        if frame.complete {
            peer.next_held = now;
        }
        for loan in &frame.lends {
            self.doubt_lent(now, to, loan.id);
        }
    }

    /// Returns the latest ownership of a peer's shard that was heard of.
    pub(super) fn heard_from(&self, peer: ShardKey) -> Option<Incarnation> {
        self.peers.peers.get(&peer).map(|it| it.incarnation)
    }

    /// Goes on under a later number: another host took itself for the owner meanwhile, and
    /// the peers no longer listen to this one's.
    pub(super) fn renumber(&mut self, incarnation: Incarnation) {
        self.counters.close_incarnation(self.shard, self.incarnation);
        self.incarnation = incarnation;
        for it in self.peers.peers.values_mut() {
            it.pulls = true;
        }
    }

    /// Returns whether every peer told all that it knows, or had the time to.
    pub(super) fn knows_peers(&self, now: Duration) -> bool {
        let own = self.shard;
        let mut others = self.peers.peers.iter().filter(|(key, _)| **key != own);
        self.recovery_end() + PEER_LIMIT <= now || others.all(|(_, it)| it.told_all)
    }

    /// Returns whether no peer was heard yet.
    fn is_new(&self) -> bool {
        let own = self.shard;
        self.peers.peers.iter().all(|(key, it)| *key == own || it.incarnation == 0)
    }

    fn hear_usage(&mut self, from: ShardKey, frame: &wire::PeerShard) {
        self.counters.merge_lifts(&frame.lifts);
        for set in &frame.sets {
            let Some(shard) = set.shard.as_ref().map(ShardKey::from) else { continue };
            let is_own = shard == self.shard && set.incarnation == self.incarnation;
            if is_own || !self.counters.merge(shard, set) || shard != from {
                continue;
            }
            let Some(peer) = self.peers.peers.get_mut(&from) else { continue };
            for it in &set.usage {
                if 0 < it.waiting {
                    peer.backlog.insert(it.workspace);
                } else {
                    peer.backlog.remove(&it.workspace);
                }
            }
        }
    }

    fn hear_loans(&mut self, now: Duration, from: ShardKey, frame: &wire::PeerShard) {
        for loan in &frame.returns {
            self.slots.return_loan(now, *loan);
            if let Some(peer) = self.peers.peers.get_mut(&from) {
                peer.lent.remove(loan);
            }
        }
        for loan in &frame.doubtful {
            self.doubt_lent(now, from, *loan);
        }
        self.peers.borrowed.extend(frame.lends.iter().map(|it| (from, *it)));
        if frame.complete {
            self.reconcile(now, from, &frame.held);
        }
    }

    /// Makes the loans to a peer those that it says it holds. One that it lost, as with the
    /// owner before it, is in doubt: what ran under it may still run.
    fn reconcile(&mut self, now: Duration, from: ShardKey, held: &[wire::Loan]) {
        let Some(peer) = self.peers.peers.get_mut(&from) else { return };
        for loan in held {
            if peer.lent.insert(loan.id, now).is_none() {
                self.slots.lend(now, loan.upstream, loan.id);
            }
        }
        let lost: Vec<_> = peer
            .lent
            .iter()
            .filter(|(id, at)| **at + LOAN_TRANSIT <= now && !held.iter().any(|it| it.id == **id))
            .map(|(id, _)| *id)
            .collect();
        for loan in lost {
            self.doubt_lent(now, from, loan);
        }
    }

    /// Ends a loan of which nobody can say whether its slot is still used.
    fn doubt_lent(&mut self, now: Duration, peer: ShardKey, loan: LoanId) {
        if let Some(it) = self.peers.peers.get_mut(&peer) {
            it.lent.remove(&loan);
        }
        self.slots.mark_loan_doubtful(now, loan);
    }

    fn frame(&mut self, now: Duration, to: ShardKey, want: u32) -> Option<wire::PeerShard> {
        let is_new = self.is_new();
        let peer = self.peers.peers.get_mut(&to)?;
        if peer.sending.is_some() && now < peer.sent + IDLE_EXCHANGE {
            return None;
        }
        let version = self.counters.version();
        // Who has just begun needs everything now, whatever the budget says.
        let regular = peer.next <= now || peer.pulls;
        let stale = peer.acked < version || peer.pulls || peer.sent + IDLE_EXCHANGE <= now;
        let new_want = peer.told_want == 0 && 0 < want;
        let urgent = peer.has_loans() || new_want;
        if !((regular && stale || urgent) && peer.sent + URGENT_PAUSE <= now) {
            return None;
        }
        let mut res = wire::PeerShard {
            from: Some(self.shard.into()),
            to: Some(to.into()),
            incarnation: self.incarnation,
            want,
            lends: std::mem::take(&mut peer.lends),
            returns: std::mem::take(&mut peer.returns),
            doubtful: std::mem::take(&mut peer.doubtful),
            pull: is_new,
            ..Default::default()
        };
        peer.told_want = want;
        peer.sent = now;
        peer.sending = Some(peer.acked);
        if regular || new_want {
            peer.sending = Some(version);
            peer.next = now + self.limits.exchange_period;
            let (since, full) = (peer.acked, std::mem::take(&mut peer.pulls));
            let tells_held = full || peer.next_held <= now;
            if tells_held {
                peer.next_held = now + HELD_PERIOD;
            }
            // The successor also hears now and then what the others told.
            let is_told_all = full || tells_held && to == self.shard;
            self.fill(&mut res, if full { 0 } else { since }, is_told_all);
            if tells_held && to != self.shard {
                res.complete = true;
                res.held = self.held_from(to);
                res.held.extend(self.peers.unused_from(to));
            }
        }
        Some(res)
    }

    /// Adds usage and lifts changed after a version, and in a full frame all that is known.
    fn fill(&mut self, res: &mut wire::PeerShard, since: u64, full: bool) {
        self.peers.sequence += 1;
        res.sets.push(wire::UsageSet {
            shard: Some(self.shard.into()),
            incarnation: self.incarnation,
            sequence: self.peers.sequence,
            usage: self.counters.usage_since(since),
        });
        res.lifts = self.counters.lifts_since(since);
        if full {
            res.sets.extend(self.counters.remote_usage_sets());
        }
    }

    fn postpone(&mut self, next: Duration) {
        for it in self.peers.peers.values_mut() {
            it.next = it.next.max(next);
        }
    }

    /// A silent peer's reservations and wants no longer count, and loans to it are in doubt.
    fn silence_lost(&mut self, now: Duration) {
        let lost: Vec<_> = self
            .peers
            .peers
            .iter()
            .filter(|(_, it)| !it.silent && 0 < it.incarnation && it.heard + SILENCE <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in lost {
            let Some(peer) = self.peers.peers.get_mut(&key) else { continue };
            peer.silent = true;
            peer.want = 0;
            peer.backlog.clear();
            peer.acked = 0;
            peer.pulls = true;
            let lent = std::mem::take(&mut peer.lent);
            self.counters.expire_owner(key);
            for loan in lent.into_keys() {
                self.slots.mark_loan_doubtful(now, loan);
            }
        }
    }
}

impl ShardOwner {
    /// Takes over the counters that an earlier owner sent ahead.
    pub(super) fn restore(
        &mut self,
        sets: impl Iterator<Item = wire::UsageSet>,
        lifts: &BTreeMap<WorkspaceId, u64>,
    ) {
        for set in sets {
            let shard = set.shard.as_ref().map(ShardKey::from);
            let Some(shard) = shard else { continue };
            self.counters.merge(shard, &set);
        }
        let lifts = lifts.iter().map(|(id, value)| wire::Lift { workspace: *id, value: *value });
        self.counters.merge_lifts(&lifts.collect::<Vec<_>>());
        // The life before has ended: what it had reserved is registered anew.
        self.counters.expire_owner(self.shard);
    }

    /// Returns the frame that hands everything known to the next owner.
    pub(super) fn last_frame(&mut self) -> wire::PeerShard {
        let mut res = wire::PeerShard {
            from: Some(self.shard.into()),
            to: Some(self.shard.into()),
            incarnation: self.incarnation,
            ..Default::default()
        };
        self.fill(&mut res, 0, true);
        res
    }
}
