//! Key of a shard.

use std::fmt;

use crate::{
    ids::{DataCentreId, ServiceId},
    wire,
};

/// Identifies a shard: the upstreams of one service in one data centre, or a part of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardKey {
    /// The service.
    pub service: ServiceId,
    /// Data centre of the upstreams.
    pub data_centre: DataCentreId,
    /// Number of the part.
    pub part: u32,
}

impl fmt::Display for ShardKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.data_centre, self.part)
    }
}

impl From<ShardKey> for wire::Shard {
    fn from(it: ShardKey) -> Self {
        Self { service: it.service, data_centre: it.data_centre, part: it.part }
    }
}

impl From<&wire::Shard> for ShardKey {
    fn from(it: &wire::Shard) -> Self {
        Self { service: it.service, data_centre: it.data_centre, part: it.part }
    }
}
