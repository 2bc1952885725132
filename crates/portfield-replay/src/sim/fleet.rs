//! Fleet configuration of a case.

use portfield::fleet::hash_token;
use portfield::fleet::{Fleet, FleetSpec, Kind, ServiceSpec, UpstreamSpec, WorkspaceSpec};

use crate::case::Case;

/// Wait limit of every service, in milliseconds.
const WAIT_LIMIT_MS: u64 = 100_000;

/// Returns the name of a data centre, given by index.
pub(super) fn data_centre_name(idx: usize) -> String {
    format!("centre-{idx}")
}

/// Builds the fleet of a case; every service has engines of its own.
pub(super) fn build_fleet(case: &Case) -> Fleet {
    let deployment = &case.deployment;
    let mut spec = FleetSpec {
        data_centres: (0..deployment.hosts.len()).map(data_centre_name).collect(),
        ..FleetSpec::default()
    };
    for it in &case.load {
        if !spec.services.iter().any(|old| old.name == it.service) {
            spec.services.push(service_spec(&it.service, deployment.token_us));
        }
        if !spec.workspaces.iter().any(|old| old.name == it.workspace) {
            spec.workspaces.push(WorkspaceSpec {
                name: it.workspace.clone(),
                share: it.share,
                token_sha256: hash_token(&it.workspace),
                queue: 4096,
                queue_bytes: 1 << 30,
            });
        }
    }
    for (number, it) in spec.services.iter().enumerate() {
        for (data_centre, n) in deployment.engines.iter().enumerate() {
            for idx in 0..*n {
                let ip = [127, number as u8 + 1, data_centre as u8 + 1, idx as u8 + 1];
                spec.upstreams.push(UpstreamSpec {
                    address: (ip, 8000).into(),
                    service: it.name.clone(),
                    data_centre: data_centre_name(data_centre),
                    slots: deployment.slots,
                    leaving: false,
                    fenced: false,
                    models: Vec::new(),
                });
            }
        }
    }
    spec.assign_ids(&Fleet::default())
}

fn service_spec(name: &str, token_us: u64) -> ServiceSpec {
    ServiceSpec {
        name: name.to_owned(),
        kind: Kind::Engine,
        repeatable: true,
        first_token_ms: 780,
        token_gap_ms: token_us * 2 / 1000,
        wait_limit_ms: WAIT_LIMIT_MS,
        shard_size: 16,
    }
}
