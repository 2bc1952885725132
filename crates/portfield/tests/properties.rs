//! Properties under random orders, repetitions and losses, with fixed seeds so that every run gives
//! the same result.

use std::{collections::HashMap, net::IpAddr, time::Duration};

use portfield::{
    fleet::{CurrentFleet, Fleet, FleetSpec, hash_token},
    member::{HostListEntry, Membership},
    schedule::{Counters, Health, OwnerConfig, ShardKey, ShardOwner, UNITS_PER_TOKEN},
    wire,
};
use quickcheck::{Arbitrary, Gen, Testable};

const SEED: u64 = 0x5eed;
const N_RUNS: usize = 300;

/// Checks a property with values from a fixed seed.
fn check_property<A: Arbitrary + std::fmt::Debug>(property: impl Fn(A) -> bool) {
    let mut values = Gen::from_size_and_seed(60, SEED);
    for _ in 0..N_RUNS {
        let value = A::arbitrary(&mut values);
        assert!(property(value.clone()), "{value:?}");
    }
    // The entry point of the library, to be sure that it would report a failure.
    assert!(false.result(&mut values).is_failure());
}

#[test]
fn the_revision_never_decreases() {
    check_property(|revisions: Vec<u8>| {
        let mut it = CurrentFleet::default();
        let mut highest = 0;
        revisions.iter().all(|revision| {
            let revision = u64::from(*revision);
            let rises = highest < revision;
            highest = highest.max(revision);
            let fleet = Fleet { revision, ..Fleet::default() };
            it.update(fleet) == rises && it.revision() == highest
        })
    });
}

const EAST: ShardKey = ShardKey { service: 1, data_centre: 2, part: 0 };

/// Frames of three incarnations of an owner arrive in any order, repeatedly, and the last frame of
/// each arrives. The counter must be the sum of what all incarnations served.
#[test]
fn counters_do_not_depend_on_the_order_of_frames() {
    check_property(|order: Vec<u8>| {
        let frame = |incarnation: u64, sequence: u64| wire::UsageSet {
            shard: Some(EAST.into()),
            incarnation,
            sequence,
            usage: vec![wire::Usage {
                workspace: 1,
                served: 10 * sequence * UNITS_PER_TOKEN,
                reserved: 5 * UNITS_PER_TOKEN,
                waiting: 1,
            }],
        };
        let mut it = Counters::default();
        for byte in order {
            let (incarnation, sequence) = (u64::from(byte % 3) + 1, u64::from(byte / 3 % 4) + 1);
            it.merge(EAST, &frame(incarnation, sequence));
        }
        for incarnation in 1..=3 {
            it.merge(EAST, &frame(incarnation, 5));
        }
        // Each incarnation served 50; only the reservation of the latest one still counts.
        it.total(1) == 155 * UNITS_PER_TOKEN
    });
}

/// An event of an owner, in a random order.
#[derive(Debug, Clone)]
enum Step {
    Register(u8),
    Cancel(u8),
    Finish(u8),
    Progress(u8, u16),
    RouterGone,
    Report,
    Down,
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(values: &mut Gen) -> Self {
        let it = u8::arbitrary(values) % 16;
        match u8::arbitrary(values) % 16 {
            0..6 => Self::Register(it),
            6 => Self::Cancel(it),
            7..10 => Self::Finish(it),
            10 => Self::Progress(it, u16::arbitrary(values)),
            11 => Self::RouterGone,
            12 | 13 => Self::Report,
            14 => Self::Down,
            _ => Self::Wait(it),
        }
    }
}

fn small_fleet() -> Fleet {
    let text = format!(
        "data_centres = ['a']\n[[service]]\nname = 's'\nkind = 'engine'\n\
         [[workspace]]\nname = 'w'\nshare = 3\ntoken_sha256 = '{}'\n\
         [[upstream]]\naddress = '127.0.0.1:1'\nservice = 's'\ndata_centre = 'a'\nslots = 3\n",
        hash_token("t")
    );
    FleetSpec::parse(&text).unwrap().assign_ids(&Fleet::default())
}

/// After any events, at most as many requests hold a grant as there are slots.
#[test]
fn an_owner_never_grants_more_than_its_slots() {
    let fleet = small_fleet();
    let shard = fleet.shard_of(&fleet.upstreams[0]);
    let upstream = fleet.upstreams[0].id;
    check_property(|steps: Vec<Step>| {
        let mut now = Duration::from_secs(1);
        let host = IpAddr::from([127, 0, 0, 1]);
        let mut owner = ShardOwner::new(now, shard, 1, OwnerConfig::default());
        owner.configure(now, &fleet);
        let mut granted: HashMap<u64, ()> = HashMap::new();
        for it in steps {
            match it {
                Step::Register(id) => {
                    let id = u64::from(id);
                    granted.remove(&id);
                    let workspace = fleet.workspaces[0].id;
                    owner.register(
                        now,
                        host,
                        &wire::Ticket { id, workspace, ..Default::default() },
                    );
                }
                Step::Cancel(id) => owner.cancel(host, u64::from(id)),
                Step::Finish(id) => {
                    granted.remove(&u64::from(id));
                    let done = wire::Done { id: id.into(), cost: 9, ..Default::default() };
                    owner.finish(now, host, &done);
                }
                Step::Progress(id, cost) => {
                    owner.record_progress(
                        host,
                        &wire::Progress { id: id.into(), cost: cost.into() },
                    );
                }
                // The router may still run its requests: they count until reports clear them.
                Step::RouterGone => owner.remove_router(now, host),
                Step::Report => {
                    let running = granted.len() as u32;
                    owner.record_health(now, upstream, Health::Up { running, leaving: false });
                }
                Step::Down => owner.record_health(now, upstream, Health::Down),
                Step::Wait(n) => now += Duration::from_millis(300 * u64::from(n)),
            }
            owner.dispatch(now);
            for answer in owner.take_answers().into_values() {
                granted.extend(answer.grants.iter().map(|it| (it.ticket, ())));
            }
            if 3 < granted.len() {
                return false;
            }
        }
        true
    });
}

#[test]
fn any_text_is_parsed_or_rejected_with_reasons() {
    check_property(|text: String| match FleetSpec::parse(&text) {
        Ok(_) => true,
        Err(err) => !err.diagnostics().is_empty() && !err.to_string().is_empty(),
    });
}

/// Random member lists from other hosts must not remove this host from its own view.
#[test]
fn no_gossip_removes_this_host() {
    check_property(|raw: Vec<(u8, u8, u8, bool)>| {
        let me = HostListEntry {
            host: IpAddr::from([127, 0, 0, 1]),
            address: ([127, 0, 0, 1], 9090).into(),
            data_centre: "a".to_owned(),
            leaving: false,
        };
        let mut view = Membership::new(me.clone(), 7);
        let members = raw.iter().map(|(host, state, incarnation, near)| wire::Member {
            host: if *host == 0 { "nonsense".to_owned() } else { format!("127.0.0.{}", host % 4) },
            address: "127.0.0.9:1".to_owned(),
            data_centre: if *near { "a" } else { "b" }.to_owned(),
            incarnation: (*incarnation).into(),
            state: (*state % 5).into(),
        });
        view.merge(
            Duration::ZERO,
            Some(IpAddr::from([127, 0, 0, 2])),
            &members.collect::<Vec<_>>(),
        );
        view.owner_candidates("a").any(|it| it == me.host)
    });
}

/// A new owner has no requests yet, but must not grant slots that the report of the upstream shows
/// as running.
#[test]
fn a_new_owner_counts_running_requests() {
    let fleet = small_fleet();
    let shard = fleet.shard_of(&fleet.upstreams[0]);
    let (upstream, workspace) = (fleet.upstreams[0].id, fleet.workspaces[0].id);
    let host = IpAddr::from([127, 0, 0, 1]);
    let mut owner = ShardOwner::new(Duration::ZERO, shard, 1, OwnerConfig::default());
    owner.configure(Duration::ZERO, &fleet);
    for id in 0..5 {
        owner.register(Duration::ZERO, host, &wire::Ticket { id, workspace, ..Default::default() });
    }
    let mut n_granted = |at: u64, running: u32| {
        let now = Duration::from_millis(at);
        owner.record_health(now, upstream, Health::Up { running, leaving: false });
        owner.dispatch(now);
        owner.take_answers().values().map(|it| it.grants.len()).sum::<usize>()
    };
    assert_eq!(n_granted(400, 3), 0);
    assert_eq!(n_granted(1400, 1), 2);
    assert_eq!(n_granted(2400, 2), 1);
}
