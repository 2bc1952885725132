//! Slots lent between owners.

use std::{net::IpAddr, time::Duration};

use portfield::{
    fleet::{Fleet, FleetSpec, hash_token},
    schedule::{Health, OwnerConfig, ShardKey, ShardOwner},
    wire,
};

const HOST: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 1));

/// Two data centres; only the first has an upstream, with one slot.
fn fleet() -> Fleet {
    let text = format!(
        "data_centres = ['a', 'b']\n[[service]]\nname = 's'\nkind = 'engine'\n\
         [[workspace]]\nname = 'w'\nshare = 1\ntoken_sha256 = '{}'\n\
         [[upstream]]\naddress = '127.0.0.1:1'\nservice = 's'\ndata_centre = 'a'\nslots = 1\n",
        hash_token("t")
    );
    FleetSpec::parse(&text).unwrap().assign_ids(&Fleet::default())
}

fn owners(fleet: &Fleet) -> [ShardOwner; 2] {
    let shards: Vec<ShardKey> = fleet.shards(fleet.services[0].id).collect();
    [0, 1].map(|idx| {
        let mut it =
            ShardOwner::new(Duration::ZERO, shards[idx], 1 + idx as u64, OwnerConfig::default());
        it.configure(Duration::ZERO, fleet);
        it.set_peers(shards.iter().copied());
        it
    })
}

/// Lets the owners talk for a while and returns the grants of the second.
fn talk(owners: &mut [ShardOwner; 2], from: u64, to: u64) -> Vec<wire::Grant> {
    let mut res = Vec::new();
    for millis in (from..to).step_by(10) {
        let now = Duration::from_millis(millis);
        for idx in [0, 1] {
            for frame in owners[idx].due_frames(now) {
                if frame.from != frame.to {
                    owners[1 - idx].handle_frame(now, &frame);
                }
                owners[idx].record_delivery(
                    now,
                    &frame,
                    portfield::schedule::DeliveryStatus::Confirmed,
                );
            }
            owners[idx].dispatch(now);
        }
        res.extend(owners[1].take_answers().into_values().flat_map(|it| it.grants));
    }
    res
}

/// The router that used a borrowed slot is gone: what it sent may still run, so the lender
/// must not grant the slot before a load report says that it is free.
#[test]
fn a_borrowed_slot_of_a_lost_router_comes_back_in_doubt() {
    let fleet = fleet();
    let (upstream, workspace) = (fleet.upstreams[0].id, fleet.workspaces[0].id);
    let ticket = |id| wire::Ticket { id, workspace, ..Default::default() };
    let mut owners = owners(&fleet);
    let report = |owner: &mut ShardOwner, at: u64, running: u32| {
        let health = Health::Up { running, leaving: false };
        owner.record_health(Duration::from_millis(at), upstream, health);
    };
    report(&mut owners[0], 0, 0);
    owners[1].register(Duration::ZERO, HOST, &ticket(1));
    let grants = talk(&mut owners, 10, 1500);
    assert_eq!((grants.len(), grants[0].upstream), (1, upstream));
    owners[1].remove_router(Duration::from_millis(1500), HOST);
    owners[0].register(Duration::from_millis(1500), HOST, &ticket(2));
    let granted = |owner: &mut ShardOwner| {
        owner.take_answers().values().map(|it| it.grants.len()).sum::<usize>()
    };
    talk(&mut owners, 1500, 2500);
    report(&mut owners[0], 2500, 1);
    talk(&mut owners, 2500, 3000);
    assert_eq!(granted(&mut owners[0]), 0);
    report(&mut owners[0], 3500, 0);
    talk(&mut owners, 3500, 3600);
    assert_eq!(granted(&mut owners[0]), 1);
}
