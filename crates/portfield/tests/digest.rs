//! What hosts tell each other where there are many: a data centre's sum in place of each host's
//! own word.

use std::time::Duration;

use portfield::{
    balance::{
        Audience, Balancer, Candidate, Job, Listener, Part, Placed, Placement, Prompt, Stage,
    },
    catalog::EngineSpec,
    wire::Digest,
};

const NOW: Duration = Duration::from_secs(30);
const HERE: u32 = 1;
const THERE: u32 = 2;
const DIRECT: usize = 12;

fn job(shared: u64) -> Job {
    let parts = vec![Part { id: shared, tokens: 10_000 }, Part { id: shared << 32, tokens: 500 }];
    Job {
        workspace: 5,
        service: 1,
        prompt: Some(Prompt { input: 10_500, output: 100, parts }),
        objective: Duration::from_millis(800),
        waited: Duration::ZERO,
        stage: Stage::New,
        engine: Some(EngineSpec { slots: 64, memory: 500_000, event_tokens: 3 }),
    }
}

fn place(it: &mut Balancer, shared: u64) -> Placed {
    let engines: Vec<_> =
        (1..=3).map(|it| Candidate { upstream: it, slots: 64, near: true }).collect();
    match it.place(NOW, &job(shared), &engines) {
        Placement::Send(it) => it,
        Placement::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

fn own(it: &mut Balancer, host: u64, sequence: u64) -> Digest {
    let mut res =
        Digest { host, incarnation: host, sequence, data_centre: HERE, ..Digest::default() };
    it.report(NOW, &mut res);
    res
}

fn sum(it: &mut Balancer, host: u64, sequence: u64) -> Digest {
    let mut res = Digest {
        host: u64::from(HERE),
        incarnation: host,
        sequence,
        data_centre: HERE,
        ..Digest::default()
    };
    it.summarize(NOW, &mut res);
    res
}

fn balancer() -> Balancer {
    Balancer::new(Duration::from_secs(4))
}

/// Two hosts of a data centre send a request each; the first sums up.
fn two_busy_hosts() -> (Balancer, Balancer, Placed) {
    let (mut first, mut second) = (balancer(), balancer());
    sum(&mut first, 10, 1);
    let placed = place(&mut second, 7);
    second.start(NOW, &job(7), &placed);
    first.merge(NOW, &own(&mut second, 11, 2));
    first.start(NOW, &job(7), &placed);
    (first, second, placed)
}

#[test]
fn a_sum_tells_what_all_hosts_of_a_data_centre_did() {
    let (mut first, _, placed) = two_busy_hosts();
    let digest = sum(&mut first, 10, 2);
    assert_eq!(digest.n_summed, 2);
    let load = digest.loads.iter().find(|it| it.upstream == placed.upstream).unwrap();
    assert_eq!((load.running, load.pending), (2, 21_000));
    assert_eq!((digest.usage.len(), digest.usage[0].taken), (1, 2 * 10_700));
    let mut far = balancer();
    far.merge(NOW, &digest);
    let seen = place(&mut far, 7);
    assert_eq!((seen.upstream, seen.ahead, seen.unread), (placed.upstream, 21_000, 500));
    assert_eq!(far.n_hosts(NOW), 3);
}

#[test]
fn a_sum_that_comes_twice_or_from_another_host_replaces_the_last_one() {
    let (mut first, mut second, placed) = two_busy_hosts();
    let mut far = balancer();
    let digest = sum(&mut first, 10, 2);
    far.merge(NOW, &digest);
    far.merge(NOW, &digest);
    assert_eq!(place(&mut far, 7).ahead, 21_000);
    // The second host takes over and knows of its own request only.
    far.merge(NOW, &sum(&mut second, 11, 9));
    assert_eq!(place(&mut far, 7).ahead, 10_500);
    let silent = NOW + Duration::from_secs(2);
    let mut nothing = Digest::default();
    far.report(silent, &mut nothing);
    assert_eq!((place(&mut far, 7).ahead, far.n_hosts(silent)), (0, 1));
    assert_eq!(place(&mut far, 7).upstream, placed.upstream);
}

#[test]
fn few_hosts_tell_all_and_many_their_data_centre() {
    let others = |n: u64| -> Vec<Listener> {
        let place = |host| if host % 2 == 0 { HERE } else { THERE };
        let listener = |host| Listener { host, data_centre: Some(place(host)), heard: NOW };
        (1..=n).map(listener).collect()
    };
    let n_told = |n: u64, sequence: u64| {
        let others = others(n);
        let audience = Audience::new(NOW, HERE, DIRECT, &others);
        others.iter().filter(|it| audience.is_told(it, sequence)).count()
    };
    assert_eq!(n_told(11, 1), 11);
    assert_eq!((n_told(60, 1), n_told(60, 10)), (30, 60));
    let many = others(60);
    let audience = Audience::new(NOW, HERE, DIRECT, &many);
    assert!(audience.period() < Duration::from_millis(130));
    let there = |n_summed| Digest { data_centre: THERE, n_summed, ..Digest::default() };
    assert!(audience.counts(&there(30)) && !audience.counts(&there(0)));
    let few = Audience::new(NOW, HERE, DIRECT, &many[..11]);
    assert!(!few.counts(&there(30)) && few.counts(&there(0)));
}

#[test]
fn one_host_of_a_data_centre_sums_it_up_and_the_next_takes_over() {
    let heard = |n_silent: u64| -> Vec<Listener> {
        let listener = |host: u64| Listener {
            host,
            data_centre: Some(HERE),
            heard: if host <= n_silent { NOW - Duration::from_secs(3) } else { NOW },
        };
        (1..=30).map(listener).collect()
    };
    let leaders = |n_silent: u64| -> Vec<u64> {
        let leads = |own: &u64| {
            let others: Vec<_> = heard(n_silent).into_iter().filter(|it| it.host != *own).collect();
            Audience::new(NOW, HERE, DIRECT, &others).leads(*own)
        };
        (n_silent + 1..=30).filter(leads).collect()
    };
    assert_eq!((leaders(0), leaders(2)), (vec![1], vec![3]));
}
