//! Report at the end of a run, as a table or JSON.

use std::fmt::Write;

use serde::Serialize;

use crate::{measurements::Measurements, samples::Samples};

/// Measurements of one workspace.
#[derive(Debug, Serialize)]
struct WorkspaceRow {
    workspace: String,
    share: u32,
    requests: u64,
    tokens: u64,
    service_for_share: f64,
    wait_p50_ms: u64,
    wait_p95_ms: u64,
    whole: u64,
    refused: u64,
    unknown: u64,
    lost: u64,
    wrong: u64,
}

/// Measurements of a run.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    workspaces: Vec<WorkspaceRow>,
    requests: usize,
    ended: usize,
    /// Largest fairness gap, in tokens for a share of one.
    largest_gap: f64,
    /// The two workspaces with the largest fairness gap.
    gap_between: (String, String),
    /// Fraction of the engine slots in use while any request waited.
    utilisation: f64,
    control_bytes_per_host_second: f64,
    token_gap_p95_ms: u64,
}

impl Report {
    pub(crate) fn new(measurements: &Measurements, samples: &Samples, n_total: usize) -> Self {
        let active = measurements.workspaces.iter().filter(|(_, it)| 0 < it.n_sent);
        let workspaces = active.map(|(name, it)| {
            let n_outcomes = |key: &str| it.outcomes.get(key).copied().unwrap_or(0);
            WorkspaceRow {
                workspace: name.clone(),
                share: it.share,
                requests: it.n_sent,
                tokens: it.tokens,
                service_for_share: it.tokens as f64 / f64::from(it.share),
                wait_p50_ms: it.wait_ms.value_at_quantile(0.5),
                wait_p95_ms: it.wait_ms.value_at_quantile(0.95),
                whole: n_outcomes("whole"),
                refused: n_outcomes("refused"),
                unknown: n_outcomes("unknown"),
                lost: n_outcomes("lost"),
                wrong: n_outcomes("wrong"),
            }
        });
        let names: Vec<_> = measurements.workspace_names();
        let (a, b) = measurements.fairness_gap.largest_pair();
        Self {
            workspaces: workspaces.collect(),
            requests: n_total,
            ended: measurements.n_ended(),
            largest_gap: measurements.fairness_gap.largest(),
            gap_between: (names[a].clone(), names[b].clone()),
            utilisation: samples.used_slots as f64 / samples.slots.max(1) as f64,
            control_bytes_per_host_second: samples.control_rate(),
            token_gap_p95_ms: measurements.token_gaps.value_at_quantile(0.95),
        }
    }

    /// Formats the report as a text table.
    pub(crate) fn table(&self) -> String {
        let mut res = format!(
            "{:22} {:>5} {:>8} {:>8} {:>10} {:>8} {:>8} {:>6} {:>7} {:>7} {:>5} {:>5}\n",
            "workspace",
            "share",
            "requests",
            "tokens",
            "for share",
            "p50 ms",
            "p95 ms",
            "whole",
            "refused",
            "unknown",
            "lost",
            "wrong"
        );
        for it in &self.workspaces {
            let _ = writeln!(
                res,
                "{:22} {:>5} {:>8} {:>8} {:>10.0} {:>8} {:>8} {:>6} {:>7} {:>7} {:>5} {:>5}",
                it.workspace,
                it.share,
                it.requests,
                it.tokens,
                it.service_for_share,
                it.wait_p50_ms,
                it.wait_p95_ms,
                it.whole,
                it.refused,
                it.unknown,
                it.lost,
                it.wrong
            );
        }
        let (a, b) = &self.gap_between;
        let _ = write!(
            res,
            "\nrequests ended        {} of {}\nlargest fairness gap  {:.0} tokens for a share of one, between {a} and {b}\n\
             utilisation           {:.1} % of engine slots while anything waited\n\
             control traffic       {:.0} bytes a second for each host\n\
             time between tokens   {} ms in 95 of 100 answers\n",
            self.ended,
            self.requests,
            self.largest_gap,
            self.utilisation * 100.0,
            self.control_bytes_per_host_second,
            self.token_gap_p95_ms,
        );
        res
    }
}
