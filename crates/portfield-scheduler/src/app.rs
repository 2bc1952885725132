//! State shared by the tasks of the scheduler process, and the driver of its decision logic.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use portfield::{
    fleet::Fleet,
    ids::HostId,
    member::HostListEntry,
    schedule::{self, Action, Event, Scheduler},
    wire,
};
use portfield_net::{clock, connector::Connector, metrics::Metrics, rpc::Channel, rt::Runtime};

use crate::settings::Settings;

/// Timeout of a direct probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of other calls to schedulers.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest sleep between two checks of the timers.
const MAX_SLEEP: Duration = Duration::from_millis(200);
/// Shortest sleep between two checks of the timers.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Why a call to a scheduler failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallError {
    /// The connection was refused.
    Refused,
    /// No response; the call may have been handled.
    Lost,
}

/// A session with a router.
#[derive(Debug)]
struct Session {
    number: u64,
    sender: Sender<wire::OwnerFrame>,
}

#[derive(Debug)]
struct Inner {
    scheduler: Scheduler,
    sessions: HashMap<HostId, Session>,
    channels: HashMap<SocketAddr, Channel>,
    n_sessions: u64,
}

/// State of the scheduler process, shared by its tasks.
#[derive(Debug)]
pub(crate) struct App {
    pub rt: Runtime,
    pub links: Connector,
    pub metrics: Metrics,
    wake: (Sender<()>, Receiver<()>),
    inner: Mutex<Inner>,
}

impl App {
    /// Builds the state; `address` is the bound address for routers and other schedulers.
    pub(crate) fn new(rt: Runtime, settings: &Settings, address: SocketAddr) -> Arc<Self> {
        let entry = HostListEntry {
            host: address.ip(),
            address,
            data_centre: settings.data_centre.clone(),
            leaving: false,
        };
        let owner = schedule::OwnerConfig::default();
        let config = schedule::SchedulerConfig { entry, incarnation: clock::unix_millis(), owner };
        Arc::new(Self {
            rt,
            links: settings.links.clone(),
            metrics: Metrics::new("portfield.scheduler", settings.statsd),
            wake: async_channel::bounded(1),
            inner: Mutex::new(Inner {
                scheduler: Scheduler::new(config),
                sessions: HashMap::new(),
                channels: HashMap::new(),
                n_sessions: 0,
            }),
        })
    }

    /// Passes an event to the decision logic and performs the actions that result.
    pub(crate) fn handle_event(self: &Arc<Self>, event: Event) {
        let mut inner = self.lock();
        let actions = inner.scheduler.handle(clock::now(), event);
        for action in actions {
            self.perform(&mut inner, action);
        }
        drop(inner);
        let _ = self.wake.0.try_send(());
    }

    /// Runs `f` on the decision logic, without performing actions.
    pub(crate) fn read<T>(&self, f: impl FnOnce(&mut Scheduler) -> T) -> T {
        f(&mut self.lock().scheduler)
    }

    /// Replaces the session with a router's host, if any, by a new one and returns its number.
    pub(crate) fn open_session(
        self: &Arc<Self>,
        host: HostId,
        sender: Sender<wire::OwnerFrame>,
    ) -> u64 {
        let mut inner = self.lock();
        inner.n_sessions += 1;
        let number = inner.n_sessions;
        inner.sessions.insert(host, Session { number, sender });
        drop(inner);
        log::info!(host:% = host, session = number; "session with router opened");
        self.handle_event(Event::RouterConnected(host));
        number
    }

    /// Handles a router's frame, if its session is the newest with that host.
    pub(crate) fn handle_frame(
        self: &Arc<Self>,
        host: HostId,
        number: u64,
        frame: wire::RouterFrame,
    ) {
        if self.is_current(host, number) {
            self.handle_event(Event::RouterFrame(host, frame));
        }
    }

    /// Ends a router's session, unless a newer one has replaced it.
    pub(crate) fn close_session(self: &Arc<Self>, host: HostId, number: u64) {
        if !self.is_current(host, number) {
            return;
        }
        self.lock().sessions.remove(&host);
        log::info!(host:% = host, session = number; "session with router closed");
        self.handle_event(Event::RouterDisconnected(host));
    }

    /// Runs the timers of the decision logic.
    pub(crate) async fn run_timers(self: Arc<Self>) {
        loop {
            let next = self.lock().scheduler.next_tick();
            let pause = next.saturating_sub(clock::now()).clamp(MIN_SLEEP, MAX_SLEEP);
            clock::timeout(pause, self.wake.1.recv()).await;
            let due = self.lock().scheduler.next_tick() <= clock::now();
            if due {
                self.handle_event(Event::Tick);
            }
        }
    }

    /// Fetches the configuration from another scheduler.
    pub(crate) async fn fetch_config(self: Arc<Self>, address: SocketAddr) {
        let above = self.read(|it| it.fleet().revision);
        let Ok(channel) = self.connect(address).await else { return };
        let call = async { channel.scheduler().fetch(wire::FetchRequest { above }).await };
        let Some(Ok(reply)) = clock::timeout(PEER_TIMEOUT, call).await else { return };
        if let Ok(fleet) = serde_json::from_str::<Fleet>(&reply.into_inner().fleet) {
            self.update_fleet(fleet);
        }
    }

    /// Replaces the configuration if the new revision is higher.
    pub(crate) fn update_fleet(self: &Arc<Self>, fleet: Fleet) {
        let old = self.read(|it| it.fleet().revision);
        let revision = fleet.revision;
        self.handle_event(Event::Config(fleet));
        if old < revision {
            log::info!(revision, old; "configuration replaced");
        }
    }

    /// Probes a host on behalf of another; returns whether it responded.
    pub(crate) async fn probe_target(self: &Arc<Self>, target: HostId) -> bool {
        let request = self.read(|it| wire::ProbeRequest {
            from: it.view().local_host().to_string(),
            revision: it.fleet().revision,
            ..Default::default()
        });
        let address = self.read(|it| it.view().get(target).map(|it| it.address));
        let Some(address) = address else { return false };
        self.send_probe(address, request).await.is_ok()
    }

    /// Probes an address whose host is not yet a known member.
    pub(crate) async fn probe_seed(self: &Arc<Self>, address: SocketAddr) {
        let request = self.read(|it| wire::ProbeRequest {
            from: it.view().local_host().to_string(),
            ..Default::default()
        });
        if let Ok(reply) = self.send_probe(address, request).await {
            self.handle_event(Event::ProbeReply(address.ip(), reply));
        }
    }

    fn perform(self: &Arc<Self>, inner: &mut Inner, action: Action) {
        match action {
            Action::SendToRouter(host, frame) => {
                if let Some(it) = inner.sessions.get(&host) {
                    let _ = it.sender.try_send(frame);
                }
            }
            Action::SendToPeer(address, frame) => {
                let app = self.clone();
                self.rt.spawn(async move { app.send_to_peer(address, frame).await });
            }
            Action::SendProbe(address, host, request) => {
                let app = self.clone();
                self.rt.spawn(async move {
                    let is_direct = request.target.is_empty();
                    match app.send_probe(address, request).await {
                        Ok(reply) => app.handle_event(Event::ProbeReply(host, reply)),
                        Err(CallError::Refused) if is_direct => {
                            app.handle_event(Event::ProbeRefused(host));
                        }
                        Err(_) => (),
                    }
                });
            }
            Action::FetchConfig(address) => self.rt.spawn(self.clone().fetch_config(address)),
        }
    }

    async fn send_to_peer(self: Arc<Self>, address: SocketAddr, frame: wire::PeerFrame) {
        let sent = frame.clone();
        let call = async {
            let channel = self.connect(address).await.ok()?;
            channel.scheduler().exchange(sent).await.ok()
        };
        let res = clock::timeout(PEER_TIMEOUT, call).await.flatten();
        self.handle_event(Event::PeerReply(frame, res.map(tonic::Response::into_inner)));
    }

    async fn send_probe(
        self: &Arc<Self>,
        address: SocketAddr,
        request: wire::ProbeRequest,
    ) -> Result<wire::ProbeReply, CallError> {
        let is_indirect = !request.target.is_empty();
        let timeout = if is_indirect { PROBE_TIMEOUT * 2 } else { PROBE_TIMEOUT };
        let call = async {
            let channel = self.connect(address).await?;
            let reply = channel.scheduler().probe(request).await;
            reply.map(tonic::Response::into_inner).map_err(|_| CallError::Lost)
        };
        clock::timeout(timeout, call).await.unwrap_or(Err(CallError::Lost))
    }

    /// Returns a connection to a scheduler, reusing an open one.
    async fn connect(self: &Arc<Self>, address: SocketAddr) -> Result<Channel, CallError> {
        let existing = self.lock().channels.get(&address).cloned();
        if let Some(it) = existing.filter(|it| !it.is_closed()) {
            return Ok(it);
        }
        let data_centre = self.read(|it| {
            let found = it.view().iter().find(|(_, info)| info.address == address);
            found.map(|(_, info)| info.data_centre.clone()).unwrap_or_default()
        });
        let to_call_error = |err: io::Error| match err.kind() {
            io::ErrorKind::ConnectionRefused => CallError::Refused,
            _ => CallError::Lost,
        };
        let stream = self.links.connect(&data_centre, address).await.map_err(to_call_error)?;
        let channel = Channel::open(&self.rt, stream).await.map_err(|_| CallError::Lost)?;
        self.lock().channels.insert(address, channel.clone());
        Ok(channel)
    }

    fn is_current(&self, host: HostId, number: u64) -> bool {
        self.lock().sessions.get(&host).is_some_and(|it| it.number == number)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
