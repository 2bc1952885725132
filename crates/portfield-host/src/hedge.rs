//! Hedged requests: a safe request to a plain upstream that takes unusually long is sent to a second
//! one, the first usable response is returned, and the other request is cancelled.

use std::{pin::pin, sync::Arc, time::Duration};

use futures_lite::future;
use portfield::{
    balance::{Candidate, Completion},
    catalog::Upstream,
    quarantine::Verdict,
};
use portfield_net::{clock, socket};

use crate::{
    attempt::{self, AttemptResult, Outcome},
    call::Call,
    exchange::Exchange,
    placement::Placed,
    state::Host,
};

/// One of the two requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    First,
    Hedge,
}

impl Side {
    fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
        }
    }
}

/// How the two requests ended; a request without a result was cancelled.
struct Race {
    first: Option<AttemptResult>,
    hedge: Option<AttemptResult>,
}

/// What a request came to.
enum Sent {
    /// It was sent to its first upstream only.
    Once(AttemptResult),
    /// It was sent to a second upstream as well.
    Hedged(Race, Arc<Upstream>),
}

/// Sends a request, as [`attempt::send`] does, and to a second upstream if the first one does not
/// respond in the usual time.
///
/// The second attempt is counted in `exchange`; the one whose result is returned is not, as for a
/// single attempt.
pub(crate) async fn send(
    exchange: &mut Exchange,
    placed: &Placed,
    timeout: Duration,
) -> AttemptResult {
    let (host, call) = (&exchange.host, &exchange.call);
    match send_both(host, call, exchange.tried(), placed, timeout).await {
        Sent::Once(it) => it,
        Sent::Hedged(race, second) => settle(exchange, race, &placed.upstream, &second),
    }
}

/// Sends a request to its first upstream and, after a time, to a second one; the request that is not
/// needed is cancelled when this returns, which closes its connection.
async fn send_both(
    host: &Arc<Host>,
    call: &Call,
    tried: &[u32],
    placed: &Placed,
    timeout: Duration,
) -> Sent {
    let started = clock::now();
    let first = attempt::send(host, call, placed, None, timeout);
    let delay = host.balancer().hedge_delay(started, call.placement.service);
    let Some(delay) = delay.filter(|it| *it < timeout) else { return Sent::Once(first.await) };
    let mut first = pin!(first);
    if let Some(res) = clock::timeout(delay, first.as_mut()).await {
        return Sent::Once(res);
    }
    let second = match choose(host, call, tried) {
        Ok(it) => it,
        Err(reason) => {
            host.metrics.count(&format!("hedges_not_allowed{{reason=\"{reason}\"}}"));
            return Sent::Once(first.await);
        }
    };
    host.metrics.count("hedges_sent");
    let hedge = attempt::send(host, call, &second, None, call.remaining());
    let race = race(first, pin!(hedge)).await;
    let winner = if race.hedge.as_ref().is_some_and(is_usable) { Side::Hedge } else { Side::First };
    if winner == Side::Hedge {
        host.metrics.count("hedges_won");
    }
    log::info!(
        request = call.id, upstream = placed.upstream.entry.id, hedge = second.upstream.entry.id,
        after_ms = delay.as_millis() as u64, taken = winner.as_str(),
        total_ms = clock::now().saturating_sub(started).as_millis() as u64; "hedged"
    );
    Sent::Hedged(race, second.upstream)
}

/// Chooses the second upstream, and takes the hedge from the retry budget.
///
/// # Errors
///
/// Why the request is not hedged.
fn choose(host: &Host, call: &Call, tried: &[u32]) -> Result<Placed, &'static str> {
    let now = clock::now();
    if !host.has_fresh_state() {
        return Err("outdated");
    }
    if socket::is_closed_by_peer(&call.caller) {
        return Err("caller left");
    }
    // A request that may crash its upstream must not run at two.
    let verdict = host.quarantine().verdict(now, &call.keys);
    if verdict != Verdict::Allowed {
        return Err("suspect");
    }
    let ready = host.candidates(call);
    let untried: Vec<Candidate> =
        ready.candidates.iter().filter(|it| !tried.contains(&it.upstream)).copied().collect();
    let placed = host.balancer().place_hedge(now, &call.placement, call.remaining(), &untried);
    let assignment = placed.map_err(|it| it.as_str())?;
    let upstream = ready.get(assignment.upstream).ok_or("no upstream")?;
    if !host.withdraw_retry(call.placement.service) {
        return Err("budget spent");
    }
    Ok(Placed { assignment, upstream: upstream.clone(), source: None })
}

/// Waits for the first usable response, or for both requests to end.
async fn race(
    mut first: impl Future<Output = AttemptResult> + Unpin,
    mut hedge: impl Future<Output = AttemptResult> + Unpin,
) -> Race {
    let either = future::or(async { (Side::First, (&mut first).await) }, async {
        (Side::Hedge, (&mut hedge).await)
    });
    let (side, res) = either.await;
    let is_final = is_usable(&res) || is_abandoned(&res);
    match side {
        Side::First => {
            let hedge = if is_final { None } else { Some(hedge.await) };
            Race { first: Some(res), hedge }
        }
        Side::Hedge => {
            let first = if is_final { None } else { Some(first.await) };
            Race { first, hedge: Some(res) }
        }
    }
}

/// Returns whether a result is a response that no other attempt could improve.
fn is_usable(res: &AttemptResult) -> bool {
    matches!(res, AttemptResult::Response(it) if !it.parts.status.is_server_error())
}

/// Returns whether the caller has disconnected.
fn is_abandoned(res: &AttemptResult) -> bool {
    matches!(res, AttemptResult::Failed(Outcome::Abandoned, _))
}

/// Records the attempt that is not used, and returns the result of the other one.
fn settle(
    exchange: &mut Exchange,
    Race { first, hedge }: Race,
    upstream: &Arc<Upstream>,
    second: &Arc<Upstream>,
) -> AttemptResult {
    exchange.record_tried(second.wire_id());
    let takes_hedge = match (&first, &hedge) {
        (_, None) => false,
        (None, _) => true,
        (Some(first), Some(hedge)) => {
            is_usable(hedge) || (is_response(hedge) && !is_response(first))
        }
    };
    let (taken, other, other_upstream) =
        if takes_hedge { (hedge, first, upstream) } else { (first, hedge, second) };
    match other {
        // It was cancelled, and its upstream may have run it.
        None => exchange.record_run(),
        Some(AttemptResult::Response(mut it)) => {
            it.run.end(Completion::Error);
            exchange.record_run();
        }
        Some(AttemptResult::Failed(outcome, cause)) => {
            // The failure that ends the exchange is that of the other attempt, if it failed too.
            let _ = exchange.record_failure(other_upstream, outcome, cause);
        }
    }
    // One of the two has ended.
    taken.unwrap_or_else(|| AttemptResult::Failed(Outcome::Unknown, "no result".to_owned()))
}

fn is_response(res: &AttemptResult) -> bool {
    matches!(res, AttemptResult::Response(_))
}
