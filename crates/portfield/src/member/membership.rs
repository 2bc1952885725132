//! One host's view of the membership, and how it merges updates from other hosts.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    ids::{HostId, Incarnation},
    wire,
};

/// Number of times an update is passed on, per binary digit of the number of members.
const TRANSMIT_FACTOR: u32 = 3;
/// Largest number of updates passed on in one message.
const MAX_UPDATES: usize = 6;
/// Time for which a member that is no longer in the host list is kept after it was declared dead or
/// began to leave.
const DEAD_RETENTION: Duration = Duration::from_secs(60);

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Missed a probe, and may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time, or refused a connection.
    Dead,
    /// Hands its shards over and shuts down.
    Leaving,
}

impl MemberState {
    fn from_wire(state: u32) -> Self {
        match state {
            0 => Self::Alive,
            1 => Self::Suspect,
            2 => Self::Dead,
            _ => Self::Leaving,
        }
    }
}

/// A host in the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostListEntry {
    /// Address that identifies the host.
    pub host: HostId,
    /// Address of its scheduler.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// What is known about a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// Address of its scheduler.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// Its state.
    pub state: MemberState,
    /// Incarnation that the state refers to.
    pub incarnation: Incarnation,
    /// Time at which the state was learned.
    pub since: Duration,
    is_listed: bool,
    transmits_left: u32,
}

/// All members that one host knows, including itself.
#[derive(Debug, Clone)]
pub struct Membership {
    local_host: HostId,
    members: BTreeMap<HostId, MemberInfo>,
    version: u64,
}

impl Membership {
    /// Builds a membership of only the local host.
    pub fn new(local: HostListEntry, incarnation: Incarnation) -> Self {
        let info = MemberInfo {
            address: local.address,
            data_centre: local.data_centre,
            state: MemberState::Alive,
            incarnation,
            since: Duration::ZERO,
            is_listed: true,
            transmits_left: 0,
        };
        let members = BTreeMap::from([(local.host, info)]);
        Self { local_host: local.host, members, version: 1 }
    }

    /// Returns the local host.
    pub fn local_host(&self) -> HostId {
        self.local_host
    }

    /// Returns a number that rises whenever a member is added or removed, or changes its state or
    /// address.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what is known about a host, if it is a member.
    pub fn get(&self, host: HostId) -> Option<&MemberInfo> {
        self.members.get(&host)
    }

    /// Returns every member, in order of its host.
    pub fn iter(&self) -> impl Iterator<Item = (HostId, &MemberInfo)> {
        self.members.iter().map(|(host, info)| (*host, info))
    }

    /// Returns the hosts of a data centre that may own shards: alive or suspect.
    pub fn owner_candidates<'a>(
        &'a self,
        data_centre: &'a str,
    ) -> impl Iterator<Item = HostId> + 'a {
        self.iter()
            .filter(move |(_, it)| {
                it.data_centre == data_centre && it.state <= MemberState::Suspect
            })
            .map(|(host, _)| host)
    }

    /// Applies the platform's host list.
    pub fn update_hosts(&mut self, now: Duration, entries: &[HostListEntry]) {
        for info in self.members.values_mut() {
            info.is_listed = false;
        }
        for it in entries {
            let local_host = self.local_host;
            let info = self.members.entry(it.host).or_insert_with(|| {
                self.version += 1;
                MemberInfo {
                    address: it.address,
                    data_centre: it.data_centre.clone(),
                    state: MemberState::Alive,
                    incarnation: 0,
                    since: now,
                    is_listed: true,
                    transmits_left: 0,
                }
            });
            info.is_listed = true;
            if it.leaving && info.state == MemberState::Alive && it.host != local_host {
                self.set_state(now, it.host, MemberState::Leaving);
            }
        }
        self.prune(now);
    }

    /// Merges the updates that the member `from` sent.
    ///
    /// A report that a host is suspect or dead is accepted only from a host in the same data
    /// centre. Otherwise a data centre that is partitioned could declare the others dead everywhere.
    pub fn merge(&mut self, now: Duration, from: Option<HostId>, members: &[wire::Member]) {
        let sender_centre = from.and_then(|it| {
            let own_entry = members.iter().find(|member| member.host == it.to_string());
            let known_centre = || self.members.get(&it).map(|it| it.data_centre.clone());
            own_entry.map(|it| it.data_centre.clone()).or_else(known_centre)
        });
        for it in members {
            let (Ok(host), Ok(address)) = (it.host.parse(), it.address.parse()) else {
                continue;
            };
            let state = MemberState::from_wire(it.state);
            if host == self.local_host {
                self.refute(now, it.incarnation, state);
                continue;
            }
            let is_same_centre = sender_centre.as_ref() == Some(&it.data_centre);
            let old = self.members.get(&host);
            if !overrides(
                old,
                it.incarnation,
                state,
                is_same_centre && !self.is_local(&it.data_centre),
            ) {
                continue;
            }
            if matches!(state, MemberState::Suspect | MemberState::Dead) && !is_same_centre {
                continue;
            }
            let changed = old.is_none_or(|old| old.state != state || old.address != address);
            self.version += u64::from(changed);
            let info = MemberInfo {
                address,
                data_centre: it.data_centre.clone(),
                state,
                incarnation: it.incarnation,
                since: now,
                is_listed: old.is_some_and(|it| it.is_listed),
                transmits_left: self.n_transmits(),
            };
            self.members.insert(host, info);
        }
    }

    /// Sets a member's state in its current incarnation.
    pub fn set_state(&mut self, now: Duration, host: HostId, state: MemberState) {
        let transmits_left = self.n_transmits();
        let Some(info) = self.members.get_mut(&host) else { return };
        if info.state == state {
            return;
        }
        info.state = state;
        info.since = now;
        info.transmits_left = transmits_left;
        self.version += 1;
    }

    /// Marks the local host as leaving; it owns no shards from then on.
    pub fn leave(&mut self, now: Duration) {
        self.set_state(now, self.local_host, MemberState::Leaving);
    }

    /// Takes the updates to send with a message to `to`.
    ///
    /// They always include the local host, and the receiver's own state so that it can refute it.
    pub fn take_gossip(&mut self, to: Option<HostId>) -> Vec<wire::Member> {
        let local_host = self.local_host;
        let mut res: Vec<_> = [Some(local_host), to]
            .into_iter()
            .flatten()
            .filter_map(|it| self.members.get(&it).map(|info| to_wire(it, info)))
            .collect();
        let fresh = self.members.iter_mut().filter(|(_, it)| 0 < it.transmits_left);
        for (host, info) in fresh.take(MAX_UPDATES) {
            info.transmits_left -= 1;
            res.push(to_wire(*host, info));
        }
        res
    }

    /// Returns the members that `f` selects, as messages.
    pub fn to_wire(&self, f: impl FnMut(&(HostId, &MemberInfo)) -> bool) -> Vec<wire::Member> {
        self.iter().filter(f).map(|(host, info)| to_wire(host, info)).collect()
    }

    fn is_local(&self, data_centre: &str) -> bool {
        self.members.get(&self.local_host).is_some_and(|it| it.data_centre == data_centre)
    }

    /// Refutes an outdated state of the local host by a higher incarnation.
    fn refute(&mut self, now: Duration, incarnation: Incarnation, state: MemberState) {
        let transmits_left = self.n_transmits();
        let Some(info) = self.members.get_mut(&self.local_host) else { return };
        if incarnation < info.incarnation || state == info.state {
            return;
        }
        info.incarnation = incarnation + 1;
        info.since = now;
        info.transmits_left = transmits_left;
    }

    /// Removes members that have been dead or leaving, and not listed, for long enough.
    fn prune(&mut self, now: Duration) {
        let local_host = self.local_host;
        let n_old = self.members.len();
        self.members.retain(|host, it| {
            let is_expired =
                !it.is_listed && MemberState::Dead <= it.state && it.since + DEAD_RETENTION <= now;
            *host == local_host || !is_expired
        });
        self.version += u64::from(self.members.len() != n_old);
    }

    /// Returns how many times a new update is passed on.
    fn n_transmits(&self) -> u32 {
        TRANSMIT_FACTOR * (self.members.len().ilog2() + 1)
    }
}

/// Returns whether an update overrides what is known about a member.
///
/// A higher incarnation overrides, and so does a worse state in the same incarnation. A sender with
/// authority, from the member's data centre, also overrides with a better state.
fn overrides(
    old: Option<&MemberInfo>,
    incarnation: Incarnation,
    state: MemberState,
    has_authority: bool,
) -> bool {
    let Some(old) = old else { return true };
    let differs = (incarnation, state) != (old.incarnation, old.state);
    let is_newer = (old.incarnation, old.state) < (incarnation, state);
    is_newer || has_authority && differs && old.incarnation <= incarnation
}

fn to_wire(host: HostId, info: &MemberInfo) -> wire::Member {
    wire::Member {
        host: host.to_string(),
        address: info.address.to_string(),
        data_centre: info.data_centre.clone(),
        incarnation: info.incarnation,
        state: info.state as u32,
    }
}
