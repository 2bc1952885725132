//! Fetches what another host knows in a newer version, and serves such requests, over gRPC.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_net::TcpStream;
use bytes::Bytes;
use portfield::{
    catalog::{EvacuationRow, EvacuationSnapshot, MissingRows, StoreVersion},
    gossip::{ListAnswer, ListSender},
};
use portfield_net::{clock, rpc};
use portfield_wire::{
    EvacuationOrder, KnowledgeReply, KnowledgeRequest, ListedUpstream, peers_server::Peers,
};
use tonic::{Request, Response, Status};

use crate::{
    evacuations,
    state::Host,
    table_read::{ListRow, ReadScope, TableRead, apply_list},
    upstream_list::UpstreamList,
};

/// Timeout for a configuration. Leaves time to ask a second host within the two seconds in which a
/// change must be in force.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for a whole list: 600 KB for 3,000 upstreams, sent by a host with a quarter of a core.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for list changes. Leaves time to ask a second host within the two seconds after which a
/// draining upstream must get no more requests.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(700);

/// Referrals followed in one fetch.
const MAX_REFERRALS: usize = 6;

/// What to fetch from another host; fetched separately so that a long list delays no configuration.
#[derive(Debug, Clone, Copy)]
pub(super) enum Wanted {
    Config,
    List,
    /// The operator's evacuation orders.
    Orders,
}

/// Starts to fetch from another host, unless such a fetch is already running.
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
        let is_whole_list =
            matches!(wanted, Wanted::List) && task.with_list(|it| it.directory.is_empty());
        let time = match wanted {
            Wanted::Config | Wanted::Orders => CONFIG_TIMEOUT,
            Wanted::List if is_whole_list => LIST_TIMEOUT,
            Wanted::List => CHANGES_TIMEOUT,
        };
        if is_whole_list {
            // The digest that named the host reached all others of the data centre as well.
            clock::sleep(task.topology().period().mul_f64(fastrand::f64())).await;
        }
        let timed_out = || Err(eyre::eyre!("no response in time"));
        let res = clock::timeout(time, fetch(&task, address, wanted)).await;
        is_fetching.store(false, Ordering::Relaxed);
        if let Err(err) = res.unwrap_or_else(timed_out) {
            log::info!(host:% = address, wanted:?, err:%; "fetch from host failed");
        }
    });
}

/// Asks another host for newer versions and applies them. A host that is busy refers this one to
/// others.
async fn fetch(host: &Arc<Host>, address: SocketAddr, wanted: Wanted) -> eyre::Result<()> {
    let mut reply = ask(host, address, wanted).await?;
    let mut n_referrals = 0;
    while let Some(holder) = fastrand::choice(&reply.holders) {
        if n_referrals == MAX_REFERRALS {
            return Err(eyre::eyre!("referred from one busy host to another"));
        }
        n_referrals += 1;
        reply = ask(host, holder.parse()?, wanted).await?;
    }
    apply_orders(host, &mut reply);
    if !reply.config.is_empty() {
        host.apply_config(Bytes::from(std::mem::take(&mut reply.config)), "host");
    }
    if reply.list.is_empty() && !reply.is_partial {
        return Ok(());
    }
    apply_reply(host, reply);
    Ok(())
}

async fn ask(host: &Host, address: SocketAddr, wanted: Wanted) -> eyre::Result<KnowledgeReply> {
    let stream = TcpStream::connect(address).await?;
    let channel = rpc::Channel::open(&host.rt, stream).await?;
    Ok(channel.peers().knowledge(request(host, wanted)).await?.into_inner())
}

/// Builds a request for versions newer than this host's. Parts that are not wanted carry the
/// highest version, so that the reply leaves them out.
fn request(host: &Host, wanted: Wanted) -> KnowledgeRequest {
    let (mut config, mut list, mut orders) = (u64::MAX, StoreVersion::MAX, StoreVersion::MAX);
    match wanted {
        Wanted::Config => config = host.config_version(),
        Wanted::List => list = host.with_list(|it| it.directory.version()),
        Wanted::Orders => orders = host.with_list(|it| it.evacuations.version()),
    }
    KnowledgeRequest {
        config_version: config,
        list_version: list.number,
        list_era: list.era,
        orders_version: orders.number,
        orders_era: orders.era,
        address: host.settings().peers.to_string(),
    }
}

/// Merges the evacuation orders in another host's reply.
fn apply_orders(host: &Arc<Host>, reply: &mut KnowledgeReply) {
    let version = StoreVersion::new(reply.orders_era, reply.orders_version);
    if version == StoreVersion::default() {
        return;
    }
    let order = |it: EvacuationOrder, is_lifted| EvacuationRow {
        data_centre: it.data_centre,
        row_version: it.row,
        is_lifted,
    };
    let active = std::mem::take(&mut reply.evacuations).into_iter().map(|it| {
        let left = held_time(it.held);
        (order(it, false), left)
    });
    let lifted = std::mem::take(&mut reply.lifted).into_iter().map(|it| order(it, true));
    let list = EvacuationSnapshot { active: active.collect(), lifted: lifted.collect() };
    evacuations::merge_peer_orders(host, version, list);
}

/// Applies another host's upstream list, or the changes in it.
fn apply_reply(host: &Host, mut reply: KnowledgeReply) {
    let now = clock::now();
    host.with_list(|it| {
        reply.list.retain(|row| row.held == 0 || it.directory.accepts_unlisted(&row.id));
    });
    let held: Vec<(String, Duration)> = reply
        .list
        .iter()
        .filter_map(|it| Some((it.id.clone(), now + held_time(it.held)?)))
        .collect();
    let updated = reply.list.into_iter().map(|it| ListRow {
        id: it.id,
        entry: Some(it.entry),
        version: it.row,
    });
    let removed = reply.gone.into_iter().map(|id| ListRow { id, entry: None, version: 0 });
    let rows: Vec<ListRow> = updated.chain(removed).collect();
    // The other host marks entries that may only have expired as held; all others that it lacks
    // were deleted.
    let table_read = TableRead {
        version: StoreVersion::new(reply.list_era, reply.list_version),
        scope: if reply.is_partial { ReadScope::Changes } else { ReadScope::Full },
        missing_rows: MissingRows::Deleted,
    };
    host.update_list(|it| {
        if apply_list(it, rows, &table_read) {
            held.iter().for_each(|(id, until)| it.directory.set_expiry(id, *until));
        }
    });
}

/// gRPC service that tells other hosts what this one knows.
#[derive(Debug, Clone)]
pub(crate) struct PeersService {
    host: Arc<Host>,
    list_sender: Arc<Mutex<ListSender<String>>>,
}

impl PeersService {
    /// Creates the service.
    pub(crate) fn new(host: Arc<Host>) -> Self {
        Self { host, list_sender: Arc::default() }
    }
}

#[tonic::async_trait]
impl Peers for PeersService {
    async fn knowledge(
        &self,
        request: Request<KnowledgeRequest>,
    ) -> Result<Response<KnowledgeReply>, Status> {
        let request = request.into_inner();
        let mut reply = KnowledgeReply::default();
        if let Some(it) = self.host.active_config()
            && request.config_version < it.catalog.version()
        {
            reply.config_version = it.catalog.version();
            reply.config = it.bytes.to_vec();
        }
        let list = StoreVersion::new(request.list_era, request.list_version);
        let orders = StoreVersion::new(request.orders_era, request.orders_version);
        if self.host.with_list(|it| needs_whole_list(it, list)) {
            let mut sender = self.list_sender.lock().unwrap_or_else(PoisonError::into_inner);
            if let ListAnswer::Ask(holders) = sender.answer(clock::now(), request.address) {
                return Ok(Response::new(KnowledgeReply { holders, ..reply }));
            }
        }
        self.host.with_list(|it| {
            fill_list(it, list, &mut reply);
            fill_orders(it, orders, &mut reply);
        });
        Ok(Response::new(reply))
    }
}

/// Encodes how long an item that is missing from the store is still kept, in milliseconds; zero if
/// the store has it.
fn held_ms(left: Option<Duration>) -> u32 {
    left.map_or(0, |it| (it.as_millis() as u32).max(1))
}

/// Decodes a value of [`held_ms`].
fn held_time(millis: u32) -> Option<Duration> {
    (0 < millis).then(|| Duration::from_millis(u64::from(millis)))
}

/// Adds the evacuation orders to a reply, if the other host knows an older version.
fn fill_orders(list: &UpstreamList, known: StoreVersion, reply: &mut KnowledgeReply) {
    let version = list.evacuations.version();
    if version <= known {
        return;
    }
    (reply.orders_version, reply.orders_era) = (version.number, version.era);
    let EvacuationSnapshot { active, lifted } = list.evacuations.snapshot(clock::now());
    let encode = |it: EvacuationRow, left: Option<Duration>| EvacuationOrder {
        data_centre: it.data_centre,
        row: it.row_version,
        held: held_ms(left),
    };
    reply.evacuations = active.into_iter().map(|(it, left)| encode(it, left)).collect();
    reply.lifted = lifted.into_iter().map(|it| encode(it, None)).collect();
}

/// Returns whether only the whole list brings a host up to date that knows a version.
fn needs_whole_list(list: &UpstreamList, known: StoreVersion) -> bool {
    known < list.directory.version() && !list.directory.has_changes_since(known)
}

/// Adds the upstream list to a reply, if the other host knows an older version. Sends only the
/// changes where they are known: one entry takes some 200 bytes, the whole list 65 KB for 325
/// upstreams.
fn fill_list(list: &UpstreamList, known: StoreVersion, reply: &mut KnowledgeReply) {
    let version = list.directory.version();
    (reply.list_version, reply.list_era) = (version.number, version.era);
    if version <= known {
        return;
    }
    let now = clock::now();
    let entry = |id: &String| {
        let held = list.directory.expires_at(id);
        let held = held_ms(held.map(|it| it.saturating_sub(now)));
        let entry = list.entries.get(id)?.to_vec();
        Some(ListedUpstream { id: id.clone(), entry, held, row: list.directory.row_version(id) })
    };
    match list.directory.changes_since(known) {
        Some(difference) => {
            reply.is_partial = true;
            reply.list = difference.set.iter().filter_map(entry).collect();
            reply.gone = difference.removed;
        }
        None => reply.list = list.entries.keys().filter_map(entry).collect(),
    }
}
