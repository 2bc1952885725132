//! Where streams began: what hosts keep, conclude, tell each other and ask.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use portfield::{
    gossip::{GossipConfig, PeerTable, StreamHolder, host_hash},
    streams::{
        OriginAnswer, OriginQuery, OriginSource, QueryOutcome, StreamKey, StreamKnowledge,
        StreamOrigin, StreamOrigins, VersionHistory, VersionSpread,
    },
    wire::Digest,
};

const SECOND: Duration = Duration::from_secs(1);
/// Time for which a stream may be resumed.
const WINDOW: Duration = Duration::from_secs(24);

const V1: StreamOrigin = StreamOrigin { service: 1, version: 10 };
const V2: StreamOrigin = StreamOrigin { service: 1, version: 11 };

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a workspace that begins streams in a flood and makes a host forget those of others.
#[test]
fn flood_of_a_workspace_displaces_only_its_own_streams() {
    let mut streams = StreamOrigins::new(1_000);
    let key = |workspace: u32, n: u64| StreamKey { workspace, attempt: n };
    for n in 0..100 {
        streams.record(SECOND, key(1, n), V1, OriginSource::Own, WINDOW);
    }
    for n in 0..100_000 {
        streams.record(SECOND, key(2, n), V1, OriginSource::Told, WINDOW);
    }
    assert_eq!(streams.len(), 1_000);
    assert_eq!(streams.n_evicted(), 99_100);
    let is_known = |it: StreamKey| streams.get(SECOND, it) != StreamKnowledge::Unknown;
    assert!((0..100).all(|n| is_known(key(1, n))));
    assert!(is_known(key(2, 99_999)) && !is_known(key(2, 0)));
}

/// Guards against streams that are kept for ever once they were recorded.
#[test]
fn expired_streams_are_removed() {
    let mut streams = StreamOrigins::new(1_000);
    for n in 0..500 {
        let (now, key) = (SECOND * n, StreamKey { workspace: 1, attempt: u64::from(n) });
        streams.record(now, key, V1, OriginSource::Own, WINDOW);
    }
    assert!(streams.len() <= 25, "{} streams of 24 s", streams.len());
    assert_eq!(streams.n_evicted(), 0);
}

/// Guards against an attempt id that is used twice: either stream may be the one that a caller resumes.
#[test]
fn two_origins_of_one_stream_are_no_knowledge() {
    let mut streams = StreamOrigins::new(10);
    let key = StreamKey::new(1, "r1");
    streams.record(SECOND, key, V1, OriginSource::Own, WINDOW);
    streams.record(SECOND, key, V1, OriginSource::Told, WINDOW);
    assert!(matches!(streams.get(SECOND, key), StreamKnowledge::Known(it) if it.origin == V1));
    streams.record(SECOND, key, V2, OriginSource::Told, WINDOW);
    streams.record(SECOND, key, V1, OriginSource::Told, WINDOW);
    assert_eq!(streams.get(SECOND, key), StreamKnowledge::Conflicting);
    let other_workspace = StreamKey::new(2, "r1");
    assert_eq!(streams.get(SECOND, other_workspace), StreamKnowledge::Unknown);
}

/// Returns a history whose list was current from second 1 to `until`, except for the seconds in `gaps`.
fn history(until: u32, gaps: &[u32]) -> VersionHistory {
    let mut res = VersionHistory::default();
    for tick in 10..=until * 10 {
        res.observe(millis(100) * tick, !gaps.contains(&(tick / 10)));
    }
    res
}

/// Guards against the conclusion that a service had one version from a list that may have missed another.
#[test]
fn list_that_was_not_current_all_the_while_proves_nothing() {
    let spread = |it: &VersionHistory, now: u32| it.spread(SECOND * now, 1, [10], WINDOW);
    let (one, one_seen) = (VersionSpread::One(10), VersionSpread::OneSeen);
    assert_eq!(spread(&history(40, &[]), 40), one);
    assert_eq!(spread(&history(20, &[]), 20), one_seen, "started 19 s ago");
    assert_eq!(spread(&history(40, &[30]), 40), one_seen, "outdated 10 s ago");
    assert_eq!(spread(&history(60, &[30]), 60), one, "outdated 29 s ago");
    assert_eq!(spread(&history(40, &[]), 45), one_seen, "not observed since");
    let mut resumed = history(40, &[]);
    resumed.observe(SECOND * 45, true);
    assert_eq!(spread(&resumed, 45), one_seen, "nothing was observed for five seconds");
}

/// Guards against a version whose last upstream left while its streams can still be resumed.
#[test]
fn version_that_has_left_counts_for_as_long_as_a_stream() {
    let mut history = history(100, &[]);
    history.record_listed(SECOND * 80, 1, 11);
    let spread = |service: u32, current: &[u64], window: u32| {
        history.spread(SECOND * 100, service, current.iter().copied(), SECOND * window)
    };
    assert_eq!(spread(1, &[10], 24), VersionSpread::Several);
    assert_eq!(spread(1, &[10], 15), VersionSpread::One(10));
    assert_eq!(spread(2, &[10], 24), VersionSpread::One(10), "another service");
    assert_eq!(spread(1, &[10, 11], 1), VersionSpread::Several, "both are listed");
}

/// Guards against a guess from answers that contradict each other, and against a wait for hosts that are gone.
#[test]
fn answers_of_other_hosts_decide() {
    let outcome = |own: Option<u64>, answers: &[OriginAnswer], at: u64| {
        let mut query = OriginQuery::new(SECOND, vec![21, 22, 23], own);
        (21..).zip(answers).for_each(|(from, it)| query.record(from, *it));
        query.outcome(SECOND + millis(at))
    };
    use OriginAnswer::{Conflicting, OnlyVersion, Origin, Unknown};
    let (v1, v2) = (Origin(V1), Origin(V2));
    assert_eq!(outcome(None, &[Unknown, v1], 1), QueryOutcome::Origin(V1));
    assert_eq!(outcome(Some(11), &[v1], 1), QueryOutcome::Origin(V1), "a record goes first");
    assert_eq!(outcome(None, &[v1, v2], 1), QueryOutcome::Unknown);
    assert_eq!(outcome(None, &[v1, Conflicting], 1), QueryOutcome::Unknown);
    assert_eq!(outcome(None, &[Unknown, Unknown], 100), QueryOutcome::Pending);
    assert_eq!(outcome(None, &[Unknown, Unknown], 300), QueryOutcome::Unknown);
    assert_eq!(outcome(None, &[Unknown; 3], 30), QueryOutcome::Unknown);
    assert_eq!(outcome(Some(10), &[Unknown; 3], 1), QueryOutcome::OnlyVersion(10));
    assert_eq!(outcome(Some(10), &[], 60), QueryOutcome::OnlyVersion(10));
    assert_eq!(outcome(None, &[OnlyVersion(10)], 300), QueryOutcome::OnlyVersion(10));
    assert_eq!(outcome(Some(11), &[OnlyVersion(10)], 300), QueryOutcome::Unknown);
    assert_eq!(outcome(None, &[OnlyVersion(10), OnlyVersion(11)], 300), QueryOutcome::Unknown);
}

/// Hosts of three data centres and the streams that each knows.
struct Fleet {
    hosts: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, PeerTable>,
    known: BTreeMap<SocketAddr, BTreeSet<StreamKey>>,
    dead: BTreeSet<SocketAddr>,
    n_messages: usize,
}

/// Time at which all hosts have heard each other.
const NOW: Duration = Duration::from_secs(30);
const N_CENTRES: usize = 3;
/// Hosts of another data centre that a host of a large fleet knows.
const N_INTRODUCED: usize = 8;
const DIRECT_LIMIT: usize = 12;

impl Fleet {
    fn new(n_hosts: usize) -> Self {
        let address = |n: usize| -> SocketAddr {
            format!("10.{}.{}.{}:7400", n % N_CENTRES, n / 200, n % 200).parse().unwrap()
        };
        let hosts: Vec<SocketAddr> = (0..n_hosts).map(address).collect();
        let is_flat = n_hosts <= DIRECT_LIMIT;
        let table = |own: usize| {
            let config = GossipConfig {
                host: host_hash(hosts[own]),
                data_centre: (own % N_CENTRES) as u32,
                direct_limit: DIRECT_LIMIT,
            };
            let mut res = PeerTable::new(config, std::iter::empty());
            let mut rng = fastrand::Rng::with_seed(own as u64);
            let mut others: Vec<usize> = (0..n_hosts).filter(|it| *it != own).collect();
            rng.shuffle(&mut others);
            let mut n_remote = [0; N_CENTRES];
            for it in others {
                let data_centre = it % N_CENTRES;
                let is_heard = is_flat || data_centre == own % N_CENTRES;
                if is_heard {
                    let digest = Digest {
                        host: host_hash(hosts[it]),
                        data_centre: data_centre as u32,
                        ..Digest::default()
                    };
                    res.record_digest(NOW, hosts[it], &digest);
                } else if n_remote[data_centre] < N_INTRODUCED {
                    n_remote[data_centre] += 1;
                    res.add_host(hosts[it], Some(data_centre as u32));
                }
            }
            res.refresh_topology(NOW);
            res
        };
        let peers = (0..n_hosts).map(|it| (hosts[it], table(it))).collect();
        let known = hosts.iter().map(|it| (*it, BTreeSet::new())).collect();
        Self { hosts, peers, known, dead: BTreeSet::new(), n_messages: 0 }
    }

    /// Delivers a message to holders and those that they pass it on to; returns the hosts that got it.
    fn deliver(&mut self, key: StreamKey, holders: Vec<StreamHolder>) -> Vec<SocketAddr> {
        let mut res = Vec::new();
        for it in holders {
            self.n_messages += 1;
            if self.dead.contains(&it.address) {
                continue;
            }
            res.push(it.address);
            if it.relays {
                let relayed = self.peers[&it.address].relayed_holders(NOW, key);
                res.extend(self.deliver(key, relayed));
            }
        }
        res
    }

    fn begin(&mut self, host: SocketAddr, key: StreamKey) {
        self.known.get_mut(&host).unwrap().insert(key);
        let holders = self.peers[&host].told_holders(NOW, key);
        for it in self.deliver(key, holders) {
            self.known.get_mut(&it).unwrap().insert(key);
        }
    }

    /// Returns whether a host knows a stream, or learns of it when it asks.
    fn learns(&mut self, host: SocketAddr, key: StreamKey) -> bool {
        let holders = self.peers[&host].asked_holders(NOW, key);
        let asked = self.deliver(key, holders);
        self.known[&host].contains(&key) || asked.iter().any(|it| self.known[it].contains(&key))
    }
}

/// Hosts that end at the same moment as the one that began a stream, unknown to the others.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// This part of all hosts.
    Part(f64),
    /// Its data centre.
    Centre,
}

/// Returns the part of the streams that a random other host learns of, and messages per stream.
fn share_learned(n_hosts: usize, loss: Loss) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut n_learned, mut n_messages) = (0, 0);
    let n_streams = 400;
    let mut fleet = Fleet::new(n_hosts);
    for _ in 0..n_streams {
        let key = StreamKey { workspace: 1, attempt: rng.u64(..) };
        let index = rng.usize(..n_hosts);
        let origin = fleet.hosts[index];
        fleet.dead.clear();
        fleet.n_messages = 0;
        fleet.begin(origin, key);
        n_messages += fleet.n_messages;
        let mut dead = vec![index];
        match loss {
            Loss::Part(part) => {
                let n_dead = (n_hosts as f64 * part).round() as usize;
                let mut others: Vec<usize> = (0..n_hosts).filter(|it| *it != index).collect();
                rng.shuffle(&mut others);
                dead.extend(others.into_iter().take(n_dead.saturating_sub(1)));
            }
            Loss::Centre => {
                dead.extend((0..n_hosts).filter(|it| it % N_CENTRES == index % N_CENTRES));
            }
        }
        fleet.dead = dead.into_iter().map(|it| fleet.hosts[it]).collect();
        let alive: Vec<SocketAddr> =
            fleet.hosts.iter().copied().filter(|it| !fleet.dead.contains(it)).collect();
        let asker = alive[rng.usize(..alive.len())];
        n_learned += usize::from(fleet.learns(asker, key));
    }
    (n_learned as f64 / n_streams as f64, n_messages as f64 / n_streams as f64)
}

/// Guards against what only the host that began a stream knows: it is asked for mostly because that host ended.
#[test]
fn hosts_learn_where_streams_of_lost_hosts_began_at_any_size() {
    for n_hosts in [9, 64, 300] {
        for loss in [Loss::Part(0.0), Loss::Part(0.35), Loss::Centre] {
            let (learned, n_messages) = share_learned(n_hosts, loss);
            assert!(0.95 <= learned, "{n_hosts} hosts, {loss:?}: {learned} learned");
            assert!(n_messages <= 8.0, "{n_hosts} hosts: {n_messages} messages for a stream");
        }
    }
}

/// Guards against news of a stream that go to a data centre which was lost before: the stream would be unknown once its
/// own data centre is lost too.
#[test]
fn streams_are_told_to_a_data_centre_that_is_heard() {
    let mut fleet = Fleet::new(9);
    let later = NOW + SECOND * 5;
    let own = fleet.hosts[0];
    let centre =
        |it: &SocketAddr| fleet.hosts.iter().position(|host| host == it).unwrap() % N_CENTRES;
    let heard: Vec<SocketAddr> = fleet.hosts.iter().filter(|it| centre(it) != 2).copied().collect();
    let told = |peers: &PeerTable, n: u64| -> BTreeSet<usize> {
        let key = StreamKey { workspace: 1, attempt: n };
        peers.told_holders(later, key).iter().map(|it| centre(&it.address)).collect()
    };
    let peers = fleet.peers.get_mut(&own).unwrap();
    for it in heard.iter().filter(|it| **it != own) {
        let data_centre = centre(it) as u32;
        let digest = Digest { host: host_hash(*it), data_centre, ..Digest::default() };
        peers.record_digest(later, *it, &digest);
    }
    assert!((0..50).all(|n| told(peers, n) == BTreeSet::from([0, 1])));
}
