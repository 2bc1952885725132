//! What a host knows of each upstream, from its own requests and the digests of the other hosts.
//!
//! - `table`: load of each upstream, from all hosts
//! - [`prompt`](Prompt): cost of a prompt
//! - `prefix_cache`: prompt prefixes cached by engines
//! - `recent_uses`: those that this host used, for hosts that have just started
//! - `latency_model`: time to the first event, learned from observations
//! - [`LivenessCheck`]: whether an upstream that closed a connection is alive
//! - `memory`: KV memory of the running requests
//! - `output_length`: expected output of a request, learned from completed ones
//! - `bias`: recent error of that estimate
//! - `engine_speed`: speed of each engine, relative to its service's
//! - [`GapMeter`]: gaps between the events of a stream
//! - `health`: upstreams that fail
//! - `backoff`: upstreams that asked for a backoff
//! - `service_time`: mean time that a request occupies a slot
//! - `warmup`: cold upstreams

mod backoff;
mod bias;
mod engine_speed;
mod gap_meter;
mod health;
mod latency_model;
mod liveness;
mod memory;
mod output_length;
mod prefix_cache;
mod prompt;
mod recent_uses;
mod service_time;
mod table;
mod warmup;

pub(crate) use bias::Bias;
pub use engine_speed::EngineSpeed;
pub(crate) use engine_speed::{EngineSpeeds, Slowness};
pub use gap_meter::GapMeter;
pub(crate) use latency_model::LatencyModel;
pub use liveness::{ConnectEvidence, ListEvidence, Liveness, LivenessCheck};
pub(crate) use output_length::{RouteOutputs, announced as announced_output};
pub(crate) use prefix_cache::{CachedParts, PrefixState};
pub(crate) use prompt::PromptPrefix;
pub use prompt::{Prompt, PromptPart};
pub(crate) use recent_uses::RecentUses;
pub(crate) use service_time::ServiceTime;
pub(crate) use table::{Load, UpstreamState, UpstreamTable};
pub use warmup::{ColdQuota, Membership, cold_quota};
