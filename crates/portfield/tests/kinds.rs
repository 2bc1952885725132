//! Kinds of requests, and sizes within a kind, beside each other.

use std::time::Duration;

use portfield::{
    balance::{
        Assignment, Balancer, BalancerOptions, Candidate, Completion, Placement, PlacementRequest,
        Refusal, Switch,
    },
    catalog::EngineSpec,
    upstream::{Prompt, PromptPart},
    wire::{Digest, UpstreamLoad, WorkspaceUsage},
};

const SLOTS: u32 = 16;
const N_ENGINES: u32 = 4;
const OBJECTIVE: Duration = Duration::from_millis(800);
const NOW: Duration = Duration::from_secs(5);

fn candidates() -> Vec<Candidate> {
    (1..=N_ENGINES).map(|it| Candidate { upstream: it, slots: SLOTS, is_local: true }).collect()
}

fn request(workspace: u32, route: u32, tokens: u32) -> PlacementRequest {
    PlacementRequest {
        workspace,
        service: 1,
        route,
        prompt: Some(Prompt {
            input_tokens: tokens,
            max_output_tokens: 0,
            parts: vec![PromptPart { id: u64::from(tokens), tokens }],
            ..Prompt::default()
        }),
        objective: OBJECTIVE,
        engine: Some(EngineSpec {
            slots: SLOTS,
            kv_capacity: 400_000,
            event_tokens: 5,
            ..EngineSpec::default()
        }),
        ..PlacementRequest::default()
    }
}

/// A digest that tells of engines with `pending` tokens each, and of a workspace 1 within its share
/// beside a workspace 2 that asks for three times as much.
fn digest(sequence: u64, pending: u32) -> Digest {
    let load = |upstream| UpstreamLoad { upstream, running: 6, pending, ..UpstreamLoad::default() };
    let usage = vec![
        WorkspaceUsage { workspace: 1, asked: 1_000_000, taken: 880_000 },
        WorkspaceUsage { workspace: 2, asked: 3_000_000, taken: 1_000_000 },
    ];
    Digest {
        host: 2,
        incarnation: 1,
        sequence,
        loads: (1..=N_ENGINES).map(load).collect(),
        usage,
        ..Digest::default()
    }
}

fn host(capacity_shares: Switch, pending: u32) -> Balancer {
    let mut res = Balancer::new(Duration::from_secs(4));
    res.set_options(BalancerOptions { capacity_shares, ..BalancerOptions::default() });
    res.merge_digest(NOW, &digest(1, pending));
    res
}

/// Small prompts of a kind kept the queues at the wait that they allow, with which a large one of
/// the same kind can only be late: the largest tenth was refused more often than the rest.
#[test]
fn small_prompts_leave_room_for_the_large_ones_of_their_kind() {
    // 500 ms of unread prompts; a large prompt takes 460 ms by itself, a small one 85 ms.
    let place = |switch, n_large| {
        let mut host = host(switch, 20_000);
        for _ in 0..n_large {
            host.place(NOW, &request(1, 1, 16_000), &candidates());
        }
        host.place(NOW, &request(1, 1, 1_000), &candidates())
    };
    assert!(matches!(place(Switch::Off, 50), Placement::Send(_)));
    assert!(matches!(place(Switch::On, 0), Placement::Send(_)));
    assert!(matches!(place(Switch::On, 50), Placement::Refuse { .. }));
}

/// A burst of one kind used the whole share of its workspace, and the other kinds were refused with
/// it, whether the burst was of small requests or of large ones.
#[test]
fn a_burst_of_one_kind_leaves_the_share_to_the_others() {
    for (burst, other) in [(1_000, 4_000), (4_000, 1_000)] {
        let place = |switch, route, tokens| {
            let mut host = host(switch, 40_000);
            for _ in 0..20_000 / other {
                let it = host.place(NOW, &request(1, 2, other), &candidates());
                assert!(matches!(it, Placement::Refuse { .. }), "{it:?}");
            }
            let assignment = Assignment {
                upstream: 1,
                estimate: Duration::from_millis(100),
                bias: Duration::ZERO,
                uncached_tokens: burst,
                queued_tokens: 0,
                share_ratio: 0.0,
                fetch: None,
            };
            for _ in 0..20_000 / burst {
                let run = host.record_start(NOW, &request(1, 1, burst), &assignment);
                host.record_end(NOW, run, Completion::Cancelled);
            }
            host.merge_digest(NOW, &digest(2, 16_000));
            host.place(NOW, &request(1, route, tokens), &candidates())
        };
        assert!(matches!(place(Switch::Off, 1, burst), Placement::Send(_)));
        let it = place(Switch::On, 1, burst);
        assert!(matches!(it, Placement::Refuse { reason: Refusal::Share, .. }), "{it:?}");
        let it = place(Switch::On, 2, other);
        assert!(matches!(it, Placement::Send(_)), "{it:?}");
    }
}
