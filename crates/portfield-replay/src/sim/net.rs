//! Messages between hosts: delay, loss by cuts and deaths, bytes.

use std::{net::SocketAddr, time::Duration};

use portfield::{ids::HostId, schedule, wire};
use prost::Message;

use super::{Event, World};

/// Bytes that a frame on an open stream costs beside its own: HTTP/2 and gRPC framing.
const FRAME_COST: usize = 14;
/// Bytes that a call costs beside its messages: both heads, compressed, and framing.
const CALL_COST: usize = 120;
/// Time after which a call without an answer is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a connection without pings is given up.
const PING_LIMIT: Duration = Duration::from_secs(5);
/// Time after which a probe without an answer is given up.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

impl World<'_> {
    /// Returns the one-way delay between two data centres.
    pub(super) fn delay(&self, a: usize, b: usize) -> Duration {
        let deployment = &self.case.deployment;
        Duration::from_micros(if a == b { deployment.near_us } else { deployment.far_us })
    }

    /// Returns whether messages from one data centre to another are lost.
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Returns the number of a host.
    pub(super) fn host(&self, ip: HostId) -> usize {
        self.by_ip.get(&ip).copied().unwrap_or(0)
    }

    fn at_address(&self, address: SocketAddr) -> usize {
        self.host(address.ip())
    }

    /// Counts a message at both ends.
    fn count(&mut self, from: usize, to: usize, bytes: usize) {
        self.measure.bytes += 2 * bytes as u64;
        self.measure.messages += 1;
        self.hosts[from].bytes += bytes as u64;
        self.hosts[to].bytes += bytes as u64;
    }

    /// Returns whether a call reaches a scheduler that answers, and the delay one way.
    fn reach(&self, from: usize, to: usize) -> (Option<u64>, Duration) {
        let (a, b) = (self.hosts[from].centre, self.hosts[to].centre);
        let host = &self.hosts[to];
        let answers = host.scheduler.is_some() && host.paused.is_none();
        let open = !self.is_cut(a, b) && !self.is_cut(b, a);
        ((answers && open).then_some(host.lives.0), self.delay(a, b))
    }

    /// Returns whether a host answers, but no scheduler runs there.
    fn refuses(&self, from: usize, to: usize) -> bool {
        let (a, b) = (self.hosts[from].centre, self.hosts[to].centre);
        let host = &self.hosts[to];
        host.scheduler.is_none() && !host.silent && !self.is_cut(a, b) && !self.is_cut(b, a)
    }

    pub(super) fn dial(&mut self, router: usize, host: HostId) {
        let scheduler = self.host(host);
        let (life, delay) = self.reach(router, scheduler);
        let Some(life) = life else {
            self.after(delay * 2, Event::RouterDown(router, host));
            return;
        };
        self.count(router, scheduler, CALL_COST);
        self.sessions.insert((router, scheduler));
        let ip = self.hosts[router].ip;
        let up = schedule::Event::RouterConnected(ip);
        self.after(delay, Event::Scheduler(scheduler, life, up));
        self.after(delay * 2, Event::RouterUp(router, host));
    }

    pub(super) fn send_router(&mut self, router: usize, to: HostId, frame: wire::RouterFrame) {
        let scheduler = self.host(to);
        if !self.sessions.contains(&(router, scheduler)) {
            return;
        }
        self.count(router, scheduler, frame.encoded_len() + FRAME_COST);
        let (ip, life) = (self.hosts[router].ip, self.hosts[scheduler].lives.0);
        let event = schedule::Event::RouterFrame(ip, frame);
        let delay = self.delay(self.hosts[router].centre, self.hosts[scheduler].centre);
        self.after(delay, Event::Scheduler(scheduler, life, event));
    }

    pub(super) fn act_scheduler(&mut self, from: usize, action: schedule::Action) {
        match action {
            schedule::Action::SendToRouter(host, frame) => self.send_owner(from, host, frame),
            schedule::Action::SendToPeer(address, frame) => self.send_peer(from, address, frame),
            schedule::Action::SendProbe(address, target, request) => {
                self.send_probe(from, address, target, request);
            }
            schedule::Action::FetchConfig(address) => {
                let to = self.at_address(address);
                let (life, delay) = self.reach(from, to);
                if life.is_none() {
                    return;
                }
                let Some(fleet) = self.hosts[to].scheduler.as_ref().map(|it| it.fleet().clone())
                else {
                    return;
                };
                let own = self.hosts[from].lives.0;
                let event = schedule::Event::Config((*fleet).clone());
                self.after(delay * 2, Event::Scheduler(from, own, event));
            }
        }
    }

    fn send_owner(&mut self, from: usize, to: HostId, frame: wire::OwnerFrame) {
        let router = self.host(to);
        if !self.sessions.contains(&(router, from)) {
            return;
        }
        self.count(from, router, frame.encoded_len() + FRAME_COST);
        let ip = self.hosts[from].ip;
        let delay = self.delay(self.hosts[from].centre, self.hosts[router].centre);
        self.after(delay, Event::Frame(router, ip, frame));
    }

    fn send_peer(&mut self, from: usize, address: SocketAddr, frame: wire::PeerFrame) {
        let to = self.at_address(address);
        self.count(from, to, frame.encoded_len() + CALL_COST);
        let own = self.hosts[from].lives.0;
        let (life, delay) = self.reach(from, to);
        let (a, b) = (self.hosts[from].centre, self.hosts[to].centre);
        // Where only the way back is cut, the frame arrives and the sender can't know.
        let lives = self.hosts[to].lives.0;
        if life.is_some() || !self.is_cut(a, b) {
            let event = schedule::Event::PeerFrame(frame.clone());
            self.after(delay, Event::Scheduler(to, lives, event));
        }
        let scheduler = self.hosts[to].scheduler.as_ref().filter(|_| life.is_some());
        let reply = scheduler.map(|it| it.peer_reply(&frame));
        let time = if reply.is_some() { delay * 2 } else { CALL_TIMEOUT };
        self.count(from, to, reply.as_ref().map_or(0, wire::PeerReply::encoded_len));
        let event = schedule::Event::PeerReply(frame, reply);
        self.after(time, Event::Scheduler(from, own, event));
    }

    fn send_probe(
        &mut self,
        from: usize,
        address: SocketAddr,
        target: HostId,
        request: wire::ProbeRequest,
    ) {
        let to = self.at_address(address);
        self.count(from, to, request.encoded_len() + CALL_COST);
        let (life, delay) = self.reach(from, to);
        let own = self.hosts[from].lives.0;
        let Some(life) = life else {
            if request.target.is_empty() && self.refuses(from, to) {
                let event = schedule::Event::ProbeRefused(target);
                self.after(delay * 2, Event::Scheduler(from, own, event));
            }
            return;
        };
        let mut time = delay * 2;
        let mut alive = true;
        if !request.target.is_empty() {
            let (last, further) = self.reach(to, self.host(target));
            alive = last.is_some();
            time += if alive { further * 2 } else { PROBE_TIMEOUT };
        }
        let probed = schedule::Event::ProbeRequest(request.clone());
        self.after(delay, Event::Scheduler(to, life, probed));
        let Some(scheduler) = self.hosts[to].scheduler.as_mut() else { return };
        let reply = wire::ProbeReply { alive, ..scheduler.probe_reply(&request) };
        self.count(from, to, reply.encoded_len());
        let event = schedule::Event::ProbeReply(target, reply);
        self.after(time, Event::Scheduler(from, own, event));
    }

    /// Ends the sessions of a router or of a scheduler that died.
    pub(super) fn break_sessions(&mut self, gone: impl Fn(&(usize, usize)) -> bool) {
        let broken: Vec<_> = self.sessions.iter().filter(|it| gone(it)).copied().collect();
        for (router, scheduler) in broken {
            self.sessions.remove(&(router, scheduler));
            let mut delay = self.delay(self.hosts[router].centre, self.hosts[scheduler].centre);
            if self.hosts[router].silent || self.hosts[scheduler].silent {
                // Only the pings of the connection find it out.
                delay += PING_LIMIT;
            }
            let (ip, life) = (self.hosts[router].ip, self.hosts[scheduler].lives.0);
            let down = schedule::Event::RouterDisconnected(ip);
            self.after(delay, Event::Scheduler(scheduler, life, down));
            let host = self.hosts[scheduler].ip;
            self.after(delay, Event::RouterDown(router, host));
        }
    }
}
