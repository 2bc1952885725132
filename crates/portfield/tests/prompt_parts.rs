//! Parts of prompts that crash the upstreams that run them: when requests with one are refused, and when not.

use std::{collections::HashSet, time::Duration};

use portfield::{
    quarantine::{CrashedUpstream, Quarantine, QuarantineEntry, RequestKeys, SuspectKey, Verdict},
    upstream::{Prompt, PromptPart},
    wire::Suspect,
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// A time some time after the start of a host.
const NOW: Duration = Duration::from_secs(100);
/// Quarantine after three crashes.
const FIRST_QUARANTINE: Duration = Duration::from_secs(120);
const SERVICE: u32 = 3;
/// Hash of the upstreams' software version.
const VERSION: u32 = 1;

fn part(id: u64) -> SuspectKey {
    SuspectKey::part(SERVICE, id)
}

/// Returns the keys of a request of a workspace, with a last part of its own.
fn keys(workspace: u32, fingerprint: u64, parts: &[u64]) -> RequestKeys {
    let ids = parts.iter().copied().chain([u64::MAX - fingerprint]);
    let parts = ids.map(|id| PromptPart { id, tokens: 10 }).collect();
    let prompt = Prompt { parts, ..Prompt::default() };
    RequestKeys::new(SuspectKey::request(workspace, fingerprint), SERVICE, Some(&prompt))
}

/// Records that an upstream crashed while it ran a request.
fn crash(it: &mut Quarantine, run: &RequestKeys, id: u32) -> Vec<QuarantineEntry> {
    it.record_crashed_runs(NOW, [run], CrashedUpstream { id, version: VERSION })
}

/// Records crashes of the upstreams `first..first + n` under different requests of workspace 7.
fn crash_many(it: &mut Quarantine, parts: &[u64], first: u32, n: u32) {
    for id in first..first + n {
        crash(it, &keys(7, u64::from(id), parts), id);
    }
}

fn is_refused(it: &Quarantine, now: Duration, run: &RequestKeys) -> bool {
    matches!(it.verdict(now, run), Verdict::Refused(_))
}

/// Returns what a host reports of a suspect.
fn report(it: &Quarantine, now: Duration, key: SuspectKey) -> Vec<Suspect> {
    it.suspect(now, key).into_iter().collect()
}

/// The last part belongs to one request; a prompt may be short, repeat a part or name thousands.
#[test]
fn all_parts_but_the_last_count_once() {
    let ids = |ids: &[u64]| {
        let parts = ids.iter().map(|&id| PromptPart { id, tokens: 10 }).collect();
        let prompt = Prompt { parts, ..Prompt::default() };
        RequestKeys::new(SuspectKey::request(7, 1), SERVICE, Some(&prompt)).parts
    };
    assert_eq!(ids(&[]), []);
    assert_eq!(ids(&[1]), []);
    assert_eq!(ids(&[1, 2]), [part(1)]);
    assert_eq!(ids(&[1, 2, 1, 3]), [part(1), part(2)]);
    assert_eq!(ids(&[1, 2, 1]), [part(1), part(2)], "last here, and shared before");
    assert_eq!(ids(&(0..5_000).collect::<Vec<_>>()).len(), 16);
    assert_eq!(RequestKeys::new(SuspectKey::request(7, 1), SERVICE, None).parts, []);
}

/// Guards against requests that have one part in common, each counted by itself.
#[test]
fn crashes_under_different_requests_add_up_for_their_common_part() {
    let mut it = Quarantine::default();
    assert_eq!(crash(&mut it, &keys(7, 1, &[0xa, 0xdead]), 10), []);
    assert_eq!(crash(&mut it, &keys(8, 2, &[0xb, 0xdead]), 11), []);
    let entries = crash(&mut it, &keys(7, 3, &[0xdead, 0xc]), 12);
    assert_eq!(entries.iter().map(|it| it.key).collect::<Vec<_>>(), [part(0xdead)]);
    assert!(is_refused(&it, NOW, &keys(9, 4, &[0xd, 0xdead])), "of any workspace");
    for other in [0xa, 0xb, 0xc] {
        assert_eq!(it.verdict(NOW, &keys(7, 5, &[other])), Verdict::Allowed);
    }
    let later = NOW + FIRST_QUARANTINE;
    assert_eq!(it.verdict(later, &keys(7, 6, &[0xdead])), Verdict::Trial, "one at a time");
    let elsewhere = RequestKeys { parts: vec![SuspectKey::part(4, 0xdead)], ..keys(7, 6, &[]) };
    assert_eq!(it.verdict(NOW, &elsewhere), Verdict::Allowed, "another service");
}

/// A request that crashes upstreams by itself says nothing about what its prompt shares with others.
#[test]
fn a_request_sent_again_does_not_condemn_its_parts() {
    let mut it = Quarantine::default();
    let run = keys(7, 1, &[0xa]);
    (10..14).for_each(|id| drop(crash(&mut it, &run, id)));
    assert!(is_refused(&it, NOW, &run));
    assert!(!is_refused(&it, NOW, &keys(7, 2, &[0xa])));
}

/// Requests with a crashing part that are sent again must not shield it.
#[test]
fn a_quarantined_request_does_not_clear_its_parts() {
    let mut it = Quarantine::default();
    let run = keys(7, 1, &[0xdead]);
    (10..13).for_each(|id| drop(crash(&mut it, &run, id)));
    crash(&mut it, &keys(7, 2, &[0xdead]), 13);
    assert!(is_refused(&it, NOW, &keys(7, 3, &[0xdead])));
}

/// Parts in use are known by their successes, shortly before a crash as well as after it.
#[test]
fn a_success_shortly_before_the_crashes_clears_a_part() {
    for (time, is_cleared) in [(MS * 9_900, true), (MS * 10_100, false)] {
        let mut it = Quarantine::default();
        it.record_part_success(NOW - time, part(0xa), VERSION);
        crash_many(&mut it, &[0xa], 10, 3);
        assert_eq!(is_refused(&it, NOW, &keys(7, 1, &[0xa])), !is_cleared, "{time:?} before");
    }
}

/// A release may turn a part that was sound into one that crashes upstreams.
#[test]
fn a_success_at_another_software_version_clears_nothing() {
    let mut it = Quarantine::default();
    it.record_part_success(NOW, part(0xa), VERSION + 1);
    crash_many(&mut it, &[0xa], 10, 3);
    it.record_part_success(NOW + MS, part(0xa), VERSION + 1);
    assert!(is_refused(&it, NOW + MS, &keys(7, 1, &[0xa])));
}

/// A host that saw a part succeed says so when it hears it accused, and is believed at the host that accused it.
#[test]
fn a_success_at_one_host_clears_a_part_at_all() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    there.record_part_success(NOW - SECOND, part(0xa), VERSION);
    crash_many(&mut here, &[0xa], 10, 2);
    assert_eq!(there.merge(NOW, &report(&here, NOW, part(0xa))), []);
    here.merge(NOW, &report(&there, NOW, part(0xa)));
    crash(&mut here, &keys(7, 1, &[0xa]), 20);
    assert_eq!(here.n_crashes(part(0xa)), 0);
    assert_eq!(there.n_crashes(part(0xa)), 0);
}

#[test]
fn crashes_seen_by_different_hosts_add_up_for_a_part() {
    let mut hosts: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    for (n, host) in (0..).zip(&mut hosts) {
        crash(host, &keys(7, u64::from(n), &[0xdead]), 10 + n);
    }
    let reports: Vec<Suspect> = hosts.iter().flat_map(|it| report(it, NOW, part(0xdead))).collect();
    for host in &mut hosts {
        host.merge(NOW, &reports);
        host.merge(NOW, &reports);
        assert_eq!(host.n_crashes(part(0xdead)), 3);
        assert_eq!(host.verdict(NOW, &keys(8, 9, &[0xdead])), Verdict::Trial, "another workspace");
        assert!(is_refused(host, NOW, &keys(7, 9, &[0xdead])));
    }
}

/// Of two parts that came together only, a sound request with one of them decides.
#[test]
fn a_trial_decides_between_parts_that_came_together() {
    let both = [0xb, 0xdead];
    let mut it = Quarantine::default();
    crash_many(&mut it, &both, 10, 3);
    assert!(is_refused(&it, NOW, &keys(7, 1, &both)));
    let sound = keys(7, 2, &[0xb]);
    assert_eq!(it.verdict(NOW, &sound), Verdict::Trial);
    assert!(it.needs_isolation(NOW, &sound), "others at its upstream are at risk");
    assert!(it.record_part_success(NOW + SECOND, part(0xb), VERSION));
    assert_eq!(it.verdict(NOW + SECOND, &sound), Verdict::Allowed);
    assert!(is_refused(&it, NOW + SECOND, &keys(7, 3, &[0xdead])));

    let mut it = Quarantine::default();
    crash_many(&mut it, &both, 10, 3);
    crash(&mut it, &keys(7, 4, &[0xdead]), 13);
    assert!(is_refused(&it, NOW, &keys(7, 5, &[0xdead])), "one crash under it alone");
    assert_eq!(it.verdict(NOW, &sound), Verdict::Trial, "explained, but not yet cleared");
}

/// Part ids are the callers' text: one workspace must not have the part of another refused.
#[test]
fn crashes_under_one_workspace_do_not_condemn_a_part_for_others() {
    let mut it = Quarantine::default();
    crash_many(&mut it, &[0xdead], 10, 3);
    assert!(is_refused(&it, NOW, &keys(7, 1, &[0xdead])));
    let other = keys(8, 2, &[0xdead]);
    assert_eq!(it.verdict(NOW, &other), Verdict::Trial);
    crash(&mut it, &other, 13);
    assert!(is_refused(&it, NOW, &other));
    assert!(is_refused(&it, NOW, &keys(9, 3, &[0xdead])), "two workspaces speak for all");
}

#[test]
fn an_operator_lifts_a_part_until_it_crashes_upstreams_again() {
    let mut it = Quarantine::default();
    crash_many(&mut it, &[0xdead], 10, 3);
    assert_eq!(it.lift(NOW, 0xdead), Some(part(0xdead)));
    assert_eq!(it.verdict(NOW, &keys(7, 1, &[0xdead])), Verdict::Allowed);
    let runs = (2..5).map(|n| keys(7, n, &[0xdead]));
    for (id, run) in (20..).zip(runs) {
        it.record_crashed_runs(NOW + SECOND, [&run], CrashedUpstream { id, version: VERSION });
    }
    assert!(is_refused(&it, NOW + SECOND, &keys(7, 6, &[0xdead])));
}

/// Time from a crash until hosts know of it.
const KNOWN_AFTER: Duration = Duration::from_millis(300);
/// Time until a crashed engine serves again.
const RESTART_TIME: Duration = Duration::from_secs(4);
/// Time after the fifth crash from which on at most [`MAX_LATE`] bad requests may reach engines.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const MAX_LATE: u32 = 3;
/// Id of the bad part.
const BAD_PART: u64 = 0xdead;
const N_ENGINES: usize = 9;

struct Run {
    keys: RequestKeys,
    engine: usize,
    end: Duration,
    is_bad: bool,
}

/// Nine engines that run sound requests of three shared parts each, and bad ones.
struct Simulation {
    now: Duration,
    rng: fastrand::Rng,
    quarantine: Quarantine,
    runs: Vec<Run>,
    back_at: [Duration; N_ENGINES],
    /// Crashes that are not yet known, with the requests that they broke.
    unknown: Vec<(Duration, u32, Vec<RequestKeys>)>,
    n_sent: u64,
    n_sound: u32,
    n_refused: u32,
    n_crashes: u32,
    fifth_crash: Option<Duration>,
    /// Bad requests that reached an engine later than [`CONTACT_TIME`] after the fifth crash.
    n_late: u32,
    refused_first_parts: HashSet<u64>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            now: NOW,
            rng: fastrand::Rng::with_seed(seed),
            quarantine: Quarantine::default(),
            runs: Vec::new(),
            back_at: [Duration::ZERO; N_ENGINES],
            unknown: Vec::new(),
            n_sent: 0,
            n_sound: 0,
            n_refused: 0,
            n_crashes: 0,
            fifth_crash: None,
            n_late: 0,
            refused_first_parts: HashSet::new(),
        }
    }

    /// Returns a random part of the `level`th place in a prompt; a few are in most requests.
    fn random_part(&mut self, level: u64) -> u64 {
        let n = [3, 12, 40][level as usize];
        let rank = (self.rng.f64() * self.rng.f64() * f64::from(n)) as u64;
        level * 1000 + rank + 1
    }

    fn send(&mut self, is_bad: bool) {
        self.n_sent += 1;
        let mut parts: Vec<u64> = (0..3).map(|it| self.random_part(it)).collect();
        if is_bad {
            parts[2] = BAD_PART;
        }
        let keys = keys(self.rng.u32(..8), self.n_sent, &parts);
        self.n_sound += u32::from(!is_bad);
        let verdict = self.quarantine.verdict(self.now, &keys);
        if is_refused(&self.quarantine, self.now, &keys) {
            if !is_bad {
                self.n_refused += 1;
                self.refused_first_parts.insert(parts[0]);
            }
            return;
        }
        // Hosts see the crash of a trial at once, so that the next one waits for its outcome.
        let unknown = self.unknown.iter().flat_map(|it| &it.2);
        let mut running = self.runs.iter().map(|it| &it.keys).chain(unknown);
        let is_on_trial = |it: &RequestKeys| {
            self.quarantine.keys_on_trial(&keys).any(|key| it.all().any(|it| it == key))
        };
        if verdict == Verdict::Trial && running.any(is_on_trial) {
            self.n_refused += u32::from(!is_bad);
            return;
        }
        let up: Vec<usize> = (0..N_ENGINES).filter(|it| self.back_at[*it] <= self.now).collect();
        let Some(&engine) = self.rng.choice(&up) else { return };
        self.n_late +=
            u32::from(is_bad && self.fifth_crash.is_some_and(|it| it + CONTACT_TIME < self.now));
        let time = if is_bad { MS * 100 } else { MS * self.rng.u32(300..3000) };
        self.runs.push(Run { keys, engine, end: self.now + time, is_bad });
    }

    fn crash(&mut self, engine: usize) {
        self.n_crashes += 1;
        if self.n_crashes == 5 {
            self.fifth_crash = Some(self.now);
        }
        self.back_at[engine] = self.now + RESTART_TIME;
        let (broken, rest): (Vec<_>, Vec<_>) =
            self.runs.drain(..).partition(|it| it.engine == engine);
        self.runs = rest;
        let keys = broken.into_iter().map(|it| it.keys).collect();
        self.unknown.push((self.now + KNOWN_AFTER, self.n_crashes, keys));
    }

    /// Simulates steps of 10 ms with 30 sound requests a second, this many bad ones and crashes of other causes.
    fn run_steps(&mut self, n: u32, n_bad: f64, n_crashes: f64) {
        for _ in 0..n {
            self.now += MS * 10;
            let now = self.now;
            let (known, unknown) = self.unknown.drain(..).partition(|it| it.0 <= now);
            self.unknown = unknown;
            let known: Vec<_> = known;
            for (_, id, runs) in known {
                let upstream = CrashedUpstream { id, version: VERSION };
                self.quarantine.record_crashed_runs(now, &runs, upstream);
            }
            let (done, rest): (Vec<_>, Vec<_>) = self.runs.drain(..).partition(|it| it.end <= now);
            self.runs = rest;
            for it in done {
                if it.is_bad {
                    let engine = it.engine;
                    self.runs.push(it);
                    self.crash(engine);
                    continue;
                }
                self.quarantine.record_success(now, it.keys.request);
                for part in it.keys.parts {
                    self.quarantine.record_part_success(now, part, VERSION);
                }
            }
            if self.rng.f64() < 0.3 {
                self.send(false);
            }
            if self.rng.f64() < n_bad / 100.0 {
                self.send(true);
            }
            if self.rng.f64() < n_crashes / 100.0 {
                let engine = self.rng.usize(..N_ENGINES);
                if self.back_at[engine] <= now {
                    self.crash(engine);
                }
            }
        }
    }
}

/// Ten seeds of a minute each, after some seconds without bad requests or with bad ones from the start, when no part has
/// succeeded yet. At most five sound requests in a hundred may be refused, and three bad ones may be sent late.
#[test]
fn sound_requests_beside_a_bad_part_are_served() {
    for (n_bad, warmup) in [(1.0, 1), (3.0, 1), (8.0, 1), (3.0, 0), (8.0, 0)] {
        let (mut n_sound, mut n_refused) = (0, 0);
        for seed in 0..10 {
            let mut it = Simulation::new(seed);
            it.run_steps(1500 * warmup, 0.0, 0.0);
            it.run_steps(6000, n_bad, 0.0);
            n_sound += it.n_sound;
            n_refused += it.n_refused;
            let case = format!("{n_bad} a second, seed {seed}, {} crashes", it.n_crashes);
            assert!(it.n_late <= MAX_LATE, "{} bad requests sent late, {case}", it.n_late);
        }
        assert!(n_refused * 20 <= n_sound, "{n_bad}: {n_refused} of {n_sound} refused");
    }
}

/// On days without a bad part fewer than one request in a thousand may be refused, and none for its first part.
#[test]
fn few_sound_requests_are_refused_when_engines_crash_for_other_reasons() {
    for n_crashes in [0.1, 0.5] {
        let (mut n_sound, mut n_refused) = (0, 0);
        for seed in 0..10 {
            let mut it = Simulation::new(seed);
            it.run_steps(6000, 0.0, n_crashes);
            n_sound += it.n_sound;
            n_refused += it.n_refused;
            assert!(it.refused_first_parts.is_empty(), "{:?}", it.refused_first_parts);
        }
        assert!(n_refused * 1000 <= n_sound, "{n_crashes}: {n_refused} of {n_sound} refused");
    }
}
