//! What hosts tell each other: digests by UDP, and what is newer on request by gRPC.

mod fetch;
mod receive;
mod send;

use std::sync::Arc;

use async_io::Async;

pub(crate) use fetch::PeersService;

use crate::state::Host;

/// The socket for digests, bound to the address that names this host.
type PeerSocket = Arc<Async<std::net::UdpSocket>>;

/// Starts the tasks.
pub(crate) fn start(host: &Arc<Host>, socket: Async<std::net::UdpSocket>) {
    let socket = Arc::new(socket);
    host.rt.spawn(send::run(host.clone(), socket.clone()));
    host.rt.spawn(receive::run(host.clone(), socket));
}
