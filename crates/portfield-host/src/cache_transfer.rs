//! Log and metrics of cached prompt parts that upstreams fetch from each other.

use portfield::{
    balance::{FetchOutcome, FetchReport},
    catalog::Upstream,
};

use crate::{call::Call, state::Host};

/// A fetch that an upstream was asked for, as logs and metrics name it.
#[derive(Debug)]
pub(crate) struct FetchContext {
    request: String,
    source: String,
    /// Size of a cached token, in bytes.
    token_bytes: f64,
}

impl FetchContext {
    /// Builds the context of a request's fetch from `source`.
    pub(crate) fn new(call: &Call, source: &Upstream) -> Self {
        let transfer = call.placement.engine.and_then(|it| it.transfer);
        Self {
            request: call.id.clone(),
            source: source.entry.id.clone(),
            token_bytes: transfer.map_or(0.0, |it| it.token_bytes),
        }
    }

    /// Records what the first event showed of the fetch.
    pub(crate) fn record_end(&self, host: &Host, report: FetchReport) {
        let FetchReport { fetch, outcome } = report;
        let tokens = report.tokens();
        host.metrics.count(&format!("cache_fetches{{outcome=\"{outcome:?}\"}}"));
        host.metrics.add("cache_fetched_tokens", u64::from(tokens));
        host.metrics.add("cache_fetched_bytes", (f64::from(tokens) * self.token_bytes) as u64);
        if outcome == FetchOutcome::Nothing {
            log::info!(
                request = self.request, source = self.source, tokens = fetch.tokens,
                known:? = fetch.knowledge, age = fetch.age; "cache fetch brought nothing"
            );
        }
    }
}
