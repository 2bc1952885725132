//! Test cases: a deployment, the load from which the trace is generated, faults, and the expected
//! outcome of the replay.

use std::{fs, path::Path};

use eyre::WrapErr;
use serde::Deserialize;

use crate::trace::Arrival;

/// A test case, as read from its TOML file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Seed of the generated trace.
    pub seed: u64,
    /// Hosts and engines.
    #[serde(default)]
    pub deployment: Deployment,
    /// Loads of the workspaces; a workspace may have several.
    pub load: Vec<Load>,
    /// Faults during the replay.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// Expected outcome of the replay.
    #[serde(default)]
    pub outcome: ExpectedOutcome,
}

/// Hosts and engines of a simulated fleet, and its delays.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// Number of hosts in each data centre.
    pub hosts: Vec<usize>,
    /// Number of engines in each data centre, for each service.
    pub engines: Vec<usize>,
    /// Number of slots of each engine.
    pub slots: u32,
    /// One-way delay within a data centre, in microseconds.
    pub near_us: u64,
    /// One-way delay between data centres, in microseconds.
    pub far_us: u64,
    /// Time between two tokens of a request, in microseconds.
    pub token_us: u64,
}

impl Default for Deployment {
    fn default() -> Self {
        Self {
            hosts: vec![3, 3, 3],
            engines: vec![4, 4, 2],
            slots: 4,
            near_us: 100,
            far_us: 500,
            token_us: 20_000,
        }
    }
}

/// How the cost hints of a workspace relate to the true costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HintAccuracy {
    /// Requests have no hint.
    #[default]
    None,
    /// The hint is the true cost.
    True,
    /// The hint is too high or too low by a random factor of up to ten.
    Rough,
    /// The hint is about a tenth of the true cost.
    Low,
    /// The hint is one token for costs above the lowest quarter of the range, else the true cost.
    Lies,
}

/// Requests of one kind that a workspace sends.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Name of the workspace.
    pub workspace: String,
    /// Share of the workspace; its first load decides.
    pub share: u32,
    /// Name of the service that it calls.
    #[serde(default = "default_service")]
    pub service: String,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Number of requests that arrive at once.
    #[serde(default = "one")]
    pub burst: u32,
    /// Smallest and largest cost, in tokens.
    pub cost: (u32, u32),
    /// Costs follow a Pareto distribution cut off at the largest cost, else a uniform one.
    #[serde(default)]
    pub heavy: bool,
    /// Accuracy of the cost hints.
    #[serde(default)]
    pub hint: HintAccuracy,
    /// Requests are batch requests, which may wait behind interactive ones.
    #[serde(default)]
    pub batch: bool,
    /// Indices of the hosts at which requests arrive; each burst chooses one at random.
    pub entries: Vec<usize>,
    /// Number of different prompt prefixes; requests have none if it is zero.
    #[serde(default)]
    pub prefixes: u32,
    /// Start and end, in seconds since the start of the trace.
    pub during: (f64, f64),
}

/// A fault and its duration.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the affected host, engine or data centre; ignored for `owner` and `host`.
    #[serde(default)]
    pub at: usize,
    /// Start and end, in seconds since the start of the trace.
    pub during: (f64, f64),
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The scheduler of a host dies, and restarts without its state.
    Scheduler,
    /// The scheduler that owns the first shard of the first data centre dies, and restarts without
    /// its state.
    Owner,
    /// The host of that owner loses power, so that connections to it hang instead of being refused,
    /// and restarts without its state.
    Host,
    /// The router of a host dies with its requests, and restarts without its state.
    Router,
    /// The links between a data centre and the others are cut in both directions.
    Cut,
    /// The links from a data centre to the others are cut, but not those to it.
    CutOneWay,
    /// An engine takes ten times as long for each token.
    Slow,
    /// An engine dies, which fails its running requests, and restarts idle.
    Engine,
    /// An engine is marked as leaving in the configuration, and stays so.
    Leave,
    /// The scheduler of a host is suspended, and on resuming handles the events that arrived
    /// meanwhile.
    Pause,
}

/// Limits for the metrics of a replay; those that aren't set aren't checked.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ExpectedOutcome {
    /// Largest fairness gap, in tokens per unit of share; never above the bound of
    /// docs/design/fairness.md, which is also the default.
    pub gap: Option<f64>,
    /// Smallest fraction of the slots in use while a request waits.
    pub utilisation: Option<f64>,
    /// Largest number of control bytes per second and host.
    pub control: Option<f64>,
    /// Longest wait of any request, in seconds.
    pub wait: Option<f64>,
    /// Longest time without a grant while a request waits, in seconds.
    pub pause: Option<f64>,
    /// Longest time from the death of a shard's owner to the next request at its upstreams, in
    /// seconds.
    pub regrant: Option<f64>,
    /// Largest fairness gap in the final seconds of the trace, and the number of seconds.
    pub gap_at_end: Option<(f64, f64)>,
}

impl Case {
    /// Reads a case from a TOML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or isn't a valid case.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        toml::from_str(&text).wrap_err_with(|| path.display().to_string())
    }

    /// Returns the names and shares of the workspaces, in the order of their first loads.
    pub fn workspaces(&self) -> (Vec<String>, Vec<f64>) {
        let mut names: Vec<String> = Vec::new();
        let mut shares = Vec::new();
        for it in &self.load {
            if !names.contains(&it.workspace) {
                names.push(it.workspace.clone());
                shares.push(f64::from(it.share));
            }
        }
        (names, shares)
    }

    /// Generates the trace, sorted by arrival time; the same case always gives the same trace.
    pub fn generate_trace(&self) -> Vec<Arrival> {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut res: Vec<_> =
            self.load.iter().flat_map(|it| it.generate_arrivals(&mut rng)).collect();
        res.sort_by_key(|it| it.at);
        res
    }
}

impl Load {
    fn generate_arrivals(&self, rng: &mut fastrand::Rng) -> Vec<Arrival> {
        let mut res = Vec::new();
        let mut at = self.during.0;
        loop {
            // Bursts arrive as a Poisson process.
            at += -(1.0 - rng.f64()).ln() * f64::from(self.burst) / self.rate;
            if self.during.1 <= at {
                return res;
            }
            let entry = rng.choice(&self.entries).copied().unwrap_or(0);
            for _ in 0..self.burst {
                let cost = self.draw_cost(rng);
                res.push(Arrival {
                    at: (at * 1000.0) as u64,
                    workspace: self.workspace.clone(),
                    service: self.service.clone(),
                    entry,
                    cost,
                    hint: self.draw_hint(rng, cost),
                    batch: self.batch,
                    prefix: if self.prefixes == 0 { 0 } else { rng.u32(1..=self.prefixes) },
                });
            }
        }
    }

    /// Draws the cost of a request, in tokens.
    fn draw_cost(&self, rng: &mut fastrand::Rng) -> u32 {
        let (min, max) = self.cost;
        if !self.heavy {
            return rng.u32(min..=max);
        }
        // Pareto distribution with index 1.1, cut off at the largest cost.
        let cost = f64::from(min) / (1.0 - rng.f64()).powf(1.0 / 1.1);
        (cost as u32).min(max)
    }

    /// Draws the hint for a request of the given cost, in tokens; zero for none.
    fn draw_hint(&self, rng: &mut fastrand::Rng, cost: u32) -> u32 {
        let (min, max) = self.cost;
        match self.hint {
            HintAccuracy::None => 0,
            HintAccuracy::True => cost,
            HintAccuracy::Rough => (f64::from(cost) * 10f64.powf(rng.f64() * 2.0 - 1.0)) as u32 + 1,
            HintAccuracy::Low => cost / 10 + 1,
            HintAccuracy::Lies => {
                if min + (max - min) / 4 < cost {
                    1
                } else {
                    cost
                }
            }
        }
    }
}

fn default_service() -> String {
    "scribe".to_owned()
}

fn one() -> u32 {
    1
}
