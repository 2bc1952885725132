//! Loans of slots between owners.

use std::{net::IpAddr, time::Duration};

use portfield::{
    fleet::{Fleet, FleetSpec, hash_token},
    schedule::{DeliveryStatus, Health, OwnerConfig, ShardKey, ShardOwner},
    wire,
};

const HOST: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 1));

/// Returns a configuration with two data centres, of which the first has an upstream with one slot.
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

/// Exchanges the due frames of the owners between two times in milliseconds; returns the grants of
/// the second owner.
fn exchange_frames(owners: &mut [ShardOwner; 2], from: u64, to: u64) -> Vec<wire::Grant> {
    let mut res = Vec::new();
    for millis in (from..to).step_by(10) {
        let now = Duration::from_millis(millis);
        for idx in [0, 1] {
            for frame in owners[idx].due_frames(now) {
                if frame.from != frame.to {
                    owners[1 - idx].handle_frame(now, &frame);
                }
                owners[idx].record_delivery(now, &frame, DeliveryStatus::Confirmed);
            }
            owners[idx].dispatch(now);
        }
        res.extend(owners[1].take_answers().into_values().flat_map(|it| it.grants));
    }
    res
}

/// When the router that used a borrowed slot is gone, its request may still run. The lender must not
/// grant the slot again before a load report of the upstream shows that it is free.
#[test]
fn borrowed_slot_of_a_lost_router_is_not_granted_while_its_request_may_run() {
    let fleet = fleet();
    let (upstream, workspace) = (fleet.upstreams[0].id, fleet.workspaces[0].id);
    let ticket = |id| wire::Ticket { id, workspace, ..Default::default() };
    let mut owners = owners(&fleet);
    let report_load = |owner: &mut ShardOwner, at: u64, running: u32| {
        let health = Health::Up { running, leaving: false };
        owner.record_health(Duration::from_millis(at), upstream, health);
    };
    report_load(&mut owners[0], 0, 0);
    owners[1].register(Duration::ZERO, HOST, &ticket(1));
    let grants = exchange_frames(&mut owners, 10, 1500);
    assert_eq!((grants.len(), grants[0].upstream), (1, upstream));
    owners[1].remove_router(Duration::from_millis(1500), HOST);
    owners[0].register(Duration::from_millis(1500), HOST, &ticket(2));
    let n_granted = |owner: &mut ShardOwner| {
        owner.take_answers().values().map(|it| it.grants.len()).sum::<usize>()
    };
    exchange_frames(&mut owners, 1500, 2500);
    report_load(&mut owners[0], 2500, 1);
    exchange_frames(&mut owners, 2500, 3000);
    assert_eq!(n_granted(&mut owners[0]), 0);
    report_load(&mut owners[0], 3500, 0);
    exchange_frames(&mut owners, 3500, 3600);
    assert_eq!(n_granted(&mut owners[0]), 1);
}
