//! What a host knows of each upstream, from its own requests and the digests of the other hosts.
//!
//! - `table`: load of each upstream, from all hosts
//! - [`prompt`](Prompt): cost of a prompt
//! - `prefix_cache`: prompt prefixes cached by engines
//! - `latency_model`: time to the first event, learned from observations
//! - `memory`: KV memory of the running requests
//! - `output_length`: expected output of a request, learned from completed ones
//! - `bias`: recent error of that estimate
//! - `health`: upstreams that fail
//! - `backoff`: upstreams that asked for a backoff
//! - `warmup`: cold upstreams

mod backoff;
mod bias;
mod health;
mod latency_model;
mod memory;
mod output_length;
mod prefix_cache;
mod prompt;
mod table;
mod warmup;

pub(crate) use bias::Bias;
pub(crate) use latency_model::LatencyModel;
pub(crate) use output_length::{RouteOutputs, announced as announced_output};
pub(crate) use prompt::PromptPrefix;
pub use prompt::{Prompt, PromptPart};
pub(crate) use table::{Load, UpstreamState, UpstreamTable};
pub use warmup::cold_quota;
