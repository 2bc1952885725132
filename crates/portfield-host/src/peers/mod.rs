//! Communication between hosts: digests over UDP, and newer configurations, lists and orders
//! fetched by gRPC.

mod fetch;
mod receive;
mod send;

use std::sync::Arc;

use async_io::Async;

pub(crate) use fetch::PeersService;

use crate::state::Host;

/// UDP socket for digests, bound to the address by which other hosts know this one.
type PeerSocket = Arc<Async<std::net::UdpSocket>>;

/// Starts the tasks that send and receive digests.
pub(crate) fn start(host: &Arc<Host>, socket: Async<std::net::UdpSocket>) {
    let socket = Arc::new(socket);
    host.rt.spawn(send::run(host.clone(), socket.clone()));
    host.rt.spawn(receive::run(host.clone(), socket));
}
