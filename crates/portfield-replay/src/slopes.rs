//! Slopes for docs/design/capacity-first-design.md: what one ticket, one exchange, one probe costs, and how it
//! grows with workspaces.

use std::{
    fmt::Write,
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use portfield::{
    fleet::{Fleet, FleetSpec, Kind, ServiceSpec, UpstreamSpec, WorkspaceSpec, hash_token},
    ids::HostId,
    member::{HostListEntry, Membership},
    schedule::{Health, OwnerConfig, ShardKey, ShardOwner},
    wire,
};
use prost::Message;

use crate::{
    case::{Case, Deployment, Hint, Load, Outcome},
    sim,
};

/// Tickets that wait while one decision is timed.
const N_TICKETS: u64 = 10_000;
/// Upstreams of the shard.
const N_UPSTREAMS: u32 = 16;
/// Slots of each.
const SLOTS: u32 = 32;

/// What a number of decisions cost.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Processor time of one ticket: queued, granted, ended.
    pub ticket: Duration,
    /// Workspaces looked at for one grant.
    pub steps: f64,
    /// Bytes that the owner's state grew by for one ticket that waits.
    pub bytes: u64,
}

/// Builds a configuration with one service.
pub fn fleet(n_workspaces: u32, n_upstreams: u32) -> Fleet {
    let mut intent = FleetSpec { data_centres: vec!["north".to_owned()], ..FleetSpec::default() };
    intent.services.push(ServiceSpec {
        name: "scribe".to_owned(),
        kind: Kind::Engine,
        repeatable: true,
        first_token_ms: 780,
        token_gap_ms: 43,
        wait_limit_ms: 60_000,
        shard_size: 16,
    });
    intent.workspaces = (0..n_workspaces)
        .map(|it| WorkspaceSpec {
            name: format!("workspace-{it}"),
            share: 1 + it % 8,
            token_sha256: hash_token(&it.to_string()),
            queue: 4096,
            queue_bytes: 1 << 24,
        })
        .collect();
    intent.upstreams = (0..n_upstreams)
        .map(|it| UpstreamSpec {
            address: SocketAddr::from(([127, 1, (it / 250) as u8, (it % 250) as u8], 8000)),
            service: "scribe".to_owned(),
            data_centre: "north".to_owned(),
            slots: SLOTS,
            leaving: false,
            fenced: false,
            models: vec!["base".to_owned()],
        })
        .collect();
    intent.assign_ids(&Fleet::default())
}

/// Queues, grants and ends tickets of a number of workspaces and returns the cost of one.
pub fn decide(n_workspaces: u32) -> Cost {
    let fleet = fleet(n_workspaces, N_UPSTREAMS);
    let shard =
        ShardKey { service: fleet.services[0].id, data_centre: fleet.data_centres[0].id, part: 0 };
    let config = OwnerConfig {
        recovery_time: Duration::ZERO,
        max_queued: u32::MAX,
        ..OwnerConfig::default()
    };
    let mut owner = ShardOwner::new(Duration::ZERO, shard, 1, config);
    owner.configure(Duration::ZERO, &fleet);
    let host = HostId::from([127, 0, 0, 1]);
    let before = resident();
    let start = Instant::now();
    for id in 0..N_TICKETS {
        let workspace = fleet.workspaces[(id % u64::from(n_workspaces)) as usize].id;
        let ticket = wire::Ticket { id, workspace, hint: 100, ..Default::default() };
        owner.register(Duration::ZERO, host, &ticket);
    }
    let bytes = resident().saturating_sub(before) / N_TICKETS;
    for it in &fleet.upstreams {
        owner.record_health(Duration::ZERO, it.id, Health::Up { running: 0, leaving: false });
    }
    let mut n_ended = 0;
    while n_ended < N_TICKETS {
        owner.dispatch(Duration::ZERO);
        let answers = owner.take_answers();
        for it in answers.values().flat_map(|it| &it.grants) {
            let done = wire::Done { id: it.ticket, cost: 100, pace: 200, ..Default::default() };
            owner.finish(Duration::ZERO, host, &done);
            n_ended += 1;
        }
    }
    let ticket = start.elapsed() / N_TICKETS as u32;
    Cost { ticket, steps: owner.n_examined() as f64 / N_TICKETS as f64, bytes }
}

/// Replays the size to design for in virtual time and returns what it measured.
///
/// 390 hosts, 784 engines with 36 slots, 7 data centres, 14 services, 1,200 workspaces of
/// which a tenth sends more than its share; one change of configuration half-way.
pub fn at_size(time: Duration) -> String {
    let case = size_case(time);
    let arrivals = case.record();
    let start = Instant::now();
    let res = sim::replay_part(&case, &arrivals, time);
    let cpu = start.elapsed().as_secs_f64();
    let (mean, most, idle) = res.control;
    let figures = &res.figures;
    format!(
        "requests a second               {:.0}\n\
         hosts that own a shard          {} of 390\n\
         control, mean of all hosts      {mean:.0} bytes a second\n\
         control, hosts without a shard  {idle:.0} bytes a second\n\
         control, busiest host           {most:.0} bytes a second\n\
         messages                        {:.1} a second for each host\n\
         change in force everywhere      {}\n\
         utilisation                     {:.1} %\n\
         largest gap                     {:.0}, formula {:.0}\n\
         processor time of all decisions, of the fakes and of the measures: {:.2} % of a core a host\n",
        arrivals.len() as f64 / time.as_secs_f64(),
        res.n_owners,
        res.messages as f64 / res.time.as_secs_f64() / 390.0,
        res.in_force
            .map_or("not in this time".to_owned(), |it| format!("{:.2} s", it.as_secs_f64())),
        figures.utilisation * 100.0,
        figures.gap,
        figures.bound,
        cpu / res.time.as_secs_f64() / 390.0 * 100.0,
    )
}

fn size_case(time: Duration) -> Case {
    let load = |idx: u32| {
        let busy = idx.is_multiple_of(10);
        Load {
            workspace: format!("w{idx}"),
            share: 1 + idx % 4,
            service: format!("model-{}", idx % 14),
            rate: if busy { 17.0 } else { 0.61 },
            burst: 1,
            cost: (100, 434),
            heavy: false,
            hint: Hint::Rough,
            batch: false,
            entries: (0..8).map(|it| (idx as usize * 53 + it * 49) % 390).collect(),
            prefixes: 0,
            during: (0.0, time.as_secs_f64()),
        }
    };
    Case {
        seed: 1,
        deployment: Deployment {
            hosts: vec![56, 56, 56, 56, 56, 55, 55],
            engines: vec![8; 7],
            slots: 36,
            near_us: 200,
            far_us: 5000,
            token_us: 40_000,
        },
        load: (0..1200).map(load).collect(),
        fault: Vec::new(),
        outcome: Outcome::default(),
    }
}

/// Measures everything and returns a table.
pub fn table() -> String {
    let mut res = String::from("| slope | at 16 | at 100 | at 400 | at 1,200 workspaces |\n");
    res += "| --- | ---: | ---: | ---: | ---: |\n";
    let sizes = [16, 100, 400, 1200];
    let costs = sizes.map(decide);
    row(
        &mut res,
        "one ticket queued, granted, ended (us)",
        costs.map(|it| format!("{:.2}", it.ticket.as_secs_f64() * 1e6)),
    );
    row(&mut res, "workspaces looked at for one grant", costs.map(|it| format!("{:.2}", it.steps)));
    row(
        &mut res,
        "owner's memory for one waiting ticket (bytes)",
        costs.map(|it| it.bytes.to_string()),
    );
    let exchanges = sizes.map(exchange);
    row(&mut res, "one full exchange of usage (us)", exchanges.map(|it| format!("{:.0}", it.0)));
    row(&mut res, "one full exchange of usage (bytes)", exchanges.map(|it| it.1.to_string()));
    row(
        &mut res,
        "fleet configuration, JSON (bytes)",
        sizes.map(|it| serde_json::to_string(&fleet(it, 790)).map_or(0, |it| it.len()).to_string()),
    );
    res += "\n| message | bytes |\n| --- | ---: |\n";
    for (name, bytes) in messages() {
        let _ = writeln!(res, "| {name} | {bytes} |");
    }
    res
}

fn row(res: &mut String, name: &str, values: [String; 4]) {
    let _ = writeln!(res, "| {name} | {} |", values.join(" | "));
}

/// Returns microseconds and bytes of a full frame of usage, built, encoded, decoded, merged.
fn exchange(n_workspaces: u32) -> (f64, usize) {
    let shard = |data_centre| ShardKey { service: 1, data_centre, part: 0 };
    let usage = (1..=n_workspaces).map(|workspace| wire::Usage {
        workspace,
        served: u64::from(workspace) << 32,
        reserved: 500 << 16,
        waiting: 3,
    });
    let set = wire::UsageSet {
        shard: Some(shard(1).into()),
        incarnation: 1_800_000_000_000,
        sequence: 1,
        usage: usage.collect(),
    };
    let frame = wire::PeerShard {
        from: Some(shard(1).into()),
        to: Some(shard(2).into()),
        incarnation: 1_800_000_000_000,
        sets: vec![set],
        ..Default::default()
    };
    let mut owner = ShardOwner::new(Duration::ZERO, shard(2), 1, OwnerConfig::default());
    owner.set_peers([shard(1), shard(2)].into_iter());
    let start = Instant::now();
    let bytes = frame.encode_to_vec();
    if let Ok(it) = wire::PeerShard::decode(bytes.as_slice()) {
        owner.handle_frame(Duration::ZERO, &it);
    }
    (start.elapsed().as_secs_f64() * 1e6, bytes.len())
}

/// Returns the size of each message that goes over the wire often.
fn messages() -> Vec<(&'static str, usize)> {
    let id = 123 << 24 | 4567;
    let ticket = wire::Ticket { id, workspace: 900, hint: 300, class: 1, prefix: 7, waited: 0 };
    let grant = wire::Grant { ticket: id, upstream: 500, estimate: 300, loan: 0 };
    let lent = wire::Grant { loan: 1_800_000_000_000 << 20, ..grant };
    let progress = wire::Progress { id, cost: 300 };
    let done = wire::Done { id, cost: 300, pace: 400, ..Default::default() };
    let usage = wire::Usage { workspace: 900, served: 1 << 45, reserved: 300 << 16, waiting: 3 };
    let loan = wire::Loan { id: 1_800_000_000_000 << 20, upstream: 500 };
    let probe = probe();
    vec![
        ("ticket", ticket.encoded_len() + 2),
        ("grant", grant.encoded_len() + 2),
        ("grant of a borrowed slot", lent.encoded_len() + 2),
        ("progress", progress.encoded_len() + 2),
        ("done", done.encoded_len() + 2),
        ("usage of one workspace", usage.encoded_len() + 2),
        ("loan, one way", loan.encoded_len() + 2),
        ("probe with no news", probe.encoded_len()),
    ]
}

fn probe() -> wire::ProbeRequest {
    let entry = |idx: u8| {
        let host = HostId::from([10, 20, 30, 100 + idx]);
        let address = SocketAddr::new(host, 9090);
        HostListEntry { host, address, data_centre: "kengarags-hall".to_owned(), leaving: false }
    };
    let mut view = Membership::new(entry(1), 1_800_000_000_000);
    view.update_hosts(Duration::ZERO, &[entry(1), entry(2)]);
    wire::ProbeRequest {
        from: view.local_host().to_string(),
        gossip: view.take_gossip(Some(entry(2).host)),
        revision: 500,
        ..Default::default()
    }
}

/// Returns the process's resident memory in bytes.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}
