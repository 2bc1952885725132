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
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// An idle frame goes out this often, so that a silent peer is a lost one.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Time between two complete lists of the loans that are held.
const HELD_PERIOD: Duration = Duration::from_secs(5);
/// A loan that a complete list leaves out is lost if it is older than this.
const LOAN_GRACE: Duration = Duration::from_secs(2);
/// Time in which peers tell a new owner all that they know.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that a call to a peer costs beside its frame.
const CALL_OVERHEAD: usize = 120;
/// Time between two frames that only carry loans or a new want.
const MIN_FRAME_GAP: Duration = Duration::from_millis(2);

#[derive(Debug, Clone, Default)]
struct Peer {
    incarnation: Incarnation,
    last_heard: Duration,
    is_silent: bool,
    /// It told all that it knows.
    is_synced: bool,
    /// Tickets that it has waiting beyond its own free slots, less what was lent since.
    want: u32,
    /// Its last answer is lost: what is lent to it may be, too.
    delivery_unknown: bool,
    backlog: BTreeSet<WorkspaceId>,
    /// Versions of the counters that it has, and that are on their way.
    acked_version: u64,
    sent_version: Option<u64>,
    needs_full: bool,
    sent_want: u32,
    last_sent: Duration,
    next_regular: Duration,
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
    last_loan: LoanId,
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
        let new_peer = || Peer { needs_full: true, ..Peer::default() };
        self.peers = list.map(|it| (it, old.remove(&it).unwrap_or_else(new_peer))).collect();
    }

    /// Returns a peer where a workspace has tickets beyond the peer's own slots.
    pub(super) fn find_borrower(&self, id: WorkspaceId) -> Option<ShardKey> {
        let mut all = self.peers.iter();
        all.find(|(_, it)| 0 < it.want && !it.delivery_unknown && it.backlog.contains(&id))
            .map(|(key, _)| *key)
    }

    /// Records a loan of a slot and returns its number.
    pub(super) fn record_loan(
        &mut self,
        now: Duration,
        to: ShardKey,
        upstream: UpstreamId,
    ) -> LoanId {
        self.last_loan += 1;
        let id = self.last_loan;
        if let Some(it) = self.peers.get_mut(&to) {
            it.want -= 1;
            it.lends.push(wire::Loan { id, upstream });
            it.lent.insert(id, now);
        }
        id
    }

    /// Returns the loans of a lender that are not used yet.
    fn unused_loans(&self, lender: ShardKey) -> impl Iterator<Item = wire::Loan> + '_ {
        self.borrowed.iter().filter(move |it| it.0 == lender).map(|it| it.1)
    }

    /// Queues the return of a borrowed slot.
    pub(super) fn return_loan(&mut self, lender: ShardKey, loan: LoanId) {
        if let Some(it) = self.peers.get_mut(&lender) {
            it.returns.push(loan);
        }
    }

    /// Queues the return of a borrowed slot whose request may still run.
    pub(super) fn return_doubtful(&mut self, lender: ShardKey, loan: LoanId) {
        if let Some(it) = self.peers.get_mut(&lender) {
            it.doubtful.push(loan);
        }
    }

    /// Takes a borrowed slot that is not used yet.
    pub(super) fn pop_borrowed(&mut self) -> Option<(ShardKey, wire::Loan)> {
        self.borrowed.pop_front()
    }
}

impl ShardOwner {
    /// Sets the other shards of the service, this one's successor among them as itself.
    pub fn set_peers(&mut self, list: impl Iterator<Item = ShardKey>) {
        self.peers.configure(list);
        // Loan numbers of one life must not meet those of the life before.
        self.peers.last_loan = self.peers.last_loan.max(self.incarnation << 20);
    }

    /// Takes in what a peer says.
    pub fn handle_frame(&mut self, now: Duration, frame: &wire::PeerShard) {
        let Some(from) = frame.from.as_ref().map(ShardKey::from) else { return };
        if from == self.shard {
            // Another host takes itself for the owner: its counts are true all the same.
            self.merge_usage(from, frame);
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
                needs_full: true,
                ..Peer::default()
            };
        }
        peer.last_heard = now;
        peer.is_silent = false;
        peer.want = frame.want.saturating_sub(peer.lends.len() as u32);
        peer.needs_full |= frame.pull;
        peer.is_synced |= frame.complete;
        self.merge_usage(from, frame);
        self.apply_loans(now, from, frame);
        self.counters.clamp_lag(self.cost_at_mean_share(self.config.max_lag));
    }

    /// Returns the frames that are due, and puts off the next by what these cost.
    pub fn due_frames(&mut self, now: Duration) -> Vec<wire::PeerShard> {
        self.expire_silent(now);
        let want = self.excess_tickets(now);
        let keys: Vec<_> = self.peers.peers.keys().copied().collect();
        let mut res = Vec::new();
        let mut bytes = 0;
        for key in keys {
            let Some(frame) = self.build_frame(now, key, want) else { continue };
            if !frame.sets.is_empty() {
                bytes += frame.encoded_len() + CALL_OVERHEAD;
            }
            res.push(frame);
        }
        if 0 < bytes {
            let rate = u64::from(self.config.exchange_bandwidth);
            let pause = Duration::from_millis(bytes as u64 * 1000 / rate);
            self.delay_regular(now + pause.max(self.config.exchange_period));
        }
        res
    }

    /// Returns when a frame is due next.
    pub fn next_frame_at(&self) -> Duration {
        let version = self.counters.version();
        let due = |it: &Peer| {
            let is_urgent = it.has_loans();
            if it.sent_version.is_some() {
                it.last_sent + HEARTBEAT_PERIOD
            } else if is_urgent || it.needs_full {
                it.last_sent + MIN_FRAME_GAP
            } else if it.acked_version < version {
                it.next_regular
            } else {
                it.next_regular.max(it.last_sent + HEARTBEAT_PERIOD)
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
        status: DeliveryStatus,
    ) {
        let Some(to) = frame.to.as_ref().map(ShardKey::from) else { return };
        let Some(peer) = self.peers.peers.get_mut(&to) else { return };
        let sent_version = peer.sent_version.take();
        peer.delivery_unknown = status == DeliveryStatus::Unknown;
        if status == DeliveryStatus::Confirmed {
            peer.acked_version = peer.acked_version.max(sent_version.unwrap_or(0));
            return;
        }
        peer.returns.extend(&frame.returns);
        peer.doubtful.extend(&frame.doubtful);
        peer.needs_full |= 1 < frame.sets.len();
        if frame.complete {
            peer.next_held = now;
        }
        for loan in &frame.lends {
            self.mark_loan_doubtful(now, to, loan.id);
        }
    }

    /// Returns the latest ownership of a peer's shard that was heard of.
    pub(super) fn peer_incarnation(&self, peer: ShardKey) -> Option<Incarnation> {
        self.peers.peers.get(&peer).map(|it| it.incarnation)
    }

    /// Goes on under a later number: another host took itself for the owner meanwhile, and
    /// the peers no longer listen to this one's.
    pub(super) fn change_incarnation(&mut self, incarnation: Incarnation) {
        self.counters.close_incarnation(self.shard, self.incarnation);
        self.incarnation = incarnation;
        for it in self.peers.peers.values_mut() {
            it.needs_full = true;
        }
    }

    /// Returns whether every peer told all that it knows, or had the time to.
    pub(super) fn is_synced(&self, now: Duration) -> bool {
        let own = self.shard;
        let mut others = self.peers.peers.iter().filter(|(key, _)| **key != own);
        self.recovery_end() + SYNC_TIMEOUT <= now || others.all(|(_, it)| it.is_synced)
    }

    /// Returns whether no peer was heard yet.
    fn has_no_contact(&self) -> bool {
        let own = self.shard;
        self.peers.peers.iter().all(|(key, it)| *key == own || it.incarnation == 0)
    }

    fn merge_usage(&mut self, from: ShardKey, frame: &wire::PeerShard) {
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

    fn apply_loans(&mut self, now: Duration, from: ShardKey, frame: &wire::PeerShard) {
        for loan in &frame.returns {
            self.slots.return_loan(now, *loan);
            if let Some(peer) = self.peers.peers.get_mut(&from) {
                peer.lent.remove(loan);
            }
        }
        for loan in &frame.doubtful {
            self.mark_loan_doubtful(now, from, *loan);
        }
        self.peers.borrowed.extend(frame.lends.iter().map(|it| (from, *it)));
        if frame.complete {
            self.reconcile_loans(now, from, &frame.held);
        }
    }

    /// Makes the loans to a peer those that it says it holds. One that it lost, as with the
    /// owner before it, is in doubt: what ran under it may still run.
    fn reconcile_loans(&mut self, now: Duration, from: ShardKey, held: &[wire::Loan]) {
        let Some(peer) = self.peers.peers.get_mut(&from) else { return };
        for loan in held {
            if peer.lent.insert(loan.id, now).is_none() {
                self.slots.lend(now, loan.upstream, loan.id);
            }
        }
        let lost: Vec<_> = peer
            .lent
            .iter()
            .filter(|(id, at)| **at + LOAN_GRACE <= now && !held.iter().any(|it| it.id == **id))
            .map(|(id, _)| *id)
            .collect();
        for loan in lost {
            self.mark_loan_doubtful(now, from, loan);
        }
    }

    /// Ends a loan of which nobody can say whether its slot is still used.
    fn mark_loan_doubtful(&mut self, now: Duration, peer: ShardKey, loan: LoanId) {
        if let Some(it) = self.peers.peers.get_mut(&peer) {
            it.lent.remove(&loan);
        }
        self.slots.mark_loan_doubtful(now, loan);
    }

    fn build_frame(&mut self, now: Duration, to: ShardKey, want: u32) -> Option<wire::PeerShard> {
        let needs_pull = self.has_no_contact();
        let peer = self.peers.peers.get_mut(&to)?;
        if peer.sent_version.is_some() && now < peer.last_sent + HEARTBEAT_PERIOD {
            return None;
        }
        let version = self.counters.version();
        // Who has just begun needs everything now, whatever the budget says.
        let is_regular = peer.next_regular <= now || peer.needs_full;
        let has_news = peer.acked_version < version
            || peer.needs_full
            || peer.last_sent + HEARTBEAT_PERIOD <= now;
        let is_new_want = peer.sent_want == 0 && 0 < want;
        let is_urgent = peer.has_loans() || is_new_want;
        if !((is_regular && has_news || is_urgent) && peer.last_sent + MIN_FRAME_GAP <= now) {
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
            pull: needs_pull,
            ..Default::default()
        };
        peer.sent_want = want;
        peer.last_sent = now;
        peer.sent_version = Some(peer.acked_version);
        if is_regular || is_new_want {
            peer.sent_version = Some(version);
            peer.next_regular = now + self.config.exchange_period;
            let (since, is_full) = (peer.acked_version, std::mem::take(&mut peer.needs_full));
            let lists_loans = is_full || peer.next_held <= now;
            if lists_loans {
                peer.next_held = now + HELD_PERIOD;
            }
            // The successor also hears now and then what the others told.
            let includes_remote = is_full || lists_loans && to == self.shard;
            self.add_usage(&mut res, if is_full { 0 } else { since }, includes_remote);
            if lists_loans && to != self.shard {
                res.complete = true;
                res.held = self.loans_in_use(to);
                res.held.extend(self.peers.unused_loans(to));
            }
        }
        Some(res)
    }

    /// Adds usage and lifts changed after a version, and in a full frame all that is known.
    fn add_usage(&mut self, res: &mut wire::PeerShard, since: u64, includes_remote: bool) {
        self.peers.sequence += 1;
        res.sets.push(wire::UsageSet {
            shard: Some(self.shard.into()),
            incarnation: self.incarnation,
            sequence: self.peers.sequence,
            usage: self.counters.usage_since(since),
        });
        res.lifts = self.counters.lifts_since(since);
        if includes_remote {
            res.sets.extend(self.counters.remote_usage_sets());
        }
    }

    fn delay_regular(&mut self, next: Duration) {
        for it in self.peers.peers.values_mut() {
            it.next_regular = it.next_regular.max(next);
        }
    }

    /// A silent peer's reservations and wants no longer count, and loans to it are in doubt.
    fn expire_silent(&mut self, now: Duration) {
        let silent: Vec<_> = self
            .peers
            .peers
            .iter()
            .filter(|(_, it)| {
                !it.is_silent && 0 < it.incarnation && it.last_heard + PEER_TIMEOUT <= now
            })
            .map(|(key, _)| *key)
            .collect();
        for key in silent {
            let Some(peer) = self.peers.peers.get_mut(&key) else { continue };
            peer.is_silent = true;
            peer.want = 0;
            peer.backlog.clear();
            peer.acked_version = 0;
            peer.needs_full = true;
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
    pub(super) fn handover_frame(&mut self) -> wire::PeerShard {
        let mut res = wire::PeerShard {
            from: Some(self.shard.into()),
            to: Some(self.shard.into()),
            incarnation: self.incarnation,
            ..Default::default()
        };
        self.add_usage(&mut res, 0, true);
        res
    }
}
