//! Costs of a ticket, an exchange of usage and a probe, and how they grow with the number of
//! workspaces: the input of docs/design/capacity-first-design.md.

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
    case::{Case, Deployment, ExpectedOutcome, HintAccuracy, Load},
    sim,
};

/// Tickets that wait when the measured grants start.
const N_TICKETS: u64 = 10_000;
/// Upstreams of the measured shard.
const N_UPSTREAMS: u32 = 16;
/// Slots of each upstream.
const SLOTS_PER_UPSTREAM: u32 = 32;

/// Mean cost of one ticket at the owner of a shard.
#[derive(Debug, Clone, Copy)]
pub struct TicketCost {
    /// Time to queue, grant and end it, on a single thread.
    pub elapsed: Duration,
    /// Number of workspaces that the owner examined for the grant.
    pub examined: f64,
    /// Growth of the process's resident memory per waiting ticket, in bytes.
    pub memory: u64,
}

/// Builds a fleet with one service in one data centre.
pub fn build_fleet(n_workspaces: u32, n_upstreams: u32) -> Fleet {
    let mut spec = FleetSpec { data_centres: vec!["north".to_owned()], ..FleetSpec::default() };
    spec.services.push(ServiceSpec {
        name: "scribe".to_owned(),
        kind: Kind::Engine,
        repeatable: true,
        first_token_ms: 780,
        token_gap_ms: 43,
        wait_limit_ms: 60_000,
        shard_size: 16,
    });
    spec.workspaces = (0..n_workspaces)
        .map(|it| WorkspaceSpec {
            name: format!("workspace-{it}"),
            share: 1 + it % 8,
            token_sha256: hash_token(&it.to_string()),
            queue: 4096,
            queue_bytes: 1 << 24,
        })
        .collect();
    spec.upstreams = (0..n_upstreams)
        .map(|it| UpstreamSpec {
            address: SocketAddr::from(([127, 1, (it / 250) as u8, (it % 250) as u8], 8000)),
            service: "scribe".to_owned(),
            data_centre: "north".to_owned(),
            slots: SLOTS_PER_UPSTREAM,
            leaving: false,
            fenced: false,
            models: vec!["base".to_owned()],
        })
        .collect();
    spec.assign_ids(&Fleet::default())
}

/// Queues, grants and ends tickets of a number of workspaces and returns the mean cost of one.
pub fn measure_tickets(n_workspaces: u32) -> TicketCost {
    let fleet = build_fleet(n_workspaces, N_UPSTREAMS);
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
    let before = resident_bytes();
    let start = Instant::now();
    for id in 0..N_TICKETS {
        let workspace = fleet.workspaces[(id % u64::from(n_workspaces)) as usize].id;
        let ticket = wire::Ticket { id, workspace, hint: 100, ..Default::default() };
        owner.register(Duration::ZERO, host, &ticket);
    }
    let memory = resident_bytes().saturating_sub(before) / N_TICKETS;
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
    let elapsed = start.elapsed() / N_TICKETS as u32;
    TicketCost { elapsed, examined: owner.n_examined() as f64 / N_TICKETS as f64, memory }
}

/// Replays the fleet's target scale for the given virtual time and returns a report as text.
///
/// The case has 390 hosts, 784 engines with 36 slots, 7 data centres, 14 services, and 1,200
/// workspaces of which a tenth sends more than its share. The configuration changes once, half-way.
pub fn replay_at_scale(time: Duration) -> String {
    let case = target_scale_case(time);
    let arrivals = case.generate_trace();
    let start = Instant::now();
    let res = sim::replay_for(&case, &arrivals, time);
    let elapsed = start.elapsed().as_secs_f64();
    let (mean, max, without_shard) = res.control_rates;
    let metrics = &res.metrics;
    format!(
        "requests a second               {:.0}\n\
         hosts that own a shard          {} of 390\n\
         control, mean of all hosts      {mean:.0} bytes a second\n\
         control, hosts without a shard  {without_shard:.0} bytes a second\n\
         control, busiest host           {max:.0} bytes a second\n\
         messages                        {:.1} a second for each host\n\
         change in force everywhere      {}\n\
         utilisation                     {:.1} %\n\
         largest gap                     {:.0}, formula {:.0}\n\
         processor time of all decisions, of the fakes and of the measures: {:.2} % of a core a host\n",
        arrivals.len() as f64 / time.as_secs_f64(),
        res.n_owners,
        res.control_messages as f64 / res.time.as_secs_f64() / 390.0,
        res.config_delay
            .map_or("not in this time".to_owned(), |it| format!("{:.2} s", it.as_secs_f64())),
        metrics.utilisation * 100.0,
        metrics.gap,
        metrics.bound,
        elapsed / res.time.as_secs_f64() / 390.0 * 100.0,
    )
}

/// Builds the case of [`replay_at_scale`].
fn target_scale_case(time: Duration) -> Case {
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
            hint: HintAccuracy::Rough,
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
        outcome: ExpectedOutcome::default(),
    }
}

/// Measures all costs at several numbers of workspaces and returns them as Markdown tables.
pub fn cost_table() -> String {
    let mut res = String::from("| slope | at 16 | at 100 | at 400 | at 1,200 workspaces |\n");
    res += "| --- | ---: | ---: | ---: | ---: |\n";
    let sizes = [16, 100, 400, 1200];
    let costs = sizes.map(measure_tickets);
    push_row(
        &mut res,
        "one ticket queued, granted, ended (us)",
        costs.map(|it| format!("{:.2}", it.elapsed.as_secs_f64() * 1e6)),
    );
    push_row(
        &mut res,
        "workspaces looked at for one grant",
        costs.map(|it| format!("{:.2}", it.examined)),
    );
    push_row(
        &mut res,
        "owner's memory for one waiting ticket (bytes)",
        costs.map(|it| it.memory.to_string()),
    );
    let exchanges = sizes.map(measure_exchange);
    push_row(
        &mut res,
        "one full exchange of usage (us)",
        exchanges.map(|it| format!("{:.0}", it.0)),
    );
    push_row(&mut res, "one full exchange of usage (bytes)", exchanges.map(|it| it.1.to_string()));
    push_row(
        &mut res,
        "fleet configuration, JSON (bytes)",
        sizes.map(|it| {
            serde_json::to_string(&build_fleet(it, 790)).map_or(0, |it| it.len()).to_string()
        }),
    );
    res += "\n| message | bytes |\n| --- | ---: |\n";
    for (name, bytes) in message_sizes() {
        let _ = writeln!(res, "| {name} | {bytes} |");
    }
    res
}

/// Appends a row to a Markdown table.
fn push_row(res: &mut String, name: &str, values: [String; 4]) {
    let _ = writeln!(res, "| {name} | {} |", values.join(" | "));
}

/// Returns the microseconds to encode, decode and merge a full frame of usage, and its bytes.
fn measure_exchange(n_workspaces: u32) -> (f64, usize) {
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

/// Returns the encoded size in bytes of each frequent message.
///
/// Two bytes are added to messages that are fields of a frame: their tag and length.
fn message_sizes() -> Vec<(&'static str, usize)> {
    let id = 123 << 24 | 4567;
    let ticket = wire::Ticket { id, workspace: 900, hint: 300, class: 1, prefix: 7, waited: 0 };
    let grant = wire::Grant { ticket: id, upstream: 500, estimate: 300, loan: 0 };
    let loan_grant = wire::Grant { loan: 1_800_000_000_000 << 20, ..grant };
    let progress = wire::Progress { id, cost: 300 };
    let done = wire::Done { id, cost: 300, pace: 400, ..Default::default() };
    let usage = wire::Usage { workspace: 900, served: 1 << 45, reserved: 300 << 16, waiting: 3 };
    let loan = wire::Loan { id: 1_800_000_000_000 << 20, upstream: 500 };
    let probe = build_probe();
    vec![
        ("ticket", ticket.encoded_len() + 2),
        ("grant", grant.encoded_len() + 2),
        ("grant of a borrowed slot", loan_grant.encoded_len() + 2),
        ("progress", progress.encoded_len() + 2),
        ("done", done.encoded_len() + 2),
        ("usage of one workspace", usage.encoded_len() + 2),
        ("loan, one way", loan.encoded_len() + 2),
        ("probe with no news", probe.encoded_len()),
    ]
}

/// Builds a probe of a host whose membership has two hosts.
fn build_probe() -> wire::ProbeRequest {
    let entry = |idx: u8| {
        let host = HostId::from([10, 20, 30, 100 + idx]);
        let address = SocketAddr::new(host, 9090);
        HostListEntry { host, address, data_centre: "kengarags-hall".to_owned(), leaving: false }
    };
    let mut membership = Membership::new(entry(1), 1_800_000_000_000);
    membership.update_hosts(Duration::ZERO, &[entry(1), entry(2)]);
    wire::ProbeRequest {
        from: membership.local_host().to_string(),
        gossip: membership.take_gossip(Some(entry(2).host)),
        revision: 500,
        ..Default::default()
    }
}

/// Returns the process's resident memory in bytes, with pages of 4 KiB.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}
