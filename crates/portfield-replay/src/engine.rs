//! Simulated engine: generates the tokens of its running requests concurrently, at a fixed rate.

use std::{collections::BTreeMap, time::Duration};

/// Tokens that a request generates between two events of the simulation.
pub const TOKENS_PER_STEP: u32 = 5;

/// A request that runs on an engine.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Index of the request in the trace.
    pub request: usize,
    /// Number of tokens generated so far.
    pub generated: u32,
    /// Number of tokens to generate in total.
    pub cost: u32,
}

/// A simulated engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Number of requests that it may run at once; it doesn't enforce this itself.
    pub slots: u32,
    /// Whether it answers requests and health checks.
    pub is_alive: bool,
    /// Factor on the time for a token.
    pub slowdown: u32,
    /// Running requests by the id of their attempt.
    pub jobs: BTreeMap<u64, Job>,
    /// Largest number of requests that ever ran at once.
    pub max_running: usize,
    token_time: Duration,
    /// Latest changes of the number of running requests, with their times.
    load_history: Vec<(Duration, u32)>,
}

impl Engine {
    /// Creates an idle engine that needs `token_time` for a token.
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

    /// Starts a request under the given attempt id.
    pub fn start(&mut self, now: Duration, id: u64, job: Job) {
        self.jobs.insert(id, job);
        self.max_running = self.max_running.max(self.jobs.len());
        self.record_load(now);
    }

    /// Ends the request of an attempt.
    pub fn end(&mut self, now: Duration, id: u64) {
        self.jobs.remove(&id);
        self.record_load(now);
    }

    /// Returns the time to generate a number of tokens of one request.
    pub fn generation_time(&self, tokens: u32) -> Duration {
        self.token_time * self.slowdown * tokens
    }

    /// Returns how many requests ran at a past time, as in a delayed load report; zero if that
    /// isn't recorded.
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
