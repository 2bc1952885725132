//! Overload of hosts that are short of CPU time: how much of it they still serve.

mod event_queue;
mod overload_simulation;

use overload_simulation::{Outcomes, Workload, simulate};

/// Requests a second that a host relays if none is refused.
const CAPACITY: f64 = 120.0;

/// Returns the requests served per second, once the platform has had time to check the hosts.
fn served_per_second(rate: f64, seed: u64) -> f64 {
    let Outcomes { served, .. } = simulate(Workload { rate, n_hosts: 60, seconds: 10 }, seed);
    let steady = &served[3..9];
    steady.iter().sum::<u32>() as f64 / steady.len() as f64
}

/// A workspace asked for 44 million tokens in six seconds, was refused in each of them, and got 16;
/// another got 54. Nearly all hosts were idle.
///
/// All callers of the workspace were sent to one host with an eighth of a core, which relays some
/// 150 requests a second, and asked for ten times as many. The host fell behind, closed every
/// connection after its answer and told refused callers to retry after 50 ms. They retried on new
/// connections to the same host until the platform had checked it twice. Out of rotation, it had no
/// connections left and served nothing, while the next host was overloaded.
///
/// Cause: a host short of CPU time also closed the connections that it could serve, and had the
/// others retry at once. Such hosts accepted 2,050 to 3,030 connections a second, refused 1,400 to
/// 2,000 requests and placed 2 to 50; out of rotation they had 3 to 13 requests left and placed
/// none.
#[test]
fn an_overloaded_host_keeps_its_normal_throughput() {
    for seed in 1..=3 {
        let baseline = served_per_second(CAPACITY, seed);
        for times in [2.0, 5.0, 13.0] {
            let served_rate = served_per_second(CAPACITY * times, seed);
            let text = format!(
                "seed {seed}: {served_rate:.0}/s served at {times} times the capacity, {baseline:.0}/s at capacity"
            );
            assert!(0.9 * baseline <= served_rate, "{text}");
        }
    }
}

/// The load is four times what a host can serve. Three hosts are taken out of rotation one after
/// another; each keeps serving its open connections and is no longer overloaded, since it gets no
/// new ones.
///
/// Cause: a host that was not overloaded for 1.5 s reported ready again. The platform sent it the
/// whole load once more, and the other hosts lost the part that they had served.
#[test]
fn hosts_filled_by_an_overload_stay_out_of_rotation() {
    for seed in 1..=3 {
        let rate = 600.0;
        let Outcomes { served, .. } = simulate(Workload { rate, n_hosts: 60, seconds: 10 }, seed);
        // Users call it unfair to be served less than half of what they ask for.
        let least = served[6..].iter().min().expect("four seconds");
        assert!(rate / 2.0 <= f64::from(*least), "seed {seed}: {served:?}");
    }
}
