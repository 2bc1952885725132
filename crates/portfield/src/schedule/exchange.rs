//! Exchange of frames between a scheduler and the owners of other shards.

use std::{collections::BTreeMap, time::Duration};

use super::{
    peer::DeliveryStatus,
    scheduler::{Action, Scheduler},
    shard_key::ShardKey,
};
use crate::{fleet::Fleet, ids::HostId, member::rank_hosts, wire};

impl Scheduler {
    /// Builds the reply to a peer's frame: the shards that this host does not own, and those with a
    /// later owner than the sender.
    pub fn peer_reply(&self, frame: &wire::PeerFrame) -> wire::PeerReply {
        let is_misdirected = |it: &&wire::PeerShard| {
            let to = it.to.as_ref().map(ShardKey::from);
            // A frame from a shard to itself is for the successor of its owner.
            it.from != it.to && to.is_some_and(|it| !self.owners.contains_key(&it))
        };
        let not_owned: Vec<_> =
            frame.shards.iter().filter(is_misdirected).filter_map(|it| it.to).collect();
        let gossip = if not_owned.is_empty() { Vec::new() } else { self.local_members() };
        let outdated = frame.shards.iter().filter_map(|it| self.later_incarnation(it)).collect();
        wire::PeerReply { not_owned, gossip, outdated }
    }

    /// Returns the incarnation of a shard's owner, if a later one is known than the frame's sender.
    pub(super) fn later_incarnation(&self, frame: &wire::PeerShard) -> Option<wire::Outdated> {
        let (from, to) = (frame.from.as_ref()?.into(), frame.to.as_ref()?.into());
        let incarnation = self.owners.get(&to)?.peer_incarnation(from)?;
        let outdated = wire::Outdated { shard: frame.from, incarnation };
        (frame.incarnation < incarnation).then_some(outdated)
    }

    /// Passes a frame to the owners it is for, or stores it as the successor of its sender.
    pub(super) fn handle_peer_frame(&mut self, now: Duration, frame: &wire::PeerFrame) {
        for it in &frame.shards {
            let Some(to) = it.to.as_ref().map(ShardKey::from) else { continue };
            match self.owners.get_mut(&to) {
                Some(owner) => owner.handle_frame(now, it),
                None if it.from == it.to => self.standby.entry(to).or_default().merge(it),
                None => (),
            }
        }
    }

    /// Handles the reply to a frame, `None` if it is lost: records with the senders whether the frame
    /// has arrived.
    pub(super) fn handle_peer_reply(
        &mut self,
        now: Duration,
        frame: &wire::PeerFrame,
        reply: Option<&wire::PeerReply>,
    ) {
        if let Some(it) = reply {
            self.apply_peer_reply(now, it);
        }
        for it in &frame.shards {
            let from = it.from.as_ref().map(ShardKey::from);
            let Some(owner) = from.and_then(|it| self.owners.get_mut(&it)) else { continue };
            let is_accepted =
                |reply: &wire::PeerReply| it.to.is_some_and(|to| !reply.not_owned.contains(&to));
            let status = match reply.is_some_and(is_accepted) {
                true => DeliveryStatus::Confirmed,
                false => DeliveryStatus::Unknown,
            };
            owner.record_delivery(now, it, status);
        }
    }

    /// Applies a reply: members of the receiver's data centre, and owned shards for which the
    /// receiver knows a later incarnation.
    pub(super) fn apply_peer_reply(&mut self, now: Duration, reply: &wire::PeerReply) {
        let sender = reply.gossip.first().and_then(|it| it.host.parse().ok());
        self.view.merge(now, sender, &reply.gossip);
        for it in &reply.outdated {
            let shard = it.shard.as_ref().map(ShardKey::from);
            let Some(shard) = shard.filter(|it| self.owners.contains_key(it)) else { continue };
            let incarnation = self.new_incarnation(now, Some(it.incarnation));
            if let Some(owner) = self.owners.get_mut(&shard) {
                owner.change_incarnation(incarnation);
            }
        }
    }

    /// Returns the host that owns a shard.
    pub(super) fn owner_host(&self, fleet: &Fleet, shard: ShardKey) -> Option<HostId> {
        let name = fleet.data_centre_name(shard.data_centre);
        rank_hosts(shard, self.view.owner_candidates(name)).first().copied()
    }

    /// Returns the host to send a frame to: the owner of `to`, or the successor of the owner if
    /// `from` and `to` are equal.
    pub(super) fn destination(
        &self,
        fleet: &Fleet,
        from: ShardKey,
        to: ShardKey,
    ) -> Option<HostId> {
        if from != to {
            return self.owner_host(fleet, to);
        }
        let name = fleet.data_centre_name(to.data_centre);
        rank_hosts(to, self.view.owner_candidates(name)).get(1).copied()
    }

    /// Sends the frames that are due, batched by host.
    pub(super) fn send_peer_frames(&mut self, now: Duration) {
        let fleet = self.adopted.fleet().clone();
        let me = self.view.local_host();
        let mut batches: BTreeMap<HostId, Vec<wire::PeerShard>> = BTreeMap::new();
        let frames: Vec<_> = self.owners.values_mut().flat_map(|it| it.due_frames(now)).collect();
        for frame in frames {
            let keys = (frame.from.as_ref(), frame.to.as_ref());
            let (Some(from), Some(to)) = keys else { continue };
            let host = self.destination(&fleet, from.into(), to.into());
            match host {
                Some(host) if host != me => batches.entry(host).or_default().push(frame),
                Some(_) => self.deliver_locally(now, frame),
                None => self.mark_undelivered(now, frame),
            }
        }
        for (host, shards) in batches {
            let Some(it) = self.view.get(host) else { continue };
            let frame = wire::PeerFrame { from: me.to_string(), shards };
            self.actions.push(Action::SendToPeer(it.address, frame));
        }
    }

    /// Delivers a frame between two shards that this host owns.
    pub(super) fn deliver_locally(&mut self, now: Duration, frame: wire::PeerShard) {
        let frame = wire::PeerFrame { from: String::new(), shards: vec![frame] };
        self.handle_peer_frame(now, &frame);
        self.handle_peer_reply(now, &frame, Some(&wire::PeerReply::default()));
    }

    /// Records that a frame may not have arrived, as no host is known to send it to.
    pub(super) fn mark_undelivered(&mut self, now: Duration, frame: wire::PeerShard) {
        let frame = wire::PeerFrame { from: String::new(), shards: vec![frame] };
        self.handle_peer_reply(now, &frame, None);
    }
}
