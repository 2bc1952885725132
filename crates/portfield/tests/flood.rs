//! A flood at hosts that are short of processor time: what is served of it.

mod agenda;
mod overload_simulation;

use overload_simulation::{Outcomes, Workload, simulate};

/// What a host of the fleet passes on when nothing is refused, in requests a second.
const BEARABLE: f64 = 120.0;

/// Returns what is served a second, once the platform has had time to look at the hosts.
fn served(rate: f64, seed: u64) -> f64 {
    let Outcomes { served, .. } = simulate(Workload { rate, n_hosts: 60, seconds: 10 }, seed);
    let steady = &served[3..9];
    steady.iter().sum::<u32>() as f64 / steady.len() as f64
}

/// What users saw: a workspace asked for 44 million tokens in six seconds, was refused in every one of them, and got 16;
/// another one got 54. Nearly all hosts were idle.
///
/// Order of events: all of the workspace's callers come to one host with an eighth of a core, which passes on some
/// 150 requests a second. They ask for ten times as many. The host falls behind, closes every connection after its
/// answer, and tells who is refused to come back in 50 ms. Until the platform has asked twice, they come back to it, on new
/// connections. Once it is out of rotation it has no connection left and serves nothing, while the next host is flooded.
///
/// Cause: a host short of processor time closed also the connections that it could bear, and had those that it could not
/// bear come back to it at once. Evidence: such hosts accepted 2,050 to 3,030 connections a second, refused 1,400 to
/// 2,000 requests and placed 2 to 50; out of rotation they had 3 to 13 requests left and placed none.
#[test]
fn a_flood_is_served_no_less_than_what_one_host_bears() {
    for seed in 1..=3 {
        let bearable = served(BEARABLE, seed);
        for times in [2.0, 5.0, 13.0] {
            let got = served(BEARABLE * times, seed);
            let text = format!(
                "seed {seed}: {got:.0} a second of {times} times the rate, {bearable:.0} of it"
            );
            assert!(0.9 * bearable <= got, "{text}");
        }
    }
}

/// Order of events: a flood of four times what a host bears. Three hosts after each other are taken out of rotation and
/// serve on the connections that they have kept; each is calm, since nobody new comes.
///
/// Cause: a host that was calm for 1.5 s was ready again. The platform sent it the whole flood once more, and the hosts
/// beside it lost the part that they had served.
#[test]
fn hosts_that_a_flood_just_fills_take_nobody_new() {
    for seed in 1..=3 {
        let rate = 600.0;
        let Outcomes { served, .. } = simulate(Workload { rate, n_hosts: 60, seconds: 10 }, seed);
        // Users call less than a half unfair.
        let least = served[6..].iter().min().expect("four seconds");
        assert!(rate / 2.0 <= f64::from(*least), "seed {seed}: {served:?}");
    }
}
