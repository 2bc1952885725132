//! Gossip between the hosts: who sends digests to whom, what the others reported, and which hosts
//! read the platform's store.
//!
//! - [`GossipTopology`]: which hosts a digest is sent to
//! - [`PeerTable`]: the other hosts, and digests to forward
//! - `peer_state`: totals reported by one peer
//! - [`StoreWatchers`]: which hosts watch the store
//! - [`ReaderRank`]: which hosts read the fleet's state from the store at their start
//! - [`asks_now`]: which hosts fetch news from others at a time
//! - `stream_holders`: which hosts are told where a stream began, and which are asked
//! - [`StoreAvailability`]: whether others reached the store while this host could not

mod fan_out;
mod first_read;
mod peer_state;
mod peer_table;
mod store_availability;
mod store_watchers;
mod stream_holders;
mod topology;

pub use fan_out::{FetchSize, ListAnswer, ListSender, asks_now};
pub use first_read::{PeerCopy, ReaderRank};
pub(crate) use peer_state::{PeerState, peer_timeout};
pub use peer_table::{Delivery, Introduction, PeerTable, host_hash};
pub use store_availability::StoreAvailability;
pub use store_watchers::{STORE_CALL_TIMEOUT, StoreTimeouts, StoreWatchers, WatcherStatus};
pub use stream_holders::StreamHolder;
pub use topology::{GossipConfig, GossipTopology, Peer};
