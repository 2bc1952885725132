//! Checks, from the requests that upstreams received, that hosts respected the self-reports of upstreams
//! (draining, backoff) during a soak test.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use portfield_platform_standins::{FakeUpstream, ReceivedRequest};

/// Time after a response in which requests already in flight may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// A link fault or a suspension of the host up to this long before a response may have prevented its delivery.
const READ_DELAY: Duration = Duration::from_millis(200);

/// Time after an upstream's restart in which a host cut off from the store may only know the earlier incarnation.
///
/// The host records the report under the earlier incarnation, so it sends one more request when it learns of the
/// later one, and gets the same report again. The platform's rule allows two requests.
const STALE_STORE_TIME: Duration = Duration::from_secs(5);

/// Time interval of a fault.
#[derive(Debug, Clone, Copy)]
pub struct Interval {
    pub start: Duration,
    pub end: Duration,
}

impl Interval {
    /// Returns whether it overlaps the interval from `start` to `end`, bounds included.
    fn overlaps(&self, start: Duration, end: Duration) -> bool {
        self.start <= end && start <= self.end
    }
}

/// Faults and restarts during a soak test that excuse requests against a self-report.
#[derive(Debug, Default)]
pub struct Timeline {
    /// Suspensions of host processes, by the host's listen address.
    pub suspensions: Vec<(SocketAddr, Interval)>,
    /// Faults on the link to an upstream that may lose or hold back bytes, by the upstream's index.
    pub link_faults: Vec<(usize, Interval)>,
    /// Restart times of upstreams, by their index.
    pub restarts: Vec<(usize, Duration)>,
}

/// Describes the requests that upstreams received against their self-reports.
///
/// `targets` maps the attempt ID of a request to the address of the host that it was sent to.
pub fn find_violations(
    upstreams: &[&FakeUpstream],
    targets: &HashMap<&str, SocketAddr>,
    timeline: &Timeline,
) -> Vec<String> {
    let check =
        |(index, it): (usize, &&FakeUpstream)| upstream_violations(index, it, targets, timeline);
    upstreams.iter().enumerate().flat_map(check).collect()
}

/// Describes the requests that one upstream received against its self-reports.
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
                    && !timeline.was_suspended(host, report.sent_at, it.received_at)
            })
            .filter_map(|it| it.header("attempt-id"))
            .collect();
        if timeline.n_tolerated(index, report.sent_at) < late.len() {
            let id = &upstream.id;
            res.push(format!(
                "{id} reported {report:?} to host {host}, which sent it {late:?} afterwards"
            ));
        }
    }
    res
}

impl Timeline {
    /// Returns whether no link fault can have prevented the delivery of a response sent then.
    fn was_read(&self, index: usize, sent_at: Duration) -> bool {
        let overlaps = |it: &Interval| {
            it.overlaps(sent_at.saturating_sub(READ_DELAY), sent_at + IN_FLIGHT_TIME)
        };
        !self.link_faults.iter().any(|it| it.0 == index && overlaps(&it.1))
    }

    /// Returns the time of an upstream's next restart, or the maximum if there is none.
    fn next_restart(&self, index: usize, after: Duration) -> Duration {
        let restarts = self.restarts.iter().filter(|it| it.0 == index && after <= it.1);
        restarts.map(|it| it.1).min().unwrap_or(Duration::MAX)
    }

    /// Returns the number of requests tolerated against a self-report, by [`STALE_STORE_TIME`].
    fn n_tolerated(&self, index: usize, sent_at: Duration) -> usize {
        let is_recent = |start: Duration| start <= sent_at && sent_at < start + STALE_STORE_TIME;
        usize::from(self.restarts.iter().any(|it| it.0 == index && is_recent(it.1)))
    }

    /// Returns whether a host was suspended between a self-report and a request.
    fn was_suspended(&self, host: SocketAddr, sent_at: Duration, received_at: Duration) -> bool {
        let overlaps = |it: &Interval| it.overlaps(sent_at.saturating_sub(READ_DELAY), received_at);
        self.suspensions.iter().any(|it| it.0 == host && overlaps(&it.1))
    }
}
