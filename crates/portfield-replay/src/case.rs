//! A case: the deployment, the load that its trace was recorded from, and the outcome that
//! a replay must reach.

use std::{fs, path::Path};

use eyre::WrapErr;
use serde::Deserialize;

use crate::trace::Arrival;

/// A case as its TOML file states it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Seed of the recording and of the replay.
    pub seed: u64,
    /// The hosts and upstreams.
    #[serde(default)]
    pub deployment: Deployment,
    /// What each workspace sends.
    pub load: Vec<Load>,
    /// Faults during the replay.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// What a replay must reach.
    #[serde(default)]
    pub outcome: ExpectedOutcome,
}

/// Hosts and upstreams of a replay.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// Entry hosts of each data centre.
    pub hosts: Vec<usize>,
    /// Engines of each data centre.
    pub engines: Vec<usize>,
    /// Slots of each engine.
    pub slots: u32,
    /// One-way delay within a data centre, in microseconds.
    pub near_us: u64,
    /// One-way delay between data centres, in microseconds.
    pub far_us: u64,
    /// Time between two tokens, in microseconds.
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

/// What a workspace's hints say.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HintAccuracy {
    /// There are none.
    #[default]
    None,
    /// The true cost.
    True,
    /// Up to ten times too much or too little, by chance.
    Rough,
    /// A tenth of the true cost, always.
    Low,
    /// One token for large requests, the true cost for small ones.
    Lies,
}

/// What one workspace sends.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Its name.
    pub workspace: String,
    /// Its share.
    pub share: u32,
    /// The service it calls.
    #[serde(default = "default_service")]
    pub service: String,
    /// Requests a second, on average.
    pub rate: f64,
    /// Requests that arrive at once.
    #[serde(default = "one")]
    pub burst: u32,
    /// Least and largest cost, in tokens.
    pub cost: (u32, u32),
    /// Costs have a heavy tail between the two.
    #[serde(default)]
    pub heavy: bool,
    /// What its hints say.
    #[serde(default)]
    pub hint: HintAccuracy,
    /// It sends batch requests.
    #[serde(default)]
    pub batch: bool,
    /// Numbers of the hosts that its callers enter at.
    pub entries: Vec<usize>,
    /// Prompt prefixes that it uses.
    #[serde(default)]
    pub prefixes: u32,
    /// First and last second.
    pub during: (f64, f64),
}

/// A fault and when it lasts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// The host, engine or data centre that it happens to, by number.
    #[serde(default)]
    pub at: usize,
    /// First and last second.
    pub during: (f64, f64),
}

/// What may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A host's scheduler dies, and starts again with nothing.
    Scheduler,
    /// The scheduler that owns the first data centre's shard dies, whichever it is.
    Owner,
    /// The host of the first shard's owner loses power: nothing refuses, connections hang.
    Host,
    /// A host's router dies with its requests, and starts again with nothing.
    Router,
    /// A data centre is cut off from the others.
    Cut,
    /// Only what a data centre sends to the others is lost.
    CutOneWay,
    /// An engine is ten times slower.
    Slow,
    /// An engine dies.
    Engine,
    /// An engine is marked as leaving by the configuration.
    Leave,
    /// A scheduler is paused and wakes up again.
    Pause,
}

/// What a replay must reach; what is not stated is not held.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ExpectedOutcome {
    /// Largest fairness gap, in tokens for a share of one; by formula where not stated.
    pub gap: Option<f64>,
    /// Least utilisation while anything waits, of one.
    pub utilisation: Option<f64>,
    /// Most control bytes a second for each host.
    pub control: Option<f64>,
    /// Longest wait of any request, in seconds.
    pub wait: Option<f64>,
    /// Longest time after a fault's start without any grant while something waits, in seconds.
    pub pause: Option<f64>,
    /// Longest time from an owner's death to the next work for its upstreams, in seconds.
    pub regrant: Option<f64>,
    /// Largest gap in the last seconds of the run, with the number of seconds.
    pub gap_at_end: Option<(f64, f64)>,
}

impl Case {
    /// Reads a case.
    ///
    /// # Errors
    ///
    /// Where the file can't be read or states something else.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        toml::from_str(&text).wrap_err_with(|| path.display().to_string())
    }

    /// Returns the names and shares of the workspaces, in the order in which they are stated.
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

    /// Records the trace: the same case and seed give the same trace to the byte.
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
            // Poisson arrivals of bursts.
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

    fn draw_cost(&self, rng: &mut fastrand::Rng) -> u32 {
        let (min, max) = self.cost;
        if !self.heavy {
            return rng.u32(min..=max);
        }
        // Pareto with index 1.1, cut off at the largest cost.
        let cost = f64::from(min) / (1.0 - rng.f64()).powf(1.0 / 1.1);
        (cost as u32).min(max)
    }

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
