//! The configuration of a case.

use portfield::fleet::hash_token;
use portfield::fleet::{Fleet, FleetSpec, Kind, ServiceSpec, UpstreamSpec, WorkspaceSpec};

use crate::case::Case;

/// Longest wait of a request, in milliseconds.
const WAIT_LIMIT: u64 = 100_000;

/// Returns the name of a data centre.
pub(super) fn centre_name(idx: usize) -> String {
    format!("centre-{idx}")
}

/// Builds the configuration of a case: every service has its own engines.
pub(super) fn build(case: &Case) -> Fleet {
    let deployment = &case.deployment;
    let mut intent = FleetSpec {
        data_centres: (0..deployment.hosts.len()).map(centre_name).collect(),
        ..FleetSpec::default()
    };
    for it in &case.load {
        if !intent.services.iter().any(|old| old.name == it.service) {
            intent.services.push(service(&it.service, deployment.token_us));
        }
        if !intent.workspaces.iter().any(|old| old.name == it.workspace) {
            intent.workspaces.push(WorkspaceSpec {
                name: it.workspace.clone(),
                share: it.share,
                token_sha256: hash_token(&it.workspace),
                queue: 4096,
                queue_bytes: 1 << 30,
            });
        }
    }
    for (number, it) in intent.services.iter().enumerate() {
        for (centre, n) in deployment.engines.iter().enumerate() {
            for idx in 0..*n {
                let ip = [127, number as u8 + 1, centre as u8 + 1, idx as u8 + 1];
                intent.upstreams.push(UpstreamSpec {
                    address: (ip, 8000).into(),
                    service: it.name.clone(),
                    data_centre: centre_name(centre),
                    slots: deployment.slots,
                    leaving: false,
                    fenced: false,
                    models: Vec::new(),
                });
            }
        }
    }
    intent.assign_ids(&Fleet::default())
}

fn service(name: &str, token_us: u64) -> ServiceSpec {
    ServiceSpec {
        name: name.to_owned(),
        kind: Kind::Engine,
        repeatable: true,
        first_token_ms: 780,
        token_gap_ms: token_us * 2 / 1000,
        wait_limit_ms: WAIT_LIMIT,
        shard_size: 16,
    }
}
