//! Failure detection: which members to probe, and what a missing response means.

use std::{collections::BTreeMap, time::Duration};

use super::membership::{MemberState, Membership};
use crate::ids::HostId;

/// Period of the probes that one host sends.
const PROBE_PERIOD: Duration = Duration::from_millis(300);
/// Timeout of a direct probe, after which indirect probes are sent.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of indirect probes, after which the member is suspected.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time in which a suspect can refute the suspicion before it is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of members asked to probe on this host's behalf.
const N_INDIRECT_PROBES: usize = 2;
/// Number of periods between probes of a host in another data centre.
const REMOTE_EVERY: u64 = 8;
/// Number of periods between probes of a dead member, to find it again after a partition.
const DEAD_EVERY: u64 = 7;

/// A probe to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Probe {
    /// Probe the host itself.
    Direct(HostId),
    /// Ask `via` to probe `target`.
    Indirect {
        /// Host that receives the message.
        via: HostId,
        /// Host to be probed.
        target: HostId,
    },
}

/// Failure detector of one host: pending probes and the order in which members are probed.
#[derive(Debug, Clone)]
pub struct Prober {
    rng: fastrand::Rng,
    probe_order: Vec<HostId>,
    pending: BTreeMap<HostId, (Duration, Stage)>,
    next_probe: Duration,
    round: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Direct,
    Indirect,
}

impl Prober {
    /// Builds a prober; `seed` randomises the order of its probes.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            probe_order: Vec::new(),
            pending: BTreeMap::new(),
            next_probe: Duration::ZERO,
            round: 0,
        }
    }

    /// Returns the time at which [`Prober::tick`] is due next.
    pub fn next_tick(&self) -> Duration {
        let expiry = self.pending.values().map(|(at, stage)| *at + timeout(*stage)).min();
        expiry.map_or(self.next_probe, |it| it.min(self.next_probe))
    }

    /// Returns the probes that are due, and marks members that did not respond as suspect or dead.
    pub fn tick(&mut self, now: Duration, members: &mut Membership) -> Vec<Probe> {
        let mut res = Vec::new();
        self.expire(now, members, &mut res);
        declare_dead(now, members);
        if now < self.next_probe {
            return res;
        }
        self.next_probe = now + PROBE_PERIOD;
        self.round += 1;
        for host in self.choose_targets(members) {
            self.pending.entry(host).or_insert((now, Stage::Direct));
            res.push(Probe::Direct(host));
        }
        res
    }

    /// Handles the response to a direct or indirect probe of `host`.
    pub fn handle_ack(&mut self, now: Duration, members: &mut Membership, host: HostId) {
        self.pending.remove(&host);
        // A dead member becomes alive only by its own refutation, since this response may be old.
        if members.get(host).is_some_and(|it| it.state == MemberState::Suspect) {
            members.set_state(now, host, MemberState::Alive);
        }
    }

    /// Handles a refused connection to `host`: nothing listens there, so its process has ended.
    ///
    /// The host is declared dead without a suspicion. A new process there refutes this with its
    /// new incarnation.
    pub fn handle_refused(&mut self, now: Duration, members: &mut Membership, host: HostId) {
        self.pending.remove(&host);
        if members.get(host).is_some_and(|it| it.state <= MemberState::Suspect) {
            members.set_state(now, host, MemberState::Dead);
        }
    }

    /// Follows up on probes that timed out: indirect probes after a direct one, then suspicion.
    fn expire(&mut self, now: Duration, members: &mut Membership, res: &mut Vec<Probe>) {
        let expired: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, (at, stage))| *at + timeout(*stage) <= now)
            .map(|(host, (_, stage))| (*host, *stage))
            .collect();
        for (host, stage) in expired {
            self.pending.remove(&host);
            match stage {
                Stage::Direct => {
                    self.pending.insert(host, (now, Stage::Indirect));
                    res.extend(self.indirect_probes(members, host));
                }
                Stage::Indirect => mark_suspect(now, members, host),
            }
        }
    }

    fn indirect_probes(&mut self, members: &Membership, target: HostId) -> Vec<Probe> {
        let local_host = members.local_host();
        let mut all: Vec<_> = members
            .iter()
            .filter(|(host, it)| {
                *host != local_host && *host != target && it.state == MemberState::Alive
            })
            .map(|(host, _)| host)
            .collect();
        self.rng.shuffle(&mut all);
        all.into_iter().take(N_INDIRECT_PROBES).map(|via| Probe::Indirect { via, target }).collect()
    }

    /// Chooses the members to probe in this period.
    ///
    /// One is the next of this data centre. In some periods a member of another data centre or a
    /// dead one is added to it, so that these do not delay the probes of this data centre.
    fn choose_targets(&mut self, members: &Membership) -> Vec<HostId> {
        let local_host = members.local_host();
        let Some(data_centre) = members.get(local_host).map(|it| &it.data_centre) else {
            return Vec::new();
        };
        let mut res: Vec<_> = self.next_local(members, data_centre).into_iter().collect();
        if self.round.is_multiple_of(REMOTE_EVERY) {
            let remote = members.iter().filter(|(_, it)| {
                it.data_centre != *data_centre && it.state <= MemberState::Suspect
            });
            let remote: Vec<_> = remote.map(|(host, _)| host).collect();
            res.extend(self.rng.choice(remote));
        }
        if self.round.is_multiple_of(DEAD_EVERY) {
            let dead = members.iter().filter(|(_, it)| it.state == MemberState::Dead);
            let dead: Vec<_> = dead.map(|(host, _)| host).collect();
            res.extend(self.rng.choice(dead));
        }
        res
    }

    /// Returns the next member of this data centre in a random order that covers each once.
    fn next_local(&mut self, members: &Membership, data_centre: &str) -> Option<HostId> {
        let local_host = members.local_host();
        if self.probe_order.is_empty() {
            self.probe_order =
                members.owner_candidates(data_centre).filter(|it| *it != local_host).collect();
            self.rng.shuffle(&mut self.probe_order);
        }
        self.probe_order.pop()
    }
}

fn timeout(stage: Stage) -> Duration {
    match stage {
        Stage::Direct => DIRECT_TIMEOUT,
        Stage::Indirect => INDIRECT_TIMEOUT,
    }
}

fn mark_suspect(now: Duration, members: &mut Membership, host: HostId) {
    if members.get(host).is_some_and(|it| it.state == MemberState::Alive) {
        members.set_state(now, host, MemberState::Suspect);
    }
}

/// Declares members dead that have been suspect for [`SUSPICION_TIMEOUT`].
fn declare_dead(now: Duration, members: &mut Membership) {
    let expired: Vec<_> = members
        .iter()
        .filter(|(_, it)| it.state == MemberState::Suspect && it.since + SUSPICION_TIMEOUT <= now)
        .map(|(host, _)| host)
        .collect();
    for host in expired {
        members.set_state(now, host, MemberState::Dead);
    }
}
