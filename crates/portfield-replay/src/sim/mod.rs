//! Discrete-event simulation of a case: the production code of routers and schedulers runs in
//! virtual time, with simulated engines, platform and message delays.
//!
//! The simulation is deterministic: the same case and trace give the same metrics.

mod attempts;
mod faults;
mod fleet;
mod network;
mod scale;

pub use scale::{ScaleReport, replay_for};

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use portfield::{
    fleet::Fleet,
    ids::{HostId, TicketId, UpstreamId},
    member::HostListEntry,
    route::{self, Router},
    schedule::{self, Health, OwnerConfig, Scheduler},
    wire,
};

use crate::{
    case::Case,
    engine::Engine,
    metrics::{Metrics, MetricsCollector, RequestState},
    trace::Arrival,
};

/// Time between two samples of the slots in use.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two reads of the host list by a scheduler.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads of the configuration by a scheduler.
const CONFIG_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two load reports to a scheduler.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the load in a report.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Time before the first request, in which the hosts join.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time after the last arrival by which every request must have ended.
const DRAIN_LIMIT: Duration = Duration::from_secs(120);
/// Longest time until the grants that an owner sent before its death take effect.
const MAX_TRANSIT: Duration = Duration::from_millis(20);
/// Time after which an upstream marked as leaving must get no requests.
const LEAVE_GRACE: Duration = Duration::from_secs(3);

/// Event of the simulation. Hosts and requests are given by index.
#[derive(Debug, Clone)]
enum Event {
    /// A request of the trace arrives.
    Arrive(usize),
    /// An event reaches the scheduler of a host, unless its generation is no longer the given one.
    SchedulerInput(usize, u64, schedule::Event),
    /// A timer of a host's scheduler expires.
    TickScheduler(usize),
    /// A timer of a host's router expires.
    TickRouter(usize),
    /// A frame from the scheduler of another host reaches a host's router.
    OwnerFrame(usize, HostId, wire::OwnerFrame),
    /// A host's router learns that its session with a scheduler is open.
    SessionOpened(usize, HostId),
    /// A host's router learns that its session with a scheduler failed or ended.
    SessionClosed(usize, HostId),
    /// A forwarded request reaches its engine.
    StartAttempt(Attempt),
    /// An engine completes the next step of an attempt, given by its id.
    GenerateTokens(UpstreamId, u64),
    /// A host's scheduler reads the configuration.
    FetchConfig(usize),
    /// A host's scheduler reads the host list.
    ListHosts(usize),
    /// The engines that a host's scheduler watches report their health.
    ReportHealth(usize),
    /// A fault of the case, given by index, starts or ends.
    Fault(usize, faults::FaultPhase),
    /// The slots in use are sampled.
    SampleSlots,
}

/// An attempt of a router to run a request on an engine.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    host: usize,
    router_generation: u64,
    ticket: TicketId,
    request: usize,
    upstream: UpstreamId,
}

/// A host with its scheduler and router; either is `None` while it is down.
#[derive(Debug)]
struct Host {
    ip: HostId,
    address: SocketAddr,
    data_centre: usize,
    scheduler: Option<Scheduler>,
    router: Option<Router>,
    /// Number of starts of the scheduler.
    scheduler_generation: u64,
    /// Number of starts of the router.
    router_generation: u64,
    /// Events held back while the scheduler is suspended; `None` if it isn't.
    suspended_events: Option<Vec<Event>>,
    /// The host has no power: connections to it hang instead of being refused.
    is_powered_off: bool,
    /// Request of each open ticket.
    tickets: HashMap<TicketId, usize>,
    /// Time of the scheduler's next scheduled tick.
    scheduler_tick: Duration,
    /// Time of the router's next scheduled tick.
    router_tick: Duration,
    /// Bytes of control messages, sent and received.
    control_bytes: u64,
}

/// State of a running simulation.
#[derive(Debug)]
pub struct Simulation<'a> {
    case: &'a Case,
    arrivals: &'a [Arrival],
    fleet: Fleet,
    now: Duration,
    /// Scheduled events by time, then in the order in which they were scheduled.
    events: BTreeMap<(Duration, u64), Event>,
    n_events: u64,
    hosts: Vec<Host>,
    host_indices: HashMap<HostId, usize>,
    engines: BTreeMap<UpstreamId, Engine>,
    /// Attempts on engines, by id.
    attempts: HashMap<u64, Attempt>,
    n_attempts: u64,
    /// Open sessions, as indices of the router's and of the scheduler's host.
    sessions: BTreeSet<(usize, usize)>,
    /// Pairs of data centres; the link from the first to the second is cut.
    cut_links: Vec<(usize, usize)>,
    /// Upstream that was marked as leaving last, and when.
    leaving: Option<(UpstreamId, Duration)>,
    /// When the first shard lost its owner; `None` once its upstreams get requests again.
    ownerless_since: Option<Duration>,
    metrics: MetricsCollector,
}

/// Replays the trace of a case and returns its metrics.
pub fn replay(case: &Case, arrivals: &[Arrival]) -> Metrics {
    let mut simulation = Simulation::new(case, arrivals);
    simulation.run();
    let n_hosts = simulation.hosts.len();
    simulation.check_slots();
    simulation.metrics.summarize(simulation.now, n_hosts)
}

impl<'a> Simulation<'a> {
    fn new(case: &'a Case, arrivals: &'a [Arrival]) -> Self {
        let fleet = fleet::build_fleet(case);
        let token_time = Duration::from_micros(case.deployment.token_us);
        let engines = fleet.upstreams.iter().map(|it| (it.id, Engine::new(it.slots, token_time)));
        let mut res = Self {
            case,
            arrivals,
            engines: engines.collect(),
            fleet,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            n_events: 0,
            hosts: Vec::new(),
            host_indices: HashMap::new(),
            attempts: HashMap::new(),
            n_attempts: 0,
            sessions: BTreeSet::new(),
            cut_links: Vec::new(),
            leaving: None,
            ownerless_since: None,
            metrics: MetricsCollector::new(case, arrivals),
        };
        res.add_hosts();
        for (idx, it) in arrivals.iter().enumerate() {
            res.schedule_at(WARM_UP + Duration::from_millis(it.at), Event::Arrive(idx));
        }
        for (idx, it) in case.fault.iter().enumerate() {
            let [start, end] = [it.during.0, it.during.1].map(Duration::from_secs_f64);
            res.schedule_at(WARM_UP + start, Event::Fault(idx, faults::FaultPhase::Start));
            res.schedule_at(WARM_UP + end, Event::Fault(idx, faults::FaultPhase::End));
        }
        res.schedule_at(WARM_UP, Event::SampleSlots);
        res
    }

    fn add_hosts(&mut self) {
        for (data_centre, n) in self.case.deployment.hosts.clone().into_iter().enumerate() {
            for idx in 0..n {
                let ip = HostId::from([127, 0, data_centre as u8 + 1, idx as u8 + 1]);
                self.host_indices.insert(ip, self.hosts.len());
                self.hosts.push(Host {
                    ip,
                    address: SocketAddr::new(ip, 9090),
                    data_centre,
                    scheduler: None,
                    router: None,
                    scheduler_generation: 0,
                    router_generation: 0,
                    suspended_events: None,
                    is_powered_off: false,
                    tickets: HashMap::new(),
                    scheduler_tick: Duration::MAX,
                    router_tick: Duration::MAX,
                    control_bytes: 0,
                });
            }
        }
        for idx in 0..self.hosts.len() {
            self.start_scheduler(idx);
            self.start_router(idx);
        }
    }

    /// Starts the scheduler of a host, without state and with its periodic reads.
    fn start_scheduler(&mut self, idx: usize) {
        let entry = self.list_entry(idx);
        let host = &mut self.hosts[idx];
        host.scheduler_generation += 1;
        host.scheduler_tick = Duration::MAX;
        // Stands in for the wall clock in milliseconds, as if hosts had started 10 ms apart.
        let incarnation = 1_000_000 + 10 * idx as u64 + self.now.as_millis() as u64;
        let config =
            schedule::SchedulerConfig { entry, incarnation, owner: OwnerConfig::default() };
        host.scheduler = Some(Scheduler::new(config));
        // Hosts poll at different offsets.
        let offset = Duration::from_millis(37 * idx as u64 % 1000);
        self.schedule_after(offset, Event::ListHosts(idx));
        self.schedule_after(offset, Event::FetchConfig(idx));
        self.schedule_after(offset, Event::ReportHealth(idx));
        self.schedule_after(Duration::ZERO, Event::TickScheduler(idx));
    }

    /// Starts the router of a host, without state; it first knows the schedulers of two hosts.
    fn start_router(&mut self, idx: usize) {
        let peer = self.neighbour(idx);
        let seeds = [idx, peer].map(|it| (self.hosts[it].ip, self.hosts[it].address));
        let host = &mut self.hosts[idx];
        host.router_generation += 1;
        host.router_tick = Duration::MAX;
        let mut router =
            Router::new(host.ip, fleet::data_centre_name(host.data_centre), host.router_generation);
        for (ip, address) in seeds {
            router.add_scheduler(ip, address);
        }
        router.connect(self.now);
        host.router = Some(router);
        self.schedule_after(Duration::ZERO, Event::TickRouter(idx));
    }

    /// Returns another host of the same data centre, or the host itself if it is alone.
    fn neighbour(&self, idx: usize) -> usize {
        let data_centre = self.hosts[idx].data_centre;
        let mut others =
            (0..self.hosts.len()).filter(|it| self.hosts[*it].data_centre == data_centre);
        others.find(|it| *it != idx).unwrap_or(idx)
    }

    fn list_entry(&self, idx: usize) -> HostListEntry {
        let it = &self.hosts[idx];
        let data_centre = fleet::data_centre_name(it.data_centre);
        HostListEntry { host: it.ip, address: it.address, data_centre, leaving: false }
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.n_events += 1;
        self.events.insert((at, self.n_events), event);
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn run(&mut self) {
        let last = self.arrivals.last().map_or(0, |it| it.at);
        let limit = WARM_UP + Duration::from_millis(last) + DRAIN_LIMIT;
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            if limit < at {
                self.metrics.add_violation("requests were still open at the end".to_owned());
                return;
            }
            if !self.metrics.has_pending() {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::SchedulerInput(host, generation, event) => {
                self.deliver_to_scheduler(host, generation, event);
            }
            Event::TickScheduler(host) => {
                self.hosts[host].scheduler_tick = Duration::MAX;
                let generation = self.hosts[host].scheduler_generation;
                self.deliver_to_scheduler(host, generation, schedule::Event::Tick);
            }
            Event::TickRouter(host) => {
                self.hosts[host].router_tick = Duration::MAX;
                let now = self.now;
                self.with_router(host, |it| it.tick(now));
            }
            Event::OwnerFrame(host, from, frame) => {
                let now = self.now;
                self.with_router(host, |it| it.handle_frame(now, from, &frame));
            }
            Event::SessionOpened(host, from) => {
                let now = self.now;
                self.with_router(host, |it| it.session_opened(now, from));
            }
            Event::SessionClosed(host, from) => {
                let now = self.now;
                self.with_router(host, |it| it.session_closed(now, from));
            }
            Event::StartAttempt(attempt) => self.start_attempt(attempt),
            Event::GenerateTokens(upstream, id) => self.generate_tokens(upstream, id),
            Event::FetchConfig(host) => self.fetch_config(host),
            Event::ListHosts(host) => self.list_hosts(host),
            Event::ReportHealth(host) => self.report_health(host),
            Event::Fault(idx, phase) => self.apply_fault(idx, phase),
            Event::SampleSlots => self.sample_slots(),
        }
    }

    fn arrive(&mut self, request: usize) {
        self.metrics.set_state(self.now, request, RequestState::Waits);
        let n_hosts = self.hosts.len();
        let mut host = self.arrivals[request].entry % n_hosts;
        // The load balancer in front of the hosts skips those that are down.
        while self.hosts[host].router.is_none() {
            host = (host + 1) % n_hosts;
        }
        self.submit(host, request);
    }

    /// Submits a request to a host's router; it ends as refused if the router doesn't queue it.
    fn submit(&mut self, host: usize, request: usize) {
        let it = &self.arrivals[request];
        let workspace = self.fleet.workspaces.iter().find(|old| old.name == it.workspace);
        let service = self.fleet.service_by_name(&it.service);
        let (Some(workspace), Some(service)) = (workspace.cloned(), service) else { return };
        let deadline = self.now + service.wait_limit();
        let submission = route::Request {
            workspace,
            service: service.id,
            cost_hint: it.hint,
            is_batch: it.batch,
            prefix_hash: it.prefix,
            body_bytes: 100,
            deadline,
        };
        let now = self.now;
        match self.with_router(host, |it| it.submit(now, submission)) {
            Some(Ok(ticket)) => {
                self.hosts[host].tickets.insert(ticket, request);
                // No grant can arrive before this line: frames take time.
            }
            _ => self.metrics.set_state(now, request, RequestState::Refused),
        }
    }

    /// Calls `f` on a host's router and carries out the resulting actions; returns `None` if the
    /// router is down.
    fn with_router<T>(&mut self, idx: usize, f: impl FnOnce(&mut Router) -> T) -> Option<T> {
        let router = self.hosts[idx].router.as_mut()?;
        let res = f(router);
        let actions = router.take_actions();
        let next = router.next_tick();
        for it in actions {
            self.apply_router_action(idx, it);
        }
        if let Some(at) = next.filter(|it| *it < self.hosts[idx].router_tick) {
            self.hosts[idx].router_tick = at;
            self.schedule_at(at.max(self.now), Event::TickRouter(idx));
        }
        Some(res)
    }

    /// Delivers an event to a host's scheduler and carries out the resulting actions.
    ///
    /// The event is dropped if the scheduler has restarted, and held back while it is suspended.
    fn deliver_to_scheduler(&mut self, idx: usize, generation: u64, event: schedule::Event) {
        let host = &mut self.hosts[idx];
        if host.scheduler_generation != generation {
            return;
        }
        if let Some(deferred) = &mut host.suspended_events {
            deferred.push(Event::SchedulerInput(idx, generation, event));
            return;
        }
        let Some(scheduler) = &mut host.scheduler else { return };
        let actions = scheduler.handle(self.now, event);
        let next = scheduler.next_tick();
        for it in actions {
            self.apply_scheduler_action(idx, it);
        }
        let next = next.max(self.now + Duration::from_millis(1));
        if next < self.hosts[idx].scheduler_tick {
            self.hosts[idx].scheduler_tick = next;
            self.schedule_at(next, Event::TickScheduler(idx));
        }
    }

    fn apply_router_action(&mut self, idx: usize, action: route::Action) {
        match action {
            route::Action::Connect(host, _) => self.connect(idx, host),
            route::Action::Send(host, frame) => self.send_router_frame(idx, host, frame),
            route::Action::Forward(ticket, upstream) => self.forward(idx, ticket, upstream),
            route::Action::Reject(ticket, _, _) => {
                if let Some(request) = self.hosts[idx].tickets.remove(&ticket) {
                    self.metrics.set_state(self.now, request, RequestState::Refused);
                }
            }
            route::Action::FetchConfig(_) => {
                let fleet = self.fleet.clone();
                self.with_router(idx, |it| it.update_fleet(fleet));
            }
        }
    }

    /// Samples the slots of the services that have waiting requests, without those of engines that
    /// are down or leaving.
    fn sample_slots(&mut self) {
        let (mut busy, mut capacity) = (0, 0);
        for service in &self.fleet.services {
            let waits = |idx: usize| {
                self.metrics.states[idx] == RequestState::Waits
                    && self.arrivals[idx].service == service.name
            };
            if !(0..self.arrivals.len()).any(waits) {
                continue;
            }
            for it in self.fleet.upstreams.iter().filter(|it| it.service == service.id) {
                let engine = &self.engines[&it.id];
                if engine.is_alive && !it.leaving {
                    busy += (engine.jobs.len() as u32).min(engine.slots);
                    capacity += engine.slots;
                }
            }
        }
        self.metrics.sample_slots(self.now, busy, capacity);
        self.schedule_after(SAMPLE_INTERVAL, Event::SampleSlots);
    }

    fn fetch_config(&mut self, idx: usize) {
        if self.hosts[idx].scheduler.is_none() {
            return;
        }
        let (generation, fleet) = (self.hosts[idx].scheduler_generation, self.fleet.clone());
        self.deliver_to_scheduler(idx, generation, schedule::Event::Config(fleet));
        self.schedule_after(CONFIG_INTERVAL, Event::FetchConfig(idx));
    }

    fn list_hosts(&mut self, idx: usize) {
        if self.hosts[idx].scheduler.is_none() {
            return;
        }
        // The host list is stale: it still has the dead hosts.
        let entries = (0..self.hosts.len()).map(|it| self.list_entry(it)).collect();
        let generation = self.hosts[idx].scheduler_generation;
        self.deliver_to_scheduler(idx, generation, schedule::Event::HostList(entries));
        self.schedule_after(LIST_INTERVAL, Event::ListHosts(idx));
    }

    /// Reports the watched engines to a host's scheduler: their health now, and their load as of
    /// `REPORT_LAG` ago.
    fn report_health(&mut self, idx: usize) {
        let Some(scheduler) = &self.hosts[idx].scheduler else { return };
        let generation = self.hosts[idx].scheduler_generation;
        for (id, _) in scheduler.watched_upstreams() {
            let engine = &self.engines[&id];
            let running = engine.running_at(self.now.saturating_sub(REPORT_LAG));
            let health = match engine.is_alive {
                true => Health::Up { running, leaving: false },
                false => Health::Down,
            };
            self.deliver_to_scheduler(idx, generation, schedule::Event::UpstreamHealth(id, health));
        }
        self.schedule_after(REPORT_INTERVAL, Event::ReportHealth(idx));
    }

    /// Adds a violation for each engine that ever ran more requests than it has slots; in a case
    /// with faults one more is allowed, see docs/promises.md.
    fn check_slots(&mut self) {
        let slack = usize::from(!self.case.fault.is_empty());
        for (id, it) in &self.engines {
            if it.slots as usize + slack < it.max_running {
                self.metrics.add_violation(format!(
                    "engine {id} ran {} on {} slots",
                    it.max_running, it.slots
                ));
            }
        }
    }

    /// Returns the index of an engine's data centre.
    fn engine_data_centre(&self, id: UpstreamId) -> usize {
        let data_centre = self.fleet.upstream(id).map_or(0, |it| it.data_centre);
        self.fleet.data_centres.iter().position(|it| it.id == data_centre).unwrap_or(0)
    }
}
