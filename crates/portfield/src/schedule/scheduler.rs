//! One scheduler process: members, owned shards, sessions with routers and peers.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::{
    decision::{Decision, Decisions, Step},
    key::ShardKey,
    owner::{Limits, Owner, Status},
    slots::Health,
    standby::Standby,
};
use crate::{
    fleet::{CurrentFleet, Fleet},
    ids::{HostId, Incarnation, Revision, TicketId, UpstreamId},
    member::{HostListEntry, MemberState, Membership, Probe, Prober},
    wire,
};

/// A host that has heard of no other for this long after its start is alone.
const JOIN_LIMIT: Duration = Duration::from_secs(3);
/// What a scheduler is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host.
    pub me: HostListEntry,
    /// Larger than that of any earlier life.
    pub incarnation: Incarnation,
    /// What its owners keep to.
    pub limits: Limits,
}

/// What happens to a scheduler.
#[derive(Debug, Clone)]
pub enum Event {
    /// The platform's host list was read.
    Listed(Vec<HostListEntry>),
    /// A configuration was read, from the platform or a peer.
    Offered(Fleet),
    /// A router's frame arrived.
    Router(HostId, wire::RouterFrame),
    /// A router opened its session.
    RouterUp(HostId),
    /// A router's session ended.
    RouterDown(HostId),
    /// A peer's frame arrived.
    Peer(wire::PeerFrame),
    /// A frame to a peer was answered, or its answer is lost.
    PeerSent(wire::PeerFrame, Option<wire::PeerReply>),
    /// A probe of a host was answered, with the membership that came along.
    Answered(HostId, wire::ProbeReply),
    /// A probe was refused: nothing listens at the host's address.
    Refused(HostId),
    /// A probe arrived.
    Probed(wire::ProbeRequest),
    /// An upstream's load report was read, or could not be.
    Report(UpstreamId, Health),
    /// This host is to hand over what it owns.
    Leave,
    /// Time passed.
    Tick,
}

/// What a scheduler asks its process to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a frame to a router.
    Router(HostId, wire::OwnerFrame),
    /// Send a frame to a peer.
    Peer(SocketAddr, wire::PeerFrame),
    /// Probe a host: the address to send to, the host in question, the message.
    Probe(SocketAddr, HostId, wire::ProbeRequest),
    /// Fetch the configuration from a peer that has a higher revision.
    Fetch(SocketAddr),
}

/// One scheduler process.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    pub(super) view: Membership,
    probes: Prober,
    pub(super) adopted: CurrentFleet,
    pub(super) owners: BTreeMap<ShardKey, Owner>,
    pub(super) standby: BTreeMap<ShardKey, Standby>,
    routers: HashSet<HostId>,
    told: BTreeMap<HostId, (MemberState, Incarnation)>,
    told_revision: Revision,
    seen_version: (u64, Revision),
    next_incarnation: Incarnation,
    decisions: Decisions,
    /// Until then a host that has heard of no other owns nothing.
    joins_by: Option<Duration>,
    pub(super) actions: Vec<Action>,
}

impl Scheduler {
    /// Builds a scheduler that knows nothing but itself.
    pub fn new(settings: Settings) -> Self {
        let seed = settings.incarnation ^ u64::from(settings.me.address.port());
        Self {
            view: Membership::new(settings.me.clone(), settings.incarnation),
            probes: Prober::new(seed),
            adopted: CurrentFleet::default(),
            owners: BTreeMap::new(),
            standby: BTreeMap::new(),
            routers: HashSet::new(),
            told: BTreeMap::new(),
            told_revision: 0,
            seen_version: (0, 0),
            next_incarnation: settings.incarnation,
            decisions: Decisions::default(),
            joins_by: Some(JOIN_LIMIT),
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.apply(now, event);
        self.probe(now);
        self.reassign(now);
        for it in self.owners.values_mut() {
            it.dispatch(now);
        }
        self.send_answers(now);
        self.send_frames(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when it wants the next [`Event::Tick`] at the latest.
    pub fn next_tick(&self) -> Duration {
        let frames = self.owners.values().map(|it| it.next_frame().max(it.granting()));
        frames.chain([self.probes.next_tick()]).min().unwrap_or(Duration::MAX)
    }

    /// Returns the configuration in force here.
    pub fn fleet(&self) -> &Arc<Fleet> {
        self.adopted.fleet()
    }

    /// Returns what is known of the members.
    pub fn view(&self) -> &Membership {
        &self.view
    }

    /// Returns the upstreams whose load reports are wanted.
    pub fn watched(&self) -> Vec<(UpstreamId, SocketAddr)> {
        let fleet = self.adopted.fleet();
        let all = self.owners.keys().flat_map(|it| fleet.upstreams_in_shard(*it));
        all.map(|it| (it.id, it.address)).collect()
    }

    /// Returns what the owned shards show.
    pub fn status(&self) -> Vec<Status> {
        self.owners.values().map(Owner::status).collect()
    }

    /// Returns an owned shard.
    pub fn owner(&self, shard: ShardKey) -> Option<&Owner> {
        self.owners.get(&shard)
    }

    /// Returns the remembered decisions on a ticket, the oldest first.
    pub fn decisions(&self, host: HostId, ticket: TicketId) -> Vec<&Decision> {
        self.decisions.on(host, ticket).collect()
    }

    fn apply(&mut self, now: Duration, event: Event) {
        match event {
            Event::Listed(entries) => self.view.update_hosts(now, &entries),
            Event::Offered(fleet) => self.adopt(now, fleet),
            Event::Router(host, frame) => self.hear_router(now, host, &frame),
            Event::RouterUp(host) => self.router_up(now, host),
            Event::RouterDown(host) => self.router_down(now, host),
            Event::Peer(frame) => self.hear_peer(now, &frame),
            Event::PeerSent(frame, reply) => self.peer_sent(now, &frame, reply.as_ref()),
            Event::Answered(host, reply) => {
                self.view.merge(now, Some(host), &reply.gossip);
                if reply.alive {
                    self.probes.handle_ack(now, &mut self.view, host);
                }
                self.learn_revision(host, reply.revision);
            }
            Event::Refused(host) => self.probes.handle_refused(now, &mut self.view, host),
            Event::Probed(request) => {
                let from = request.from.parse().ok();
                self.view.merge(now, from, &request.gossip);
                if let Some(host) = from {
                    self.learn_revision(host, request.revision);
                }
            }
            Event::Report(id, health) => {
                for it in self.owners.values_mut() {
                    it.report(now, id, health);
                }
            }
            Event::Leave => self.view.leave(now),
            Event::Tick => (),
        }
    }

    /// Builds the answer to a probe.
    pub fn probe_reply(&mut self, request: &wire::ProbeRequest) -> wire::ProbeReply {
        let from = request.from.parse().ok();
        let mut gossip = self.view.take_gossip(from);
        // A host that has no configuration yet has just started: it learns everything at once.
        if request.revision == 0 && 0 < self.adopted.revision() {
            gossip = self.view.to_wire(|_| true);
        }
        wire::ProbeReply { alive: true, gossip, revision: self.adopted.revision() }
    }

    fn adopt(&mut self, now: Duration, fleet: Fleet) {
        if !self.adopted.update(fleet) {
            return;
        }
        let fleet = self.adopted.fleet().clone();
        for it in self.owners.values_mut() {
            it.configure(now, &fleet);
        }
    }

    fn learn_revision(&mut self, host: HostId, revision: Revision) {
        if revision <= self.adopted.revision() {
            return;
        }
        if let Some(it) = self.view.get(host) {
            self.actions.push(Action::Fetch(it.address));
        }
    }

    fn router_up(&mut self, now: Duration, host: HostId) {
        if !self.routers.insert(host) {
            self.owners.values_mut().for_each(|it| it.router_gone(now, host));
        }
        let frame = wire::OwnerFrame {
            answers: Vec::new(),
            members: self.home_members(),
            revision: self.adopted.revision(),
        };
        self.actions.push(Action::Router(host, frame));
    }

    fn router_down(&mut self, now: Duration, host: HostId) {
        self.routers.remove(&host);
        self.owners.values_mut().for_each(|it| it.router_gone(now, host));
    }

    fn hear_router(&mut self, now: Duration, host: HostId, frame: &wire::RouterFrame) {
        for report in &frame.reports {
            let Some(shard) = report.shard.as_ref().map(ShardKey::from) else { continue };
            if self.owners.contains_key(&shard) {
                self.hear_report(now, host, shard, report);
            } else if !report.tickets.is_empty() || !report.running.is_empty() {
                self.disown(host, shard);
            }
        }
    }

    fn hear_report(
        &mut self,
        now: Duration,
        host: HostId,
        shard: ShardKey,
        report: &wire::ShardReport,
    ) {
        let fleet = self.adopted.fleet().clone();
        let Some(owner) = self.owners.get_mut(&shard) else { return };
        for it in &report.running {
            let home = fleet.upstream(it.upstream).map(|it| fleet.shard_of(it));
            owner.resume(host, it, home.filter(|it| *it != shard));
        }
        for it in &report.progress {
            owner.progress(host, it);
        }
        for it in &report.done {
            owner.finish(now, host, it);
        }
        for it in &report.cancels {
            owner.cancel(host, *it);
        }
        for it in &report.tickets {
            owner.register(now, host, it);
        }
        for it in &report.tickets {
            let step = Step::Queued { shard, hint: it.hint };
            self.decisions.push(now, host, it.id, step);
        }
        for it in &report.done {
            let step = Step::Ended { shard, cost: it.cost, declined: it.declined };
            self.decisions.push(now, host, it.id, step);
        }
    }

    fn disown(&mut self, host: HostId, shard: ShardKey) {
        let answer =
            wire::ShardAnswer { shard: Some(shard.into()), not_owner: true, ..Default::default() };
        let frame = wire::OwnerFrame {
            answers: vec![answer],
            members: self.home_members(),
            revision: self.adopted.revision(),
        };
        self.actions.push(Action::Router(host, frame));
    }

    fn probe(&mut self, now: Duration) {
        let me = self.view.local_host();
        for probe in self.probes.tick(now, &mut self.view) {
            let (to, host, target) = match probe {
                Probe::Direct(host) => (host, host, String::new()),
                Probe::Indirect { via, target } => (via, target, target.to_string()),
            };
            let request = wire::ProbeRequest {
                from: me.to_string(),
                target,
                gossip: self.view.take_gossip(Some(host)),
                revision: self.adopted.revision(),
            };
            if let Some(it) = self.view.get(to) {
                self.actions.push(Action::Probe(it.address, host, request));
            }
        }
    }

    /// Returns whether this host knows the others, or has waited for them long enough. One
    /// that took itself for the only host would own every shard of its data centre.
    fn has_joined(&mut self, now: Duration) -> bool {
        if 1 < self.view.iter().count() || self.joins_by.is_some_and(|it| it <= now) {
            self.joins_by = None;
        }
        self.joins_by.is_none()
    }

    /// Computes anew which shards this host owns, where members or configuration changed.
    fn reassign(&mut self, now: Duration) {
        if !self.has_joined(now) {
            return;
        }
        let version = (self.view.version(), self.adopted.revision());
        if self.seen_version == version {
            return;
        }
        self.seen_version = version;
        let fleet = self.adopted.fleet().clone();
        let me = self.view.local_host();
        let home = fleet.data_centre_id(&self.settings.me.data_centre);
        let mut mine = Vec::new();
        for service in &fleet.services {
            let shards = fleet.shards(service.id).filter(|it| Some(it.data_centre) == home);
            mine.extend(shards.filter(|it| self.owner_host(&fleet, *it) == Some(me)));
        }
        let lost: Vec<_> = self.owners.keys().filter(|it| !mine.contains(it)).copied().collect();
        for shard in lost {
            self.hand_over(now, shard);
        }
        for shard in mine {
            self.own(now, shard, &fleet);
        }
        self.tell_members();
    }

    fn own(&mut self, now: Duration, shard: ShardKey, fleet: &Fleet) {
        if !self.owners.contains_key(&shard) {
            let standby = self.standby.remove(&shard);
            let earlier = standby.as_ref().and_then(|it| it.newest(shard));
            let incarnation = self.new_incarnation(now, earlier);
            let limits = self.settings.limits.clone();
            let mut owner = Owner::new(now, shard, incarnation, limits);
            owner.configure(now, fleet);
            if let Some(it) = standby {
                owner.restore(it.sets.into_values(), &it.lifts);
            }
            self.owners.insert(shard, owner);
        }
        if let Some(owner) = self.owners.get_mut(&shard) {
            owner.set_peers(fleet.shards(shard.service));
        }
    }

    /// Returns a number above those of all earlier ownerships: hosts started at different
    /// times, so it counts on from the host's own start, and above what the standby knows.
    pub(super) fn new_incarnation(
        &mut self,
        now: Duration,
        earlier: Option<Incarnation>,
    ) -> Incarnation {
        let by_clock = self.settings.incarnation + now.as_millis() as u64;
        let earlier = earlier.unwrap_or(0).max(self.next_incarnation);
        self.next_incarnation = by_clock.max(earlier + 1);
        self.next_incarnation
    }

    /// Ends the ownership of a shard: the routers register with the next owner, which
    /// gets the counters at once.
    fn hand_over(&mut self, now: Duration, shard: ShardKey) {
        let Some(mut owner) = self.owners.remove(&shard) else { return };
        let frame = owner.last_frame();
        let fleet = self.adopted.fleet().clone();
        let next = self.owner_host(&fleet, shard);
        if let Some(it) = next.and_then(|it| self.view.get(it)) {
            let frame =
                wire::PeerFrame { from: self.view.local_host().to_string(), shards: vec![frame] };
            self.actions.push(Action::Peer(it.address, frame));
        }
        for host in owner.routers() {
            self.disown(host, shard);
        }
        let me = self.view.local_host();
        self.decisions.push(now, me, 0, Step::HandedOver { shard });
    }

    fn send_answers(&mut self, now: Duration) {
        let mut frames: BTreeMap<HostId, wire::OwnerFrame> = BTreeMap::new();
        for owner in self.owners.values_mut() {
            for (host, answer) in owner.take_answers() {
                frames.entry(host).or_default().answers.push(answer);
            }
        }
        for (host, mut frame) in frames {
            frame.answers.iter().for_each(|it| self.decisions.note_answer(now, host, it));
            frame.revision = self.adopted.revision();
            self.actions.push(Action::Router(host, frame));
        }
    }

    pub(super) fn home_members(&self) -> Vec<wire::Member> {
        let home = &self.settings.me.data_centre;
        self.view.to_wire(|(_, it)| it.data_centre == *home)
    }

    /// Tells the routers which members of this data centre changed.
    fn tell_members(&mut self) {
        let home = &self.settings.me.data_centre;
        let told = &mut self.told;
        let fresh = self.view.to_wire(|(host, it)| {
            let now = (it.state, it.incarnation);
            it.data_centre == *home && told.insert(*host, now) != Some(now)
        });
        let revision = self.adopted.revision();
        if fresh.is_empty() && self.told_revision == revision {
            return;
        }
        self.told_revision = revision;
        let mut routers: Vec<_> = self.routers.iter().copied().collect();
        routers.sort_unstable();
        for host in routers {
            let members = fresh.clone();
            let frame = wire::OwnerFrame { answers: Vec::new(), members, revision };
            self.actions.push(Action::Router(host, frame));
        }
    }
}
