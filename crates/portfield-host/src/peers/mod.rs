//! Communication between hosts: digests over UDP, and newer configurations, lists and orders
//! fetched by gRPC.

mod fetch;
mod receive;
mod send;

use std::{net::SocketAddr, sync::Arc};

use async_io::Async;
use portfield_wire::Digest;

pub(crate) use fetch::PeersService;

use crate::state::Host;

/// UDP socket for digests, bound to the address by which other hosts know this one.
pub(crate) type PeerSocket = Arc<Async<std::net::UdpSocket>>;

/// Sends a digest to an address at once.
pub(crate) fn send_digest(host: &Host, digest: &Digest, address: SocketAddr) {
    if let Some(socket) = host.peer_socket.get() {
        send::send(host, socket, digest, [address]);
    }
}

/// Starts the tasks that send and receive digests.
pub(crate) fn start(host: &Arc<Host>, socket: Async<std::net::UdpSocket>) {
    let socket = Arc::new(socket);
    let _ = host.peer_socket.set(socket.clone());
    host.rt.spawn(send::run(host.clone(), socket.clone()));
    host.rt.spawn(receive::run(host.clone(), socket));
}
