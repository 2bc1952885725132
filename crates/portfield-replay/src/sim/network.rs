//! Messages between hosts: their delay, their size, and their loss when links are cut or processes
//! die.

use std::{net::SocketAddr, time::Duration};

use portfield::{ids::HostId, schedule, wire};
use prost::Message;

use super::{Event, Simulation};

/// Bytes of HTTP/2 and gRPC framing for each message on an open stream.
const FRAME_OVERHEAD: usize = 14;
/// Bytes of a call besides its messages: compressed headers of request and response, and framing.
const CALL_OVERHEAD: usize = 120;
/// Time after which a call without a response is abandoned.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a connection without answers to its pings is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a probe without a response is abandoned.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

impl Simulation<'_> {
    /// Returns the one-way delay between two data centres.
    pub(super) fn link_delay(&self, a: usize, b: usize) -> Duration {
        let deployment = &self.case.deployment;
        Duration::from_micros(if a == b { deployment.near_us } else { deployment.far_us })
    }

    /// Returns whether the link from one data centre to another is cut.
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut_links.contains(&(from, to))
    }

    /// Returns the index of a host.
    pub(super) fn host_index(&self, ip: HostId) -> usize {
        self.host_indices.get(&ip).copied().unwrap_or(0)
    }

    /// Returns the index of the host whose scheduler listens at an address.
    fn host_at(&self, address: SocketAddr) -> usize {
        self.host_index(address.ip())
    }

    /// Counts the bytes of a control message at its sender and its receiver.
    fn count_message(&mut self, from: usize, to: usize, bytes: usize) {
        self.metrics.control_bytes += 2 * bytes as u64;
        self.metrics.control_messages += 1;
        self.hosts[from].control_bytes += bytes as u64;
        self.hosts[to].control_bytes += bytes as u64;
    }

    /// Returns the generation of a host's scheduler if a call reaches it and gets a response, and
    /// the one-way delay.
    fn reach_scheduler(&self, from: usize, to: usize) -> (Option<u64>, Duration) {
        let (a, b) = (self.hosts[from].data_centre, self.hosts[to].data_centre);
        let host = &self.hosts[to];
        let answers = host.scheduler.is_some() && host.suspended_events.is_none();
        let open = !self.is_cut(a, b) && !self.is_cut(b, a);
        ((answers && open).then_some(host.scheduler_generation), self.link_delay(a, b))
    }

    /// Returns whether a connection is refused: the host is reachable, but runs no scheduler.
    fn refuses_connection(&self, from: usize, to: usize) -> bool {
        let (a, b) = (self.hosts[from].data_centre, self.hosts[to].data_centre);
        let host = &self.hosts[to];
        host.scheduler.is_none() && !host.is_powered_off && !self.is_cut(a, b) && !self.is_cut(b, a)
    }

    /// Opens a session from a router to a host's scheduler.
    pub(super) fn connect(&mut self, router: usize, host: HostId) {
        let scheduler = self.host_index(host);
        let (generation, delay) = self.reach_scheduler(router, scheduler);
        let Some(generation) = generation else {
            self.schedule_after(delay * 2, Event::SessionClosed(router, host));
            return;
        };
        self.count_message(router, scheduler, CALL_OVERHEAD);
        self.sessions.insert((router, scheduler));
        let ip = self.hosts[router].ip;
        let up = schedule::Event::RouterConnected(ip);
        self.schedule_after(delay, Event::SchedulerInput(scheduler, generation, up));
        self.schedule_after(delay * 2, Event::SessionOpened(router, host));
    }

    /// Sends a frame from a router to a scheduler, unless their session is closed. It arrives even
    /// if the link is cut.
    pub(super) fn send_router_frame(
        &mut self,
        router: usize,
        to: HostId,
        frame: wire::RouterFrame,
    ) {
        let scheduler = self.host_index(to);
        if !self.sessions.contains(&(router, scheduler)) {
            return;
        }
        self.count_message(router, scheduler, frame.encoded_len() + FRAME_OVERHEAD);
        let (ip, generation) = (self.hosts[router].ip, self.hosts[scheduler].scheduler_generation);
        let event = schedule::Event::RouterFrame(ip, frame);
        let delay =
            self.link_delay(self.hosts[router].data_centre, self.hosts[scheduler].data_centre);
        self.schedule_after(delay, Event::SchedulerInput(scheduler, generation, event));
    }

    pub(super) fn apply_scheduler_action(&mut self, from: usize, action: schedule::Action) {
        match action {
            schedule::Action::SendToRouter(host, frame) => self.send_owner_frame(from, host, frame),
            schedule::Action::SendToPeer(address, frame) => {
                self.send_peer_frame(from, address, frame);
            }
            schedule::Action::SendProbe(address, target, request) => {
                self.send_probe(from, address, target, request);
            }
            schedule::Action::FetchConfig(address) => {
                let to = self.host_at(address);
                let (generation, delay) = self.reach_scheduler(from, to);
                if generation.is_none() {
                    return;
                }
                let Some(fleet) = self.hosts[to].scheduler.as_ref().map(|it| it.fleet().clone())
                else {
                    return;
                };
                let own_generation = self.hosts[from].scheduler_generation;
                let event = schedule::Event::Config((*fleet).clone());
                self.schedule_after(delay * 2, Event::SchedulerInput(from, own_generation, event));
            }
        }
    }

    /// Sends a frame from a scheduler to a router, unless their session is closed. It arrives even
    /// if the link is cut.
    fn send_owner_frame(&mut self, from: usize, to: HostId, frame: wire::OwnerFrame) {
        let router = self.host_index(to);
        if !self.sessions.contains(&(router, from)) {
            return;
        }
        self.count_message(from, router, frame.encoded_len() + FRAME_OVERHEAD);
        let ip = self.hosts[from].ip;
        let delay = self.link_delay(self.hosts[from].data_centre, self.hosts[router].data_centre);
        self.schedule_after(delay, Event::OwnerFrame(router, ip, frame));
    }

    /// Calls the scheduler at an address with a peer frame; the sender gets the reply or none.
    fn send_peer_frame(&mut self, from: usize, address: SocketAddr, frame: wire::PeerFrame) {
        let to = self.host_at(address);
        self.count_message(from, to, frame.encoded_len() + CALL_OVERHEAD);
        let own_generation = self.hosts[from].scheduler_generation;
        let (generation, delay) = self.reach_scheduler(from, to);
        let (a, b) = (self.hosts[from].data_centre, self.hosts[to].data_centre);
        let current = self.hosts[to].scheduler_generation;
        // If only the way back is cut, the frame arrives, but the sender gets no reply.
        if generation.is_some() || !self.is_cut(a, b) {
            let event = schedule::Event::PeerFrame(frame.clone());
            self.schedule_after(delay, Event::SchedulerInput(to, current, event));
        }
        let scheduler = self.hosts[to].scheduler.as_ref().filter(|_| generation.is_some());
        let reply = scheduler.map(|it| it.peer_reply(&frame));
        let time = if reply.is_some() { delay * 2 } else { CALL_TIMEOUT };
        self.count_message(from, to, reply.as_ref().map_or(0, wire::PeerReply::encoded_len));
        let event = schedule::Event::PeerReply(frame, reply);
        self.schedule_after(time, Event::SchedulerInput(from, own_generation, event));
    }

    /// Probes `target`, itself or by way of the scheduler at `address`.
    fn send_probe(
        &mut self,
        from: usize,
        address: SocketAddr,
        target: HostId,
        request: wire::ProbeRequest,
    ) {
        let to = self.host_at(address);
        self.count_message(from, to, request.encoded_len() + CALL_OVERHEAD);
        let (generation, delay) = self.reach_scheduler(from, to);
        let own_generation = self.hosts[from].scheduler_generation;
        let Some(generation) = generation else {
            if request.target.is_empty() && self.refuses_connection(from, to) {
                let event = schedule::Event::ProbeRefused(target);
                self.schedule_after(delay * 2, Event::SchedulerInput(from, own_generation, event));
            }
            return;
        };
        let mut time = delay * 2;
        let mut alive = true;
        if !request.target.is_empty() {
            let (target_generation, target_delay) =
                self.reach_scheduler(to, self.host_index(target));
            alive = target_generation.is_some();
            time += if alive { target_delay * 2 } else { PROBE_TIMEOUT };
        }
        let probed = schedule::Event::ProbeRequest(request.clone());
        self.schedule_after(delay, Event::SchedulerInput(to, generation, probed));
        let Some(scheduler) = self.hosts[to].scheduler.as_mut() else { return };
        let reply = wire::ProbeReply { alive, ..scheduler.probe_reply(&request) };
        self.count_message(from, to, reply.encoded_len());
        let event = schedule::Event::ProbeReply(target, reply);
        self.schedule_after(time, Event::SchedulerInput(from, own_generation, event));
    }

    /// Closes the sessions that `is_broken` selects: those of a router or scheduler that died.
    pub(super) fn break_sessions(&mut self, is_broken: impl Fn(&(usize, usize)) -> bool) {
        let broken: Vec<_> = self.sessions.iter().filter(|it| is_broken(it)).copied().collect();
        for (router, scheduler) in broken {
            self.sessions.remove(&(router, scheduler));
            let mut delay =
                self.link_delay(self.hosts[router].data_centre, self.hosts[scheduler].data_centre);
            if self.hosts[router].is_powered_off || self.hosts[scheduler].is_powered_off {
                // A host without power closes no connection: only unanswered pings reveal it.
                delay += PING_TIMEOUT;
            }
            let (ip, generation) =
                (self.hosts[router].ip, self.hosts[scheduler].scheduler_generation);
            let down = schedule::Event::RouterDisconnected(ip);
            self.schedule_after(delay, Event::SchedulerInput(scheduler, generation, down));
            let host = self.hosts[scheduler].ip;
            self.schedule_after(delay, Event::SessionClosed(router, host));
        }
    }
}
