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
    choice::Choice,
    job::{PlacementRequest, Stage},
    shares::ShareStatus,
};

/// Part of the objective that a request may wait behind others even if it can only be late.
///
/// A prompt whose own reading takes longer than its objective would else never be served. Who waits much longer delays
/// all that come after.
const LATE_WAIT: f64 = 0.25;
/// Part of the time left that a workspace may wait that has just had its share; it falls to nothing
/// for one that has had [`OVER_RANGE`] shares more.
///
/// What is sent beyond the shares makes the rest late; where nothing is, engines idle.
const OVER_WAIT: f64 = 0.1;
/// Shares beyond its own at which a workspace gets only idle upstreams.
const OVER_RANGE: f64 = 0.5;
/// Part of the time left that a workspace may wait that has had its share and is behind another one;
/// far behind it waits for all of it.
///
/// It goes before those that have had more, not before those within their share.
const BEHIND_WAIT: f64 = 0.5;
/// Requests that wait at a plain upstream for each that runs, before it counts as full.
const PLAIN_QUEUE: f64 = 3.0;

/// Returns the longest wait, in milliseconds, with which a request is still sent.
///
/// A stream that has begun is sent however long it waits: its caller has part of the answer.
pub(super) fn longest_wait(job: &PlacementRequest, standing: ShareStatus, choice: &Choice) -> f64 {
    if job.stage == Stage::Streaming {
        return f64::INFINITY;
    }
    if job.engine.is_none() {
        return choice.times.own * PLAIN_QUEUE;
    }
    let objective = job.objective.as_secs_f64() * 1000.0;
    let in_time = in_time(job) - choice.times.own;
    match standing {
        // An engine that is idle as far as any host knows is not refused for what nobody knows.
        ShareStatus::Served(it) if 1.0 < it => {
            (in_time * over_part(it)).max(0.0) + choice.times.bias
        }
        ShareStatus::Underserved(it) if 1.0 < it => {
            (in_time * BEHIND_WAIT).max(0.0) + choice.times.bias
        }
        _ => in_time.max(LATE_WAIT * objective),
    }
}

/// Returns the time left, in milliseconds, until a request's objective has gone by.
pub(super) fn in_time(job: &PlacementRequest) -> f64 {
    let left = job.objective.as_secs_f64() - job.waited.as_secs_f64();
    left * 1000.0
}

/// Returns the part of the time left that a workspace may wait which has had `share` times its share,
/// more than one.
fn over_part(share: f64) -> f64 {
    let over = ((share - 1.0) / OVER_RANGE).min(1.0);
    OVER_WAIT * (1.0 - over)
}
