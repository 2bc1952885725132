//! A scheduler's frames to and from the owners of other shards.

use std::{collections::BTreeMap, time::Duration};

use super::{
    key::ShardKey,
    peer::Arrival,
    scheduler::{Action, Scheduler},
};
use crate::{fleet::Fleet, ids::HostId, member::rank_hosts, wire};

impl Scheduler {
    /// Builds the answer to a peer's frame: what in it went to the wrong host.
    pub fn peer_reply(&self, frame: &wire::PeerFrame) -> wire::PeerReply {
        let is_stray = |it: &&wire::PeerShard| {
            let to = it.to.as_ref().map(ShardKey::from);
            // A frame from a shard to itself is for its successor.
            it.from != it.to && to.is_some_and(|it| !self.owners.contains_key(&it))
        };
        let not_owned: Vec<_> =
            frame.shards.iter().filter(is_stray).filter_map(|it| it.to).collect();
        let gossip = if not_owned.is_empty() { Vec::new() } else { self.home_members() };
        let outdated = frame.shards.iter().filter_map(|it| self.later_owner(it)).collect();
        wire::PeerReply { not_owned, gossip, outdated }
    }

    /// Returns the later owner that this host has heard of than the one that sent a frame.
    pub(super) fn later_owner(&self, frame: &wire::PeerShard) -> Option<wire::Outdated> {
        let (from, to) = (frame.from.as_ref()?.into(), frame.to.as_ref()?.into());
        let incarnation = self.owners.get(&to)?.heard_from(from)?;
        let outdated = wire::Outdated { shard: frame.from, incarnation };
        (frame.incarnation < incarnation).then_some(outdated)
    }

    pub(super) fn hear_peer(&mut self, now: Duration, frame: &wire::PeerFrame) {
        for it in &frame.shards {
            let Some(to) = it.to.as_ref().map(ShardKey::from) else { continue };
            match self.owners.get_mut(&to) {
                Some(owner) => owner.hear(now, it),
                None if it.from == it.to => self.standby.entry(to).or_default().keep(it),
                None => (),
            }
        }
    }

    pub(super) fn peer_sent(
        &mut self,
        now: Duration,
        frame: &wire::PeerFrame,
        reply: Option<&wire::PeerReply>,
    ) {
        if let Some(it) = reply {
            self.hear_reply(now, it);
        }
        for it in &frame.shards {
            let from = it.from.as_ref().map(ShardKey::from);
            let Some(owner) = from.and_then(|it| self.owners.get_mut(&it)) else { continue };
            let taken =
                |reply: &wire::PeerReply| it.to.is_some_and(|to| !reply.not_owned.contains(&to));
            let arrival = match reply.is_some_and(taken) {
                true => Arrival::Confirmed,
                false => Arrival::Unknown,
            };
            owner.frame_sent(now, it, arrival);
        }
    }

    /// Takes in which shards have another owner, and which have had a later one.
    pub(super) fn hear_reply(&mut self, now: Duration, reply: &wire::PeerReply) {
        let sender = reply.gossip.first().and_then(|it| it.host.parse().ok());
        self.view.merge(now, sender, &reply.gossip);
        for it in &reply.outdated {
            let shard = it.shard.as_ref().map(ShardKey::from);
            let Some(shard) = shard.filter(|it| self.owners.contains_key(it)) else { continue };
            let incarnation = self.new_incarnation(now, Some(it.incarnation));
            if let Some(owner) = self.owners.get_mut(&shard) {
                owner.renumber(incarnation);
            }
        }
    }

    pub(super) fn owner_host(&self, fleet: &Fleet, shard: ShardKey) -> Option<HostId> {
        let name = fleet.data_centre_name(shard.data_centre);
        rank_hosts(shard, self.view.owner_candidates(name)).first().copied()
    }

    /// Returns the host to send a frame to: the owner, or this shard's own successor.
    pub(super) fn receiver(&self, fleet: &Fleet, from: ShardKey, to: ShardKey) -> Option<HostId> {
        if from != to {
            return self.owner_host(fleet, to);
        }
        let name = fleet.data_centre_name(to.data_centre);
        rank_hosts(to, self.view.owner_candidates(name)).get(1).copied()
    }

    pub(super) fn send_frames(&mut self, now: Duration) {
        let fleet = self.adopted.fleet().clone();
        let me = self.view.local_host();
        let mut batches: BTreeMap<HostId, Vec<wire::PeerShard>> = BTreeMap::new();
        let frames: Vec<_> = self.owners.values_mut().flat_map(|it| it.frames(now)).collect();
        for frame in frames {
            let keys = (frame.from.as_ref(), frame.to.as_ref());
            let (Some(from), Some(to)) = keys else { continue };
            let host = self.receiver(&fleet, from.into(), to.into());
            match host {
                Some(host) if host != me => batches.entry(host).or_default().push(frame),
                Some(_) => self.deliver_here(now, frame),
                None => self.report_lost(now, frame),
            }
        }
        for (host, shards) in batches {
            let Some(it) = self.view.get(host) else { continue };
            let frame = wire::PeerFrame { from: me.to_string(), shards };
            self.actions.push(Action::Peer(it.address, frame));
        }
    }

    pub(super) fn deliver_here(&mut self, now: Duration, frame: wire::PeerShard) {
        let frame = wire::PeerFrame { from: String::new(), shards: vec![frame] };
        self.hear_peer(now, &frame);
        self.peer_sent(now, &frame, Some(&wire::PeerReply::default()));
    }

    pub(super) fn report_lost(&mut self, now: Duration, frame: wire::PeerShard) {
        let frame = wire::PeerFrame { from: String::new(), shards: vec![frame] };
        self.peer_sent(now, &frame, None);
    }
}
