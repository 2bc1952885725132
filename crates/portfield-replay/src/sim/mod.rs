//! The replay: real decision code of routers and schedulers, virtual time, small fakes of
//! engines, of the platform and of message delay. The same case gives the same figures.

mod faults;
mod fleet;
mod net;
mod runs;
mod size;

pub use size::{Size, replay_part};

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
    measure::{Fate, Figures, Measure},
    trace::Arrival,
};

/// Time between two looks at the slots.
const SAMPLE: Duration = Duration::from_millis(10);
/// Time between two looks of a scheduler at the host list.
const LIST: Duration = Duration::from_secs(2);
/// Time between two looks of a scheduler at the configuration.
const WATCH: Duration = Duration::from_secs(5);
/// Time between two load reports.
const REPORT: Duration = Duration::from_millis(500);
/// Load reports are this old.
const LAG: Duration = Duration::from_millis(200);
/// Time that the fleet gets before the first request.
const WARM_UP: Duration = Duration::from_secs(3);
/// Longest replay after the last arrival.
const LINGER: Duration = Duration::from_secs(120);
/// Grants that were under way when their owner died arrive within this time.
const TRANSIT: Duration = Duration::from_millis(20);
/// Time after which a leaving upstream must get nothing.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// What happens, and when.
#[derive(Debug, Clone)]
enum Event {
    Arrive(usize),
    Scheduler(usize, u64, schedule::Event),
    TickScheduler(usize),
    TickRouter(usize),
    Frame(usize, HostId, wire::OwnerFrame),
    RouterUp(usize, HostId),
    RouterDown(usize, HostId),
    Begin(Start),
    Tokens(UpstreamId, u64),
    Watch(usize),
    List(usize),
    Report(usize),
    Fault(usize, faults::Switch),
    Sample,
}

/// A request on its way to an engine.
#[derive(Debug, Clone, Copy)]
struct Start {
    host: usize,
    life: u64,
    ticket: TicketId,
    request: usize,
    upstream: UpstreamId,
}

/// One entry host.
#[derive(Debug)]
struct Host {
    ip: HostId,
    address: SocketAddr,
    centre: usize,
    scheduler: Option<Scheduler>,
    router: Option<Router>,
    /// Lives of the scheduler and of the router.
    lives: (u64, u64),
    paused: Option<Vec<Event>>,
    /// It has no power: nothing there even refuses.
    silent: bool,
    tickets: HashMap<TicketId, usize>,
    ticks: (Duration, Duration),
    /// Control bytes, sent and received.
    bytes: u64,
}

/// A replay under way.
#[derive(Debug)]
pub struct World<'a> {
    case: &'a Case,
    arrivals: &'a [Arrival],
    fleet: Fleet,
    now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    n_events: u64,
    hosts: Vec<Host>,
    by_ip: HashMap<HostId, usize>,
    engines: BTreeMap<UpstreamId, Engine>,
    runs: HashMap<u64, Start>,
    n_runs: u64,
    sessions: BTreeSet<(usize, usize)>,
    cuts: Vec<(usize, usize)>,
    left: Option<(UpstreamId, Duration)>,
    /// When the first shard lost its owner, until its upstreams get work again.
    orphaned: Option<Duration>,
    measure: Measure,
}

/// Replays a case's trace and returns the figures.
pub fn replay(case: &Case, arrivals: &[Arrival]) -> Figures {
    let mut world = World::new(case, arrivals);
    world.run();
    let n_hosts = world.hosts.len();
    world.check_slots();
    world.measure.figures(world.now, n_hosts)
}

impl<'a> World<'a> {
    fn new(case: &'a Case, arrivals: &'a [Arrival]) -> Self {
        let fleet = fleet::build(case);
        let token = Duration::from_micros(case.deployment.token_us);
        let engines = fleet.upstreams.iter().map(|it| (it.id, Engine::new(it.slots, token)));
        let mut res = Self {
            case,
            arrivals,
            engines: engines.collect(),
            fleet,
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            n_events: 0,
            hosts: Vec::new(),
            by_ip: HashMap::new(),
            runs: HashMap::new(),
            n_runs: 0,
            sessions: BTreeSet::new(),
            cuts: Vec::new(),
            left: None,
            orphaned: None,
            measure: Measure::new(case, arrivals),
        };
        res.add_hosts();
        for (idx, it) in arrivals.iter().enumerate() {
            res.at(WARM_UP + Duration::from_millis(it.at), Event::Arrive(idx));
        }
        for (idx, it) in case.fault.iter().enumerate() {
            let [on, off] = [it.during.0, it.during.1].map(Duration::from_secs_f64);
            res.at(WARM_UP + on, Event::Fault(idx, faults::Switch::On));
            res.at(WARM_UP + off, Event::Fault(idx, faults::Switch::Off));
        }
        res.at(WARM_UP, Event::Sample);
        res
    }

    fn add_hosts(&mut self) {
        for (centre, n) in self.case.deployment.hosts.clone().into_iter().enumerate() {
            for idx in 0..n {
                let ip = HostId::from([127, 0, centre as u8 + 1, idx as u8 + 1]);
                self.by_ip.insert(ip, self.hosts.len());
                self.hosts.push(Host {
                    ip,
                    address: SocketAddr::new(ip, 9090),
                    centre,
                    scheduler: None,
                    router: None,
                    lives: (0, 0),
                    paused: None,
                    silent: false,
                    tickets: HashMap::new(),
                    ticks: (Duration::MAX, Duration::MAX),
                    bytes: 0,
                });
            }
        }
        for idx in 0..self.hosts.len() {
            self.start_scheduler(idx);
            self.start_router(idx);
        }
    }

    fn start_scheduler(&mut self, idx: usize) {
        let me = self.entry(idx);
        let host = &mut self.hosts[idx];
        host.lives.0 += 1;
        host.ticks.0 = Duration::MAX;
        // As a wall clock would give it: hosts started one after the other.
        let incarnation = 1_000_000 + 10 * idx as u64 + self.now.as_millis() as u64;
        let settings =
            schedule::SchedulerConfig { entry: me, incarnation, owner: OwnerConfig::default() };
        host.scheduler = Some(Scheduler::new(settings));
        // Hosts look at different moments.
        let offset = Duration::from_millis(37 * idx as u64 % 1000);
        self.after(offset, Event::List(idx));
        self.after(offset, Event::Watch(idx));
        self.after(offset, Event::Report(idx));
        self.after(Duration::ZERO, Event::TickScheduler(idx));
    }

    fn start_router(&mut self, idx: usize) {
        let peer = self.neighbour(idx);
        let seeds = [idx, peer].map(|it| (self.hosts[it].ip, self.hosts[it].address));
        let host = &mut self.hosts[idx];
        host.lives.1 += 1;
        host.ticks.1 = Duration::MAX;
        let mut router = Router::new(host.ip, fleet::centre_name(host.centre), host.lives.1);
        for (ip, address) in seeds {
            router.add_scheduler(ip, address);
        }
        router.connect(self.now);
        host.router = Some(router);
        self.after(Duration::ZERO, Event::TickRouter(idx));
    }

    /// Returns another host of the same data centre.
    fn neighbour(&self, idx: usize) -> usize {
        let centre = self.hosts[idx].centre;
        let mut others = (0..self.hosts.len()).filter(|it| self.hosts[*it].centre == centre);
        others.find(|it| *it != idx).unwrap_or(idx)
    }

    fn entry(&self, idx: usize) -> HostListEntry {
        let it = &self.hosts[idx];
        let data_centre = fleet::centre_name(it.centre);
        HostListEntry { host: it.ip, address: it.address, data_centre, leaving: false }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.n_events += 1;
        self.queue.insert((at, self.n_events), event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn run(&mut self) {
        let last = self.arrivals.last().map_or(0, |it| it.at);
        let limit = WARM_UP + Duration::from_millis(last) + LINGER;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            if limit < at {
                self.measure.violate("requests were still open at the end".to_owned());
                return;
            }
            if !self.measure.is_open() {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Scheduler(host, life, event) => self.feed(host, life, event),
            Event::TickScheduler(host) => {
                self.hosts[host].ticks.0 = Duration::MAX;
                let life = self.hosts[host].lives.0;
                self.feed(host, life, schedule::Event::Tick);
            }
            Event::TickRouter(host) => {
                self.hosts[host].ticks.1 = Duration::MAX;
                let now = self.now;
                self.route(host, |it| it.tick(now));
            }
            Event::Frame(host, from, frame) => {
                let now = self.now;
                self.route(host, |it| it.handle_frame(now, from, &frame));
            }
            Event::RouterUp(host, from) => {
                let now = self.now;
                self.route(host, |it| it.session_opened(now, from));
            }
            Event::RouterDown(host, from) => {
                let now = self.now;
                self.route(host, |it| it.session_closed(now, from));
            }
            Event::Begin(start) => self.begin(start),
            Event::Tokens(upstream, run) => self.make_tokens(upstream, run),
            Event::Watch(host) => self.watch(host),
            Event::List(host) => self.list(host),
            Event::Report(host) => self.report(host),
            Event::Fault(idx, switch) => self.switch(idx, switch),
            Event::Sample => self.sample(),
        }
    }

    fn arrive(&mut self, request: usize) {
        self.measure.turn(self.now, request, Fate::Waits);
        let n_hosts = self.hosts.len();
        let mut host = self.arrivals[request].entry % n_hosts;
        // The balancer does not send to a host that is down.
        while self.hosts[host].router.is_none() {
            host = (host + 1) % n_hosts;
        }
        self.submit(host, request);
    }

    fn submit(&mut self, host: usize, request: usize) {
        let it = &self.arrivals[request];
        let workspace = self.fleet.workspaces.iter().find(|old| old.name == it.workspace);
        let service = self.fleet.service_by_name(&it.service);
        let (Some(workspace), Some(service)) = (workspace.cloned(), service) else { return };
        let deadline = self.now + service.wait_limit();
        let wanted = route::Request {
            workspace,
            service: service.id,
            cost_hint: it.hint,
            is_batch: it.batch,
            prefix_hash: it.prefix,
            body_bytes: 100,
            deadline,
        };
        let now = self.now;
        match self.route(host, |it| it.submit(now, wanted)) {
            Some(Ok(ticket)) => {
                self.hosts[host].tickets.insert(ticket, request);
                // A grant can't come before the ticket is known: frames take time.
            }
            _ => self.measure.turn(now, request, Fate::Refused),
        }
    }

    /// Changes a router and carries out what it asks for.
    fn route<T>(&mut self, idx: usize, f: impl FnOnce(&mut Router) -> T) -> Option<T> {
        let router = self.hosts[idx].router.as_mut()?;
        let res = f(router);
        let actions = router.take_actions();
        let next = router.next_tick();
        for it in actions {
            self.act_router(idx, it);
        }
        if let Some(at) = next.filter(|it| *it < self.hosts[idx].ticks.1) {
            self.hosts[idx].ticks.1 = at;
            self.at(at.max(self.now), Event::TickRouter(idx));
        }
        Some(res)
    }

    /// Hands an event to a scheduler and carries out what it asks for.
    fn feed(&mut self, idx: usize, life: u64, event: schedule::Event) {
        let host = &mut self.hosts[idx];
        if host.lives.0 != life {
            return;
        }
        if let Some(held) = &mut host.paused {
            held.push(Event::Scheduler(idx, life, event));
            return;
        }
        let Some(scheduler) = &mut host.scheduler else { return };
        let actions = scheduler.handle(self.now, event);
        let next = scheduler.next_tick();
        for it in actions {
            self.act_scheduler(idx, it);
        }
        let next = next.max(self.now + Duration::from_millis(1));
        if next < self.hosts[idx].ticks.0 {
            self.hosts[idx].ticks.0 = next;
            self.at(next, Event::TickScheduler(idx));
        }
    }

    fn act_router(&mut self, idx: usize, action: route::Action) {
        match action {
            route::Action::Connect(host, _) => self.dial(idx, host),
            route::Action::Send(host, frame) => self.send_router(idx, host, frame),
            route::Action::Forward(ticket, upstream) => self.start(idx, ticket, upstream),
            route::Action::Reject(ticket, _, _) => {
                if let Some(request) = self.hosts[idx].tickets.remove(&ticket) {
                    self.measure.turn(self.now, request, Fate::Refused);
                }
            }
            route::Action::FetchConfig(_) => {
                let fleet = self.fleet.clone();
                self.route(idx, |it| it.update_fleet(fleet));
            }
        }
    }

    fn sample(&mut self) {
        let (mut busy, mut capacity) = (0, 0);
        for service in &self.fleet.services {
            let waits = |idx: usize| {
                self.measure.fates[idx] == Fate::Waits && self.arrivals[idx].service == service.name
            };
            if !(0..self.arrivals.len()).any(waits) {
                continue;
            }
            for it in self.fleet.upstreams.iter().filter(|it| it.service == service.id) {
                let engine = &self.engines[&it.id];
                if engine.alive && !it.leaving {
                    busy += (engine.jobs.len() as u32).min(engine.slots);
                    capacity += engine.slots;
                }
            }
        }
        self.measure.sample(self.now, busy, capacity);
        self.after(SAMPLE, Event::Sample);
    }

    fn watch(&mut self, idx: usize) {
        if self.hosts[idx].scheduler.is_none() {
            return;
        }
        let (life, fleet) = (self.hosts[idx].lives.0, self.fleet.clone());
        self.feed(idx, life, schedule::Event::Config(fleet));
        self.after(WATCH, Event::Watch(idx));
    }

    fn list(&mut self, idx: usize) {
        if self.hosts[idx].scheduler.is_none() {
            return;
        }
        // The list lags so much that it also names the dead.
        let entries = (0..self.hosts.len()).map(|it| self.entry(it)).collect();
        let life = self.hosts[idx].lives.0;
        self.feed(idx, life, schedule::Event::HostList(entries));
        self.after(LIST, Event::List(idx));
    }

    fn report(&mut self, idx: usize) {
        let Some(scheduler) = &self.hosts[idx].scheduler else { return };
        let life = self.hosts[idx].lives.0;
        for (id, _) in scheduler.watched_upstreams() {
            let engine = &self.engines[&id];
            let running = engine.report(self.now.saturating_sub(LAG));
            let health = match engine.alive {
                true => Health::Up { running, leaving: false },
                false => Health::Down,
            };
            self.feed(idx, life, schedule::Event::UpstreamHealth(id, health));
        }
        self.after(REPORT, Event::Report(idx));
    }

    /// Holds the most requests that ever ran on each engine against its slots; with faults
    /// one more is let pass, see docs/promises.md.
    fn check_slots(&mut self) {
        let slack = usize::from(!self.case.fault.is_empty());
        for (id, it) in &self.engines {
            if it.slots as usize + slack < it.most {
                self.measure.violate(format!("engine {id} ran {} on {} slots", it.most, it.slots));
            }
        }
    }

    fn engine_centre(&self, id: UpstreamId) -> usize {
        let centre = self.fleet.upstream(id).map_or(0, |it| it.data_centre);
        self.fleet.data_centres.iter().position(|it| it.id == centre).unwrap_or(0)
    }
}
