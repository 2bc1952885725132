//! What hosts tell each other: digests by UDP, and what is newer on request by gRPC.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_io::Async;
use async_net::TcpStream;
use bytes::Bytes;
use portfield::{
    balance::Follower,
    catalog::{Change, Source},
};
use portfield_net::{clock, rpc};
use portfield_platform::upstreams;
use portfield_wire::{
    Digest, KnowledgeReply, KnowledgeRequest, ListedUpstream, peers_server::Peers,
};
use prost::Message;
use tonic::{Request, Response, Status};

use crate::{
    state::{Host, hash},
    watch::{Version, take_list},
};

/// Time between two digests with few hosts; fresher ones gained nothing on the users' bench.
const PERIOD: Duration = Duration::from_millis(50);
/// Time that each further host adds, so that a host's traffic does not grow with their number.
const PERIOD_PER_HOST: Duration = Duration::from_millis(4);
/// Silence after which a host is told only now and then.
const SILENT: Duration = Duration::from_secs(5);
/// How many digests a silent host is left out of, for each that it is sent.
const SILENT_EVERY: u64 = 20;
/// Largest datagram.
const MAX_DATAGRAM: usize = 60_000;
/// Time in which another host tells what is newer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Starts the tasks; the socket is bound to the address that names this host.
pub(crate) fn start(host: &Arc<Host>, socket: Async<std::net::UdpSocket>) {
    let socket = Arc::new(socket);
    host.rt.spawn(tell(host.clone(), socket.clone()));
    host.rt.spawn(listen(host.clone(), socket));
}

async fn tell(host: Arc<Host>, socket: Arc<Async<std::net::UdpSocket>>) {
    let data_centre = hash(&host.settings().data_centre);
    let mut sequence = 0;
    loop {
        let n_peers = host.peers().len() as u32;
        clock::sleep(PERIOD.max(PERIOD_PER_HOST * n_peers)).await;
        sequence += 1;
        let now = clock::now();
        let mut digest = Digest {
            host: host.own_hash(),
            incarnation: host.incarnation,
            sequence,
            config_version: host.config_version(),
            list_version: host.with_list(|it| it.directory.version()),
            data_centre,
            store_age: host.store_age().as_millis().min(u128::from(u32::MAX)) as u32,
            ..Digest::default()
        };
        host.balancer().report(now, &mut digest);
        let bytes = digest.encode_to_vec();
        let peers: Vec<(SocketAddr, Duration)> =
            host.peers().iter().map(|it| (*it.0, *it.1)).collect();
        for (address, heard) in peers {
            if heard + SILENT < now && !sequence.is_multiple_of(SILENT_EVERY) {
                continue;
            }
            // A datagram that cannot be sent now is as good as lost; the next one tells all.
            if let Err(err) = socket.get_ref().send_to(&bytes, address)
                && err.kind() != io::ErrorKind::WouldBlock
            {
                log::debug!(err:%, address:%; "digest not sent");
            }
        }
    }
}

async fn listen(host: Arc<Host>, socket: Arc<Async<std::net::UdpSocket>>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    let fetching = Arc::new(AtomicBool::new(false));
    loop {
        let (n, address) = match socket.recv_from(&mut buf).await {
            Ok(it) => it,
            Err(err) => {
                log::debug!(err:%; "digest not received");
                continue;
            }
        };
        let Ok(digest) = Digest::decode(&buf[..n]) else {
            host.metrics.count("digests_malformed");
            continue;
        };
        let now = clock::now();
        let heard = host.peers().insert(address, now);
        if heard.is_none_or(|it| it + SILENT < now) {
            log::info!(host:% = address, incarnation = digest.incarnation; "host heard");
        }
        host.hear(Follower {
            host: digest.host,
            data_centre: digest.data_centre,
            store_age: Duration::from_millis(u64::from(digest.store_age)),
            heard: now,
        });
        host.balancer().merge(now, &digest);
        let newer_config = host.config_version() < digest.config_version;
        let list_version = host.with_list(|it| it.directory.version());
        let newer_list = list_version < digest.list_version && host.needs_list();
        if (newer_config || newer_list) && !fetching.swap(true, Ordering::Relaxed) {
            let (task, fetching) = (host.clone(), fetching.clone());
            host.rt.spawn(async move {
                let res = clock::timeout(FETCH_TIMEOUT, fetch(&task, address)).await;
                fetching.store(false, Ordering::Relaxed);
                if let Some(Err(err)) = res {
                    log::info!(host:% = address, err:%; "knowledge not fetched");
                }
            });
        }
    }
}

/// Asks another host for what is newer there, and adopts it.
async fn fetch(host: &Arc<Host>, address: SocketAddr) -> eyre::Result<()> {
    let stream = TcpStream::connect(address).await?;
    let channel = rpc::Channel::open(&host.rt, stream).await?;
    let request = KnowledgeRequest {
        config_version: host.config_version(),
        list_version: host.with_list(|it| it.directory.version()),
    };
    let reply = channel.peers().knowledge(request).await?.into_inner();
    if !reply.config.is_empty() {
        host.adopt(Bytes::from(reply.config), "host");
    }
    if reply.list.is_empty() || !host.needs_list() {
        return Ok(());
    }
    let mut changes = Vec::new();
    let mut raw = HashMap::new();
    let mut held = Vec::new();
    for it in reply.list {
        if 0 < it.held {
            let until = clock::now() + Duration::from_millis(u64::from(it.held));
            held.push((it.id.clone(), until));
        }
        changes.push(Change::Set(upstreams::decode(&it.id, &it.entry)?));
        raw.insert(it.id, Bytes::from(it.entry));
    }
    // The other host tells which entries may only have lapsed.
    let version = Version { number: reply.list_version, is_whole: true, source: Source::Current };
    host.update_list(|it| {
        take_list(it, changes, raw, &version);
        held.iter().for_each(|(id, until)| it.directory.hold(id, *until));
    });
    Ok(())
}

/// Answers the other hosts.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    host: Arc<Host>,
}

impl Server {
    /// Builds the service.
    pub(crate) fn new(host: Arc<Host>) -> Self {
        Self { host }
    }
}

#[tonic::async_trait]
impl Peers for Server {
    async fn knowledge(
        &self,
        request: Request<KnowledgeRequest>,
    ) -> Result<Response<KnowledgeReply>, Status> {
        let request = request.into_inner();
        let mut reply = KnowledgeReply::default();
        if let Some(it) = self.host.in_force()
            && request.config_version < it.catalog.version()
        {
            reply.config_version = it.catalog.version();
            reply.config = it.bytes.to_vec();
        }
        self.host.with_list(|it| {
            reply.list_version = it.directory.version();
            if request.list_version < reply.list_version {
                let now = clock::now();
                let held = |id: &str| match it.directory.held_until(id) {
                    Some(until) => (until.saturating_sub(now).as_millis() as u32).max(1),
                    None => 0,
                };
                let entry = |(id, entry): (&String, &Bytes)| ListedUpstream {
                    id: id.clone(),
                    entry: entry.to_vec(),
                    held: held(id),
                };
                reply.list = it.entries.iter().map(entry).collect();
            }
        });
        Ok(Response::new(reply))
    }
}
