//! What is newer at another host, fetched on request by gRPC.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_net::TcpStream;
use bytes::Bytes;
use portfield::catalog::Source;
use portfield_net::{clock, rpc};
use portfield_wire::{KnowledgeReply, KnowledgeRequest, ListedUpstream, peers_server::Peers};
use tonic::{Request, Response, Status};

use crate::{
    listed::Listed,
    state::Host,
    watch::{ListRow, Version, take_list},
};

/// Time in which another host tells its configuration: a second host is asked within the two
/// seconds in which a change must be in force.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which another host tells its whole list: 600 KB at 3,000 upstreams, from a quarter of a core.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which it tells what changed: a second host is asked within the two seconds after which no
/// upstream that leaves may be sent requests.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(700);

/// What another host is asked for, each by itself: a long list holds up no configuration.
#[derive(Debug, Clone, Copy)]
pub(super) enum Wanted {
    Config,
    List,
}

/// Fetches from another host, unless the same is being fetched.
pub(super) fn start(
    host: &Arc<Host>,
    address: SocketAddr,
    wanted: Wanted,
    is_fetching: &Arc<AtomicBool>,
) {
    if is_fetching.swap(true, Ordering::Relaxed) {
        return;
    }
    let (task, is_fetching) = (host.clone(), is_fetching.clone());
    host.rt.spawn(async move {
        let time = match wanted {
            Wanted::Config => CONFIG_TIMEOUT,
            Wanted::List if task.with_list(|it| it.directory.version()) == 0 => LIST_TIMEOUT,
            Wanted::List => CHANGES_TIMEOUT,
        };
        let late = || Err(eyre::eyre!("no answer in time"));
        let res = clock::timeout(time, fetch(&task, address, wanted)).await;
        is_fetching.store(false, Ordering::Relaxed);
        if let Err(err) = res.unwrap_or_else(late) {
            log::info!(host:% = address, wanted:?, err:%; "knowledge not fetched");
        }
    });
}

/// Asks another host for what is newer there, and adopts it.
async fn fetch(host: &Arc<Host>, address: SocketAddr, wanted: Wanted) -> eyre::Result<()> {
    let stream = TcpStream::connect(address).await?;
    let channel = rpc::Channel::open(&host.rt, stream).await?;
    let (config, list) = (host.config_version(), host.with_list(|it| it.directory.version()));
    // Nothing is newer than the highest version: that part is left out of the reply.
    let request = match wanted {
        Wanted::Config => KnowledgeRequest { config_version: config, list_version: u64::MAX },
        Wanted::List => KnowledgeRequest { config_version: u64::MAX, list_version: list },
    };
    let mut reply = channel.peers().knowledge(request).await?.into_inner();
    if !reply.config.is_empty() {
        host.adopt(Bytes::from(std::mem::take(&mut reply.config)), "host");
    }
    if reply.list.is_empty() && !reply.is_partial {
        return Ok(());
    }
    take_reply(host, reply);
    Ok(())
}

/// Takes another host's list, or what changed in it.
fn take_reply(host: &Host, reply: KnowledgeReply) {
    let now = clock::now();
    let held: Vec<(String, Duration)> = reply
        .list
        .iter()
        .filter(|it| 0 < it.held)
        .map(|it| (it.id.clone(), now + Duration::from_millis(u64::from(it.held))))
        .collect();
    let set = reply.list.into_iter().map(|it| ListRow { id: it.id, entry: Some(it.entry) });
    let gone = reply.gone.into_iter().map(|id| ListRow { id, entry: None });
    let rows: Vec<ListRow> = set.chain(gone).collect();
    // The other host tells which entries may only have lapsed.
    let version = Version {
        number: reply.list_version,
        is_whole: !reply.is_partial,
        source: Source::Current,
    };
    host.update_list(|it| {
        take_list(it, rows, &version);
        held.iter().for_each(|(id, until)| it.directory.hold(id, *until));
    });
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
        self.host.with_list(|it| tell_list(it, request.list_version, &mut reply));
        Ok(Response::new(reply))
    }
}

/// Tells the list to a host that knows an older version of it, or what changed since where that is
/// known: one entry of some 200 bytes in place of 65 KB at 325 upstreams.
fn tell_list(listed: &Listed, known: u64, reply: &mut KnowledgeReply) {
    reply.list_version = listed.directory.version();
    if reply.list_version <= known {
        return;
    }
    let now = clock::now();
    let entry = |id: &String| {
        let held = listed.directory.held_until(id);
        let held = held.map_or(0, |it| (it.saturating_sub(now).as_millis() as u32).max(1));
        let entry = listed.entries.get(id)?.to_vec();
        Some(ListedUpstream { id: id.clone(), entry, held })
    };
    match listed.directory.since(known) {
        Some(difference) => {
            reply.is_partial = true;
            reply.list = difference.set.iter().filter_map(entry).collect();
            reply.gone = difference.gone;
        }
        None => reply.list = listed.entries.keys().filter_map(entry).collect(),
    }
}
