//! Counters and latency histograms, rendered in the Prometheus text format.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;

/// Quantiles shown for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];
/// Highest recorded value in milliseconds, one hour; longer times count as this.
const MAX_MILLIS: u64 = 3_600_000;

/// Counters and histograms by name; a name may end with labels in braces.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    counters: Mutex<BTreeMap<String, u64>>,
    times: Mutex<BTreeMap<String, Histogram<u64>>>,
}

impl Metrics {
    /// Increments a counter.
    pub(crate) fn count(&self, name: &str) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        count(&mut counters, name);
    }

    /// Adds `n` to a counter.
    pub(crate) fn add(&self, name: &str, n: u64) {
        if 0 < n {
            let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
            add(&mut counters, name, n);
        }
    }

    /// Records a duration in a histogram.
    pub(crate) fn record_time(&self, name: &str, time: Duration) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        let millis = (time.as_millis() as u64).clamp(1, MAX_MILLIS);
        if let Some(it) = times.get_mut(name) {
            it.saturating_record(millis);
            return;
        }
        // Cannot fail: the bounds are valid constants.
        if let Ok(mut it) = Histogram::new_with_bounds(1, MAX_MILLIS, 2) {
            it.saturating_record(millis);
            times.insert(name.to_owned(), it);
        }
    }

    /// Renders all metrics, with the given gauges.
    pub(crate) fn render(&self, gauges: &[(&str, f64)]) -> String {
        let mut res = String::new();
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, it) in counters.iter() {
            let _ = writeln!(res, "portfield_{name} {it}");
        }
        for (name, it) in gauges {
            let _ = writeln!(res, "portfield_{name} {it}");
        }
        let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, it) in times.iter() {
            for q in QUANTILES {
                let value = it.value_at_quantile(q);
                let _ = writeln!(res, "portfield_{name}_ms{{quantile=\"{q}\"}} {value}");
            }
            let _ = writeln!(res, "portfield_{name}_ms_count {}", it.len());
        }
        res
    }
}

/// Increments the counter of a name, which is copied only the first time.
pub(crate) fn count(counts: &mut BTreeMap<String, u64>, name: &str) {
    add(counts, name, 1);
}

/// Adds `n` to the counter of a name.
fn add(counts: &mut BTreeMap<String, u64>, name: &str, n: u64) {
    match counts.get_mut(name) {
        Some(it) => *it += n,
        None => {
            counts.insert(name.to_owned(), n);
        }
    }
}
