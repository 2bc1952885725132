//! Prompt parts with which requests succeeded lately at this host.

use std::{collections::HashMap, time::Duration};

use super::{crash_history::SUCCESS_VALIDITY, key::SuspectKey};

/// Parts remembered; beyond that, the ones that succeeded longest ago are forgotten.
const MAX_PARTS: usize = 4096;

/// When requests with a prompt part last succeeded, by software version of the upstream.
///
/// Most parts are never suspected. Other hosts hear of a success only once a crash counts against
/// its part.
#[derive(Debug, Default)]
pub(super) struct RecentSuccesses {
    latest: HashMap<(SuspectKey, u32), Duration>,
    n_evicted: u64,
}

impl RecentSuccesses {
    pub(super) fn record(&mut self, now: Duration, part: SuspectKey, version: u32) {
        if MAX_PARTS <= self.latest.len() && !self.latest.contains_key(&(part, version)) {
            self.evict(now);
        }
        self.latest.insert((part, version), now);
    }

    /// Returns the latest success with a part that speaks against a crash at `at`.
    pub(super) fn before(&self, at: Duration, part: SuspectKey, version: u32) -> Option<Duration> {
        self.latest.get(&(part, version)).copied().filter(|it| at <= *it + SUCCESS_VALIDITY)
    }

    /// Returns the number of parts forgotten before their time.
    pub(super) fn n_evicted(&self) -> u64 {
        self.n_evicted
    }

    /// Forgets successes that speak against no new crash.
    pub(super) fn prune(&mut self, now: Duration) {
        self.latest.retain(|_, it| now <= *it + SUCCESS_VALIDITY);
    }

    fn evict(&mut self, now: Duration) {
        self.prune(now);
        if self.latest.len() < MAX_PARTS {
            return;
        }
        let mut times: Vec<Duration> = self.latest.values().copied().collect();
        let (_, limit, _) = times.select_nth_unstable(MAX_PARTS / 4);
        let limit = *limit;
        let n_before = self.latest.len();
        self.latest.retain(|_, it| limit < *it);
        self.n_evicted += (n_before - self.latest.len()) as u64;
    }
}
