//! Whom to probe and what an answer or its absence means.

use std::{collections::BTreeMap, time::Duration};

use super::membership::{MemberState, Membership};
use crate::ids::HostId;

/// Time between two probes that one host sends.
const PERIOD: Duration = Duration::from_millis(300);
/// Time that a direct probe may take before indirect ones are sent.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that the indirect probes may take.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time that a suspect has to refute.
const SUSPICION: Duration = Duration::from_millis(500);
/// Members asked to probe in this host's place.
const N_HELPERS: usize = 2;
/// Every so many periods a host of another data centre is probed.
const REMOTE_EVERY: u64 = 8;
/// Every so many periods a dead member is probed, to find it back after a cut.
const DEAD_EVERY: u64 = 7;

/// A probe to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Probe {
    /// Ask the host itself.
    Direct(HostId),
    /// Ask `via` to ask `target`.
    Indirect {
        /// The host to send to.
        via: HostId,
        /// The host in question.
        target: HostId,
    },
}

/// Prober under way.
#[derive(Debug, Clone)]
pub struct Prober {
    rng: fastrand::Rng,
    order: Vec<HostId>,
    open: BTreeMap<HostId, (Duration, Stage)>,
    next: Duration,
    round: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Direct,
    Indirect,
}

impl Prober {
    /// Builds the state; `seed` only spreads the order of probing.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            order: Vec::new(),
            open: BTreeMap::new(),
            next: Duration::ZERO,
            round: 0,
        }
    }

    /// Returns when [`Prober::tick`] has something to do next.
    pub fn next_tick(&self) -> Duration {
        let open = self.open.values().map(|(at, stage)| *at + timeout(*stage)).min();
        open.map_or(self.next, |it| it.min(self.next))
    }

    /// Sends what is due, and passes verdicts on members that did not answer.
    pub fn tick(&mut self, now: Duration, view: &mut Membership) -> Vec<Probe> {
        let mut res = Vec::new();
        self.expire(now, view, &mut res);
        confirm(now, view);
        if now < self.next {
            return res;
        }
        self.next = now + PERIOD;
        self.round += 1;
        for host in self.choose(view) {
            self.open.entry(host).or_insert((now, Stage::Direct));
            res.push(Probe::Direct(host));
        }
        res
    }

    /// Takes in the answer to a probe of `host`, its own or by way of another member.
    pub fn handle_ack(&mut self, now: Duration, view: &mut Membership, host: HostId) {
        self.open.remove(&host);
        // NOTE: a dead member comes back by its own refutation, never by an old answer.
        if view.get(host).is_some_and(|it| it.state == MemberState::Suspect) {
            view.set_state(now, host, MemberState::Alive);
        }
    }

    /// Takes in that nothing listens at `host`'s address: its process has ended, and no
    /// suspicion is needed. A new process there refutes it with its new incarnation.
    pub fn handle_refused(&mut self, now: Duration, view: &mut Membership, host: HostId) {
        self.open.remove(&host);
        if view.get(host).is_some_and(|it| it.state <= MemberState::Suspect) {
            view.set_state(now, host, MemberState::Dead);
        }
    }

    fn expire(&mut self, now: Duration, view: &mut Membership, res: &mut Vec<Probe>) {
        let late: Vec<_> = self
            .open
            .iter()
            .filter(|(_, (at, stage))| *at + timeout(*stage) <= now)
            .map(|(host, (_, stage))| (*host, *stage))
            .collect();
        for (host, stage) in late {
            self.open.remove(&host);
            match stage {
                Stage::Direct => {
                    self.open.insert(host, (now, Stage::Indirect));
                    res.extend(self.helpers(view, host));
                }
                Stage::Indirect => suspect(now, view, host),
            }
        }
    }

    fn helpers(&mut self, view: &Membership, target: HostId) -> Vec<Probe> {
        let me = view.local_host();
        let mut all: Vec<_> = view
            .iter()
            .filter(|(host, it)| *host != me && *host != target && it.state == MemberState::Alive)
            .map(|(host, _)| host)
            .collect();
        self.rng.shuffle(&mut all);
        all.into_iter().take(N_HELPERS).map(|via| Probe::Indirect { via, target }).collect()
    }

    /// Chooses the members to probe: one of this data centre in its turn, and now and then
    /// one of another and one that is dead, which must not delay the first.
    fn choose(&mut self, view: &Membership) -> Vec<HostId> {
        let me = view.local_host();
        let Some(home) = view.get(me).map(|it| &it.data_centre) else { return Vec::new() };
        let mut res: Vec<_> = self.choose_local(view, home).into_iter().collect();
        if self.round.is_multiple_of(REMOTE_EVERY) {
            let remote = view
                .iter()
                .filter(|(_, it)| it.data_centre != *home && it.state <= MemberState::Suspect);
            let remote: Vec<_> = remote.map(|(host, _)| host).collect();
            res.extend(self.rng.choice(remote));
        }
        if self.round.is_multiple_of(DEAD_EVERY) {
            let dead = view.iter().filter(|(_, it)| it.state == MemberState::Dead);
            let dead: Vec<_> = dead.map(|(host, _)| host).collect();
            res.extend(self.rng.choice(dead));
        }
        res
    }

    fn choose_local(&mut self, view: &Membership, home: &str) -> Option<HostId> {
        let me = view.local_host();
        if self.order.is_empty() {
            self.order = view.owner_candidates(home).filter(|it| *it != me).collect();
            self.rng.shuffle(&mut self.order);
        }
        self.order.pop()
    }
}

fn timeout(stage: Stage) -> Duration {
    match stage {
        Stage::Direct => DIRECT_TIMEOUT,
        Stage::Indirect => INDIRECT_TIMEOUT,
    }
}

fn suspect(now: Duration, view: &mut Membership, host: HostId) {
    if view.get(host).is_some_and(|it| it.state == MemberState::Alive) {
        view.set_state(now, host, MemberState::Suspect);
    }
}

/// Declares dead whoever has been suspected for too long, and whoever left long ago.
fn confirm(now: Duration, view: &mut Membership) {
    let late: Vec<_> = view
        .iter()
        .filter(|(_, it)| it.state == MemberState::Suspect && it.since + SUSPICION <= now)
        .map(|(host, _)| host)
        .collect();
    for host in late {
        view.set_state(now, host, MemberState::Dead);
    }
}
