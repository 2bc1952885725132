//! What upstreams said of themselves in a soak, and whether hosts heeded it, from what upstreams saw.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use portfield_platform_standins::{FakeUpstream, ReceivedRequest};

/// Time after an answer in which requests that were on their way still come.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Time before an answer from which on harm to its way, or to its host, may have kept it from being read.
const READ_DELAY: Duration = Duration::from_millis(200);

/// Time from an upstream's start in which a host that cannot hear the store may believe its earlier incarnation.
///
/// It notes what the later one says under the earlier one's number. So one request goes to the later one once the host
/// knows of it, and is told the same again; the users' rule allows two.
const STALE_STORE_TIME: Duration = Duration::from_secs(5);

/// A time in which something was harmed.
#[derive(Debug, Clone, Copy)]
pub struct Interval {
    pub start: Duration,
    pub end: Duration,
}

impl Interval {
    fn overlaps(&self, start: Duration, end: Duration) -> bool {
        self.start <= end && start <= self.end
    }
}

/// What happened beside the requests.
#[derive(Debug, Default)]
pub struct Timeline {
    /// Standstills, by the host's address for callers.
    pub pauses: Vec<(SocketAddr, Interval)>,
    /// Harm to the way to an upstream that may lose or hold up bytes, by the upstream's place.
    pub link_faults: Vec<(usize, Interval)>,
    /// When upstreams started anew, by their places.
    pub restarts: Vec<(usize, Duration)>,
}

/// Returns what reached upstreams against their word; `doors` tells which host a request came to.
pub fn find_violations(
    upstreams: &[&FakeUpstream],
    targets: &HashMap<&str, SocketAddr>,
    timeline: &Timeline,
) -> Vec<String> {
    let check =
        |(index, it): (usize, &&FakeUpstream)| upstream_violations(index, it, targets, timeline);
    upstreams.iter().enumerate().flat_map(check).collect()
}

fn upstream_violations(
    index: usize,
    upstream: &FakeUpstream,
    targets: &HashMap<&str, SocketAddr>,
    timeline: &Timeline,
) -> Vec<String> {
    let requests = upstream.requests();
    let target = |it: &ReceivedRequest| targets.get(it.header("attempt-id")?).copied();
    let mut res = Vec::new();
    for (report, host) in requests.iter().filter_map(|it| Some((it.report?, target(it)?))) {
        if !timeline.was_read(index, report.sent_at) {
            continue;
        }
        let backoff_end = report.backoff.map(|it| report.sent_at.saturating_add(it));
        let end = if report.is_draining { Some(Duration::MAX) } else { backoff_end };
        let Some(end) = end else { continue };
        let end = end.min(timeline.next_restart(index, report.sent_at));
        let late: Vec<&str> = requests
            .iter()
            .filter(|it| report.sent_at + IN_FLIGHT_TIME < it.received_at && it.received_at < end)
            .filter(|it| {
                target(it) == Some(host)
                    && !timeline.was_paused(host, report.sent_at, it.received_at)
            })
            .filter_map(|it| it.header("attempt-id"))
            .collect();
        if timeline.n_tolerated(index, report.sent_at) < late.len() {
            let id = &upstream.id;
            res.push(format!("{id} told {host} {report:?}, and got {late:?} from it"));
        }
    }
    res
}

impl Timeline {
    /// Returns whether nothing kept an answer of that time from being read.
    fn was_read(&self, index: usize, sent_at: Duration) -> bool {
        let overlaps = |it: &Interval| {
            it.overlaps(sent_at.saturating_sub(READ_DELAY), sent_at + IN_FLIGHT_TIME)
        };
        !self.link_faults.iter().any(|it| it.0 == index && overlaps(&it.1))
    }

    /// Returns when an upstream starts anew after a time.
    fn next_restart(&self, index: usize, after: Duration) -> Duration {
        let restarts = self.restarts.iter().filter(|it| it.0 == index && after <= it.1);
        restarts.map(|it| it.1).min().unwrap_or(Duration::MAX)
    }

    /// Returns how many requests may come to an upstream against its word.
    fn n_tolerated(&self, index: usize, sent_at: Duration) -> usize {
        let is_recent = |start: Duration| start <= sent_at && sent_at < start + STALE_STORE_TIME;
        usize::from(self.restarts.iter().any(|it| it.0 == index && is_recent(it.1)))
    }

    /// Returns whether a host stood still between an upstream's word and a request.
    fn was_paused(&self, host: SocketAddr, sent_at: Duration, received_at: Duration) -> bool {
        let overlaps = |it: &Interval| it.overlaps(sent_at.saturating_sub(READ_DELAY), received_at);
        self.pauses.iter().any(|it| it.0 == host && overlaps(&it.1))
    }
}
