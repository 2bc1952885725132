//! Small fakes of engines: each makes a token a time for every request that it runs.

use std::{collections::BTreeMap, time::Duration};

/// Tokens between two looks at a running request.
pub const TOKENS_PER_STEP: u32 = 5;

/// One request on an engine.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Number of the request in the trace.
    pub request: usize,
    /// Tokens made so far.
    pub generated: u32,
    /// Tokens in all.
    pub cost: u32,
}

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Slots it is configured with.
    pub slots: u32,
    /// It answers.
    pub is_alive: bool,
    /// Everything takes so many times as long.
    pub slowdown: u32,
    /// Requests that run, by a number of their run.
    pub jobs: BTreeMap<u64, Job>,
    /// Most requests that ever ran at once.
    pub max_running: usize,
    token_time: Duration,
    load_history: Vec<(Duration, u32)>,
}

impl Engine {
    /// Builds an idle engine.
    pub fn new(slots: u32, token_time: Duration) -> Self {
        Self {
            slots,
            is_alive: true,
            slowdown: 1,
            jobs: BTreeMap::new(),
            max_running: 0,
            token_time,
            load_history: Vec::new(),
        }
    }

    /// Starts a request.
    pub fn start(&mut self, now: Duration, id: u64, job: Job) {
        self.jobs.insert(id, job);
        self.max_running = self.max_running.max(self.jobs.len());
        self.record_load(now);
    }

    /// Ends a request.
    pub fn end(&mut self, now: Duration, id: u64) {
        self.jobs.remove(&id);
        self.record_load(now);
    }

    /// Returns the time that a number of tokens takes.
    pub fn generation_time(&self, tokens: u32) -> Duration {
        self.token_time * self.slowdown * tokens
    }

    /// Returns how many requests ran some time ago: reports lag.
    pub fn running_at(&self, at: Duration) -> u32 {
        let entry = self.load_history.iter().rev().find(|(since, _)| *since <= at);
        entry.map_or(0, |it| it.1)
    }

    fn record_load(&mut self, now: Duration) {
        let first_kept = self.load_history.len().saturating_sub(64);
        self.load_history.drain(..first_kept);
        self.load_history.push((now, self.jobs.len() as u32));
    }
}
