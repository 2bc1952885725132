//! Which hosts are told where a stream began, and which are asked.
//!
//! A stream is told to a fixed number of hosts whatever the size of the fleet: some of this data centre
//! and, in case it is lost as a whole, some of another one, chosen by the hash of the stream. A host that
//! needs to know finds them by the same hash. Views differ while hosts come and go, so it asks more
//! hosts than were told. Of another data centre of a large fleet it knows only some; these pass a message on to
//! those that the hash chooses there.

use std::{net::SocketAddr, time::Duration};

use super::peer_table::PeerTable;
use crate::streams::StreamKey;

/// Hosts of this data centre that are told: a stream is lost only if all of them, its own host and
/// those of the other data centre end at once.
const N_TOLD: usize = 2;
/// Hosts of the other data centre that are told.
const N_TOLD_REMOTE: usize = 2;
/// Hosts of this data centre that are asked: twice those that are told, since the first ones by hash may
/// have started only after the stream, or may have ended without notice.
const N_ASKED: usize = 4;
/// Hosts that are asked in each other data centre.
const N_ASKED_REMOTE: usize = 2;
/// Other data centres that are asked, at most.
const MAX_CENTRES: usize = 8;

/// A host that is told or asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamHolder {
    /// Its address.
    pub address: SocketAddr,
    /// Incarnation of its process if it was heard lately.
    pub heard: Option<u64>,
    /// Whether it is to pass the message on within its data centre.
    pub relays: bool,
}

impl PeerTable {
    /// Returns the hosts to be told where a stream began.
    pub fn told_holders(&self, now: Duration, key: StreamKey) -> Vec<StreamHolder> {
        let mut res = self.holders_in(now, key, self.own_data_centre(), N_TOLD);
        if let Some(it) = self.remote_centres(now, key).first() {
            res.extend(self.holders_in(now, key, *it, N_TOLD_REMOTE));
        }
        res
    }

    /// Returns the hosts to be asked where a stream began.
    pub fn asked_holders(&self, now: Duration, key: StreamKey) -> Vec<StreamHolder> {
        let mut res = self.holders_in(now, key, self.own_data_centre(), N_ASKED);
        for it in self.remote_centres(now, key).into_iter().take(MAX_CENTRES) {
            res.extend(self.holders_in(now, key, it, N_ASKED_REMOTE));
        }
        res
    }

    /// Returns the hosts of this data centre to which a message from another one is passed on.
    pub fn relayed_holders(&self, now: Duration, key: StreamKey) -> Vec<StreamHolder> {
        self.holders_in(now, key, self.own_data_centre(), N_TOLD)
    }

    /// Returns the first hosts of a data centre by their rank for a stream, those heard lately before the others.
    fn holders_in(
        &self,
        now: Duration,
        key: StreamKey,
        data_centre: u32,
        n: usize,
    ) -> Vec<StreamHolder> {
        let is_remote = data_centre != self.own_data_centre();
        let relays = is_remote && self.topology().is_hierarchical();
        let mut hosts = self.contacts_in(now, data_centre);
        hosts.sort_by_key(|it| (it.heard.is_none(), key.rank(it.host)));
        let first = hosts.into_iter().take(n);
        first.map(|it| StreamHolder { address: it.address, heard: it.heard, relays }).collect()
    }

    /// Returns the other data centres by their rank for a stream, those heard lately before the others.
    fn remote_centres(&self, now: Duration, key: StreamKey) -> Vec<u32> {
        let is_silent = |it: u32| self.contacts_in(now, it).iter().all(|it| it.heard.is_none());
        let mut res = self.data_centres();
        res.retain(|it| *it != self.own_data_centre());
        res.sort_by_cached_key(|it| (is_silent(*it), key.rank(u64::from(*it))));
        res
    }
}
