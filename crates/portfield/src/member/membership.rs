//! What one host knows of all members, and how two such views merge.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    ids::{HostId, Incarnation},
    wire,
};

/// Copies of an update that are passed on, times the logarithm of the members.
const TRANSMIT_FACTOR: u32 = 3;
/// Updates in one message.
const MAX_UPDATES: usize = 6;
/// How long a member that the host list no longer has is kept while it is dead.
const DEAD_RETENTION: Duration = Duration::from_secs(60);

/// How a member is believed to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It missed a probe and may refute it.
    Suspect,
    /// It refuted nothing in time.
    Dead,
    /// It hands over and ends.
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

/// One host of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostListEntry {
    /// The host.
    pub host: HostId,
    /// Address of its scheduler.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// The platform is about to take it away.
    pub leaving: bool,
}

/// One member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// Address of its scheduler.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// How it is believed to be.
    pub state: MemberState,
    /// The life that the state speaks of.
    pub incarnation: Incarnation,
    /// When the state was learned.
    pub since: Duration,
    is_listed: bool,
    transmits_left: u32,
}

/// All members as one host knows them.
#[derive(Debug, Clone)]
pub struct Membership {
    local_host: HostId,
    members: BTreeMap<HostId, MemberInfo>,
    version: u64,
}

impl Membership {
    /// Builds a view that has only this host.
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

    /// Returns this host.
    pub fn local_host(&self) -> HostId {
        self.local_host
    }

    /// Returns a number that changes with every change of a member's state.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a member.
    pub fn get(&self, host: HostId) -> Option<&MemberInfo> {
        self.members.get(&host)
    }

    /// Returns every member.
    pub fn iter(&self) -> impl Iterator<Item = (HostId, &MemberInfo)> {
        self.members.iter().map(|(host, info)| (*host, info))
    }

    /// Returns the hosts of a data centre that may own shards.
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

    /// Takes in the platform's host list.
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

    /// Takes in what the member `from` says.
    ///
    /// Each data centre judges its own members: a verdict on a host counts only from a host
    /// beside it, so that one that is cut off cannot declare the others dead everywhere.
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

    /// Sets a member's state within its present life.
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

    /// Starts this host's leave: it owns nothing from here on.
    pub fn leave(&mut self, now: Duration) {
        self.set_state(now, self.local_host, MemberState::Leaving);
    }

    /// Returns the updates to send with a message to `to`: always this host itself and
    /// what is believed of the receiver, so that it can refute it.
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

    /// Returns the members that `f` picks for the wire.
    pub fn to_wire(&self, f: impl FnMut(&(HostId, &MemberInfo)) -> bool) -> Vec<wire::Member> {
        self.iter().filter(f).map(|(host, info)| to_wire(host, info)).collect()
    }

    fn is_local(&self, data_centre: &str) -> bool {
        self.members.get(&self.local_host).is_some_and(|it| it.data_centre == data_centre)
    }

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

    fn n_transmits(&self) -> u32 {
        TRANSMIT_FACTOR * (self.members.len().ilog2() + 1)
    }
}

/// Returns whether a statement overrides what is known: within one life the worse state
/// does, but a statement on a host of the sender's own data centre does in any case.
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
