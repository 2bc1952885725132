//! The fleet's configuration at one revision, with ids assigned.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    ids::{DataCentreId, Revision, ServiceId, UpstreamId, WorkspaceId},
    schedule::ShardKey,
};

/// Kind of the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine with token streaming and continuous batching.
    Engine,
    /// Any other HTTP service.
    Plain,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Id in messages.
    pub id: DataCentreId,
    /// Name in the specification.
    pub name: String,
}

/// A service that workspaces call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Id in messages.
    pub id: ServiceId,
    /// Name, which is the first path segment of a request.
    pub name: String,
    /// Kind of its upstreams.
    pub kind: Kind,
    /// Whether a request that may have run may be sent again.
    pub repeatable: bool,
    /// Objective for the time to the first token, or to the response's head, in milliseconds.
    pub first_token: u64,
    /// Objective for the mean time between tokens, in milliseconds.
    pub token_gap: u64,
    /// Longest time for which a request waits for a grant, in milliseconds.
    pub wait_limit: u64,
    /// Number of upstreams in one data centre above which its shard is split.
    pub shard_size: usize,
}

impl Service {
    /// Returns the longest time for which a request waits for a grant.
    pub fn wait_limit(&self) -> Duration {
        Duration::from_millis(self.wait_limit)
    }
}

/// A workspace and the share of the capacity that it is owed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Id in messages.
    pub id: WorkspaceId,
    /// Name in the specification.
    pub name: String,
    /// Weight relative to the shares of other workspaces.
    pub share: u32,
    /// SHA-256 hash of its token, in hexadecimal.
    pub token_hash: String,
    /// Largest number of requests waiting at one router.
    pub queue: usize,
    /// Largest total length of the bodies waiting at one router, in bytes.
    pub queue_bytes: usize,
}

/// One upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Id in messages.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it gets no new requests.
    pub leaving: bool,
    /// Whether it refuses requests with an outdated fencing token.
    pub fenced: bool,
    /// Models that it is expected to have loaded.
    pub models: Vec<String>,
}

/// The configuration of the whole fleet at one revision; every list is sorted by id.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Revision, incremented with each confirmed plan; zero is the empty configuration.
    pub revision: Revision,
    /// Lowest id that has never been assigned.
    pub next_id: u32,
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
}

impl Fleet {
    /// Returns a service by id.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        find_by_id(&self.services, id, |it| it.id)
    }

    /// Returns a service by name.
    pub fn service_by_name(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|it| it.name == name)
    }

    /// Returns a workspace by id.
    pub fn workspace(&self, id: WorkspaceId) -> Option<&Workspace> {
        find_by_id(&self.workspaces, id, |it| it.id)
    }

    /// Returns the workspace that a caller's token belongs to.
    pub fn workspace_by_token(&self, token: &str) -> Option<&Workspace> {
        let hash = hash_token(token);
        self.workspaces.iter().find(|it| it.token_hash == hash)
    }

    /// Returns an upstream by id.
    pub fn upstream(&self, id: UpstreamId) -> Option<&Upstream> {
        find_by_id(&self.upstreams, id, |it| it.id)
    }

    /// Returns the id of a data centre by name.
    pub fn data_centre_id(&self, name: &str) -> Option<DataCentreId> {
        self.data_centres.iter().find(|it| it.name == name).map(|it| it.id)
    }

    /// Returns the name of a data centre, or an empty string if it is unknown.
    pub fn data_centre_name(&self, id: DataCentreId) -> &str {
        find_by_id(&self.data_centres, id, |it| it.id).map_or("", |it| &it.name)
    }

    /// Returns the number of parts into which the upstreams of a service in a data centre are
    /// split; each part is a shard.
    pub fn n_parts(&self, service: ServiceId, data_centre: DataCentreId) -> u32 {
        let size = self.service(service).map_or(1, |it| it.shard_size.max(1));
        let n = self
            .upstreams
            .iter()
            .filter(|it| it.service == service && it.data_centre == data_centre)
            .count();
        n.div_ceil(size).max(1) as u32
    }

    /// Returns all shards of a service; a data centre without upstreams has one empty shard.
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

/// Returns the hash of a workspace's token as the configuration stores it.
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

/// Returns bytes in lower-case hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}

/// Returns the item with an id from a list that is sorted by id.
fn find_by_id<T>(list: &[T], id: u32, key: impl Fn(&T) -> u32) -> Option<&T> {
    let idx = list.binary_search_by_key(&id, key).ok()?;
    Some(&list[idx])
}
