//! The configuration that is in force, with numbered parts.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    ids::{DataCentreId, Revision, ServiceId, UpstreamId, WorkspaceId},
    schedule::ShardKey,
};

/// What kind of upstream stands behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine: streams tokens, batches continuously.
    Engine,
    /// Any other HTTP service.
    Plain,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Number on the wire.
    pub id: DataCentreId,
    /// Name as operators write it.
    pub name: String,
}

/// A service that workspaces call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Number on the wire.
    pub id: ServiceId,
    /// Name, the first path segment of a call.
    pub name: String,
    /// What stands behind it.
    pub kind: Kind,
    /// A call may be sent again after it may have run.
    pub repeatable: bool,
    /// Objective for the first token or the answer's head, in milliseconds.
    pub first_token: u64,
    /// Objective for the mean time between tokens, in milliseconds.
    pub token_gap: u64,
    /// Longest time a request waits for a grant, in milliseconds.
    pub wait_limit: u64,
    /// Upstreams of one data centre above which a shard is split.
    pub shard_size: usize,
}

impl Service {
    /// Longest time a request waits for a grant.
    pub fn wait_limit(&self) -> Duration {
        Duration::from_millis(self.wait_limit)
    }
}

/// A workspace and the share it is owed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Number on the wire.
    pub id: WorkspaceId,
    /// Name as operators write it.
    pub name: String,
    /// Weight of its service against the others'.
    pub share: u32,
    /// SHA-256 of its token, in hexadecimal.
    pub token_hash: String,
    /// Requests that may wait at one router.
    pub queue: usize,
    /// Bytes of bodies that may wait at one router.
    pub queue_bytes: usize,
}

/// One upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Number on the wire.
    pub id: UpstreamId,
    /// The service it serves.
    pub service: ServiceId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// It is to get no new work.
    pub leaving: bool,
    /// It refuses an order that carries an old fencing number.
    pub fenced: bool,
    /// Models it is to have loaded.
    pub models: Vec<String>,
}

/// The configuration of the whole fleet at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Grows by one with each confirmed plan; zero is the empty configuration.
    pub revision: Revision,
    /// First number not yet given to anything.
    pub next_id: u32,
    /// Data centres, by number.
    pub data_centres: Vec<DataCentre>,
    /// Services, by number.
    pub services: Vec<Service>,
    /// Workspaces, by number.
    pub workspaces: Vec<Workspace>,
    /// Upstreams, by number.
    pub upstreams: Vec<Upstream>,
}

impl Fleet {
    /// Finds a service by number.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        find_by_id(&self.services, id, |it| it.id)
    }

    /// Finds a service by name.
    pub fn service_by_name(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|it| it.name == name)
    }

    /// Finds a workspace by number.
    pub fn workspace(&self, id: WorkspaceId) -> Option<&Workspace> {
        find_by_id(&self.workspaces, id, |it| it.id)
    }

    /// Finds the workspace that a caller's token belongs to.
    pub fn workspace_by_token(&self, token: &str) -> Option<&Workspace> {
        let hash = hash_token(token);
        self.workspaces.iter().find(|it| it.token_hash == hash)
    }

    /// Finds an upstream by number.
    pub fn upstream(&self, id: UpstreamId) -> Option<&Upstream> {
        find_by_id(&self.upstreams, id, |it| it.id)
    }

    /// Finds a data centre by name.
    pub fn data_centre_id(&self, name: &str) -> Option<DataCentreId> {
        self.data_centres.iter().find(|it| it.name == name).map(|it| it.id)
    }

    /// Returns the name of a data centre, empty if it is unknown.
    pub fn data_centre_name(&self, id: DataCentreId) -> &str {
        find_by_id(&self.data_centres, id, |it| it.id).map_or("", |it| &it.name)
    }

    /// Returns how many parts the upstreams of a service in a data centre are split into.
    pub fn n_parts(&self, service: ServiceId, data_centre: DataCentreId) -> u32 {
        let size = self.service(service).map_or(1, |it| it.shard_size.max(1));
        let n = self
            .upstreams
            .iter()
            .filter(|it| it.service == service && it.data_centre == data_centre)
            .count();
        n.div_ceil(size).max(1) as u32
    }

    /// Returns every shard of a service; a data centre without upstreams has an empty one.
    pub fn shards(&self, service: ServiceId) -> impl Iterator<Item = ShardKey> + '_ {
        self.data_centres.iter().flat_map(move |data_centre| {
            let parts = 0..self.n_parts(service, data_centre.id);
            parts.map(move |part| ShardKey { service, data_centre: data_centre.id, part })
        })
    }

    /// Returns the shard that an upstream belongs to.
    pub fn shard_of(&self, upstream: &Upstream) -> ShardKey {
        let Upstream { service, data_centre, .. } = *upstream;
        let part = upstream.id % self.n_parts(service, data_centre);
        ShardKey { service, data_centre, part }
    }

    /// Returns the upstreams of a shard.
    pub fn upstreams_in_shard(&self, shard: ShardKey) -> impl Iterator<Item = &Upstream> + '_ {
        let n_parts = self.n_parts(shard.service, shard.data_centre);
        self.upstreams.iter().filter(move |it| {
            it.service == shard.service
                && it.data_centre == shard.data_centre
                && it.id % n_parts == shard.part
        })
    }
}

/// Hashes a workspace's token as the configuration stores it.
///
/// # Examples
///
/// ```
/// let hash = portfield::fleet::hash_token("secret");
/// assert_eq!(hash.len(), 64);
/// ```
pub fn hash_token(token: &str) -> String {
    hex(&Sha256::digest(token.as_bytes()))
}

/// Writes bytes in hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}

fn find_by_id<T>(list: &[T], id: u32, key: impl Fn(&T) -> u32) -> Option<&T> {
    let idx = list.binary_search_by_key(&id, key).ok()?;
    Some(&list[idx])
}
