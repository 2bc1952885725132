//! Rendezvous hashing (Thaler and Ravishankar, 1998).
//!
//! Hosts that know the same members compute the same owner, and when a member fails, only the
//! shards that it owned move.

use std::{cmp::Reverse, net::IpAddr};

use xxhash_rust::xxh3::xxh3_64;

use crate::{ids::HostId, schedule::ShardKey};

/// Orders `hosts` by their weight for `shard`: the owner first, then its successors.
///
/// # Examples
///
/// ```
/// use portfield::{member::rank_hosts, schedule::ShardKey};
///
/// let hosts: Vec<_> = (1..5).map(|it| std::net::IpAddr::from([127, 0, 0, it])).collect();
/// let shard = ShardKey { service: 1, data_centre: 1, part: 0 };
/// let all = rank_hosts(shard, hosts.iter().copied());
/// let rest = rank_hosts(shard, hosts.iter().copied().filter(|it| *it != all[0]));
/// assert_eq!(rest, all[1..]);
/// ```
pub fn rank_hosts(shard: ShardKey, hosts: impl Iterator<Item = HostId>) -> Vec<HostId> {
    let mut res: Vec<_> = hosts.map(|it| (Reverse(weight(shard, it)), it)).collect();
    res.sort_unstable();
    res.into_iter().map(|(_, it)| it).collect()
}

/// Chooses the part of a split shard that a router uses, so that routers spread evenly over parts.
pub fn choose_part(shard: ShardKey, n_parts: u32, router: HostId) -> u32 {
    let part = |part| ShardKey { part, ..shard };
    (0..n_parts).max_by_key(|it| weight(part(*it), router)).unwrap_or(0)
}

fn weight(shard: ShardKey, host: HostId) -> u64 {
    let mut bytes = Vec::with_capacity(28);
    for it in [shard.service, shard.data_centre, shard.part] {
        bytes.extend(it.to_le_bytes());
    }
    match host {
        IpAddr::V4(it) => bytes.extend(it.octets()),
        IpAddr::V6(it) => bytes.extend(it.octets()),
    }
    xxh3_64(&bytes)
}
