//! How long a request may wait at an upstream before it is refused instead.
//!
//! The load that this answers: callers ask for two to five times what the engines can do, most of it
//! from two or three workspaces, each of whose callers asks again once it is refused. Engines take
//! requests in order of arrival and know no priority, so whatever is sent to one delays all that come
//! after it. Hence three rules, which differ in what they give away:
//!
//! - Who is within its share is sent as long as it can be in time.
//! - Who has had its share, but less than another, is sent where it waits for some of that time.
//! - Who else has had its share is sent where hardly anything waits. Capacity beyond the shares is
//!   used, but what uses it delays nobody who is owed service.

use super::{
    placement::{PlacementRequest, Stage},
    scoring::ScoredUpstream,
    shares::ShareStatus,
};

/// Part of the objective that a request may wait behind others even if it can only be late.
///
/// A prompt whose own reading takes longer than its objective would else never be served. Who waits much longer delays
/// all that come after.
const LATE_WAIT_RATIO: f64 = 0.25;
/// Part of the time left that a workspace may wait that has just had its share; it falls to nothing
/// for one that has had [`OVER_RANGE`] shares more.
///
/// What is sent beyond the shares makes the rest late; where nothing is, engines idle.
const EXCESS_WAIT_RATIO: f64 = 0.1;
/// Shares beyond its own at which a workspace gets only idle upstreams.
const EXCESS_RANGE: f64 = 0.5;
/// Part of the time left that a workspace may wait that has had its share and is behind another one;
/// far behind it waits for all of it.
///
/// It goes before those that have had more, not before those within their share.
const UNDERSERVED_WAIT_RATIO: f64 = 0.5;
/// Requests that wait at a plain upstream for each that runs, before it counts as full.
const PLAIN_QUEUE_RATIO: f64 = 3.0;

/// Returns the longest wait, in milliseconds, with which a request is still sent.
///
/// A stream that has begun is sent however long it waits: its caller has part of the answer.
pub(super) fn max_wait_ms(
    request: &PlacementRequest,
    status: ShareStatus,
    upstream: &ScoredUpstream,
) -> f64 {
    if request.stage == Stage::Streaming {
        return f64::INFINITY;
    }
    if request.engine.is_none() {
        return upstream.times.processing * PLAIN_QUEUE_RATIO;
    }
    let objective = request.objective.as_secs_f64() * 1000.0;
    let slack = time_left_ms(request) - upstream.times.processing;
    match status {
        // An engine that is idle as far as any host knows is not refused for what nobody knows.
        ShareStatus::Served(it) if 1.0 < it => {
            (slack * excess_wait_ratio(it)).max(0.0) + upstream.times.bias
        }
        ShareStatus::Underserved(it) if 1.0 < it => {
            (slack * UNDERSERVED_WAIT_RATIO).max(0.0) + upstream.times.bias
        }
        _ => slack.max(LATE_WAIT_RATIO * objective),
    }
}

/// Returns the time left, in milliseconds, until a request's objective has gone by.
pub(super) fn time_left_ms(request: &PlacementRequest) -> f64 {
    let left = request.objective.as_secs_f64() - request.waited.as_secs_f64();
    left * 1000.0
}

/// Returns the part of the time left that a workspace may wait which has had `share` times its share,
/// more than one.
fn excess_wait_ratio(share_ratio: f64) -> f64 {
    let excess = ((share_ratio - 1.0) / EXCESS_RANGE).min(1.0);
    EXCESS_WAIT_RATIO * (1.0 - excess)
}
