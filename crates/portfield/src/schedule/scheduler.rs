//! State machine of one scheduler process: members, owned shards, sessions with routers and peers.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::{
    decision::{Decision, DecisionLog, Step},
    owner::{OwnerConfig, ShardOwner, ShardStatus},
    shard_key::ShardKey,
    slots::Health,
    standby::Standby,
};
use crate::{
    fleet::{CurrentFleet, Fleet},
    ids::{HostId, Incarnation, Revision, TicketId, UpstreamId},
    member::{HostListEntry, MemberState, Membership, Probe, Prober},
    wire,
};

/// Time after its start until which a host that knows no other host owns no shards.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Configuration of a scheduler.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    /// This host, as in the platform's host list.
    pub entry: HostListEntry,
    /// Incarnation of the process, larger than that of any earlier one at this host.
    pub incarnation: Incarnation,
    /// Limits and periods of the owners.
    pub owner: OwnerConfig,
}

/// Input of a scheduler.
#[derive(Debug, Clone)]
pub enum Event {
    /// The platform's host list was read.
    HostList(Vec<HostListEntry>),
    /// A configuration was read from the platform or a peer.
    Config(Fleet),
    /// A router's frame arrived.
    RouterFrame(HostId, wire::RouterFrame),
    /// A router opened its session.
    RouterConnected(HostId),
    /// A router's session ended.
    RouterDisconnected(HostId),
    /// A peer's frame arrived.
    PeerFrame(wire::PeerFrame),
    /// A peer replied to a frame, or its reply is lost.
    PeerReply(wire::PeerFrame, Option<wire::PeerReply>),
    /// A host answered a probe; the answer carries membership gossip.
    ProbeReply(HostId, wire::ProbeReply),
    /// A probe was refused: nothing listens at the host's address.
    ProbeRefused(HostId),
    /// A probe arrived.
    ProbeRequest(wire::ProbeRequest),
    /// A health check of an upstream finished.
    UpstreamHealth(UpstreamId, Health),
    /// This host is leaving and must hand over the shards it owns.
    Leave,
    /// Timers may be due.
    Tick,
}

/// Output of a scheduler, to be carried out by its process.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a frame to a router.
    SendToRouter(HostId, wire::OwnerFrame),
    /// Send a frame to a peer.
    SendToPeer(SocketAddr, wire::PeerFrame),
    /// Send a probe: the address to send it to, the host that is probed, the message.
    SendProbe(SocketAddr, HostId, wire::ProbeRequest),
    /// Fetch the configuration from a peer that has a higher revision.
    FetchConfig(SocketAddr),
}

/// State machine of one scheduler process.
#[derive(Debug)]
pub struct Scheduler {
    config: SchedulerConfig,
    pub(super) view: Membership,
    probes: Prober,
    pub(super) adopted: CurrentFleet,
    pub(super) owners: BTreeMap<ShardKey, ShardOwner>,
    /// Counters received as the successor of other hosts' shards.
    pub(super) standby: BTreeMap<ShardKey, Standby>,
    /// Hosts whose routers have a session.
    routers: HashSet<HostId>,
    /// Members of this data centre as last sent to the routers.
    sent_members: BTreeMap<HostId, (MemberState, Incarnation)>,
    /// Configuration revision last sent to the routers.
    sent_revision: Revision,
    /// Versions of membership and configuration for which ownership was last computed.
    assigned_version: (u64, Revision),
    /// Largest incarnation assigned to an owner so far.
    last_incarnation: Incarnation,
    decisions: DecisionLog,
    /// Time until which a host that knows no other host owns no shards; `None` once it has joined.
    join_deadline: Option<Duration>,
    pub(super) actions: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler that knows only its own host.
    pub fn new(config: SchedulerConfig) -> Self {
        let seed = config.incarnation ^ u64::from(config.entry.address.port());
        Self {
            view: Membership::new(config.entry.clone(), config.incarnation),
            probes: Prober::new(seed),
            adopted: CurrentFleet::default(),
            owners: BTreeMap::new(),
            standby: BTreeMap::new(),
            routers: HashSet::new(),
            sent_members: BTreeMap::new(),
            sent_revision: 0,
            assigned_version: (0, 0),
            last_incarnation: config.incarnation,
            decisions: DecisionLog::default(),
            join_deadline: Some(JOIN_TIMEOUT),
            actions: Vec::new(),
            config,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.handle_event(now, event);
        self.send_probes(now);
        self.update_ownership(now);
        for it in self.owners.values_mut() {
            it.dispatch(now);
        }
        self.send_answers(now);
        self.send_peer_frames(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn next_tick(&self) -> Duration {
        let frames = self.owners.values().map(|it| it.next_frame_at().max(it.recovery_end()));
        frames.chain([self.probes.next_tick()]).min().unwrap_or(Duration::MAX)
    }

    /// Returns the configuration in force at this host.
    pub fn fleet(&self) -> &Arc<Fleet> {
        self.adopted.fleet()
    }

    /// Returns this host's view of the members.
    pub fn view(&self) -> &Membership {
        &self.view
    }

    /// Returns the upstreams of the owned shards, which need health checks.
    pub fn watched_upstreams(&self) -> Vec<(UpstreamId, SocketAddr)> {
        let fleet = self.adopted.fleet();
        let all = self.owners.keys().flat_map(|it| fleet.upstreams_in_shard(*it));
        all.map(|it| (it.id, it.address)).collect()
    }

    /// Returns the status of the owned shards.
    pub fn status(&self) -> Vec<ShardStatus> {
        self.owners.values().map(ShardOwner::status).collect()
    }

    /// Returns the owner of a shard, if this host owns it.
    pub fn owner(&self, shard: ShardKey) -> Option<&ShardOwner> {
        self.owners.get(&shard)
    }

    /// Returns the logged decisions about a router's ticket, oldest first.
    pub fn decisions(&self, host: HostId, ticket: TicketId) -> Vec<&Decision> {
        self.decisions.of_ticket(host, ticket).collect()
    }

    fn handle_event(&mut self, now: Duration, event: Event) {
        match event {
            Event::HostList(entries) => self.view.update_hosts(now, &entries),
            Event::Config(fleet) => self.adopt_config(now, fleet),
            Event::RouterFrame(host, frame) => self.handle_router_frame(now, host, &frame),
            Event::RouterConnected(host) => self.add_router(now, host),
            Event::RouterDisconnected(host) => self.remove_router(now, host),
            Event::PeerFrame(frame) => self.handle_peer_frame(now, &frame),
            Event::PeerReply(frame, reply) => self.handle_peer_reply(now, &frame, reply.as_ref()),
            Event::ProbeReply(host, reply) => {
                self.view.merge(now, Some(host), &reply.gossip);
                if reply.alive {
                    self.probes.handle_ack(now, &mut self.view, host);
                }
                self.fetch_if_newer(host, reply.revision);
            }
            Event::ProbeRefused(host) => self.probes.handle_refused(now, &mut self.view, host),
            Event::ProbeRequest(request) => {
                let from = request.from.parse().ok();
                self.view.merge(now, from, &request.gossip);
                if let Some(host) = from {
                    self.fetch_if_newer(host, request.revision);
                }
            }
            Event::UpstreamHealth(id, health) => {
                for it in self.owners.values_mut() {
                    it.record_health(now, id, health);
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
        // A host without a configuration has just started: it gets all members at once.
        if request.revision == 0 && 0 < self.adopted.revision() {
            gossip = self.view.to_wire(|_| true);
        }
        wire::ProbeReply { alive: true, gossip, revision: self.adopted.revision() }
    }

    /// Adopts a configuration, if it is newer, and applies it to the owners.
    fn adopt_config(&mut self, now: Duration, fleet: Fleet) {
        if !self.adopted.update(fleet) {
            return;
        }
        let fleet = self.adopted.fleet().clone();
        for it in self.owners.values_mut() {
            it.configure(now, &fleet);
        }
    }

    /// Fetches the configuration of a host if its revision is newer.
    fn fetch_if_newer(&mut self, host: HostId, revision: Revision) {
        if revision <= self.adopted.revision() {
            return;
        }
        if let Some(it) = self.view.get(host) {
            self.actions.push(Action::FetchConfig(it.address));
        }
    }

    /// Adds a router whose session opened. If it already had one, its tickets and requests are
    /// removed first, as it registers them again.
    fn add_router(&mut self, now: Duration, host: HostId) {
        if !self.routers.insert(host) {
            self.owners.values_mut().for_each(|it| it.remove_router(now, host));
        }
        let frame = wire::OwnerFrame {
            answers: Vec::new(),
            members: self.local_members(),
            revision: self.adopted.revision(),
        };
        self.actions.push(Action::SendToRouter(host, frame));
    }

    fn remove_router(&mut self, now: Duration, host: HostId) {
        self.routers.remove(&host);
        self.owners.values_mut().for_each(|it| it.remove_router(now, host));
    }

    fn handle_router_frame(&mut self, now: Duration, host: HostId, frame: &wire::RouterFrame) {
        for report in &frame.reports {
            let Some(shard) = report.shard.as_ref().map(ShardKey::from) else { continue };
            if self.owners.contains_key(&shard) {
                self.handle_shard_report(now, host, shard, report);
            } else if !report.tickets.is_empty() || !report.running.is_empty() {
                self.send_not_owner(host, shard);
            }
        }
    }

    fn handle_shard_report(
        &mut self,
        now: Duration,
        host: HostId,
        shard: ShardKey,
        report: &wire::ShardReport,
    ) {
        let fleet = self.adopted.fleet().clone();
        let Some(owner) = self.owners.get_mut(&shard) else { return };
        for it in &report.running {
            let home_shard = fleet.upstream(it.upstream).map(|it| fleet.shard_of(it));
            owner.resume(host, it, home_shard.filter(|it| *it != shard));
        }
        for it in &report.progress {
            owner.record_progress(host, it);
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
            self.decisions.record(now, host, it.id, step);
        }
        for it in &report.done {
            let step = Step::Ended { shard, cost: it.cost, declined: it.declined };
            self.decisions.record(now, host, it.id, step);
        }
    }

    /// Tells a router that this host does not own a shard.
    fn send_not_owner(&mut self, host: HostId, shard: ShardKey) {
        let answer =
            wire::ShardAnswer { shard: Some(shard.into()), not_owner: true, ..Default::default() };
        let frame = wire::OwnerFrame {
            answers: vec![answer],
            members: self.local_members(),
            revision: self.adopted.revision(),
        };
        self.actions.push(Action::SendToRouter(host, frame));
    }

    fn send_probes(&mut self, now: Duration) {
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
                self.actions.push(Action::SendProbe(it.address, host, request));
            }
        }
    }

    /// Returns whether this host knows another one, or [`JOIN_TIMEOUT`] is over. A host that assumes
    /// too early that it is alone would take ownership of all shards of its data centre.
    fn has_joined(&mut self, now: Duration) -> bool {
        if 1 < self.view.iter().count() || self.join_deadline.is_some_and(|it| it <= now) {
            self.join_deadline = None;
        }
        self.join_deadline.is_none()
    }

    /// Recomputes which shards this host owns, if members or configuration changed.
    fn update_ownership(&mut self, now: Duration) {
        if !self.has_joined(now) {
            return;
        }
        let version = (self.view.version(), self.adopted.revision());
        if self.assigned_version == version {
            return;
        }
        self.assigned_version = version;
        let fleet = self.adopted.fleet().clone();
        let me = self.view.local_host();
        let local = fleet.data_centre_id(&self.config.entry.data_centre);
        let mut owned = Vec::new();
        for service in &fleet.services {
            let shards = fleet.shards(service.id).filter(|it| Some(it.data_centre) == local);
            owned.extend(shards.filter(|it| self.owner_host(&fleet, *it) == Some(me)));
        }
        let lost: Vec<_> = self.owners.keys().filter(|it| !owned.contains(it)).copied().collect();
        for shard in lost {
            self.hand_over(now, shard);
        }
        for shard in owned {
            self.take_ownership(now, shard, &fleet);
        }
        self.send_members();
    }

    /// Creates the owner of a shard, unless there is one, and sets its peers.
    fn take_ownership(&mut self, now: Duration, shard: ShardKey, fleet: &Fleet) {
        if !self.owners.contains_key(&shard) {
            let standby = self.standby.remove(&shard);
            let earlier = standby.as_ref().and_then(|it| it.latest_incarnation(shard));
            let incarnation = self.new_incarnation(now, earlier);
            let config = self.config.owner.clone();
            let mut owner = ShardOwner::new(now, shard, incarnation, config);
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

    /// Returns an incarnation for an owner, above those of all earlier owners.
    ///
    /// It derives from the start time of the host plus the time since, so that a later owner at a
    /// host that started earlier has a larger one, and is above `earlier`, the largest one known.
    pub(super) fn new_incarnation(
        &mut self,
        now: Duration,
        earlier: Option<Incarnation>,
    ) -> Incarnation {
        let from_clock = self.config.incarnation + now.as_millis() as u64;
        let earlier = earlier.unwrap_or(0).max(self.last_incarnation);
        self.last_incarnation = from_clock.max(earlier + 1);
        self.last_incarnation
    }

    /// Ends the ownership of a shard: sends its counters to the next owner, and tells its routers to
    /// register there.
    fn hand_over(&mut self, now: Duration, shard: ShardKey) {
        let Some(mut owner) = self.owners.remove(&shard) else { return };
        let frame = owner.handover_frame();
        let fleet = self.adopted.fleet().clone();
        let next = self.owner_host(&fleet, shard);
        if let Some(it) = next.and_then(|it| self.view.get(it)) {
            let frame =
                wire::PeerFrame { from: self.view.local_host().to_string(), shards: vec![frame] };
            self.actions.push(Action::SendToPeer(it.address, frame));
        }
        for host in owner.routers() {
            self.send_not_owner(host, shard);
        }
        let me = self.view.local_host();
        self.decisions.record(now, me, 0, Step::HandedOver { shard });
    }

    fn send_answers(&mut self, now: Duration) {
        let mut frames: BTreeMap<HostId, wire::OwnerFrame> = BTreeMap::new();
        for owner in self.owners.values_mut() {
            for (host, answer) in owner.take_answers() {
                frames.entry(host).or_default().answers.push(answer);
            }
        }
        for (host, mut frame) in frames {
            frame.answers.iter().for_each(|it| self.decisions.record_answer(now, host, it));
            frame.revision = self.adopted.revision();
            self.actions.push(Action::SendToRouter(host, frame));
        }
    }

    /// Returns the members of this data centre.
    pub(super) fn local_members(&self) -> Vec<wire::Member> {
        let data_centre = &self.config.entry.data_centre;
        self.view.to_wire(|(_, it)| it.data_centre == *data_centre)
    }

    /// Sends the members of this data centre that changed, and the revision, to all routers.
    fn send_members(&mut self) {
        let data_centre = &self.config.entry.data_centre;
        let sent = &mut self.sent_members;
        let changed = self.view.to_wire(|(host, it)| {
            let now = (it.state, it.incarnation);
            it.data_centre == *data_centre && sent.insert(*host, now) != Some(now)
        });
        let revision = self.adopted.revision();
        if changed.is_empty() && self.sent_revision == revision {
            return;
        }
        self.sent_revision = revision;
        let mut routers: Vec<_> = self.routers.iter().copied().collect();
        routers.sort_unstable();
        for host in routers {
            let members = changed.clone();
            let frame = wire::OwnerFrame { answers: Vec::new(), members, revision };
            self.actions.push(Action::SendToRouter(host, frame));
        }
    }
}
