//! Exchange between the owners of a service: usage, limited by a bandwidth budget, and loans of
//! slots.

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

/// Time without a frame after which a peer is considered gone, with its tickets and requests.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a frame is sent without changes, so that the peer can distinguish an idle owner
/// from a dead one. An unanswered frame blocks the next one for as long.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Time between two complete lists of the loans held from a peer.
const HELD_PERIOD: Duration = Duration::from_secs(5);
/// Age beyond which a loan is lost if the borrower's complete list omits it; a younger one may
/// still be on its way.
const LOAN_GRACE: Duration = Duration::from_secs(2);
/// Time after recovery for which a new owner waits for the complete state of its peers.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// Overhead of a call to a peer, in bytes.
const CALL_OVERHEAD: usize = 120;
/// Shortest time between two frames to a peer, even if they carry loans or new demand.
const MIN_FRAME_GAP: Duration = Duration::from_millis(2);

/// State of the exchange with one peer.
#[derive(Debug, Clone, Default)]
struct Peer {
    /// Its latest known incarnation, zero if none.
    incarnation: Incarnation,
    /// When its latest frame arrived.
    last_heard: Duration,
    /// Whether its latest frame is older than [`PEER_TIMEOUT`].
    is_silent: bool,
    /// Whether it has sent its complete state.
    is_synced: bool,
    /// Number of its waiting tickets in excess of its free slots, less the slots lent since.
    want: u32,
    /// Whether the latest frame to it may be lost; until one is confirmed, nothing is lent to it.
    delivery_unknown: bool,
    /// Workspaces that have waiting tickets at it.
    backlog: BTreeSet<WorkspaceId>,
    /// Version of the counters that it has confirmed.
    acked_version: u64,
    /// Version of the counters in the frame that it has not confirmed yet.
    sent_version: Option<u64>,
    /// Whether the next regular frame must be a full one.
    needs_full: bool,
    /// Excess tickets of this owner, as last sent.
    sent_want: u32,
    last_sent: Duration,
    /// When the next regular frame is due.
    next_regular: Duration,
    /// When the next complete list of held loans is due.
    next_held: Duration,
    /// Loans to it that are to be sent.
    lends: Vec<wire::Loan>,
    /// Loans from it that are to be returned.
    returns: Vec<LoanId>,
    /// Loans from it that are to be returned, but whose requests may still run.
    doubtful: Vec<LoanId>,
    /// Loans to it that it holds, each with the time it was made or last confirmed.
    lent: BTreeMap<LoanId, Duration>,
}

/// Whether a frame that was sent has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryStatus {
    /// The receiver accepted it.
    Confirmed,
    /// It may or may not have arrived.
    Unknown,
}

/// Peers of an owner: the other owners of its service, and its own successor.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    /// Peers by shard; the successor has the owner's own shard.
    peers: BTreeMap<ShardKey, Peer>,
    /// Borrowed slots that are not used yet, with their lenders.
    borrowed: VecDeque<(ShardKey, wire::Loan)>,
    /// Number of the latest loan.
    last_loan: LoanId,
    /// Sequence number of the latest usage set.
    sequence: u64,
}

impl Peer {
    /// Returns whether loans are to be sent or returned.
    fn has_loans(&self) -> bool {
        !self.lends.is_empty() || !self.returns.is_empty() || !self.doubtful.is_empty()
    }
}

impl Peers {
    /// Sets the peers; those already known keep their state.
    pub(super) fn configure(&mut self, list: impl Iterator<Item = ShardKey>) {
        let mut old = std::mem::take(&mut self.peers);
        // The first frame to a peer is a full one, as it knows nothing yet.
        let new_peer = || Peer { needs_full: true, ..Peer::default() };
        self.peers = list.map(|it| (it, old.remove(&it).unwrap_or_else(new_peer))).collect();
    }

    /// Returns a peer at which a workspace has tickets and that lacks slots for its tickets.
    pub(super) fn find_borrower(&self, id: WorkspaceId) -> Option<ShardKey> {
        let mut all = self.peers.iter();
        all.find(|(_, it)| 0 < it.want && !it.delivery_unknown && it.backlog.contains(&id))
            .map(|(key, _)| *key)
    }

    /// Records a loan of a slot, to be sent with the next frame; returns its number.
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

    /// Returns the loans from a lender that are not used yet.
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

    /// Removes and returns a borrowed slot that is not used yet, with its lender.
    pub(super) fn pop_borrowed(&mut self) -> Option<(ShardKey, wire::Loan)> {
        self.borrowed.pop_front()
    }
}

impl ShardOwner {
    /// Sets the shards of the service; this owner's own shard stands for its successor.
    pub fn set_peers(&mut self, list: impl Iterator<Item = ShardKey>) {
        self.peers.configure(list);
        // Loan numbers must differ from those of earlier incarnations.
        self.peers.last_loan = self.peers.last_loan.max(self.incarnation << 20);
    }

    /// Handles a frame of a peer.
    pub fn handle_frame(&mut self, now: Duration, frame: &wire::PeerShard) {
        let Some(from) = frame.from.as_ref().map(ShardKey::from) else { return };
        if from == self.shard {
            // Another host also considers itself the owner; the costs that it counted as served are
            // valid all the same.
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

    /// Returns the frames that are due. The next regular ones are delayed by the size of these
    /// divided by the bandwidth.
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

    /// Returns when the next frame is due.
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

    /// Records whether a frame has arrived.
    ///
    /// If that is unknown, returns of loans are sent again, as they are idempotent. Lent slots are
    /// not lent again: they are in doubt until the upstream's load reports clear them.
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

    /// Returns the latest known incarnation of a peer, zero if it has sent no frame yet.
    pub(super) fn peer_incarnation(&self, peer: ShardKey) -> Option<Incarnation> {
        self.peers.peers.get(&peer).map(|it| it.incarnation)
    }

    /// Continues under a later incarnation. Needed after another host considered itself the owner:
    /// the peers know its later incarnation and ignore frames of this one.
    pub(super) fn change_incarnation(&mut self, incarnation: Incarnation) {
        self.counters.close_incarnation(self.shard, self.incarnation);
        self.incarnation = incarnation;
        for it in self.peers.peers.values_mut() {
            it.needs_full = true;
        }
    }

    /// Returns whether all peers have sent their complete state, or [`SYNC_TIMEOUT`] is over.
    pub(super) fn is_synced(&self, now: Duration) -> bool {
        let own = self.shard;
        let mut others = self.peers.peers.iter().filter(|(key, _)| **key != own);
        self.recovery_end() + SYNC_TIMEOUT <= now || others.all(|(_, it)| it.is_synced)
    }

    /// Returns whether no peer has sent a frame yet.
    fn has_no_contact(&self) -> bool {
        let own = self.shard;
        self.peers.peers.iter().all(|(key, it)| *key == own || it.incarnation == 0)
    }

    /// Merges the usage and lifts in a frame.
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

    /// Applies the loans, returns and held loans in a frame.
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

    /// Matches the loans to a peer with its complete list of held loans. A loan that it lost, for
    /// instance in a change of owner, becomes doubtful, as its request may still run.
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

    /// Ends a loan whose slot may or may not be in use, and marks the slot as in doubt.
    fn mark_loan_doubtful(&mut self, now: Duration, peer: ShardKey, loan: LoanId) {
        if let Some(it) = self.peers.peers.get_mut(&peer) {
            it.lent.remove(&loan);
        }
        self.slots.mark_loan_doubtful(now, loan);
    }

    /// Builds the frame to a peer if one is due; `want` is this owner's number of excess tickets.
    fn build_frame(&mut self, now: Duration, to: ShardKey, want: u32) -> Option<wire::PeerShard> {
        let needs_pull = self.has_no_contact();
        let peer = self.peers.peers.get_mut(&to)?;
        if peer.sent_version.is_some() && now < peer.last_sent + HEARTBEAT_PERIOD {
            return None;
        }
        let version = self.counters.version();
        // A full frame is sent at once, whatever the bandwidth budget.
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
            // The successor also gets the usage of other owners, each time held loans are due.
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

    /// Adds the usage and lifts that changed after version `since`, and the usage of other owners if
    /// `includes_remote` is set.
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

    /// Delays the regular frames to all peers to `next` at the earliest.
    fn delay_regular(&mut self, next: Duration) {
        for it in self.peers.peers.values_mut() {
            it.next_regular = it.next_regular.max(next);
        }
    }

    /// Expires peers that are silent: their reservations and demand no longer count, and loans to
    /// them become doubtful.
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
    /// Restores the counters that an earlier owner replicated to this host.
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
        // The earlier incarnation has ended: its routers register their requests again, which
        // reserves their cost anew.
        self.counters.expire_owner(self.shard);
    }

    /// Builds the frame that hands over all known counters to the next owner.
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
