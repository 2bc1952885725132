//! How long a request may wait at an upstream before it is refused instead.
//!
//! The case to handle: callers ask for two to five times the capacity, mostly for two or three
//! workspaces, and retry once refused. Engines serve requests in order of arrival without
//! priorities, so every request sent delays all that come after it. Hence four rules:
//!
//! - A workspace within its share is served as long as its requests can be in time.
//! - One beyond its share leaves the slots free that requests of other hosts, which this host has not
//!   heard of, may take.
//! - A workspace beyond its share that has had less than another may wait for part of that time.
//! - Any other workspace beyond its share may hardly wait at all: it uses spare capacity without
//!   delaying workspaces that are within their share. Where shares follow what engines can do, it
//!   may wait for part of its objective while the engines are not full.

use super::{
    capacity::EngineRoom,
    placement::{PlacementRequest, Stage},
    scoring::ScoredUpstream,
    shares::ShareStatus,
};

/// Part of the objective that a request may wait even if it can only be late.
///
/// Otherwise a prompt that takes longer to read than its objective would never be served. A longer
/// wait would delay all later requests.
const LATE_WAIT_RATIO: f64 = 0.25;
/// Part of the remaining time that a workspace may wait when it has just used its share; it falls
/// to zero at [`EXCESS_RANGE`] shares more.
///
/// With a larger part, requests beyond the shares make the others late; with none, engines idle.
const EXCESS_WAIT_RATIO: f64 = 0.1;
/// Excess over its share, as a multiple of it, at which a workspace gets idle upstreams only.
const EXCESS_RANGE: f64 = 0.5;
/// Part of the remaining time that an underserved workspace beyond its share may wait; a starved
/// one may wait for all of it.
///
/// It goes before workspaces that have had more, but not before those within their share.
const UNDERSERVED_WAIT_RATIO: f64 = 0.5;
/// Part of the objective that a workspace beyond its share may wait while the engines are not full.
///
/// A later request within its share finds this queue and still has most of its objective. With a
/// quarter as many are served, but more within their shares are late.
const ROOM_WAIT_RATIO: f64 = 0.15;
/// The same while the engines are full, for a caller that comes back: it goes before new ones of its
/// workspace, since it does not come a third time. With 0.15 more of them are served, but fewer
/// requests in time.
const RETURNING_WAIT_RATIO: f64 = 0.05;
/// Factor by which what estimates fell short of lately shortens these two waits.
///
/// With digests 200 ms late, queues that hosts don't see made the requests of others late: at three
/// times the usual load a lowest fairness of 0.43, now 0.52, and less credit than with the switch off.
const HIDDEN_QUEUE_FACTOR: f64 = 4.0;
/// Part of the objective that any workspace may wait before demand is known to exceed the capacity,
/// where shares follow what engines can do.
///
/// A burst is known as one only after some tenths of a second. Until then it would fill all queues up
/// to its objective, and make the requests late that come after it, of all workspaces: in bursts of
/// one second the worst served workspace got 0.48 of what it was entitled to, now 0.56 or more.
const CALM_WAIT_RATIO: f64 = 0.4;
/// Requests that may wait at a plain upstream for each running one.
const PLAIN_QUEUE_RATIO: f64 = 3.0;

/// Limits of the wait where shares follow what engines can do.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityLimits {
    pub room: EngineRoom,
    /// Time that a large prompt of the request's kind takes longer than the request, in
    /// milliseconds. All requests of a kind may wait for the same time, that of a large one:
    /// otherwise small ones keep queues too long for it.
    pub reserved_ms: f64,
}

/// Returns the longest wait, in milliseconds, with which a request is still sent.
///
/// A stream that has begun is always sent: its caller already has part of the response. One that its
/// caller resumes is sent if it can go on in the caller's time. `limits`
/// are given where shares follow what engines can do.
pub(super) fn max_wait_ms(
    request: &PlacementRequest,
    status: ShareStatus,
    limits: Option<&CapacityLimits>,
    upstream: &ScoredUpstream,
) -> f64 {
    match request.stage {
        Stage::Streaming => return f64::INFINITY,
        Stage::Resumed => {
            return request.patience.saturating_sub(request.waited).as_secs_f64() * 1000.0;
        }
        Stage::New => {}
    }
    if request.engine.is_none() {
        return upstream.times.processing * PLAIN_QUEUE_RATIO;
    }
    let objective = request.objective.as_secs_f64() * 1000.0;
    let reserved_ms = limits.map_or(0.0, |it| it.reserved_ms);
    let slack = time_left_ms(request) - upstream.times.processing - reserved_ms;
    match status {
        // Unexplained wait alone is no reason to refuse an engine that looks idle to all hosts.
        ShareStatus::Served(it) if 1.0 < it => {
            let room_wait = limits.map_or(0.0, |it| room_wait_ms(request, &it.room)).min(slack)
                - HIDDEN_QUEUE_FACTOR * upstream.times.bias;
            let wait =
                ((slack * excess_wait_ratio(it)).max(0.0) + upstream.times.bias).max(room_wait);
            wait - upstream.unseen_wait
        }
        ShareStatus::Underserved(it) if 1.0 < it => {
            (slack * UNDERSERVED_WAIT_RATIO).max(0.0) + upstream.times.bias - upstream.unseen_wait
        }
        ShareStatus::Uncontended if limits.is_some() => {
            let bound = (CALM_WAIT_RATIO * objective).max(upstream.times.bias);
            slack.min(bound).max(LATE_WAIT_RATIO * objective)
        }
        _ => slack.max(LATE_WAIT_RATIO * objective),
    }
}

/// Returns the longest wait, in milliseconds, that room at the engines allows a workspace beyond its
/// share.
fn room_wait_ms(request: &PlacementRequest, room: &EngineRoom) -> f64 {
    let objective = request.objective.as_secs_f64() * 1000.0;
    if !room.is_full() {
        return ROOM_WAIT_RATIO * objective;
    }
    if request.is_returning() { RETURNING_WAIT_RATIO * objective } else { 0.0 }
}

/// Returns the time left until the request's objective has passed, in milliseconds.
pub(super) fn time_left_ms(request: &PlacementRequest) -> f64 {
    let left = request.objective.as_secs_f64() - request.waited.as_secs_f64();
    left * 1000.0
}

/// Returns the part of the remaining time that a workspace may wait which has used `share_ratio`
/// times its share, which is more than one.
fn excess_wait_ratio(share_ratio: f64) -> f64 {
    let excess = ((share_ratio - 1.0) / EXCESS_RANGE).min(1.0);
    EXCESS_WAIT_RATIO * (1.0 - excess)
}
