//! The table at the end of a run.

use std::fmt::Write;

use serde::Serialize;

use crate::{measure::Measure, sample::Samples};

#[derive(Debug, Serialize)]
struct Line {
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

/// The measures of a run.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    workspaces: Vec<Line>,
    requests: usize,
    ended: usize,
    /// Tokens for a share of one.
    largest_gap: f64,
    gap_between: (String, String),
    /// Slots in use while anything waited, of one.
    utilisation: f64,
    control_bytes_per_host_second: f64,
    token_gap_p95_ms: u64,
}

impl Report {
    pub(crate) fn new(measure: &Measure, samples: &Samples, n_total: usize) -> Self {
        let sent = measure.rows.iter().filter(|(_, it)| 0 < it.n_sent);
        let workspaces = sent.map(|(name, it)| {
            let end = |key: &str| it.ends.get(key).copied().unwrap_or(0);
            Line {
                workspace: name.clone(),
                share: it.share,
                requests: it.n_sent,
                tokens: it.tokens,
                service_for_share: it.tokens as f64 / f64::from(it.share),
                wait_p50_ms: it.waits.value_at_quantile(0.5),
                wait_p95_ms: it.waits.value_at_quantile(0.95),
                whole: end("whole"),
                refused: end("refused"),
                unknown: end("unknown"),
                lost: end("lost"),
                wrong: end("wrong"),
            }
        });
        let names: Vec<_> = measure.names();
        let (a, b) = measure.gap.largest_pair();
        Self {
            workspaces: workspaces.collect(),
            requests: n_total,
            ended: measure.n_ended(),
            largest_gap: measure.gap.largest(),
            gap_between: (names[a].clone(), names[b].clone()),
            utilisation: samples.used as f64 / samples.slots.max(1) as f64,
            control_bytes_per_host_second: samples.control(),
            token_gap_p95_ms: measure.paces.value_at_quantile(0.95),
        }
    }

    /// Writes the table.
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
