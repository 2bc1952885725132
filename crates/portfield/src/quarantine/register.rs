//! The requests that something is known against, over the whole fleet.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    breaks::Request,
    case::{Case, LETHAL_ENDS, Scope},
    fingerprint::Fingerprint,
};
use crate::{balance::GossipTopology, telling::Telling, wire};

/// Requests told in one digest, of some 50 bytes each: what runs at an engine breaks with it, some twenty
/// requests at nine hosts.
const MAX_TOLD: usize = 24;
/// Requests of one workspace that are remembered. One that sends many lethal ones pushes out its own only.
const MAX_OF_WORKSPACE: usize = 64;
/// Upstreams remembered that lethal requests ended.
const MAX_EXPLAINED: usize = 256;
/// Time between two looks for what is past.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);
/// The time of a process's start: what happened before it has a time too.
const EPOCH: Duration = Duration::from_secs(3600);

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// The request.
    pub request: Request,
    /// Upstreams that ended under it, the last ones.
    pub n_ends: usize,
    /// Time until it is tried again.
    pub left: Duration,
    /// This host saw one of the ends itself.
    pub is_own: bool,
}

/// What the hosts know together of requests that end upstreams.
///
/// The load that this answers: one request among thousands ends each upstream that runs it, and its caller
/// sends it again and again, to any host. Each end breaks all that runs there. Each host notes under which
/// requests of its own an upstream ended and tells the others; ends of different upstreams add up, also
/// where three hosts saw one each. Two things speak for the others that ran there: a request that once ended well
/// since has nothing against it, and an upstream that a lethal request ended speaks against no other.
///
/// # Examples
///
/// ```
/// use portfield::quarantine::{Quarantine, Request};
/// use std::time::Duration;
///
/// let request = Request { workspace: 7, fingerprint: 1 };
/// let mut here = Quarantine::default();
/// let now = Duration::from_secs(1);
/// assert!(here.ended(now, &[request], 10).is_empty());
/// assert!(here.ended(now, &[request], 11).is_empty());
/// assert_eq!(here.ended(now, &[request], 12).len(), 1);
/// assert!(here.verdict(now, request).is_some());
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: Cases,
    /// Upstreams that a lethal request ended, newest last: they speak against no other one.
    explained: VecDeque<u32>,
    pruned: Duration,
    /// Turns of those that are told in every whole digest.
    turn: usize,
}

impl Quarantine {
    /// Returns why a request is refused, `None` where it may be sent.
    pub fn verdict(&self, now: Duration, request: Request) -> Option<Verdict> {
        verdict(request, self.known(request)?, now + EPOCH)
    }

    /// Returns whether one more end under a request makes the verdict: what runs beside it is at risk.
    pub fn is_last_try(&self, now: Duration, request: Request) -> bool {
        self.known(request)
            .is_some_and(|it| LETHAL_ENDS <= it.n_ends() + 1 && it.left(now + EPOCH).is_none())
    }

    /// Notes that an upstream ended while this host's runs of some requests were there; returns those that are
    /// refused from now on.
    pub fn ended(&mut self, now: Duration, requests: &[Request], upstream: u32) -> Vec<Verdict> {
        let now = now + EPOCH;
        let is_explained = self.explained.contains(&upstream);
        let res = requests.iter().filter_map(|it| {
            self.change(now, *it, |case| {
                if (case.is_lethal() || !is_explained) && case.add(upstream, now) {
                    case.note_seen();
                }
            })
        });
        let res: Vec<Verdict> = res.collect();
        self.explain(requests);
        res
    }

    /// Notes that a request was answered whole; returns whether anything was held against it.
    pub fn clear(&mut self, now: Duration, request: Request) -> bool {
        let cases = self.cases.get_mut(&request.workspace);
        let Some(case) = cases.and_then(|it| it.get_mut(&request.fingerprint)) else {
            return false;
        };
        let is_news = case.clear(now + EPOCH);
        if is_news {
            case.note_seen();
        }
        is_news
    }

    /// Drops what is held against a request; returns it if anything was.
    pub fn lift(&mut self, now: Duration, fingerprint: Fingerprint) -> Option<Request> {
        let request = all(&self.cases).map(|it| it.0).find(|it| it.fingerprint == fingerprint)?;
        self.clear(now, request).then_some(request)
    }

    /// Takes what another host, or the store, tells; returns the requests that are refused from now on.
    pub fn take(&mut self, now: Duration, told: &[wire::Suspect]) -> Vec<Verdict> {
        let now = now + EPOCH;
        let explained = self.explained.clone();
        let request =
            |it: &wire::Suspect| Request { workspace: it.workspace, fingerprint: it.fingerprint };
        let res = told.iter().filter_map(|it| {
            self.change(now, request(it), |case| {
                if case.take(now, it, &explained) {
                    case.note_heard();
                }
            })
        });
        let res: Vec<Verdict> = res.collect();
        let requests: Vec<Request> = told.iter().map(request).collect();
        self.explain(&requests);
        res
    }

    /// Returns what this host's own digest of that number tells.
    pub fn report(
        &mut self,
        now: Duration,
        audience: &GossipTopology,
        sequence: u64,
    ) -> Vec<wire::Suspect> {
        let scope = match audience.detail(sequence) {
            Telling::News => Scope::Own,
            Telling::Whole => Scope::Whole,
        };
        self.tell(now + EPOCH, scope)
    }

    /// Returns what the sum of this host's data centre tells.
    pub fn summarize(&mut self, now: Duration) -> Vec<wire::Suspect> {
        self.tell(now + EPOCH, Scope::Sum)
    }

    /// Returns the requests that are refused.
    pub fn verdicts(&self, now: Duration) -> Vec<Verdict> {
        let now = now + EPOCH;
        all(&self.cases).filter_map(|(request, it)| verdict(request, it, now)).collect()
    }

    /// Returns a request as it is told, for the store.
    pub fn record(&self, now: Duration, request: Request) -> Option<wire::Suspect> {
        Some(self.known(request)?.tell(now + EPOCH, request))
    }

    /// Returns how many requests something is known against.
    pub fn n_suspects(&self) -> usize {
        all(&self.cases).filter(|it| 0 < it.1.n_ends()).count()
    }

    fn known(&self, request: Request) -> Option<&Case> {
        self.cases.get(&request.workspace)?.get(&request.fingerprint)
    }

    fn tell(&mut self, now: Duration, scope: Scope) -> Vec<wire::Suspect> {
        self.prune(now);
        let mut told: Vec<(Request, &mut Case)> = all_mut(&mut self.cases)
            .filter(|(_, it)| {
                let is_whole = scope != Scope::Own;
                0 < it.n_left(scope) || is_whole && it.left(now).is_some()
            })
            .collect();
        if MAX_TOLD < told.len() {
            // What was told least goes first, of that what is known most of; the others have their turn. With all
            // that is new alike, one of 300 that became new together was not told at all for three seconds.
            self.turn = (self.turn + MAX_TOLD) % told.len();
            told.rotate_left(self.turn);
            told.sort_by_key(|it| Reverse((it.1.n_left(scope), it.1.n_ends())));
        }
        let tell = |(request, case): (Request, &mut Case)| {
            case.note_told(scope);
            case.tell(now, request)
        };
        told.into_iter().take(MAX_TOLD).map(tell).collect()
    }

    /// Changes what is known of a request; returns the verdict if it is refused from now on.
    fn change(
        &mut self,
        now: Duration,
        request: Request,
        f: impl FnOnce(&mut Case),
    ) -> Option<Verdict> {
        let case = self.case(now, request);
        let was_refused = case.left(now).is_some();
        f(case);
        verdict(request, case, now).filter(|_| !was_refused)
    }

    /// Takes ends that are explained by those of some requests that are lethal back from all others.
    ///
    /// **NOTE:** After all that ran there has been noted: of two with the same ends neither explains the other's.
    fn explain(&mut self, requests: &[Request]) {
        let lethal = requests.iter().filter_map(|it| self.known(*it)).filter(|it| it.is_lethal());
        let new: Vec<u32> =
            lethal.flat_map(Case::upstreams).filter(|it| !self.explained.contains(it)).collect();
        if new.is_empty() {
            return;
        }
        for (_, case) in all_mut(&mut self.cases) {
            new.iter().for_each(|it| case.explain(*it));
        }
        self.explained.extend(new);
        let n_old = self.explained.len().saturating_sub(MAX_EXPLAINED);
        self.explained.drain(..n_old);
    }

    /// Returns a request's case, new if there is none; of too many of its workspace one is forgotten.
    fn case(&mut self, now: Duration, request: Request) -> &mut Case {
        let cases = self.cases.entry(request.workspace).or_default();
        if !cases.contains_key(&request.fingerprint) && MAX_OF_WORKSPACE <= cases.len() {
            let least = cases
                .iter()
                .min_by_key(|it| (it.1.left(now).is_some(), it.1.n_ends(), it.1.last()))
                .map(|it| *it.0);
            if let Some(it) = least {
                cases.remove(&it);
            }
        }
        cases.entry(request.fingerprint).or_default()
    }

    fn prune(&mut self, now: Duration) {
        if now < self.pruned + PRUNE_PERIOD {
            return;
        }
        self.pruned = now;
        for cases in self.cases.values_mut() {
            cases.retain(|_, it| !it.is_past(now));
        }
        self.cases.retain(|_, it| !it.is_empty());
    }
}

fn verdict(request: Request, case: &Case, now: Duration) -> Option<Verdict> {
    let left = case.left(now)?;
    Some(Verdict { request, n_ends: case.n_ends(), left, is_own: case.is_own() })
}

/// By workspace, then by fingerprint.
///
/// In order, so that what is told is the same in each life of a process that has heard the same.
type Cases = BTreeMap<u32, BTreeMap<Fingerprint, Case>>;

fn all(cases: &Cases) -> impl Iterator<Item = (Request, &Case)> {
    cases.iter().flat_map(|(&workspace, it)| {
        it.iter().map(move |(&fingerprint, it)| (Request { workspace, fingerprint }, it))
    })
}

fn all_mut(cases: &mut Cases) -> impl Iterator<Item = (Request, &mut Case)> {
    cases.iter_mut().flat_map(|(&workspace, it)| {
        it.iter_mut().map(move |(&fingerprint, it)| (Request { workspace, fingerprint }, it))
    })
}
