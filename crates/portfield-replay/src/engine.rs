//! Small fakes of engines: each makes a token a time for every request that it runs.

use std::{collections::BTreeMap, time::Duration};

/// Tokens between two looks at a running request.
pub const STEP: u32 = 5;

/// One request on an engine.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Number of the request in the trace.
    pub request: usize,
    /// Tokens made so far.
    pub made: u32,
    /// Tokens in all.
    pub cost: u32,
}

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Slots it is configured with.
    pub slots: u32,
    /// It answers.
    pub alive: bool,
    /// Everything takes so many times as long.
    pub slowdown: u32,
    /// Requests that run, by a number of their run.
    pub jobs: BTreeMap<u64, Job>,
    /// Most requests that ever ran at once.
    pub most: usize,
    token: Duration,
    reports: Vec<(Duration, u32)>,
}

impl Engine {
    /// Builds an idle engine.
    pub fn new(slots: u32, token: Duration) -> Self {
        Self {
            slots,
            alive: true,
            slowdown: 1,
            jobs: BTreeMap::new(),
            most: 0,
            token,
            reports: Vec::new(),
        }
    }

    /// Starts a request.
    pub fn start(&mut self, now: Duration, run: u64, job: Job) {
        self.jobs.insert(run, job);
        self.most = self.most.max(self.jobs.len());
        self.note(now);
    }

    /// Ends a request.
    pub fn end(&mut self, now: Duration, run: u64) {
        self.jobs.remove(&run);
        self.note(now);
    }

    /// Returns the time that a number of tokens takes.
    pub fn time(&self, tokens: u32) -> Duration {
        self.token * self.slowdown * tokens
    }

    /// Returns how many requests ran some time ago: reports lag.
    pub fn report(&self, at: Duration) -> u32 {
        let old = self.reports.iter().rev().find(|(since, _)| *since <= at);
        old.map_or(0, |it| it.1)
    }

    fn note(&mut self, now: Duration) {
        let first_kept = self.reports.len().saturating_sub(64);
        self.reports.drain(..first_kept);
        self.reports.push((now, self.jobs.len() as u32));
    }
}
