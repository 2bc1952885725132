//! Simulation of a data centre in virtual time: hosts with the real decision which of them take new
//! connections, the platform that assigns connections by hash, and callers that keep connections open.
//!
//! Time advances in steps of the hosts' timer. A request costs its host a fixed part of its processor
//! time; what exceeds it is refused. Not modelled: engines, and the cost of connections and refusals.

use std::time::Duration;

use portfield::balance::{
    ConnectionUse, IngressBalance, LocalHosts, OwnLoad, ProcessorUse, Rotation,
};

/// Time between two decisions of a host.
const STEP: Duration = Duration::from_millis(25);
/// Steps between two digests of a host, and between two checks of its readiness.
const DIGEST_STEPS: u64 = 2;
const PROBE_STEPS: u64 = 40;
/// Failed checks after which the platform opens new connections elsewhere.
const MAX_FAILED_PROBES: u32 = 2;
/// Part of a core that a host has.
const SHARE: f64 = 0.12;
/// Requests per second on a connection.
const RATE: f64 = 4.0;

/// Digests between hosts.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    /// Steps until a digest arrives, at least and at most.
    pub delay: (u64, u64),
    /// Part of the digests that are lost.
    pub loss: f64,
}

/// A data centre's usual network: digests are relayed by its leader.
pub const SOUND: Network = Network { delay: (2, 8), loss: 0.01 };

struct Connection {
    caller: u32,
    host: usize,
    /// Load of a host by this connection, as a part of the host's share.
    load: f64,
    /// Requests that will have been sent, up to the next one.
    next: f64,
}

pub struct Host {
    balance: IngressBalance,
    processor: ProcessorUse,
    used: Duration,
    /// Load offered in the current step.
    offered: f64,
    n_failed: u32,
    pub is_alive: bool,
    /// Side of a partition.
    pub side: u32,
    pub n_changes: u32,
    /// Time that it answered the readiness check with 503, in steps.
    pub n_out_steps: u64,
}

/// What was seen in a run.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// Work offered and refused, in shares of a host times steps.
    pub offered: f64,
    pub refused: f64,
    /// Connections closed to move callers.
    pub n_closed: u32,
    /// Fewest hosts that answered ready at any time.
    pub min_ready: usize,
    /// Largest mean load of a host.
    pub max_load: f64,
}

pub struct Simulation {
    pub hosts: Vec<Host>,
    connections: Vec<Connection>,
    network: Network,
    /// Hosts that the platform assigns the connections of one caller to.
    pub fan: usize,
    step: u64,
    /// Digests on their way: step of arrival, receiver, sender, load.
    digests: Vec<(u64, usize, usize, u32)>,
    rng: fastrand::Rng,
}

impl Simulation {
    pub fn new(n_hosts: usize, network: Network, seed: u64) -> Self {
        let host = |n: usize| Host {
            balance: IngressBalance::new(n as u64),
            processor: ProcessorUse::default(),
            used: Duration::ZERO,
            offered: 0.0,
            n_failed: 0,
            is_alive: true,
            side: 0,
            n_changes: 0,
            n_out_steps: 0,
        };
        Self {
            hosts: (0..n_hosts).map(host).collect(),
            connections: Vec::new(),
            network,
            fan: 2,
            step: 0,
            digests: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Adds a caller with a number of connections, which together are a load of `load` hosts.
    pub fn add_caller(&mut self, caller: u32, n: usize, load: f64) {
        for _ in 0..n {
            let host = self.assign(caller);
            let next = self.rng.f64();
            self.connections.push(Connection { caller, host, load: load / n as f64, next });
        }
    }

    /// Returns the host that the platform opens a connection of a caller to: one of [`Self::fan`], by
    /// the hash of the caller, among those that answer the readiness check; all if none does.
    fn assign(&mut self, caller: u32) -> usize {
        let is_ready = |it: &Host| it.is_alive && it.n_failed < MAX_FAILED_PROBES;
        let mut ready: Vec<usize> =
            (0..self.hosts.len()).filter(|it| is_ready(&self.hosts[*it])).collect();
        if ready.is_empty() {
            ready = (0..self.hosts.len()).filter(|it| self.hosts[*it].is_alive).collect();
        }
        ready.sort_by_key(|host| mix(u64::from(caller) << 32 | *host as u64));
        ready[self.rng.usize(..ready.len().min(self.fan))]
    }

    /// Kills a host; its callers connect to others.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].is_alive = false;
        self.hosts[host].n_failed = MAX_FAILED_PROBES;
        for n in 0..self.connections.len() {
            if self.connections[n].host == host {
                self.connections[n].host = self.assign(self.connections[n].caller);
            }
        }
    }

    /// Returns the load of each host by its connections.
    pub fn loads(&self) -> Vec<f64> {
        let mut res = vec![0.0; self.hosts.len()];
        self.connections.iter().for_each(|it| res[it.host] += it.load);
        res
    }

    pub fn run(&mut self, seconds: u64) -> Report {
        let mut report = Report { min_ready: usize::MAX, ..Report::default() };
        let n_steps = seconds * 1000 / STEP.as_millis() as u64;
        let mut sums = vec![0.0; self.hosts.len()];
        for _ in 0..n_steps {
            self.step += 1;
            self.serve(&mut report);
            self.deliver();
            self.decide(&mut report, &mut sums);
            self.probe();
        }
        let max = sums.iter().fold(0.0, |a: f64, b| a.max(*b));
        report.max_load = max / n_steps as f64;
        report
    }

    fn serve(&mut self, report: &mut Report) {
        self.hosts.iter_mut().for_each(|it| it.offered = 0.0);
        for n in 0..self.connections.len() {
            let (host, caller) = (self.connections[n].host, self.connections[n].caller);
            self.hosts[host].offered += self.connections[n].load;
            self.connections[n].next += RATE * STEP.as_secs_f64();
            if self.connections[n].next < 1.0 {
                continue;
            }
            // A response: the host may close the connection after it.
            self.connections[n].next -= 1.0;
            if self.hosts[host].balance.connection_use(caller) == ConnectionUse::Close {
                report.n_closed += 1;
                self.connections[n].host = self.assign(caller);
            }
        }
        for it in &mut self.hosts {
            report.offered += it.offered;
            report.refused += (it.offered - 1.0).max(0.0);
            it.used += STEP.mul_f64(it.offered.min(1.0) * SHARE);
        }
    }

    fn deliver(&mut self) {
        let now = STEP * self.step as u32;
        let due: Vec<_> = self.digests.extract_if(.., |it| it.0 <= self.step).collect();
        for (_, to, from, busy) in due {
            self.hosts[to].balance.record_peer(now, from as u64, busy);
        }
        for from in 0..self.hosts.len() {
            // Hosts send at different times.
            if !self.hosts[from].is_alive || !(self.step + from as u64).is_multiple_of(DIGEST_STEPS)
            {
                continue;
            }
            for to in 0..self.hosts.len() {
                let is_cut = self.hosts[to].side != self.hosts[from].side;
                if to == from || is_cut || self.rng.f64() < self.network.loss {
                    continue;
                }
                let delay = self.rng.u64(self.network.delay.0..=self.network.delay.1);
                let busy = self.hosts[from].balance.busy();
                self.digests.push((self.step + delay, to, from, busy));
            }
        }
    }

    fn decide(&mut self, report: &mut Report, sums: &mut [f64]) {
        let now = STEP * self.step as u32;
        let hosts = LocalHosts { n_known: self.hosts.len(), digest_period: STEP * 2 };
        let mut n_ready = 0;
        for (n, sum) in sums.iter_mut().enumerate() {
            if !self.hosts[n].is_alive {
                continue;
            }
            let own = |it: &&Connection| it.host == n;
            let n_connections = self.connections.iter().filter(own).count();
            let largest = self.largest_caller(n);
            let it = &mut self.hosts[n];
            *sum += it.offered;
            it.processor.observe(now, it.used, SHARE);
            let load = it.processor.load();
            let own = OwnLoad { load, n_connections, largest_workspace: largest };
            it.n_changes += u32::from(it.balance.update(now, own, hosts).is_some());
            let is_ready = it.balance.rotation() == Rotation::In;
            it.n_out_steps += u64::from(!is_ready);
            n_ready += usize::from(is_ready);
        }
        report.min_ready = report.min_ready.min(n_ready);
    }

    fn largest_caller(&self, host: usize) -> Option<u32> {
        let mut loads = std::collections::BTreeMap::<u32, f64>::new();
        for it in self.connections.iter().filter(|it| it.host == host) {
            *loads.entry(it.caller).or_default() += it.load;
        }
        loads.into_iter().max_by(|a, b| a.1.total_cmp(&b.1)).map(|it| it.0)
    }

    fn probe(&mut self) {
        for (n, it) in self.hosts.iter_mut().enumerate() {
            if !it.is_alive || !(self.step + n as u64 * 7).is_multiple_of(PROBE_STEPS) {
                continue;
            }
            let is_ready = it.balance.rotation() == Rotation::In;
            it.balance.record_probe(is_ready);
            it.n_failed = if is_ready { 0 } else { it.n_failed + 1 };
        }
    }
}

/// Returns a hash of a number.
fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (n ^ (n >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) ^ (n >> 32)
}
