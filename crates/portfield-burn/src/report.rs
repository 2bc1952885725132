//! Burn report: request counts of all routers, with burn rates and alerts.

use std::{collections::BTreeMap, fmt::Write};

use hdrhistogram::Histogram;
use portfield::slo::{Alert, Tally, WINDOW_MINUTES, burn_alert};
use serde::{Deserialize, Serialize};

/// Response of one router to `/burn`.
#[derive(Debug, Deserialize)]
pub(crate) struct RouterReport {
    rows: Vec<RouterRow>,
    /// Times to the first byte by service, as pairs of milliseconds and number of requests.
    #[serde(rename = "firsts")]
    first_bytes: BTreeMap<String, Vec<(u64, u64)>>,
}

/// Request counts of one workspace and service at one router, per window.
#[derive(Debug, Deserialize)]
struct RouterRow {
    workspace: String,
    service: String,
    tallies: [Tally; WINDOW_MINUTES.len()],
}

/// Request counts and burn rates of one workspace and service, per window.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    pub workspace: String,
    pub service: String,
    pub tallies: [Tally; WINDOW_MINUTES.len()],
    pub burns: [f64; WINDOW_MINUTES.len()],
    pub alert: Alert,
}

/// Quantiles of the time to the first byte of one service, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct FirstByteTimes {
    pub service: String,
    pub p50_ms: u64,
    pub p95_ms: u64,
    pub p99_ms: u64,
}

/// The report, with the fastest burn rates first.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Report {
    pub rows: Vec<Row>,
    #[serde(rename = "firsts")]
    pub first_bytes: Vec<FirstByteTimes>,
    /// Hosts whose router did not answer, so their requests are missing from the report.
    #[serde(rename = "silent")]
    pub missing_hosts: Vec<String>,
    pub n_routers: usize,
    #[serde(skip)]
    merged: BTreeMap<(String, String), [Tally; WINDOW_MINUTES.len()]>,
    #[serde(skip)]
    histograms: BTreeMap<String, Histogram<u64>>,
}

impl Report {
    /// Merges the response of a router.
    pub(crate) fn add(&mut self, router_report: RouterReport) {
        self.n_routers += 1;
        for row in router_report.rows {
            let merged = self.merged.entry((row.workspace, row.service)).or_default();
            merged.iter_mut().zip(&row.tallies).for_each(|(merged, it)| merged.add(it));
        }
        for (service, counts) in router_report.first_bytes {
            let histogram = self.histograms.entry(service).or_insert_with(new_histogram);
            counts.iter().for_each(|(value, n)| histogram.saturating_record_n(*value, *n));
        }
    }

    /// Computes burn rates, alerts and quantiles, and sorts the rows.
    pub(crate) fn finish(mut self) -> Self {
        for ((workspace, service), tallies) in std::mem::take(&mut self.merged) {
            let burns = tallies.map(|it| it.burn_rate());
            let alert = burn_alert(&tallies);
            self.rows.push(Row { workspace, service, tallies, burns, alert });
        }
        let max_burn = |it: &Row| it.burns.iter().copied().fold(0.0, f64::max);
        self.rows.sort_by(|a, b| max_burn(b).total_cmp(&max_burn(a)));
        for (service, it) in std::mem::take(&mut self.histograms) {
            let [p50_ms, p95_ms, p99_ms] = [0.5, 0.95, 0.99].map(|q| it.value_at_quantile(q));
            self.first_bytes.push(FirstByteTimes { service, p50_ms, p95_ms, p99_ms });
        }
        self
    }

    /// Formats the report as a text table.
    pub(crate) fn table(&self) -> String {
        let mut res = String::new();
        for it in &self.missing_hosts {
            let _ = writeln!(res, "! the router at {it} did not answer; its requests are missing");
        }
        let _ = writeln!(
            res,
            "burn rate of the error budget, 1.00 uses it up exactly; {} routers\n",
            self.n_routers
        );
        let _ = writeln!(
            res,
            "{:5} {:22} {:12} {:>9} {:>7} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8}",
            "alert",
            "workspace",
            "service",
            "requests",
            "failed",
            "late",
            "slow",
            "5 min",
            "30 min",
            "1 h",
            "6 h"
        );
        for it in &self.rows {
            let longest_window = it.tallies[WINDOW_MINUTES.len() - 1];
            let [m5, m30, h1, h6] = it.burns;
            let alert = match it.alert {
                Alert::None => "",
                Alert::Slow => "slow",
                Alert::Fast => "FAST",
            };
            let _ = writeln!(
                res,
                "{alert:5} {:22} {:12} {:>9} {:>7} {:>6} {:>6} {m5:>8.2} {m30:>8.2} {h1:>8.2} {h6:>8.2}",
                it.workspace,
                it.service,
                longest_window.total,
                longest_window.failed,
                longest_window.late,
                longest_window.slow
            );
        }
        let _ = writeln!(res, "\nfirst byte, ms       p50      p95      p99");
        for it in &self.first_bytes {
            let _ = writeln!(
                res,
                "{:14} {:>9} {:>8} {:>8}",
                it.service, it.p50_ms, it.p95_ms, it.p99_ms
            );
        }
        res
    }
}

/// Returns a histogram of milliseconds up to an hour with two significant digits. These constant bounds are valid.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000, 2).unwrap_or_else(|_| unreachable!())
}
